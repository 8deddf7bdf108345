//! The organisations of a version of the configuration, by their callers' API keys.

use shaleline_route::Allowance;
use shaleline_types::{KeyHash, Org};
use std::collections::HashMap;
use std::fmt;

/// What one request counts as against its organisation's allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CostUnit {
    /// Each request counts as one.
    Requests,
    /// The tokens that it says it may take, or so many where it does not say.
    Tokens {
        /// What a request that names no tokens counts as.
        plain: u64,
    },
}

/// What is set for one organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct OrgRule {
    /// Its name.
    pub name: Org,
    /// The priority of its requests, which goes before that of their route.
    pub priority: Option<u8>,
    /// What it may use over all daemons; none without a limit.
    pub allowance: Option<Allowance>,
    /// What its requests count as.
    pub counting: CostUnit,
}

impl OrgRule {
    /// What a request counts as; `tokens` is what it says it may take.
    #[must_use]
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.counting {
            CostUnit::Requests => 1,
            CostUnit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}

/// Why a list of organisations can't be taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrgsError {
    /// An organisation is listed twice.
    Repeated(Org),
    /// Two organisations hold one key.
    SharedKey(Org, Org),
}

impl fmt::Display for OrgsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Repeated(org) => write!(f, "organisation {org} is listed twice"),
            Self::SharedKey(a, b) => write!(f, "organisations {a} and {b} hold the same key"),
        }
    }
}

/// All organisations. A key is found by its hash, in the same time whatever the key.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Orgs {
    rules: Vec<OrgRule>,
    by_name: HashMap<Org, usize>,
    by_key: HashMap<KeyHash, usize>,
}

impl Orgs {
    /// Takes organisations, each with the hashes of its keys.
    ///
    /// # Errors
    /// Where one is listed twice, or two hold one key: whose a request is would not be known.
    pub fn from_rules(
        rules: impl IntoIterator<Item = (OrgRule, Vec<KeyHash>)>,
    ) -> Result<Self, OrgsError> {
        let mut orgs = Self::default();
        for (rule, keys) in rules {
            let place = orgs.rules.len();
            if orgs.by_name.insert(rule.name.clone(), place).is_some() {
                return Err(OrgsError::Repeated(rule.name));
            }
            for key in keys {
                let before = orgs.by_key.insert(key, place).filter(|b| *b != place);
                if let Some(before) = before {
                    let other = orgs.rules[before].name.clone();
                    return Err(OrgsError::SharedKey(other, rule.name));
                }
            }
            orgs.rules.push(rule);
        }
        Ok(orgs)
    }

    /// Whose key this is.
    #[must_use]
    pub fn find(&self, key: &KeyHash) -> Option<&OrgRule> {
        self.by_key.get(key).map(|p| &self.rules[*p])
    }

    /// What is set for an organisation.
    #[must_use]
    pub fn get(&self, name: &Org) -> Option<&OrgRule> {
        self.by_name.get(name).map(|p| &self.rules[*p])
    }

    /// What an organisation may use over all daemons; none without a limit.
    #[must_use]
    pub fn allowance(&self, name: &Org) -> Option<Allowance> {
        self.get(name)?.allowance
    }

    /// All of them, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &OrgRule> {
        self.rules.iter()
    }
}

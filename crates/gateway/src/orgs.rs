//! The organisations of a version of the configuration, by their callers' API keys.

use shaleline_route::Allowance;
use shaleline_types::{KeyHash, Org};
use std::collections::HashMap;
use std::fmt;

/// The unit in which a request is charged to its organisation's allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CostUnit {
    /// Each request counts as one.
    Requests,
    /// The most tokens that a request may use, as its headers give them.
    Tokens {
        /// The cost of a request whose headers give no token counts.
        plain: u64,
    },
}

/// The settings of one organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct OrgRule {
    /// Its name.
    pub name: Org,
    /// The priority of its requests, which overrides that of their route.
    pub priority: Option<u8>,
    /// Its allowance over all daemons; none if it is unlimited.
    pub allowance: Option<Allowance>,
    /// The unit in which its requests are charged.
    pub counting: CostUnit,
}

impl OrgRule {
    /// The cost of a request that may use `tokens` tokens, if that is known.
    #[must_use]
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.counting {
            CostUnit::Requests => 1,
            CostUnit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}

/// Why a list of organisations is not valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrgsError {
    /// An organisation is listed twice.
    Repeated(Org),
    /// Two organisations hold the same key.
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

/// All organisations. A key is looked up by its hash, so the time does not depend on the key.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Orgs {
    rules: Vec<OrgRule>,
    by_name: HashMap<Org, usize>,
    by_key: HashMap<KeyHash, usize>,
}

impl Orgs {
    /// Builds the list from organisations, each with the hashes of its keys.
    ///
    /// # Errors
    /// If one is listed twice, or two hold the same key, so that a request's organisation is
    /// ambiguous.
    pub fn from_rules(
        rules: impl IntoIterator<Item = (OrgRule, Vec<KeyHash>)>,
    ) -> Result<Self, OrgsError> {
        let mut orgs = Self::default();
        for (rule, keys) in rules {
            let index = orgs.rules.len();
            if orgs.by_name.insert(rule.name.clone(), index).is_some() {
                return Err(OrgsError::Repeated(rule.name));
            }
            for key in keys {
                let before = orgs.by_key.insert(key, index).filter(|b| *b != index);
                if let Some(before) = before {
                    let other = orgs.rules[before].name.clone();
                    return Err(OrgsError::SharedKey(other, rule.name));
                }
            }
            orgs.rules.push(rule);
        }
        Ok(orgs)
    }

    /// The organisation that holds the key.
    #[must_use]
    pub fn find(&self, key: &KeyHash) -> Option<&OrgRule> {
        self.by_key.get(key).map(|p| &self.rules[*p])
    }

    /// The settings of an organisation.
    #[must_use]
    pub fn get(&self, name: &Org) -> Option<&OrgRule> {
        self.by_name.get(name).map(|p| &self.rules[*p])
    }

    /// The allowance of an organisation over all daemons; none if it is unlimited.
    #[must_use]
    pub fn allowance(&self, name: &Org) -> Option<Allowance> {
        self.get(name)?.allowance
    }

    /// Whether any key belongs to an organisation.
    #[must_use]
    pub fn has_key(&self, name: &Org) -> bool {
        let index = self.by_name.get(name);
        index.is_some_and(|i| self.by_key.values().any(|k| k == i))
    }

    /// All organisations, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &OrgRule> {
        self.rules.iter()
    }
}

//! Who may read and change what.

use serde::{Deserialize, Serialize};
use shaleline_types::{Org, TokenHash};

/// What an operator may do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// See everything, change nothing.
    Read,
    /// See and change one organisation.
    Organisation(Org),
    /// See and change everything.
    All,
}

impl Role {
    /// Whether this role may change the organisation, or anything where `org` is `None`.
    #[must_use]
    pub fn may_change(&self, org: Option<&Org>) -> bool {
        match self {
            Self::Read => false,
            Self::Organisation(own) => org == Some(own),
            Self::All => true,
        }
    }

    /// Whether this role may read the state of the whole system.
    #[must_use]
    pub fn may_read_all(&self) -> bool {
        !matches!(self, Self::Organisation(_))
    }
}

/// An operator's name, role and the hash of the token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The name that stands in the record of changes.
    pub name: String,
    /// What the operator may do.
    pub role: Role,
    /// The hash of the operator's token.
    pub token: TokenHash,
}

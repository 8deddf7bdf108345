//! Operators and their permissions.

use serde::{Deserialize, Serialize};
use shaleline_types::{Org, TokenHash};

/// The role of an operator, which determines the operator's permissions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// May read everything and change nothing.
    Read,
    /// May read and change one organisation.
    Organisation(Org),
    /// May read and change everything.
    All,
}

impl Role {
    /// Whether this role may change `org`, or, if `org` is `None`, objects outside any single
    /// organisation.
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

/// An operator with name, role and token hash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The name that is stored with the operator's changes.
    pub name: String,
    /// The operator's role.
    pub role: Role,
    /// The hash of the operator's token.
    pub token: TokenHash,
}

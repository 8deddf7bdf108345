//! A change, and the verdict of the replay on it.

use crate::{Fleet, Operator, Organisation, Template};
use serde::{Deserialize, Serialize};
use shaleline_types::{ChangeId, Error, ErrorKind, Offset, Org, TemplateName, TokenHash};

/// What a change does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Op {
    /// Sets the catalogue and the accelerators.
    PutFleet(Fleet),
    /// Creates or replaces a template, with all that is made from it.
    PutTemplate(Box<Template>),
    /// Removes a template that nothing is made from.
    RemoveTemplate(TemplateName),
    /// Creates or replaces an organisation.
    PutOrganisation(Organisation),
    /// Removes an organisation and its tokens.
    RemoveOrganisation(Org),
    /// Lets callers with this token act for the organisation.
    AddToken {
        /// The organisation.
        org: Org,
        /// The token's hash.
        token: TokenHash,
    },
    /// Withdraws a token.
    RevokeToken {
        /// The organisation.
        org: Org,
        /// The token's hash.
        token: TokenHash,
    },
    /// Creates or replaces an operator.
    PutOperator(Operator),
    /// Removes an operator.
    RemoveOperator(String),
    /// Stops new work for an instance or upstream, or allows it again.
    Drain {
        /// The name of the instance or upstream.
        target: String,
        /// Whether it is to get no new work.
        on: bool,
    },
}

impl Op {
    /// The object that is changed, by kind and name. Its version is what a change is
    /// made from.
    #[must_use]
    pub fn object(&self) -> String {
        match self {
            Self::PutFleet(_) => "fleet".to_owned(),
            Self::PutTemplate(t) => format!("template/{}", t.name),
            Self::RemoveTemplate(name) => format!("template/{name}"),
            Self::PutOrganisation(o) => format!("organisation/{}", o.name),
            Self::RemoveOrganisation(org) => format!("organisation/{org}"),
            Self::AddToken { org, .. } | Self::RevokeToken { org, .. } => format!("tokens/{org}"),
            Self::PutOperator(o) => format!("operator/{}", o.name),
            Self::RemoveOperator(name) => format!("operator/{name}"),
            Self::Drain { target, .. } => format!("drain/{target}"),
        }
    }

    /// The organisation that is changed, where only one is.
    #[must_use]
    pub fn org(&self) -> Option<&Org> {
        match self {
            Self::PutOrganisation(o) => Some(&o.name),
            Self::RemoveOrganisation(org)
            | Self::AddToken { org, .. }
            | Self::RevokeToken { org, .. } => Some(org),
            _ => None,
        }
    }

    /// Whether the version it was made from must be current. Token and drain changes
    /// set one element each, so that racing ones don't undo each other.
    #[must_use]
    pub(crate) fn is_versioned(&self) -> bool {
        !matches!(
            self,
            Self::AddToken { .. } | Self::RevokeToken { .. } | Self::Drain { .. }
        )
    }
}

/// A change as an operator asks for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The operator's identity for it; repeating a call under the same one is harmless.
    pub id: ChangeId,
    /// Who asked.
    pub by: String,
    /// The version of the object it was made from; `None` if there was none.
    #[serde(default)]
    pub base: Option<Offset>,
    /// What it does.
    pub op: Op,
}

/// Why a change was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind, one of the closed list.
    pub kind: ErrorKind,
    /// Every fault found, or what the winner of a race changed.
    pub faults: Vec<String>,
}

impl From<Refusal> for Error {
    fn from(refusal: Refusal) -> Self {
        Self::new(refusal.kind, refusal.faults.join("; "))
    }
}

/// The replay's verdict on a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// In force from this offset, which is the object's new version.
    Accepted(Offset),
    /// Without effect.
    Refused(Refusal),
}

//! Configuration changes and the replay's verdicts on them.

use crate::{Fleet, Operator, Organisation, Template};
use serde::{Deserialize, Serialize};
use shaleline_types::{ChangeId, Error, ErrorKind, Offset, Org, TemplateName, TokenHash};

/// The operation of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Op {
    /// Sets the catalogue and the accelerators.
    PutFleet(Fleet),
    /// Creates or replaces a template, which also affects all organisations that use it.
    PutTemplate(Box<Template>),
    /// Removes a template that no organisation uses.
    RemoveTemplate(TemplateName),
    /// Creates or replaces an organisation.
    PutOrganisation(Organisation),
    /// Removes an organisation and its tokens.
    RemoveOrganisation(Org),
    /// Allows callers with this token to act for the organisation.
    AddToken {
        /// The organisation.
        org: Org,
        /// The token's hash.
        token: TokenHash,
    },
    /// Revokes a token.
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
    /// Stops sending new work to an instance or upstream, or resumes it.
    Drain {
        /// The name of the instance or upstream.
        target: String,
        /// Whether the target gets no new work.
        on: bool,
    },
}

impl Op {
    /// The changed object, by kind and name. A change is based on a version of this object.
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

    /// The changed organisation, if the operation changes exactly one.
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

    /// Whether the change's base version must be current. Token and drain changes need no version
    /// check: each sets a single element, so that concurrent changes don't undo each other.
    #[must_use]
    pub(crate) fn is_versioned(&self) -> bool {
        !matches!(
            self,
            Self::AddToken { .. } | Self::RevokeToken { .. } | Self::Drain { .. }
        )
    }
}

/// A change that an operator requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The id that the operator chose; a repeated call with the same id is idempotent.
    pub id: ChangeId,
    /// The name of the operator.
    pub by: String,
    /// The version of the object that the change is based on; `None` if the object did not exist.
    #[serde(default)]
    pub base: Option<Offset>,
    /// The operation.
    pub op: Op,
}

/// The reason why a change was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The error kind.
    pub kind: ErrorKind,
    /// All faults found, or what a conflicting change has changed.
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
    /// The change is in force from this offset, which is the object's new version.
    Accepted(Offset),
    /// The change has no effect.
    Refused(Refusal),
}

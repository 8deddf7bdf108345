//! The platform's list of instances. It lags.

use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use shaleline_types::DataCentre;
use std::fmt;

/// What runs on an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceKind {
    /// A daemon of this system.
    Daemon,
    /// A model engine.
    Engine,
    /// A replica of a plain service.
    Service,
}

/// One line of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The instance's or upstream's name.
    pub name: String,
    /// What runs there.
    pub kind: InstanceKind,
    /// Where it answers, `IP:PORT`; for a daemon that is its peer address.
    pub address: String,
    /// Its data centre.
    pub centre: DataCentre,
    /// The plain service that it serves, if it serves one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Whether it is to leave.
    #[serde(default)]
    pub leaving: bool,
}

/// The list did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListError;

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the list of instances does not answer")
    }
}

impl std::error::Error for ListError {}

/// The platform's list of live and leaving instances.
pub trait InstanceList {
    /// The list as the platform has it now.
    ///
    /// # Errors
    /// [`ListError`] where it does not answer.
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<ListedInstance>, ListError>>;
}

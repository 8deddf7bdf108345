//! The platform's list of instances, which is updated with a delay.

use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use shaleline_types::DataCentre;
use std::fmt;

/// What runs on an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceKind {
    /// A shaleline daemon.
    Daemon,
    /// A model engine.
    Engine,
    /// A replica of a plain service.
    Service,
}

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The instance's or upstream's name.
    pub name: String,
    /// What runs there.
    pub kind: InstanceKind,
    /// Its address, `IP:PORT`; for a daemon, the address for other daemons.
    pub address: String,
    /// Its data centre.
    pub centre: DataCentre,
    /// The plain service that it serves, if it serves one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// The list could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListError;

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the list of instances is unavailable")
    }
}

impl std::error::Error for ListError {}

/// The platform's list of live and leaving instances.
pub trait InstanceList {
    /// Returns the platform's current list.
    ///
    /// # Errors
    /// [`ListError`] if the list can't be read.
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<ListedInstance>, ListError>>;
}

//! The version of an upstream's software.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The version of the software that an upstream runs, which is no version of its models.
///
/// Versions have no order. Upstreams that name no version share one that differs from all others.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareVersion(Option<String>);

impl SoftwareVersion {
    /// The version that an upstream names, if any.
    #[must_use]
    pub fn new(name: Option<String>) -> Self {
        Self(name)
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0.as_deref().unwrap_or("unnamed"))
    }
}

//! What an upstream says of itself. It lags.

use serde::{Deserialize, Serialize};
use shaleline_place::EngineReport;

/// Blocks that an engine has cached since the number before. Late, and with gaps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The blocks' keys, as given with the requests.
    pub blocks: Vec<u64>,
}

/// An upstream's report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// Requests that run.
    pub running: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that it runs at once within its target.
    pub slots: usize,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Memory in use now, in megabytes; zero for a plain service.
    #[serde(default)]
    pub used: u64,
    /// What the ledger needs; none for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineReport>,
    /// Cache events; empty for a plain service.
    #[serde(default)]
    pub cache: CacheEvents,
}

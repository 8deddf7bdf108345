//! The reports of upstreams, which arrive with a delay.

use serde::{Deserialize, Serialize};
use shaleline_place::EngineReport;

/// The blocks that an engine has cached since its last report. Events may be late or missing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The blocks' keys, as given with the requests.
    pub blocks: Vec<u64>,
}

/// An upstream's report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// The number of running requests.
    pub running: usize,
    /// The number of waiting requests.
    pub waiting: usize,
    /// The number of requests that it can run concurrently within its latency objective.
    pub slots: usize,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Memory in use now, in megabytes; zero for a plain service.
    #[serde(default)]
    pub used: u64,
    /// The engine state for the ledger; none for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineReport>,
    /// Cache events; empty for a plain service.
    #[serde(default)]
    pub cache: CacheEvents,
}

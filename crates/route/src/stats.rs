//! The router's statistics.

use serde::Serialize;

/// Counters since the start, and current gauges.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RouterStats {
    /// Requests that arrived.
    pub arrived: u64,
    /// Sends.
    pub sent: u64,
    /// Sends that were retries.
    pub retried: u64,
    /// Refusals.
    pub refused: u64,
    /// Late answers to earlier attempts, which were dropped.
    pub late: u64,
    /// Breakers that opened.
    pub opened: u64,
    /// Requests that are queued now.
    pub waiting: usize,
    /// Requests that are admitted and have not ended.
    pub open: usize,
}

/// The state of an upstream as known to the router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UpstreamStats {
    /// The upstream's name.
    pub name: String,
    /// Its data centre.
    pub centre: String,
    /// The routes it serves.
    pub routes: Vec<String>,
    /// Requests of this daemon that are in flight there.
    #[serde(rename = "flights")]
    pub in_flight: usize,
    /// All requests there, as far as is known.
    pub busy: usize,
    /// Requests that it can run at once.
    pub slots: usize,
    /// Whether it gets no new requests.
    pub leaving: bool,
    /// Whether its breaker is closed.
    pub healthy: bool,
}

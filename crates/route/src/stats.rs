//! What a router can tell of itself.

use serde::Serialize;

/// Counters since the start, and what is there now.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RouterStats {
    /// Requests that arrived.
    pub arrived: u64,
    /// Sends.
    pub sent: u64,
    /// Sends that were repeats.
    pub retried: u64,
    /// Refusals.
    pub refused: u64,
    /// Late answers to old attempts that were dropped.
    pub late: u64,
    /// Breakers that opened.
    pub opened: u64,
    /// Requests that wait now.
    pub waiting: usize,
    /// Requests that are admitted and not ended now.
    pub open: usize,
}

/// What the router knows of an upstream now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UpstreamStats {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub centre: String,
    /// What it serves.
    pub routes: Vec<String>,
    /// This daemon's requests there.
    #[serde(rename = "flights")]
    pub in_flight: usize,
    /// All requests there, as far as is known.
    pub busy: usize,
    /// How many it takes at once.
    pub slots: usize,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Whether its breaker is closed.
    pub healthy: bool,
}

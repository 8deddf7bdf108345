//! What an operator sets of the router.

use crate::{AttemptNumber, Choice, RetrySettings};
use shaleline_types::{DataCentre, Millis};

/// What an operator sets.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterSettings {
    /// This daemon's data centre.
    pub home: DataCentre,
    /// How many requests may wait for one route.
    pub queue: usize,
    /// How long a send may go without a first byte, while nothing else comes from the
    /// upstream either, before it counts as hanging.
    pub stall: Millis,
    /// How many times a request is sent at the most.
    pub attempts: AttemptNumber,
    /// How upstreams are chosen.
    pub choice: Choice,
    /// Whether requests that can't meet their target are refused early.
    pub shed: bool,
    /// What one token of a prompt costs an engine in milliseconds, where nothing was
    /// measured yet.
    pub token: f64,
    /// The budget for retries.
    pub retries: RetrySettings,
    /// Where the draws of this router begin.
    pub seed: u64,
}

impl RouterSettings {
    /// The defaults for a daemon in this data centre.
    #[must_use]
    pub fn new(home: DataCentre) -> Self {
        Self {
            home,
            queue: 2_000,
            stall: Millis(2_000),
            attempts: 3,
            choice: Choice::Expected,
            shed: true,
            token: 0.5,
            retries: RetrySettings::default(),
            seed: 0,
        }
    }
}

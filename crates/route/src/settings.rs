//! What an operator sets of the router.

use crate::{AttemptNumber, Choice, RetrySettings};
use shaleline_types::{DataCentre, Millis};

/// How well a router knows what other daemons send to the same upstreams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerSight {
    /// How much work, in milliseconds, the others may have sent to an upstream that is not known
    /// here yet.
    pub unseen: f64,
    /// The part of a pace, see [`crate::Terms::pace`], that this daemon's own prompts may have
    /// ahead at an upstream. Where the others send as well, and what they have there is known a
    /// fifth of a second late, 0.1 in place of 1 had 686 in place of 670 of 1,000 chats on crowded
    /// days in time, by 30 days played.
    pub own_part: f64,
}

impl Default for PeerSight {
    /// That of the only daemon that sends.
    fn default() -> Self {
        Self {
            unseen: 0.0,
            own_part: 1.0,
        }
    }
}

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

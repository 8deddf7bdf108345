//! What an operator sets of the router.

use crate::{AttemptNumber, ChoicePolicy, RetrySettings};
use shaleline_types::{DataCentre, Millis};

/// How well a router knows what other daemons send to the same upstreams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerVisibility {
    /// How much work, in milliseconds, the others may have sent to an upstream that is not known
    /// here yet.
    pub unseen_ms: f64,
    /// The part of a pace, see [`crate::RequestPolicy::pace`], that this daemon's own prompts may have
    /// ahead at an upstream. Where the others send as well, and what they have there is known a
    /// fifth of a second late, 0.1 in place of 1 had 686 in place of 670 of 1,000 chats on crowded
    /// days in time, by 30 days played.
    pub own_share: f64,
}

impl Default for PeerVisibility {
    /// That of the only daemon that sends.
    fn default() -> Self {
        Self {
            unseen_ms: 0.0,
            own_share: 1.0,
        }
    }
}

/// What an operator sets.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterSettings {
    /// This daemon's data centre.
    pub home: DataCentre,
    /// How many requests may wait for one route.
    pub queue_limit: usize,
    /// How long a send may go without a first byte, while nothing else comes from the
    /// upstream either, before it counts as hanging.
    pub stall_timeout: Millis,
    /// How many times a request is sent at the most.
    pub max_attempts: AttemptNumber,
    /// How upstreams are chosen.
    pub choice: ChoicePolicy,
    /// Whether requests that can't meet their target are refused early.
    pub shed: bool,
    /// What one token of a prompt costs an engine in milliseconds, where nothing was
    /// measured yet.
    pub token_ms: f64,
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
            queue_limit: 2_000,
            stall_timeout: Millis(2_000),
            max_attempts: 3,
            choice: ChoicePolicy::Expected,
            shed: true,
            token_ms: 0.5,
            retries: RetrySettings::default(),
            seed: 0,
        }
    }
}

//! The router's settings.

use crate::{AttemptNumber, ChoicePolicy, RetrySettings};
use shaleline_types::{DataCentre, Millis, Org};

/// How well a router knows what other daemons send to the same upstreams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerVisibility {
    /// The work in milliseconds that other daemons may have sent to an upstream and that is not
    /// known here yet.
    pub unseen_ms: f64,
    /// The fraction of a backlog limit ([`crate::RequestPolicy::backlog_limit`]) that this daemon's
    /// own prompts may take at an upstream. Where other daemons send as well and their load is
    /// known 200 ms late, a large fraction makes more chats late on overloaded days.
    pub own_share: f64,
    /// The number of daemons that select the same upstreams, this one included.
    pub selectors: usize,
    /// Whether the load of the others is as recent as their reports usually are.
    pub recent: bool,
}

impl Default for PeerVisibility {
    /// The visibility of the only daemon that sends.
    fn default() -> Self {
        Self {
            unseen_ms: 0.0,
            own_share: 1.0,
            selectors: 1,
            recent: true,
        }
    }
}

/// The router's settings.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterSettings {
    /// This daemon's data centre.
    pub home: DataCentre,
    /// The most requests that may wait for one route.
    pub queue_limit: usize,
    /// The time without a first byte after which a send counts as hanging, if nothing else is
    /// received from the upstream either.
    pub stall_timeout: Millis,
    /// The most sends of a request.
    pub max_attempts: AttemptNumber,
    /// How upstreams are selected.
    pub choice: ChoicePolicy,
    /// Whether requests that can't meet their target are refused early.
    pub shed: bool,
    /// Whether a quarter of an upstream's slots stays free of any one organisation while others use
    /// it. Without it, an organisation may use all that is free.
    pub reserve: bool,
    /// The organisation under which requests count whose callers have none. It has no share to
    /// exceed.
    pub common_org: Option<Org>,
    /// The initial estimate of a prompt token's cost to an engine, in milliseconds.
    pub token_ms: f64,
    /// The retry budget.
    pub retries: RetrySettings,
    /// The seed of the router's random numbers.
    pub seed: u64,
}

impl RouterSettings {
    /// Returns the defaults for a daemon in this data centre.
    #[must_use]
    pub fn new(home: DataCentre) -> Self {
        Self {
            home,
            queue_limit: 2_000,
            stall_timeout: Millis(2_000),
            max_attempts: 3,
            choice: ChoicePolicy::Completion,
            shed: true,
            reserve: true,
            common_org: None,
            token_ms: 0.5,
            retries: RetrySettings::default(),
            seed: 0,
        }
    }
}

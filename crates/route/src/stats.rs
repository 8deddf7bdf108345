//! The router's statistics.

use crate::{Reason, Route};
use serde::Serialize;
use shaleline_types::{Millis, RequestId, Upstream};

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
    /// Requests refused on arrival because their predicted wait ends after their deadline.
    pub shed: u64,
    /// Queued requests that were sent before more urgent ones, which stay in time nonetheless.
    pub slack_used: u64,
    /// Queued requests that were sent before others as they are shorter.
    pub short_first: u64,
    /// Queued requests that were sent because the least urgent ones had their turn.
    pub turns: u64,
    /// Late answers to earlier attempts, which were dropped.
    pub late: u64,
    /// Breakers that opened.
    pub opened: u64,
    /// Requests that are queued now.
    pub waiting: usize,
    /// Requests that are admitted and have not ended.
    pub open: usize,
}

/// Why a breaker opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpeningCause {
    /// Sends failed one after the other.
    Failures,
    /// Sends hang, and the upstream is silent.
    Silence,
}

/// A breaker that opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamOpening {
    /// The upstream.
    pub upstream: Upstream,
    /// Why it opened.
    pub cause: OpeningCause,
    /// The daemons of the sends that hang there, or of the one that failed last.
    pub daemons: Vec<u64>,
}

/// How the upstreams of a route are occupied.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Occupancy {
    /// Upstreams that serve the route and are not leaving.
    pub upstreams: usize,
    /// Those whose breaker is open.
    pub open: usize,
    /// Those whose slots are all taken.
    pub full: usize,
    /// Sends that hold a slot and are overdue.
    pub overdue: usize,
    /// Sends that hold no slot any more, as the upstream answers others.
    pub lost: usize,
    /// Requests in the queue.
    pub queued: usize,
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
    /// How long work takes there now, in percent of the time at the others of its service.
    pub speed_percent: u64,
    /// The part of that which is assumed rather than known, in percent.
    pub uncertainty_percent: u64,
    /// The predicted time to the first event or whole answer of the latest request that has one,
    /// and the measured one, in milliseconds.
    pub predicted_ms: Option<u64>,
    /// See [`Self::predicted_ms`].
    pub measured_ms: Option<u64>,
}

/// A decision about who waits or is refused for lack of capacity, with its inputs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueNote {
    /// A request was sent before one that comes first by its class.
    Overtaken {
        /// The route of the request that was sent.
        route: Route,
        /// The request that was sent.
        id: RequestId,
        /// The request that waits on.
        overtaken: RequestId,
        /// Why.
        reason: Reason,
        /// The time until the target of the request that was sent ends, if that is known.
        left: Option<Millis>,
        /// The same of the request that waits on.
        overtaken_left: Option<Millis>,
    },
    /// A request was refused after it had waited for as long as it may.
    Expired {
        /// Its route.
        route: Route,
        /// The request.
        id: RequestId,
        /// The level of its priority, see [`crate::level`].
        level: u8,
        /// Whether its organisation exceeded its share.
        over: bool,
        /// The time until its target ends, if that is known.
        left: Option<Millis>,
        /// The number of requests that are queued for its route.
        queued: usize,
    },
    /// A request was refused on arrival.
    Shed {
        /// Its route.
        route: Route,
        /// The request.
        id: RequestId,
        /// The number of requests that are queued.
        queued: usize,
        /// The predicted time until it would start.
        wait: Millis,
        /// The time until its deadline.
        left: Millis,
        /// The time after which its caller may return.
        retry: Millis,
    },
}

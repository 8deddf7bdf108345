//! The events that the router takes and the actions it returns.

use crate::{Limits, Measurement, UpstreamLimit, BLOCK_TOKENS};
use shaleline_types::{
    Adapter, DataCentre, ErrorKind, Fingerprint, Identity, IncarnationTag, Millis, Model, Org,
    RequestId, Service, SoftwareVersion, Upstream,
};
use std::collections::BTreeMap;
use std::fmt;

/// The number of a send of one request, from 1.
pub type AttemptNumber = u32;

/// The model or service that a request is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Route {
    /// A model, or an adapter on top of it.
    Model {
        /// The model.
        model: Model,
        /// The adapter, if one was requested.
        adapter: Option<Adapter>,
    },
    /// A plain service.
    Service(Service),
}

impl Route {
    /// Returns the model without its adapter, which determines how fast prompts are read.
    pub(crate) fn to_base(&self) -> Self {
        match self {
            Self::Model { model, .. } => Self::Model {
                model: model.clone(),
                adapter: None,
            },
            Self::Service(service) => Self::Service(service.clone()),
        }
    }
}

impl fmt::Display for Route {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model {
                model,
                adapter: None,
            } => write!(f, "models/{model}"),
            Self::Model {
                model,
                adapter: Some(adapter),
            } => write!(f, "models/{model}+{adapter}"),
            Self::Service(service) => write!(f, "services/{service}"),
        }
    }
}

/// What the caller's route allows for a request, where it differs from the router's settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestPolicy {
    /// The longest time in the queue; up to `due` where absent. A request that can't start soon is
    /// better refused while its caller has time to retry.
    pub max_wait: Option<Millis>,
    /// The most upstreams that it may reach.
    pub max_attempts: Option<AttemptNumber>,
    /// The time without a first byte after which a send counts as hanging.
    pub stall_timeout: Option<Millis>,
    /// The longest expected time to the first byte with which it is sent at all.
    pub max_expected: Option<Millis>,
    /// Whether upstreams serve it before work that is not urgent.
    pub urgent: bool,
    /// The largest prompt backlog, its own prompt included, at an upstream to which it is sent. A
    /// prompt that exceeds it alone is sent where the backlog is nearly empty.
    pub backlog_limit: Option<Millis>,
}

impl Default for RequestPolicy {
    fn default() -> Self {
        Self {
            max_wait: None,
            max_attempts: None,
            stall_timeout: None,
            max_expected: None,
            urgent: true,
            backlog_limit: None,
        }
    }
}

/// The load of the other daemons at an upstream, as far as they reported it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerLoad {
    /// Requests that run or wait there.
    pub running: usize,
    /// The backlog ahead of the first token of an urgent request, in milliseconds.
    pub urgent: f64,
    /// The backlog ahead of the first token of any request, in milliseconds.
    pub backlog: f64,
}

/// A request to be routed to an upstream.
#[derive(Debug, Clone)]
pub struct RouteRequest {
    /// The request's id.
    pub id: RequestId,
    /// The incarnation of the daemon that serves its caller; 0 for the router's own.
    pub daemon: u64,
    /// The organisation of its caller.
    pub org: Org,
    /// The model or service that it is for.
    pub route: Route,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The organisation's weight among requests of the same priority.
    pub weight: u64,
    /// The work in prompt and answer tokens, at least 1.
    pub cost: u64,
    /// Hashes of the prompt's prefixes, see [`crate::prefix_chain`].
    pub prefix: Vec<u64>,
    /// The tokens of each block of `prefix`; [`BLOCK_TOKENS`] where absent.
    pub block_sizes: Vec<u32>,
    /// When its first token or answer is due.
    pub due: Millis,
    /// The end of its target, counted from its caller's first attempt; absent if that is not known.
    pub target: Option<Millis>,
    /// Whether it may be sent again after it may have run.
    pub repeatable: bool,
    /// The limits of its organisation.
    pub limits: Limits,
    /// What its route allows.
    pub policy: RequestPolicy,
    /// What it has in common with its caller's other attempts, if known.
    pub identity: Option<Identity>,
    /// The parts of its prompt that other requests may share, in any order.
    pub parts: Vec<Fingerprint>,
    /// The upstreams to which its daemon may not send it, and until when.
    pub excluded: BTreeMap<Upstream, Millis>,
    /// The software version to which it is bound, because an upstream of that version has begun its
    /// answer.
    pub version: Option<SoftwareVersion>,
}

impl RouteRequest {
    /// Returns the fingerprints that it has in common with others which may crash upstreams like it.
    pub(crate) fn causes(&self) -> impl Iterator<Item = &Fingerprint> {
        let own = self.identity.iter().map(|i| &i.request);
        own.chain(&self.parts)
    }

    /// Returns the tokens of the block at `index`.
    pub(crate) fn size(&self, index: usize) -> f64 {
        f64::from(self.block_sizes.get(index).copied().unwrap_or(BLOCK_TOKENS))
    }

    /// Returns its level in the queues, see [`crate::level`].
    pub(crate) fn level(&self) -> u8 {
        crate::level(self.priority, self.policy.urgent)
    }

    /// Returns the tokens of its prompt.
    pub(crate) fn prompt_tokens(&self) -> f64 {
        (0..self.prefix.len()).map(|i| self.size(i)).sum()
    }

    /// Returns its work in tokens if this many of its prompt are not cached.
    pub(crate) fn work(&self, uncached: f64) -> f64 {
        let output = (self.cost as f64 - self.prompt_tokens()).max(1.0);
        uncached + output
    }

    /// Returns for how long its daemon may not send it to an upstream.
    pub(crate) fn excluded_for(&self, upstream: &Upstream, now: Millis) -> Millis {
        let until = self.excluded.get(upstream);
        Millis(until.map_or(0, |until| until.since(now)))
    }

    /// Returns whether an upstream of a software version may serve it.
    pub(crate) fn allows(&self, version: &SoftwareVersion) -> bool {
        self.version.as_ref().is_none_or(|v| v == version)
    }

    /// Returns the time at which it is refused if it was not sent by then.
    pub(crate) fn start_by(&self, now: Millis) -> Millis {
        let wait = self.policy.max_wait.map(|w| now.plus(w.0));
        wait.map_or(self.due, |at| at.min(self.due))
    }
}

/// How a send ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer was received.
    Whole,
    /// The connection failed before a byte of the request was written.
    NotSent,
    /// The upstream refused the request without running it.
    Refused,
    /// It was not sent, because there is no permit for the upstream for this long.
    NoPermit(Millis),
    /// It was not sent, because the upstream is leaving.
    Leaving,
    /// It was not sent, because the upstream takes nothing from its daemon for this long.
    Resting(Millis),
    /// It was not sent, because the upstream does not fit this request by what its daemon knows.
    Unfit,
    /// The send failed after the request was written.
    Broken,
    /// It failed like [`AttemptEnd::Broken`], but because of the path from the daemon that sent it:
    /// another daemon reaches the upstream.
    PathBroken,
    /// The upstream crashed while it ran the request.
    UpstreamEnded(IncarnationTag),
    /// The caller disconnected.
    Cancelled,
}

/// An upstream's own last report of its load, which lags.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that it can run at once within its target, and those that it may queue.
    pub slots: usize,
    /// Requests that it runs at once, where `slots` also counts a queue.
    pub concurrency: Option<usize>,
    /// How long work takes there at the moment of the report, in percent of the usual time, if it
    /// says so.
    pub slowdown: Option<u32>,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The data centre of an upstream and what it serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamInfo {
    /// The data centre.
    pub centre: DataCentre,
    /// The models and services it serves now.
    pub routes: Vec<Route>,
    /// The version of its software.
    pub version: SoftwareVersion,
}

/// An event for the router.
#[derive(Debug, Clone)]
pub enum RouteEvent {
    /// A request arrived.
    Arrive(Box<RouteRequest>),
    /// The first byte of an answer was received.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The attempt it answers.
        attempt: AttemptNumber,
    },
    /// A daemon measured how fast an upstream works, or read it in an answer.
    Measured {
        /// The request.
        id: RequestId,
        /// The attempt that it answers.
        attempt: AttemptNumber,
        /// What was measured.
        measurement: Measurement,
    },
    /// More of an answer was received.
    Progress {
        /// The request.
        id: RequestId,
        /// The attempt it answers.
        attempt: AttemptNumber,
    },
    /// An upstream of a software version has begun an answer that others may continue, so that only
    /// upstreams of this version may.
    Bound {
        /// The request.
        id: RequestId,
        /// The version.
        version: SoftwareVersion,
    },
    /// A send ended.
    Ended {
        /// The request.
        id: RequestId,
        /// The attempt that ended.
        attempt: AttemptNumber,
        /// How it ended.
        end: AttemptEnd,
    },
    /// The caller disconnected.
    CallerGone(RequestId),
    /// An upstream reported its load.
    Report {
        /// The upstream.
        upstream: Upstream,
        /// The reported load.
        load: Load,
    },
    /// The other daemons reported their load at an upstream.
    PeerReport {
        /// The upstream.
        upstream: Upstream,
        /// Their load there.
        load: PeerLoad,
    },
    /// An upstream named, changed or ended its limits.
    Limited {
        /// The upstream.
        upstream: Upstream,
        /// The limits from now on.
        limit: UpstreamLimit,
    },
    /// An upstream that may crash where it has to reject requests has rejected another daemon's.
    Rejected(Upstream),
    /// An upstream is available and serves these routes.
    Serves {
        /// The upstream.
        upstream: Upstream,
        /// Its data centre and routes.
        info: UpstreamInfo,
    },
    /// An upstream gets no new requests, or may get them again.
    Leaving {
        /// The upstream.
        upstream: Upstream,
        /// Whether it is leaving.
        on: bool,
    },
    /// An upstream has restarted under its name: what was learned about it no longer holds.
    Restarted(Upstream),
    /// An upstream no longer exists.
    Removed(Upstream),
    /// An upstream may have cached these prefixes.
    Cached {
        /// The upstream.
        upstream: Upstream,
        /// Hashes from [`crate::prefix_chain`].
        blocks: Vec<u64>,
    },
    /// Time has passed.
    Tick,
}

/// An action for the daemon to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteAction {
    /// Send the request.
    Send {
        /// The request.
        id: RequestId,
        /// The number of this attempt.
        attempt: AttemptNumber,
        /// The upstream to send it to.
        upstream: Upstream,
        /// The expected time to its first byte, as far as prompts determine it.
        expected: Millis,
    },
    /// Cancel a send whose answer no longer counts.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt to cancel.
        attempt: AttemptNumber,
        /// The upstream that it was sent to.
        upstream: Upstream,
    },
    /// Fail the request at once.
    Refuse {
        /// The request.
        id: RequestId,
        /// The reason.
        kind: ErrorKind,
        /// The retry-after time, where it is known better than by the kind of error.
        retry: Option<Millis>,
    },
}

//! What goes into the router and what comes out.

use crate::{Limits, BLOCK_TOKENS};
use shaleline_types::{
    Adapter, DataCentre, ErrorKind, Identity, IncarnationTag, Millis, Model, Org, RequestId,
    Service, Upstream,
};
use std::fmt;

/// Counts the sends of one request, from 1.
pub type AttemptNumber = u32;

/// What a request is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Route {
    /// A model, or an adapter on top of it.
    Model {
        /// The model.
        model: Model,
        /// The adapter, if one is asked for.
        adapter: Option<Adapter>,
    },
    /// A plain service.
    Service(Service),
}

impl Route {
    /// The model without its adapter, which decides how fast prompts are read.
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

/// What the caller's route lets the router do with a request, where that differs from
/// the router's own settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestPolicy {
    /// How long it may wait unsent; as long as `due` allows where absent. A request that
    /// can't start soon is better refused while its caller has time to come back.
    pub max_wait: Option<Millis>,
    /// How many upstreams it may reach at the most.
    pub max_attempts: Option<AttemptNumber>,
    /// How long a send may go without a first byte before it counts as hanging.
    pub stall_timeout: Option<Millis>,
    /// The longest expected time to a first byte with which it is sent at all.
    pub max_expected: Option<Millis>,
    /// Whether upstreams serve it before work that is not urgent.
    pub urgent: bool,
    /// The most work that prompts, its own included, may have ahead at an upstream to which
    /// it is sent. A prompt that is larger by itself is sent where hardly any waits.
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

/// What the other daemons together have at an upstream, as far as they told.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerLoad {
    /// Requests running or waiting there.
    pub running: usize,
    /// Work ahead of the first token of an urgent request, in milliseconds.
    pub urgent: f64,
    /// Work ahead of the first token of any request, in milliseconds.
    pub backlog: f64,
}

/// A request that asks for an upstream.
#[derive(Debug, Clone)]
pub struct RouteRequest {
    /// The request.
    pub id: RequestId,
    /// Whose it is.
    pub org: Org,
    /// What it is for.
    pub route: Route,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The organisation's share among those of its priority.
    pub weight: u64,
    /// The work it asks for: prompt and answer tokens, at least 1.
    pub cost: u64,
    /// Hashes of the prompt's growing prefixes, see [`crate::prefix_chain`].
    pub prefix: Vec<u64>,
    /// The tokens of each block of `prefix`; the usual size where absent.
    pub block_sizes: Vec<u32>,
    /// When its first token or answer is due.
    pub due: Millis,
    /// Whether it may be sent again after it may have run.
    pub repeatable: bool,
    /// The limits of its organisation.
    pub limits: Limits,
    /// What its route allows.
    pub policy: RequestPolicy,
    /// What it has in common with its caller's other attempts; none where that is not known.
    pub identity: Option<Identity>,
}

impl RouteRequest {
    /// The tokens of the block at `index`.
    pub(crate) fn size(&self, index: usize) -> f64 {
        f64::from(self.block_sizes.get(index).copied().unwrap_or(BLOCK_TOKENS))
    }

    /// When it is refused if it was not sent by then.
    pub(crate) fn start_by(&self, now: Millis) -> Millis {
        let wait = self.policy.max_wait.map(|w| now.plus(w.0));
        wait.map_or(self.due, |at| at.min(self.due))
    }
}

/// How a send ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer came.
    Whole,
    /// The connection failed before a byte of the request was written.
    NotSent,
    /// The upstream said that it did not run it.
    Refused,
    /// It failed after the request was written.
    Broken,
    /// The upstream itself ended under it.
    UpstreamEnded(IncarnationTag),
    /// The caller went away.
    Cancelled,
}

/// What an upstream last said of itself. It lags.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// How many requests run.
    pub running: usize,
    /// How many wait.
    pub waiting: usize,
    /// How many it runs at once within its target.
    pub slots: usize,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Where an upstream stands and what it serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamInfo {
    /// Its data centre.
    pub centre: DataCentre,
    /// What it serves now.
    pub routes: Vec<Route>,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum RouteEvent {
    /// A request arrived.
    Arrive(Box<RouteRequest>),
    /// The first byte of an answer came.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The attempt it answers.
        attempt: AttemptNumber,
    },
    /// More of an answer came.
    Progress {
        /// The request.
        id: RequestId,
        /// The attempt it answers.
        attempt: AttemptNumber,
    },
    /// A send ended.
    Ended {
        /// The request.
        id: RequestId,
        /// The attempt that ended.
        attempt: AttemptNumber,
        /// How.
        end: AttemptEnd,
    },
    /// The caller went away.
    CallerGone(RequestId),
    /// An upstream reported its load.
    Report {
        /// The upstream.
        upstream: Upstream,
        /// What it said.
        load: Load,
    },
    /// The other daemons told what they have at an upstream.
    PeerReport {
        /// The upstream.
        upstream: Upstream,
        /// What they have there.
        load: PeerLoad,
    },
    /// An upstream is there and serves these routes.
    Serves {
        /// The upstream.
        upstream: Upstream,
        /// Where and what.
        info: UpstreamInfo,
    },
    /// An upstream is to get no new work, or may again.
    Leaving {
        /// The upstream.
        upstream: Upstream,
        /// Whether it is leaving.
        on: bool,
    },
    /// An upstream has started again under its name: what was learned of it is void.
    Restarted(Upstream),
    /// An upstream is gone.
    Removed(Upstream),
    /// An upstream may hold these prefixes in its cache.
    Cached {
        /// The upstream.
        upstream: Upstream,
        /// Hashes from [`crate::prefix_chain`].
        blocks: Vec<u64>,
    },
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteAction {
    /// Send the request.
    Send {
        /// The request.
        id: RequestId,
        /// The attempt this is.
        attempt: AttemptNumber,
        /// Where to.
        upstream: Upstream,
        /// When its first byte is expected from now, as far as prompts decide that.
        expected: Millis,
    },
    /// Give up a send whose answer no longer counts.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Where it was sent.
        upstream: Upstream,
    },
    /// Tell the caller that it failed, now.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why.
        kind: ErrorKind,
        /// When to come back, where that is known better than by kind.
        retry: Option<Millis>,
    },
}

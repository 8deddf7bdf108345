//! Admission, fair queues, limits, choice of upstream, retries and breakers.
//!
//! [`Router`] is the decision: it takes a [`RouteEvent`] and the time and returns
//! [`RouteAction`]s. It holds no clock and no socket; the daemon and the experiments
//! drive the same code.
//!
//! * An [`Ask`] is admitted against its organisation's [`Limits`], of which each daemon
//!   has a share ([`ShareBook`]).
//! * Where daemons together may admit no more than an [`Allowance`], those that keep parts of it
//!   ([`Granter`]) grant it in small amounts to those that serve ([`Credits`]).
//! * What can't start at once waits in a queue per route; urgent work first, then
//!   weighted fair by organisation. What can't meet its target is refused at once.
//! * An upstream is chosen by what it reports, what this daemon has sent it since, and
//!   which prefixes it may hold ([`prefix_chain`]).
//! * A request under which upstreams ended is watched ([`Crashes`]) and, after three, not sent any
//!   more.
//! * An answer counts only for the attempt that it was made for.
//!
//! The ways that were weighed are in `docs/ROUTING.md`.

mod allowance;
mod apart;
mod ask;
mod breaker;
mod bucket;
mod choose;
mod crashes;
mod credit;
mod drain;
mod ending;
mod estimate;
mod granter;
mod limit;
mod prefix;
mod queue;
mod retry;
mod router;
mod settings;
mod share;
mod stats;
mod upstream;
mod view;
mod waiting;

pub use allowance::{Allowance, Tolerance};
pub use ask::{
    Ask, AttemptNumber, End, Load, PeerLoad, Route, RouteAction, RouteEvent, Site, Terms,
};
pub use choose::Choice;
pub use crashes::{CrashNote, CrashRecord, Crashes, MOST_ENDS};
pub use credit::{Credits, Draw, DrawStep};
pub use drain::{Drain, DrainAction, Unfinished};
pub use granter::{Grant, Granter, Part};
pub use limit::{LimitKind, Limits};
pub use prefix::{prefix_chain, BLOCK_CHARS, BLOCK_TOKENS};
pub use retry::RetrySettings;
pub use router::Router;
pub use settings::{PeerSight, RouterSettings};
pub use share::{share_of, ShareBook};
pub use stats::{RouterStats, UpstreamStats};

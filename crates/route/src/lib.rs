//! Admission, fair queues, limits, selection of upstreams, retries and breakers.
//!
//! [`Router`] makes the decisions: it takes a [`RouteEvent`] and the time and returns
//! [`RouteAction`]s. It holds no clock and no socket; the daemon and the experiments drive the same
//! code.
//!
//! * A [`RouteRequest`] is admitted against its organisation's [`Limits`], of which each daemon has
//!   a share ([`ShareBook`]).
//! * Where daemons together may admit no more than an [`Allowance`], those that hold shares of it
//!   ([`Allocator`]) grant it in small amounts to those that serve ([`Credits`]).
//! * Where an upstream limits its rate over all daemons, the same daemons grant [`Permits`] for
//!   single sends to it.
//! * A request that can't start at once waits in a queue per route; urgent requests come first,
//!   then organisations in weighted fair order. A request that can't meet its target is refused at
//!   once.
//! * An upstream is selected by predicted completion ([`Prediction`]): its reported load, what this
//!   daemon has sent it since, the prefixes it may have cached ([`prefix_chain`]), and its present
//!   speed ([`Speed`]).
//! * A router may select for many daemons. A send that gets no answer while its upstream answers
//!   others holds no slot, and says nothing about the upstream: its daemon may have lost the path.
//! * A request during which upstreams crashed is tracked ([`Crashes`]) and not sent any more after
//!   three crashes; likewise a part of prompts, with all requests whose prompts contain it.
//! * A request whose answer has begun is bound to the software version of the upstream that began
//!   it.
//! * An answer counts only for the attempt that it belongs to.
//!
//! `docs/ROUTING.md` compares the alternatives.

mod allocator;
mod allowance;
mod answer_times;
mod breaker;
mod bucket;
mod completion;
mod crashes;
mod credit;
mod drain;
mod ending;
mod estimate;
mod fair;
mod isolation;
mod limit;
mod limited;
mod pace;
mod part_history;
mod permits;
mod prefix;
mod queue;
mod reach;
mod request;
mod retry;
mod returns;
mod router;
mod schedule;
mod select;
mod settings;
mod share;
mod sound_parts;
mod stats;
mod upstream;
mod versions;
mod view;
mod waiting;

pub use allocator::{Allocator, AllocatorShare, GrantResponse};
pub use allowance::{Allowance, Tolerance};
pub use answer_times::AnswerTimes;
pub use completion::{usable_slots, wait_ms, Measurement, Prediction, Speed};
pub use crashes::{CrashNote, CrashRecord, Crashes, MAX_CRASHES};
pub use credit::{Credits, GrantRequest, GrantStep};
pub use drain::{Drain, DrainAction, Unfinished};
pub use fair::FairShares;
pub use limit::{LimitKind, Limits};
pub use pace::UpstreamLimit;
pub use permits::{PermitResponse, Permits};
pub use prefix::{prefix_chain, BLOCK_CHARS, BLOCK_TOKENS};
pub use request::{
    AttemptEnd, AttemptNumber, Load, PeerLoad, RequestPolicy, Route, RouteAction, RouteEvent,
    RouteRequest, UpstreamInfo,
};
pub use retry::RetrySettings;
pub use router::Router;
pub use schedule::{
    choose, is_hopeless, level, size_class, Candidate, Choice, FreeSlot, Reason, Waiting,
    LATE_INTERVAL, LEAST_URGENT_INTERVAL,
};
pub use select::ChoicePolicy;
pub use settings::{PeerVisibility, RouterSettings};
pub use share::{share_of, ShareBook};
pub use stats::{Occupancy, OpeningCause, QueueNote, RouterStats, UpstreamOpening, UpstreamStats};

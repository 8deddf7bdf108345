//! The shaleline daemon: the same on every instance, none set aside for control.
//!
//! [`Daemon::start`] brings one up from [`Settings`]. Its parts:
//!
//! * [`Core`] is what the parts share: router, journals, membership, configuration view.
//! * The caller's side (`caller`, `completion`, `drive`, `call`, `keyed`) takes requests
//!   to upstreams and back.
//! * The operator's side (`admin`, `dump`) takes changes and shows state.
//! * Actors keep the rest going: [`log_actor`](crate) follows the log's streams, others
//!   exchange heartbeats, poll upstreams, own the cell, write snapshots.
//!
//! All decisions are in the crates below this one; here are clocks, sockets and threads.
//! `docs/ARCHITECTURE.md` follows a request, a change and an order on their way.

mod admin;
mod answer;
mod auth;
mod call;
mod caller;
mod clock;
mod completion;
mod core;
mod directory;
mod drive;
mod dump;
mod emit;
mod flag;
mod forward;
mod guarded;
mod journal;
mod keyed;
mod log_actor;
mod member_actor;
mod metrics;
mod owner_actor;
mod peer_server;
mod settings;
mod snapshot_actor;
mod start;
mod tick_actor;
mod upstream_actor;

pub use crate::core::Core;
pub use emit::start_logging;
pub use flag::Flag;
pub use settings::{Settings, SettingsError};
pub use start::Daemon;

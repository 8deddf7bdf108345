//! The shaleline daemon. Every instance runs the same daemon; there is no separate control plane.
//!
//! [`Daemon::start`] starts a daemon from [`Settings`]. Its parts:
//!
//! * [`Core`] is the shared state: router, journals, membership, configuration view.
//! * The caller's side (`caller`, `completion`, `generation`, `call`, `keyed`) forwards requests
//!   to upstreams and returns their responses.
//! * The operator's side (`admin`, `dump`) accepts changes and shows state.
//! * Actors run the background work: [`log_actor`](crate) follows the log's streams, others
//!   exchange heartbeats, poll upstreams, own the cell and write snapshots.
//!
//! The crates that this one depends on make all decisions; this crate provides clocks, sockets
//! and threads. `docs/ARCHITECTURE.md` describes the path of a request, a change and an order.

mod admin;
mod auth;
mod call;
mod caller;
mod clock;
mod completion;
mod core;
mod directory;
mod dump;
mod emit;
mod flag;
mod forward;
mod generation;
mod guarded;
mod journal;
mod keyed;
mod log_actor;
mod member_actor;
mod metrics;
mod owner_actor;
mod peer_server;
mod response;
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

#[cfg(test)]
#[path = "../tests/unit"]
mod unit {
    mod forward;
}

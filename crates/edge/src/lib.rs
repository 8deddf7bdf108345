//! HTTP/1.1 connections to callers and to upstreams.
//!
//! The daemon on the users' platform needs more information about a connection than most
//! programs: whether a request was written at all, whether its caller still waits, whether
//! bytes of an earlier response are left over, and how to stop without losing a request.
//! `docs/PLATFORM.md` explains why this crate uses `hyper` instead of `actix-web` and `awc`.
//!
//! * [`Clock`] measures the age of connections, including suspensions of the instance.
//! * [`Listener`] serves callers; its [`ListenerControl`] shuts it down in phases.
//! * [`Pool`] keeps connections to upstreams; an [`Exchange`] is one request on one of
//!   them, and dropping it closes the connection, which cancels the request. Its [`Framing`] says
//!   how the end of the response is found.
//! * A [`Connection`] is one to an upstream; simulations have their own.
//! * A [`Tunnels`] connects to upstreams that this instance does not reach itself, by a [`tunnel`]
//!   through another one.
//! * [`MemoryBudget`] counts what the daemon holds for its connections, and decides which of them to
//!   pause and what to shed.

mod budget;
mod caller_stream;
mod clock;
mod connect;
mod connection;
mod control;
mod exchange;
mod head_limit;
mod listener;
mod pool;
mod reply;
pub mod tunnel;
mod unwritten;

pub use budget::{Holder, MemoryBudget, MemoryKind, MemoryLevel, Shed};
pub use clock::{Clock, SuspensionDetector, TimeSource};
pub use connect::{
    connect_directly, open as open_connection, LocalFuture, Opened, Tunnel, Tunnels,
};
pub use connection::{boxed, BoxedConnection, Connection};
pub use control::ListenerControl;
pub use exchange::{Exchange, Framing, SendError, MAX_PAUSE, MAX_TRANSFER};
pub use head_limit::MAX_HEAD_BYTES;
pub use listener::{CallerAddress, Handler, Listener};
pub use pool::{Pool, PoolSettings, ProbeOutcome, Target};
pub use reply::{Chunk, Reply, ReplyBody, ReplyStream};

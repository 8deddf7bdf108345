//! HTTP/1.1 connections to callers and to upstreams.
//!
//! The daemon that runs on the users' platform must know more of a connection than most
//! programs: whether a request was written at all, whether its caller still waits, that
//! nothing is left over from an earlier answer, and how to stop without losing a request.
//! `docs/PLATFORM.md` says why `hyper` serves here and not `actix-web` and `awc`.
//!
//! * [`Clock`] is the clock by which all of this grows old.
//! * [`Listener`] serves callers; its [`ListenerControl`] closes it step by step.
//! * [`Pool`] keeps connections to upstreams; an [`Exchange`] is one request on one of
//!   them, and dropping it closes the connection, which cancels the request.

mod clock;
mod exchange;
mod gate;
mod listener;
mod pool;
mod reply;

pub use clock::{Clock, SuspensionDetector, TimeSource};
pub use exchange::{Exchange, SendError};
pub use gate::ListenerControl;
pub use listener::{CallerAddress, Handler, Listener};
pub use pool::{Pool, PoolSettings, ProbeOutcome, Target};
pub use reply::{Chunk, Reply, ReplyBody, ReplyStream};

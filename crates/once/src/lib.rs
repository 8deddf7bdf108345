//! The at-most-once journal.
//!
//! A daemon may send a keyed request to its upstream only if the replay of the key's stream
//! grants the daemon's `begun` record ([`OnceMachine`]). [`Attempt`] decides, at the daemon that
//! serves the request, how to react to verdicts and upstream answers. If two daemons attempt the
//! same key, the order of the log decides. A known outcome is kept and returned to repeated
//! requests; a request with an unknown outcome is reported as unknown and never run again. See
//! `docs/AT-MOST-ONCE.md`.

mod attempt;
mod journal;
mod key;

pub use attempt::{Attempt, AttemptAction, AttemptEvent, SendOutcome};
pub use journal::{
    KeptAnswer, KeyState, OnceBody, OnceLimits, OnceMachine, OnceVerdict, MAX_KEPT_BODY_BYTES,
};
pub use key::OnceKey;

//! The at-most-once journal.
//!
//! A keyed request may be sent to its upstream only by whoever's `begun` record the
//! replay of the key's stream grants ([`OnceMachine`]). [`Attempt`] decides, at the
//! daemon that serves the request, what to do as verdicts and upstream answers come.
//! Two daemons that both believe to be responsible are settled by the order of the log.
//! What is known of a key's end is kept and given to repeats; what is not known is
//! answered as unknown and never run again. See `docs/AT-MOST-ONCE.md`.

mod attempt;
mod journal;
mod key;

pub use attempt::{Attempt, AttemptAction, AttemptEvent, SendOutcome};
pub use journal::{
    KeptAnswer, KeyState, OnceBody, OnceLimits, OnceMachine, OnceVerdict, MAX_KEPT_BODY_BYTES,
};
pub use key::OnceKey;

//! Runs decisions so that a broken invariant aborts the decision instead of the daemon.

use crate::emit::emit;
use shaleline_types::LogEvent;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, Ordering};

static BROKEN: AtomicU64 = AtomicU64::new(0);

/// Runs `decide` and returns `None` if it panics; the panic is logged and counted. Changes made
/// before the panic remain, but the decision crates check invariants before any effect.
pub(crate) fn guarded<R>(what: &str, decide: impl FnOnce() -> R) -> Option<R> {
    match catch_unwind(AssertUnwindSafe(decide)) {
        Ok(result) => Some(result),
        Err(_) => {
            BROKEN.fetch_add(1, Ordering::Relaxed);
            emit(LogEvent::InvariantBroken, what);
            None
        }
    }
}

/// Returns the number of broken invariants detected since the start.
pub(crate) fn broken() -> u64 {
    BROKEN.load(Ordering::Relaxed)
}

//! Runs a decision so that a broken invariant stops that decision and not the daemon.

use crate::emit::emit;
use shaleline_types::LogEvent;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, Ordering};

static BROKEN: AtomicU64 = AtomicU64::new(0);

/// Runs `decide`. A panic in it is logged and counted, and gives `None`. What the
/// decision had changed by then stays changed; the checks of the crates below come
/// before the effects.
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

/// How many invariants were found broken since the start.
pub(crate) fn broken() -> u64 {
    BROKEN.load(Ordering::Relaxed)
}

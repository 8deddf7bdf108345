//! Keeps the requests of a connection in progress until their responses are written.
//!
//! The HTTP library drops the body of a response when it has taken its last part, which it then writes
//! at the pace of the caller.

use crate::control::RequestGuard;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Whether all that was written to a connection has been passed to the system. The connection and the
/// task that serves it share the flag.
#[derive(Debug, Clone, Default)]
pub(crate) struct Flushed(Arc<AtomicBool>);

impl Flushed {
    pub(crate) fn set(&self, flushed: bool) {
        self.0.store(flushed, Ordering::Relaxed);
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The requests of a connection whose responses the library has taken and not written yet.
#[derive(Debug, Clone)]
pub(crate) struct Unwritten {
    guards: Rc<RefCell<Vec<RequestGuard>>>,
    flushed: Flushed,
}

impl Unwritten {
    pub(crate) fn new(flushed: Flushed) -> Self {
        Self {
            guards: Rc::default(),
            flushed,
        }
    }

    /// Tracks a request until its response is written.
    pub(crate) fn track(&self, guard: RequestGuard) -> UnwrittenGuard {
        UnwrittenGuard {
            guard: Some(guard),
            unwritten: self.clone(),
        }
    }

    /// Ends the requests whose responses are written. Called each time the connection was polled.
    pub(crate) fn on_polled(&self) {
        if self.flushed.get() {
            self.guards.borrow_mut().clear();
        }
    }
}

/// Counts a request as in progress until it is dropped and what was written before is flushed.
#[derive(Debug)]
pub(crate) struct UnwrittenGuard {
    guard: Option<RequestGuard>,
    unwritten: Unwritten,
}

impl Drop for UnwrittenGuard {
    fn drop(&mut self) {
        // The library flushes after it has taken the last part.
        self.unwritten.flushed.set(false);
        let guards = &self.unwritten.guards;
        guards.borrow_mut().extend(self.guard.take());
    }
}

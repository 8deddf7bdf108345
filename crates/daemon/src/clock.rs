//! The one place where clocks are read.

use shaleline_types::Millis;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts with the process, and the wall clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Milliseconds since the start; never runs backwards.
    pub(crate) fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64)
    }

    /// Milliseconds since 1970, for records and people.
    pub(crate) fn wall() -> Millis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Millis(since.map_or(0, |d| d.as_millis() as u64))
    }
}

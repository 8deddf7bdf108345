//! The daemon's clocks. Only this module reads the system's clocks.

use shaleline_types::Millis;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts with the process, with access to the wall clock.
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

    /// Returns the milliseconds since the start. They never decrease.
    pub(crate) fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64)
    }

    /// Returns the milliseconds since the Unix epoch, for records and display.
    pub(crate) fn wall() -> Millis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Millis(since.map_or(0, |d| d.as_millis() as u64))
    }
}

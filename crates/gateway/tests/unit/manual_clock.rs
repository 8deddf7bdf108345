//! A clock that a test sets manually.

use shaleline_edge::TimeSource;
use std::cell::Cell;
use std::time::Duration;

/// Returns the time that was set, in milliseconds.
#[derive(Debug, Default)]
pub struct ManualClock(pub Cell<u64>);

impl TimeSource for ManualClock {
    fn elapsed(&self) -> Duration {
        Duration::from_millis(self.0.get())
    }
}

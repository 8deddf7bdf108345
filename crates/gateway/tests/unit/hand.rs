//! Time that a test lets go by.

use shaleline_edge::TimeSource;
use std::cell::Cell;
use std::time::Duration;

/// Shows so many milliseconds.
#[derive(Debug, Default)]
pub struct Hand(pub Cell<u64>);

impl TimeSource for Hand {
    fn elapsed(&self) -> Duration {
        Duration::from_millis(self.0.get())
    }
}

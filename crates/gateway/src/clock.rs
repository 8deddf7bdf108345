//! The steady clock of a process.

use shaleline_types::Millis;
use std::time::{Duration, Instant};

/// Counts milliseconds from an arbitrary start, never backwards.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock(Instant);

/// The first value is above any window that looks back, so that "long ago" has room.
const START: u64 = 1_000_000;

impl Clock {
    pub(crate) fn new() -> Self {
        Self(Instant::now())
    }

    pub(crate) fn now(&self) -> Millis {
        Millis(START + self.0.elapsed().as_millis() as u64)
    }

    /// The instant of a time, for timers.
    pub(crate) fn instant(&self, at: Millis) -> tokio::time::Instant {
        let elapsed = Duration::from_millis(at.0.saturating_sub(START));
        (self.0 + elapsed).into()
    }
}

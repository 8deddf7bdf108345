//! The time between the events of a stream, which shows how fast its engine works.

use shaleline_route::Measurement;
use shaleline_types::Millis;

/// The fewest intervals that are reported: with fewer, the first tokens after a prompt count most.
const MIN_INTERVALS: u32 = 3;

/// A caller that takes longer to accept an event holds the stream up, so that the next events are
/// read from buffers.
const MAX_ACCEPT_MS: u64 = 5;

/// Measures the intervals between events that arrive from one upstream.
#[derive(Debug, Default)]
pub(crate) struct EventPace {
    intervals: u32,
    first: Option<Millis>,
    latest: Millis,
    /// Whether the caller held the stream up.
    held: bool,
}

impl EventPace {
    /// Records that an event arrived.
    pub(crate) fn on_event(&mut self, now: Millis) {
        match self.first {
            None => self.first = Some(now),
            Some(_) => self.intervals += 1,
        }
        self.latest = now;
    }

    /// Records that the caller accepted an event after this time.
    pub(crate) fn on_accepted(&mut self, waited: Millis) {
        self.held |= waited.0 > MAX_ACCEPT_MS;
    }

    /// Returns the measurement, unless the caller held the stream up or there were few events.
    pub(crate) fn to_measurement(&self) -> Option<Measurement> {
        let first = self.first.filter(|_| !self.held)?;
        (self.intervals >= MIN_INTERVALS).then(|| Measurement {
            intervals: self.intervals,
            elapsed: Millis(self.latest.since(first)),
            slowdown: None,
        })
    }
}

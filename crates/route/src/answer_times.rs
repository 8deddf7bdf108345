//! How long answers take to begin.

use shaleline_types::Millis;

/// The weight of one answer in the moving average.
const STEP: f64 = 0.05;

/// A send is overdue after no less than this time, which covers the exchange of datagrams with its
/// daemon.
const MIN_OVERDUE_MS: f64 = 100.0;

/// The time after which a send is overdue while nothing is known.
const UNKNOWN_OVERDUE_MS: f64 = 1_000.0;

/// The mean time from a send to the first byte of its answer.
#[derive(Debug, Default, Clone, Copy)]
pub struct AnswerTimes {
    mean: Option<f64>,
}

impl AnswerTimes {
    /// Records that an answer began after this time.
    pub fn record(&mut self, waited: Millis) {
        let waited = waited.0 as f64;
        let mean = self.mean.unwrap_or(waited);
        self.mean = Some(mean + (waited - mean) * STEP);
    }

    /// Returns the time after which a send without an answer is overdue: this many mean times.
    #[must_use]
    pub fn overdue(&self, factor: f64) -> Millis {
        let mean = self.mean.map(|m| m * factor);
        let overdue = mean.map_or(UNKNOWN_OVERDUE_MS, |m| m.max(MIN_OVERDUE_MS));
        Millis(overdue as u64)
    }
}

//! One daemon's part of the appends that the log accepts.

use shaleline_types::Millis;

const BURST_MS: u64 = 1_000;

/// A token bucket in thousandths of an append. The log's rate is divided by the number
/// of live daemons, so that the sum holds without asking anybody.
#[derive(Debug, Clone)]
pub struct AppendBudget {
    rate: u64,
    level: u64,
    last: Millis,
}

impl AppendBudget {
    /// A full bucket that refills by `per_second` appends a second.
    #[must_use]
    pub fn new(per_second: u64, now: Millis) -> Self {
        let rate = per_second.max(1);
        Self {
            rate,
            level: rate * BURST_MS,
            last: now,
        }
    }

    /// Changes the rate when daemons come or go.
    pub fn set_rate(&mut self, per_second: u64) {
        self.rate = per_second.max(1);
    }

    /// Takes one append if the budget allows it now.
    pub fn try_take(&mut self, now: Millis) -> bool {
        let gained = now.since(self.last).saturating_mul(self.rate);
        self.last = self.last.max(now);
        self.level = (self.level + gained).min(self.rate * BURST_MS);
        if self.level < 1_000 {
            return false;
        }
        self.level -= 1_000;
        true
    }
}

//! One daemon's share of the append rate of the log.

use shaleline_types::Millis;

const BURST_MS: u64 = 1_000;

/// A token bucket that counts in thousandths of an append. Each daemon gets the log's rate divided
/// by the number of live daemons, so that the total is bounded without coordination.
#[derive(Debug, Clone)]
pub struct AppendBudget {
    rate: u64,
    available: u64,
    last: Millis,
}

impl AppendBudget {
    /// Creates a full bucket that refills at `per_second` appends per second.
    #[must_use]
    pub fn new(per_second: u64, now: Millis) -> Self {
        let rate = per_second.max(1);
        Self {
            rate,
            available: rate * BURST_MS,
            last: now,
        }
    }

    /// Changes the refill rate, for example when a daemon joins or leaves.
    pub fn set_rate(&mut self, per_second: u64) {
        self.rate = per_second.max(1);
    }

    /// Consumes one append if the budget allows it now, and returns whether it did.
    pub fn try_take(&mut self, now: Millis) -> bool {
        let gained = now.since(self.last).saturating_mul(self.rate);
        self.last = self.last.max(now);
        self.available = (self.available + gained).min(self.rate * BURST_MS);
        if self.available < 1_000 {
            return false;
        }
        self.available -= 1_000;
        true
    }
}

//! Watches which daemons may give orders.

/// The holders of the planner lease over time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Holders {
    /// The most daemons that held it at once.
    pub most: usize,
    highest_fence: u64,
    /// Whether a daemon held it with a lower fencing token than an earlier one.
    pub went_back: bool,
    last_held: u64,
    /// The longest time without a holder, in milliseconds.
    pub longest_gap: u64,
}

impl Holders {
    /// Records the fencing tokens of all daemons that hold it now.
    pub fn record(&mut self, fences: &[u64], now: u64) {
        self.most = self.most.max(fences.len());
        let Some(highest) = fences.iter().max() else {
            self.longest_gap = self.longest_gap.max(now - self.last_held);
            return;
        };
        self.last_held = now;
        self.went_back |= *highest < self.highest_fence;
        self.highest_fence = self.highest_fence.max(*highest);
    }

    /// Counts gaps from now on.
    pub fn reset_gap(&mut self, now: u64) {
        self.last_held = now;
        self.longest_gap = 0;
    }
}

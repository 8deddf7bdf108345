//! A budget that keeps retries a small part of the traffic.

/// Each success earns a tenth of a retry.
const EARNED: f64 = 0.1;
const MOST: f64 = 50.0;
const START: f64 = 10.0;

/// Retries that may be made now.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    level: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { level: START }
    }
}

impl RetryBudget {
    pub(crate) fn on_success(&mut self) {
        self.level = (self.level + EARNED).min(MOST);
    }

    pub(crate) fn take(&mut self) -> bool {
        let ok = self.level >= 1.0;
        if ok {
            self.level -= 1.0;
        }
        ok
    }
}

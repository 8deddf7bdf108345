//! A token bucket.

use shaleline_types::Millis;

/// A bucket that refills at a rate and may go into debt: the cost of a request may be known only
/// when it ends, or may exceed the bucket's capacity.
#[derive(Debug, Clone)]
pub(crate) struct Bucket {
    level: f64,
    last: Millis,
}

impl Bucket {
    pub(crate) fn new(level: f64, now: Millis) -> Self {
        Self { level, last: now }
    }

    /// Adds what `rate` per second yields since the last refill, up to `capacity`.
    pub(crate) fn refill(&mut self, rate: f64, capacity: f64, now: Millis) {
        let gained = now.since(self.last) as f64 * rate / 1_000.0;
        self.last = self.last.max(now);
        self.level = (self.level + gained).min(capacity);
    }

    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    pub(crate) fn last(&self) -> Millis {
        self.last
    }

    pub(crate) fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    pub(crate) fn put_back(&mut self, amount: f64, capacity: f64) {
        self.level = (self.level + amount).min(capacity);
    }

    /// Returns the time until the bucket holds `need`, or `None` where it never refills.
    pub(crate) fn wait(&self, need: f64, rate: f64) -> Option<Millis> {
        let missing = need - self.level;
        if missing <= 0.0 {
            return Some(Millis(0));
        }
        (rate > 0.0).then(|| Millis((missing * 1_000.0 / rate).ceil() as u64))
    }
}

//! Permits for sends to upstreams that limit their rate over all daemons.
//!
//! The daemons that hold shares of the organisations' allowances hold the same shares of each
//! limited upstream's rate. A permit is one whole request and is deducted at once, whether it is
//! used or lost. `docs/design/upstream-limits.md` compares the alternatives.

use crate::bucket::Bucket;
use shaleline_types::{Millis, Upstream};
use std::collections::HashMap;

/// The permits that a holder of a share may save up. With more of them, the sum over all holders
/// would exceed what upstreams tolerate at once.
const CAPACITY: f64 = 1.0;

/// The response to a daemon that needs a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitResponse {
    /// One request may be sent.
    Granted,
    /// No permit is left; the value is the time until the next one.
    Denied(Millis),
    /// This daemon holds no share, so it can neither grant nor deny.
    NoShare,
}

/// The permits of a daemon that holds a share of the upstreams' rates.
#[derive(Debug, Default)]
pub struct Permits {
    share: f64,
    /// The time for which it has held its share, in seconds of holding all of it.
    full_seconds: f64,
    counted_until: Millis,
    buckets: HashMap<Upstream, (f64, Bucket)>,
}

impl Permits {
    /// Sets the share that the daemon holds from now on; up to now it held the previous one.
    pub fn set_share(&mut self, share: f64, now: Millis) {
        self.count_time(now);
        let before = self.share;
        for (rate, bucket) in self.buckets.values_mut() {
            bucket.refill(*rate * before, CAPACITY, now);
        }
        if share <= 0.0 {
            self.full_seconds = 0.0;
            self.buckets.clear();
        }
        self.share = share;
    }

    /// Returns the share that the daemon holds.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Responds to a daemon that needs a permit for an upstream, which takes `rate` requests per
    /// second.
    pub fn request(&mut self, upstream: &Upstream, rate: f64, now: Millis) -> PermitResponse {
        if self.share <= 0.0 {
            return PermitResponse::NoShare;
        }
        self.count_time(now);
        let (share, earned) = (self.share, rate * self.full_seconds);
        // Permits of an earlier holder are unknown, so a new account starts with what accrued
        // since.
        let new = || (rate, Bucket::new(earned.min(CAPACITY), now));
        let account = self.buckets.entry(upstream.clone()).or_insert_with(new);
        account.1.refill(account.0 * share, CAPACITY, now);
        account.0 = rate;
        if account.1.level() >= 1.0 {
            account.1.take(1.0);
            return PermitResponse::Granted;
        }
        /// The time after which a daemon asks again where the upstream takes nothing at all.
        const NO_RATE_WAIT: Millis = Millis(1_000);
        let wait = account.1.wait(1.0, rate * share).unwrap_or(NO_RATE_WAIT);
        PermitResponse::Denied(Millis(wait.0.max(1)))
    }

    /// Returns the permits that are left for an upstream.
    #[must_use]
    pub fn level(&self, upstream: &Upstream) -> f64 {
        self.buckets.get(upstream).map_or(0.0, |(_, b)| b.level())
    }

    /// Drops an upstream that limits its rate no more.
    pub fn forget(&mut self, upstream: &Upstream) {
        self.buckets.remove(upstream);
    }

    /// Adds the time for which the current share was held.
    fn count_time(&mut self, now: Millis) {
        let seconds = now.since(self.counted_until) as f64 / 1_000.0;
        self.full_seconds += seconds * self.share;
        self.counted_until = now;
    }
}

//! An organisation's limits and its use of this daemon's share of them.

use crate::bucket::Bucket;
use crate::ShareBook;
use shaleline_types::{Millis, Org};
use std::collections::BTreeMap;

/// The duration whose rate may be used at once.
const BURST_MS: f64 = 1_000.0;

/// An organisation's limits over all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Requests per second.
    pub rate: u64,
    /// Concurrent requests.
    pub concurrency: u64,
    /// Tokens per second.
    pub tokens: u64,
}

/// The kind of limit that a request exceeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LimitKind {
    /// Requests per second.
    Rate,
    /// Concurrent requests.
    Concurrency,
    /// Tokens per second.
    Tokens,
}

impl LimitKind {
    /// All kinds of limits.
    pub const ALL: [Self; 3] = [Self::Rate, Self::Concurrency, Self::Tokens];

    /// Returns the name used between daemons.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Rate => "rate",
            Self::Concurrency => "concurrency",
            Self::Tokens => "tokens",
        }
    }
}

impl Limits {
    /// Returns the limit of this kind.
    #[must_use]
    pub fn get(&self, kind: LimitKind) -> u64 {
        match kind {
            LimitKind::Rate => self.rate,
            LimitKind::Concurrency => self.concurrency,
            LimitKind::Tokens => self.tokens,
        }
    }
}

fn refill(bucket: &mut Bucket, rate: u64, now: Millis) {
    let capacity = (rate as f64 * BURST_MS / 1_000.0).max(1.0);
    bucket.refill(rate as f64, capacity, now);
}

/// Returns the time until one more request is admitted.
fn wait(bucket: &Bucket, rate: u64) -> Millis {
    let wait = bucket.wait(1.0, rate.max(1) as f64);
    wait.expect("the refill rate is positive")
}

#[derive(Debug)]
struct Usage {
    rate: Bucket,
    tokens: Bucket,
    running: u64,
}

/// The use of each organisation at this daemon.
#[derive(Debug, Default)]
pub(crate) struct Limiter {
    orgs: BTreeMap<Org, Usage>,
}

impl Limiter {
    /// Admits a request, or returns the limit that it exceeds and the retry-after time.
    pub(crate) fn admit(
        &mut self,
        org: &Org,
        limits: &Limits,
        shares: &ShareBook,
        now: Millis,
    ) -> Result<(), (LimitKind, Millis)> {
        let share = |kind| shares.share(org, kind, limits.get(kind), now);
        let (rate, tokens, max_running) = (
            share(LimitKind::Rate),
            share(LimitKind::Tokens),
            share(LimitKind::Concurrency),
        );
        // The length of an answer is not known in advance: it is charged when the answer ends, and
        // delays the next request.
        let full = |rate: u64| Bucket::new(rate as f64, now);
        let fresh = || Usage {
            rate: full(rate),
            tokens: full(tokens),
            running: 0,
        };
        let usage = self.orgs.entry(org.clone()).or_insert_with(fresh);
        refill(&mut usage.rate, rate, now);
        refill(&mut usage.tokens, tokens, now);
        if usage.running >= max_running {
            return Err((LimitKind::Concurrency, Millis(200)));
        }
        if rate == 0 || usage.rate.level() < 1.0 {
            return Err((LimitKind::Rate, wait(&usage.rate, rate)));
        }
        if tokens == 0 || usage.tokens.level() < 1.0 {
            return Err((LimitKind::Tokens, wait(&usage.tokens, tokens)));
        }
        usage.rate.take(1.0);
        usage.running += 1;
        Ok(())
    }

    /// Charges the cost of an answer and frees its slot.
    pub(crate) fn finish(&mut self, org: &Org, tokens: u64) {
        if let Some(usage) = self.orgs.get_mut(org) {
            usage.tokens.take(tokens as f64);
            usage.running = usage.running.saturating_sub(1);
        }
    }

    /// Returns the number of the organisation's requests that are admitted and have not ended.
    pub(crate) fn running(&self, org: &Org) -> u64 {
        self.orgs.get(org).map_or(0, |u| u.running)
    }

    /// Drops organisations that have nothing running and were idle for a minute.
    pub(crate) fn prune(&mut self, now: Millis) {
        let quiet = |u: &Usage| u.running == 0 && now.since(u.rate.last()) > 60_000;
        self.orgs.retain(|_, u| !quiet(u));
    }
}

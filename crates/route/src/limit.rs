//! An organisation's limits, as far as this daemon may use them.

use crate::bucket::Bucket;
use crate::ShareBook;
use shaleline_types::{Millis, Org};
use std::collections::BTreeMap;

/// How much of a second's allowance may be used at once.
const BURST_MS: f64 = 1_000.0;

/// What an organisation may use over all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Requests a second.
    pub rate: u64,
    /// Requests at once.
    pub concurrency: u64,
    /// Tokens a second.
    pub tokens: u64,
}

/// Which limit stood in the way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LimitKind {
    /// Requests a second.
    Rate,
    /// Requests at once.
    Concurrency,
    /// Tokens a second.
    Tokens,
}

impl LimitKind {
    /// Every limit.
    pub const ALL: [Self; 3] = [Self::Rate, Self::Concurrency, Self::Tokens];

    /// The word for it between daemons.
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
    /// The value of one limit.
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
    let most = (rate as f64 * BURST_MS / 1_000.0).max(1.0);
    bucket.refill(rate as f64, most, now);
}

/// How long until one more is admitted.
fn wait(bucket: &Bucket, rate: u64) -> Millis {
    let wait = bucket.wait(1.0, rate.max(1) as f64);
    wait.expect("something comes in")
}

#[derive(Debug)]
struct Usage {
    rate: Bucket,
    tokens: Bucket,
    running: u64,
}

/// What each organisation has used at this daemon.
#[derive(Debug, Default)]
pub(crate) struct Limiter {
    orgs: BTreeMap<Org, Usage>,
}

impl Limiter {
    /// Admits a request, or says which limit stands in the way and for how long.
    pub(crate) fn admit(
        &mut self,
        org: &Org,
        limits: &Limits,
        shares: &ShareBook,
        now: Millis,
    ) -> Result<(), (LimitKind, Millis)> {
        let share = |kind| shares.share(org, kind, limits.get(kind), now);
        let (rate, tokens, most) = (
            share(LimitKind::Rate),
            share(LimitKind::Tokens),
            share(LimitKind::Concurrency),
        );
        // An answer's length is not known beforehand: it is charged when it ends, and the next
        // request waits.
        let full = |rate: u64| Bucket::new(rate as f64, now);
        let fresh = || Usage {
            rate: full(rate),
            tokens: full(tokens),
            running: 0,
        };
        let used = self.orgs.entry(org.clone()).or_insert_with(fresh);
        refill(&mut used.rate, rate, now);
        refill(&mut used.tokens, tokens, now);
        if used.running >= most {
            return Err((LimitKind::Concurrency, Millis(200)));
        }
        if rate == 0 || used.rate.level() < 1.0 {
            return Err((LimitKind::Rate, wait(&used.rate, rate)));
        }
        if tokens == 0 || used.tokens.level() < 1.0 {
            return Err((LimitKind::Tokens, wait(&used.tokens, tokens)));
        }
        used.rate.take(1.0);
        used.running += 1;
        Ok(())
    }

    /// Charges what an answer cost and frees its place.
    pub(crate) fn finish(&mut self, org: &Org, tokens: u64) {
        if let Some(used) = self.orgs.get_mut(org) {
            used.tokens.take(tokens as f64);
            used.running = used.running.saturating_sub(1);
        }
    }

    /// How many requests of the organisation are admitted and not ended.
    pub(crate) fn running(&self, org: &Org) -> u64 {
        self.orgs.get(org).map_or(0, |u| u.running)
    }

    /// Forgets organisations with nothing running that have been quiet for a while.
    pub(crate) fn prune(&mut self, now: Millis) {
        let quiet = |u: &Usage| u.running == 0 && now.since(u.rate.last()) > 60_000;
        self.orgs.retain(|_, u| !quiet(u));
    }
}

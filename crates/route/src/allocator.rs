//! A daemon that keeps a part of each organisation's allowance and grants it in small amounts.
//!
//! The parts of all granters add up to one at most, so no two of them need to agree on anything
//! but their parts. What is granted is taken off at once, whether it is used or lost.

use crate::bucket::Bucket;
use crate::{Allowance, Tolerance};
use shaleline_types::{Millis, Org};
use std::collections::HashMap;

/// The longest time to come back that is told: callers do not wait longer.
const MAX_RETRY_AFTER: Millis = Millis(5_000);

/// The part of all allowances that a granter keeps.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AllocatorShare {
    /// Between 0 and 1.
    pub fraction: f64,
    /// How many daemons there are that hold something in advance.
    pub daemons: usize,
}

impl AllocatorShare {
    /// No part of anything.
    pub const NONE: Self = Self {
        fraction: 0.0,
        daemons: 1,
    };
}

/// The answer to a daemon that asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantResponse {
    /// What it asked for, and so much in advance.
    Granted(u64),
    /// Not now; when to come back.
    Denied(Millis),
    /// It keeps no part, so it can neither grant nor deny.
    NoShare,
}

#[derive(Debug)]
struct Account {
    bucket: Bucket,
    /// Callers who were sent away come back one after the other, up to this time.
    reserved_until: Millis,
}

/// What one granter has left for each organisation.
#[derive(Debug)]
pub struct Allocator {
    share: AllocatorShare,
    /// For how many seconds it has kept all there is, a part counted as a part of the time.
    full_seconds: f64,
    /// Up to when that is counted.
    counted_until: Millis,
    tolerance: Tolerance,
    accounts: HashMap<Org, Account>,
}

impl Allocator {
    /// A granter that keeps nothing yet.
    #[must_use]
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            share: AllocatorShare::NONE,
            full_seconds: 0.0,
            counted_until: Millis(0),
            tolerance,
            accounts: HashMap::new(),
        }
    }

    /// Takes over what the platform bears.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Sets the part that it keeps from now on; up to now it kept the one before. `allowance_of` is
    /// what an organisation may use, none where there is no limit or no such organisation.
    pub fn set_share(
        &mut self,
        share: AllocatorShare,
        allowance_of: impl Fn(&Org) -> Option<Allowance>,
        now: Millis,
    ) {
        let (before, tolerance) = (self.share, self.tolerance);
        self.count_time(now);
        if share.fraction <= 0.0 {
            self.full_seconds = 0.0;
        }
        self.accounts.retain(|org, account| {
            let allowance = allowance_of(org);
            if let Some(allowance) = allowance {
                refill(account, &allowance, before, tolerance, now);
                // A smaller part holds less.
                refill(account, &allowance, share, tolerance, now);
            }
            allowance.is_some()
        });
        self.share = share;
    }

    /// The part that it keeps.
    #[must_use]
    pub fn share(&self) -> AllocatorShare {
        self.share
    }

    /// Answers a daemon that needs `need` for a request and holds `held` in advance.
    pub fn request(
        &mut self,
        org: &Org,
        allowance: &Allowance,
        need: u64,
        held: u64,
        now: Millis,
    ) -> GrantResponse {
        let (share, tolerance) = (self.share, self.tolerance);
        if share.fraction <= 0.0 {
            return GrantResponse::NoShare;
        }
        let account = self.account(org, allowance, now);
        refill(account, allowance, share, tolerance, now);
        let cost = need as f64;
        let max_level = capacity(allowance, share, tolerance);
        let split = tolerance.split(allowance, share.daemons);
        // A request that is larger than all it may hold goes into debt.
        let least = cost.min(max_level).max(cost - split.debt * share.fraction);
        if account.bucket.level() >= least {
            account.bucket.take(cost);
            let credit = split.credit - held as f64;
            // What others may need at once is not given away in advance.
            let spare = account.bucket.level() - max_level / 2.0;
            let advance = credit.min(spare).max(0.0).floor();
            account.bucket.take(advance);
            return GrantResponse::Granted(need + advance as u64);
        }
        if least > max_level {
            return GrantResponse::Denied(MAX_RETRY_AFTER);
        }
        GrantResponse::Denied(reserve_retry(account, allowance, share, least, now))
    }

    /// Takes back what was granted for a request that did not run.
    pub fn refund(&mut self, org: &Org, allowance: &Allowance, amount: u64, now: Millis) {
        let max_level = capacity(allowance, self.share, self.tolerance);
        let account = self.account(org, allowance, now);
        account.bucket.put_back(amount as f64, max_level);
    }

    /// What is left for each organisation, for operators.
    pub fn levels(&self) -> impl Iterator<Item = (&Org, f64)> {
        self.accounts.iter().map(|(o, a)| (o, a.bucket.level()))
    }

    /// Counts for how long it has kept what it keeps.
    fn count_time(&mut self, now: Millis) {
        let seconds = now.since(self.counted_until) as f64 / 1_000.0;
        self.full_seconds += seconds * self.share.fraction;
        self.counted_until = now;
    }

    /// What was used before this granter kept its part is not known: a new account has what came
    /// in since.
    fn account(&mut self, org: &Org, allowance: &Allowance, now: Millis) -> &mut Account {
        self.count_time(now);
        let earned = allowance.rate * self.full_seconds;
        let max_level = capacity(allowance, self.share, self.tolerance);
        self.accounts.entry(org.clone()).or_insert_with(|| Account {
            bucket: Bucket::new(earned.min(max_level), now),
            reserved_until: now,
        })
    }
}

/// The most that a part of an allowance holds at once.
fn capacity(allowance: &Allowance, share: AllocatorShare, tolerance: Tolerance) -> f64 {
    let split = tolerance.split(allowance, share.daemons);
    (allowance.burst + split.storage) * share.fraction
}

fn refill(
    account: &mut Account,
    allowance: &Allowance,
    share: AllocatorShare,
    tolerance: Tolerance,
    now: Millis,
) {
    let max_level = capacity(allowance, share, tolerance);
    let rate = allowance.rate * share.fraction;
    account.bucket.refill(rate, max_level, now);
}

/// When to come back: each caller after the one before, so that they do not come all at once.
fn reserve_retry(
    account: &mut Account,
    allowance: &Allowance,
    share: AllocatorShare,
    need: f64,
    now: Millis,
) -> Millis {
    let rate = allowance.rate * share.fraction;
    let Some(wait) = account.bucket.wait(need, rate) else {
        return MAX_RETRY_AFTER;
    };
    let latest = now.plus(MAX_RETRY_AFTER.0);
    let at = now.plus(wait.0).max(account.reserved_until).min(latest);
    let takes = (need * 1_000.0 / rate).ceil() as u64;
    account.reserved_until = at.plus(takes).min(latest);
    Millis(at.since(now).max(1))
}

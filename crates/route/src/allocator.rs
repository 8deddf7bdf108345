//! The daemon that holds a share of each organisation's allowance and grants small amounts of it.
//!
//! The shares of all allocators add up to one at most, so allocators need no agreement beyond the
//! shares themselves. A granted amount is deducted at once, whether it is used or lost.

use crate::bucket::Bucket;
use crate::{Allowance, Tolerance};
use shaleline_types::{Millis, Org};
use std::collections::HashMap;

/// The longest retry-after time that is returned: callers don't wait longer.
const MAX_RETRY_AFTER: Millis = Millis(5_000);

/// The share of all allowances that an allocator holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AllocatorShare {
    /// The share as a fraction between 0 and 1.
    pub fraction: f64,
    /// The number of daemons that may hold credit in advance.
    pub daemons: usize,
}

impl AllocatorShare {
    /// A share of zero.
    pub const NONE: Self = Self {
        fraction: 0.0,
        daemons: 1,
    };
}

/// The allocator's response to a grant request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantResponse {
    /// The amount granted: the requested amount plus credit in advance.
    Granted(u64),
    /// The request is denied; the value is the retry-after time.
    Denied(Millis),
    /// The allocator holds no share, so it can neither grant nor deny.
    NoShare,
}

#[derive(Debug)]
struct Account {
    bucket: Bucket,
    /// Denied callers are given retry-after times one after the other, up to this time.
    reserved_until: Millis,
}

/// The remaining allowance of each organisation at one allocator.
#[derive(Debug)]
pub struct Allocator {
    share: AllocatorShare,
    /// The time for which the allocator has held its share, in seconds of holding all of it.
    full_seconds: f64,
    /// The time up to which `full_seconds` is counted.
    counted_until: Millis,
    tolerance: Tolerance,
    accounts: HashMap<Org, Account>,
}

impl Allocator {
    /// Creates an allocator that holds no share yet.
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

    /// Sets the tolerance for use above an allowance.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Sets the share that the allocator holds from now on; up to now it held the previous one.
    /// `allowance_of` returns an organisation's allowance, or `None` where it has no limit or no
    /// longer exists.
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
                // A smaller share has a smaller capacity.
                refill(account, &allowance, share, tolerance, now);
            }
            allowance.is_some()
        });
        self.share = share;
    }

    /// Returns the share that the allocator holds.
    #[must_use]
    pub fn share(&self) -> AllocatorShare {
        self.share
    }

    /// Responds to a daemon that needs `need` for a request and holds `held` as credit.
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
        // A request that exceeds the bucket's capacity is charged as debt.
        let required = cost.min(max_level).max(cost - split.debt * share.fraction);
        if account.bucket.level() >= required {
            account.bucket.take(cost);
            let credit = split.credit - held as f64;
            // Half of the capacity is kept back, as other daemons may need it at once.
            let spare = account.bucket.level() - max_level / 2.0;
            let advance = credit.min(spare).max(0.0).floor();
            account.bucket.take(advance);
            return GrantResponse::Granted(need + advance as u64);
        }
        if required > max_level {
            return GrantResponse::Denied(MAX_RETRY_AFTER);
        }
        GrantResponse::Denied(reserve_retry(account, allowance, share, required, now))
    }

    /// Returns the amount granted for a request that didn't run.
    pub fn refund(&mut self, org: &Org, allowance: &Allowance, amount: u64, now: Millis) {
        let max_level = capacity(allowance, self.share, self.tolerance);
        let account = self.account(org, allowance, now);
        account.bucket.put_back(amount as f64, max_level);
    }

    /// Returns the amount left for each organisation, for operators.
    pub fn levels(&self) -> impl Iterator<Item = (&Org, f64)> {
        self.accounts.iter().map(|(o, a)| (o, a.bucket.level()))
    }

    /// Adds the time for which the current share was held.
    fn count_time(&mut self, now: Millis) {
        let seconds = now.since(self.counted_until) as f64 / 1_000.0;
        self.full_seconds += seconds * self.share.fraction;
        self.counted_until = now;
    }

    /// Use before the allocator held its share is unknown, so a new account starts with what
    /// accrued since.
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

/// The most that a share of an allowance can hold at once.
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

/// Returns a retry-after time and reserves it, so that denied callers don't retry all at once.
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
    let refill_ms = (need * 1_000.0 / rate).ceil() as u64;
    account.reserved_until = at.plus(refill_ms).min(latest);
    Millis(at.since(now).max(1))
}

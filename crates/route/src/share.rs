//! This daemon's share of each organisation's limits.
//!
//! A limit is divided over the live daemons without remainder, so that the shares add up to it. A
//! share shrinks at once and grows with a delay, so that the sum holds even while daemons disagree
//! on which of them are alive. A daemon lends what it doesn't use to another for a limited time;
//! the lender counts the loan for longer than the borrower does.

use crate::{LimitKind, Limits};
use shaleline_types::{rank, Millis, Org};
use std::collections::BTreeMap;

/// The delay before a larger share is used: longer than daemons take to agree on which of them are
/// alive.
const GROW_DELAY_MS: u64 = 3_000;

/// The duration of a loan for the borrower, and how much longer the lender counts it.
const LOAN_MS: u64 = 10_000;
const LOAN_MARGIN_MS: u64 = 2_000;

/// Returns the share of `limit` of the daemon `me` among `members`, which must include it. The
/// shares of all members add up to the limit.
#[must_use]
pub fn share_of(limit: u64, key: &str, me: &str, members: &[&str]) -> u64 {
    let count = members.len().max(1) as u64;
    let ranked = rank(key, members.iter().copied());
    let position = ranked.iter().position(|m| *m == me);
    let extra = position.is_some_and(|p| (p as u64) < limit % count);
    limit / count + u64::from(extra)
}

#[derive(Debug, Clone)]
struct Loan {
    amount: u64,
    until: Millis,
}

#[derive(Debug, Default)]
struct Account {
    lent: Vec<Loan>,
    borrowed: Vec<Loan>,
}

fn sum(loans: &[Loan], now: Millis) -> u64 {
    let open = loans.iter().filter(|l| l.until > now);
    open.map(|l| l.amount).sum()
}

/// This daemon's shares of all limits.
#[derive(Debug, Default)]
pub struct ShareBook {
    me: String,
    members: Vec<String>,
    /// Departed members by which the limits are still divided, each with the time until which it
    /// counts.
    departed: BTreeMap<String, Millis>,
    grows_at: Option<Millis>,
    accounts: BTreeMap<(Org, LimitKind), Account>,
}

impl ShareBook {
    /// Creates the shares of a single daemon, which may use everything at once; only for a daemon
    /// that knows it has no peers.
    #[must_use]
    pub fn alone(me: &str) -> Self {
        Self {
            me: me.to_owned(),
            members: vec![me.to_owned()],
            departed: BTreeMap::new(),
            grows_at: Some(Millis(0)),
            accounts: BTreeMap::new(),
        }
    }

    /// Creates the shares of a daemon that joins others, which start at zero.
    #[must_use]
    pub fn joining(me: &str, now: Millis) -> Self {
        Self {
            grows_at: Some(now.plus(GROW_DELAY_MS)),
            ..Self::alone(me)
        }
    }

    /// Sets the live members. A member that departed counts for a while longer.
    pub fn set_members(&mut self, members: &[&str], now: Millis) {
        for gone in &self.members {
            if !members.contains(&gone.as_str()) && *gone != self.me {
                self.departed.insert(gone.clone(), now.plus(GROW_DELAY_MS));
            }
        }
        self.members = members.iter().map(|m| (*m).to_owned()).collect();
        if !members.contains(&self.me.as_str()) {
            self.members.push(self.me.clone());
        }
        self.departed.retain(|_, until| *until > now);
    }

    /// Returns the number of daemons by which the limits are divided.
    #[must_use]
    pub fn divisor(&self, now: Millis) -> usize {
        self.counted_members(now).len()
    }

    fn counted_members(&self, now: Millis) -> Vec<&str> {
        let mut all: Vec<&str> = self.members.iter().map(String::as_str).collect();
        let departed = self.departed.iter().filter(|(_, until)| **until > now);
        all.extend(departed.map(|(m, _)| m.as_str()));
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Returns this daemon's own share, without loans.
    fn own_share(&self, org: &Org, limit: u64, now: Millis) -> u64 {
        match self.grows_at {
            Some(at) if now < at => 0,
            _ => share_of(limit, org.as_str(), &self.me, &self.counted_members(now)),
        }
    }

    /// Returns the share of a limit that this daemon may use now, with loans.
    #[must_use]
    pub fn share(&self, org: &Org, kind: LimitKind, limit: u64, now: Millis) -> u64 {
        let own = self.own_share(org, limit, now);
        let Some(account) = self.accounts.get(&(org.clone(), kind)) else {
            return own;
        };
        let plus = own + sum(&account.borrowed, now);
        plus.saturating_sub(sum(&account.lent, now))
    }

    /// Lends idle share, up to half of this daemon's own share, so that a burst at one daemon can't
    /// take the shares of the others. Returns the amount lent.
    pub fn lend(
        &mut self,
        org: &Org,
        kind: LimitKind,
        limits: &Limits,
        in_use: u64,
        now: Millis,
    ) -> u64 {
        let unused = self
            .share(org, kind, limits.get(kind), now)
            .saturating_sub(in_use);
        let own_share = self.own_share(org, limits.get(kind), now);
        let max_lent = if own_share == 1 { 1 } else { own_share / 2 };
        let key = (org.clone(), kind);
        let lent = self.accounts.get(&key).map_or(0, |a| sum(&a.lent, now));
        let amount = unused.min(max_lent.saturating_sub(lent));
        if amount == 0 {
            return 0;
        }
        let account = self.accounts.entry((org.clone(), kind)).or_default();
        account.lent.retain(|l| l.until > now);
        account.lent.push(Loan {
            amount,
            until: now.plus(LOAN_MS + LOAN_MARGIN_MS),
        });
        amount
    }

    /// Adds a loan; its duration counts from the time of the request.
    pub fn borrow(&mut self, org: &Org, kind: LimitKind, amount: u64, requested_at: Millis) {
        if amount == 0 {
            return;
        }
        let account = self.accounts.entry((org.clone(), kind)).or_default();
        account.borrowed.retain(|l| l.until > requested_at);
        account.borrowed.push(Loan {
            amount,
            until: requested_at.plus(LOAN_MS),
        });
    }

    /// Drops loans that have expired.
    pub fn prune(&mut self, now: Millis) {
        let open = |a: &Account| sum(&a.lent, now) + sum(&a.borrowed, now) > 0;
        self.accounts.retain(|_, a| open(a));
    }
}

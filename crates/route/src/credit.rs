//! A daemon's side of the allowances: the credit it holds in advance, and the allocators it
//! requests more from.

use crate::GrantResponse;
use shaleline_types::{Millis, Org};
use std::collections::HashMap;
use std::net::SocketAddr;

/// The cost of a request that an allocator denied, and the time up to which it will deny it.
#[derive(Debug, Clone, Copy)]
struct Denial {
    cost: u64,
    until: Millis,
}

/// The credit that this daemon holds, and the denials it received.
#[derive(Debug, Default)]
pub struct Credits {
    held: HashMap<Org, u64>,
    denied: HashMap<(SocketAddr, Org), Denial>,
}

impl Credits {
    /// Deducts the cost of a request from the held credit, if it covers the cost.
    fn take(&mut self, org: &Org, cost: u64) -> bool {
        let held = self.held.get_mut(org).filter(|h| **h >= cost);
        let enough = held.is_some();
        if let Some(held) = held {
            *held -= cost;
        }
        enough
    }

    /// Returns the credit held for an organisation.
    #[must_use]
    pub fn held(&self, org: &Org) -> u64 {
        self.held.get(org).copied().unwrap_or(0)
    }

    /// Drops the credit and denials of organisations whose allowance has changed.
    pub fn retain(&mut self, same: impl Fn(&Org) -> bool) {
        self.held.retain(|org, _| same(org));
        self.denied.retain(|(_, org), _| same(org));
    }

    /// Returns how much longer the allocator would deny a request of this cost, if it would.
    fn denied(&self, allocator: SocketAddr, org: &Org, cost: u64, now: Millis) -> Option<Millis> {
        let denial = self.denied.get(&(allocator, org.clone()))?;
        let holds = cost >= denial.cost && now < denial.until;
        holds.then(|| Millis(denial.until.since(now)))
    }

    fn on_denied(&mut self, allocator: SocketAddr, org: &Org, denial: Denial) {
        self.denied.insert((allocator, org.clone()), denial);
    }

    /// Drops denials that have expired.
    pub fn prune(&mut self, now: Millis) {
        self.denied.retain(|_, d| now < d.until);
    }
}

/// The next step for a request that needs a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantStep {
    /// Send a grant request to this allocator.
    Query(SocketAddr),
    /// Admit the request.
    Admit,
    /// Refuse the request as the allowance is used up; the value is the retry-after time.
    Refuse(Millis),
    /// No allocator responded.
    Unanswered,
}

/// A request that needs a grant and queries one allocator after the other.
#[derive(Debug)]
pub struct GrantRequest {
    org: Org,
    cost: u64,
    /// The allocators that were not queried yet, the next one last.
    remaining: Vec<SocketAddr>,
    queried: Option<SocketAddr>,
    min_wait: Option<Millis>,
}

impl GrantRequest {
    /// Creates a grant request that may query these allocators, in this order.
    #[must_use]
    pub fn new(org: Org, cost: u64, allocators: &[SocketAddr]) -> Self {
        Self {
            org,
            cost,
            remaining: allocators.iter().rev().copied().collect(),
            queried: None,
            min_wait: None,
        }
    }

    /// Returns the first step, or the next one after an allocator that didn't respond.
    pub fn next_step(&mut self, credits: &mut Credits, now: Millis) -> GrantStep {
        if self.queried.is_none() && credits.take(&self.org, self.cost) {
            return GrantStep::Admit;
        }
        while let Some(allocator) = self.remaining.pop() {
            match credits.denied(allocator, &self.org, self.cost, now) {
                Some(wait) => self.record_denied(wait),
                None => {
                    self.queried = Some(allocator);
                    return GrantStep::Query(allocator);
                }
            }
        }
        match self.min_wait {
            Some(wait) => GrantStep::Refuse(wait),
            None => GrantStep::Unanswered,
        }
    }

    fn record_denied(&mut self, wait: Millis) {
        self.min_wait = Some(self.min_wait.map_or(wait, |s| s.min(wait)));
    }

    /// Handles the response of the allocator that was queried last.
    pub fn on_grant(
        &mut self,
        grant: GrantResponse,
        credits: &mut Credits,
        now: Millis,
    ) -> GrantStep {
        match grant {
            GrantResponse::Granted(amount) => {
                *credits.held.entry(self.org.clone()).or_default() +=
                    amount.saturating_sub(self.cost);
                GrantStep::Admit
            }
            GrantResponse::Denied(wait) => {
                self.record_denied(wait);
                if let Some(allocator) = self.queried {
                    let until = now.plus(wait.0);
                    let cost = self.cost;
                    credits.on_denied(allocator, &self.org, Denial { cost, until });
                }
                self.next_step(credits, now)
            }
            GrantResponse::NoShare => self.next_step(credits, now),
        }
    }
}

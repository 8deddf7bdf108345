//! A daemon's side of the allowances: what it holds in advance, and whom it asks for more.

use crate::GrantResponse;
use shaleline_types::{Millis, Org};
use std::collections::HashMap;
use std::net::SocketAddr;

/// A granter that denied a request of this cost, and until when it will.
#[derive(Debug, Clone, Copy)]
struct Denial {
    cost: u64,
    until: Millis,
}

/// What this daemon holds in advance, and what it was denied.
#[derive(Debug, Default)]
pub struct Credits {
    held: HashMap<Org, u64>,
    denied: HashMap<(SocketAddr, Org), Denial>,
}

impl Credits {
    /// Takes the cost of a request from what is held, if that is enough.
    fn take(&mut self, org: &Org, cost: u64) -> bool {
        let held = self.held.get_mut(org).filter(|h| **h >= cost);
        let enough = held.is_some();
        if let Some(held) = held {
            *held -= cost;
        }
        enough
    }

    /// What is held for an organisation.
    #[must_use]
    pub fn held(&self, org: &Org) -> u64 {
        self.held.get(org).copied().unwrap_or(0)
    }

    /// Drops what is held for organisations whose allowance is another now.
    pub fn retain(&mut self, same: impl Fn(&Org) -> bool) {
        self.held.retain(|org, _| same(org));
        self.denied.retain(|(_, org), _| same(org));
    }

    /// Whether this granter would deny a request of this cost, and for how long.
    fn denied(&self, allocator: SocketAddr, org: &Org, cost: u64, now: Millis) -> Option<Millis> {
        let denial = self.denied.get(&(allocator, org.clone()))?;
        let holds = cost >= denial.cost && now < denial.until;
        holds.then(|| Millis(denial.until.since(now)))
    }

    fn on_denied(&mut self, allocator: SocketAddr, org: &Org, denial: Denial) {
        self.denied.insert((allocator, org.clone()), denial);
    }

    /// Forgets denials that are over.
    pub fn prune(&mut self, now: Millis) {
        self.denied.retain(|_, d| now < d.until);
    }
}

/// What to do next about a request that needs a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantStep {
    /// RouteRequest this granter.
    Query(SocketAddr),
    /// It may run.
    Admit,
    /// The allowance is used up; when to come back.
    Refuse(Millis),
    /// No granter answered.
    Unanswered,
}

/// One request that needs a grant: it asks one granter after the other.
#[derive(Debug)]
pub struct GrantRequest {
    org: Org,
    cost: u64,
    /// Those that were not asked yet, the next one last.
    remaining: Vec<SocketAddr>,
    asked: Option<SocketAddr>,
    soonest: Option<Millis>,
}

impl GrantRequest {
    /// A request that may ask these, the first one first.
    #[must_use]
    pub fn new(org: Org, cost: u64, allocators: &[SocketAddr]) -> Self {
        Self {
            org,
            cost,
            remaining: allocators.iter().rev().copied().collect(),
            asked: None,
            soonest: None,
        }
    }

    /// Begins, or goes on after a granter that did not answer.
    pub fn next_step(&mut self, credits: &mut Credits, now: Millis) -> GrantStep {
        if self.asked.is_none() && credits.take(&self.org, self.cost) {
            return GrantStep::Admit;
        }
        while let Some(allocator) = self.remaining.pop() {
            match credits.denied(allocator, &self.org, self.cost, now) {
                Some(wait) => self.note_denied(wait),
                None => {
                    self.asked = Some(allocator);
                    return GrantStep::Query(allocator);
                }
            }
        }
        match self.soonest {
            Some(wait) => GrantStep::Refuse(wait),
            None => GrantStep::Unanswered,
        }
    }

    fn note_denied(&mut self, wait: Millis) {
        self.soonest = Some(self.soonest.map_or(wait, |s| s.min(wait)));
    }

    /// Takes in the answer of the granter that was asked last.
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
                self.note_denied(wait);
                if let Some(allocator) = self.asked {
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

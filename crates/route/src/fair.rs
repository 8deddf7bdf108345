//! The shares of organisations in the work of one route.
//!
//! An organisation exceeds its share if it was served more than the level up to which all
//! organisations can be served (max-min fairness), weighted and in tokens. While everything that is
//! asked for is served, nobody does; a request of an organisation that does waits only for those
//! that others have queued.

use shaleline_types::{Millis, Org};
use std::collections::{BTreeMap, BTreeSet};

/// The half-life of what an organisation asked for and got, in milliseconds. Demand varies in waves
/// of some ten seconds; a burst should not count for longer than one of them.
const HALF_LIFE_MS: f64 = 4_000.0;

/// The fraction of the work asked for that may wait at any time without being scarcity.
const TOLERANCE: f64 = 0.02;

/// Work below which an organisation is forgotten, in tokens.
const MIN_WORK: f64 = 1.0;

#[derive(Debug, Clone, Copy)]
struct Usage {
    /// Decayed work in tokens, divided by the organisation's weight.
    asked: f64,
    served: f64,
    weight: f64,
    at: Millis,
}

impl Usage {
    fn at(self, now: Millis) -> Self {
        let kept = 0.5_f64.powf(now.since(self.at) as f64 / HALF_LIFE_MS);
        Self {
            asked: self.asked * kept,
            served: self.served * kept,
            at: self.at.max(now),
            ..self
        }
    }
}

/// What organisations recently asked for and got.
#[derive(Debug, Clone, Default)]
pub struct FairShares {
    orgs: BTreeMap<Org, Usage>,
}

impl FairShares {
    fn update(&mut self, org: &Org, weight: u64, now: Millis, change: impl FnOnce(&mut Usage)) {
        let weight = weight.max(1) as f64;
        let new = Usage {
            asked: 0.0,
            served: 0.0,
            weight,
            at: now,
        };
        let known = self.orgs.get(org).map_or(new, |u| u.at(now));
        let mut usage = Usage { weight, ..known };
        change(&mut usage);
        match self.orgs.get_mut(org) {
            Some(known) => *known = usage,
            None => {
                self.orgs.insert(org.clone(), usage);
            }
        }
    }

    /// Records that an organisation asks for work, whether it is served or not.
    pub fn on_arrival(&mut self, org: &Org, weight: u64, work: u64, now: Millis) {
        self.update(org, weight, now, |u| u.asked += work as f64 / u.weight);
    }

    /// Records that work of an organisation is sent to an upstream.
    pub fn on_send(&mut self, org: &Org, weight: u64, work: u64, now: Millis) {
        self.update(org, weight, now, |u| u.served += work as f64 / u.weight);
    }

    /// Returns the organisations that exceed their share.
    #[must_use]
    pub fn exceeding(&self, now: Millis) -> BTreeSet<&Org> {
        if self.orgs.len() < 2 {
            return BTreeSet::new();
        }
        let usages: Vec<(&Org, Usage)> = self.orgs.iter().map(|(o, u)| (o, u.at(now))).collect();
        let asked: f64 = usages.iter().map(|(_, u)| u.asked * u.weight).sum();
        let served: f64 = usages.iter().map(|(_, u)| u.served * u.weight).sum();
        if asked <= served * (1.0 + TOLERANCE) {
            return BTreeSet::new();
        }
        let level = level(usages.iter().map(|(_, u)| (u.asked, u.weight)), served);
        let over = usages.iter().filter(|(_, u)| u.served > level);
        over.map(|(org, _)| *org).collect()
    }

    /// Forgets organisations that have asked for nothing in a while.
    pub fn prune(&mut self, now: Millis) {
        self.orgs
            .retain(|_, u| u.at(now).asked * u.weight >= MIN_WORK);
    }
}

/// Returns the level at which work that was served is used up if each organisation gets what it
/// asked for, but no more than the level. Each asks for an amount per unit of its weight.
fn level(asked: impl Iterator<Item = (f64, f64)>, served: f64) -> f64 {
    let mut asked: Vec<(f64, f64)> = asked.collect();
    asked.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut weights: f64 = asked.iter().map(|(_, w)| w).sum();
    let mut left = served;
    for (amount, weight) in asked {
        if amount * weights >= left {
            return left / weights;
        }
        left -= amount * weight;
        weights -= weight;
    }
    f64::INFINITY
}

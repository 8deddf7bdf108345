//! How likely engines are to leave soon, by how many left lately.
//!
//! When the engines of a service are replaced one after the other, the replicas of a model
//! leave one after the other too, and the new engines load for nine seconds. A plan that
//! waits until the last replica is gone leaves callers without for as long. So engines are
//! taken to go on leaving at the pace of the last seconds, and new ones to stay.

use crate::{Engine, Fleet};
use shaleline_types::{Millis, Upstream};
use std::collections::{BTreeMap, VecDeque};

/// Engines that left so long ago tell nothing of the others: a load from the weight store and
/// the plan before it take about as long.
const WINDOW_MS: u64 = 10_000;

/// A pace is measured over so long at the least. With 3 s, 0.94 of the callers of the busiest
/// model find it while twelve engines are replaced, with 5 s 0.92, by the test that plays it.
const LEAST_SPAN_MS: u64 = 3_000;

/// No engine is taken to leave for certain.
const MOST_RISK: f64 = 0.9;

/// Which engines came and left lately.
#[derive(Debug, Default)]
pub(crate) struct Churn {
    /// The engines that are here, and since when; none for those of the first plan.
    here: BTreeMap<Upstream, Option<Millis>>,
    left: VecDeque<Millis>,
    begun: bool,
}

impl Churn {
    /// Takes in which engines are here.
    pub(crate) fn observe(&mut self, fleet: &Fleet, now: Millis) {
        let stays = |e: &Engine| !e.leaving;
        let before = self.here.len();
        self.here
            .retain(|name, _| fleet.get(name).is_some_and(stays));
        let gone = before - self.here.len();
        self.left.extend(std::iter::repeat_n(now, gone));
        while self
            .left
            .front()
            .is_some_and(|at| now.since(*at) > WINDOW_MS)
        {
            self.left.pop_front();
        }
        let since = self.begun.then_some(now);
        for (name, _) in fleet.iter().filter(|(_, e)| stays(e)) {
            self.here.entry(name.clone()).or_insert(since);
        }
        self.begun = true;
    }

    /// Whether the engine came lately: what takes the place of another stays.
    fn is_new(&self, engine: &Upstream, now: Millis) -> bool {
        let since = self.here.get(engine).copied().flatten();
        since.is_some_and(|at| now.since(at) <= WINDOW_MS)
    }

    /// The chance that an engine leaves within a time, from 0 to 1. As many are taken to leave
    /// as left lately in the same time, any of the old ones.
    pub(crate) fn outlook(&self, within: Millis, now: Millis) -> impl Fn(&Upstream) -> f64 + '_ {
        let span = self.left.front().map(|first| now.since(*first));
        let span = span.unwrap_or_default().max(LEAST_SPAN_MS) as f64;
        let leave = self.left.len() as f64 * within.0 as f64 / span;
        let old = self.here.keys().filter(|n| !self.is_new(n, now)).count();
        let chance = (leave / old.max(1) as f64).min(MOST_RISK);
        move |engine| {
            if self.is_new(engine, now) {
                0.0
            } else {
                chance
            }
        }
    }
}

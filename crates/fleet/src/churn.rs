//! Estimates how likely engines are to leave soon, from those that left recently.
//!
//! When the engines of a service are replaced one after the other, the replicas of a model leave
//! one after the other too, and the new engines take nine seconds to load. A plan that waits until
//! the last replica has left leaves callers unserved for that time. So engines are assumed to go on
//! leaving at the recent rate, and new ones to stay.

use crate::{Engine, Fleet};
use shaleline_types::{Millis, Upstream};
use std::collections::{BTreeMap, VecDeque};

/// Departures older than this are ignored: a load from the weight store and the plan before it take
/// about this long.
const WINDOW_MS: u64 = 10_000;

/// The minimum time over which the rate is computed. With a longer time, fewer callers of the
/// busiest model are served while engines are replaced.
const MIN_SPAN_MS: u64 = 3_000;

/// No engine is assumed to leave with certainty.
const MAX_PROBABILITY: f64 = 0.9;

/// The engines that came and left recently.
#[derive(Debug, Default)]
pub(crate) struct Churn {
    /// The engines that are present, and since when; none for those of the first plan.
    present: BTreeMap<Upstream, Option<Millis>>,
    departures: VecDeque<Millis>,
    started: bool,
}

impl Churn {
    /// Updates the engines that are present.
    pub(crate) fn observe(&mut self, fleet: &Fleet, now: Millis) {
        let stays = |e: &Engine| !e.leaving;
        let before = self.present.len();
        self.present
            .retain(|name, _| fleet.get(name).is_some_and(stays));
        let removed = before - self.present.len();
        self.departures.extend(std::iter::repeat_n(now, removed));
        while self
            .departures
            .front()
            .is_some_and(|at| now.since(*at) > WINDOW_MS)
        {
            self.departures.pop_front();
        }
        let since = self.started.then_some(now);
        for (name, _) in fleet.iter().filter(|(_, e)| stays(e)) {
            self.present.entry(name.clone()).or_insert(since);
        }
        self.started = true;
    }

    /// Whether the engine came recently: a replacement is expected to stay.
    fn is_new(&self, engine: &Upstream, now: Millis) -> bool {
        let since = self.present.get(engine).copied().flatten();
        since.is_some_and(|at| now.since(at) <= WINDOW_MS)
    }

    /// Returns the probability that an engine leaves within a time. As many of the older engines
    /// are expected to leave as left recently in the same time, all with the same probability.
    pub(crate) fn leave_probability(
        &self,
        within: Millis,
        now: Millis,
    ) -> impl Fn(&Upstream) -> f64 + '_ {
        let span = self.departures.front().map(|first| now.since(*first));
        let span = span.unwrap_or_default().max(MIN_SPAN_MS) as f64;
        let expected = self.departures.len() as f64 * within.0 as f64 / span;
        let established = self.present.keys().filter(|n| !self.is_new(n, now)).count();
        let probability = (expected / established.max(1) as f64).min(MAX_PROBABILITY);
        move |engine| {
            if self.is_new(engine, now) {
                0.0
            } else {
                probability
            }
        }
    }
}

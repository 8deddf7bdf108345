//! Keeps loads from the weight store under its rate limit.

use crate::Handover;
use shaleline_types::Millis;
use std::collections::VecDeque;

/// Loads that the store tolerates in a window beyond its rate.
const BURST: f64 = 3.0;

/// Loads kept in reserve for unconfirmed orders that are carried out late.
const RESERVE: usize = 2;

/// A sliding window over the starts of loads.
#[derive(Debug, Clone)]
pub struct LoadWindow {
    length: Millis,
    over: f64,
    starts: VecDeque<Millis>,
    blocked_until: Millis,
}

impl LoadWindow {
    /// Creates a window of `length` in which the rate may be exceeded by the factor `over`.
    #[must_use]
    pub fn new(length: Millis, over: f64) -> Self {
        Self {
            length,
            over,
            starts: VecDeque::new(),
            blocked_until: Millis(0),
        }
    }

    /// Blocks loads until this time: an earlier planner may have used the whole window.
    pub fn block(&mut self, until: Millis) {
        self.blocked_until = self.blocked_until.max(until);
    }

    /// The ages of the loads in the window.
    pub(crate) fn ages(&self, now: Millis) -> Vec<u64> {
        self.starts.iter().map(|at| now.since(*at)).collect()
    }

    /// The time for which no load may begin yet.
    pub(crate) fn blocked_for(&self, now: Millis) -> u64 {
        self.blocked_until.since(now)
    }

    /// Continues the window of a predecessor.
    #[must_use]
    pub fn resume(mut self, handover: &Handover, now: Millis) -> Self {
        let mut starts: Vec<Millis> = handover
            .loads
            .iter()
            .map(|age| Millis(now.0.saturating_sub(*age)))
            .collect();
        starts.sort_unstable();
        self.starts = starts.into();
        self.block(now.plus(handover.blocked));
        self
    }

    /// The time for which a load counts. It is longer than the window, as orders may be delayed in
    /// transit.
    #[must_use]
    pub fn span(&self) -> Millis {
        Millis(self.length.0 + self.length.0 / 4)
    }

    /// Records a load that may begin now.
    pub fn record(&mut self, now: Millis) {
        self.starts.push_back(now);
    }

    /// The number of loads that may begin now at `rate` a second.
    pub fn available(&mut self, rate: f64, now: Millis) -> usize {
        let length = self.span().0;
        while self.starts.front().is_some_and(|t| now.since(*t) > length) {
            self.starts.pop_front();
        }
        if now < self.blocked_until {
            return 0;
        }
        self.capacity(rate).saturating_sub(self.starts.len())
    }

    /// The number of loads that may begin in a window at `rate` a second.
    pub(crate) fn capacity(&self, rate: f64) -> usize {
        let limit = rate * (self.length.0 as f64 / 1_000.0) * self.over + BURST;
        (limit as usize).saturating_sub(RESERVE)
    }
}

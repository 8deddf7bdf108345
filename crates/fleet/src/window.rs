//! Keeps loads from the weight store under its rate.

use crate::Handover;
use shaleline_types::Millis;
use std::collections::VecDeque;

/// Loads that the store tolerates in a window beyond its rate.
const EXTRA: f64 = 3.0;

/// Loads kept in reserve for orders in doubt that are carried out late.
const RESERVE: usize = 2;

/// A sliding window over the loads begun.
#[derive(Debug, Clone)]
pub struct LoadWindow {
    length: Millis,
    over: f64,
    begun: VecDeque<Millis>,
    blocked: Millis,
}

impl LoadWindow {
    /// A window of `length` in which the rate may be passed by the factor `over`.
    #[must_use]
    pub fn new(length: Millis, over: f64) -> Self {
        Self {
            length,
            over,
            begun: VecDeque::new(),
            blocked: Millis(0),
        }
    }

    /// Begins no load until then: a planner before may have used the whole window.
    pub fn block(&mut self, until: Millis) {
        self.blocked = self.blocked.max(until);
    }

    /// How long ago the loads of the window began.
    pub(crate) fn ages(&self, now: Millis) -> Vec<u64> {
        self.begun.iter().map(|at| now.since(*at)).collect()
    }

    /// How long no load may begin yet.
    pub(crate) fn blocked_for(&self, now: Millis) -> u64 {
        self.blocked.since(now)
    }

    /// A window that goes on where that of a predecessor ended.
    #[must_use]
    pub fn resume(mut self, handover: &Handover, now: Millis) -> Self {
        let mut begun: Vec<Millis> = handover
            .loads
            .iter()
            .map(|age| Millis(now.0.saturating_sub(*age)))
            .collect();
        begun.sort_unstable();
        self.begun = begun.into();
        self.block(now.plus(handover.blocked));
        self
    }

    /// How long a load counts: a little longer than the window, as orders travel and may be
    /// delayed.
    #[must_use]
    pub fn span(&self) -> Millis {
        Millis(self.length.0 + self.length.0 / 4)
    }

    /// Notes a load that may begin now.
    pub fn record(&mut self, now: Millis) {
        self.begun.push_back(now);
    }

    /// How many loads may begin now at `rate` a second.
    pub fn available(&mut self, rate: f64, now: Millis) -> usize {
        let length = self.span().0;
        while self.begun.front().is_some_and(|t| now.since(*t) > length) {
            self.begun.pop_front();
        }
        if now < self.blocked {
            return 0;
        }
        self.capacity(rate).saturating_sub(self.begun.len())
    }

    /// How many loads may begin in a window at `rate` a second.
    pub(crate) fn capacity(&self, rate: f64) -> usize {
        let most = rate * (self.length.0 as f64 / 1_000.0) * self.over + EXTRA;
        (most as usize).saturating_sub(RESERVE)
    }
}

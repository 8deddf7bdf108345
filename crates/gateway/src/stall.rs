//! Detects stalls of this process.
//!
//! A process that was stopped, or got no processor time, acts on outdated state. What it receives
//! next has waited in the meantime, so it is older than it looks. A task wakes at a steady
//! interval; its delay shows for how long no other task ran either. Delays in series show that the
//! process has more work than processor time.

use shaleline_types::Millis;
use std::collections::VecDeque;

/// The delay of a wake-up that counts as a stall: several times what a busy instance with an eighth
/// of a core takes for one round of its tasks, and a fraction of every bound on the age of state.
const STALL_MS: u64 = 250;

/// A shorter delay is within the resolution of timers.
const MIN_GAP_MS: u64 = 30;

/// Time after a gap within which received data may have waited for its end: one round of tasks that
/// each have a backlog.
const CATCH_UP_MS: u64 = 1_000;

/// The number of delays within `CATCH_UP_MS`, and their sum, from which the process counts as
/// overloaded: for most of that time what is due has waited, and not because of a single stall. A
/// process that is throttled in each tenth of a second and has work left then looks the same.
const OVERLOAD_GAPS: usize = 3;
const OVERLOAD_SUM_MS: u64 = 600;

#[derive(Debug, Clone, Copy)]
struct Gap {
    ended: Millis,
    length: u64,
}

/// Measures the delays of one process's wake-ups.
#[derive(Debug)]
pub(crate) struct StallDetector {
    last: Millis,
    /// The recent gaps.
    gaps: VecDeque<Gap>,
    /// When the last stall ended.
    stalled: Option<Millis>,
}

impl StallDetector {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            last: now,
            gaps: VecDeque::new(),
            stalled: None,
        }
    }

    /// Records a wake-up that was due at most `interval` milliseconds after the previous one.
    pub(crate) fn on_tick(&mut self, interval: u64, now: Millis) {
        let length = now.since(self.last.plus(interval));
        self.last = now;
        let old = |g: &Gap| now.since(g.ended) > CATCH_UP_MS;
        while self.gaps.front().is_some_and(old) {
            self.gaps.pop_front();
        }
        if length >= MIN_GAP_MS {
            self.gaps.push_back(Gap { ended: now, length });
        }
        if length >= STALL_MS {
            self.stalled = Some(now);
        }
    }

    /// The longest time, in milliseconds, that data which is read now may have waited.
    pub(crate) fn lag(&self, now: Millis) -> u64 {
        let longest = self.gaps.iter().map(|g| g.length).max();
        longest.unwrap_or(0).max(now.since(self.last))
    }

    /// Whether the process has had too little processor time for its work lately.
    pub(crate) fn is_overloaded(&self) -> bool {
        let sum: u64 = self.gaps.iter().map(|g| g.length).sum();
        self.gaps.len() >= OVERLOAD_GAPS && sum >= OVERLOAD_SUM_MS
    }

    /// Whether the process has stalled since `at`.
    pub(crate) fn stalled_since(&self, at: Millis, now: Millis) -> bool {
        let before = self.stalled.is_some_and(|ended| ended > at);
        before || now.since(self.last) >= STALL_MS
    }
}

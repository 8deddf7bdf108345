//! How late this process runs.
//!
//! A process that got no processor time, or stood still, believes what it knew before. What it
//! hears next has waited for it, so it is older than it looks. The pulse is a task that wakes
//! at a steady pace; how late it wakes shows for how long nothing else ran either.

use shaleline_types::Millis;
use std::collections::VecDeque;

/// A wake-up that is late by so much is a stall: several times what a busy instance with an
/// eighth of a core takes for one round of its tasks, and a fraction of any bound that holds
/// for what is believed.
const STALL_MS: u64 = 250;

/// A wake-up that is late by less than this is the grain of timers.
const GAP_MS: u64 = 30;

/// What is read within this time after a gap may have waited for its end: one round of tasks
/// that each have something to catch up with.
const CATCH_UP_MS: u64 = 1_000;

#[derive(Debug, Clone, Copy)]
struct Gap {
    ended: Millis,
    length: u64,
}

/// The wake-ups of one process.
#[derive(Debug)]
pub(crate) struct StallDetector {
    last: Millis,
    /// Those of a moment ago.
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

    /// Notes a wake-up that was due `pace` milliseconds after the one before at the latest.
    pub(crate) fn on_tick(&mut self, pace: u64, now: Millis) {
        let length = now.since(self.last.plus(pace));
        self.last = now;
        let old = |g: &Gap| now.since(g.ended) > CATCH_UP_MS;
        while self.gaps.front().is_some_and(old) {
            self.gaps.pop_front();
        }
        if length >= GAP_MS {
            self.gaps.push_back(Gap { ended: now, length });
        }
        if length >= STALL_MS {
            self.stalled = Some(now);
        }
    }

    /// How long ago something may have come that is read now.
    pub(crate) fn lag(&self, now: Millis) -> u64 {
        let longest = self.gaps.iter().map(|g| g.length).max();
        longest.unwrap_or(0).max(now.since(self.last))
    }

    /// Whether the process has stalled since then.
    pub(crate) fn stalled_since(&self, at: Millis, now: Millis) -> bool {
        let before = self.stalled.is_some_and(|ended| ended > at);
        before || now.since(self.last) >= STALL_MS
    }
}

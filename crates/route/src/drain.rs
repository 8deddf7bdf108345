//! A planned stop: nothing in flight is cut off.

use shaleline_types::{Millis, Safeguard};

/// What is still to be done at a daemon that stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unfinished {
    /// Requests in flight.
    pub requests: usize,
    /// Records on their way to the log.
    pub records: usize,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainAction {
    /// Tell others, and serve on: the balancer learns of it late.
    Announce,
    /// Refuse new requests as not run, with when to come back.
    Refuse,
    /// Stop: nothing is in flight, or the limit is reached.
    Exit,
}

/// How long records may take to reach the log once no request is left. A key whose end
/// does not get there is unknown to whoever repeats it, which is true.
const RECORDS_WAIT_MS: u64 = 10_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Serving,
    Announced(Millis),
    Refusing(Millis),
    Exited,
}

/// Decides the steps of a stop.
#[derive(Debug, Clone)]
pub struct Drain {
    grace: Millis,
    limit: Millis,
    phase: Phase,
    /// Since when only records were left.
    idle: Option<Millis>,
}

impl Drain {
    /// Serves on for `grace` after the stop was asked for; waits no longer than `limit`
    /// for what is in flight after that.
    #[must_use]
    pub fn new(grace: Millis, limit: Millis) -> Self {
        Self {
            grace,
            limit,
            phase: Phase::Serving,
            idle: None,
        }
    }

    /// A stop was asked for.
    pub fn stop(&mut self, now: Millis) -> Option<DrainAction> {
        if self.phase != Phase::Serving {
            return None;
        }
        self.phase = Phase::Announced(now);
        Some(DrainAction::Announce)
    }

    /// Time passed.
    pub fn tick(&mut self, left: Unfinished, now: Millis) -> Option<DrainAction> {
        match self.phase {
            Phase::Announced(since) if now.since(since) >= self.grace.0 => {
                self.phase = Phase::Refusing(now);
                Some(DrainAction::Refuse)
            }
            Phase::Refusing(since) => {
                let idle = (left.requests == 0).then(|| self.idle.unwrap_or(now));
                self.idle = idle;
                let flushed = left.records == 0;
                let done = idle.is_some_and(|i| flushed || now.since(i) >= RECORDS_WAIT_MS);
                let over = now.since(since) >= self.limit.0;
                if !done && !over && Safeguard::DrainStop.active() {
                    return None;
                }
                self.phase = Phase::Exited;
                Some(DrainAction::Exit)
            }
            Phase::Serving | Phase::Announced(_) | Phase::Exited => None,
        }
    }
}

//! A planned stop that doesn't interrupt requests in flight.

use shaleline_types::{Millis, Safeguard};

/// What a stopping daemon has yet to finish.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unfinished {
    /// Requests in flight.
    pub requests: usize,
    /// Records that are not in the log yet.
    pub records: usize,
}

/// The next step of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainAction {
    /// Announce the stop and continue to serve, as the load balancer learns of it late.
    Announce,
    /// Refuse new requests as not executed, with a retry-after time.
    Refuse,
    /// Exit: nothing is in flight, or the limit is reached.
    Exit,
}

/// How long records may take to reach the log once no request is left. If a key's final record
/// doesn't reach it, a caller that repeats the key is correctly told that the outcome is unknown.
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
    /// The time since which only records were left.
    idle: Option<Millis>,
}

impl Drain {
    /// Creates a drain that serves for `grace` after the stop was requested, then waits up to
    /// `limit` for what is in flight.
    #[must_use]
    pub fn new(grace: Millis, limit: Millis) -> Self {
        Self {
            grace,
            limit,
            phase: Phase::Serving,
            idle: None,
        }
    }

    /// Starts the stop.
    pub fn stop(&mut self, now: Millis) -> Option<DrainAction> {
        if self.phase != Phase::Serving {
            return None;
        }
        self.phase = Phase::Announced(now);
        Some(DrainAction::Announce)
    }

    /// Advances the stop to the current time.
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
                if !done && !over && Safeguard::DrainStop.is_active() {
                    return None;
                }
                self.phase = Phase::Exited;
                Some(DrainAction::Exit)
            }
            Phase::Serving | Phase::Announced(_) | Phase::Exited => None,
        }
    }
}

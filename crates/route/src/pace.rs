//! Paces the sends to an upstream that limits its rate, or that crashes if it has to reject much.
//!
//! A router only knows its own sends, so its pace is an estimate that keeps it from selecting an
//! upstream for requests that would be denied a permit; see [`crate::Permits`].

use shaleline_types::Millis;

/// The longest retry-after time that is given: callers don't wait longer.
const MAX_RETRY_AFTER_MS: f64 = 5_000.0;

/// The time without sends after a rejection. Rejections are counted by the second.
const REJECTION_PAUSE_MS: u64 = 1_000;

/// After a rejection, this part of the requests that were there fits; later one more a second.
const FIT_PART: (usize, usize) = (3, 4);
const GROW_INTERVAL_MS: u64 = 1_000;

/// The limits of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UpstreamLimit {
    /// The requests per second that it takes from all daemons together.
    pub rate: Option<f64>,
    /// The requests that it runs at once, if it may crash where it has to reject others: it is then
    /// not relied on to queue any.
    pub fragile_slots: Option<usize>,
}

/// The number of requests that fit on an upstream: additive increase, multiplicative decrease.
#[derive(Debug, Clone, Copy)]
struct Room {
    size: usize,
    changed: Millis,
}

impl Room {
    fn at(&self, now: Millis) -> usize {
        self.size + (now.since(self.changed) / GROW_INTERVAL_MS) as usize
    }
}

/// When requests may be sent to an upstream.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    limit: UpstreamLimit,
    /// The earliest time of the next send, in milliseconds.
    next: f64,
    /// Refused callers are given retry-after times one after the other, up to this time.
    promised: f64,
    room: Option<Room>,
}

impl Pace {
    /// Sets the limits that hold from now on.
    pub(crate) fn set(&mut self, limit: UpstreamLimit) {
        // A pause after a rejection lasts, whatever else changes.
        if limit.rate.is_none() && self.limit.rate.is_some() {
            self.promised = 0.0;
            self.next = 0.0;
        }
        if limit.fragile_slots.is_none() {
            self.room = None;
        }
        self.limit = limit;
    }

    /// Resets what was learned of an upstream that has started again. Whether it is fragile is its
    /// service's.
    pub(crate) fn restart(&mut self) {
        let limit = UpstreamLimit {
            rate: None,
            ..self.limit
        };
        *self = Self {
            limit,
            ..Self::default()
        };
    }

    /// The time between two sends in milliseconds, if the rate is limited.
    pub(crate) fn interval(&self) -> Option<f64> {
        self.limit.rate.map(|rate| 1_000.0 / rate.max(f64::EPSILON))
    }

    /// Returns whether a request may be sent where `busy` ones are.
    pub(crate) fn allows(&self, busy: usize, now: Millis) -> bool {
        self.is_due(now) && busy < self.slots(now)
    }

    pub(crate) fn is_due(&self, now: Millis) -> bool {
        self.next <= now.0 as f64
    }

    fn slots(&self, now: Millis) -> usize {
        let slots = self.limit.fragile_slots.unwrap_or(usize::MAX);
        self.room.map_or(slots, |r| r.at(now).min(slots))
    }

    pub(crate) fn on_send(&mut self, now: Millis) {
        if let Some(interval) = self.interval() {
            let now = now.0 as f64;
            // A send that waited for the next tick does not slow the pace down.
            let start = if self.next + interval < now {
                now
            } else {
                self.next
            };
            self.next = start + interval;
        }
    }

    /// Records that no permit is available for this long.
    pub(crate) fn delay(&mut self, wait: Millis, now: Millis) {
        self.next = self.next.max(now.plus(wait.0).0 as f64);
    }

    /// Records that the upstream had no room for one more than `busy` requests.
    pub(crate) fn on_rejection(&mut self, busy: usize, now: Millis) {
        if self.limit.fragile_slots.is_none() {
            return;
        }
        let (part, of) = FIT_PART;
        let size = (busy * part / of).min(self.slots(now)).max(1);
        let changed = now.plus(REJECTION_PAUSE_MS);
        self.room = Some(Room { size, changed });
        self.delay(Millis(REJECTION_PAUSE_MS), now);
    }

    /// The time until a request may be sent that has `ahead` others before it, in milliseconds.
    pub(crate) fn wait(&self, ahead: usize, now: Millis) -> f64 {
        let queued = self.interval().map_or(0.0, |i| i * ahead as f64);
        (self.next - now.0 as f64).max(0.0) + queued
    }

    /// Returns a retry-after time and reserves it, so that refused callers don't retry all at once.
    pub(crate) fn reserve_retry(&mut self, wait: f64, now: Millis) -> Millis {
        let now = now.0 as f64;
        let latest = now + MAX_RETRY_AFTER_MS;
        let at = (now + wait).max(self.promised).min(latest);
        self.promised = (at + self.interval().unwrap_or(0.0)).min(latest);
        Millis((at - now).ceil().max(1.0) as u64)
    }
}

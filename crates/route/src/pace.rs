//! Paces the sends to an upstream that limits its rate, or that crashes if it has to reject much.
//!
//! A router only knows its own sends, so its pace is an estimate that keeps it from selecting an
//! upstream for requests that would be denied a permit; see [`crate::Permits`].

use crate::PeerVisibility;
use rand::rngs::SmallRng;
use rand::Rng;
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

/// The requests that are at an upstream, as far as is known.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Present {
    pub(crate) busy: usize,
    /// Those of this router.
    pub(crate) own: usize,
    /// Those of this router without an answer, where the upstream is fragile.
    pub(crate) unanswered: usize,
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

/// The number of requests without an answer that a router begins with at a fragile upstream which
/// has not answered for a while. Each answer allows one more, as in TCP's slow start (RFC 5681) and
/// its restart after an idle period (RFC 7661).
const INITIAL_WINDOW: usize = 2;
const IDLE_MS: u64 = 1_000;

/// The time for which a report of the other routers' requests holds: twice the longest interval
/// between reports.
const PEERS_TTL_MS: u64 = 600;

/// The number of requests without an answer that a router may have at a fragile upstream.
#[derive(Debug, Clone, Copy)]
struct Window {
    size: usize,
    answered: Millis,
}

impl Window {
    fn at(&self, now: Millis) -> usize {
        match now.since(self.answered) < IDLE_MS {
            true => self.size,
            false => INITIAL_WINDOW,
        }
    }
}

impl Default for Window {
    fn default() -> Self {
        Self {
            size: INITIAL_WINDOW,
            answered: Millis(0),
        }
    }
}

/// The time for which a router keeps the equal part of an upstream's slots that it has drawn, so that
/// others don't draw the same slots while its requests run.
const EQUAL_PART_MS: u64 = 1_000;

/// The part of a fragile upstream's slots that a router may use. What was free at the last report of
/// the other routers' requests is divided among them, as each of them may use it.
#[derive(Debug, Clone, Copy)]
struct Share {
    slots: usize,
    reported: Option<Millis>,
    /// The part that it may use without a recent report, and when that was drawn.
    equal: usize,
    drawn: Millis,
}

impl Default for Share {
    fn default() -> Self {
        Self {
            slots: 0,
            reported: None,
            equal: 1,
            drawn: Millis(0),
        }
    }
}

impl Share {
    /// The most requests that the router may have there.
    fn at(&self, now: Millis) -> usize {
        match self.reported {
            Some(at) if now.since(at) < PEERS_TTL_MS => self.slots,
            _ => self.equal,
        }
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
    window: Window,
    share: Share,
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
            share: self.share,
            ..Self::default()
        };
    }

    /// The time between two sends in milliseconds, if the rate is limited.
    pub(crate) fn interval(&self) -> Option<f64> {
        self.limit.rate.map(|rate| 1_000.0 / rate.max(f64::EPSILON))
    }

    /// Returns whether a request may be sent where these are.
    pub(crate) fn allows(&self, present: Present, now: Millis) -> bool {
        self.is_due(now)
            && present.busy < self.slots(now)
            && (!self.is_fragile()
                || present.own < self.share.at(now) && present.unanswered < self.window.at(now))
    }

    pub(crate) fn is_fragile(&self) -> bool {
        self.limit.fragile_slots.is_some()
    }

    /// Records the first answer to a request.
    pub(crate) fn on_answer(&mut self, now: Millis) {
        self.window = Window {
            size: self.window.at(now).saturating_add(1),
            answered: now,
        };
    }

    /// Records a report of other routers' requests. Whether this router gets one of the free slots
    /// that can't be divided is drawn, so that they are shared on average.
    pub(crate) fn on_peers(
        &mut self,
        present: Present,
        visibility: PeerVisibility,
        rng: &mut SmallRng,
        now: Millis,
    ) {
        let selectors = visibility.selectors.max(1);
        let Some(slots) = self.limit.fragile_slots else {
            return;
        };
        let mut part = |of: usize| {
            let extra = rng.random_range(0..selectors) < of % selectors;
            of / selectors + usize::from(extra)
        };
        if visibility.recent {
            let free = self.slots(now).saturating_sub(present.busy);
            self.share.slots = present.own + part(free);
            self.share.reported = Some(now);
        } else if now.since(self.share.drawn) >= EQUAL_PART_MS {
            self.share.equal = part(slots);
            self.share.drawn = now;
        }
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

//! Keeps when upstreams that are removed at short notice will be gone.
//!
//! Such an upstream reports the time that it has left, in its entry and in reports. Once that has
//! passed it is gone, whatever it is running, and the end of its connections does not show that an
//! answer is complete. The time is kept on this daemon's clock, which counts suspensions, as an
//! interval: a record may have been written at any time since the previous read. The daemon that
//! reads the notice tells all others, as of upstreams that say that they are leaving.

use crate::crash_probe::SentAttempt;
use crate::journal::emit;
use crate::message::{LimitMessage, Sender};
use crate::state::Gateway;
use crate::upstream_limits::{NOTES_PER_DATAGRAM, REPEAT_MS};
use serde::{Deserialize, Serialize};
use shaleline_types::{Incarnation, LogEvent, Millis, Upstream};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// How long before the earliest time of a removal the upstream may already be gone. The report of an
/// engine is about a hundred milliseconds old when it arrives, and a datagram between daemons takes up
/// to 150 ms.
const REMOVAL_MARGIN_MS: u64 = 300;

/// The longest time between the writing of an entry and its first read, while the store is available:
/// an entry lapses after three of its intervals of about a second.
const MAX_ENTRY_AGE_MS: u64 = 3_600;

/// The time for which a removal is remembered after it has passed. Answers whose connections ended with
/// the upstream may be looked at after a stall or a suspension of this daemon.
const PASSED_TTL_MS: u64 = 60_000;

/// The times between which an upstream will be gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RemovalTime {
    pub(crate) earliest: Millis,
    pub(crate) latest: Millis,
}

impl RemovalTime {
    /// The time of a removal in `left`, as reported between two times. Without the first one the
    /// report has the greatest possible age.
    pub(crate) fn reported(left: Millis, since: Option<Millis>, until: Millis) -> Self {
        let since = since.unwrap_or(Millis(until.0.saturating_sub(MAX_ENTRY_AGE_MS)));
        Self {
            earliest: since.min(until).plus(left.0),
            latest: until.plus(left.0),
        }
    }

    /// What two reports of one removal show together. A removal is not postponed: a later time comes
    /// from a notice that was written again unchanged, or was read late.
    fn narrowed(self, other: Self) -> Self {
        if other.earliest > self.latest {
            return self;
        }
        if other.latest < self.earliest {
            return other;
        }
        Self {
            earliest: self.earliest.max(other.earliest),
            latest: self.latest.min(other.latest),
        }
    }

    /// Whether the upstream may be gone, or is.
    fn may_have_passed(self, now: Millis) -> bool {
        self.earliest.0 <= now.0.saturating_add(REMOVAL_MARGIN_MS)
    }
}

/// The removal of an upstream, as one daemon tells another. Times are in milliseconds from the sending
/// on, and negative once they have passed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RemovalNote {
    upstream: Upstream,
    /// The incarnation that is removed.
    incarnation: Incarnation,
    earliest: i64,
    latest: i64,
}

/// Milliseconds from one time to another.
fn offset(from: Millis, to: Millis) -> i64 {
    to.0 as i64 - from.0 as i64
}

fn from_offset(from: Millis, offset: i64) -> Millis {
    Millis(from.0.saturating_add_signed(offset))
}

#[derive(Debug, Clone, Copy)]
struct Removal {
    incarnation: Incarnation,
    time: RemovalTime,
    /// Whether another daemon has reported it.
    confirmed: bool,
}

/// The known removals.
#[derive(Debug, Default)]
pub(crate) struct Removals {
    known: BTreeMap<Upstream, Removal>,
    repeated: Millis,
}

impl Removals {
    /// Records when an upstream will be gone. Returns whether that changes what is known.
    pub(crate) fn record(
        &mut self,
        upstream: &Upstream,
        incarnation: Incarnation,
        time: RemovalTime,
        is_own: bool,
    ) -> bool {
        let confirmed = !is_own;
        let Some(known) = self.known.get_mut(upstream) else {
            let removal = Removal {
                incarnation,
                time,
                confirmed,
            };
            self.known.insert(upstream.clone(), removal);
            return true;
        };
        match incarnation.compare_to(known.incarnation) {
            Ordering::Less => false,
            Ordering::Greater => {
                *known = Removal {
                    incarnation,
                    time,
                    confirmed,
                };
                true
            }
            Ordering::Equal => {
                known.confirmed |= confirmed;
                let narrowed = known.time.narrowed(time);
                let is_new = narrowed != known.time;
                known.time = narrowed;
                is_new
            }
        }
    }

    /// Whether this incarnation of an upstream may be gone according to its removal.
    pub(crate) fn may_be_gone(
        &self,
        upstream: &Upstream,
        incarnation: Incarnation,
        now: Millis,
    ) -> bool {
        self.known.get(upstream).is_some_and(|r| {
            let later = incarnation.compare_to(r.incarnation) == Ordering::Greater;
            !later && r.time.may_have_passed(now)
        })
    }

    /// Forgets the removal of an upstream that has started again, if its incarnations can't be
    /// distinguished.
    pub(crate) fn on_restarted(&mut self, upstream: &Upstream) {
        let known = self.known.get(upstream);
        if known.is_some_and(|r| r.incarnation == Incarnation::default()) {
            self.known.remove(upstream);
        }
    }

    /// The notes to repeat now: all for a hub, and for another daemon those that no daemon has
    /// reported back.
    fn due(&mut self, is_hub: bool, now: Millis) -> Vec<RemovalNote> {
        if self.known.is_empty() || now.since(self.repeated) < REPEAT_MS {
            return Vec::new();
        }
        self.repeated = now;
        self.known
            .retain(|_, r| now.since(r.time.latest) < PASSED_TTL_MS);
        let due = self.known.iter().filter(|(_, r)| is_hub || !r.confirmed);
        due.map(|(name, r)| r.note(name, now)).collect()
    }

    /// The notice of the removal of an upstream that is sent to another daemon.
    pub(crate) fn note(&self, upstream: &Upstream, now: Millis) -> Option<RemovalNote> {
        self.known.get(upstream).map(|r| r.note(upstream, now))
    }
}

impl Removal {
    fn note(&self, upstream: &Upstream, now: Millis) -> RemovalNote {
        RemovalNote {
            upstream: upstream.clone(),
            incarnation: self.incarnation,
            earliest: offset(now, self.time.earliest),
            latest: offset(now, self.time.latest),
        }
    }
}

impl Gateway {
    /// Whether the upstream of an attempt may be gone by now according to its removal.
    pub(crate) fn may_be_removed(&self, sent: &SentAttempt) -> bool {
        let removals = self.removals.borrow();
        removals.may_be_gone(&sent.upstream, sent.incarnation, self.now())
    }

    /// Records what an upstream reported about its removal.
    pub(crate) fn record_removal(
        &self,
        upstream: &Upstream,
        incarnation: Incarnation,
        time: RemovalTime,
    ) {
        self.on_removal(None, upstream, incarnation, time);
    }

    /// Handles the notes of another daemon. The time in transit makes a removal seem later, which the
    /// margin allows for.
    pub(crate) fn on_removal_notes(&self, from: &Sender, notes: Vec<RemovalNote>) {
        let at = self.earliest_arrival();
        for note in notes {
            let time = RemovalTime {
                earliest: from_offset(at, note.earliest),
                latest: from_offset(at, note.latest),
            };
            self.on_removal(Some(from), &note.upstream, note.incarnation, time);
        }
    }

    fn on_removal(
        &self,
        from: Option<&Sender>,
        upstream: &Upstream,
        incarnation: Incarnation,
        time: RemovalTime,
    ) {
        let mut removals = self.removals.borrow_mut();
        let is_first = removals.note(upstream, self.now()).is_none();
        if !removals.record(upstream, incarnation, time, from.is_none()) {
            return;
        }
        let note = removals.note(upstream, self.now());
        drop(removals);
        if is_first {
            let left = offset(self.now(), time.earliest);
            let source = from.map_or("upstream", |s| s.instance.as_str());
            let detail = format!("upstream={upstream} earliest_ms={left} from={source}");
            emit(LogEvent::RemovalKnown, &detail);
        }
        // What repeated notes add is within the margin, and is not forwarded at once.
        if let (Some(note), true) = (note, is_first || from.is_none()) {
            self.spread(from, LimitMessage::Removals(vec![note]));
        }
    }

    /// Repeats when upstreams will be gone, where that is due.
    pub(crate) fn repeat_removals(&self) {
        let now = self.now();
        let is_hub = self.membership.borrow_mut().is_hub(now);
        let notes = self.removals.borrow_mut().due(is_hub, now);
        for part in notes.chunks(NOTES_PER_DATAGRAM) {
            self.spread(None, LimitMessage::Removals(part.to_vec()));
        }
    }
}

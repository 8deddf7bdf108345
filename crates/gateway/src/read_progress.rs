//! Tracks how far this daemon knows the store, and as of when.
//!
//! One hub reads the store, the first of those that can; the other hubs follow it, and daemons
//! follow the hub of their data centre. A followed daemon sends its read position with the ages of
//! what it knows, and the entries that changed in numbered messages. A follower that has received
//! every message up to the position knows what was known then. A follower without a fresh position
//! asks for a copy, and then reads the store itself.

use crate::message::ReadPosition;
use shaleline_types::{Millis, Position};

/// The age up to which followers rely on what another daemon knows.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Freshness {
    /// For the upstreams' entries: they are read every 700 ms, and two hops take a tick each; the
    /// rest of the drain bound is for asking for a copy and then for the store.
    pub(crate) entries: Millis,
    /// For the configuration: a read waits nearly this long for a change.
    pub(crate) config: Millis,
}

/// The part of the platform's bounds that is reserved for asking for a copy and then for the store.
const FALLBACK_MS: u64 = 750;

/// How much older than two ticks a position is on arrival, where one message in some hundred is
/// lost.
const DELIVERY_MS: u64 = 150;

/// The limits of the age of the entries; the lower one is what the intervals of reads and ticks
/// need.
const ENTRIES_AGE_MS: (u64, u64) = (1_250, 2_250);

/// A daemon whose last reads of both topics are no older than this reads the store itself: a read
/// of the configuration waits up to 1.5 s.
const READ_RECENT_MS: u64 = 3_000;

impl Freshness {
    /// The ages that the bounds allow, where positions are sent every `tick`.
    pub(crate) fn from_bounds(drain: Millis, config_wait: Millis, tick: Millis) -> Self {
        let (least, most) = ENTRIES_AGE_MS;
        Self {
            entries: Millis(drain.0.saturating_sub(FALLBACK_MS).clamp(least, most)),
            config: config_wait.plus(2 * tick.0 + DELIVERY_MS),
        }
    }
}

/// What is known of the daemon that this one follows.
#[derive(Debug, Clone, Copy, Default)]
struct Followed {
    incarnation: u64,
    /// The first and last number of the change messages that arrived without a gap.
    run: (u64, u64),
    /// All messages up to this one are covered by a read of all entries.
    covered: Option<u64>,
    /// The number of the last message that it reported as sent.
    last_sent: u64,
    config: Position,
    config_at: Millis,
    changes_at: Millis,
}

impl Followed {
    /// Whether every message that it has sent has arrived or is covered.
    fn is_complete(&self) -> bool {
        let (first, last) = self.run;
        let covered = |c: u64| self.last_sent <= c || (first <= c + 1 && self.last_sent <= last);
        self.covered.is_some_and(covered)
    }
}

/// The reads that this daemon makes of one topic.
#[derive(Debug, Clone, Copy, Default)]
struct Reads {
    last: Option<Millis>,
    failing: bool,
}

impl Reads {
    fn on_read(&mut self, at: Millis) {
        self.last = Some(at);
        self.failing = false;
    }

    fn is_current(&self, now: Millis) -> bool {
        let recent = self.last.is_some_and(|at| now.since(at) < READ_RECENT_MS);
        recent && !self.failing
    }
}

/// How far the store is known, by this daemon's own reads and by the daemon that it follows.
#[derive(Debug, Default)]
pub(crate) struct ReadProgress {
    number: u64,
    config: Option<(Position, Millis)>,
    /// When the known configuration was last confirmed to be the newest.
    confirmed: Option<Millis>,
    changes: Option<Millis>,
    /// The era of the store.
    era: u64,
    followed: Followed,
    config_reads: Reads,
    entries_reads: Reads,
}

impl ReadProgress {
    /// Learns of a later era of the store: what other daemons report of earlier ones is no longer the
    /// state of the store. Returns whether anything was known of an earlier one.
    pub(crate) fn on_era(&mut self, era: u64) -> bool {
        self.era = self.era.max(era);
        let followed = self.followed.config;
        if followed.era() < self.era {
            self.followed.config_at = Millis(0);
        }
        let known = self.config.map(|(next, _)| next);
        known.is_some_and(|next| next.era() < era) || followed != Position::default()
    }

    /// Records that this daemon itself has read the configuration, as it was at `at`.
    pub(crate) fn on_config(&mut self, next: Position, at: Millis) {
        self.config = self.config.max(Some((next, at)));
        self.config_reads.on_read(at);
    }

    /// Records that the configuration up to `next` is confirmed to have been the newest at `at`, by
    /// the answer to a question asked at that time. The time of the answer itself would not do: how
    /// long it took in transit or in a suspended daemon is unknown.
    pub(crate) fn on_confirmed(&mut self, next: Position, at: Millis) {
        // A confirmation of a newer configuration that is not known yet says nothing about this
        // one.
        if self.config.is_some_and(|(known, _)| next <= known) {
            self.confirmed = self.confirmed.max(Some(at));
        }
    }

    /// When the configuration that this daemon has read was last confirmed to be the newest.
    pub(crate) fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed
    }

    /// Records that a read of the configuration failed.
    pub(crate) fn on_config_failed(&mut self) {
        self.config_reads.failing = true;
    }

    /// Records that a read of the entries failed.
    pub(crate) fn on_entries_failed(&mut self) {
        self.entries_reads.failing = true;
    }

    /// Whether this daemon reads the store itself and is served.
    fn reads_store(&self, now: Millis) -> bool {
        self.config_reads.is_current(now) && self.entries_reads.is_current(now)
    }

    /// As of when the configuration that this daemon has read is known to be the newest, by its own
    /// reads or by its hub's.
    pub(crate) fn config_known_at(&self) -> Option<Millis> {
        self.config.map(|(_, at)| at)
    }

    /// Records that this daemon itself has read the entries up to their end at `at`. The read
    /// covers what the hub had sent by `position`, which was taken before the read.
    pub(crate) fn on_entries(&mut self, position: (u64, u64), at: Millis) {
        self.changes = self.changes.max(Some(at));
        self.entries_reads.on_read(at);
        let (incarnation, last_sent) = position;
        if self.followed.incarnation == incarnation {
            self.followed.covered = Some(last_sent);
        }
    }

    /// The number of the next message of changes.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// As of when the entries are known, by reads of this daemon or by the daemon that it follows.
    pub(crate) fn entries_known_at(&self) -> Option<Millis> {
        let followed = self
            .followed
            .is_complete()
            .then_some(self.followed.changes_at);
        self.changes.max(followed)
    }

    /// How far this daemon knows the configuration, and as of when that is the newest.
    pub(crate) fn config_known(&self) -> Option<(Position, Millis)> {
        self.config
    }

    /// The read position that a hub reports; none while it knows nothing.
    pub(crate) fn read_position(&self, now: Millis) -> Option<ReadPosition> {
        let (config, config_at) = self.config_known()?;
        let changes_at = self.entries_known_at()?;
        let age = |at: Millis| now.since(at).min(u64::from(u32::MAX)) as u32;
        Some(ReadPosition {
            config,
            config_age: age(config_at),
            confirmed_age: self.confirmed_at().map(age),
            changes: self.number,
            changes_age: age(changes_at),
            reads_store: self.reads_store(now),
        })
    }

    /// Records that the configuration was copied from a daemon that knew it up to `next` at `at`:
    /// nothing newer is known of it until the next read position arrives.
    pub(crate) fn on_config_copied(&mut self, next: Position, at: Millis) {
        self.config = self.config.max(Some((next, at)));
        self.followed.config = self.followed.config.max(next);
        self.followed.config_at = self.followed.config_at.max(at);
    }

    /// Records that the entries were copied from a daemon that knew them as of `at`; `number` is
    /// the last message of changes that the copy covers.
    pub(crate) fn on_entries_copied(&mut self, incarnation: u64, number: u64, at: Millis) {
        let followed = &mut self.followed;
        if followed.incarnation != incarnation {
            *followed = Followed {
                incarnation,
                ..Followed::default()
            };
        }
        followed.covered = Some(number);
        followed.last_sent = followed.last_sent.max(number);
        followed.changes_at = followed.changes_at.max(at);
    }

    /// The number of the last message of changes.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Records the read position of the followed daemon, which arrived at `at`.
    pub(crate) fn on_position(
        &mut self,
        incarnation: u64,
        read_position: ReadPosition,
        at: Millis,
    ) {
        let followed = &mut self.followed;
        if followed.incarnation != incarnation {
            *followed = Followed {
                incarnation,
                ..Followed::default()
            };
        }
        // The message of changes itself may still be in transit.
        followed.last_sent = read_position.changes;
        let before = |age: u32| Millis(at.0.saturating_sub(u64::from(age)));
        followed.changes_at = before(read_position.changes_age);
        // A daemon that has not noticed the new era yet reports what the store had before.
        if read_position.config.era() < self.era {
            return;
        }
        followed.config = read_position.config;
        followed.config_at = before(read_position.config_age);
        let known_at = followed.config_at;
        if let Some((_, at)) = self
            .config
            .as_mut()
            .filter(|(next, _)| *next == read_position.config)
        {
            *at = (*at).max(known_at);
        }
    }

    /// Records the number of a message of changes. Returns whether the followed daemon sent it.
    pub(crate) fn on_changes(&mut self, incarnation: u64, number: u64) -> bool {
        let followed = &mut self.followed;
        if followed.incarnation != incarnation {
            return false;
        }
        let (first, last) = followed.run;
        if number == last + 1 {
            followed.run = (first, number);
        } else if number > last {
            followed.run = (number, number);
        }
        true
    }

    /// Whether the followed daemon has sent a read position.
    pub(crate) fn has_position(&self) -> bool {
        self.followed.incarnation != 0
    }

    /// The incarnation of the followed daemon and the number of the last message of changes that it
    /// reported as sent, to be compared after a read.
    pub(crate) fn followed_position(&self) -> (u64, u64) {
        (self.followed.incarnation, self.followed.last_sent)
    }

    /// As of when the entries are known without a read, if that is recent enough.
    pub(crate) fn followed_entries(&self, fresh: Freshness, now: Millis) -> Option<Millis> {
        let at = self.followed.changes_at;
        let follows = self.followed.is_complete() && now.since(at) < fresh.entries.0;
        follows.then_some(at)
    }

    /// Whether every message of changes up to this one of the followed daemon has arrived, and none
    /// after it.
    pub(crate) fn is_at(&self, incarnation: u64, number: u64) -> bool {
        let followed = &self.followed;
        let last = followed.covered.map(|c| c.max(followed.run.1));
        followed.incarnation == incarnation && followed.is_complete() && last == Some(number)
    }

    /// How far the followed daemon last reported to know the configuration.
    pub(crate) fn reported_config(&self) -> Position {
        self.followed.config
    }

    /// Whether the followed daemon has reported a newer configuration than is known here.
    pub(crate) fn lacks_reported(&self) -> bool {
        self.config
            .is_some_and(|(next, _)| next < self.followed.config)
    }

    /// How far the followed daemon knows the configuration, where that is recent enough.
    pub(crate) fn followed_config(&self, fresh: Freshness, now: Millis) -> Option<Position> {
        let fresh = now.since(self.followed.config_at) < fresh.config.0;
        fresh.then_some(self.followed.config)
    }
}

//! Who reads the store: hubs do, and whoever does not hear from one that does.
//!
//! A hub marks in its totals how far it has read and how long ago, and sends the entries
//! that changed in numbered messages. A follower that has every message up to the mark
//! knows what the hub knew when it read.

use crate::message::Mark;
use shaleline_types::Millis;

/// How old what a hub has read may be before its followers look elsewhere.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Freshness {
    /// For the upstreams' entries: a hub reads every 700 ms and tells of it within another
    /// 300 ms; the rest of the drain bound is for asking the hub and then the store.
    pub(crate) entries: Millis,
    /// For the configuration: a hub's read waits for a change nearly as long.
    pub(crate) config: Millis,
}

/// What the platform's bounds must leave for asking a hub and then the store.
const ASK_MS: u64 = 750;

/// How much older the configuration may be than the longest wait of a hub's read: the
/// time until its mark is told.
const MARK_MS: u64 = 450;

/// The bounds of the ages; the lower ones are what a hub's pace needs.
const ENTRIES_MS: (u64, u64) = (1_250, 2_250);

impl Freshness {
    /// The ages that the bounds allow.
    pub(crate) fn from_bounds(drain: Millis, config_wait: Millis) -> Self {
        let (least, most) = ENTRIES_MS;
        Self {
            entries: Millis(drain.0.saturating_sub(ASK_MS).clamp(least, most)),
            config: config_wait.plus(MARK_MS),
        }
    }
}

/// What a follower knows of its hub's reading.
#[derive(Debug, Clone, Copy, Default)]
struct Followed {
    life: u64,
    /// The messages of changes that came one after the other without a gap, first and last.
    run: (u64, u64),
    /// All messages up to this one are covered by a read of all entries.
    covered: Option<u64>,
    /// The last message that the hub says it has sent.
    marked: u64,
    config: u64,
    config_at: Millis,
    changes_at: Millis,
}

impl Followed {
    /// Whether every message that the hub has sent is known or covered.
    fn is_whole(&self) -> bool {
        let (first, last) = self.run;
        let covered = |c: u64| self.marked <= c || (first <= c + 1 && self.marked <= last);
        self.covered.is_some_and(covered)
    }
}

/// How far the store has been read, here and by the hub.
#[derive(Debug, Default)]
pub(crate) struct Reading {
    number: u64,
    config: Option<(u64, Millis)>,
    changes: Option<Millis>,
    followed: Followed,
}

impl Reading {
    /// Notes that this daemon itself has read the configuration, as it was at `at`.
    pub(crate) fn on_config(&mut self, next: u64, at: Millis) {
        self.config = self.config.max(Some((next, at)));
    }

    /// As of when the configuration that this daemon has read is known to be the newest, by its
    /// own reads or by its hub's.
    pub(crate) fn config_known_at(&self) -> Option<Millis> {
        let (next, at) = self.config?;
        let told = (self.followed.config == next).then_some(self.followed.config_at);
        Some(told.map_or(at, |t| t.max(at)))
    }

    /// Notes that this daemon itself has read the entries up to their end at `at`. What the hub
    /// had sent by `position`, which was taken before the read, is covered by it.
    pub(crate) fn on_entries(&mut self, position: (u64, u64), at: Millis) {
        self.changes = Some(at);
        let (life, marked) = position;
        if self.followed.life == life {
            self.followed.covered = Some(marked);
        }
    }

    /// The number of the next message of changes.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// What a hub tells of its reading; none while it does not read.
    pub(crate) fn mark(&self, now: Millis) -> Option<Mark> {
        let (config, config_at) = self.config?;
        let changes_at = self.changes?;
        let age = |at: Millis| now.since(at).min(u64::from(u32::MAX)) as u32;
        Some(Mark {
            config,
            config_age: age(config_at),
            changes: self.number,
            changes_age: age(changes_at),
        })
    }

    /// Notes that the configuration was copied from a hub that had read it up to `next` at
    /// `at`: until the hub's next mark nothing newer is known of it.
    pub(crate) fn on_config_copied(&mut self, next: u64, at: Millis) {
        self.on_config(next, at);
        self.followed.config = self.followed.config.max(next);
        self.followed.config_at = self.followed.config_at.max(at);
    }

    /// Notes that the entries were copied from a hub that had read them at `at`; `number` is
    /// the last message of changes that the copy covers.
    pub(crate) fn on_copied(&mut self, life: u64, number: u64, at: Millis) {
        let followed = &mut self.followed;
        if followed.life != life {
            *followed = Followed {
                life,
                ..Followed::default()
            };
        }
        followed.covered = Some(number);
        followed.marked = followed.marked.max(number);
        followed.changes_at = followed.changes_at.max(at);
    }

    /// Notes that this daemon, a hub, knows the entries as they were at `at` from another.
    pub(crate) fn on_known(&mut self, at: Millis) {
        self.changes = self.changes.max(Some(at));
    }

    /// The number of the last message of changes.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// When this daemon itself last knew the entries up to their end.
    pub(crate) fn entries_at(&self) -> Option<Millis> {
        self.changes
    }

    /// How far this daemon itself knows the configuration, and as of when.
    pub(crate) fn config_at(&self) -> Option<(u64, Millis)> {
        self.config
    }

    /// Takes in the mark of this daemon's hub, which came at `at`.
    pub(crate) fn on_mark(&mut self, life: u64, mark: Mark, at: Millis) {
        let followed = &mut self.followed;
        if followed.life != life {
            *followed = Followed {
                life,
                ..Followed::default()
            };
        }
        // The message of changes itself may still be on its way.
        followed.marked = mark.changes;
        let before = |age: u32| Millis(at.0.saturating_sub(u64::from(age)));
        followed.config = mark.config;
        followed.config_at = before(mark.config_age);
        followed.changes_at = before(mark.changes_age);
    }

    /// Takes in the number of a message of changes. Returns whether it is the hub's.
    pub(crate) fn on_changes(&mut self, life: u64, number: u64) -> bool {
        let followed = &mut self.followed;
        if followed.life != life {
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

    /// Where the hub's messages are, to be compared after a read.
    pub(crate) fn position(&self) -> (u64, u64) {
        (self.followed.life, self.followed.marked)
    }

    /// Whether the entries are known as of a moment ago without reading.
    pub(crate) fn follows_entries(&self, fresh: Freshness, now: Millis) -> bool {
        self.followed.is_whole() && now.since(self.followed.changes_at) < fresh.entries.0
    }

    /// How far the hub has read the configuration, where it read a moment ago.
    pub(crate) fn hub_config(&self, fresh: Freshness, now: Millis) -> Option<u64> {
        let fresh = now.since(self.followed.config_at) < fresh.config.0;
        fresh.then_some(self.followed.config)
    }
}

//! Who reads the store: hubs do, and whoever does not hear from one that does.
//!
//! A hub marks in its totals how far it has read and how long ago, and sends the entries
//! that changed in numbered messages. A follower that has every message up to the mark
//! knows what the hub knew when it read.

use crate::message::Mark;
use shaleline_types::Millis;

/// A follower reads by itself once what it has heard of is older than this: a hub reads
/// every 700 ms and tells of it within another 300 ms.
const FOLLOW_MS: u64 = 1_250;

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
    /// Notes that this daemon itself has read the configuration.
    pub(crate) fn on_config(&mut self, next: u64, now: Millis) {
        self.config = Some((next, now));
    }

    /// Notes that this daemon itself has read the entries up to their end. What the hub had
    /// sent by `position`, which was taken before the read, is covered by it.
    pub(crate) fn on_entries(&mut self, position: (u64, u64), now: Millis) {
        self.changes = Some(now);
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

    /// Takes in the mark of this daemon's hub.
    pub(crate) fn on_mark(&mut self, life: u64, mark: Mark, now: Millis) {
        let followed = &mut self.followed;
        if followed.life != life {
            *followed = Followed {
                life,
                ..Followed::default()
            };
        }
        // The message of changes itself may still be on its way.
        followed.marked = mark.changes;
        let before = |age: u32| Millis(now.0.saturating_sub(u64::from(age)));
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
    pub(crate) fn follows_entries(&self, now: Millis) -> bool {
        self.followed.is_whole() && now.since(self.followed.changes_at) < FOLLOW_MS
    }

    /// How far the hub has read the configuration, where it read a moment ago.
    pub(crate) fn hub_config(&self, now: Millis) -> Option<u64> {
        let fresh = now.since(self.followed.config_at) < FOLLOW_MS;
        fresh.then_some(self.followed.config)
    }
}

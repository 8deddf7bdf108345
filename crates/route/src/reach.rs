//! Which daemons reach the upstreams, as far as their sends show.
//!
//! A router may select for many daemons. A send that gets no answer shows that its upstream does not
//! work, or that its daemon has lost the path to it. The upstream's answers to other daemons tell
//! the two apart, and so do the other upstreams' answers to the same daemon. A daemon often loses
//! all upstreams of a service at once, so what is known of it is kept by service.

use crate::Route;
use shaleline_types::{stable_hash, Millis};
use std::collections::BTreeMap;

/// The time for which a daemon counts as one that sends, and for which it is remembered that its
/// sends get no answers.
const REMEMBER_MS: u64 = 3_000;

/// Paths are in doubt if at least this many daemons get no answers, and at least one in
/// [`DOUBT_DIVISOR`] of those that send.
const MIN_SUSPECTS: usize = 2;
const DOUBT_DIVISOR: usize = 10;

/// Upstreams to which daemons often lose the paths together: those of a plain service, or all
/// engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Group(u64);

impl Group {
    pub(crate) fn of(route: &Route) -> Self {
        match route {
            Route::Model { .. } => Self(0),
            Route::Service(service) => Self(stable_hash(&[service.as_str()])),
        }
    }
}

/// What the sends of one daemon to the upstreams of one group have shown.
#[derive(Debug, Default, Clone, Copy)]
struct Record {
    last_sent: Millis,
    last_answer: Option<Millis>,
    /// When it last had a send that was lost, without an answer since.
    lost: Option<Millis>,
}

/// What is known of the daemons that send.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    groups: BTreeMap<Group, BTreeMap<u64, Record>>,
}

impl Reach {
    fn record(&mut self, group: Group, daemon: u64) -> &mut Record {
        self.groups
            .entry(group)
            .or_default()
            .entry(daemon)
            .or_default()
    }

    pub(crate) fn on_send(&mut self, group: Group, daemon: u64, now: Millis) {
        self.record(group, daemon).last_sent = now;
    }

    /// Records that an upstream answered a daemon.
    pub(crate) fn on_answer(&mut self, group: Group, daemon: u64, now: Millis) {
        let record = self.record(group, daemon);
        record.last_answer = Some(now);
        record.lost = None;
    }

    /// Records that a send got no answer though its upstream has answered later ones of others.
    pub(crate) fn on_lost(&mut self, group: Group, daemon: u64, sent: Millis, now: Millis) {
        let record = self.record(group, daemon);
        if record.last_answer <= Some(sent) {
            record.lost = Some(now);
        }
    }

    /// Whether a send that hangs says anything about its upstream: its daemon has heard another one
    /// since, or no other daemon sends.
    pub(crate) fn can_tell(&self, group: Group, daemon: u64, sent: Millis) -> bool {
        let records = self.groups.get(&group);
        let answer = records.and_then(|r| r.get(&daemon)?.last_answer);
        answer.is_some_and(|at| at > sent) || !self.has_others(group, daemon)
    }

    /// Whether another daemon sends as well.
    pub(crate) fn has_others(&self, group: Group, daemon: u64) -> bool {
        let records = self.groups.get(&group);
        records.is_some_and(|r| r.keys().any(|d| *d != daemon))
    }

    /// Whether a daemon may have lost its paths: its sends get no answers while those of others do.
    pub(crate) fn is_suspect(&self, group: Group, daemon: u64, now: Millis) -> bool {
        let records = self.groups.get(&group);
        records.is_some_and(|r| r.get(&daemon).is_some_and(|r| r.is_suspect(now)))
    }

    /// Whether so many daemons may have lost their paths that others may have as well.
    pub(crate) fn is_doubtful(&self, group: Group, now: Millis) -> bool {
        let Some(records) = self.groups.get(&group) else {
            return false;
        };
        let suspects = records.values().filter(|r| r.is_suspect(now)).count();
        suspects >= MIN_SUSPECTS && suspects * DOUBT_DIVISOR >= records.len()
    }

    /// Drops daemons that no longer send.
    pub(crate) fn prune(&mut self, now: Millis) {
        for records in self.groups.values_mut() {
            records.retain(|_, r| now.since(r.last_sent) < REMEMBER_MS);
        }
        self.groups.retain(|_, records| !records.is_empty());
    }
}

impl Record {
    fn is_suspect(&self, now: Millis) -> bool {
        self.lost.is_some_and(|at| now.since(at) < REMEMBER_MS)
    }
}

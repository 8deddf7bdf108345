//! Which upstreams there are, as the store lists them.
//!
//! An entry that is removed means that the upstream is gone or soon will be. While the
//! store itself was away entries lapse, though their upstreams live; those are back within
//! seconds. So removals that come with a disturbance of the store take effect late.

use crate::Entry;
use shaleline_types::{Millis, Upstream};
use std::collections::BTreeMap;

/// How long after the store was away a removal may be a lapse.
const LAPSE_MS: u64 = 6_000;

/// How long such a removal waits for the entry to come back: the platform has entries of
/// living upstreams back within two seconds, and a leaving one must get no new work after
/// the drain bound, which starts with the removal.
const HOLD_MS: u64 = 1_400;

/// What changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Change {
    /// There is an upstream, or its entry says something new.
    Present(Upstream),
    /// It gets no new work from now on; it may still be at work.
    Gone(Upstream),
}

#[derive(Debug, Clone)]
struct Listed {
    entry: Entry,
    /// Once told to be leaving, it is leaving, whatever a later read says.
    leaving: bool,
    /// When its removal takes effect.
    until: Option<Millis>,
}

/// The upstreams known.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    listed: BTreeMap<Upstream, Listed>,
    disturbed: Option<Millis>,
}

impl Roster {
    /// Notes that the store did not answer as it should.
    pub(crate) fn on_disturbed(&mut self, now: Millis) {
        self.disturbed = Some(now);
    }

    /// Takes in an upstream's entry. Most repeat what the one before said.
    pub(crate) fn on_entry(&mut self, name: &Upstream, entry: Entry) -> Option<Change> {
        let known = self.listed.get(name);
        if known.is_some_and(|l| l.entry == entry && l.until.is_none()) {
            return None;
        }
        let leaving = entry.leaving || known.is_some_and(|l| l.leaving);
        let next = Listed {
            entry,
            leaving,
            until: None,
        };
        self.listed.insert(name.clone(), next);
        Some(Change::Present(name.clone()))
    }

    /// Notes that another upstream answers at the address of this one.
    pub(crate) fn on_replaced(&mut self, name: &Upstream) {
        if let Some(listed) = self.listed.get_mut(name) {
            listed.leaving = true;
        }
    }

    /// Takes in that an upstream's entry was removed.
    pub(crate) fn on_removed(&mut self, name: &Upstream, now: Millis) -> Option<Change> {
        let lapse = self.disturbed.is_some_and(|d| now.since(d) < LAPSE_MS);
        let listed = self.listed.get_mut(name)?;
        if lapse && !listed.leaving {
            listed.until.get_or_insert(now.plus(HOLD_MS));
            return None;
        }
        self.listed.remove(name);
        Some(Change::Gone(name.clone()))
    }

    /// Takes in all entries there are; what is not among them was removed.
    pub(crate) fn on_all(&mut self, all: Vec<(Upstream, Entry)>, now: Millis) -> Vec<Change> {
        let missing = |n: &&Upstream| !all.iter().any(|(a, _)| a == *n);
        let missing: Vec<Upstream> = self.listed.keys().filter(missing).cloned().collect();
        let mut changes: Vec<Change> = missing
            .iter()
            .filter_map(|n| self.on_removed(n, now))
            .collect();
        let present = all.into_iter().filter_map(|(n, e)| self.on_entry(&n, e));
        changes.extend(present);
        changes
    }

    /// Lets removals take effect whose time has come.
    pub(crate) fn tick(&mut self, now: Millis) -> Vec<Change> {
        let due = |l: &Listed| l.until.is_some_and(|u| u <= now);
        let names = self.listed.iter().filter(|(_, l)| due(l));
        let names: Vec<Upstream> = names.map(|(n, _)| n.clone()).collect();
        for name in &names {
            self.listed.remove(name);
        }
        names.into_iter().map(Change::Gone).collect()
    }

    /// An upstream's entry.
    pub(crate) fn get(&self, name: &Upstream) -> Option<&Entry> {
        self.listed.get(name).map(|l| &l.entry)
    }

    /// Whether an upstream is leaving.
    pub(crate) fn is_leaving(&self, name: &Upstream) -> bool {
        self.listed.get(name).is_none_or(|l| l.leaving)
    }

    /// All upstreams.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Upstream, &Entry)> {
        self.listed.iter().map(|(n, l)| (n, &l.entry))
    }
}

//! Which upstreams there are, as the store lists them.
//!
//! An entry that is removed means that the upstream is gone or soon will be. While the
//! store itself was away entries lapse, though their upstreams live; those are back within
//! seconds. So removals that come with a disturbance of the store take effect late. Records
//! come by several ways, some late; their offsets say which are new.

use crate::Entry;
use shaleline_types::{Incarnation, Millis, Upstream};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// The platform has entries of living upstreams back so long after the store is well again.
const STORE_RECOVERY_MS: u64 = 2_000;

/// The longest that a removal waits for its entry to come back. A leaving upstream must get
/// no new work after the drain bound of 2 s, which starts with the removal; reading it takes
/// up to 900 ms.
const MAX_HOLD_MS: u64 = 1_000;

/// Another daemon that the store served so short a time ago shows that entries did not lapse
/// with the store: an upstream's entry does so after three of its intervals of about a
/// second, and with a hold on top the drain bound was passed by 63 ms.
const PEER_SERVED_MS: u64 = 1_500;

/// How long it is remembered that an upstream is gone, so that an old entry of it that is
/// read or told late is passed over, and one of an earlier start as well.
const REMEMBER_MS: u64 = 60_000;

/// What changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Change {
    /// There is an upstream, or its entry says something new.
    Present(Upstream),
    /// An upstream has started again under its name, and knows nothing of before.
    Restarted(Upstream),
    /// It gets no new work from now on; it may still be at work.
    Gone(Upstream),
}

impl Change {
    /// The upstream that it is about.
    pub(crate) fn upstream(&self) -> &Upstream {
        let (Self::Present(name) | Self::Restarted(name) | Self::Gone(name)) = self;
        name
    }
}

/// An upstream's record as it was read: its offset says which of two is newer, however
/// they came here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EntryRecord {
    pub(crate) name: Upstream,
    pub(crate) offset: u64,
    /// None where the record was removed, or names no upstream to use.
    pub(crate) entry: Option<Entry>,
}

#[derive(Debug, Clone)]
struct Listed {
    entry: Entry,
    /// The offset of this entry.
    offset: u64,
    /// The offset of its removal, while that is held.
    removed: Option<u64>,
    /// Once told to be leaving, it is leaving, whatever a later read says.
    leaving: bool,
    /// When its removal takes effect.
    removal_due: Option<Millis>,
}

impl Listed {
    /// The offset of the newest record that is known.
    fn newest(&self) -> u64 {
        self.removed.unwrap_or(self.offset)
    }
}

/// An upstream that is gone.
#[derive(Debug, Clone, Copy)]
struct Gone {
    /// The offset of the removal.
    offset: u64,
    /// When it was taken in.
    at: Millis,
    incarnation: Incarnation,
}

/// The upstreams known.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    listed: BTreeMap<Upstream, Listed>,
    gone: BTreeMap<Upstream, Gone>,
    unstable_at: Option<Millis>,
    /// When the store last served another daemon, as far as is known.
    peer_served: Option<Millis>,
}

impl Roster {
    /// Notes that the store did not answer as it should, or does so again.
    pub(crate) fn on_store_unstable(&mut self, now: Millis) {
        self.unstable_at = Some(now);
    }

    /// Takes in an upstream's record.
    pub(crate) fn on_record(&mut self, record: EntryRecord, now: Millis) -> Option<Change> {
        let gone = self.gone.get(&record.name).map(|g| g.offset);
        let known = self.listed.get(&record.name).map(Listed::newest);
        if gone.max(known).is_some_and(|o| record.offset < o) {
            return None;
        }
        match record.entry {
            Some(entry) => self.on_entry(record.name, record.offset, entry),
            None => self.on_removed(&record.name, record.offset, now),
        }
    }

    /// Takes in an upstream's entry. Most repeat what the one before said.
    fn on_entry(&mut self, name: Upstream, offset: u64, entry: Entry) -> Option<Change> {
        let known = self.listed.get(&name).map(|l| l.entry.incarnation);
        let known = known.or_else(|| Some(self.gone.get(&name)?.incarnation));
        let against = known.map(|k| entry.incarnation.compare_to(k));
        if against == Some(Ordering::Less) {
            return None;
        }
        let restarted = against == Some(Ordering::Greater);
        let known = self.listed.get_mut(&name).filter(|_| !restarted);
        let leaving = entry.leaving || known.as_ref().is_some_and(|l| l.leaving);
        if let Some(known) = known.filter(|l| l.entry == entry) {
            known.offset = offset;
            known.removed = None;
            known.removal_due = None;
            return None;
        }
        let next = Listed {
            entry,
            offset,
            removed: None,
            leaving,
            removal_due: None,
        };
        self.listed.insert(name.clone(), next);
        Some(match restarted {
            true => Change::Restarted(name),
            false => Change::Present(name),
        })
    }

    /// Notes that another upstream answers at the address of this one.
    pub(crate) fn on_replaced(&mut self, name: &Upstream) {
        if let Some(listed) = self.listed.get_mut(name) {
            listed.leaving = true;
        }
    }

    /// Takes in that an upstream's entry was removed.
    fn on_removed(&mut self, name: &Upstream, offset: u64, now: Millis) -> Option<Change> {
        let hold = self.hold(now);
        let listed = self.listed.get_mut(name)?;
        listed.removed = Some(offset);
        if let (Some(removal_due), false) = (hold, listed.leaving) {
            listed.removal_due.get_or_insert(removal_due);
            return None;
        }
        Some(self.forget(name, now))
    }

    fn forget(&mut self, name: &Upstream, now: Millis) -> Change {
        if let Some(listed) = self.listed.remove(name) {
            let gone = Gone {
                offset: listed.newest(),
                at: now,
                incarnation: listed.entry.incarnation,
            };
            self.gone.insert(name.clone(), gone);
        }
        Change::Gone(name.clone())
    }

    /// Whether the store did not answer as it should a moment ago.
    pub(crate) fn is_store_unstable(&self, now: Millis) -> bool {
        self.unstable_at
            .is_some_and(|d| d.plus(STORE_RECOVERY_MS) > now)
    }

    /// Notes that the store served another daemon as it should at that time: what this one
    /// missed since, the store refused it alone, and no entry lapsed for that.
    pub(crate) fn on_peer_served(&mut self, at: Millis) {
        self.peer_served = self.peer_served.max(Some(at));
    }

    /// Until when removals that are read now wait for their entries to come back.
    fn hold(&self, now: Millis) -> Option<Millis> {
        if self
            .peer_served
            .is_some_and(|s| now.since(s) < PEER_SERVED_MS)
        {
            return None;
        }
        let back = self.unstable_at?.plus(STORE_RECOVERY_MS);
        (back > now).then(|| back.min(now.plus(MAX_HOLD_MS)))
    }

    /// Takes in all records there are, read up to the offset `end`; what is not among them
    /// was removed.
    pub(crate) fn on_snapshot(
        &mut self,
        all: Vec<EntryRecord>,
        end: u64,
        now: Millis,
    ) -> Vec<Change> {
        let missing = |n: &&Upstream| !all.iter().any(|s| s.name == **n);
        let missing: Vec<Upstream> = self.listed.keys().filter(missing).cloned().collect();
        let removed = missing.into_iter().map(|name| EntryRecord {
            name,
            offset: end,
            entry: None,
        });
        let records: Vec<EntryRecord> = removed.chain(all).collect();
        records
            .into_iter()
            .filter_map(|r| self.on_record(r, now))
            .collect()
    }

    /// Lets removals take effect whose time has come.
    pub(crate) fn tick(&mut self, now: Millis) -> Vec<Change> {
        let due = |l: &Listed| l.removal_due.is_some_and(|u| u <= now);
        let names = self.listed.iter().filter(|(_, l)| due(l));
        let names: Vec<Upstream> = names.map(|(n, _)| n.clone()).collect();
        self.gone.retain(|_, g| now.since(g.at) < REMEMBER_MS);
        names.iter().map(|n| self.forget(n, now)).collect()
    }

    /// The offset of an upstream's entry, or of its removal where that has taken effect. A
    /// removal that is held says nothing of the entry's age: whoever is told the entry with
    /// the removal's offset would take it for new.
    pub(crate) fn offset(&self, name: &Upstream) -> u64 {
        let listed = self.listed.get(name).map(|l| l.offset);
        let gone = self.gone.get(name).map(|g| g.offset);
        listed.or(gone).unwrap_or(0)
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

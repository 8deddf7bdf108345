//! Keeps the upstreams that the store lists.
//!
//! The removal of an entry means that the upstream is gone or soon will be. While the store itself
//! is unavailable, entries also lapse although their upstreams are alive; those return within
//! seconds. Removals that coincide with a disturbance of the store therefore take effect late.
//! A store that comes back from an older copy lacks the newest entries, which their upstreams write
//! again, and has entries of upstreams that are gone.
//! Records arrive by several ways, some of them late; their positions show which are newer.

use crate::Entry;
use shaleline_types::{stable_hash, Incarnation, Millis, Position, Upstream};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// The time within which the platform restores the entries of living upstreams after the store has
/// recovered.
const STORE_RECOVERY_MS: u64 = 2_000;

/// The longest time for which a removal is held for its entry to return. A leaving upstream must
/// get no new work after the drain bound of 2 s, which starts with the removal; reading it takes up
/// to 900 ms.
const MAX_HOLD_MS: u64 = 1_000;

/// If the store served another daemon within this time, entries did not lapse because of the store:
/// an upstream's entry lapses after three of its intervals of about a second. With a hold in
/// addition, removals would exceed the drain bound.
const PEER_SERVED_MS: u64 = 1_500;

/// The longest time between the moment at which the store makes its answer to a read and the one at
/// which this is known to be read: the timeout of a call.
const READ_DELAY_MS: u64 = 1_000;

/// The time for which a removed upstream is remembered, so that an old entry that is read or
/// received late is ignored, as is one of an earlier start.
const REMEMBER_MS: u64 = 60_000;

/// A change of the list of upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Change {
    /// An upstream is new, or its entry has changed.
    Present(Upstream),
    /// An upstream has started again under its name and has lost its state.
    Restarted(Upstream),
    /// An upstream gets no new work from now on; it may still be running requests.
    Gone(Upstream),
}

impl Change {
    /// The upstream that changed.
    pub(crate) fn upstream(&self) -> &Upstream {
        let (Self::Present(name) | Self::Restarted(name) | Self::Gone(name)) = self;
        name
    }
}

/// An upstream's record as it was read. Of two records the one with the later position is newer,
/// however they arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EntryRecord {
    pub(crate) name: Upstream,
    pub(crate) position: Position,
    /// None where the record was removed, or names no upstream to use.
    pub(crate) entry: Option<Entry>,
}

#[derive(Debug, Clone)]
struct Listed {
    entry: Entry,
    /// The position of this entry.
    position: Position,
    /// The position of its removal, while that is held.
    removed: Option<Position>,
    /// Whether the upstream is leaving. Once set, it stays set whatever later entries say.
    leaving: bool,
    /// When its removal takes effect.
    removal_due: Option<Millis>,
    /// When this daemon itself read the held removal from the store; none if another one reported it.
    removal_read: Option<Millis>,
}

impl Listed {
    /// Drops the held removal.
    fn keep(&mut self) {
        self.removed = None;
        self.removal_due = None;
        self.removal_read = None;
    }

    /// The position of the newest known record.
    fn newest(&self) -> Position {
        self.removed.unwrap_or(self.position)
    }
}

/// An upstream that is gone.
#[derive(Debug, Clone, Copy)]
struct Gone {
    /// The position of the removal.
    position: Position,
    /// When the removal took effect.
    at: Millis,
    incarnation: Incarnation,
}

/// The known upstreams.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    listed: BTreeMap<Upstream, Listed>,
    gone: BTreeMap<Upstream, Gone>,
    /// The end of the topic at the first read since the store came back from an older copy, and when
    /// that was.
    loss: Option<(Position, Millis)>,
    unstable_at: Option<Millis>,
    /// When the store last served another daemon, as far as is known.
    peer_served: Option<Millis>,
}

impl Roster {
    /// Records that the store failed to answer properly, or that it has just recovered.
    pub(crate) fn on_store_unstable(&mut self, now: Millis) {
        self.unstable_at = Some(now);
    }

    /// Applies an upstream's record that another daemon reported.
    pub(crate) fn on_record(&mut self, record: EntryRecord, now: Millis) -> Option<Change> {
        if self.is_old(&record.name, record.position) {
            return None;
        }
        match record.entry {
            Some(entry) => self.on_entry(record.name, record.position, entry),
            None => self.on_removed(&record.name, record.position, self.hold(now), now),
        }
    }

    /// Applies an upstream's record that this daemon itself has read.
    pub(crate) fn on_read_record(&mut self, record: EntryRecord, now: Millis) -> Option<Change> {
        let name = record.name.clone();
        let change = self.on_record(record, now);
        self.record_removal_read(&name, now);
        change
    }

    /// Records that this daemon itself has read the removal of an upstream that is held.
    fn record_removal_read(&mut self, name: &Upstream, now: Millis) {
        let listed = self.listed.get_mut(name);
        if let Some(listed) = listed.filter(|l| l.removal_due.is_some()) {
            listed.removal_read.get_or_insert(now);
        }
    }

    /// Whether a newer record of the upstream is known.
    fn is_old(&self, name: &Upstream, position: Position) -> bool {
        let gone = self.gone.get(name).map(|g| g.position);
        let known = self.listed.get(name).map(Listed::newest);
        gone.max(known).is_some_and(|p| position < p)
    }

    /// Records that the topic ended at `end` when it was first read after the store came back from an
    /// older copy.
    pub(crate) fn on_loss(&mut self, end: Position, now: Millis) {
        self.loss = Some((end, now));
    }

    /// Whether a record may be of before the last loss, so that it does not show that an upstream
    /// which is gone is back.
    fn may_be_copied(&self, position: Position) -> bool {
        let loss = self.loss.map(|(end, _)| end);
        loss.is_some_and(|end| position.era() == end.era() && position < end)
    }

    /// Applies an upstream's entry. Most entries repeat the one before.
    fn on_entry(&mut self, name: Upstream, position: Position, entry: Entry) -> Option<Change> {
        let known = self.listed.get(&name).map(|l| l.entry.incarnation);
        let known = known.or_else(|| Some(self.gone.get(&name)?.incarnation));
        let against = known.map(|k| entry.incarnation.compare_to(k));
        let is_gone = self.gone.contains_key(&name) && !self.listed.contains_key(&name);
        let is_copied = is_gone && self.may_be_copied(position);
        if against == Some(Ordering::Less) || (against == Some(Ordering::Equal) && is_copied) {
            return None;
        }
        let restarted = against == Some(Ordering::Greater);
        let known = self.listed.get_mut(&name).filter(|_| !restarted);
        let leaving = entry.leaving || known.as_ref().is_some_and(|l| l.leaving);
        // An older entry that the store has again must not reach other daemons either.
        let entry = Entry {
            leaving: entry.leaving || known.as_ref().is_some_and(|l| l.entry.leaving),
            ..entry
        };
        if let Some(known) = known.filter(|l| l.entry == entry) {
            known.position = position;
            known.keep();
            return None;
        }
        let next = Listed {
            entry,
            position,
            removed: None,
            leaving,
            removal_due: None,
            removal_read: None,
        };
        self.listed.insert(name.clone(), next);
        Some(match restarted {
            true => Change::Restarted(name),
            false => Change::Present(name),
        })
    }

    /// Records that another upstream answers at the address of this one.
    pub(crate) fn on_replaced(&mut self, name: &Upstream) {
        if let Some(listed) = self.listed.get_mut(name) {
            listed.leaving = true;
        }
    }

    /// Applies the removal of an upstream's entry.
    fn on_removed(
        &mut self,
        name: &Upstream,
        position: Position,
        hold: Option<Millis>,
        now: Millis,
    ) -> Option<Change> {
        let listed = self.listed.get_mut(name)?;
        listed.removed = Some(position);
        listed.removal_read = None;
        if let (Some(removal_due), false) = (hold, listed.leaving) {
            listed.removal_due.get_or_insert(removal_due);
            return None;
        }
        Some(self.forget(name, now))
    }

    fn forget(&mut self, name: &Upstream, now: Millis) -> Change {
        if let Some(listed) = self.listed.remove(name) {
            let gone = Gone {
                position: listed.newest(),
                at: now,
                incarnation: listed.entry.incarnation,
            };
            self.gone.insert(name.clone(), gone);
        }
        Change::Gone(name.clone())
    }

    /// Whether the store recently failed to answer properly.
    pub(crate) fn is_store_unstable(&self, now: Millis) -> bool {
        self.unstable_at
            .is_some_and(|d| d.plus(STORE_RECOVERY_MS) > now)
    }

    /// Records that the store served another daemon properly at that time. What this daemon missed
    /// since, the store refused to this daemon alone, so that no entry lapsed because of it.
    pub(crate) fn on_peer_served(&mut self, at: Millis) {
        self.peer_served = self.peer_served.max(Some(at));
    }

    /// Until when removals that are read now are held for their entries to return.
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

    /// Until when upstreams are used whose entries are missing: after a loss they write them again.
    fn hold_missing(&self, now: Millis) -> Option<Millis> {
        let back = self.loss.map(|(_, at)| at.plus(STORE_RECOVERY_MS));
        back.filter(|back| *back > now).or_else(|| self.hold(now))
    }

    /// Applies all existing records that this daemon itself has read up to `end`.
    pub(crate) fn on_read_snapshot(
        &mut self,
        all: Vec<EntryRecord>,
        end: Position,
        now: Millis,
    ) -> Vec<Change> {
        let changes = self.on_snapshot(all, end, now);
        let held = self.listed.iter().filter(|(_, l)| l.removed == Some(end));
        let held: Vec<Upstream> = held.map(|(name, _)| name.clone()).collect();
        for name in &held {
            self.record_removal_read(name, now);
        }
        changes
    }

    /// Applies all existing records, read up to `end` by another daemon; upstreams without one were
    /// removed.
    pub(crate) fn on_snapshot(
        &mut self,
        all: Vec<EntryRecord>,
        end: Position,
        now: Millis,
    ) -> Vec<Change> {
        let missing = |n: &&Upstream| !all.iter().any(|s| s.name == **n);
        let missing: Vec<Upstream> = self.listed.keys().filter(missing).cloned().collect();
        let hold = self.hold_missing(now);
        let missing = missing.into_iter().filter(|name| !self.is_old(name, end));
        let missing: Vec<Upstream> = missing.collect();
        let mut changes: Vec<Change> = missing
            .iter()
            .filter_map(|name| self.on_removed(name, end, hold, now))
            .collect();
        let present = all.into_iter().filter_map(|r| self.on_record(r, now));
        changes.extend(present);
        changes
    }

    /// Applies the held removals that are due. `followed` is the time as of which the entries are known
    /// through the followed daemon, if there is one.
    ///
    /// A removal that only this daemon has read waits for what that daemon makes of it: it holds the
    /// removal as well and will report it, or has seen the entry return, which is no change to report.
    pub(crate) fn tick(&mut self, now: Millis, followed: Option<Millis>) -> Vec<Change> {
        if let Some(followed) = followed {
            self.drop_holds(followed);
        }
        let waits = |l: &Listed| followed.is_some() && l.removal_read.is_some();
        let due = |l: &Listed| l.removal_due.is_some_and(|u| u <= now) && !waits(l);
        let names = self.listed.iter().filter(|(_, l)| due(l));
        let names: Vec<Upstream> = names.map(|(n, _)| n.clone()).collect();
        self.gone.retain(|_, g| now.since(g.at) < REMEMBER_MS);
        names.iter().map(|n| self.forget(n, now)).collect()
    }

    /// Whether removals are held for their entries to return.
    pub(crate) fn holds_removals(&self) -> bool {
        self.listed.values().any(|l| l.removal_due.is_some())
    }

    /// Drops the held removals that the followed daemon has certainly read by now as well.
    fn drop_holds(&mut self, followed: Millis) {
        let known = |l: &&mut Listed| {
            let read = l.removal_read;
            read.is_some_and(|at| at.plus(READ_DELAY_MS) <= followed)
        };
        self.listed
            .values_mut()
            .filter(known)
            .for_each(Listed::keep);
    }

    /// Identifies the list: which upstreams it has, which start of each, and whether they leave.
    pub(crate) fn digest(&self) -> u64 {
        let parts = self.listed.iter().map(|(name, l)| {
            let Entry {
                incarnation,
                leaving,
                ..
            } = &l.entry;
            stable_hash(&[
                name.as_str(),
                &incarnation.to_string(),
                &leaving.to_string(),
            ])
        });
        parts.fold(0, u64::wrapping_add)
    }

    /// The position of an upstream's entry, or of its removal where that has taken effect. The
    /// position of a held removal would be wrong: a daemon that received the entry with that
    /// position would take the entry for new.
    pub(crate) fn position(&self, name: &Upstream) -> Position {
        let listed = self.listed.get(name).map(|l| l.position);
        let gone = self.gone.get(name).map(|g| g.position);
        listed.or(gone).unwrap_or_default()
    }

    /// An upstream's entry.
    pub(crate) fn get(&self, name: &Upstream) -> Option<&Entry> {
        self.listed.get(name).map(|l| &l.entry)
    }

    /// Whether an upstream is leaving.
    pub(crate) fn is_leaving(&self, name: &Upstream) -> bool {
        self.listed.get(name).is_none_or(|l| l.leaving)
    }

    /// All upstreams with their entries.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Upstream, &Entry)> {
        self.listed.iter().map(|(n, l)| (n, &l.entry))
    }
}

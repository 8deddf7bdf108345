//! Finds who holds the planner lease from the newest records of its topic.
//!
//! An acquisition, a renewal and a release with a token are appended on the condition that the topic
//! ends behind what their writer has read, so each of them takes effect. Daemons of earlier releases
//! append releases without a condition: such a record may come behind the acquisition of another
//! daemon, and releases nothing there. `docs/LEASES.md` has the cases.

/// What a record of the topic does to the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseChange {
    /// Its writer acquires or renews the lease.
    Held,
    /// Its writer releases the lease.
    Released,
    /// Its writer releases the lease if the record before is its own.
    ReleasedUnconditionally,
}

/// A record of the topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseEntry<'a> {
    /// The writer.
    pub holder: &'a str,
    /// What it does.
    pub change: LeaseChange,
}

/// Returns the index of the last record that took effect, given consecutive records up to the newest
/// one. Returns none if none of them shows who holds the lease: a release without a condition
/// counts only if the holder before it is known.
#[must_use]
pub fn last_effective(entries: &[LeaseEntry<'_>]) -> Option<usize> {
    let mut last = None;
    for (index, entry) in entries.iter().enumerate() {
        let holder = last.map(|i: usize| entries[i]);
        let takes_effect = match entry.change {
            LeaseChange::Held | LeaseChange::Released => true,
            LeaseChange::ReleasedUnconditionally => {
                holder.is_some_and(|h| h.holder == entry.holder && h.change == LeaseChange::Held)
            }
        };
        if takes_effect {
            last = Some(index);
        }
    }
    last
}

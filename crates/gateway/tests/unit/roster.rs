//! Tests of the roster of upstreams as entries are added, changed and removed.

use crate::entries_check::EntriesCheck;
use crate::roster::{Change, EntryRecord, Roster};
use crate::Entry;
use shaleline_testkit::cases;
use shaleline_types::{DataCentre, Incarnation, Millis, Position, Service, Upstream};
use std::net::SocketAddr;

const NOW: Millis = Millis(1_000_000);

fn upstream() -> Upstream {
    Upstream::from_text("i-1").expect("a valid name")
}

fn entry(leaving: bool) -> Entry {
    Entry {
        service: Service::from_text("svc").expect("a valid name"),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        centre: DataCentre::from_text("dc1").expect("a valid name"),
        slots: 6,
        leaving,
        held: None,
        incarnation: Incarnation::default(),
        version: shaleline_types::SoftwareVersion::default(),
        remaining: None,
    }
}

fn at(offset: u64) -> Position {
    Position::new(0, offset)
}

fn present(offset: u64, leaving: bool) -> EntryRecord {
    EntryRecord {
        name: upstream(),
        position: at(offset),
        entry: Some(entry(leaving)),
    }
}

fn removed(offset: u64) -> EntryRecord {
    EntryRecord {
        entry: None,
        ..present(offset, false)
    }
}

fn listed_roster() -> Roster {
    let mut roster = Roster::default();
    let change = roster.on_record(present(1, false), NOW);
    assert_eq!(change, Some(Change::Present(upstream())));
    roster
}

#[test]
fn an_unchanged_entry_has_no_effect() {
    assert_eq!(listed_roster().on_record(present(2, false), NOW), None);
}

#[test]
fn a_removal_takes_effect_at_once_while_the_store_is_stable() {
    let change = listed_roster().on_record(removed(2), NOW);
    assert_eq!(change, Some(Change::Gone(upstream())));
}

#[test]
fn an_entry_that_expired_during_an_outage_of_the_store_may_return() {
    let mut roster = listed_roster();
    roster.on_store_unstable(NOW);
    assert_eq!(roster.on_record(removed(2), NOW), None);
    assert_eq!(roster.tick(NOW.plus(900), None), []);
    roster.on_record(present(3, false), NOW);
    assert_eq!(roster.tick(NOW.plus(5_000), None), []);
    assert!(roster.get(&upstream()).is_some());
}

#[test]
fn an_entry_that_does_not_return_is_removed() {
    let mut roster = listed_roster();
    roster.on_store_unstable(NOW);
    roster.on_record(removed(2), NOW);
    assert_eq!(
        roster.tick(NOW.plus(2_000), None),
        [Change::Gone(upstream())]
    );
}

/// Guards against requests to an upstream that has left: a removal 3.3 s after the store had
/// recovered was delayed by 1.4 s.
#[test]
fn a_removal_long_after_an_outage_is_not_delayed() {
    let mut roster = listed_roster();
    roster.on_store_unstable(NOW);
    let change = roster.on_record(removed(2), NOW.plus(2_100));
    assert_eq!(change, Some(Change::Gone(upstream())));
}

/// Guards against requests to an upstream that has left: an entry that a hub had read before the
/// removal arrived after it and restored the upstream.
#[test]
fn a_late_older_entry_does_not_restore_a_removed_upstream() {
    let mut roster = listed_roster();
    roster.on_record(removed(5), NOW);
    assert_eq!(roster.on_record(present(4, false), NOW), None);
    assert!(roster.get(&upstream()).is_none());
    let change = roster.on_record(present(6, false), NOW);
    assert_eq!(change, Some(Change::Present(upstream())));
}

/// Guards against requests to an upstream that has left: a hub that the store had refused delayed
/// a removal and sent its followers the entry with the removal's offset, which restored the
/// upstream.
#[test]
fn an_entry_whose_removal_is_delayed_keeps_its_offset() {
    let mut roster = listed_roster();
    roster.on_store_unstable(NOW);
    let mut changed = present(4, false);
    changed.entry = changed.entry.map(|e| Entry { slots: 7, ..e });
    let change = roster.on_record(changed.clone(), NOW);
    assert_eq!(change, Some(Change::Present(upstream())));
    assert_eq!(roster.on_record(removed(5), NOW), None);
    assert_eq!(roster.position(&upstream()), at(4));
    assert_eq!(roster.on_record(changed, NOW), None);
    assert_eq!(
        roster.tick(NOW.plus(2_000), None),
        [Change::Gone(upstream())]
    );
    assert_eq!(roster.position(&upstream()), at(5));
}

#[test]
fn leaving_is_not_reverted_by_later_entries() {
    let mut roster = listed_roster();
    roster.on_record(present(2, true), NOW);
    roster.on_record(present(3, false), NOW);
    assert!(roster.is_leaving(&upstream()));
    roster.on_store_unstable(NOW);
    let change = roster.on_record(removed(4), NOW);
    assert_eq!(change, Some(Change::Gone(upstream())));
}

#[test]
fn entries_missing_from_a_snapshot_are_removed() {
    let name = Upstream::from_text("i-2").expect("a valid name");
    let other = EntryRecord {
        name: name.clone(),
        ..present(7, false)
    };
    let changes = listed_roster().on_snapshot(vec![other], at(8), NOW);
    assert_eq!(changes, [Change::Gone(upstream()), Change::Present(name)]);
}

/// Guards against a late removal: the store refused a single hub, which delayed a removal that the
/// other hubs had applied by another second, 63 ms beyond the bound.
#[test]
fn a_removal_is_not_delayed_while_another_daemon_reads_the_store() {
    let mut roster = listed_roster();
    roster.on_peer_served(NOW);
    roster.on_store_unstable(NOW.plus(400));
    let change = roster.on_record(removed(2), NOW.plus(800));
    assert_eq!(change, Some(Change::Gone(upstream())));
}

/// An outage of the store that lasts long enough for entries to expire delays removals.
#[test]
fn a_removal_is_delayed_where_no_daemon_read_the_store_recently() {
    let mut roster = listed_roster();
    roster.on_peer_served(NOW);
    roster.on_store_unstable(NOW.plus(3_000));
    assert_eq!(roster.on_record(removed(2), NOW.plus(3_200)), None);
}

fn with_incarnation(record: EntryRecord, at: u64) -> EntryRecord {
    let incarnation = Incarnation::from_millis(at);
    EntryRecord {
        entry: record.entry.map(|e| Entry { incarnation, ..e }),
        ..record
    }
}

/// Guards against taking a restarted upstream for its previous incarnation because of its name: it
/// stayed leaving, and the statistics of the previous incarnation still applied.
#[test]
fn a_restarted_upstream_is_a_new_one() {
    let mut roster = Roster::default();
    roster.on_record(with_incarnation(present(1, true), 100), NOW);
    assert!(roster.is_leaving(&upstream()));
    let change = roster.on_record(with_incarnation(present(2, false), 200), NOW);
    assert_eq!(change, Some(Change::Restarted(upstream())));
    assert!(!roster.is_leaving(&upstream()));
}

#[test]
fn an_entry_of_an_earlier_incarnation_has_no_effect() {
    let mut roster = Roster::default();
    roster.on_record(with_incarnation(present(1, false), 200), NOW);
    let late = roster.on_record(with_incarnation(present(2, true), 100), NOW);
    assert_eq!(late, None);
    assert!(!roster.is_leaving(&upstream()));
}

#[test]
fn an_entry_of_a_removed_incarnation_does_not_restore_it() {
    let mut roster = Roster::default();
    roster.on_record(with_incarnation(present(1, false), 200), NOW);
    roster.on_record(removed(2), NOW);
    assert_eq!(
        roster.on_record(with_incarnation(present(3, false), 100), NOW),
        None
    );
    let change = roster.on_record(with_incarnation(present(4, false), 300), NOW);
    assert_eq!(change, Some(Change::Restarted(upstream())));
}

/// A record that can't be decoded counts as a removal, until the next valid record.
#[test]
fn an_upstream_without_a_valid_entry_gets_no_requests() {
    let mut roster = listed_roster();
    let change = roster.on_record(removed(2), NOW);
    assert_eq!(change, Some(Change::Gone(upstream())));
    let change = roster.on_record(present(3, false), NOW);
    assert_eq!(change, Some(Change::Present(upstream())));
}

/// The roster after the store came back from an older copy, in which another upstream is listed;
/// the first read of it ended at the position 6 of the next era.
fn roster_after_loss(mut roster: Roster, has_entry: bool) -> Roster {
    let end = Position::new(1, 6);
    roster.on_loss(end, NOW);
    let copied = EntryRecord {
        position: Position::new(1, 2),
        ..present(2, false)
    };
    let all = has_entry.then_some(copied);
    roster.on_snapshot(all.into_iter().collect(), end, NOW);
    roster
}

#[test]
fn an_upstream_whose_entry_was_lost_is_removed_if_it_does_not_write_again() {
    let mut roster = roster_after_loss(listed_roster(), false);
    assert_eq!(roster.tick(NOW.plus(1_999), None), []);
    assert!(roster.get(&upstream()).is_some());
    assert_eq!(
        roster.tick(NOW.plus(2_000), None),
        [Change::Gone(upstream())]
    );
}

#[test]
fn an_upstream_that_is_removed_after_a_loss_is_gone_at_once() {
    let mut roster = roster_after_loss(listed_roster(), true);
    let removal = EntryRecord {
        position: Position::new(1, 7),
        ..removed(7)
    };
    let change = roster.on_record(removal, NOW.plus(100));
    assert_eq!(change, Some(Change::Gone(upstream())));
}

#[test]
fn an_upstream_that_is_gone_comes_back_only_by_an_entry_written_after_a_loss() {
    let mut roster = listed_roster();
    assert!(roster.on_record(removed(5), NOW).is_some());
    let mut roster = roster_after_loss(roster, true);
    assert!(roster.get(&upstream()).is_none());
    let written = EntryRecord {
        position: Position::new(1, 6),
        ..present(6, false)
    };
    let change = roster.on_record(written, NOW.plus(900));
    assert_eq!(change, Some(Change::Present(upstream())));
}

#[test]
fn an_older_entry_does_not_hide_from_others_that_an_upstream_leaves() {
    let mut roster = listed_roster();
    roster.on_record(present(5, true), NOW);
    let roster = roster_after_loss(roster, true);
    assert!(roster.get(&upstream()).is_some_and(|e| e.leaving));
}

/// The changes by a removal that is held and due, where the entries are known through a followed daemon
/// as of a time after the removal was read, and whether the entry is still listed.
fn held_removal((read_here, followed): (bool, Option<u64>)) -> (Vec<Change>, bool) {
    let mut roster = listed_roster();
    roster.on_store_unstable(NOW);
    let change = match read_here {
        true => roster.on_read_record(removed(2), NOW),
        false => roster.on_record(removed(2), NOW),
    };
    assert_eq!(change, None);
    let changes = roster.tick(NOW.plus(1_500), followed.map(|at| NOW.plus(at)));
    // Later the daemon follows none, and nothing is held that was dropped before.
    let later = roster.tick(NOW.plus(1_600), None);
    let listed = roster.get(&upstream()).is_some();
    ([changes, later].concat(), listed)
}

// Guards against daemons that forget upstreams because of what they read alone, before the daemon that
// they follow saw the entries return.
cases! { held_removal;
    a_daemon_that_follows_none_applies_a_removal: (true, None) => (vec![Change::Gone(upstream())], false),
    a_removal_that_the_followed_daemon_has_read_as_well_is_left_to_it:
        (true, Some(1_000)) => (vec![], true),
    a_removal_that_the_followed_daemon_may_not_know_is_applied_without_it:
        (true, Some(999)) => (vec![Change::Gone(upstream())], false),
    a_removal_that_another_daemon_reported_is_applied:
        (false, Some(1_400)) => (vec![Change::Gone(upstream())], false),
}

#[test]
fn a_removal_waits_while_the_followed_daemon_may_not_know_it() {
    let mut roster = listed_roster();
    roster.on_store_unstable(NOW);
    roster.on_read_snapshot(vec![], at(3), NOW);
    assert_eq!(roster.tick(NOW.plus(1_500), Some(NOW.plus(900))), []);
    assert!(roster.get(&upstream()).is_some());
    let change = roster.on_record(removed(4), NOW.plus(5_000));
    assert_eq!(change, Some(Change::Gone(upstream())));
}

/// Two lists have the same digest if they name the same starts of the same upstreams.
fn is_same_digest(record: EntryRecord) -> bool {
    let mut other = Roster::default();
    other.on_record(record, NOW);
    other.digest() == listed_roster().digest()
}

cases! { is_same_digest;
    the_position_of_an_entry_is_not_part_of_the_digest: present(7, false) => true,
    an_upstream_that_leaves_is: present(1, true) => false,
    another_start_is: with_incarnation(present(1, false), 100) => false,
    a_missing_upstream_is: removed(1) => false,
}

/// The digests after which a daemon takes a copy: one a second, each equal to its own or not.
fn copies(same: &[bool]) -> Vec<usize> {
    let mut check = EntriesCheck::default();
    let seconds = same.iter().enumerate();
    let copies = seconds.filter(|(at, same)| check.on_digest(**same, NOW.plus(*at as u64 * 1_000)));
    copies.map(|(at, _)| at).collect()
}

cases! { copies;
    a_list_that_is_the_same_is_not_copied: &[true; 10] => Vec::<usize>::new(),
    a_list_that_differs_once_is_not_copied: &[true, false, true, false, true] => Vec::<usize>::new(),
    a_list_that_differs_again_is_copied: &[true, false, false, true] => vec![2],
    a_list_that_stays_different_is_copied_ever_less_often: &[false; 60] => vec![1, 2, 4, 8, 16, 32],
}

//! Which upstreams there are, as entries come and go.

use crate::roster::{Change, EntryRecord, Roster};
use crate::Entry;
use shaleline_types::{DataCentre, Incarnation, Millis, Service, Upstream};
use std::net::SocketAddr;

const NOW: Millis = Millis(1_000_000);

fn up() -> Upstream {
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
    }
}

fn there(offset: u64, leaving: bool) -> EntryRecord {
    EntryRecord {
        name: up(),
        offset,
        entry: Some(entry(leaving)),
    }
}

fn removed(offset: u64) -> EntryRecord {
    EntryRecord {
        entry: None,
        ..there(offset, false)
    }
}

fn listed() -> Roster {
    let mut roster = Roster::default();
    let change = roster.on_record(there(1, false), NOW);
    assert_eq!(change, Some(Change::Present(up())));
    roster
}

#[test]
fn an_entry_that_says_nothing_new_changes_nothing() {
    assert_eq!(listed().on_record(there(2, false), NOW), None);
}

#[test]
fn a_removed_entry_takes_effect_at_once_while_the_store_is_well() {
    let change = listed().on_record(removed(2), NOW);
    assert_eq!(change, Some(Change::Gone(up())));
}

#[test]
fn an_entry_that_lapsed_with_the_store_may_come_back() {
    let mut roster = listed();
    roster.on_store_unstable(NOW);
    assert_eq!(roster.on_record(removed(2), NOW), None);
    assert_eq!(roster.tick(NOW.plus(900)), []);
    roster.on_record(there(3, false), NOW);
    assert_eq!(roster.tick(NOW.plus(5_000)), []);
    assert!(roster.get(&up()).is_some());
}

#[test]
fn an_entry_that_stays_away_is_gone() {
    let mut roster = listed();
    roster.on_store_unstable(NOW);
    roster.on_record(removed(2), NOW);
    assert_eq!(roster.tick(NOW.plus(2_000)), [Change::Gone(up())]);
}

/// An upstream that left got new work: a removal 3.3 s after the store was well again was
/// held for 1.4 s.
#[test]
fn a_removal_long_after_the_disturbance_is_not_held() {
    let mut roster = listed();
    roster.on_store_unstable(NOW);
    let change = roster.on_record(removed(2), NOW.plus(2_100));
    assert_eq!(change, Some(Change::Gone(up())));
}

/// The same day: an entry that a hub had read before came after the removal and brought
/// the upstream back.
#[test]
fn an_older_entry_that_comes_late_brings_nothing_back() {
    let mut roster = listed();
    roster.on_record(removed(5), NOW);
    assert_eq!(roster.on_record(there(4, false), NOW), None);
    assert!(roster.get(&up()).is_none());
    let change = roster.on_record(there(6, false), NOW);
    assert_eq!(change, Some(Change::Present(up())));
}

/// An upstream that left got new work: a hub that the store had refused held a removal and told
/// its followers the entry with the removal's offset, which brought the upstream back.
#[test]
fn an_entry_whose_removal_is_held_keeps_its_own_offset() {
    let mut roster = listed();
    roster.on_store_unstable(NOW);
    let mut changed = there(4, false);
    changed.entry = changed.entry.map(|e| Entry { slots: 7, ..e });
    let change = roster.on_record(changed.clone(), NOW);
    assert_eq!(change, Some(Change::Present(up())));
    assert_eq!(roster.on_record(removed(5), NOW), None);
    assert_eq!(roster.offset(&up()), 4);
    assert_eq!(roster.on_record(changed, NOW), None);
    assert_eq!(roster.tick(NOW.plus(2_000)), [Change::Gone(up())]);
    assert_eq!(roster.offset(&up()), 5);
}

#[test]
fn leaving_holds_whatever_comes_later() {
    let mut roster = listed();
    roster.on_record(there(2, true), NOW);
    roster.on_record(there(3, false), NOW);
    assert!(roster.is_leaving(&up()));
    roster.on_store_unstable(NOW);
    let change = roster.on_record(removed(4), NOW);
    assert_eq!(change, Some(Change::Gone(up())));
}

#[test]
fn what_a_full_read_lacks_was_removed() {
    let name = Upstream::from_text("i-2").expect("a valid name");
    let other = EntryRecord {
        name: name.clone(),
        ..there(7, false)
    };
    let changes = listed().on_snapshot(vec![other], 8, NOW);
    assert_eq!(changes, [Change::Gone(up()), Change::Present(name)]);
}

/// The store refused one hub alone: a removal that the others had
/// acted on was held for a second more, 63 ms beyond the bound.
#[test]
fn a_removal_is_not_held_while_the_store_serves_another_daemon() {
    let mut roster = listed();
    roster.on_peer_served(NOW);
    roster.on_store_unstable(NOW.plus(400));
    let change = roster.on_record(removed(2), NOW.plus(800));
    assert_eq!(change, Some(Change::Gone(up())));
}

/// An outage of the store that lasts long enough for entries to lapse is no such case.
#[test]
fn a_removal_is_held_where_the_store_served_nobody_lately() {
    let mut roster = listed();
    roster.on_peer_served(NOW);
    roster.on_store_unstable(NOW.plus(3_000));
    assert_eq!(roster.on_record(removed(2), NOW.plus(3_200)), None);
}

fn started(seen: EntryRecord, at: u64) -> EntryRecord {
    let incarnation = Incarnation::from_millis(at);
    EntryRecord {
        entry: seen.entry.map(|e| Entry { incarnation, ..e }),
        ..seen
    }
}

/// An upstream that starts again under its name was taken for the same: it stayed leaving, and
/// what was learned of it held on.
#[test]
fn an_upstream_that_starts_again_is_a_new_one() {
    let mut roster = Roster::default();
    roster.on_record(started(there(1, true), 100), NOW);
    assert!(roster.is_leaving(&up()));
    let change = roster.on_record(started(there(2, false), 200), NOW);
    assert_eq!(change, Some(Change::Restarted(up())));
    assert!(!roster.is_leaving(&up()));
}

#[test]
fn an_entry_of_an_earlier_start_changes_nothing() {
    let mut roster = Roster::default();
    roster.on_record(started(there(1, false), 200), NOW);
    let late = roster.on_record(started(there(2, true), 100), NOW);
    assert_eq!(late, None);
    assert!(!roster.is_leaving(&up()));
}

#[test]
fn an_entry_of_a_start_that_is_gone_brings_nothing_back() {
    let mut roster = Roster::default();
    roster.on_record(started(there(1, false), 200), NOW);
    roster.on_record(removed(2), NOW);
    assert_eq!(roster.on_record(started(there(3, false), 100), NOW), None);
    let change = roster.on_record(started(there(4, false), 300), NOW);
    assert_eq!(change, Some(Change::Restarted(up())));
}

/// A record that can't be understood names no upstream to use; the next good one does.
#[test]
fn an_upstream_without_an_understood_entry_gets_no_work() {
    let mut roster = listed();
    let change = roster.on_record(removed(2), NOW);
    assert_eq!(change, Some(Change::Gone(up())));
    let change = roster.on_record(there(3, false), NOW);
    assert_eq!(change, Some(Change::Present(up())));
}

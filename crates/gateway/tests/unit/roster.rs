//! Which upstreams there are, as entries come and go.

use crate::roster::{Change, Roster};
use crate::Entry;
use shaleline_types::{DataCentre, Millis, Service, Upstream};
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
    }
}

fn listed() -> Roster {
    let mut roster = Roster::default();
    assert_eq!(
        roster.on_entry(&up(), entry(false)),
        Some(Change::Present(up()))
    );
    roster
}

#[test]
fn an_entry_that_says_nothing_new_changes_nothing() {
    assert_eq!(listed().on_entry(&up(), entry(false)), None);
}

#[test]
fn a_removed_entry_takes_effect_at_once_while_the_store_is_well() {
    assert_eq!(listed().on_removed(&up(), NOW), Some(Change::Gone(up())));
}

#[test]
fn an_entry_that_lapsed_with_the_store_may_come_back() {
    let mut roster = listed();
    roster.on_disturbed(NOW);
    assert_eq!(roster.on_removed(&up(), NOW), None);
    assert_eq!(roster.tick(NOW.plus(1_000)), []);
    roster.on_entry(&up(), entry(false));
    assert_eq!(roster.tick(NOW.plus(5_000)), []);
    assert!(roster.get(&up()).is_some());
}

#[test]
fn an_entry_that_stays_away_is_gone() {
    let mut roster = listed();
    roster.on_disturbed(NOW);
    roster.on_removed(&up(), NOW);
    assert_eq!(roster.tick(NOW.plus(2_000)), [Change::Gone(up())]);
}

#[test]
fn leaving_holds_whatever_comes_later() {
    let mut roster = listed();
    roster.on_entry(&up(), entry(true));
    roster.on_entry(&up(), entry(false));
    assert!(roster.is_leaving(&up()));
    roster.on_disturbed(NOW);
    assert_eq!(roster.on_removed(&up(), NOW), Some(Change::Gone(up())));
}

#[test]
fn what_a_full_read_lacks_was_removed() {
    let other = Upstream::from_text("i-2").expect("a valid name");
    let changes = listed().on_all(vec![(other.clone(), entry(false))], NOW);
    assert_eq!(changes, [Change::Gone(up()), Change::Present(other)]);
}

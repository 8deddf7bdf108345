//! Which daemons are asked for a tunnel, and which ones a hub names.

use crate::relays::Relays;
use shaleline_testkit::cases;
use shaleline_types::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const NOW: Millis = Millis(10_000);

fn daemon(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 1))
}

fn relays(count: u8) -> Relays {
    let all: Vec<SocketAddr> = (1..=count).map(daemon).collect();
    let mut next = 0;
    let mut relays = Relays::default();
    let numbers = || {
        next += 1;
        next
    };
    relays.on_known(&all, numbers, NOW);
    relays
}

/// What is learnt of a daemon: its number, whether it opened a tunnel, and when.
type Answer = (u8, bool, u64);

/// The first daemon of three that is asked 3 s after the start.
fn first_after(answers: &[Answer]) -> Option<SocketAddr> {
    let mut relays = relays(3);
    relays.on_search();
    for (number, opened, at) in answers {
        relays.on_answer(daemon(*number), *opened, NOW.plus(*at));
    }
    relays.next(&BTreeSet::new(), NOW.plus(3_000))
}

cases! {
    first_after;
    a_relay_that_opened_a_tunnel_comes_first: &[(3, true, 2_900)] => Some(daemon(3)),
    a_relay_that_missed_is_not_asked_at_once: &[(1, false, 2_900)] => Some(daemon(2)),
    a_relay_that_missed_before_comes_last: &[(1, false, 100), (2, false, 100)] => Some(daemon(3)),
    a_relay_that_opened_a_tunnel_after_a_miss_comes_first: &[(2, false, 100), (2, true, 2_000)] => Some(daemon(2)),
    a_relay_that_missed_after_a_tunnel_is_not_asked: &[(1, true, 2_000), (1, false, 2_900)] => Some(daemon(2)),
    none_is_asked_while_all_have_missed: &[(1, false, 2_900), (2, false, 2_900), (3, false, 2_900)] => None,
}

#[test]
fn daemons_that_a_hub_names_are_asked_before_others() {
    let mut relays = relays(5);
    relays.on_search();
    relays.on_listed(&[daemon(4)], NOW);
    assert_eq!(relays.next(&BTreeSet::new(), NOW), Some(daemon(4)));
}

#[test]
fn the_tunnels_of_a_daemon_are_spread_over_several_relays() {
    let mut relays = relays(20);
    let mut asked = BTreeMap::new();
    for number in 0..100 {
        let now = NOW.plus(number * 10);
        relays.on_search();
        let relay = relays.next(&BTreeSet::new(), now).expect("a relay");
        relays.on_answer(relay, true, now);
        *asked.entry(relay).or_insert(0) += 1;
    }
    assert!(asked.len() >= 4, "{asked:?}");
    assert!(asked.values().all(|count| *count <= 35), "{asked:?}");
}

#[test]
fn a_hub_does_not_name_daemons_that_reach_no_upstream() {
    let mut relays = relays(3);
    relays.on_report(daemon(1), true, NOW);
    let list = |relays: &Relays, at: u64| {
        let alive = (1..=2).map(daemon);
        relays.list(alive, || 0, NOW.plus(at))
    };
    assert_eq!(list(&relays, 100), [daemon(2)]);
    assert_eq!(list(&relays, 2_000), [daemon(1), daemon(2)]);
    relays.on_report(daemon(2), true, NOW);
    relays.on_report(daemon(2), false, NOW.plus(50));
    assert_eq!(list(&relays, 100), [daemon(2)]);
}

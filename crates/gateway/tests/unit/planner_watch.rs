//! Tests that a planner without heartbeats counts as silent soon, and one with heartbeats never.
//!
//! Callers that were refused within 1.1 s of the failure of a planner got a retry-after time of
//! half a second and retried while there was no planner.

use crate::planner_watch::PlannerWatch;
use shaleline_testkit::cases;
use shaleline_types::Millis;

const START_MS: u64 = 1_000_000;

/// What happens at a daemon that watches the planner.
#[derive(Debug, Clone, Copy)]
enum Event {
    Heartbeat,
    Check,
    Released,
    /// Another planner is known.
    Succeeded,
}

use Event::{Check, Heartbeat, Released, Succeeded};

const FENCE: u64 = 7;

/// Returns the times at which the planner begins to count as silent.
fn silent_at(events: &[(u64, Event)]) -> Vec<u64> {
    let mut watch = PlannerWatch::default();
    let mut silent = Vec::new();
    let mut current = FENCE;
    for (at, event) in events {
        match event {
            Heartbeat => {
                watch.on_heartbeat(FENCE);
            }
            Released => watch.on_released(),
            Succeeded => current += 1,
            Check if watch.check(Some(current), Millis(START_MS + at)) => silent.push(*at),
            Check => {}
        }
    }
    silent
}

/// Checks at these times.
fn checks(times: &[u64]) -> Vec<(u64, Event)> {
    times.iter().map(|at| (*at, Check)).collect()
}

fn after_heartbeat(times: &[u64]) -> Vec<u64> {
    silent_at(&[vec![(0, Heartbeat)], checks(times)].concat())
}

cases! { after_heartbeat;
    three_checks_without_a_heartbeat_show_a_failure: &[100, 200, 300, 400] => vec![300],
    checks_in_quick_succession_count_once: &[100, 110, 120, 130, 200] => Vec::<u64>::new(),
    a_stalled_daemon_does_not_take_its_stall_for_silence: &[100, 2_100, 2_110] => Vec::<u64>::new(),
}

cases! { silent_at;
    without_any_heartbeat_none_is_missing: &checks(&[100, 200, 300, 400, 500]) => Vec::<u64>::new(),
    a_planner_with_heartbeats_is_not_silent: &[
        (0, Heartbeat),
        (100, Check),
        (200, Check),
        (205, Heartbeat),
        (300, Check),
        (400, Check),
    ] => Vec::<u64>::new(),
    a_planner_that_stops_is_not_silent: &[
        (0, Heartbeat),
        (100, Check),
        (150, Released),
        (200, Check),
        (300, Check),
        (400, Check),
    ] => Vec::<u64>::new(),
    // A daemon that does not watch the next planner took its predecessor for a failed one.
    a_planner_with_a_successor_is_not_silent: &[
        (0, Heartbeat),
        (100, Check),
        (150, Succeeded),
        (200, Check),
        (300, Check),
        (400, Check),
    ] => Vec::<u64>::new(),
    it_can_fall_silent_again: &[
        (0, Heartbeat),
        (100, Check),
        (200, Check),
        (300, Check),
        (350, Heartbeat),
        (400, Check),
        (500, Check),
        (600, Check),
    ] => vec![300, 600],
}

#[test]
fn a_heartbeat_after_silence_is_reported_once() {
    let mut watch = PlannerWatch::default();
    assert!(!watch.on_heartbeat(FENCE));
    for step in 1..=3 {
        watch.check(Some(FENCE), Millis(START_MS + step * 100));
    }
    assert!(
        !watch.on_heartbeat(FENCE - 1),
        "an earlier planner is heard"
    );
    assert!(watch.on_heartbeat(FENCE));
    assert!(!watch.on_heartbeat(FENCE));
}

#[test]
fn the_planner_sends_heartbeats_at_an_interval() {
    let mut watch = PlannerWatch::default();
    let times = [0, 40, 99, 100, 150, 200];
    let due = times.map(|at| watch.is_due(Millis(START_MS + at)));
    assert_eq!(due, [true, false, false, true, false, true]);
}

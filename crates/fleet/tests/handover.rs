//! The handover from a stopping planner to its successor.

use quickcheck::{Gen, QuickCheck};
use shaleline_fleet::{Handover, LastOrders, LoadWindow};
use shaleline_types::{Millis, Upstream};

const NOW: Millis = Millis(1_000_000);

/// The lease and the time that an order may be in transit.
const COOLDOWN: Millis = Millis(3_400);

fn engine(number: u8) -> Upstream {
    Upstream::from_text(&format!("e{number}")).expect("a valid name")
}

/// Simulates orders of three planners, each of which hands over to the next; a step is the planner,
/// the engine and the pause before the order. No engine may get an order within the lease of
/// another planner's order.
fn is_lease_apart(steps: Vec<(u8, u8, u16)>) -> bool {
    let mut now = NOW;
    let mut orders: Vec<(Upstream, u8, Millis)> = Vec::new();
    let mut last = LastOrders::default();
    let mut cooldowns = last.cooldowns(COOLDOWN, now);
    let mut planner = 0;
    for (sender, number, pause) in steps {
        now = now.plus(u64::from(pause) % 2_000);
        if sender % 3 != planner {
            let handover = last.to_handover(None, now);
            now = now.plus(20);
            planner = sender % 3;
            last = LastOrders::default();
            last.inherit(&handover, now);
            cooldowns = last.cooldowns(COOLDOWN, now);
        }
        let engine = engine(number % 4);
        if cooldowns.get(&engine).is_some_and(|until| *until > now) {
            continue;
        }
        last.record(&engine, now);
        orders.push((engine, planner, now));
    }
    orders.iter().enumerate().all(|(i, (engine, planner, at))| {
        let before = orders[..i].iter().rev().find(|(e, ..)| e == engine);
        before.is_none_or(|(_, by, sent)| by == planner || at.since(*sent) >= COOLDOWN.0)
    })
}

#[test]
fn orders_of_two_planners_to_one_engine_are_a_lease_apart() {
    const SEED: u64 = 20_261_203;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(1_000)
        .quickcheck(is_lease_apart as fn(Vec<(u8, u8, u16)>) -> bool);
}

#[test]
fn without_the_orders_no_engine_has_a_cooldown() {
    let mut last = LastOrders::default();
    last.record(&engine(1), NOW);
    let handover = last.to_handover(None, NOW).without_orders();
    let mut successor = LastOrders::default();
    successor.inherit(&handover, NOW);
    assert!(successor.cooldowns(COOLDOWN, NOW).is_empty());
}

#[test]
fn only_recently_ordered_engines_have_a_cooldown() {
    let mut last = LastOrders::default();
    last.record(&engine(1), NOW);
    last.record(&engine(2), NOW.plus(3_000));
    let now = NOW.plus(4_000);
    let cooldowns = last.cooldowns(COOLDOWN, now);
    let names: Vec<&Upstream> = cooldowns.keys().collect();
    assert_eq!(names, [&engine(2)]);
}

#[test]
fn a_successor_has_the_rest_of_the_window() {
    let mut window = LoadWindow::new(Millis(5_000), 1.1);
    let whole = window.available(1.4, NOW);
    window.record(NOW);
    window.record(NOW);
    let handover = LastOrders::default().to_handover(Some(&window), NOW.plus(1_000));
    let now = NOW.plus(1_100);
    let mut next = LoadWindow::new(Millis(5_000), 1.1).resume(&handover, now);
    assert_eq!(next.available(1.4, now), whole - 2);
    assert_eq!(next.available(1.4, now.plus(6_000)), whole);
}

#[test]
fn a_successor_is_blocked_as_long_as_its_predecessor_was() {
    let mut window = LoadWindow::new(Millis(5_000), 1.1);
    window.block(NOW.plus(2_000));
    let handover = LastOrders::default().to_handover(Some(&window), NOW);
    assert_eq!(handover.blocked, 2_000);
    let mut next = LoadWindow::new(Millis(5_000), 1.1).resume(&handover, NOW);
    assert_eq!(next.available(1.4, NOW.plus(1_900)), 0);
    assert!(next.available(1.4, NOW.plus(2_000)) > 0);
}

#[test]
fn a_handover_survives_the_store() {
    let mut last = LastOrders::default();
    last.record(&engine(1), NOW);
    let handover = last.to_handover(None, NOW.plus(70));
    let text = serde_json::to_string(&handover).expect("names and numbers");
    let read: Handover = serde_json::from_str(&text).expect("what was written");
    assert_eq!(read, handover);
}

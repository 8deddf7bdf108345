//! Which adapter is evicted for one that callers wait for.
//!
//! Adapter slots are few: a model may have a hundred adapters and an engine eight slots. What
//! matters to callers is whether the adapter is there when they retry.

mod shared;

use shaleline_fleet::{
    Catalog, Fleet, Held, HeldSource, LoadWindow, Order, OrderKind, OrderReply, PlanSettings,
    PlanView, Planner, Rate, Rates, Unmet, UnmetByKey, WarmupPhase,
};
use shaleline_testkit::cases;
use shaleline_types::{Adapter, DataCentre, Incarnation, Megabytes, Millis, Model, Upstream};
use shared::{adapter, model};
use std::collections::BTreeMap;

const NOW: Millis = Millis(1_000_000);

/// The only slot has been taken for this time, in milliseconds.
const TAKEN_MS: u64 = 100;

const RATE: Rate = Rate {
    work: 5.0,
    count: 0.2,
};

fn engine() -> Upstream {
    Upstream::from_text("e1").expect("a valid name")
}

/// One model with two adapters; an engine has one slot.
fn catalog() -> Catalog {
    Catalog {
        memory: Megabytes(80_000),
        ..shared::catalog(&["m"], &["held", "wanted"])
    }
}

fn fleet() -> Fleet {
    fleet_with("held")
}

/// An engine that has recently reported the load of the adapter.
fn fleet_with(name: &str) -> Fleet {
    let mut fleet = Fleet::default();
    let centre = DataCentre::from_text("dc1").expect("a valid name");
    let empty = Held {
        models: [(model("m"), [].into())].into(),
        ..Held::default()
    };
    fleet.observe(&engine(), &centre, empty, HeldSource::Listed, NOW);
    let held = Held {
        models: [(model("m"), [adapter(name)].into())].into(),
        seq: 1,
        ..Held::default()
    };
    let taken = Millis(NOW.0 - TAKEN_MS);
    let order = load(name);
    fleet.record_sent(&order, taken);
    fleet.record_reply(&order, OrderReply::Accepted, taken);
    fleet.report(&engine(), held, taken, taken);
    fleet
}

fn load(name: &str) -> Order {
    Order {
        engine: engine(),
        kind: OrderKind::Load,
        model: model("m"),
        adapter: Some(adapter(name)),
        incarnation: Incarnation::default(),
        expect: 0,
        fence: 7,
        holder: "me".to_owned(),
    }
}

/// Unmet demand that has waited this long, with a retry expected after `last_retry`.
fn unmet(waited: u32, last_retry: u32) -> Unmet {
    Unmet {
        waited,
        last_age: 300,
        attempts: 2,
        next_retry: last_retry,
        last_retry,
    }
}

/// The orders if callers of the held and of the wanted adapter retry after these times, the latter
/// have waited for `waited`, and both adapters have requests.
fn ordered((held, wanted, waited): (u32, u32, u32)) -> Vec<String> {
    let unmet: UnmetByKey = [
        (key("held"), unmet(1_000, held)),
        (key("wanted"), unmet(waited, wanted)),
    ]
    .into();
    plan(&mut Planner::new(PlanSettings::default()), &unmet, NOW)
}

fn key(name: &str) -> (Model, Option<Adapter>) {
    (model("m"), Some(adapter(name)))
}

/// The orders if the held adapter and those with unmet demand have a request rate.
fn plan(planner: &mut Planner, unmet: &UnmetByKey, now: Millis) -> Vec<String> {
    let unserved = unmet.keys().cloned().chain([key("held")]);
    let rates = unserved.map(|k| (k, RATE)).collect();
    plan_with(planner, &fleet(), (&rates, unmet), false, now)
}

fn plan_with(
    planner: &mut Planner,
    fleet: &Fleet,
    demand: (&Rates, &UnmetByKey),
    after_failure: bool,
    now: Millis,
) -> Vec<String> {
    plan_in(&catalog(), planner, fleet, demand, after_failure, now)
}

fn plan_in(
    catalog: &Catalog,
    planner: &mut Planner,
    fleet: &Fleet,
    (rates, unmet): (&Rates, &UnmetByKey),
    after_failure: bool,
    now: Millis,
) -> Vec<String> {
    let view = PlanView {
        warmup: WarmupPhase::Over,
        catalog,
        fleet,
        rates,
        unmet,
        fence: 7,
        holder: "me",
        cooldowns: &BTreeMap::new(),
        after_failure,
    };
    let mut window = LoadWindow::new(Millis(5_000), 1.1);
    let orders = planner.plan(&view, &mut window, now);
    orders.iter().map(ToString::to_string).collect()
}

/// After a refused caller was forgotten again, the next one is expected at its own retry time.
#[test]
fn the_next_refused_caller_is_expected_too() {
    let mut planner = Planner::new(PlanSettings::default());
    let unserved = UnmetByKey::from([(key("wanted"), unmet(100, 250))]);
    assert_eq!(plan(&mut planner, &unserved, NOW), makes_room());
    let later = NOW.plus(2_000);
    assert_eq!(plan(&mut planner, &UnmetByKey::new(), later), stays());
    assert_eq!(plan(&mut planner, &unserved, later.plus(100)), makes_room());
}

/// The adapter was loaded and unloaded before the caller with a retry-after time retried. It is
/// there for the retry all the same, though there were no other recent requests for it.
#[test]
fn a_caller_is_expected_though_the_adapter_was_held_meanwhile() {
    let mut planner = Planner::new(PlanSettings::default());
    let refused_at = NOW;
    let demand = |now: Millis| Unmet {
        waited: now.since(refused_at) as u32,
        last_age: now.since(refused_at) as u32,
        attempts: 1,
        next_retry: 8_000 - now.since(refused_at) as u32,
        last_retry: 8_000 - now.since(refused_at) as u32,
    };
    let (no_rates, rates) = (Rates::new(), Rates::from([(key("held"), RATE)]));
    let later = refused_at.plus(1_000);
    let unmet = UnmetByKey::from([(key("wanted"), demand(later))]);
    let order = plan_with(
        &mut planner,
        &fleet_with("wanted"),
        (&no_rates, &unmet),
        false,
        later,
    );
    assert_eq!(order, stays());
    let due = refused_at.plus(7_500);
    let unmet = UnmetByKey::from([(key("wanted"), demand(due))]);
    let order = plan_with(&mut planner, &fleet(), (&rates, &unmet), false, due);
    assert_eq!(order, makes_room());
}

/// If the planner may fail like the one before it, an adapter is loaded before its caller retries
/// in the interval without a planner.
#[test]
fn a_successor_of_a_failed_planner_makes_room_ahead() {
    let unmet = UnmetByKey::from([(key("wanted"), unmet(1_000, 3_000))]);
    let rates = Rates::from([(key("held"), RATE), (key("wanted"), RATE)]);
    let ordered = |after_failure| {
        let mut planner = Planner::new(PlanSettings::default());
        plan_with(&mut planner, &fleet(), (&rates, &unmet), after_failure, NOW)
    };
    assert_eq!(ordered(true), makes_room());
    assert_eq!(ordered(false), stays());
}

/// Of two callers, the first retries in a moment, the other later.
#[test]
fn the_first_of_two_callers_is_expected_too() {
    let mut planner = Planner::new(PlanSettings::default());
    let first = Unmet {
        next_retry: 250,
        ..unmet(1_000, 4_000)
    };
    let unserved = UnmetByKey::from([(key("wanted"), first)]);
    assert_eq!(plan(&mut planner, &unserved, NOW), makes_room());
}

fn makes_room() -> Vec<String> {
    vec!["unload m+held at e1 expecting 1".to_owned()]
}

fn stays() -> Vec<String> {
    Vec::new()
}

cases! { ordered;
    an_adapter_without_a_retry_is_evicted: (0, 250, 1_000) => makes_room(),
    an_adapter_with_a_due_retry_stays: (250, 250, 1_000) => stays(),
    an_adapter_with_a_later_retry_is_evicted: (1_500, 250, 1_000) => makes_room(),
    an_adapter_is_not_evicted_without_a_retry: (0, 0, 1_000) => stays(),
    an_adapter_is_not_evicted_for_a_later_retry: (0, 1_500, 1_000) => stays(),
    an_adapter_is_evicted_for_a_long_wait: (0, 0, 5_000) => makes_room(),
    an_adapter_with_a_due_retry_stays_despite_a_long_wait: (250, 0, 5_000) => stays(),
}

/// The orders if a caller of the wanted adapter is about to retry, a slot is free, and the engine has
/// this much memory beside the weights, in megabytes. Each adapter takes 50.
fn ordered_in_memory(beside: u64) -> Vec<String> {
    let catalog = Catalog {
        memory: Megabytes(70_000 + beside),
        adapter_slots: 2,
        ..catalog()
    };
    let unmet: UnmetByKey = [(key("wanted"), unmet(100, 250))].into();
    let rates = [key("held"), key("wanted")].map(|k| (k, RATE)).into();
    let planner = &mut Planner::new(PlanSettings::default());
    plan_in(&catalog, planner, &fleet(), (&rates, &unmet), false, NOW)
}

cases! { ordered_in_memory;
    an_adapter_takes_a_slot_if_its_memory_is_free: 100 => vec!["load m+wanted at e1 expecting 1".to_owned()],
    an_adapter_takes_no_slot_without_memory: 99 => vec!["unload m+held at e1 expecting 1".to_owned()],
}

//! Which adapter makes room for one that callers wait for.
//!
//! Places for adapters are few: a model may have a hundred adapters and an engine eight places. What
//! matters to callers is whether the adapter is there when they come back.

mod shared;

use shaleline_fleet::{
    Catalog, Fleet, Held, HeldSource, LoadWindow, PlanSettings, PlanView, Planner, Rate, Rates,
    Unmet, UnmetByKey, WarmupPhase,
};
use shaleline_testkit::cases;
use shaleline_types::{Adapter, DataCentre, Megabytes, Millis, Model, Upstream};
use shared::{adapter, model};
use std::collections::BTreeMap;

const NOW: Millis = Millis(1_000_000);

/// The one place has been taken for so long.
const TAKEN: u64 = 100;

const RATE: Rate = Rate {
    work: 5.0,
    count: 0.2,
};

fn engine() -> Upstream {
    Upstream::from_text("e1").expect("a valid name")
}

/// One model with two adapters; an engine has a place for one.
fn catalog() -> Catalog {
    Catalog {
        memory: Megabytes(80_000),
        ..shared::catalog(&["m"], &["held", "wanted"])
    }
}

fn fleet() -> Fleet {
    fleet_with("held")
}

/// An engine of which a report has shown lately that it got the adapter.
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
    fleet.report(&engine(), held, Millis(NOW.0 - TAKEN));
    fleet
}

/// Callers who have asked in vain for so long; the last of them comes back after `back`.
fn unmet(waited: u32, last_retry: u32) -> Unmet {
    Unmet {
        waited,
        last_age: 300,
        attempts: 2,
        next_retry: last_retry,
        last_retry,
    }
}

/// What is ordered where callers of the adapter that is held, and of the one that is wanted, come back
/// after these times, and the latter have waited for so long; both are asked for.
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

/// What is ordered where the adapter that is held and what is asked for in vain have a rate.
fn plan(planner: &mut Planner, unmet: &UnmetByKey, now: Millis) -> Vec<String> {
    let asked = unmet.keys().cloned().chain([key("held")]);
    let rates = asked.map(|k| (k, RATE)).collect();
    plan_with(planner, &fleet(), (&rates, unmet), false, now)
}

fn plan_with(
    planner: &mut Planner,
    fleet: &Fleet,
    (rates, unmet): (&Rates, &UnmetByKey),
    after_failure: bool,
    now: Millis,
) -> Vec<String> {
    let view = PlanView {
        warmup: WarmupPhase::Over,
        catalog: &catalog(),
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

/// A caller was refused, and what it had asked for was forgotten again; the next caller counts anew.
#[test]
fn the_next_caller_in_vain_is_awaited_too() {
    let mut planner = Planner::new(PlanSettings::default());
    let asked = UnmetByKey::from([(key("wanted"), unmet(100, 250))]);
    assert_eq!(plan(&mut planner, &asked, NOW), makes_room());
    let later = NOW.plus(2_000);
    assert_eq!(plan(&mut planner, &UnmetByKey::new(), later), stays());
    assert_eq!(plan(&mut planner, &asked, later.plus(100)), makes_room());
}

/// The adapter came and went again before the caller who had been told to come back for it did. Who was told
/// a time finds it there all the same, though nobody else has asked for it lately.
#[test]
fn a_caller_is_awaited_though_the_adapter_was_there_meanwhile() {
    let mut planner = Planner::new(PlanSettings::default());
    let asked_at = NOW;
    let told = |now: Millis| Unmet {
        waited: now.since(asked_at) as u32,
        last_age: now.since(asked_at) as u32,
        attempts: 1,
        next_retry: 8_000 - now.since(asked_at) as u32,
        last_retry: 8_000 - now.since(asked_at) as u32,
    };
    let (nobody, rates) = (Rates::new(), Rates::from([(key("held"), RATE)]));
    let came = asked_at.plus(1_000);
    let unmet = UnmetByKey::from([(key("wanted"), told(came))]);
    let order = plan_with(
        &mut planner,
        &fleet_with("wanted"),
        (&nobody, &unmet),
        false,
        came,
    );
    assert_eq!(order, stays());
    let due = asked_at.plus(7_500);
    let unmet = UnmetByKey::from([(key("wanted"), told(due))]);
    let order = plan_with(&mut planner, &fleet(), (&rates, &unmet), false, due);
    assert_eq!(order, makes_room());
}

/// A caller comes back when the planner may have died as the one before it did: the adapter is there by then.
#[test]
fn a_planner_that_succeeds_a_dead_one_makes_room_ahead() {
    let unmet = UnmetByKey::from([(key("wanted"), unmet(1_000, 3_000))]);
    let rates = Rates::from([(key("held"), RATE), (key("wanted"), RATE)]);
    let ordered = |after_failure| {
        let mut planner = Planner::new(PlanSettings::default());
        plan_with(&mut planner, &fleet(), (&rates, &unmet), after_failure, NOW)
    };
    assert_eq!(ordered(true), makes_room());
    assert_eq!(ordered(false), stays());
}

/// Of two callers the first comes back in a moment, the other later.
#[test]
fn the_first_of_two_callers_is_awaited_too() {
    let mut planner = Planner::new(PlanSettings::default());
    let first = Unmet {
        next_retry: 250,
        ..unmet(1_000, 4_000)
    };
    let asked = UnmetByKey::from([(key("wanted"), first)]);
    assert_eq!(plan(&mut planner, &asked, NOW), makes_room());
}

fn makes_room() -> Vec<String> {
    vec!["unload m+held at e1 expecting 1".to_owned()]
}

fn stays() -> Vec<String> {
    Vec::new()
}

cases! { ordered;
    an_adapter_whose_caller_is_gone_makes_room: (0, 250, 1_000) => makes_room(),
    an_adapter_whose_caller_comes_back_in_a_moment_stays: (250, 250, 1_000) => stays(),
    an_adapter_whose_caller_comes_back_later_makes_room: (1_500, 250, 1_000) => makes_room(),
    an_adapter_makes_no_room_for_a_caller_who_is_gone: (0, 0, 1_000) => stays(),
    an_adapter_makes_no_room_for_a_caller_who_comes_back_later: (0, 1_500, 1_000) => stays(),
    an_adapter_makes_room_for_one_that_was_waited_for_long: (0, 0, 5_000) => makes_room(),
    an_adapter_whose_caller_comes_back_in_a_moment_stays_all_the_same: (250, 0, 5_000) => stays(),
}

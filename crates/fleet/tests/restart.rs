//! An engine that starts again under its name: it holds nothing and knows no order.

mod shared;

use shaleline_fleet::{
    Fleet, Held, HeldSource, LoadWindow, Order, OrderReply, PlanSettings, PlanView, Planner, Rates,
    UnmetByKey, WarmupPhase,
};
use shaleline_testkit::cases;
use shaleline_types::{DataCentre, Incarnation, Millis, Upstream};
use shared::{catalog, model};
use std::collections::{BTreeMap, BTreeSet};

const NOW: Millis = Millis(1_000_000);

/// When the engine started first, and again.
const FIRST: u64 = 1_700_000_000_000;
const SECOND: u64 = FIRST + 60_000;

fn engine() -> Upstream {
    Upstream::from_text("e1").expect("a valid name")
}

fn held(models: &[&str], seq: u64, started: u64) -> Held {
    let models = models.iter().map(|m| (model(m), BTreeSet::new()));
    Held {
        models: models.collect(),
        seq,
        incarnation: Incarnation::from_millis(started),
        ..Held::default()
    }
}

fn list(fleet: &mut Fleet, held: Held, now: Millis) {
    let centre = DataCentre::from_text("dc1").expect("a valid name");
    fleet.observe(&engine(), &centre, held, HeldSource::Listed, now);
}

fn plan(fleet: &mut Fleet, now: Millis) -> Vec<Order> {
    fleet.prune(now);
    let catalog = catalog(&["a", "b", "c"], &[]);
    let view = PlanView {
        warmup: WarmupPhase::Over,
        catalog: &catalog,
        fleet,
        rates: &Rates::new(),
        unmet: &UnmetByKey::new(),
        fence: 7,
        holder: "me",
        cooldowns: &BTreeMap::new(),
        after_failure: false,
    };
    let mut window = LoadWindow::new(Millis(5_000), 1.1);
    Planner::new(PlanSettings::default()).plan(&view, &mut window, now)
}

fn words(orders: &[Order]) -> Vec<String> {
    orders.iter().map(ToString::to_string).collect()
}

/// The engine held `a` and had accepted three orders. What is ordered after it was heard of
/// like this?
fn ordered_after(heard: fn(&mut Fleet)) -> Vec<String> {
    let mut fleet = Fleet::default();
    list(&mut fleet, held(&["a", "b"], 0, FIRST), NOW);
    fleet.report(&engine(), held(&["a", "b"], 3, FIRST), NOW);
    heard(&mut fleet);
    words(&plan(&mut fleet, NOW.plus(100)))
}

fn nothing(_: &mut Fleet) {}

fn a_new_entry(fleet: &mut Fleet) {
    list(fleet, held(&[], 0, SECOND), NOW);
}

fn a_new_report(fleet: &mut Fleet) {
    fleet.report(&engine(), held(&[], 0, SECOND), NOW);
}

fn an_old_report_after_it(fleet: &mut Fleet) {
    a_new_entry(fleet);
    fleet.report(&engine(), held(&["a", "b"], 4, FIRST), NOW);
}

fn an_old_entry_after_it(fleet: &mut Fleet) {
    a_new_report(fleet);
    list(fleet, held(&["a", "b"], 0, FIRST), NOW.plus(50));
}

fn an_entry_without_a_start(fleet: &mut Fleet) {
    let held = Held {
        incarnation: Incarnation::default(),
        ..held(&[], 0, FIRST)
    };
    list(fleet, held, NOW.plus(50));
}

fn first() -> Vec<String> {
    vec!["load c at e1 expecting 0".to_owned()]
}

fn none() -> Vec<String> {
    Vec::new()
}

cases! { ordered_after;
    nothing_while_it_runs_on: nothing => none(),
    it_is_filled_anew_once_its_entry_tells: a_new_entry => first(),
    // Its count is lower than what is known, which was taken for an old report.
    it_is_filled_anew_once_its_report_tells: a_new_report => first(),
    an_earlier_starts_report_changes_nothing: an_old_report_after_it => first(),
    an_earlier_starts_entry_changes_nothing: an_old_entry_after_it => first(),
    what_does_not_tell_its_start_changes_nothing: an_entry_without_a_start => none(),
}

/// A load of `a` was ordered of an empty engine, which answered like this and then started
/// again. What is ordered so much later?
fn after_a_load((reply, later): (OrderReply, u64)) -> Vec<String> {
    let mut fleet = Fleet::default();
    list(&mut fleet, held(&[], 0, FIRST), NOW);
    let orders = plan(&mut fleet, NOW);
    let order = Order {
        model: model("a"),
        ..orders.first().expect("it is filled").clone()
    };
    fleet.record_sent(&order, NOW);
    fleet.record_reply(&order, reply, NOW);
    list(&mut fleet, held(&["b"], 0, SECOND), NOW.plus(100));
    words(&plan(&mut fleet, NOW.plus(later)))
}

cases! { after_a_load;
    // What it had accepted ended with it.
    an_accepted_order_is_forgotten: (OrderReply::Accepted, 200) => first(),
    // It may still be carried out: its condition, no order before it, holds again.
    an_order_in_doubt_keeps_its_room: (OrderReply::Lost, 200) => none(),
    an_order_in_doubt_keeps_its_room_while_it_may_come: (OrderReply::Lost, 12_000) => none(),
    an_old_order_in_doubt_is_forgotten: (OrderReply::Lost, 16_000) => first(),
    a_refused_order_is_forgotten: (OrderReply::Conflict, 200) => first(),
}

/// Once the engine has accepted an order itself, one of before that expects none is void.
#[test]
fn an_order_in_doubt_is_void_once_another_was_accepted() {
    let mut fleet = Fleet::default();
    list(&mut fleet, held(&[], 0, FIRST), NOW);
    let order = plan(&mut fleet, NOW).remove(0);
    fleet.record_sent(&order, NOW);
    fleet.record_reply(&order, OrderReply::Lost, NOW);
    list(&mut fleet, held(&["b"], 0, SECOND), NOW.plus(100));
    fleet.report(&engine(), held(&["b"], 1, SECOND), NOW.plus(200));
    let orders = plan(&mut fleet, NOW.plus(300));
    assert_eq!(words(&orders), ["load c at e1 expecting 1"]);
}

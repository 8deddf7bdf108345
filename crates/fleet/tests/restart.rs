//! An engine that restarts under the same name holds nothing and has accepted no orders.

mod reports;
mod shared;

use reports::{confirm, CONFIRM_MS};
use shaleline_fleet::{
    Fleet, Held, HeldSource, LoadWindow, Order, OrderReply, PlanSettings, PlanView, Planner, Rates,
    UnmetByKey, WarmupPhase,
};
use shaleline_testkit::cases;
use shaleline_types::{DataCentre, Incarnation, Millis, Upstream};
use shared::{catalog, model};
use std::collections::{BTreeMap, BTreeSet};

const NOW: Millis = Millis(1_000_000);

/// The start times of the two incarnations of the engine.
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

fn texts(orders: &[Order]) -> Vec<String> {
    orders.iter().map(ToString::to_string).collect()
}

/// The orders after this information about an engine that held `a` and `b` and had accepted three
/// orders.
fn ordered_after(event: fn(&mut Fleet)) -> Vec<String> {
    let mut fleet = Fleet::default();
    list(&mut fleet, held(&["a", "b"], 0, FIRST), NOW);
    confirm(&mut fleet, &engine(), &held(&["a", "b"], 3, FIRST), NOW);
    event(&mut fleet);
    texts(&plan(&mut fleet, NOW.plus(100)))
}

fn nothing(_: &mut Fleet) {}

fn a_new_entry(fleet: &mut Fleet) {
    list(fleet, held(&[], 0, SECOND), NOW);
}

fn a_new_report(fleet: &mut Fleet) {
    fleet.report(&engine(), held(&[], 0, SECOND), NOW, NOW);
}

fn an_old_report_after_it(fleet: &mut Fleet) {
    a_new_entry(fleet);
    fleet.report(&engine(), held(&["a", "b"], 4, FIRST), NOW, NOW);
}

fn an_old_entry_after_it(fleet: &mut Fleet) {
    a_new_report(fleet);
    list(fleet, held(&["a", "b"], 0, FIRST), NOW.plus(50));
}

fn an_entry_without_an_incarnation_comes(fleet: &mut Fleet) {
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
    nothing_without_a_restart: nothing => none(),
    it_is_loaded_again_after_a_new_entry: a_new_entry => first(),
    // Its number of orders is lower than the known one, so that the report was taken for an old
    // one.
    it_is_loaded_again_after_a_new_report: a_new_report => first(),
    a_report_of_an_earlier_incarnation_is_ignored: an_old_report_after_it => first(),
    an_entry_of_an_earlier_incarnation_is_ignored: an_old_entry_after_it => first(),
    an_entry_without_an_incarnation_is_ignored: an_entry_without_an_incarnation_comes => none(),
}

/// The orders at a later time, after a load of `a` at an empty engine got this reply and the engine
/// then restarted.
fn after_a_load((reply, later): (OrderReply, u64)) -> Vec<String> {
    let mut fleet = Fleet::default();
    list(&mut fleet, held(&[], 0, FIRST), NOW);
    let orders = plan(&mut fleet, NOW);
    let order = Order {
        model: model("a"),
        ..orders.first().expect("an order to load a model").clone()
    };
    fleet.record_sent(&order, NOW);
    fleet.record_reply(&order, reply, NOW);
    list(&mut fleet, held(&["b"], 0, SECOND), NOW.plus(100));
    texts(&plan(&mut fleet, NOW.plus(later)))
}

cases! { after_a_load;
    // What it had accepted ended with its process.
    an_accepted_order_is_forgotten: (OrderReply::Accepted, 200) => first(),
    // It may still be carried out: its condition, no earlier order, holds again.
    an_unconfirmed_order_keeps_its_room: (OrderReply::Lost, 200) => none(),
    an_unconfirmed_order_keeps_its_room_while_it_may_arrive: (OrderReply::Lost, 12_000) => none(),
    an_old_unconfirmed_order_is_forgotten: (OrderReply::Lost, 16_000) => first(),
    a_refused_order_is_forgotten: (OrderReply::Conflict, 200) => first(),
}

/// What the engine went through after the load of `a`, with the orders that follow.
#[derive(Clone, Copy)]
struct Aftermath {
    /// The replies to the attempts to send the order.
    replies: &'static [OrderReply],
    /// What the engine is seen to hold, one start after the other.
    starts: fn(&mut Fleet),
    /// The time until the plan.
    later: u64,
}

/// The orders after attempts to load `a` at an empty engine, which then starts again.
fn after_attempts(aftermath: Aftermath) -> Vec<String> {
    let mut fleet = Fleet::default();
    list(&mut fleet, held(&[], 0, FIRST), NOW);
    let order = Order {
        model: model("a"),
        ..plan(&mut fleet, NOW).remove(0)
    };
    fleet.record_sent(&order, NOW);
    for reply in aftermath.replies {
        fleet.record_reply(&order, *reply, NOW);
    }
    (aftermath.starts)(&mut fleet);
    texts(&plan(&mut fleet, NOW.plus(aftermath.later)))
}

fn a_start(fleet: &mut Fleet) {
    list(fleet, held(&["b"], 0, SECOND), NOW.plus(100));
}

fn an_absence_and_a_start(fleet: &mut Fleet) {
    fleet.remove(&engine());
    a_start(fleet);
}

fn two_starts(fleet: &mut Fleet) {
    a_start(fleet);
    fleet.report(
        &engine(),
        held(&["b"], 1, SECOND),
        NOW.plus(150),
        NOW.plus(150),
    );
    list(fleet, held(&["b"], 0, SECOND + 1_000), NOW.plus(180));
}

fn a_later_report(fleet: &mut Fleet) {
    confirm(
        fleet,
        &engine(),
        &held(&["b"], 1, FIRST),
        NOW.plus(100 + CONFIRM_MS),
    );
}

const LOST_THEN_REFUSED: &[OrderReply] = &[OrderReply::Lost, OrderReply::Conflict];
const LOST_THEN_ACCEPTED: &[OrderReply] = &[OrderReply::Lost, OrderReply::Accepted];

cases! { after_attempts;
    a_refusal_of_a_repeat_does_not_void_the_first_attempt: Aftermath {
        replies: LOST_THEN_REFUSED,
        starts: a_start,
        later: 200,
    } => none(),
    an_accepted_repeat_does_not_void_the_first_attempt: Aftermath {
        replies: LOST_THEN_ACCEPTED,
        starts: a_start,
        later: 200,
    } => none(),
    an_unanswered_attempt_outlasts_the_absence_of_its_engine: Aftermath {
        replies: &[OrderReply::Lost],
        starts: an_absence_and_a_start,
        later: 200,
    } => none(),
    an_unanswered_attempt_outlasts_two_starts: Aftermath {
        replies: &[OrderReply::Lost],
        starts: two_starts,
        later: 200,
    } => none(),
    an_unanswered_attempt_lapses: Aftermath {
        replies: LOST_THEN_REFUSED,
        starts: a_start,
        later: 16_000,
    } => first(),
    an_unanswered_attempt_is_void_behind_another_order: Aftermath {
        replies: LOST_THEN_REFUSED,
        starts: a_later_report,
        later: 200 + CONFIRM_MS,
    } => vec!["load c at e1 expecting 1".to_owned()],
}

/// Once the engine has accepted an order itself, an earlier one that expects none is void.
#[test]
fn an_unconfirmed_order_is_void_once_another_was_accepted() {
    let mut fleet = Fleet::default();
    list(&mut fleet, held(&[], 0, FIRST), NOW);
    let order = plan(&mut fleet, NOW).remove(0);
    fleet.record_sent(&order, NOW);
    fleet.record_reply(&order, OrderReply::Lost, NOW);
    list(&mut fleet, held(&["b"], 0, SECOND), NOW.plus(100));
    let reported = NOW.plus(200 + CONFIRM_MS);
    confirm(&mut fleet, &engine(), &held(&["b"], 1, SECOND), reported);
    let orders = plan(&mut fleet, reported.plus(100));
    assert_eq!(texts(&orders), ["load c at e1 expecting 1"]);
}

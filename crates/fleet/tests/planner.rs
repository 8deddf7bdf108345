//! Placement: which orders are planned, and which are not.

mod reports;
mod shared;

use reports::confirm;
use shaleline_fleet::{
    Catalog, Fleet, Held, HeldSource, LoadWindow, Order, OrderKind, OrderReply, PlanSettings,
    PlanView, Planner, Rate, Rates, UnmetByKey, WarmupPhase,
};
use shaleline_testkit::cases;
use shaleline_types::{DataCentre, Megabytes, Millis, Upstream};
use shared::{adapter, model};
use std::collections::{BTreeMap, BTreeSet};

const NOW: Millis = Millis(1_000_000);

/// The work of one request, in milliseconds.
const REQUEST_WORK: f64 = 20.0;

fn engine(name: &str) -> Upstream {
    Upstream::from_text(name).expect("a valid name")
}

fn centre() -> DataCentre {
    DataCentre::from_text("dc1").expect("a valid name")
}

/// Models with two adapters each.
fn catalog(models: &[&str]) -> Catalog {
    shared::catalog(models, &["a1", "a2"])
}

fn held(models: &[&str], seq: u64) -> Held {
    let models = models.iter().map(|m| (model(m), BTreeSet::new()));
    Held {
        models: models.collect(),
        seq,
        ..Held::default()
    }
}

fn rates(pairs: &[(&str, Option<&str>, f64)]) -> Rates {
    let rate = |(m, a, work): &(&str, Option<&str>, f64)| {
        let rate = Rate {
            work: *work as f32,
            count: (*work / REQUEST_WORK) as f32,
        };
        ((model(m), a.map(adapter)), rate)
    };
    pairs.iter().map(rate).collect()
}

fn plan(catalog: &Catalog, fleet: &Fleet, rates: &Rates) -> Vec<Order> {
    plan_in(WarmupPhase::Over, catalog, fleet, rates)
}

fn plan_in(warmup: WarmupPhase, catalog: &Catalog, fleet: &Fleet, rates: &Rates) -> Vec<Order> {
    let view = PlanView {
        warmup,
        catalog,
        fleet,
        rates,
        unmet: &UnmetByKey::new(),
        fence: 7,
        holder: "me",
        cooldowns: &BTreeMap::new(),
        after_failure: false,
    };
    let mut window = LoadWindow::new(Millis(5_000), 1.1);
    Planner::new(PlanSettings::default()).plan(&view, &mut window, NOW)
}

fn list(fleet: &mut Fleet, name: &str, held: Held) {
    fleet.observe(&engine(name), &centre(), held, HeldSource::Listed, NOW);
}

fn texts(orders: &[Order]) -> Vec<String> {
    orders.iter().map(ToString::to_string).collect()
}

/// The orders after an order was accepted by the first engine and `after` was applied; no engine
/// holds `b`.
fn after_accepted(after: fn(&mut Fleet, &Order)) -> Vec<String> {
    let catalog = catalog(&["a", "b"]);
    let mut fleet = Fleet::default();
    list(&mut fleet, "e1", held(&["a"], 0));
    let orders = plan(&catalog, &fleet, &Rates::new());
    let order = orders
        .first()
        .expect("the model without a replica is loaded");
    fleet.record_sent(order, NOW);
    fleet.record_reply(order, OrderReply::Accepted, NOW);
    after(&mut fleet, order);
    let others = catalog_with_c();
    texts(&plan(&others, &fleet, &Rates::new()))
}

fn catalog_with_c() -> Catalog {
    Catalog {
        memory: Megabytes(220_000),
        ..catalog(&["a", "b", "c"])
    }
}

fn nothing(_: &mut Fleet, _: &Order) {}

fn an_entry_shows_it(fleet: &mut Fleet, _: &Order) {
    list(fleet, "e1", held(&["a", "b"], 99));
}

fn a_report_shows_it(fleet: &mut Fleet, _: &Order) {
    fleet.report(&engine("e1"), held(&["a", "b"], 1), NOW, NOW);
}

fn a_busy_report_shows_it(fleet: &mut Fleet, _: &Order) {
    let held = Held {
        busy: true,
        ..held(&["a", "b"], 1)
    };
    fleet.report(&engine("e1"), held, NOW, NOW);
}

fn an_old_report_comes(fleet: &mut Fleet, _: &Order) {
    fleet.report(&engine("e1"), held(&["a"], 0), NOW, NOW);
}

cases! { after_accepted;
    no_second_order_while_one_is_in_progress: nothing => Vec::<String>::new(),
    // A planner that took over allocated memory twice, as list entries lag behind loads.
    an_entry_confirms_nothing: an_entry_shows_it => Vec::<String>::new(),
    a_report_confirms_what_is_held: a_report_shows_it => vec!["load c at e1 expecting 1".to_owned()],
    a_busy_report_confirms_nothing: a_busy_report_shows_it => Vec::<String>::new(),
    an_old_report_is_ignored: an_old_report_comes => Vec::<String>::new(),
}

/// The models that each engine holds.
type Holdings = &'static [&'static [&'static str]];

/// Milliseconds of work a second, by model and adapter.
type Work = &'static [(&'static str, Option<&'static str>, f64)];

/// The orders for engines that hold these models, with `work` as the demand.
fn ordered(case: (Holdings, Work)) -> Vec<String> {
    let (engines, work) = case;
    let names: BTreeSet<&str> = engines.iter().flat_map(|e| e.iter().copied()).collect();
    let names: Vec<&str> = names.into_iter().collect();
    let catalog = catalog(&names);
    let mut fleet = Fleet::default();
    for (i, models) in engines.iter().enumerate() {
        list(&mut fleet, &format!("e{i}"), held(models, 0));
    }
    texts(&plan(&catalog, &fleet, &rates(work)))
}

cases! { ordered;
    nothing_is_moved_without_demand: (&[&["a", "b"], &["a", "c"]], &[]) => Vec::<String>::new(),
    a_last_replica_is_never_evicted:
        (&[&["a", "b"], &["c", "d"]], &[("a", None, 900.0)]) => Vec::<String>::new(),
    a_busy_model_evicts_an_idle_one:
        (&[&["a", "b"], &["b", "c"]], &[("a", None, 900.0)])
            => vec!["unload b at e1 expecting 0".to_owned()],
    a_small_gain_moves_nothing:
        (&[&["a", "b"], &["b", "c"]], &[("a", None, 20.0)]) => Vec::<String>::new(),
    an_adapter_goes_where_its_model_is:
        (&[&["a", "b"], &["c", "d"]], &[("a", Some("a1"), 2.0)])
            => vec!["load a+a1 at e0 expecting 0".to_owned()],
}

/// `e1` has room for `b`, which no engine holds, and serves `a`, whose adapter `a1` has unmet
/// demand. An adapter loads within milliseconds, and an engine that loads weights takes no order
/// for nine seconds: without this order, adapters of busy models were missing for that time.
#[test]
fn an_adapter_without_a_replica_goes_before_weights() {
    let catalog = catalog(&["a", "b"]);
    let mut fleet = Fleet::default();
    list(&mut fleet, "e1", held(&["a"], 0));
    let demand = rates(&[("a", Some("a1"), 5.0), ("b", None, 300.0)]);
    let orders = plan(&catalog, &fleet, &demand);
    assert_eq!(texts(&orders), ["load a+a1 at e1 expecting 0"]);
}

/// The orders after this reply to an order to unload `a1`, and after a report. The only slot of the
/// engine holds `a1`, which has no requests, while `a2` has.
fn after_unload((reply, report): (OrderReply, fn(&mut Fleet))) -> Vec<String> {
    let catalog = catalog(&["a", "b"]);
    let mut fleet = Fleet::default();
    let mut full = held(&["a", "b"], 0);
    full.models
        .insert(model("a"), BTreeSet::from([adapter("a1")]));
    list(&mut fleet, "e1", full.clone());
    let demand = rates(&[("a", Some("a2"), 5.0)]);
    let orders = plan(&catalog, &fleet, &demand);
    assert_eq!(texts(&orders), ["unload a+a1 at e1 expecting 0"]);
    fleet.record_sent(&orders[0], NOW);
    fleet.record_reply(&orders[0], reply, NOW);
    // An old entry, as it is read after the store was unavailable.
    list(&mut fleet, "e1", held(&["a", "b"], 0));
    report(&mut fleet);
    texts(&plan(&catalog, &fleet, &demand))
}

fn no_report(_: &mut Fleet) {}

fn reports_it_held(fleet: &mut Fleet) {
    let mut full = held(&["a", "b"], 1);
    full.models
        .insert(model("a"), BTreeSet::from([adapter("a1")]));
    fleet.report(&engine("e1"), full, NOW, NOW);
}

fn reports_it_absent(fleet: &mut Fleet) {
    fleet.report(&engine("e1"), held(&["a", "b"], 1), NOW, NOW);
}

fn again() -> Vec<String> {
    vec!["unload a+a1 at e1 expecting 0".to_owned()]
}

cases! { after_unload;
    // Without a reply the adapter may still be held: a slot was allocated twice.
    an_unload_without_a_reply_frees_no_slot: (OrderReply::Lost, no_report) => again(),
    a_refused_unload_frees_no_slot: (OrderReply::Conflict, no_report) => again(),
    an_unload_that_waits_for_its_requests_frees_no_slot: (OrderReply::Accepted, no_report)
        => Vec::<String>::new(),
    // The reply is the same if an earlier order is still unloading the adapter.
    an_unload_that_is_answered_as_done_frees_no_slot: (OrderReply::Done, no_report)
        => Vec::<String>::new(),
    an_unload_that_is_not_reported_frees_no_slot: (OrderReply::Done, reports_it_held)
        => Vec::<String>::new(),
    a_reported_unload_frees_a_slot: (OrderReply::Done, reports_it_absent)
        => vec!["load a+a2 at e1 expecting 1".to_owned()],
    a_reported_unload_that_waited_frees_a_slot: (OrderReply::Accepted, reports_it_absent)
        => vec!["load a+a2 at e1 expecting 1".to_owned()],
}

#[test]
fn loads_from_the_store_stop_at_its_rate() {
    let mut window = LoadWindow::new(Millis(5_000), 1.1);
    let available = window.available(1.4, NOW);
    for _ in 0..available {
        window.record(NOW);
    }
    // 1.4 a second over 5 s, a tenth more, and 3: at most 10 may begin.
    assert!(available <= 10, "{available} loads may begin at once");
    assert_eq!(window.available(1.4, NOW.plus(5_000)), 0);
    assert_eq!(window.available(1.4, NOW.plus(6_500)), available);
}

#[test]
fn a_planner_that_took_over_waits_out_the_window() {
    let mut window = LoadWindow::new(Millis(5_000), 1.1);
    window.block(NOW.plus(5_000));
    assert_eq!(window.available(1.4, NOW), 0);
    assert!(window.available(1.4, NOW.plus(5_000)) > 0);
}

#[test]
fn an_adapter_takes_its_slot_before_it_is_loaded() {
    let catalog = catalog(&["a", "b"]);
    let mut fleet = Fleet::default();
    list(&mut fleet, "e1", held(&["a", "b"], 0));
    let demand = rates(&[("a", Some("a1"), 5.0), ("b", Some("a2"), 4.0)]);
    let orders = plan(&catalog, &fleet, &demand);
    assert_eq!(texts(&orders), ["load a+a1 at e1 expecting 0"]);
    fleet.record_sent(&orders[0], NOW);
    fleet.record_reply(&orders[0], OrderReply::Accepted, NOW);
    let next = plan(&catalog, &fleet, &demand);
    let loads = next.iter().filter(|o| o.kind == OrderKind::Load);
    assert_eq!(loads.count(), 0, "the only slot is allocated");
}

/// The orders before the first traffic: `a` is served by all engines, `b` and `c` by one each.
fn before_traffic((warmup, second): (WarmupPhase, Held)) -> Vec<String> {
    let catalog = catalog(&["a", "b", "c"]);
    let mut fleet = Fleet::default();
    list(&mut fleet, "e1", held(&["a", "b"], 0));
    list(&mut fleet, "e2", held(&["a", "c"], 0));
    confirm(&mut fleet, &engine("e2"), &second, NOW);
    texts(&plan_in(warmup, &catalog, &fleet, &Rates::new()))
}

/// The second engine with a copy of `b` in addition to what it held initially.
fn with_a_copy(models: &[&str]) -> Held {
    Held {
        disk: [model("a"), model("b"), model("c")].into(),
        ..held(models, 2)
    }
}

cases! { before_traffic;
    room_is_made_for_a_second_copy: (WarmupPhase::Spread, held(&["a", "c"], 0))
        => vec!["unload a at e1 expecting 0".to_owned()],
    a_second_copy_is_loaded_where_room_was_made: (WarmupPhase::Spread, held(&["c"], 1))
        => vec!["load b at e2 expecting 1".to_owned()],
    the_copy_is_evicted_for_what_was_held: (WarmupPhase::Restore, with_a_copy(&["b", "c"]))
        => vec!["unload b at e2 expecting 2".to_owned()],
    what_was_held_is_loaded_again: (WarmupPhase::Restore, with_a_copy(&["c"]))
        => vec!["load a at e2 expecting 2".to_owned()],
    nothing_is_done_once_there_are_requests: (WarmupPhase::Over, held(&["a", "c"], 0))
        => Vec::<String>::new(),
}

/// Engine `e1` with room for one model and copies of `hot` and `idle`, and engine `e2`, which
/// serves `hot` and has a copy of `idle`.
fn room_beside_an_idle_model() -> Fleet {
    let mut fleet = Fleet::default();
    let with = |models: &[&str], disk: &[&str], seq| Held {
        disk: disk.iter().map(|m| model(m)).collect(),
        ..held(models, seq)
    };
    list(&mut fleet, "e1", held(&["b"], 0));
    list(&mut fleet, "e2", held(&["hot", "b"], 0));
    confirm(
        &mut fleet,
        &engine("e1"),
        &with(&["b"], &["hot", "idle"], 1),
        NOW,
    );
    confirm(
        &mut fleet,
        &engine("e2"),
        &with(&["hot", "b"], &["idle"], 1),
        NOW,
    );
    fleet
}

/// An idle model that was evicted for a requested one was loaded again into the free room each
/// time, so that some models were never served.
#[test]
fn room_goes_to_a_busy_model_before_an_idle_one() {
    let catalog = catalog(&["b", "hot", "idle"]);
    let fleet = room_beside_an_idle_model();
    let demand = rates(&[("hot", None, 900.0)]);
    let orders = texts(&plan(&catalog, &fleet, &demand));
    assert_eq!(orders, ["load hot at e1 expecting 1"]);
    let orders = texts(&plan(&catalog, &fleet, &Rates::new()));
    assert_eq!(orders, ["load idle at e1 expecting 1"]);
}

/// Two engines with room and copies of `hot`, which no engine holds and which has more work than
/// either engine can do. A planner that valued an overloaded engine lower than no engine left such
/// a model without a replica for eight seconds.
#[test]
fn a_model_with_more_work_than_one_engine_can_do_is_loaded() {
    let catalog = catalog(&["b", "hot"]);
    let mut fleet = Fleet::default();
    let copied = |seq| Held {
        disk: [model("hot")].into(),
        ..held(&["b"], seq)
    };
    for name in ["e1", "e2"] {
        list(&mut fleet, name, held(&["b"], 0));
        confirm(&mut fleet, &engine(name), &copied(1), NOW);
    }
    let demand = rates(&[("hot", None, 3_000.0), ("b", None, 400.0)]);
    let orders = texts(&plan(&catalog, &fleet, &demand));
    assert_eq!(
        orders,
        ["load hot at e1 expecting 1", "load hot at e2 expecting 1"]
    );
}

/// Of two models without a replica, the one with more callers is loaded first, though the other has
/// more work.
#[test]
fn models_are_ranked_by_callers_and_not_by_work() {
    let catalog = catalog(&["b", "fast", "slow"]);
    let mut fleet = Fleet::default();
    list(&mut fleet, "e1", held(&["b"], 0));
    let copied = Held {
        disk: [model("fast"), model("slow")].into(),
        ..held(&["b"], 1)
    };
    confirm(&mut fleet, &engine("e1"), &copied, NOW);
    let rate = |work: f32, count: f32| Rate { work, count };
    let demand = Rates::from([
        ((model("fast"), None), rate(100.0, 30.0)),
        ((model("slow"), None), rate(200.0, 10.0)),
    ]);
    let orders = texts(&plan(&catalog, &fleet, &demand));
    assert_eq!(orders, ["load fast at e1 expecting 1"]);
}

/// While an engine makes room for `hot`, `hot` counts as held there, so that no second engine makes
/// room for the same callers.
#[test]
fn room_is_made_only_once_for_the_same_callers() {
    let catalog = catalog(&["a", "b", "c", "hot"]);
    let mut fleet = Fleet::default();
    for (name, models) in [("e1", ["a", "b"]), ("e2", ["b", "c"]), ("e3", ["a", "c"])] {
        list(&mut fleet, name, held(&models, 0));
    }
    let demand = rates(&[("hot", None, 300.0)]);
    let mut planner = Planner::new(PlanSettings::default());
    let mut window = LoadWindow::new(Millis(5_000), 1.1);
    let mut orders = |fleet: &Fleet, now| {
        let view = PlanView {
            warmup: WarmupPhase::Over,
            catalog: &catalog,
            fleet,
            rates: &demand,
            unmet: &UnmetByKey::new(),
            fence: 7,
            holder: "me",
            cooldowns: &BTreeMap::new(),
            after_failure: false,
        };
        planner.plan(&view, &mut window, now)
    };
    let first = orders(&fleet, NOW);
    assert_eq!(first.len(), 1, "{:?}", texts(&first));
    assert_eq!(first[0].kind, OrderKind::Unload);
    fleet.record_sent(&first[0], NOW);
    fleet.record_reply(&first[0], OrderReply::Accepted, NOW);
    let later = orders(&fleet, NOW.plus(250));
    assert_eq!(texts(&later), Vec::<String>::new());
}

/// An engine that recently had an order from another planner gets none, even if it would be the
/// best.
#[test]
fn an_engine_in_its_cooldown_gets_no_order() {
    let catalog = catalog(&["a", "b"]);
    let mut fleet = Fleet::default();
    list(&mut fleet, "e1", held(&["a"], 0));
    list(&mut fleet, "e2", held(&["a"], 0));
    let ordered = |cooldowns: &BTreeMap<Upstream, Millis>| {
        let view = PlanView {
            warmup: WarmupPhase::Over,
            catalog: &catalog,
            fleet: &fleet,
            rates: &Rates::new(),
            unmet: &UnmetByKey::new(),
            fence: 7,
            holder: "me",
            cooldowns,
            after_failure: false,
        };
        let mut window = LoadWindow::new(Millis(5_000), 1.1);
        let mut planner = Planner::new(PlanSettings::default());
        texts(&planner.plan(&view, &mut window, NOW))
    };
    assert_eq!(ordered(&BTreeMap::new()), ["load b at e1 expecting 0"]);
    let cooldowns = BTreeMap::from([(engine("e1"), NOW.plus(3_000))]);
    assert_eq!(ordered(&cooldowns), ["load b at e2 expecting 0"]);
}

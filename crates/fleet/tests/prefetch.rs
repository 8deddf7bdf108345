//! Adapters are loaded into free slots before they are requested.
//!
//! More than a third of all refused callers were the first callers of their adapter, although most
//! engines had free slots.

mod shared;

use shaleline_fleet::{
    Catalog, Fleet, Held, HeldSource, LoadWindow, Order, OrderKind, OrderReply, PlanSettings,
    PlanView, Planner, Rate, Rates, UnmetByKey, WarmupPhase,
};
use shaleline_testkit::cases;
use shaleline_types::{DataCentre, Megabytes, Millis, Upstream};
use shared::{adapter, model};
use std::collections::BTreeMap;

const START_MS: u64 = 1_000_000;
const PLAN_INTERVAL_MS: u64 = 1_500;

const ADAPTERS: [&str; 6] = ["a1", "a2", "a3", "a4", "a5", "a6"];

const RATE: Rate = Rate {
    work: 20.0,
    count: 1.0,
};

/// Engines that carry out each order at once.
struct Simulation {
    now: Millis,
    catalog: Catalog,
    fleet: Fleet,
    planner: Planner,
    held: BTreeMap<Upstream, Held>,
    /// The most orders of one plan.
    most: usize,
}

impl Simulation {
    /// Engines with the given models and adapters and this number of slots.
    fn new(engines: &[(&str, &[&str])], adapter_slots: usize) -> Self {
        let models: Vec<&str> = engines.iter().map(|(m, _)| *m).collect();
        let mut simulation = Self {
            now: Millis(START_MS),
            catalog: Catalog {
                memory: Megabytes(80_000),
                adapter_slots,
                ..shared::catalog(&models, &ADAPTERS)
            },
            fleet: Fleet::default(),
            planner: Planner::new(PlanSettings::default()),
            held: BTreeMap::new(),
            most: 0,
        };
        for (number, (name, adapters)) in engines.iter().enumerate() {
            let adapters = adapters.iter().map(|a| adapter(a)).collect();
            let held = Held {
                models: [(model(name), adapters)].into(),
                ..Held::default()
            };
            let engine = Upstream::from_text(&format!("e{number:02}")).expect("a valid name");
            let centre = DataCentre::from_text("dc1").expect("a valid name");
            let (source, now) = (HeldSource::Listed, simulation.now);
            let listed = held.clone();
            simulation
                .fleet
                .observe(&engine, &centre, listed, source, now);
            simulation.held.insert(engine, held);
        }
        simulation
    }

    fn plan(&mut self, rates: &Rates) -> Vec<String> {
        let view = PlanView {
            warmup: WarmupPhase::Over,
            catalog: &self.catalog,
            fleet: &self.fleet,
            rates,
            unmet: &UnmetByKey::new(),
            fence: 7,
            holder: "me",
            cooldowns: &BTreeMap::new(),
            after_failure: false,
        };
        let mut window = LoadWindow::new(Millis(5_000), 1.1);
        let orders = self.planner.plan(&view, &mut window, self.now);
        orders.iter().for_each(|o| self.carry_out(o));
        self.most = self.most.max(orders.len());
        self.now = self.now.plus(PLAN_INTERVAL_MS);
        orders.iter().map(ToString::to_string).collect()
    }

    fn carry_out(&mut self, order: &Order) {
        let held = self.held.get_mut(&order.engine).expect("it is known");
        held.seq += 1;
        let adapters = held.models.get_mut(&order.model).expect("it is served");
        let adapter = order.adapter.as_ref().expect("no weights are moved");
        let reply = match order.kind {
            OrderKind::Load => {
                adapters.insert(adapter.clone());
                OrderReply::Accepted
            }
            OrderKind::Unload => {
                adapters.remove(adapter);
                OrderReply::Done
            }
        };
        let report = held.clone();
        self.fleet.record_sent(order, self.now);
        self.fleet.record_reply(order, reply, self.now);
        self.fleet.report(&order.engine, report, self.now, self.now);
    }

    /// Plans with these rates until there are no orders, and returns all.
    fn settle(&mut self, rates: &Rates) -> Vec<String> {
        let plans = std::iter::repeat_with(|| self.plan(rates)).take(20);
        let all: Vec<Vec<String>> = plans.collect();
        assert!(all[10..].iter().all(Vec::is_empty), "{all:?}");
        all.concat()
    }
}

fn rates(keys: &[(&str, Option<&str>)]) -> Rates {
    let keys = keys.iter().map(|(m, a)| (model(m), a.map(adapter)));
    keys.map(|k| (k, RATE)).collect()
}

/// The orders while only callers without an adapter come, for `busy`.
fn ordered((engines, slots): (&[(&str, &[&str])], usize)) -> Vec<String> {
    Simulation::new(engines, slots).settle(&rates(&[("busy", None)]))
}

cases! { ordered;
    one_slot_stays_free: (&[("m", &[])], 3) => texts(&["load m+a1 at e00 expecting 0", "load m+a2 at e00 expecting 1"]),
    the_last_free_slot_is_not_filled: (&[("m", &["a1", "a2"])], 3) => texts(&[]),
    an_adapter_held_elsewhere_is_not_loaded: (&[("m", &["a1", "a2"]), ("m", &["a3"])], 3) => texts(&["load m+a4 at e01 expecting 0"]),
    the_most_requested_model_goes_first: (&[("a", &[]), ("busy", &[])], 2) => texts(&["load busy+a1 at e01 expecting 0", "load a+a1 at e00 expecting 0"]),
}

fn texts(orders: &[&str]) -> Vec<String> {
    orders.iter().map(ToString::to_string).collect()
}

/// Callers request more adapters than there are slots left, so the adapters without requests
/// make room. They are not loaded again.
#[test]
fn an_evicted_adapter_is_loaded_again_only_for_callers() {
    let mut simulation = Simulation::new(&[("m", &[])], 3);
    assert_eq!(simulation.settle(&Rates::new()).len(), 2);
    let requested = [("m", Some("a4")), ("m", Some("a5")), ("m", Some("a6"))];
    simulation.settle(&rates(&requested));
    let held = |s: &Simulation| s.held.values().next().expect("an engine").clone();
    let adapters = &held(&simulation).models[&model("m")];
    let wanted = ["a4", "a5", "a6"].map(adapter);
    assert!(wanted.iter().all(|a| adapters.contains(a)), "{adapters:?}");
    assert_eq!(simulation.settle(&Rates::new()), texts(&[]));
}

/// While a caller waits for an adapter, only that adapter is ordered.
#[test]
fn nothing_is_loaded_ahead_while_a_caller_waits() {
    let mut simulation = Simulation::new(&[("m", &[])], 3);
    let orders = simulation.plan(&rates(&[("m", Some("a4"))]));
    assert_eq!(orders, ["load m+a4 at e00 expecting 0"]);
}

#[test]
fn one_plan_loads_few_adapters_ahead() {
    let names: Vec<String> = (0..20).map(|n| format!("m{n}")).collect();
    let none: &[&str] = &[];
    let engines: Vec<(&str, &[&str])> = names.iter().map(|n| (n.as_str(), none)).collect();
    let mut simulation = Simulation::new(&engines, 2);
    assert_eq!(simulation.settle(&Rates::new()).len(), 20);
    assert_eq!(simulation.most, 8);
}

/// An adapter takes memory, of which the weights of a model may need the last.
#[test]
fn room_for_weights_is_kept() {
    let mut simulation = Simulation::new(&[("m", &[])], 3);
    simulation.catalog.memory = Megabytes(140_000);
    assert_eq!(simulation.plan(&Rates::new()), texts(&[]));
}

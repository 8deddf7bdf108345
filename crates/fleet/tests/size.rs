//! Plans for many engines.

use shaleline_fleet::{
    Catalog, Fleet, Held, HeldSource, LoadWindow, ModelProfile, Order, OrderKind, OrderReply,
    PlanSettings, PlanView, Planner, Rate, Rates, UnmetByKey, WarmupPhase,
};
use shaleline_types::{DataCentre, Megabytes, Millis, Model, Upstream};
use std::collections::{BTreeMap, BTreeSet};

/// Engines with room for three models each.
const ENGINES: usize = 90;
const MODELS: usize = 163;
const ROOM: usize = 3;

/// One model in this many has most of the requests.
const BUSY_STEP: usize = 9;

const START: u64 = 1_000_000;
const PLAN_INTERVAL_MS: u64 = 250;
const PLANS: u64 = 40;

fn model(number: usize) -> Model {
    Model::from_text(&format!("m{number}")).expect("a valid name")
}

fn engine(number: usize) -> Upstream {
    Upstream::from_text(&format!("e{number}")).expect("a valid name")
}

fn catalog() -> Catalog {
    let profile = ModelProfile {
        weights_size: Megabytes(70_000),
        store_time: Millis(8_000),
        disk_time: Millis(1_600),
        warm_time: Millis(800),
        adapters: Vec::new(),
        adapter_size: Megabytes(50),
    };
    Catalog {
        models: (0..MODELS).map(|m| (model(m), profile.clone())).collect(),
        memory: Megabytes(220_000),
        adapter_slots: 8,
        load_rate: 12.5,
        request_slots: 64,
        warm_memory: Megabytes(150_000),
        disk_space: Megabytes(440_000),
    }
}

/// Engines that take a realistic time for each order.
struct Simulation {
    catalog: Catalog,
    fleet: Fleet,
    planner: Planner,
    window: LoadWindow,
    held: BTreeMap<Upstream, Held>,
    in_progress: Vec<(u64, Order)>,
}

impl Simulation {
    /// Each model is on one engine; the remaining room holds the models at `first` and each ninth
    /// after it.
    fn new(first: usize) -> Self {
        let mut simulation = Self {
            catalog: catalog(),
            fleet: Fleet::default(),
            planner: Planner::new(PlanSettings::default()),
            window: LoadWindow::new(Millis(5_000), 1.1),
            held: BTreeMap::new(),
            in_progress: Vec::new(),
        };
        let busy: Vec<usize> = (first..MODELS).step_by(BUSY_STEP).collect();
        let mut slots = (0..MODELS).chain((0..).map(|n| busy[n % busy.len()]));
        for number in 0..ENGINES {
            let models: BTreeSet<Model> = slots.by_ref().take(ROOM).map(model).collect();
            let held = Held {
                models: models
                    .iter()
                    .map(|m| (m.clone(), BTreeSet::new()))
                    .collect(),
                disk: models,
                ..Held::default()
            };
            let centre = DataCentre::from_text("dc1").expect("a valid name");
            let (name, now) = (engine(number), Millis(START));
            simulation.held.insert(name.clone(), held.clone());
            simulation
                .fleet
                .observe(&name, &centre, held, HeldSource::Listed, now);
        }
        simulation
    }

    fn finish_orders(&mut self, now: u64) {
        let (done, open) = self.in_progress.drain(..).partition(|(at, _)| *at <= now);
        self.in_progress = open;
        let done: Vec<(u64, Order)> = done;
        for (_, order) in done {
            let held = self.held.get_mut(&order.engine).expect("it was ordered");
            match order.kind {
                OrderKind::Load => {
                    held.models.insert(order.model.clone(), BTreeSet::new());
                    held.disk.insert(order.model.clone());
                }
                OrderKind::Unload => {
                    held.models.remove(&order.model);
                }
            }
            self.fleet
                .report(&order.engine, held.clone(), Millis(now), Millis(now));
        }
    }

    fn plan(&mut self, rates: &Rates, now: u64) -> Vec<Order> {
        let at = Millis(now);
        self.fleet.prune(at);
        let view = PlanView {
            catalog: &self.catalog,
            fleet: &self.fleet,
            rates,
            unmet: &UnmetByKey::new(),
            fence: 7,
            holder: "me",
            warmup: WarmupPhase::Over,
            cooldowns: &BTreeMap::new(),
            after_failure: false,
        };
        self.planner.plan(&view, &mut self.window, at)
    }

    fn send_order(&mut self, order: Order, now: u64) {
        let held = self.held.get_mut(&order.engine).expect("it is known");
        held.seq += 1;
        let on_disk = held.disk.contains(&order.model);
        let duration = match order.kind {
            OrderKind::Unload => 300,
            OrderKind::Load if on_disk => 1_600,
            OrderKind::Load => {
                self.window.record(Millis(now));
                8_000
            }
        };
        self.fleet.record_sent(&order, Millis(now));
        self.fleet
            .record_reply(&order, OrderReply::Accepted, Millis(now));
        self.in_progress.push((now + duration, order));
    }

    /// Plans with these rates; returns the number of orders.
    fn run(&mut self, rates: &Rates) -> usize {
        let mut count = 0;
        for step in 0..PLANS {
            let now = START + step * PLAN_INTERVAL_MS;
            self.finish_orders(now);
            for order in self.plan(rates, now) {
                count += 1;
                self.send_order(order, now);
            }
        }
        count
    }
}

/// Equal request rates for the models at `first` and each ninth after it.
fn rates(first: usize) -> Rates {
    let rate = Rate {
        work: 2_000.0,
        count: 20.0,
    };
    let busy = (first..MODELS).step_by(BUSY_STEP);
    busy.map(|m| ((model(m), None), rate)).collect()
}

/// Demand has moved to models with one replica each, and many moves have the same value. A plan
/// that evaluated a move and reverted it left rounding errors in the loads of the engines. By them
/// it found each of two moves worse than the other, and evaluated both in turn without end.
#[test]
fn a_plan_ends_if_moves_have_the_same_value() {
    assert!(Simulation::new(0).run(&rates(1)) > 0);
}

/// Demand has not moved: each busy model has the engines that it needs.
#[test]
fn few_orders_are_sent_while_demand_is_steady() {
    let steady = Simulation::new(0).run(&rates(0));
    let moved = Simulation::new(0).run(&rates(1));
    assert!(
        2 * steady < moved,
        "{steady} orders at steady demand, {moved} at moved demand"
    );
}

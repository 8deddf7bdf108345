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

/// One model in so many has most of the requests.
const HOT: usize = 9;

const START: u64 = 1_000_000;
const PLAN_EVERY: u64 = 250;
const PLANS: u64 = 40;

fn model(number: usize) -> Model {
    Model::from_text(&format!("m{number}")).expect("a valid name")
}

fn engine(number: usize) -> Upstream {
    Upstream::from_text(&format!("e{number}")).expect("a valid name")
}

fn catalog() -> Catalog {
    let rule = ModelProfile {
        weights_size: Megabytes(70_000),
        store_time: Millis(8_000),
        disk_time: Millis(1_600),
        warm_time: Millis(800),
        adapters: Vec::new(),
        adapter_size: Megabytes(50),
    };
    Catalog {
        models: (0..MODELS).map(|m| (model(m), rule.clone())).collect(),
        memory: Megabytes(220_000),
        adapter_slots: 8,
        load_rate: 12.5,
        request_slots: 64,
        warm_memory: Megabytes(150_000),
        disk_space: Megabytes(440_000),
    }
}

/// Engines whose orders are carried out in the time that they take.
struct Play {
    catalog: Catalog,
    fleet: Fleet,
    planner: Planner,
    window: LoadWindow,
    held: BTreeMap<Upstream, Held>,
    work: Vec<(u64, Order)>,
}

impl Play {
    /// Each model is on one engine; the room that is left has the models at `first` and each
    /// ninth after it.
    fn new(first: usize) -> Self {
        let mut play = Self {
            catalog: catalog(),
            fleet: Fleet::default(),
            planner: Planner::new(PlanSettings::default()),
            window: LoadWindow::new(Millis(5_000), 1.1),
            held: BTreeMap::new(),
            work: Vec::new(),
        };
        let hot: Vec<usize> = (first..MODELS).step_by(HOT).collect();
        let mut places = (0..MODELS).chain((0..).map(|n| hot[n % hot.len()]));
        for number in 0..ENGINES {
            let mine: BTreeSet<Model> = places.by_ref().take(ROOM).map(model).collect();
            let held = Held {
                models: mine.iter().map(|m| (m.clone(), BTreeSet::new())).collect(),
                disk: mine,
                ..Held::default()
            };
            let centre = DataCentre::from_text("dc1").expect("a valid name");
            let (name, now) = (engine(number), Millis(START));
            play.held.insert(name.clone(), held.clone());
            play.fleet
                .observe(&name, &centre, held, HeldSource::Listed, now);
        }
        play
    }

    fn finish_orders(&mut self, now: u64) {
        let (done, open) = self.work.drain(..).partition(|(at, _)| *at <= now);
        self.work = open;
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
            self.fleet.report(&order.engine, held.clone(), Millis(now));
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

    fn give(&mut self, order: Order, now: u64) {
        let held = self.held.get_mut(&order.engine).expect("it is known");
        held.seq += 1;
        let near = held.disk.contains(&order.model);
        let takes = match order.kind {
            OrderKind::Unload => 300,
            OrderKind::Load if near => 1_600,
            OrderKind::Load => {
                self.window.record(Millis(now));
                8_000
            }
        };
        self.fleet.record_sent(&order, Millis(now));
        self.fleet
            .record_reply(&order, OrderReply::Accepted, Millis(now));
        self.work.push((now + takes, order));
    }

    /// Plans while callers ask for these models; how many orders are given.
    fn run(&mut self, rates: &Rates) -> usize {
        let mut count = 0;
        for step in 0..PLANS {
            let now = START + step * PLAN_EVERY;
            self.finish_orders(now);
            for order in self.plan(rates, now) {
                count += 1;
                self.give(order, now);
            }
        }
        count
    }
}

/// What callers ask for: the models at `first` and each ninth after it, equally.
fn rates(first: usize) -> Rates {
    let rate = Rate {
        work: 2_000.0,
        count: 20.0,
    };
    let hot = (first..MODELS).step_by(HOT);
    hot.map(|m| ((model(m), None), rate)).collect()
}

/// Demand has moved to models that one engine holds each, and many moves are worth the same. A
/// plan that weighed a move and took it back left the last digits of what engines have to do
/// changed, found each of two moves worse than the other by them, and looked at both in turn
/// for good.
#[test]
fn a_plan_ends_where_moves_are_worth_the_same() {
    assert!(Play::new(0).run(&rates(1)) > 0);
}

/// Demand has not moved: each busy model has the engines that it needs.
#[test]
fn little_is_moved_while_demand_stays() {
    let calm = Play::new(0).run(&rates(0));
    let moved = Play::new(0).run(&rates(1));
    assert!(2 * calm < moved, "{calm} orders calm, {moved} moved");
}

//! What plans for the users' engines cost, by the number of engines.
//!
//! Plans follow each other four times a second while engines carry out what they are ordered:
//! on a calm day, when demand has moved to other models, and when a quarter of the engines
//! came back empty. Models and adapters are in proportion to the engines, as on the largest
//! deployment that was measured.

use crate::costs::resident_kb;
use eyre::Result;
use serde_json::json;
use shaleline_fleet::{
    Catalog, Fleet, Held, HeldSource, LoadWindow, ModelProfile, Order, OrderKind, OrderReply,
    PlanSettings, PlanView, Planner, Rate, Rates, UnmetByKey, WarmupPhase,
};
use shaleline_types::{Adapter, DataCentre, Megabytes, Millis, Model, Upstream};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

/// The sizes of the table.
const SIZES: [usize; 5] = [15, 90, 245, 1_000, 12_000];

/// What 245 engines have on the largest deployment.
const ENGINES: usize = 245;
const MODELS: usize = 444;
const ADAPTERS: usize = 1_171;

/// The loads a second that the weight store bears there.
const RATE: f64 = 34.0;

/// How many models an engine has room for.
const HELD: usize = 3;

/// One model in so many has most of the requests: as many a second, all together, as fill
/// two fifths of the engines.
const HOT: usize = 9;
const HOT_WORK: f32 = 2_000.0;
const HOT_COUNT: f32 = 20.0;

/// One in so many of the adapters is asked for.
const ASKED_ADAPTERS: usize = 4;

/// The time between two plans, and how many are measured.
const PLAN_EVERY: u64 = 250;
const PLANS: usize = 40;

/// One in so many engines is lost.
const LOST: usize = 4;

const START: u64 = 1_000_000;

/// What has happened before the plans.
#[derive(Debug, Clone, Copy)]
enum Scene {
    Calm,
    Moved,
    Lost,
}

const SCENES: [(&str, Scene); 3] = [
    ("calm", Scene::Calm),
    ("demand moved", Scene::Moved),
    ("a quarter lost", Scene::Lost),
];

/// Engines with what they were ordered.
struct Play {
    catalog: Catalog,
    fleet: Fleet,
    planner: Planner,
    window: LoadWindow,
    rates: Rates,
    /// What each engine holds, and its copies.
    held: BTreeMap<Upstream, Held>,
    /// Orders under way with when they end, in the order of their beginning.
    work: VecDeque<(u64, Order)>,
    now: u64,
}

fn model(number: usize) -> Model {
    Model::from_text(&format!("m{number}")).expect("a valid name")
}

fn adapter(number: usize) -> Adapter {
    Adapter::from_text(&format!("a{number}")).expect("a valid name")
}

fn catalog(engines: usize, models: usize) -> Catalog {
    let adapters = engines * ADAPTERS / ENGINES;
    let rule = |number| ModelProfile {
        weights_size: Megabytes(70_000),
        store_time: Millis(8_000),
        disk_time: Millis(1_600),
        warm_time: Millis(800),
        adapters: (number..adapters).step_by(models).map(adapter).collect(),
        adapter_size: Megabytes(50),
    };
    Catalog {
        models: (0..models).map(|m| (model(m), rule(m))).collect(),
        memory: Megabytes(220_000),
        adapter_slots: 8,
        load_rate: RATE * engines as f64 / ENGINES as f64,
        request_slots: 64,
        warm_memory: Megabytes(150_000),
        disk_space: Megabytes(440_000),
    }
}

fn rates(catalog: &Catalog, first: usize) -> Rates {
    let models = catalog.models.len();
    let hot = (first..models).step_by(HOT);
    let mut rates = Rates::new();
    for number in hot {
        let (work, count) = (HOT_WORK, HOT_COUNT);
        rates.insert((model(number), None), Rate { work, count });
        let asked = catalog.models[&model(number)].adapters.iter();
        for adapter in asked.step_by(ASKED_ADAPTERS) {
            let rate = Rate {
                work: 50.0,
                count: 0.5,
            };
            rates.insert((model(number), Some(adapter.clone())), rate);
        }
    }
    rates
}

impl Play {
    fn new(engines: usize, scene: Scene) -> Self {
        let models = engines * MODELS / ENGINES;
        let catalog = catalog(engines, models);
        let first = match scene {
            Scene::Calm | Scene::Lost => 0,
            Scene::Moved => 1,
        };
        let mut play = Self {
            rates: rates(&catalog, first),
            catalog,
            fleet: Fleet::default(),
            planner: Planner::new(PlanSettings::default()),
            window: LoadWindow::new(Millis(5_000), 1.1),
            held: BTreeMap::new(),
            work: VecDeque::new(),
            now: START,
        };
        // Every model stands on one engine; what room is left goes to those asked for.
        let hot: Vec<usize> = (0..models).step_by(HOT).collect();
        let places = (0..models).chain((0..).map(|n| hot[n % hot.len()]));
        let mut places = places.take(engines * HELD);
        for number in 0..engines {
            let name = Upstream::from_text(&format!("e{number}")).expect("a valid name");
            let lost = matches!(scene, Scene::Lost) && number % LOST == 0;
            let mine: BTreeSet<Model> = places.by_ref().take(HELD).map(model).collect();
            let held = Held {
                models: mine.iter().map(|m| (m.clone(), BTreeSet::new())).collect(),
                disk: mine,
                ..Held::default()
            };
            let held = match lost {
                true => Held {
                    models: BTreeMap::new(),
                    ..held
                },
                false => held,
            };
            play.held.insert(name.clone(), held.clone());
            let centre = DataCentre::from_text("dc1").expect("a valid name");
            let now = Millis(play.now);
            play.fleet
                .observe(&name, &centre, held, HeldSource::Listed, now);
        }
        play
    }

    /// Ends the orders whose time has come.
    fn settle(&mut self) {
        let now = self.now;
        let (done, open): (Vec<_>, Vec<_>) = self.work.drain(..).partition(|(at, _)| *at <= now);
        self.work = open.into();
        for (_, order) in done {
            let Some(held) = self.held.get_mut(&order.engine) else {
                continue;
            };
            carry_out(held, &order);
            self.fleet.report(&order.engine, held.clone(), Millis(now));
        }
    }

    /// One plan; how long it took, in microseconds, and how many orders it gave.
    fn step(&mut self) -> (f64, usize) {
        self.settle();
        let now = Millis(self.now);
        let began = Instant::now();
        self.fleet.prune(now);
        let view = PlanView {
            catalog: &self.catalog,
            fleet: &self.fleet,
            rates: &self.rates,
            unmet: &UnmetByKey::new(),
            fence: 1,
            holder: "me",
            warmup: WarmupPhase::Over,
            cooldowns: &BTreeMap::new(),
            after_failure: false,
        };
        let orders = self.planner.plan(&view, &mut self.window, now);
        let micros = began.elapsed().as_micros() as f64;
        self.planner.take_notes();
        let count = orders.len();
        for order in orders {
            self.give(order);
        }
        self.now += PLAN_EVERY;
        (micros, count)
    }

    fn give(&mut self, order: Order) {
        let now = Millis(self.now);
        let Some(held) = self.held.get_mut(&order.engine) else {
            return;
        };
        held.seq += 1;
        let rule = &self.catalog.models[&order.model];
        let near = held.disk.contains(&order.model);
        let takes = match (order.kind, &order.adapter) {
            (_, Some(_)) => Millis(20),
            (OrderKind::Unload, None) => Millis(300),
            (OrderKind::Load, None) if near => rule.disk_time,
            (OrderKind::Load, None) => {
                self.window.record(now);
                rule.store_time
            }
        };
        self.fleet.record_sent(&order, now);
        self.fleet.record_reply(&order, OrderReply::Accepted, now);
        self.work.push_back((self.now + takes.0, order));
    }
}

fn carry_out(held: &mut Held, order: &Order) {
    let adapters = held.models.get_mut(&order.model);
    match (order.kind, &order.adapter, adapters) {
        (OrderKind::Load, None, _) => {
            held.models.insert(order.model.clone(), BTreeSet::new());
            held.disk.insert(order.model.clone());
        }
        (OrderKind::Unload, None, _) => {
            held.models.remove(&order.model);
        }
        (OrderKind::Load, Some(adapter), Some(adapters)) => {
            adapters.insert(adapter.clone());
        }
        (OrderKind::Unload, Some(adapter), Some(adapters)) => {
            adapters.remove(adapter);
        }
        (_, Some(_), None) => {}
    }
}

/// What the plans of one scene took.
struct Row {
    engines: usize,
    scene: &'static str,
    median: f64,
    longest: f64,
    orders: usize,
    memory: f64,
}

fn measure(engines: usize, name: &'static str, scene: Scene) -> Row {
    let before = resident_kb();
    let mut play = Play::new(engines, scene);
    let steps: Vec<(f64, usize)> = (0..PLANS).map(|_| play.step()).collect();
    let mut micros: Vec<f64> = steps.iter().map(|(t, _)| *t).collect();
    micros.sort_by(f64::total_cmp);
    Row {
        engines,
        scene: name,
        median: micros[PLANS / 2],
        longest: micros[PLANS - 1],
        orders: steps.iter().map(|(_, n)| n).sum(),
        memory: resident_kb() - before,
    }
}

/// Microseconds of the median plan while demand moves.
pub fn cpu(engines: usize) -> f64 {
    measure(engines, "demand moved", Scene::Moved).median
}

/// Prints the table.
///
/// # Errors
/// Where it can't be written.
pub fn run(as_json: bool) -> Result<bool> {
    let sizes = SIZES.iter();
    let rows = sizes.flat_map(|n| SCENES.iter().map(|(name, scene)| measure(*n, name, *scene)));
    for row in rows {
        if as_json {
            let line = json!({"engines": row.engines, "scene": row.scene, "median_us": row.median,
                "longest_us": row.longest, "orders": row.orders, "memory_kb": row.memory});
            println!("{line}");
            continue;
        }
        println!(
            "{:>6} engines, {:15} median {:>9.0} us, longest {:>9.0} us, {:>6} orders, {:>8.0} KB",
            row.engines, row.scene, row.median, row.longest, row.orders, row.memory
        );
    }
    Ok(true)
}

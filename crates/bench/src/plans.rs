//! Measures the cost of plans for the users' engines, by number of engines.
//!
//! The planner runs four times per second while engines execute its orders, in three
//! scenarios: constant demand, demand that has moved to other models, and a quarter of the
//! engines restarted without models. Models and adapters are in proportion to the engines, as
//! on the largest deployment.

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

/// Numbers of engines to measure.
const SIZES: [usize; 5] = [15, 90, 245, 1_000, 12_000];

/// Engines, models and adapters of the largest deployment.
const ENGINES: usize = 245;
const MODELS: usize = 444;
const ADAPTERS: usize = 1_171;

/// Rate limit of its weight store in loads per second.
const LOAD_RATE: f64 = 34.0;

/// Number of models that fit on an engine.
const MODELS_PER_ENGINE: usize = 3;

/// Every ninth model is hot. Together the hot models use two fifths of the engines; these are
/// the work and the number of requests of each, per second.
const HOT_STEP: usize = 9;
const HOT_WORK: f32 = 2_000.0;
const HOT_COUNT: f32 = 20.0;

/// Every fourth adapter of a hot model has requests.
const ADAPTER_STEP: usize = 4;

/// Interval between plans, and the number of measured plans.
const PLAN_INTERVAL_MS: u64 = 250;
const PLANS: usize = 40;

/// Every fourth engine is lost.
const LOST_STEP: usize = 4;

const START_MS: u64 = 1_000_000;

/// The event before the first plan.
#[derive(Debug, Clone, Copy)]
enum Scenario {
    Calm,
    Moved,
    Lost,
}

const SCENARIOS: [(&str, Scenario); 3] = [
    ("calm", Scenario::Calm),
    ("demand moved", Scenario::Moved),
    ("a quarter lost", Scenario::Lost),
];

/// Simulated engines and the orders that they execute.
struct Simulation {
    catalog: Catalog,
    fleet: Fleet,
    planner: Planner,
    window: LoadWindow,
    rates: Rates,
    /// The models, adapters and disk copies of each engine.
    held: BTreeMap<Upstream, Held>,
    /// Orders in execution with their end times, in the order of their start.
    in_flight: VecDeque<(u64, Order)>,
    now: u64,
}

fn model(number: usize) -> Model {
    Model::from_text(&format!("m{number}")).expect("the name is valid")
}

fn adapter(number: usize) -> Adapter {
    Adapter::from_text(&format!("a{number}")).expect("the name is valid")
}

fn catalog(engines: usize, models: usize) -> Catalog {
    let adapters = engines * ADAPTERS / ENGINES;
    let profile = |number| ModelProfile {
        weights_size: Megabytes(70_000),
        store_time: Millis(8_000),
        disk_time: Millis(1_600),
        warm_time: Millis(800),
        adapters: (number..adapters).step_by(models).map(adapter).collect(),
        adapter_size: Megabytes(50),
    };
    Catalog {
        models: (0..models).map(|m| (model(m), profile(m))).collect(),
        memory: Megabytes(220_000),
        adapter_slots: 8,
        load_rate: LOAD_RATE * engines as f64 / ENGINES as f64,
        request_slots: 64,
        warm_memory: Megabytes(150_000),
        disk_space: Megabytes(440_000),
    }
}

fn rates(catalog: &Catalog, offset: usize) -> Rates {
    let models = catalog.models.len();
    let hot = (offset..models).step_by(HOT_STEP);
    let mut rates = Rates::new();
    for number in hot {
        let (work, count) = (HOT_WORK, HOT_COUNT);
        rates.insert((model(number), None), Rate { work, count });
        let adapters = catalog.models[&model(number)].adapters.iter();
        for adapter in adapters.step_by(ADAPTER_STEP) {
            let rate = Rate {
                work: 50.0,
                count: 0.5,
            };
            rates.insert((model(number), Some(adapter.clone())), rate);
        }
    }
    rates
}

impl Simulation {
    fn new(engines: usize, scenario: Scenario) -> Self {
        let models = engines * MODELS / ENGINES;
        let catalog = catalog(engines, models);
        let offset = match scenario {
            Scenario::Calm | Scenario::Lost => 0,
            Scenario::Moved => 1,
        };
        let mut simulation = Self {
            rates: rates(&catalog, offset),
            catalog,
            fleet: Fleet::default(),
            planner: Planner::new(PlanSettings::default()),
            window: LoadWindow::new(Millis(5_000), 1.1),
            held: BTreeMap::new(),
            in_flight: VecDeque::new(),
            now: START_MS,
        };
        // Every model is on one engine; the remaining room goes to the hot models.
        let hot: Vec<usize> = (0..models).step_by(HOT_STEP).collect();
        let slots = (0..models).chain((0..).map(|n| hot[n % hot.len()]));
        let mut slots = slots.take(engines * MODELS_PER_ENGINE);
        for number in 0..engines {
            let name = Upstream::from_text(&format!("e{number}")).expect("the name is valid");
            let lost = matches!(scenario, Scenario::Lost) && number % LOST_STEP == 0;
            let assigned: BTreeSet<Model> =
                slots.by_ref().take(MODELS_PER_ENGINE).map(model).collect();
            let held = Held {
                models: assigned
                    .iter()
                    .map(|m| (m.clone(), BTreeSet::new()))
                    .collect(),
                disk: assigned,
                ..Held::default()
            };
            let held = match lost {
                true => Held {
                    models: BTreeMap::new(),
                    ..held
                },
                false => held,
            };
            simulation.held.insert(name.clone(), held.clone());
            let centre = DataCentre::from_text("dc1").expect("the name is valid");
            let now = Millis(simulation.now);
            simulation
                .fleet
                .observe(&name, &centre, held, HeldSource::Listed, now);
        }
        simulation
    }

    /// Completes the orders that are due.
    fn finish_orders(&mut self) {
        let now = self.now;
        let (done, pending): (Vec<_>, Vec<_>) =
            self.in_flight.drain(..).partition(|(at, _)| *at <= now);
        self.in_flight = pending.into();
        for (_, order) in done {
            let Some(held) = self.held.get_mut(&order.engine) else {
                continue;
            };
            apply_order(held, &order);
            self.fleet
                .report(&order.engine, held.clone(), Millis(now), Millis(now));
        }
    }

    /// Runs one plan. Returns its time in microseconds and its number of orders.
    fn step(&mut self) -> (f64, usize) {
        self.finish_orders();
        let now = Millis(self.now);
        let started = Instant::now();
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
        let micros = started.elapsed().as_micros() as f64;
        self.planner.take_notes();
        let count = orders.len();
        for order in orders {
            self.send_order(order);
        }
        self.now += PLAN_INTERVAL_MS;
        (micros, count)
    }

    fn send_order(&mut self, order: Order) {
        let now = Millis(self.now);
        let Some(held) = self.held.get_mut(&order.engine) else {
            return;
        };
        held.seq += 1;
        let profile = &self.catalog.models[&order.model];
        let on_disk = held.disk.contains(&order.model);
        let duration = match (order.kind, &order.adapter) {
            (_, Some(_)) => Millis(20),
            (OrderKind::Unload, None) => Millis(300),
            (OrderKind::Load, None) if on_disk => profile.disk_time,
            (OrderKind::Load, None) => {
                self.window.record(now);
                profile.store_time
            }
        };
        self.fleet.record_sent(&order, now);
        self.fleet.record_reply(&order, OrderReply::Accepted, now);
        self.in_flight.push_back((self.now + duration.0, order));
    }
}

fn apply_order(held: &mut Held, order: &Order) {
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

/// The figures of one scenario.
struct Row {
    engines: usize,
    scenario: &'static str,
    median: f64,
    longest: f64,
    orders: usize,
    memory: f64,
}

fn measure(engines: usize, name: &'static str, scenario: Scenario) -> Row {
    let before = resident_kb();
    let mut simulation = Simulation::new(engines, scenario);
    let steps: Vec<(f64, usize)> = (0..PLANS).map(|_| simulation.step()).collect();
    let mut micros: Vec<f64> = steps.iter().map(|(t, _)| *t).collect();
    micros.sort_by(f64::total_cmp);
    Row {
        engines,
        scenario: name,
        median: micros[PLANS / 2],
        longest: micros[PLANS - 1],
        orders: steps.iter().map(|(_, n)| n).sum(),
        memory: resident_kb() - before,
    }
}

/// Returns the median time of a plan in microseconds after demand has moved.
pub fn cpu(engines: usize) -> f64 {
    measure(engines, "demand moved", Scenario::Moved).median
}

/// Prints the table.
///
/// # Errors
/// None; the type is that of the other commands.
pub fn run(as_json: bool) -> Result<bool> {
    let sizes = SIZES.iter();
    let rows = sizes.flat_map(|n| {
        SCENARIOS
            .iter()
            .map(|(name, scenario)| measure(*n, name, *scenario))
    });
    for row in rows {
        if as_json {
            let line = json!({"engines": row.engines, "scene": row.scenario, "median_us": row.median,
                "longest_us": row.longest, "orders": row.orders, "memory_kb": row.memory});
            println!("{line}");
            continue;
        }
        println!(
            "{:>6} engines, {:15} median {:>9.0} us, longest {:>9.0} us, {:>6} orders, {:>8.0} KB",
            row.engines, row.scenario, row.median, row.longest, row.orders, row.memory
        );
    }
    Ok(true)
}

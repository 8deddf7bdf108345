//! Simulated engines, which hold models and carry out orders.

use rand::rngs::SmallRng;
use rand::Rng;
use shaleline_fleet::{Catalog, Held, ModelProfile, Order, OrderKind, OrderReply};
use shaleline_types::{Adapter, Incarnation, Megabytes, Millis, Model, Upstream};
use std::collections::{BTreeMap, BTreeSet};

/// The number of models that an engine has room for.
const MODEL_SLOTS: usize = 3;

/// The durations of the load of an adapter and of the unload of a model.
const ADAPTER_LOAD_MS: u64 = 20;
const UNLOAD_MS: u64 = 300;

/// A model, and the requested adapter of it, if any.
pub type Key = (Model, Option<Adapter>);

/// The engines of a service and the catalogue of its models.
pub struct Engines {
    pub catalog: Catalog,
    pub all: BTreeMap<Upstream, Engine>,
}

pub struct Engine {
    pub held: Held,
    pub up: bool,
    /// The highest fencing token of an order since its start.
    fence: u64,
    /// The order for model weights in progress, and its completion time.
    work: Option<(u64, Order)>,
    /// Adapter loads in progress, and their completion times.
    pending_adapters: Vec<(u64, Order)>,
}

pub fn model(number: usize) -> Model {
    Model::from_text(&format!("m{number}")).expect("a valid name")
}

pub fn adapter(number: usize) -> Adapter {
    Adapter::from_text(&format!("a{number}")).expect("a valid name")
}

pub fn engine(number: usize) -> Upstream {
    Upstream::from_text(&format!("e{number:03}")).expect("a valid name")
}

/// Distributes adapters over models: every second model has some, and earlier models have more.
fn spread_adapters(models: usize, adapters: usize) -> Vec<usize> {
    let weight = |m: usize| match m % 2 {
        0 => 1.0 / (1.0 + m as f64 / 2.0).powf(0.8),
        _ => 0.0,
    };
    let all: f64 = (0..models).map(weight).sum();
    let quota = |m| (weight(m) / all * adapters as f64) as usize;
    let mut counts: Vec<usize> = (0..models).map(quota).collect();
    let mut left = adapters - counts.iter().sum::<usize>();
    for model in (0..models).step_by(2).cycle() {
        if left == 0 {
            break;
        }
        counts[model] += 1;
        left -= 1;
    }
    counts
}

/// A catalog with the given numbers of models and adapters.
pub fn catalog(models: usize, adapters: usize, load_rate: f64) -> Catalog {
    let counts = spread_adapters(models, adapters);
    let profile = |count: usize| ModelProfile {
        weights_size: Megabytes(70_000),
        store_time: Millis(8_000),
        disk_time: Millis(1_600),
        warm_time: Millis(800),
        adapters: (0..count).map(adapter).collect(),
        adapter_size: Megabytes(50),
    };
    Catalog {
        models: (0..models)
            .map(|m| (model(m), profile(counts[m])))
            .collect(),
        memory: Megabytes(220_000),
        adapter_slots: 8,
        load_rate,
        request_slots: 64,
        warm_memory: Megabytes(150_000),
        disk_space: Megabytes(440_000),
    }
}

impl Engines {
    /// Creates engines that hold each model once, and the first models again where there is room;
    /// no adapter is held.
    pub fn new(engines: usize, models: usize, adapters: usize, rate: f64) -> Self {
        let mut models_by_slot = (0..models).chain((0..models).cycle());
        let mut all = BTreeMap::new();
        for number in 0..engines {
            let assigned: BTreeSet<Model> = models_by_slot
                .by_ref()
                .take(MODEL_SLOTS)
                .map(model)
                .collect();
            let held = Held {
                models: assigned
                    .iter()
                    .map(|m| (m.clone(), BTreeSet::new()))
                    .collect(),
                disk: assigned,
                incarnation: Incarnation::from_millis(1),
                ..Held::default()
            };
            let new_engine = Engine {
                held,
                up: true,
                fence: 0,
                work: None,
                pending_adapters: Vec::new(),
            };
            all.insert(engine(number), new_engine);
        }
        Self {
            catalog: catalog(models, adapters, rate),
            all,
        }
    }

    /// Whether any engine serves a model or adapter.
    pub fn serves(&self, (model, adapter): &Key) -> bool {
        self.all.values().filter(|e| e.up).any(|e| {
            let held = e.held.models.get(model);
            held.is_some_and(|all| adapter.as_ref().is_none_or(|a| all.contains(a)))
        })
    }

    /// Returns an engine's reply to an order, and the completion time of an accepted order.
    pub fn accept_order(&mut self, order: &Order, now: u64) -> (OrderReply, u64) {
        let profile = &self.catalog.models[&order.model];
        let Some(engine) = self.all.get_mut(&order.engine).filter(|e| e.up) else {
            return (OrderReply::Lost, now);
        };
        if order.fence < engine.fence {
            return (OrderReply::Fenced, now);
        }
        engine.fence = order.fence;
        let held = &mut engine.held;
        let is_current = order.expect == held.seq && order.incarnation == held.incarnation;
        if !is_current || engine.work.is_some() {
            return (OrderReply::Conflict, now);
        }
        held.seq += 1;
        let duration = match (&order.adapter, order.kind) {
            (Some(adapter), OrderKind::Unload) => {
                if let Some(all) = held.models.get_mut(&order.model) {
                    all.remove(adapter);
                }
                return (OrderReply::Done, now);
            }
            (Some(_), OrderKind::Load) => {
                engine
                    .pending_adapters
                    .push((now + ADAPTER_LOAD_MS, order.clone()));
                return (OrderReply::Accepted, now + ADAPTER_LOAD_MS);
            }
            (None, OrderKind::Unload) => UNLOAD_MS,
            (None, OrderKind::Load) if held.disk.contains(&order.model) => profile.disk_time.0,
            (None, OrderKind::Load) => profile.store_time.0,
        };
        held.busy = true;
        engine.work = Some((now + duration, order.clone()));
        (OrderReply::Accepted, now + duration)
    }

    /// Carries out the orders that are due.
    pub fn complete_orders(&mut self, now: u64) {
        for engine in self.all.values_mut().filter(|e| e.up) {
            let (due, pending) = engine
                .pending_adapters
                .drain(..)
                .partition(|(at, _)| *at <= now);
            engine.pending_adapters = pending;
            let due: Vec<(u64, Order)> = due;
            let weights = engine.work.take_if(|(at, _)| *at <= now);
            engine.held.busy = engine.work.is_some();
            for (_, order) in due.into_iter().chain(weights) {
                engine.held.carry_out(order);
            }
            assert!(
                engine.held.models.len() <= MODEL_SLOTS,
                "an engine holds more models than it has room for"
            );
        }
    }

    /// Crashes an engine; only the copies on its disk survive.
    pub fn end(&mut self, name: &Upstream) {
        let engine = self.all.get_mut(name).expect("the engine exists");
        engine.up = false;
        engine.work = None;
        engine.pending_adapters.clear();
    }

    /// Restarts an engine.
    pub fn start(&mut self, name: &Upstream, now: u64) {
        let engine = self.all.get_mut(name).expect("the engine exists");
        engine.up = true;
        engine.fence = 0;
        engine.held = Held {
            disk: std::mem::take(&mut engine.held.disk),
            incarnation: Incarnation::from_millis(now),
            ..Held::default()
        };
    }
}

trait CarryOut {
    fn carry_out(&mut self, order: Order);
}

impl CarryOut for Held {
    fn carry_out(&mut self, order: Order) {
        match (order.kind, order.adapter) {
            (OrderKind::Load, None) => {
                self.models.insert(order.model.clone(), BTreeSet::new());
                self.disk.insert(order.model);
            }
            (OrderKind::Load, Some(adapter)) => {
                if let Some(all) = self.models.get_mut(&order.model) {
                    all.insert(adapter);
                }
            }
            (OrderKind::Unload, _) => {
                self.models.remove(&order.model);
            }
        }
    }
}

/// The distribution of requests over models and adapters: some models are far more popular than
/// others, and most requests are for one of a model's adapters.
pub struct Popularity {
    keys: Vec<(f64, Key)>,
}

impl Popularity {
    pub fn new(catalog: &Catalog) -> Self {
        const ADAPTER_SHARE: f64 = 0.6;
        let mut keys = Vec::new();
        let mut sum = 0.0;
        for number in 0..catalog.models.len() {
            let share = 1.0 / (number as f64 + 3.0).powf(0.9);
            let name = model(number);
            let adapters = &catalog.models[&name].adapters;
            let plain = if adapters.is_empty() {
                1.0
            } else {
                1.0 - ADAPTER_SHARE
            };
            sum += share * plain;
            keys.push((sum, (name.clone(), None)));
            for adapter in adapters {
                sum += share * ADAPTER_SHARE / adapters.len() as f64;
                keys.push((sum, (name.clone(), Some(adapter.clone()))));
            }
        }
        Self { keys }
    }

    pub fn draw(&self, rng: &mut SmallRng) -> Key {
        let all = self.keys.last().expect("there are models").0;
        let draw = rng.random_range(0.0..all);
        let index = self.keys.partition_point(|(sum, _)| *sum <= draw);
        self.keys[index.min(self.keys.len() - 1)].1.clone()
    }
}

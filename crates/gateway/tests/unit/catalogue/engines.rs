//! The engines: what they hold, and how they carry orders out.

use rand::rngs::SmallRng;
use rand::Rng;
use shaleline_fleet::{Catalog, Held, ModelProfile, Order, OrderKind, OrderReply};
use shaleline_types::{Adapter, Incarnation, Megabytes, Millis, Model, Upstream};
use std::collections::{BTreeMap, BTreeSet};

/// An engine has room for three models.
const ROOM: usize = 3;

/// How long an adapter's load and a model's drop take.
const ADAPTER_MS: u64 = 20;
const DROP_MS: u64 = 300;

/// A model, and an adapter of it where one is asked for.
pub type Key = (Model, Option<Adapter>);

/// The engines of one service and what they may hold.
pub struct Engines {
    pub catalog: Catalog,
    pub all: BTreeMap<Upstream, Engine>,
}

pub struct Engine {
    pub held: Held,
    pub up: bool,
    /// The order about weights that is under way, and when it is done.
    work: Option<(u64, Order)>,
    /// Adapters on their way.
    coming: Vec<(u64, Order)>,
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

/// So many adapters over so many models: every second model has some, the first most.
fn spread_adapters(models: usize, adapters: usize) -> Vec<usize> {
    let weight = |m: usize| match m % 2 {
        0 => 1.0 / (1.0 + m as f64 / 2.0).powf(0.8),
        _ => 0.0,
    };
    let all: f64 = (0..models).map(weight).sum();
    let part = |m| (weight(m) / all * adapters as f64) as usize;
    let mut counts: Vec<usize> = (0..models).map(part).collect();
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

fn catalog(models: usize, adapters: usize, load_rate: f64) -> Catalog {
    let counts = spread_adapters(models, adapters);
    let rule = |count: usize| ModelProfile {
        weights_size: Megabytes(70_000),
        store_time: Millis(8_000),
        disk_time: Millis(1_600),
        warm_time: Millis(800),
        adapters: (0..count).map(adapter).collect(),
        adapter_size: Megabytes(50),
    };
    Catalog {
        models: (0..models).map(|m| (model(m), rule(counts[m]))).collect(),
        memory: Megabytes(220_000),
        adapter_slots: 8,
        load_rate,
        request_slots: 64,
        warm_memory: Megabytes(150_000),
        disk_space: Megabytes(440_000),
    }
}

impl Engines {
    /// Each model is on one engine, and the first ones on as many more as there is room; no adapter is
    /// held.
    pub fn new(engines: usize, models: usize, adapters: usize, rate: f64) -> Self {
        let mut places = (0..models).chain((0..models).cycle());
        let mut all = BTreeMap::new();
        for number in 0..engines {
            let mine: BTreeSet<Model> = places.by_ref().take(ROOM).map(model).collect();
            let held = Held {
                models: mine.iter().map(|m| (m.clone(), BTreeSet::new())).collect(),
                disk: mine,
                incarnation: Incarnation::from_millis(1),
                ..Held::default()
            };
            let made = Engine {
                held,
                up: true,
                work: None,
                coming: Vec::new(),
            };
            all.insert(engine(number), made);
        }
        Self {
            catalog: catalog(models, adapters, rate),
            all,
        }
    }

    /// Whether some engine serves it.
    pub fn serves(&self, (model, adapter): &Key) -> bool {
        self.all.values().filter(|e| e.up).any(|e| {
            let held = e.held.models.get(model);
            held.is_some_and(|all| adapter.as_ref().is_none_or(|a| all.contains(a)))
        })
    }

    /// What an engine answers to an order, and when it is done where it is accepted.
    pub fn take(&mut self, order: &Order, now: u64) -> (OrderReply, u64) {
        let rule = &self.catalog.models[&order.model];
        let Some(engine) = self.all.get_mut(&order.engine).filter(|e| e.up) else {
            return (OrderReply::Lost, now);
        };
        let held = &mut engine.held;
        let fits = order.expect == held.seq && order.incarnation == held.incarnation;
        if !fits || engine.work.is_some() {
            return (OrderReply::Conflict, now);
        }
        held.seq += 1;
        let takes = match (&order.adapter, order.kind) {
            (Some(adapter), OrderKind::Unload) => {
                if let Some(all) = held.models.get_mut(&order.model) {
                    all.remove(adapter);
                }
                return (OrderReply::Done, now);
            }
            (Some(_), OrderKind::Load) => {
                engine.coming.push((now + ADAPTER_MS, order.clone()));
                return (OrderReply::Accepted, now + ADAPTER_MS);
            }
            (None, OrderKind::Unload) => DROP_MS,
            (None, OrderKind::Load) if held.disk.contains(&order.model) => rule.disk_time.0,
            (None, OrderKind::Load) => rule.store_time.0,
        };
        held.busy = true;
        engine.work = Some((now + takes, order.clone()));
        (OrderReply::Accepted, now + takes)
    }

    /// Carries out what is due.
    pub fn work(&mut self, now: u64) {
        for engine in self.all.values_mut().filter(|e| e.up) {
            let (due, open) = engine.coming.drain(..).partition(|(at, _)| *at <= now);
            engine.coming = open;
            let due: Vec<(u64, Order)> = due;
            let weights = engine.work.take_if(|(at, _)| *at <= now);
            engine.held.busy = engine.work.is_some();
            for (_, order) in due.into_iter().chain(weights) {
                engine.held.carry_out(order);
            }
            assert!(
                engine.held.models.len() <= ROOM,
                "memory is never promised twice"
            );
        }
    }

    /// Ends an engine; it starts again with a copy of what it held on its disk alone.
    pub fn end(&mut self, name: &Upstream) {
        let engine = self.all.get_mut(name).expect("it is known");
        engine.up = false;
        engine.work = None;
        engine.coming.clear();
    }

    /// Starts it again.
    pub fn start(&mut self, name: &Upstream, now: u64) {
        let engine = self.all.get_mut(name).expect("it is known");
        engine.up = true;
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

/// What callers ask for: some models far more than others, and most for one of a model's adapters.
pub struct Tail {
    keys: Vec<(f64, Key)>,
}

impl Tail {
    pub fn new(catalog: &Catalog) -> Self {
        const ADAPTED: f64 = 0.6;
        let mut keys = Vec::new();
        let mut sum = 0.0;
        for number in 0..catalog.models.len() {
            let share = 1.0 / (number as f64 + 3.0).powf(0.9);
            let name = model(number);
            let adapters = &catalog.models[&name].adapters;
            let plain = if adapters.is_empty() {
                1.0
            } else {
                1.0 - ADAPTED
            };
            sum += share * plain;
            keys.push((sum, (name.clone(), None)));
            for adapter in adapters {
                sum += share * ADAPTED / adapters.len() as f64;
                keys.push((sum, (name.clone(), Some(adapter.clone()))));
            }
        }
        Self { keys }
    }

    pub fn draw(&self, rng: &mut SmallRng) -> Key {
        let all = self.keys.last().expect("there are models").0;
        let at = rng.random_range(0.0..all);
        let found = self.keys.partition_point(|(sum, _)| *sum <= at);
        self.keys[found.min(self.keys.len() - 1)].1.clone()
    }
}

//! An engine of which orders arrive late and which starts again under its name.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shaleline_fleet::{Held, Order, OrderKind, OrderReply};
use shaleline_types::{Adapter, Incarnation, Millis, Model};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What fits into an engine: two models of the catalogue, and adapters.
pub const MODELS: usize = 2;
pub const ADAPTER_SLOTS: usize = 4;

/// The durations of loads, and the age of what an engine reports, in milliseconds.
const LOAD_MS: u64 = 1_200;
const ADAPTER_LOAD_MS: u64 = 14;
const REPORT_AGE_MS: u64 = 200;

/// How long an adapter that is in use stays after an order to unload it, in milliseconds.
const USE_MS: std::ops::Range<u64> = 400..4_400;

/// What a report shows as it is now; everything else is as it was `REPORT_AGE_MS` ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Current {
    Nothing,
    Orders,
    OrdersAndBusy,
}

/// How an engine answers orders and what its reports show.
#[derive(Debug, Clone, Copy)]
pub struct Manner {
    /// Whether it names its start time.
    pub named: bool,
    /// The share of orders to unload an adapter that find it in use.
    pub in_use: f64,
    /// Whether an order that holds already is counted.
    pub counts_done: bool,
    /// What its reports show as it is now.
    pub current: Current,
}

impl Manner {
    /// An engine that unloads adapters at once and whose reports are consistent.
    pub const SIMPLE: Self = Self {
        named: true,
        in_use: 0.0,
        counts_done: true,
        current: Current::Nothing,
    };
}

/// One engine.
pub struct SimulatedEngine {
    manner: Manner,
    rng: StdRng,
    started: u64,
    now: u64,
    seq: u64,
    fence: u64,
    models: BTreeMap<Model, BTreeSet<Adapter>>,
    loading: Option<(Model, u64)>,
    loading_adapters: BTreeMap<(Model, Adapter), u64>,
    /// Adapters that are unloaded once their requests have ended, and when that is.
    in_use: BTreeMap<(Model, Adapter), u64>,
    /// Past states, the latest last, each with its time.
    past: VecDeque<(u64, Held)>,
    /// The orders that exceeded its room.
    pub overloads: Vec<String>,
    /// The number of accepted loads.
    pub loads: usize,
}

impl SimulatedEngine {
    /// Creates an empty engine.
    pub fn new(manner: Manner, seed: u64, now: u64) -> Self {
        let mut engine = Self {
            manner,
            rng: StdRng::seed_from_u64(seed),
            started: now,
            now,
            seq: 0,
            fence: 0,
            models: BTreeMap::new(),
            loading: None,
            loading_adapters: BTreeMap::new(),
            in_use: BTreeMap::new(),
            past: VecDeque::new(),
            overloads: Vec::new(),
            loads: 0,
        };
        engine.past.push_back((0, engine.held()));
        engine
    }

    /// Starts it again: it holds nothing and has accepted no order.
    pub fn restart(&mut self, now: u64) {
        let overloads = std::mem::take(&mut self.overloads);
        let seed = self.rng.random();
        *self = Self {
            overloads,
            loads: self.loads,
            ..Self::new(self.manner, seed, now)
        };
    }

    /// What it holds now.
    pub fn held(&self) -> Held {
        Held {
            models: self.models.clone(),
            loading_adapters: self.reported_loads(),
            seq: self.seq,
            busy: self.loading.is_some(),
            incarnation: match self.manner.named {
                true => Incarnation::from_millis(self.started),
                false => Incarnation::default(),
            },
            ..Held::default()
        }
    }

    /// The adapters that it reports as being loaded: an order is counted some milliseconds before its
    /// effect is shown.
    fn reported_loads(&self) -> BTreeSet<(Model, Adapter)> {
        let loads = self.loading_adapters.iter();
        let shown = loads.filter(|(_, end)| **end < self.now + ADAPTER_LOAD_MS);
        shown.map(|(key, _)| key.clone()).collect()
    }

    /// What it reports: its state of some time ago, apart from what is current.
    pub fn report(&self, now: u64) -> Held {
        let until = now.saturating_sub(REPORT_AGE_MS);
        let past = self.past.iter().rev().find(|(at, _)| *at <= until);
        let past = past
            .or(self.past.front())
            .map(|(_, held)| held.clone())
            .expect("the state at the start");
        let (seq, busy) = match self.manner.current {
            Current::Nothing => (past.seq, past.busy),
            Current::Orders => (self.seq, past.busy),
            Current::OrdersAndBusy => (self.seq, self.loading.is_some()),
        };
        Held { seq, busy, ..past }
    }

    /// Completes loads and unloads that are due.
    pub fn advance(&mut self, now: u64) {
        self.now = now;
        if let Some((model, _)) = self.loading.take_if(|(_, at)| *at <= now) {
            self.models.insert(model, BTreeSet::new());
        }
        for ((model, adapter), at) in &self.loading_adapters {
            let adapters = self.models.get_mut(model).filter(|_| *at <= now);
            adapters.map(|a| a.insert(adapter.clone()));
        }
        self.loading_adapters.retain(|_, at| *at > now);
        for ((model, adapter), at) in &self.in_use {
            let adapters = self.models.get_mut(model).filter(|_| *at <= now);
            adapters.map(|a| a.remove(adapter));
        }
        self.in_use.retain(|_, at| *at > now);
        self.past.push_back((now, self.held()));
        while self.past.len() > 2 && self.past[1].0 + REPORT_AGE_MS <= now {
            self.past.pop_front();
        }
    }

    /// Carries out an order if its conditions hold.
    pub fn accept(&mut self, order: &Order, now: Millis) -> OrderReply {
        if order.fence < self.fence {
            return OrderReply::Fenced;
        }
        self.fence = order.fence;
        if self.loading.is_some() || order.expect != self.seq {
            return OrderReply::Conflict;
        }
        let (reply, holds) = match (order.kind, &order.adapter) {
            (OrderKind::Load, None) => self.load(&order.model, now.0),
            (OrderKind::Load, Some(adapter)) => self.load_adapter(&order.model, adapter, now.0),
            (OrderKind::Unload, None) => self.unload(&order.model),
            (OrderKind::Unload, Some(adapter)) => self.unload_adapter(&order.model, adapter, now.0),
        };
        if matches!(reply, OrderReply::Accepted | OrderReply::Done) {
            self.seq += u64::from(!holds || self.manner.counts_done);
            self.loads += usize::from(!holds && order.kind == OrderKind::Load);
            self.check_room(order);
            self.past.push_back((now.0, self.held()));
        }
        reply
    }

    fn load(&mut self, model: &Model, now: u64) -> (OrderReply, bool) {
        if self.models.contains_key(model) {
            return (OrderReply::Done, true);
        }
        self.loading = Some((model.clone(), now + LOAD_MS));
        (OrderReply::Accepted, false)
    }

    fn load_adapter(&mut self, model: &Model, adapter: &Adapter, now: u64) -> (OrderReply, bool) {
        let Some(adapters) = self.models.get(model) else {
            return (OrderReply::Invalid, false);
        };
        if adapters.contains(adapter) {
            return (OrderReply::Done, true);
        }
        let key = (model.clone(), adapter.clone());
        self.loading_adapters.insert(key, now + ADAPTER_LOAD_MS);
        (OrderReply::Accepted, false)
    }

    fn unload(&mut self, model: &Model) -> (OrderReply, bool) {
        self.loading_adapters.retain(|(m, _), _| m != model);
        self.in_use.retain(|(m, _), _| m != model);
        match self.models.remove(model) {
            Some(_) => (OrderReply::Accepted, false),
            None => (OrderReply::Done, true),
        }
    }

    /// Unloads an adapter: at once, or when its requests have ended. An order to do what is already
    /// ordered holds.
    fn unload_adapter(&mut self, model: &Model, adapter: &Adapter, now: u64) -> (OrderReply, bool) {
        let key = (model.clone(), adapter.clone());
        let adapters = self.models.get_mut(model);
        let Some(adapters) = adapters.filter(|a| a.contains(adapter)) else {
            return (OrderReply::Done, true);
        };
        if self.in_use.contains_key(&key) {
            return (OrderReply::Done, true);
        }
        if self.manner.in_use > 0.0 && self.rng.random_bool(self.manner.in_use) {
            let end = now + self.rng.random_range(USE_MS);
            self.in_use.insert(key, end);
            return (OrderReply::Accepted, false);
        }
        adapters.remove(adapter);
        (OrderReply::Done, false)
    }

    fn check_room(&mut self, order: &Order) {
        let models = self.models.len() + usize::from(self.loading.is_some());
        let held: usize = self.models.values().map(BTreeSet::len).sum();
        let adapters = held + self.loading_adapters.len();
        if models > MODELS || adapters > ADAPTER_SLOTS {
            let text = format!("{order}: {models} models, {adapters} adapters");
            self.overloads.push(text);
        }
    }
}

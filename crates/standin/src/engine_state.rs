//! An engine without its server: memory, orders, prefix cache.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_border::{CacheEvents, UpstreamReport};
use shaleline_place::{EngineReport, Item, Order, OrderEnd, OrderKind, Resident};
use shaleline_types::{DataCentre, Megabytes, Offset, Upstream};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const ORDERS_KEPT: usize = 256;
const EVENTS_KEPT: usize = 256;

/// On average, one in this many cache events is not published.
const EVENT_GAP: u32 = 8;

/// The speed of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Milliseconds to read one block of a prompt that is not cached.
    pub block: f64,
    /// Milliseconds of one step with one sequence.
    pub step: f64,
    /// Milliseconds that each further sequence adds to a step.
    pub more: f64,
}

/// The specification of an engine.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// The name of the engine.
    pub name: Upstream,
    /// The data centre of the engine.
    pub centre: DataCentre,
    /// The memory of its accelerator.
    pub memory: Megabytes,
    /// Whether it refuses old fencing numbers.
    pub checks: bool,
    /// The number of sequences that it runs concurrently.
    pub slots: usize,
    /// The capacity of its prefix cache, in blocks.
    pub blocks: usize,
    /// The speed of the engine.
    pub pace: Pace,
}

/// An engine's state.
#[derive(Debug)]
pub struct EngineState {
    spec: EngineSpec,
    incarnation: u64,
    resident: BTreeMap<Item, Megabytes>,
    loading: BTreeMap<Item, Megabytes>,
    draining: BTreeSet<Item>,
    orders: BTreeMap<Offset, OrderEnd>,
    highest: Offset,
    running: BTreeMap<Item, usize>,
    waiting: usize,
    cache: VecDeque<u64>,
    events: VecDeque<u64>,
    leaving: bool,
    refused: u64,
    rng: SmallRng,
}

impl EngineState {
    /// Creates an engine without resident models.
    #[must_use]
    pub fn new(spec: EngineSpec, seed: u64) -> Self {
        Self {
            spec,
            incarnation: 1,
            resident: BTreeMap::new(),
            loading: BTreeMap::new(),
            draining: BTreeSet::new(),
            orders: BTreeMap::new(),
            highest: Offset(0),
            running: BTreeMap::new(),
            waiting: 0,
            cache: VecDeque::new(),
            events: VecDeque::new(),
            leaving: false,
            refused: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the specification of the engine.
    #[must_use]
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Returns its incarnation.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Starts a new incarnation without resident models.
    pub fn restart(&mut self) {
        let refused = self.refused;
        let seed = self.rng.random();
        let incarnation = self.incarnation + 1;
        *self = Self::new(self.spec.clone(), seed);
        self.incarnation = incarnation;
        self.refused = refused;
    }

    /// Sets whether it reports that it is leaving.
    pub fn set_leaving(&mut self, on: bool) {
        self.leaving = on;
    }

    /// Memory in use.
    #[must_use]
    pub fn used(&self) -> Megabytes {
        let sizes = self.resident.values().chain(self.loading.values());
        Megabytes(sizes.map(|m| m.0).sum())
    }

    /// Returns the number of orders that were refused because they would have exceeded its memory.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Accepts an order. Returns the item to load if a load begins. An engine that ignores fencing
    /// numbers also carries out a late copy of an old order.
    pub fn take(&mut self, order: &Order) -> Option<(Item, Megabytes)> {
        if self.spec.checks && self.orders.contains_key(&order.number) {
            return None;
        }
        if self.spec.checks && order.number < self.highest {
            self.end_order(order.number, OrderEnd::Failed);
            return None;
        }
        self.highest = self.highest.max(order.number);
        match (order.kind, &order.item) {
            (OrderKind::NoOp, _) => self.end_order(order.number, OrderEnd::Done),
            (OrderKind::Load, Some(item)) => return self.begin_load(order, item),
            (OrderKind::Unload, Some(item)) => self.begin_unload(order.number, item),
            (_, None) => self.end_order(order.number, OrderEnd::Failed),
        }
        None
    }

    fn begin_load(&mut self, order: &Order, item: &Item) -> Option<(Item, Megabytes)> {
        if self.resident.contains_key(item) {
            self.draining.remove(item);
            self.end_order(order.number, OrderEnd::Done);
            return None;
        }
        if self.loading.contains_key(item) {
            return None;
        }
        if self.used().0 + order.size.0 > self.spec.memory.0 {
            self.refused += 1;
            self.end_order(order.number, OrderEnd::Failed);
            return None;
        }
        self.loading.insert(item.clone(), order.size);
        Some((item.clone(), order.size))
    }

    /// Records the end of a load.
    pub fn end_load(&mut self, incarnation: u64, number: Offset, item: &Item) {
        if incarnation != self.incarnation {
            return;
        }
        if let Some(size) = self.loading.remove(item) {
            self.resident.insert(item.clone(), size);
            self.end_order(number, OrderEnd::Done);
        }
    }

    fn begin_unload(&mut self, number: Offset, item: &Item) {
        let busy = self.running.get(item).is_some_and(|n| *n > 0);
        if busy {
            self.draining.insert(item.clone());
            return;
        }
        self.resident.remove(item);
        self.draining.remove(item);
        self.end_order(number, OrderEnd::Done);
    }

    fn end_order(&mut self, number: Offset, end: OrderEnd) {
        self.orders.insert(number, end);
        while self.orders.len() > ORDERS_KEPT {
            self.orders.pop_first();
        }
    }

    /// Whether it holds or loads the item.
    #[must_use]
    pub fn holds(&self, item: &Item) -> bool {
        self.resident.contains_key(item) || self.loading.contains_key(item)
    }

    /// Whether it would run a request for the item now.
    #[must_use]
    pub fn serves(&self, item: &Item) -> bool {
        self.resident.contains_key(item) && !self.draining.contains(item)
    }

    /// Adds a sequence that waits for a slot.
    pub fn wait(&mut self) {
        self.waiting += 1;
    }

    /// Starts a sequence. Returns the time to process its prompt, in milliseconds.
    pub fn start(&mut self, item: &Item, blocks: &[u64], total: usize) -> f64 {
        self.waiting = self.waiting.saturating_sub(1);
        *self.running.entry(item.clone()).or_default() += 1;
        let cached = blocks.iter().take_while(|b| self.cache.contains(b)).count();
        for block in blocks {
            if !self.cache.contains(block) {
                self.cache.push_back(*block);
                self.publish(*block);
            }
        }
        while self.cache.len() > self.spec.blocks {
            self.cache.pop_front();
        }
        total.saturating_sub(cached) as f64 * self.spec.pace.block
    }

    fn publish(&mut self, block: u64) {
        if self.rng.random_range(0..EVENT_GAP) != 0 {
            self.events.push_back(block);
        }
        while self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }

    /// Removes a sequence that was waiting.
    pub fn leave(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Ends a running sequence.
    pub fn end(&mut self, item: &Item) {
        if let Some(n) = self.running.get_mut(item) {
            *n = n.saturating_sub(1);
        }
    }

    /// Returns the number of running sequences.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.running.values().sum()
    }

    /// Returns the duration of a step with the sequences that run now, in milliseconds.
    #[must_use]
    pub fn step_ms(&self) -> f64 {
        let others = self.busy().saturating_sub(1) as f64;
        self.spec.pace.step + others * self.spec.pace.more
    }

    /// Returns its report and clears the published cache events.
    pub fn report(&mut self) -> UpstreamReport {
        let pair = |(item, size): (&Item, &Megabytes)| Resident {
            item: item.clone(),
            size: *size,
        };
        let ready = self
            .resident
            .iter()
            .filter(|(i, _)| !self.draining.contains(*i));
        let engine = EngineReport {
            incarnation: self.incarnation,
            memory: self.spec.memory,
            checks_fence: self.spec.checks,
            leaving: self.leaving,
            resident: ready.map(pair).collect(),
            loading: self.loading.iter().map(pair).collect(),
            orders: self.orders.clone(),
        };
        UpstreamReport {
            running: self.busy(),
            waiting: self.waiting,
            slots: self.spec.slots,
            leaving: self.leaving,
            used: self.used().0,
            engine: Some(engine),
            cache: CacheEvents {
                blocks: self.events.drain(..).collect(),
            },
        }
    }
}

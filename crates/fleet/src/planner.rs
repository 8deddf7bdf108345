//! Proposes which engine loads or unloads which model or adapter.
//!
//! Each call plans from the current state of the fleet, including pending orders, and proposes the
//! next step for engines that are not busy. Between calls a planner keeps only the reservations of
//! engines that are making room, the models and adapters with unmet demand, the adapters that were
//! evicted, the engines that left recently, and summaries of engines that have not changed.
//! `snapshot` is the input of a plan and `draft` its decisions so far; `moves` decides about
//! weights, `adapters` about adapters, `prefetch` about adapters without a request so far, and
//! `warmup` about the time before the first traffic. `docs/PLACEMENT.md` lists the alternatives
//! considered.

use crate::churn::Churn;
use crate::draft::Draft;
use crate::engine_summary::EngineSummaries;
use crate::model_absence::AbsenceTracker;
use crate::model_index::ModelIndex;
use crate::prefetch::EvictedAdapters;
use crate::snapshot::Snapshot;
use crate::valuation::Valuation;
use crate::waits::WaitTracker;
use crate::warmup::WarmupPhase;
use crate::{Catalog, Engine, Fleet, LoadWindow, Order, PlanNote, Rates, UnmetByKey};
use shaleline_types::{Millis, Model, Upstream};
use std::collections::BTreeMap;

/// Limits for adapters.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanSettings {
    /// The target number of replicas of a requested adapter.
    pub adapter_replicas: usize,
    /// The maximum number of adapters that may be loading at one engine.
    pub pending_adapters: usize,
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            adapter_replicas: 2,
            pending_adapters: 3,
        }
    }
}

/// The input of a plan.
#[derive(Debug)]
pub struct PlanView<'a> {
    /// The models and the capacity of an engine.
    pub catalog: &'a Catalog,
    /// The engines.
    pub fleet: &'a Fleet,
    /// The request rates.
    pub rates: &'a Rates,
    /// The unmet demand.
    pub unmet: &'a UnmetByKey,
    /// The fencing token of the orders.
    pub fence: u64,
    /// The name of the daemon that sends the orders.
    pub holder: &'a str,
    /// Whether copies may be spread before the first traffic.
    pub warmup: WarmupPhase,
    /// Engines that recently had an order from the previous planner, and the time until which they
    /// get none from this one.
    pub cooldowns: &'a BTreeMap<Upstream, Millis>,
    /// Whether the previous planner failed recently. This one may fail too, and then no daemon
    /// plans when callers retry after the time announced to them.
    pub after_failure: bool,
}

/// Proposes orders.
#[derive(Debug, Default)]
pub struct Planner {
    settings: PlanSettings,
    reservations: BTreeMap<Upstream, Reservation>,
    absences: AbsenceTracker,
    waits: WaitTracker,
    churn: Churn,
    evicted: EvictedAdapters,
    notes: Vec<PlanNote>,
    /// The model numbers of the catalog of the previous plan.
    model_index: Option<ModelIndex>,
    summaries: EngineSummaries,
}

/// A model for which an engine is making room.
#[derive(Debug, Clone)]
struct Reservation {
    model: Model,
    since: Millis,
}

/// An order to make room is sent at most this long after it was planned, since the other daemons
/// are informed first.
const DISPATCH_MS: u64 = 400;

/// A reservation lapses if the room has not been made within this time.
const RESERVATION_MS: u64 = 6_000;

impl Reservation {
    /// Whether the engine is still making room.
    fn is_active(&self, engine: Option<&Engine>, now: Millis) -> bool {
        let age = now.since(self.since);
        let making_room = engine.is_some_and(|e| e.is_available() && !e.takes_orders());
        age < DISPATCH_MS || (making_room && age < RESERVATION_MS)
    }
}

impl Planner {
    /// Creates a planner with these settings.
    #[must_use]
    pub fn new(settings: PlanSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the orders to send now: at most one about weights and one about an adapter for each
    /// engine.
    #[must_use]
    pub fn plan(
        &mut self,
        view: &PlanView<'_>,
        window: &mut LoadWindow,
        now: Millis,
    ) -> Vec<Order> {
        self.reservations
            .retain(|name, reservation| reservation.is_active(view.fleet.get(name), now));
        self.churn.observe(view.fleet, now);
        let is_current = self
            .model_index
            .as_ref()
            .is_some_and(|n| n.covers(view.catalog));
        if !is_current {
            self.model_index = None;
            self.summaries.clear();
            self.evicted.clear();
        }
        let model_index = self
            .model_index
            .get_or_insert_with(|| ModelIndex::new(view.catalog));
        self.summaries
            .refresh(view.fleet, view.catalog, model_index);
        let snapshot = Snapshot::new(view, model_index, &self.summaries, now);
        let reservation = |name: &Upstream| {
            let reservation = self.reservations.get(name)?;
            model_index.get(&reservation.model)
        };
        let mut draft = Draft::new(&snapshot, self.settings, reservation);
        draft.loads = window.available(view.catalog.load_rate, now);
        draft.load_capacity = window.capacity(view.catalog.load_rate);
        draft.notes = self.absences.observe(&draft);
        draft.unmet_callers = self.absences.unmet_callers(&snapshot);
        draft.waiting = self.waits.observe(view, &draft.adapter_copies, now);
        let mut valuation = Valuation::new(&draft, &self.churn);
        // An adapter loads within milliseconds, but an engine that loads weights takes no adapter
        // for seconds. So adapters that no engine holds go before weights, and further copies after
        // them.
        let demands = draft.adapter_demands();
        draft.load_adapters(&valuation, &demands, 1);
        draft.plan_moves(&mut valuation);
        draft.load_adapters(&valuation, &demands, self.settings.adapter_replicas);
        draft.run_warmup();
        draft.prefetch_adapters(&self.evicted);
        let wait_notes = self.waits.report(&draft);
        self.notes.extend(wait_notes);
        let Draft {
            orders,
            reserved,
            notes,
            ..
        } = draft;
        self.notes.extend(notes);
        self.evicted.record(&orders);
        for (name, model) in reserved {
            let reservation = Reservation { model, since: now };
            self.reservations.insert(name, reservation);
        }
        orders
    }

    /// Takes the decisions made since the last call, with their reasons.
    pub fn take_notes(&mut self) -> Vec<PlanNote> {
        std::mem::take(&mut self.notes)
    }
}

//! The decisions of a plan while it is made.

use crate::adapters::{count_copies, AdapterCopies};
use crate::snapshot::Snapshot;
use crate::waits::AdapterWaits;
use crate::{ModelProfile, Order, OrderKind, PlanNote, PlanSettings};
use shaleline_types::{Adapter, Millis, Model, Upstream};

/// A plan waits for an engine that is busy loading a model if it is done within this time.
const MAX_WAIT: Millis = Millis(1_500);

/// The decisions of a plan so far.
pub(crate) struct Draft<'a> {
    pub(crate) snapshot: &'a Snapshot<'a>,
    pub(crate) settings: PlanSettings,
    /// The number of engines that serve each model, or will soon.
    pub(crate) replicas: Vec<usize>,
    /// The loads from the weight store that may begin.
    pub(crate) loads: usize,
    /// The loads from the weight store that may begin in a whole window.
    pub(crate) load_capacity: usize,
    /// Whether each engine has an order in this plan, by engine number.
    pub(crate) ordered: Vec<bool>,
    /// The slots that adapters of this plan await, by engine number.
    pub(crate) awaited: Vec<usize>,
    /// Engines that could be ordered about weights when the plan began, at once or soon.
    open: Vec<usize>,
    /// The models for which earlier plans had engines make room, by engine number.
    reservations: Vec<Option<usize>>,
    /// The reservations of this plan.
    pub(crate) reserved: Vec<(Upstream, Model)>,
    pub(crate) orders: Vec<Order>,
    pub(crate) notes: Vec<PlanNote>,
    /// The number of unserved callers of each model without a replica.
    pub(crate) unmet_callers: Vec<f64>,
    /// The number of engines that hold each adapter: the only copy is worth more than one of
    /// several.
    pub(crate) adapter_copies: AdapterCopies<'a>,
    /// The adapters that callers wait for.
    pub(crate) waiting: AdapterWaits<'a>,
}

impl<'a> Draft<'a> {
    /// Creates an empty draft; `reservations` returns the model for which an engine is making room.
    pub(crate) fn new(
        snapshot: &'a Snapshot<'a>,
        settings: PlanSettings,
        reservations: impl Fn(&Upstream) -> Option<usize>,
    ) -> Self {
        let models = 0..snapshot.models.len();
        let reservations = snapshot.engines.iter().map(|p| reservations(p.name));
        let mut draft = Self {
            replicas: models.map(|m| snapshot.replicas(m)).collect(),
            settings,
            loads: 0,
            load_capacity: 0,
            ordered: vec![false; snapshot.engines.len()],
            awaited: vec![0; snapshot.engines.len()],
            reservations: reservations.collect(),
            reserved: Vec::new(),
            orders: Vec::new(),
            notes: Vec::new(),
            unmet_callers: Vec::new(),
            waiting: AdapterWaits::default(),
            adapter_copies: count_copies(snapshot.engines.iter().map(|p| p.engine)),
            open: Vec::new(),
            snapshot,
        };
        let engines = 0..snapshot.engines.len();
        draft.open = engines.filter(|p| draft.wait_time(*p).is_some()).collect();
        draft
    }

    /// Engines that could be ordered about weights when the plan began, at once or soon.
    pub(crate) fn open_engines(&self) -> impl Iterator<Item = usize> + '_ {
        self.open.iter().copied()
    }

    /// The model for which the engine is making room.
    pub(crate) fn reservation(&self, index: usize) -> Option<usize> {
        self.reservations[index]
    }

    /// Records that the engine makes room for the model.
    pub(crate) fn reserve(&mut self, index: usize, model: &Model) {
        let name = self.snapshot.engines[index].name;
        self.reserved.push((name.clone(), model.clone()));
    }

    /// How long an engine is busy with earlier orders; none if it takes no order soon.
    pub(crate) fn wait_time(&self, index: usize) -> Option<Millis> {
        if self.ordered[index] || self.reservations[index].is_some() {
            return None;
        }
        let entry = self.snapshot.engines[index];
        let busy = if entry.summary.takes_orders {
            Millis(0)
        } else {
            let until = entry.summary.busy_until?;
            Millis(until.since(self.snapshot.now).max(1))
        };
        Some(entry.cooldown.max(busy)).filter(|left| *left <= MAX_WAIT)
    }

    /// Whether the engine may be ordered now, and this plan has not done so yet.
    pub(crate) fn is_free(&self, index: usize) -> bool {
        let entry = self.snapshot.engines[index];
        entry.summary.takes_orders && !self.ordered[index] && entry.cooldown == Millis(0)
    }

    /// Engines that may be ordered about weights.
    pub(crate) fn free_engines(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.ordered.len()).filter(|p| self.is_free(*p))
    }

    pub(crate) fn has_room(&self, index: usize, profile: &ModelProfile) -> bool {
        profile.weights_size <= self.snapshot.engines[index].summary.room
    }

    pub(crate) fn order(
        &mut self,
        index: usize,
        kind: OrderKind,
        model: &Model,
        adapter: Option<&Adapter>,
    ) {
        let entry = self.snapshot.engines[index];
        let view = self.snapshot.view;
        self.orders.push(Order {
            engine: entry.name.clone(),
            kind,
            model: model.clone(),
            adapter: adapter.cloned(),
            incarnation: entry.engine.held().incarnation,
            expect: entry.engine.held().seq,
            fence: view.fence,
            holder: view.holder.to_owned(),
        });
    }
}

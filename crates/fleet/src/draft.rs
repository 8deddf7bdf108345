//! The orders of one plan as it is made.

use crate::adapters::{count_copies, AdapterCopies};
use crate::snapshot::Snapshot;
use crate::waits::Waiting;
use crate::{ModelProfile, Order, OrderKind, PlanNote, PlanSettings};
use shaleline_types::{Adapter, Millis, Model, Upstream};

/// An engine that loads a model is worth waiting for if it is done within this time.
const WAIT: Millis = Millis(1_500);

/// What a plan has decided so far.
pub(crate) struct Draft<'a> {
    pub(crate) snapshot: &'a Snapshot<'a>,
    pub(crate) settings: PlanSettings,
    /// How many engines serve each model, or will soon.
    pub(crate) replicas: Vec<usize>,
    /// Loads from the weight store that may begin.
    pub(crate) loads: usize,
    /// Loads from the weight store that may begin in a whole window.
    pub(crate) most_loads: usize,
    /// Engines that have an order in this plan, by place.
    pub(crate) taken: Vec<bool>,
    /// Engines that might be ordered about weights when the plan began, now or soon.
    open: Vec<usize>,
    /// The models for which plans before this one had engines make room, by place.
    intents: Vec<Option<usize>>,
    /// Those of this plan.
    pub(crate) intended: Vec<(Upstream, Model)>,
    pub(crate) orders: Vec<Order>,
    pub(crate) notes: Vec<PlanNote>,
    /// How many callers came in vain for each model that is away.
    pub(crate) in_vain: Vec<f64>,
    /// How many engines have each adapter: the last one is missed more than one of several.
    pub(crate) adapter_copies: AdapterCopies<'a>,
    /// The adapters that callers wait for.
    pub(crate) waiting: Waiting<'a>,
}

impl<'a> Draft<'a> {
    /// An empty draft; `intents` says for which model each engine is making room.
    pub(crate) fn new(
        snapshot: &'a Snapshot<'a>,
        settings: PlanSettings,
        intents: impl Fn(&Upstream) -> Option<usize>,
    ) -> Self {
        let models = 0..snapshot.models.len();
        let intents = snapshot.places.iter().map(|p| intents(p.name));
        let mut draft = Self {
            replicas: models.map(|m| snapshot.replicas(m)).collect(),
            settings,
            loads: 0,
            most_loads: 0,
            taken: vec![false; snapshot.places.len()],
            intents: intents.collect(),
            intended: Vec::new(),
            orders: Vec::new(),
            notes: Vec::new(),
            in_vain: Vec::new(),
            waiting: Waiting::default(),
            adapter_copies: count_copies(snapshot.places.iter().map(|p| p.engine)),
            open: Vec::new(),
            snapshot,
        };
        let places = 0..snapshot.places.len();
        draft.open = places.filter(|p| draft.wait_for(*p).is_some()).collect();
        draft
    }

    /// Engines that might be ordered about weights when the plan began, now or soon.
    pub(crate) fn open_places(&self) -> impl Iterator<Item = usize> + '_ {
        self.open.iter().copied()
    }

    /// The model for which the engine is making room.
    pub(crate) fn intent(&self, place: usize) -> Option<usize> {
        self.intents[place]
    }

    /// Notes that the engine makes room for the model.
    pub(crate) fn intend(&mut self, place: usize, model: &Model) {
        let name = self.snapshot.places[place].name;
        self.intended.push((name.clone(), model.clone()));
    }

    /// How long an engine is busy with what was ordered before; none where it takes no
    /// order soon.
    pub(crate) fn wait_for(&self, place: usize) -> Option<Millis> {
        if self.taken[place] || self.intents[place].is_some() {
            return None;
        }
        let site = self.snapshot.places[place];
        let busy = if site.row.takes_orders {
            Millis(0)
        } else {
            let until = site.row.busy_until?;
            Millis(until.since(self.snapshot.now).max(1))
        };
        Some(site.rest.max(busy)).filter(|left| *left <= WAIT)
    }

    /// Whether the engine may be ordered now, and this plan has not done so yet.
    pub(crate) fn is_free(&self, place: usize) -> bool {
        let site = self.snapshot.places[place];
        site.row.takes_orders && !self.taken[place] && site.rest == Millis(0)
    }

    /// Engines that may be ordered about weights.
    pub(crate) fn free_places(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.taken.len()).filter(|p| self.is_free(*p))
    }

    pub(crate) fn has_room(&self, place: usize, rule: &ModelProfile) -> bool {
        rule.weights_size <= self.snapshot.places[place].row.room
    }

    pub(crate) fn order(
        &mut self,
        place: usize,
        kind: OrderKind,
        model: &Model,
        adapter: Option<&Adapter>,
    ) {
        let site = self.snapshot.places[place];
        let view = self.snapshot.view;
        self.orders.push(Order {
            engine: site.name.clone(),
            kind,
            model: model.clone(),
            adapter: adapter.cloned(),
            incarnation: site.engine.held().incarnation,
            expect: site.engine.held().seq,
            fence: view.fence,
            holder: view.holder.to_owned(),
        });
    }
}

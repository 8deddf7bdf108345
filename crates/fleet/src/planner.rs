//! Proposes which engine loads or drops what.
//!
//! Each call looks at the fleet as it is, orders in doubt included, and proposes the next
//! step for engines that are not busy. What is remembered is for which model an engine is
//! making room, which models callers ask for in vain, and which engines left lately. `moves` decides about weights, `adapt` about adapters, `spread` about
//! the time before the first traffic. `docs/PLACEMENT.md` has what was weighed.

use crate::absence::Absences;
use crate::churn::Churn;
use crate::moves::Board;
use crate::spread::LeadTime;
use crate::{
    Catalog, Engine, Fleet, LoadWindow, ModelRule, Order, OrderKind, PlanNote, Rate, Rates,
};
use shaleline_types::{Adapter, Millis, Model, Upstream};
use std::collections::{BTreeMap, BTreeSet};

/// The figures that weigh moves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanSettings {
    /// The replicas of an adapter that is asked for.
    pub adapters: usize,
    /// How many adapters may be on their way to one engine.
    pub transit: usize,
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            adapters: 2,
            transit: 3,
        }
    }
}

/// What a plan looks at.
#[derive(Debug)]
pub struct PlanView<'a> {
    /// The models and the room on an engine.
    pub catalog: &'a Catalog,
    /// The engines.
    pub fleet: &'a Fleet,
    /// What is asked for.
    pub rates: &'a Rates,
    /// The fencing token to order with.
    pub fence: u64,
    /// Who orders.
    pub holder: &'a str,
    /// Whether copies may be spread before the first traffic.
    pub lead: LeadTime,
    /// Engines that a planner before ordered a moment ago, and until when they are left
    /// alone.
    pub resting: &'a BTreeMap<Upstream, Millis>,
}

/// Proposes orders.
#[derive(Debug, Default)]
pub struct Planner {
    settings: PlanSettings,
    intents: BTreeMap<Upstream, Intent>,
    absences: Absences,
    churn: Churn,
    notes: Vec<PlanNote>,
}

/// The model for which an engine is making room.
#[derive(Debug, Clone)]
struct Intent {
    model: Model,
    since: Millis,
}

/// An order to make room leaves so much later at the most: other daemons are told first.
const LEAVES_MS: u64 = 400;

/// Room that was not made by then is not counted on any more.
const FORGET_MS: u64 = 6_000;

impl Intent {
    /// Whether the engine is still making room.
    fn holds(&self, engine: Option<&Engine>, now: Millis) -> bool {
        let age = now.since(self.since);
        let making = engine.is_some_and(|e| e.counts() && !e.takes_orders());
        age < LEAVES_MS || (making && age < FORGET_MS)
    }
}

impl Planner {
    /// A planner with these figures.
    #[must_use]
    pub fn new(settings: PlanSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// The orders to give now, at most one about weights and one about an adapter for
    /// each engine.
    #[must_use]
    pub fn plan(
        &mut self,
        view: &PlanView<'_>,
        window: &mut LoadWindow,
        now: Millis,
    ) -> Vec<Order> {
        self.intents
            .retain(|name, intent| intent.holds(view.fleet.get(name), now));
        let mut draft = Draft::new(view, self.settings, &self.intents, now);
        draft.loads = window.room(view.catalog.rate, now);
        draft.most_loads = window.most(view.catalog.rate);
        self.churn.observe(view.fleet, now);
        draft.notes = self.absences.observe(&draft);
        draft.in_vain = self.absences.in_vain();
        let mut board = Board::new(&draft, &self.churn);
        // An adapter is there within milliseconds; an engine that loads weights takes none for
        // seconds. So those that are nowhere go before weights, further copies after them.
        draft.adapt(&board, 1);
        draft.make_moves(&mut board);
        draft.adapt(&board, self.settings.adapters);
        draft.use_lead();
        let Draft {
            orders,
            intended,
            notes,
            ..
        } = draft;
        self.notes.extend(notes);
        for (name, model) in intended {
            let intent = Intent { model, since: now };
            self.intents.insert(name, intent);
        }
        orders
    }

    /// What was decided since this was asked last, and why.
    pub fn take_notes(&mut self) -> Vec<PlanNote> {
        std::mem::take(&mut self.notes)
    }
}

pub(crate) struct Draft<'a> {
    pub(crate) view: &'a PlanView<'a>,
    pub(crate) settings: PlanSettings,
    /// What is asked for, by model, adapters together.
    pub(crate) asked: BTreeMap<&'a Model, Rate>,
    pub(crate) replicas: BTreeMap<&'a Model, usize>,
    /// Loads from the weight store that may begin.
    pub(crate) loads: usize,
    /// Loads from the weight store that may begin in a whole window.
    pub(crate) most_loads: usize,
    /// Models that this plan copies to another engine.
    pub(crate) copying: BTreeSet<&'a Model>,
    /// Engines that have an order in this plan.
    pub(crate) taken: BTreeSet<&'a Upstream>,
    /// The engines that plans before this one had make room, and for what.
    intents: &'a BTreeMap<Upstream, Intent>,
    /// Those of this plan.
    intended: Vec<(Upstream, Model)>,
    orders: Vec<Order>,
    pub(crate) notes: Vec<PlanNote>,
    /// How many callers came in vain for each model that is away.
    in_vain: BTreeMap<Model, f64>,
    pub(crate) now: Millis,
}

/// A model with less work a second than this, in milliseconds, is idle.
const IDLE_WORK: f32 = 0.5;

/// An engine that loads a model is worth waiting for if it is done within this time.
const WAIT: Millis = Millis(1_500);

impl<'a> Draft<'a> {
    fn new(
        view: &'a PlanView<'a>,
        settings: PlanSettings,
        intents: &'a BTreeMap<Upstream, Intent>,
        now: Millis,
    ) -> Self {
        let models = view.catalog.models.keys();
        let mut asked: BTreeMap<&Model, Rate> = models.map(|m| (m, Rate::default())).collect();
        for ((model, _), rate) in view.rates {
            if let Some(sum) = asked.get_mut(model) {
                sum.add(*rate);
            }
        }
        let replicas = asked.keys().map(|m| (*m, view.fleet.replicas(m)));
        Self {
            replicas: replicas.collect(),
            view,
            settings,
            asked,
            loads: 0,
            most_loads: 0,
            copying: BTreeSet::new(),
            taken: BTreeSet::new(),
            intents,
            intended: Vec::new(),
            orders: Vec::new(),
            notes: Vec::new(),
            in_vain: BTreeMap::new(),
            now,
        }
    }

    pub(crate) fn asked(&self, model: &Model) -> Rate {
        self.asked.get(model).copied().unwrap_or_default()
    }

    /// Whether the engine is making room for the model.
    pub(crate) fn intends(&self, engine: &Upstream, model: &Model) -> bool {
        self.intents.get(engine).is_some_and(|i| i.model == *model)
    }

    /// Notes that the engine makes room for the model.
    pub(crate) fn intend(&mut self, engine: &Upstream, model: &Model) {
        self.intended.push((engine.clone(), model.clone()));
    }

    /// How long an engine is busy with what was ordered before; none where it takes no
    /// order soon.
    pub(crate) fn wait_for(&self, name: &Upstream, engine: &Engine) -> Option<Millis> {
        if self.taken.contains(name) || self.intents.contains_key(name) || !engine.counts() {
            return None;
        }
        let rest = self.rest_of(name);
        let busy = if engine.takes_orders() {
            Millis(0)
        } else {
            let until = engine.busy_until(self.view.catalog)?;
            Millis(until.since(self.now).max(1))
        };
        Some(rest.max(busy)).filter(|left| *left <= WAIT)
    }

    /// How long the engine is left alone after another planner's order.
    fn rest_of(&self, name: &Upstream) -> Millis {
        let until = self.view.resting.get(name);
        Millis(until.map_or(0, |u| u.since(self.now)))
    }

    /// Whether the engine may be ordered now, and this plan has not done so yet.
    pub(crate) fn is_free(&self, name: &Upstream, engine: &Engine) -> bool {
        engine.takes_orders() && !self.taken.contains(name) && self.rest_of(name) == Millis(0)
    }

    pub(crate) fn replicas(&self, model: &Model) -> usize {
        self.replicas.get(model).copied().unwrap_or(0)
    }

    /// How many callers came in vain for the model since it went away.
    pub(crate) fn in_vain(&self, model: &Model) -> f64 {
        self.in_vain.get(model).copied().unwrap_or(0.0)
    }

    /// Whether nobody has asked for the model for some seconds.
    pub(crate) fn is_idle(&self, model: &Model) -> bool {
        self.asked(model).work <= IDLE_WORK
    }

    /// How many engines have a copy from which the model is loaded within a few seconds.
    pub(crate) fn copies(&self, model: &Model) -> usize {
        let Some(rule) = self.view.catalog.models.get(model) else {
            return 0;
        };
        let engines = self.view.fleet.engines.values();
        let has = |e: &&Engine| e.counts() && e.load_time(model, rule) != rule.store;
        engines.filter(has).count()
    }

    /// Engines that may be ordered about weights.
    pub(crate) fn free_engines(&self) -> impl Iterator<Item = (&'a Upstream, &'a Engine)> + '_ {
        let free = |(n, e): &(&Upstream, &Engine)| self.is_free(n, e);
        self.view.fleet.engines.iter().filter(free)
    }

    pub(crate) fn has_room(&self, engine: &Engine, rule: &ModelRule) -> bool {
        let taken = engine.worst_memory(self.view.catalog).0;
        taken + rule.size.0 <= self.view.catalog.memory.0
    }

    pub(crate) fn order(
        &mut self,
        name: &Upstream,
        kind: OrderKind,
        model: &Model,
        adapter: Option<&Adapter>,
    ) {
        let Some(engine) = self.view.fleet.get(name) else {
            return;
        };
        self.orders.push(Order {
            engine: name.clone(),
            kind,
            model: model.clone(),
            adapter: adapter.cloned(),
            expect: engine.held().seq,
            fence: self.view.fence,
            holder: self.view.holder.to_owned(),
        });
    }
}

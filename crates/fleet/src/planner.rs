//! Proposes which engine loads or drops what.
//!
//! Each call looks at the fleet as it is, orders in doubt included, and proposes the next
//! step for engines that are not busy. What is remembered is for which model an engine is
//! making room, which models callers ask for in vain, which engines left lately, and what was
//! worked out of engines that have not changed since. `snapshot` is what a plan looks at,
//! `draft` what it has decided; `moves` decides about weights, `adapt` about adapters, `spread`
//! about the time before the first traffic. `docs/PLACEMENT.md` has what was weighed.

use crate::churn::Churn;
use crate::draft::Draft;
use crate::engine_summary::Rows;
use crate::model_absence::Absences;
use crate::model_index::Numbers;
use crate::snapshot::Snapshot;
use crate::valuation::Board;
use crate::waits::Waits;
use crate::warmup::WarmupPhase;
use crate::{Catalog, Engine, Fleet, LoadWindow, Order, PlanNote, Rates, UnmetByKey};
use shaleline_types::{Millis, Model, Upstream};
use std::collections::BTreeMap;

/// The figures that weigh moves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanSettings {
    /// The replicas of an adapter that is asked for.
    pub adapter_replicas: usize,
    /// How many adapters may be on their way to one engine.
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

/// What a plan looks at.
#[derive(Debug)]
pub struct PlanView<'a> {
    /// The models and the room on an engine.
    pub catalog: &'a Catalog,
    /// The engines.
    pub fleet: &'a Fleet,
    /// What is asked for.
    pub rates: &'a Rates,
    /// What is asked for in vain.
    pub unmet: &'a UnmetByKey,
    /// The fencing token to order with.
    pub fence: u64,
    /// Who orders.
    pub holder: &'a str,
    /// Whether copies may be spread before the first traffic.
    pub warmup: WarmupPhase,
    /// Engines that a planner before ordered a moment ago, and until when they are left
    /// alone.
    pub cooldowns: &'a BTreeMap<Upstream, Millis>,
    /// Whether the planner before died a moment ago: this one may too, and nobody plans when callers
    /// come back who were told a time.
    pub after_failure: bool,
}

/// Proposes orders.
#[derive(Debug, Default)]
pub struct Planner {
    settings: PlanSettings,
    intents: BTreeMap<Upstream, Intent>,
    absences: Absences,
    waits: Waits,
    churn: Churn,
    notes: Vec<PlanNote>,
    /// The models of the catalog that was planned with last.
    numbers: Option<Numbers>,
    rows: Rows,
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
        self.churn.observe(view.fleet, now);
        let fits = self.numbers.as_ref().is_some_and(|n| n.fit(view.catalog));
        if !fits {
            self.numbers = None;
            self.rows.clear();
        }
        let numbers = self
            .numbers
            .get_or_insert_with(|| Numbers::new(view.catalog));
        self.rows.refresh(view.fleet, view.catalog, numbers);
        let snapshot = Snapshot::new(view, numbers, &self.rows, now);
        let intent = |name: &Upstream| {
            let intent = self.intents.get(name)?;
            numbers.get(&intent.model)
        };
        let mut draft = Draft::new(&snapshot, self.settings, intent);
        draft.loads = window.available(view.catalog.load_rate, now);
        draft.most_loads = window.capacity(view.catalog.load_rate);
        draft.notes = self.absences.observe(&draft);
        draft.in_vain = self.absences.in_vain(&snapshot);
        draft.waiting = self.waits.observe(view, &draft.adapter_copies, now);
        let mut board = Board::new(&draft, &self.churn);
        // An adapter is there within milliseconds; an engine that loads weights takes none for
        // seconds. So those that are nowhere go before weights, further copies after them.
        let asked = draft.asked_adapters();
        draft.adapt(&board, &asked, 1);
        draft.make_moves(&mut board);
        draft.adapt(&board, &asked, self.settings.adapter_replicas);
        draft.use_lead();
        let waiting = self.waits.tell(&draft);
        self.notes.extend(waiting);
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

//! The placement policy: which move is worth its cost.

use crate::draft::Draft;
use crate::{CellBody, Demand, DesiredItems, EngineLedger, Item};
use shaleline_types::{DataCentre, Megabytes, Millis, Offset, Upstream};
use std::collections::BTreeMap;

/// One load or unload that a policy proposes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Load an item.
    Load {
        /// The engine.
        engine: Upstream,
        /// What to load.
        item: Item,
        /// The memory it takes.
        size: Megabytes,
    },
    /// Unload an item.
    Unload {
        /// The engine.
        engine: Upstream,
        /// What to unload.
        item: Item,
        /// Whether nobody may use it any more.
        retired: bool,
    },
}

impl Step {
    /// The engine that the step is about.
    #[must_use]
    pub fn engine(&self) -> &Upstream {
        match self {
            Self::Load { engine, .. } | Self::Unload { engine, .. } => engine,
        }
    }

    pub(crate) fn to_body(&self, fence: Offset) -> CellBody {
        match self.clone() {
            Self::Load { engine, item, size } => CellBody::Load {
                fence,
                engine,
                item,
                size,
            },
            Self::Unload {
                engine,
                item,
                retired,
            } => CellBody::Unload {
                fence,
                engine,
                item,
                retired,
            },
        }
    }
}

/// What a policy knows of an engine beside its ledger.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineView {
    /// Where it stands.
    pub centre: DataCentre,
    /// The work a second it can do, in the unit of [`Demand`].
    pub capacity: f64,
    /// Whether it answers.
    pub alive: bool,
}

/// What a policy looks at.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// The ledger of each engine.
    pub ledgers: &'a BTreeMap<Upstream, EngineLedger>,
    /// What else is known of each engine.
    pub views: &'a BTreeMap<Upstream, EngineView>,
    /// What must stay reachable.
    pub desired: &'a DesiredItems,
    /// What is asked for.
    pub demand: &'a Demand,
    /// How many loads the weight store allows now.
    pub load_limit: usize,
}

/// A placement policy.
pub trait Policy: Send {
    /// The steps to take now, at most one for each engine.
    fn plan(&mut self, plan: PlanInput<'_>, now: Millis) -> Vec<Step>;
}

/// What an operator weighs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanSettings {
    /// What a move costs, in seconds of one engine's work per load. Mrazník sets it
    /// high, the Agencia low.
    pub move_weight: f64,
    /// How far ahead a gain counts, in seconds.
    pub horizon: f64,
    /// The share of an engine's capacity that may be used before help is sought.
    pub target: f64,
    /// The least time between two moves of one item on one engine.
    pub cooldown: Millis,
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            move_weight: 2.0,
            horizon: 60.0,
            target: 0.7,
            cooldown: Millis(60_000),
        }
    }
}

/// Proposes moves by their gain in attainment over the horizon against their cost.
#[derive(Debug, Default)]
pub struct Planner {
    pub(crate) settings: PlanSettings,
    moved: BTreeMap<(Upstream, Item), Millis>,
}

impl Planner {
    /// A planner with these weights.
    #[must_use]
    pub fn new(settings: PlanSettings) -> Self {
        Self {
            settings,
            moved: BTreeMap::new(),
        }
    }

    /// Whether the item was not moved on the engine for a while.
    pub(crate) fn rested(&self, engine: &Upstream, item: &Item, now: Millis) -> bool {
        let last = self.moved.get(&(engine.clone(), item.clone()));
        last.is_none_or(|at| now.since(*at) >= self.settings.cooldown.0)
    }
}

impl Policy for Planner {
    fn plan(&mut self, plan: PlanInput<'_>, now: Millis) -> Vec<Step> {
        let mut draft = Draft::new(plan, now, self);
        draft.retire();
        draft.reach();
        draft.relieve();
        draft.spread_out();
        draft.adapt();
        let steps = draft.into_steps();
        let note = |s: &Step| match s {
            Step::Load { engine, item, .. } | Step::Unload { engine, item, .. } => {
                ((engine.clone(), item.clone()), now)
            }
        };
        self.moved.extend(steps.iter().map(note));
        let rest = self.settings.cooldown.0;
        self.moved.retain(|_, at| now.since(*at) < rest);
        steps
    }
}

//! The placement policy, which weighs the gain of a move against its cost.

use crate::draft::Draft;
use crate::{CellBody, Demand, DesiredItems, EngineLedger, Item};
use shaleline_types::{DataCentre, Megabytes, Millis, Offset, Upstream};
use std::collections::BTreeMap;

/// A load or unload that a policy proposes.
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
        /// Whether the item is no longer desired.
        retired: bool,
    },
}

impl Step {
    /// Returns the engine that the step concerns.
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

/// What a policy knows of an engine apart from its ledger.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineView {
    /// The engine's data centre.
    pub centre: DataCentre,
    /// The work per second that it can do, in the unit of [`Demand`].
    pub capacity: f64,
    /// Whether it responds.
    pub alive: bool,
}

/// The input of a policy.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// The ledger of each engine.
    pub ledgers: &'a BTreeMap<Upstream, EngineLedger>,
    /// Further state of each engine.
    pub views: &'a BTreeMap<Upstream, EngineView>,
    /// The items that must stay reachable.
    pub desired: &'a DesiredItems,
    /// The demand for each model.
    pub demand: &'a Demand,
    /// The number of loads that the weight store allows now.
    pub load_limit: usize,
}

/// A placement policy.
pub trait Policy: Send {
    /// Returns the steps to take now, at most one per engine.
    fn plan(&mut self, plan: PlanInput<'_>, now: Millis) -> Vec<Step>;
}

/// The planner's settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanSettings {
    /// The cost of a move, in seconds of one engine's work per load. A higher value suits
    /// deployments where moves are expensive.
    pub move_weight: f64,
    /// The time over which a gain counts, in seconds.
    pub horizon: f64,
    /// The fraction of an engine's capacity above which replicas are added.
    pub target: f64,
    /// The shortest time between two moves of one item on one engine.
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
    /// Creates a planner with these settings.
    #[must_use]
    pub fn new(settings: PlanSettings) -> Self {
        Self {
            settings,
            moved: BTreeMap::new(),
        }
    }

    /// Returns whether the item's cooldown on the engine has passed.
    pub(crate) fn cooled_down(&self, engine: &Upstream, item: &Item, now: Millis) -> bool {
        let last = self.moved.get(&(engine.clone(), item.clone()));
        last.is_none_or(|at| now.since(*at) >= self.settings.cooldown.0)
    }
}

impl Policy for Planner {
    fn plan(&mut self, plan: PlanInput<'_>, now: Millis) -> Vec<Step> {
        let mut draft = Draft::new(plan, now, self);
        draft.unload_obsolete();
        draft.place_missing();
        draft.add_replicas();
        draft.spread_over_centres();
        draft.load_adapters();
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

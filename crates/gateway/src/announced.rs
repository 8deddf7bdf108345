//! Remembers what this daemon, as the planner, last announced of each engine.

use shaleline_fleet::Held;
use shaleline_types::{Adapter, Incarnation, Model, Upstream};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What an engine was announced to serve.
#[derive(Debug, PartialEq, Eq)]
struct Serving {
    incarnation: Incarnation,
    models: BTreeMap<Model, BTreeSet<Adapter>>,
}

/// The last announcements. Most queries of an engine return what is already known; announcing those
/// to all daemons took half of the processor time of daemons that do not plan.
#[derive(Debug, Default)]
pub(crate) struct Announced {
    engines: HashMap<Upstream, Serving>,
}

impl Announced {
    /// Records what is announced of the engine now. Returns whether it differs from the last
    /// announcement.
    pub(crate) fn update(&mut self, engine: &Upstream, held: &Held) -> bool {
        let known = self.engines.get(engine);
        let same = |k: &Serving| k.incarnation == held.incarnation && k.models == held.models;
        if known.is_some_and(same) {
            return false;
        }
        let serving = Serving {
            incarnation: held.incarnation,
            models: held.models.clone(),
        };
        self.engines.insert(engine.clone(), serving);
        true
    }

    /// Removes an engine that is gone.
    pub(crate) fn forget(&mut self, engine: &Upstream) {
        self.engines.remove(engine);
    }

    /// Removes all engines, as another daemon has planned since.
    pub(crate) fn clear(&mut self) {
        self.engines.clear();
    }
}

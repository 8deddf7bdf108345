//! What this daemon, as the planner, has told of each engine.

use shaleline_fleet::Held;
use shaleline_types::{Adapter, Incarnation, Model, Upstream};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What an engine was told to serve.
#[derive(Debug, PartialEq, Eq)]
struct Serving {
    incarnation: Incarnation,
    models: BTreeMap<Model, BTreeSet<Adapter>>,
}

/// What was told last. Most looks at an engine show what is known: told to all, they were half
/// of the processor time of daemons that do not plan.
#[derive(Debug, Default)]
pub(crate) struct Announced {
    engines: HashMap<Upstream, Serving>,
}

impl Announced {
    /// Whether the engine serves something else than was told last; from now on it was told.
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

    /// Forgets an engine that is gone.
    pub(crate) fn forget(&mut self, engine: &Upstream) {
        self.engines.remove(engine);
    }

    /// Forgets all: another daemon has told since.
    pub(crate) fn clear(&mut self) {
        self.engines.clear();
    }
}

//! What came to an engine and what went, as far as that decides what an older entry may say.

use crate::engine::LIST_LAG_MS;
use crate::Held;
use shaleline_types::{Adapter, Millis, Model};
use std::collections::BTreeMap;

/// When adapters came, and when models and adapters went.
#[derive(Debug, Clone, Default)]
pub(crate) struct Changes {
    /// When each adapter that is held was first seen.
    came: BTreeMap<(Model, Adapter), Millis>,
    /// When each model and adapter went away that an older entry may still list.
    gone: BTreeMap<(Model, Option<Adapter>), Millis>,
}

impl Changes {
    /// Those of an engine that is seen for the first time. Nobody knows how long it has held its adapters;
    /// callers need not be about to come for them.
    pub(crate) fn from_first(held: &Held) -> Self {
        let adapters = held.adapters();
        let came = adapters.map(|(m, a)| ((m.clone(), a.clone()), Millis(0)));
        Self {
            came: came.collect(),
            gone: BTreeMap::new(),
        }
    }

    /// When an adapter that is held was first seen.
    pub(crate) fn came(&self, model: &Model, adapter: &Adapter) -> Millis {
        let place = (model.clone(), adapter.clone());
        self.came.get(&place).copied().unwrap_or_default()
    }

    /// Notes which adapters have come, and forgets those that have gone.
    pub(crate) fn on_held(&mut self, held: &Held, now: Millis) {
        let is_held =
            |m: &Model, a: &Adapter| held.models.get(m).is_some_and(|all| all.contains(a));
        self.came.retain(|(m, a), _| is_held(m, a));
        for (model, adapter) in held.adapters() {
            let place = (model.clone(), adapter.clone());
            self.came.entry(place).or_insert(now);
        }
    }

    /// Notes what a report shows that had gone, and what it no longer shows.
    pub(crate) fn on_report(&mut self, before: &Held, next: &Held, now: Millis) {
        self.gone.retain(|(model, adapter), _| {
            let all = next.models.get(model);
            !all.is_some_and(|all| adapter.as_ref().is_none_or(|a| all.contains(a)))
        });
        for (model, adapters) in &before.models {
            let Some(left) = next.models.get(model) else {
                self.note_gone(model, None, now);
                continue;
            };
            for adapter in adapters.difference(left) {
                self.note_gone(model, Some(adapter), now);
            }
        }
    }

    /// Notes that a model or adapter went away.
    pub(crate) fn note_gone(&mut self, model: &Model, adapter: Option<&Adapter>, now: Millis) {
        self.gone.insert((model.clone(), adapter.cloned()), now);
    }

    /// Takes out of an entry what has gone since it may have been written.
    pub(crate) fn leave_out_gone(&self, entry: &mut Held, now: Millis) {
        let lately = self.gone.iter();
        for ((model, adapter), _) in lately.filter(|(_, at)| now.since(**at) < LIST_LAG_MS) {
            match adapter {
                None => {
                    entry.models.remove(model);
                }
                Some(adapter) => {
                    if let Some(all) = entry.models.get_mut(model) {
                        all.remove(adapter);
                    }
                }
            }
        }
    }

    /// Forgets what no entry lists any more.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.gone.retain(|_, at| now.since(*at) < LIST_LAG_MS);
    }
}

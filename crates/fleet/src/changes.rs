//! Records what an engine loaded and unloaded recently, to correct list entries that are older.

use crate::engine::LIST_LAG_MS;
use crate::Held;
use shaleline_types::{Adapter, Millis, Model};
use std::collections::BTreeMap;

/// When adapters were loaded, and when models and adapters were unloaded.
#[derive(Debug, Clone, Default)]
pub(crate) struct Changes {
    /// When each adapter that is held was first seen.
    first_seen: BTreeMap<(Model, Adapter), Millis>,
    /// When each model and adapter was removed that an older entry may still list.
    removed: BTreeMap<(Model, Option<Adapter>), Millis>,
}

impl Changes {
    /// Creates the record of an engine that is seen for the first time. It is not known how long
    /// the engine has held its adapters, and their callers are not necessarily about to retry.
    pub(crate) fn from_first(held: &Held) -> Self {
        let adapters = held.adapters();
        let first_seen = adapters.map(|(m, a)| ((m.clone(), a.clone()), Millis(0)));
        Self {
            first_seen: first_seen.collect(),
            removed: BTreeMap::new(),
        }
    }

    /// The time at which an adapter that is held was first seen.
    pub(crate) fn first_seen(&self, model: &Model, adapter: &Adapter) -> Millis {
        let key = (model.clone(), adapter.clone());
        self.first_seen.get(&key).copied().unwrap_or_default()
    }

    /// Records which adapters were loaded, and forgets those that were unloaded.
    pub(crate) fn on_held(&mut self, held: &Held, now: Millis) {
        let is_held =
            |m: &Model, a: &Adapter| held.models.get(m).is_some_and(|all| all.contains(a));
        self.first_seen.retain(|(m, a), _| is_held(m, a));
        for (model, adapter) in held.adapters() {
            let key = (model.clone(), adapter.clone());
            self.first_seen.entry(key).or_insert(now);
        }
    }

    /// Forgets the removal of what a report shows as held, and records the removal of what it no
    /// longer shows.
    pub(crate) fn on_report(&mut self, before: &Held, next: &Held, now: Millis) {
        self.removed.retain(|(model, adapter), _| {
            let all = next.models.get(model);
            !all.is_some_and(|all| adapter.as_ref().is_none_or(|a| all.contains(a)))
        });
        for (model, adapters) in &before.models {
            let Some(left) = next.models.get(model) else {
                self.record_removed(model, None, now);
                continue;
            };
            for adapter in adapters.difference(left) {
                self.record_removed(model, Some(adapter), now);
            }
        }
    }

    /// Records that a model or adapter was removed.
    pub(crate) fn record_removed(&mut self, model: &Model, adapter: Option<&Adapter>, now: Millis) {
        self.removed.insert((model.clone(), adapter.cloned()), now);
    }

    /// Removes from an entry what may have been removed since it was written.
    pub(crate) fn omit_removed(&self, entry: &mut Held, now: Millis) {
        let recent = self.removed.iter();
        for ((model, adapter), _) in recent.filter(|(_, at)| now.since(**at) < LIST_LAG_MS) {
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

    /// Forgets removals that no entry can be older than.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.removed.retain(|_, at| now.since(*at) < LIST_LAG_MS);
    }
}

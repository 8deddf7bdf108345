//! Loads adapters into free slots before they are requested.
//!
//! The first caller of an adapter that no engine holds is refused and served only on its retry. A
//! free slot costs nothing to fill: adapters without requests are evicted first.

use crate::draft::Draft;
use crate::{Order, OrderKind, WarmupPhase};
use shaleline_types::{Adapter, Megabytes, Model};
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// The number of such loads in one plan, so that they delay no other order.
const MAX_LOADS: usize = 8;

/// The slots of an engine that stay free for the next adapter that a caller waits for.
const SPARE_SLOTS: usize = 1;

/// The adapters that were evicted to make room. They are loaded again only for callers: with fewer
/// slots than adapters, loads and evictions would alternate without end.
#[derive(Debug, Default)]
pub(crate) struct EvictedAdapters {
    adapters: BTreeSet<(Model, Adapter)>,
}

impl EvictedAdapters {
    /// Records the adapters that these orders unload.
    pub(crate) fn record(&mut self, orders: &[Order]) {
        let unloads = orders.iter().filter(|o| o.unloads_adapter());
        let evicted = unloads.filter_map(|o| Some((o.model.clone(), o.adapter.clone()?)));
        self.adapters.extend(evicted);
    }

    /// Drops all records, as the catalog has changed.
    pub(crate) fn clear(&mut self) {
        self.adapters.clear();
    }

    fn contains(&self, model: &Model, adapter: &Adapter) -> bool {
        let key = (model.clone(), adapter.clone());
        self.adapters.contains(&key)
    }
}

impl<'a> Draft<'a> {
    /// Loads adapters that no engine holds at idle engines, those of the most requested models
    /// first.
    pub(crate) fn prefetch_adapters(&mut self, evicted: &EvictedAdapters) {
        // Models still move between engines.
        if self.snapshot.view.warmup == WarmupPhase::Spread {
            return;
        }
        let snapshot = self.snapshot;
        let mut free = self.prefetch_slots();
        let loading = self.loading_adapters();
        let mut left = MAX_LOADS;
        for number in self.models_by_requests() {
            let (model, profile) = snapshot.models[number];
            let servers = snapshot.servers[number].iter().copied();
            let servers: Vec<usize> = servers
                .filter(|e| free[*e] > 0 && self.keeps_room(*e, profile.adapter_size))
                .collect();
            for adapter in &profile.adapters {
                let ready = servers.iter().copied().filter(|e| free[*e] > 0);
                let Some(index) = ready.min_by_key(|e| Reverse(free[*e])) else {
                    break;
                };
                let key = (model, adapter);
                let is_held = self.adapter_copies.contains_key(&key) || loading.contains(&key);
                if is_held || evicted.contains(model, adapter) {
                    continue;
                }
                self.order(index, OrderKind::Load, model, Some(adapter));
                self.ordered[index] = true;
                free[index] = 0;
                left -= 1;
                if left == 0 {
                    return;
                }
            }
        }
    }

    /// The number of slots that may be filled at each engine, by engine number: none unless it is
    /// idle and no caller waits for an adapter of its models.
    fn prefetch_slots(&self) -> Vec<usize> {
        let snapshot = self.snapshot;
        let mut awaited = vec![false; snapshot.models.len()];
        for (model, _) in self.waiting.unserved.keys() {
            if let Some(number) = snapshot.model_index.get(model) {
                awaited[number] = true;
            }
        }
        let slots = |index| {
            let entry = snapshot.engines[index];
            let is_idle = self.is_free(index)
                && self.reservation(index).is_none()
                && entry.engine.pending.is_empty()
                && entry.summary.serving.iter().all(|m| !awaited[*m]);
            if !is_idle {
                return 0;
            }
            let used = entry.engine.worst_slots() + SPARE_SLOTS;
            snapshot.catalog.adapter_slots.saturating_sub(used)
        };
        (0..snapshot.engines.len()).map(slots).collect()
    }

    /// The adapters that engines are loading.
    fn loading_adapters(&self) -> BTreeSet<(&'a Model, &'a Adapter)> {
        let engines = self.snapshot.engines.iter();
        let orders = engines.flat_map(|e| e.engine.pending.iter().map(|p| &p.order));
        let loads = orders.filter(|o| o.kind == OrderKind::Load);
        loads
            .filter_map(|o| Some((&o.model, o.adapter.as_ref()?)))
            .collect()
    }

    /// The models by the requests for each of their adapters, the most requested first.
    fn models_by_requests(&self) -> Vec<usize> {
        let snapshot = self.snapshot;
        let rate = |m: &usize| {
            let adapters = snapshot.models[*m].1.adapters.len();
            f64::from(snapshot.rates[*m].count) / adapters as f64
        };
        let models = 0..snapshot.models.len();
        let mut models: Vec<usize> = models
            .filter(|m| !snapshot.models[*m].1.adapters.is_empty())
            .collect();
        models.sort_by(|a, b| rate(b).total_cmp(&rate(a)));
        models
    }

    /// Whether all models that fit into the free memory of the engine still fit beside an adapter of
    /// this size.
    fn keeps_room(&self, index: usize, size: Megabytes) -> bool {
        let room = self.snapshot.engines[index].summary.room;
        let left = Megabytes(room.since(size));
        let mut weights = self.snapshot.models.iter().map(|(_, p)| p.weights_size);
        size <= room && !weights.any(|w| w <= room && w > left)
    }
}

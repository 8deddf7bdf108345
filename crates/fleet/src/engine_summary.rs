//! The properties of an engine that a plan needs, by model number, computed once for each change of
//! the engine.

use crate::model_index::ModelIndex;
use crate::{Catalog, Engine, Fleet, OrderKind};
use shaleline_types::{Megabytes, Millis, Upstream};
use std::collections::BTreeMap;

/// The kind of copy from which an engine loads a model within a few seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CopyKind {
    Warm,
    Disk,
}

/// One engine as seen by plans.
#[derive(Debug)]
pub(crate) struct EngineSummary {
    revision: u64,
    /// The models that it serves.
    pub(crate) serving: Vec<usize>,
    /// The models that it is loading and does not serve.
    pub(crate) loading: Vec<usize>,
    /// The models of which it has a copy.
    copies: Vec<(usize, CopyKind)>,
    /// Whether it may be ordered about weights.
    pub(crate) takes_orders: bool,
    /// When the order about weights in progress is expected to be done.
    pub(crate) busy_until: Option<Millis>,
    /// The memory that is free in the worst case.
    pub(crate) room: Megabytes,
    /// Whether it is unloading a model.
    pub(crate) unloading: bool,
}

impl EngineSummary {
    fn new(engine: &Engine, catalog: &Catalog, model_index: &ModelIndex) -> Self {
        let serving = engine.serving().filter_map(|(m, _)| model_index.get(m));
        let serving: Vec<usize> = serving.collect();
        let loads = engine.pending.iter().map(|p| &p.order);
        let loads = loads.filter(|o| o.kind == OrderKind::Load && o.adapter.is_none());
        let loading = loads.filter_map(|o| model_index.get(&o.model));
        let loading = loading.filter(|m| !serving.contains(m)).collect();
        let warm = engine.held().warm.iter().map(|m| (m, CopyKind::Warm));
        let disk = engine.held().disk.iter().map(|m| (m, CopyKind::Disk));
        let copies = warm
            .chain(disk)
            .filter_map(|(m, k)| Some((model_index.get(m)?, k)));
        let used = engine.worst_memory(catalog);
        Self {
            revision: engine.revision,
            serving,
            loading,
            copies: copies.collect(),
            takes_orders: engine.takes_orders(),
            busy_until: engine.busy_until(catalog),
            room: Megabytes(catalog.memory.since(used)),
            unloading: engine.is_unloading(),
        }
    }

    /// The copy from which it would load the model; none if it would load from the weight store.
    pub(crate) fn copy(&self, model: usize) -> Option<CopyKind> {
        let copy = self.copies.iter().find(|(m, _)| *m == model);
        copy.map(|(_, kind)| *kind)
    }

    /// The models of which it has a copy, each once.
    pub(crate) fn copied(&self) -> impl Iterator<Item = usize> + '_ {
        let first = |(i, (m, _)): &(usize, &(usize, CopyKind))| {
            self.copies[..*i].iter().all(|(other, _)| other != m)
        };
        let copies = self.copies.iter().enumerate();
        copies.filter(first).map(|(_, (m, _))| *m)
    }
}

/// The summaries of a fleet, kept between plans.
#[derive(Debug, Default)]
pub(crate) struct EngineSummaries {
    summaries: BTreeMap<Upstream, EngineSummary>,
}

impl EngineSummaries {
    /// Computes the summaries of engines that have changed.
    pub(crate) fn refresh(&mut self, fleet: &Fleet, catalog: &Catalog, model_index: &ModelIndex) {
        self.summaries.retain(|name, _| fleet.get(name).is_some());
        for (name, engine) in fleet.iter() {
            let known = self.summaries.get(name).map(|r| r.revision);
            if known != Some(engine.revision) {
                let summary = EngineSummary::new(engine, catalog, model_index);
                self.summaries.insert(name.clone(), summary);
            }
        }
    }

    /// Drops all summaries, as the model numbers or their models have changed.
    pub(crate) fn clear(&mut self) {
        self.summaries.clear();
    }

    /// All summaries, in the order of the engines of the fleet.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &EngineSummary> {
        self.summaries.values()
    }
}

//! What a plan needs of one engine, by number, worked out once for each change of the engine.

use crate::model_index::Numbers;
use crate::{Catalog, Engine, Fleet, OrderKind};
use shaleline_types::{Megabytes, Millis, Upstream};
use std::collections::BTreeMap;

/// From where an engine loads a model within a few seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CopyKind {
    Warm,
    Disk,
}

/// One engine as plans see it.
#[derive(Debug)]
pub(crate) struct Row {
    revision: u64,
    /// The models that it serves.
    pub(crate) serving: Vec<usize>,
    /// The models that it is getting and does not serve.
    pub(crate) loading: Vec<usize>,
    /// The models of which it has a copy.
    copies: Vec<(usize, CopyKind)>,
    /// Whether it may be ordered about weights.
    pub(crate) takes_orders: bool,
    /// When the order about weights that is under way is expected to be done.
    pub(crate) busy_until: Option<Millis>,
    /// The memory that is free in the worst case.
    pub(crate) room: Megabytes,
    /// Whether it is at work on dropping a model.
    pub(crate) dropping: bool,
}

impl Row {
    fn new(engine: &Engine, catalog: &Catalog, numbers: &Numbers) -> Self {
        let serving = engine.serving().filter_map(|(m, _)| numbers.get(m));
        let serving: Vec<usize> = serving.collect();
        let loads = engine.pending.iter().map(|p| &p.order);
        let loads = loads.filter(|o| o.kind == OrderKind::Load && o.adapter.is_none());
        let loading = loads.filter_map(|o| numbers.get(&o.model));
        let loading = loading.filter(|m| !serving.contains(m)).collect();
        let warm = engine.held().warm.iter().map(|m| (m, CopyKind::Warm));
        let disk = engine.held().disk.iter().map(|m| (m, CopyKind::Disk));
        let copies = warm
            .chain(disk)
            .filter_map(|(m, k)| Some((numbers.get(m)?, k)));
        let used = engine.worst_memory(catalog);
        Self {
            revision: engine.revision,
            serving,
            loading,
            copies: copies.collect(),
            takes_orders: engine.takes_orders(),
            busy_until: engine.busy_until(catalog),
            room: Megabytes(catalog.memory.since(used)),
            dropping: engine.is_dropping(),
        }
    }

    /// From where it would load the model; none where from the weight store.
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

/// The rows of a fleet, kept from plan to plan.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    rows: BTreeMap<Upstream, Row>,
}

impl Rows {
    /// Works out anew what has changed.
    pub(crate) fn refresh(&mut self, fleet: &Fleet, catalog: &Catalog, numbers: &Numbers) {
        self.rows.retain(|name, _| fleet.get(name).is_some());
        for (name, engine) in fleet.iter() {
            let known = self.rows.get(name).map(|r| r.revision);
            if known != Some(engine.revision) {
                let row = Row::new(engine, catalog, numbers);
                self.rows.insert(name.clone(), row);
            }
        }
    }

    /// Forgets all: the numbers or what they mean have changed.
    pub(crate) fn clear(&mut self) {
        self.rows.clear();
    }

    /// All rows, in the order of the fleet's engines.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }
}

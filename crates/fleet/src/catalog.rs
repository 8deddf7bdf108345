//! What the engines of one service may hold.

use serde::{Deserialize, Serialize};
use shaleline_types::{Adapter, Megabytes, Millis, Model};
use std::collections::BTreeMap;

/// One model that must stay reachable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelProfile {
    /// The memory that its weights take.
    pub weights_size: Megabytes,
    /// The duration of a load from the weight store.
    pub store_time: Millis,
    /// The duration of a load from a copy on the engine's disk.
    pub disk_time: Millis,
    /// The duration of a load from a copy in the engine's main memory.
    pub warm_time: Millis,
    /// Its adapters.
    pub adapters: Vec<Adapter>,
    /// The memory that each adapter takes.
    pub adapter_size: Megabytes,
}

/// The models of a service and the capacity of one of its engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The models.
    pub models: BTreeMap<Model, ModelProfile>,
    /// The memory of an engine for weights and adapters.
    pub memory: Megabytes,
    /// The number of adapters that an engine may hold.
    pub adapter_slots: usize,
    /// The loads a second that the weight store allows over all engines.
    pub load_rate: f64,
    /// The number of requests that an engine runs at once.
    pub request_slots: usize,
    /// The main memory of an engine for copies of weights.
    pub warm_memory: Megabytes,
    /// The disk space of an engine for copies of weights.
    pub disk_space: Megabytes,
}

impl Catalog {
    /// The memory that models and adapters take.
    pub(crate) fn memory_of<'a>(
        &self,
        loads: impl Iterator<Item = (&'a Model, Option<&'a Adapter>)>,
    ) -> Megabytes {
        let size = |(model, adapter): (&Model, Option<&Adapter>)| {
            let profile = self.models.get(model)?;
            Some(match adapter {
                Some(_) => profile.adapter_size.0,
                None => profile.weights_size.0,
            })
        };
        Megabytes(loads.filter_map(size).sum())
    }
}

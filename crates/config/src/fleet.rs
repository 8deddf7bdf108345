//! The catalogue of models, adapters and services, and the accelerators.

use serde::{Deserialize, Serialize};
use shaleline_types::{Adapter, Megabytes, Model, Service};

/// A model that engines can load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// The name that callers use.
    pub name: Model,
    /// The version to serve. A higher version is loaded before the old one is unloaded.
    #[serde(default = "first_version")]
    pub version: u32,
    /// The memory for the weights.
    pub size: Megabytes,
    /// The memory reserved for the KV cache of a replica.
    #[serde(default)]
    pub kv: Megabytes,
}

fn first_version() -> u32 {
    1
}

/// An adapter on top of a model's weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// The name that callers use.
    pub name: Adapter,
    /// The base model.
    pub base: Model,
    /// The memory that the adapter needs in addition to the base model.
    pub size: Megabytes,
}

/// A plain service, which runs outside the engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The name in the request path.
    pub name: Service,
    /// Whether a call without an idempotency key may be repeated.
    #[serde(default)]
    pub repeatable: bool,
}

/// Accelerators of one size.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceleratorSpec {
    /// The number of accelerators.
    pub count: u32,
    /// The memory of each accelerator.
    pub memory: Megabytes,
}

/// The catalogue of models, adapters and services, and the declared accelerators.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The accelerators. One replica of every model in use must fit on them.
    #[serde(default)]
    pub accelerators: Vec<AcceleratorSpec>,
    /// The models in the catalogue.
    #[serde(default)]
    pub models: Vec<ModelSpec>,
    /// The adapters in the catalogue.
    #[serde(default)]
    pub adapters: Vec<AdapterSpec>,
    /// The plain services in the catalogue.
    #[serde(default)]
    pub services: Vec<ServiceSpec>,
}

impl Fleet {
    /// The model with this name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|m| m.name.as_str() == name)
    }

    /// The adapter with this name.
    #[must_use]
    pub fn adapter(&self, name: &str) -> Option<&AdapterSpec> {
        self.adapters.iter().find(|a| a.name.as_str() == name)
    }

    /// The service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.iter().find(|s| s.name.as_str() == name)
    }
}

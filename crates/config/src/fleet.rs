//! What there is to serve and what it runs on.

use serde::{Deserialize, Serialize};
use shaleline_types::{Adapter, Megabytes, Model, Service};

/// A model that engines can load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// The name that callers use.
    pub name: Model,
    /// The version to serve. A higher one is loaded beside the old before that goes.
    #[serde(default = "first_version")]
    pub version: u32,
    /// Memory for the weights.
    pub size: Megabytes,
    /// Memory kept for the KV cache of a replica.
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
    /// The model it sits on.
    pub base: Model,
    /// Memory it takes beside the base.
    pub size: Megabytes,
}

/// A plain service beside the engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The name that stands in the path.
    pub name: Service,
    /// Whether a call without an idempotency key may be repeated.
    #[serde(default)]
    pub repeatable: bool,
}

/// Accelerators of one size.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceleratorSpec {
    /// How many there are.
    pub count: u32,
    /// What each holds.
    pub memory: Megabytes,
}

/// The catalogue of models, adapters and services, and the accelerators declared.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The accelerators that one replica of everything must fit.
    #[serde(default)]
    pub accelerators: Vec<AcceleratorSpec>,
    /// The models.
    #[serde(default)]
    pub models: Vec<ModelSpec>,
    /// The adapters.
    #[serde(default)]
    pub adapters: Vec<AdapterSpec>,
    /// The plain services.
    #[serde(default)]
    pub services: Vec<ServiceSpec>,
}

impl Fleet {
    /// The model of this name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|m| m.name.as_str() == name)
    }

    /// The adapter of this name.
    #[must_use]
    pub fn adapter(&self, name: &str) -> Option<&AdapterSpec> {
        self.adapters.iter().find(|a| a.name.as_str() == name)
    }

    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.iter().find(|s| s.name.as_str() == name)
    }
}

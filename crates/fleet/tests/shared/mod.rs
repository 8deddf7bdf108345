//! Names and a catalog of uniform models, shared by several tests of plans.

use shaleline_fleet::{Catalog, ModelProfile};
use shaleline_types::{Adapter, Megabytes, Millis, Model};

pub fn model(name: &str) -> Model {
    Model::from_text(name).expect("a valid name")
}

pub fn adapter(name: &str) -> Adapter {
    Adapter::from_text(name).expect("a valid name")
}

/// Models of 70 GB, each with these adapters, on engines of 150 GB: two fit, and one adapter beside
/// them.
pub fn catalog(models: &[&str], adapters: &[&str]) -> Catalog {
    let profile = ModelProfile {
        weights_size: Megabytes(70_000),
        store_time: Millis(9_000),
        disk_time: Millis(2_000),
        warm_time: Millis(800),
        adapters: adapters.iter().map(|a| adapter(a)).collect(),
        adapter_size: Megabytes(50),
    };
    Catalog {
        models: models.iter().map(|m| (model(m), profile.clone())).collect(),
        memory: Megabytes(150_000),
        adapter_slots: 1,
        load_rate: 10.0,
        request_slots: 64,
        warm_memory: Megabytes(150_000),
        disk_space: Megabytes(440_000),
    }
}

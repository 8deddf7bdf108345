//! What is asked for, per model and adapter, over the last seconds.

use serde::{Deserialize, Serialize};
use shaleline_types::{Adapter, Millis, Model};
use std::collections::BTreeMap;

/// The time over which demand is averaged: it moves to other models within seconds.
const AVERAGE_MS: f64 = 2_500.0;

/// A rate below this, in milliseconds of work a second, is not worth telling.
const LEAST: f64 = 0.05;

/// Milliseconds of engine work asked for each second.
pub type Rates = BTreeMap<(Model, Option<Adapter>), f64>;

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Average {
    level: f64,
    last: Millis,
}

impl Average {
    fn at(&self, now: Millis) -> f64 {
        self.level * (-(now.since(self.last) as f64) / AVERAGE_MS).exp()
    }
}

/// A decaying average of the work asked for.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    averages: BTreeMap<(Model, Option<Adapter>), Average>,
}

impl Demand {
    /// Notes a request that takes `work` milliseconds of an engine.
    pub fn note(&mut self, model: &Model, adapter: Option<&Adapter>, work: f64, now: Millis) {
        let key = (model.clone(), adapter.cloned());
        let average = self.averages.entry(key).or_default();
        average.level = average.at(now) + work;
        average.last = now;
    }

    /// The rates now.
    pub fn rates(&mut self, now: Millis) -> Rates {
        let rate = |a: &Average| a.at(now) * 1_000.0 / AVERAGE_MS;
        self.averages.retain(|_, a| rate(a) >= LEAST);
        let rates = self.averages.iter().map(|(k, a)| (k.clone(), rate(a)));
        rates.collect()
    }
}

//! What is asked for, per model and adapter, over the last seconds.

use serde::{Deserialize, Serialize};
use shaleline_types::{Adapter, Millis, Model};
use std::collections::BTreeMap;

/// The time over which demand is averaged: it moves to other models within seconds. With
/// 1.5 s, 697 of 1,000 chats on crowded days are in time, with 2.5 s 686, by 30 days played.
const AVERAGE_MS: f64 = 1_500.0;

/// A rate below this, in milliseconds of work a second, is not worth telling.
const LEAST: f32 = 0.05;

/// What is asked for each second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    /// Milliseconds of engine work.
    pub work: f32,
    /// Requests.
    pub count: f32,
}

impl Rate {
    /// Adds what is asked for elsewhere.
    pub fn add(&mut self, other: Self) {
        self.work += other.work;
        self.count += other.count;
    }

    fn times(self, factor: f64) -> Self {
        Self {
            work: (f64::from(self.work) * factor) as f32,
            count: (f64::from(self.count) * factor) as f32,
        }
    }
}

/// What is asked for of each model and adapter.
pub type Rates = BTreeMap<(Model, Option<Adapter>), Rate>;

#[derive(Debug, Clone, Default)]
struct Average {
    level: Rate,
    last: Millis,
}

impl Average {
    fn at(&self, now: Millis) -> Rate {
        let kept = (-(now.since(self.last) as f64) / AVERAGE_MS).exp();
        self.level.times(kept)
    }
}

/// A decaying average of what is asked for.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    averages: BTreeMap<(Model, Option<Adapter>), Average>,
}

impl Demand {
    /// Notes a request that takes `work` milliseconds of an engine.
    pub fn record(&mut self, model: &Model, adapter: Option<&Adapter>, work: f64, now: Millis) {
        let key = (model.clone(), adapter.cloned());
        let average = self.averages.entry(key).or_default();
        average.level = average.at(now);
        average.level.add(Rate {
            work: work as f32,
            count: 1.0,
        });
        average.last = now;
    }

    /// The rates now.
    pub fn rates(&mut self, now: Millis) -> Rates {
        let rate = |a: &Average| a.at(now).times(1_000.0 / AVERAGE_MS);
        self.averages.retain(|_, a| rate(a).work >= LEAST);
        let rates = self.averages.iter().map(|(k, a)| (k.clone(), rate(a)));
        rates.collect()
    }
}

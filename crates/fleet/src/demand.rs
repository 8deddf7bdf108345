//! The request rate for each model and adapter over the last seconds.

use serde::{Deserialize, Serialize};
use shaleline_types::{Adapter, Millis, Model};
use std::collections::BTreeMap;

/// The averaging time in milliseconds, short since demand moves to other models within seconds.
/// With a longer time, fewer chats are in time on overloaded days.
const AVERAGE_MS: f64 = 1_500.0;

/// A rate below this, in milliseconds of work a second, is not reported.
const MIN_WORK_RATE: f32 = 0.05;

/// A request rate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    /// Milliseconds of engine work a second.
    pub work: f32,
    /// Requests a second.
    pub count: f32,
}

impl Rate {
    /// Adds the rate at another daemon.
    pub fn add(&mut self, other: Self) {
        self.work += other.work;
        self.count += other.count;
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            work: (f64::from(self.work) * factor) as f32,
            count: (f64::from(self.count) * factor) as f32,
        }
    }
}

/// The request rate for each model and adapter.
pub type Rates = BTreeMap<(Model, Option<Adapter>), Rate>;

#[derive(Debug, Clone, Default)]
struct Average {
    sum: Rate,
    last: Millis,
}

impl Average {
    fn at(&self, now: Millis) -> Rate {
        let decay = (-(now.since(self.last) as f64) / AVERAGE_MS).exp();
        self.sum.scaled(decay)
    }
}

/// A decaying average of the requests.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    averages: BTreeMap<(Model, Option<Adapter>), Average>,
}

impl Demand {
    /// Records a request that takes `work` milliseconds of an engine.
    pub fn record(&mut self, model: &Model, adapter: Option<&Adapter>, work: f64, now: Millis) {
        let key = (model.clone(), adapter.cloned());
        let average = self.averages.entry(key).or_default();
        average.sum = average.at(now);
        average.sum.add(Rate {
            work: work as f32,
            count: 1.0,
        });
        average.last = now;
    }

    /// Returns the current rates.
    pub fn rates(&mut self, now: Millis) -> Rates {
        let rate = |a: &Average| a.at(now).scaled(1_000.0 / AVERAGE_MS);
        self.averages.retain(|_, a| rate(a).work >= MIN_WORK_RATE);
        let rates = self.averages.iter().map(|(k, a)| (k.clone(), rate(a)));
        rates.collect()
    }
}

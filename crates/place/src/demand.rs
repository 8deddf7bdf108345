//! The demand for each model, as a short and a long moving average.

use shaleline_types::{Millis, Model};
use std::collections::BTreeMap;

const SHORT_MS: f64 = 10_000.0;
const LONG_MS: f64 = 120_000.0;

/// Rates below this are not reported.
const MIN_RATE: f64 = 0.01;

#[derive(Debug, Clone, Default)]
struct Average {
    short: f64,
    long: f64,
    last: Millis,
    used: Millis,
}

impl Average {
    fn decay(&mut self, now: Millis) {
        let elapsed = now.since(self.last) as f64;
        self.short *= (-elapsed / SHORT_MS).exp();
        self.long *= (-elapsed / LONG_MS).exp();
        self.last = self.last.max(now);
    }
}

/// The work requested per model. The unit is the caller's; the capacity of engines must use the
/// same one.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    models: BTreeMap<Model, Average>,
    peer_rates: BTreeMap<Model, f64>,
}

impl Demand {
    /// Records that `work` was requested of a model.
    pub fn record(&mut self, model: &Model, work: f64, now: Millis) {
        if !self.models.contains_key(model) {
            self.models.insert(model.clone(), Average::default());
        }
        if let Some(average) = self.models.get_mut(model) {
            average.decay(now);
            average.short += work;
            average.long += work;
            average.used = now;
        }
    }

    /// Sets the demand that other daemons report for each model, in work per second.
    pub fn set_peer_rates(&mut self, rates: BTreeMap<Model, f64>) {
        self.peer_rates = rates;
    }

    /// Returns the work per second requested at this daemon, by model.
    #[must_use]
    pub fn own_rates(&self, now: Millis) -> BTreeMap<Model, f64> {
        let rates = self
            .models
            .keys()
            .map(|m| (m.clone(), self.own_rate(m, now)));
        rates.filter(|(_, r)| *r > MIN_RATE).collect()
    }

    /// Returns the work per second to provide for, at this daemon and others.
    #[must_use]
    pub fn rate(&self, model: &Model, now: Millis) -> f64 {
        let peer_rates = self.peer_rates.get(model).copied().unwrap_or(0.0);
        self.own_rate(model, now) + peer_rates
    }

    /// Returns the larger of both averages, so that a burst counts at once and decays slowly.
    fn own_rate(&self, model: &Model, now: Millis) -> f64 {
        let Some(average) = self.models.get(model) else {
            return 0.0;
        };
        let mut average = average.clone();
        average.decay(now);
        let short = average.short * 1_000.0 / SHORT_MS;
        let long = average.long * 1_000.0 / LONG_MS;
        short.max(long)
    }

    /// Returns the time at which the model was last requested.
    #[must_use]
    pub fn last_use(&self, model: &Model) -> Millis {
        self.models.get(model).map_or(Millis(0), |a| a.used)
    }
}

//! How much each model is asked for, by a short and a long average.

use shaleline_types::{Millis, Model};
use std::collections::BTreeMap;

const SHORT_MS: f64 = 10_000.0;
const LONG_MS: f64 = 120_000.0;

/// A rate below this is not worth telling.
const LEAST_RATE: f64 = 0.01;

#[derive(Debug, Clone, Default)]
struct Average {
    short: f64,
    long: f64,
    last: Millis,
    used: Millis,
}

impl Average {
    fn decay(&mut self, now: Millis) {
        let gone = now.since(self.last) as f64;
        self.short *= (-gone / SHORT_MS).exp();
        self.long *= (-gone / LONG_MS).exp();
        self.last = self.last.max(now);
    }
}

/// Work asked for per model. The unit is the caller's; engines' capacity must use the
/// same one.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    models: BTreeMap<Model, Average>,
    elsewhere: BTreeMap<Model, f64>,
}

impl Demand {
    /// Notes that `work` was asked of a model.
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

    /// Sets what other daemons report to be asked of each model, in work a second.
    pub fn set_peer_rates(&mut self, rates: BTreeMap<Model, f64>) {
        self.elsewhere = rates;
    }

    /// The work a second asked at this daemon alone, by model.
    #[must_use]
    pub fn own_rates(&self, now: Millis) -> BTreeMap<Model, f64> {
        let rates = self
            .models
            .keys()
            .map(|m| (m.clone(), self.own_rate(m, now)));
        rates.filter(|(_, r)| *r > LEAST_RATE).collect()
    }

    /// The work a second to provide for, at this daemon and elsewhere.
    #[must_use]
    pub fn rate(&self, model: &Model, now: Millis) -> f64 {
        let elsewhere = self.elsewhere.get(model).copied().unwrap_or(0.0);
        self.own_rate(model, now) + elsewhere
    }

    /// The work a second to provide for: the larger of both averages, so that a burst is
    /// followed at once and forgotten slowly.
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

    /// When the model was asked for last.
    #[must_use]
    pub fn last_use(&self, model: &Model) -> Millis {
        self.models.get(model).map_or(Millis(0), |a| a.used)
    }
}

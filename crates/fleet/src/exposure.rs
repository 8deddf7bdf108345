//! Estimates what callers lose if engines go on leaving at the recent rate.

use crate::churn::Churn;
use crate::snapshot::Snapshot;
use shaleline_types::Millis;

/// The probability that each engine leaves, and the callers at risk for each model, both by number.
#[derive(Debug)]
pub(crate) struct Exposure {
    probabilities: Vec<f64>,
    /// The callers that arrive while a model is loaded from the weight store.
    callers: Vec<f64>,
}

impl Exposure {
    pub(crate) fn new(snapshot: &Snapshot<'_>, churn: &Churn) -> Self {
        let models = &snapshot.models;
        let longest = models.iter().map(|(_, r)| r.store_time).max();
        let probability = churn.leave_probability(longest.unwrap_or_default(), snapshot.now);
        let seconds = |time: Millis| time.0 as f64 / 1_000.0;
        let rates = models.iter().zip(&snapshot.rates);
        let callers =
            rates.map(|((_, profile), a)| f64::from(a.count) * seconds(profile.store_time));
        Self {
            probabilities: snapshot
                .engines
                .iter()
                .map(|p| probability(p.name))
                .collect(),
            callers: callers.collect(),
        }
    }

    /// The callers that a model is expected to lose if these engines hold it: those that arrive
    /// while it is loaded again, provided that every one of the engines leaves before.
    pub(crate) fn lost(&self, model: usize, engines: impl Iterator<Item = usize>) -> f64 {
        let all_leave: f64 = engines.map(|e| self.probabilities[e]).product();
        self.callers[model] * all_leave
    }
}

//! What callers lose if engines go on leaving at the pace of the last seconds.

use crate::churn::Churn;
use crate::snapshot::Snapshot;
use shaleline_types::Millis;

/// The chance that each engine leaves, and what each model would miss, both by number.
#[derive(Debug)]
pub(crate) struct Exposure {
    chances: Vec<f64>,
    /// The callers that come while a model is loaded from the weight store.
    callers: Vec<f64>,
}

impl Exposure {
    pub(crate) fn new(snapshot: &Snapshot<'_>, churn: &Churn) -> Self {
        let models = &snapshot.models;
        let longest = models.iter().map(|(_, r)| r.store_time).max();
        let chance = churn.outlook(longest.unwrap_or_default(), snapshot.now);
        let seconds = |time: Millis| time.0 as f64 / 1_000.0;
        let asked = models.iter().zip(&snapshot.asked);
        let callers = asked.map(|((_, rule), a)| f64::from(a.count) * seconds(rule.store_time));
        Self {
            chances: snapshot.places.iter().map(|p| chance(p.name)).collect(),
            callers: callers.collect(),
        }
    }

    /// The callers that a model is expected to lose if these engines hold it: all that come
    /// while it is loaded anew, if every one of them leaves before.
    pub(crate) fn lost(&self, model: usize, engines: impl Iterator<Item = usize>) -> f64 {
        let all_leave: f64 = engines.map(|e| self.chances[e]).product();
        self.callers[model] * all_leave
    }
}

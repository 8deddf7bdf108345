//! What callers lose if engines go on leaving at the pace of the last seconds.

use crate::churn::Churn;
use crate::planner::Draft;
use shaleline_types::Millis;

/// The chance that each engine leaves, and what each model would miss, both by number.
#[derive(Debug)]
pub(crate) struct Exposure {
    chances: Vec<f64>,
    /// The callers that come while a model is loaded from the weight store.
    callers: Vec<f64>,
}

impl Exposure {
    /// The engines are those of the draft that count, in their order.
    pub(crate) fn new(draft: &Draft<'_>, churn: &Churn) -> Self {
        let models = &draft.view.catalog.models;
        let longest = models.values().map(|r| r.store).max().unwrap_or_default();
        let chance = churn.outlook(longest, draft.now);
        let engines = draft.view.fleet.engines.iter();
        let engines = engines.filter(|(_, e)| e.counts());
        let seconds = |time: Millis| time.0 as f64 / 1_000.0;
        let callers = models
            .iter()
            .map(|(m, r)| f64::from(draft.asked(m).count) * seconds(r.store));
        Self {
            chances: engines.map(|(name, _)| chance(name)).collect(),
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

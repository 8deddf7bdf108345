//! Estimates how long requests hold the slots of an engine.
//!
//! An engine has two resources that run out: the time in which it reads prompts, and the slots that
//! answers hold while they are generated. Where prompts are short and slots are few, the slots run
//! out first, so work that counted prompts alone would leave a busy model on few replicas.

use shaleline_types::Model;
use std::collections::BTreeMap;

/// The weight of one answer in the moving average.
const STEP: f64 = 0.1;

/// The largest factor by which one answer may differ from the average: a caller that reads slowly
/// keeps its answer open long after the engine has generated it.
const MAX_RATIO: f64 = 3.0;

/// The part of an engine's time for which held slots count. Prompts are read one after the other,
/// but many slots serve side by side: requests hardly wait for one while half of them are free.
const SLOT_PART: f64 = 0.5;

/// The time that models take to generate a token of an answer, learned from whole answers.
#[derive(Debug, Clone, Default)]
pub struct SlotTimes {
    by_model: BTreeMap<Model, f64>,
    /// The average over all models, for those without an answer so far.
    overall: Option<f64>,
}

impl SlotTimes {
    /// Records that an answer that may have `tokens` tokens held its slot for `held` milliseconds.
    pub fn record(&mut self, model: &Model, tokens: u64, held: u64) {
        if tokens == 0 {
            return;
        }
        let per_token = held as f64 / tokens as f64;
        let known = self.by_model.get(model).copied().or(self.overall);
        let own = average(known, per_token);
        self.by_model.insert(model.clone(), own);
        self.overall = Some(average(self.overall, per_token));
    }

    /// Returns the time in milliseconds for which an answer of at most `tokens` tokens is expected
    /// to hold a slot; 0 as long as no answer was seen.
    #[must_use]
    pub fn expected(&self, model: &Model, tokens: u64) -> f64 {
        let per_token = self.by_model.get(model).copied().or(self.overall);
        per_token.unwrap_or(0.0) * tokens as f64
    }
}

fn average(known: Option<f64>, observed: f64) -> f64 {
    let Some(known) = known else {
        return observed;
    };
    let bounded = observed.clamp(known / MAX_RATIO, known * MAX_RATIO);
    known + (bounded - known) * STEP
}

/// Returns the part of an engine's time that a request takes, in milliseconds: that of the resource
/// which runs out first. `prompt` is the time to read its prompt, `held` the time for which its
/// answer holds one of `slots` slots.
#[must_use]
pub fn engine_work(prompt: f64, held: f64, slots: usize) -> f64 {
    match slots {
        0 => prompt,
        _ => prompt.max(SLOT_PART * held / slots as f64),
    }
}

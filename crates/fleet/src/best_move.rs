//! Selects the best possible move of one model.

use crate::distribution::{lost_share, CAPACITY};
use crate::draft::Draft;
use crate::valuation::{seconds, Valuation, ABSENT_HORIZON_S, HORIZON_S};
use shaleline_types::Millis;

/// The minimum value of the last load that the weight store allows, in seconds of all requests.
/// Loads have no price while there are enough; the fewer are left, the more they are reserved for
/// models with many callers that may wait soon. With a larger value, less of the value of all
/// requests is earned while engines are replaced.
const SCARCITY_S: f64 = 0.3;

/// The target number of engines with a copy of a model: two, as one of them may crash.
pub(crate) const MIN_COPIES: usize = 2;

/// The number of pairs of engine and victim that are evaluated in full for one model. If there are
/// more, those with the best estimates are taken; deployments of some dozen engines have fewer.
const MAX_CANDIDATES: usize = 64;

/// A model loaded at one engine, and the victim that it evicts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Move {
    pub(crate) engine: usize,
    pub(crate) victim: Option<usize>,
    pub(crate) value: f64,
    pub(crate) from_store: bool,
    /// Whether the engine has to complete another order first.
    pub(crate) wait: bool,
}

/// A move to be evaluated.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    engine: usize,
    victim: Option<usize>,
    from_store: bool,
    wait: Millis,
    /// A rough estimate of its value.
    estimate: f64,
}

impl<'a> Valuation<'a> {
    /// Returns the best move of a model, if it has a positive value.
    pub(crate) fn best(&mut self, draft: &Draft<'a>, model: usize) -> Option<Move> {
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        self.collect_candidates(draft, model, &mut candidates);
        if candidates.len() > MAX_CANDIDATES {
            let by_estimate = |a: &Candidate, b: &Candidate| b.estimate.total_cmp(&a.estimate);
            candidates.select_nth_unstable_by(MAX_CANDIDATES, by_estimate);
            candidates.truncate(MAX_CANDIDATES);
            candidates.sort_unstable_by_key(|c| (c.engine, c.victim));
        }
        self.evaluations_left = self.evaluations_left.saturating_sub(candidates.len());
        let price = self.load_price(draft);
        // A model without a replica is worth more than adapters of one that is served: what its
        // load blocks decides between engines, but does not forbid it.
        let is_missing = self.later.is_missing(model);
        let mut best: Option<(f64, Move)> = None;
        for candidate in &candidates {
            let Candidate {
                engine,
                victim,
                from_store,
                wait,
                ..
            } = *candidate;
            let price = if from_store { price } else { 0.0 };
            let value = self.value(model, engine, victim, wait) - price;
            let net = value - self.blocked(model, engine, victim);
            if value > 0.0 && best.is_none_or(|(most, _)| net > most) {
                let chosen = Move {
                    engine,
                    victim,
                    value: if is_missing { value } else { net },
                    from_store,
                    wait: wait.0 > 0,
                };
                best = Some((net, chosen));
            }
        }
        self.candidates = candidates;
        best.map(|(_, chosen)| chosen).filter(|b| b.value > 0.0)
    }

    /// Collects the engines that may load the model, each with its possible victims.
    fn collect_candidates(&self, draft: &Draft<'a>, model: usize, out: &mut Vec<Candidate>) {
        let profile = self.snapshot.models[model].1;
        // No caller waits for an idle model; it only gets free memory.
        let is_idle = self.snapshot.is_idle(model);
        let lost_rate = self.later.lost_rate_of(model);
        for engine in draft.open_engines() {
            let Some(wait) = draft.wait_time(engine) else {
                continue;
            };
            if self.later.holds(engine, model) {
                continue;
            }
            let from_store = self.snapshot.engines[engine].summary.copy(model).is_none();
            if from_store && draft.loads == 0 {
                continue;
            }
            let until = seconds(wait.plus(self.load_time(model, engine).0));
            let mut add = |victim| {
                let estimate = self.estimate(lost_rate, engine, victim, until);
                out.push(Candidate {
                    engine,
                    victim,
                    from_store,
                    wait,
                    estimate,
                });
            };
            if draft.has_room(engine, profile) {
                add(None);
            } else if !is_idle {
                let victims = &self.snapshot.engines[engine].summary.serving;
                let victims = victims.iter().filter(|v| self.may_evict(**v, model));
                victims.for_each(|v| add(Some(*v)));
            }
        }
    }

    /// A rough estimate of the value of a move: the callers of the model, of whom `lost_rate` a
    /// second are lost now, are served as far as the engine has capacity for their work, and those
    /// of the victim are lost if it has no other replica.
    fn estimate(&self, lost_rate: f64, engine: usize, victim: Option<usize>, until: f64) -> f64 {
        let victim_work = victim.map_or(0.0, |v| self.later.share(v, engine));
        let lost = lost_share(self.later.load(engine) - victim_work);
        let gain = lost_rate * (1.0 - lost) - lost * self.later.count(engine);
        let last = victim.filter(|v| self.later.replicas(*v) == 1);
        let loss = last.map_or(victim_work / CAPACITY, |v| self.later.absent_loss(v));
        gain * (ABSENT_HORIZON_S - until) - loss * HORIZON_S
    }

    /// The minimum value of a load from the weight store, by the number of loads left.
    fn load_price(&self, draft: &Draft<'a>) -> f64 {
        let left = draft.loads as f64 / draft.load_capacity.max(1) as f64;
        self.total_rate * SCARCITY_S * (1.0 - left).max(0.0)
    }

    /// Whether the victim may be evicted for the model at all. The last replica of a model that
    /// would have to come from the weight store again after a crash is evicted only for a model
    /// that has callers and no replica.
    fn may_evict(&self, victim: usize, model: usize) -> bool {
        let waited = self.later.is_missing(model);
        waited || self.later.replicas(victim) > 1 || self.snapshot.copies(victim) >= MIN_COPIES
    }
}

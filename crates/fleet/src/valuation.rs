//! Values a move of a model by the requests that it saves or loses.

use crate::best_move::{Candidate, Move};
use crate::blocking::Blocking;
use crate::churn::Churn;
use crate::distribution::Distribution;
use crate::draft::Draft;
use crate::engine_summary::CopyKind;
use crate::exposure::Exposure;
use crate::holders::Holders;
use crate::shortage::Shortage;
use crate::snapshot::Snapshot;
use crate::Rate;
use shaleline_types::Millis;

/// The time for which demand is expected to stay as it is, in seconds. It is longer than a load of
/// six to nine seconds from the weight store, so that such a load has a value.
pub(crate) const HORIZON_S: f64 = 15.0;

/// The minimum gain of a move over the horizon, in requests: demand is an estimate, and a model
/// that moves for less goes back and forth.
pub(crate) const MOVE_COST: f64 = 3.0;

/// The requests that a loading engine loses for each second, as it takes no other order meanwhile.
const BLOCKED_COST: f64 = 1.0;

/// The callers a second that an idle model is assumed to have. It is in the same unit as the other
/// terms: a figure larger than all demand would let idle models outweigh those that callers wait
/// for, and fewer attempts for busy models would be served while engines are replaced.
const IDLE_LOSS: f64 = 0.25;

/// The time for which a model without a replica is expected to stay so unless it is loaded, in
/// seconds. It is longer than the horizon of demand: otherwise a load of nine seconds would have no
/// value for a model with few callers. With a much longer time, such models go before busy ones,
/// and less of the value of all requests is earned while engines are replaced.
pub(crate) const ABSENT_HORIZON_S: f64 = 30.0;

/// The weight of the squared number of unserved callers, added to the callers a second of a model
/// without a replica. A few callers outweigh no busy model, but no model stays without a replica
/// indefinitely. Without this term, a model with few callers is never loaded where all memory is
/// taken by busier models.
const UNMET_WEIGHT: f64 = 0.1;

/// The time to unload an idle model, and one whose last streams must end first.
const UNLOAD_TIME: Millis = Millis(300);
const BUSY_UNLOAD_TIME: Millis = Millis(2_500);

/// A model with less work on an engine, in milliseconds a second, is not in use there.
const IN_USE_WORK: f64 = 5.0;

/// The state by which moves are valued.
pub(crate) struct Valuation<'a> {
    pub(crate) snapshot: &'a Snapshot<'a>,
    /// The work as it spreads over the replicas that serve soon, and over all of them.
    pub(crate) soon: Distribution,
    pub(crate) later: Distribution,
    /// When the first replica of a model serves, for those that do not serve soon.
    due: Vec<Option<Millis>>,
    exposure: Exposure,
    shortage: Shortage,
    blocking: Blocking,
    /// All requests a second.
    pub(crate) total_rate: f64,
    /// The evaluations that may still be made.
    pub(crate) evaluations_left: usize,
    /// A reused buffer for candidates.
    pub(crate) candidates: Vec<Candidate>,
}

pub(crate) fn seconds(time: Millis) -> f64 {
    time.0 as f64 / 1_000.0
}

impl<'a> Valuation<'a> {
    pub(crate) fn new(draft: &Draft<'a>, churn: &Churn) -> Self {
        let snapshot = draft.snapshot;
        let Holders { soon, later, due } = Holders::new(draft);
        let rates = &snapshot.rates;
        let lost = |(rates, unmet_callers): (&Rate, &f64)| {
            f64::from(rates.count) + IDLE_LOSS + UNMET_WEIGHT * unmet_callers * unmet_callers
        };
        let missing: Vec<f64> = rates.iter().zip(&draft.unmet_callers).map(lost).collect();
        let engines = snapshot.engines.len();
        Self {
            soon: Distribution::new(engines, &soon, rates, &missing),
            later: Distribution::new(engines, &later, rates, &missing),
            due,
            exposure: Exposure::new(snapshot, churn),
            shortage: Shortage::new(snapshot),
            blocking: Blocking::new(draft),
            total_rate: rates.iter().map(|r| f64::from(r.count)).sum(),
            evaluations_left: 0,
            candidates: Vec::new(),
            snapshot,
        }
    }

    /// The work on an engine.
    pub(crate) fn load(&self, engine: usize) -> f64 {
        self.later.load(engine)
    }

    /// The callers that a model is expected to lose when engines leave, if it were also held at
    /// `added` and not at `removed`.
    fn expected_loss(&self, model: usize, added: Option<usize>, removed: Option<usize>) -> f64 {
        let held = self.later.engines_of(model).filter(|e| Some(*e) != removed);
        self.exposure.lost(model, held.chain(added))
    }

    /// The models with the largest losses, without those that no move can improve enough.
    pub(crate) fn models_by_loss(&self) -> Vec<usize> {
        let models = 0..self.snapshot.models.len();
        let losses = models.filter_map(|m| Some((self.loss_of_model(m)?, m)));
        let mut ranked: Vec<(f64, usize)> = losses.collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        ranked.into_iter().map(|(_, model)| model).collect()
    }

    /// The requests a second that a model loses in the current state; none if all the losses on its
    /// engines are worth no move.
    fn loss_of_model(&self, model: usize) -> Option<f64> {
        let expected_loss = self.expected_loss(model, None, None) / HORIZON_S;
        let around = self.soon.lost_rate_around(model);
        let around = around.max(self.later.lost_rate_around(model));
        let short = self.shortage.gained(model, self.later.replicas(model));
        let fills = self.later.is_missing(model);
        let worth = fills || (around + expected_loss + short) * HORIZON_S > MOVE_COST;
        let lost_rate = self
            .soon
            .lost_rate_of(model)
            .max(self.later.lost_rate_of(model));
        worth.then_some(lost_rate + expected_loss + short)
    }

    /// The value of a move, in requests over the horizon.
    pub(crate) fn value(
        &mut self,
        model: usize,
        engine: usize,
        victim: Option<usize>,
        wait: Millis,
    ) -> f64 {
        let load = self.load_time(model, engine);
        let drop = self.unload_time(engine, victim);
        let until = seconds(Millis(wait.0 + drop.0 + load.0)).min(HORIZON_S);
        let later = self.later.evaluate(model, engine, victim);
        let gain = match self.due[model] {
            None if self.later.is_missing(model) => later.gain * (ABSENT_HORIZON_S - until),
            None => later.gain * (HORIZON_S - until),
            // Another replica is being loaded: until then callers are not served.
            Some(due) => {
                let due = seconds(due);
                let soon = self.soon.evaluate(model, engine, victim);
                soon.gain * (due - until).max(0.0) + later.gain * (HORIZON_S - due.max(until))
            }
        };
        // Filling free memory with a model that has no replica costs nothing.
        let fills = victim.is_none() && self.later.is_missing(model);
        let cost = if fills {
            0.0
        } else {
            MOVE_COST + BLOCKED_COST * seconds(load)
        };
        let slot_gain = self.slot_gain(model, victim) * (HORIZON_S - until);
        gain + slot_gain + self.risk_reduction(model, engine, victim)
            - later.loss * HORIZON_S
            - cost
    }

    /// The callers of adapters that are lost if the engine takes no adapter during a move.
    pub(crate) fn blocked(&self, model: usize, engine: usize, victim: Option<usize>) -> f64 {
        let time = self.unload_time(engine, victim).0 + self.load_time(model, engine).0;
        self.blocking.lost_rate(self.snapshot, engine, victim) * seconds(Millis(time))
    }

    /// The time to unload the victim, if there is one.
    fn unload_time(&self, engine: usize, victim: Option<usize>) -> Millis {
        match victim {
            None => Millis(0),
            Some(v) if self.later.share(v, engine) > IN_USE_WORK => BUSY_UNLOAD_TIME,
            Some(_) => UNLOAD_TIME,
        }
    }

    /// The callers a second that gain a slot for their adapter by a move.
    fn slot_gain(&self, model: usize, victim: Option<usize>) -> f64 {
        let gained = self.shortage.gained(model, self.later.replicas(model));
        let lost = victim.map_or(0.0, |v| {
            let left = self.later.replicas(v).saturating_sub(1);
            self.shortage.gained(v, left)
        });
        gained - lost
    }

    /// The callers that a move is expected to save when engines leave.
    fn risk_reduction(&self, model: usize, engine: usize, victim: Option<usize>) -> f64 {
        let saved = if self.later.is_missing(model) {
            0.0
        } else {
            self.expected_loss(model, None, None) - self.expected_loss(model, Some(engine), None)
        };
        let risked = victim.map_or(0.0, |v| {
            self.expected_loss(v, None, Some(engine)) - self.expected_loss(v, None, None)
        });
        saved - risked
    }

    pub(crate) fn load_time(&self, model: usize, engine: usize) -> Millis {
        let profile = self.snapshot.models[model].1;
        match self.snapshot.engines[engine].summary.copy(model) {
            Some(CopyKind::Warm) => profile.warm_time,
            Some(CopyKind::Disk) => profile.disk_time,
            None => profile.store_time,
        }
    }

    /// Applies a move to the state by which the next moves are valued.
    pub(crate) fn apply(&mut self, model: usize, chosen: &Move) {
        if let Some(victim) = chosen.victim {
            self.soon.remove(victim, chosen.engine);
            self.later.remove(victim, chosen.engine);
        }
        self.blocking.record_order(self.snapshot, chosen.engine);
        self.soon.add(model, chosen.engine);
        self.later.add(model, chosen.engine);
    }
}

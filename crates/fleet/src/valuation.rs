//! What a move of a model is worth, in requests that callers gain or lose.

use crate::best_move::{Candidate, Move};
use crate::churn::Churn;
use crate::distribution::Flow;
use crate::draft::Draft;
use crate::engine_summary::CopyKind;
use crate::exposure::Exposure;
use crate::holders::Holders;
use crate::shortage::Shortage;
use crate::snapshot::Snapshot;
use crate::Rate;
use shaleline_types::Millis;

/// How long demand is taken to stay as it is, in seconds. A load of six to nine seconds
/// from the weight store is worth something within it.
pub(crate) const HORIZON_S: f64 = 15.0;

/// The requests that a move must gain at the least over the horizon: demand is an estimate,
/// and a model that moves for less goes back and forth.
pub(crate) const MOVE_COST: f64 = 3.0;

/// The requests that an engine which loads misses for each second, as it takes no other
/// order meanwhile.
const BLOCKED_COST: f64 = 1.0;

/// The callers a second that a model which nobody asks for is taken to have. It is in the
/// unit of all else that is weighed: a figure beyond all demand would let idle models
/// outweigh those that callers wait for. While engines are replaced, 0.84 of the tries for
/// busy models are served, and 0.58 with such a figure, by five days played.
const IDLE_LOSS: f64 = 0.25;

/// How long a model that is nowhere is taken to stay away if nothing loads it, in seconds. It
/// is longer than demand lasts: only so a load of nine seconds is worth it for a model with
/// few callers. With 60 s these go before busy models: 0.40 in place of 0.43 of what callers'
/// requests are worth is earned while engines are replaced, by ten days played.
pub(crate) const ABSENT_HORIZON_S: f64 = 30.0;

/// What the square of the callers that came in vain adds to the callers a second of a model
/// that is away. So a few outweigh no busy model, but no model stays away for good: one with a
/// caller every five seconds gets its turn after 26 s where all room is taken by models with
/// two callers a second and more; without this it never does, by the test that plays it.
const IN_VAIN: f64 = 0.1;

/// The time to drop a model that nobody uses, and one whose last streams must end first.
const DROP: Millis = Millis(300);
const DROP_IN_USE: Millis = Millis(2_500);

/// A model that brings an engine less work, in milliseconds a second, is not in use.
const IN_USE: f64 = 5.0;

/// What moves are weighed by.
pub(crate) struct Board<'a> {
    pub(crate) snapshot: &'a Snapshot<'a>,
    /// The work as it spreads over the replicas that serve soon, and over all of them.
    pub(crate) soon: Flow,
    pub(crate) later: Flow,
    /// When the first replica of a model is there that is not there soon.
    due: Vec<Option<Millis>>,
    exposure: Exposure,
    shortage: Shortage,
    /// All that is asked for, in requests a second.
    pub(crate) asked: f64,
    /// Changes that may still be weighed in full.
    pub(crate) left: usize,
    /// Room to gather them in.
    pub(crate) candidates: Vec<Candidate>,
}

pub(crate) fn seconds(time: Millis) -> f64 {
    time.0 as f64 / 1_000.0
}

impl<'a> Board<'a> {
    pub(crate) fn new(draft: &Draft<'a>, churn: &Churn) -> Self {
        let snapshot = draft.snapshot;
        let Holders { soon, later, due } = Holders::new(draft);
        let asked = &snapshot.asked;
        let lost = |(asked, in_vain): (&Rate, &f64)| {
            f64::from(asked.count) + IDLE_LOSS + IN_VAIN * in_vain * in_vain
        };
        let missing: Vec<f64> = asked.iter().zip(&draft.in_vain).map(lost).collect();
        let engines = snapshot.places.len();
        Self {
            soon: Flow::new(engines, &soon, asked, &missing),
            later: Flow::new(engines, &later, asked, &missing),
            due,
            exposure: Exposure::new(snapshot, churn),
            shortage: Shortage::new(snapshot),
            asked: asked.iter().map(|r| f64::from(r.count)).sum(),
            left: 0,
            candidates: Vec::new(),
            snapshot,
        }
    }

    /// What an engine has to do.
    pub(crate) fn load(&self, place: usize) -> f64 {
        self.later.load(place)
    }

    /// The callers that a model is expected to lose when engines leave, were it held at
    /// `added` besides, and not at `removed`.
    fn exposed(&self, model: usize, added: Option<usize>, removed: Option<usize>) -> f64 {
        let held = self.later.engines_of(model).filter(|e| Some(*e) != removed);
        self.exposure.lost(model, held.chain(added))
    }

    /// The models that lose most as things are, without those that no move can help enough.
    pub(crate) fn neediest(&self) -> Vec<usize> {
        let models = 0..self.snapshot.models.len();
        let needs = models.filter_map(|m| Some((self.need(m)?, m)));
        let mut needy: Vec<(f64, usize)> = needs.collect();
        needy.sort_by(|a, b| b.0.total_cmp(&a.0));
        needy.into_iter().map(|(_, model)| model).collect()
    }

    /// What a model loses as things are, in requests a second; none where all that is lost on
    /// its engines is worth no move.
    fn need(&self, model: usize) -> Option<f64> {
        let exposed = self.exposed(model, None, None) / HORIZON_S;
        let around = self.soon.harm_around(model);
        let around = around.max(self.later.harm_around(model));
        let short = self.shortage.gained(model, self.later.replicas(model));
        let fills = self.later.is_missing(model);
        let worth = fills || (around + exposed + short) * HORIZON_S > MOVE_COST;
        let harm = self.soon.harm_of(model).max(self.later.harm_of(model));
        worth.then_some(harm + exposed + short)
    }

    /// What a move is worth, in requests over the horizon.
    pub(crate) fn value(
        &mut self,
        model: usize,
        engine: usize,
        victim: Option<usize>,
        wait: Millis,
    ) -> f64 {
        let load = self.load_time(model, engine);
        let in_use = victim.is_some_and(|v| self.later.share(v, engine) > IN_USE);
        let drop = match (victim, in_use) {
            (None, _) => Millis(0),
            (Some(_), false) => DROP,
            (Some(_), true) => DROP_IN_USE,
        };
        let until = seconds(Millis(wait.0 + drop.0 + load.0)).min(HORIZON_S);
        let later = self.later.weigh(model, engine, victim);
        let gain = match self.due[model] {
            None if self.later.is_missing(model) => later.gain * (ABSENT_HORIZON_S - until),
            None => later.gain * (HORIZON_S - until),
            // Another replica is on its way: until then callers go without.
            Some(due) => {
                let due = seconds(due);
                let soon = self.soon.weigh(model, engine, victim);
                soon.gain * (due - until).max(0.0) + later.gain * (HORIZON_S - due.max(until))
            }
        };
        // Room that is free costs nothing to fill with a model that is nowhere.
        let fills = victim.is_none() && self.later.is_missing(model);
        let cost = if fills {
            0.0
        } else {
            MOVE_COST + BLOCKED_COST * seconds(load)
        };
        let placed = self.placed(model, victim) * (HORIZON_S - until);
        gain + placed + self.insured(model, engine, victim) - later.loss * HORIZON_S - cost
    }

    /// The callers a second who find a place for their adapter by a move.
    fn placed(&self, model: usize, victim: Option<usize>) -> f64 {
        let gained = self.shortage.gained(model, self.later.replicas(model));
        let lost = victim.map_or(0.0, |v| {
            let left = self.later.replicas(v).saturating_sub(1);
            self.shortage.gained(v, left)
        });
        gained - lost
    }

    /// The callers that a move is expected to save when engines leave.
    fn insured(&self, model: usize, engine: usize, victim: Option<usize>) -> f64 {
        let saved = if self.later.is_missing(model) {
            0.0
        } else {
            self.exposed(model, None, None) - self.exposed(model, Some(engine), None)
        };
        let risked = victim.map_or(0.0, |v| {
            self.exposed(v, None, Some(engine)) - self.exposed(v, None, None)
        });
        saved - risked
    }

    pub(crate) fn load_time(&self, model: usize, engine: usize) -> Millis {
        let rule = self.snapshot.models[model].1;
        match self.snapshot.places[engine].row.copy(model) {
            Some(CopyKind::Warm) => rule.warm_time,
            Some(CopyKind::Disk) => rule.disk_time,
            None => rule.store_time,
        }
    }

    /// Takes a move into account for those that follow.
    pub(crate) fn apply(&mut self, model: usize, chosen: &Move) {
        if let Some(victim) = chosen.victim {
            self.soon.remove(victim, chosen.engine);
            self.later.remove(victim, chosen.engine);
        }
        self.soon.add(model, chosen.engine);
        self.later.add(model, chosen.engine);
    }
}

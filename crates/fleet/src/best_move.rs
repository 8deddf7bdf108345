//! The best move for one model, among those that are possible.

use crate::distribution::{lost_share, CAPACITY};
use crate::draft::Draft;
use crate::valuation::{seconds, Board, ABSENT_HORIZON_S, HORIZON_S};
use shaleline_types::Millis;

/// What the last load that the weight store bears must be worth at the least, in seconds of all
/// that is asked for. Loads cost nothing where there are enough; the fewer are left, the more
/// they are kept for models that many callers may wait for in a moment. With 0.3 s, 0.77 of
/// what requests are worth is earned while engines are replaced, with 1 s 0.75, by ten days.
const SCARCE_S: f64 = 0.3;

/// The engines that should have a copy of a model: two, as one of them may crash.
pub(crate) const COPIES: usize = 2;

/// How many engines and victims are weighed in full for one model; where there are more, those
/// that look best by what they hold and have to do. Deployments of some dozen engines have
/// fewer.
const MOST_CANDIDATES: usize = 64;

/// One model at one engine, and what makes room.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Move {
    pub(crate) engine: usize,
    pub(crate) victim: Option<usize>,
    pub(crate) value: f64,
    pub(crate) far: bool,
    /// Whether the engine has to end another order first.
    pub(crate) wait: bool,
}

/// A move that may be worth something.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    engine: usize,
    victim: Option<usize>,
    far: bool,
    wait: Millis,
    /// What it is worth at a glance.
    glance: f64,
}

impl<'a> Board<'a> {
    /// The best move for a model, if any is worth it.
    pub(crate) fn best(&mut self, draft: &Draft<'a>, model: usize) -> Option<Move> {
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        self.gather(draft, model, &mut candidates);
        if candidates.len() > MOST_CANDIDATES {
            let by_glance = |a: &Candidate, b: &Candidate| b.glance.total_cmp(&a.glance);
            candidates.select_nth_unstable_by(MOST_CANDIDATES, by_glance);
            candidates.truncate(MOST_CANDIDATES);
            candidates.sort_unstable_by_key(|c| (c.engine, c.victim));
        }
        self.left = self.left.saturating_sub(candidates.len());
        let price = self.load_price(draft);
        let mut best: Option<Move> = None;
        for candidate in &candidates {
            let Candidate {
                engine,
                victim,
                far,
                wait,
                ..
            } = *candidate;
            let price = if far { price } else { 0.0 };
            let value = self.value(model, engine, victim, wait) - price;
            if best.is_none_or(|b| value > b.value) {
                best = Some(Move {
                    engine,
                    victim,
                    value,
                    far,
                    wait: wait.0 > 0,
                });
            }
        }
        self.candidates = candidates;
        best.filter(|b| b.value > 0.0)
    }

    /// The engines that may load the model, each with what may make room.
    fn gather(&self, draft: &Draft<'a>, model: usize, out: &mut Vec<Candidate>) {
        let rule = self.snapshot.models[model].1;
        // Nobody waits for an idle model; it gets what room the others leave.
        let spare = self.snapshot.is_idle(model);
        let harm = self.later.harm_of(model);
        for engine in draft.open_places() {
            let Some(wait) = draft.wait_for(engine) else {
                continue;
            };
            if self.later.holds(engine, model) {
                continue;
            }
            let far = self.snapshot.places[engine].row.copy(model).is_none();
            if far && draft.loads == 0 {
                continue;
            }
            let until = seconds(wait.plus(self.load_time(model, engine).0));
            let mut add = |victim| {
                let glance = self.glance(harm, engine, victim, until);
                out.push(Candidate {
                    engine,
                    victim,
                    far,
                    wait,
                    glance,
                });
            };
            if draft.has_room(engine, rule) {
                add(None);
            } else if !spare {
                let victims = &self.snapshot.places[engine].row.serving;
                let victims = victims.iter().filter(|v| self.may_go(**v, model));
                victims.for_each(|v| add(Some(*v)));
            }
        }
    }

    /// What a move is worth at a glance: the model's callers, of whom `harm` a second are lost
    /// now, are served as far as the engine has room for their work, and those of the victim
    /// are lost where nobody else has it.
    fn glance(&self, harm: f64, engine: usize, victim: Option<usize>, until: f64) -> f64 {
        let gone = victim.map_or(0.0, |v| self.later.share(v, engine));
        let lost = lost_share(self.later.load(engine) - gone);
        let gain = harm * (1.0 - lost) - lost * self.later.count(engine);
        let last = victim.filter(|v| self.later.replicas(*v) == 1);
        let loss = last.map_or(gone / CAPACITY, |v| self.later.missing(v));
        gain * (ABSENT_HORIZON_S - until) - loss * HORIZON_S
    }

    /// What a load from the weight store has to be worth, by how many are left.
    fn load_price(&self, draft: &Draft<'a>) -> f64 {
        let left = draft.loads as f64 / draft.most_loads.max(1) as f64;
        self.asked * SCARCE_S * (1.0 - left).max(0.0)
    }

    /// Whether the victim may make room for the model at all. The last replica of a model that
    /// would come from the weight store again if its engine crashed gives way only where
    /// callers wait for the other in vain.
    fn may_go(&self, victim: usize, model: usize) -> bool {
        let waited = self.later.is_missing(model);
        waited || self.later.replicas(victim) > 1 || self.snapshot.copies(victim) >= COPIES
    }
}

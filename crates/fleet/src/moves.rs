//! Which model is loaded where, and which makes room for it.
//!
//! Each possible move is valued by the requests that callers gain over the time for which
//! demand is taken to last: fewer are late or refused on engines at their limit, from the
//! time at which the load is done; what makes room is missed at once. So a copy on an engine's disk, a
//! second away, beats the weight store; hot models spread over engines of their own; and
//! models that nobody asks for give way while their copies keep them within a second's
//! reach. Against a plan that compares milliseconds of prompts step by step, 590 in place of
//! 536 of 1,000 chats on crowded days are in time, by 30 days played. `docs/DECISIONS.md` has
//! what was tried.

use crate::churn::Churn;
use crate::exposure::Exposure;
use crate::flow::Flow;
use crate::planner::Draft;
use crate::{Engine, ModelRule, OrderKind, PlanNote, Rate};
use shaleline_types::{Millis, Model, Upstream};

/// How long demand is taken to stay as it is, in seconds. A load of six to nine seconds
/// from the weight store is worth something within it.
const HORIZON_S: f64 = 15.0;

/// The requests that a move must gain at the least over the horizon: demand is an estimate,
/// and a model that moves for less goes back and forth.
const MOVE_COST: f64 = 3.0;

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
const ABSENT_HORIZON_S: f64 = 30.0;

/// What the square of the callers that came in vain adds to the callers a second of a model
/// that is away. So a few outweigh no busy model, but no model stays away for good: one with a
/// caller every five seconds gets its turn after 26 s where all room is taken by models with
/// two callers a second and more; without this it never does, by the test that plays it.
const IN_VAIN: f64 = 0.1;

/// What the last load that the weight store bears must be worth at the least, in seconds of all
/// that is asked for. Loads cost nothing where there are enough; the fewer are left, the more
/// they are kept for models that many callers may wait for in a moment. With 0.3 s, 0.77 of
/// what requests are worth is earned while engines are replaced, with 1 s 0.75, by ten days.
const SCARCE_S: f64 = 0.3;

/// The engines that should have a copy of a model: two, as one of them may crash.
pub(crate) const COPIES: usize = 2;

/// A replica that serves within this time counts as serving.
const SOON: Millis = Millis(1_500);

/// Moves in one plan; the next plan goes on a moment later.
const MOST_MOVES: usize = 8;

/// Models that are tried for them, those that lose most first.
const MOST_TRIED: usize = 16;

/// The time to drop a model that nobody uses, and one whose last streams must end first.
const DROP: Millis = Millis(300);
const DROP_IN_USE: Millis = Millis(2_500);

/// A model that brings an engine less work, in milliseconds a second, is not in use.
const IN_USE: f64 = 5.0;

/// One model at one engine, and what makes room.
#[derive(Debug, Clone, Copy)]
struct Move {
    engine: usize,
    victim: Option<usize>,
    value: f64,
    far: bool,
    /// Whether the engine has to end another order first.
    wait: bool,
}

/// The engines and models of a plan by number.
pub(crate) struct Board<'a> {
    engines: Vec<(&'a Upstream, &'a Engine)>,
    models: Vec<(&'a Model, &'a ModelRule)>,
    /// The work as it spreads over the replicas that serve soon, and over all of them.
    soon: Flow,
    later: Flow,
    /// The models that each engine serves, any of which may make room.
    serving: Vec<Vec<usize>>,
    /// When the first replica of a model is there that is not there soon.
    due: Vec<Option<Millis>>,
    exposure: Exposure,
    /// All that is asked for, in requests a second.
    asked: f64,
}

fn seconds(time: Millis) -> f64 {
    time.0 as f64 / 1_000.0
}

impl<'a> Board<'a> {
    pub(crate) fn new(draft: &Draft<'a>, churn: &Churn) -> Self {
        let (catalog, now) = (draft.view.catalog, draft.now);
        let engines = draft.view.fleet.engines.iter();
        let engines: Vec<_> = engines.filter(|(_, e)| e.counts()).collect();
        let models: Vec<_> = catalog.models.iter().collect();
        let mut soon = vec![Vec::new(); models.len()];
        let mut later = soon.clone();
        let mut due = vec![None; models.len()];
        let mut serving = vec![Vec::new(); engines.len()];
        for (number, (model, _)) in models.iter().enumerate() {
            for (place, (name, engine)) in engines.iter().enumerate() {
                let intended = draft.intends(name, model);
                if !engine.will_serve(model) && !intended {
                    continue;
                }
                later[number].push(place);
                let ready = engine.ready_at(model, catalog).filter(|_| !intended);
                let left = ready.map(|r| Millis(r.since(now)));
                if engine.serves(model) {
                    serving[place].push(number);
                }
                if engine.serves(model) || left.is_some_and(|l| l <= SOON) {
                    soon[number].push(place);
                } else {
                    let left = left.unwrap_or(SOON);
                    let first = due[number].map_or(left, |d: Millis| d.min(left));
                    due[number] = Some(first);
                }
            }
        }
        let asked: Vec<Rate> = models.iter().map(|(m, _)| draft.asked(m)).collect();
        let lost = |m: &Model| {
            let in_vain = draft.in_vain(m);
            f64::from(draft.asked(m).count) + IDLE_LOSS + IN_VAIN * in_vain * in_vain
        };
        let missing: Vec<f64> = models.iter().map(|(m, _)| lost(m)).collect();
        Self {
            soon: Flow::new(engines.len(), &soon, &asked, &missing),
            later: Flow::new(engines.len(), &later, &asked, &missing),
            engines,
            models,
            serving,
            due,
            exposure: Exposure::new(draft, churn),
            asked: asked.iter().map(|r| f64::from(r.count)).sum(),
        }
    }

    /// What an engine has to do.
    pub(crate) fn load(&self, engine: &Upstream) -> f64 {
        let place = self.engines.iter().position(|(n, _)| *n == engine);
        place.map_or(0.0, |p| self.later.load(p))
    }

    /// The callers that a model is expected to lose when engines leave, were it held at
    /// `added` besides, and not at `removed`.
    fn exposed(&self, model: usize, added: Option<usize>, removed: Option<usize>) -> f64 {
        let held = self.later.engines_of(model).filter(|e| Some(*e) != removed);
        self.exposure.lost(model, held.chain(added))
    }

    /// The models that lose most as things are.
    fn neediest(&self) -> Vec<usize> {
        let mut models: Vec<usize> = (0..self.models.len()).collect();
        let exposed = |m: usize| self.exposed(m, None, None) / HORIZON_S;
        let harm = |m: &usize| {
            let harm = self.soon.harm_of(*m).max(self.later.harm_of(*m));
            harm + exposed(*m)
        };
        models.sort_by(|a, b| harm(b).total_cmp(&harm(a)));
        models.truncate(MOST_TRIED);
        models
    }

    /// What a move is worth, in requests over the horizon.
    fn value(&mut self, model: usize, engine: usize, victim: Option<usize>, wait: Millis) -> f64 {
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
        gain + self.insured(model, engine, victim) - later.loss * HORIZON_S - cost
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

    fn load_time(&self, model: usize, engine: usize) -> Millis {
        let (name, rule) = self.models[model];
        self.engines[engine].1.load_time(name, rule)
    }

    /// The best move for a model, if any is worth it.
    fn best(&mut self, draft: &Draft<'a>, model: usize) -> Option<Move> {
        let (name, rule) = self.models[model];
        let price = self.load_price(draft);
        // Nobody waits for an idle model; it gets what room the others leave.
        let spare = draft.is_idle(name);
        let mut best: Option<Move> = None;
        for place in 0..self.engines.len() {
            let (engine_name, engine) = self.engines[place];
            let Some(wait) = draft.wait_for(engine_name, engine) else {
                continue;
            };
            if self.later.holds(place, model) {
                continue;
            }
            let far = self.load_time(model, place) == rule.store;
            if far && draft.loads == 0 {
                continue;
            }
            let victims = match (draft.has_room(engine, rule), spare) {
                (true, _) => vec![None],
                (false, true) => Vec::new(),
                (false, false) => {
                    let victims = self.serving[place].iter().copied();
                    let victims = victims.filter(|v| self.may_go(draft, *v, model));
                    victims.map(Some).collect()
                }
            };
            for victim in victims {
                let price = if far { price } else { 0.0 };
                let value = self.value(model, place, victim, wait) - price;
                if best.is_none_or(|b| value > b.value) {
                    best = Some(Move {
                        engine: place,
                        victim,
                        value,
                        far,
                        wait: wait.0 > 0,
                    });
                }
            }
        }
        best.filter(|b| b.value > 0.0)
    }

    /// What a load from the weight store has to be worth, by how many are left.
    fn load_price(&self, draft: &Draft<'a>) -> f64 {
        let left = draft.loads as f64 / draft.most_loads.max(1) as f64;
        self.asked * SCARCE_S * (1.0 - left).max(0.0)
    }

    /// Whether the victim may make room for the model at all. The last replica of a model that
    /// would come from the weight store again if its engine crashed gives way only where
    /// callers wait for the other in vain.
    fn may_go(&self, draft: &Draft<'a>, victim: usize, model: usize) -> bool {
        let waited = self.later.is_missing(model);
        waited || self.later.replicas(victim) > 1 || draft.copies(self.models[victim].0) >= COPIES
    }

    /// Takes a move into account for those that follow.
    fn apply(&mut self, model: usize, chosen: &Move) {
        if let Some(victim) = chosen.victim {
            self.soon.remove(victim, chosen.engine);
            self.later.remove(victim, chosen.engine);
        }
        self.soon.add(model, chosen.engine);
        self.later.add(model, chosen.engine);
    }
}

impl<'a> Draft<'a> {
    /// Makes the moves that are worth most, the best first. A move changes what others are
    /// worth, mostly to less, so the best is looked at anew before it is made.
    pub(crate) fn make_moves(&mut self, board: &mut Board<'a>) {
        let models = board.neediest().into_iter();
        let mut moves: Vec<(usize, Move)> = models
            .filter_map(|m| Some((m, board.best(self, m)?)))
            .collect();
        let mut left = MOST_MOVES;
        while left > 0 {
            moves.sort_by(|a, b| a.1.value.total_cmp(&b.1.value));
            let Some((model, _)) = moves.pop() else {
                return;
            };
            let Some(chosen) = board.best(self, model) else {
                continue;
            };
            let next = moves.last().map_or(0.0, |(_, m)| m.value);
            if chosen.value >= next {
                board.apply(model, &chosen);
                self.make_move(board, model, &chosen);
                left -= 1;
            }
            moves.push((model, chosen));
        }
    }

    fn make_move(&mut self, board: &Board<'a>, model: usize, chosen: &Move) {
        let (name, _) = board.models[model];
        let (engine, _) = board.engines[chosen.engine];
        self.taken.insert(engine);
        if chosen.wait {
            return;
        }
        self.note_move(board, model, chosen);
        *self.replicas.entry(name).or_default() += 1;
        let Some(victim) = chosen.victim else {
            self.loads -= usize::from(chosen.far);
            self.order(engine, OrderKind::Load, name, None);
            return;
        };
        let (victim, _) = board.models[victim];
        if let Some(count) = self.replicas.get_mut(victim) {
            *count -= 1;
        }
        self.order(engine, OrderKind::Unload, victim, None);
        self.intend(engine, name);
    }

    fn note_move(&mut self, board: &Board<'a>, model: usize, chosen: &Move) {
        let (model, _) = board.models[model];
        let victim = chosen.victim.map(|v| board.models[v].0);
        let victim_asked = victim.map_or(0.0, |v| self.asked(v).count);
        self.notes.push(PlanNote::Move {
            model: model.clone(),
            engine: board.engines[chosen.engine].0.clone(),
            victim: victim.cloned(),
            value: chosen.value,
            asked: (self.asked(model).count, victim_asked),
            far: chosen.far,
            loads: self.loads,
        });
    }
}

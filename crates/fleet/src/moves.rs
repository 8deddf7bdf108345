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

/// What is lost, in requests a second, while a model that nobody asks for is nowhere but
/// has copies. It decides between an idle model and one more replica.
const IDLE_LOSS: f64 = 0.5;

/// Loads from the weight store that are kept for models that are nowhere: what crashes
/// take away must not wait for the window.
const KEPT_LOADS: usize = 4;

/// The same for a model without so many copies: it would be seconds away, so it stays.
const LAST_LOSS: f64 = 1e6;

/// A model that nobody holds may stay away while so many engines have a copy: two, as one
/// of them may crash.
pub(crate) const LAST_COPIES: usize = 2;

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
}

fn seconds(time: Millis) -> f64 {
    time.0 as f64 / 1_000.0
}

impl<'a> Board<'a> {
    pub(crate) fn new(draft: &Draft<'a>) -> Self {
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
            let copied = draft.copies(m) >= LAST_COPIES;
            f64::from(draft.asked(m).count) + if copied { IDLE_LOSS } else { LAST_LOSS }
        };
        let missing: Vec<f64> = models.iter().map(|(m, _)| lost(m)).collect();
        Self {
            soon: Flow::new(engines.len(), &soon, &asked, &missing),
            later: Flow::new(engines.len(), &later, &asked, &missing),
            engines,
            models,
            serving,
            due,
        }
    }

    /// What an engine has to do.
    pub(crate) fn load(&self, engine: &Upstream) -> f64 {
        let place = self.engines.iter().position(|(n, _)| *n == engine);
        place.map_or(0.0, |p| self.later.load(p))
    }

    /// The models that lose most as things are.
    fn neediest(&self) -> Vec<usize> {
        let mut models: Vec<usize> = (0..self.models.len()).collect();
        let harm = |m: &usize| self.soon.harm_of(*m).max(self.later.harm_of(*m));
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
            None => later.gain * (HORIZON_S - until),
            // Another replica is on its way: until then callers go without.
            Some(due) => {
                let due = seconds(due);
                let soon = self.soon.weigh(model, engine, victim);
                soon.gain * (due - until).max(0.0) + later.gain * (HORIZON_S - due.max(until))
            }
        };
        let cost = MOVE_COST + BLOCKED_COST * seconds(load);
        gain - later.loss * HORIZON_S - cost
    }

    fn load_time(&self, model: usize, engine: usize) -> Millis {
        let (name, rule) = self.models[model];
        self.engines[engine].1.load_time(name, rule)
    }

    /// The best move for a model, if any is worth it.
    fn best(&mut self, draft: &Draft<'a>, model: usize) -> Option<Move> {
        let (name, rule) = self.models[model];
        let kept = if self.later.is_missing(model) {
            0
        } else {
            KEPT_LOADS
        };
        // Nobody waits for an idle model with copies; it gets what room the others leave.
        let spare = draft.is_idle(name) && draft.copies(name) >= LAST_COPIES;
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
            if far && draft.loads <= kept {
                continue;
            }
            let victims = match (draft.has_room(engine, rule), spare) {
                (true, _) => vec![None],
                (false, true) => Vec::new(),
                (false, false) => self.serving[place].iter().copied().map(Some).collect(),
            };
            for victim in victims {
                let value = self.value(model, place, victim, wait);
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

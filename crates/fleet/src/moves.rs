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

use crate::best_move::Move;
use crate::draft::Draft;
use crate::valuation::Board;
use crate::{OrderKind, PlanNote};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// How many changes one plan weighs in full: each takes about a microsecond on a core of
/// today, and a plan has a few milliseconds of an instance with half of one. The most urgent
/// models come first, the others in the next plan.
const MOST_WEIGHED: usize = 2_500;

/// The part of it that is spent on finding each model's best move; the rest is for looking
/// again before a move is made.
const FIRST_PART: usize = 2;

/// A model's best move, waiting for its turn: the best first, of equals the one found last.
#[derive(Debug, Clone, Copy)]
struct Turn {
    model: usize,
    value: f64,
    found: usize,
}

impl PartialEq for Turn {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Turn {}

impl PartialOrd for Turn {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Turn {
    fn cmp(&self, other: &Self) -> Ordering {
        let value = self.value.total_cmp(&other.value);
        value.then(self.found.cmp(&other.found))
    }
}

impl<'a> Draft<'a> {
    /// Makes the moves that are worth most, the best first. A move changes what others are
    /// worth, mostly to less, so the best is looked at anew before it is made.
    pub(crate) fn make_moves(&mut self, board: &mut Board<'a>) {
        board.left = MOST_WEIGHED;
        let mut turns = BinaryHeap::new();
        let mut found = 0;
        for model in board.neediest() {
            if board.left <= MOST_WEIGHED / FIRST_PART {
                break;
            }
            if let Some(chosen) = board.best(self, model) {
                let value = chosen.value;
                turns.push(Turn {
                    model,
                    value,
                    found,
                });
                found += 1;
            }
        }
        while board.left > 0 {
            let Some(Turn { model, .. }) = turns.pop() else {
                return;
            };
            let Some(chosen) = board.best(self, model) else {
                continue;
            };
            let next = turns.peek().map_or(0.0, |t| t.value);
            if chosen.value >= next {
                board.apply(model, &chosen);
                self.make_move(model, &chosen);
            }
            turns.push(Turn {
                model,
                value: chosen.value,
                found,
            });
            found += 1;
        }
    }

    fn make_move(&mut self, model: usize, chosen: &Move) {
        let name = self.snapshot.models[model].0;
        self.taken[chosen.engine] = true;
        if chosen.wait {
            return;
        }
        self.note_move(model, chosen);
        self.replicas[model] += 1;
        let Some(victim) = chosen.victim else {
            self.loads -= usize::from(chosen.far);
            self.order(chosen.engine, OrderKind::Load, name, None);
            return;
        };
        self.replicas[victim] = self.replicas[victim].saturating_sub(1);
        let victim = self.snapshot.models[victim].0;
        self.order(chosen.engine, OrderKind::Unload, victim, None);
        self.intend(chosen.engine, name);
    }

    fn note_move(&mut self, model: usize, chosen: &Move) {
        let snapshot = self.snapshot;
        let victim_asked = chosen.victim.map_or(0.0, |v| snapshot.asked[v].count);
        self.notes.push(PlanNote::Move {
            model: snapshot.models[model].0.clone(),
            engine: snapshot.places[chosen.engine].name.clone(),
            victim: chosen.victim.map(|v| snapshot.models[v].0.clone()),
            value: chosen.value,
            asked: (snapshot.asked[model].count, victim_asked),
            from_store: chosen.far,
            loads: self.loads,
        });
    }
}

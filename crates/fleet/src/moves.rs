//! Decides which model is loaded where, and which model it evicts.
//!
//! A move is valued by the requests that it saves over the time for which demand is expected to
//! last: fewer requests are late or refused on engines at their limit once the load is done, while
//! the evicted model loses its replica at once. So a copy on an engine's disk, a second away, is
//! preferred to the weight store; models with much work spread over engines of their own; and
//! models without requests are evicted while their copies can be loaded again within a second.
//! More chats are in time on overloaded days than with a plan that weighs milliseconds of prompts
//! step by step. `docs/DECISIONS.md` lists the alternatives.

use crate::best_move::Move;
use crate::draft::Draft;
use crate::valuation::Valuation;
use crate::{OrderKind, PlanNote};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// The number of changes that one plan evaluates in full. Each takes about a microsecond on a
/// current core, and a plan has a few milliseconds of an instance with half a core. Models with the
/// largest losses come first, the others in the next plan.
const EVALUATION_LIMIT: usize = 2_500;

/// The first pass, which finds the best move of each model, may spend one part in this many of the
/// evaluations; the rest is for evaluating a move again before it is made.
const FIRST_PASS_DIVISOR: usize = 2;

/// The best move of a model, ordered by value and then by the order of discovery, the latest first.
#[derive(Debug, Clone, Copy)]
struct RankedMove {
    model: usize,
    value: f64,
    found: usize,
}

impl PartialEq for RankedMove {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for RankedMove {}

impl PartialOrd for RankedMove {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for RankedMove {
    fn cmp(&self, other: &Self) -> Ordering {
        let value = self.value.total_cmp(&other.value);
        value.then(self.found.cmp(&other.found))
    }
}

impl<'a> Draft<'a> {
    /// Makes the moves with the highest values, the best first. A move changes the value of others,
    /// mostly to a lower one, so the best is evaluated again before it is made.
    pub(crate) fn plan_moves(&mut self, valuation: &mut Valuation<'a>) {
        valuation.evaluations_left = EVALUATION_LIMIT;
        let mut ranked = BinaryHeap::new();
        let mut found = 0;
        for model in valuation.models_by_loss() {
            if valuation.evaluations_left <= EVALUATION_LIMIT / FIRST_PASS_DIVISOR {
                break;
            }
            if let Some(chosen) = valuation.best(self, model) {
                let value = chosen.value;
                ranked.push(RankedMove {
                    model,
                    value,
                    found,
                });
                found += 1;
            }
        }
        while valuation.evaluations_left > 0 {
            let Some(RankedMove { model, .. }) = ranked.pop() else {
                return;
            };
            let Some(chosen) = valuation.best(self, model) else {
                continue;
            };
            let next = ranked.peek().map_or(0.0, |t| t.value);
            if chosen.value >= next {
                valuation.apply(model, &chosen);
                self.plan_move(model, &chosen);
            }
            ranked.push(RankedMove {
                model,
                value: chosen.value,
                found,
            });
            found += 1;
        }
    }

    fn plan_move(&mut self, model: usize, chosen: &Move) {
        let name = self.snapshot.models[model].0;
        self.ordered[chosen.engine] = true;
        if chosen.wait {
            return;
        }
        self.record_move(model, chosen);
        self.replicas[model] += 1;
        let Some(victim) = chosen.victim else {
            self.loads -= usize::from(chosen.from_store);
            self.order(chosen.engine, OrderKind::Load, name, None);
            return;
        };
        self.replicas[victim] = self.replicas[victim].saturating_sub(1);
        let victim = self.snapshot.models[victim].0;
        self.order(chosen.engine, OrderKind::Unload, victim, None);
        self.reserve(chosen.engine, name);
    }

    fn record_move(&mut self, model: usize, chosen: &Move) {
        let snapshot = self.snapshot;
        let victim_asked = chosen.victim.map_or(0.0, |v| snapshot.rates[v].count);
        self.notes.push(PlanNote::Move {
            model: snapshot.models[model].0.clone(),
            engine: snapshot.engines[chosen.engine].name.clone(),
            victim: chosen.victim.map(|v| snapshot.models[v].0.clone()),
            value: chosen.value,
            asked: (snapshot.rates[model].count, victim_asked),
            from_store: chosen.from_store,
            loads: self.loads,
        });
    }
}

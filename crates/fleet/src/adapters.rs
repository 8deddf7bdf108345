//! Which adapters are loaded where.

use crate::draft::Draft;
use crate::valuation::Board;
use crate::waits::Wait;
use crate::{Engine, OrderKind};
use shaleline_types::{Adapter, Model};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// An adapter that came within this time makes room only where no other can: it has the fewest callers as
/// yet, and would go again before any of them finds it.
const STAY_MS: u64 = 1_000;

/// One that was loaded for a wait stays so long even where a caller is about to come back for another: to
/// load it took two orders.
const LEAST_KEPT_MS: u64 = 500;

/// An adapter that has been waited for as long may take the place of another though nobody is about to
/// come back for it: its next caller should find it.
const OVERDUE_MS: u64 = 5_000;

/// Once more than one in so many of an engine's places is kept for callers who may come and were told no
/// time, no other wait takes a place there.
const KEPT_PART: usize = 2;

/// An adapter that is asked for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Asked<'a> {
    model: &'a Model,
    adapter: &'a Adapter,
    /// How long callers have waited for it, where no engine has it.
    wait: Option<Wait>,
    /// Milliseconds of work a second.
    work: f64,
}

impl Asked<'_> {
    /// Its turn: what somebody comes back for a moment from now, the longest wait first; then what has
    /// been waited for; then by work.
    fn turn(&self) -> (Reverse<Option<(bool, u64)>>, f64) {
        let wait = self.wait.map(|w| (w.due, w.waited));
        (Reverse(wait), self.work)
    }

    /// Which adapters may make room for it.
    fn displaces(&self) -> Displaces {
        match self.wait {
            Some(w) if w.due => Displaces::Kept,
            Some(w) if w.soon || (w.refused && w.waited >= OVERDUE_MS) => Displaces::Asked,
            _ => Displaces::Idle,
        }
    }
}

/// Which adapters may make room for another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Displaces {
    /// Only those that nobody asks for.
    Idle,
    /// Also those that are asked for, unless they are kept for callers who may come.
    Asked,
    /// All but those for which a caller is about to come back, and those that have just come.
    Kept,
}

/// How many engines have each adapter.
pub(crate) type AdapterCopies<'a> = BTreeMap<(&'a Model, &'a Adapter), usize>;

impl<'a> Draft<'a> {
    /// Loads adapters that are asked for where their model is, until `copies` engines have each. Those
    /// that callers wait for go first, the longest wait before all: by work alone one that is asked for
    /// rarely would come last at every plan.
    pub(crate) fn adapt(&mut self, board: &Board<'a>, asked: &[Asked<'a>], copies: usize) {
        for adapter in asked {
            self.adapt_one(board, adapter, copies);
        }
    }

    /// The adapters that callers ask for or wait for, in the order of their turns.
    pub(crate) fn asked_adapters(&self) -> Vec<Asked<'a>> {
        let rates = self.snapshot.view.rates;
        let rated = rates.iter().map(|(key, r)| (key, f64::from(r.work)));
        let waits = self
            .waiting
            .nowhere
            .keys()
            .filter(|k| !rates.contains_key(k));
        let all = rated.chain(waits.map(|key| (*key, 0.0)));
        let mut asked: Vec<Asked<'a>> = all
            .filter_map(|(key, work)| {
                Some(Asked {
                    model: &key.0,
                    adapter: key.1.as_ref()?,
                    wait: self.waiting.nowhere.get(key).copied(),
                    work,
                })
            })
            .collect();
        asked.sort_by(|a, b| {
            let ((a_turn, a_work), (b_turn, b_work)) = (a.turn(), b.turn());
            a_turn.cmp(&b_turn).then(b_work.total_cmp(&a_work))
        });
        asked
    }

    fn adapt_one(&mut self, board: &Board<'a>, asked: &Asked<'a>, copies: usize) {
        let Asked { model, adapter, .. } = *asked;
        let snapshot = self.snapshot;
        let Some(number) = snapshot.numbers.get(model) else {
            return;
        };
        let serving = &snapshot.served[number];
        let has = |e: &Engine| has_adapter(e, model, adapter);
        let having = serving.iter().filter(|p| has(snapshot.places[**p].engine));
        let count = having.count();
        if count >= copies.min(serving.len()) {
            return;
        }
        // An order about weights would be refused or refuse this one.
        let candidates = serving
            .iter()
            .filter(|p| !has(snapshot.places[**p].engine) && self.is_free(**p));
        let scored = candidates.filter_map(|place| {
            let engine = snapshot.places[*place].engine;
            let taken = engine.worst_adapters();
            let used = taken.len();
            let transit = engine.pending.iter().filter(|p| p.order.adapter.is_some());
            if transit.count() >= self.settings.pending_adapters {
                return None;
            }
            let victim = if used < snapshot.catalog.adapter_slots {
                None
            } else {
                let displaces = match count {
                    0 => asked.displaces(),
                    _ => Displaces::Idle,
                };
                Some(self.least_missed(engine, displaces)?)
            };
            // Engines that keep fewer places for callers who are about to come back go first.
            let kept = taken.iter().filter(|a| self.waiting.due.contains(*a));
            let crowd = (victim.is_some(), kept.count());
            let load = board.load(*place) + used as f64;
            Some((crowd, load, *place, victim))
        });
        let best = scored.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let Some((_, _, place, victim)) = best else {
            return;
        };
        match victim {
            None => self.order(place, OrderKind::Load, model, Some(adapter)),
            Some((m, a)) => self.order(place, OrderKind::Unload, m, Some(a)),
        }
        self.taken[place] = true;
    }

    /// The adapter on the engine that callers miss least: one that nobody asks for. Where another is
    /// needed that is nowhere, also one that another engine has as well, or the one asked for least. The
    /// only one for which a caller is about to come back stays: that caller was told that it would be there.
    fn least_missed(
        &self,
        engine: &'a Engine,
        displaces: Displaces,
    ) -> Option<(&'a Model, &'a Adapter)> {
        let kept = engine.certain_adapters();
        let kept = kept.filter(|place| self.waiting.kept.contains(place));
        let most = self.snapshot.catalog.adapter_slots / KEPT_PART;
        if displaces == Displaces::Asked && kept.count() > most {
            return None;
        }
        let rates = self.snapshot.view.rates;
        let now = self.snapshot.now;
        let missed = engine.certain_adapters().filter_map(|place| {
            let sole = self.adapter_copies.get(&place).is_none_or(|c| *c < 2);
            if sole && self.waiting.due.contains(&place) {
                return None;
            }
            let key = (place.0.clone(), Some(place.1.clone()));
            let is_kept = sole && self.waiting.kept.contains(&place);
            let age = now.since(engine.came(place.0, place.1));
            let is_new = age < STAY_MS;
            if is_kept && (age < LEAST_KEPT_MS || displaces != Displaces::Kept) {
                return None;
            }
            let rate = rates.get(&key).map_or(0.0, |r| r.work);
            Some(([is_kept, is_new, rate > 0.0, sole], rate, place))
        });
        let order = |a: &([bool; 4], f32, _), b: &([bool; 4], f32, _)| {
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        };
        let ([_, is_new, ..], work, least) = missed.min_by(order)?;
        (displaces != Displaces::Idle || (work == 0.0 && !is_new)).then_some(least)
    }
}

fn has_adapter(engine: &Engine, model: &Model, adapter: &Adapter) -> bool {
    engine.serves_adapter(model, adapter)
        || engine.is_pending(OrderKind::Load, model, Some(adapter))
}

/// Counts the engines that have each adapter.
pub(crate) fn count_copies<'a>(engines: impl Iterator<Item = &'a Engine>) -> AdapterCopies<'a> {
    let mut copies = AdapterCopies::new();
    for (model, adapters) in engines.flat_map(Engine::serving) {
        for adapter in adapters {
            *copies.entry((model, adapter)).or_default() += 1;
        }
    }
    copies
}

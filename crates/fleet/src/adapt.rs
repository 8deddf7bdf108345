//! Which adapters are loaded where.

use crate::board::Board;
use crate::draft::Draft;
use crate::{Engine, OrderKind};
use shaleline_types::{Adapter, Model};

impl<'a> Draft<'a> {
    /// Loads adapters that are asked for where their model is, until `copies` engines have each.
    pub(crate) fn adapt(&mut self, board: &Board<'a>, copies: usize) {
        let asked = self.snapshot.view.rates.iter();
        let mut asked: Vec<(&Model, &Adapter, f64)> = asked
            .filter_map(|((m, a), r)| Some((m, a.as_ref()?, f64::from(r.work))))
            .collect();
        asked.sort_by(|a, b| b.2.total_cmp(&a.2));
        for (model, adapter, _) in asked {
            self.adapt_one(board, model, adapter, copies);
        }
    }

    fn adapt_one(
        &mut self,
        board: &Board<'a>,
        model: &'a Model,
        adapter: &'a Adapter,
        copies: usize,
    ) {
        let snapshot = self.snapshot;
        let Some(number) = snapshot.numbers.get(model) else {
            return;
        };
        let serving = &snapshot.served[number];
        let has = |e: &Engine| {
            e.serves_adapter(model, adapter) || e.is_pending(OrderKind::Load, model, Some(adapter))
        };
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
            let used = engine.worst_adapters().len();
            let transit = engine.pending.iter().filter(|p| p.order.adapter.is_some());
            if transit.count() >= self.settings.transit {
                return None;
            }
            let victim = if used < snapshot.catalog.places {
                None
            } else {
                Some(self.idle_adapter(engine, count == 0)?)
            };
            let load = board.load(*place) + used as f64;
            Some((victim.is_some(), load, *place, victim))
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

    /// An adapter on the engine that is not asked for; where another is needed that is
    /// nowhere, the one asked for least.
    fn idle_adapter(&self, engine: &'a Engine, needed: bool) -> Option<(&'a Model, &'a Adapter)> {
        let rate = |m: &Model, a: &Adapter| {
            let key = (m.clone(), Some(a.clone()));
            self.snapshot.view.rates.get(&key).map_or(0.0, |r| r.work)
        };
        let held = engine.certain_adapters();
        let least = held.min_by(|x, y| rate(x.0, x.1).total_cmp(&rate(y.0, y.1)))?;
        (needed || rate(least.0, least.1) == 0.0).then_some(least)
    }
}

//! Uses the time before the first traffic to make a second copy of each model that has only one.
//!
//! A model that an engine has held once is on its disk and loads within two seconds, instead of
//! nine from the weight store, and does not count against the rate limit of the store. So engines
//! load one more model while there are no requests, and then load again what they held.

use crate::best_move::MIN_COPIES;
use crate::draft::Draft;
use crate::{Engine, OrderKind};
use shaleline_types::Model;

/// The phase of the time before the first traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WarmupPhase {
    /// There are no requests yet, and a load from the weight store ends in time.
    Spread,
    /// It is too late to begin loads; engines load again what they held.
    Restore,
    /// Requests decide what is held.
    #[default]
    Over,
}

/// A model is unloaded for a copy of another only if more engines than this serve it.
const SPARE_REPLICAS: usize = 1;

impl<'a> Draft<'a> {
    /// Plans the orders of the current phase.
    pub(crate) fn run_warmup(&mut self) {
        match self.snapshot.view.warmup {
            WarmupPhase::Spread => {
                self.restore();
                self.spread();
            }
            WarmupPhase::Restore => self.restore(),
            WarmupPhase::Over => {}
        }
    }

    /// Loads models with a single copy on a second engine, in place of a model that other engines
    /// also serve. So a copy is left when an engine crashes, and a model that is requested more
    /// often later need not come from the weight store.
    fn spread(&mut self) {
        let snapshot = self.snapshot;
        let mut engines: Vec<usize> = self.free_engines().collect();
        engines.retain(|p| !snapshot.engines[*p].engine.has_extra_copies());
        // Engines that have made room come first.
        engines.sort_by_key(|p| snapshot.engines[*p].engine.held().models.len());
        let mut single = self.single_copies();
        for index in engines {
            let engine = snapshot.engines[index].engine;
            let lacks = |m: &usize| !engine.initial_models.contains(snapshot.models[*m].0);
            let Some(position) = single.iter().position(lacks) else {
                return;
            };
            if self.loads == 0 {
                return;
            }
            let model = single[position];
            let (name, profile) = snapshot.models[model];
            if self.has_room(index, profile) {
                self.order(index, OrderKind::Load, name, None);
            } else if let Some(victim) = self.most_served(engine) {
                // The room is for a load that the next plan orders.
                if let Some(number) = snapshot.model_index.get(victim) {
                    self.replicas[number] -= 1;
                }
                self.order(index, OrderKind::Unload, victim, None);
            } else {
                self.ordered[index] = true;
                continue;
            }
            self.loads -= 1;
            single.remove(position);
            self.ordered[index] = true;
        }
    }

    /// The models with a single copy, unless another is being loaded.
    fn single_copies(&self) -> Vec<usize> {
        let models = 0..self.snapshot.models.len();
        let single =
            |m: &usize| self.snapshot.copies(*m) < MIN_COPIES && !self.snapshot.is_loading(*m);
        models.filter(single).collect()
    }

    /// Of the models on the engine, the one with the most replicas, if it has at least two.
    fn most_served(&self, engine: &'a Engine) -> Option<&'a Model> {
        let served = engine.serving().map(|(m, _)| {
            let number = self.snapshot.model_index.get(m);
            (number.map_or(0, |n| self.replicas[n]), m)
        });
        let (replicas, model) = served.max()?;
        (replicas > SPARE_REPLICAS).then_some(model)
    }

    /// Loads again what engines held initially, once they have an additional copy.
    fn restore(&mut self) {
        let snapshot = self.snapshot;
        let engines: Vec<usize> = self.free_engines().collect();
        for index in engines {
            let engine = snapshot.engines[index].engine;
            if snapshot.view.warmup == WarmupPhase::Spread && !engine.has_extra_copies() {
                continue;
            }
            let lacks = engine.initial_models.iter().find(|m| !engine.will_serve(m));
            let Some((model, profile)) =
                lacks.and_then(|m| snapshot.catalog.models.get_key_value(m))
            else {
                continue;
            };
            if self.has_room(index, profile) {
                self.order(index, OrderKind::Load, model, None);
            } else if let Some(addition) = self.idle_addition(engine) {
                self.order(index, OrderKind::Unload, addition, None);
            } else {
                continue;
            }
            self.ordered[index] = true;
        }
    }

    /// A model without requests that the engine did not hold initially.
    fn idle_addition(&self, engine: &'a Engine) -> Option<&'a Model> {
        let mut served = engine.serving().map(|(m, _)| m);
        served.find(|m| {
            let number = self.snapshot.model_index.get(m);
            !engine.initial_models.contains(*m) && number.is_none_or(|n| self.snapshot.is_idle(n))
        })
    }
}

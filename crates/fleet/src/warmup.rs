//! Uses the time before the first traffic: a second copy of each model that has but one.
//!
//! What an engine has held once is on its disk and loads within two seconds, in place of
//! nine from the weight store, and does not count against the store's rate. So engines load
//! one model more while nobody asks for anything, and then get back what they held.

use crate::best_move::COPIES;
use crate::draft::Draft;
use crate::{Engine, OrderKind};
use shaleline_types::Model;

/// How far the time before the first traffic has gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WarmupPhase {
    /// Nobody has asked for anything, and a load from the weight store ends in time.
    Spread,
    /// Too late to begin loads; engines get back what they held.
    Restore,
    /// Callers decide what is held.
    #[default]
    Over,
}

/// A model makes room for a copy of another only where more engines than this serve it.
const SPARE_REPLICAS: usize = 1;

impl<'a> Draft<'a> {
    /// Does what may be done before the first traffic.
    pub(crate) fn use_lead(&mut self) {
        match self.snapshot.view.warmup {
            WarmupPhase::Spread => {
                self.restore();
                self.spread();
            }
            WarmupPhase::Restore => self.restore(),
            WarmupPhase::Over => {}
        }
    }

    /// Loads models with a single copy on a second engine, in place of a model that others
    /// serve too, so that a copy is left when an engine crashes and a model that is asked for
    /// more later need not come from the weight store.
    fn spread(&mut self) {
        let snapshot = self.snapshot;
        let mut places: Vec<usize> = self.free_places().collect();
        places.retain(|p| !snapshot.places[*p].engine.has_more_copies());
        // Those that have made room come first.
        places.sort_by_key(|p| snapshot.places[*p].engine.held().models.len());
        let mut single = self.single_copies();
        for place in places {
            let engine = snapshot.places[place].engine;
            let lacks = |m: &usize| !engine.first.contains(snapshot.models[*m].0);
            let Some(index) = single.iter().position(lacks) else {
                return;
            };
            if self.loads == 0 {
                return;
            }
            let model = single[index];
            let (name, rule) = snapshot.models[model];
            if self.has_room(place, rule) {
                self.order(place, OrderKind::Load, name, None);
            } else if let Some(victim) = self.most_served(engine) {
                // The room is for a load that the next plan orders.
                if let Some(number) = snapshot.numbers.get(victim) {
                    self.replicas[number] -= 1;
                }
                self.order(place, OrderKind::Unload, victim, None);
            } else {
                self.taken[place] = true;
                continue;
            }
            self.loads -= 1;
            single.remove(index);
            self.taken[place] = true;
        }
    }

    /// The models with a single copy, unless another is on its way.
    fn single_copies(&self) -> Vec<usize> {
        let models = 0..self.snapshot.models.len();
        let single = |m: &usize| self.snapshot.copies(*m) < COPIES && !self.snapshot.is_coming(*m);
        models.filter(single).collect()
    }

    /// The model on the engine that most engines serve, two others at least.
    fn most_served(&self, engine: &'a Engine) -> Option<&'a Model> {
        let served = engine.serving().map(|(m, _)| {
            let number = self.snapshot.numbers.get(m);
            (number.map_or(0, |n| self.replicas[n]), m)
        });
        let (replicas, model) = served.max()?;
        (replicas > SPARE_REPLICAS).then_some(model)
    }

    /// Gives engines back what they held at first, now that they have one copy more.
    fn restore(&mut self) {
        let snapshot = self.snapshot;
        let places: Vec<usize> = self.free_places().collect();
        for place in places {
            let engine = snapshot.places[place].engine;
            if snapshot.view.warmup == WarmupPhase::Spread && !engine.has_more_copies() {
                continue;
            }
            let lacks = engine.first.iter().find(|m| !engine.will_serve(m));
            let Some((model, rule)) = lacks.and_then(|m| snapshot.catalog.models.get_key_value(m))
            else {
                continue;
            };
            if self.has_room(place, rule) {
                self.order(place, OrderKind::Load, model, None);
            } else if let Some(guest) = self.idle_guest(engine) {
                self.order(place, OrderKind::Unload, guest, None);
            } else {
                continue;
            }
            self.taken[place] = true;
        }
    }

    /// A model that the engine did not hold at first and that nobody asks for.
    fn idle_guest(&self, engine: &'a Engine) -> Option<&'a Model> {
        let mut served = engine.serving().map(|(m, _)| m);
        served.find(|m| {
            let number = self.snapshot.numbers.get(m);
            !engine.first.contains(*m) && number.is_none_or(|n| self.snapshot.is_idle(n))
        })
    }
}

//! Uses the time before the first traffic: a second copy of each model that has but one.
//!
//! What an engine has held once is on its disk and loads within two seconds, in place of
//! nine from the weight store, and does not count against the store's rate. So engines load
//! one model more while nobody asks for anything, and then get back what they held.

use crate::moves::COPIES;
use crate::planner::Draft;
use crate::{Engine, OrderKind};
use shaleline_types::{Model, Upstream};

/// How far the time before the first traffic has gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LeadTime {
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
        match self.view.lead {
            LeadTime::Spread => {
                self.restore();
                self.spread();
            }
            LeadTime::Restore => self.restore(),
            LeadTime::Over => {}
        }
    }

    /// Loads models with a single copy on a second engine, in place of a model that others
    /// serve too, so that a copy is left when an engine crashes and a model that is asked for
    /// more later need not come from the weight store.
    fn spread(&mut self) {
        let mut engines: Vec<(&Upstream, &Engine)> = self.free_engines().collect();
        engines.retain(|(_, e)| !e.has_more_copies());
        // Those that have made room come first.
        engines.sort_by_key(|(_, e)| e.held().models.len());
        for (name, engine) in engines {
            let Some(model) = self.least_copied(engine) else {
                return;
            };
            let Some(rule) = self.view.catalog.models.get(model) else {
                return;
            };
            if self.loads == 0 {
                return;
            }
            if self.has_room(engine, rule) {
                self.loads -= 1;
                self.order(name, OrderKind::Load, model, None);
                self.copying.insert(model);
            } else if let Some(victim) = self.most_served(engine) {
                // The room is for a load that the next plan orders.
                self.loads -= 1;
                self.copying.insert(model);
                *self.replicas.entry(victim).or_default() -= 1;
                self.order(name, OrderKind::Unload, victim, None);
            }
            self.taken.insert(name);
        }
    }

    /// The model with a single copy that this engine lacks, unless one is on its way.
    fn least_copied(&self, engine: &Engine) -> Option<&'a Model> {
        let models = self.asked.keys().copied();
        let mut single = models.filter(|m| {
            let coming = |e: &Engine| e.is_pending(OrderKind::Load, m, None);
            !self.copying.contains(*m)
                && !engine.first.contains(*m)
                && self.copies(m) < COPIES
                && !self.view.fleet.engines.values().any(coming)
        });
        single.next()
    }

    /// The model on the engine that most engines serve, two others at least.
    fn most_served(&self, engine: &'a Engine) -> Option<&'a Model> {
        let served = engine.serving().map(|(m, _)| (self.replicas(m), m));
        let (replicas, model) = served.max()?;
        (replicas > SPARE_REPLICAS).then_some(model)
    }

    /// Gives engines back what they held at first, now that they have one copy more.
    fn restore(&mut self) {
        let engines: Vec<(&Upstream, &Engine)> = self.free_engines().collect();
        for (name, engine) in engines {
            if self.view.lead == LeadTime::Spread && !engine.has_more_copies() {
                continue;
            }
            let lacks = engine.first.iter().find(|m| !engine.will_serve(m));
            let Some((model, rule)) = lacks.and_then(|m| self.view.catalog.models.get_key_value(m))
            else {
                continue;
            };
            if self.has_room(engine, rule) {
                self.order(name, OrderKind::Load, model, None);
            } else {
                let guest = engine.serving().map(|(m, _)| m);
                let mut guest = guest.filter(|m| !engine.first.contains(*m) && self.is_idle(m));
                let Some(guest) = guest.next() else {
                    continue;
                };
                self.order(name, OrderKind::Unload, guest, None);
            }
            self.taken.insert(name);
        }
    }
}

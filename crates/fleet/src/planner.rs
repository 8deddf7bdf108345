//! Proposes which engine loads or drops what.
//!
//! The plan has no memory of its own: each call looks at the fleet as it is, orders in
//! doubt included, and proposes the next step for engines that are not busy. A model
//! without a replica comes first; then models whose replicas have most to do get more,
//! in place of models that lose least. `docs/PLACEMENT.md` has what was weighed.

use crate::spread::LeadTime;
use crate::{Catalog, Engine, Fleet, LoadWindow, ModelRule, Order, OrderKind, Rates};
use shaleline_types::{Adapter, Millis, Model, Upstream};
use std::collections::{BTreeMap, BTreeSet};

/// The figures that weigh moves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanSettings {
    /// The least gain of a move, in milliseconds of engine work a second taken off the
    /// busiest replicas, where the weights come from a copy on the engine.
    pub least_near: f64,
    /// The same where the weights come from the weight store, whose rate is limited.
    pub least_far: f64,
    /// The least gain for which the last replica of an idle model makes room.
    pub least_last: f64,
    /// How many engines may load from the weight store at once for such a gain; the others
    /// stay free for what is missing.
    pub far_growth: usize,
    /// How much more a model must gain than the one that makes room loses.
    pub margin: f64,
    /// The replicas of an adapter that is asked for.
    pub adapters: usize,
    /// How many adapters may be on their way to one engine.
    pub transit: usize,
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            least_near: 40.0,
            least_far: 120.0,
            least_last: 150.0,
            far_growth: 2,
            margin: 1.5,
            adapters: 2,
            transit: 3,
        }
    }
}

/// What a plan looks at.
#[derive(Debug)]
pub struct PlanView<'a> {
    /// The models and the room on an engine.
    pub catalog: &'a Catalog,
    /// The engines.
    pub fleet: &'a Fleet,
    /// The work asked for, in milliseconds of engine time a second.
    pub rates: &'a Rates,
    /// The fencing token to order with.
    pub fence: u64,
    /// Who orders.
    pub holder: &'a str,
    /// Whether copies may be spread before the first traffic.
    pub lead: LeadTime,
}

/// Proposes orders.
#[derive(Debug, Default)]
pub struct Planner {
    settings: PlanSettings,
}

impl Planner {
    /// A planner with these figures.
    #[must_use]
    pub fn new(settings: PlanSettings) -> Self {
        Self { settings }
    }

    /// The orders to give now, at most one about weights and one about an adapter for
    /// each engine.
    #[must_use]
    pub fn plan(&self, view: &PlanView<'_>, window: &mut LoadWindow, now: Millis) -> Vec<Order> {
        let mut draft = Draft::new(view, self.settings, now);
        draft.loads = window.room(view.catalog.rate, now);
        draft.reach(false);
        draft.grow();
        // Room that was made for a model that needs it is not for the one that made it.
        draft.reach(true);
        draft.adapt();
        draft.use_lead();
        draft.orders
    }
}

pub(crate) struct Draft<'a> {
    pub(crate) view: &'a PlanView<'a>,
    settings: PlanSettings,
    /// The work asked for, by model.
    pub(crate) work: BTreeMap<&'a Model, f64>,
    pub(crate) replicas: BTreeMap<&'a Model, usize>,
    /// Loads from the weight store that may begin.
    pub(crate) loads: usize,
    /// What the models on each engine ask of it, as of the start of the plan.
    engine_loads: BTreeMap<&'a Upstream, f64>,
    /// Models that this plan copies to another engine.
    pub(crate) copying: BTreeSet<&'a Model>,
    /// Engines that have an order in this plan.
    pub(crate) taken: BTreeSet<&'a Upstream>,
    orders: Vec<Order>,
    now: Millis,
}

/// A load that is expected to go on for longer than this comes from the weight store.
const FAR_MS: u64 = 3_000;

/// Replicas that one plan adds at the most; the next plan goes on a moment later.
const MOST_STEPS: usize = 8;

/// Models that are tried for each of them. Where the first few find no place, the rest
/// gain little.
const MOST_TRIED: usize = 6;

/// A model with less work a second than this, in milliseconds, is idle.
const IDLE_WORK: f64 = 0.5;

/// The last replica of an idle model may make room while so many engines have a copy of
/// it: then it is back within seconds of the first request.
pub(crate) const LAST_COPIES: usize = 2;

/// What is counted as the loss of such a replica, in milliseconds a second.
const LAST_LOSS: f64 = 20.0;

/// The part of a replica's work that counts against its being dropped.
const IN_USE_PART: f64 = 0.3;

/// Demand below this counts as this, so that replicas of idle models are compared too.
const LEAST_WORK: f64 = 0.1;

impl<'a> Draft<'a> {
    fn new(view: &'a PlanView<'a>, settings: PlanSettings, now: Millis) -> Self {
        let models = view.catalog.models.keys();
        let mut work: BTreeMap<&Model, f64> = models.map(|m| (m, LEAST_WORK)).collect();
        for ((model, _), rate) in view.rates {
            if let Some(sum) = work.get_mut(model) {
                *sum += rate;
            }
        }
        let replicas = work.keys().map(|m| (*m, view.fleet.replicas(m)));
        let mut draft = Self {
            replicas: replicas.collect(),
            engine_loads: BTreeMap::new(),
            view,
            settings,
            work,
            loads: 0,
            copying: BTreeSet::new(),
            taken: BTreeSet::new(),
            orders: Vec::new(),
            now,
        };
        let engines = view.fleet.engines.iter();
        draft.engine_loads = engines.map(|(n, e)| (n, draft.engine_load(e))).collect();
        draft
    }

    fn work(&self, model: &Model) -> f64 {
        self.work.get(model).copied().unwrap_or(LEAST_WORK)
    }

    pub(crate) fn replicas(&self, model: &Model) -> usize {
        self.replicas.get(model).copied().unwrap_or(0)
    }

    /// What each replica of the model has to do.
    fn share(&self, model: &Model) -> f64 {
        self.work(model) / self.replicas(model).max(1) as f64
    }

    /// Whether nobody has asked for the model for some seconds.
    pub(crate) fn is_idle(&self, model: &Model) -> bool {
        self.work(model) <= IDLE_WORK
    }

    /// How many engines have a copy from which the model is loaded within a few seconds.
    pub(crate) fn copies(&self, model: &Model) -> usize {
        let Some(rule) = self.view.catalog.models.get(model) else {
            return 0;
        };
        let engines = self.view.fleet.engines.values();
        let has = |e: &&Engine| e.counts() && e.load_time(model, rule) != rule.store;
        engines.filter(has).count()
    }

    /// What another replica takes off each of those there are.
    fn gain(&self, model: &Model) -> f64 {
        let replicas = self.replicas(model) as f64;
        self.work(model) / (replicas.max(0.5) * (replicas + 1.0))
    }

    /// What the loss of a replica puts on each of those that remain; none for the last.
    fn loss(&self, model: &Model) -> Option<f64> {
        let replicas = self.replicas(model) as f64;
        (replicas >= 2.0).then(|| self.work(model) / (replicas * (replicas - 1.0)))
    }

    /// Engines that may be ordered about weights.
    pub(crate) fn free_engines(&self) -> impl Iterator<Item = (&'a Upstream, &'a Engine)> + '_ {
        let free =
            |(n, e): &(&Upstream, &Engine)| Self::takes_orders(e) && !self.taken.contains(*n);
        self.view.fleet.engines.iter().filter(free)
    }

    /// Whether what the engine holds is known for certain and nothing is under way.
    fn takes_orders(engine: &Engine) -> bool {
        engine.counts() && !engine.is_moving() && engine.is_proven()
    }

    fn engine_load(&self, engine: &Engine) -> f64 {
        engine.serving().map(|(m, _)| self.share(m)).sum()
    }

    fn load_of(&self, engine: &Upstream) -> f64 {
        self.engine_loads.get(engine).copied().unwrap_or(0.0)
    }

    pub(crate) fn has_room(&self, engine: &Engine, rule: &ModelRule) -> bool {
        let taken = engine.worst_memory(self.view.catalog).0;
        taken + rule.size.0 <= self.view.catalog.memory.0
    }

    /// Models without a replica: each gets one, the most asked for first. Nobody waits for an
    /// idle model with copies; it gets what room the others leave.
    fn reach(&mut self, spare: bool) {
        let is_spare = |m: &Model| self.is_idle(m) && self.copies(m) >= LAST_COPIES;
        let missing = |m: &&Model| self.replicas(m) == 0 && is_spare(m) == spare;
        let mut models: Vec<&Model> = self.work.keys().copied().filter(missing).collect();
        models.sort_by(|a, b| self.work(b).total_cmp(&self.work(a)));
        for model in models {
            if !spare || self.is_roomy(model) {
                self.place(model, 0.0);
            }
        }
    }

    /// Whether some engine has room for the model as it is.
    fn is_roomy(&self, model: &Model) -> bool {
        let Some(rule) = self.view.catalog.models.get(model) else {
            return false;
        };
        self.free_engines().any(|(_, e)| self.has_room(e, rule))
    }

    /// Gives more replicas to the models that gain most.
    fn grow(&mut self) {
        for _ in 0..MOST_STEPS {
            let mut models: Vec<&Model> = self.work.keys().copied().collect();
            models.sort_by(|a, b| self.gain(b).total_cmp(&self.gain(a)));
            let worth = |m: &&Model| self.gain(m) >= self.settings.least_near;
            let models = models.into_iter().take_while(worth).take(MOST_TRIED);
            let models: Vec<&Model> = models.collect();
            let placed = models.into_iter().any(|m| {
                let gain = self.gain(m);
                self.place(m, gain)
            });
            if !placed {
                return;
            }
        }
    }

    /// Loads the model at the best engine, or makes room for it there. `gain` is what the
    /// model that makes room may not lose; nothing is compared for a model that is
    /// nowhere. [`Draft::victim`] says which model may make room.
    fn place(&mut self, model: &'a Model, gain: f64) -> bool {
        let Some(rule) = self.view.catalog.models.get(model) else {
            return false;
        };
        let missing = self.replicas(model) == 0;
        let far_allowed = self.may_load_far(model, rule, gain);
        let candidates = self.free_engines().filter(|(_, e)| !e.will_serve(model));
        let scored = candidates.filter_map(|(name, engine)| {
            let time = engine.load_time(model, rule);
            let far = time == rule.store;
            if far && !far_allowed {
                return None;
            }
            let (victim, loss) = if self.has_room(engine, rule) {
                (None, 0.0)
            } else {
                let (victim, loss) = self.victim(engine, gain, missing)?;
                (Some(victim), loss)
            };
            let cost = time.0 as f64 / 10.0 + loss + self.load_of(name) / 4.0;
            Some((cost, name, victim, far))
        });
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, name, victim, far)) = best else {
            return false;
        };
        match victim {
            None => {
                self.loads -= usize::from(far);
                *self.replicas.entry(model).or_default() += 1;
                self.order(name, OrderKind::Load, model, None);
            }
            Some(victim) => {
                if let Some(count) = self.replicas.get_mut(victim) {
                    *count -= 1;
                }
                // The room is for this model, though another may take it by then.
                *self.replicas.entry(model).or_default() += 1;
                self.order(name, OrderKind::Unload, victim, None);
            }
        }
        self.taken.insert(name);
        true
    }

    /// Whether the model may be loaded from the weight store. That takes an engine several
    /// seconds in which it takes no other order. So it is worth waiting for an engine that
    /// has a copy and is busy for a moment, and a gain must be large.
    fn may_load_far(&self, model: &Model, rule: &ModelRule, gain: f64) -> bool {
        if self.loads == 0 {
            return false;
        }
        if self.replicas(model) > 0 {
            let under_way = self.far_loads();
            return gain >= self.settings.least_far && under_way < self.settings.far_growth;
        }
        let soon = self.now.plus(rule.disk.0);
        let engines = self.view.fleet.engines.values();
        let mut near = engines.filter(|e| e.counts() && e.load_time(model, rule) != rule.store);
        !near.any(|e| {
            let until = e.busy_until(self.view.catalog);
            until.is_some_and(|u| u <= soon) && self.victim(e, 0.0, true).is_some()
        })
    }

    /// How many engines are loading from the weight store.
    fn far_loads(&self) -> usize {
        let is_far = |e: &&Engine| {
            let until = e.busy_until(self.view.catalog);
            until.is_some_and(|u| u.since(self.now) > FAR_MS)
        };
        self.view.fleet.engines.values().filter(is_far).count()
    }

    /// The model on the engine that loses least, and what it loses.
    fn victim(&self, engine: &'a Engine, gain: f64, missing: bool) -> Option<(&'a Model, f64)> {
        let known = engine.serving().map(|(m, _)| m);
        let crowded = missing || gain >= self.settings.least_last;
        let losses = known.filter_map(|m| {
            let loss = self.loss(m);
            let idle = crowded && self.is_idle(m) && self.copies(m) >= LAST_COPIES;
            Some((m, loss.or(idle.then_some(LAST_LOSS))?))
        });
        // What is in use is dropped only when its last stream ends, which takes seconds.
        let cost = |(m, loss): &(&Model, f64)| loss + self.share(m) * IN_USE_PART;
        let (model, loss) = losses.min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        let worth = missing || gain >= loss * self.settings.margin;
        worth.then_some((model, loss))
    }

    pub(crate) fn order(
        &mut self,
        name: &Upstream,
        kind: OrderKind,
        model: &Model,
        adapter: Option<&Adapter>,
    ) {
        let Some(engine) = self.view.fleet.get(name) else {
            return;
        };
        self.orders.push(Order {
            engine: name.clone(),
            kind,
            model: model.clone(),
            adapter: adapter.cloned(),
            expect: engine.held().seq,
            fence: self.view.fence,
            holder: self.view.holder.to_owned(),
        });
    }

    /// Loads adapters that are asked for where their model is.
    fn adapt(&mut self) {
        let asked = self.view.rates.iter();
        let mut asked: Vec<(&Model, &Adapter, f64)> = asked
            .filter_map(|((m, a), r)| Some((m, a.as_ref()?, *r)))
            .collect();
        asked.sort_by(|a, b| b.2.total_cmp(&a.2));
        for (model, adapter, _) in asked {
            self.adapt_one(model, adapter);
        }
    }

    fn adapt_one(&mut self, model: &'a Model, adapter: &'a Adapter) {
        let serving = |e: &&Engine| e.counts() && e.serves(model);
        let has = |e: &Engine| {
            e.serves_adapter(model, adapter) || e.is_pending(OrderKind::Load, model, Some(adapter))
        };
        let engines = self.view.fleet.engines.values().filter(serving);
        let (count, models) = engines.fold((0, 0), |(c, m), e| (c + usize::from(has(e)), m + 1));
        if count >= self.settings.adapters.min(models) {
            return;
        }
        let candidates = self.view.fleet.engines.iter().filter(|(n, e)| {
            // An order about weights would be refused or refuse this one.
            serving(e) && !has(e) && Self::takes_orders(e) && !self.taken.contains(*n)
        });
        let places = self.view.catalog.places;
        let scored = candidates.filter_map(|(name, engine)| {
            let used = engine.worst_adapters();
            let transit = engine.pending.iter().filter(|p| p.order.adapter.is_some());
            if transit.count() >= self.settings.transit {
                return None;
            }
            let victim = if used.len() < places {
                None
            } else {
                Some(self.idle_adapter(engine, count == 0)?)
            };
            let load = self.load_of(name) + used.len() as f64;
            Some((victim.is_some(), load, name, victim))
        });
        let best = scored.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let Some((_, _, name, victim)) = best else {
            return;
        };
        match victim {
            None => self.order(name, OrderKind::Load, model, Some(adapter)),
            Some((m, a)) => self.order(name, OrderKind::Unload, m, Some(a)),
        }
        self.taken.insert(name);
    }

    /// An adapter on the engine that is not asked for; where another is needed that is
    /// nowhere, the one asked for least.
    fn idle_adapter(&self, engine: &'a Engine, needed: bool) -> Option<(&'a Model, &'a Adapter)> {
        let rate = |m: &Model, a: &Adapter| {
            let key = (m.clone(), Some(a.clone()));
            self.view.rates.get(&key).copied().unwrap_or(0.0)
        };
        let held = engine.certain_adapters();
        let least = held.min_by(|x, y| rate(x.0, x.1).total_cmp(&rate(y.0, y.1)))?;
        (needed || rate(least.0, least.1) == 0.0).then_some(least)
    }
}

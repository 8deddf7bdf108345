//! Divides demand continuously over replicas, to estimate the load of each engine under ideal
//! balancing.

use crate::{EngineLedger, PlanInput};
use shaleline_types::{Millis, Model, Upstream};
use std::collections::{BTreeMap, BTreeSet};

/// Rounds of balancing; further rounds change the result little.
const ROUNDS: usize = 8;

/// The demand of each model divided over the engines that hold it.
#[derive(Debug, Default)]
pub(crate) struct DemandSpread {
    share: BTreeMap<(Upstream, Model), f64>,
    load: BTreeMap<Upstream, f64>,
    capacity: BTreeMap<Upstream, f64>,
    excess: BTreeMap<Model, f64>,
}

impl DemandSpread {
    /// Returns the work per second that the engine would carry.
    pub(crate) fn load(&self, engine: &Upstream) -> f64 {
        self.load.get(engine).copied().unwrap_or(0.0)
    }

    /// Returns the work per second that the engine could take on.
    pub(crate) fn spare(&self, engine: &Upstream) -> f64 {
        let capacity = self.capacity.get(engine).copied().unwrap_or(0.0);
        (capacity - self.load(engine)).max(0.0)
    }

    /// Returns the work per second of a model that its engines can't carry within the target.
    pub(crate) fn excess(&self, model: &Model) -> f64 {
        self.excess.get(model).copied().unwrap_or(0.0)
    }

    /// Returns the work per second of a model on one engine.
    pub(crate) fn share(&self, engine: &Upstream, model: &Model) -> f64 {
        let key = (engine.clone(), model.clone());
        self.share.get(&key).copied().unwrap_or(0.0)
    }
}

/// Divides each model's demand so that its engines end up equally loaded. Capacities count only up
/// to the target fraction.
pub(crate) fn spread(plan: PlanInput<'_>, target: f64, now: Millis) -> DemandSpread {
    let mut result = DemandSpread::default();
    let mut holders: BTreeMap<&Model, Vec<&Upstream>> = BTreeMap::new();
    for (engine, ledger) in plan.ledgers {
        let Some(view) = plan.views.get(engine).filter(|v| v.alive) else {
            continue;
        };
        if ledger.leaving {
            continue;
        }
        result
            .capacity
            .insert(engine.clone(), view.capacity * target);
        for model in models(ledger) {
            holders.entry(model).or_default().push(engine);
        }
    }
    let names: BTreeSet<&Model> = plan.desired.bases().map(|(i, _)| &i.model).collect();
    let rates: BTreeMap<&Model, f64> = names
        .iter()
        .map(|m| (*m, plan.demand.rate(m, now)))
        .collect();
    for _ in 0..ROUNDS {
        for (model, engines) in &holders {
            let rate = rates.get(model).copied().unwrap_or(0.0);
            balance(&mut result, model, engines, rate);
        }
    }
    for model in names {
        let rate = rates.get(model).copied().unwrap_or(0.0);
        let engines = holders.get(model).map_or(&[][..], Vec::as_slice);
        let excess = excess_of(&result, model, engines, rate);
        result.excess.insert(model.clone(), excess);
    }
    result
}

fn models(ledger: &EngineLedger) -> BTreeSet<&Model> {
    let ready = ledger
        .slots
        .keys()
        .filter(|i| i.is_base() && ledger.holds(i));
    ready.map(|i| &i.model).collect()
}

/// Divides one model's demand over its engines, given the load of the other models.
fn balance(result: &mut DemandSpread, model: &Model, engines: &[&Upstream], rate: f64) {
    for engine in engines {
        let old = result.share.remove(&((*engine).clone(), model.clone()));
        if let Some(load) = result.load.get_mut(*engine) {
            *load -= old.unwrap_or(0.0);
        }
    }
    let room: Vec<f64> = engines.iter().map(|e| result.spare(e).max(1e-6)).collect();
    let total: f64 = room.iter().sum();
    for (engine, room) in engines.iter().zip(&room) {
        let share = rate * room / total;
        *result.load.entry((*engine).clone()).or_default() += share;
        result
            .share
            .insert(((*engine).clone(), model.clone()), share);
    }
}

fn excess_of(result: &DemandSpread, model: &Model, engines: &[&Upstream], rate: f64) -> f64 {
    if engines.is_empty() {
        return rate;
    }
    let excess_on = |engine: &&Upstream| {
        let load = result.load(engine);
        let capacity = result.capacity.get(*engine).copied().unwrap_or(0.0);
        let share = result.share(engine, model);
        let fraction = if load > 0.0 { share / load } else { 0.0 };
        (load - capacity).max(0.0) * fraction
    };
    engines.iter().map(excess_on).sum()
}

//! Baseline policies for comparison with the planner, kept here so that they stay comparable.

use crate::{EngineLedger, Item, PlanInput, Policy, SlotState, Step};
use shaleline_types::{Megabytes, Millis, Model, Upstream};
use std::collections::{BTreeMap, BTreeSet};

/// Spreads replicas round robin once and never moves them.
#[derive(Debug, Default)]
pub struct StaticPlanner {
    targets: Option<BTreeMap<Upstream, Vec<(Item, Megabytes)>>>,
}

impl StaticPlanner {
    /// Assigns one replica of everything, largest first, then more in the same order while memory
    /// lasts.
    fn assign(plan: PlanInput<'_>) -> BTreeMap<Upstream, Vec<(Item, Megabytes)>> {
        let mut free: BTreeMap<&Upstream, u64> =
            plan.ledgers.iter().map(|(e, b)| (e, b.memory.0)).collect();
        let mut targets: BTreeMap<Upstream, Vec<(Item, Megabytes)>> = BTreeMap::new();
        let mut bases: Vec<(&Item, Megabytes)> = plan
            .desired
            .bases()
            .map(|(i, _)| (i, plan.desired.whole_size(i)))
            .collect();
        bases.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(b.0)));
        let mut placed = true;
        while placed {
            placed = false;
            for (base, whole) in &bases {
                let lacks = |e: &Upstream| {
                    !targets
                        .get(e)
                        .is_some_and(|t| t.iter().any(|(i, _)| i == *base))
                };
                let fits = free.iter().filter(|(e, f)| **f >= whole.0 && lacks(e));
                let Some(engine) = fits.max_by_key(|(_, f)| **f).map(|(e, _)| *e) else {
                    continue;
                };
                placed = true;
                if let Some(f) = free.get_mut(engine) {
                    *f -= whole.0;
                }
                let list = targets.entry(engine.clone()).or_default();
                let own = plan.desired.size(base).unwrap_or_default();
                list.push(((*base).clone(), own));
                list.extend(plan.desired.adapters(base).map(|(i, m)| (i.clone(), m)));
            }
        }
        targets
    }
}

impl Policy for StaticPlanner {
    fn plan(&mut self, plan: PlanInput<'_>, _now: Millis) -> Vec<Step> {
        let targets = self.targets.get_or_insert_with(|| Self::assign(plan));
        let mut steps = Vec::new();
        for (engine, ledger) in plan.ledgers {
            let items = targets.get(engine).map_or(&[][..], Vec::as_slice);
            let next = items.iter().find(|(i, _)| ledger.state_of(i).is_none());
            if let Some((item, size)) = next.filter(|_| !ledger.is_busy()) {
                steps.push(Step::Load {
                    engine: engine.clone(),
                    item: item.clone(),
                    size: *size,
                });
            }
        }
        steps.truncate(plan.load_limit);
        steps
    }
}

/// Loads a model when it is requested and not loaded, and evicts the least recently used item. It
/// doesn't keep models reachable.
#[derive(Debug, Default)]
pub struct LruPlanner;

impl LruPlanner {
    fn least_recently_used(ledger: &EngineLedger, plan: PlanInput<'_>) -> Option<Item> {
        let removable = |i: &&Item| ledger.holds(i) && !(i.is_base() && ledger.has_adapter(i));
        let age = |i: &&Item| (plan.demand.last_use(&i.model), i.is_base());
        ledger
            .slots
            .keys()
            .filter(removable)
            .min_by_key(age)
            .cloned()
    }

    fn needs(plan: PlanInput<'_>, now: Millis) -> Vec<(Item, Megabytes)> {
        let mut needs = Vec::new();
        for (base, size) in plan.desired.bases() {
            let recent = now.since(plan.demand.last_use(&base.model)) < 5_000;
            if recent && plan.demand.last_use(&base.model) > Millis(0) {
                needs.push((base.clone(), size));
                needs.extend(plan.desired.adapters(base).map(|(i, m)| (i.clone(), m)));
            }
        }
        needs
    }
}

impl Policy for LruPlanner {
    fn plan(&mut self, plan: PlanInput<'_>, now: Millis) -> Vec<Step> {
        let mut steps: Vec<Step> = Vec::new();
        let mut used: BTreeSet<Upstream> = BTreeSet::new();
        let recent: BTreeSet<Model> = Self::needs(plan, now)
            .into_iter()
            .map(|(i, _)| i.model)
            .collect();
        for (item, size) in Self::needs(plan, now) {
            let present = |b: &EngineLedger| {
                matches!(
                    b.state_of(&item),
                    Some(SlotState::Resident | SlotState::Loading)
                )
            };
            if plan.ledgers.values().any(present) {
                continue;
            }
            let idle = |(e, b): &(&Upstream, &EngineLedger)| {
                !b.is_busy() && !used.contains(*e) && (item.is_base() || b.holds(&item.to_base()))
            };
            let open: Vec<(&Upstream, &EngineLedger)> = plan.ledgers.iter().filter(idle).collect();
            let step = open
                .iter()
                .find(|(_, b)| b.free() >= size)
                .map(|(e, _)| Step::Load {
                    engine: (*e).clone(),
                    item: item.clone(),
                    size,
                })
                .or_else(|| evict(plan, &open, &recent));
            if let Some(step) = step {
                used.insert(step.engine().clone());
                steps.push(step);
            }
        }
        let is_load = |s: &Step| matches!(s, Step::Load { .. });
        let mut loads_left = plan.load_limit;
        steps.retain(|s| {
            let keep = !is_load(s) || loads_left > 0;
            loads_left = loads_left.saturating_sub(usize::from(is_load(s)));
            keep
        });
        steps
    }
}

/// Unloads the least recently used item of all open engines, unless it was used recently.
fn evict(
    plan: PlanInput<'_>,
    open: &[(&Upstream, &EngineLedger)],
    recent: &BTreeSet<Model>,
) -> Option<Step> {
    let victims = open.iter().filter_map(|(e, b)| {
        let item = LruPlanner::least_recently_used(b, plan)?;
        Some((plan.demand.last_use(&item.model), *e, item))
    });
    let (_, engine, item) = victims
        .filter(|(_, _, i)| !recent.contains(&i.model))
        .min_by_key(|(at, ..)| *at)?;
    Some(Step::Unload {
        engine: engine.clone(),
        item,
        retired: true,
    })
}

//! The construction of a plan.

use crate::spread::{spread, DemandSpread};
use crate::{EngineLedger, Item, PlanInput, Planner, SlotState, Step};
use shaleline_types::{DataCentre, Megabytes, Millis, Upstream};
use std::collections::BTreeSet;

/// A plan under construction. Each engine gets at most one step.
pub(crate) struct Draft<'a> {
    plan: PlanInput<'a>,
    now: Millis,
    planner: &'a Planner,
    open: BTreeSet<&'a Upstream>,
    loads_left: usize,
    steps: Vec<Step>,
    spread: DemandSpread,
}

impl<'a> Draft<'a> {
    pub(crate) fn new(plan: PlanInput<'a>, now: Millis, planner: &'a Planner) -> Self {
        let usable = |(e, b): (&'a Upstream, &'a EngineLedger)| {
            let alive = plan.views.get(e).is_some_and(|v| v.alive);
            let seen = b.fence_confirmed || !b.checks_fence;
            (alive && seen && !b.leaving && !b.is_busy()).then_some(e)
        };
        Self {
            open: plan.ledgers.iter().filter_map(usable).collect(),
            spread: spread(plan, planner.settings.target, now),
            plan,
            now,
            planner,
            loads_left: plan.load_limit,
            steps: Vec::new(),
        }
    }

    pub(crate) fn into_steps(self) -> Vec<Step> {
        self.steps
    }

    fn load(&mut self, engine: &'a Upstream, item: &Item, size: Megabytes) {
        if self.loads_left == 0 {
            return;
        }
        self.loads_left -= 1;
        self.open.remove(engine);
        self.steps.push(Step::Load {
            engine: engine.clone(),
            item: item.clone(),
            size,
        });
    }

    fn unload(&mut self, engine: &'a Upstream, item: &Item, retired: bool) {
        self.open.remove(engine);
        self.steps.push(Step::Unload {
            engine: engine.clone(),
            item: item.clone(),
            retired,
        });
    }

    /// Returns the live engines that hold the item or are loading it, and are not leaving.
    fn holders(&self, item: &Item) -> Vec<&'a Upstream> {
        let plan = self.plan;
        let holds = |(e, b): (&'a Upstream, &'a EngineLedger)| {
            let state = b.state_of(item);
            let here = matches!(state, Some(SlotState::Resident | SlotState::Loading));
            let alive = plan.views.get(e).is_some_and(|v| v.alive);
            (here && alive && !b.leaving).then_some(e)
        };
        plan.ledgers.iter().filter_map(holds).collect()
    }

    fn ready(&self, item: &Item) -> usize {
        let holders = self.holders(item);
        holders
            .iter()
            .filter(|e| self.plan.ledgers[**e].holds(item))
            .count()
    }

    /// Unloads items that are no longer desired, and old versions whose successor is ready.
    pub(crate) fn unload_obsolete(&mut self) {
        let engines: Vec<&Upstream> = self.open.iter().copied().collect();
        for engine in engines {
            let ledger = &self.plan.ledgers[engine];
            let old = |i: &&Item| self.plan.desired.size(i).is_none();
            let droppable = |i: &&Item| {
                ledger.holds(i)
                    && !ledger.slots[*i].unfenced_copies
                    && !(i.is_base() && ledger.has_adapter(i))
            };
            let mut candidates: Vec<&Item> =
                ledger.slots.keys().filter(old).filter(droppable).collect();
            candidates.sort_by_key(|i| i.is_base());
            for item in candidates {
                let replaced = self.is_replaced(item);
                let retired = !self.plan.desired.serves(item);
                if retired || replaced {
                    self.unload(engine, item, retired);
                    break;
                }
            }
        }
    }

    /// Returns whether a ready successor can carry the load of the old version.
    fn is_replaced(&self, old: &Item) -> bool {
        let successor = |(i, _): &(&Item, Megabytes)| i.serves_as(old) && *i != old;
        let Some((new, _)) = self.plan.desired.iter().find(successor) else {
            return false;
        };
        let steps = self.steps.iter();
        let leaving = steps.filter(|s| matches!(s, Step::Unload { item, .. } if item == old));
        let enough = self.ready(new) >= 1 && self.spread.excess(&new.model) <= 0.0;
        enough && leaving.count() == 0
    }

    /// Loads what no live engine holds, before anything else and at any cost. Models with waiting
    /// callers come first, then the largest, for which it is hardest to find memory.
    pub(crate) fn place_missing(&mut self) {
        let desired = self.plan.desired;
        let mut missing_items: Vec<(&Item, Megabytes)> = desired
            .bases()
            .filter(|(i, _)| self.holders(i).is_empty())
            .map(|(i, _)| (i, desired.whole_size(i)))
            .collect();
        let unmet = |i: &Item| self.spread.excess(&i.model);
        missing_items.sort_by(|a, b| {
            let by_demand = unmet(b.0).total_cmp(&unmet(a.0));
            by_demand.then(b.1.cmp(&a.1)).then_with(|| a.0.cmp(b.0))
        });
        for (base, whole) in missing_items {
            let own = desired.size(base).unwrap_or_default();
            if let Some(engine) = self.most_free_engine(base, whole) {
                self.load(engine, base, own);
            } else if !self.make_room(base, whole) {
                self.relocate_for(whole);
            }
        }
        self.place_missing_adapters();
    }

    fn place_missing_adapters(&mut self) {
        let desired = self.plan.desired;
        let adapters = desired.iter().filter(|(i, _)| !i.is_base());
        let missing_items: Vec<(&Item, Megabytes)> = adapters
            .filter(|(i, _)| self.holders(i).is_empty())
            .collect();
        for (item, size) in missing_items {
            let base = item.to_base();
            let fits = |e: &&&Upstream| {
                let ledger = &self.plan.ledgers[**e];
                ledger.holds(&base) && ledger.free() >= size && !ledger.barred.contains(item)
            };
            let found = self.open.iter().find(fits).copied();
            match found {
                Some(engine) => self.load(engine, item, size),
                None => self.make_adapter_room(item, size),
            }
        }
    }

    fn make_adapter_room(&mut self, item: &Item, size: Megabytes) {
        let base = item.to_base();
        let hosts: Vec<&Upstream> = self.open.iter().copied().collect();
        for engine in hosts {
            let ledger = &self.plan.ledgers[engine];
            let hosts_base = ledger.holds(&base) && !ledger.barred.contains(item);
            if !hosts_base || !self.could_free(engine, &base, size) {
                continue;
            }
            if let Some(victim) = self.victim(engine, &base) {
                self.unload(engine, &victim, false);
                return;
            }
        }
        if self
            .holders(&base)
            .iter()
            .all(|e| self.plan.ledgers[*e].free() < size)
        {
            let whole = self.plan.desired.whole_size(&base);
            let own = self.plan.desired.size(&base).unwrap_or_default();
            if let Some(engine) = self.most_free_engine(&base, whole) {
                self.load(engine, &base, own);
            }
        }
    }

    /// Returns an open engine that lacks the item and has `need` free: the one with the fewest
    /// replicas in its data centre, then the most free memory.
    fn most_free_engine(&self, item: &Item, need: Megabytes) -> Option<&'a Upstream> {
        let fits = |e: &&&Upstream| {
            let ledger = &self.plan.ledgers[**e];
            let unconfirmed = matches!(ledger.state_of(item), None | Some(SlotState::Unconfirmed));
            unconfirmed && !ledger.barred.contains(item) && ledger.free() >= need
        };
        let load_of = |e: &Upstream| self.spread.load(e);
        let open = self.open.iter().filter(fits);
        open.copied().min_by(|a, b| {
            let replicas_nearby = |e: &Upstream| self.centre_count(item, e);
            let by_load = load_of(a).total_cmp(&load_of(b));
            replicas_nearby(a)
                .cmp(&replicas_nearby(b))
                .then(
                    self.plan.ledgers[*b]
                        .free()
                        .cmp(&self.plan.ledgers[*a].free()),
                )
                .then(by_load)
        })
    }

    /// Returns how many holders of the item are in the engine's data centre.
    fn centre_count(&self, item: &Item, engine: &Upstream) -> usize {
        let centre = self.plan.views.get(engine).map(|v| &v.centre);
        let holders = self.holders(item);
        let same = holders
            .iter()
            .filter(|e| self.plan.views.get(**e).map(|v| &v.centre) == centre);
        same.count()
    }

    /// Unloads an item that has another replica, from the engine with the most free memory that can
    /// make room.
    fn make_room(&mut self, item: &Item, need: Megabytes) -> bool {
        let engines = self.open.iter().copied();
        let able = engines.filter(|e| {
            let ledger = &self.plan.ledgers[*e];
            !ledger.barred.contains(item) && self.could_free(e, item, need)
        });
        let best = able.max_by_key(|e| self.plan.ledgers[*e].free());
        let Some(engine) = best else {
            return false;
        };
        let Some(victim) = self.victim(engine, item) else {
            return false;
        };
        self.unload(engine, &victim, false);
        true
    }

    /// Returns whether unloading redundant replicas would free enough memory on the engine.
    fn could_free(&self, engine: &Upstream, keep: &Item, need: Megabytes) -> bool {
        let ledger = &self.plan.ledgers[engine];
        let spare = ledger
            .slots
            .iter()
            .filter(|(i, _)| self.is_spare(engine, i, keep));
        let spare: u64 = spare.map(|(_, s)| s.size.0).sum();
        ledger.free().0 + spare >= need.0
    }

    /// Returns whether the item on this engine has another ready replica, so that it may be
    /// unloaded.
    fn is_spare(&self, engine: &Upstream, item: &Item, keep: &Item) -> bool {
        let ledger = &self.plan.ledgers[engine];
        let movable = ledger.holds(item) && !ledger.slots[item].unfenced_copies;
        if !movable || item.to_base() == keep.to_base() {
            return false;
        }
        let gone = |s: &&Step| matches!(s, Step::Unload { item: i, .. } if i.serves_as(item));
        let planned = self.steps.iter().filter(gone).count();
        self.ready(item) > planned + 1
    }

    /// Returns the redundant item to unload first: adapters before their base weights, then the
    /// item with the least demand per megabyte.
    fn victim(&self, engine: &Upstream, keep: &Item) -> Option<Item> {
        let ledger = &self.plan.ledgers[engine];
        let spare = |i: &&Item| self.is_spare(engine, i, keep);
        let free_standing = |i: &&Item| !(i.is_base() && ledger.has_adapter(i));
        let whole_spare = |i: &&Item| {
            let base = i.to_base();
            let own = ledger.slots.keys().filter(|o| o.to_base() == base);
            own.into_iter().all(|o| self.is_spare(engine, o, keep))
        };
        let candidates = ledger.slots.keys().filter(spare).filter(whole_spare);
        let value =
            |i: &Item| self.spread.share(engine, &i.model) / ledger.slots[i].size.0.max(1) as f64;
        candidates
            .filter(free_standing)
            .min_by(|a, b| value(a).total_cmp(&value(b)))
            .cloned()
    }

    /// Loads a second replica of some item elsewhere where unloading redundant replicas doesn't
    /// free enough, so that a later step may unload the first.
    fn relocate_for(&mut self, need: Megabytes) {
        let plan = self.plan;
        for (engine, ledger) in plan.ledgers {
            for (item, slot) in &ledger.slots {
                let single = item.is_base() && !ledger.has_adapter(item) && ledger.holds(item);
                if !single || ledger.free().0 + slot.size.0 < need.0 {
                    continue;
                }
                let target = self
                    .most_free_engine(item, slot.size)
                    .filter(|e| *e != engine);
                if let Some(target) = target {
                    self.load(target, item, slot.size);
                    return;
                }
            }
        }
    }

    /// Adds a replica of models whose engines are above the target, where the gain over the horizon
    /// exceeds the cost of the move.
    pub(crate) fn add_replicas(&mut self) {
        let desired = self.plan.desired;
        let excess = |i: &Item| self.spread.excess(&i.model);
        let mut overloaded: Vec<(&Item, f64)> = desired
            .bases()
            .map(|(i, _)| (i, excess(i)))
            .filter(|(_, x)| *x > 0.0)
            .collect();
        overloaded.sort_by(|a, b| b.1.total_cmp(&a.1));
        for (base, excess) in overloaded {
            let loading_capacity = self.loading_capacity(base);
            let mut left = excess - loading_capacity;
            while left > 0.0 {
                let Some(added_work) = self.add_replica(base, left) else {
                    break;
                };
                left -= added_work;
            }
        }
    }

    /// Returns the work per second that replicas which are still loading can take on.
    fn loading_capacity(&self, item: &Item) -> f64 {
        let loading = |(e, b): (&Upstream, &EngineLedger)| {
            let here = b.state_of(item) == Some(SlotState::Loading);
            here.then(|| self.spread.spare(e))
        };
        self.plan.ledgers.iter().filter_map(loading).sum()
    }

    /// Takes the step with the highest score for a model, if any is worth its cost. Returns the
    /// work per second that it can take on.
    fn add_replica(&mut self, base: &Item, excess: f64) -> Option<f64> {
        let size = self.plan.desired.size(base).unwrap_or_default();
        let whole = self.plan.desired.whole_size(base);
        let engines = self.open.iter().copied();
        let scored = engines.filter_map(|e| Some((self.score(e, base, excess)?, e)));
        let (_, engine) = scored.max_by(|a, b| a.0.total_cmp(&b.0))?;
        let added_work = self.spread.spare(engine);
        if self.plan.ledgers[engine].free() >= whole {
            self.load(engine, base, size);
        } else {
            let victim = self.victim(engine, base)?;
            self.open.remove(engine);
            if !self.planner.cooled_down(engine, &victim, self.now) {
                return Some(0.0);
            }
            self.unload(engine, &victim, false);
        }
        Some(added_work)
    }

    /// Returns the gain over the horizon minus the cost of the moves, if positive.
    fn score(&self, engine: &Upstream, base: &Item, excess: f64) -> Option<f64> {
        let settings = self.planner.settings;
        let ledger = &self.plan.ledgers[engine];
        let whole = self.plan.desired.whole_size(base);
        let absent = ledger.state_of(base).is_none() && !ledger.barred.contains(base);
        if !absent || !self.planner.cooled_down(engine, base, self.now) {
            return None;
        }
        let fits = ledger.free() >= whole;
        if !fits && !self.could_free(engine, base, whole) {
            return None;
        }
        let moves = if fits { 1.0 } else { 2.0 };
        let capacity = self.plan.views.get(engine).map_or(0.0, |v| v.capacity);
        let gain = excess.min(self.spread.spare(engine)) * settings.horizon;
        let score = gain - settings.move_weight * moves * capacity;
        (score > 0.0).then_some(score)
    }

    /// Adds a replica in a second data centre for each model that has replicas in only one, where
    /// memory is free.
    pub(crate) fn spread_over_centres(&mut self) {
        let desired = self.plan.desired;
        for (base, size) in desired.bases() {
            let holders = self.holders(base);
            let centres: BTreeSet<&DataCentre> = holders
                .iter()
                .filter_map(|e| self.plan.views.get(*e))
                .map(|v| &v.centre)
                .collect();
            if holders.is_empty() || centres.len() > 1 {
                continue;
            }
            let whole = desired.whole_size(base);
            let elsewhere = self.most_free_engine(base, whole).filter(|e| {
                let centre = self.plan.views.get(*e).map(|v| &v.centre);
                centre.is_some_and(|c| !centres.contains(c))
            });
            if let Some(engine) = elsewhere {
                self.load(engine, base, size);
            }
        }
    }

    /// Loads missing adapters of the weights that an engine holds.
    pub(crate) fn load_adapters(&mut self) {
        let desired = self.plan.desired;
        let engines: Vec<&Upstream> = self.open.iter().copied().collect();
        for engine in engines {
            let ledger = &self.plan.ledgers[engine];
            let bases = ledger
                .slots
                .keys()
                .filter(|i| i.is_base() && ledger.holds(i));
            let missing = |(i, m): &(&Item, Megabytes)| {
                ledger.state_of(i).is_none() && !ledger.barred.contains(*i) && ledger.free() >= *m
            };
            let next = bases.flat_map(|b| desired.adapters(b)).find(missing);
            if let Some((item, size)) = next {
                self.load(engine, item, size);
            }
        }
    }
}

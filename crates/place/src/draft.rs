//! A plan in the making.

use crate::fluid::{spread, Fluid};
use crate::{EngineLedger, Item, PlanInput, Planner, SlotState, Step};
use shaleline_types::{DataCentre, Megabytes, Millis, Upstream};
use std::collections::BTreeSet;

/// The plan in the making. Each engine gets one step at the most.
pub(crate) struct Draft<'a> {
    plan: PlanInput<'a>,
    now: Millis,
    planner: &'a Planner,
    open: BTreeSet<&'a Upstream>,
    loads: usize,
    steps: Vec<Step>,
    fluid: Fluid,
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
            fluid: spread(plan, planner.settings.target, now),
            plan,
            now,
            planner,
            loads: plan.load_limit,
            steps: Vec::new(),
        }
    }

    pub(crate) fn into_steps(self) -> Vec<Step> {
        self.steps
    }

    fn load(&mut self, engine: &'a Upstream, item: &Item, size: Megabytes) {
        if self.loads == 0 {
            return;
        }
        self.loads -= 1;
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

    /// Engines that hold the item ready or are loading it, alive and not leaving.
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

    /// Unloads what nobody may use any more, and old versions whose successor is ready.
    pub(crate) fn retire(&mut self) {
        let engines: Vec<&Upstream> = self.open.iter().copied().collect();
        for engine in engines {
            let ledger = &self.plan.ledgers[engine];
            let old = |i: &&Item| self.plan.desired.size(i).is_none();
            let droppable = |i: &&Item| {
                ledger.holds(i)
                    && !ledger.slots[*i].unfenced_copies
                    && !(i.is_base() && ledger.carries_adapter(i))
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

    /// Whether a ready successor can carry what the old version carried.
    fn is_replaced(&self, old: &Item) -> bool {
        let successor = |(i, _): &(&Item, Megabytes)| i.serves_as(old) && *i != old;
        let Some((new, _)) = self.plan.desired.iter().find(successor) else {
            return false;
        };
        let steps = self.steps.iter();
        let leaving = steps.filter(|s| matches!(s, Step::Unload { item, .. } if item == old));
        let enough = self.ready(new) >= 1 && self.fluid.excess(&new.model) <= 0.0;
        enough && leaving.count() == 0
    }

    /// Loads what no live engine holds: first of all, and whatever it costs. Among these what
    /// callers wait for comes first, then the largest, which is hardest to find room for.
    pub(crate) fn reach(&mut self) {
        let wanted = self.plan.desired;
        let mut lost: Vec<(&Item, Megabytes)> = wanted
            .bases()
            .filter(|(i, _)| self.holders(i).is_empty())
            .map(|(i, _)| (i, wanted.whole_size(i)))
            .collect();
        let waited = |i: &Item| self.fluid.excess(&i.model);
        lost.sort_by(|a, b| {
            let by_demand = waited(b.0).total_cmp(&waited(a.0));
            by_demand.then(b.1.cmp(&a.1)).then_with(|| a.0.cmp(b.0))
        });
        for (base, whole) in lost {
            let own = wanted.size(base).unwrap_or_default();
            if let Some(engine) = self.roomiest(base, whole) {
                self.load(engine, base, own);
            } else if !self.make_room(base, whole) {
                self.relocate_for(whole);
            }
        }
        self.reach_adapters();
    }

    fn reach_adapters(&mut self) {
        let wanted = self.plan.desired;
        let adapters = wanted.iter().filter(|(i, _)| !i.is_base());
        let lost: Vec<(&Item, Megabytes)> = adapters
            .filter(|(i, _)| self.holders(i).is_empty())
            .collect();
        for (item, size) in lost {
            let base = item.to_base();
            let fits = |e: &&&Upstream| {
                let ledger = &self.plan.ledgers[**e];
                ledger.holds(&base) && ledger.free() >= size && !ledger.barred.contains(item)
            };
            let found = self.open.iter().find(fits).copied();
            match found {
                Some(engine) => self.load(engine, item, size),
                None => self.room_for_adapter(item, size),
            }
        }
    }

    fn room_for_adapter(&mut self, item: &Item, size: Megabytes) {
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
            if let Some(engine) = self.roomiest(&base, whole) {
                self.load(engine, &base, own);
            }
        }
    }

    /// The open engine with most free memory that fits `need` and lacks the item.
    fn roomiest(&self, item: &Item, need: Megabytes) -> Option<&'a Upstream> {
        let fits = |e: &&&Upstream| {
            let ledger = &self.plan.ledgers[**e];
            let ghost = matches!(ledger.state_of(item), None | Some(SlotState::Unconfirmed));
            ghost && !ledger.barred.contains(item) && ledger.free() >= need
        };
        let used_here = |e: &Upstream| self.fluid.load(e);
        let open = self.open.iter().filter(fits);
        open.copied().min_by(|a, b| {
            let crowded = |e: &Upstream| self.centre_count(item, e);
            let by_load = used_here(a).total_cmp(&used_here(b));
            crowded(a)
                .cmp(&crowded(b))
                .then(
                    self.plan.ledgers[*b]
                        .free()
                        .cmp(&self.plan.ledgers[*a].free()),
                )
                .then(by_load)
        })
    }

    /// How many holders of the item stand in the engine's data centre.
    fn centre_count(&self, item: &Item, engine: &Upstream) -> usize {
        let centre = self.plan.views.get(engine).map(|v| &v.centre);
        let holders = self.holders(item);
        let same = holders
            .iter()
            .filter(|e| self.plan.views.get(**e).map(|v| &v.centre) == centre);
        same.count()
    }

    /// Unloads something with another replica from the engine where that helps soonest.
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

    /// Whether unloading spare replicas would free enough on the engine.
    fn could_free(&self, engine: &Upstream, keep: &Item, need: Megabytes) -> bool {
        let ledger = &self.plan.ledgers[engine];
        let spare = ledger
            .slots
            .iter()
            .filter(|(i, _)| self.is_spare(engine, i, keep));
        let spare: u64 = spare.map(|(_, s)| s.size.0).sum();
        ledger.free().0 + spare >= need.0
    }

    /// Whether the item on this engine has another ready replica, so that it may go.
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

    /// The spare item to unload first: adapters before the weights they stand on, then
    /// whatever carries the least demand per megabyte.
    fn victim(&self, engine: &Upstream, keep: &Item) -> Option<Item> {
        let ledger = &self.plan.ledgers[engine];
        let spare = |i: &&Item| self.is_spare(engine, i, keep);
        let free_standing = |i: &&Item| !(i.is_base() && ledger.carries_adapter(i));
        let whole_spare = |i: &&Item| {
            let base = i.to_base();
            let own = ledger.slots.keys().filter(|o| o.to_base() == base);
            own.into_iter().all(|o| self.is_spare(engine, o, keep))
        };
        let candidates = ledger.slots.keys().filter(spare).filter(whole_spare);
        let value =
            |i: &Item| self.fluid.share(engine, &i.model) / ledger.slots[i].size.0.max(1) as f64;
        candidates
            .filter(free_standing)
            .min_by(|a, b| value(a).total_cmp(&value(b)))
            .cloned()
    }

    /// Nothing spare makes room: gives some item a second replica elsewhere, so that its
    /// first may go in a later step.
    fn relocate_for(&mut self, need: Megabytes) {
        let plan = self.plan;
        for (engine, ledger) in plan.ledgers {
            for (item, slot) in &ledger.slots {
                let single = item.is_base() && !ledger.carries_adapter(item) && ledger.holds(item);
                if !single || ledger.free().0 + slot.size.0 < need.0 {
                    continue;
                }
                let target = self.roomiest(item, slot.size).filter(|e| *e != engine);
                if let Some(target) = target {
                    self.load(target, item, slot.size);
                    return;
                }
            }
        }
    }

    /// Gives models whose engines are over the target another replica, where the gain
    /// over the horizon is worth the move.
    pub(crate) fn relieve(&mut self) {
        let wanted = self.plan.desired;
        let excess = |i: &Item| self.fluid.excess(&i.model);
        let mut needy: Vec<(&Item, f64)> = wanted
            .bases()
            .map(|(i, _)| (i, excess(i)))
            .filter(|(_, x)| *x > 0.0)
            .collect();
        needy.sort_by(|a, b| b.1.total_cmp(&a.1));
        for (base, excess) in needy {
            let coming = self.coming(base);
            let mut left = excess - coming;
            while left > 0.0 {
                let Some(relief) = self.relieve_one(base, left) else {
                    break;
                };
                left -= relief;
            }
        }
    }

    /// What the replicas that are loading will take on.
    fn coming(&self, item: &Item) -> f64 {
        let loading = |(e, b): (&Upstream, &EngineLedger)| {
            let here = b.state_of(item) == Some(SlotState::Loading);
            here.then(|| self.fluid.spare(e))
        };
        self.plan.ledgers.iter().filter_map(loading).sum()
    }

    /// Takes the step that helps a model most, if one is worth it. Returns the work a
    /// second that it relieves.
    fn relieve_one(&mut self, base: &Item, excess: f64) -> Option<f64> {
        let size = self.plan.desired.size(base).unwrap_or_default();
        let whole = self.plan.desired.whole_size(base);
        let engines = self.open.iter().copied();
        let scored = engines.filter_map(|e| Some((self.score(e, base, excess)?, e)));
        let (_, engine) = scored.max_by(|a, b| a.0.total_cmp(&b.0))?;
        let relief = self.fluid.spare(engine);
        if self.plan.ledgers[engine].free() >= whole {
            self.load(engine, base, size);
        } else {
            let victim = self.victim(engine, base)?;
            self.open.remove(engine);
            if !self.planner.rested(engine, &victim, self.now) {
                return Some(0.0);
            }
            self.unload(engine, &victim, false);
        }
        Some(relief)
    }

    /// The gain over the horizon less the cost of the moves, where that is positive.
    fn score(&self, engine: &Upstream, base: &Item, excess: f64) -> Option<f64> {
        let settings = self.planner.settings;
        let ledger = &self.plan.ledgers[engine];
        let whole = self.plan.desired.whole_size(base);
        let absent = ledger.state_of(base).is_none() && !ledger.barred.contains(base);
        if !absent || !self.planner.rested(engine, base, self.now) {
            return None;
        }
        let fits = ledger.free() >= whole;
        if !fits && !self.could_free(engine, base, whole) {
            return None;
        }
        let moves = if fits { 1.0 } else { 2.0 };
        let capacity = self.plan.views.get(engine).map_or(0.0, |v| v.capacity);
        let gain = excess.min(self.fluid.spare(engine)) * settings.horizon;
        let score = gain - settings.move_weight * moves * capacity;
        (score > 0.0).then_some(score)
    }

    /// Gives each model a replica in a second data centre where memory is free anyway.
    pub(crate) fn spread_out(&mut self) {
        let wanted = self.plan.desired;
        for (base, size) in wanted.bases() {
            let holders = self.holders(base);
            let centres: BTreeSet<&DataCentre> = holders
                .iter()
                .filter_map(|e| self.plan.views.get(*e))
                .map(|v| &v.centre)
                .collect();
            if holders.is_empty() || centres.len() > 1 {
                continue;
            }
            let whole = wanted.whole_size(base);
            let elsewhere = self.roomiest(base, whole).filter(|e| {
                let centre = self.plan.views.get(*e).map(|v| &v.centre);
                centre.is_some_and(|c| !centres.contains(c))
            });
            if let Some(engine) = elsewhere {
                self.load(engine, base, size);
            }
        }
    }

    /// Loads the adapters that belong to the weights an engine holds.
    pub(crate) fn adapt(&mut self) {
        let wanted = self.plan.desired;
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
            let next = bases.flat_map(|b| wanted.adapters(b)).find(missing);
            if let Some((item, size)) = next {
                self.load(engine, item, size);
            }
        }
    }
}

//! Decides which adapters are loaded where.

use crate::draft::Draft;
use crate::valuation::Valuation;
use crate::waits::Wait;
use crate::{Engine, OrderKind};
use shaleline_types::{Adapter, Model};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// An adapter loaded within this time is evicted only where no other can be: it has the fewest
/// callers so far, and would be gone again before they reach it.
const NEW_ADAPTER_MS: u64 = 1_000;

/// An adapter loaded for a waiting caller stays at least this long, even if a caller of another
/// adapter is about to retry: loading it took two orders.
const MIN_RESIDENCY_MS: u64 = 500;

/// An adapter that has been waited for this long may evict another even if no caller is about to
/// retry, so that its next caller finds it.
const OVERDUE_MS: u64 = 5_000;

/// Waits without a due retry take no more slots of an engine once more than one in this many is
/// retained for callers without an announced retry time.
const RETAINED_DIVISOR: usize = 2;

/// A requested adapter.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AdapterDemand<'a> {
    model: &'a Model,
    adapter: &'a Adapter,
    /// How long callers have waited for it, if no engine holds it.
    wait: Option<Wait>,
    /// The work that its callers ask for, in milliseconds a second.
    work: f64,
}

impl AdapterDemand<'_> {
    /// The order in which adapters are served: those with a retry due, the longest wait first; then
    /// those with a wait; then by work.
    fn priority(&self) -> (Reverse<Option<(bool, u64)>>, f64) {
        let wait = self.wait.map(|w| (w.due, w.waited));
        (Reverse(wait), self.work)
    }

    /// The adapters that it may evict.
    fn eviction_scope(&self) -> EvictionScope {
        match self.wait {
            Some(w) if w.due => EvictionScope::Retained,
            Some(w) if w.soon || (w.refused && w.waited >= OVERDUE_MS) => EvictionScope::Requested,
            _ => EvictionScope::Idle,
        }
    }
}

/// The adapters that another may evict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EvictionScope {
    /// Only those without requests.
    Idle,
    /// Also those with requests, unless they are retained for callers that may come.
    Requested,
    /// All but those with a caller about to retry, and those that were loaded just now.
    Retained,
}

/// The next step towards a slot for an adapter at one engine.
#[derive(Debug, Clone, Copy)]
enum SlotStep<'a> {
    Load,
    /// A slot was made free, and no report shows it yet.
    Await,
    Evict((&'a Model, &'a Adapter)),
}

impl SlotStep<'_> {
    /// The rank of the step: the soonest first.
    fn rank(self) -> usize {
        match self {
            Self::Load => 0,
            Self::Await => 1,
            Self::Evict(_) => 2,
        }
    }
}

/// The number of engines that hold each adapter.
pub(crate) type AdapterCopies<'a> = BTreeMap<(&'a Model, &'a Adapter), usize>;

impl<'a> Draft<'a> {
    /// Loads requested adapters at engines that serve their model, until `copies` engines hold
    /// each. Adapters that callers wait for go first, the longest wait before the others: by work
    /// alone a rarely requested adapter would come last in every plan.
    pub(crate) fn load_adapters(
        &mut self,
        valuation: &Valuation<'a>,
        demands: &[AdapterDemand<'a>],
        copies: usize,
    ) {
        for adapter in demands {
            self.load_adapter(valuation, adapter, copies);
        }
    }

    /// The adapters that callers request or wait for, by priority.
    pub(crate) fn adapter_demands(&self) -> Vec<AdapterDemand<'a>> {
        let rates = self.snapshot.view.rates;
        let rated = rates.iter().map(|(key, r)| (key, f64::from(r.work)));
        let waits = self
            .waiting
            .unserved
            .keys()
            .filter(|k| !rates.contains_key(k));
        let all = rated.chain(waits.map(|key| (*key, 0.0)));
        let mut demands: Vec<AdapterDemand<'a>> = all
            .filter_map(|(key, work)| {
                Some(AdapterDemand {
                    model: &key.0,
                    adapter: key.1.as_ref()?,
                    wait: self.waiting.unserved.get(key).copied(),
                    work,
                })
            })
            .collect();
        demands.sort_by(|a, b| {
            let ((a_priority, a_work), (b_priority, b_work)) = (a.priority(), b.priority());
            a_priority.cmp(&b_priority).then(b_work.total_cmp(&a_work))
        });
        demands
    }

    fn load_adapter(
        &mut self,
        valuation: &Valuation<'a>,
        demand: &AdapterDemand<'a>,
        copies: usize,
    ) {
        let AdapterDemand { model, adapter, .. } = *demand;
        let snapshot = self.snapshot;
        let Some(number) = snapshot.model_index.get(model) else {
            return;
        };
        let size = snapshot.models[number].1.adapter_size;
        let serving = &snapshot.servers[number];
        let has = |e: &Engine| has_adapter(e, model, adapter);
        let holding = serving.iter().filter(|p| has(snapshot.engines[**p].engine));
        let count = holding.count();
        if count >= copies.min(serving.len()) {
            return;
        }
        // Engines with an order about weights are left out: one of the two orders would be refused.
        let candidates = serving.iter().filter(|p| {
            let engine = snapshot.engines[**p].engine;
            !has(engine) && !engine.is_unloading_adapter(model, adapter) && self.is_free(**p)
        });
        let scored = candidates.filter_map(|index| {
            let engine = snapshot.engines[*index].engine;
            let occupied = engine.worst_adapters();
            let used = engine.worst_slots();
            if engine.loading_adapters() >= self.settings.pending_adapters {
                return None;
            }
            let has_slot = used < snapshot.catalog.adapter_slots;
            let step = if has_slot && size <= snapshot.engines[*index].summary.room {
                SlotStep::Load
            } else if self.awaited[*index] < engine.slots_due(snapshot.now) {
                SlotStep::Await
            } else {
                let eviction_scope = match count {
                    0 => demand.eviction_scope(),
                    _ => EvictionScope::Idle,
                };
                SlotStep::Evict(self.eviction_victim(engine, eviction_scope)?)
            };
            // Prefers engines that hold fewer adapters with a retry due.
            let due = occupied.iter().filter(|a| self.waiting.due.contains(*a));
            let rank = (step.rank(), due.count());
            let load = valuation.load(*index) + used as f64;
            Some((rank, load, *index, step))
        });
        let best = scored.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let Some((_, _, index, step)) = best else {
            return;
        };
        match step {
            SlotStep::Load => self.order(index, OrderKind::Load, model, Some(adapter)),
            SlotStep::Await => {
                self.awaited[index] += 1;
                return;
            }
            SlotStep::Evict((m, a)) => self.order(index, OrderKind::Unload, m, Some(a)),
        }
        self.ordered[index] = true;
    }

    /// Selects the adapter to evict from the engine: one without requests, or, for an adapter that
    /// no engine holds, also one that another engine holds as well or the one with the least work.
    /// The only copy of an adapter with a retry due stays, as its caller was promised it.
    fn eviction_victim(
        &self,
        engine: &'a Engine,
        eviction_scope: EvictionScope,
    ) -> Option<(&'a Model, &'a Adapter)> {
        let retained = engine.evictable_adapters();
        let retained = retained.filter(|slot| self.waiting.retained.contains(slot));
        let limit = self.snapshot.catalog.adapter_slots / RETAINED_DIVISOR;
        if eviction_scope == EvictionScope::Requested && retained.count() > limit {
            return None;
        }
        let rates = self.snapshot.view.rates;
        let now = self.snapshot.now;
        let candidates = engine.evictable_adapters().filter_map(|slot| {
            let is_sole = self.adapter_copies.get(&slot).is_none_or(|c| *c < 2);
            if is_sole && self.waiting.due.contains(&slot) {
                return None;
            }
            let key = (slot.0.clone(), Some(slot.1.clone()));
            let is_retained = is_sole && self.waiting.retained.contains(&slot);
            let age = now.since(engine.first_seen(slot.0, slot.1));
            let is_new = age < NEW_ADAPTER_MS;
            if is_retained && (age < MIN_RESIDENCY_MS || eviction_scope != EvictionScope::Retained)
            {
                return None;
            }
            let rate = rates.get(&key).map_or(0.0, |r| r.work);
            Some(([is_retained, is_new, rate > 0.0, is_sole], rate, slot))
        });
        let order = |a: &([bool; 4], f32, _), b: &([bool; 4], f32, _)| {
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        };
        let ([_, is_new, ..], work, least) = candidates.min_by(order)?;
        (eviction_scope != EvictionScope::Idle || (work == 0.0 && !is_new)).then_some(least)
    }
}

fn has_adapter(engine: &Engine, model: &Model, adapter: &Adapter) -> bool {
    engine.serves_adapter(model, adapter)
        || engine.is_pending(OrderKind::Load, model, Some(adapter))
}

/// Counts the engines that hold each adapter.
pub(crate) fn count_copies<'a>(engines: impl Iterator<Item = &'a Engine>) -> AdapterCopies<'a> {
    let mut copies = AdapterCopies::new();
    for (model, adapters) in engines.flat_map(Engine::serving) {
        for adapter in adapters {
            *copies.entry((model, adapter)).or_default() += 1;
        }
    }
    copies
}

//! What is believed of one engine.

use crate::changes::Changes;
use crate::{Catalog, ModelProfile, Order, OrderKind};
use serde::{Deserialize, Serialize};
use shaleline_types::{Adapter, DataCentre, Incarnation, Megabytes, Millis, Model};
use std::cmp;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};

/// What an engine says that it holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The models, each with its adapters.
    pub models: BTreeMap<Model, BTreeSet<Adapter>>,
    /// Adapters that are on their way.
    pub loading_adapters: BTreeSet<(Model, Adapter)>,
    /// The models of which a copy is in its main memory.
    pub warm: BTreeSet<Model>,
    /// The models of which a copy is on its disk.
    pub disk: BTreeSet<Model>,
    /// How many orders it has accepted; a start begins at 0.
    pub seq: u64,
    /// Whether an order is under way, where it says so.
    pub busy: bool,
    /// Which start of the engine says so.
    pub incarnation: Incarnation,
}

impl Held {
    /// The adapters, each with its model.
    pub(crate) fn adapters(&self) -> impl Iterator<Item = (&Model, &Adapter)> {
        let models = self.models.iter();
        models.flat_map(|(m, adapters)| adapters.iter().map(move |a| (m, a)))
    }
}

/// Where a sighting of an engine comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldSource {
    /// Its entry in the platform's list, which may be older than what is known.
    Listed,
    /// Its own report, or what the planner told.
    Reported,
}

/// An order that is not known to be carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Pending {
    pub(crate) order: Order,
    pub(crate) sent: Millis,
    /// Whether the engine has accepted it.
    accepted: bool,
}

/// One engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Where it stands.
    pub centre: DataCentre,
    /// Whether it is leaving.
    pub leaving: bool,
    /// When it could not be reached last.
    pub(crate) unreachable: Option<Millis>,
    /// Whether it is taken to be down for now.
    pub(crate) down: bool,
    pub(crate) held: Held,
    pub(crate) pending: Vec<Pending>,
    /// Orders in doubt that were meant for an earlier incarnation. One that is late may still
    /// be carried out, where this one has accepted as many orders as it expects.
    strays: Vec<Pending>,
    /// Models that nobody should be sent to any more.
    pub(crate) retiring: BTreeMap<Model, Millis>,
    pub(crate) last_order: Millis,
    /// The models that it held when it was first seen.
    pub(crate) first: BTreeSet<Model>,
    reported: Millis,
    /// What came and went there lately.
    changes: Changes,
    /// What it holds for certain, as of the number of orders it had accepted.
    proof: Option<Held>,
    /// Differs from every revision before, of this engine and of all others, wherever
    /// something about the engine has changed.
    pub(crate) revision: u64,
}

/// A number that no revision had before.
fn next_revision() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// An entry may be so much older than a report: engines write theirs about every 1.2 s,
/// and it is read within another.
pub(crate) const LIST_LAG_MS: u64 = 2_500;

/// A model that is said to be dropped soon gets nothing new for so long: by then the
/// engine's entry tells whether it was.
const RETIRE_MS: u64 = 3_000;

/// An engine that refused a connection counts as down for so long: it crashed, and its
/// entry lapses seconds later.
const DOWN_MS: u64 = 1_500;

/// Orders in doubt are forgotten after so long: a late one is carried out within 12 s.
const DOUBT_MS: u64 = 15_000;

impl Engine {
    pub(crate) fn new(centre: DataCentre, held: Held) -> Self {
        Self {
            centre,
            leaving: false,
            unreachable: None,
            down: false,
            // Its first entry tells what it started with. Where another planner ordered
            // since, the number of orders does not fit and the engine refuses.
            proof: Some(Held {
                seq: 0,
                ..held.clone()
            }),
            first: held.models.keys().cloned().collect(),
            changes: Changes::from_first(&held),
            held,
            pending: Vec::new(),
            strays: Vec::new(),
            retiring: BTreeMap::new(),
            last_order: Millis(0),
            reported: Millis(0),
            revision: next_revision(),
        }
    }

    /// Notes that something about it changes.
    pub(crate) fn touch(&mut self) {
        self.revision = next_revision();
    }

    /// What it was last known to hold.
    #[must_use]
    pub fn held(&self) -> &Held {
        &self.held
    }

    /// Whether requests for the model may be sent there.
    #[must_use]
    pub fn serves(&self, model: &Model) -> bool {
        self.held.models.contains_key(model) && !self.retiring.contains_key(model)
    }

    /// Whether it has copies of models that it did not hold at first.
    pub(crate) fn has_more_copies(&self) -> bool {
        let mut copies = self.held.warm.iter().chain(&self.held.disk);
        copies.any(|m| !self.first.contains(m))
    }

    /// Whether requests for the adapter may be sent there.
    #[must_use]
    pub fn serves_adapter(&self, model: &Model, adapter: &Adapter) -> bool {
        let held = self.held.models.get(model);
        self.serves(model) && held.is_some_and(|a| a.contains(adapter))
    }

    /// The models to send requests for, each with its adapters.
    pub fn serving(&self) -> impl Iterator<Item = (&Model, &BTreeSet<Adapter>)> {
        let models = self.held.models.iter();
        models.filter(|(m, _)| !self.retiring.contains_key(*m))
    }

    /// Whether it holds the model or is getting it.
    pub(crate) fn will_serve(&self, model: &Model) -> bool {
        self.serves(model) || self.is_pending(OrderKind::Load, model, None)
    }

    pub(crate) fn is_pending(
        &self,
        kind: OrderKind,
        model: &Model,
        adapter: Option<&Adapter>,
    ) -> bool {
        self.pending.iter().any(|p| {
            p.order.kind == kind && p.order.model == *model && p.order.adapter.as_ref() == adapter
        })
    }

    /// Whether an order is not known to be carried out.
    #[must_use]
    pub fn has_pending(&self, order: &Order) -> bool {
        self.pending.iter().any(|p| p.order == *order)
    }

    /// Whether an order about weights is open.
    pub(crate) fn is_moving(&self) -> bool {
        self.held.busy || self.pending.iter().any(|p| p.order.adapter.is_none())
    }

    /// Whether an order to drop a model is open.
    pub(crate) fn is_dropping(&self) -> bool {
        let drops = |o: &Order| o.kind == OrderKind::Unload && o.adapter.is_none();
        self.pending.iter().any(|p| drops(&p.order))
    }

    /// Every model that may be in its memory, in the worst case.
    fn worst_models(&self) -> BTreeSet<&Model> {
        let loads = self
            .open_orders()
            .filter_map(|o| (o.kind == OrderKind::Load && o.adapter.is_none()).then_some(&o.model));
        let proof = self.proof.iter().flat_map(|p| p.models.keys());
        proof.chain(loads).collect()
    }

    /// Every order that is not known to be void.
    fn open_orders(&self) -> impl Iterator<Item = &Order> {
        self.pending.iter().chain(&self.strays).map(|p| &p.order)
    }

    /// Every adapter that may take a place, in the worst case.
    pub(crate) fn worst_adapters(&self) -> BTreeSet<(&Model, &Adapter)> {
        let proof = self.proof.iter().flat_map(|p| {
            p.adapters()
                .chain(p.loading_adapters.iter().map(|(m, a)| (m, a)))
        });
        let loads = self.open_orders().filter_map(|o| {
            let adapter = o.adapter.as_ref()?;
            (o.kind == OrderKind::Load).then_some((&o.model, adapter))
        });
        proof.chain(loads).collect()
    }

    /// The adapters that it holds for certain.
    pub(crate) fn certain_adapters(&self) -> impl Iterator<Item = (&Model, &Adapter)> {
        self.proof.iter().flat_map(Held::adapters)
    }

    /// The memory that may be taken, in the worst case.
    pub(crate) fn worst_memory(&self, catalog: &Catalog) -> Megabytes {
        let rule = |m: &Model| catalog.models.get(m);
        let models = self.worst_models().into_iter();
        let weights: u64 = models.filter_map(rule).map(|r| r.weights_size.0).sum();
        let adapters = self.worst_adapters().into_iter();
        let adapters: u64 = adapters
            .filter_map(|(m, _)| rule(m))
            .map(|r| r.adapter_size.0)
            .sum();
        Megabytes(weights + adapters)
    }

    /// Takes in that it has started again: nothing of before holds, but for orders in doubt
    /// that may still be carried out.
    fn restart(&mut self, held: Held) {
        let mut strays = std::mem::take(&mut self.strays);
        let pending = std::mem::take(&mut self.pending);
        strays.extend(pending.into_iter().filter(|p| !p.accepted));
        *self = Self {
            strays,
            ..Self::new(self.centre.clone(), held)
        };
    }

    /// Takes in what was seen. What is older than what is known is passed over.
    pub(crate) fn observe(&mut self, held: Held, from: HeldSource, now: Millis) {
        match held.incarnation.compare_to(self.held.incarnation) {
            cmp::Ordering::Less => return,
            cmp::Ordering::Equal => {}
            cmp::Ordering::Greater => self.restart(held.clone()),
        }
        let mut next = held;
        match from {
            HeldSource::Reported if next.seq < self.held.seq => return,
            HeldSource::Reported => {
                self.reported = now;
                self.changes.on_report(&self.held, &next, now);
                self.proof = (!next.busy).then(|| next.clone());
            }
            HeldSource::Listed => {
                if now.since(self.reported.max(self.last_order)) < LIST_LAG_MS {
                    self.keep_known(&mut next);
                }
                self.changes.leave_out_gone(&mut next, now);
                // An entry tells neither whether an order is under way nor how many were
                // accepted.
                next.busy = false;
                next.seq = self.held.seq;
            }
        }
        next.disk.extend(next.models.keys().cloned());
        self.held = next;
        self.changes.on_held(&self.held, now);
        self.settle(now);
    }

    /// Notes that an adapter is no longer there, or won't be in a moment.
    pub(crate) fn remove_adapter(&mut self, model: &Model, adapter: &Adapter, now: Millis) {
        if let Some(adapters) = self.held.models.get_mut(model) {
            adapters.remove(adapter);
        }
        self.changes.note_gone(model, Some(adapter), now);
    }

    /// When an adapter that it holds was first seen there.
    pub(crate) fn came(&self, model: &Model, adapter: &Adapter) -> Millis {
        self.changes.came(model, adapter)
    }

    /// What was loaded stays until an order drops it: an entry that lacks it is older than
    /// the report that showed it.
    fn keep_known(&self, next: &mut Held) {
        for (model, adapters) in &self.held.models {
            let unloading = self.retiring.contains_key(model);
            if unloading && !next.models.contains_key(model) {
                continue;
            }
            let known = next.models.entry(model.clone()).or_default();
            let dropped = |a: &&Adapter| self.is_pending(OrderKind::Unload, model, Some(a));
            known.extend(adapters.iter().filter(|a| !dropped(a)).cloned());
        }
    }

    /// Drops the orders that are known to be carried out or void. Returns whether any was.
    pub(crate) fn settle(&mut self, now: Millis) -> bool {
        let held = &self.held;
        let before = self.open_count();
        self.strays
            .retain(|p| p.order.expect >= held.seq && now.since(p.sent) < DOUBT_MS);
        let is_open = |p: &Pending| {
            let order = &p.order;
            let adapters = held.models.get(&order.model);
            let there = match &order.adapter {
                Some(adapter) => adapters.is_some_and(|a| a.contains(adapter)),
                None => adapters.is_some(),
            };
            let wanted = order.kind == OrderKind::Load;
            there != wanted && now.since(p.sent) < DOUBT_MS
        };
        self.pending.retain(is_open);
        let pending = &self.pending;
        let unloading = |m: &Model| {
            pending.iter().any(|p| {
                p.order.kind == OrderKind::Unload
                    && p.order.adapter.is_none()
                    && p.order.model == *m
            })
        };
        self.retiring.retain(|m, at| {
            held.models.contains_key(m) && (unloading(m) || now.since(*at) < RETIRE_MS)
        });
        before != self.open_count()
    }

    /// How much of what was ordered or told is open.
    fn open_count(&self) -> usize {
        self.pending.len() + self.strays.len() + self.retiring.len()
    }

    /// Notes that an order leaves. It counts at its worst from now on.
    pub(crate) fn note_sent(&mut self, order: &Order, now: Millis) {
        if order.kind == OrderKind::Unload && order.adapter.is_none() {
            self.retiring.insert(order.model.clone(), now);
        }
        if let (OrderKind::Unload, Some(adapter)) = (order.kind, &order.adapter) {
            self.remove_adapter(&order.model, adapter, now);
        }
        self.last_order = now;
        self.pending.push(Pending {
            order: order.clone(),
            sent: now,
            accepted: false,
        });
    }

    /// Whether what it holds is known for certain as of the orders it has accepted.
    ///
    /// An engine changes only by an order it accepts. So a report that shows no order
    /// under way stays true until the engine has accepted another, and an order that
    /// expects the reported number is refused where that has happened. Entries lag and
    /// prove nothing: memory is promised by reports alone.
    pub(crate) fn is_proven(&self) -> bool {
        let proof = self.proof.as_ref();
        proof.is_some_and(|p| p.seq == self.held.seq) && !self.held.busy
    }

    /// Notes that an order was accepted. `done` says that it was carried out at once.
    pub(crate) fn note_accepted(&mut self, order: &Order, done: bool) {
        if let Some(pending) = self.pending.iter_mut().find(|p| p.order == *order) {
            pending.accepted = true;
        }
        self.held.seq = self.held.seq.max(order.expect + 1);
        // The change that an adapter makes is known. How weights end is reported, and when
        // an adapter goes that is still in use.
        let known = self.proof.take().filter(|p| p.seq == order.expect);
        if let (Some(mut proof), Some(adapter)) = (known, &order.adapter) {
            proof.seq = order.expect + 1;
            let place = (order.model.clone(), adapter.clone());
            match order.kind {
                OrderKind::Load => {
                    proof.loading_adapters.insert(place);
                    self.proof = Some(proof);
                }
                OrderKind::Unload if done => {
                    let adapters = proof.models.get_mut(&order.model);
                    if let Some(adapters) = adapters {
                        adapters.remove(adapter);
                    }
                    self.proof = Some(proof);
                }
                OrderKind::Unload => {}
            }
        }
        // What the engine accepted in between voids other orders of the same condition.
        let void = |p: &Pending| p.order.expect == order.expect && p.order != *order;
        self.pending.retain(|p| !void(p));
    }

    /// Notes that an order was refused and will never be carried out.
    pub(crate) fn note_refused(&mut self, order: &Order) {
        self.pending.retain(|p| p.order != *order);
        if order.kind == OrderKind::Unload && order.adapter.is_none() {
            self.retiring.remove(&order.model);
        }
    }

    /// Drops what is only in doubt and has grown old.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.changes.prune(now);
        let settled = self.settle(now);
        let since = self.unreachable.map(|at| now.since(at));
        let down = since.is_some_and(|s| s < DOWN_MS);
        if settled || down != self.down {
            self.down = down;
            self.touch();
        }
    }

    /// Whether replicas there count.
    pub(crate) fn counts(&self) -> bool {
        !self.leaving && !self.down
    }

    /// Whether what it holds is known for certain and nothing is under way.
    pub(crate) fn takes_orders(&self) -> bool {
        self.counts() && !self.is_moving() && self.is_proven()
    }

    /// When the order about weights that is under way is expected to be done; none where
    /// none is.
    pub(crate) fn busy_until(&self, catalog: &Catalog) -> Option<Millis> {
        let pending = self.pending.iter().find(|p| p.order.adapter.is_none())?;
        let rule = catalog.models.get(&pending.order.model)?;
        Some(
            pending
                .sent
                .plus(self.load_time(&pending.order.model, rule).0),
        )
    }

    /// Whether it has a copy of the model, so that a load does not use the weight store.
    #[must_use]
    pub fn has_copy(&self, model: &Model) -> bool {
        self.held.warm.contains(model) || self.held.disk.contains(model)
    }

    /// How long a load of the model takes there.
    #[must_use]
    pub fn load_time(&self, model: &Model, rule: &ModelProfile) -> Millis {
        if self.held.warm.contains(model) {
            rule.warm_time
        } else if self.held.disk.contains(model) {
            rule.disk_time
        } else {
            rule.store_time
        }
    }
}

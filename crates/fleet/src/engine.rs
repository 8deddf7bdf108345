//! The known state of one engine.

use crate::changes::Changes;
use crate::room::Room;
use crate::unanswered::UnansweredOrders;
use crate::{Catalog, ModelProfile, Order, OrderKind};
use serde::{Deserialize, Serialize};
use shaleline_types::{Adapter, DataCentre, Incarnation, Megabytes, Millis, Model};
use std::cmp;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};

/// What an engine reports that it holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The models, each with its adapters.
    pub models: BTreeMap<Model, BTreeSet<Adapter>>,
    /// Adapters that are being loaded.
    pub loading_adapters: BTreeSet<(Model, Adapter)>,
    /// The models with a copy in its main memory.
    pub warm: BTreeSet<Model>,
    /// The models with a copy on its disk.
    pub disk: BTreeSet<Model>,
    /// The number of orders it has accepted since its start.
    pub seq: u64,
    /// Whether an order is in progress, if the engine reports it.
    pub busy: bool,
    /// The incarnation of the engine that reports this.
    pub incarnation: Incarnation,
}

impl Held {
    /// The adapters, each with its model.
    pub(crate) fn adapters(&self) -> impl Iterator<Item = (&Model, &Adapter)> {
        let models = self.models.iter();
        models.flat_map(|(m, adapters)| adapters.iter().map(move |a| (m, a)))
    }

    /// Whether it shows the adapter as held or being loaded.
    pub(crate) fn has_adapter(&self, model: &Model, adapter: &Adapter) -> bool {
        let mut loading = self.loading_adapters.iter();
        let held = self.models.get(model).is_some_and(|a| a.contains(adapter));
        held || loading.any(|(m, a)| m == model && a == adapter)
    }
}

/// The source of what is known of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldSource {
    /// Its entry in the platform's list, which may be older than what is known.
    Listed,
    /// Its own report.
    Reported {
        /// When this daemon asked for it.
        asked: Millis,
    },
    /// A message of the planner, of unknown age.
    Announced,
}

/// An order that is not known to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PendingOrder {
    pub(crate) order: Order,
    pub(crate) sent: Millis,
    /// Whether the engine has accepted it.
    accepted: bool,
}

/// One engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// The data centre of the engine.
    pub centre: DataCentre,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The time of the last refused connection.
    pub(crate) unreachable: Option<Millis>,
    /// Whether it currently counts as down.
    pub(crate) down: bool,
    pub(crate) held: Held,
    pub(crate) pending: Vec<PendingOrder>,
    /// Orders of this and earlier incarnations of which an attempt may still arrive.
    pub(crate) unanswered: UnansweredOrders,
    /// Models to which no more requests are sent, and since when.
    pub(crate) retiring: BTreeMap<Model, Millis>,
    pub(crate) last_order: Millis,
    /// The models that it held when it was first seen.
    pub(crate) initial_models: BTreeSet<Model>,
    /// When it was last reported or announced what it holds.
    pub(crate) last_report: Millis,
    /// Recent changes of what it holds.
    changes: Changes,
    /// What may take its memory and slots.
    room: Room,
    /// A number that is unique among all revisions of all engines, and renewed with each change of
    /// this engine's state.
    pub(crate) revision: u64,
}

/// Returns a number that no earlier revision had.
fn next_revision() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// The maximum age of a list entry relative to a report: engines write their entry about every 1.2
/// s, and it is read within another 1.2 s.
pub(crate) const LIST_LAG_MS: u64 = 2_500;

/// A model that is announced to be unloaded gets no new requests for this time; by then the
/// engine's entry shows whether it was unloaded.
const RETIRING_MS: u64 = 3_000;

/// An engine that refused a connection counts as down for this time: it has crashed, and its entry
/// lapses seconds later.
const DOWN_MS: u64 = 1_500;

/// Unconfirmed orders are forgotten after this time: a late one is carried out within 12 s.
pub(crate) const PENDING_TTL_MS: u64 = 15_000;

impl Engine {
    pub(crate) fn new(centre: DataCentre, held: Held, now: Millis) -> Self {
        Self {
            centre,
            leaving: false,
            unreachable: None,
            down: false,
            room: Room::new(&held, now),
            initial_models: held.models.keys().cloned().collect(),
            changes: Changes::from_first(&held),
            held,
            pending: Vec::new(),
            unanswered: UnansweredOrders::default(),
            retiring: BTreeMap::new(),
            last_order: Millis(0),
            last_report: Millis(0),
            revision: next_revision(),
        }
    }

    /// Marks the state of the engine as changed.
    pub(crate) fn bump_revision(&mut self) {
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

    /// Whether it has copies of models that it did not hold when it was first seen.
    pub(crate) fn has_extra_copies(&self) -> bool {
        let mut copies = self.held.warm.iter().chain(&self.held.disk);
        copies.any(|m| !self.initial_models.contains(m))
    }

    /// Whether requests for the adapter may be sent there.
    #[must_use]
    pub fn serves_adapter(&self, model: &Model, adapter: &Adapter) -> bool {
        let held = self.held.models.get(model);
        self.serves(model) && held.is_some_and(|a| a.contains(adapter))
    }

    /// The models for which requests may be sent there, each with its adapters.
    pub fn serving(&self) -> impl Iterator<Item = (&Model, &BTreeSet<Adapter>)> {
        let models = self.held.models.iter();
        models.filter(|(m, _)| !self.retiring.contains_key(*m))
    }

    /// Whether it serves the model or is loading it.
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

    /// Whether the order is not known to be done.
    #[must_use]
    pub fn has_pending(&self, order: &Order) -> bool {
        let adapter = order.adapter.as_ref();
        let adapter = adapter.filter(|_| order.kind == OrderKind::Unload);
        let unloading = adapter.is_some_and(|a| self.is_unloading_adapter(&order.model, a));
        unloading || self.pending.iter().any(|p| p.order == *order)
    }

    /// Whether an order to unload the adapter may still be in progress.
    pub(crate) fn is_unloading_adapter(&self, model: &Model, adapter: &Adapter) -> bool {
        self.room.is_unloading(model, adapter)
    }

    /// Whether an order about weights is in progress.
    pub(crate) fn has_weight_order(&self) -> bool {
        self.held.busy || self.pending.iter().any(|p| p.order.adapter.is_none())
    }

    /// Whether an order to unload a model is pending.
    pub(crate) fn is_unloading(&self) -> bool {
        let drops = |o: &Order| o.kind == OrderKind::Unload && o.adapter.is_none();
        self.pending.iter().any(|p| drops(&p.order))
    }

    /// Every model that may be in its memory, in the worst case.
    fn worst_models(&self) -> BTreeSet<&Model> {
        let loads = self
            .open_orders()
            .filter_map(|o| (o.kind == OrderKind::Load && o.adapter.is_none()).then_some(&o.model));
        self.room.shown().models.keys().chain(loads).collect()
    }

    /// Every order that is not known to be void, or whose effect a report may not show.
    fn open_orders(&self) -> impl Iterator<Item = &Order> {
        let pending = self.pending.iter().map(|p| &p.order);
        let unanswered = self.unanswered.open(self.room.proved());
        pending.chain(unanswered).chain(self.room.loads())
    }

    /// Every adapter that may take a slot, in the worst case.
    pub(crate) fn worst_adapters(&self) -> BTreeSet<(&Model, &Adapter)> {
        let reported = self.reported_adapters();
        reported.chain(self.ordered_adapters()).collect()
    }

    /// The adapters that the last report shows as held or being loaded.
    pub(crate) fn reported_adapters(&self) -> impl Iterator<Item = (&Model, &Adapter)> {
        let shown = self.room.shown();
        let loading = shown.loading_adapters.iter().map(|(m, a)| (m, a));
        shown.adapters().chain(loading)
    }

    /// The adapters that orders may load and the last report may not show.
    pub(crate) fn ordered_adapters(&self) -> impl Iterator<Item = (&Model, &Adapter)> {
        self.open_orders().filter_map(|o| {
            let adapter = o.adapter.as_ref()?;
            (o.kind == OrderKind::Load).then_some((&o.model, adapter))
        })
    }

    /// The number of adapters that are being loaded, as far as is known.
    pub(crate) fn loading_adapters(&self) -> usize {
        let pending = self.pending.iter().map(|p| &p.order);
        let loads = pending.filter(|o| o.kind == OrderKind::Load);
        let loads = loads.filter_map(|o| Some((&o.model, o.adapter.as_ref()?)));
        let shown = self.room.shown().loading_adapters.iter();
        let all: BTreeSet<_> = loads.chain(shown.map(|(m, a)| (m, a))).collect();
        all.len()
    }

    /// The adapters that may be evicted: those that the last report shows as held, unless an order
    /// already unloads them.
    pub(crate) fn evictable_adapters(&self) -> impl Iterator<Item = (&Model, &Adapter)> {
        let held = self.room.shown().adapters();
        held.filter(|(m, a)| !self.is_unloading_adapter(m, a))
    }

    /// The number of slots that the next reports are expected to show as free.
    pub(crate) fn slots_due(&self, now: Millis) -> usize {
        self.room.slots_due(now)
    }

    /// The slots of adapters that may be in use, in the worst case.
    pub(crate) fn worst_slots(&self) -> usize {
        let late: BTreeSet<_> = self.late_loads().filter(|l| l.1.is_some()).collect();
        self.worst_adapters().len().max(late.len())
    }

    /// The memory that may be in use, in the worst case.
    pub(crate) fn worst_memory(&self, catalog: &Catalog) -> Megabytes {
        let models = self.worst_models().into_iter().map(|m| (m, None));
        let adapters = self.worst_adapters().into_iter();
        let expected = models.chain(adapters.map(|(m, a)| (m, Some(a))));
        let late: BTreeSet<_> = self.late_loads().collect();
        let expected = catalog.memory_of(expected);
        expected.max(catalog.memory_of(late.into_iter()))
    }

    /// What a later start of the engine may load by unanswered orders, if the next order is another
    /// one.
    fn late_loads(&self) -> impl Iterator<Item = (&Model, Option<&Adapter>)> {
        let loads = self.unanswered.loads_beside(self.held.seq);
        loads.map(|o| (&o.model, o.adapter.as_ref()))
    }

    /// Resets the state after a restart. Only orders that may still be carried out are kept.
    fn restart(&mut self, held: Held, now: Millis) {
        let unanswered = self.take_unanswered();
        *self = Self {
            unanswered,
            ..Self::new(self.centre.clone(), held, now)
        };
    }

    /// Takes the orders that a later incarnation may carry out: those with an attempt that got no
    /// reply, and those that are waiting for one.
    pub(crate) fn take_unanswered(&mut self) -> UnansweredOrders {
        let mut unanswered = std::mem::take(&mut self.unanswered);
        for pending in self.pending.drain(..).filter(|p| !p.accepted) {
            unanswered.record(pending.order, pending.sent);
        }
        unanswered
    }

    /// Updates what it holds. Information that is older than what is known is ignored.
    pub(crate) fn observe(&mut self, held: Held, from: HeldSource, now: Millis) {
        match held.incarnation.compare_to(self.held.incarnation) {
            cmp::Ordering::Less => return,
            cmp::Ordering::Equal => {}
            cmp::Ordering::Greater => self.restart(held.clone(), now),
        }
        let mut next = held;
        match from {
            HeldSource::Reported { asked } => {
                if !self.room.is_newer(next.seq, asked) {
                    return;
                }
                let believed = self.held.seq;
                self.room.on_report(&next, believed, asked, now);
                if next.seq < believed && !self.room.disproves(next.seq, asked) {
                    return;
                }
                self.on_reported(&mut next, now);
            }
            HeldSource::Announced if next.seq < self.held.seq => return,
            HeldSource::Announced => {
                if next.seq > self.held.seq {
                    self.room.on_foreign(now);
                }
                self.on_reported(&mut next, now);
            }
            HeldSource::Listed => {
                if now.since(self.last_report.max(self.last_order)) < LIST_LAG_MS {
                    self.keep_known(&mut next);
                }
                self.changes.omit_removed(&mut next, now);
                // An entry shows neither whether an order is in progress nor how many were
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

    /// Removes from a report the adapters that are being unloaded.
    pub(crate) fn omit_unloading(&self, report: &mut Held) {
        self.room.omit_unloading(report);
    }

    /// Takes over what a report or message shows, apart from adapters that are being unloaded.
    fn on_reported(&mut self, next: &mut Held, now: Millis) {
        self.room.omit_unloading(next);
        self.changes.on_report(&self.held, next, now);
        self.last_report = now;
    }

    /// Whether its last report may count an order whose effect it does not show yet.
    #[must_use]
    pub fn awaits_report(&self) -> bool {
        self.room.awaits_report()
    }

    /// Whether it must report what it holds: before it can take orders, or as an order should be
    /// done.
    pub(crate) fn needs_report(&self, now: Millis) -> bool {
        !self.is_confirmed() || self.has_weight_order() || self.room.is_overdue(now)
    }

    /// Records that an adapter has been unloaded, or will be in a moment.
    pub(crate) fn remove_adapter(&mut self, model: &Model, adapter: &Adapter, now: Millis) {
        if let Some(adapters) = self.held.models.get_mut(model) {
            adapters.remove(adapter);
        }
        self.changes.record_removed(model, Some(adapter), now);
    }

    /// The time at which an adapter that it holds was first seen there.
    pub(crate) fn first_seen(&self, model: &Model, adapter: &Adapter) -> Millis {
        self.changes.first_seen(model, adapter)
    }

    /// Adds to an entry what is known to be loaded. It stays until an order unloads it: an entry
    /// without it is older than the report that showed it.
    fn keep_known(&self, next: &mut Held) {
        for (model, adapters) in &self.held.models {
            let unloading = self.retiring.contains_key(model);
            if unloading && !next.models.contains_key(model) {
                continue;
            }
            let known = next.models.entry(model.clone()).or_default();
            let dropped = |a: &&Adapter| self.is_unloading_adapter(model, a);
            known.extend(adapters.iter().filter(|a| !dropped(a)).cloned());
        }
    }

    /// Drops the orders that are known to be done or void, or have expired. Returns whether any was
    /// dropped.
    pub(crate) fn settle(&mut self, now: Millis) -> bool {
        let held = &self.held;
        let before = self.open_count();
        self.unanswered.prune(now);
        let is_open = |p: &PendingOrder| {
            let order = &p.order;
            let adapters = held.models.get(&order.model);
            let is_held = match &order.adapter {
                Some(adapter) => adapters.is_some_and(|a| a.contains(adapter)),
                None => adapters.is_some(),
            };
            let wanted = order.kind == OrderKind::Load;
            is_held != wanted && now.since(p.sent) < PENDING_TTL_MS
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
            held.models.contains_key(m) && (unloading(m) || now.since(*at) < RETIRING_MS)
        });
        before != self.open_count()
    }

    /// The number of pending orders, unanswered orders and retiring models.
    fn open_count(&self) -> usize {
        self.pending.len() + self.unanswered.len() + self.retiring.len()
    }

    /// Records that an order is sent. It counts at its worst case from now on.
    pub(crate) fn record_sent(&mut self, order: &Order, now: Millis) {
        if order.kind == OrderKind::Unload && order.adapter.is_none() {
            self.retiring.insert(order.model.clone(), now);
        }
        if let (OrderKind::Unload, Some(adapter)) = (order.kind, &order.adapter) {
            self.remove_adapter(&order.model, adapter, now);
        }
        self.last_order = now;
        self.room.on_sent(order, now);
        self.pending.push(PendingOrder {
            order: order.clone(),
            sent: now,
            accepted: false,
        });
    }

    /// Whether everything that may be in its memory is known, as of the orders it has accepted.
    ///
    /// An engine loads only by an order that it accepts, and refuses one that expects another number
    /// of orders. List entries and messages lag and confirm nothing: memory is allocated only by
    /// reports to this daemon and by replies to its own orders.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.room.is_known(self.held.seq)
    }

    /// Records that an order was accepted. `done` means that it held already or was carried out at
    /// once.
    pub(crate) fn record_accepted(&mut self, order: &Order, done: bool, now: Millis) {
        if let Some(pending) = self.pending.iter_mut().find(|p| p.order == *order) {
            pending.accepted = true;
        }
        self.held.seq = self.held.seq.max(order.expect + 1);
        self.room.on_accepted(order, done, now);
        // An order accepted in between voids the other orders with the same condition.
        let void = |p: &PendingOrder| p.order.expect == order.expect && p.order != *order;
        self.pending.retain(|p| !void(p));
    }

    /// Records that an attempt to send an order got no reply.
    pub(crate) fn record_unanswered(&mut self, order: &Order, now: Millis) {
        self.unanswered.record(order.clone(), now);
        self.room.on_lost(order);
    }

    /// Records that an attempt to send an order was refused. Earlier attempts may still be carried
    /// out.
    pub(crate) fn record_refused(&mut self, order: &Order) {
        self.pending.retain(|p| p.order != *order);
        if !self.unanswered.contains(order) {
            self.room.on_void(order);
        }
        if order.kind == OrderKind::Unload && order.adapter.is_none() {
            self.retiring.remove(&order.model);
        }
    }

    /// Drops temporary state that has expired.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.changes.prune(now);
        let pruned = self.room.prune(now, PENDING_TTL_MS);
        let settled = self.settle(now) || pruned;
        let since = self.unreachable.map(|at| now.since(at));
        let down = since.is_some_and(|s| s < DOWN_MS);
        if settled || down != self.down {
            self.down = down;
            self.bump_revision();
        }
    }

    /// Whether replicas on this engine count: it is neither leaving nor down.
    pub(crate) fn is_available(&self) -> bool {
        !self.leaving && !self.down
    }

    /// Whether what it holds is confirmed and no order is in progress.
    pub(crate) fn takes_orders(&self) -> bool {
        self.is_available() && !self.has_weight_order() && self.is_confirmed()
    }

    /// The time at which the pending order about weights is expected to be done, if there is one.
    pub(crate) fn busy_until(&self, catalog: &Catalog) -> Option<Millis> {
        let pending = self.pending.iter().find(|p| p.order.adapter.is_none())?;
        let profile = catalog.models.get(&pending.order.model)?;
        Some(
            pending
                .sent
                .plus(self.load_time(&pending.order.model, profile).0),
        )
    }

    /// Whether it has a copy of the model, so that a load does not use the weight store.
    #[must_use]
    pub fn has_copy(&self, model: &Model) -> bool {
        self.held.warm.contains(model) || self.held.disk.contains(model)
    }

    /// The duration of a load of the model at this engine.
    #[must_use]
    pub fn load_time(&self, model: &Model, profile: &ModelProfile) -> Millis {
        if self.held.warm.contains(model) {
            profile.warm_time
        } else if self.held.disk.contains(model) {
            profile.disk_time
        } else {
            profile.store_time
        }
    }
}

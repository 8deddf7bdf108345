//! What may take the memory and the adapter slots of one engine.
//!
//! Everything counts as taken that the last report shows, and every load that this report may not
//! show yet. A reply frees nothing: an order to unload is answered alike whether the engine has
//! unloaded, is still unloading by an earlier order, or never held. `docs/PLACEMENT.md` has the
//! rule.

use crate::{Held, Order, OrderKind};
use shaleline_types::{Adapter, Millis, Model};
use std::collections::BTreeMap;

/// A report that is asked for this long after the reply to an order shows its effect: the
/// platform's pages call reports some hundred milliseconds old.
const REPORT_LAG_MS: u64 = 500;

/// An unload that was answered as done is expected to be reported within this time: the age of a
/// report and a few calls.
const UNLOAD_REPORT_MS: u64 = 1_200;

/// Whether a report that was asked for at `asked` shows what happened at `at`.
fn shows(asked: Millis, at: Millis) -> bool {
    asked >= at.plus(REPORT_LAG_MS)
}

/// A load that the last report may not show.
#[derive(Debug, Clone)]
struct RecentLoad {
    order: Order,
    sent: Millis,
    /// When it was known to be accepted or void, if it is.
    settled: Option<Millis>,
    /// For weights: since when reports say that no order is in progress.
    idle: Option<Millis>,
}

impl RecentLoad {
    /// Whether a report shows the load. Weights are shown once a report is later than the end of the
    /// load, which lies before the first report without an order in progress.
    fn is_shown(&mut self, report: &Held, asked: Millis, now: Millis) -> bool {
        let counted = report.seq > self.order.expect;
        if !counted || !self.settled.is_some_and(|at| shows(asked, at)) {
            return false;
        }
        if self.order.adapter.is_some() {
            return true;
        }
        if report.busy {
            self.idle = None;
            return false;
        }
        shows(asked, *self.idle.get_or_insert(now))
    }
}

/// An order to unload an adapter that no report shows as done.
#[derive(Debug, Clone, Copy)]
struct OpenUnload {
    /// When it was sent, or answered.
    sent: Millis,
    expect: u64,
    state: UnloadState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UnloadState {
    Sent,
    /// The engine unloads the adapter once its requests have ended.
    Accepted,
    /// The adapter is not in use, or the order held already.
    Done,
    /// No attempt to send it got a reply.
    Lost,
}

/// What may take the room of one engine.
#[derive(Debug, Clone)]
pub(crate) struct Room {
    /// The last report, or the first entry.
    shown: Held,
    /// When that report was asked for.
    asked: Millis,
    loads: Vec<RecentLoad>,
    unloads: BTreeMap<(Model, Adapter), OpenUnload>,
    /// The number of accepted orders up to which every load is known.
    known: Option<u64>,
    /// The number of orders that the engine is proved to have accepted.
    proved: u64,
    /// When an order was first seen to be counted that was not answered to this planner.
    foreign: Option<Millis>,
    /// The time of the last reply to an order that was accepted or held already.
    replied: Millis,
}

impl Room {
    /// The room of an engine that is seen for the first time.
    ///
    /// Its first entry shows what it started with. If orders were accepted since, the engine refuses
    /// one that expects none.
    pub(crate) fn new(first: &Held, now: Millis) -> Self {
        Self {
            shown: first.clone(),
            asked: Millis(0),
            loads: Vec::new(),
            unloads: BTreeMap::new(),
            known: Some(0),
            proved: 0,
            foreign: (first.seq > 0).then_some(now),
            replied: Millis(0),
        }
    }

    /// The number of orders that the engine is proved to have accepted.
    pub(crate) fn proved(&self) -> u64 {
        self.proved
    }

    /// Whether all loads are known of an engine that has accepted `seq` orders, and none of weights
    /// is in progress.
    pub(crate) fn is_known(&self, seq: u64) -> bool {
        self.known == Some(seq) && !self.shown.busy
    }

    /// Whether the last report may lack the effect of an order that it counts.
    pub(crate) fn awaits_report(&self) -> bool {
        self.foreign.is_some()
    }

    /// Whether an unload should have been reported by now.
    pub(crate) fn is_overdue(&self, now: Millis) -> bool {
        let mut open = self.unloads.values();
        open.any(|u| now.since(u.sent) >= UNLOAD_REPORT_MS)
    }

    /// Whether a report that was asked for at `asked` may be used.
    pub(crate) fn is_newer(&self, seq: u64, asked: Millis) -> bool {
        asked >= self.asked && seq >= self.shown.seq
    }

    /// Whether a report with fewer orders than were believed to be accepted shows that they were
    /// not.
    pub(crate) fn disproves(&self, seq: u64, asked: Millis) -> bool {
        let last = self.foreign.unwrap_or_default().max(self.replied);
        seq >= self.proved && shows(asked, last)
    }

    /// Records a report; the engine was believed to have accepted `believed` orders.
    pub(crate) fn on_report(&mut self, report: &Held, believed: u64, asked: Millis, now: Millis) {
        let was_busy = self.shown.busy;
        self.asked = asked;
        self.shown = report.clone();
        self.on_counted(report.seq, now);
        // An order that is not this planner's may have been in progress until just now.
        let in_progress = report.busy || was_busy;
        if report.seq > believed || (self.foreign.is_some() && in_progress) {
            self.on_foreign(now);
        } else if self.foreign.is_some_and(|at| shows(asked, at)) {
            self.foreign = None;
        }
        self.loads.retain_mut(|l| !l.is_shown(report, asked, now));
        let loads = &self.loads;
        self.unloads.retain(|(model, adapter), unload| {
            let is_shown = report.has_adapter(model, adapter);
            let loaded = |l: &RecentLoad| l.order.is_about(model, Some(adapter));
            asked < unload.sent || is_shown || loads.iter().any(loaded)
        });
        if report.seq == believed || self.foreign.is_some() || self.disproves(report.seq, asked) {
            self.known = self.foreign.is_none().then_some(report.seq);
        }
    }

    /// Records that the engine has accepted orders which were not answered to this planner.
    pub(crate) fn on_foreign(&mut self, now: Millis) {
        self.foreign = Some(now);
        self.known = None;
    }

    /// Records that the engine has accepted this number of orders.
    fn on_counted(&mut self, seq: u64, now: Millis) {
        self.proved = self.proved.max(seq);
        for load in self.loads.iter_mut().filter(|l| l.order.expect < seq) {
            load.settled.get_or_insert(now);
        }
    }

    /// Records that an order is sent.
    pub(crate) fn on_sent(&mut self, order: &Order, now: Millis) {
        match (order.kind, &order.adapter) {
            (OrderKind::Load, _) => self.loads.push(RecentLoad {
                order: order.clone(),
                sent: now,
                settled: None,
                idle: None,
            }),
            (OrderKind::Unload, Some(adapter)) => {
                let key = (order.model.clone(), adapter.clone());
                let open = OpenUnload {
                    sent: now,
                    expect: order.expect,
                    state: UnloadState::Sent,
                };
                self.unloads.insert(key, open);
            }
            (OrderKind::Unload, None) => {}
        }
    }

    /// Records that an order was accepted or, if `done`, held already or was carried out at once.
    /// The latter may not be counted.
    pub(crate) fn on_accepted(&mut self, order: &Order, done: bool, now: Millis) {
        self.replied = now;
        if !done {
            self.on_counted(order.expect + 1, now);
        }
        for load in self.loads.iter_mut().filter(|l| l.order == *order) {
            load.settled = Some(now);
        }
        if let (OrderKind::Unload, Some(adapter)) = (order.kind, &order.adapter) {
            let key = (order.model.clone(), adapter.clone());
            let open = OpenUnload {
                sent: now,
                expect: order.expect,
                state: match done {
                    true => UnloadState::Done,
                    false => UnloadState::Accepted,
                },
            };
            self.unloads.insert(key, open);
        }
        // What an order about weights results in is reported.
        let follows = self.known == Some(order.expect) && order.adapter.is_some();
        self.known = follows.then_some(order.expect + 1);
    }

    /// Records that an attempt to send an order got no reply.
    pub(crate) fn on_lost(&mut self, order: &Order) {
        if let (OrderKind::Unload, Some(adapter)) = (order.kind, &order.adapter) {
            let key = (order.model.clone(), adapter.clone());
            let open = self.unloads.get_mut(&key);
            if let Some(open) = open.filter(|u| u.state == UnloadState::Sent) {
                open.state = UnloadState::Lost;
            }
        }
    }

    /// Records that an order was refused, and that no other attempt to send it can arrive.
    pub(crate) fn on_void(&mut self, order: &Order) {
        self.loads.retain(|l| l.order != *order);
        if let (OrderKind::Unload, Some(adapter)) = (order.kind, &order.adapter) {
            self.unloads.remove(&(order.model.clone(), adapter.clone()));
        }
    }

    /// Drops loads that can't arrive any more, and unloads that may be ordered again. Returns
    /// whether any was dropped.
    pub(crate) fn prune(&mut self, now: Millis, ttl: u64) -> bool {
        let before = self.loads.len() + self.unloads.len();
        let is_recent = |l: &RecentLoad| l.settled.is_some() || now.since(l.sent) < ttl;
        self.loads.retain(is_recent);
        self.unloads.retain(|_, u| now.since(u.sent) < ttl);
        before != self.loads.len() + self.unloads.len()
    }

    /// What the last report shows.
    pub(crate) fn shown(&self) -> &Held {
        &self.shown
    }

    /// The loads that the last report may not show.
    pub(crate) fn loads(&self) -> impl Iterator<Item = &Order> {
        self.loads.iter().map(|l| &l.order)
    }

    /// Whether an order to unload the adapter may still be in progress.
    pub(crate) fn is_unloading(&self, model: &Model, adapter: &Adapter) -> bool {
        let mut open = self.open_unloads();
        open.any(|(m, a)| m == model && a == adapter)
    }

    /// The adapters that an order may be unloading. One that got no reply and is not known to be
    /// counted may be sent again: only one of the two is accepted.
    fn open_unloads(&self) -> impl Iterator<Item = (&Model, &Adapter)> {
        let is_open = |u: &OpenUnload| u.state != UnloadState::Lost || self.proved > u.expect;
        let open = self.unloads.iter().filter(move |(_, u)| is_open(u));
        open.map(|((model, adapter), _)| (model, adapter))
    }

    /// The number of slots that the next reports are expected to show as free.
    pub(crate) fn slots_due(&self, now: Millis) -> usize {
        let due =
            |u: &&OpenUnload| u.state == UnloadState::Done && now.since(u.sent) < UNLOAD_REPORT_MS;
        self.unloads.values().filter(due).count()
    }

    /// Removes from a report the adapters that are being unloaded: they take no new requests.
    pub(crate) fn omit_unloading(&self, report: &mut Held) {
        for (model, adapter) in self.open_unloads() {
            if let Some(adapters) = report.models.get_mut(model) {
                adapters.remove(adapter);
            }
        }
    }
}

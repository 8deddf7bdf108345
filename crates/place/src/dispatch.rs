//! Derives orders, resends and settlements from the ledger and the engines' reports.

use crate::{CellBody, CellMachine, CellVerdict, EngineLedger, Item, Slot, SlotState, Step};
use serde::{Deserialize, Serialize};
use shaleline_types::{Megabytes, Millis, Offset, Safeguard, Upstream};
use std::collections::BTreeMap;

/// The time without a response after which an order is sent again.
const RESEND_AFTER_MS: u64 = 3_000;

/// How long an item must be missing from reports before the ledger drops it; longer than any lag of
/// reports.
const MISSING_AFTER_MS: u64 = 10_000;

/// The kind of an order to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Load an item.
    Load,
    /// Unload an item after the requests that use it have ended.
    Unload,
    /// Record the fencing number without any other effect.
    #[serde(rename = "touch")]
    NoOp,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The engine.
    pub engine: Upstream,
    /// The offset of its intent, which is both its identity and its fencing number.
    pub number: Offset,
    /// The kind of order.
    pub kind: OrderKind,
    /// The item; `None` for a no-op order.
    pub item: Option<Item>,
    /// The memory the item takes.
    pub size: Megabytes,
}

/// The outcome of an order as reported by the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderEnd {
    /// The order was carried out.
    Done,
    /// The order was not carried out and will not be.
    Failed,
}

/// An item that an engine reports to hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// The item.
    pub item: Item,
    /// The memory it takes.
    pub size: Megabytes,
}

/// The part of an engine's report that the ledger uses. It lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The engine's incarnation.
    pub incarnation: u64,
    /// The accelerator's memory.
    pub memory: Megabytes,
    /// Whether it refuses old fencing numbers.
    #[serde(rename = "checks")]
    pub checks_fence: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The items that are ready.
    pub resident: Vec<Resident>,
    /// The items that it is loading.
    #[serde(default)]
    pub loading: Vec<Resident>,
    /// The outcome of recent orders, by number.
    pub orders: BTreeMap<Offset, OrderEnd>,
}

impl EngineReport {
    /// Returns whether the item is reported ready.
    #[must_use]
    pub fn holds(&self, item: &Item) -> bool {
        self.resident.iter().any(|r| r.item == *item)
    }

    fn resident_sizes(&self) -> BTreeMap<Item, Megabytes> {
        to_sizes(&self.resident)
    }
}

/// The engine and item that a record or order concerns.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Subject {
    engine: Upstream,
    item: Option<Item>,
}

#[derive(Debug, Clone)]
struct Sent {
    number: Offset,
    at: Millis,
}

/// Decides the next records and orders of a cell's owner.
#[derive(Debug, Default)]
pub struct Dispatcher {
    fence: Option<Offset>,
    pending: BTreeMap<Subject, CellBody>,
    sent: BTreeMap<Subject, Sent>,
    missing: BTreeMap<Subject, Millis>,
    ready: Vec<Order>,
}

impl Dispatcher {
    /// Resets the state when the ownership changes, as it is unknown what an earlier owner sent.
    pub fn set_fence(&mut self, fence: Option<Offset>) {
        if self.fence != fence {
            *self = Self {
                fence,
                ..Self::default()
            };
        }
    }

    /// Returns the records to append now: adoptions, settlements, resends and fence confirmations.
    pub fn records(
        &mut self,
        cell: &CellMachine,
        reports: &BTreeMap<Upstream, EngineReport>,
        now: Millis,
    ) -> Vec<CellBody> {
        let Some(fence) = self.fence else {
            return Vec::new();
        };
        let mut bodies = Vec::new();
        for (engine, report) in reports {
            match cell.engines().get(engine) {
                Some(ledger) if ledger.incarnation == report.incarnation => {
                    bodies.extend(self.reconcile(fence, engine, ledger, report, now));
                }
                _ => bodies.push(adoption(fence, engine, report)),
            }
        }
        bodies.retain(|b| self.reserve_subject(b));
        bodies
    }

    /// Returns the records for the steps of a plan.
    pub fn steps(&mut self, steps: &[Step]) -> Vec<CellBody> {
        let Some(fence) = self.fence else {
            return Vec::new();
        };
        let mut bodies: Vec<CellBody> = steps.iter().map(|s| s.to_body(fence)).collect();
        bodies.retain(|b| self.reserve_subject(b));
        if !Safeguard::IntentFirst.is_active() {
            for body in &bodies {
                self.ready.extend(order_of(body, Offset(u64::MAX >> 1)));
            }
        }
        bodies
    }

    /// Allows only one pending record per subject.
    fn reserve_subject(&mut self, body: &CellBody) -> bool {
        let Some(subject) = subject_of(body) else {
            return false;
        };
        if self.pending.contains_key(&subject) {
            return false;
        }
        self.pending.insert(subject, body.clone());
        true
    }

    fn reconcile(
        &mut self,
        fence: Offset,
        engine: &Upstream,
        ledger: &EngineLedger,
        report: &EngineReport,
        now: Millis,
    ) -> Vec<CellBody> {
        let mut bodies = Vec::new();
        if ledger.leaving != report.leaving {
            bodies.push(CellBody::Leaving {
                fence,
                engine: engine.clone(),
                on: report.leaving,
            });
        }
        bodies.extend(self.confirm_fence(fence, engine, ledger, report, now));
        for (item, slot) in &ledger.slots {
            let subject = Subject {
                engine: engine.clone(),
                item: Some(item.clone()),
            };
            let body = match slot.state {
                SlotState::Loading | SlotState::Unloading => {
                    self.open_order(fence, &subject, slot, report, now)
                }
                SlotState::Resident => self.check_missing(fence, &subject, slot, report, now),
                SlotState::Unconfirmed => None,
            };
            bodies.extend(body);
        }
        bodies
    }

    /// Sends an engine that checks fencing numbers a no-op order with the ledger's own number after
    /// each adoption, then confirms it. Loads that run because of older orders must end first, as
    /// the ledger would miss them otherwise.
    fn confirm_fence(
        &mut self,
        fence: Offset,
        engine: &Upstream,
        ledger: &EngineLedger,
        report: &EngineReport,
        now: Millis,
    ) -> Option<CellBody> {
        if !ledger.checks_fence || ledger.fence_confirmed {
            return None;
        }
        if report.orders.contains_key(&ledger.adopted) {
            if !report.loading.is_empty() {
                return None;
            }
            return Some(CellBody::FenceConfirmed {
                fence,
                engine: engine.clone(),
                incarnation: ledger.incarnation,
                resident: report.resident_sizes(),
            });
        }
        let subject = Subject {
            engine: engine.clone(),
            item: None,
        };
        let recent = |s: &Sent| s.number == ledger.adopted && now.since(s.at) < RESEND_AFTER_MS;
        if !self.sent.get(&subject).is_some_and(recent) {
            self.record_sent(subject, ledger.adopted, now);
            self.ready.push(Order {
                engine: engine.clone(),
                number: ledger.adopted,
                kind: OrderKind::NoOp,
                item: None,
                size: Megabytes(0),
            });
        }
        None
    }

    fn record_sent(&mut self, subject: Subject, number: Offset, at: Millis) {
        self.sent.insert(subject, Sent { number, at });
    }

    fn open_order(
        &mut self,
        fence: Offset,
        subject: &Subject,
        slot: &Slot,
        report: &EngineReport,
        now: Millis,
    ) -> Option<CellBody> {
        let engine = subject.engine.clone();
        let item = subject.item.clone()?;
        if let Some(end) = report.orders.get(&slot.order) {
            return Some(CellBody::Settled {
                fence,
                engine,
                item,
                order: slot.order,
                done: *end == OrderEnd::Done,
            });
        }
        let recent = |s: &Sent| s.number == slot.order && now.since(s.at) < RESEND_AFTER_MS;
        if self.sent.get(subject).is_some_and(recent) {
            return None;
        }
        Some(CellBody::Resend {
            fence,
            engine,
            item,
        })
    }

    fn check_missing(
        &mut self,
        fence: Offset,
        subject: &Subject,
        slot: &Slot,
        report: &EngineReport,
        now: Millis,
    ) -> Option<CellBody> {
        let item = subject.item.clone()?;
        let known = report.orders.contains_key(&slot.order) || slot.order.0 == 0;
        if report.holds(&item) || !known {
            self.missing.remove(subject);
            return None;
        }
        let since = *self.missing.entry(subject.clone()).or_insert(now);
        if now.since(since) < MISSING_AFTER_MS {
            return None;
        }
        Some(CellBody::Missing {
            fence,
            engine: subject.engine.clone(),
            item,
        })
    }

    /// Handles the verdict on a record that this dispatcher requested. A granted order may be sent.
    pub fn on_verdict(
        &mut self,
        body: &CellBody,
        verdict: CellVerdict,
        cell: &CellMachine,
        now: Millis,
    ) {
        let Some(subject) = subject_of(body) else {
            return;
        };
        self.pending.remove(&subject);
        let CellVerdict::Granted(number) = verdict else {
            return;
        };
        let order = match body {
            CellBody::Resend { engine, item, .. } => cell
                .engines()
                .get(engine)
                .and_then(|b| b.slots.get(item))
                .and_then(|s| resent_order(engine, item, s)),
            _ => order_of(body, number),
        };
        if let Some(order) = order {
            self.record_sent(subject, number, now);
            self.ready.push(order);
        }
    }

    /// Takes the orders that may be sent now.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.ready)
    }

    /// Returns the number of records that are not replayed yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.pending.len()
    }
}

fn to_sizes(items: &[Resident]) -> BTreeMap<Item, Megabytes> {
    items.iter().map(|r| (r.item.clone(), r.size)).collect()
}

fn adoption(fence: Offset, engine: &Upstream, report: &EngineReport) -> CellBody {
    CellBody::Adopt {
        fence,
        engine: engine.clone(),
        incarnation: report.incarnation,
        memory: report.memory,
        checks_fence: report.checks_fence,
        resident: report.resident_sizes(),
        loading: to_sizes(&report.loading),
    }
}

fn subject_of(body: &CellBody) -> Option<Subject> {
    let (engine, item) = match body {
        CellBody::Lease(_) => return None,
        CellBody::Adopt { engine, .. }
        | CellBody::FenceConfirmed { engine, .. }
        | CellBody::Leaving { engine, .. }
        | CellBody::Gone { engine, .. } => (engine, None),
        CellBody::Load { engine, item, .. }
        | CellBody::Unload { engine, item, .. }
        | CellBody::Resend { engine, item, .. }
        | CellBody::Settled { engine, item, .. }
        | CellBody::Missing { engine, item, .. } => (engine, Some(item.clone())),
    };
    Some(Subject {
        engine: engine.clone(),
        item,
    })
}

fn order_of(body: &CellBody, number: Offset) -> Option<Order> {
    let (engine, kind, item, size) = match body {
        CellBody::Load {
            engine, item, size, ..
        } => (engine, OrderKind::Load, item, *size),
        CellBody::Unload { engine, item, .. } => (engine, OrderKind::Unload, item, Megabytes(0)),
        _ => return None,
    };
    Some(Order {
        engine: engine.clone(),
        number,
        kind,
        item: Some(item.clone()),
        size,
    })
}

fn resent_order(engine: &Upstream, item: &Item, slot: &Slot) -> Option<Order> {
    let kind = match slot.state {
        SlotState::Loading => OrderKind::Load,
        SlotState::Unloading => OrderKind::Unload,
        SlotState::Resident | SlotState::Unconfirmed => return None,
    };
    Some(Order {
        engine: engine.clone(),
        number: slot.order,
        kind,
        item: Some(item.clone()),
        size: slot.size,
    })
}

//! From the ledger and the engines' reports to orders, repeats and settlements.

use crate::{CellBody, CellMachine, CellVerdict, EngineLedger, Item, Slot, SlotState, Step};
use serde::{Deserialize, Serialize};
use shaleline_types::{Megabytes, Millis, Offset, Safeguard, Upstream};
use std::collections::BTreeMap;

/// How long an order may go without a sign before it is sent again.
const RESEND_AFTER: u64 = 3_000;

/// How long an item must be missing from reports before the ledger drops it; longer than
/// any lag of reports.
const MISSING_AFTER: u64 = 10_000;

/// What an order asks of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Load an item.
    Load,
    /// Unload an item, after what runs on it has ended.
    Unload,
    /// Take note of the number only.
    #[serde(rename = "touch")]
    NoOp,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The engine.
    pub engine: Upstream,
    /// The offset of its intent: identity and fencing number in one.
    pub number: Offset,
    /// What it asks.
    pub kind: OrderKind,
    /// What it is about; none for a touch.
    pub item: Option<Item>,
    /// The memory the item takes.
    pub size: Megabytes,
}

/// How an order ended, by the engine's report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderEnd {
    /// Carried out.
    Done,
    /// Not carried out and it will not be.
    Failed,
}

/// An item that an engine reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// The item.
    pub item: Item,
    /// The memory it takes.
    pub size: Megabytes,
}

/// The part of an engine's report that the ledger needs. It lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The engine's life.
    pub incarnation: u64,
    /// What its accelerator holds.
    pub memory: Megabytes,
    /// Whether it refuses old fencing numbers.
    #[serde(rename = "checks")]
    pub checks_fence: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// What it holds ready.
    pub resident: Vec<Resident>,
    /// What it is loading now.
    #[serde(default)]
    pub loading: Vec<Resident>,
    /// How recent orders ended, by number.
    pub orders: BTreeMap<Offset, OrderEnd>,
}

impl EngineReport {
    /// Whether the item is reported ready.
    #[must_use]
    pub fn holds(&self, item: &Item) -> bool {
        self.resident.iter().any(|r| r.item == *item)
    }

    fn resident_sizes(&self) -> BTreeMap<Item, Megabytes> {
        to_sizes(&self.resident)
    }
}

/// What the dispatcher is about to do or waits for, per engine and item.
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

/// What the owner of a cell does next.
#[derive(Debug, Default)]
pub struct Dispatcher {
    fence: Option<Offset>,
    pending: BTreeMap<Subject, CellBody>,
    sent: BTreeMap<Subject, Sent>,
    missing: BTreeMap<Subject, Millis>,
    ready: Vec<Order>,
}

impl Dispatcher {
    /// Starts afresh when the ownership changed: what an earlier owner sent is unknown.
    pub fn set_fence(&mut self, fence: Option<Offset>) {
        if self.fence != fence {
            *self = Self {
                fence,
                ..Self::default()
            };
        }
    }

    /// The records to append now: adoptions, settlements, repeats, and the steps of a plan.
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
                    bodies.extend(self.follow(fence, engine, ledger, report, now));
                }
                _ => bodies.push(adoption(fence, engine, report)),
            }
        }
        bodies.retain(|b| self.claim_subject(b));
        bodies
    }

    /// The records for the steps of a plan.
    pub fn steps(&mut self, steps: &[Step]) -> Vec<CellBody> {
        let Some(fence) = self.fence else {
            return Vec::new();
        };
        let mut bodies: Vec<CellBody> = steps.iter().map(|s| s.to_body(fence)).collect();
        bodies.retain(|b| self.claim_subject(b));
        if !Safeguard::IntentFirst.is_active() {
            for body in &bodies {
                self.ready.extend(order_of(body, Offset(u64::MAX >> 1)));
            }
        }
        bodies
    }

    /// Keeps one record per subject on its way.
    fn claim_subject(&mut self, body: &CellBody) -> bool {
        let Some(subject) = subject_of(body) else {
            return false;
        };
        if self.pending.contains_key(&subject) {
            return false;
        }
        self.pending.insert(subject, body.clone());
        true
    }

    fn follow(
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
        bodies.extend(self.touch(fence, engine, ledger, report, now));
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

    /// An engine that checks numbers is shown the ledger's own after each adoption. What an
    /// older order made it load is waited for, so that nothing is left uncounted.
    fn touch(
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
        let recent = |s: &Sent| s.number == ledger.adopted && now.since(s.at) < RESEND_AFTER;
        if !self.sent.get(&subject).is_some_and(recent) {
            self.note_sent(subject, ledger.adopted, now);
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

    fn note_sent(&mut self, subject: Subject, number: Offset, at: Millis) {
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
        let recent = |s: &Sent| s.number == slot.order && now.since(s.at) < RESEND_AFTER;
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
        if now.since(since) < MISSING_AFTER {
            return None;
        }
        Some(CellBody::Missing {
            fence,
            engine: subject.engine.clone(),
            item,
        })
    }

    /// Takes the verdict on a record that this dispatcher asked to append. A granted
    /// order may be sent.
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
                .and_then(|s| order_again(engine, item, s)),
            _ => order_of(body, number),
        };
        if let Some(order) = order {
            self.note_sent(subject, number, now);
            self.ready.push(order);
        }
    }

    /// The orders that may be sent now.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.ready)
    }

    /// How many records are on their way.
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

fn order_again(engine: &Upstream, item: &Item, slot: &Slot) -> Option<Order> {
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

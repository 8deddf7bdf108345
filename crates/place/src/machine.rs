//! The replicated ledger of a cell.

use crate::{EngineLedger, Item, Slot, SlotState};
use serde::{Deserialize, Serialize};
use shaleline_lease::{Lease, LeaseBody, LeaseVerdict};
use shaleline_log::{Position, StateMachine};
use shaleline_types::{Megabytes, Offset, Safeguard, Upstream, WriterId};
use std::collections::{BTreeMap, BTreeSet};

/// A record about a cell. All but lease records carry the owner's fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CellBody {
    /// A record about the ownership of the cell.
    Lease(LeaseBody),
    /// An engine or a new incarnation of it was found with this content.
    Adopt {
        /// The owner's fencing number.
        fence: Offset,
        /// The engine.
        engine: Upstream,
        /// Its incarnation.
        incarnation: u64,
        /// The accelerator's memory.
        memory: Megabytes,
        /// Whether it refuses old fencing numbers.
        #[serde(rename = "checks")]
        checks_fence: bool,
        /// The items that it reports ready, with sizes.
        resident: BTreeMap<Item, Megabytes>,
        /// The items that it reports loading, with sizes.
        loading: BTreeMap<Item, Megabytes>,
    },
    /// An order to load is about to be sent.
    Load {
        /// The owner's fencing number.
        fence: Offset,
        /// The engine.
        engine: Upstream,
        /// What to load.
        item: Item,
        /// The memory it takes.
        size: Megabytes,
    },
    /// An order to unload is about to be sent.
    Unload {
        /// The owner's fencing number.
        fence: Offset,
        /// The engine.
        engine: Upstream,
        /// What to unload.
        item: Item,
        /// Whether the item is no longer desired, so that its last replica may be unloaded.
        retired: bool,
    },
    /// An order without a response is about to be sent again.
    Resend {
        /// The owner's fencing number.
        fence: Offset,
        /// The engine.
        engine: Upstream,
        /// The item that the order concerns.
        item: Item,
    },
    /// The engine reported the outcome of an order.
    Settled {
        /// The owner's fencing number.
        fence: Offset,
        /// The engine.
        engine: Upstream,
        /// The item that the order concerned.
        item: Item,
        /// The order's number.
        order: Offset,
        /// Whether it was carried out.
        done: bool,
    },
    /// An engine that checks fencing numbers has seen the ledger's own, so older orders have no
    /// effect and the engine holds exactly this.
    #[serde(rename = "touched")]
    FenceConfirmed {
        /// The owner's fencing number.
        fence: Offset,
        /// The engine.
        engine: Upstream,
        /// Its incarnation.
        incarnation: u64,
        /// The items that it reports ready, with sizes.
        resident: BTreeMap<Item, Megabytes>,
    },
    /// The engine no longer holds an item that is ready in the ledger.
    Missing {
        /// The owner's fencing number.
        fence: Offset,
        /// The engine.
        engine: Upstream,
        /// The missing item.
        item: Item,
    },
    /// The engine is leaving, or no longer is.
    Leaving {
        /// The owner's fencing number.
        fence: Offset,
        /// The engine.
        engine: Upstream,
        /// Whether it is leaving.
        on: bool,
    },
    /// The engine was removed permanently.
    Gone {
        /// The owner's fencing number.
        fence: Offset,
        /// The engine.
        engine: Upstream,
    },
}

/// The verdict on a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CellVerdict {
    /// The verdict on a lease record.
    Lease(LeaseVerdict),
    /// The order may be sent under this number.
    Granted(Offset),
    /// The record was applied.
    Noted,
    /// The writer is not the owner under that fencing number.
    NotOwner,
    /// The record would promise more memory than there is.
    NoMemory,
    /// The record would remove the last replica.
    LastReplica,
    /// The record has no effect for another reason.
    Void,
}

/// The owner of a cell and the memory that its engines use in the worst case.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellMachine {
    lease: Lease,
    engines: BTreeMap<Upstream, EngineLedger>,
}

impl CellMachine {
    /// Returns the ownership lease.
    #[must_use]
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the ledger of each engine.
    #[must_use]
    pub fn engines(&self) -> &BTreeMap<Upstream, EngineLedger> {
        &self.engines
    }

    /// Returns the number of engines that hold any version of the item ready.
    #[must_use]
    pub fn replicas(&self, item: &Item) -> usize {
        let serves = |b: &&EngineLedger| {
            let ready =
                |(i, s): (&Item, &Slot)| i.serves_as(item) && s.state == SlotState::Resident;
            b.slots.iter().any(ready)
        };
        self.engines.values().filter(serves).count()
    }

    /// Returns the number of open loads, which the weight store's limit applies to.
    #[must_use]
    pub fn loading(&self) -> usize {
        let slots = self.engines.values().flat_map(|b| b.slots.values());
        slots.filter(|s| s.state == SlotState::Loading).count()
    }

    fn adopt(&mut self, engine: &Upstream, fresh: EngineLedger) -> CellVerdict {
        let mut fresh = fresh;
        if let Some(old) = self.engines.get(engine) {
            if old.incarnation == fresh.incarnation {
                return CellVerdict::Void;
            }
            keep_unconfirmed(old, &mut fresh);
        }
        self.engines.insert(engine.clone(), fresh);
        CellVerdict::Noted
    }

    fn load(&mut self, at: Offset, engine: &Upstream, item: &Item, size: Megabytes) -> CellVerdict {
        let Some(ledger) = self.engines.get_mut(engine) else {
            return CellVerdict::Void;
        };
        let fence_unconfirmed = ledger.checks_fence && !ledger.fence_confirmed;
        if ledger.leaving || fence_unconfirmed || ledger.is_busy() || ledger.barred.contains(item) {
            return CellVerdict::Void;
        }
        let needs_base = !item.is_base();
        if needs_base && !ledger.holds(&item.to_base()) {
            return CellVerdict::Void;
        }
        let unconfirmed = match ledger.state_of(item) {
            None => false,
            Some(SlotState::Unconfirmed) => true,
            Some(_) => return CellVerdict::Void,
        };
        let counted = if unconfirmed {
            ledger.slots[item].size.0
        } else {
            0
        };
        if ledger
            .used()
            .0
            .saturating_sub(counted)
            .saturating_add(size.0)
            > ledger.memory.0
        {
            return CellVerdict::NoMemory;
        }
        let slot = Slot {
            size,
            state: SlotState::Loading,
            order: at,
            unfenced_copies: unconfirmed,
        };
        ledger.slots.insert(item.clone(), slot);
        let used: u64 = ledger.slots.values().map(|s| s.size.0).sum();
        assert!(
            used <= ledger.memory.0 || !Safeguard::WorstCase.is_active(),
            "no memory is promised beyond what the accelerator holds"
        );
        CellVerdict::Granted(at)
    }

    fn unload(&mut self, at: Offset, engine: &Upstream, item: &Item, retired: bool) -> CellVerdict {
        let last = self.replicas(item) <= 1;
        if last && !retired && Safeguard::LastReplica.is_active() {
            return CellVerdict::LastReplica;
        }
        let Some(ledger) = self.engines.get_mut(engine) else {
            return CellVerdict::Void;
        };
        if ledger.is_busy() || (item.is_base() && ledger.has_adapter(item)) {
            return CellVerdict::Void;
        }
        match ledger.slots.get_mut(item) {
            Some(slot) if slot.state == SlotState::Resident && !slot.unfenced_copies => {
                slot.state = SlotState::Unloading;
                slot.order = at;
                CellVerdict::Granted(at)
            }
            _ => CellVerdict::Void,
        }
    }

    fn resend(&mut self, engine: &Upstream, item: &Item) -> CellVerdict {
        let Some(ledger) = self.engines.get_mut(engine) else {
            return CellVerdict::Void;
        };
        let checks = ledger.checks_fence;
        match ledger.slots.get_mut(item) {
            Some(slot) if matches!(slot.state, SlotState::Loading | SlotState::Unloading) => {
                slot.unfenced_copies |= !checks;
                CellVerdict::Granted(slot.order)
            }
            _ => CellVerdict::Void,
        }
    }

    fn settle(&mut self, engine: &Upstream, item: &Item, order: Offset, done: bool) -> CellVerdict {
        let Some(ledger) = self.engines.get_mut(engine) else {
            return CellVerdict::Void;
        };
        let Some(slot) = ledger.slots.get_mut(item).filter(|s| s.order == order) else {
            return CellVerdict::Void;
        };
        match (slot.state, done) {
            (SlotState::Loading, true) => slot.state = SlotState::Resident,
            (SlotState::Unloading, false) => slot.state = SlotState::Resident,
            (SlotState::Loading, false) if slot.unfenced_copies => {
                slot.state = SlotState::Unconfirmed;
            }
            (SlotState::Loading, false) => {
                ledger.slots.remove(item);
            }
            (SlotState::Unloading, true) => {
                if slot.unfenced_copies {
                    ledger.barred.insert(item.clone());
                }
                ledger.slots.remove(item);
            }
            (SlotState::Resident | SlotState::Unconfirmed, _) => return CellVerdict::Void,
        }
        CellVerdict::Noted
    }

    fn missing(&mut self, engine: &Upstream, item: &Item) -> CellVerdict {
        let Some(ledger) = self.engines.get_mut(engine) else {
            return CellVerdict::Void;
        };
        match ledger.slots.get_mut(item) {
            Some(slot) if slot.state == SlotState::Resident && slot.unfenced_copies => {
                slot.state = SlotState::Unconfirmed;
            }
            Some(slot) if slot.state == SlotState::Resident => {
                ledger.slots.remove(item);
            }
            _ => return CellVerdict::Void,
        }
        CellVerdict::Noted
    }

    /// Removes unconfirmed items that the engine doesn't report, as old orders no longer have an
    /// effect.
    fn confirm_fence(
        &mut self,
        at: Offset,
        engine: &Upstream,
        incarnation: u64,
        resident: &BTreeMap<Item, Megabytes>,
    ) -> CellVerdict {
        let same = |b: &&mut EngineLedger| b.checks_fence && b.incarnation == incarnation;
        let Some(ledger) = self.engines.get_mut(engine).filter(same) else {
            return CellVerdict::Void;
        };
        ledger
            .slots
            .retain(|i, s| s.state != SlotState::Unconfirmed || resident.contains_key(i));
        for (item, slot) in &mut ledger.slots {
            slot.unfenced_copies = false;
            if resident.contains_key(item) && slot.state == SlotState::Unconfirmed {
                slot.state = SlotState::Resident;
            }
        }
        for (item, size) in resident {
            let slot = || adopted(at, *size, SlotState::Resident);
            ledger.slots.entry(item.clone()).or_insert_with(slot);
        }
        ledger.barred.clear();
        ledger.fence_confirmed = true;
        CellVerdict::Noted
    }

    fn apply_owned(&mut self, at: Offset, body: &CellBody) -> CellVerdict {
        match body {
            CellBody::Lease(_) => CellVerdict::Void,
            CellBody::Adopt {
                engine,
                incarnation,
                memory,
                checks_fence,
                resident,
                loading,
                ..
            } => {
                let ready =
                    |(i, m): (&Item, &Megabytes)| (i.clone(), adopted(at, *m, SlotState::Resident));
                let pending = |(i, m): (&Item, &Megabytes)| {
                    (i.clone(), adopted(at, *m, SlotState::Unconfirmed))
                };
                let slots = loading
                    .iter()
                    .map(pending)
                    .chain(resident.iter().map(ready));
                let ledger = EngineLedger {
                    incarnation: *incarnation,
                    memory: *memory,
                    checks_fence: *checks_fence,
                    leaving: false,
                    adopted: at,
                    fence_confirmed: false,
                    slots: slots.collect(),
                    barred: BTreeSet::new(),
                };
                self.adopt(engine, ledger)
            }
            CellBody::Load {
                engine, item, size, ..
            } => self.load(at, engine, item, *size),
            CellBody::Unload {
                engine,
                item,
                retired,
                ..
            } => self.unload(at, engine, item, *retired),
            CellBody::Resend { engine, item, .. } => self.resend(engine, item),
            CellBody::Settled {
                engine,
                item,
                order,
                done,
                ..
            } => self.settle(engine, item, *order, *done),
            CellBody::FenceConfirmed {
                engine,
                incarnation,
                resident,
                ..
            } => self.confirm_fence(at, engine, *incarnation, resident),
            CellBody::Missing { engine, item, .. } => self.missing(engine, item),
            CellBody::Leaving { engine, on, .. } => match self.engines.get_mut(engine) {
                Some(ledger) => {
                    ledger.leaving = *on;
                    CellVerdict::Noted
                }
                None => CellVerdict::Void,
            },
            CellBody::Gone { engine, .. } => match self.engines.remove(engine) {
                Some(_) => CellVerdict::Noted,
                None => CellVerdict::Void,
            },
        }
    }
}

fn adopted(at: Offset, size: Megabytes, state: SlotState) -> Slot {
    Slot {
        size,
        state,
        order: at,
        unfenced_copies: false,
    }
}

/// Old orders may still arrive at a new incarnation of an engine. What they could load stays
/// counted until an engine that checks fencing numbers has seen a newer one.
fn keep_unconfirmed(old: &EngineLedger, fresh: &mut EngineLedger) {
    for (item, slot) in &old.slots {
        let open = matches!(slot.state, SlotState::Loading | SlotState::Unconfirmed)
            || slot.unfenced_copies;
        if !open {
            continue;
        }
        let unconfirmed = Slot {
            state: SlotState::Unconfirmed,
            unfenced_copies: true,
            ..slot.clone()
        };
        let kept = fresh.slots.entry(item.clone()).or_insert(unconfirmed);
        kept.unfenced_copies = true;
    }
    fresh.barred.clone_from(&old.barred);
    let unloading = old
        .slots
        .iter()
        .filter(|(_, s)| s.state == SlotState::Unloading);
    fresh.barred.extend(unloading.map(|(i, _)| i.clone()));
}

impl CellBody {
    /// Returns the fencing number under which the writer claims to own the cell.
    fn fence(&self) -> Option<Offset> {
        match self {
            Self::Lease(_) => None,
            Self::Adopt { fence, .. }
            | Self::Load { fence, .. }
            | Self::Unload { fence, .. }
            | Self::Resend { fence, .. }
            | Self::Settled { fence, .. }
            | Self::FenceConfirmed { fence, .. }
            | Self::Missing { fence, .. }
            | Self::Leaving { fence, .. }
            | Self::Gone { fence, .. } => Some(*fence),
        }
    }
}

impl StateMachine for CellMachine {
    type Body = CellBody;
    type Verdict = CellVerdict;

    fn apply(&mut self, at: Position, body: &CellBody) -> CellVerdict {
        if let CellBody::Lease(body) = body {
            return CellVerdict::Lease(self.lease.apply(at.offset, at.writer, body));
        }
        let owns = self.lease.fence_of(at.writer);
        if owns.is_none() || owns != body.fence() {
            return CellVerdict::NotOwner;
        }
        self.apply_owned(at.offset, body)
    }

    /// Only a claim needs its verdict again; the effect of other records shows in the ledger.
    fn recover_verdict(&self, writer: WriterId, body: &CellBody) -> CellVerdict {
        match (body, self.lease.fence_of(writer)) {
            (CellBody::Lease(LeaseBody::Claim { .. }), Some(fence)) => {
                CellVerdict::Lease(LeaseVerdict::Acquired(fence))
            }
            (CellBody::Lease(_), _) => CellVerdict::Lease(LeaseVerdict::NoEffect),
            _ => CellVerdict::Void,
        }
    }
}

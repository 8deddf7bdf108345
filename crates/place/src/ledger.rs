//! What one engine holds in the worst case.

use crate::Item;
use serde::{Deserialize, Serialize};
use shaleline_types::{Megabytes, Offset, Safeguard};
use std::collections::{BTreeMap, BTreeSet};

/// How far an item has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SlotState {
    /// Ordered; whether the engine holds it yet is not known.
    Loading,
    /// The engine reported it ready.
    Resident,
    /// Ordered to go; the engine may still hold it.
    Unloading,
    /// Reported gone or failed, but a copy of an old order may still bring it back.
    #[serde(rename = "ghost")]
    Unconfirmed,
}

/// An item's place in an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The memory it takes.
    pub size: Megabytes,
    /// How far it has come.
    pub state: SlotState,
    /// The offset of the last order's intent, which is the order's fencing number.
    pub order: Offset,
    /// Whether copies of an order may be on their way to an engine that checks no number.
    #[serde(rename = "doubt", default, skip_serializing_if = "std::ops::Not::not")]
    pub unfenced_copies: bool,
}

/// The ledger of one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLedger {
    /// The life of the engine that the ledger is about.
    pub incarnation: u64,
    /// What its accelerator holds.
    pub memory: Megabytes,
    /// Whether it refuses an order with an old fencing number.
    #[serde(rename = "checks")]
    pub checks_fence: bool,
    /// The offset of the record that adopted this life; the number of its touch order.
    pub adopted: Offset,
    /// Whether it has seen that number, so that older orders are dead.
    #[serde(rename = "touched", default)]
    pub fence_confirmed: bool,
    /// Whether it is leaving and gets no loads.
    #[serde(default)]
    pub leaving: bool,
    /// The items by name.
    pub slots: BTreeMap<Item, Slot>,
    /// Items that a late copy of an unload may take away, so they are not loaded again.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub barred: BTreeSet<Item>,
}

impl EngineLedger {
    /// Memory promised in the worst case: everything ordered and not known to be gone.
    #[must_use]
    pub fn used(&self) -> Megabytes {
        let counts = |s: &&Slot| Safeguard::WorstCase.is_active() || s.state == SlotState::Resident;
        Megabytes(self.slots.values().filter(counts).map(|s| s.size.0).sum())
    }

    /// Memory that is not promised.
    #[must_use]
    pub fn free(&self) -> Megabytes {
        Megabytes(self.memory.since(self.used()))
    }

    /// Whether the item is reported ready here.
    #[must_use]
    pub fn holds(&self, item: &Item) -> bool {
        self.state_of(item) == Some(SlotState::Resident)
    }

    /// The state of an item here.
    #[must_use]
    pub fn state_of(&self, item: &Item) -> Option<SlotState> {
        self.slots.get(item).map(|s| s.state)
    }

    /// Whether an order is open.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        let open = |s: &Slot| matches!(s.state, SlotState::Loading | SlotState::Unloading);
        self.slots.values().any(open)
    }

    /// Whether an adapter stands on these weights.
    pub(crate) fn carries_adapter(&self, base: &Item) -> bool {
        let on_top = |i: &&Item| !i.is_base() && i.to_base() == *base;
        self.slots.keys().any(|i| on_top(&i))
    }
}

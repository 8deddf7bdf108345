//! The memory that one engine uses in the worst case.

use crate::Item;
use serde::{Deserialize, Serialize};
use shaleline_types::{Megabytes, Offset, Safeguard};
use std::collections::{BTreeMap, BTreeSet};

/// The state of an item on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SlotState {
    /// A load was ordered; it is unknown whether the engine holds the item yet.
    Loading,
    /// The engine reported the item ready.
    Resident,
    /// An unload was ordered; the engine may still hold the item.
    Unloading,
    /// The item was reported gone or its load failed, but a copy of an old order may still load it.
    #[serde(rename = "ghost")]
    Unconfirmed,
}

/// An item's entry in an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The memory it takes.
    pub size: Megabytes,
    /// The state of the item.
    pub state: SlotState,
    /// The offset of the last order's intent, which is the order's fencing number.
    pub order: Offset,
    /// Whether copies of an order may still arrive at an engine that doesn't check fencing numbers.
    #[serde(rename = "doubt", default, skip_serializing_if = "std::ops::Not::not")]
    pub unfenced_copies: bool,
}

/// The ledger of one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLedger {
    /// The engine's incarnation.
    pub incarnation: u64,
    /// The accelerator's memory.
    pub memory: Megabytes,
    /// Whether the engine refuses an order with an old fencing number.
    #[serde(rename = "checks")]
    pub checks_fence: bool,
    /// The offset of the record that adopted this incarnation, which is the number of its no-op
    /// order.
    pub adopted: Offset,
    /// Whether the engine has seen that number, so that older orders have no effect.
    #[serde(rename = "touched", default)]
    pub fence_confirmed: bool,
    /// Whether the engine is leaving and gets no loads.
    #[serde(default)]
    pub leaving: bool,
    /// The items on the engine.
    pub slots: BTreeMap<Item, Slot>,
    /// Items that a late copy of an unload may remove, so they are not loaded again.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub barred: BTreeSet<Item>,
}

impl EngineLedger {
    /// Returns the memory promised in the worst case: everything that was ordered and is not known
    /// to be gone.
    #[must_use]
    pub fn used(&self) -> Megabytes {
        let counts = |s: &&Slot| Safeguard::WorstCase.is_active() || s.state == SlotState::Resident;
        Megabytes(self.slots.values().filter(counts).map(|s| s.size.0).sum())
    }

    /// Returns the memory that is not promised.
    #[must_use]
    pub fn free(&self) -> Megabytes {
        Megabytes(self.memory.since(self.used()))
    }

    /// Returns whether the item is reported ready.
    #[must_use]
    pub fn holds(&self, item: &Item) -> bool {
        self.state_of(item) == Some(SlotState::Resident)
    }

    /// Returns the state of an item.
    #[must_use]
    pub fn state_of(&self, item: &Item) -> Option<SlotState> {
        self.slots.get(item).map(|s| s.state)
    }

    /// Returns whether an order is open.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        let open = |s: &Slot| matches!(s.state, SlotState::Loading | SlotState::Unloading);
        self.slots.values().any(open)
    }

    /// Returns whether the engine has an adapter that depends on these weights.
    pub(crate) fn has_adapter(&self, base: &Item) -> bool {
        let depends = |i: &&Item| !i.is_base() && i.to_base() == *base;
        self.slots.keys().any(|i| depends(&i))
    }
}

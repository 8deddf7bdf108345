//! What is to be reachable.

use crate::Item;
use shaleline_types::Megabytes;
use std::collections::BTreeMap;

/// One model or adapter that somebody may call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredItem {
    /// The version wanted.
    pub item: Item,
    /// The memory it takes, the replica's KV reserve included.
    pub size: Megabytes,
}

/// Everything that must stay reachable, by item.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DesiredItems {
    items: BTreeMap<Item, Megabytes>,
}

impl DesiredItems {
    /// Collects what is wanted.
    #[must_use]
    pub fn from_items(items: impl IntoIterator<Item = DesiredItem>) -> Self {
        Self {
            items: items.into_iter().map(|w| (w.item, w.size)).collect(),
        }
    }

    /// The size of an item, if it is wanted.
    #[must_use]
    pub fn size(&self, item: &Item) -> Option<Megabytes> {
        self.items.get(item).copied()
    }

    /// Whether some version of the item is wanted.
    #[must_use]
    pub fn serves(&self, item: &Item) -> bool {
        self.items.keys().any(|i| i.serves_as(item))
    }

    /// The models' weights, in order of name.
    pub fn bases(&self) -> impl Iterator<Item = (&Item, Megabytes)> {
        let bases = self.items.iter().filter(|(i, _)| i.is_base());
        bases.map(|(i, m)| (i, *m))
    }

    /// The adapters on top of some weights, in order of name.
    pub fn adapters<'a>(&'a self, base: &'a Item) -> impl Iterator<Item = (&'a Item, Megabytes)> {
        let own = |(i, _): &(&Item, &Megabytes)| !i.is_base() && i.to_base() == *base;
        self.items.iter().filter(own).map(|(i, m)| (i, *m))
    }

    /// Everything wanted.
    pub fn iter(&self) -> impl Iterator<Item = (&Item, Megabytes)> {
        self.items.iter().map(|(i, m)| (i, *m))
    }

    /// The memory of some weights with all their adapters.
    #[must_use]
    pub fn whole_size(&self, base: &Item) -> Megabytes {
        let own = self.size(base).unwrap_or_default().0;
        let adapters: u64 = self.adapters(base).map(|(_, m)| m.0).sum();
        Megabytes(own + adapters)
    }
}

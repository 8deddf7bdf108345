//! The models and adapters that must be reachable.

use crate::Item;
use shaleline_types::Megabytes;
use std::collections::BTreeMap;

/// A model or adapter that callers may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredItem {
    /// The desired version.
    pub item: Item,
    /// The memory it takes, including the replica's reserve for the KV cache.
    pub size: Megabytes,
}

/// All models and adapters that must stay reachable, by item.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DesiredItems {
    items: BTreeMap<Item, Megabytes>,
}

impl DesiredItems {
    /// Collects the desired items.
    #[must_use]
    pub fn from_items(items: impl IntoIterator<Item = DesiredItem>) -> Self {
        Self {
            items: items.into_iter().map(|w| (w.item, w.size)).collect(),
        }
    }

    /// Returns the size of an item, or `None` if it is not desired.
    #[must_use]
    pub fn size(&self, item: &Item) -> Option<Megabytes> {
        self.items.get(item).copied()
    }

    /// Returns whether any version of the item is desired.
    #[must_use]
    pub fn serves(&self, item: &Item) -> bool {
        self.items.keys().any(|i| i.serves_as(item))
    }

    /// Returns the models' weights, ordered by name.
    pub fn bases(&self) -> impl Iterator<Item = (&Item, Megabytes)> {
        let bases = self.items.iter().filter(|(i, _)| i.is_base());
        bases.map(|(i, m)| (i, *m))
    }

    /// Returns the adapters of a model's weights, ordered by name.
    pub fn adapters<'a>(&'a self, base: &'a Item) -> impl Iterator<Item = (&'a Item, Megabytes)> {
        let own = |(i, _): &(&Item, &Megabytes)| !i.is_base() && i.to_base() == *base;
        self.items.iter().filter(own).map(|(i, m)| (i, *m))
    }

    /// Returns all desired items.
    pub fn iter(&self) -> impl Iterator<Item = (&Item, Megabytes)> {
        self.items.iter().map(|(i, m)| (i, *m))
    }

    /// Returns the memory of a model's weights with all their adapters.
    #[must_use]
    pub fn whole_size(&self, base: &Item) -> Megabytes {
        let own = self.size(base).unwrap_or_default().0;
        let adapters: u64 = self.adapters(base).map(|(_, m)| m.0).sum();
        Megabytes(own + adapters)
    }
}

//! Maps tags back to models and adapters.

use crate::message::Tag;
use shaleline_fleet::Catalog;
use shaleline_types::{Adapter, Model};
use std::collections::{BTreeMap, HashMap};

/// The tags of a catalog's models and adapters, computed once for each version of the
/// configuration: hashing 1,600 names takes half a millisecond on a small instance.
#[derive(Debug, Default)]
pub(crate) struct TagIndex {
    version: Option<u64>,
    names: HashMap<Tag, (Model, Option<Adapter>)>,
}

impl TagIndex {
    /// Indexes the catalog of a version, unless that version is indexed already.
    pub(crate) fn update(&mut self, version: u64, catalog: &Catalog) {
        if self.version == Some(version) {
            return;
        }
        self.version = Some(version);
        self.names.clear();
        for (model, rule) in &catalog.models {
            let adapters = rule.adapters.iter().map(Some);
            for adapter in adapters.chain([None]) {
                let name = (model.clone(), adapter.cloned());
                self.names.insert(Tag::of_model(model, adapter), name);
            }
        }
    }

    /// Replaces tags by models and adapters. Tags that the catalog lacks belong to other services
    /// and are left out.
    pub(crate) fn resolve<T: Copy>(
        &self,
        tagged: &BTreeMap<Tag, T>,
    ) -> BTreeMap<(Model, Option<Adapter>), T> {
        let named = tagged.iter().filter_map(|(tag, value)| {
            let name = self.names.get(tag)?;
            Some((name.clone(), *value))
        });
        named.collect()
    }
}

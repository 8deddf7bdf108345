//! Numbers the models: a plan compares thousands of pairs, and comparing names is slow.

use crate::Catalog;
use shaleline_types::Model;
use std::collections::HashMap;

/// The models of a catalog, numbered in the order of their names.
#[derive(Debug)]
pub(crate) struct ModelIndex {
    catalog: Catalog,
    by_name: HashMap<Model, usize>,
}

impl ModelIndex {
    pub(crate) fn new(catalog: &Catalog) -> Self {
        let names = catalog.models.keys().cloned();
        Self {
            by_name: names.zip(0..).collect(),
            catalog: catalog.clone(),
        }
    }

    /// Whether these are the numbers of this catalog, unchanged.
    pub(crate) fn covers(&self, catalog: &Catalog) -> bool {
        self.catalog == *catalog
    }

    /// Returns the number of a model; none if it is not in the catalog.
    pub(crate) fn get(&self, model: &Model) -> Option<usize> {
        self.by_name.get(model).copied()
    }
}

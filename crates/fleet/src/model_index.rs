//! Models by number: a plan compares thousands of pairs, and names are slow to compare.

use crate::Catalog;
use shaleline_types::Model;
use std::collections::HashMap;

/// The models of a catalog, numbered in the order of their names.
#[derive(Debug)]
pub(crate) struct Numbers {
    catalog: Catalog,
    by_name: HashMap<Model, usize>,
}

impl Numbers {
    pub(crate) fn new(catalog: &Catalog) -> Self {
        let names = catalog.models.keys().cloned();
        Self {
            by_name: names.zip(0..).collect(),
            catalog: catalog.clone(),
        }
    }

    /// Whether these are the numbers of this catalog, of which nothing has changed.
    pub(crate) fn fit(&self, catalog: &Catalog) -> bool {
        self.catalog == *catalog
    }

    /// A model's number; none where the catalog does not name it.
    pub(crate) fn get(&self, model: &Model) -> Option<usize> {
        self.by_name.get(model).copied()
    }
}

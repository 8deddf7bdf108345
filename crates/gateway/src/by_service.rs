//! State that is kept for each service. A daemon may lose all upstreams of one service and reach
//! those of the others.

use shaleline_types::Service;
use std::collections::BTreeMap;

/// A value for each service, the default at first.
#[derive(Debug)]
pub(crate) struct ByService<T>(BTreeMap<Service, T>);

impl<T> Default for ByService<T> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<T: Default> ByService<T> {
    pub(crate) fn get(&self, service: &Service) -> Option<&T> {
        self.0.get(service)
    }

    pub(crate) fn of(&mut self, service: &Service) -> &mut T {
        self.0.entry(service.clone()).or_default()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Service, &T)> {
        self.0.iter()
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.0.values_mut()
    }
}

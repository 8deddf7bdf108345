//! The addresses of upstreams and the items they hold, from the instance list and the reports.

use shaleline_border::InstanceKind;
use shaleline_place::{EngineReport, Item};
use shaleline_types::{DataCentre, Millis, Upstream};
use std::collections::BTreeMap;

/// One upstream.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) address: String,
    pub(crate) kind: InstanceKind,
    pub(crate) centre: DataCentre,
    pub(crate) service: Option<String>,
    /// The last report.
    pub(crate) report: Option<EngineReport>,
    /// The time of the last report.
    pub(crate) reported: Option<Millis>,
}

/// All upstreams by name.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    pub(crate) entries: BTreeMap<Upstream, Entry>,
}

impl Directory {
    pub(crate) fn address(&self, upstream: &Upstream) -> Option<String> {
        self.entries.get(upstream).map(|e| e.address.clone())
    }

    /// Returns the ready item of an engine that serves the requested one: the requested version
    /// if the engine holds it, else the newest.
    pub(crate) fn item_on(&self, upstream: &Upstream, requested: &Item) -> Option<Item> {
        let report = self.entries.get(upstream)?.report.as_ref()?;
        if report.holds(requested) {
            return Some(requested.clone());
        }
        let serving = report
            .resident
            .iter()
            .filter(|r| r.item.serves_as(requested));
        serving.map(|r| r.item.clone()).max()
    }
}

//! Checks of the configuration: references, and whether one replica of every model fits.

use crate::tenant::check_value;
use crate::{Fleet, Template, Tenant};
use std::collections::{BTreeMap, BTreeSet};

/// The largest number of accelerators in a fleet, which bounds the cost of the memory check.
const MAX_ACCELERATORS: u32 = 100_000;

/// Returns the faults of a template on its own.
pub(crate) fn check_template(template: &Template) -> Vec<String> {
    let mut faults = Vec::new();
    let mut names = BTreeSet::new();
    for param in &template.params {
        if !names.insert(&param.name) {
            faults.push(format!("parameter {} stands twice", param.name));
        }
        if let Some(default) = &param.default {
            faults.extend(check_value(param, default).err());
        }
    }
    faults
}

/// Returns the faults of a fleet on its own.
pub(crate) fn check_fleet(fleet: &Fleet) -> Vec<String> {
    let mut faults = Vec::new();
    let mut seen = BTreeSet::new();
    let models = fleet.models.iter().map(|m| m.name.as_str());
    let adapters = fleet.adapters.iter().map(|a| a.name.as_str());
    let services = fleet.services.iter().map(|s| s.name.as_str());
    for name in models.chain(adapters).chain(services) {
        if !seen.insert(name) {
            faults.push(format!("{name} stands twice in the fleet"));
        }
    }
    for adapter in &fleet.adapters {
        if fleet.model(adapter.base.as_str()).is_none() {
            faults.push(format!("adapter {} names no model", adapter.name));
        }
    }
    let count: u64 = fleet.accelerators.iter().map(|a| u64::from(a.count)).sum();
    if count > u64::from(MAX_ACCELERATORS) {
        faults.push(format!("{count} accelerators, {MAX_ACCELERATORS} allowed"));
    }
    faults
}

/// Returns the faults of all organisations checked against the fleet.
pub(crate) fn check_tenants(fleet: &Fleet, tenants: &[Tenant]) -> Vec<String> {
    let mut faults = Vec::new();
    for tenant in tenants {
        faults.extend(check_references(fleet, tenant));
    }
    if faults.is_empty() {
        faults.extend(check_memory(fleet, tenants));
    }
    faults
}

fn check_references(fleet: &Fleet, tenant: &Tenant) -> Vec<String> {
    let org = &tenant.org;
    let unknown = |kind: &str, name: &str| format!("organisation {org}: no {kind} {name}");
    let mut faults = Vec::new();
    for name in &tenant.models {
        if fleet.model(name).is_none() {
            faults.push(unknown("model", name));
        }
    }
    for name in &tenant.services {
        if fleet.service(name).is_none() {
            faults.push(unknown("service", name));
        }
    }
    for name in &tenant.adapters {
        match fleet.adapter(name) {
            None => faults.push(unknown("adapter", name)),
            Some(a) if !tenant.models.contains(a.base.as_str()) => faults.push(format!(
                "organisation {org}: adapter {name} needs model {}",
                a.base
            )),
            Some(_) => {}
        }
    }
    faults
}

/// Packs one replica of every model with its adapters into the accelerators by first-fit
/// decreasing. First fit is not optimal: a configuration that barely fits may be refused, but one
/// that does not fit is never accepted.
fn check_memory(fleet: &Fleet, tenants: &[Tenant]) -> Option<String> {
    let mut need_by_model: BTreeMap<&str, u64> = BTreeMap::new();
    let mut adapters: BTreeSet<&str> = BTreeSet::new();
    for tenant in tenants {
        for spec in tenant.models.iter().filter_map(|m| fleet.model(m)) {
            need_by_model.insert(spec.name.as_str(), spec.size.0.saturating_add(spec.kv.0));
        }
        adapters.extend(tenant.adapters.iter().map(String::as_str));
    }
    for spec in adapters.into_iter().filter_map(|a| fleet.adapter(a)) {
        if let Some(need) = need_by_model.get_mut(spec.base.as_str()) {
            *need = need.saturating_add(spec.size.0);
        }
    }
    let mut free: Vec<u64> = Vec::new();
    for spec in &fleet.accelerators {
        free.extend((0..spec.count).map(|_| spec.memory.0));
    }
    let mut needs: Vec<(u64, &str)> = need_by_model.into_iter().map(|(m, n)| (n, m)).collect();
    needs.sort_unstable_by(|a, b| b.cmp(a));
    for (need, model) in needs {
        match free.iter_mut().find(|f| **f >= need) {
            Some(f) => *f -= need,
            None => {
                return Some(format!(
                    "model {model} with its adapters needs {need} MB and fits no accelerator beside the others"
                ))
            }
        }
    }
    None
}

//! The resolved configuration of a daemon, rebuilt after each accepted change.

use crate::{ConfigMachine, Fleet, Operator, Tenant};
use shaleline_types::{Offset, TokenHash};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The configuration in force, resolved for look-ups.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The offset of the first record that the view does not include.
    pub next: Offset,
    /// The catalogue and the accelerators.
    pub fleet: Fleet,
    /// The instances and upstreams that get no new work.
    pub drained: BTreeSet<String>,
    tenants: BTreeMap<String, Arc<Tenant>>,
    callers: BTreeMap<TokenHash, Arc<Tenant>>,
    operators: Vec<Operator>,
}

impl View {
    /// Resolves the state of `machine`, which has applied all records before `next`.
    #[must_use]
    pub fn from_machine(machine: &ConfigMachine, next: Offset) -> Self {
        let tenants: BTreeMap<String, Arc<Tenant>> = machine
            .tenants()
            .into_iter()
            .map(|t| (t.org.as_str().to_owned(), Arc::new(t)))
            .collect();
        let caller = |(token, org): (&TokenHash, &shaleline_types::Org)| {
            let tenant = tenants.get(org.as_str())?;
            Some((token.clone(), Arc::clone(tenant)))
        };
        Self {
            next,
            fleet: machine.fleet().clone(),
            drained: machine.drained().clone(),
            callers: machine.tokens().iter().filter_map(caller).collect(),
            operators: machine.operators().values().cloned().collect(),
            tenants,
        }
    }

    /// The organisation of a caller's token. The look-up uses the hash of a long random token, so
    /// that its timing reveals nothing useful.
    #[must_use]
    pub fn caller(&self, token: &TokenHash) -> Option<&Arc<Tenant>> {
        let (kept, tenant) = self.callers.get_key_value(token)?;
        kept.matches(token).then_some(tenant)
    }

    /// The operator with this token.
    #[must_use]
    pub fn operator(&self, token: &TokenHash) -> Option<&Operator> {
        self.operators.iter().find(|o| o.token.matches(token))
    }

    /// All organisations.
    pub fn tenants(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.tenants.values()
    }

    /// The names of the models that at least one organisation uses.
    #[must_use]
    pub fn used_models(&self) -> BTreeSet<&str> {
        let names = self.tenants.values().flat_map(|t| t.models.iter());
        names.map(String::as_str).collect()
    }

    /// The names of the adapters that at least one organisation uses.
    #[must_use]
    pub fn used_adapters(&self) -> BTreeSet<&str> {
        let names = self.tenants.values().flat_map(|t| t.adapters.iter());
        names.map(String::as_str).collect()
    }
}

//! What a daemon serves by, resolved once per accepted change.

use crate::{ConfigMachine, Fleet, Operator, Tenant};
use shaleline_types::{Offset, TokenHash};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The configuration in force, resolved for look-ups.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The offset of the next record that is not in it.
    pub next: Offset,
    /// The catalogue.
    pub fleet: Fleet,
    /// The instances and upstreams that are to get no new work.
    pub drained: BTreeSet<String>,
    tenants: BTreeMap<String, Arc<Tenant>>,
    callers: BTreeMap<TokenHash, Arc<Tenant>>,
    operators: Vec<Operator>,
}

impl View {
    /// Resolves the machine's state at `next`.
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

    /// The organisation whose token this is. The look-up is by the hash of a long random
    /// token, so its timing tells nothing of use.
    #[must_use]
    pub fn caller(&self, token: &TokenHash) -> Option<&Arc<Tenant>> {
        let (kept, tenant) = self.callers.get_key_value(token)?;
        kept.matches(token).then_some(tenant)
    }

    /// The operator whose token this is.
    #[must_use]
    pub fn operator(&self, token: &TokenHash) -> Option<&Operator> {
        self.operators.iter().find(|o| o.token.matches(token))
    }

    /// All organisations.
    pub fn tenants(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.tenants.values()
    }

    /// The names of the models that some organisation uses.
    #[must_use]
    pub fn used_models(&self) -> BTreeSet<&str> {
        let names = self.tenants.values().flat_map(|t| t.models.iter());
        names.map(String::as_str).collect()
    }

    /// The names of the adapters that some organisation uses.
    #[must_use]
    pub fn used_adapters(&self) -> BTreeSet<&str> {
        let names = self.tenants.values().flat_map(|t| t.adapters.iter());
        names.map(String::as_str).collect()
    }
}

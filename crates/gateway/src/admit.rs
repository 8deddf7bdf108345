//! Authenticates a request, charges it to its organisation, and checks it again before it is sent.

use crate::admission;
use crate::job::Job;
use crate::refuse::Refusal;
use crate::state::Gateway;
use crate::{Head, OrgRule, RouteRule, Table};
use shaleline_types::ErrorKind;

impl Gateway {
    /// Charges a request to its organisation.
    pub(crate) async fn charge_job(&self, table: &Table, mut job: Job) -> Result<Job, Refusal> {
        let named = job.org.as_ref().zip(table.orgs.as_ref());
        if let Some(rule) = named.and_then(|(name, orgs)| orgs.get(name)) {
            let charge = self.charge(rule, job.head.tokens()).await;
            let code = charge.as_ref().map_or_else(Refusal::code, |_| "admitted");
            self.metrics.count_admission(&rule.name, code);
            job.charge = charge?;
        }
        Ok(job)
    }

    /// The organisation of a request, by the configuration in force now.
    pub(crate) fn authenticate<'a>(
        &self,
        table: &'a Table,
        rule: &RouteRule,
        head: &Head,
    ) -> Result<Option<&'a OrgRule>, Refusal> {
        let bounds = self.bounds.borrow();
        let (revocation, apply) = (bounds.revocation, bounds.apply);
        let orgs = table.orgs.as_ref();
        let org = admission::authenticate(orgs, rule, head, revocation, apply, self.config_age());
        org.map_err(Refusal::new)
    }

    /// Checks again whether a request that waited may be sent: its key may have been revoked.
    pub(crate) fn recheck(&self, job: &Job) -> Result<(), Refusal> {
        let Some(table) = self.table() else {
            return Err(Refusal::new(ErrorKind::NotReady));
        };
        let org = self.authenticate(&table, &job.rule, &job.head)?;
        match org.map(|o| &o.name) == job.org.as_ref() {
            true => Ok(()),
            false => Err(Refusal::new(ErrorKind::KeyUnknown)),
        }
    }
}

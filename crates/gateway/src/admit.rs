//! Finds out whose a request is, charges it, and looks again before it is sent.

use crate::admission;
use crate::job::Job;
use crate::refuse::Refusal;
use crate::state::Gateway;
use crate::{Head, RouteRule, Table};
use shaleline_types::{ErrorKind, Org};

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

    /// Whom a request is from by the configuration in force now.
    pub(crate) fn judge(
        &self,
        table: &Table,
        rule: &RouteRule,
        head: &Head,
    ) -> Result<Option<Org>, Refusal> {
        let bounds = self.bounds.borrow();
        let (revocation, apply) = (bounds.revocation, bounds.apply);
        let orgs = table.orgs.as_ref();
        let org = admission::judge(orgs, rule, head, revocation, apply, self.config_age());
        org.map(|o| o.map(|o| o.name.clone())).map_err(Refusal::new)
    }

    /// Looks again whether a request that waited may be sent: its key may have been taken away.
    pub(crate) fn readmit(&self, job: &Job) -> Result<(), Refusal> {
        let Some(table) = self.table() else {
            return Err(Refusal::new(ErrorKind::NotReady));
        };
        let org = self.judge(&table, &job.rule, &job.head)?;
        match org == job.org {
            true => Ok(()),
            false => Err(Refusal::new(ErrorKind::KeyUnknown)),
        }
    }
}

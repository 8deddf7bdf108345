//! The state machine that accepts or refuses configuration changes.

use crate::check::{check_fleet, check_template, check_tenants};
use crate::{Change, Fleet, Op, Operator, Organisation, Refusal, Template, Tenant, Verdict};
use serde::{Deserialize, Serialize};
use shaleline_log::{Position, StateMachine};
use shaleline_types::{
    ChangeId, ErrorKind, Offset, Org, Safeguard, TemplateName, TokenHash, WriterId,
};
use std::collections::{BTreeMap, BTreeSet};

/// The number of change ids that are remembered. A call that is repeated after this many later
/// changes is validated again, and then refused because its base version is outdated.
const MAX_REMEMBERED_CHANGES: usize = 8_192;

/// The version of an object, with the author and the changed fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectVersion {
    /// The offset of the last accepted change.
    pub version: Offset,
    /// The operator who made that change.
    pub by: String,
    /// The id of that change.
    pub change: ChangeId,
    /// The fields that it changed.
    pub fields: Vec<String>,
    /// Whether the object was removed. The version of a removed object is kept, so that a change
    /// based on a version before the removal can't recreate the object unnoticed.
    #[serde(default)]
    pub removed: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct JudgedChange {
    offset: Offset,
    verdict: Verdict,
}

/// The configuration in force at an offset.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigMachine {
    fleet: Fleet,
    templates: BTreeMap<TemplateName, Template>,
    orgs: BTreeMap<Org, Organisation>,
    tokens: BTreeMap<TokenHash, Org>,
    operators: BTreeMap<String, Operator>,
    drained: BTreeSet<String>,
    versions: BTreeMap<String, ObjectVersion>,
    changes: BTreeMap<ChangeId, JudgedChange>,
    order: BTreeMap<Offset, ChangeId>,
}

/// The parts of the configuration that are checked together, as they would be after a change.
struct Draft {
    fleet: Fleet,
    templates: BTreeMap<TemplateName, Template>,
    orgs: BTreeMap<Org, Organisation>,
}

impl ConfigMachine {
    /// The catalogue and the accelerators.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The templates by name.
    #[must_use]
    pub fn templates(&self) -> &BTreeMap<TemplateName, Template> {
        &self.templates
    }

    /// The organisations by name.
    #[must_use]
    pub fn organisations(&self) -> &BTreeMap<Org, Organisation> {
        &self.orgs
    }

    /// The organisation of each token.
    #[must_use]
    pub fn tokens(&self) -> &BTreeMap<TokenHash, Org> {
        &self.tokens
    }

    /// The operators by name.
    #[must_use]
    pub fn operators(&self) -> &BTreeMap<String, Operator> {
        &self.operators
    }

    /// The instances and upstreams that get no new work.
    #[must_use]
    pub fn drained(&self) -> &BTreeSet<String> {
        &self.drained
    }

    /// The version of each object, by kind and name.
    #[must_use]
    pub fn versions(&self) -> &BTreeMap<String, ObjectVersion> {
        &self.versions
    }

    /// The verdict on an earlier change, if it is remembered.
    #[must_use]
    pub fn verdict_of(&self, id: &ChangeId) -> Option<&Verdict> {
        self.changes.get(id).map(|j| &j.verdict)
    }

    /// The current version of `object`, on which a change must be based.
    #[must_use]
    pub fn current_version(&self, object: &str) -> Option<Offset> {
        self.versions.get(object).map(|v| v.version)
    }

    /// All organisations, resolved by their templates.
    #[must_use]
    pub fn tenants(&self) -> Vec<Tenant> {
        let resolve = |o: &Organisation| {
            let template = self.templates.get(&o.template)?;
            Tenant::resolve(template, o).ok()
        };
        self.orgs.values().filter_map(resolve).collect()
    }

    fn validate(&self, change: &Change) -> Result<(), Refusal> {
        self.check_version(change)?;
        let faults = match &change.op {
            Op::PutFleet(fleet) => check_fleet(fleet),
            Op::PutTemplate(template) => check_template(template),
            Op::RemoveTemplate(name) => return self.check_unused(name),
            Op::AddToken { org, token } => return self.check_token(org, token),
            Op::RevokeToken { .. } | Op::Drain { .. } => return Ok(()),
            Op::PutOperator(_) | Op::RemoveOperator(_) => return Ok(()),
            Op::PutOrganisation(_) | Op::RemoveOrganisation(_) => Vec::new(),
        };
        if !faults.is_empty() {
            return Err(invalid(faults));
        }
        self.draft(&change.op).check()
    }

    fn check_version(&self, change: &Change) -> Result<(), Refusal> {
        let object = change.op.object();
        let current = self.current_version(&object);
        let is_checked = change.op.is_versioned() && Safeguard::VersionCheck.is_active();
        if !is_checked || current == change.base {
            return Ok(());
        }
        let fault = match self.versions.get(&object) {
            Some(v) => format!(
                "{object} is at version {}: {} changed {} by change {}",
                v.version,
                v.by,
                v.fields.join(", "),
                v.change
            ),
            None => format!("{object} does not exist"),
        };
        Err(Refusal {
            kind: ErrorKind::Conflict,
            faults: vec![fault],
        })
    }

    fn check_unused(&self, name: &TemplateName) -> Result<(), Refusal> {
        let users: Vec<&str> = self
            .orgs
            .values()
            .filter(|o| &o.template == name)
            .map(|o| o.name.as_str())
            .collect();
        if users.is_empty() {
            return Ok(());
        }
        Err(invalid(vec![format!(
            "template {name} is used by {}",
            users.join(", ")
        )]))
    }

    fn check_token(&self, org: &Org, token: &TokenHash) -> Result<(), Refusal> {
        if !self.orgs.contains_key(org) {
            return Err(invalid(vec![format!("there is no organisation {org}")]));
        }
        match self.tokens.get(token) {
            Some(owner) if owner != org => {
                Err(invalid(vec!["the token is in use already".to_owned()]))
            }
            _ => Ok(()),
        }
    }

    fn draft(&self, op: &Op) -> Draft {
        let mut draft = Draft {
            fleet: self.fleet.clone(),
            templates: self.templates.clone(),
            orgs: self.orgs.clone(),
        };
        match op {
            Op::PutFleet(fleet) => draft.fleet = fleet.clone(),
            Op::PutTemplate(t) => {
                draft.templates.insert(t.name.clone(), (**t).clone());
            }
            Op::PutOrganisation(o) => {
                draft.orgs.insert(o.name.clone(), o.clone());
            }
            Op::RemoveOrganisation(org) => {
                draft.orgs.remove(org);
            }
            _ => {}
        }
        draft
    }

    /// The fields that an operation changes, reported when a later change conflicts with it.
    fn changed_fields(&self, op: &Op) -> Vec<String> {
        let (old, new) = match op {
            Op::PutFleet(new) => (to_json(&self.fleet), to_json(new)),
            Op::PutTemplate(new) => (to_json(&self.templates.get(&new.name)), to_json(new)),
            Op::PutOrganisation(new) => {
                let old = self.orgs.get(&new.name);
                return org_fields(old, new);
            }
            _ => return vec!["everything".to_owned()],
        };
        let Some(new) = new.as_object() else {
            return Vec::new();
        };
        let changed = |(k, v): &(&String, &serde_json::Value)| old.get(k.as_str()) != Some(*v);
        new.iter().filter(changed).map(|(k, _)| k.clone()).collect()
    }

    fn apply_op(&mut self, op: &Op) {
        match op {
            Op::PutFleet(fleet) => self.fleet = fleet.clone(),
            Op::PutTemplate(t) => {
                self.templates.insert(t.name.clone(), (**t).clone());
            }
            Op::RemoveTemplate(name) => {
                self.templates.remove(name);
            }
            Op::PutOrganisation(o) => {
                self.orgs.insert(o.name.clone(), o.clone());
            }
            Op::RemoveOrganisation(org) => {
                self.orgs.remove(org);
                self.tokens.retain(|_, owner| owner != org);
            }
            Op::AddToken { org, token } => {
                self.tokens.insert(token.clone(), org.clone());
            }
            Op::RevokeToken { org, token } => {
                self.tokens.retain(|t, owner| owner != org || t != token);
            }
            Op::PutOperator(o) => {
                self.operators.insert(o.name.clone(), o.clone());
            }
            Op::RemoveOperator(name) => {
                self.operators.remove(name);
            }
            Op::Drain { target, on: true } => {
                self.drained.insert(target.clone());
            }
            Op::Drain { target, on: false } => {
                self.drained.remove(target);
            }
        }
    }

    fn accept(&mut self, at: Offset, change: &Change) {
        let object = change.op.object();
        let fields = self.changed_fields(&change.op);
        let last = self.versions.get(&object).map(|v| v.version);
        assert!(last < Some(at), "versions must increase");
        self.apply_op(&change.op);
        let removed = matches!(
            change.op,
            Op::RemoveTemplate(_) | Op::RemoveOrganisation(_) | Op::RemoveOperator(_)
        );
        let version = ObjectVersion {
            version: at,
            by: change.by.clone(),
            change: change.id.clone(),
            fields,
            removed,
        };
        self.versions.insert(object, version);
    }

    fn remember(&mut self, offset: Offset, id: &ChangeId, verdict: &Verdict) {
        let judged = JudgedChange {
            offset,
            verdict: verdict.clone(),
        };
        self.changes.insert(id.clone(), judged);
        self.order.insert(offset, id.clone());
        while self.order.len() > MAX_REMEMBERED_CHANGES {
            if let Some((_, oldest)) = self.order.pop_first() {
                self.changes.remove(&oldest);
            }
        }
    }
}

impl Draft {
    fn check(&self) -> Result<(), Refusal> {
        let mut faults = Vec::new();
        let mut tenants = Vec::new();
        for org in self.orgs.values() {
            match self.templates.get(&org.template) {
                None => faults.push(format!(
                    "organisation {}: no template {}",
                    org.name, org.template
                )),
                Some(template) => match Tenant::resolve(template, org) {
                    Ok(tenant) => tenants.push(tenant),
                    Err(more) => faults.extend(more),
                },
            }
        }
        if faults.is_empty() {
            faults.extend(check_tenants(&self.fleet, &tenants));
        }
        if faults.is_empty() {
            return Ok(());
        }
        Err(invalid(faults))
    }
}

impl StateMachine for ConfigMachine {
    type Body = Change;
    type Verdict = Verdict;

    fn apply(&mut self, at: Position, change: &Change) -> Verdict {
        if let Some(judged) = self.changes.get(&change.id) {
            return judged.verdict.clone();
        }
        let verdict = match self.validate(change) {
            Ok(()) => {
                self.accept(at.offset, change);
                Verdict::Accepted(at.offset)
            }
            Err(refusal) => Verdict::Refused(refusal),
        };
        self.remember(at.offset, &change.id, &verdict);
        verdict
    }

    fn recover_verdict(&self, _writer: WriterId, change: &Change) -> Verdict {
        let unknown = || {
            Verdict::Refused(Refusal {
                kind: ErrorKind::OutcomeUnknown,
                faults: vec!["the verdict is no longer remembered".to_owned()],
            })
        };
        self.verdict_of(&change.id).cloned().unwrap_or_else(unknown)
    }
}

fn invalid(faults: Vec<String>) -> Refusal {
    Refusal {
        kind: ErrorKind::Invalid,
        faults,
    }
}

fn to_json<T: Serialize>(value: &T) -> serde_json::Value {
    serde_json::to_value(value).unwrap_or_default()
}

fn org_fields(old: Option<&Organisation>, new: &Organisation) -> Vec<String> {
    let Some(old) = old else {
        return vec!["everything".to_owned()];
    };
    let mut fields = Vec::new();
    if old.template != new.template {
        fields.push("template".to_owned());
    }
    let names: BTreeSet<&String> = old.values.keys().chain(new.values.keys()).collect();
    for name in names {
        if old.values.get(name) != new.values.get(name) {
            fields.push(format!("values.{name}"));
        }
    }
    fields
}

//! An organisation with its template's settings filled in.

use crate::{Organisation, Param, ParamKind, Setting, Template, Value};
use serde::{Deserialize, Serialize};
use shaleline_types::Org;
use std::collections::BTreeSet;

/// The least urgent priority.
const LAST_PRIORITY: u64 = 9;

/// A day: whoever may wait longer should send the request later.
const LONGEST_PATIENCE: u64 = 24 * 3_600_000;

/// What an organisation may use, resolved from template and values.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// The organisation.
    pub org: Org,
    /// The models that its callers may use.
    pub models: BTreeSet<String>,
    /// The adapters that its callers may use.
    pub adapters: BTreeSet<String>,
    /// The plain services that its callers may use.
    pub services: BTreeSet<String>,
    /// 0 is the most urgent, 9 the least.
    pub priority: u8,
    /// The share among organisations of one priority.
    pub weight: u64,
    /// How long a request may wait for its first token or answer, in milliseconds.
    pub patience: u64,
    /// Requests a second over all daemons.
    pub rate: u64,
    /// Requests at once over all daemons.
    pub concurrency: u64,
    /// Generated tokens a second over all daemons.
    pub tokens: u64,
}

impl Tenant {
    /// Fills in a template with an organisation's values. All faults are listed.
    pub(crate) fn resolve(template: &Template, org: &Organisation) -> Result<Self, Vec<String>> {
        let mut r = Resolver {
            template,
            org,
            faults: Vec::new(),
        };
        r.check_values();
        let s = &template.settings;
        let tenant = Self {
            org: org.name.clone(),
            models: r.names("models", &s.models),
            adapters: r.names("adapters", &s.adapters),
            services: r.names("services", &s.services),
            priority: r.integer("priority", &s.priority, 0, LAST_PRIORITY) as u8,
            weight: r.integer("weight", &s.weight, 1, 1_000),
            patience: r.integer("patience", &s.patience, 1, LONGEST_PATIENCE),
            rate: r.integer("rate", &s.rate, 1, u64::MAX),
            concurrency: r.integer("concurrency", &s.concurrency, 1, u64::MAX),
            tokens: r.integer("tokens", &s.tokens, 1, u64::MAX),
        };
        if r.faults.is_empty() {
            Ok(tenant)
        } else {
            Err(r.faults)
        }
    }
}

struct Resolver<'a> {
    template: &'a Template,
    org: &'a Organisation,
    faults: Vec<String>,
}

impl Resolver<'_> {
    fn fault(&mut self, text: &str) {
        let org = &self.org.name;
        self.faults.push(format!("organisation {org}: {text}"));
    }

    fn check_values(&mut self) {
        for (name, value) in &self.org.values {
            match self.template.params.iter().find(|p| &p.name == name) {
                None => self.fault(&format!("the template has no parameter {name}")),
                Some(param) => {
                    if let Err(text) = check_value(param, value) {
                        self.fault(&text);
                    }
                }
            }
        }
    }

    fn value(&mut self, name: &str, setting: &Setting) -> Option<Value> {
        let param = match setting {
            Setting::Fixed(value) => return Some(value.clone()),
            Setting::Param { param } => param,
        };
        let Some(spec) = self.template.params.iter().find(|p| &p.name == param) else {
            self.fault(&format!("setting {name} names no parameter: {param}"));
            return None;
        };
        let value = self.org.values.get(param).or(spec.default.as_ref());
        if value.is_none() {
            self.fault(&format!("parameter {param} has no value and no default"));
        }
        value.cloned()
    }

    fn names(&mut self, name: &str, setting: &Setting) -> BTreeSet<String> {
        match self.value(name, setting) {
            Some(Value::Names(names)) => names.into_iter().collect(),
            Some(Value::Integer(_)) => {
                self.fault(&format!("setting {name} takes names, not a number"));
                BTreeSet::new()
            }
            None => BTreeSet::new(),
        }
    }

    fn integer(&mut self, name: &str, setting: &Setting, min: u64, max: u64) -> u64 {
        match self.value(name, setting) {
            Some(Value::Integer(n)) if (min..=max).contains(&n) => n,
            Some(Value::Integer(n)) => {
                self.fault(&format!("setting {name} is {n}, outside {min} to {max}"));
                min
            }
            Some(Value::Names(_)) => {
                self.fault(&format!("setting {name} takes a number, not names"));
                min
            }
            None => min,
        }
    }
}

/// Checks a value against its parameter's kind and bounds.
pub(crate) fn check_value(param: &Param, value: &Value) -> Result<(), String> {
    let name = &param.name;
    match (&param.kind, value) {
        (ParamKind::Integer { min, max }, Value::Integer(n)) => {
            if (min..=max).contains(&n) {
                return Ok(());
            }
            Err(format!("parameter {name} is {n}, outside {min} to {max}"))
        }
        (ParamKind::Names { allowed, most }, Value::Names(names)) => {
            if names.len() > *most {
                let count = names.len();
                return Err(format!(
                    "parameter {name} has {count} names, {most} allowed"
                ));
            }
            let foreign = |n: &&String| !allowed.is_empty() && !allowed.contains(n);
            match names.iter().find(foreign) {
                Some(n) => Err(format!("parameter {name} does not allow {n}")),
                None => Ok(()),
            }
        }
        _ => Err(format!("parameter {name} has a value of the wrong kind")),
    }
}

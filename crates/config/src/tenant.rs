//! Organisations with all settings resolved.

use crate::{Organisation, Param, ParamKind, Setting, Template, Value};
use serde::{Deserialize, Serialize};
use shaleline_types::Org;
use std::collections::BTreeSet;

const LEAST_URGENT_PRIORITY: u64 = 9;

/// One day. A caller that can wait longer should send its request later.
const MAX_PATIENCE_MS: u64 = 24 * 3_600_000;

/// The settings of an organisation, resolved from its template and values.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// The name of the organisation.
    pub org: Org,
    /// The models that callers may use.
    pub models: BTreeSet<String>,
    /// The adapters that callers may use.
    pub adapters: BTreeSet<String>,
    /// The plain services that callers may use.
    pub services: BTreeSet<String>,
    /// The priority, from 0 (most urgent) to 9 (least urgent).
    pub priority: u8,
    /// The weight of the organisation's share among those of the same priority.
    pub weight: u64,
    /// The maximum time that a request may wait for its first token or answer, in milliseconds.
    pub patience: u64,
    /// The limit of requests per second over all daemons.
    pub rate: u64,
    /// The limit of concurrent requests over all daemons.
    pub concurrency: u64,
    /// The limit of generated tokens per second over all daemons.
    pub tokens: u64,
}

impl Tenant {
    /// Resolves a template with an organisation's values. An error lists all faults.
    pub(crate) fn resolve(template: &Template, org: &Organisation) -> Result<Self, Vec<String>> {
        let mut resolver = Resolver {
            template,
            org,
            faults: Vec::new(),
        };
        resolver.check_values();
        let s = &template.settings;
        let tenant = Self {
            org: org.name.clone(),
            models: resolver.names("models", &s.models),
            adapters: resolver.names("adapters", &s.adapters),
            services: resolver.names("services", &s.services),
            priority: resolver.integer("priority", &s.priority, 0, LEAST_URGENT_PRIORITY) as u8,
            weight: resolver.integer("weight", &s.weight, 1, 1_000),
            patience: resolver.integer("patience", &s.patience, 1, MAX_PATIENCE_MS),
            rate: resolver.integer("rate", &s.rate, 1, u64::MAX),
            concurrency: resolver.integer("concurrency", &s.concurrency, 1, u64::MAX),
            tokens: resolver.integer("tokens", &s.tokens, 1, u64::MAX),
        };
        if resolver.faults.is_empty() {
            Ok(tenant)
        } else {
            Err(resolver.faults)
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
        let Some(definition) = self.template.params.iter().find(|p| &p.name == param) else {
            self.fault(&format!("setting {name} names no parameter: {param}"));
            return None;
        };
        let value = self.org.values.get(param).or(definition.default.as_ref());
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
            let not_allowed = |n: &&String| !allowed.is_empty() && !allowed.contains(n);
            match names.iter().find(not_allowed) {
                Some(n) => Err(format!("parameter {name} does not allow {n}")),
                None => Ok(()),
            }
        }
        _ => Err(format!("parameter {name} has a value of the wrong kind")),
    }
}

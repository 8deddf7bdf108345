//! Templates with named, typed, bounded parameters.

use serde::{Deserialize, Serialize};
use shaleline_types::{Org, TemplateName};
use std::collections::BTreeMap;

/// A value of a parameter or a setting.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// A whole number.
    Integer(u64),
    /// A list of names.
    Names(Vec<String>),
}

/// What a parameter takes, with its bounds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ParamKind {
    /// A whole number between two bounds, both included.
    Integer {
        /// The lowest value allowed.
        min: u64,
        /// The highest value allowed.
        max: u64,
    },
    /// A list of names, each one of those allowed.
    Names {
        /// The names that may be chosen; empty for any that the fleet has.
        #[serde(default)]
        allowed: Vec<String>,
        /// How many may be chosen at the most.
        most: usize,
    },
}

/// A parameter that each organisation fills in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Param {
    /// The name that organisations and settings use.
    pub name: String,
    /// What it takes.
    #[serde(flatten)]
    pub kind: ParamKind,
    /// The value where an organisation gives none; without one it must.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default: Option<Value>,
}

/// A setting: a fixed value or a reference to a parameter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Setting {
    /// Taken from the parameter of this name.
    Param {
        /// The parameter's name.
        param: String,
    },
    /// The same for every organisation of the template.
    Fixed(Value),
}

/// What a template settles for its organisations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The models that its callers may use.
    #[serde(default = "no_names")]
    pub models: Setting,
    /// The adapters that its callers may use.
    #[serde(default = "no_names")]
    pub adapters: Setting,
    /// The plain services that its callers may use.
    #[serde(default = "no_names")]
    pub services: Setting,
    /// 0 is the most urgent, 9 the least.
    pub priority: Setting,
    /// The share among organisations of one priority.
    #[serde(default = "one")]
    pub weight: Setting,
    /// How long a request may wait for its first token or answer, in milliseconds.
    #[serde(default = "ten_seconds")]
    pub patience: Setting,
    /// Requests a second over all daemons.
    pub rate: Setting,
    /// Requests at once over all daemons.
    pub concurrency: Setting,
    /// Generated tokens a second over all daemons.
    pub tokens: Setting,
}

fn no_names() -> Setting {
    Setting::Fixed(Value::Names(Vec::new()))
}

fn ten_seconds() -> Setting {
    Setting::Fixed(Value::Integer(10_000))
}

fn one() -> Setting {
    Setting::Fixed(Value::Integer(1))
}

/// A template that operators write once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Its name.
    pub name: TemplateName,
    /// Its parameters.
    #[serde(default)]
    pub params: Vec<Param>,
    /// Its settings.
    pub settings: Settings,
}

/// An organisation: a template and values for its parameters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: Org,
    /// The template it is made from.
    pub template: TemplateName,
    /// The values of the parameters.
    #[serde(default)]
    pub values: BTreeMap<String, Value>,
}

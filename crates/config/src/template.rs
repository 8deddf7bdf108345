//! Templates with named, typed and bounded parameters.

use serde::{Deserialize, Serialize};
use shaleline_types::{Org, TemplateName};
use std::collections::BTreeMap;

/// The value of a parameter or setting.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// A whole number.
    Integer(u64),
    /// A list of names.
    Names(Vec<String>),
}

/// The type and bounds of a parameter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ParamKind {
    /// A whole number between two inclusive bounds.
    Integer {
        /// The lowest allowed value.
        min: u64,
        /// The highest allowed value.
        max: u64,
    },
    /// A list of allowed names.
    Names {
        /// The allowed names; if empty, any name in the fleet is allowed.
        #[serde(default)]
        allowed: Vec<String>,
        /// The maximum number of names.
        most: usize,
    },
}

/// A parameter for which each organisation may give a value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Param {
    /// The name that organisations and settings use.
    pub name: String,
    /// The type and bounds.
    #[serde(flatten)]
    pub kind: ParamKind,
    /// The value for organisations that give none. Without a default, a value is required.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default: Option<Value>,
}

/// A setting: a fixed value or a reference to a parameter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Setting {
    /// The value of a parameter.
    Param {
        /// The parameter's name.
        param: String,
    },
    /// The same for every organisation of the template.
    Fixed(Value),
}

/// The settings of a template's organisations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The models that callers may use.
    #[serde(default = "no_names")]
    pub models: Setting,
    /// The adapters that callers may use.
    #[serde(default = "no_names")]
    pub adapters: Setting,
    /// The plain services that callers may use.
    #[serde(default = "no_names")]
    pub services: Setting,
    /// The priority, from 0 (most urgent) to 9 (least urgent).
    pub priority: Setting,
    /// The weight of the organisation's share among those of the same priority.
    #[serde(default = "one")]
    pub weight: Setting,
    /// The maximum time that a request may wait for its first token or answer, in milliseconds.
    #[serde(default = "ten_seconds")]
    pub patience: Setting,
    /// The limit of requests per second over all daemons.
    pub rate: Setting,
    /// The limit of concurrent requests over all daemons.
    pub concurrency: Setting,
    /// The limit of generated tokens per second over all daemons.
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

/// A template from which organisations are configured.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// The name of the template.
    pub name: TemplateName,
    /// The parameters that organisations give values for.
    #[serde(default)]
    pub params: Vec<Param>,
    /// The settings, which may refer to parameters.
    pub settings: Settings,
}

/// An organisation: a template and values for its parameters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The name of the organisation.
    pub name: Org,
    /// The name of its template.
    pub template: TemplateName,
    /// The values of the parameters.
    #[serde(default)]
    pub values: BTreeMap<String, Value>,
}

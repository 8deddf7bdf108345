//! The items that an engine can hold.

use serde::{Deserialize, Serialize};
use shaleline_types::{Adapter, Model};
use std::fmt;

/// A version of a model's weights, or an adapter for one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Item {
    /// The model.
    pub model: Model,
    /// The version of its weights.
    pub version: u32,
    /// The adapter, if the item is one.
    pub adapter: Option<Adapter>,
}

impl Item {
    /// Returns the item for a model's weights.
    #[must_use]
    pub fn base(model: &Model, version: u32) -> Self {
        Self {
            model: model.clone(),
            version,
            adapter: None,
        }
    }

    /// Returns the item for an adapter of these weights.
    #[must_use]
    pub fn with_adapter(&self, adapter: &Adapter) -> Self {
        Self {
            adapter: Some(adapter.clone()),
            ..self.clone()
        }
    }

    /// Returns the weights that this item depends on.
    #[must_use]
    pub fn to_base(&self) -> Self {
        Self::base(&self.model, self.version)
    }

    /// Returns whether the item is a model's weights.
    #[must_use]
    pub fn is_base(&self) -> bool {
        self.adapter.is_none()
    }

    /// Returns whether both serve the same callers, regardless of the version.
    #[must_use]
    pub fn serves_as(&self, other: &Self) -> bool {
        self.model == other.model && self.adapter == other.adapter
    }
}

impl fmt::Display for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.version)?;
        match &self.adapter {
            Some(adapter) => write!(f, "+{adapter}"),
            None => Ok(()),
        }
    }
}

impl From<Item> for String {
    fn from(item: Item) -> Self {
        item.to_string()
    }
}

impl TryFrom<String> for Item {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let bad = || format!("{text:?} is no item: model@version or model@version+adapter");
        let (model, rest) = text.split_once('@').ok_or_else(bad)?;
        let (version, adapter) = match rest.split_once('+') {
            Some((version, adapter)) => (version, Some(adapter)),
            None => (rest, None),
        };
        let adapter = adapter.map(Adapter::from_text).transpose();
        Ok(Self {
            model: Model::from_text(model).map_err(|_| bad())?,
            version: version.parse().map_err(|_| bad())?,
            adapter: adapter.map_err(|_| bad())?,
        })
    }
}

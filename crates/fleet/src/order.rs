//! Orders to engines and their replies.

use serde::{Deserialize, Serialize};
use shaleline_types::{Adapter, Incarnation, Model, Upstream};
use std::fmt;

/// The operation of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Load weights or an adapter.
    Load,
    /// Unload weights or an adapter.
    Unload,
}

/// One order to one engine.
///
/// It is valid only while the engine has accepted exactly `expect` orders, so an order that arrives
/// seconds late no longer meets its condition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The engine.
    pub engine: Upstream,
    /// The operation.
    pub kind: OrderKind,
    /// The model.
    pub model: Model,
    /// The adapter, if the order is about one.
    pub adapter: Option<Adapter>,
    /// The incarnation of the engine that the order is for.
    pub incarnation: Incarnation,
    /// The number of orders that the engine must have accepted before.
    pub expect: u64,
    /// The fencing token.
    pub fence: u64,
    /// The name of the planner that sends the order.
    pub holder: String,
}

impl Order {
    /// Whether it is about these weights or this adapter.
    pub(crate) fn is_about(&self, model: &Model, adapter: Option<&Adapter>) -> bool {
        self.model == *model && self.adapter.as_ref() == adapter
    }

    /// Whether it unloads an adapter.
    #[must_use]
    pub fn unloads_adapter(&self) -> bool {
        self.kind == OrderKind::Unload && self.adapter.is_some()
    }
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verb = match self.kind {
            OrderKind::Load => "load",
            OrderKind::Unload => "unload",
        };
        write!(f, "{verb} {}", self.model)?;
        if let Some(adapter) = &self.adapter {
            write!(f, "+{adapter}")?;
        }
        write!(f, " at {} expecting {}", self.engine, self.expect)
    }
}

/// The reply of an engine to an attempt to send an order. It says nothing of earlier attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The order is being carried out.
    Accepted,
    /// The state that it asks for exists already.
    Done,
    /// Another order is in progress, or the condition does not hold.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// Another engine has the address.
    Elsewhere,
    /// The engine does not support the order.
    Invalid,
    /// There was no reply: the order may have been accepted, or be carried out later.
    Lost,
}

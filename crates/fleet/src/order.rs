//! What may be ordered of an engine.

use serde::{Deserialize, Serialize};
use shaleline_types::{Adapter, Incarnation, Model, Upstream};
use std::fmt;

/// What an order does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Load weights or an adapter.
    Load,
    /// Unload weights or an adapter.
    Unload,
}

/// One order to one engine.
///
/// It holds only while the engine has accepted exactly `expect` orders, so an order that
/// is carried out seconds late finds its condition gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The engine.
    pub engine: Upstream,
    /// What to do.
    pub kind: OrderKind,
    /// The model.
    pub model: Model,
    /// The adapter, where the order is about one.
    pub adapter: Option<Adapter>,
    /// The start of the engine that it is meant for.
    pub incarnation: Incarnation,
    /// The orders that the engine must have accepted before.
    pub expect: u64,
    /// The fencing token.
    pub fence: u64,
    /// Who orders.
    pub holder: String,
}

impl Order {
    /// Whether it drops an adapter.
    #[must_use]
    pub fn drops_adapter(&self) -> bool {
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

/// What an engine answers to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    Done,
    /// Another order is under way, or the condition does not hold.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// Another engine has the address.
    Elsewhere,
    /// The engine does not take the order.
    Invalid,
    /// No answer: it may have been accepted, or be carried out later.
    Lost,
}

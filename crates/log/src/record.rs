//! The envelope that each record bears.

use serde::{Deserialize, Serialize};
use shaleline_types::{Millis, WriterId};

/// The newest record version that this build understands. A reader that meets a newer
/// one stops applying and says so.
pub const RECORD_VERSION: u16 = 1;

/// Who wrote a record, and as its how-manieth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    /// The life of the process that wrote it.
    pub writer: WriterId,
    /// Counts from 1 without gaps within that life.
    pub seq: u64,
}

/// A record of the log: an envelope around a machine's body.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record<B> {
    /// The record version.
    pub v: u16,
    /// The identity by which a repeated append is known.
    pub id: Identity,
    /// The writer's wall clock when the record was formed.
    pub at: Millis,
    /// What the record says.
    pub body: B,
}

/// Reads the version alone, because a newer record's body may not parse.
#[derive(Deserialize)]
pub(crate) struct VersionOnly {
    pub(crate) v: u16,
}

/// What goes first when the append budget is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// A caller waits for it.
    Once,
    /// An order to an engine.
    Order,
    /// A change of configuration.
    Config,
    /// Ownership.
    Lease,
    /// Notes on snapshots.
    Snapshot,
}

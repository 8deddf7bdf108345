//! The envelope of log records.

use serde::{Deserialize, Serialize};
use shaleline_types::{Millis, WriterId};

/// The newest record version that this build supports. A reader that reads a newer one halts
/// and reports it.
pub const RECORD_VERSION: u16 = 1;

/// The writer of a record and the record's sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    /// The incarnation of the process that wrote it.
    pub writer: WriterId,
    /// The sequence number, which counts from 1 without gaps within that incarnation.
    pub seq: u64,
}

/// A record of the log: an envelope around the body of a state machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record<B> {
    /// The record version.
    pub v: u16,
    /// The identity by which a repeated append is recognised.
    pub id: Identity,
    /// The writer's wall clock when the record was formed.
    pub at: Millis,
    /// The body of the record.
    pub body: B,
}

/// Decodes only the version, because the body of a newer record may not parse.
#[derive(Deserialize)]
pub(crate) struct VersionOnly {
    pub(crate) v: u16,
}

/// The order in which queued records are appended, which matters when the append budget is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// A record of the at-most-once journal, for which a caller waits.
    Once,
    /// An order to an engine.
    Order,
    /// A change of configuration.
    Config,
    /// A change of a lease.
    Lease,
    /// A record about snapshots.
    Snapshot,
}

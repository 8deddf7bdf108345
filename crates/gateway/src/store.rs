//! The interface to the platform's store: an append-only log of topics that keeps the newest record
//! of each key.

use futures_util::future::LocalBoxFuture;
use shaleline_types::{Millis, Position};
use std::fmt;

/// A topic that the gateway reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The operator's configuration; read only.
    Config,
    /// The upstreams' own entries; read only.
    Upstreams,
    /// The planner lease.
    Planner,
    /// The daemons' addresses.
    Members,
    /// Requests during which several upstreams crashed.
    Blocked,
    /// The software versions that services have, or recently had.
    Versions,
}

/// One record of a key. A record without a value removes the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Option<Vec<u8>>,
    /// Its position.
    pub position: Position,
}

/// Records in the order of the log, and the position to read on from.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// The records.
    pub records: Vec<Record>,
    /// Where the next read starts.
    pub next: Position,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// No answer; an append may still take effect seconds later.
    Lost,
    /// The store refused the call; nothing was changed.
    Refused(u16),
    /// The records asked for are gone; read the newest ones instead.
    Gap,
    /// The topic does not end at the expected position; holds its actual end.
    Moved(Position),
    /// The answer can't be parsed.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost => f.write_str("no answer"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::Gap => f.write_str("the records asked for are gone"),
            Self::Moved(end) => write!(f, "the topic ends at {end}"),
            Self::Malformed(why) => write!(f, "malformed answer: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The result of a call to the store.
pub type StoreResult<T> = Result<T, StoreError>;

/// The platform's store.
pub trait Store {
    /// Returns the newest record of each key.
    fn newest(&self, topic: Topic) -> LocalBoxFuture<'_, StoreResult<Batch>>;

    /// Returns the records from a position on; waits up to `wait` for the first one. A position of
    /// an earlier era is a [`StoreError::Gap`].
    fn tail(
        &self,
        topic: Topic,
        from: Position,
        wait: Millis,
    ) -> LocalBoxFuture<'_, StoreResult<Batch>>;

    /// Appends a record, and returns its position. Where `end` is given, the append counts only if
    /// the topic ends there. In a later era the same offset may be the end by chance; such an append
    /// is a [`StoreError::Moved`].
    fn append(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
        end: Option<Position>,
    ) -> LocalBoxFuture<'_, StoreResult<Position>>;

    /// The latest era that an answer named, 0 if none did.
    fn era(&self) -> u64 {
        0
    }
}

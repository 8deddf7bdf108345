//! The interface to the platform's log service.

use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use shaleline_types::{Millis, Offset, Stream};
use std::fmt;

/// The outcome of an append, as far as the writer can know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The records are in the log, the first of them at this offset.
    At(Offset),
    /// The service refused the append, which has had and will have no effect.
    Refused,
    /// There was no answer. The append may have taken effect or may still do so.
    Lost,
}

/// A record as stored in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// The position in the stream.
    pub offset: Offset,
    /// The text as appended.
    pub text: String,
}

/// The result of a read.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadBatch {
    /// The oldest offset that the log retains.
    pub oldest: Offset,
    /// The offset that the next record will have.
    pub tail: Offset,
    /// The records from the requested offset on, in order.
    pub records: Vec<StoredRecord>,
}

/// The error for a read that the log did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogError;

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the log does not answer")
    }
}

impl std::error::Error for LogError {}

/// The platform's log service. An adapter for another log protocol only needs to implement this
/// trait; see `docs/ARCHITECTURE.md`.
pub trait LogService {
    /// Appends `records` to `stream` contiguously.
    fn append<'a>(
        &'a self,
        stream: &'a Stream,
        records: &'a [String],
    ) -> LocalBoxFuture<'a, AppendOutcome>;

    /// Reads from the offset `from` on, waiting up to `wait` for the first record.
    ///
    /// # Errors
    /// [`LogError`] if the service does not answer.
    fn read<'a>(
        &'a self,
        stream: &'a Stream,
        from: Offset,
        wait: Millis,
    ) -> LocalBoxFuture<'a, Result<ReadBatch, LogError>>;
}

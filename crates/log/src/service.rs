//! The border to the platform's log service.

use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use shaleline_types::{Millis, Offset, Stream};
use std::fmt;

/// How an append ended, as far as the writer can know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The records stand in the log, the first of them at this offset.
    At(Offset),
    /// The service refused; the append had and will have no effect.
    Refused,
    /// No answer. The append may have taken effect, or may yet.
    Lost,
}

/// A record as the log keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Its position in the stream.
    pub offset: Offset,
    /// Its text, as appended.
    pub text: String,
}

/// What a read returns.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadBatch {
    /// The oldest offset that the log still keeps.
    pub oldest: Offset,
    /// The offset that the next record will have.
    pub tail: Offset,
    /// The records from the offset asked for, in order.
    pub records: Vec<StoredRecord>,
}

/// The log did not answer a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogError;

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the log does not answer")
    }
}

impl std::error::Error for LogError {}

/// The platform's log service. An adapter for another dialect implements this trait
/// and nothing else; see `docs/ARCHITECTURE.md`.
pub trait LogService {
    /// Appends `records` to `stream` as one contiguous run.
    fn append<'a>(
        &'a self,
        stream: &'a Stream,
        records: &'a [String],
    ) -> LocalBoxFuture<'a, AppendOutcome>;

    /// Reads from `from` on, waiting up to `wait` for a first record.
    ///
    /// # Errors
    /// [`LogError`] where the service does not answer.
    fn read<'a>(
        &'a self,
        stream: &'a Stream,
        from: Offset,
        wait: Millis,
    ) -> LocalBoxFuture<'a, Result<ReadBatch, LogError>>;
}

//! The state replayed from one stream.

use crate::record::VersionOnly;
use crate::{Halt, Identity, Record, RECORD_VERSION};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shaleline_types::{Millis, Offset, Safeguard, WriterId};
use std::collections::BTreeMap;

/// A writer is remembered until this many records after its last one. If a lost append takes
/// effect later than this, duplicates are not detected (`docs/LOG.md`).
const WRITER_WINDOW_RECORDS: u64 = 200_000;

/// The largest step by which one record's clock may advance the stream's time, so that one wrong
/// clock can't expire everything at once.
const MAX_TIME_STEP_MS: u64 = 600_000;

/// The offset, time and writer of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// The record's offset.
    pub offset: Offset,
    /// The stream's time, which is derived from the writers' clocks and never decreases.
    pub time: Millis,
    /// The writer of the record.
    pub writer: WriterId,
}

/// A state that is replayed from a stream. `apply` must be deterministic, because it alone
/// decides whether a record is valid.
pub trait StateMachine: Default + Serialize + DeserializeOwned {
    /// The body of the state machine's records.
    type Body: Serialize + DeserializeOwned + Clone;
    /// The result that the writer of a record receives.
    type Verdict;

    /// Applies one record and returns the verdict on it.
    fn apply(&mut self, at: Position, body: &Self::Body) -> Self::Verdict;

    /// The verdict on a record of `writer` that this state already includes, because the state
    /// was restored from a snapshot and the record was never applied here.
    fn recover_verdict(&self, writer: WriterId, body: &Self::Body) -> Self::Verdict;
}

/// A record that was applied for the first time.
pub(crate) struct Applied<M: StateMachine> {
    pub(crate) id: Identity,
    pub(crate) verdict: M::Verdict,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct LastSeen {
    seq: u64,
    offset: Offset,
}

/// A state machine with everything that its replay depends on. This is the content of a snapshot.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct State<M> {
    next: Offset,
    time: Millis,
    writers: BTreeMap<WriterId, LastSeen>,
    machine: M,
}

impl<M: StateMachine> State<M> {
    /// The offset of the next record to apply.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next
    }

    /// The stream's time.
    #[must_use]
    pub fn time(&self) -> Millis {
        self.time
    }

    /// The state machine.
    #[must_use]
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// The sequence number of the writer's last record in the state, or 0 if there is none.
    pub(crate) fn last_seq(&self, writer: WriterId) -> u64 {
        self.writers.get(&writer).map_or(0, |l| l.seq)
    }

    /// The number of writers that are remembered.
    #[must_use]
    pub fn writers(&self) -> usize {
        self.writers.len()
    }

    /// Applies the record at `self.next()`. Returns `None` for a duplicate record.
    pub(crate) fn apply(&mut self, text: &str) -> Result<Option<Applied<M>>, Halt> {
        let version = serde_json::from_str::<VersionOnly>(text).map_err(|_| Halt::Malformed)?;
        if version.v > RECORD_VERSION {
            return Err(Halt::Newer(version.v));
        }
        let record: Record<M::Body> = serde_json::from_str(text).map_err(|_| Halt::Malformed)?;
        let offset = self.next;
        self.next = offset.plus(1);
        if self.is_duplicate(&record) && Safeguard::RecordIdentity.is_active() {
            return Ok(None);
        }
        let last = LastSeen {
            seq: record.id.seq,
            offset,
        };
        self.writers.insert(record.id.writer, last);
        self.expire_writers();
        let latest = self.time.plus(MAX_TIME_STEP_MS);
        if self.time == Millis(0) {
            self.time = record.at;
        }
        self.time = self.time.max(record.at.min(latest));
        let at = Position {
            offset,
            time: self.time,
            writer: record.id.writer,
        };
        let verdict = self.machine.apply(at, &record.body);
        Ok(Some(Applied {
            id: record.id,
            verdict,
        }))
    }

    fn is_duplicate(&self, record: &Record<M::Body>) -> bool {
        let last = self.writers.get(&record.id.writer);
        last.is_some_and(|l| l.seq >= record.id.seq)
    }

    /// Drops writers without a record in the window. It scans only every few thousand records to
    /// keep the cost negligible.
    fn expire_writers(&mut self) {
        let Some(oldest_kept) = self.next.0.checked_sub(WRITER_WINDOW_RECORDS) else {
            return;
        };
        if self.next.0 % 4_096 == 0 {
            self.writers.retain(|_, l| l.offset.0 >= oldest_kept);
        }
    }
}

//! Drives a state machine from the log: batches, repeated appends, replay and verdicts.

use crate::{
    AppendBudget, AppendOutcome, Identity, Priority, ReadBatch, Record, Snapshot, State,
    StateMachine, RECORD_VERSION,
};
use serde::{Deserialize, Serialize};
use shaleline_types::{Millis, Offset, Safeguard, WriterId};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

const MAX_BATCH_RECORDS: usize = 128;
const INITIAL_BACKOFF_MS: u64 = 200;
const MAX_BACKOFF_MS: u64 = 5_000;

/// The reason why a replica stopped applying records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Halt {
    /// A record has this version, which is newer than supported.
    Newer(u16),
    /// A record does not parse.
    Malformed,
    /// An invariant did not hold while a record was applied.
    Broken,
    /// The records from this offset on were dropped before they were read.
    Gap(Offset),
}

impl fmt::Display for Halt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Newer(v) => write!(f, "record version {v} is newer than this build supports"),
            Self::Broken => f.write_str("an invariant did not hold"),
            Self::Malformed => f.write_str("a record is malformed"),
            Self::Gap(from) => write!(f, "the log no longer has the records from offset {from} on"),
        }
    }
}

/// Identifies a submitted record within its replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// The verdict on a submitted record that has been replayed.
#[derive(Debug, Clone, PartialEq)]
pub struct Committed<V> {
    /// The record's ticket.
    pub ticket: Ticket,
    /// The record's offset.
    pub offset: Offset,
    /// The verdict of the replay.
    pub verdict: V,
}

/// A record in flight.
struct InFlightRecord<B> {
    text: String,
    ticket: Ticket,
    body: B,
}

struct InFlightBatch<B> {
    records: Vec<InFlightRecord<B>>,
    first_seq: u64,
    append_running: bool,
    retry_at: Millis,
    backoff: u64,
}

/// A state machine, its position in the stream and this process's records in flight.
///
/// Only one batch is in flight at a time, and the next is formed only after the last one was read
/// back. A writer's records are therefore appended in order, and one sequence number per writer
/// is enough to detect duplicates.
pub struct Replica<M: StateMachine> {
    writer: WriterId,
    seq: u64,
    last_ticket: u64,
    state: State<M>,
    queue: BTreeMap<(Priority, Ticket), M::Body>,
    in_flight: Option<InFlightBatch<M::Body>>,
    /// The records in flight whose verdict is known.
    resolved: BTreeSet<Ticket>,
    committed: Vec<Committed<M::Verdict>>,
    halt: Option<Halt>,
    snapshot_offset: Offset,
}

impl<M: StateMachine> Replica<M> {
    /// Creates a replica at the start of its stream.
    #[must_use]
    pub fn new(writer: WriterId) -> Self {
        Self {
            writer,
            seq: 0,
            last_ticket: 0,
            state: State::default(),
            queue: BTreeMap::new(),
            in_flight: None,
            resolved: BTreeSet::new(),
            committed: Vec::new(),
            halt: None,
            snapshot_offset: Offset(0),
        }
    }

    /// The replayed state.
    #[must_use]
    pub fn state(&self) -> &State<M> {
        &self.state
    }

    /// The state machine.
    #[must_use]
    pub fn machine(&self) -> &M {
        self.state.machine()
    }

    /// The offset of the next record to apply.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.state.next()
    }

    /// The reason why the replica stopped, if it did.
    #[must_use]
    pub fn halt(&self) -> Option<Halt> {
        self.halt
    }

    /// The number of records that are queued or in flight.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.queue.len() + self.in_flight.as_ref().map_or(0, |f| f.records.len())
    }

    /// The offset up to which the newest known snapshot covers the stream.
    #[must_use]
    pub fn snapshot_offset(&self) -> Offset {
        self.snapshot_offset
    }

    /// Records that there is a snapshot up to `covers`.
    pub fn record_snapshot(&mut self, covers: Offset) {
        self.snapshot_offset = self.snapshot_offset.max(covers);
    }

    /// Queues a record. Its verdict is returned by [`Replica::take_committed`].
    pub fn submit(&mut self, priority: Priority, body: M::Body) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.queue.insert((priority, ticket), body);
        ticket
    }

    /// Removes a record that is still queued. Returns `false` if it has left the queue and may be
    /// appended.
    pub fn withdraw(&mut self, priority: Priority, ticket: Ticket) -> bool {
        self.queue.remove(&(priority, ticket)).is_some()
    }

    /// The batch to append now, if any. The caller must report the outcome to
    /// [`Replica::on_append`] before it calls this again.
    pub fn next_append(
        &mut self,
        now: Millis,
        wall: Millis,
        budget: &mut AppendBudget,
    ) -> Option<Vec<String>> {
        let idle = self.in_flight.is_none() && self.queue.is_empty();
        if idle || self.halt.is_some() {
            return None;
        }
        let waits = |f: &InFlightBatch<M::Body>| f.append_running || now < f.retry_at;
        if self.in_flight.as_ref().is_some_and(waits) || !budget.try_take(now) {
            return None;
        }
        if self.in_flight.is_none() {
            self.in_flight = Some(self.form_batch(wall));
        }
        let batch = self.in_flight.as_mut()?;
        batch.append_running = true;
        Some(batch.records.iter().map(|r| r.text.clone()).collect())
    }

    fn form_batch(&mut self, wall: Millis) -> InFlightBatch<M::Body> {
        let first_seq = self.seq + 1;
        let mut records = Vec::new();
        while records.len() < MAX_BATCH_RECORDS {
            let Some(((_, ticket), body)) = self.queue.pop_first() else {
                break;
            };
            self.seq += 1;
            let id = Identity {
                writer: self.writer,
                seq: self.seq,
            };
            let record = Record {
                v: RECORD_VERSION,
                id,
                at: wall,
                body,
            };
            records.push(InFlightRecord {
                text: serde_json::to_string(&record).expect("records serialize"),
                ticket,
                body: record.body,
            });
        }
        InFlightBatch {
            records,
            first_seq,
            append_running: false,
            retry_at: Millis(0),
            backoff: INITIAL_BACKOFF_MS,
        }
    }

    /// Handles the outcome of the last append. If the batch is the next in the log, it is applied
    /// at once. Otherwise, for example without an answer, it is appended again under the same
    /// identities, with exponential backoff, until it is read back.
    pub fn on_append(&mut self, now: Millis, result: AppendOutcome) {
        let Some(batch) = self.in_flight.as_mut() else {
            return;
        };
        batch.append_running = false;
        batch.retry_at = now.plus(batch.backoff);
        batch.backoff = (batch.backoff * 2).min(MAX_BACKOFF_MS);
        if result == AppendOutcome::At(self.state.next()) {
            let texts: Vec<String> = batch.records.iter().map(|r| r.text.clone()).collect();
            for text in texts {
                if self.apply(&text).is_err() {
                    return;
                }
            }
        }
    }

    /// Applies the records that were read. Records that were already applied are skipped.
    ///
    /// # Errors
    /// The [`Halt`] that stopped the replica, in this call or earlier.
    pub fn on_read(&mut self, batch: &ReadBatch) -> Result<(), Halt> {
        if let Some(halt) = self.halt {
            return Err(halt);
        }
        if batch.oldest > self.next() && Safeguard::GapCheck.is_active() {
            return self.stop(Halt::Gap(self.next()));
        }
        for record in &batch.records {
            if record.offset < self.next() {
                continue;
            }
            if record.offset > self.next() && Safeguard::GapCheck.is_active() {
                return self.stop(Halt::Gap(self.next()));
            }
            self.apply(&record.text)?;
        }
        Ok(())
    }

    fn apply(&mut self, text: &str) -> Result<(), Halt> {
        let offset = self.next();
        match self.state.apply(text) {
            Ok(Some(applied)) => self.resolve(applied.id, offset, applied.verdict),
            Ok(None) => {}
            Err(halt) => return self.stop(halt),
        }
        Ok(())
    }

    fn stop(&mut self, halt: Halt) -> Result<(), Halt> {
        self.halt = Some(halt);
        Err(halt)
    }

    /// Stops permanently because an invariant did not hold while a record was applied.
    pub fn halt_broken(&mut self) -> Halt {
        self.halt = Some(Halt::Broken);
        Halt::Broken
    }

    fn resolve(&mut self, id: Identity, offset: Offset, verdict: M::Verdict) {
        if id.writer != self.writer {
            return;
        }
        let Some(batch) = self.in_flight.as_ref() else {
            return;
        };
        let Some(index) = id.seq.checked_sub(batch.first_seq) else {
            return;
        };
        let Some(record) = batch.records.get(index as usize) else {
            return;
        };
        self.committed.push(Committed {
            ticket: record.ticket,
            offset,
            verdict,
        });
        self.resolved.insert(record.ticket);
        if index as usize + 1 == batch.records.len() {
            self.in_flight = None;
            self.resolved.clear();
        }
    }

    /// Resolves the records in flight that the restored state already includes, because they will
    /// never be read back.
    fn resolve_restored(&mut self) {
        let last = self.state.last_seq(self.writer);
        let Some(batch) = self.in_flight.as_ref() else {
            return;
        };
        let included = (last + 1).saturating_sub(batch.first_seq) as usize;
        for record in batch.records.iter().take(included) {
            if self.resolved.contains(&record.ticket) {
                continue;
            }
            self.committed.push(Committed {
                ticket: record.ticket,
                offset: self.state.next(),
                verdict: self
                    .state
                    .machine()
                    .recover_verdict(self.writer, &record.body),
            });
            self.resolved.insert(record.ticket);
        }
        if included >= batch.records.len() {
            self.in_flight = None;
            self.resolved.clear();
        }
    }

    /// Returns the verdicts that have become known since the last call.
    pub fn take_committed(&mut self) -> Vec<Committed<M::Verdict>> {
        std::mem::take(&mut self.committed)
    }

    /// Creates a snapshot of the state.
    #[must_use]
    pub fn to_snapshot(&self) -> Snapshot {
        Snapshot::from_state(&self.state)
    }

    /// Replaces the state by the snapshot's if the snapshot covers more records, and returns
    /// whether it did. If it did, a halt by a gap is cleared.
    pub fn restore(&mut self, snapshot: &Snapshot) -> bool {
        self.record_snapshot(snapshot.covers());
        let is_newer = snapshot.covers() > self.next() || !Safeguard::SnapshotChoice.is_active();
        let Some(state) = snapshot.to_state::<M>().filter(|_| is_newer) else {
            return false;
        };
        self.state = state;
        self.resolve_restored();
        if matches!(self.halt, Some(Halt::Gap(_))) {
            self.halt = None;
        }
        true
    }
}

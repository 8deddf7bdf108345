//! Drives a machine from the log: batches, repeats, replay, verdicts.

use crate::{
    AppendBudget, AppendOutcome, Identity, Priority, ReadBatch, Record, Snapshot, State,
    StateMachine, RECORD_VERSION,
};
use serde::{Deserialize, Serialize};
use shaleline_types::{Millis, Offset, Safeguard, WriterId};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

const MAX_BATCH: usize = 128;
const RETRY_AFTER: u64 = 200;
const RETRY_LIMIT: u64 = 5_000;

/// Why a replica stopped applying.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Halt {
    /// A record of this newer version.
    Newer(u16),
    /// A record that does not parse.
    Malformed,
    /// An invariant did not hold while a record was applied.
    Broken,
    /// The records from the offset on were dropped before they were read.
    Gap(Offset),
}

impl fmt::Display for Halt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Newer(v) => write!(f, "a record of version {v} is newer than this build"),
            Self::Broken => f.write_str("an invariant did not hold"),
            Self::Malformed => f.write_str("a record can't be read"),
            Self::Gap(from) => write!(f, "the log no longer has the records from {from} on"),
        }
    }
}

/// Names one submitted record within its replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A submitted record that has been replayed.
#[derive(Debug, Clone, PartialEq)]
pub struct Committed<V> {
    /// The record's ticket.
    pub ticket: Ticket,
    /// Where it stands.
    pub offset: Offset,
    /// What the replay decided.
    pub verdict: V,
}

/// A record on its way.
struct OnWay<B> {
    text: String,
    ticket: Ticket,
    body: B,
}

struct Flight<B> {
    records: Vec<OnWay<B>>,
    first_seq: u64,
    calling: bool,
    retry_at: Millis,
    backoff: u64,
}

/// A machine, its stream's position, and this process's records on their way.
///
/// One batch is on its way at a time, and the next is formed only once the last one was
/// read back. So a writer's records land in order, and one number per writer is enough
/// to know a repeat.
pub struct Replica<M: StateMachine> {
    writer: WriterId,
    seq: u64,
    tickets: u64,
    state: State<M>,
    queue: BTreeMap<(Priority, Ticket), M::Body>,
    flight: Option<Flight<M::Body>>,
    /// The records of the flight whose verdict is known.
    resolved: BTreeSet<Ticket>,
    done: Vec<Committed<M::Verdict>>,
    halt: Option<Halt>,
    snapshot_offset: Offset,
}

impl<M: StateMachine> Replica<M> {
    /// A replica at the start of its stream.
    #[must_use]
    pub fn new(writer: WriterId) -> Self {
        Self {
            writer,
            seq: 0,
            tickets: 0,
            state: State::default(),
            queue: BTreeMap::new(),
            flight: None,
            resolved: BTreeSet::new(),
            done: Vec::new(),
            halt: None,
            snapshot_offset: Offset(0),
        }
    }

    /// The replayed state.
    #[must_use]
    pub fn state(&self) -> &State<M> {
        &self.state
    }

    /// The machine.
    #[must_use]
    pub fn machine(&self) -> &M {
        self.state.machine()
    }

    /// The offset of the next record to apply.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.state.next()
    }

    /// Why the replica stopped, if it did.
    #[must_use]
    pub fn halt(&self) -> Option<Halt> {
        self.halt
    }

    /// How many records wait or are on their way.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.queue.len() + self.flight.as_ref().map_or(0, |f| f.records.len())
    }

    /// Up to where the newest snapshot known reaches.
    #[must_use]
    pub fn snapshot_offset(&self) -> Offset {
        self.snapshot_offset
    }

    /// Notes that a snapshot reaches to `covers`.
    pub fn record_snapshot(&mut self, covers: Offset) {
        self.snapshot_offset = self.snapshot_offset.max(covers);
    }

    /// Queues a record; the verdict comes through [`Replica::take_committed`].
    pub fn submit(&mut self, priority: Priority, body: M::Body) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.queue.insert((priority, ticket), body);
        ticket
    }

    /// Takes back a record that has not left yet. `false` means that it may land.
    pub fn withdraw(&mut self, priority: Priority, ticket: Ticket) -> bool {
        self.queue.remove(&(priority, ticket)).is_some()
    }

    /// The batch to append now, if any. The caller must report through
    /// [`Replica::on_append`] before it asks again.
    pub fn next_append(
        &mut self,
        now: Millis,
        wall: Millis,
        budget: &mut AppendBudget,
    ) -> Option<Vec<String>> {
        let idle = self.flight.is_none() && self.queue.is_empty();
        if idle || self.halt.is_some() {
            return None;
        }
        let waits = |f: &Flight<M::Body>| f.calling || now < f.retry_at;
        if self.flight.as_ref().is_some_and(waits) || !budget.try_take(now) {
            return None;
        }
        if self.flight.is_none() {
            self.flight = Some(self.form_batch(wall));
        }
        let flight = self.flight.as_mut()?;
        flight.calling = true;
        Some(flight.records.iter().map(|r| r.text.clone()).collect())
    }

    fn form_batch(&mut self, wall: Millis) -> Flight<M::Body> {
        let first_seq = self.seq + 1;
        let mut records = Vec::new();
        while records.len() < MAX_BATCH {
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
            records.push(OnWay {
                text: serde_json::to_string(&record).expect("records serialize"),
                ticket,
                body: record.body,
            });
        }
        Flight {
            records,
            first_seq,
            calling: false,
            retry_at: Millis(0),
            backoff: RETRY_AFTER,
        }
    }

    /// Reports how the last append ended. Without an answer it is repeated under the
    /// same identity until it is read back.
    pub fn on_append(&mut self, now: Millis, result: AppendOutcome) {
        let Some(flight) = self.flight.as_mut() else {
            return;
        };
        flight.calling = false;
        flight.retry_at = now.plus(flight.backoff);
        flight.backoff = (flight.backoff * 2).min(RETRY_LIMIT);
        if result == AppendOutcome::At(self.state.next()) {
            let texts: Vec<String> = flight.records.iter().map(|r| r.text.clone()).collect();
            for text in texts {
                if self.apply(&text).is_err() {
                    return;
                }
            }
        }
    }

    /// Applies what was read. Records already applied are passed over.
    ///
    /// # Errors
    /// The [`Halt`] that stopped the replica, now or earlier.
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
            Ok(Some(done)) => self.resolve(done.id, offset, done.verdict),
            Ok(None) => {}
            Err(halt) => return self.stop(halt),
        }
        Ok(())
    }

    fn stop(&mut self, halt: Halt) -> Result<(), Halt> {
        self.halt = Some(halt);
        Err(halt)
    }

    /// Stops for good: an invariant did not hold while a record was applied.
    pub fn halt_broken(&mut self) -> Halt {
        self.halt = Some(Halt::Broken);
        Halt::Broken
    }

    fn resolve(&mut self, id: Identity, offset: Offset, verdict: M::Verdict) {
        if id.writer != self.writer {
            return;
        }
        let Some(flight) = self.flight.as_ref() else {
            return;
        };
        let Some(index) = id.seq.checked_sub(flight.first_seq) else {
            return;
        };
        let Some(record) = flight.records.get(index as usize) else {
            return;
        };
        self.done.push(Committed {
            ticket: record.ticket,
            offset,
            verdict,
        });
        self.resolved.insert(record.ticket);
        if index as usize + 1 == flight.records.len() {
            self.flight = None;
            self.resolved.clear();
        }
    }

    /// Settles those records on their way that the restored state holds already. Nothing
    /// will ever be read back for them.
    fn recall_flight(&mut self) {
        let last = self.state.last_seq(self.writer);
        let Some(flight) = self.flight.as_ref() else {
            return;
        };
        let landed = (last + 1).saturating_sub(flight.first_seq) as usize;
        for record in flight.records.iter().take(landed) {
            if self.resolved.contains(&record.ticket) {
                continue;
            }
            self.done.push(Committed {
                ticket: record.ticket,
                offset: self.state.next(),
                verdict: self
                    .state
                    .machine()
                    .recover_verdict(self.writer, &record.body),
            });
            self.resolved.insert(record.ticket);
        }
        if landed >= flight.records.len() {
            self.flight = None;
            self.resolved.clear();
        }
    }

    /// The verdicts that have come since the last call.
    pub fn take_committed(&mut self) -> Vec<Committed<M::Verdict>> {
        std::mem::take(&mut self.done)
    }

    /// The state as a snapshot.
    #[must_use]
    pub fn to_snapshot(&self) -> Snapshot {
        Snapshot::from_state(&self.state)
    }

    /// Takes a snapshot's state if it reaches further than what has been applied.
    /// Returns whether it did. A halt by a gap ends if the snapshot reaches beyond it.
    pub fn restore(&mut self, snapshot: &Snapshot) -> bool {
        self.record_snapshot(snapshot.covers());
        let further = snapshot.covers() > self.next() || !Safeguard::SnapshotChoice.is_active();
        let Some(state) = snapshot.to_state::<M>().filter(|_| further) else {
            return false;
        };
        self.state = state;
        self.recall_flight();
        if matches!(self.halt, Some(Halt::Gap(_))) {
            self.halt = None;
        }
        true
    }
}

//! The client of the platform's append-only log, whose order decides all conflicts.
//!
//! * [`LogService`] is the interface to the platform's log: append, read and their failures.
//! * [`StateMachine`] is a state that is replayed from a stream of the log. The replay decides
//!   at a record's offset whether the record is valid, so that all readers agree.
//! * [`Replica`] drives a state machine: it forms batches within an [`AppendBudget`], repeats an
//!   append whose answer was lost under the same identity, applies the records that it reads in
//!   offset order and returns to each writer the verdicts on its own records.
//! * [`Snapshot`] preserves a state machine's state beyond the log's retention.
//!
//! Nothing in this crate reads a clock or a socket. `docs/LOG.md` compares the alternatives.

mod budget;
mod record;
mod replica;
mod service;
mod snapshot;
mod state;

pub use budget::AppendBudget;
pub use record::{Identity, Priority, Record, RECORD_VERSION};
pub use replica::{Committed, Halt, Replica, Ticket};
pub use service::{AppendOutcome, LogError, LogService, ReadBatch, StoredRecord};
pub use snapshot::{pick_snapshot, Snapshot, CHUNK_BYTES};
pub use state::{Position, State, StateMachine};

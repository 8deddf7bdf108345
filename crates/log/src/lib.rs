//! The platform's append-only log, as the only arbiter.
//!
//! * [`LogService`] is the border to the platform: append, read, and what may go wrong.
//! * [`StateMachine`] is a state that is replayed from a stream of the log. Whether a record
//!   is valid is decided by the replay at its offset, so every reader agrees.
//! * [`Replica`] drives a machine: it forms batches within an [`AppendBudget`], repeats an
//!   append whose answer was lost under the same identity, applies what it reads in
//!   offset order and hands each writer the verdict on its own records.
//! * [`Snapshot`] carries a machine's state past the log's retention.
//!
//! Nothing in this crate reads a clock or a socket. The ways that were weighed are in
//! `docs/LOG.md`.

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

//! Ownership and fencing tokens decided by log order, without clocks.
//!
//! * [`Lease`] is replayed from a stream. An owner's fencing token is the offset of its
//!   claim. A daemon that suspects the owner has failed appends a challenge, a live owner
//!   answers it by a renewal, and a claim that names an unanswered challenge succeeds.
//! * [`Keeper`] decides, at one daemon, what to append and when.
//!
//! Ownership is only an optimisation: one daemon plans instead of nine. Actions that must not
//! happen twice depend on records that the replay validates, never on a daemon's belief that it
//! is the owner. `docs/LEASES.md` compares the alternatives.

mod keeper;
mod lease;

pub use keeper::{Keeper, KeeperInput};
pub use lease::{Holder, Lease, LeaseBody, LeaseVerdict};

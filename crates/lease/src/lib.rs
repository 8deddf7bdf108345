//! Ownership and fencing numbers decided by log order, without clocks.
//!
//! * [`Lease`] is replayed from a stream. An owner's fencing number is the offset of its
//!   claim. Whoever suspects the owner appends a challenge; an owner that still lives
//!   answers by a renewal; a claim that names an unanswered challenge wins.
//! * [`Keeper`] decides, at one daemon, what to append and when.
//!
//! Ownership only saves work: one planner instead of nine. What must not happen twice
//! rests on records that the replay judges, never on somebody's belief to be owner. The
//! ways that were weighed are in `docs/LEASES.md`.

mod keeper;
mod lease;

pub use keeper::{Keeper, KeeperInput};
pub use lease::{Holder, Lease, LeaseBody, LeaseVerdict};

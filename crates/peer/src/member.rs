//! What daemons tell each other of themselves.

use serde::{Deserialize, Serialize};
use shaleline_types::{DataCentre, Instance, Offset, WriterId};

/// A life of a daemon on an instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The instance.
    pub instance: Instance,
    /// When this life began, by the instance's wall clock in milliseconds. A later life
    /// of the same instance replaces an earlier one.
    pub born: u64,
}

/// A daemon as it tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance and its life.
    pub id: MemberId,
    /// The identity that its records bear.
    pub writer: WriterId,
    /// Its data centre.
    pub centre: DataCentre,
    /// Where it answers other daemons, `IP:PORT`.
    pub peer: String,
    /// Where it answers callers, `IP:PORT`.
    pub caller: String,
    /// Counts its rounds; a larger count is fresher.
    pub beat: u64,
    /// The offset of the next configuration record that it has not applied.
    pub config: Offset,
    /// Whether it is stopping.
    pub leaving: bool,
}

/// A round's message and its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: Member,
    /// Others, of whom the sender heard most recently.
    pub others: Vec<Member>,
}

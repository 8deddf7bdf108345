//! What daemons tell each other of themselves.

use serde::{Deserialize, Serialize};
use shaleline_types::{DataCentre, Instance, Offset, WriterId};

/// A life of a daemon on an instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The instance.
    #[serde(rename = "i")]
    pub instance: Instance,
    /// When this life began, by the instance's wall clock in milliseconds. A later life
    /// of the same instance replaces an earlier one.
    #[serde(rename = "b")]
    pub incarnation: u64,
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
    #[serde(rename = "beat")]
    pub round: u64,
    /// The offset of the next configuration record that it has not applied.
    pub config: Offset,
    /// Whether it is stopping.
    pub leaving: bool,
    /// How often it has denied to be gone. Only it itself raises this, so that old news
    /// from others can neither revive it nor keep it dead.
    #[serde(rename = "denials", default)]
    pub refutations: u32,
}

/// What changes about a daemon from round to round, in few bytes: short names on the
/// wire, because a daemon has 2 KB a second for all of its control.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The instance and its life.
    #[serde(flatten)]
    pub id: MemberId,
    /// See [`Member::beat`].
    #[serde(rename = "n")]
    pub round: u64,
    /// See [`Member::config`].
    #[serde(rename = "c")]
    pub config: Offset,
    /// See [`Member::leaving`].
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// See [`Member::refutations`].
    #[serde(rename = "d", default, skip_serializing_if = "is_zero")]
    pub refutations: u32,
    /// Whether the teller suspects it to be gone.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub suspect: bool,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl Member {
    /// The part that changes.
    #[must_use]
    pub fn to_status(&self) -> MemberStatus {
        MemberStatus {
            id: self.id.clone(),
            round: self.round,
            config: self.config,
            leaving: self.leaving,
            refutations: self.refutations,
            suspect: false,
        }
    }
}

/// A round's message and its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    #[serde(rename = "f")]
    pub from: MemberStatus,
    /// Others that the sender believes alive or leaving.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub others: Vec<MemberStatus>,
    /// Daemons in full: the sender while it is new and now and then, and whom the other
    /// side asked for.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub full: Vec<Member>,
    /// Instances that the sender heard of and knows nothing else about.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub ask: Vec<Instance>,
}

//! The membership information that daemons exchange.

use serde::{Deserialize, Serialize};
use shaleline_types::{DataCentre, Instance, Offset, WriterId};

/// Identifies one incarnation of the daemon on an instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The instance.
    #[serde(rename = "i")]
    pub instance: Instance,
    /// The start of the process by the instance's wall clock, in milliseconds. A later
    /// incarnation replaces an earlier one on the same instance.
    #[serde(rename = "b")]
    pub incarnation: u64,
}

/// The full description of a daemon, as announced by itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance and its incarnation.
    pub id: MemberId,
    /// The writer identity of its log records.
    pub writer: WriterId,
    /// Its data centre.
    pub centre: DataCentre,
    /// The address for other daemons, `IP:PORT`.
    pub peer: String,
    /// The address for callers, `IP:PORT`.
    pub caller: String,
    /// The number of its heartbeat rounds; a larger number is more recent.
    #[serde(rename = "beat")]
    pub round: u64,
    /// The offset of the next configuration record that it has not applied.
    pub config: Offset,
    /// Whether it is stopping.
    pub leaving: bool,
    /// How many suspicions it has refuted. Only the daemon itself increments this, so that
    /// outdated status from others can neither revive it nor keep it marked as gone.
    #[serde(default)]
    #[serde(rename = "denials")]
    pub refutations: u32,
}

/// The part of a [`Member`] that changes between rounds. The names on the wire are short
/// because a daemon's budget for all control traffic is 2 KB per second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The instance and its incarnation.
    #[serde(flatten)]
    pub id: MemberId,
    /// See [`Member::round`].
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
    /// Whether the sender of this status suspects the daemon to be gone.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub suspect: bool,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl Member {
    /// Returns the part that changes between rounds.
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

/// The message of a heartbeat round, and the response to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    #[serde(rename = "f")]
    pub from: MemberStatus,
    /// The status of other daemons that the sender knows.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub others: Vec<MemberStatus>,
    /// Full descriptions: of the sender while it is new and periodically, and of the
    /// instances that the receiver asked for.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub full: Vec<Member>,
    /// Instances whose full description the sender lacks.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub ask: Vec<Instance>,
}

//! The state of a lease, replayed from the log.

use serde::{Deserialize, Serialize};
use shaleline_types::{Instance, Offset, WriterId};

/// The owner and its fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The incarnation of the owner's process.
    pub writer: WriterId,
    /// The instance on which the owner runs.
    pub instance: Instance,
    /// The offset of the owner's claim, which is larger than that of any previous owner.
    pub fence: Offset,
}

/// The body of a lease record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseBody {
    /// Acquires a free lease, or one whose owner did not answer the given challenge.
    Claim {
        /// The instance on which the claimant runs.
        instance: Instance,
        /// The offset of the claimant's challenge; `None` if the lease was free.
        after: Option<Offset>,
    },
    /// Asks the owner with this fencing token to prove that it is alive.
    Challenge {
        /// The owner's fencing token.
        fence: Offset,
    },
    /// Answers every open challenge.
    Renew {
        /// The owner's fencing token.
        fence: Offset,
    },
    /// Releases the lease immediately.
    Release {
        /// The owner's fencing token.
        fence: Offset,
    },
}

/// The verdict of the replay on a lease record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseVerdict {
    /// The writer is the owner with this fencing token.
    Acquired(Offset),
    /// The writer's challenge at this offset is open.
    Challenged(Offset),
    /// All open challenges are answered.
    Renewed,
    /// The lease is free.
    Released,
    /// The record has no effect.
    NoEffect,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct OpenChallenge {
    offset: Offset,
    by: WriterId,
}

/// The owner and the open challenges of a lease. Every reader of the stream computes the same
/// state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    holder: Option<Holder>,
    open: Vec<OpenChallenge>,
    last: Option<Offset>,
}

impl Lease {
    /// The owner of the lease, if any.
    #[must_use]
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// Whether the owner has a challenge to answer.
    #[must_use]
    pub fn is_challenged(&self) -> bool {
        !self.open.is_empty()
    }

    /// Whether the challenge at `offset` is still unanswered.
    #[must_use]
    pub fn is_open(&self, offset: Offset) -> bool {
        self.open.iter().any(|c| c.offset == offset)
    }

    /// The fencing token of `writer` if it is the owner.
    #[must_use]
    pub fn fence_of(&self, writer: WriterId) -> Option<Offset> {
        let holder = self.holder.as_ref()?;
        (holder.writer == writer).then_some(holder.fence)
    }

    /// Applies the record at `offset`.
    pub fn apply(&mut self, offset: Offset, writer: WriterId, body: &LeaseBody) -> LeaseVerdict {
        match body {
            LeaseBody::Claim { instance, after } => self.claim(offset, writer, instance, *after),
            LeaseBody::Challenge { fence } => self.challenge(offset, writer, *fence),
            LeaseBody::Renew { fence } if self.is_held_by(writer, *fence) => {
                self.open.clear();
                LeaseVerdict::Renewed
            }
            LeaseBody::Release { fence } if self.is_held_by(writer, *fence) => {
                self.holder = None;
                self.open.clear();
                LeaseVerdict::Released
            }
            LeaseBody::Renew { .. } | LeaseBody::Release { .. } => LeaseVerdict::NoEffect,
        }
    }

    fn is_held_by(&self, writer: WriterId, fence: Offset) -> bool {
        self.fence_of(writer) == Some(fence)
    }

    fn claim(
        &mut self,
        offset: Offset,
        writer: WriterId,
        instance: &Instance,
        after: Option<Offset>,
    ) -> LeaseVerdict {
        let has_open_challenge =
            |a: Offset| self.open.iter().any(|c| c.offset == a && c.by == writer);
        let granted = match (&self.holder, after) {
            (None, _) => true,
            (Some(_), Some(a)) => has_open_challenge(a),
            (Some(_), None) => false,
        };
        if !granted {
            return LeaseVerdict::NoEffect;
        }
        assert!(self.last < Some(offset), "fencing tokens must increase");
        self.last = Some(offset);
        self.holder = Some(Holder {
            writer,
            instance: instance.clone(),
            fence: offset,
        });
        self.open.clear();
        LeaseVerdict::Acquired(offset)
    }

    fn challenge(&mut self, offset: Offset, by: WriterId, fence: Offset) -> LeaseVerdict {
        let current = self.holder.as_ref().map(|h| h.fence);
        if current != Some(fence) {
            return LeaseVerdict::NoEffect;
        }
        if let Some(open) = self.open.iter().find(|c| c.by == by) {
            return LeaseVerdict::Challenged(open.offset);
        }
        self.open.push(OpenChallenge { offset, by });
        LeaseVerdict::Challenged(offset)
    }
}

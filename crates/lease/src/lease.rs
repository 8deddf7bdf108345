//! The replayed lease.

use serde::{Deserialize, Serialize};
use shaleline_types::{Instance, Offset, WriterId};

/// The owner and its fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The life of the owner's process.
    pub writer: WriterId,
    /// Where it runs.
    pub instance: Instance,
    /// The offset of its claim: larger than that of any owner before it.
    pub fence: Offset,
}

/// What a record says about a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseBody {
    /// Takes a free lease, or one whose owner left the named challenge unanswered.
    Claim {
        /// Where the claimant runs.
        instance: Instance,
        /// The offset of the claimant's challenge; `None` if the lease was free.
        after: Option<Offset>,
    },
    /// Asks the owner of this fencing number to show that it lives.
    Challenge {
        /// The owner's fencing number.
        fence: Offset,
    },
    /// Answers every open challenge.
    Renew {
        /// The owner's fencing number.
        fence: Offset,
    },
    /// Gives the lease up at once.
    Release {
        /// The owner's fencing number.
        fence: Offset,
    },
}

/// What the replay made of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseVerdict {
    /// The writer is the owner under this fencing number.
    Acquired(Offset),
    /// The challenge stands open at this offset.
    Challenged(Offset),
    /// All challenges are answered.
    Renewed,
    /// The lease is free.
    Released,
    /// Without effect.
    NoEffect,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct OpenChallenge {
    offset: Offset,
    by: WriterId,
}

/// Who owns something, as every reader of the stream agrees.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    holder: Option<Holder>,
    open: Vec<OpenChallenge>,
    last: Option<Offset>,
}

impl Lease {
    /// The owner.
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

    /// The fencing number under which `writer` is the owner.
    #[must_use]
    pub fn fence_of(&self, writer: WriterId) -> Option<Offset> {
        let holder = self.holder.as_ref()?;
        (holder.writer == writer).then_some(holder.fence)
    }

    /// Applies a record that stands at `offset`.
    pub fn apply(&mut self, offset: Offset, writer: WriterId, body: &LeaseBody) -> LeaseVerdict {
        match body {
            LeaseBody::Claim { instance, after } => self.claim(offset, writer, instance, *after),
            LeaseBody::Challenge { fence } => self.challenge(offset, writer, *fence),
            LeaseBody::Renew { fence } if self.is_own(writer, *fence) => {
                self.open.clear();
                LeaseVerdict::Renewed
            }
            LeaseBody::Release { fence } if self.is_own(writer, *fence) => {
                self.holder = None;
                self.open.clear();
                LeaseVerdict::Released
            }
            LeaseBody::Renew { .. } | LeaseBody::Release { .. } => LeaseVerdict::NoEffect,
        }
    }

    fn is_own(&self, writer: WriterId, fence: Offset) -> bool {
        self.fence_of(writer) == Some(fence)
    }

    fn claim(
        &mut self,
        offset: Offset,
        writer: WriterId,
        instance: &Instance,
        after: Option<Offset>,
    ) -> LeaseVerdict {
        let unanswered = |a: Offset| self.open.iter().any(|c| c.offset == a && c.by == writer);
        let granted = match (&self.holder, after) {
            (None, _) => true,
            (Some(_), Some(a)) => unanswered(a),
            (Some(_), None) => false,
        };
        if !granted {
            return LeaseVerdict::NoEffect;
        }
        assert!(self.last < Some(offset), "fencing numbers only grow");
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

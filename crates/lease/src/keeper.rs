//! Decides which lease records a daemon appends.

use crate::{Lease, LeaseBody, LeaseVerdict};
use shaleline_types::{Instance, Millis, Offset, WriterId};

/// How long a challenger waits before it claims the lease. This gives a live owner enough time to
/// read and answer the challenge, and still allows a takeover within 5 s.
const CHALLENGE_TIMEOUT: Millis = Millis(1_000);

/// How long a keeper waits for the verdict on its own record before it appends another one.
const VERDICT_TIMEOUT: Millis = Millis(10_000);

/// The input of one step of a [`Keeper`].
#[derive(Debug, Clone, Copy)]
pub struct KeeperInput<'a> {
    /// The replayed lease.
    pub lease: &'a Lease,
    /// Whether this daemon should own the lease, by rendezvous hashing over the live daemons.
    pub preferred: bool,
    /// Whether the owner's instance appears to be alive.
    pub owner_alive: bool,
    /// Whether this daemon is stopping.
    pub stopping: bool,
}

/// Decides which lease records this daemon appends, with at most one record in flight.
#[derive(Debug)]
pub struct Keeper {
    writer: WriterId,
    instance: Instance,
    pending_since: Option<Millis>,
    challenge: Option<(Offset, Millis)>,
}

impl Keeper {
    /// The keeper of the process `writer` on `instance`.
    #[must_use]
    pub fn new(writer: WriterId, instance: Instance) -> Self {
        Self {
            writer,
            instance,
            pending_since: None,
            challenge: None,
        }
    }

    /// The record to append now, if any.
    pub fn step(&mut self, input: KeeperInput<'_>, now: Millis) -> Option<LeaseBody> {
        if self
            .pending_since
            .is_some_and(|since| now.since(since) < VERDICT_TIMEOUT.0)
        {
            return None;
        }
        let body = self.decide(input, now)?;
        self.pending_since = Some(now);
        Some(body)
    }

    fn decide(&mut self, input: KeeperInput<'_>, now: Millis) -> Option<LeaseBody> {
        if let Some(fence) = input.lease.fence_of(self.writer) {
            self.challenge = None;
            return next_owner_record(input, fence);
        }
        if input.stopping || !input.preferred {
            return None;
        }
        let Some(holder) = input.lease.holder() else {
            return Some(self.claim(None));
        };
        if input.owner_alive {
            self.challenge = None;
            return None;
        }
        match self.challenge {
            Some((offset, since)) if input.lease.is_open(offset) => {
                let timed_out = now.since(since) >= CHALLENGE_TIMEOUT.0;
                timed_out.then(|| self.claim(Some(offset)))
            }
            _ => Some(LeaseBody::Challenge {
                fence: holder.fence,
            }),
        }
    }

    fn claim(&self, after: Option<Offset>) -> LeaseBody {
        LeaseBody::Claim {
            instance: self.instance.clone(),
            after,
        }
    }

    /// Handles the verdict on the record that [`Keeper::step`] returned last.
    pub fn on_verdict(&mut self, verdict: LeaseVerdict, now: Millis) {
        self.pending_since = None;
        self.challenge = match verdict {
            LeaseVerdict::Challenged(offset) => Some((offset, now)),
            _ => None,
        };
    }
}

fn next_owner_record(input: KeeperInput<'_>, fence: Offset) -> Option<LeaseBody> {
    if input.stopping {
        return Some(LeaseBody::Release { fence });
    }
    input
        .lease
        .is_challenged()
        .then_some(LeaseBody::Renew { fence })
}

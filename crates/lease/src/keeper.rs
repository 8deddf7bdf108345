//! What one daemon does about a lease.

use crate::{Lease, LeaseBody, LeaseVerdict};
use shaleline_types::{Instance, Millis, Offset, WriterId};

/// How long a challenge stays open before its challenger claims. Long enough for an
/// owner that lives to read it and answer; short enough for a takeover within 5 s.
const ANSWER_WAIT: Millis = Millis(1_000);

/// How long a challenger waits for the verdict on its own record before it asks again.
const VERDICT_WAIT: Millis = Millis(10_000);

/// What the keeper looks at in one step.
#[derive(Debug, Clone, Copy)]
pub struct KeeperInput<'a> {
    /// The replayed lease.
    pub lease: &'a Lease,
    /// Whether this daemon is the one that should own it, by rendezvous over those alive.
    pub preferred: bool,
    /// Whether the owner's instance seems alive.
    pub owner_alive: bool,
    /// Whether this daemon is stopping.
    pub stopping: bool,
}

/// Decides what this daemon appends. It keeps one record on its way at a time.
#[derive(Debug)]
pub struct Keeper {
    writer: WriterId,
    instance: Instance,
    waiting: Option<Millis>,
    challenge: Option<(Offset, Millis)>,
}

impl Keeper {
    /// The keeper of the process `writer` on `instance`.
    #[must_use]
    pub fn new(writer: WriterId, instance: Instance) -> Self {
        Self {
            writer,
            instance,
            waiting: None,
            challenge: None,
        }
    }

    /// The record to append now, if any.
    pub fn step(&mut self, input: KeeperInput<'_>, now: Millis) -> Option<LeaseBody> {
        if self
            .waiting
            .is_some_and(|since| now.since(since) < VERDICT_WAIT.0)
        {
            return None;
        }
        let body = self.decide(input, now)?;
        self.waiting = Some(now);
        Some(body)
    }

    fn decide(&mut self, input: KeeperInput<'_>, now: Millis) -> Option<LeaseBody> {
        if let Some(fence) = input.lease.fence_of(self.writer) {
            self.challenge = None;
            return own_duty(input, fence);
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
                let ripe = now.since(since) >= ANSWER_WAIT.0;
                ripe.then(|| self.claim(Some(offset)))
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

    /// Takes the verdict on the record that [`Keeper::step`] returned last.
    pub fn on_verdict(&mut self, verdict: LeaseVerdict, now: Millis) {
        self.waiting = None;
        self.challenge = match verdict {
            LeaseVerdict::Challenged(offset) => Some((offset, now)),
            _ => None,
        };
    }
}

fn own_duty(input: KeeperInput<'_>, fence: Offset) -> Option<LeaseBody> {
    if input.stopping {
        return Some(LeaseBody::Release { fence });
    }
    input
        .lease
        .is_challenged()
        .then_some(LeaseBody::Renew { fence })
}

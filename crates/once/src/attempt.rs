//! The state machine of the daemon that serves a keyed request.

use crate::{KeptAnswer, OnceBody, OnceKey, OnceVerdict, MAX_KEPT_BODY_BYTES};
use shaleline_types::{ErrorKind, Millis, RequestId, Safeguard, WriterId};

/// How a send to the upstream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendOutcome {
    /// A complete answer arrived.
    Answered(KeptAnswer),
    /// The connection failed before any byte of the request was written.
    NotSent,
    /// The send failed later, or no answer arrived in time.
    Unknown,
}

/// An event that concerns an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The request arrived.
    Start,
    /// The request arrived and the journal already has its key.
    Known(OnceVerdict),
    /// The replay returned the verdict on this attempt's `begun` record.
    Judged(OnceVerdict),
    /// The send ended.
    Sent(SendOutcome),
    /// The other attempt that held the key has finished.
    OtherFinished(KeptAnswer),
    /// The other attempt that held the key was abandoned without a send.
    OtherAbandoned,
    /// The daemon of the other attempt that holds the key has failed.
    OtherLost,
    /// The wait for the log, for another attempt or for the upstream timed out.
    Deadline,
}

/// An action that the daemon must take for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptAction {
    /// Append this record and report the verdict.
    Append(OnceBody),
    /// Send the request now, and never again for this attempt.
    Send,
    /// Watch the key, which this writer holds, until its attempt ends.
    Watch(WriterId),
    /// Report to the caller that the request ran, with its answer.
    Answer {
        /// The answer.
        answer: KeptAnswer,
        /// Whether the answer was kept from an earlier attempt.
        kept: bool,
    },
    /// Report to the caller that the request failed.
    Fail(ErrorKind),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    New,
    AwaitingVerdict,
    Sending,
    Watching,
    /// The caller was told that the request did not run. A `begun` record that is appended after
    /// that is abandoned: the request is not sent.
    Abandoned,
    Done,
}

/// One daemon's attempt at a keyed request.
#[derive(Debug, Clone)]
pub struct Attempt {
    key: OnceKey,
    id: RequestId,
    request: String,
    phase: Phase,
    started_at: Option<Millis>,
}

impl Attempt {
    /// Creates the attempt `id` at `key`; `request` is a digest of the request.
    #[must_use]
    pub fn new(key: OnceKey, id: RequestId, request: String) -> Self {
        Self {
            key,
            id,
            request,
            phase: Phase::New,
            started_at: None,
        }
    }

    /// The key of the request.
    #[must_use]
    pub fn key(&self) -> &OnceKey {
        &self.key
    }

    /// The digest of the request.
    #[must_use]
    pub fn request(&self) -> &str {
        &self.request
    }

    /// When the attempt started.
    #[must_use]
    pub fn started_at(&self) -> Option<Millis> {
        self.started_at
    }

    /// Whether the attempt is complete.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// Handles an event and returns the actions to take, in order.
    pub fn step(&mut self, event: AttemptEvent, now: Millis) -> Vec<AttemptAction> {
        match (self.phase, event) {
            (Phase::New, AttemptEvent::Start) => {
                self.started_at = Some(now);
                self.append_begun()
            }
            (Phase::New, AttemptEvent::Known(verdict))
            | (Phase::AwaitingVerdict, AttemptEvent::Judged(verdict)) => self.on_verdict(verdict),
            (Phase::AwaitingVerdict, AttemptEvent::Deadline) => self.abandon(),
            (Phase::Abandoned, AttemptEvent::Judged(verdict)) => self.on_late_verdict(&verdict),
            (Phase::Sending, AttemptEvent::Sent(end)) => self.on_sent(end),
            (Phase::Sending, AttemptEvent::Deadline) => self.fail_unknown(ErrorKind::TimedOut),
            (Phase::Watching, AttemptEvent::OtherFinished(answer)) => self.answer(answer, true),
            (Phase::Watching, AttemptEvent::OtherAbandoned) => self.append_begun(),
            (Phase::Watching, AttemptEvent::OtherLost | AttemptEvent::Deadline) => {
                self.fail(ErrorKind::OutcomeUnknown)
            }
            _ => Vec::new(),
        }
    }

    fn append_begun(&mut self) -> Vec<AttemptAction> {
        self.phase = Phase::AwaitingVerdict;
        let begun = OnceBody::Begun {
            key: self.key.clone(),
            attempt: self.id,
            request: self.request.clone(),
        };
        let mut actions = vec![AttemptAction::Append(begun)];
        if !Safeguard::BegunReplay.is_active() {
            self.phase = Phase::Sending;
            actions.push(AttemptAction::Send);
        }
        actions
    }

    fn on_verdict(&mut self, verdict: OnceVerdict) -> Vec<AttemptAction> {
        match verdict {
            OnceVerdict::Granted => {
                self.phase = Phase::Sending;
                vec![AttemptAction::Send]
            }
            OnceVerdict::InProgress { writer } => {
                self.phase = Phase::Watching;
                vec![AttemptAction::Watch(writer)]
            }
            OnceVerdict::Finished(answer) => self.answer(answer, true),
            OnceVerdict::Lost => self.fail(ErrorKind::OutcomeUnknown),
            OnceVerdict::Mismatch => self.fail(ErrorKind::KeyConflict),
            OnceVerdict::Full => self.fail(ErrorKind::JournalFull),
            OnceVerdict::Abandoned | OnceVerdict::Recorded | OnceVerdict::NoEffect => {
                self.fail(ErrorKind::LogUnavailable)
            }
        }
    }

    /// Reports immediately to the caller that the request did not run. To keep this true, the
    /// attempt must never be sent, even if its `begun` record is appended later.
    fn abandon(&mut self) -> Vec<AttemptAction> {
        self.phase = Phase::Abandoned;
        vec![
            AttemptAction::Fail(ErrorKind::LogUnavailable),
            AttemptAction::Append(self.abandoned_record()),
        ]
    }

    fn on_late_verdict(&mut self, verdict: &OnceVerdict) -> Vec<AttemptAction> {
        self.phase = Phase::Done;
        let send_late = *verdict == OnceVerdict::Granted && !Safeguard::DeadAttempt.is_active();
        if send_late {
            self.phase = Phase::Sending;
            return vec![AttemptAction::Send];
        }
        Vec::new()
    }

    fn on_sent(&mut self, end: SendOutcome) -> Vec<AttemptAction> {
        match end {
            SendOutcome::Answered(answer) => {
                let finished = OnceBody::Finished {
                    key: self.key.clone(),
                    attempt: self.id,
                    answer: without_large_body(answer.clone()),
                };
                let mut actions = self.answer(answer, false);
                actions.push(AttemptAction::Append(finished));
                actions
            }
            SendOutcome::NotSent => {
                let mut actions = self.fail(ErrorKind::NoUpstream);
                actions.push(AttemptAction::Append(self.abandoned_record()));
                actions
            }
            SendOutcome::Unknown => self.fail_unknown(ErrorKind::UpstreamFailed),
        }
    }

    /// Records that the outcome will never be known, so that repeats fail immediately.
    fn fail_unknown(&mut self, kind: ErrorKind) -> Vec<AttemptAction> {
        let lost = OnceBody::Lost {
            key: self.key.clone(),
            attempt: self.id,
        };
        let mut actions = self.fail(kind);
        actions.push(AttemptAction::Append(lost));
        actions
    }

    fn abandoned_record(&self) -> OnceBody {
        OnceBody::Abandoned {
            key: self.key.clone(),
            attempt: self.id,
        }
    }

    fn answer(&mut self, answer: KeptAnswer, kept: bool) -> Vec<AttemptAction> {
        self.phase = Phase::Done;
        vec![AttemptAction::Answer { answer, kept }]
    }

    fn fail(&mut self, kind: ErrorKind) -> Vec<AttemptAction> {
        self.phase = Phase::Done;
        vec![AttemptAction::Fail(kind)]
    }
}

fn without_large_body(mut answer: KeptAnswer) -> KeptAnswer {
    if answer
        .body
        .as_ref()
        .is_some_and(|b| b.len() > MAX_KEPT_BODY_BYTES)
    {
        answer.body = None;
    }
    answer
}

//! What the daemon that serves a keyed request does, step by step.

use crate::{KeptAnswer, OnceBody, OnceKey, OnceVerdict, MAX_KEPT_BODY_BYTES};
use shaleline_types::{ErrorKind, Millis, RequestId, Safeguard, WriterId};

/// How a send to the upstream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendOutcome {
    /// A whole answer came.
    Answered(KeptAnswer),
    /// The connection failed before a byte of the request was written.
    NotSent,
    /// It failed later, or no answer came in time.
    Unknown,
}

/// What happened to an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The request arrived.
    Start,
    /// The request arrived, and the journal already knows its key.
    Known(OnceVerdict),
    /// The replay judged this attempt's `begun`.
    Judged(OnceVerdict),
    /// The send ended.
    Sent(SendOutcome),
    /// Another attempt that held the key has finished.
    OtherFinished(KeptAnswer),
    /// Another attempt that held the key has given up without sending.
    OtherAbandoned,
    /// Another attempt holds the key and its daemon is gone.
    OtherLost,
    /// The time to wait for the log, for another attempt or for the upstream is over.
    Deadline,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptAction {
    /// Append this record and report the verdict.
    Append(OnceBody),
    /// Send the request, this once.
    Send,
    /// Watch the key, held by this writer, until it ends.
    Watch(WriterId),
    /// Tell the caller that it ran, and the answer. `kept` if it is an earlier one.
    Answer {
        /// The answer.
        answer: KeptAnswer,
        /// Whether it was kept from an earlier attempt.
        kept: bool,
    },
    /// Tell the caller that it failed.
    Fail(ErrorKind),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    New,
    Asked,
    Sending,
    Watching,
    /// The caller has its answer. A `begun` that lands now is abandoned.
    GivenUp,
    Done,
}

/// One daemon's attempt at a keyed request.
#[derive(Debug, Clone)]
pub struct Attempt {
    key: OnceKey,
    id: RequestId,
    request: String,
    phase: Phase,
    began: Option<Millis>,
}

impl Attempt {
    /// An attempt `id` at `key`; `request` is a digest of the request.
    #[must_use]
    pub fn new(key: OnceKey, id: RequestId, request: String) -> Self {
        Self {
            key,
            id,
            request,
            phase: Phase::New,
            began: None,
        }
    }

    /// The key.
    #[must_use]
    pub fn key(&self) -> &OnceKey {
        &self.key
    }

    /// The digest of the request.
    #[must_use]
    pub fn request(&self) -> &str {
        &self.request
    }

    /// When it started.
    #[must_use]
    pub fn began(&self) -> Option<Millis> {
        self.began
    }

    /// Whether nothing is left to do.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// Takes an event and says what to do, in order.
    pub fn step(&mut self, event: AttemptEvent, now: Millis) -> Vec<AttemptAction> {
        match (self.phase, event) {
            (Phase::New, AttemptEvent::Start) => {
                self.began = Some(now);
                self.ask()
            }
            (Phase::New, AttemptEvent::Known(verdict))
            | (Phase::Asked, AttemptEvent::Judged(verdict)) => self.on_verdict(verdict),
            (Phase::Asked, AttemptEvent::Deadline) => self.give_up(),
            (Phase::GivenUp, AttemptEvent::Judged(verdict)) => self.on_late_verdict(&verdict),
            (Phase::Sending, AttemptEvent::Sent(end)) => self.on_sent(end),
            (Phase::Sending, AttemptEvent::Deadline) => self.lose(ErrorKind::TimedOut),
            (Phase::Watching, AttemptEvent::OtherFinished(answer)) => self.answer(answer, true),
            (Phase::Watching, AttemptEvent::OtherAbandoned) => self.ask(),
            (Phase::Watching, AttemptEvent::OtherLost | AttemptEvent::Deadline) => {
                self.fail(ErrorKind::OutcomeUnknown)
            }
            _ => Vec::new(),
        }
    }

    fn ask(&mut self) -> Vec<AttemptAction> {
        self.phase = Phase::Asked;
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

    /// The caller is told at once that it was not run. So that this stays true, the
    /// attempt is dead from here on, also if its `begun` lands later.
    fn give_up(&mut self) -> Vec<AttemptAction> {
        self.phase = Phase::GivenUp;
        vec![
            AttemptAction::Fail(ErrorKind::LogUnavailable),
            AttemptAction::Append(self.abandoned()),
        ]
    }

    fn on_late_verdict(&mut self, verdict: &OnceVerdict) -> Vec<AttemptAction> {
        self.phase = Phase::Done;
        let revived = *verdict == OnceVerdict::Granted && !Safeguard::DeadAttempt.is_active();
        if revived {
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
                    answer: bounded(answer.clone()),
                };
                let mut actions = self.answer(answer, false);
                actions.push(AttemptAction::Append(finished));
                actions
            }
            SendOutcome::NotSent => {
                let mut actions = self.fail(ErrorKind::NoUpstream);
                actions.push(AttemptAction::Append(self.abandoned()));
                actions
            }
            SendOutcome::Unknown => self.lose(ErrorKind::UpstreamFailed),
        }
    }

    /// Its end will not be known: whoever repeats it is told so at once.
    fn lose(&mut self, kind: ErrorKind) -> Vec<AttemptAction> {
        let lost = OnceBody::Lost {
            key: self.key.clone(),
            attempt: self.id,
        };
        let mut actions = self.fail(kind);
        actions.push(AttemptAction::Append(lost));
        actions
    }

    fn abandoned(&self) -> OnceBody {
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

fn bounded(mut answer: KeptAnswer) -> KeptAnswer {
    if answer
        .body
        .as_ref()
        .is_some_and(|b| b.len() > MAX_KEPT_BODY_BYTES)
    {
        answer.body = None;
    }
    answer
}

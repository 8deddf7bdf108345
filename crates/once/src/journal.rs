//! The journal of one shard, replayed from the log.

use crate::OnceKey;
use serde::{Deserialize, Serialize};
use shaleline_log::{Position, StateMachine};
use shaleline_types::{Millis, Offset, RequestId, Safeguard, WriterId};
use std::collections::BTreeMap;

/// The largest answer body that is kept. Of an answer with a larger body, the journal keeps only
/// the status and the content type.
pub const MAX_KEPT_BODY_BYTES: usize = 4_096;

/// The limits of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceLimits {
    /// The maximum number of keys. Further keys are refused; a key is never dropped early.
    pub keys: usize,
    /// How long a key is kept after its first record.
    pub window: Millis,
}

impl Default for OnceLimits {
    fn default() -> Self {
        Self {
            keys: 50_000,
            window: Millis(24 * 3_600_000),
        }
    }
}

/// An upstream's answer, kept for repeated requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub mime: String,
    /// The body; `None` if it was larger than [`MAX_KEPT_BODY_BYTES`].
    pub body: Option<String>,
}

/// The body of a journal record, which concerns one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OnceBody {
    /// Requests permission to send.
    Begun {
        /// The key.
        key: OnceKey,
        /// The attempt that requests permission.
        attempt: RequestId,
        /// A digest of the request, so that a key can't be used for two different requests.
        request: String,
    },
    /// Records the upstream's answer.
    Finished {
        /// The key.
        key: OnceKey,
        /// The attempt that was sent.
        attempt: RequestId,
        /// The answer.
        answer: KeptAnswer,
    },
    /// Records that an attempt was sent and its outcome will never be known.
    Lost {
        /// The key.
        key: OnceKey,
        /// The attempt that was sent.
        attempt: RequestId,
    },
    /// Records that an attempt was not sent and never will be.
    Abandoned {
        /// The key.
        key: OnceKey,
        /// The attempt that was abandoned.
        attempt: RequestId,
    },
}

/// The state of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyState {
    /// An attempt has permission to send; its outcome is not known yet.
    Begun {
        /// The process that has permission.
        writer: WriterId,
        /// The attempt.
        attempt: RequestId,
    },
    /// The request ran and this was its answer.
    Finished(KeptAnswer),
    /// The request may have run. The outcome will never be known, and it will not run again.
    Lost,
    /// Nothing was sent; a new attempt may begin.
    Free,
}

/// The verdict of the replay on a journal record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceVerdict {
    /// The attempt may send the request, once.
    Granted,
    /// Another attempt holds the key.
    InProgress {
        /// The process of that attempt.
        writer: WriterId,
    },
    /// The request has already run, with this answer.
    Finished(KeptAnswer),
    /// The request may already have run.
    Lost,
    /// The key was used for a different request.
    Mismatch,
    /// The journal is full.
    Full,
    /// The attempt was abandoned before its `begun` record was appended.
    Abandoned,
    /// The record took effect.
    Recorded,
    /// The record has no effect.
    NoEffect,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    state: KeyState,
    request: String,
    time: Millis,
    offset: Offset,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "dead")]
    abandoned: Vec<(WriterId, RequestId)>,
}

/// The journal of one shard, with the state of every key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceMachine {
    limits: OnceLimits,
    keys: BTreeMap<OnceKey, Entry>,
    by_age: BTreeMap<Offset, OnceKey>,
}

impl OnceMachine {
    /// The state of a key, if the journal has it.
    #[must_use]
    pub fn get(&self, key: &OnceKey) -> Option<&KeyState> {
        self.keys.get(key).map(|e| &e.state)
    }

    /// The verdict that a `begun` record for this request would get, if the state of the key
    /// already determines it. Repeats of a known key therefore need no append.
    #[must_use]
    pub fn known(&self, key: &OnceKey, request: &str) -> Option<OnceVerdict> {
        let entry = self.keys.get(key)?;
        let mismatch = !entry.request.is_empty() && entry.request != request;
        match &entry.state {
            KeyState::Free => None,
            _ if mismatch => Some(OnceVerdict::Mismatch),
            KeyState::Begun { writer, .. } => Some(OnceVerdict::InProgress { writer: *writer }),
            KeyState::Finished(answer) => Some(OnceVerdict::Finished(answer.clone())),
            KeyState::Lost => Some(OnceVerdict::Lost),
        }
    }

    /// The number of keys in the journal.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether the journal has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Drops the keys whose window has passed. This uses only the time in the log, so that every
    /// reader drops the same keys at the same record.
    fn expire(&mut self, time: Millis) {
        while let Some(oldest) = self.by_age.first_entry() {
            let key = oldest.get();
            let begun = self.keys.get(key).map_or(Millis(0), |e| e.time);
            if time.since(begun) < self.limits.window.0 {
                return;
            }
            let key = oldest.remove();
            self.keys.remove(&key);
        }
    }

    fn insert(&mut self, at: Position, key: &OnceKey, request: &str, state: KeyState) {
        let entry = Entry {
            state,
            request: request.to_owned(),
            time: at.time,
            offset: at.offset,
            abandoned: Vec::new(),
        };
        self.keys.insert(key.clone(), entry);
        self.by_age.insert(at.offset, key.clone());
    }

    fn begin(
        &mut self,
        at: Position,
        key: &OnceKey,
        attempt: RequestId,
        request: &str,
    ) -> OnceVerdict {
        let begun = KeyState::Begun {
            writer: at.writer,
            attempt,
        };
        let Some(entry) = self.keys.get_mut(key) else {
            if self.keys.len() >= self.limits.keys {
                return OnceVerdict::Full;
            }
            self.insert(at, key, request, begun);
            return OnceVerdict::Granted;
        };
        if Safeguard::DeadAttempt.is_active() && entry.abandoned.contains(&(at.writer, attempt)) {
            return OnceVerdict::Abandoned;
        }
        if entry.state == KeyState::Free {
            entry.state = begun;
            entry.request = request.to_owned();
            return OnceVerdict::Granted;
        }
        self.known(key, request).unwrap_or(OnceVerdict::NoEffect)
    }

    fn end(
        &mut self,
        at: Position,
        key: &OnceKey,
        attempt: RequestId,
        state: KeyState,
    ) -> OnceVerdict {
        let Some(entry) = self.keys.get_mut(key) else {
            return OnceVerdict::NoEffect;
        };
        let own = KeyState::Begun {
            writer: at.writer,
            attempt,
        };
        if entry.state != own {
            return OnceVerdict::NoEffect;
        }
        entry.state = state;
        OnceVerdict::Recorded
    }

    fn abandon(&mut self, at: Position, key: &OnceKey, attempt: RequestId) -> OnceVerdict {
        if !self.keys.contains_key(key) {
            if self.keys.len() >= self.limits.keys {
                return OnceVerdict::Full;
            }
            self.insert(at, key, "", KeyState::Free);
        }
        let Some(entry) = self.keys.get_mut(key) else {
            return OnceVerdict::NoEffect;
        };
        entry.abandoned.push((at.writer, attempt));
        let own = KeyState::Begun {
            writer: at.writer,
            attempt,
        };
        if entry.state == own {
            entry.state = KeyState::Free;
        }
        OnceVerdict::Recorded
    }
}

impl StateMachine for OnceMachine {
    type Body = OnceBody;
    type Verdict = OnceVerdict;

    fn apply(&mut self, at: Position, body: &OnceBody) -> OnceVerdict {
        self.expire(at.time);
        match body {
            OnceBody::Begun {
                key,
                attempt,
                request,
            } => self.begin(at, key, *attempt, request),
            OnceBody::Finished {
                key,
                attempt,
                answer,
            } => self.end(at, key, *attempt, KeyState::Finished(answer.clone())),
            OnceBody::Lost { key, attempt } => self.end(at, key, *attempt, KeyState::Lost),
            OnceBody::Abandoned { key, attempt } => self.abandon(at, key, *attempt),
        }
    }

    /// Grants permission if the key's state is this attempt's `begun`: the attempt has not yet
    /// received its verdict, so it has not sent the request.
    fn recover_verdict(&self, writer: WriterId, body: &OnceBody) -> OnceVerdict {
        let OnceBody::Begun {
            key,
            attempt,
            request,
        } = body
        else {
            return OnceVerdict::Recorded;
        };
        let own = KeyState::Begun {
            writer,
            attempt: *attempt,
        };
        if self.get(key) == Some(&own) {
            return OnceVerdict::Granted;
        }
        self.known(key, request).unwrap_or(OnceVerdict::NoEffect)
    }
}

//! The replayed journal of one shard.

use crate::OnceKey;
use serde::{Deserialize, Serialize};
use shaleline_log::{Position, StateMachine};
use shaleline_types::{Millis, Offset, RequestId, Safeguard, WriterId};
use std::collections::BTreeMap;

/// The largest answer that is kept. Of a larger one only the status is.
pub const MAX_KEPT_BODY_BYTES: usize = 4_096;

/// What a shard may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceLimits {
    /// How many keys; a further one is refused, never an old one forgotten early.
    pub keys: usize,
    /// How long a key is kept after it was begun.
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

/// An upstream's answer as it is kept for repeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub mime: String,
    /// The body; `None` where it was larger than [`MAX_KEPT_BODY_BYTES`].
    pub body: Option<String>,
}

/// What a record says about a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OnceBody {
    /// Asks for the permission to send.
    Begun {
        /// The key.
        key: OnceKey,
        /// The attempt that asks.
        attempt: RequestId,
        /// A digest of the request, so that a key can't be used for two.
        request: String,
    },
    /// Says how the upstream answered.
    Finished {
        /// The key.
        key: OnceKey,
        /// The attempt that was sent.
        attempt: RequestId,
        /// The answer.
        answer: KeptAnswer,
    },
    /// Says that an attempt was sent and its end will never be known.
    Lost {
        /// The key.
        key: OnceKey,
        /// The attempt that was sent.
        attempt: RequestId,
    },
    /// Says that an attempt was not sent and never will be.
    Abandoned {
        /// The key.
        key: OnceKey,
        /// The attempt that was given up.
        attempt: RequestId,
    },
}

/// What is known of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyState {
    /// An attempt holds the permission; its end is not known.
    Begun {
        /// Who holds it.
        writer: WriterId,
        /// The attempt.
        attempt: RequestId,
    },
    /// It ran and this was the answer.
    Finished(KeptAnswer),
    /// It may have run; that will never be known, and it will not run again.
    Lost,
    /// Nothing was sent; a fresh attempt may begin.
    Free,
}

/// The verdict on a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceVerdict {
    /// The attempt may send, once.
    Granted,
    /// Another attempt holds the key.
    InProgress {
        /// Who holds it.
        writer: WriterId,
    },
    /// It has run already.
    Finished(KeptAnswer),
    /// It may have run already.
    Lost,
    /// The key was used for another request.
    Mismatch,
    /// The journal is full.
    Full,
    /// The attempt was given up before its `begun` landed.
    Abandoned,
    /// Noted.
    Recorded,
    /// Without effect.
    NoEffect,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    state: KeyState,
    request: String,
    time: Millis,
    offset: Offset,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    dead: Vec<(WriterId, RequestId)>,
}

/// The journal of one shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceMachine {
    limits: OnceLimits,
    keys: BTreeMap<OnceKey, Entry>,
    by_age: BTreeMap<Offset, OnceKey>,
}

impl OnceMachine {
    /// What is known of a key.
    #[must_use]
    pub fn get(&self, key: &OnceKey) -> Option<&KeyState> {
        self.keys.get(key).map(|e| &e.state)
    }

    /// What a `begun` for this request would be answered, where that is settled without
    /// one: repeats of a known key cost no append.
    #[must_use]
    pub fn known(&self, key: &OnceKey, request: &str) -> Option<OnceVerdict> {
        let entry = self.keys.get(key)?;
        let other = !entry.request.is_empty() && entry.request != request;
        match &entry.state {
            KeyState::Free => None,
            _ if other => Some(OnceVerdict::Mismatch),
            KeyState::Begun { writer, .. } => Some(OnceVerdict::InProgress { writer: *writer }),
            KeyState::Finished(answer) => Some(OnceVerdict::Finished(answer.clone())),
            KeyState::Lost => Some(OnceVerdict::Lost),
        }
    }

    /// How many keys are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Drops the keys whose window has passed. Only time in the log counts, so every
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
            dead: Vec::new(),
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
        if Safeguard::DeadAttempt.is_active() && entry.dead.contains(&(at.writer, attempt)) {
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
        entry.dead.push((at.writer, attempt));
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

    /// The permission to send is still this attempt's if the key's state says so: whoever
    /// holds it has not been told yet, so it has not been used.
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

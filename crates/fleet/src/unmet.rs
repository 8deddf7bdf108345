//! What callers asked for in vain, until it is served.
//!
//! A rate fades within seconds, and with it who asked for a model or adapter that no engine could be
//! ordered to load just then. What is unmet does not fade: whoever saw a caller go away empty-handed
//! says so again and again, to whichever daemon plans, and the one that waits longest comes first.

use serde::{Deserialize, Serialize};
use shaleline_types::{Adapter, Millis, Model};
use std::collections::BTreeMap;

/// Nobody comes back after so long without an attempt: what was asked for is given up.
const FORGET_MS: u64 = 30_000;

/// So many callers of one adapter who come back are told apart; a rare one has few.
const MOST_BACKS: usize = 8;

/// A model, and an adapter of it where one is asked for.
type Key = (Model, Option<Adapter>);

/// How long callers have asked for something in vain, and how often.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unmet {
    /// The time since the first of them, in milliseconds.
    pub waited: u32,
    /// The time since the last, in milliseconds.
    pub last_age: u32,
    /// Their attempts; none where one was served since and others are told to come back.
    pub attempts: u32,
    /// The time until the first of those that were told to comes back, in milliseconds; 0 where all are
    /// back.
    pub next_retry: u32,
    /// The same for the last of them.
    pub last_retry: u32,
}

impl Unmet {
    /// Adds what was asked for in vain elsewhere.
    pub fn add(&mut self, other: Self) {
        self.waited = self.waited.max(other.waited);
        self.last_age = self.last_age.min(other.last_age);
        self.attempts = self.attempts.saturating_add(other.attempts);
        self.next_retry = match (self.next_retry, other.next_retry) {
            (0, next) | (next, 0) => next,
            (a, b) => a.min(b),
        };
        self.last_retry = self.last_retry.max(other.last_retry);
    }

    /// The same as of `age` milliseconds later: what is passed on has grown old meanwhile.
    #[must_use]
    pub fn aged(self, age: u32) -> Self {
        Self {
            waited: self.waited.saturating_add(age),
            last_age: self.last_age.saturating_add(age),
            attempts: self.attempts,
            next_retry: self.next_retry.saturating_sub(age),
            last_retry: self.last_retry.saturating_sub(age),
        }
    }
}

/// What is unmet of each model and adapter.
pub type UnmetByKey = BTreeMap<Key, Unmet>;

#[derive(Debug, Clone)]
struct Vain {
    first: Millis,
    last: Millis,
    tries: u32,
    /// When those come back who have not yet, the first one first.
    backs: Vec<Millis>,
}

impl Vain {
    /// Notes when a caller comes back. Of too many the first ones and the last are kept.
    fn note_back(&mut self, back: Millis, now: Millis) {
        self.backs.retain(|b| *b > now);
        let at = self.backs.partition_point(|b| *b <= back);
        self.backs.insert(at, back);
        if self.backs.len() > MOST_BACKS {
            self.backs.remove(MOST_BACKS - 1);
        }
    }

    /// The time until a caller comes back, in milliseconds; the first one first.
    fn backs(&self, now: Millis) -> impl DoubleEndedIterator<Item = u64> + '_ {
        self.backs
            .iter()
            .map(move |b| b.since(now))
            .filter(|b| *b > 0)
    }
}

/// What the callers of one daemon asked for in vain.
#[derive(Debug, Default)]
pub struct UnmetDemand {
    keys: BTreeMap<Key, Vain>,
}

impl UnmetDemand {
    /// Notes that a caller went away empty-handed, as no engine served what it asked for, and after which
    /// time it was told to come back.
    pub fn record(&mut self, model: &Model, adapter: Option<&Adapter>, retry: Millis, now: Millis) {
        let key = (model.clone(), adapter.cloned());
        let vain = self.keys.entry(key).or_insert(Vain {
            first: now,
            last: now,
            tries: 0,
            backs: Vec::new(),
        });
        vain.last = now;
        vain.tries += 1;
        vain.note_back(now.plus(retry.0), now);
    }

    /// Notes that a caller was served. Others who were told to come back still do.
    pub fn on_served(&mut self, model: &Model, adapter: Option<&Adapter>, now: Millis) {
        if self.keys.is_empty() {
            return;
        }
        let key = (model.clone(), adapter.cloned());
        if let Some(vain) = self.keys.get_mut(&key) {
            vain.first = now;
            vain.tries = 0;
            if vain.backs(now).next().is_none() {
                self.keys.remove(&key);
            }
        }
    }

    /// What is unmet, at most so many keys: those that wait longest.
    pub fn longest(&mut self, most: usize, now: Millis) -> Vec<(&Model, Option<&Adapter>, Unmet)> {
        self.keys.retain(|_, v| now.since(v.last) < FORGET_MS);
        let mut all: Vec<(&Key, &Vain)> = self.keys.iter().collect();
        all.sort_by_key(|(_, v)| v.first);
        all.truncate(most);
        let millis = |ms: u64| u32::try_from(ms).unwrap_or(u32::MAX);
        let age = |at: Millis| millis(now.since(at));
        let unmet = |v: &Vain| Unmet {
            waited: age(v.first),
            last_age: age(v.last),
            attempts: v.tries,
            next_retry: millis(v.backs(now).next().unwrap_or(0)),
            last_retry: millis(v.backs(now).next_back().unwrap_or(0)),
        };
        let told = all.into_iter();
        told.map(|((m, a), v)| (m, a.as_ref(), unmet(v))).collect()
    }
}

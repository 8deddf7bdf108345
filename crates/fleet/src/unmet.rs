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

/// A model, and an adapter of it where one is asked for.
type Key = (Model, Option<Adapter>);

/// How long callers have asked for something in vain, and how often.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unmet {
    /// The time since the first of them, in milliseconds.
    pub waited: u32,
    /// The time since the last, in milliseconds.
    pub last: u32,
    /// Their attempts.
    pub tries: u32,
    /// The time until the last of those that were told to comes back, in milliseconds; 0 where that is
    /// over.
    pub back: u32,
}

impl Unmet {
    /// Adds what was asked for in vain elsewhere.
    pub fn add(&mut self, other: Self) {
        self.waited = self.waited.max(other.waited);
        self.last = self.last.min(other.last);
        self.tries = self.tries.saturating_add(other.tries);
        self.back = self.back.max(other.back);
    }
}

/// What is unmet of each model and adapter.
pub type UnmetByKey = BTreeMap<Key, Unmet>;

#[derive(Debug, Clone, Copy)]
struct Vain {
    first: Millis,
    last: Millis,
    tries: u32,
    /// When the last of them comes back.
    back: Millis,
}

/// What the callers of one daemon asked for in vain.
#[derive(Debug, Default)]
pub struct UnmetDemand {
    keys: BTreeMap<Key, Vain>,
}

impl UnmetDemand {
    /// Notes that a caller went away empty-handed, as no engine served what it asked for, and after which
    /// time it was told to come back.
    pub fn note(&mut self, model: &Model, adapter: Option<&Adapter>, retry: Millis, now: Millis) {
        let key = (model.clone(), adapter.cloned());
        let vain = self.keys.entry(key).or_insert(Vain {
            first: now,
            last: now,
            tries: 0,
            back: now,
        });
        vain.last = now;
        vain.back = vain.back.max(now.plus(retry.0));
        vain.tries += 1;
    }

    /// Notes that a caller was served.
    pub fn on_served(&mut self, model: &Model, adapter: Option<&Adapter>) {
        if !self.keys.is_empty() {
            self.keys.remove(&(model.clone(), adapter.cloned()));
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
            last: age(v.last),
            tries: v.tries,
            back: millis(v.back.since(now)),
        };
        let told = all.into_iter();
        told.map(|((m, a), v)| (m, a.as_ref(), unmet(v))).collect()
    }
}

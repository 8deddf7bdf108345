//! Requests that no engine could serve, recorded until they are served.
//!
//! A request rate decays within seconds, and so do the requests for a model or adapter that no
//! engine could be ordered to load at that time. Unmet demand does not decay: the daemon that
//! refused a caller reports it repeatedly to the current planner, and the longest wait comes first.

use serde::{Deserialize, Serialize};
use shaleline_types::{Adapter, Millis, Model};
use std::collections::BTreeMap;

/// Unmet demand expires after this time without an attempt: its callers do not retry any more.
const EXPIRY_MS: u64 = 30_000;

/// The maximum number of retries that are kept for one adapter; a rarely requested one has few
/// callers.
const MAX_RETRIES: usize = 8;

/// A model, and an adapter of it if one is requested.
type Key = (Model, Option<Adapter>);

/// The duration and the number of attempts of unmet demand for one model or adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unmet {
    /// The time since the first attempt, in milliseconds.
    pub waited: u32,
    /// The time since the last attempt, in milliseconds.
    pub last_age: u32,
    /// The number of attempts; 0 if one was served since and other callers are still to retry.
    pub attempts: u32,
    /// The time until the first expected retry, in milliseconds; 0 if none is expected.
    pub next_retry: u32,
    /// The time until the last expected retry, in milliseconds; 0 if none is expected.
    pub last_retry: u32,
}

impl Unmet {
    /// Adds the unmet demand at another daemon.
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

    /// Returns the same demand as of `age` milliseconds later, since it ages while it is forwarded.
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

/// The unmet demand for each model and adapter.
pub type UnmetByKey = BTreeMap<Key, Unmet>;

#[derive(Debug, Clone)]
struct UnmetRecord {
    since: Millis,
    last: Millis,
    attempts: u32,
    /// The expected times of retries, in ascending order.
    retries: Vec<Millis>,
}

impl UnmetRecord {
    /// Records when a caller will retry. If there are too many, the first ones and the last are
    /// kept.
    fn record_retry(&mut self, retry_at: Millis, now: Millis) {
        self.retries.retain(|b| *b > now);
        let at = self.retries.partition_point(|b| *b <= retry_at);
        self.retries.insert(at, retry_at);
        if self.retries.len() > MAX_RETRIES {
            self.retries.remove(MAX_RETRIES - 1);
        }
    }

    /// The times until the expected retries in milliseconds, in ascending order.
    fn retries(&self, now: Millis) -> impl DoubleEndedIterator<Item = u64> + '_ {
        self.retries
            .iter()
            .map(move |b| b.since(now))
            .filter(|b| *b > 0)
    }
}

/// The unmet demand at one daemon.
#[derive(Debug, Default)]
pub struct UnmetDemand {
    keys: BTreeMap<Key, UnmetRecord>,
}

impl UnmetDemand {
    /// Records that a caller was refused since no engine served its model or adapter, and the
    /// retry-after time that it was given.
    pub fn record(&mut self, model: &Model, adapter: Option<&Adapter>, retry: Millis, now: Millis) {
        let record = self.record_at(model, adapter, now);
        record.attempts += 1;
        record.record_retry(now.plus(retry.0), now);
    }

    /// Records that a caller of an adapter was refused again on its retry. It does not retry once
    /// more, but its demand would be unknown if the daemon that refused it first can't report it.
    pub fn record_again(&mut self, model: &Model, adapter: &Adapter, now: Millis) {
        let record = self.record_at(model, Some(adapter), now);
        record.attempts = record.attempts.max(1);
    }

    /// The record of a model or adapter with an attempt now.
    fn record_at(
        &mut self,
        model: &Model,
        adapter: Option<&Adapter>,
        now: Millis,
    ) -> &mut UnmetRecord {
        let key = (model.clone(), adapter.cloned());
        let record = self.keys.entry(key).or_insert(UnmetRecord {
            since: now,
            last: now,
            attempts: 0,
            retries: Vec::new(),
        });
        record.last = now;
        record
    }

    /// Records that a caller was served. Other callers with a retry-after time still retry.
    pub fn on_served(&mut self, model: &Model, adapter: Option<&Adapter>, now: Millis) {
        if self.keys.is_empty() {
            return;
        }
        let key = (model.clone(), adapter.cloned());
        if let Some(record) = self.keys.get_mut(&key) {
            record.since = now;
            record.attempts = 0;
            if record.retries(now).next().is_none() {
                self.keys.remove(&key);
            }
        }
    }

    /// Returns the unmet demand with the longest waits, at most `limit` keys.
    pub fn longest(&mut self, limit: usize, now: Millis) -> Vec<(&Model, Option<&Adapter>, Unmet)> {
        self.keys.retain(|_, v| now.since(v.last) < EXPIRY_MS);
        let mut all: Vec<(&Key, &UnmetRecord)> = self.keys.iter().collect();
        all.sort_by_key(|(_, v)| v.since);
        all.truncate(limit);
        let millis = |ms: u64| u32::try_from(ms).unwrap_or(u32::MAX);
        let age = |at: Millis| millis(now.since(at));
        let unmet = |v: &UnmetRecord| Unmet {
            waited: age(v.since),
            last_age: age(v.last),
            attempts: v.attempts,
            next_retry: millis(v.retries(now).next().unwrap_or(0)),
            last_retry: millis(v.retries(now).next_back().unwrap_or(0)),
        };
        let entries = all.into_iter();
        entries
            .map(|((m, a), v)| (m, a.as_ref(), unmet(v)))
            .collect()
    }
}

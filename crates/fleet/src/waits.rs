//! Tracks how long callers have waited for adapters that no engine holds, as seen by a planner.

use crate::adapters::AdapterCopies;
use crate::draft::Draft;
use crate::{Order, PlanNote, PlanView, Unmet, WaitReason};
use shaleline_types::{Adapter, Millis, Model};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// A caller retries at most this much after its retry-after time.
const RETRY_LATE_MS: u64 = 250;

/// An adapter may evict another this long before a caller retries: unloading one and loading the
/// other takes two orders, which may wait for others.
const RETRY_LEAD_MS: u64 = 600;

/// Two retry times of one adapter that differ by less than this are taken for the same retry.
const SAME_RETRY_MS: u64 = 100;

/// An adapter that was loaded for a wait is retained for its next caller no longer than this, as
/// others wait too.
const MAX_RETENTION_MS: u64 = 2_000;

/// If there may be no planner when a caller retries, an adapter is loaded for it at most this
/// early.
const GAP_LEAD_MS: u64 = 5_000;

/// The longest waits are reported at this interval, at most this many at a time.
const REPORT_INTERVAL_MS: u64 = 2_000;
const MAX_REPORTED: usize = 8;

/// An adapter without requests for this time is forgotten.
const EXPIRY_MS: u64 = 30_000;

/// A model, and an adapter of it if one is requested.
type Key = (Model, Option<Adapter>);

/// A wait for an adapter that no engine holds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wait {
    /// The time since the first unserved request, in milliseconds.
    pub(crate) waited: u64,
    /// Whether a request was refused; if not, the wait is known only by the request rate.
    pub(crate) refused: bool,
    /// Whether a caller is about to retry.
    pub(crate) due: bool,
    /// Whether a caller retries within some seconds, when there may be no planner.
    pub(crate) soon: bool,
}

/// The adapters that callers wait for, as seen by one plan.
#[derive(Debug, Default)]
pub(crate) struct AdapterWaits<'a> {
    /// Those that no engine holds.
    pub(crate) unserved: BTreeMap<&'a Key, Wait>,
    /// Those with a caller about to retry, held or not.
    pub(crate) due: BTreeSet<(&'a Model, &'a Adapter)>,
    /// Those that were loaded for a wait and whose next caller may still come.
    pub(crate) retained: BTreeSet<(&'a Model, &'a Adapter)>,
}

#[derive(Debug, Clone)]
struct WaitRecord {
    /// The time of the first unserved request since the adapter was last held, if there was any.
    waiting_since: Option<Millis>,
    last_demand: Millis,
    last_held: Millis,
    /// The expected retries of refused callers.
    retries: Vec<Millis>,
    /// The mean interval between two unserved requests, while no engine holds it.
    retry_interval: u64,
    /// The time until which it is retained for its next caller, if it was loaded for a wait.
    retained_until: Millis,
}

/// What a planner remembers of the adapters that callers request.
#[derive(Debug, Default)]
pub(crate) struct WaitTracker {
    known: BTreeMap<Key, WaitRecord>,
    reported: Millis,
}

impl WaitTracker {
    /// Updates the waits from the input of a plan.
    pub(crate) fn observe<'a>(
        &mut self,
        view: &PlanView<'a>,
        copies: &AdapterCopies<'a>,
        now: Millis,
    ) -> AdapterWaits<'a> {
        let unrated = view.unmet.keys().filter(|k| !view.rates.contains_key(k));
        let mut waiting = AdapterWaits::default();
        for key in view.rates.keys().chain(unrated) {
            let Some(adapter) = &key.1 else {
                continue;
            };
            let held = copies.contains_key(&(&key.0, adapter));
            let unmet = view.unmet.get(key);
            let rated = view.rates.contains_key(key);
            let known = self.known.entry(key.clone()).or_insert(WaitRecord {
                waiting_since: None,
                last_demand: now,
                last_held: Millis(0),
                retries: Vec::new(),
                retry_interval: 0,
                retained_until: Millis(0),
            });
            known.record_retries(unmet.copied(), now);
            if held {
                known.record_held(now);
                if now < known.retained_until || (view.after_failure && known.is_soon(now)) {
                    waiting.retained.insert((&key.0, adapter));
                }
            }
            if rated || unmet.is_some_and(|u| known.has_new_refusal(*u, now)) {
                known.last_demand = now;
            }
            let due = known.is_due(now);
            if due {
                waiting.due.insert((&key.0, adapter));
            }
            if !held {
                let refused = unmet.is_some_and(|u| known.has_new_refusal(*u, now));
                let soon = view.after_failure && known.is_soon(now);
                let reported = unmet.copied().filter(|_| refused || due || soon);
                let waited = known.waited(reported, rated, now);
                let wait = |waited| Wait {
                    waited,
                    refused,
                    due,
                    soon,
                };
                waiting.unserved.extend(waited.map(|w| (key, wait(w))));
            }
        }
        let is_asked = |known: &WaitRecord| now.since(known.last_demand) < EXPIRY_MS;
        self.known.retain(|_, known| is_asked(known));
        waiting
    }

    /// Returns the longest waits that the plan leaves, with the reason, at a limited rate.
    pub(crate) fn report(&mut self, draft: &Draft<'_>) -> Vec<PlanNote> {
        let now = draft.snapshot.now;
        if now.since(self.reported) < REPORT_INTERVAL_MS || draft.waiting.unserved.is_empty() {
            return Vec::new();
        }
        self.reported = now;
        let unserved = draft.waiting.unserved.iter();
        let mut waits: Vec<(&Key, Wait)> = unserved.map(|(k, w)| (*k, *w)).collect();
        waits.sort_by_key(|(_, w)| Reverse(w.waited));
        let longest = waits.into_iter().take(MAX_REPORTED);
        longest.filter_map(|(k, w)| to_note(draft, k, w)).collect()
    }
}

fn to_note(draft: &Draft<'_>, key: &Key, wait: Wait) -> Option<PlanNote> {
    let snapshot = draft.snapshot;
    let adapter = key.1.as_ref()?;
    let serving = &snapshot.servers[snapshot.model_index.get(&key.0)?];
    let about = |o: &Order| o.model == key.0 && o.adapter.as_ref() == Some(adapter);
    let ready = |p: &usize| {
        let entry = snapshot.engines[*p];
        entry.summary.takes_orders && entry.cooldown == Millis(0)
    };
    let why = if draft.orders.iter().any(about) {
        WaitReason::Ordered
    } else if serving.is_empty() {
        WaitReason::ModelAway
    } else if serving.iter().any(ready) {
        WaitReason::NoSlot
    } else {
        WaitReason::EnginesBusy
    };
    Some(PlanNote::AdapterAway {
        model: key.0.clone(),
        adapter: adapter.clone(),
        waited: Millis(wait.waited),
        asked: snapshot.view.rates.get(key).map_or(0.0, |r| r.count),
        serving: serving.len(),
        why,
    })
}

impl WaitRecord {
    /// Whether a caller was refused after the adapter was last held.
    fn has_new_refusal(&self, unmet: Unmet, now: Millis) -> bool {
        unmet.attempts > 0 && now.since(self.last_held) > u64::from(unmet.last_age)
    }

    /// Records when callers will retry. Repeated reports of one retry differ by the latency of the
    /// datagrams.
    fn record_retries(&mut self, unmet: Option<Unmet>, now: Millis) {
        self.retries.retain(|at| now.since(*at) < RETRY_LATE_MS);
        let reported = unmet.into_iter().flat_map(|u| [u.next_retry, u.last_retry]);
        for at in reported.filter(|t| *t > 0).map(|t| now.plus(u64::from(t))) {
            let is_same = |known: &Millis| known.since(at).max(at.since(*known)) < SAME_RETRY_MS;
            if !self.retries.iter().any(is_same) {
                self.retries.push(at);
            }
        }
    }

    /// Whether a refused caller is about to retry.
    fn is_due(&self, now: Millis) -> bool {
        let is_near = |at: Millis| now.since(at) < RETRY_LATE_MS && at.since(now) < RETRY_LEAD_MS;
        self.retries.iter().copied().any(is_near)
    }

    /// Whether a caller retries within some seconds.
    fn is_soon(&self, now: Millis) -> bool {
        let is_soon = |at: &Millis| *at > now && at.since(now) < GAP_LEAD_MS;
        self.retries.iter().any(is_soon)
    }

    /// Records that an engine holds the adapter. One that was waited for is retained until its next
    /// caller can be expected.
    fn record_held(&mut self, now: Millis) {
        self.last_held = now;
        if self.waiting_since.take().is_some() {
            self.retained_until = now.plus(self.retry_interval.min(MAX_RETENTION_MS));
        }
    }

    /// Returns how long callers have waited, in milliseconds, if any did.
    fn waited(&mut self, unmet: Option<Unmet>, rated: bool, now: Millis) -> Option<u64> {
        let reported = unmet.map(|u| Millis(now.0.saturating_sub(u64::from(u.waited))));
        let seen = rated.then_some(now);
        let waiting_since = [self.waiting_since, reported, seen]
            .into_iter()
            .flatten()
            .min()?;
        let waiting_since = waiting_since.max(self.last_held);
        self.waiting_since = Some(waiting_since);
        let waited = now.since(waiting_since);
        self.retry_interval = unmet.map_or(0, |u| waited / u64::from(u.attempts.max(1)));
        Some(waited)
    }
}

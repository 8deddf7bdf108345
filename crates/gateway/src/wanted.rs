//! The adapters that callers wait for, as the daemons report them to the planner.

use crate::message::WantedReport;
use crate::request::ADAPTER_RETRY;
use crate::wanted_reports::{RETRY_LATE_MS, SAME_RETRY_MS};
use shaleline_fleet::Unmet;
use shaleline_types::{Adapter, Millis, Model};
use std::collections::BTreeMap;

/// The time for which an adapter that a request waits for counts as wanted.
const WANTED_MS: u64 = 2_000;

/// The maximum number of retries that are kept for one adapter, the first ones and the last.
const MAX_RETRIES: usize = 8;

/// A retry that is already due is expected after this time, so that the next plan counts it.
const MIN_RETRY_MS: u64 = 100;

/// A model and an adapter of it.
type Key = (Model, Adapter);

/// A caller that will retry.
#[derive(Debug, Clone, Copy)]
struct Retry {
    /// When the caller came or was refused.
    since: Millis,
    at: Millis,
}

#[derive(Debug, Default)]
struct Wanted {
    /// When the latest caller came or was refused.
    last: Millis,
    /// The latest request that has no report yet: it waits, or its report is on the way.
    request: Option<Retry>,
    /// The reported retries, in ascending order.
    retries: Vec<Retry>,
}

impl Retry {
    fn is_same(&self, other: &Self) -> bool {
        self.at.since(other.at).max(other.at.since(self.at)) < SAME_RETRY_MS
    }
}

impl Wanted {
    fn record(&mut self, retry: Retry) {
        let same = self.retries.iter_mut().find(|r| r.is_same(&retry));
        if let Some(same) = same {
            same.since = same.since.min(retry.since);
            return;
        }
        let at = self.retries.partition_point(|r| r.at <= retry.at);
        self.retries.insert(at, retry);
        if self.retries.len() > MAX_RETRIES {
            self.retries.remove(MAX_RETRIES - 1);
        }
    }

    fn unmet(&self, now: Millis) -> Unmet {
        let millis = |ms: u64| u32::try_from(ms).unwrap_or(u32::MAX);
        let all = || self.request.iter().chain(&self.retries);
        let since = all().map(|r| r.since).min().unwrap_or(self.last);
        let expected = || all().map(|r| r.at.since(now)).filter(|t| *t > 0);
        Unmet {
            waited: millis(now.since(since)),
            last_age: millis(now.since(self.last)),
            // The load reports count the attempts.
            attempts: 1,
            next_retry: millis(expected().min().unwrap_or(0)),
            last_retry: millis(expected().max().unwrap_or(0)),
        }
    }
}

/// The adapters that callers wait for.
#[derive(Debug, Default)]
pub(crate) struct WantedAdapters {
    known: BTreeMap<Key, Wanted>,
}

impl WantedAdapters {
    /// Records that a request needs an adapter. It is expected to be refused with
    /// [`ADAPTER_RETRY`], or to wait that long, until a refusal is reported.
    pub(crate) fn on_request(&mut self, model: &Model, adapter: &Adapter, now: Millis) {
        let key = (model.clone(), adapter.clone());
        let wanted = self.known.entry(key).or_default();
        wanted.last = now;
        wanted.request = Some(Retry {
            since: now,
            at: now.plus(ADAPTER_RETRY.0),
        });
    }

    /// Records when a refused caller will retry.
    pub(crate) fn on_report(&mut self, report: &WantedReport, now: Millis) {
        let key = (report.model.clone(), report.adapter.clone());
        let wanted = self.known.entry(key).or_default();
        let since = Millis(now.0.saturating_sub(u64::from(report.waited)));
        wanted.last = wanted.last.max(since);
        let at = now.plus(u64::from(report.retry).max(MIN_RETRY_MS));
        wanted.request = None;
        wanted.record(Retry { since, at });
    }

    /// Removes what is no longer wanted.
    pub(crate) fn prune(&mut self, now: Millis) {
        let is_live = |r: &Retry| now.since(r.at) < RETRY_LATE_MS;
        self.known.retain(|_, w| {
            w.request = w.request.filter(is_live);
            w.retries.retain(is_live);
            !w.retries.is_empty() || now.since(w.last) < WANTED_MS
        });
    }

    /// Returns the unmet demand for each adapter, and whether it counts as requested now.
    pub(crate) fn unmet(&self, now: Millis) -> impl Iterator<Item = (&Key, Unmet, bool)> {
        let all = self.known.iter();
        all.map(move |(k, w)| (k, w.unmet(now), now.since(w.last) < WANTED_MS))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    #[cfg(test)]
    pub(crate) fn contains_key(&self, key: &Key) -> bool {
        self.known.contains_key(key)
    }
}

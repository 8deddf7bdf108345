//! The queue of a route: by priority, then by organisation.

use shaleline_types::{Millis, Org, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// A request in the queue.
#[derive(Debug, Clone)]
pub(crate) struct QueuedRequest {
    pub(crate) id: RequestId,
    pub(crate) due: Millis,
    /// Whether only upstreams of one software version may serve it.
    pub(crate) bound: bool,
}

/// A request that may be the next of one organisation's queue.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Head<'a> {
    pub(crate) priority: u8,
    pub(crate) org: &'a Org,
    pub(crate) id: RequestId,
}

/// The queues of one route, by priority and organisation.
#[derive(Debug, Default)]
pub(crate) struct RouteQueue {
    subqueues: BTreeMap<(u8, Org), VecDeque<QueuedRequest>>,
    len: usize,
    /// The mean time between two departures while requests were queued.
    mean_interval: Option<f64>,
    last_departure: Option<Millis>,
}

impl RouteQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(crate) fn push(&mut self, priority: u8, org: &Org, waiting: QueuedRequest, first: bool) {
        let line = self.subqueues.entry((priority, org.clone())).or_default();
        if first {
            line.push_front(waiting);
        } else {
            line.push_back(waiting);
        }
        self.len += 1;
    }

    /// Returns the first request of every organisation and priority: where an organisation with
    /// urgent requests has no slots left, the others come next.
    pub(crate) fn heads(&self) -> impl Iterator<Item = Head<'_>> {
        self.heads_where(|_| true)
    }

    /// Returns the same, passing over requests that don't count.
    pub(crate) fn heads_where<'a>(
        &'a self,
        counts: impl Fn(RequestId) -> bool + 'a,
    ) -> impl Iterator<Item = Head<'a>> {
        let lines = self.subqueues.iter();
        lines.filter_map(move |((priority, org), line)| {
            let id = line.iter().map(|w| w.id).find(|id| counts(*id))?;
            Some(Head {
                priority: *priority,
                org,
                id,
            })
        })
    }

    /// Returns the queued requests that are bound to a software version.
    pub(crate) fn bound_ids(&self) -> impl Iterator<Item = RequestId> + '_ {
        let queued = self.subqueues.values().flatten();
        queued.filter(|w| w.bound).map(|w| w.id)
    }

    /// Returns how many queued requests would be served before a new one of this priority, counting
    /// only a fair share of each other organisation's queue.
    pub(crate) fn ahead(&self, priority: u8, org: &Org) -> usize {
        let own = self
            .subqueues
            .get(&(priority, org.clone()))
            .map_or(0, VecDeque::len);
        let before = |((p, o), line): (&(u8, Org), &VecDeque<QueuedRequest>)| {
            if *p < priority {
                line.len()
            } else if *p == priority && o != org {
                line.len().min(own + 1)
            } else {
                0
            }
        };
        own + self.subqueues.iter().map(before).sum::<usize>()
    }

    pub(crate) fn remove(&mut self, priority: u8, org: &Org, id: RequestId) -> bool {
        let key = (priority, org.clone());
        let Some(line) = self.subqueues.get_mut(&key) else {
            return false;
        };
        let Some(index) = line.iter().position(|w| w.id == id) else {
            return false;
        };
        line.remove(index);
        self.len -= 1;
        if self.len == 0 {
            self.last_departure = None;
        }
        if line.is_empty() {
            self.subqueues.remove(&key);
        }
        true
    }

    /// Records that a request was sent to an upstream.
    pub(crate) fn on_departure(&mut self, now: Millis) {
        if let Some(last) = self.last_departure {
            let gap = now.since(last) as f64;
            let mean = self.mean_interval.map_or(gap, |m| m * 0.9 + gap * 0.1);
            self.mean_interval = Some(mean);
        }
        self.last_departure = (!self.is_empty()).then_some(now);
    }

    /// Returns the expected wait of a request with `ahead` requests before it, if known.
    pub(crate) fn expected_wait(&self, ahead: usize, now: Millis) -> Option<Millis> {
        let mean = self.mean_interval?;
        let silent = self.last_departure.map_or(0, |l| now.since(l)) as f64;
        let mean = if ahead > 0 { mean.max(silent) } else { mean };
        Some(Millis((mean * (ahead + 1) as f64) as u64))
    }

    /// Returns the requests that are past their latest start.
    pub(crate) fn overdue(&self, now: Millis) -> Vec<RequestId> {
        let waiting = self.subqueues.values().flatten();
        waiting.filter(|w| w.due <= now).map(|w| w.id).collect()
    }

    /// Returns all queued requests.
    pub(crate) fn ids(&self) -> Vec<RequestId> {
        self.subqueues.values().flatten().map(|w| w.id).collect()
    }
}

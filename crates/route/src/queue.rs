//! The queue of a route: by level, organisation and size, and by latest start.

use crate::returns::Returns;
use crate::schedule::{Waiting, LATE_INTERVAL};
use shaleline_types::{Millis, Org, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// Time for which a refusal for lack of capacity shows that requests of its level have no slack:
/// several times the interval between refusals where a kind is short of capacity.
const SCARCE_MS: u64 = 1_000;

/// A request in the queue.
#[derive(Debug, Clone)]
pub(crate) struct QueuedRequest {
    pub(crate) id: RequestId,
    pub(crate) due: Millis,
    /// Whether only upstreams of one software version may serve it.
    pub(crate) bound: bool,
    /// The latest start with which it is in time, if its target is known.
    pub(crate) latest: Option<Millis>,
    /// When it was queued.
    pub(crate) arrived: Millis,
}

impl QueuedRequest {
    fn latest_or_end(&self) -> Millis {
        self.latest.unwrap_or(Millis(u64::MAX))
    }
}

/// What the requests of one subqueue have in common.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Line {
    /// See [`crate::level`].
    pub(crate) level: u8,
    pub(crate) org: Org,
    /// The class of their work, see [`crate::schedule::size_class`].
    pub(crate) size: u8,
}

/// A request that may be the next of its subqueue.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Head<'a> {
    pub(crate) line: &'a Line,
    pub(crate) id: RequestId,
    pub(crate) latest: Option<Millis>,
    pub(crate) arrived: Millis,
}

impl<'a> Head<'a> {
    fn new(line: &'a Line, first: &QueuedRequest) -> Self {
        Self {
            line,
            id: first.id,
            latest: first.latest,
            arrived: first.arrived,
        }
    }
}

/// The queues of one route.
#[derive(Debug, Default)]
pub(crate) struct RouteQueue {
    /// The requests of each subqueue, the earliest latest start first.
    subqueues: BTreeMap<Line, VecDeque<QueuedRequest>>,
    len: usize,
    /// The mean time between two departures while requests were queued.
    mean_interval: Option<f64>,
    last_departure: Option<Millis>,
    /// See [`RouteQueue::scarce`].
    scarce: Option<(u8, Millis)>,
    /// When callers that were refused for lack of capacity come back.
    pub(crate) returns: Returns,
}

impl RouteQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(crate) fn push(&mut self, line: Line, waiting: QueuedRequest, first: bool) {
        let queue = self.subqueues.entry(line).or_default();
        let latest = waiting.latest_or_end();
        let index = match first {
            true => queue.partition_point(|w| w.latest_or_end() < latest),
            false => queue.partition_point(|w| w.latest_or_end() <= latest),
        };
        queue.insert(index, waiting);
        self.len += 1;
    }

    /// Returns the first request of every subqueue, among those that can be in time and among the
    /// others: where an organisation with urgent requests has no slots left, the others come next.
    pub(crate) fn heads(&self, now: Millis) -> impl Iterator<Item = Head<'_>> {
        self.subqueues.iter().flat_map(move |(line, queue)| {
            let late = queue.partition_point(|w| w.latest_or_end() < now);
            let firsts = [queue.get(late), queue.front().filter(|_| late > 0)];
            let firsts = firsts.into_iter().flatten();
            firsts.map(move |first| Head::new(line, first))
        })
    }

    /// Returns the first request that counts in the part of a subqueue that begins with a head.
    pub(crate) fn next_in_line(
        &self,
        head: &Head<'_>,
        now: Millis,
        counts: impl Fn(RequestId) -> bool,
    ) -> Option<Head<'_>> {
        let (line, queue) = self.subqueues.get_key_value(head.line)?;
        let late = queue.partition_point(|w| w.latest_or_end() < now);
        let mut part = match head.latest.is_some_and(|latest| latest < now) {
            true => queue.range(..late),
            false => queue.range(late..),
        };
        let next = part.find(|w| counts(w.id))?;
        Some(Head::new(line, next))
    }

    /// Returns all queued requests as the order sees them; `over` tells whether an organisation
    /// exceeds its share.
    pub(crate) fn waiting<'a>(
        &'a self,
        over: impl Fn(&Org) -> bool + 'a,
    ) -> impl Iterator<Item = Waiting> + 'a {
        self.subqueues.iter().flat_map(move |(line, queue)| {
            let over = over(&line.org);
            queue.iter().map(move |w| Waiting {
                level: line.level,
                latest: w.latest,
                over,
            })
        })
    }

    /// Records that a request of this level, within its organisation's share, was refused for
    /// lack of capacity.
    pub(crate) fn on_shed(&mut self, level: u8, now: Millis) {
        if self.scarce(now).is_none_or(|l| level <= l) {
            self.scarce = Some((level, now));
        }
    }

    /// Returns the most urgent level of which a request was refused recently.
    pub(crate) fn scarce(&self, now: Millis) -> Option<u8> {
        let recent = self.scarce.filter(|(_, at)| now.since(*at) < SCARCE_MS);
        recent.map(|(level, _)| level)
    }

    /// Returns the mean time in milliseconds between two departures while requests were queued.
    pub(crate) fn interval(&self) -> Option<f64> {
        self.mean_interval
    }

    /// Returns the queued requests that are bound to a software version.
    pub(crate) fn bound_ids(&self) -> impl Iterator<Item = RequestId> + '_ {
        let queued = self.subqueues.values().flatten();
        queued.filter(|w| w.bound).map(|w| w.id)
    }

    /// Returns how many queued requests would be served before a new one of this level and latest
    /// start, counting only a fair share of each other organisation's queue. Those that are late
    /// don't count.
    pub(crate) fn ahead(&self, level: u8, org: &Org, latest: Option<Millis>, now: Millis) -> usize {
        let latest = latest.unwrap_or(Millis(u64::MAX));
        let (mut own, mut before) = (0, 0);
        let mut others: BTreeMap<&Org, usize> = BTreeMap::new();
        let lines = self.subqueues.iter().take_while(|(l, _)| l.level <= level);
        for (line, queue) in lines {
            let late = queue.partition_point(|w| w.latest_or_end() < now);
            let earlier = queue.partition_point(|w| w.latest_or_end() <= latest);
            if line.level < level {
                before += queue.len() - late;
            } else if line.org == *org {
                own += earlier.saturating_sub(late);
            } else {
                *others.entry(&line.org).or_default() += earlier.saturating_sub(late);
            }
        }
        let others: usize = others.values().map(|len| *len.min(&(own + 1))).sum();
        own + before + others
    }

    /// Returns the wait in milliseconds after which a new request that is late would start: late
    /// ones get at least one departure in [`LATE_INTERVAL`].
    pub(crate) fn late_wait(&self, now: Millis) -> Option<Millis> {
        let late = |q: &VecDeque<QueuedRequest>| q.partition_point(|w| w.latest_or_end() < now);
        let ahead: usize = self.subqueues.values().map(late).sum();
        let departures = (ahead + 1) as u64 * LATE_INTERVAL;
        Some(Millis((departures as f64 * self.mean_interval?) as u64))
    }

    pub(crate) fn remove(&mut self, level: u8, org: &Org, id: RequestId) -> bool {
        let key = |size| Line {
            level,
            org: org.clone(),
            size,
        };
        let mut lines = self.subqueues.range_mut(key(0)..=key(u8::MAX));
        let found = lines.find_map(|(line, queue)| {
            let index = queue.iter().position(|w| w.id == id)?;
            queue.remove(index);
            Some((line.clone(), queue.is_empty()))
        });
        let Some((line, empty)) = found else {
            return false;
        };
        self.len -= 1;
        if self.len == 0 {
            self.last_departure = None;
        }
        if empty {
            self.subqueues.remove(&line);
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

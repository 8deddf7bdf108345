//! An engine that names limits in its answers, crashes if it has to reject too much, and starts
//! again under its name.

use shaleline_types::{Model, Upstream};

/// The window in which requests are counted, the time after a limit was named from which it holds,
/// and the tolerance: a factor and a number of requests.
pub const WINDOW_MS: u64 = 4_000;
const NOTICE_MS: u64 = 3_000;
const TOLERANCE: (f64, f64) = (1.5, 5.0);

/// The window in which rejections are counted.
const REJECTION_WINDOW_MS: u64 = 1_000;

/// An engine that crashes if it has to reject more requests in a second.
#[derive(Debug, Clone, Copy)]
pub struct Fragile {
    pub max_rejections: f64,
    /// The requests that wait there.
    pub queue: usize,
    /// The time after the first naming from which no more than these wait.
    pub notice: u64,
}

/// Why engines crashed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Crashes {
    pub all: usize,
    /// Those before which daemons in touch sent most of the requests that were rejected.
    pub by_touched: usize,
}

pub struct Engine {
    pub name: Upstream,
    pub models: Vec<Model>,
    pub limit: Option<f64>,
    /// The limits that it named, each with the time.
    pub named: Vec<(u64, Option<f64>)>,
    pub arrivals: Vec<u64>,
    /// With the time of the first naming.
    pub fragile: Option<(u64, Fragile)>,
    /// Whether its answers say that it is leaving.
    pub leaving: bool,
    /// Until when it turns every request away, asking for rest until then.
    pub sheds_until: u64,
    /// The requests that run or wait.
    pub running: usize,
    /// The rejections of the last second, and whether a daemon in touch had sent the request.
    rejections: Vec<(u64, bool)>,
    pub crashes: Crashes,
    /// The number of its starts.
    pub incarnation: u64,
    /// When it starts again, if it is down.
    pub starts_at: Option<u64>,
    /// Whether it crashed and its runs have not ended yet.
    pub crashed: bool,
}

impl Engine {
    pub fn new(name: Upstream, models: Vec<Model>) -> Self {
        Self {
            name,
            models,
            limit: None,
            named: Vec::new(),
            arrivals: Vec::new(),
            fragile: None,
            leaving: false,
            sheds_until: 0,
            running: 0,
            rejections: Vec::new(),
            crashes: Crashes::default(),
            incarnation: 1,
            starts_at: None,
            crashed: false,
        }
    }

    /// The requests that may wait now.
    fn queue(&self, slots: usize, now: u64) -> usize {
        let fragile = self.fragile.filter(|(at, f)| now >= at + f.notice);
        fragile.map_or(usize::MAX - slots, |(_, f)| f.queue)
    }

    /// Whether it has no room for a request that arrives now.
    pub fn rejects(&mut self, slots: usize, in_touch: bool, now: u64) -> bool {
        if self.running < slots + self.queue(slots, now) {
            self.running += 1;
            return false;
        }
        self.rejections
            .retain(|(at, _)| now - at < REJECTION_WINDOW_MS);
        self.rejections.push((now, in_touch));
        let max = self
            .fragile
            .map_or(f64::INFINITY, |(_, f)| f.max_rejections);
        if self.rejections.len() as f64 > max {
            self.crash();
        }
        true
    }

    fn crash(&mut self) {
        let touched = self.rejections.iter().filter(|(_, t)| *t).count();
        self.crashes.all += 1;
        self.crashes.by_touched += usize::from(2 * touched > self.rejections.len());
        self.rejections.clear();
        self.crashed = true;
    }

    /// The largest limit that holds at this time: one that has changed holds for a while longer.
    fn limit_at(&self, time: u64) -> f64 {
        let until = |index: usize| self.named.get(index + 1).map_or(u64::MAX, |(at, _)| *at);
        let named = self.named.iter().enumerate();
        let current =
            named.filter(|(i, (at, _))| *at <= time && time < until(*i).saturating_add(NOTICE_MS));
        let rates = current.map(|(_, (_, rate))| rate.unwrap_or(f64::INFINITY));
        let started = self
            .named
            .first()
            .is_some_and(|(at, _)| time >= at + NOTICE_MS);
        match started {
            true => rates.fold(0.0, f64::max),
            false => f64::INFINITY,
        }
    }

    pub fn excess(&self, end: u64) -> Option<String> {
        let first = self.named.first()?.0 + NOTICE_MS;
        let is_whole = |at: &&u64| **at >= first && **at + WINDOW_MS <= end;
        let starts = self.arrivals.iter().filter(is_whole);
        let exceeds = |start: &&u64| {
            let until = **start + WINDOW_MS;
            let count = self
                .arrivals
                .iter()
                .filter(|a| (**start..until).contains(*a));
            let total: f64 = (**start..until).map(|t| self.limit_at(t)).sum();
            let allowed = total / 1_000.0;
            count.count() as f64 > allowed * TOLERANCE.0 + TOLERANCE.1
        };
        let start = starts.into_iter().find(exceeds)?;
        let count = self
            .arrivals
            .iter()
            .filter(|a| (*start..start + WINDOW_MS).contains(*a));
        Some(format!(
            "{} got {} requests in {WINDOW_MS} ms from {start}; limits {:?}",
            self.name,
            count.count(),
            self.named
        ))
    }
}

//! Which upstreams of a service this daemon reaches itself.
//!
//! A failed connection has two possible causes: the upstream, or the path from this daemon. Another
//! daemon's attempt tells them apart: where it succeeds, the path is broken and requests go through
//! a tunnel at such a daemon (`tunnels`); where it fails too, the upstream is down.

use shaleline_route::AnswerTimes;
use shaleline_types::{Millis, Upstream};
use std::collections::{BTreeMap, BTreeSet};

/// The time within which a failed direct connection and a successful tunnel count as one
/// observation.
const SAME_FAILURE_MS: u64 = 1_000;

/// The interval at which a broken path is tried again.
const PROBE_INTERVAL_MS: u64 = 500;

/// The time for which no tunnel is tried to an upstream that other daemons did not reach either.
const UNREACHED_MS: u64 = 500;

/// Time without a byte of an upstream, while requests are sent there, after which the path to it is
/// checked at the latest, and the interval between two such checks. Silence alone is no failure.
const SILENCE_MS: u64 = 400;
const SUSPECT_INTERVAL_MS: u64 = 1_000;

/// A request is overdue after this number of mean times to an answer. Each one costs a connection that
/// checks the path.
const OVERDUE_FACTOR: f64 = 3.0;

/// The number of upstreams without a connection, while no other one answers, from which this daemon
/// can't help others.
const UNABLE_PATHS: usize = 2;

/// The time after a failed connection for which a daemon that can't help others does not try to.
const UNABLE_MS: u64 = 500;

/// The time for which a daemon that was told that others lose their paths doubts its own.
const DOUBT_MS: u64 = 2_000;

/// The number of other paths that are checked when one turns out to be broken. Two broken ones show that
/// all of them may be.
const MAX_CHECKS: usize = 4;

/// The number of broken paths from which this daemon takes all its paths for broken, unless one of
/// them has worked since the first broke.
const CUT_OFF_PATHS: usize = 2;

#[derive(Debug, Clone, Copy)]
struct BrokenPath {
    since: Millis,
    probe_at: Millis,
}

/// What a change of an upstream's path amounts to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PathChange {
    /// The path is broken.
    Broken,
    /// The path works again; it was broken for this long.
    Restored(Millis),
}

/// Since when the paths are in doubt, and when that was last reported.
#[derive(Debug, Clone, Copy)]
struct Doubt {
    since: Millis,
    reported: Millis,
}

/// The paths from this daemon to the upstreams of a service.
#[derive(Debug, Default)]
pub(crate) struct Paths {
    broken: BTreeMap<Upstream, BrokenPath>,
    /// When a direct connection failed, and when a tunnel succeeded.
    failed: BTreeMap<Upstream, Millis>,
    tunnelled: BTreeMap<Upstream, Millis>,
    /// Until when other daemons are not asked for a tunnel.
    unreached: BTreeMap<Upstream, Millis>,
    /// When a direct connection was last opened, to any upstream and to each of them.
    last_opened: Option<Millis>,
    opened: BTreeMap<Upstream, Millis>,
    /// The upstreams that could not be connected to since any of them answered, and when the last
    /// connection failed.
    failing: BTreeSet<Upstream>,
    last_failed: Option<Millis>,
    /// Since when an upstream has sent nothing though requests were sent there.
    silent: BTreeMap<Upstream, Millis>,
    /// When the path to a silent upstream is checked next.
    suspect_at: BTreeMap<Upstream, Millis>,
    /// How long answers on direct connections take to begin.
    answer_times: AnswerTimes,
    doubt: Option<Doubt>,
    /// Whether a path broke, and the others were not checked since.
    unchecked: bool,
}

impl Paths {
    /// Whether requests to the upstream go through a tunnel.
    pub(crate) fn is_broken(&self, upstream: &Upstream) -> bool {
        self.broken.contains_key(upstream) || self.is_cut_off()
    }

    /// Whether this daemon reaches no upstream of the service, as far as it knows.
    pub(crate) fn is_cut_off(&self) -> bool {
        let first = self.broken.values().map(|b| b.since).min();
        let works = |since| self.last_opened.is_some_and(|at| at > since);
        self.broken.len() >= CUT_OFF_PATHS && !first.is_some_and(works)
    }

    /// Whether the path to the upstream has not worked since others were found to be broken, or since
    /// other daemons lose theirs.
    pub(crate) fn is_doubtful(&self, upstream: &Upstream) -> bool {
        let first = self.broken.values().map(|b| b.since).min();
        let opened = self.opened.get(upstream).copied();
        let doubt = self.doubt.map(|d| d.since);
        self.broken.len() >= CUT_OFF_PATHS && opened < first || doubt.is_some() && opened < doubt
    }

    /// Records that other daemons lose their paths to the service.
    pub(crate) fn on_doubt(&mut self, now: Millis) {
        let known = self.doubt.filter(|d| now.since(d.reported) < DOUBT_MS);
        let since = known.map_or(now, |d| d.since);
        self.doubt = Some(Doubt {
            since,
            reported: now,
        });
    }

    /// The time after which a request on a direct connection should have been answered.
    fn overdue(&self) -> u64 {
        self.answer_times.overdue(OVERDUE_FACTOR).0.min(SILENCE_MS)
    }

    /// Whether a request that was sent directly has most likely been lost with its path: its answer
    /// is overdue, nothing of the upstream has arrived since, and no connection opens.
    pub(crate) fn is_lost(&self, upstream: &Upstream, sent: Millis, now: Millis) -> bool {
        let silent = self.silent.get(upstream);
        silent.is_some_and(|since| *since <= sent)
            && now.since(sent) >= self.overdue()
            && self.is_broken(upstream)
    }

    /// The paths to check once another one is broken: those that were used last.
    fn to_check(&self) -> Vec<Upstream> {
        let whole = self.opened.iter().filter(|(u, _)| !self.is_broken(u));
        let mut latest: Vec<(&Upstream, &Millis)> = whole.collect();
        latest.sort_by_key(|(_, at)| std::cmp::Reverse(**at));
        let names = latest.into_iter().map(|(u, _)| u.clone());
        names.take(MAX_CHECKS).collect()
    }

    /// Whether this daemon may not reach any upstream of the service, and if so can't help others. Unlike
    /// [`Self::is_cut_off`] this needs no daemon that does.
    pub(crate) fn is_unable(&self) -> bool {
        self.is_cut_off() || self.failing.len() >= UNABLE_PATHS
    }

    /// Whether this daemon may connect to the upstream for another one.
    pub(crate) fn may_relay(&self, upstream: &Upstream, now: Millis) -> bool {
        let failed = self.last_failed;
        let failed = failed.is_some_and(|at| now.since(at) < UNABLE_MS);
        !(self.is_broken(upstream) || self.is_unable() && failed)
    }

    /// The number of broken paths.
    pub(crate) fn broken(&self) -> usize {
        self.broken.len()
    }

    /// Whether another daemon may be asked for a tunnel.
    pub(crate) fn may_tunnel(&self, upstream: &Upstream, now: Millis) -> bool {
        let until = self.unreached.get(upstream);
        until.is_none_or(|until| now >= *until)
    }

    /// Records whether a direct connection was opened.
    pub(crate) fn on_direct(
        &mut self,
        upstream: &Upstream,
        opened: bool,
        now: Millis,
    ) -> Option<PathChange> {
        if !opened {
            self.failed.insert(upstream.clone(), now);
            self.failing.insert(upstream.clone());
            self.last_failed = Some(now);
            return self.compare(upstream, now);
        }
        self.last_opened = Some(now);
        self.opened.insert(upstream.clone(), now);
        self.failing.clear();
        // Whatever the upstream does with the requests, it is reached.
        self.silent.remove(upstream);
        self.failed.remove(upstream);
        self.tunnelled.remove(upstream);
        let broken = self.broken.remove(upstream)?;
        Some(PathChange::Restored(Millis(now.since(broken.since))))
    }

    /// Records whether a tunnel reached the upstream. If none did, the upstream is only down if
    /// `reliable` is set: the daemons that were asked could tell.
    pub(crate) fn on_tunnel(
        &mut self,
        upstream: &Upstream,
        (opened, reliable): (bool, bool),
        now: Millis,
    ) -> Option<PathChange> {
        if !opened {
            if reliable {
                let until = now.plus(UNREACHED_MS);
                self.unreached.insert(upstream.clone(), until);
            }
            return None;
        }
        self.tunnelled.insert(upstream.clone(), now);
        self.compare(upstream, now)
    }

    /// Takes the path for broken if a direct connection failed and a tunnel succeeded.
    fn compare(&mut self, upstream: &Upstream, now: Millis) -> Option<PathChange> {
        let recent = |at: Option<&Millis>| at.is_some_and(|at| now.since(*at) < SAME_FAILURE_MS);
        let both = recent(self.failed.get(upstream)) && recent(self.tunnelled.get(upstream));
        if !both || self.broken.contains_key(upstream) {
            return None;
        }
        let path = BrokenPath {
            since: now,
            probe_at: now.plus(PROBE_INTERVAL_MS),
        };
        self.broken.insert(upstream.clone(), path);
        self.unchecked = true;
        Some(PathChange::Broken)
    }

    /// Records that a request was sent directly.
    pub(crate) fn on_send(&mut self, upstream: &Upstream, now: Millis) {
        if !self.silent.contains_key(upstream) {
            self.silent.insert(upstream.clone(), now);
        }
    }

    /// Records that an upstream answered on a direct connection.
    pub(crate) fn on_answer(&mut self) {
        self.failing.clear();
    }

    /// Records how long an answer on a direct connection took to begin.
    pub(crate) fn on_head(&mut self, waited: Millis) {
        self.answer_times.record(waited);
    }

    /// Records that bytes of the upstream arrived.
    pub(crate) fn on_bytes(&mut self, upstream: &Upstream) {
        self.silent.remove(upstream);
    }

    /// The upstreams whose paths are to be probed now: broken ones, those that are silent, and some
    /// others once a path has broken.
    pub(crate) fn due_probes(&mut self, now: Millis) -> Vec<Upstream> {
        let silence = self.overdue();
        let mut due = match std::mem::take(&mut self.unchecked) {
            true => self.to_check(),
            false => Vec::new(),
        };
        for (upstream, path) in &mut self.broken {
            if now >= path.probe_at {
                path.probe_at = now.plus(PROBE_INTERVAL_MS);
                due.push(upstream.clone());
            }
        }
        for (upstream, since) in &self.silent {
            let pause = self.suspect_at.get(upstream);
            let is_due = now.since(*since) >= silence && pause.is_none_or(|at| now >= *at);
            if is_due && !self.broken.contains_key(upstream) {
                due.push(upstream.clone());
                let next = now.plus(SUSPECT_INTERVAL_MS);
                self.suspect_at.insert(upstream.clone(), next);
            }
        }
        due
    }

    /// Drops what is old.
    pub(crate) fn prune(&mut self, now: Millis) {
        let recent = |at: &Millis| now.since(*at) < SAME_FAILURE_MS;
        self.failed.retain(|_, at| recent(at));
        self.tunnelled.retain(|_, at| recent(at));
        self.unreached.retain(|_, until| now < *until);
        self.suspect_at.retain(|_, at| now < *at);
        self.doubt = self.doubt.filter(|d| now.since(d.reported) < DOUBT_MS);
    }

    /// Forgets an upstream that has ended or started again.
    pub(crate) fn forget(&mut self, upstream: &Upstream) {
        self.broken.remove(upstream);
        self.failed.remove(upstream);
        self.tunnelled.remove(upstream);
        self.silent.remove(upstream);
        self.opened.remove(upstream);
        self.failing.remove(upstream);
    }
}

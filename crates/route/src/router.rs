//! The decision itself.

use crate::choose::Chooser;
use crate::estimate::{ratio_of, TokenCosts};
use crate::limit::Limiter;
use crate::queue::{RouteQueue, Waiting};
use crate::retry::RetryBudget;
use crate::upstream::{Back, Flight};
use crate::{
    Ask, AttemptNumber, End, LimitKind, Limits, RetrySettings, Route, RouteAction, RouteEvent,
    RouterSettings, RouterStats, ShareBook, Site,
};
use shaleline_types::{ErrorKind, Millis, Org, RequestId, Safeguard, Upstream};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
pub(crate) struct Open {
    ask: Ask,
    attempt: AttemptNumber,
    /// How many sends may have reached an upstream.
    reached: AttemptNumber,
    at: Option<Upstream>,
    tried: Vec<Upstream>,
    first: bool,
}

/// Admits, queues, sends, retries and refuses.
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: RouterSettings,
    shares: ShareBook,
    limiter: Limiter,
    pub(crate) open: BTreeMap<RequestId, Open>,
    pub(crate) queues: BTreeMap<Route, RouteQueue>,
    pub(crate) backs: BTreeMap<Upstream, Back>,
    /// The limits that stood in a request's way since they were last asked for.
    short: BTreeSet<(Org, LimitKind)>,
    /// Upstreams that were told to be leaving, whether they are known yet or not.
    leaving: BTreeSet<Upstream>,
    budget: RetryBudget,
    pub(crate) tokens: TokenCosts,
    turn: u64,
    pub(crate) stats: RouterStats,
    /// When old state was dropped last.
    pruned: Millis,
}

impl Router {
    /// A router that knows no upstream yet.
    #[must_use]
    pub fn new(settings: RouterSettings, shares: ShareBook) -> Self {
        Self {
            shares,
            limiter: Limiter::default(),
            open: BTreeMap::new(),
            queues: BTreeMap::new(),
            backs: BTreeMap::new(),
            leaving: BTreeSet::new(),
            short: BTreeSet::new(),
            budget: RetryBudget::new(settings.retries),
            tokens: TokenCosts::default(),
            turn: 0,
            stats: RouterStats::default(),
            pruned: Millis(0),
            settings,
        }
    }

    /// The shares of the limits.
    pub fn shares(&mut self) -> &mut ShareBook {
        &mut self.shares
    }

    /// Lends another daemon what this one does not use of a limit.
    pub fn lend(&mut self, org: &Org, kind: LimitKind, limits: &Limits, now: Millis) -> u64 {
        let in_use = match kind {
            LimitKind::Concurrency => self.limiter.running(org),
            LimitKind::Rate | LimitKind::Tokens => 0,
        };
        self.shares.lend(org, kind, limits, in_use, now)
    }

    /// The limits of which this daemon's part was too small since the last call: another
    /// daemon may lend some.
    pub fn take_short(&mut self) -> Vec<(Org, LimitKind)> {
        std::mem::take(&mut self.short).into_iter().collect()
    }

    /// Takes another budget for retries, as the number of daemons changes.
    pub fn set_retries(&mut self, retries: RetrySettings) {
        self.budget.set(retries);
    }

    /// Takes an event and says what to do.
    pub fn step(&mut self, event: RouteEvent, now: Millis) -> Vec<RouteAction> {
        let mut out = Vec::new();
        match event {
            RouteEvent::Arrive(ask) => self.arrive(ask, now, &mut out),
            RouteEvent::FirstByte { id, attempt } => self.on_byte(id, attempt, true, now),
            RouteEvent::Progress { id, attempt } => self.on_byte(id, attempt, false, now),
            RouteEvent::Ended { id, attempt, end } => self.ended(id, attempt, end, now, &mut out),
            RouteEvent::CallerGone(id) => self.caller_gone(id, now, &mut out),
            RouteEvent::Report { upstream, load } => {
                if let Some(back) = self.backs.get_mut(&upstream) {
                    back.on_report(load);
                }
                self.pump(&upstream, now, &mut out);
            }
            RouteEvent::Peers { upstream, load } => {
                if let Some(back) = self.backs.get_mut(&upstream) {
                    back.on_peers(load, now);
                }
            }
            RouteEvent::Serves { upstream, site } => {
                self.serves(&upstream, site);
                self.pump(&upstream, now, &mut out);
            }
            RouteEvent::Leaving { upstream, on } => {
                self.set_leaving(&upstream, on);
                self.pump(&upstream, now, &mut out);
            }
            RouteEvent::Removed(upstream) => self.removed(&upstream, now, &mut out),
            RouteEvent::Cached { upstream, blocks } => {
                if let Some(back) = self.backs.get_mut(&upstream) {
                    back.hints.note(&blocks);
                }
            }
            RouteEvent::Tick => self.tick(now, &mut out),
        }
        out
    }

    fn serves(&mut self, upstream: &Upstream, site: Site) {
        match self.backs.get_mut(upstream) {
            Some(back) => back.set_site(site),
            None => {
                let mut back = Back::new(site);
                back.leaving = self.leaving.contains(upstream);
                self.backs.insert(upstream.clone(), back);
            }
        }
    }

    /// Remembered beyond the upstream's own entry: one that is told to be leaving before
    /// it is known, or falls silent and comes back, is leaving all the same.
    fn set_leaving(&mut self, upstream: &Upstream, on: bool) {
        if on {
            self.leaving.insert(upstream.clone());
        } else {
            self.leaving.remove(upstream);
        }
        if let Some(back) = self.backs.get_mut(upstream) {
            back.leaving = on;
        }
    }

    fn arrive(&mut self, ask: Ask, now: Millis, out: &mut Vec<RouteAction>) {
        self.stats.arrived += 1;
        let id = ask.id;
        if let Err((kind, wait)) = self.limiter.admit(&ask.org, &ask.limits, &self.shares, now) {
            self.short.insert((ask.org.clone(), kind));
            let wait = Millis(wait.0.max(1));
            self.refuse(id, ErrorKind::RateLimited, Some(wait), out);
            return;
        }
        let (org, priority) = (ask.org.clone(), ask.priority);
        let queue = self.queues.get(&ask.route);
        let (waiting, expected) = queue.map_or((0, None), |q| {
            let ahead = q.ahead(priority, &org);
            (q.len(), q.expected_wait(ahead, now).filter(|_| ahead > 0))
        });
        let full = waiting >= self.settings.queue;
        let late = expected.map(|w| now.plus(w.0)).filter(|at| *at > ask.due);
        if let Some(at) = late.filter(|_| self.settings.shed || full) {
            self.limiter.finish(&org, 0);
            let wait = Millis(at.since(ask.due).max(100));
            self.refuse(id, ErrorKind::DeadlineUnmet, Some(wait), out);
            return;
        }
        if full {
            self.limiter.finish(&org, 0);
            self.refuse(id, ErrorKind::Overloaded, expected, out);
            return;
        }
        let open = Open {
            ask,
            attempt: 0,
            reached: 0,
            at: None,
            tried: Vec::new(),
            first: false,
        };
        self.open.insert(id, open);
        self.place(id, now, out);
    }

    fn refuse(
        &mut self,
        id: RequestId,
        kind: ErrorKind,
        retry: Option<Millis>,
        out: &mut Vec<RouteAction>,
    ) {
        self.stats.refused += 1;
        out.push(RouteAction::Refuse { id, kind, retry });
    }

    /// Sends a request at once if an upstream has room and nobody waits before it;
    /// otherwise it waits.
    fn place(&mut self, id: RequestId, now: Millis, out: &mut Vec<RouteAction>) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let ask = &open.ask;
        let queue = self.queues.get(&ask.route);
        let ahead = queue.map_or(0, |q| q.ahead(ask.priority, &ask.org));
        let repeat = open.attempt > 0;
        if ahead == 0 || repeat {
            if let Some(upstream) = self.choose(open, now) {
                self.send(id, &upstream, now, out);
                return;
            }
        }
        let waiting = Waiting {
            id,
            due: ask.start_by(now),
        };
        let (route, priority, org) = (ask.route.clone(), ask.priority, ask.org.clone());
        let able = self.choose(open, now);
        let queue = self.queues.entry(route).or_default();
        queue.push(priority, &org, waiting, repeat);
        if let Some(upstream) = able {
            self.pump(&upstream, now, out);
        }
    }

    fn chooser(&self, ask: &Ask, now: Millis) -> Chooser<'_> {
        Chooser {
            choice: self.settings.choice,
            home: &self.settings.home,
            turn: self.turn,
            token: self.tokens.get(&ask.route, self.settings.token),
            now,
        }
    }

    fn choose(&self, open: &Open, now: Millis) -> Option<Upstream> {
        let ask = &open.ask;
        let chooser = self.chooser(ask, now);
        let fits = |(_, b): &(&Upstream, &Back)| {
            b.routes.contains(&ask.route)
                && b.has_room_for(&ask.org, now)
                && !b.is_refusing(&ask.route, now)
                && chooser.allows(b, ask)
        };
        let able: Vec<(&Upstream, &Back)> = self.backs.iter().filter(fits).collect();
        let fresh = |u: &Upstream| !open.tried.contains(u);
        let of = able.len();
        let costs = able.iter().enumerate().map(|(i, (name, back))| {
            let cost = chooser.cost(back, ask, i, of);
            (!fresh(name), cost, *name)
        });
        let best = costs.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))?;
        Some(best.2.clone())
    }

    fn send(
        &mut self,
        id: RequestId,
        upstream: &Upstream,
        now: Millis,
        out: &mut Vec<RouteAction>,
    ) {
        let (Some(open), Some(back)) = (self.open.get(&id), self.backs.get(upstream)) else {
            return;
        };
        let chooser = self.chooser(&open.ask, now);
        let (work, expected) = (chooser.work(back, &open.ask), chooser.time(back, &open.ask));
        let (Some(open), Some(back)) = (self.open.get_mut(&id), self.backs.get_mut(upstream))
        else {
            return;
        };
        assert!(
            !back.is_leaving() || !Safeguard::LeavingStop.active(),
            "a leaving upstream gets no new work"
        );
        self.turn += 1;
        self.stats.sent += 1;
        self.stats.retried += u64::from(open.attempt > 0);
        open.attempt += 1;
        open.reached += 1;
        open.first = false;
        open.at = Some(upstream.clone());
        open.tried.push(upstream.clone());
        let flight = Flight {
            org: open.ask.org.clone(),
            sent: now,
            stall: open
                .ask
                .terms
                .stall
                .map_or_else(|| stall_of(self.settings.stall, open.ask.due, now), |s| s.0),
            answered: false,
            urgent: open.ask.terms.urgent,
            work,
            expected,
        };
        let cost = open.ask.cost as f64 / open.ask.weight.max(1) as f64;
        back.hints.note(&open.ask.prefix);
        back.on_send(id, flight, cost);
        out.push(RouteAction::Send {
            id,
            attempt: open.attempt,
            upstream: upstream.clone(),
            expected: Millis(expected as u64),
        });
    }

    /// Whether an answer belongs to the attempt that counts now.
    fn is_current(&mut self, id: RequestId, attempt: AttemptNumber) -> bool {
        let current = self
            .open
            .get(&id)
            .is_some_and(|o| o.attempt == attempt || !Safeguard::AttemptMatch.active());
        self.stats.late += u64::from(!current);
        current
    }

    fn on_byte(&mut self, id: RequestId, attempt: AttemptNumber, first: bool, now: Millis) {
        if !self.is_current(id, attempt) {
            return;
        }
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.first |= first;
        let Some(back) = open.at.as_ref().and_then(|u| self.backs.get_mut(u)) else {
            return;
        };
        back.last_byte = now;
        let Some(flight) = back.flights.get_mut(&id) else {
            return;
        };
        if !std::mem::replace(&mut flight.answered, true) && flight.work > 0.0 {
            let ratio = ratio_of(now.since(flight.sent) as f64, flight.expected);
            back.slowness.learn(ratio, now);
            let route = &open.ask.route;
            self.tokens.learn(route, ratio, self.settings.token);
        }
    }

    fn ended(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        end: End,
        now: Millis,
        out: &mut Vec<RouteAction>,
    ) {
        if !self.is_current(id, attempt) {
            return;
        }
        let Some(upstream) = self.open.get_mut(&id).and_then(|o| o.at.take()) else {
            return;
        };
        self.judge_upstream(&upstream, id, end, now);
        match end {
            End::Whole | End::Cancelled => self.close(id),
            End::NotSent => {
                if let Some(open) = self.open.get_mut(&id) {
                    open.reached -= 1;
                }
                self.again(id, ErrorKind::NoUpstream, now, out);
            }
            End::Refused => self.again(id, ErrorKind::NoUpstream, now, out),
            End::Broken => self.again_if_repeatable(id, now, out),
        }
        self.pump(&upstream, now, out);
    }

    fn judge_upstream(&mut self, upstream: &Upstream, id: RequestId, end: End, now: Millis) {
        let Some(back) = self.backs.get_mut(upstream) else {
            return;
        };
        back.on_end(id);
        if let (End::Refused, Some(open)) = (end, self.open.get(&id)) {
            back.note_refused(&open.ask.route, now);
        }
        match end {
            End::Whole => {
                back.last_byte = now;
                back.failures.note(0.0, now);
                back.breaker.on_success();
                self.budget.on_success();
            }
            End::NotSent | End::Broken => {
                back.failures.note(1.0, now);
                self.stats.opened += u64::from(back.breaker.on_failure(now));
            }
            End::Refused | End::Cancelled => back.breaker.on_neutral(),
        }
    }

    fn close(&mut self, id: RequestId) {
        if let Some(open) = self.open.remove(&id) {
            self.limiter.finish(&open.ask.org, open.ask.cost);
        }
    }

    fn give_up(&mut self, id: RequestId, kind: ErrorKind, out: &mut Vec<RouteAction>) {
        if let Some(open) = self.open.remove(&id) {
            self.limiter.finish(&open.ask.org, 0);
            self.refuse(id, kind, None, out);
        }
    }

    fn again_if_repeatable(&mut self, id: RequestId, now: Millis, out: &mut Vec<RouteAction>) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        if open.ask.repeatable {
            self.again(id, ErrorKind::BrokenStream, now, out);
        } else {
            self.give_up(id, ErrorKind::UpstreamFailed, out);
        }
    }

    /// Sends a request again, where attempts, budget and time allow it.
    fn again(&mut self, id: RequestId, kind: ErrorKind, now: Millis, out: &mut Vec<RouteAction>) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let started = open.first;
        let in_time = started || open.ask.due > now;
        let most = open.ask.terms.attempts.unwrap_or(self.settings.attempts);
        let left = open.reached < most && open.attempt < MOST_SENDS.max(self.settings.attempts);
        if left && in_time && self.budget.take() {
            self.place(id, now, out);
        } else {
            self.give_up(id, kind, out);
        }
    }

    fn caller_gone(&mut self, id: RequestId, now: Millis, out: &mut Vec<RouteAction>) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        self.limiter.finish(&open.ask.org, open.ask.cost);
        let Some(upstream) = open.at else {
            self.unqueue(&open.ask);
            return;
        };
        if let Some(back) = self.backs.get_mut(&upstream) {
            back.on_end(id);
            back.breaker.on_neutral();
        }
        out.push(RouteAction::Cancel {
            id,
            attempt: open.attempt,
            upstream: upstream.clone(),
        });
        self.pump(&upstream, now, out);
    }

    fn unqueue(&mut self, ask: &Ask) {
        if let Some(queue) = self.queues.get_mut(&ask.route) {
            queue.remove(ask.priority, &ask.org, ask.id);
        }
    }

    fn removed(&mut self, upstream: &Upstream, now: Millis, out: &mut Vec<RouteAction>) {
        let Some(back) = self.backs.remove(upstream) else {
            return;
        };
        for id in back.flights.into_keys() {
            if let Some(open) = self.open.get_mut(&id) {
                open.at = None;
                self.again_if_repeatable(id, now, out);
            }
        }
    }

    /// Serves what waits for this upstream, while it has room.
    fn pump(&mut self, upstream: &Upstream, now: Millis, out: &mut Vec<RouteAction>) {
        while let Some(id) = self.next_for(upstream, now) {
            let Some(open) = self.open.get(&id) else {
                return;
            };
            let (route, priority, org) = (
                open.ask.route.clone(),
                open.ask.priority,
                open.ask.org.clone(),
            );
            if let Some(queue) = self.queues.get_mut(&route) {
                queue.remove(priority, &org, id);
                queue.on_departure(now);
            }
            self.send(id, upstream, now, out);
        }
    }

    /// The most urgent request that may go there, the organisation served least first.
    fn next_for(&self, upstream: &Upstream, now: Millis) -> Option<RequestId> {
        let back = self.backs.get(upstream)?;
        if !back.has_room(now) {
            return None;
        }
        let queues = back.routes.iter().filter_map(|r| self.queues.get(r));
        let heads = queues.flat_map(RouteQueue::heads);
        let allowed = heads.filter(|h| {
            let open = self.open.get(&h.id);
            let in_time = open.is_none_or(|o| self.chooser(&o.ask, now).allows(back, &o.ask));
            let refusing = open.is_some_and(|o| back.is_refusing(&o.ask.route, now));
            in_time && !refusing && back.has_room_for(h.org, now)
        });
        let best = allowed.min_by(|a, b| {
            let start = |h: &crate::queue::Head<'_>| back.start_of(h.org);
            a.priority
                .cmp(&b.priority)
                .then(start(a).total_cmp(&start(b)))
                .then(a.id.cmp(&b.id))
        })?;
        Some(best.id)
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<RouteAction>) {
        self.refuse_overdue(now, out);
        self.move_stalled(now, out);
        self.pump_all(now, out);
        if now.since(self.pruned) >= PRUNE_EVERY {
            self.pruned = now;
            self.backs.values_mut().for_each(|b| b.prune(now));
            self.limiter.prune(now);
            self.shares.prune(now);
        }
    }

    /// Serves what waits wherever there is room by now.
    fn pump_all(&mut self, now: Millis, out: &mut Vec<RouteAction>) {
        if self.queues.values().all(RouteQueue::is_empty) {
            return;
        }
        let names: Vec<Upstream> = self.backs.keys().cloned().collect();
        for name in names {
            self.pump(&name, now, out);
        }
    }

    /// What can no longer start in time gets its final answer now.
    fn refuse_overdue(&mut self, now: Millis, out: &mut Vec<RouteAction>) {
        let overdue: Vec<RequestId> = self.queues.values().flat_map(|q| q.overdue(now)).collect();
        for id in overdue {
            let Some(open) = self.open.get(&id) else {
                continue;
            };
            let ask = open.ask.clone();
            let served = self.is_served(&ask.route);
            self.unqueue(&ask);
            let kind = match (served, open_was_sent(self.open.get(&id))) {
                (_, true) => ErrorKind::BrokenStream,
                (true, false) => ErrorKind::DeadlineUnmet,
                (false, false) => ErrorKind::NoUpstream,
            };
            self.give_up(id, kind, out);
        }
    }

    /// Opens the breaker of an upstream from which nothing comes while requests hang, and
    /// sends those elsewhere that may be repeated.
    fn move_stalled(&mut self, now: Millis, out: &mut Vec<RouteAction>) {
        let mut stalled = Vec::new();
        let working = self.backs.iter_mut().filter(|(_, b)| !b.flights.is_empty());
        for (name, back) in working {
            let quiet = now.since(back.last_byte);
            let hangs =
                |f: &Flight| !f.answered && now.since(f.sent) >= f.stall && quiet >= f.stall;
            if !back.flights.values().any(hangs) {
                continue;
            }
            self.stats.opened += u64::from(back.breaker.trip(now));
            let ids = back
                .flights
                .iter()
                .filter(|(_, f)| hangs(f))
                .map(|(id, _)| *id);
            stalled.extend(ids.map(|id| (id, name.clone())));
        }
        for (id, upstream) in stalled {
            self.move_one(id, &upstream, now, out);
        }
    }

    fn move_one(
        &mut self,
        id: RequestId,
        from: &Upstream,
        now: Millis,
        out: &mut Vec<RouteAction>,
    ) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let elsewhere = self.choose(open, now).filter(|u| u != from);
        let most = open.ask.terms.attempts.unwrap_or(self.settings.attempts);
        let may_move = open.ask.repeatable && open.reached < most;
        let Some(upstream) = elsewhere.filter(|_| may_move) else {
            return;
        };
        let attempt = open.attempt;
        if let Some(back) = self.backs.get_mut(from) {
            back.on_end(id);
        }
        out.push(RouteAction::Cancel {
            id,
            attempt,
            upstream: from.clone(),
        });
        self.send(id, &upstream, now, out);
    }

    /// Takes every waiting request back, for a daemon that stops and has waited enough.
    pub fn refuse_waiting(&mut self, out: &mut Vec<RouteAction>) {
        let ids: Vec<RequestId> = self.queues.values().flat_map(RouteQueue::ids).collect();
        self.queues.clear();
        for id in ids {
            self.give_up(id, ErrorKind::Leaving, out);
        }
    }
}

/// How often a request is sent at the most, sends that reached nobody included.
const MOST_SENDS: AttemptNumber = 6;

/// How often old state is dropped, in milliseconds.
const PRUNE_EVERY: u64 = 1_000;

/// The least silence that counts as hanging, however little time a request has.
const LEAST_STALL: u64 = 200;

/// Half of the time that a request has left, so that another upstream can still meet its
/// target; never more than the setting.
fn stall_of(setting: Millis, due: Millis, now: Millis) -> u64 {
    setting.0.min((due.since(now) / 2).max(LEAST_STALL))
}

fn open_was_sent(open: Option<&Open>) -> bool {
    open.is_some_and(|o| o.attempt > 0 && o.first)
}

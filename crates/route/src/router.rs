//! The decision itself: what is admitted and where it goes. How sends end is in `ending`,
//! what happens to requests that wait or hang in `waiting`.

use crate::choose::{draw_by_cost, Chooser};
use crate::estimate::TokenCosts;
use crate::isolation::Copies;
use crate::limit::Limiter;
use crate::queue::{RouteQueue, Waiting};
use crate::retry::RetryBudget;
use crate::upstream::{Back, Flight};
use crate::{
    AttemptNumber, CrashNote, Crashes, LimitKind, Limits, PeerVisibility, RetrySettings, Route,
    RouteAction, RouteEvent, RouteRequest, RouterSettings, RouterStats, ShareBook, UpstreamInfo,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_types::{ErrorKind, Millis, Org, RequestId, Safeguard, Upstream};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
pub(crate) struct Open {
    pub(crate) ask: RouteRequest,
    pub(crate) attempt: AttemptNumber,
    /// How many sends may have reached an upstream.
    pub(crate) reached: AttemptNumber,
    pub(crate) at: Option<Upstream>,
    pub(crate) tried: Vec<Upstream>,
    pub(crate) first: bool,
}

/// Admits, queues, sends, retries and refuses.
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: RouterSettings,
    pub(crate) shares: ShareBook,
    pub(crate) limiter: Limiter,
    pub(crate) open: BTreeMap<RequestId, Open>,
    pub(crate) queues: BTreeMap<Route, RouteQueue>,
    pub(crate) backs: BTreeMap<Upstream, Back>,
    /// The limits that stood in a request's way since they were last asked for.
    short: BTreeSet<(Org, LimitKind)>,
    /// Upstreams that were told to be leaving, whether they are known yet or not.
    leaving: BTreeSet<Upstream>,
    pub(crate) budget: RetryBudget,
    pub(crate) tokens: TokenCosts,
    turn: u64,
    sight: PeerVisibility,
    draws: RefCell<SmallRng>,
    pub(crate) stats: RouterStats,
    pub(crate) crashes: Crashes,
    pub(crate) copies: Copies,
    /// What was found out about requests under which upstreams ended.
    pub(crate) crash_notes: Vec<CrashNote>,
    /// When old state was dropped last.
    pub(crate) pruned: Millis,
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
            sight: PeerVisibility::default(),
            draws: RefCell::new(SmallRng::seed_from_u64(settings.seed)),
            stats: RouterStats::default(),
            crashes: Crashes::default(),
            copies: Copies::default(),
            crash_notes: Vec::new(),
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
    pub fn take_exceeded(&mut self) -> Vec<(Org, LimitKind)> {
        std::mem::take(&mut self.short).into_iter().collect()
    }

    /// Takes another budget for retries, as the number of daemons changes.
    pub fn set_retries(&mut self, retries: RetrySettings) {
        self.budget.set(retries);
    }

    /// Sets how well it is known what other daemons send.
    pub fn set_peer_visibility(&mut self, sight: PeerVisibility) {
        self.sight = sight;
    }

    /// Takes an event and says what to do.
    pub fn step(&mut self, event: RouteEvent, now: Millis) -> Vec<RouteAction> {
        let mut out = Vec::new();
        match event {
            RouteEvent::Arrive(ask) => self.arrive(*ask, now, &mut out),
            RouteEvent::FirstByte { id, attempt } => {
                let upstream = self.open.get(&id).and_then(|o| o.at.clone());
                self.on_byte(id, attempt, true, now);
                // Its prompt is read, so others may follow.
                if let Some(upstream) = upstream {
                    self.pump(&upstream, now, &mut out);
                }
            }
            RouteEvent::Progress { id, attempt } => self.on_byte(id, attempt, false, now),
            RouteEvent::Ended { id, attempt, end } => self.ended(id, attempt, end, now, &mut out),
            RouteEvent::CallerGone(id) => self.caller_gone(id, now, &mut out),
            RouteEvent::Report { upstream, load } => {
                if let Some(back) = self.backs.get_mut(&upstream) {
                    back.on_report(load);
                }
                self.pump(&upstream, now, &mut out);
            }
            RouteEvent::PeerReport { upstream, load } => {
                if let Some(back) = self.backs.get_mut(&upstream) {
                    back.on_peers(load, now);
                }
            }
            RouteEvent::Serves { upstream, info } => {
                self.serves(&upstream, info);
                self.pump(&upstream, now, &mut out);
            }
            RouteEvent::Leaving { upstream, on } => {
                self.set_leaving(&upstream, on);
                self.pump(&upstream, now, &mut out);
            }
            RouteEvent::Restarted(upstream) => {
                if let Some(back) = self.backs.get_mut(&upstream) {
                    back.forget_learned();
                }
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

    pub(crate) fn serves(&mut self, upstream: &Upstream, site: UpstreamInfo) {
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
    pub(crate) fn set_leaving(&mut self, upstream: &Upstream, on: bool) {
        if on {
            self.leaving.insert(upstream.clone());
        } else {
            self.leaving.remove(upstream);
        }
        if let Some(back) = self.backs.get_mut(upstream) {
            back.leaving = on;
        }
    }

    pub(crate) fn arrive(&mut self, ask: RouteRequest, now: Millis, out: &mut Vec<RouteAction>) {
        self.stats.arrived += 1;
        let id = ask.id;
        if self.is_blocked(&ask) {
            self.refuse(id, ErrorKind::EndsUpstreams, None, out);
            return;
        }
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
        let full = waiting >= self.settings.queue_limit;
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
        self.copies.insert(&open.ask);
        self.open.insert(id, open);
        self.place(id, now, out);
    }

    pub(crate) fn refuse(
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
    pub(crate) fn place(&mut self, id: RequestId, now: Millis, out: &mut Vec<RouteAction>) {
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
        if self.never_waits(ask) {
            self.give_up(id, ErrorKind::NoUpstream, out);
            return;
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

    pub(crate) fn chooser(&self, ask: &RouteRequest, now: Millis) -> Chooser<'_> {
        Chooser {
            choice: self.settings.choice,
            home: &self.settings.home,
            turn: self.turn,
            token: self.tokens.get(&ask.route, self.settings.token_ms),
            own_share: self.sight.own_share,
            now,
        }
    }

    pub(crate) fn choose(&self, open: &Open, now: Millis) -> Option<Upstream> {
        let ask = &open.ask;
        let chooser = self.chooser(ask, now);
        let fits = |(name, b): &(&Upstream, &Back)| {
            b.routes.contains(&ask.route)
                && b.has_room_for(&ask.org, now)
                && !b.is_refusing(&ask.route, now)
                && chooser.allows(b, ask)
                && self.may_go(ask, name, b)
        };
        let able: Vec<(&Upstream, &Back)> = self.backs.iter().filter(fits).collect();
        let fresh = |u: &Upstream| !open.tried.contains(u);
        let untried = able.iter().any(|(u, _)| fresh(u));
        let of = able.len();
        let costs = able.iter().enumerate().map(|(i, (name, back))| {
            let cost = chooser.cost(back, ask, i, of);
            (*name, cost)
        });
        let costs = costs.filter(|(name, _)| !untried || fresh(name));
        let costs: Vec<(&Upstream, f64)> = costs.collect();
        let draw = self.draws.borrow_mut().random();
        let best = draw_by_cost(&costs, self.sight.unseen_ms, draw)?;
        Some(best.clone())
    }

    pub(crate) fn send(
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
            !back.is_leaving() || !Safeguard::LeavingStop.is_active(),
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
            stall: open.ask.policy.stall_timeout.map_or_else(
                || stall_of(self.settings.stall_timeout, open.ask.due, now),
                |s| s.0,
            ),
            answered: false,
            urgent: open.ask.policy.urgent,
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
}

/// The least silence that counts as hanging, however little time a request has.
const LEAST_STALL: u64 = 200;

/// Half of the time that a request has left, so that another upstream can still meet its
/// target; never more than the setting.
fn stall_of(setting: Millis, due: Millis, now: Millis) -> u64 {
    setting.0.min((due.since(now) / 2).max(LEAST_STALL))
}

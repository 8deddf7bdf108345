//! The router's core: admission and dispatch. The module `ending` handles how sends end, and
//! `waiting` handles requests that wait or hang.

use crate::completion::Times;
use crate::estimate::TokenCosts;
use crate::isolation::Copies;
use crate::limit::Limiter;
use crate::queue::{Line, QueuedRequest, RouteQueue};
use crate::reach::{Group, Reach};
use crate::retry::RetryBudget;
use crate::schedule::{is_hopeless, size_class};
use crate::select::{sample_by_cost, ChoicePolicy, CostModel};
use crate::sound_parts::SoundParts;
use crate::upstream::{Hold, InFlight, Slot, UpstreamState};
use crate::waiting::stall_timeout;
use crate::{
    AnswerTimes, AttemptNumber, CrashNote, Crashes, FairShares, LimitKind, Limits, PeerVisibility,
    QueueNote, RetrySettings, Route, RouteAction, RouteEvent, RouteRequest, RouterSettings,
    RouterStats, ShareBook, UpstreamInfo, UpstreamOpening,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_types::{ErrorKind, Millis, Org, RequestId, Safeguard, Upstream};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

/// A send is overdue after this number of mean times to an answer. A slot that is freed too early is
/// taken again by the upstream's next report.
const OVERDUE_FACTOR: f64 = 2.0;

/// The shortest retry-after time of a request that can't start before its deadline: the queue is
/// not much shorter before then.
const MIN_RETRY_MS: u64 = 100;

#[derive(Debug)]
pub(crate) struct OpenRequest {
    pub(crate) request: RouteRequest,
    pub(crate) attempt: AttemptNumber,
    /// The number of sends that may have reached an upstream.
    pub(crate) reached: AttemptNumber,
    /// The number of sends that its daemon gave back because of the upstream.
    pub(crate) given_back: AttemptNumber,
    pub(crate) upstream: Option<Upstream>,
    pub(crate) tried: Vec<Upstream>,
    /// When the first byte of the current attempt's answer was received.
    pub(crate) first_byte: Option<Millis>,
}

/// Admits, queues, sends, retries and refuses requests.
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: RouterSettings,
    pub(crate) shares: ShareBook,
    pub(crate) limiter: Limiter,
    pub(crate) open: BTreeMap<RequestId, OpenRequest>,
    pub(crate) queues: BTreeMap<Route, RouteQueue>,
    pub(crate) upstreams: BTreeMap<Upstream, UpstreamState>,
    /// The limits that refused a request since [`Router::take_exceeded`] was last called.
    exceeded: BTreeSet<(Org, LimitKind)>,
    /// Upstreams that were announced as leaving, whether they are known yet or not.
    leaving: BTreeSet<Upstream>,
    pub(crate) budget: RetryBudget,
    pub(crate) tokens: TokenCosts,
    /// How long work usually takes, by model or service.
    pub(crate) times: Times,
    /// The groups of upstreams of which one has named its slowdown.
    pub(crate) slowdowns: BTreeSet<Group>,
    send_count: u64,
    visibility: PeerVisibility,
    rng: RefCell<SmallRng>,
    pub(crate) stats: RouterStats,
    pub(crate) crashes: Crashes,
    pub(crate) copies: Copies,
    pub(crate) sound_parts: SoundParts,
    /// Crash notes that were not taken yet.
    pub(crate) crash_notes: Vec<CrashNote>,
    pub(crate) reach: Reach,
    /// How long answers take, by routes without adapters.
    pub(crate) answer_times: BTreeMap<Route, AnswerTimes>,
    /// Breakers that opened and were not taken yet.
    pub(crate) openings: Vec<UpstreamOpening>,
    /// See [`Router::take_queue_notes`].
    pub(crate) queue_notes: Vec<QueueNote>,
    /// What organisations ask for and get, by routes without adapters.
    pub(crate) fair: BTreeMap<Route, FairShares>,
    /// The time of the last removal of old state.
    pub(crate) last_prune: Millis,
}

impl Router {
    /// Creates a router that knows no upstream yet.
    #[must_use]
    pub fn new(settings: RouterSettings, shares: ShareBook) -> Self {
        Self {
            shares,
            limiter: Limiter::default(),
            open: BTreeMap::new(),
            queues: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            leaving: BTreeSet::new(),
            exceeded: BTreeSet::new(),
            budget: RetryBudget::new(settings.retries),
            tokens: TokenCosts::default(),
            times: Times::default(),
            slowdowns: BTreeSet::new(),
            send_count: 0,
            visibility: PeerVisibility::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(settings.seed)),
            stats: RouterStats::default(),
            crashes: Crashes::default(),
            copies: Copies::default(),
            sound_parts: SoundParts::default(),
            crash_notes: Vec::new(),
            reach: Reach::default(),
            answer_times: BTreeMap::new(),
            openings: Vec::new(),
            queue_notes: Vec::new(),
            fair: BTreeMap::new(),
            last_prune: Millis(0),
            settings,
        }
    }

    /// Returns this daemon's shares of the limits.
    pub fn shares(&mut self) -> &mut ShareBook {
        &mut self.shares
    }

    /// Lends another daemon what this one doesn't use of a limit.
    pub fn lend(&mut self, org: &Org, kind: LimitKind, limits: &Limits, now: Millis) -> u64 {
        let in_use = match kind {
            LimitKind::Concurrency => self.limiter.running(org),
            LimitKind::Rate | LimitKind::Tokens => 0,
        };
        self.shares.lend(org, kind, limits, in_use, now)
    }

    /// Takes the limits of which this daemon's share was too small since the last call, as another
    /// daemon may lend some of its share.
    pub fn take_exceeded(&mut self) -> Vec<(Org, LimitKind)> {
        std::mem::take(&mut self.exceeded).into_iter().collect()
    }

    /// Changes the retry budget, as the number of daemons changes.
    pub fn set_retries(&mut self, retries: RetrySettings) {
        self.budget.set(retries);
    }

    /// Sets how well this daemon knows what other daemons send.
    pub fn set_peer_visibility(&mut self, visibility: PeerVisibility) {
        self.visibility = visibility;
    }

    /// Handles an event and returns the actions to carry out.
    pub fn step(&mut self, event: RouteEvent, now: Millis) -> Vec<RouteAction> {
        let mut out = Vec::new();
        self.sound_parts.advance(now);
        match event {
            RouteEvent::Arrive(request) => self.arrive(*request, now, &mut out),
            RouteEvent::FirstByte { id, attempt } => {
                let upstream = self.open.get(&id).and_then(|o| o.upstream.clone());
                self.on_byte(id, attempt, true, now);
                // The prompt has been read, so the upstream may take others.
                if let Some(upstream) = upstream {
                    self.dispatch_queued(&upstream, now, &mut out);
                }
            }
            RouteEvent::Measured {
                id,
                attempt,
                measurement,
            } => self.measured(id, attempt, &measurement, now),
            RouteEvent::Progress { id, attempt } => self.on_byte(id, attempt, false, now),
            RouteEvent::Bound { id, version } => self.bind(id, version),
            RouteEvent::Ended { id, attempt, end } => self.ended(id, attempt, end, now, &mut out),
            RouteEvent::CallerGone(id) => self.caller_gone(id, now, &mut out),
            RouteEvent::Report { upstream, load } => {
                if let Some(state) = self.upstreams.get_mut(&upstream) {
                    state.on_report(load, now);
                    if load.slowdown.is_some() {
                        self.slowdowns.extend(state.routes.iter().map(Group::of));
                    }
                }
                self.dispatch_queued(&upstream, now, &mut out);
            }
            RouteEvent::PeerReport { upstream, load } => {
                let rng = self.rng.get_mut();
                if let Some(state) = self.upstreams.get_mut(&upstream) {
                    state.on_peers(load, self.visibility, rng, now);
                }
            }
            RouteEvent::Limited { upstream, limit } => {
                if let Some(state) = self.upstreams.get_mut(&upstream) {
                    state.pace.set(limit);
                }
                self.dispatch_queued(&upstream, now, &mut out);
            }
            RouteEvent::Rejected(upstream) => {
                if let Some(state) = self.upstreams.get_mut(&upstream) {
                    state.pace.on_rejection(state.busy(), now);
                }
            }
            RouteEvent::Serves { upstream, info } => {
                self.serves(&upstream, info);
                self.dispatch_queued(&upstream, now, &mut out);
            }
            RouteEvent::Leaving { upstream, on } => {
                self.set_leaving(&upstream, on);
                self.dispatch_queued(&upstream, now, &mut out);
            }
            RouteEvent::Restarted(upstream) => self.restarted(&upstream),
            RouteEvent::Removed(upstream) => self.removed(&upstream, now, &mut out),
            RouteEvent::Cached { upstream, blocks } => {
                if let Some(state) = self.upstreams.get_mut(&upstream) {
                    state.hints.record(&blocks);
                }
            }
            RouteEvent::Tick => self.tick(now, &mut out),
        }
        out
    }

    pub(crate) fn serves(&mut self, upstream: &Upstream, site: UpstreamInfo) {
        match self.upstreams.get_mut(upstream) {
            Some(state) => state.set_info(site),
            None => {
                let mut state = UpstreamState::new(site);
                state.leaving = self.leaving.contains(upstream);
                self.upstreams.insert(upstream.clone(), state);
            }
        }
    }

    /// Stores the flag apart from the upstream's own entry, so that it also holds for an upstream
    /// that is announced as leaving before it is known, or that disappears and returns.
    pub(crate) fn set_leaving(&mut self, upstream: &Upstream, on: bool) {
        if on {
            self.leaving.insert(upstream.clone());
        } else {
            self.leaving.remove(upstream);
        }
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.leaving = on;
        }
    }

    pub(crate) fn arrive(
        &mut self,
        request: RouteRequest,
        now: Millis,
        out: &mut Vec<RouteAction>,
    ) {
        self.stats.arrived += 1;
        let id = request.id;
        if self.is_blocked(&request) {
            self.refuse(id, ErrorKind::EndsUpstreams, None, out);
            return;
        }
        if let Err((kind, wait)) =
            self.limiter
                .admit(&request.org, &request.limits, &self.shares, now)
        {
            self.exceeded.insert((request.org.clone(), kind));
            let wait = Millis(wait.0.max(1));
            self.refuse(id, ErrorKind::RateLimited, Some(wait), out);
            return;
        }
        let org = request.org.clone();
        if self.has_share(&org) {
            let fair = self.fair.entry(request.route.to_base()).or_default();
            fair.on_arrival(&org, request.weight, request.cost, now);
        }
        let latest = self.latest_start(&request);
        let queue = self.queues.get(&request.route);
        let (queued, expected) = queue.map_or((0, None), |q| {
            let ahead = q.ahead(request.level(), &org, latest, now);
            (q.len(), q.expected_wait(ahead, now).filter(|_| ahead > 0))
        });
        let full = queued >= self.settings.queue_limit;
        let end = expected.and_then(|wait| self.hopeless_until(&request, latest, wait, now));
        if let Some(earliest) = end.filter(|_| self.settings.shed || full) {
            self.limiter.finish(&org, 0);
            self.record_shed(&request, now);
            self.stats.shed += 1;
            let queue = self.queues.entry(request.route.clone()).or_default();
            let back = queue.returns.reserve(earliest, now);
            let retry = Millis(back.since(now));
            self.push_queue_note(QueueNote::Shed {
                left: Millis(request.due.since(now)),
                route: request.route,
                id,
                queued,
                wait: expected.unwrap_or_default(),
                retry,
            });
            self.refuse(id, ErrorKind::DeadlineUnmet, Some(retry), out);
            return;
        }
        if full {
            self.limiter.finish(&org, 0);
            self.refuse(id, ErrorKind::Overloaded, expected, out);
            return;
        }
        let open = OpenRequest {
            request,
            attempt: 0,
            reached: 0,
            given_back: 0,
            upstream: None,
            tried: Vec::new(),
            first_byte: None,
        };
        self.copies.insert(&open.request);
        self.crashes.record_arrival(&open.request.parts);
        self.open.insert(id, open);
        self.dispatch(id, now, out);
    }

    /// Whether an organisation has a share of the work, which it may exceed.
    fn has_share(&self, org: &Org) -> bool {
        self.settings.common_org.as_ref() != Some(org)
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

    /// Sends a request at once if an upstream has a free slot and no request is queued before it;
    /// otherwise queues it.
    pub(crate) fn dispatch(&mut self, id: RequestId, now: Millis, out: &mut Vec<RouteAction>) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let request = &open.request;
        let queue = self.queues.get(&request.route);
        let latest = self.latest_start(request);
        let ahead = queue.map_or(0, |q| q.ahead(request.level(), &request.org, latest, now));
        let repeat = open.attempt > 0;
        if ahead == 0 || repeat {
            if let Some(upstream) = self.select(open, now) {
                self.send(id, &upstream, now, out);
                return;
            }
        }
        if self.must_not_queue(request) {
            self.fail(id, ErrorKind::NoUpstream, out);
            return;
        }
        if self.lacks_version(request) {
            self.fail(id, ErrorKind::VersionUnavailable, out);
            return;
        }
        if let Some(start) = self.late_start(request, now) {
            self.refuse_limited(id, &start, now, out);
            return;
        }
        let queued = QueuedRequest {
            id,
            due: request.start_by(now),
            bound: request.version.is_some(),
            latest,
            arrived: now,
        };
        let line = Line {
            level: request.level(),
            org: request.org.clone(),
            size: size_class(request.cost as f64),
        };
        let route = request.route.clone();
        let eligible = self.select(open, now);
        let queue = self.queues.entry(route).or_default();
        queue.push(line, queued, repeat);
        if let Some(upstream) = eligible {
            self.dispatch_queued(&upstream, now, out);
        }
    }

    /// Returns when a request may come back that can't be served in its time, if its predicted wait
    /// shows that it can't. The queue shortens as time passes, so a wait that is too long by some
    /// time fits after that time.
    fn hopeless_until(
        &self,
        request: &RouteRequest,
        latest: Option<Millis>,
        wait: Millis,
        now: Millis,
    ) -> Option<Millis> {
        let left = Millis(request.due.since(now));
        let excess = match latest {
            Some(latest) if is_hopeless(wait, Millis(latest.since(now))) => {
                let queue = self.queues.get(&request.route)?;
                let late_wait = queue.late_wait(now).filter(|late| *late > left)?;
                // It will be late, but there is room for it before its deadline unless late requests
                // take longer than its caller waits.
                wait.0.min(late_wait.0 - left.0)
            }
            _ if wait > left => wait.0 - left.0,
            _ => return None,
        };
        Some(now.plus(excess.max(MIN_RETRY_MS)))
    }

    /// Returns the latest start with which a request is in time, its own prompt read without a
    /// cache.
    fn latest_start(&self, request: &RouteRequest) -> Option<Millis> {
        let token_ms = self.tokens.get(&request.route, self.settings.token_ms);
        let prompt_ms = (request.prompt_tokens() * token_ms) as u64;
        let target = request.target?;
        Some(Millis(target.0.saturating_sub(prompt_ms)))
    }

    /// Returns how upstreams for a route are selected. Their speeds count where they say how long
    /// work takes at them; elsewhere they are taken for equal, as before.
    fn choice_for(&self, route: &Route) -> ChoicePolicy {
        match self.settings.choice {
            ChoicePolicy::Completion if !self.slowdowns.contains(&Group::of(route)) => {
                ChoicePolicy::Expected
            }
            choice => choice,
        }
    }

    pub(crate) fn cost_model(&self, request: &RouteRequest, now: Millis) -> CostModel<'_> {
        CostModel {
            choice: self.choice_for(&request.route),
            home: &self.settings.home,
            send_count: self.send_count,
            token_ms: self.tokens.get(&request.route, self.settings.token_ms),
            times: self.times.get(&request.route),
            own_share: self.visibility.own_share,
            now,
        }
    }

    pub(crate) fn select(&self, open: &OpenRequest, now: Millis) -> Option<Upstream> {
        let request = &open.request;
        let cost_model = self.cost_model(request, now);
        let fits = |(name, b): &(&Upstream, &UpstreamState)| {
            b.routes.contains(&request.route)
                && self.has_room_for(b, request, now)
                && self.may_take_slot(request, b, now)
                && !b.is_refusing(&request.route, now)
                && !self.is_excluded(request, name, b, now)
                && request.allows(&b.info.version)
                && cost_model.allows(b, request)
                && self.may_send_to(request, name, b)
        };
        let eligible: Vec<(&Upstream, &UpstreamState)> =
            self.upstreams.iter().filter(fits).collect();
        let is_untried = |u: &Upstream| !open.tried.contains(u);
        let untried = eligible.iter().any(|(u, _)| is_untried(u));
        let count = eligible.len();
        let costs = eligible.iter().enumerate().map(|(i, (name, state))| {
            let cost = cost_model.cost(state, request, i, count);
            (*name, cost)
        });
        let costs = costs.filter(|(name, _)| !untried || is_untried(name));
        let costs: Vec<(&Upstream, f64)> = costs.collect();
        let sample = self.rng.borrow_mut().random();
        let best = sample_by_cost(&costs, self.visibility.unseen_ms, sample)?;
        Some(best.clone())
    }

    /// Whether a request may take the slot that its upstream has. A daemon that may have lost its paths
    /// can't tell whether an upstream works, and only the answers to another daemon show that sends
    /// are lost.
    pub(crate) fn may_take_slot(
        &self,
        request: &RouteRequest,
        state: &UpstreamState,
        now: Millis,
    ) -> bool {
        let slot = state.slot(now);
        if matches!(slot, Slot::None | Slot::Free) {
            return slot == Slot::Free;
        }
        let (group, daemon) = (Group::of(&request.route), request.daemon);
        let suspect = self.reach.is_suspect(group, daemon, now);
        !suspect && (slot == Slot::Probe || self.reach.has_others(group, daemon))
    }

    pub(crate) fn send(
        &mut self,
        id: RequestId,
        upstream: &Upstream,
        now: Millis,
        out: &mut Vec<RouteAction>,
    ) {
        let (Some(open), Some(state)) = (self.open.get(&id), self.upstreams.get(upstream)) else {
            return;
        };
        let cost_model = self.cost_model(&open.request, now);
        let (prompt_ms, expected, predicted) = (
            cost_model.prompt_ms(state, &open.request),
            cost_model.first_byte_ms(state, &open.request),
            cost_model.predict(state, &open.request).completion_ms(),
        );
        let has_share = self.has_share(&open.request.org);
        let (Some(open), Some(state)) = (self.open.get_mut(&id), self.upstreams.get_mut(upstream))
        else {
            return;
        };
        assert!(
            !state.is_leaving() || !Safeguard::LeavingStop.is_active(),
            "a leaving upstream gets no new work"
        );
        let route = &open.request.route;
        let times = self.answer_times.get(&route.to_base());
        let overdue = times.copied().unwrap_or_default().overdue(OVERDUE_FACTOR);
        self.reach
            .on_send(Group::of(route), open.request.daemon, now);
        self.send_count += 1;
        self.stats.sent += 1;
        self.stats.retried += u64::from(open.attempt > open.given_back);
        open.attempt += 1;
        open.reached += 1;
        open.first_byte = None;
        open.upstream = Some(upstream.clone());
        open.tried.push(upstream.clone());
        let send = InFlight {
            org: open.request.org.clone(),
            daemon: open.request.daemon,
            group: Group::of(&open.request.route),
            sent: now,
            overdue_after: overdue.0 + expected as u64,
            hold: Hold::Expected,
            stall_timeout: open.request.policy.stall_timeout.map_or_else(
                || stall_timeout(self.settings.stall_timeout, open.request.due, now),
                |s| s.0,
            ),
            answered: false,
            urgent: open.request.policy.urgent,
            prompt_ms,
            expected,
            predicted,
        };
        let cost = open.request.cost as f64 / open.request.weight.max(1) as f64;
        if has_share {
            let fair = self.fair.entry(route.to_base()).or_default();
            fair.on_send(
                &open.request.org,
                open.request.weight,
                open.request.cost,
                now,
            );
        }
        state.hints.record(&open.request.prefix);
        if open.request.excluded.contains_key(upstream) {
            state.returns.on_send(now);
        }
        state.on_send(id, send, cost);
        out.push(RouteAction::Send {
            id,
            attempt: open.attempt,
            upstream: upstream.clone(),
            expected: Millis(expected as u64),
        });
    }
}

//! Requests that wait or hang: they are sent once a slot is free, rerouted, or failed.

use crate::queue::RouteQueue;
use crate::router::OpenRequest;
use crate::schedule::{choose, Candidate, Choice, FreeSlot, Reason};
use crate::upstream::{InFlight, UpstreamState};
use crate::{OpeningCause, QueueNote, Route, RouteAction, RouteRequest, Router, UpstreamOpening};
use shaleline_types::{ErrorKind, Millis, Org, RequestId, Upstream};
use std::collections::BTreeSet;

/// The interval between removals of old state, in milliseconds.
const PRUNE_INTERVAL_MS: u64 = 1_000;

/// The shortest silence that counts as hanging, however little time a request has left.
const MIN_STALL_MS: u64 = 200;

impl Router {
    /// Sends queued requests to this upstream while it has free slots.
    pub(crate) fn dispatch_queued(
        &mut self,
        upstream: &Upstream,
        now: Millis,
        out: &mut Vec<RouteAction>,
    ) {
        while let Some(choice) = self.next_for(upstream, now) {
            let id = choice.id;
            let Some(open) = self.open.get(&id) else {
                return;
            };
            let (route, level, org) = (
                open.request.route.clone(),
                open.request.level(),
                open.request.org.clone(),
            );
            if let Some(queue) = self.queues.get_mut(&route) {
                queue.remove(level, &org, id);
                queue.on_departure(now);
            }
            if let Some(state) = self.upstreams.get_mut(upstream) {
                state.departures += 1;
            }
            self.record_choice(&choice, now);
            self.send(id, upstream, now, out);
        }
    }

    /// Returns the request that takes the upstream's next free slot.
    pub(crate) fn next_for(&self, upstream: &Upstream, now: Millis) -> Option<Choice> {
        let state = self.upstreams.get(upstream)?;
        if !state.has_free_slot(now) {
            return None;
        }
        let queues = || {
            let queues = state
                .routes
                .iter()
                .filter_map(|r| Some((r, self.queues.get(r)?)));
            queues.filter(|(_, q)| !q.is_empty())
        };
        // Requests that may not be sent there don't hold up those behind them.
        let excludes = |id| {
            let open = self.open.get(&id);
            open.is_some_and(|o| {
                self.is_excluded(&o.request, upstream, state, now)
                    || !self.may_take_slot(&o.request, state, now)
                    || !o.request.allows(&state.info.version)
            })
        };
        let mut candidates = Vec::new();
        let mut places = Vec::new();
        let shares: Vec<(&RouteQueue, BTreeSet<&Org>)> = queues()
            .map(|(route, queue)| (queue, self.exceeding(route, now)))
            .collect();
        for (queue, over) in &shares {
            for head in queue.heads(now) {
                let Some(open) = self.open.get(&head.id) else {
                    continue;
                };
                candidates.push(Candidate {
                    id: head.id,
                    level: head.line.level,
                    latest: head.latest,
                    work: open.request.work(state.uncached_tokens(&open.request)),
                    arrived: head.arrived,
                    over: over.contains(&head.line.org),
                    turn: state.virtual_start(&head.line.org),
                });
                places.push((*queue, head));
            }
        }
        // Several routes share the upstream: the slowest rate is the safe one.
        let intervals = queues().filter_map(|(_, q)| q.interval());
        let slot = FreeSlot {
            now,
            interval: intervals.max_by(f64::total_cmp),
            departures: state.departures,
            scarce: queues().filter_map(|(_, q)| q.scarce(now)).min(),
        };
        let waiting = || {
            let all = shares
                .iter()
                .flat_map(|(queue, over)| queue.waiting(|org| over.contains(org)));
            all.collect()
        };
        // Whether a request may be sent there takes longer to find out than its place in the order,
        // so that only those that are chosen are checked.
        loop {
            let choice = choose(&candidates, waiting, &slot)?;
            let index = candidates.iter().position(|c| c.id == choice.id)?;
            let open = self.open.get(&choice.id)?;
            if !excludes(choice.id) && self.may_start(open, upstream, state, now) {
                return Some(choice);
            }
            let (queue, head) = places[index];
            let next = match excludes(choice.id) {
                true => queue.next_in_line(&head, now, |id| !excludes(id)),
                false => None,
            };
            let next = next.and_then(|head| Some((head, &self.open.get(&head.id)?.request)));
            let Some((head, request)) = next else {
                candidates.swap_remove(index);
                places.swap_remove(index);
                continue;
            };
            places[index] = (queue, head);
            candidates[index] = Candidate {
                id: head.id,
                latest: head.latest,
                work: request.work(state.uncached_tokens(request)),
                arrived: head.arrived,
                ..candidates[index]
            };
        }
    }

    /// Returns whether a queued request may take a free slot of this upstream.
    fn may_start(
        &self,
        open: &OpenRequest,
        upstream: &Upstream,
        state: &UpstreamState,
        now: Millis,
    ) -> bool {
        let request = &open.request;
        // After a suspension the deadline may have passed before the next tick fails it.
        request.due > now
            && self.cost_model(request, now).allows(state, request)
            && !state.is_refusing(&request.route, now)
            && self.has_room_for(state, request, now)
            && self.may_send_to(request, upstream, state)
    }

    /// Returns whether the organisation of a request may take one more slot.
    pub(crate) fn has_room_for(
        &self,
        state: &UpstreamState,
        request: &RouteRequest,
        now: Millis,
    ) -> bool {
        match self.settings.reserve {
            true => state.has_free_slot_for(&request.org, now),
            false => state.has_free_slot(now),
        }
    }

    /// Returns the organisations that exceed their shares of a route's upstreams.
    fn exceeding(&self, route: &Route, now: Millis) -> BTreeSet<&Org> {
        let shares = self.fair.get(&route.to_base());
        shares.map_or_else(BTreeSet::new, |s| s.exceeding(now))
    }

    /// Records that a request was refused for lack of capacity. What an organisation wants beyond
    /// its share does not count as a lack.
    pub(crate) fn record_shed(&mut self, request: &RouteRequest, now: Millis) {
        let passed = request.target.is_some_and(|t| t < now);
        if passed || self.exceeding(&request.route, now).contains(&request.org) {
            return;
        }
        let queue = self.queues.entry(request.route.clone()).or_default();
        queue.on_shed(request.level(), now);
    }

    /// Counts the choices that did not follow the order of classes.
    fn record_choice(&mut self, choice: &Choice, now: Millis) {
        let request = |id| self.open.get(&id).map(|o| &o.request);
        let left = |r: &RouteRequest| r.target.map(|t| Millis(t.since(now)));
        if let (Some(sent), Some(overtaken)) = (request(choice.id), choice.overtaken) {
            let note = QueueNote::Overtaken {
                route: sent.route.clone(),
                id: choice.id,
                overtaken,
                reason: choice.reason,
                left: left(sent),
                overtaken_left: request(overtaken).and_then(left),
            };
            self.push_queue_note(note);
        }
        match choice.reason {
            Reason::Urgency => {}
            Reason::ShortWork => self.stats.short_first += 1,
            Reason::Slack => self.stats.slack_used += 1,
            Reason::Turn => self.stats.turns += 1,
        }
    }

    pub(crate) fn tick(&mut self, now: Millis, out: &mut Vec<RouteAction>) {
        self.refuse_overdue(now, out);
        self.refuse_versionless(out);
        self.refuse_unplaceable(now, out);
        self.update_holds(now);
        self.reroute_stalled(now, out);
        self.dispatch_all_queued(now, out);
        if now.since(self.last_prune) >= PRUNE_INTERVAL_MS {
            self.last_prune = now;
            self.upstreams.values_mut().for_each(|b| b.prune(now));
            self.limiter.prune(now);
            self.drop_old_crashes(now);
            self.reach.prune(now);
            self.shares.prune(now);
            self.fair.values_mut().for_each(|f| f.prune(now));
        }
    }

    /// Sends queued requests wherever slots are free.
    pub(crate) fn dispatch_all_queued(&mut self, now: Millis, out: &mut Vec<RouteAction>) {
        if self.queues.values().all(RouteQueue::is_empty) {
            return;
        }
        let names: Vec<Upstream> = self.upstreams.keys().cloned().collect();
        for name in names {
            self.dispatch_queued(&name, now, out);
        }
    }

    /// Fails requests that can no longer start in time.
    pub(crate) fn refuse_overdue(&mut self, now: Millis, out: &mut Vec<RouteAction>) {
        let overdue: Vec<RequestId> = self.queues.values().flat_map(|q| q.overdue(now)).collect();
        let request = |id| self.open.get(id).map(|o| o.request.clone());
        let overdue: Vec<RouteRequest> = overdue.iter().filter_map(request).collect();
        overdue.iter().for_each(|request| self.dequeue(request));
        for request in overdue {
            let id = request.id;
            let served = self.is_served(&request.route);
            let started = was_started(self.open.get(&id));
            let start = self.next_start(&request, now);
            if let Some(start) = start.filter(|s| s.is_excluded() && !started) {
                self.refuse_limited(id, &start, now, out);
                continue;
            }
            if served && !started {
                self.record_shed(&request, now);
                self.record_expired(&request, now);
            }
            let kind = match (served, started) {
                (_, true) => ErrorKind::BrokenStream,
                (true, false) => ErrorKind::DeadlineUnmet,
                (false, false) => ErrorKind::NoUpstream,
            };
            self.fail(id, kind, out);
        }
    }

    /// Records how a request stood in the order that was refused after its wait.
    fn record_expired(&mut self, request: &RouteRequest, now: Millis) {
        let queue = self.queues.get(&request.route);
        let note = QueueNote::Expired {
            route: request.route.clone(),
            id: request.id,
            level: request.level(),
            over: self.exceeding(&request.route, now).contains(&request.org),
            left: request.target.map(|t| Millis(t.since(now))),
            queued: queue.map_or(0, RouteQueue::len),
        };
        self.push_queue_note(note);
    }

    /// Finds the sends that are overdue or lost. The slots of those that are lost are free.
    fn update_holds(&mut self, now: Millis) {
        let mut lost = Vec::new();
        let busy = self.upstreams.values_mut();
        for state in busy.filter(|b| !b.in_flight.is_empty()) {
            let reach = &self.reach;
            let can_tell = |f: &InFlight| reach.can_tell(f.group, f.daemon, f.sent);
            let (ids, inconclusive) = state.update_holds(now, can_tell);
            lost.extend(ids.iter().filter_map(|id| state.in_flight.get(id).cloned()));
            if inconclusive {
                state.breaker.on_inconclusive();
            }
        }
        for send in lost {
            self.reach.on_lost(send.group, send.daemon, send.sent, now);
        }
    }

    /// Opens the breaker of an upstream that is silent while requests hang, unless all of these may
    /// hang because of their daemons' paths, and reroutes those that are repeatable.
    pub(crate) fn reroute_stalled(&mut self, now: Millis, out: &mut Vec<RouteAction>) {
        let mut stalled = Vec::new();
        let busy = self
            .upstreams
            .iter_mut()
            .filter(|(_, b)| !b.in_flight.is_empty());
        for (name, state) in busy {
            let silence = now.since(state.last_byte);
            let hangs = |f: &InFlight| {
                !f.answered && now.since(f.sent) >= f.stall_timeout && silence >= f.stall_timeout
            };
            if !state.in_flight.values().any(hangs) {
                continue;
            }
            let hanging = || state.in_flight.values().filter(|f| hangs(f));
            let reach = &self.reach;
            if hanging().any(|f| reach.can_tell(f.group, f.daemon, f.sent)) {
                let daemons = hanging().map(|f| f.daemon).collect();
                if state.breaker.trip(now) {
                    self.stats.opened += 1;
                    self.openings.push(UpstreamOpening {
                        upstream: name.clone(),
                        cause: OpeningCause::Silence,
                        daemons,
                    });
                }
            }
            let ids = state
                .in_flight
                .iter()
                .filter(|(_, f)| hangs(f))
                .map(|(id, _)| *id);
            stalled.extend(ids.map(|id| (id, name.clone())));
        }
        for (id, upstream) in stalled {
            self.reroute(id, &upstream, now, out);
        }
    }

    pub(crate) fn reroute(
        &mut self,
        id: RequestId,
        from: &Upstream,
        now: Millis,
        out: &mut Vec<RouteAction>,
    ) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let elsewhere = self.select(open, now).filter(|u| u != from);
        let max_attempts = open
            .request
            .policy
            .max_attempts
            .unwrap_or(self.settings.max_attempts);
        let may_reroute = open.request.repeatable && open.reached < max_attempts;
        let Some(upstream) = elsewhere.filter(|_| may_reroute) else {
            return;
        };
        let attempt = open.attempt;
        if let Some(state) = self.upstreams.get_mut(from) {
            state.on_end(id);
        }
        out.push(RouteAction::Cancel {
            id,
            attempt,
            upstream: from.clone(),
        });
        self.send(id, &upstream, now, out);
    }

    /// Fails all queued requests, for a daemon that stops and has waited long enough.
    pub fn refuse_waiting(&mut self, out: &mut Vec<RouteAction>) {
        let ids: Vec<RequestId> = self.queues.values().flat_map(RouteQueue::ids).collect();
        self.queues.clear();
        for id in ids {
            self.fail(id, ErrorKind::Leaving, out);
        }
    }
}

fn was_started(open: Option<&OpenRequest>) -> bool {
    open.is_some_and(|o| o.attempt > 0 && o.first_byte.is_some())
}

/// Returns half of the time that a request has left, so that another upstream can still meet its
/// target, and at most the setting.
pub(crate) fn stall_timeout(setting: Millis, due: Millis, now: Millis) -> u64 {
    setting.0.min((due.since(now) / 2).max(MIN_STALL_MS))
}

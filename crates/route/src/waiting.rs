//! Requests that wait or hang: they are sent once a slot is free, rerouted, or failed.

use crate::queue::RouteQueue;
use crate::router::OpenRequest;
use crate::upstream::InFlight;
use crate::{OpeningCause, RouteAction, RouteRequest, Router, UpstreamOpening};
use shaleline_types::{ErrorKind, Millis, RequestId, Upstream};

/// The interval between removals of old state, in milliseconds.
const PRUNE_INTERVAL_MS: u64 = 1_000;

/// One in this many freed slots goes to the least urgent request that waits. On an upstream with
/// too many urgent requests, all others would otherwise wait until their deadline.
const LEAST_URGENT_INTERVAL: u64 = 16;

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
        while let Some(id) = self.next_for(upstream, now) {
            let Some(open) = self.open.get(&id) else {
                return;
            };
            let (route, priority, org) = (
                open.request.route.clone(),
                open.request.priority,
                open.request.org.clone(),
            );
            if let Some(queue) = self.queues.get_mut(&route) {
                queue.remove(priority, &org, id);
                queue.on_departure(now);
            }
            if let Some(state) = self.upstreams.get_mut(upstream) {
                state.departures += 1;
            }
            self.send(id, upstream, now, out);
        }
    }

    /// Returns the most urgent request that may be sent there, from the organisation served least;
    /// at intervals, the least urgent one.
    pub(crate) fn next_for(&self, upstream: &Upstream, now: Millis) -> Option<RequestId> {
        let state = self.upstreams.get(upstream)?;
        if !state.has_free_slot(now) {
            return None;
        }
        let queues = state.routes.iter().filter_map(|r| self.queues.get(r));
        // Requests that may not be sent there don't hold up those behind them.
        let excludes = |id| {
            let open = self.open.get(&id);
            open.is_some_and(|o| {
                self.is_excluded(&o.request, upstream, state, now)
                    || !self.may_take_slot(&o.request, state, now)
                    || !o.request.allows(&state.info.version)
            })
        };
        let heads = queues.flat_map(|q| q.heads_where(|id| !excludes(id)));
        let allowed = heads.filter(|h| {
            let open = self.open.get(&h.id);
            let in_time =
                open.is_none_or(|o| self.cost_model(&o.request, now).allows(state, &o.request));
            let refusing = open.is_some_and(|o| state.is_refusing(&o.request.route, now));
            // After a suspension the deadline may have passed before the next tick fails it.
            let due = open.is_none_or(|o| o.request.due > now);
            let may_send =
                due && open.is_none_or(|o| self.may_send_to(&o.request, upstream, state));
            in_time && !refusing && state.has_free_slot_for(h.org, now) && may_send
        });
        let least_urgent = (state.departures + 1) % LEAST_URGENT_INTERVAL == 0;
        let best = allowed.min_by(|a, b| {
            let (a, b) = match least_urgent && a.priority != b.priority {
                true => (b, a),
                false => (a, b),
            };
            let start = |h: &crate::queue::Head<'_>| state.virtual_start(h.org);
            a.priority
                .cmp(&b.priority)
                .then(start(a).total_cmp(&start(b)))
                .then(a.id.cmp(&b.id))
        })?;
        Some(best.id)
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
            let kind = match (served, started) {
                (_, true) => ErrorKind::BrokenStream,
                (true, false) => ErrorKind::DeadlineUnmet,
                (false, false) => ErrorKind::NoUpstream,
            };
            self.fail(id, kind, out);
        }
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

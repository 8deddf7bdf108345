//! How sends end: answers, failures, callers and upstreams that leave, and retries.

use crate::estimate::ratio_of;
use crate::reach::Group;
use crate::upstream::InFlight;
use crate::{
    AttemptEnd, AttemptNumber, Measurement, OpeningCause, Route, RouteAction, RouteRequest, Router,
    UpstreamOpening,
};
use shaleline_types::{ErrorKind, Millis, RequestId, Safeguard, Upstream};

/// The most sends of a request, including those that didn't reach an upstream, but not those that
/// its daemon gave back.
const MAX_SENDS: AttemptNumber = 6;

/// Time for which a request avoids an upstream that did not fit it. Its daemon may learn meanwhile
/// of a change of the upstream, and otherwise gives the next send back as well.
const UNFIT_MS: u64 = 500;

impl Router {
    /// Returns whether an answer belongs to the current attempt.
    pub(crate) fn is_current(&mut self, id: RequestId, attempt: AttemptNumber) -> bool {
        let current = self
            .open
            .get(&id)
            .is_some_and(|o| o.attempt == attempt || !Safeguard::AttemptMatch.is_active());
        self.stats.late += u64::from(!current);
        current
    }

    pub(crate) fn on_byte(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        first: bool,
        now: Millis,
    ) {
        if !self.is_current(id, attempt) {
            return;
        }
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        if first {
            open.first_byte.get_or_insert(now);
        }
        let Some(state) = open
            .upstream
            .as_ref()
            .and_then(|u| self.upstreams.get_mut(u))
        else {
            return;
        };
        state.last_byte = now;
        state.on_answer(id, now);
        let Some(send) = state.in_flight.get_mut(&id) else {
            return;
        };
        self.reach.on_answer(send.group, send.daemon, now);
        if send.answered {
            return;
        }
        send.answered = true;
        let base = open.request.route.to_base();
        let waited = Millis(now.since(send.sent));
        if matches!(base, Route::Model { .. }) {
            state.latest_completion = Some((send.predicted, waited.0 as f64));
        }
        self.answer_times.entry(base).or_default().record(waited);
        if send.prompt_ms > 0.0 {
            let ratio = ratio_of(now.since(send.sent) as f64, send.expected);
            state.slowness.learn(ratio, now);
            let route = &open.request.route;
            self.tokens.learn(route, ratio, self.settings.token_ms);
        }
    }

    /// Records what was measured at the upstream of an attempt.
    pub(crate) fn measured(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        measurement: &Measurement,
        now: Millis,
    ) {
        let open = self.open.get(&id).filter(|o| o.attempt == attempt);
        let Some((open, state)) =
            open.and_then(|o| Some((o, self.upstreams.get_mut(o.upstream.as_ref()?)?)))
        else {
            return;
        };
        if let Some(percent) = measurement.slowdown {
            state.speed.report(percent, now);
            self.slowdowns.insert(Group::of(&open.request.route));
        }
        if measurement.intervals > 0 && measurement.elapsed.0 > 0 {
            let interval = measurement.elapsed.0 as f64 / f64::from(measurement.intervals);
            let ratio = self.times.learn_interval(&open.request.route, interval);
            state.speed.measure(ratio, measurement.elapsed, now);
        }
    }

    /// Records how long a complete request held its slot. The time of a plain service shows the
    /// speed of its upstream; that of a stream depends on its length.
    fn learn_stay(&mut self, upstream: &Upstream, id: RequestId, send: &InFlight, now: Millis) {
        let (Some(open), Some(state)) = (self.open.get(&id), self.upstreams.get_mut(upstream))
        else {
            return;
        };
        let span = Millis(now.since(send.sent));
        let route = &open.request.route;
        let ratio = self.times.learn_stay(route, span.0 as f64);
        if matches!(route, Route::Service(_)) {
            state.speed.measure(ratio, span, now);
            state.latest_completion = Some((send.predicted, span.0 as f64));
        }
    }

    pub(crate) fn ended(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        end: AttemptEnd,
        now: Millis,
        out: &mut Vec<RouteAction>,
    ) {
        if !self.is_current(id, attempt) {
            return;
        }
        let Some(upstream) = self.open.get_mut(&id).and_then(|o| o.upstream.take()) else {
            return;
        };
        self.record_outcome(&upstream, id, end, now);
        match end {
            AttemptEnd::Whole => {
                self.record_success(id, now);
                self.close(id);
            }
            AttemptEnd::Cancelled => self.close(id),
            AttemptEnd::NotSent => {
                if let Some(open) = self.open.get_mut(&id) {
                    open.reached -= 1;
                }
                self.retry_request(id, ErrorKind::NoUpstream, now, out);
            }
            AttemptEnd::NoPermit(_)
            | AttemptEnd::Leaving
            | AttemptEnd::Resting(_)
            | AttemptEnd::Unfit => {
                if let Some(open) = self.open.get_mut(&id) {
                    open.reached -= 1;
                    open.given_back += 1;
                    open.tried.pop();
                    let wait = match end {
                        // Without any wait it would be selected again at once.
                        AttemptEnd::Resting(wait) => Some(wait.0.max(1)),
                        AttemptEnd::Unfit => Some(UNFIT_MS),
                        _ => None,
                    };
                    let until = wait.map(|w| (upstream.clone(), now.plus(w)));
                    open.request.excluded.extend(until);
                }
                if end == AttemptEnd::Leaving {
                    self.set_leaving(&upstream, true);
                }
                self.dispatch(id, now, out);
            }
            AttemptEnd::Refused => self.retry_request(id, ErrorKind::NoUpstream, now, out),
            AttemptEnd::Broken | AttemptEnd::PathBroken => self.retry_if_repeatable(id, now, out),
            AttemptEnd::UpstreamEnded(start) => {
                self.record_crash(id, start, now, out);
                self.retry_if_repeatable(id, now, out);
            }
        }
        self.dispatch_queued(&upstream, now, out);
    }

    pub(crate) fn record_outcome(
        &mut self,
        upstream: &Upstream,
        id: RequestId,
        end: AttemptEnd,
        now: Millis,
    ) {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let send = state.on_end(id);
        let place = send.as_ref().map(|s| (s.group, s.daemon));
        if let (AttemptEnd::Refused, Some(open)) = (end, self.open.get(&id)) {
            state.record_refusal(&open.request.route, now);
        }
        match end {
            AttemptEnd::Whole => {
                if let Some((group, daemon)) = place {
                    self.reach.on_answer(group, daemon, now);
                }
                state.last_byte = now;
                state.failures.record(0.0, now);
                state.breaker.on_success();
                self.budget.on_success();
                if let Some(send) = send {
                    self.learn_stay(upstream, id, &send, now);
                }
            }
            AttemptEnd::NotSent | AttemptEnd::Broken | AttemptEnd::UpstreamEnded(_) => {
                let may_be_path = end == AttemptEnd::Broken
                    && place.is_some_and(|(g, d)| self.reach.is_suspect(g, d, now));
                if may_be_path {
                    state.breaker.on_inconclusive();
                    return;
                }
                state.failures.record(1.0, now);
                if state.breaker.on_failure(now) {
                    self.stats.opened += 1;
                    self.openings.push(UpstreamOpening {
                        upstream: upstream.clone(),
                        cause: OpeningCause::Failures,
                        daemons: place.iter().map(|(_, d)| *d).collect(),
                    });
                }
            }
            AttemptEnd::Refused => {
                if let Some((group, daemon)) = place {
                    self.reach.on_answer(group, daemon, now);
                }
                state.breaker.on_inconclusive();
            }
            AttemptEnd::NoPermit(wait) => {
                state.pace.delay(wait, now);
                state.breaker.on_inconclusive();
            }
            AttemptEnd::Cancelled
            | AttemptEnd::PathBroken
            | AttemptEnd::Leaving
            | AttemptEnd::Resting(_)
            | AttemptEnd::Unfit => {
                state.breaker.on_inconclusive();
            }
        }
    }

    pub(crate) fn close(&mut self, id: RequestId) {
        if let Some(open) = self.open.remove(&id) {
            self.copies.remove(&open.request);
            self.limiter.finish(&open.request.org, open.request.cost);
        }
    }

    pub(crate) fn fail(&mut self, id: RequestId, kind: ErrorKind, out: &mut Vec<RouteAction>) {
        self.fail_with(id, kind, None, out);
    }

    pub(crate) fn fail_with(
        &mut self,
        id: RequestId,
        kind: ErrorKind,
        retry: Option<Millis>,
        out: &mut Vec<RouteAction>,
    ) {
        if let Some(open) = self.open.remove(&id) {
            self.copies.remove(&open.request);
            self.limiter.finish(&open.request.org, 0);
            self.refuse(id, kind, retry, out);
        }
    }

    pub(crate) fn retry_if_repeatable(
        &mut self,
        id: RequestId,
        now: Millis,
        out: &mut Vec<RouteAction>,
    ) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        if open.request.repeatable {
            self.retry_request(id, ErrorKind::BrokenStream, now, out);
        } else {
            self.fail(id, ErrorKind::UpstreamFailed, out);
        }
    }

    /// Retries a request if its attempts, the retry budget and its deadline allow it.
    pub(crate) fn retry_request(
        &mut self,
        id: RequestId,
        kind: ErrorKind,
        now: Millis,
        out: &mut Vec<RouteAction>,
    ) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let started = open.first_byte.is_some();
        let in_time = started || open.request.due > now;
        let max_attempts = open
            .request
            .policy
            .max_attempts
            .unwrap_or(self.settings.max_attempts);
        let sends = open.attempt - open.given_back;
        let left = open.reached < max_attempts && sends < MAX_SENDS.max(self.settings.max_attempts);
        if left && in_time && self.budget.take() {
            self.dispatch(id, now, out);
        } else {
            self.fail(id, kind, out);
        }
    }

    pub(crate) fn caller_gone(&mut self, id: RequestId, now: Millis, out: &mut Vec<RouteAction>) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        self.copies.remove(&open.request);
        self.limiter.finish(&open.request.org, open.request.cost);
        let Some(upstream) = open.upstream else {
            self.dequeue(&open.request);
            return;
        };
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.on_end(id);
            state.breaker.on_inconclusive();
        }
        out.push(RouteAction::Cancel {
            id,
            attempt: open.attempt,
            upstream: upstream.clone(),
        });
        self.dispatch_queued(&upstream, now, out);
    }

    pub(crate) fn dequeue(&mut self, request: &RouteRequest) {
        if let Some(queue) = self.queues.get_mut(&request.route) {
            queue.remove(request.level(), &request.org, request.id);
        }
    }

    pub(crate) fn restarted(&mut self, upstream: &Upstream) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.reset_learned();
        }
        for open in self.open.values_mut() {
            open.request.excluded.remove(upstream);
        }
    }

    pub(crate) fn removed(&mut self, upstream: &Upstream, now: Millis, out: &mut Vec<RouteAction>) {
        let Some(state) = self.upstreams.remove(upstream) else {
            return;
        };
        for id in state.in_flight.into_keys() {
            if let Some(open) = self.open.get_mut(&id) {
                open.upstream = None;
                self.retry_if_repeatable(id, now, out);
            }
        }
    }
}

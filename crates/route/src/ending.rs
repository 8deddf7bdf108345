//! How sends end: answers, failures, callers and upstreams that go, and what is sent again.

use crate::estimate::ratio_of;
use crate::{AttemptEnd, AttemptNumber, RouteAction, RouteRequest, Router};
use shaleline_types::{ErrorKind, Millis, RequestId, Safeguard, Upstream};

/// How often a request is sent at the most, sends that reached nobody included.
const MOST_SENDS: AttemptNumber = 6;

impl Router {
    /// Whether an answer belongs to the attempt that counts now.
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
            self.tokens.learn(route, ratio, self.settings.token_ms);
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
        let Some(upstream) = self.open.get_mut(&id).and_then(|o| o.at.take()) else {
            return;
        };
        self.judge_upstream(&upstream, id, end, now);
        match end {
            AttemptEnd::Whole => {
                self.note_good_end(id, now);
                self.close(id);
            }
            AttemptEnd::Cancelled => self.close(id),
            AttemptEnd::NotSent => {
                if let Some(open) = self.open.get_mut(&id) {
                    open.reached -= 1;
                }
                self.again(id, ErrorKind::NoUpstream, now, out);
            }
            AttemptEnd::Refused => self.again(id, ErrorKind::NoUpstream, now, out),
            AttemptEnd::Broken => self.again_if_repeatable(id, now, out),
            AttemptEnd::UpstreamEnded(start) => {
                let identity = self.open.get(&id).and_then(|o| o.ask.identity);
                self.note_end(identity, start, now, out);
                self.again_if_repeatable(id, now, out);
            }
        }
        self.pump(&upstream, now, out);
    }

    pub(crate) fn judge_upstream(
        &mut self,
        upstream: &Upstream,
        id: RequestId,
        end: AttemptEnd,
        now: Millis,
    ) {
        let Some(back) = self.backs.get_mut(upstream) else {
            return;
        };
        back.on_end(id);
        if let (AttemptEnd::Refused, Some(open)) = (end, self.open.get(&id)) {
            back.note_refused(&open.ask.route, now);
        }
        match end {
            AttemptEnd::Whole => {
                back.last_byte = now;
                back.failures.note(0.0, now);
                back.breaker.on_success();
                self.budget.on_success();
            }
            AttemptEnd::NotSent | AttemptEnd::Broken | AttemptEnd::UpstreamEnded(_) => {
                back.failures.note(1.0, now);
                self.stats.opened += u64::from(back.breaker.on_failure(now));
            }
            AttemptEnd::Refused | AttemptEnd::Cancelled => back.breaker.on_neutral(),
        }
    }

    pub(crate) fn close(&mut self, id: RequestId) {
        if let Some(open) = self.open.remove(&id) {
            self.copies.remove(&open.ask);
            self.limiter.finish(&open.ask.org, open.ask.cost);
        }
    }

    pub(crate) fn give_up(&mut self, id: RequestId, kind: ErrorKind, out: &mut Vec<RouteAction>) {
        if let Some(open) = self.open.remove(&id) {
            self.copies.remove(&open.ask);
            self.limiter.finish(&open.ask.org, 0);
            self.refuse(id, kind, None, out);
        }
    }

    pub(crate) fn again_if_repeatable(
        &mut self,
        id: RequestId,
        now: Millis,
        out: &mut Vec<RouteAction>,
    ) {
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
    pub(crate) fn again(
        &mut self,
        id: RequestId,
        kind: ErrorKind,
        now: Millis,
        out: &mut Vec<RouteAction>,
    ) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let started = open.first;
        let in_time = started || open.ask.due > now;
        let most = open
            .ask
            .policy
            .max_attempts
            .unwrap_or(self.settings.max_attempts);
        let left = open.reached < most && open.attempt < MOST_SENDS.max(self.settings.max_attempts);
        if left && in_time && self.budget.take() {
            self.place(id, now, out);
        } else {
            self.give_up(id, kind, out);
        }
    }

    pub(crate) fn caller_gone(&mut self, id: RequestId, now: Millis, out: &mut Vec<RouteAction>) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        self.copies.remove(&open.ask);
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

    pub(crate) fn unqueue(&mut self, ask: &RouteRequest) {
        if let Some(queue) = self.queues.get_mut(&ask.route) {
            queue.remove(ask.priority, &ask.org, ask.id);
        }
    }

    pub(crate) fn removed(&mut self, upstream: &Upstream, now: Millis, out: &mut Vec<RouteAction>) {
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
}

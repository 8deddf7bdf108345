//! Requests that no upstream takes yet, because all limit their rates or are excluded.

use crate::breaker::BreakerState;
use crate::queue::RouteQueue;
use crate::returns::RETURN_INTERVAL_MS;
use crate::upstream::UpstreamState;
use crate::{Route, RouteAction, RouteRequest, Router};
use shaleline_types::{ErrorKind, Millis, RequestId, Upstream};

/// When the first upstream takes a request.
#[derive(Debug)]
pub(crate) struct NextStart {
    upstream: Upstream,
    /// The time until then in milliseconds, that for the queued requests included.
    wait: f64,
    /// The part of it for which the request excludes the upstream.
    excluded: f64,
}

impl NextStart {
    pub(crate) fn is_excluded(&self) -> bool {
        self.excluded > 0.0
    }
}

impl Router {
    /// Returns when the first upstream takes the request, if every upstream that serves it limits
    /// its rate or is excluded.
    pub(crate) fn next_start(&self, request: &RouteRequest, now: Millis) -> Option<NextStart> {
        let queue = self.queues.get(&request.route);
        let ahead = queue.map_or(0, RouteQueue::len);
        let serves = |(_, b): &(&Upstream, &UpstreamState)| {
            let open = b.breaker.state(now) == BreakerState::Open;
            b.routes.contains(&request.route)
                && request.allows(&b.info.version)
                && !b.is_leaving()
                && !open
        };
        let serving = self.upstreams.iter().filter(serves);
        let mut first: Option<NextStart> = None;
        for (name, state) in serving {
            let excluded = request.excluded_for(name, now).0 as f64;
            let limited = state.pace.interval().is_some();
            if !limited && excluded == 0.0 {
                return None;
            }
            let mut wait = state.pace.wait(ahead, now);
            if excluded > 0.0 {
                wait = wait.max(excluded + self.returns_ahead(&request.route, name));
            }
            if first.as_ref().is_none_or(|f| wait < f.wait) {
                first = Some(NextStart {
                    upstream: name.clone(),
                    wait,
                    excluded,
                });
            }
        }
        first
    }

    /// Returns the same if it is later than the request may start.
    pub(crate) fn late_start(&self, request: &RouteRequest, now: Millis) -> Option<NextStart> {
        let late = |s: &NextStart| now.0 as f64 + s.wait > request.start_by(now).0 as f64;
        self.next_start(request, now).filter(late)
    }

    /// Returns the time in milliseconds that the queued requests take that wait for the upstream.
    fn returns_ahead(&self, route: &Route, upstream: &Upstream) -> f64 {
        let queued = self.queues.get(route).into_iter().flat_map(RouteQueue::ids);
        let waits = |id: &RequestId| {
            let open = self.open.get(id);
            open.is_some_and(|o| o.request.excluded.contains_key(upstream))
        };
        (queued.filter(waits).count() as u64 * RETURN_INTERVAL_MS) as f64
    }

    /// Refuses a request with the time at which the first upstream takes it.
    pub(crate) fn refuse_limited(
        &mut self,
        id: RequestId,
        start: &NextStart,
        now: Millis,
        out: &mut Vec<RouteAction>,
    ) {
        let state = self.upstreams.get_mut(&start.upstream);
        let retry = state.map(|state| {
            let limited = state.pace.interval().is_some();
            let paced = limited.then(|| state.pace.reserve_retry(start.wait, now));
            if !start.is_excluded() {
                return paced.unwrap_or_default();
            }
            // Those that are queued for the same time come first.
            let wait = paced.map_or(start.wait, |p| start.wait.max(p.0 as f64));
            let at = state.returns.reserve(now.plus(wait as u64), now);
            Millis(at.since(now))
        });
        self.fail_with(id, ErrorKind::UpstreamsLimited, retry, out);
    }

    /// Records until when an upstream takes none of some requests: those of one daemon, of which
    /// one was given back.
    pub fn exclude(
        &mut self,
        upstream: &Upstream,
        until: Millis,
        concerns: impl Fn(RequestId) -> bool,
    ) {
        let open = self.open.iter_mut().filter(|(id, _)| concerns(**id));
        for (_, open) in open {
            let excluded = &mut open.request.excluded;
            let known = excluded.entry(upstream.clone()).or_insert(until);
            *known = until.max(*known);
        }
    }

    /// Returns whether a request may not be sent to an upstream yet, as its daemon may not send it
    /// there or others that had to wait come first.
    pub(crate) fn is_excluded(
        &self,
        request: &RouteRequest,
        name: &Upstream,
        state: &UpstreamState,
        now: Millis,
    ) -> bool {
        let until = request.excluded.get(name);
        until.is_some_and(|until| now < *until || !state.returns.is_due(now))
    }
}

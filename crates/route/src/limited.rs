//! Requests whose upstreams all limit their rates.

use crate::breaker::BreakerState;
use crate::queue::RouteQueue;
use crate::upstream::UpstreamState;
use crate::{RouteAction, RouteRequest, Router};
use shaleline_types::{ErrorKind, Millis, RequestId, Upstream};

impl Router {
    /// Returns the upstream whose next permit is due first, with the time until then in
    /// milliseconds, if every upstream that serves the request limits its rate and that time is
    /// later than the request may start.
    pub(crate) fn late_permit(
        &self,
        request: &RouteRequest,
        now: Millis,
    ) -> Option<(Upstream, f64)> {
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
        let mut first: Option<(&Upstream, f64)> = None;
        for (name, state) in serving {
            state.pace.interval()?;
            let wait = state.pace.wait(ahead, now);
            if first.is_none_or(|(_, least)| wait < least) {
                first = Some((name, wait));
            }
        }
        let (name, wait) = first?;
        let late = now.0 as f64 + wait > request.start_by(now).0 as f64;
        late.then(|| (name.clone(), wait))
    }

    /// Refuses a request with the time at which a permit is due.
    pub(crate) fn refuse_limited(
        &mut self,
        id: RequestId,
        upstream: &Upstream,
        wait: f64,
        now: Millis,
        out: &mut Vec<RouteAction>,
    ) {
        let state = self.upstreams.get_mut(upstream);
        let retry = state.map(|s| s.pace.reserve_retry(wait, now));
        self.fail_with(id, ErrorKind::UpstreamsLimited, retry, out);
    }
}

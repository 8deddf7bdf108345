//! What the router shows of its state.

use crate::breaker::BreakerState;
use crate::queue::RouteQueue;
use crate::upstream::UpstreamState;
use crate::{PeerLoad, Route, Router, RouterStats, UpstreamStats};
use shaleline_types::{Millis, RequestId, Upstream};

impl Router {
    /// Counters and gauges.
    #[must_use]
    pub fn stats(&self) -> RouterStats {
        RouterStats {
            waiting: self.queues.values().map(RouteQueue::len).sum(),
            open: self.open.len(),
            ..self.stats.clone()
        }
    }

    /// What is known of each upstream.
    #[must_use]
    pub fn upstreams(&self, now: Millis) -> Vec<UpstreamStats> {
        let one = |(name, state): (&Upstream, &UpstreamState)| UpstreamStats {
            name: name.to_string(),
            centre: state.site.centre.to_string(),
            routes: state.routes.iter().map(Route::to_string).collect(),
            in_flight: state.in_flight.len(),
            busy: state.busy(),
            slots: state.slots(),
            leaving: state.is_leaving(),
            healthy: state.breaker.state(now) == BreakerState::Closed,
        };
        self.upstreams.iter().map(one).collect()
    }

    /// Whether an upstream gets no new work; none where it is not known.
    #[must_use]
    pub fn is_leaving(&self, upstream: &Upstream) -> Option<bool> {
        self.upstreams.get(upstream).map(UpstreamState::is_leaving)
    }

    /// Where a request was sent, while that send has not ended.
    #[must_use]
    pub fn upstream_of(&self, id: RequestId) -> Option<&Upstream> {
        self.open.get(&id)?.upstream.as_ref()
    }

    /// Notes that bytes came from an upstream: requests that wait there do not hang.
    pub fn record_activity(&mut self, upstream: &Upstream, now: Millis) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.last_byte = now;
        }
    }

    /// What this daemon itself has at an upstream, for the other daemons.
    #[must_use]
    pub fn own_load(&self, upstream: &Upstream) -> Option<PeerLoad> {
        self.upstreams.get(upstream).map(|b| b.own_load())
    }

    /// What one uncached token of a prompt costs for this route, in milliseconds.
    #[must_use]
    pub fn token_cost(&self, route: &Route) -> f64 {
        self.tokens.get(route, self.settings.token_ms)
    }

    /// The names of the upstreams known.
    pub fn upstream_names(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.keys()
    }

    /// Whether some upstream serves the route and takes new work.
    #[must_use]
    pub fn is_served(&self, route: &Route) -> bool {
        self.serving_count(route) > 0
    }

    /// How many upstreams serve the route and take new work.
    #[must_use]
    pub fn serving_count(&self, route: &Route) -> usize {
        let serves = |b: &&UpstreamState| !b.is_leaving() && b.routes.contains(route);
        self.upstreams.values().filter(serves).count()
    }
}

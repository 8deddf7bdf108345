//! The parts of the router's state that it exposes.

use crate::breaker::BreakerState;
use crate::queue::RouteQueue;
use crate::reach::Group;
use crate::upstream::UpstreamState;
use crate::{
    AttemptNumber, Occupancy, PeerLoad, QueueNote, Route, Router, RouterStats, UpstreamOpening,
    UpstreamStats,
};
use shaleline_types::{Millis, RequestId, Upstream};

/// The most decisions that are kept until they are taken, which bounds memory where none are.
const MAX_QUEUE_NOTES: usize = 256;

impl Router {
    /// Returns counters and gauges.
    #[must_use]
    pub fn stats(&self) -> RouterStats {
        RouterStats {
            waiting: self.queues.values().map(RouteQueue::len).sum(),
            open: self.open.len(),
            ..self.stats.clone()
        }
    }

    /// Returns the state of each upstream.
    #[must_use]
    pub fn upstreams(&self, now: Millis) -> Vec<UpstreamStats> {
        let one = |(name, state): (&Upstream, &UpstreamState)| UpstreamStats {
            name: name.to_string(),
            centre: state.info.centre.to_string(),
            routes: state.routes.iter().map(Route::to_string).collect(),
            in_flight: state.in_flight.len(),
            busy: state.busy(),
            slots: state.slots(),
            leaving: state.is_leaving(),
            healthy: state.breaker.state(now) == BreakerState::Closed,
            speed_percent: (state.speed.factor(now) * 100.0).round() as u64,
            uncertainty_percent: (state.speed.uncertainty(now) * 100.0).round() as u64,
            predicted_ms: state.latest_completion.map(|(p, _)| p.round() as u64),
            measured_ms: state.latest_completion.map(|(_, m)| m.round() as u64),
        };
        self.upstreams.iter().map(one).collect()
    }

    /// Returns how the upstreams of a route are occupied.
    #[must_use]
    pub fn occupancy(&self, route: &Route, now: Millis) -> Occupancy {
        let mut occupancy = Occupancy {
            queued: self.queues.get(route).map_or(0, RouteQueue::len),
            ..Occupancy::default()
        };
        let serving = self.upstreams.values();
        for state in serving.filter(|s| !s.is_leaving() && s.routes.contains(route)) {
            occupancy.upstreams += 1;
            occupancy.open += usize::from(state.breaker.state(now) == BreakerState::Open);
            occupancy.full += usize::from(state.busy() >= state.slots());
            occupancy.overdue += state.overdue();
            occupancy.lost += state.lost();
        }
        occupancy
    }

    /// Returns whether daemons that send a request like this one may have lost their paths to its
    /// upstreams, as several have.
    #[must_use]
    pub fn is_doubtful(&self, id: RequestId, now: Millis) -> bool {
        let open = self.open.get(&id);
        open.is_some_and(|o| self.reach.is_doubtful(Group::of(&o.request.route), now))
    }

    /// Takes the breakers that opened since the last call.
    pub fn take_openings(&mut self) -> Vec<UpstreamOpening> {
        std::mem::take(&mut self.openings)
    }

    /// Takes the decisions about queued and refused requests since the last call, of which the
    /// oldest are kept if there are many.
    pub fn take_queue_notes(&mut self) -> Vec<QueueNote> {
        std::mem::take(&mut self.queue_notes)
    }

    /// Records a decision about a queued or refused request.
    pub(crate) fn push_queue_note(&mut self, note: QueueNote) {
        if self.queue_notes.len() < MAX_QUEUE_NOTES {
            self.queue_notes.push(note);
        }
    }

    /// Returns whether an upstream gets no new requests, or `None` if it is not known.
    #[must_use]
    pub fn is_leaving(&self, upstream: &Upstream) -> Option<bool> {
        self.upstreams.get(upstream).map(UpstreamState::is_leaving)
    }

    /// Returns the upstream that an attempt is in flight to, if it is the request's current one.
    #[must_use]
    pub fn upstream_of_attempt(&self, id: RequestId, attempt: AttemptNumber) -> Option<&Upstream> {
        let current = self.open.get(&id).filter(|o| o.attempt == attempt)?;
        current.upstream.as_ref()
    }

    /// Whether an attempt is the latest one of an open request.
    #[must_use]
    pub fn is_latest(&self, id: RequestId, attempt: AttemptNumber) -> bool {
        self.open.get(&id).is_some_and(|o| o.attempt == attempt)
    }

    /// Returns the upstream that a request is in flight to.
    #[must_use]
    pub fn upstream_of(&self, id: RequestId) -> Option<&Upstream> {
        self.open.get(&id)?.upstream.as_ref()
    }

    /// Records that bytes were received from an upstream, so requests that wait there don't count
    /// as hanging.
    pub fn record_activity(&mut self, upstream: &Upstream, now: Millis) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.last_byte = now;
        }
    }

    /// Returns this daemon's own load at an upstream, to be reported to other daemons.
    #[must_use]
    pub fn own_load(&self, upstream: &Upstream) -> Option<PeerLoad> {
        self.upstreams.get(upstream).map(|b| b.own_load())
    }

    /// Returns the cost of one uncached prompt token for this route, in milliseconds.
    #[must_use]
    pub fn token_cost(&self, route: &Route) -> f64 {
        self.tokens.get(route, self.settings.token_ms)
    }

    /// Returns the names of the known upstreams.
    pub fn upstream_names(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.keys()
    }

    /// Returns whether some upstream serves the route and takes new requests.
    #[must_use]
    pub fn is_served(&self, route: &Route) -> bool {
        self.serving_count(route) > 0
    }

    /// Returns how many upstreams serve the route and take new requests.
    #[must_use]
    pub fn serving_count(&self, route: &Route) -> usize {
        let serves = |b: &&UpstreamState| !b.is_leaving() && b.routes.contains(route);
        self.upstreams.values().filter(serves).count()
    }
}

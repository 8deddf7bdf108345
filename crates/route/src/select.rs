//! Selection among the upstreams that have free slots.

use crate::upstream::UpstreamState;
use crate::RouteRequest;
use shaleline_types::{DataCentre, Millis, Upstream};

/// How upstreams are selected. All but `Expected` are baselines for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ChoicePolicy {
    /// By expected time, from this daemon's sends on top of the reported load, cached prefixes and
    /// the data centre.
    #[default]
    Expected,
    /// In turn.
    RoundRobin,
    /// The least reported load, without this daemon's own sends.
    Reported,
}

/// Comparable costs of sending a request to an upstream, in milliseconds.
const OTHER_CENTRE_MS: f64 = 1.0;
const FULL_LOAD_MS: f64 = 400.0;

/// A large prompt may be sent where the prompt backlog is at most this fraction of the limit:
/// waiting would hardly reduce it further.
const EMPTY_BACKLOG_SHARE: f64 = 0.1;

/// The cost of a failure to the caller: the time until it retries.
const FAILURE_MS: f64 = 2_000.0;

/// Selects an upstream at random, weighted by cost: a cheaper upstream is more likely, and none is
/// selected that costs `unseen` more than the cheapest.
///
/// What other daemons have sent most recently is not known yet. If all of them sent to the upstream
/// that looks cheapest, it would be overloaded. Each upstream is therefore selected in
/// proportion to the unseen work that would level its cost with the others.
pub(crate) fn sample_by_cost<'a>(
    costs: &[(&'a Upstream, f64)],
    unseen: f64,
    sample: f64,
) -> Option<&'a Upstream> {
    let by_cost = |a: &&(&Upstream, f64), b: &&(&Upstream, f64)| a.1.total_cmp(&b.1);
    let (best, min_cost) = costs.iter().min_by(by_cost)?;
    let weight = |cost: f64| (min_cost + unseen - cost).max(0.0);
    let total: f64 = costs.iter().map(|(_, c)| weight(*c)).sum();
    let mut remaining = sample * total;
    for (name, cost) in costs {
        remaining -= weight(*cost);
        if remaining < 0.0 {
            return Some(name);
        }
    }
    Some(best)
}

/// Computes the cost of upstreams for one request; the lowest cost is best.
pub(crate) struct CostModel<'a> {
    pub(crate) choice: ChoicePolicy,
    pub(crate) home: &'a DataCentre,
    pub(crate) send_count: u64,
    /// The cost of one uncached prompt token, in milliseconds.
    pub(crate) token_ms: f64,
    /// See [`crate::PeerVisibility::own_share`].
    pub(crate) own_share: f64,
    pub(crate) now: Millis,
}

impl CostModel<'_> {
    pub(crate) fn cost(
        &self,
        state: &UpstreamState,
        request: &RouteRequest,
        index: usize,
        count: usize,
    ) -> f64 {
        match self.choice {
            ChoicePolicy::Expected => self.expected(state, request),
            ChoicePolicy::Reported => (state.load.running + state.load.waiting) as f64,
            ChoicePolicy::RoundRobin => {
                let count = count.max(1);
                ((index + count - (self.send_count as usize % count)) % count) as f64
            }
        }
    }

    /// Returns whether the request may be sent to the upstream. A request that would wait too long
    /// is better refused while its caller has time to retry.
    pub(crate) fn allows(&self, state: &UpstreamState, request: &RouteRequest) -> bool {
        let max_expected = request.policy.max_expected;
        let in_time = max_expected.is_none_or(|m| self.first_byte_ms(state, request) <= m.0 as f64);
        in_time && self.fits_backlog(state, request)
    }

    /// Returns whether the prompt can be read without a long pause in the streams that run there.
    fn fits_backlog(&self, state: &UpstreamState, request: &RouteRequest) -> bool {
        let Some(limit) = request.policy.backlog_limit else {
            return true;
        };
        let backlog = state.backlog(false, self.now);
        let limit = limit.0 as f64;
        let own_backlog = state.own_load().backlog;
        let own_fits = own_backlog <= limit * self.own_share;
        backlog <= limit * EMPTY_BACKLOG_SHARE
            || (own_fits && backlog + self.prompt_ms(state, request) <= limit)
    }

    /// Returns the expected time to the first byte, as far as prompts determine it.
    pub(crate) fn first_byte_ms(&self, state: &UpstreamState, request: &RouteRequest) -> f64 {
        state.backlog(request.policy.urgent, self.now) + self.prompt_ms(state, request)
    }

    /// Returns the time that the upstream needs to read the request's own prompt.
    pub(crate) fn prompt_ms(&self, state: &UpstreamState, request: &RouteRequest) -> f64 {
        state.uncached_tokens(request) * self.token_ms * state.slowness.get(self.now)
    }

    fn expected(&self, state: &UpstreamState, request: &RouteRequest) -> f64 {
        let utilisation = state.busy() as f64 / state.slots() as f64;
        let centre_cost = if state.info.centre == *self.home {
            0.0
        } else {
            OTHER_CENTRE_MS
        };
        let failure_cost = state.failures.get(self.now) * FAILURE_MS;
        self.first_byte_ms(state, request)
            + utilisation * utilisation * FULL_LOAD_MS
            + centre_cost
            + failure_cost
    }
}

//! Selection among the upstreams that have free slots.

use crate::completion::{usable_slots, wait_ms, Prediction, UsualTimes};
use crate::upstream::UpstreamState;
use crate::{Route, RouteRequest};
use shaleline_types::{DataCentre, Millis, Upstream};

/// How upstreams are selected. All but `Completion` are baselines for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ChoicePolicy {
    /// By predicted completion: as by `Expected`, and by each upstream's present speed.
    #[default]
    Completion,
    /// By expected time, from this daemon's sends on top of the reported load, cached prefixes and
    /// the data centre.
    Expected,
    /// In turn.
    RoundRobin,
    /// The least reported load, without this daemon's own sends.
    Reported,
}

/// Comparable costs of sending a request to an upstream, in milliseconds.
const OTHER_CENTRE_MS: f64 = 1.0;
const FULL_LOAD_MS: f64 = 400.0;

/// The cost of an engine whose slots are all taken, before any request waits for one: its prompts
/// and streams slow each other down. A larger cost keeps streams off fast engines near capacity.
const FULL_ENGINE_MS: f64 = 50.0;

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
    pub(crate) times: UsualTimes,
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
            ChoicePolicy::Completion => {
                self.predict(state, request).completion_ms() + self.fixed_cost(state)
            }
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
        let expected = self.first_byte_ms(state, request) + self.slot_wait_ms(state);
        let in_time = max_expected.is_none_or(|m| expected <= m.0 as f64);
        in_time && self.fits_backlog(state, request) && self.fits_interval(state, request)
    }

    /// Returns whether one more stream leaves the pauses between events within what the request's
    /// route accepts. It uses the lasting speed, as streams outlast the slow moments of a machine.
    fn fits_interval(&self, state: &UpstreamState, request: &RouteRequest) -> bool {
        let limit = request.policy.backlog_limit;
        let (Some(limit), Some(usual), ChoicePolicy::Completion) =
            (limit, self.times.interval_ms(), self.choice)
        else {
            return true;
        };
        let interval = usual * state.speed.lasting_factor(self.now);
        let slots = usable_slots(state.concurrency(), interval, limit.0 as f64);
        slots == state.concurrency() || state.busy() < slots
    }

    /// Returns the wait for a slot where more requests are sent than run at once. It uses the lasting
    /// speed, as requests hold their slots for longer than a machine is slow.
    fn slot_wait_ms(&self, state: &UpstreamState) -> f64 {
        if self.choice != ChoicePolicy::Completion {
            return 0.0;
        }
        let stay = self.times.stay_ms().unwrap_or(0.0);
        let wait = wait_ms(state.busy(), state.concurrency(), stay);
        wait * state.speed.lasting_factor(self.now)
    }

    /// Predicts the time to the first event of a stream, or to the whole answer of a plain service.
    pub(crate) fn predict(&self, state: &UpstreamState, request: &RouteRequest) -> Prediction {
        let concurrency = state.concurrency();
        let utilisation = (state.busy() as f64 / concurrency as f64).min(1.0);
        let (own, full) = match request.route {
            Route::Model { .. } => (self.times.interval_ms(), FULL_ENGINE_MS),
            Route::Service(_) => (self.times.stay_ms(), FULL_LOAD_MS),
        };
        let factor = state.speed.factor(self.now);
        // The time to the first byte is at the upstream's speed already.
        let first_byte = self.first_byte_ms(state, request) / factor;
        Prediction {
            ahead_ms: first_byte
                + self.slot_wait_ms(state) / factor
                + utilisation * utilisation * full,
            own_ms: own.unwrap_or(0.0),
            factor,
        }
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
        let speed = match self.choice {
            ChoicePolicy::Completion => state.speed.factor(self.now),
            _ => 1.0,
        };
        state.uncached_tokens(request) * self.token_ms * state.slowness.get(self.now) * speed
    }

    /// The cost of another data centre and of recent failures, which no speed changes.
    fn fixed_cost(&self, state: &UpstreamState) -> f64 {
        let centre_cost = if state.info.centre == *self.home {
            0.0
        } else {
            OTHER_CENTRE_MS
        };
        centre_cost + state.failures.get(self.now) * FAILURE_MS
    }

    fn expected(&self, state: &UpstreamState, request: &RouteRequest) -> f64 {
        let utilisation = state.busy() as f64 / state.slots() as f64;
        self.first_byte_ms(state, request)
            + utilisation * utilisation * FULL_LOAD_MS
            + self.fixed_cost(state)
    }
}

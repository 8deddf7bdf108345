//! The choice among the upstreams that have room.

use crate::upstream::UpstreamState;
use crate::RouteRequest;
use shaleline_types::{DataCentre, Millis, Upstream};

/// How upstreams are chosen. The others are baselines to measure against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ChoicePolicy {
    /// By expected time: own sends over reported load, prefixes, data centre.
    #[default]
    Expected,
    /// In turn.
    RoundRobin,
    /// The least reported load, nothing added.
    Reported,
}

/// What a request there costs in comparison, in milliseconds.
const OTHER_CENTRE_MS: f64 = 1.0;
const FULL_LOAD_MS: f64 = 400.0;

/// With no more than this part of the pace ahead, a large prompt may be sent: it would not
/// find less later.
const EMPTY_BACKLOG_SHARE: f64 = 0.1;

/// What a failure costs the caller: the time until its own retry.
const FAILURE_MS: f64 = 2_000.0;

/// Draws one of the upstreams by what the request costs there: those that cost least most often,
/// and none that costs `unseen` more than the best.
///
/// What the other daemons have sent in the last moments is not known yet. Where all of them send
/// to the upstream that seems best, it gets what was meant for all. So each takes as much of what
/// comes meanwhile as would bring the costs level.
pub(crate) fn draw_by_cost<'a>(
    costs: &[(&'a Upstream, f64)],
    unseen: f64,
    draw: f64,
) -> Option<&'a Upstream> {
    let by_cost = |a: &&(&Upstream, f64), b: &&(&Upstream, f64)| a.1.total_cmp(&b.1);
    let (best, least) = costs.iter().min_by(by_cost)?;
    let weight = |cost: f64| (least + unseen - cost).max(0.0);
    let all: f64 = costs.iter().map(|(_, c)| weight(*c)).sum();
    let mut left = draw * all;
    for (name, cost) in costs {
        left -= weight(*cost);
        if left < 0.0 {
            return Some(name);
        }
    }
    Some(best)
}

/// Weighs upstreams for one request; the lowest value is the best.
pub(crate) struct Chooser<'a> {
    pub(crate) choice: ChoicePolicy,
    pub(crate) home: &'a DataCentre,
    pub(crate) send_count: u64,
    /// What one uncached token costs, in milliseconds.
    pub(crate) token_ms: f64,
    /// See [`crate::PeerVisibility::own_share`].
    pub(crate) own_share: f64,
    pub(crate) now: Millis,
}

impl Chooser<'_> {
    pub(crate) fn cost(
        &self,
        state: &UpstreamState,
        request: &RouteRequest,
        index: usize,
        of: usize,
    ) -> f64 {
        match self.choice {
            ChoicePolicy::Expected => self.expected(state, request),
            ChoicePolicy::Reported => (state.load.running + state.load.waiting) as f64,
            ChoicePolicy::RoundRobin => {
                let of = of.max(1);
                ((index + of - (self.send_count as usize % of)) % of) as f64
            }
        }
    }

    /// Whether the request may be sent there at all: one that would wait too long is
    /// better refused while its caller has time to come back.
    pub(crate) fn allows(&self, state: &UpstreamState, request: &RouteRequest) -> bool {
        let max_expected = request.policy.max_expected;
        let in_time = max_expected.is_none_or(|m| self.first_byte_ms(state, request) <= m.0 as f64);
        in_time && self.fits_backlog(state, request)
    }

    /// Whether the prompt leaves the streams that run there without a long pause.
    fn fits_backlog(&self, state: &UpstreamState, request: &RouteRequest) -> bool {
        let Some(limit) = request.policy.backlog_limit else {
            return true;
        };
        let ahead = state.backlog(false, self.now);
        let limit = limit.0 as f64;
        let own = state.own_load().backlog;
        let room = own <= limit * self.own_share;
        ahead <= limit * EMPTY_BACKLOG_SHARE
            || (room && ahead + self.prompt_ms(state, request) <= limit)
    }

    /// The time to the first byte, as far as prompts decide it.
    pub(crate) fn first_byte_ms(&self, state: &UpstreamState, request: &RouteRequest) -> f64 {
        state.backlog(request.policy.urgent, self.now) + self.prompt_ms(state, request)
    }

    /// The time that reading the request's own prompt takes there.
    pub(crate) fn prompt_ms(&self, state: &UpstreamState, request: &RouteRequest) -> f64 {
        state.uncached_tokens(request) * self.token_ms * state.slowness.get(self.now)
    }

    fn expected(&self, state: &UpstreamState, request: &RouteRequest) -> f64 {
        let fill = state.busy() as f64 / state.slots() as f64;
        let far = if state.site.centre == *self.home {
            0.0
        } else {
            OTHER_CENTRE_MS
        };
        let failing = state.failures.get(self.now) * FAILURE_MS;
        self.first_byte_ms(state, request) + fill * fill * FULL_LOAD_MS + far + failing
    }
}

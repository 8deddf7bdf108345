//! How long prompts take: learned from first bytes, for each model and each upstream.
//!
//! An engine reads prompts one after the other, so the time to the first token is the
//! work ahead of a request plus its own uncached part. The figures of a data sheet are
//! only a start: models differ, and an engine may have turned slow.

use crate::Route;
use shaleline_types::Millis;
use std::collections::BTreeMap;

/// How much one observation moves the figure of a model, and that of an upstream.
const MODEL_STEP: f64 = 0.05;
const UPSTREAM_STEP: f64 = 0.2;

/// One observation counts at most so many times more or less than expected.
const MAX_RATIO: f64 = 4.0;

/// The figures stay within these bounds, however odd the observations.
const TOKEN_BOUNDS: (f64, f64) = (0.002, 5.0);
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 20.0);

/// Observations below this are noise of timers and of the network.
const MIN_MS: f64 = 2.0;

/// Half of an upstream's measured slowness is forgotten in so many milliseconds, so that
/// one that was slow is tried again.
const HALF_LIFE_MS: f64 = 5_000.0;

/// What a prompt token costs, by what is asked for.
#[derive(Debug, Default)]
pub(crate) struct TokenCosts {
    by_route: BTreeMap<Route, f64>,
}

impl TokenCosts {
    /// Milliseconds for one uncached token of a prompt.
    pub(crate) fn get(&self, route: &Route, start: f64) -> f64 {
        self.by_route
            .get(&route.to_base())
            .copied()
            .unwrap_or(start)
    }

    /// Notes how much longer than expected a first byte took.
    pub(crate) fn learn(&mut self, route: &Route, ratio: f64, start: f64) {
        let cost = self.by_route.entry(route.to_base()).or_insert(start);
        let (low, high) = TOKEN_BOUNDS;
        *cost = (*cost * ratio.powf(MODEL_STEP)).clamp(low, high);
    }
}

/// How much slower than expected an upstream is; 1 is as expected.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Slowness {
    factor: f64,
    at: Millis,
}

impl Default for Slowness {
    fn default() -> Self {
        Self {
            factor: 1.0,
            at: Millis(0),
        }
    }
}

impl Slowness {
    pub(crate) fn get(&self, now: Millis) -> f64 {
        let kept = 0.5_f64.powf(now.since(self.at) as f64 / HALF_LIFE_MS);
        self.factor.powf(kept)
    }

    pub(crate) fn learn(&mut self, ratio: f64, now: Millis) {
        let (low, high) = SLOWNESS_BOUNDS;
        self.factor = (self.get(now) * ratio.powf(UPSTREAM_STEP)).clamp(low, high);
        self.at = now;
    }
}

/// How much longer than expected something took, bounded.
pub(crate) fn ratio_of(elapsed: f64, expected: f64) -> f64 {
    let ratio = elapsed.max(MIN_MS) / expected.max(MIN_MS);
    ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO)
}

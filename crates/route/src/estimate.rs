//! Estimates of prompt times, learned from first bytes per model and per upstream.
//!
//! An engine reads prompts one after the other, so the time to the first token is the backlog ahead
//! of a request plus its own uncached part. Data sheet figures are only the initial values: models
//! differ, and an engine may have become slow.

use crate::Route;
use shaleline_types::Millis;
use std::collections::BTreeMap;

/// The exponents with which one observation changes the estimate of a model and of an upstream.
const MODEL_STEP: f64 = 0.05;
const UPSTREAM_STEP: f64 = 0.2;

/// The largest factor by which one observation may differ from the expected value.
const MAX_RATIO: f64 = 4.0;

/// Bounds that keep estimates plausible under outlying observations.
const TOKEN_BOUNDS: (f64, f64) = (0.002, 5.0);
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 20.0);

/// Observations below this are dominated by timer and network noise.
const MIN_MS: f64 = 2.0;

/// The half-life of an upstream's measured slowness, so that a slow upstream is tried again.
const HALF_LIFE_MS: f64 = 5_000.0;

/// The cost of a prompt token, by model or service.
#[derive(Debug, Default)]
pub(crate) struct TokenCosts {
    by_route: BTreeMap<Route, f64>,
}

impl TokenCosts {
    /// Returns the cost of one uncached prompt token in milliseconds.
    pub(crate) fn get(&self, route: &Route, start: f64) -> f64 {
        self.by_route
            .get(&route.to_base())
            .copied()
            .unwrap_or(start)
    }

    /// Updates the estimate with the ratio of measured to expected time to the first byte.
    pub(crate) fn learn(&mut self, route: &Route, ratio: f64, start: f64) {
        let cost = self.by_route.entry(route.to_base()).or_insert(start);
        let (low, high) = TOKEN_BOUNDS;
        *cost = (*cost * ratio.powf(MODEL_STEP)).clamp(low, high);
    }
}

/// An upstream's measured time relative to the expected time; 1 means as expected.
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

/// Returns the ratio of elapsed to expected time, within bounds.
pub(crate) fn ratio_of(elapsed: f64, expected: f64) -> f64 {
    let ratio = elapsed.max(MIN_MS) / expected.max(MIN_MS);
    ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO)
}

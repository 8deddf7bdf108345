//! Predicts when a request would be complete at an upstream: work ahead and own work, times the
//! upstream's present speed.
//!
//! A speed is relative to the other upstreams of the same model or service. It has a lasting part,
//! as engines of one service differ for good, and a present part, as machines are shared and slow
//! down for some hundred milliseconds. `docs/design/uneven-upstreams.md` compares the alternatives.

use crate::Route;
use shaleline_types::Millis;
use std::collections::BTreeMap;

/// The half-life of the present part, in milliseconds. Shared machines change every 600 ms, and a
/// state seen at a random moment lasts for half of that on average.
const PRESENT_HALF_LIFE_MS: f64 = 300.0;

/// The half-life of the lasting part, in milliseconds: an upstream that is hardly used is tried
/// again within a minute.
const LASTING_HALF_LIFE_MS: f64 = 30_000.0;

/// The weights of the assumptions that an upstream is like the others, in seconds of measurements,
/// that 100 is the usual figure of its reports, in seconds of reports, and that it is at this
/// moment as it usually is, in measurements.
const LASTING_PRIOR: f64 = 1.0;
const REPORT_PRIOR: f64 = 5.0;
const PRESENT_PRIOR: f64 = 0.5;

/// The most seconds for which one measurement or report stands in a lasting mean. Many in a short
/// time weigh no more than that time, so that a slow moment does not pass for the usual state.
const MAX_SAMPLE_S: f64 = 1.0;

/// The weight of the first value of a lasting mean, in seconds.
const FIRST_SAMPLE_S: f64 = 0.5;

/// The largest weight of the measurements of this moment. A small one lets a change show within a
/// few measurements.
const MAX_PRESENT_WEIGHT: f64 = 3.0;

/// The weight of a report, less than that of one measurement.
const REPORT_WEIGHT: f64 = 0.9;

/// The largest factor by which one measurement or report may differ from the usual.
const MAX_FACTOR: f64 = 4.0;

/// Bounds on the speed factor.
const FACTOR_BOUNDS: (f64, f64) = (0.25, 6.0);

/// The weight of one measurement in the usual times of a model or service.
const USUAL_STEP: f64 = 0.02;

/// The smallest part of its slots that a slow upstream may use: its speed is only an estimate, and
/// must not exclude it.
const MIN_SLOTS_PART: usize = 4;

/// A mean of logarithms whose weight halves in a fixed time.
#[derive(Debug, Clone, Copy, Default)]
struct FadingMean {
    mean: f64,
    weight: f64,
    at: Millis,
}

impl FadingMean {
    fn weight(&self, half_life: f64, now: Millis) -> f64 {
        self.weight * 0.5_f64.powf(now.since(self.at) as f64 / half_life)
    }

    fn add(&mut self, value: f64, weight: f64, half_life: f64, now: Millis) {
        let total = self.weight(half_life, now) + weight;
        if total > 0.0 {
            self.mean += (value - self.mean) * weight / total;
        }
        self.weight = total;
        self.at = now;
    }

    /// Adds a value that stands for the time since the one before.
    fn add_lasting(&mut self, value: f64, now: Millis) {
        let weight = match self.weight > 0.0 {
            true => (now.since(self.at) as f64 / 1_000.0).min(MAX_SAMPLE_S),
            false => FIRST_SAMPLE_S,
        };
        self.add(value, weight, LASTING_HALF_LIFE_MS, now);
    }

    /// Returns the mean, which is drawn towards 0 by `prior`.
    fn lasting(&self, prior: f64, now: Millis) -> f64 {
        let weight = self.weight(LASTING_HALF_LIFE_MS, now);
        self.mean * weight / (weight + prior)
    }
}

/// An upstream's speed relative to the others of its service, from what was measured and what it
/// reports. The factor multiplies times: 2 means that work takes twice as long.
#[derive(Debug, Clone, Copy, Default)]
pub struct Speed {
    lasting: FadingMean,
    /// The deviation of measurements from the lasting part.
    present: FadingMean,
    /// The mean of all reports, relative to which a report counts: one that always says the same
    /// says nothing about this moment.
    usual_report: FadingMean,
    report: Option<(f64, Millis)>,
}

fn bounded_log(ratio: f64) -> f64 {
    ratio.clamp(1.0 / MAX_FACTOR, MAX_FACTOR).ln()
}

impl Speed {
    /// Records that work took `ratio` times as long as usual at the upstreams of its service, over
    /// a `span` that ends now.
    pub fn measure(&mut self, ratio: f64, span: Millis, now: Millis) {
        if !(ratio.is_finite() && ratio > 0.0) {
            return;
        }
        let value = bounded_log(ratio);
        let deviation = value - self.lasting(now);
        self.lasting.add_lasting(value, now);
        // The measurement is as old as the middle of its span.
        let weight = 0.5_f64.powf(span.0 as f64 / 2.0 / PRESENT_HALF_LIFE_MS);
        self.present
            .add(deviation, weight, PRESENT_HALF_LIFE_MS, now);
        self.present.weight = self.present.weight.min(MAX_PRESENT_WEIGHT);
    }

    /// Records that the upstream says that work takes `percent` of the usual time there.
    pub fn report(&mut self, percent: u32, now: Millis) {
        let value = bounded_log(f64::from(percent) / 100.0);
        self.usual_report.add_lasting(value, now);
        self.report = Some((value, now));
    }

    /// Returns the present factor.
    #[must_use]
    pub fn factor(&self, now: Millis) -> f64 {
        let (low, high) = FACTOR_BOUNDS;
        (self.lasting(now) + self.deviation(now))
            .exp()
            .clamp(low, high)
    }

    /// Returns the factor that lasts, which holds for work that takes longer than a shared machine
    /// stays slow.
    #[must_use]
    pub fn lasting_factor(&self, now: Millis) -> f64 {
        self.lasting(now).exp()
    }

    /// Returns the part of the present factor that is assumed rather than known, from 0 to 1.
    #[must_use]
    pub fn uncertainty(&self, now: Millis) -> f64 {
        let known = self.present.weight(PRESENT_HALF_LIFE_MS, now) + self.report_weight(now);
        PRESENT_PRIOR / (PRESENT_PRIOR + known)
    }

    fn lasting(&self, now: Millis) -> f64 {
        self.lasting.lasting(LASTING_PRIOR, now)
    }

    fn report_weight(&self, now: Millis) -> f64 {
        self.report.map_or(0.0, |(_, at)| {
            REPORT_WEIGHT * 0.5_f64.powf(now.since(at) as f64 / PRESENT_HALF_LIFE_MS)
        })
    }

    fn deviation(&self, now: Millis) -> f64 {
        let measured = self.present.weight(PRESENT_HALF_LIFE_MS, now);
        let reported = self.report_weight(now);
        let report = self.report.map_or(0.0, |(value, _)| value);
        let usual = self.usual_report.lasting(REPORT_PRIOR, now);
        let sum = self.present.mean * measured + (report - usual) * reported;
        sum / (measured + reported + PRESENT_PRIOR)
    }
}

/// The usual times of a model or service, over all upstreams.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct UsualTimes {
    stay: Option<f64>,
    interval: Option<f64>,
}

fn learn(usual: &mut Option<f64>, millis: f64) -> f64 {
    // Times below a millisecond are not measured.
    let value = millis.max(1.0).ln();
    let mean = usual.get_or_insert(value);
    let ratio = (value - *mean).exp();
    *mean += bounded_log(ratio) * USUAL_STEP;
    ratio
}

impl UsualTimes {
    /// How long a request holds its slot, in milliseconds.
    pub(crate) fn stay_ms(&self) -> Option<f64> {
        self.stay.map(f64::exp)
    }

    /// The time between two events of a stream, in milliseconds.
    pub(crate) fn interval_ms(&self) -> Option<f64> {
        self.interval.map(f64::exp)
    }
}

/// The usual times by model or service.
#[derive(Debug, Default)]
pub(crate) struct Times {
    by_route: BTreeMap<Route, UsualTimes>,
}

impl Times {
    pub(crate) fn get(&self, route: &Route) -> UsualTimes {
        self.by_route
            .get(&route.to_base())
            .copied()
            .unwrap_or_default()
    }

    /// Records how long a request held its slot; returns the ratio to the usual time.
    pub(crate) fn learn_stay(&mut self, route: &Route, millis: f64) -> f64 {
        learn(&mut self.entry(route).stay, millis)
    }

    /// Records the time between events of a stream; returns the ratio to the usual time.
    pub(crate) fn learn_interval(&mut self, route: &Route, millis: f64) -> f64 {
        learn(&mut self.entry(route).interval, millis)
    }

    fn entry(&mut self, route: &Route) -> &mut UsualTimes {
        self.by_route.entry(route.to_base()).or_default()
    }
}

/// What a daemon measured of an attempt, or what the upstream reported in its answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Measurement {
    /// The intervals between events of a stream.
    pub intervals: u32,
    /// The time that they took.
    pub elapsed: Millis,
    /// How long work takes at the upstream, in percent of the usual time, if it says so.
    pub slowdown: Option<u32>,
}

/// The work at an upstream as it looks to one more request, in milliseconds at the usual speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prediction {
    /// The time until the request's own work begins.
    pub ahead_ms: f64,
    /// The time for its own work up to the first event, or to the whole answer.
    pub own_ms: f64,
    /// The upstream's speed factor.
    pub factor: f64,
}

impl Prediction {
    /// Returns the predicted time to completion in milliseconds.
    #[must_use]
    pub fn completion_ms(&self) -> f64 {
        (self.ahead_ms + self.own_ms) * self.factor
    }
}

/// Returns the wait for a slot at an upstream where `busy` requests run or wait and each holds its
/// slot for `stay` milliseconds.
#[must_use]
pub fn wait_ms(busy: usize, slots: usize, stay: f64) -> f64 {
    let over = (busy + 1).saturating_sub(slots);
    over as f64 * stay / slots.max(1) as f64
}

/// Returns how many of an upstream's slots may be used so that the events of its streams come
/// within `limit` milliseconds, if they come `interval` milliseconds apart. Fewer streams share the
/// steps of an engine, so its intervals shrink with their number at most in proportion.
#[must_use]
pub fn usable_slots(slots: usize, interval: f64, limit: f64) -> usize {
    if interval <= limit || interval.is_nan() {
        return slots;
    }
    let least = slots.div_ceil(MIN_SLOTS_PART);
    ((slots as f64 * limit / interval) as usize).clamp(least, slots.max(least))
}

//! Generates open-loop request traces from a seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

/// A deployment of a given size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Deployment {
    /// 12 engines, 26 models, a store limit of 1.5 loads per second, expensive moves.
    Mraznik,
    /// 18 engines, 40 models, a store limit of 2 loads per second, cheap moves.
    Agencia,
}

impl Deployment {
    /// Both deployments.
    pub const ALL: [Self; 2] = [Self::Mraznik, Self::Agencia];

    /// Number of engines.
    pub fn engines(self) -> usize {
        match self {
            Self::Mraznik => 12,
            Self::Agencia => 18,
        }
    }

    /// Number of models.
    pub fn models(self) -> usize {
        match self {
            Self::Mraznik => 26,
            Self::Agencia => 40,
        }
    }

    /// Rate limit of the store in loads per second.
    pub fn store_rate(self) -> f64 {
        match self {
            Self::Mraznik => 1.5,
            Self::Agencia => 2.0,
        }
    }

    /// Cost of a move in seconds of one engine's work.
    pub fn move_weight(self) -> f64 {
        match self {
            Self::Mraznik => 8.0,
            Self::Agencia => 1.0,
        }
    }
}

/// The event of an experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Experiment {
    /// Some models have ten times their request rate for a minute.
    Burst,
    /// The demand for each model changes by a factor of ten and back, in scaled time.
    Shift,
    /// One organisation sends twenty times its share of requests.
    Flood,
    /// One engine accepts requests and answers none for a minute.
    Hang,
    /// No event.
    Steady,
    /// One engine fails while it streams answers.
    EngineDies,
    /// All engines of one data centre fail.
    CentreLost,
    /// A fifth of the orders are lost.
    OrdersLost,
    /// The log is unavailable, so that nothing can be planned, while the demand shifts.
    LogAway,
}

impl Experiment {
    /// All experiments.
    pub const ALL: [Self; 9] = [
        Self::Burst,
        Self::Shift,
        Self::Flood,
        Self::Hang,
        Self::Steady,
        Self::EngineDies,
        Self::CentreLost,
        Self::OrdersLost,
        Self::LogAway,
    ];
}

/// Duration of the traffic in milliseconds.
pub const DURATION_MS: u64 = 180_000;

/// Start of the event in milliseconds.
pub const EVENT_AT: u64 = 60_000;
/// Duration of the event in milliseconds.
pub const EVENT_FOR: u64 = 60_000;

/// Number of organisations; each has its own models.
pub const ORGS: usize = 6;

const BURST_FACTOR: f64 = 10.0;
const FLOOD_FACTOR: f64 = 20.0;

/// One request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Arrival time in milliseconds.
    pub at: u64,
    /// The organisation.
    pub org: usize,
    /// The model.
    pub model: usize,
    /// Number of tokens of the answer.
    pub tokens: u32,
    /// Number of blocks of the prompt; prompts of one organisation share the first ones.
    pub blocks: u32,
    /// Index of the prompt among those of the organisation.
    pub prompt: u32,
}

/// The organisation that sends the flood.
pub const FLOOD_ORG: usize = 0;

/// Returns the share of requests of each model, skewed and shuffled.
fn shares(models: usize, rng: &mut SmallRng) -> Vec<f64> {
    let mut shares: Vec<f64> = (0..models)
        .map(|i| 1.0 / (i as f64 + 1.0).powf(0.8))
        .collect();
    for i in (1..models).rev() {
        shares.swap(i, rng.random_range(0..=i));
    }
    let sum: f64 = shares.iter().sum();
    shares.iter().map(|s| s / sum).collect()
}

/// Returns the demand for a model at a time, relative to its share.
fn demand_factor(experiment: Experiment, model: usize, org: usize, at: u64, hot: &[usize]) -> f64 {
    let during = (EVENT_AT..EVENT_AT + EVENT_FOR).contains(&at);
    match experiment {
        Experiment::Burst if during && hot.contains(&model) => BURST_FACTOR,
        Experiment::Shift | Experiment::LogAway => {
            let phase = at as f64 / DURATION_MS as f64 * 2.0 * std::f64::consts::PI;
            let shift = model as f64 * 2.4;
            10f64.powf((phase + shift).sin() / 2.0)
        }
        Experiment::Flood if during && org == FLOOD_ORG => FLOOD_FACTOR,
        _ => 1.0,
    }
}

/// Returns the requests of an experiment. `rate` is the mean number of requests per second
/// without the event.
pub fn arrivals(
    deployment: Deployment,
    experiment: Experiment,
    seed: u64,
    rate: f64,
) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let models = deployment.models();
    let shares = shares(models, &mut rng);
    let hot: Vec<usize> = (0..models)
        .filter(|m| shares[*m] < 1.5 / models as f64)
        .take(3)
        .collect();
    let mut trace = Vec::new();
    for (model, share) in shares.iter().enumerate() {
        let org = model % ORGS;
        let peak_rate = rate * share * FLOOD_FACTOR;
        let mut at = 0.0;
        loop {
            let gap: f64 = rng.random_range(f64::EPSILON..1.0);
            at += -gap.ln() / peak_rate * 1_000.0;
            if at >= DURATION_MS as f64 {
                break;
            }
            let acceptance = demand_factor(experiment, model, org, at as u64, &hot) / FLOOD_FACTOR;
            if rng.random_range(0.0..1.0) >= acceptance {
                continue;
            }
            trace.push(Arrival {
                at: at as u64,
                org,
                model,
                tokens: rng.random_range(20..100),
                blocks: rng.random_range(4..24),
                prompt: rng.random_range(0..40),
            });
        }
    }
    trace.sort_by_key(|a| (a.at, a.model));
    trace
}

//! What callers ask for: seeded, open-loop.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

/// A deployment's sizes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Deployment {
    /// 12 engines, 26 models, a store of 1.5 loads a second; moves weigh much.
    Mraznik,
    /// 18 engines, 40 models, a store of 2 loads a second; moves weigh little.
    Agencia,
}

impl Deployment {
    /// Both.
    pub const ALL: [Self; 2] = [Self::Mraznik, Self::Agencia];

    /// How many engines.
    pub fn engines(self) -> usize {
        match self {
            Self::Mraznik => 12,
            Self::Agencia => 18,
        }
    }

    /// How many models.
    pub fn models(self) -> usize {
        match self {
            Self::Mraznik => 26,
            Self::Agencia => 40,
        }
    }

    /// Loads a second that the store allows.
    pub fn store_rate(self) -> f64 {
        match self {
            Self::Mraznik => 1.5,
            Self::Agencia => 2.0,
        }
    }

    /// What a move costs, in seconds of an engine's work.
    pub fn move_weight(self) -> f64 {
        match self {
            Self::Mraznik => 8.0,
            Self::Agencia => 1.0,
        }
    }
}

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Experiment {
    /// Some models are asked for ten times as often for a minute.
    Burst,
    /// The demand of each model moves tenfold, and back, in scaled time.
    Shift,
    /// One organisation asks for twenty times its share.
    Flood,
    /// One engine takes requests and answers none for a minute.
    Hang,
    /// Nothing.
    Steady,
    /// One engine dies in the middle of its streams.
    EngineDies,
    /// The engines of one data centre die.
    CentreLost,
    /// A fifth of the orders are lost.
    OrdersLost,
    /// The log is away, so that nothing can be planned, under a shift.
    LogAway,
}

impl Experiment {
    /// All, the first four first.
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

/// How long traffic lasts, in milliseconds.
pub const LENGTH: u64 = 180_000;

/// When and how long something happens.
pub const EVENT_AT: u64 = 60_000;
/// Its length.
pub const EVENT_FOR: u64 = 60_000;

/// Organisations; each has its own models.
pub const ORGS: usize = 6;

const BURST: f64 = 10.0;
const FLOOD: f64 = 20.0;

/// One request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When, in milliseconds.
    pub at: u64,
    /// The organisation.
    pub org: usize,
    /// The model.
    pub model: usize,
    /// Tokens of the answer.
    pub tokens: u32,
    /// Blocks of the prompt, of which the first few are the organisation's own.
    pub blocks: u32,
    /// Which of the organisation's prompts.
    pub prompt: u32,
}

/// The organisation that floods.
pub const FLOODER: usize = 0;

/// The share of all requests for each model, skewed and shuffled.
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

/// How often a model is asked for at a time, relative to its share.
fn factor(experiment: Experiment, model: usize, org: usize, at: u64, hot: &[usize]) -> f64 {
    let during = (EVENT_AT..EVENT_AT + EVENT_FOR).contains(&at);
    match experiment {
        Experiment::Burst if during && hot.contains(&model) => BURST,
        Experiment::Shift | Experiment::LogAway => {
            let phase = at as f64 / LENGTH as f64 * 2.0 * std::f64::consts::PI;
            let turn = model as f64 * 2.4;
            10f64.powf((phase + turn).sin() / 2.0)
        }
        Experiment::Flood if during && org == FLOODER => FLOOD,
        _ => 1.0,
    }
}

/// The requests of an experiment. `rate` is the mean of all requests a second without
/// anything happening.
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
    let mut all = Vec::new();
    for (model, share) in shares.iter().enumerate() {
        let org = model % ORGS;
        let most = rate * share * FLOOD;
        let mut at = 0.0;
        loop {
            let gap: f64 = rng.random_range(f64::EPSILON..1.0);
            at += -gap.ln() / most * 1_000.0;
            if at >= LENGTH as f64 {
                break;
            }
            let keep = factor(experiment, model, org, at as u64, &hot) / FLOOD;
            if rng.random_range(0.0..1.0) >= keep {
                continue;
            }
            all.push(Arrival {
                at: at as u64,
                org,
                model,
                tokens: rng.random_range(20..100),
                blocks: rng.random_range(4..24),
                prompt: rng.random_range(0..40),
            });
        }
    }
    all.sort_by_key(|a| (a.at, a.model));
    all
}

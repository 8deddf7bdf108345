//! `allowances`: compares strategies that enforce allowances over the daemons.
//!
//! The load is skewed towards a few organisations, and each caller uses one daemon for some seconds
//! and then another. During a run one organisation sends a multiple of its base load, some daemons
//! fail and restart, some are isolated and continue to serve, and one limit is lowered.
//! `docs/design/allowances.md` has the figures.

use crate::admission::{self, DecisionCost};
use crate::allowance_strategies::{EqualShares, Grants, Loans, Strategy};
use eyre::Result;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use shaleline_route::{Allowance, Tolerance};
use shaleline_types::{stable_hash, Millis, Org};
use std::collections::VecDeque;

pub(crate) const CENTRES: usize = 3;
const ORGS: usize = 16;
const SEEDS: u64 = 5;
const SIZES: [usize; 2] = [90, 300];
const DURATION_MS: u64 = 34_000;
const STEP_MS: u64 = 10;
/// Requests per second and daemon.
const REQUEST_RATE: f64 = 6.7;
/// Ratio of an allowance to the base load of its organisation.
const ALLOWANCE_RATIO: f64 = 1.8;
const MIN_RATE: f64 = 4_200.0;
/// Number of small organisations, which are the last ones.
const SMALL_ORGS: usize = 4;
/// Requests per second of one caller.
const CALLER_RATE: f64 = 3.5;
/// Time for which a caller uses the same daemon.
const AFFINITY_MS: u64 = 5_000;

/// Organisation with a burst, its factor, start and end in milliseconds.
const HOT: (usize, f64, u64, u64) = (1, 7.5, 6_000, 14_000);
/// Fraction of the daemons that fail, start and end in milliseconds.
const DEAD: (f64, u64, u64) = (0.16, 16_000, 19_500);
/// Fraction of the daemons that are isolated, start and end in milliseconds.
const ISOLATED: (f64, u64, u64) = (0.15, 22_000, 27_500);
/// Organisation whose limit is lowered, its factor and start in milliseconds.
const LOWERED: (usize, f64, u64) = (3, 0.3, 29_000);

pub(crate) const TOLERANCE: Tolerance = Tolerance {
    window: Millis(8_000),
    over: 0.1,
    slack: 17_000.0,
};

/// The figures of one strategy at one number of daemons, over the seeds.
#[derive(Debug, Clone, Serialize)]
struct Figures {
    #[serde(rename = "way")]
    strategy: &'static str,
    daemons: usize,
    requests: u64,
    /// Admitted requests that exceeded the bound of their window.
    broken: u64,
    /// Maximum use in a window as a ratio of the bound.
    #[serde(rename = "most")]
    peak: f64,
    /// Tokens admitted below those of one shared bucket, per thousand.
    #[serde(rename = "short")]
    shortfall: f64,
    /// The same for small organisations.
    #[serde(rename = "short_small")]
    shortfall_small: f64,
    /// Requests refused by isolated daemons, per thousand requests at these.
    #[serde(rename = "refused_cut")]
    refused_isolated: f64,
    /// Requests that waited for another daemon, per thousand.
    waited: f64,
    /// Messages per second and daemon.
    messages: f64,
}

/// The simulated state of daemons and allowances.
pub(crate) struct State {
    pub(crate) now: Millis,
    pub(crate) daemons: usize,
    pub(crate) dead: Vec<bool>,
    pub(crate) isolated: Vec<bool>,
    pub(crate) limits: Vec<Allowance>,
    pub(crate) orgs: Vec<Org>,
}

impl State {
    pub(crate) fn is_connected(&self, daemon: usize) -> bool {
        !self.dead[daemon] && !self.isolated[daemon]
    }

    pub(crate) fn limit_of(&self, org: &Org) -> Option<Allowance> {
        let index = self.orgs.iter().position(|o| o == org)?;
        Some(self.limits[index])
    }
}

/// One token bucket shared by the daemons, limited only by the allowance.
struct Reference(Vec<(f64, Millis)>);

impl Reference {
    fn admit(&mut self, org: usize, limit: Allowance, cost: f64, now: Millis) -> bool {
        let (level, last) = &mut self.0[org];
        let gained = now.since(*last) as f64 * limit.rate / 1_000.0;
        *level = (*level + gained).min(limit.burst);
        *last = now;
        let admitted = *level >= cost.min(limit.burst);
        if admitted {
            *level -= cost;
        }
        admitted
    }
}

/// The admitted cost of one organisation in the last window.
#[derive(Default)]
struct Window {
    ran: VecDeque<(Millis, f64)>,
    sum: f64,
}

impl Window {
    fn add(&mut self, now: Millis, cost: f64) -> f64 {
        self.ran.push_back((now, cost));
        self.sum += cost;
        while let Some((at, cost)) = self.ran.front().copied() {
            if now.since(at) <= TOLERANCE.window.0 {
                break;
            }
            self.sum -= cost;
            self.ran.pop_front();
        }
        self.sum
    }
}

struct Load {
    base_rates: Vec<f64>,
    callers: Vec<u64>,
}

impl Load {
    fn new(daemons: usize) -> Self {
        let weights: Vec<f64> = (0..ORGS).map(|o| ((o + 1) as f64).powf(-2.0)).collect();
        let total_weight: f64 = weights.iter().sum();
        let total = REQUEST_RATE * daemons as f64;
        let base_rates: Vec<f64> = weights.iter().map(|w| total * w / total_weight).collect();
        let callers = base_rates
            .iter()
            .map(|r| (r / CALLER_RATE).ceil() as u64)
            .collect();
        Self {
            base_rates,
            callers,
        }
    }

    /// Returns the number of requests of an organisation in this step.
    fn count(&self, org: usize, now: u64, rng: &mut SmallRng) -> usize {
        let (hot, factor, from, to) = HOT;
        let factor = if org == hot && (from..to).contains(&now) {
            factor
        } else {
            1.0
        };
        let mean = self.base_rates[org] * factor * STEP_MS as f64 / 1_000.0;
        let whole = mean.floor();
        whole as usize + usize::from(rng.random::<f64>() < mean - whole)
    }
}

/// Returns the tokens of a request: a third have a fixed cost, the others a skewed prompt size.
fn cost(rng: &mut SmallRng) -> u64 {
    if rng.random_range(0..3) == 0 {
        return 200;
    }
    let sample: f64 = rng.random_range(0.05_f64..1.0);
    (700.0 / sample) as u64 + 300
}

/// The mean of [`cost`].
const MEAN_COST: f64 = 1_740.0;

fn simulate(
    strategy: &mut dyn Strategy,
    daemons: usize,
    seed: u64,
    figures: &mut Figures,
    sums: &mut Sums,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let load = Load::new(daemons);
    let limit = |r: &f64| {
        let rate = (r * MEAN_COST * ALLOWANCE_RATIO).max(MIN_RATE);
        Allowance { rate, burst: rate }
    };
    let names = (0..ORGS).map(|o| Org::from_text(&format!("org-{o}")).expect("the name is valid"));
    let mut state = State {
        now: Millis(1_000_000),
        daemons,
        dead: vec![false; daemons],
        isolated: vec![false; daemons],
        limits: load.base_rates.iter().map(limit).collect(),
        orgs: names.collect(),
    };
    let small = (0..ORGS).map(|o| o >= ORGS - SMALL_ORGS);
    let start = |l: &Allowance| (l.burst, state.now);
    let mut reference = Reference(state.limits.iter().map(start).collect());
    let mut windows: Vec<Window> = (0..ORGS).map(|_| Window::default()).collect();
    // Daemons start before the first request.
    for _ in 0..30 {
        strategy.tick(&state);
        state.now = state.now.plus(100);
    }
    let started = state.now;
    let mut lowered = None;
    let mut totals = [(0, 0); ORGS];
    while state.now.since(started) < DURATION_MS {
        let now = state.now.since(started);
        inject_faults(&mut state, strategy, now, seed);
        if now >= LOWERED.2 && lowered.is_none() {
            let limit = &mut state.limits[LOWERED.0];
            limit.rate *= LOWERED.1;
            limit.burst *= LOWERED.1;
            lowered = Some(state.now);
        }
        if now % 100 == 0 {
            strategy.tick(&state);
        }
        for org in 0..ORGS {
            for _ in 0..load.count(org, now, &mut rng) {
                let caller = rng.random_range(0..load.callers[org]);
                let daemon = daemon_of(org, caller, now, daemons);
                let cost = cost(&mut rng);
                let limit = state.limits[org];
                if state.dead[daemon] {
                    continue;
                }
                sums.requests += 1;
                let entitled = reference.admit(org, limit, cost as f64, state.now);
                let admitted = strategy.admit(&state, daemon, org, cost);
                totals[org].0 += if entitled { cost } else { 0 };
                totals[org].1 += if admitted { cost } else { 0 };
                if admitted {
                    let sum = windows[org].add(state.now, cost as f64);
                    // A lowered limit applies one window after the change.
                    let in_force = org != LOWERED.0
                        || lowered.is_none_or(|at| state.now.since(at) > TOLERANCE.window.0);
                    let fraction = sum / TOLERANCE.bound(&limit);
                    if in_force {
                        figures.broken += u64::from(fraction > 1.0);
                        figures.peak = figures.peak.max(fraction);
                    }
                } else {
                    sums.refused_isolated += u64::from(state.isolated[daemon]);
                }
                sums.isolated += u64::from(state.isolated[daemon]);
            }
        }
        state.now = state.now.plus(STEP_MS);
    }
    for ((entitled, received), small) in totals.into_iter().zip(small) {
        let shortfall = entitled.saturating_sub(received);
        sums.entitled += entitled;
        sums.shortfall += shortfall;
        if small {
            sums.entitled_small += entitled;
            sums.shortfall_small += shortfall;
        }
    }
    let (messages, waited) = strategy.message_counts();
    sums.waited += waited;
    sums.messages += messages as f64 / daemons as f64 / (DURATION_MS as f64 / 1_000.0);
}

#[derive(Default)]
struct Sums {
    requests: u64,
    isolated: u64,
    entitled: u64,
    entitled_small: u64,
    shortfall: u64,
    shortfall_small: u64,
    refused_isolated: u64,
    waited: u64,
    messages: f64,
}

/// Returns the daemon that a caller uses at this time.
fn daemon_of(org: usize, caller: u64, now: u64, daemons: usize) -> usize {
    let epoch = now / AFFINITY_MS;
    let key = [org as u64, caller, epoch].map(|n| n.to_string());
    let key = key.each_ref().map(String::as_str);
    (stable_hash(&key) % daemons as u64) as usize
}

/// Returns whether a daemon is in a random subset of this fraction.
fn is_selected(daemon: usize, fraction: f64, seed: u64, kind: &str) -> bool {
    let hash = stable_hash(&[&daemon.to_string(), &seed.to_string(), kind]);
    (hash % 1_000) as f64 / 1_000.0 < fraction
}

fn inject_faults(state: &mut State, strategy: &mut dyn Strategy, now: u64, seed: u64) {
    for daemon in 0..state.daemons {
        let (fraction, from, to) = DEAD;
        // The first daemon always fails, because it is the hub of a data centre.
        let affected = daemon == 0 || is_selected(daemon, fraction, seed, "dead");
        let dead = affected && (from..to).contains(&now);
        if state.dead[daemon] && !dead {
            strategy.restart(state, daemon);
        }
        state.dead[daemon] = dead;
        let (fraction, from, to) = ISOLATED;
        let isolated = is_selected(daemon, fraction, seed, "cut");
        state.isolated[daemon] = isolated && (from..to).contains(&now);
    }
}

fn per_thousand(count: u64, of: u64) -> f64 {
    1_000.0 * count as f64 / of.max(1) as f64
}

fn measure(daemons: usize, create: impl Fn(u64) -> Box<dyn Strategy>) -> Figures {
    let mut sums = Sums::default();
    let mut figures = Figures {
        strategy: create(0).name(),
        daemons,
        requests: 0,
        broken: 0,
        peak: 0.0,
        shortfall: 0.0,
        shortfall_small: 0.0,
        refused_isolated: 0.0,
        waited: 0.0,
        messages: 0.0,
    };
    for seed in 1..=SEEDS {
        simulate(
            create(seed).as_mut(),
            daemons,
            seed,
            &mut figures,
            &mut sums,
        );
    }
    figures.requests = sums.requests;
    figures.shortfall = per_thousand(sums.shortfall, sums.entitled);
    figures.shortfall_small = per_thousand(sums.shortfall_small, sums.entitled_small);
    figures.refused_isolated = per_thousand(sums.refused_isolated, sums.isolated);
    figures.waited = per_thousand(sums.waited, sums.requests);
    figures.messages = sums.messages / SEEDS as f64;
    figures
}

/// Measures each strategy. Returns whether the one in use exceeded no bound.
pub fn run(json: bool) -> Result<bool> {
    let mut rows = Vec::new();
    for daemons in SIZES {
        rows.push(measure(daemons, move |_| {
            Box::new(EqualShares::new(daemons))
        }));
        rows.push(measure(daemons, move |s| Box::new(Loans::new(daemons, s))));
        rows.push(measure(daemons, move |_| Box::new(Grants::new(daemons))));
    }
    let decisions = admission::run();
    if json {
        let output = serde_json::json!({"ways": rows, "decisions": decisions});
        println!("{}", serde_json::to_string_pretty(&output)?);
    } else {
        print(&rows, &decisions);
    }
    let in_use = rows.iter().filter(|f| f.strategy == "grants");
    Ok(in_use.map(|f| f.broken).sum::<u64>() == 0)
}

fn print(rows: &[Figures], decisions: &[DecisionCost]) {
    println!("way      daemons  broken  most    short  of small  cut off  waited  messages/s");
    for f in rows {
        println!(
            "{:8} {:7} {:7} {:5.2} {:8.1} {:9.1} {:8.1} {:7.1} {:11.2}",
            f.strategy,
            f.daemons,
            f.broken,
            f.peak,
            f.shortfall,
            f.shortfall_small,
            f.refused_isolated,
            f.waited,
            f.messages
        );
    }
    println!("organisations  us a decision  KB");
    for d in decisions {
        println!("{:13} {:14.3} {:7.0}", d.orgs, d.us, d.kb);
    }
}

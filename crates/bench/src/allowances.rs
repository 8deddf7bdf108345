//! `allowances`: ways to hold organisations to their allowances over all daemons, side by side.
//!
//! The load is uneven: a few organisations have most of it, each caller comes to one daemon for some
//! seconds and then to another. One organisation asks for many times its usual, a part of the
//! daemons dies and starts again, a part is cut off and goes on serving, and one limit is lowered.
//! `docs/design/allowances.md` has the figures.

use crate::admission::{self, Decision};
use crate::allowance_ways::{Equal, Grants, Loans, Way};
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
const LENGTH_MS: u64 = 34_000;
const STEP_MS: u64 = 10;
/// Requests a second at one daemon.
const REQUESTS: f64 = 6.7;
/// What an organisation may use, by what it usually uses.
const ALLOWED: f64 = 1.8;
const LEAST_RATE: f64 = 4_200.0;
/// The last organisations are small.
const SMALL: usize = 4;
/// One caller has so many requests a second.
const CALLER: f64 = 3.5;
/// A caller stays with a daemon so long.
const STAYS_MS: u64 = 5_000;

const HOT: (usize, f64, u64, u64) = (1, 7.5, 6_000, 14_000);
const DEAD: (f64, u64, u64) = (0.16, 16_000, 19_500);
const CUT: (f64, u64, u64) = (0.15, 22_000, 27_500);
const LOWERED: (usize, f64, u64) = (3, 0.3, 29_000);

pub(crate) const TOLERANCE: Tolerance = Tolerance {
    window: Millis(8_000),
    over: 0.1,
    slack: 17_000.0,
};

/// What came of one way at one number of daemons, over all seeds.
#[derive(Debug, Clone, Serialize)]
struct Figures {
    way: &'static str,
    daemons: usize,
    requests: u64,
    /// Windows in which an organisation passed the bound.
    broken: u64,
    /// The most that ran in a window, as a part of the bound.
    most: f64,
    /// What organisations got less than one bucket for all would have let in, in a thousand.
    short: f64,
    /// The same of small organisations.
    short_small: f64,
    /// Requests that were refused at daemons that were cut off, in a thousand.
    refused_cut: f64,
    /// Requests that waited for another daemon, in a thousand.
    waited: f64,
    /// Messages that one daemon sends in a second.
    messages: f64,
}

/// Who is in touch with whom.
pub(crate) struct State {
    pub(crate) now: Millis,
    pub(crate) daemons: usize,
    pub(crate) dead: Vec<bool>,
    pub(crate) cut: Vec<bool>,
    pub(crate) limits: Vec<Allowance>,
    pub(crate) orgs: Vec<Org>,
}

impl State {
    pub(crate) fn in_touch(&self, daemon: usize) -> bool {
        !self.dead[daemon] && !self.cut[daemon]
    }

    pub(crate) fn limit_of(&self, org: &Org) -> Option<Allowance> {
        let place = self.orgs.iter().position(|o| o == org)?;
        Some(self.limits[place])
    }
}

/// One bucket for all daemons, which nothing but the allowance limits.
struct Reference(Vec<(f64, Millis)>);

impl Reference {
    fn admits(&mut self, org: usize, limit: Allowance, cost: f64, now: Millis) -> bool {
        let (level, last) = &mut self.0[org];
        let gained = now.since(*last) as f64 * limit.rate / 1_000.0;
        *level = (*level + gained).min(limit.burst);
        *last = now;
        let admits = *level >= cost.min(limit.burst);
        if admits {
            *level -= cost;
        }
        admits
    }
}

/// What ran of one organisation in the last window.
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
    usual: Vec<f64>,
    callers: Vec<u64>,
}

impl Load {
    fn new(daemons: usize) -> Self {
        let weights: Vec<f64> = (0..ORGS).map(|o| ((o + 1) as f64).powf(-2.0)).collect();
        let all: f64 = weights.iter().sum();
        let total = REQUESTS * daemons as f64;
        let usual: Vec<f64> = weights.iter().map(|w| total * w / all).collect();
        let callers = usual.iter().map(|u| (u / CALLER).ceil() as u64).collect();
        Self { usual, callers }
    }

    /// How many requests an organisation has in this step.
    fn count(&self, org: usize, now: u64, rng: &mut SmallRng) -> usize {
        let (hot, times, from, to) = HOT;
        let times = if org == hot && (from..to).contains(&now) {
            times
        } else {
            1.0
        };
        let mean = self.usual[org] * times * STEP_MS as f64 / 1_000.0;
        let whole = mean.floor();
        whole as usize + usize::from(rng.random::<f64>() < mean - whole)
    }
}

/// Tokens of a request: a plain one in three, else a prompt of a skewed size.
fn cost(rng: &mut SmallRng) -> u64 {
    if rng.random_range(0..3) == 0 {
        return 200;
    }
    let draw: f64 = rng.random_range(0.05_f64..1.0);
    (700.0 / draw) as u64 + 300
}

/// The mean of [`cost`].
const MEAN_COST: f64 = 1_740.0;

fn play(way: &mut dyn Way, daemons: usize, seed: u64, figures: &mut Figures, sums: &mut Sums) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let load = Load::new(daemons);
    let limit = |u: &f64| {
        let rate = (u * MEAN_COST * ALLOWED).max(LEAST_RATE);
        Allowance { rate, burst: rate }
    };
    let names = (0..ORGS).map(|o| Org::from_text(&format!("org-{o}")).expect("a valid name"));
    let mut state = State {
        now: Millis(1_000_000),
        daemons,
        dead: vec![false; daemons],
        cut: vec![false; daemons],
        limits: load.usual.iter().map(limit).collect(),
        orgs: names.collect(),
    };
    let small = (0..ORGS).map(|o| o >= ORGS - SMALL);
    let start = |l: &Allowance| (l.burst, state.now);
    let mut reference = Reference(state.limits.iter().map(start).collect());
    let mut windows: Vec<Window> = (0..ORGS).map(|_| Window::default()).collect();
    // Daemons run for a while before callers come.
    for _ in 0..30 {
        way.tick(&state);
        state.now = state.now.plus(100);
    }
    let began = state.now;
    let mut lowered = None;
    let mut asked = [(0, 0); ORGS];
    while state.now.since(began) < LENGTH_MS {
        let now = state.now.since(began);
        disturb(&mut state, way, now, seed);
        if now >= LOWERED.2 && lowered.is_none() {
            let limit = &mut state.limits[LOWERED.0];
            limit.rate *= LOWERED.1;
            limit.burst *= LOWERED.1;
            lowered = Some(state.now);
        }
        if now % 100 == 0 {
            way.tick(&state);
        }
        for org in 0..ORGS {
            for _ in 0..load.count(org, now, &mut rng) {
                let caller = rng.random_range(0..load.callers[org]);
                let daemon = place(org, caller, now, daemons);
                let cost = cost(&mut rng);
                let limit = state.limits[org];
                if state.dead[daemon] {
                    continue;
                }
                sums.requests += 1;
                let owed = reference.admits(org, limit, cost as f64, state.now);
                let admitted = way.admit(&state, daemon, org, cost);
                asked[org].0 += if owed { cost } else { 0 };
                asked[org].1 += if admitted { cost } else { 0 };
                if admitted {
                    let sum = windows[org].add(state.now, cost as f64);
                    // A lower limit holds a window after it came.
                    let binds = org != LOWERED.0
                        || lowered.is_none_or(|at| state.now.since(at) > TOLERANCE.window.0);
                    let part = sum / TOLERANCE.bound(&limit);
                    if binds {
                        figures.broken += u64::from(part > 1.0);
                        figures.most = figures.most.max(part);
                    }
                } else {
                    sums.refused_cut += u64::from(state.cut[daemon]);
                }
                sums.cut += u64::from(state.cut[daemon]);
            }
        }
        state.now = state.now.plus(STEP_MS);
    }
    for ((owed, got), small) in asked.into_iter().zip(small) {
        let lack = owed.saturating_sub(got);
        sums.owed += owed;
        sums.short += lack;
        if small {
            sums.owed_small += owed;
            sums.short_small += lack;
        }
    }
    let (messages, waited) = way.spent();
    sums.waited += waited;
    sums.messages += messages as f64 / daemons as f64 / (LENGTH_MS as f64 / 1_000.0);
}

#[derive(Default)]
struct Sums {
    requests: u64,
    cut: u64,
    owed: u64,
    owed_small: u64,
    short: u64,
    short_small: u64,
    refused_cut: u64,
    waited: u64,
    messages: f64,
}

/// The daemon that a caller comes to now.
fn place(org: usize, caller: u64, now: u64, daemons: usize) -> usize {
    let epoch = now / STAYS_MS;
    let key = [org as u64, caller, epoch].map(|n| n.to_string());
    let key = key.each_ref().map(String::as_str);
    (stable_hash(&key) % daemons as u64) as usize
}

/// Whether a daemon is among a part of them.
fn is_among(daemon: usize, part: f64, seed: u64, what: &str) -> bool {
    let hash = stable_hash(&[&daemon.to_string(), &seed.to_string(), what]);
    (hash % 1_000) as f64 / 1_000.0 < part
}

fn disturb(state: &mut State, way: &mut dyn Way, now: u64, seed: u64) {
    for daemon in 0..state.daemons {
        let (part, from, to) = DEAD;
        // The first daemon is the one that matters most.
        let struck = daemon == 0 || is_among(daemon, part, seed, "dead");
        let dead = struck && (from..to).contains(&now);
        if state.dead[daemon] && !dead {
            way.restart(state, daemon);
        }
        state.dead[daemon] = dead;
        let (part, from, to) = CUT;
        let cut = is_among(daemon, part, seed, "cut");
        state.cut[daemon] = cut && (from..to).contains(&now);
    }
}

fn in_thousand(count: u64, of: u64) -> f64 {
    1_000.0 * count as f64 / of.max(1) as f64
}

fn measure(daemons: usize, make: impl Fn(u64) -> Box<dyn Way>) -> Figures {
    let mut sums = Sums::default();
    let mut figures = Figures {
        way: make(0).name(),
        daemons,
        requests: 0,
        broken: 0,
        most: 0.0,
        short: 0.0,
        short_small: 0.0,
        refused_cut: 0.0,
        waited: 0.0,
        messages: 0.0,
    };
    for seed in 1..=SEEDS {
        play(make(seed).as_mut(), daemons, seed, &mut figures, &mut sums);
    }
    figures.requests = sums.requests;
    figures.short = in_thousand(sums.short, sums.owed);
    figures.short_small = in_thousand(sums.short_small, sums.owed_small);
    figures.refused_cut = in_thousand(sums.refused_cut, sums.cut);
    figures.waited = in_thousand(sums.waited, sums.requests);
    figures.messages = sums.messages / SEEDS as f64;
    figures
}

/// Plays all ways. Returns whether the one in use passed no bound.
pub fn run(json: bool) -> Result<bool> {
    let mut all = Vec::new();
    for daemons in SIZES {
        all.push(measure(daemons, move |_| Box::new(Equal::new(daemons))));
        all.push(measure(daemons, move |s| Box::new(Loans::new(daemons, s))));
        all.push(measure(daemons, move |_| Box::new(Grants::new(daemons))));
    }
    let decisions = admission::run();
    if json {
        let both = serde_json::json!({"ways": all, "decisions": decisions});
        println!("{}", serde_json::to_string_pretty(&both)?);
    } else {
        print(&all, &decisions);
    }
    let used = all.iter().filter(|f| f.way == "grants");
    Ok(used.map(|f| f.broken).sum::<u64>() == 0)
}

fn print(all: &[Figures], decisions: &[Decision]) {
    println!("way      daemons  broken  most    short  of small  cut off  waited  messages/s");
    for f in all {
        println!(
            "{:8} {:7} {:7} {:5.2} {:8.1} {:9.1} {:8.1} {:7.1} {:11.2}",
            f.way,
            f.daemons,
            f.broken,
            f.most,
            f.short,
            f.short_small,
            f.refused_cut,
            f.waited,
            f.messages
        );
    }
    println!("organisations  us a decision  KB");
    for d in decisions {
        println!("{:13} {:14.3} {:7.0}", d.orgs, d.us, d.kb);
    }
}

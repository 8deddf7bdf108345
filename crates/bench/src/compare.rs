//! `compare`: policies side by side on the same traces.

use crate::fleet::capacity;
use crate::trace::{
    arrivals, Arrival, Deployment, Experiment, EVENT_AT, EVENT_FOR, FLOODER, LENGTH,
};
use crate::world::{Ending, Outcome, Setup, World};
use crate::{parallel, plot};
use eyre::Result;
use hdrhistogram::Histogram;
use serde::Serialize;
use shaleline_place::{LruPlanner, PlanSettings, Planner, StaticPlanner};
use shaleline_route::ChoicePolicy;

const QUICK_SEEDS: u64 = 5;
const FULL_SEEDS: u64 = 15;

/// The share of the capacity that is asked for when nothing happens.
const LOAD: f64 = 0.55;

/// Mean cost of a request in engine work, in tokens: its tokens and its prompt's time.
const MEAN_TOKENS: f64 = 60.0;

/// What is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rival {
    /// This system.
    Shaleline,
    /// Static placement, round robin.
    Static,
    /// Static placement, least loaded by report.
    LeastLoaded,
    /// Swaps models by last use.
    Lru,
}

impl Rival {
    const ALL: [Self; 4] = [Self::Shaleline, Self::Static, Self::LeastLoaded, Self::Lru];

    fn setup(self, deployment: Deployment) -> Setup {
        let settings = PlanSettings {
            move_weight: deployment.move_weight(),
            ..PlanSettings::default()
        };
        match self {
            Self::Shaleline => Setup {
                policy: Box::new(Planner::new(settings)),
                choice: ChoicePolicy::Expected,
                shed: true,
            },
            Self::Static => Setup {
                policy: Box::new(StaticPlanner::default()),
                choice: ChoicePolicy::RoundRobin,
                shed: false,
            },
            Self::LeastLoaded => Setup {
                policy: Box::new(StaticPlanner::default()),
                choice: ChoicePolicy::Reported,
                shed: false,
            },
            Self::Lru => Setup {
                policy: Box::new(LruPlanner),
                choice: ChoicePolicy::Reported,
                shed: false,
            },
        }
    }
}

/// One run.
#[derive(Debug, Clone, Serialize)]
struct Run {
    deployment: Deployment,
    experiment: Experiment,
    rival: Rival,
    seed: u64,
    requests: usize,
    attainment: f64,
    ceiling: f64,
    moves: u64,
    first_p50: u64,
    first_p95: u64,
    first_p99: u64,
    late: usize,
    refused: usize,
    unknown: usize,
    lost: usize,
    /// p95 of the first token of those that do not flood, while the event lasts.
    others_p95: u64,
}

/// The medians over the seeds.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// The deployment.
    pub deployment: Deployment,
    /// The experiment.
    pub experiment: Experiment,
    /// The policy.
    pub rival: Rival,
    /// The share of requests that met their target.
    pub attainment: f64,
    /// That share for each accelerator.
    pub per_accelerator: f64,
    /// An upper bound of that share, from the trace.
    pub ceiling: f64,
    /// Loads during the traffic.
    pub moves: u64,
    /// First token, milliseconds.
    pub first_p50: u64,
    /// First token, milliseconds.
    pub first_p95: u64,
    /// First token, milliseconds.
    pub first_p99: u64,
    /// p95 of the first token of those that do not flood, while the event lasts.
    pub others_p95: u64,
    /// Whole but late, of a thousand.
    pub late: f64,
    /// Refused as not run, of a thousand.
    pub refused: f64,
    /// Of unknown outcome, of a thousand.
    pub unknown: f64,
    /// Without an answer, of a thousand.
    pub lost: f64,
}

/// What to compare.
pub struct CompareArgs {
    /// Few seeds.
    pub quick: bool,
    /// Print figures for machines.
    pub json: bool,
    /// Write plots into this folder.
    pub plots: Option<String>,
}

/// Runs all and prints.
pub fn run(args: &CompareArgs) -> Result<bool> {
    let seeds = if args.quick { QUICK_SEEDS } else { FULL_SEEDS };
    let rows = rows(&run_all(seeds), seeds);
    if let Some(folder) = &args.plots {
        plot::write(folder, &rows)?;
    }
    if args.json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
        return Ok(true);
    }
    println!("deployment experiment    policy        met   /acc  bound  moves  p50   p95   p99  oth95   late refsd unkn lost (of 1000)");
    for r in &rows {
        println!(
            "{:<10} {:<13} {:<12} {:.3} {:.4} {:.3} {:>6} {:>5} {:>5} {:>5} {:>5}  {:>5.1} {:>5.1} {:>4.1} {:>4.1}",
            word(&r.deployment), word(&r.experiment), word(&r.rival), r.attainment, r.per_accelerator,
            r.ceiling, r.moves, r.first_p50, r.first_p95, r.first_p99, r.others_p95, r.late, r.refused, r.unknown, r.lost
        );
    }
    Ok(true)
}

/// A variant's name as it is serialized.
pub fn word<T: Serialize>(value: &T) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

struct Job {
    deployment: Deployment,
    experiment: Experiment,
    rival: Rival,
    seed: u64,
}

/// Runs every combination. Each run depends on its seed alone.
fn run_all(seeds: u64) -> Vec<Run> {
    let mut jobs = Vec::new();
    for deployment in Deployment::ALL {
        for experiment in Experiment::ALL {
            for rival in Rival::ALL {
                jobs.extend((1..=seeds).map(|seed| Job {
                    deployment,
                    experiment,
                    rival,
                    seed,
                }));
            }
        }
    }
    parallel::run_all(&jobs, run_one)
}

fn run_one(job: &Job) -> Run {
    let engines = job.deployment.engines() as f64;
    let rate = capacity() * engines * LOAD / MEAN_TOKENS;
    let trace = arrivals(job.deployment, job.experiment, job.seed, rate);
    let setup = job.rival.setup(job.deployment);
    let world = World::new(job.deployment, job.experiment, setup, job.seed);
    let (outcomes, moves) = world.run(&trace);
    let count = |ending: Ending| outcomes.iter().filter(|o| o.ending == ending).count();
    let first = firsts(outcomes.iter());
    let during = |o: &&Outcome| (EVENT_AT..EVENT_AT + EVENT_FOR).contains(&o.at);
    let others = firsts(outcomes.iter().filter(during).filter(|o| o.org != FLOODER));
    Run {
        deployment: job.deployment,
        experiment: job.experiment,
        rival: job.rival,
        seed: job.seed,
        requests: trace.len(),
        attainment: count(Ending::Met) as f64 / trace.len().max(1) as f64,
        ceiling: ceiling(&trace, engines),
        moves,
        first_p50: first.value_at_quantile(0.5),
        first_p95: first.value_at_quantile(0.95),
        first_p99: first.value_at_quantile(0.99),
        late: count(Ending::Late),
        refused: count(Ending::Refused),
        unknown: count(Ending::Unknown),
        lost: count(Ending::Lost),
        others_p95: others.value_at_quantile(0.95),
    }
}

fn firsts<'a>(outcomes: impl Iterator<Item = &'a Outcome>) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("the precision is valid");
    for first in outcomes.filter_map(|o| o.first) {
        histogram.saturating_record(first);
    }
    histogram
}

/// An upper bound of what any plan could attain: all engines as one, every model on it,
/// nothing lost to prompts; work beyond a second's backlog is late.
fn ceiling(trace: &[Arrival], engines: f64) -> f64 {
    const WINDOW: u64 = 1_000;
    let windows = (LENGTH / WINDOW) as usize + 1;
    let mut work = vec![0.0; windows];
    for arrival in trace {
        work[(arrival.at / WINDOW) as usize] += f64::from(arrival.tokens);
    }
    let most = capacity() * engines;
    let (mut backlog, mut done, mut total) = (0.0, 0.0, 0.0);
    for w in work {
        total += w;
        let asked: f64 = backlog + w;
        let kept = asked.min(2.0 * most);
        done += w - (asked - kept).max(0.0);
        backlog = (kept - most).max(0.0);
    }
    if total > 0.0 {
        done / total
    } else {
        1.0
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

fn rows(runs: &[Run], seeds: u64) -> Vec<Row> {
    let groups = runs.chunks(seeds as usize);
    groups.map(row).collect()
}

fn row(group: &[Run]) -> Row {
    let of = |f: fn(&Run) -> f64| median(group.iter().map(f).collect());
    let per_mille = |f: fn(&Run) -> usize| {
        median(
            group
                .iter()
                .map(|r| f(r) as f64 * 1_000.0 / r.requests.max(1) as f64)
                .collect(),
        )
    };
    let first = &group[0];
    let attainment = of(|r| r.attainment);
    Row {
        deployment: first.deployment,
        experiment: first.experiment,
        rival: first.rival,
        attainment,
        per_accelerator: attainment / first.deployment.engines() as f64,
        ceiling: of(|r| r.ceiling),
        moves: of(|r| r.moves as f64) as u64,
        first_p50: of(|r| r.first_p50 as f64) as u64,
        first_p95: of(|r| r.first_p95 as f64) as u64,
        first_p99: of(|r| r.first_p99 as f64) as u64,
        others_p95: of(|r| r.others_p95 as f64) as u64,
        late: per_mille(|r| r.late),
        refused: per_mille(|r| r.refused),
        unknown: per_mille(|r| r.unknown),
        lost: per_mille(|r| r.lost),
    }
}

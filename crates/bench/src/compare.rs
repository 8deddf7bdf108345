//! `compare`: runs several policies on the same traces.

use crate::fleet::capacity;
use crate::simulation::{Ending, Outcome, Setup, Simulation};
use crate::trace::{
    arrivals, Arrival, Deployment, Experiment, DURATION_MS, EVENT_AT, EVENT_FOR, FLOOD_ORG,
};
use crate::{parallel, plot};
use eyre::Result;
use hdrhistogram::Histogram;
use serde::Serialize;
use shaleline_place::{LruPlanner, PlanSettings, Planner, StaticPlanner};
use shaleline_route::ChoicePolicy;

const QUICK_SEEDS: u64 = 5;
const FULL_SEEDS: u64 = 15;

/// Offered load without an event, as a fraction of the capacity.
const BASE_LOAD: f64 = 0.55;

/// Mean cost of a request in tokens, including the time of its prompt.
const MEAN_TOKENS: f64 = 60.0;

/// A policy to compare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// The policy of this project.
    Shaleline,
    /// Static placement and round-robin routing.
    Static,
    /// Static placement and routing to the upstream with the lowest reported load.
    LeastLoaded,
    /// Evicts the least recently used models.
    Lru,
}

impl PolicyKind {
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

/// The figures of one run.
#[derive(Debug, Clone, Serialize)]
struct Run {
    deployment: Deployment,
    experiment: Experiment,
    #[serde(rename = "rival")]
    policy: PolicyKind,
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
    /// p95 of the time to the first token, of the other organisations during the event.
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
    #[serde(rename = "rival")]
    pub policy: PolicyKind,
    /// The fraction of requests that met their target.
    pub attainment: f64,
    /// That fraction divided by the number of engines.
    pub per_accelerator: f64,
    /// An upper bound of that fraction, computed from the trace.
    pub ceiling: f64,
    /// Number of loads during the traffic.
    pub moves: u64,
    /// p50 of the time to the first token in milliseconds.
    pub first_p50: u64,
    /// p95 of the time to the first token in milliseconds.
    pub first_p95: u64,
    /// p99 of the time to the first token in milliseconds.
    pub first_p99: u64,
    /// p95 of the time to the first token, of the other organisations during the event.
    pub others_p95: u64,
    /// Complete but late requests per thousand.
    pub late: f64,
    /// Requests refused as not run, per thousand.
    pub refused: f64,
    /// Requests with an unknown outcome, per thousand.
    pub unknown: f64,
    /// Requests without an answer, per thousand.
    pub lost: f64,
}

/// Arguments of `compare`.
pub struct CompareArgs {
    /// Runs fewer seeds.
    pub quick: bool,
    /// Prints JSON.
    pub json: bool,
    /// Writes plots into this folder.
    pub plots: Option<String>,
}

/// Runs the comparison and prints the medians.
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
            serialized_name(&r.deployment), serialized_name(&r.experiment), serialized_name(&r.policy), r.attainment, r.per_accelerator,
            r.ceiling, r.moves, r.first_p50, r.first_p95, r.first_p99, r.others_p95, r.late, r.refused, r.unknown, r.lost
        );
    }
    Ok(true)
}

/// Returns the serialized name of a variant.
pub fn serialized_name<T: Serialize>(value: &T) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

struct Job {
    deployment: Deployment,
    experiment: Experiment,
    policy: PolicyKind,
    seed: u64,
}

/// Runs every combination. The random numbers of a run depend only on its seed.
fn run_all(seeds: u64) -> Vec<Run> {
    let mut jobs = Vec::new();
    for deployment in Deployment::ALL {
        for experiment in Experiment::ALL {
            for policy in PolicyKind::ALL {
                jobs.extend((1..=seeds).map(|seed| Job {
                    deployment,
                    experiment,
                    policy,
                    seed,
                }));
            }
        }
    }
    parallel::run_all(&jobs, run_one)
}

fn run_one(job: &Job) -> Run {
    let engines = job.deployment.engines() as f64;
    let rate = capacity() * engines * BASE_LOAD / MEAN_TOKENS;
    let trace = arrivals(job.deployment, job.experiment, job.seed, rate);
    let setup = job.policy.setup(job.deployment);
    let simulation = Simulation::new(job.deployment, job.experiment, setup, job.seed);
    let (outcomes, moves) = simulation.run(&trace);
    let count = |ending: Ending| outcomes.iter().filter(|o| o.ending == ending).count();
    let first = first_token_times(outcomes.iter());
    let during = |o: &&Outcome| (EVENT_AT..EVENT_AT + EVENT_FOR).contains(&o.at);
    let others = first_token_times(
        outcomes
            .iter()
            .filter(during)
            .filter(|o| o.org != FLOOD_ORG),
    );
    Run {
        deployment: job.deployment,
        experiment: job.experiment,
        policy: job.policy,
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

fn first_token_times<'a>(outcomes: impl Iterator<Item = &'a Outcome>) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("the precision is valid");
    for first in outcomes.filter_map(|o| o.first) {
        histogram.saturating_record(first);
    }
    histogram
}

/// Returns an upper bound of the attainment of any plan: the engines count as one that
/// holds every model and reads prompts in no time, and work beyond a backlog of one second
/// is late.
fn ceiling(trace: &[Arrival], engines: f64) -> f64 {
    const WINDOW: u64 = 1_000;
    let windows = (DURATION_MS / WINDOW) as usize + 1;
    let mut work = vec![0.0; windows];
    for arrival in trace {
        work[(arrival.at / WINDOW) as usize] += f64::from(arrival.tokens);
    }
    let total_capacity = capacity() * engines;
    let (mut backlog, mut done, mut total) = (0.0, 0.0, 0.0);
    for w in work {
        total += w;
        let offered: f64 = backlog + w;
        let accepted = offered.min(2.0 * total_capacity);
        done += w - (offered - accepted).max(0.0);
        backlog = (accepted - total_capacity).max(0.0);
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
    let median_of = |f: fn(&Run) -> f64| median(group.iter().map(f).collect());
    let per_mille = |f: fn(&Run) -> usize| {
        median(
            group
                .iter()
                .map(|r| f(r) as f64 * 1_000.0 / r.requests.max(1) as f64)
                .collect(),
        )
    };
    let first = &group[0];
    let attainment = median_of(|r| r.attainment);
    Row {
        deployment: first.deployment,
        experiment: first.experiment,
        policy: first.policy,
        attainment,
        per_accelerator: attainment / first.deployment.engines() as f64,
        ceiling: median_of(|r| r.ceiling),
        moves: median_of(|r| r.moves as f64) as u64,
        first_p50: median_of(|r| r.first_p50 as f64) as u64,
        first_p95: median_of(|r| r.first_p95 as f64) as u64,
        first_p99: median_of(|r| r.first_p99 as f64) as u64,
        others_p95: median_of(|r| r.others_p95 as f64) as u64,
        late: per_mille(|r| r.late),
        refused: per_mille(|r| r.refused),
        unknown: per_mille(|r| r.unknown),
        lost: per_mille(|r| r.lost),
    }
}

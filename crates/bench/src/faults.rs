//! `faults`: randomised runs with the invariants checked.

use crate::parallel;
use eyre::Result;
use shaleline_faults::{run as run_seed, Invariant, Subject, Tally};
use shaleline_types::Safeguard;
use std::ops::RangeInclusive;

/// The most violations that are printed one by one.
const MOST_SHOWN: usize = 10;

/// What to run.
pub struct FaultArgs {
    /// How many seeds, from 1 on.
    pub seeds: u64,
    /// This seed only.
    pub seed: Option<u64>,
    /// With this safeguard suspended.
    pub without: Option<Safeguard>,
    /// Print the safeguards instead.
    pub list: bool,
    /// Print figures for machines.
    pub json: bool,
}

/// Runs the seeds. Returns whether no invariant was violated.
pub fn run(args: &FaultArgs) -> Result<bool> {
    if args.list {
        for safeguard in Safeguard::ALL {
            println!("{:<16} {}", safeguard.as_str(), safeguard.description());
        }
        return Ok(true);
    }
    if let Some(safeguard) = args.without {
        safeguard.disable();
    }
    std::panic::set_hook(Box::new(|_| {}));
    let seeds = match args.seed {
        Some(seed) => seed..=seed,
        None => 1..=args.seeds,
    };
    let tally = run_seeds(seeds);
    let _ = std::panic::take_hook();
    if args.json {
        println!("{}", serde_json::to_string_pretty(&tally)?);
    } else {
        print(&tally);
    }
    Ok(tally.violations().is_empty())
}

/// Runs every subject from every seed.
fn run_seeds(seeds: RangeInclusive<u64>) -> Tally {
    let seeds: Vec<u64> = seeds.collect();
    let mut tally = Tally::default();
    for sum in parallel::run_all(&seeds, |seed| run_subjects(*seed)) {
        tally.add(sum);
    }
    tally
}

fn run_subjects(seed: u64) -> Tally {
    let mut sum = Tally::default();
    for subject in Subject::ALL {
        sum.add(run_seed(*subject, seed));
    }
    sum
}

fn print(tally: &Tally) {
    println!(
        "{:>10} {:>9} {:>11} {:>10}  invariant",
        "steps", "faults", "checks", "violations"
    );
    for invariant in Invariant::ALL {
        let o = tally.outcome(*invariant);
        let text = invariant.as_str();
        println!(
            "{:>10} {:>9} {:>11} {:>10}  {text}",
            o.steps, o.faults, o.checks, o.violations
        );
    }
    for violation in tally.violations().iter().take(MOST_SHOWN) {
        println!(
            "seed {} step {}: {}: {}",
            violation.seed,
            violation.step,
            violation.invariant.as_str(),
            violation.text
        );
    }
}

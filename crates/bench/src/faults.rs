//! `faults`: randomised fault injection with invariant checks.

use crate::parallel;
use eyre::Result;
use shaleline_faults::{run as run_seed, Invariant, Subject, Tally};
use shaleline_types::Safeguard;
use std::ops::RangeInclusive;

/// Maximum number of violations that are printed.
const MAX_SHOWN: usize = 10;

/// Arguments of `faults`.
pub struct FaultArgs {
    /// Number of seeds, starting at 1.
    pub seeds: u64,
    /// Runs only this seed.
    pub seed: Option<u64>,
    /// Suspends this safeguard.
    pub without: Option<Safeguard>,
    /// Prints the safeguards and runs nothing.
    pub list: bool,
    /// Prints JSON.
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

/// Runs every subject with every seed.
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
        let outcome = tally.outcome(*invariant);
        let text = invariant.as_str();
        println!(
            "{:>10} {:>9} {:>11} {:>10}  {text}",
            outcome.steps, outcome.faults, outcome.checks, outcome.violations
        );
    }
    for violation in tally.violations().iter().take(MAX_SHOWN) {
        println!(
            "seed {} step {}: {}: {}",
            violation.seed,
            violation.step,
            violation.invariant.as_str(),
            violation.text
        );
    }
}

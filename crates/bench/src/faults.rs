//! `faults`: randomised runs with the invariants checked.

use eyre::Result;
use shaleline_faults::{run as run_seed, Invariant, Subject, Tally};
use shaleline_types::Safeguard;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

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
            println!("{:<16} {}", safeguard.as_str(), safeguard.meaning());
        }
        return Ok(true);
    }
    if let Some(safeguard) = args.without {
        safeguard.suspend();
    }
    std::panic::set_hook(Box::new(|_| {}));
    let seeds = match args.seed {
        Some(seed) => seed..=seed,
        None => 1..=args.seeds,
    };
    let tally = run_all(*seeds.start(), *seeds.end());
    let _ = std::panic::take_hook();
    if args.json {
        println!("{}", serde_json::to_string_pretty(&tally)?);
    } else {
        print(&tally);
    }
    Ok(tally.violations().is_empty())
}

/// Runs every subject from every seed, on all cores. The sum does not depend on their
/// order.
fn run_all(first: u64, last: u64) -> Tally {
    let next = AtomicU64::new(first);
    let results: Mutex<Vec<(u64, Tally)>> = Mutex::new(Vec::new());
    let threads = std::thread::available_parallelism()
        .map_or(2, usize::from)
        .div_ceil(2);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed > last {
                    return;
                }
                let mut sum = Tally::default();
                for subject in Subject::ALL {
                    sum.add(run_seed(*subject, seed));
                }
                results.lock().expect("no holder panics").push((seed, sum));
            });
        }
    });
    let mut results = results.into_inner().expect("no holder panics");
    results.sort_by_key(|(seed, _)| *seed);
    let mut tally = Tally::default();
    for (_, sum) in results {
        tally.add(sum);
    }
    tally
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

//! Short runs of every subject; `shaleline-bench faults` does the long ones.

use shaleline_faults::{run, Subject};
use shaleline_testkit::cases;

const SEEDS: u64 = 12;

fn violations(subject: Subject) -> usize {
    (1..=SEEDS)
        .map(|seed| run(subject, seed).violations().len())
        .sum()
}

cases! { violations;
    log_holds: Subject::Log => 0,
    config_holds: Subject::Config => 0,
    once_holds: Subject::Once => 0,
    cell_holds: Subject::Cell => 0,
    route_holds: Subject::Route => 0,
    drain_holds: Subject::Drain => 0,
}

/// Seeds that once found a violation.
#[test]
fn regression_seeds_of_past_violations_hold() {
    let seeds = [
        (Subject::Log, 1),
        (Subject::Route, 1),
        (Subject::Cell, 2),
        (Subject::Cell, 3),
        (Subject::Cell, 76),
        (Subject::Cell, 706),
        (Subject::Cell, 962),
    ];
    for (subject, seed) in seeds {
        assert!(
            run(subject, seed).violations().is_empty(),
            "{subject:?} {seed}"
        );
    }
}

#[test]
fn runs_are_deterministic() {
    for subject in Subject::ALL {
        assert_eq!(run(*subject, 5), run(*subject, 5));
    }
}

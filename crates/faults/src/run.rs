//! Runs one subject from one seed.

use crate::tally::{Invariant, Tally};
use crate::{cell_run, config_run, drain_run, log_run, once_run, route_run};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// What is run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// The log's client by itself.
    Log,
    /// Configuration with racing operators.
    Config,
    /// Keyed requests.
    Once,
    /// Ownership, memory and orders.
    Cell,
    /// Admission, routing and retries.
    Route,
    /// Planned stops.
    Drain,
}

impl Subject {
    /// Every subject.
    pub const ALL: &'static [Self] = &[
        Self::Log,
        Self::Config,
        Self::Once,
        Self::Cell,
        Self::Route,
        Self::Drain,
    ];

    /// The invariant that a panic in the subject's code counts against.
    fn guarded(self) -> Invariant {
        match self {
            Self::Log => Invariant::Log,
            Self::Config => Invariant::Config,
            Self::Once => Invariant::Once,
            Self::Cell => Invariant::Memory,
            Self::Route => Invariant::Leaving,
            Self::Drain => Invariant::PlannedStop,
        }
    }
}

/// Runs a subject from a seed. The same seed does the same, always.
#[must_use]
pub fn run(subject: Subject, seed: u64) -> Tally {
    let mut tally = Tally::new(seed);
    let result = catch_unwind(AssertUnwindSafe(|| match subject {
        Subject::Log => log_run::run(seed, &mut tally),
        Subject::Config => config_run::run(seed, &mut tally),
        Subject::Once => once_run::run(seed, &mut tally),
        Subject::Cell => cell_run::run(seed, &mut tally),
        Subject::Route => route_run::run(seed, &mut tally),
        Subject::Drain => drain_run::run(seed, &mut tally),
    }));
    if let Err(cause) = result {
        let text = cause
            .downcast_ref::<&str>()
            .map(|t| (*t).to_owned())
            .or_else(|| cause.downcast_ref::<String>().cloned());
        let text = text.unwrap_or_else(|| "a panic".to_owned());
        tally.check(subject.guarded(), false, || {
            format!("the program's assertion: {text}")
        });
    }
    tally.finish()
}

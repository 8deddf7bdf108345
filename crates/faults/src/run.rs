//! Runs one subject with one seed.

use crate::tally::{Invariant, Tally};
use crate::{cell_run, config_run, drain_run, log_run, once_run, route_run};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The code that a run tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// The log client alone.
    Log,
    /// Configuration changed by concurrent operators.
    Config,
    /// Requests with an idempotency key.
    Once,
    /// Cell ownership, the memory ledger and orders to engines.
    Cell,
    /// Admission, routing and retries.
    Route,
    /// Planned shutdown of a process.
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

    /// The invariant that a panic in the subject's code counts as a violation of.
    fn panic_invariant(self) -> Invariant {
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

/// Runs a subject with a seed. The result is deterministic for a given seed.
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
        let message = cause
            .downcast_ref::<&str>()
            .map(|m| (*m).to_owned())
            .or_else(|| cause.downcast_ref::<String>().cloned());
        let message = message.unwrap_or_else(|| "unknown panic".to_owned());
        tally.check(subject.panic_invariant(), false, || {
            format!("the code under test panicked: {message}")
        });
    }
    tally.finish()
}

//! Randomised fault injection against the decision code, with invariant checks.
//!
//! Each [`Subject`] runs the same code as the daemon against small fakes of its
//! dependencies. The faults are drawn from a seed: the log loses answers and delays
//! appends, processes are paused and replaced, and orders are lost, delayed and duplicated.
//! [`run`] is deterministic for a given seed. [`Tally`] counts steps, injected faults,
//! checks and violations per invariant; a panic in the code under test is a violation too.
//!
//! The checks themselves are tested by suspending one [`shaleline_types::Safeguard`] at a
//! time: the runs must then find a violation. `docs/PROOFS.md` lists the results.

mod cell_run;
mod cluster;
mod config_run;
mod drain_run;
mod history;
mod log_run;
mod once_run;
mod route_run;
mod run;
mod tally;

pub use history::{ConfigEvent, ConfigSpec, LeaseEvent, LeaseSpec, OnceEvent, OnceSpec};
pub use run::{run, Subject};
pub use tally::{Invariant, Outcome, Tally, Violation};

//! Long randomised runs over the decision code, with the invariants checked.
//!
//! Each [`Subject`] drives the same code that the daemon drives, against small fakes at
//! its interface, from one seed: a log that loses answers and lets appends take effect
//! late, processes that are paused and replaced, orders that are lost, late and doubled.
//! [`run`] repeats exactly what a seed did. [`Tally`] counts per invariant what was run,
//! injected, checked and violated; the program's own assertions count as violations too.
//!
//! The checker is checked: with one [`shaleline_types::Safeguard`] suspended, the runs
//! must find a violation. `docs/PROOFS.md` has the table.

mod cell_run;
mod config_run;
mod drain_run;
mod history;
mod log_run;
mod once_run;
mod route_run;
mod run;
mod tally;
mod world;

pub use history::{ConfigEvent, ConfigSpec, LeaseEvent, LeaseSpec, OnceEvent, OnceSpec};
pub use run::{run, Subject};
pub use tally::{Invariant, Outcome, Tally, Violation};

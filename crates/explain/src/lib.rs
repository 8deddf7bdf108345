//! Finds the causes of unserved requests in the saved logs of the daemons.
//!
//! * [`Line`] is one log line, parsed into its event and its `key=value` pairs.
//! * [`Losses`] counts, by model, the requests that were served and those that were not, and why.
//! * [`trace`] collects the lines of all daemons about one request, and about its model if no
//!   engine served it.
//!
//! This crate reads no file and no clock. `docs/OPERATIONS.md` has examples of both reports.

mod line;
mod losses;
mod trace;

pub use line::Line;
pub use losses::{Losses, Tally};
pub use trace::trace;

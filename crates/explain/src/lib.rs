//! Finds causes in saved log lines of the daemons.
//!
//! * [`Line`] is one log line, read into its event and its `key=value` pairs.
//! * [`Losses`] counts by model what callers asked for and what they did not get, and why.
//! * [`trace`] gathers what all daemons wrote about one request, and about its model where
//!   no engine served it.
//!
//! Nothing here reads a file or a clock. `docs/OPERATIONS.md` walks through both.

mod line;
mod losses;
mod trace;

pub use line::Line;
pub use losses::{Losses, Tally};
pub use trace::trace;

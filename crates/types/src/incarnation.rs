//! The incarnation of an upstream.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;

/// The start time of an upstream, if the platform reports it.
///
/// An upstream may restart under its name. The new incarnation has none of the earlier state, and
/// late reports about the earlier incarnation don't apply to it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation(Option<u64>);

impl Incarnation {
    /// The incarnation that started at this Unix time in milliseconds.
    #[must_use]
    pub const fn from_millis(at: u64) -> Self {
        Self(Some(at))
    }

    /// Compares the incarnation in a report with the `known` one.
    ///
    /// A report without a start time counts as earlier if the start time is known, because it
    /// can't be shown to be current. If no start time was known so far, any report counts as
    /// being about the known incarnation.
    #[must_use]
    pub fn compare_to(self, known: Self) -> Ordering {
        match (self.0, known.0) {
            (Some(start), Some(known)) => start.cmp(&known),
            (None, Some(_)) => Ordering::Less,
            (_, None) => Ordering::Equal,
        }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(at) => write!(f, "{at}"),
            None => f.write_str("unknown"),
        }
    }
}

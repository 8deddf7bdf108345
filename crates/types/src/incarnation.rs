//! Which start of an upstream something is about.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;

/// When an upstream started, where the platform says so.
///
/// An upstream may start again under its name. It then holds and knows nothing of before, and
/// what is heard late of the earlier start says nothing of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation(Option<u64>);

impl Incarnation {
    /// The start at this Unix millisecond.
    #[must_use]
    pub const fn from_millis(at: u64) -> Self {
        Self(Some(at))
    }

    /// Whether what is heard of this start is about an earlier, the same or a later one than
    /// `known`. What does not say when it started, where that is known, is as good as earlier:
    /// nothing tells that it is not. Where only now a start is named, it is taken for the one
    /// that was known without.
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

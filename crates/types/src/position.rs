//! Positions in a topic of the store.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The bits of the number that hold the offset. A topic of 400 MB has far fewer records.
const OFFSET_BITS: u32 = 40;

/// A position in a topic of the store.
///
/// A store that comes back from an older copy loses its newest records and gives their offsets out
/// again. It counts how often that happened: its era. A position of a later era comes after all
/// those of earlier ones, so that what was read before is never taken for newer.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position(u64);

impl Position {
    /// The position of an offset in an era.
    #[must_use]
    pub const fn new(era: u64, offset: u64) -> Self {
        Self((era << OFFSET_BITS) | offset)
    }

    /// The position that a number stands for; see [`Self::to_u64`].
    #[must_use]
    pub const fn from_u64(number: u64) -> Self {
        Self(number)
    }

    /// The era of the store, 0 if the store does not name it.
    #[must_use]
    pub const fn era(self) -> u64 {
        self.0 >> OFFSET_BITS
    }

    /// The offset in the topic.
    #[must_use]
    pub const fn offset(self) -> u64 {
        self.0 & ((1 << OFFSET_BITS) - 1)
    }

    /// The position after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// A number that rises with the position, over all eras.
    #[must_use]
    pub const fn to_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era(), self.offset())
    }
}

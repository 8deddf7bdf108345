//! Units as types, so that a time can't be added to a size.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! unit {
    ($(#[$doc:meta])* $name:ident, $suffix:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Adds with saturation, because a distant deadline must not wrap around.
            #[must_use]
            pub const fn plus(self, more: u64) -> Self {
                Self(self.0.saturating_add(more))
            }

            /// The difference to `earlier`, or zero if `earlier` is larger.
            #[must_use]
            pub const fn since(self, earlier: Self) -> u64 {
                self.0.saturating_sub(earlier.0)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $suffix), self.0)
            }
        }
    };
}

unit!(
    /// A time or a duration in milliseconds. Times are passed in as arguments, and decisions don't
    /// read a clock.
    Millis,
    "ms"
);
unit!(
    /// An amount of accelerator memory in megabytes.
    Megabytes,
    "MB"
);
unit!(
    /// A position in a stream of the platform's log. The first record has offset 0.
    Offset,
    ""
);

//! Identifiers, with one type for each kind of object.

use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::fmt;

const MAX_NAME_BYTES: usize = 64;

/// The error for a text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidName(String);

impl fmt::Display for InvalidName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is no name: 1 to {MAX_NAME_BYTES} letters, digits, '-', '_', '.' or '/'",
            self.0
        )
    }
}

impl std::error::Error for InvalidName {}

fn check_name(text: &str) -> Result<(), InvalidName> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(allowed) {
        return Err(InvalidName(text.chars().take(MAX_NAME_BYTES).collect()));
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Parses a name of this kind.
            ///
            /// # Errors
            /// [`InvalidName`] if the text is empty, too long or contains a character that is not
            /// allowed.
            pub fn from_text(text: &str) -> Result<Self, InvalidName> {
                check_name(text).map(|()| Self(text.to_owned()))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;
            fn try_from(text: String) -> Result<Self, InvalidName> {
                check_name(&text).map(|()| Self(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// An organisation: a customer (tenant) that is isolated from all others.
    Org
);
name!(
    /// A model with its version, such as `frost-advisor/2`.
    Model
);
name!(
    /// An adapter that is served on top of a model's base weights.
    Adapter
);
name!(
    /// A plain service, which runs outside the engines.
    Service
);
name!(
    /// A back end: an engine or one replica of a plain service.
    Upstream
);
name!(
    /// A machine that runs a daemon.
    Instance
);
name!(
    /// A zone: a group of instances that can fail together.
    DataCentre
);
name!(
    /// A template from which organisations are configured.
    TemplateName
);
name!(
    /// A stream of the platform's log.
    Stream
);
name!(
    /// An id that the operator chooses for a change, which makes a repeated call idempotent.
    ChangeId
);

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    };
}

number!(
    /// One incarnation of a process. It is drawn at random at start and never reused.
    WriterId
);
number!(
    /// One request of one caller, unique within an incarnation of a daemon.
    RequestId
);

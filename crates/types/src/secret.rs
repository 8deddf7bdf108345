//! Secrets are kept as hashes and compared in constant time.

use crate::digest;
use serde::{Deserialize, Serialize};
use std::fmt;
use subtle::ConstantTimeEq;

/// The hash of a bearer token. Tokens are long and random, so one round is enough;
/// see `docs/OPERATIONS.md`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TokenHash(String);

impl TokenHash {
    /// Hashes a token that a caller showed.
    #[must_use]
    pub fn from_token(token: &str) -> Self {
        Self(digest(&[b"shaleline-token", token.as_bytes()]))
    }

    /// Takes a hash that was computed elsewhere, 64 hexadecimal digits.
    #[must_use]
    pub fn from_hex(hex: &str) -> Option<Self> {
        let valid = hex.len() == 64 && hex.bytes().all(|b| b.is_ascii_hexdigit());
        valid.then(|| Self(hex.to_ascii_lowercase()))
    }

    /// Compares in constant time, so that timing tells nothing about the kept hash.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }

    /// The hash as hexadecimal digits.
    #[must_use]
    pub fn as_hex(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for TokenHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TokenHash({}..)", self.0.get(..6).unwrap_or_default())
    }
}

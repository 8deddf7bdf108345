//! Hashes of secrets. Secrets are stored only as hashes and compared in constant time.

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
    /// Hashes a token that a caller presented.
    #[must_use]
    pub fn from_token(token: &str) -> Self {
        Self(digest(&[b"shaleline-token", token.as_bytes()]))
    }

    /// Parses a hash of 64 hexadecimal digits; `None` if it is malformed.
    #[must_use]
    pub fn from_hex(hex: &str) -> Option<Self> {
        let valid = hex.len() == 64 && hex.bytes().all(|b| b.is_ascii_hexdigit());
        valid.then(|| Self(hex.to_ascii_lowercase()))
    }

    /// Compares in constant time, so that timing reveals nothing about the stored hash.
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

/// The hash key for callers' API keys, which separates these hashes from all other uses.
const API_KEY_HASH_KEY: &[u8; 32] = b"shaleline API keys of callers  1";

/// The hash of a caller's API key (BLAKE3), the only form in which a key is stored.
///
/// A presented key is looked up and compared as a hash, so that timing doesn't reveal how much of
/// the key was right. The hash is never printed, because keys may be short enough to guess.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyHash(blake3::Hash);

impl KeyHash {
    /// Hashes a key.
    #[must_use]
    pub fn from_key(key: &str) -> Self {
        Self(blake3::keyed_hash(API_KEY_HASH_KEY, key.as_bytes()))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

impl fmt::Debug for TokenHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TokenHash({}..)", self.0.get(..6).unwrap_or_default())
    }
}

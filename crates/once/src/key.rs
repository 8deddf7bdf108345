//! The key of a request that must run at most once.

use serde::{Deserialize, Serialize};
use shaleline_types::{digest, Org};

/// Identifies a request within its organisation and route. The key is hashed so that callers
/// can't inflate the journal with long keys or collide with another organisation's keys.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OnceKey(String);

/// The number of hexadecimal digits kept: 128 bits, enough to make collisions infeasible.
const KEY_DIGITS: usize = 32;

impl OnceKey {
    /// Derives the key from the caller's `Idempotency-Key` on a route such as `services/alerts`.
    #[must_use]
    pub fn from_parts(org: &Org, route: &str, key: &str) -> Self {
        let mut text = digest(&[org.as_str().as_bytes(), route.as_bytes(), key.as_bytes()]);
        text.truncate(KEY_DIGITS);
        Self(text)
    }

    /// The key as hexadecimal digits.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The journal shard of the key, out of `shards`.
    #[must_use]
    pub fn shard(&self, shards: u32) -> u32 {
        let head = u32::from_str_radix(self.0.get(..8).unwrap_or("0"), 16).unwrap_or(0);
        head % shards.max(1)
    }
}

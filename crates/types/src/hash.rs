//! Hash functions that give the same result in every process and version.

use sha2::{Digest, Sha256};
use std::fmt::Write as _;
use xxhash_rust::xxh3::xxh3_64;

/// A 64-bit hash of `parts` that is the same in every process and version. It is not
/// collision-resistant.
#[must_use]
pub fn stable_hash(parts: &[&str]) -> u64 {
    let mut text = String::new();
    for part in parts {
        text.push_str(part);
        text.push('\u{1f}');
    }
    xxh3_64(text.as_bytes())
}

/// The SHA-256 of `parts` in hexadecimal, for keys that a malicious caller may choose.
#[must_use]
pub fn digest(parts: &[&[u8]]) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().iter().fold(String::new(), |mut out, b| {
        let _ = write!(out, "{b:02x}");
        out
    })
}

/// Orders `candidates` by rendezvous hashing for `key`, best first.
///
/// Every process computes the same order, and adding or removing a candidate moves only that
/// candidate's own keys.
#[must_use]
pub fn rank<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut scored: Vec<(u64, &str)> = candidates
        .into_iter()
        .map(|c| (stable_hash(&[key, c]), c))
        .collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, c)| c).collect()
}

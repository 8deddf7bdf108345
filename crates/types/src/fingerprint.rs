//! Identities of requests and of incarnations of upstreams.

use crate::{stable_hash, Incarnation, Upstream};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The key of the hash, which separates these hashes from all other uses. It is not secret: it
/// must be the same in every daemon, and the hash is collision-resistant without a secret key.
const FINGERPRINT_KEY: &[u8; 32] = b"shaleline identity of a request ";

/// The last bytes of the fingerprint of a prompt's part. A request's fingerprint ends in them with
/// a probability of 2^-32.
const PART_SUFFIX: [u8; 4] = *b"part";

/// The number of bytes that `Display` prints.
const DISPLAYED_BYTES: usize = 4;

/// A keyed hash (BLAKE3) of a request's target and body. All attempts of a caller at the same
/// request have the same fingerprint.
///
/// The hash has 128 bits and is collision-resistant, so that no caller can craft a request that is
/// mistaken for another one. `docs/CRASHES.md` describes its use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// The fingerprint of `parts`. Each part is prefixed by its length, so that moving bytes from
    /// one part to the next changes the fingerprint.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new_keyed(FINGERPRINT_KEY);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }

    /// The fingerprint of a part of prompts, which many requests share. Its last bytes distinguish it
    /// from a request's, so that messages and records of both have one format.
    #[must_use]
    pub fn of_part(part: u64) -> Self {
        let Self(mut bytes) = Self::of(&[&part.to_le_bytes()]);
        bytes[16 - PART_SUFFIX.len()..].copy_from_slice(&PART_SUFFIX);
        Self(bytes)
    }

    /// Whether it is the fingerprint of a part of prompts.
    #[must_use]
    pub fn is_part(&self) -> bool {
        self.0.ends_with(&PART_SUFFIX)
    }

    /// The whole fingerprint in hexadecimal, for use as a key in a store.
    #[must_use]
    pub fn to_hex(&self) -> String {
        self.0.iter().map(|b| format!("{b:02x}")).collect()
    }
}

/// A request together with its caller, or a part of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// A hash of the request's origin, to detect callers with many requests. No request is refused
    /// because of this hash alone.
    pub caller: u64,
    /// The fingerprint of the request or part.
    pub request: Fingerprint,
}

impl Identity {
    /// The identity of a part of this request's prompt. It counts apart from the caller's requests,
    /// so that many requests don't displace the few parts that they share.
    #[must_use]
    pub fn with_part(self, part: Fingerprint) -> Self {
        Self {
            caller: stable_hash(&[&self.caller.to_string(), "parts"]),
            request: part,
        }
    }

    /// The identity of a request from `caller` that consists of `parts`.
    #[must_use]
    pub fn of(caller: &str, parts: &[&[u8]]) -> Self {
        Self {
            caller: stable_hash(&[caller]),
            request: Fingerprint::of(parts),
        }
    }
}

impl fmt::Display for Fingerprint {
    /// Writes a short prefix for logs: enough to find the lines of one request, too little to
    /// reveal its content.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..DISPLAYED_BYTES]
            .iter()
            .try_for_each(|b| write!(f, "{b:02x}"))
    }
}

/// A hash of an upstream's name and incarnation. An upstream may restart under its name, and the
/// cause that ended one incarnation says nothing about the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IncarnationTag(u64);

impl IncarnationTag {
    /// The tag of one incarnation of `upstream`.
    #[must_use]
    pub fn of(upstream: &Upstream, incarnation: Incarnation) -> Self {
        Self(stable_hash(&[upstream.as_str(), &incarnation.to_string()]))
    }

    /// A placeholder tag for the next incarnation, for use while that incarnation is unknown.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }
}

impl fmt::Display for IncarnationTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

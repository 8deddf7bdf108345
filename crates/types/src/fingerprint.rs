//! Which requests are the same, and which start of an upstream something is about.

use crate::{stable_hash, Incarnation, Upstream};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The key of the hash. It keeps these hashes apart from all others; it is no secret, as it
/// must be the same in every daemon, and the hash resists collisions without one.
const KEY: &[u8; 32] = b"shaleline identity of a request ";

/// So many bytes are shown to people.
const SHOWN: usize = 4;

/// What a request is, whichever attempt of its caller it is: a keyed hash (BLAKE3) of what is asked
/// for, and with which body.
///
/// 128 bits of a hash that resists collisions: no caller can make a request that is taken for
/// another one. `docs/CRASHES.md` says what it is needed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// The fingerprint of `parts`, none of which runs into the next.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new_keyed(KEY);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }

    /// All of it in hexadecimal, as a key in a store.
    #[must_use]
    pub fn to_hex(&self) -> String {
        self.0.iter().map(|b| format!("{b:02x}")).collect()
    }
}

/// Whose request it is, and which.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Where it came from as a hash, to tell whose requests are many. It refuses nothing by itself.
    pub caller: u64,
    /// The request.
    pub request: Fingerprint,
}

impl Identity {
    /// The identity of a request that came from `caller` and is made of `parts`.
    #[must_use]
    pub fn of(caller: &str, parts: &[&[u8]]) -> Self {
        Self {
            caller: stable_hash(&[caller]),
            request: Fingerprint::of(parts),
        }
    }
}

impl fmt::Display for Fingerprint {
    /// A short digest for logs: enough to find the lines of one request, too little to tell
    /// what is in it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..SHOWN]
            .iter()
            .try_for_each(|b| write!(f, "{b:02x}"))
    }
}

/// One start of an upstream as a hash: an upstream may start again under its name, and what
/// ended one start says nothing of the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IncarnationTag(u64);

impl IncarnationTag {
    /// The tag of a start.
    #[must_use]
    pub fn of(upstream: &Upstream, incarnation: Incarnation) -> Self {
        Self(stable_hash(&[upstream.as_str(), &incarnation.to_string()]))
    }

    /// The tag of the start after this one, where nothing is known of it yet.
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

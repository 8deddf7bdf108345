//! The daemon that selects the upstream of a request.

use shaleline_types::stable_hash;
use std::cmp::Reverse;
use std::fmt;
use std::net::SocketAddr;

/// The daemon that selects the upstream of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Selector {
    /// This daemon, as a hub.
    Local,
    /// Another daemon.
    Remote(SocketAddr),
    /// No hub answers: each daemon selects for itself.
    NoHub,
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Local => f.write_str("local"),
            Self::Remote(hub) => hub.fmt(f),
            Self::NoHub => f.write_str("none"),
        }
    }
}

/// The number of hubs that are tried: a request that waits for a third one is too late to be
/// served.
const MAX_HUBS: usize = 2;

impl Selector {
    /// Returns the first hub that answers. Hubs share the models and services by rendezvous hashing
    /// of `key`.
    ///
    /// If the first hub does not answer, the next one is used. If each daemon selected for itself
    /// in that case, the copies of one request would crash more upstreams while hubs fail.
    pub(crate) fn of(
        key: &str,
        mut hubs: Vec<SocketAddr>,
        available: impl Fn(SocketAddr) -> bool,
        me: SocketAddr,
    ) -> Self {
        let score = |hub: &SocketAddr| stable_hash(&[key, &hub.to_string()]);
        hubs.sort_by_cached_key(|hub| Reverse(score(hub)));
        match hubs.into_iter().take(MAX_HUBS).find(|hub| available(*hub)) {
            Some(hub) if hub == me => Self::Local,
            Some(hub) => Self::Remote(hub),
            None => Self::NoHub,
        }
    }
}

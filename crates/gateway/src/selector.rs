//! Who chooses the upstream of a request.

use shaleline_types::stable_hash;
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Who chooses the upstream of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Selector {
    /// This daemon, as a hub.
    Local,
    /// Another one.
    Remote(SocketAddr),
    /// No hub answers: each daemon for itself.
    NoHub,
}

/// So many hubs are asked: who waits for a third has lost the time to be served.
const ASKED: usize = 2;

impl Selector {
    /// The first of the hubs that answers, which share the models and services by rendezvous hashing
    /// of `key`.
    ///
    /// Where the first does not answer it is the next one. That each daemon then chose for itself let
    /// a request in eight copies end up to eleven upstreams while hubs were killed, and with a second
    /// one up to five, before 30 daemons in simulated time.
    pub(crate) fn of(
        key: &str,
        mut hubs: Vec<SocketAddr>,
        answers: impl Fn(SocketAddr) -> bool,
        me: SocketAddr,
    ) -> Self {
        let score = |hub: &SocketAddr| stable_hash(&[key, &hub.to_string()]);
        hubs.sort_by_cached_key(|hub| Reverse(score(hub)));
        match hubs.into_iter().take(ASKED).find(|hub| answers(*hub)) {
            Some(hub) if hub == me => Self::Local,
            Some(hub) => Self::Remote(hub),
            None => Self::NoHub,
        }
    }
}

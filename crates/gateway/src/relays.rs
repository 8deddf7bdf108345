//! Which daemons to ask for a tunnel, and which ones a hub names to those that need one.
//!
//! A daemon knows a few others, most of them hubs. If those have lost the upstreams as well, or had
//! to carry the tunnels of all, its callers would not be served. It therefore asks the hubs, which
//! name some daemons of their data centres, and learns from each answer of a relay.

use serde::{Deserialize, Serialize};
use shaleline_types::{Millis, Service};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The time for which a relay that opened no tunnel is not asked again: a daemon that has lost the
/// upstreams notices that within less.
const MISSED_MS: u64 = 1_000;

/// The time for which a relay that opened a tunnel is preferred.
const OPENED_MS: u64 = 2_000;

/// The time for which a relay that a hub named is preferred to others.
const LISTED_MS: u64 = 2_000;

/// The interval at which a daemon that needs relays asks the hubs for some.
const REQUEST_INTERVAL_MS: u64 = 500;

/// The time for which a hub does not name a daemon that has reported it reaches no upstream.
const UNABLE_MS: u64 = 3 * REQUEST_INTERVAL_MS;

/// The number of daemons that a hub names: if two thirds of them have just lost the upstreams, a
/// request that asks eight of them still finds one in 96 of 100 cases.
const LIST_SIZE: usize = 16;

/// With fewer relays that opened tunnels, one search in as many tries another relay first, so that
/// no relay carries all tunnels of a daemon.
const SPREAD: u64 = 4;

/// A daemon that is not heard of for this long is dropped.
const FORGET_MS: u64 = 60_000;

/// The messages about relays.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum RelayMessage {
    /// To the hubs: asks for relays to a service. `unable` is set if the sender reaches none of its
    /// upstreams, so that it can't be one.
    Request { service: Service, unable: bool },
    /// From a hub: daemons that may reach the upstreams of a service.
    List {
        service: Service,
        daemons: Vec<SocketAddr>,
    },
}

/// What is known of a daemon as a relay.
#[derive(Debug, Clone, Copy)]
struct Relay {
    /// Drawn at random, so that daemons differ in whom they ask first.
    order: u64,
    seen: Millis,
    listed: Option<Millis>,
    opened: Option<Millis>,
    missed: Option<Millis>,
    asked: Option<Millis>,
}

/// How soon a relay is asked; the smallest is the first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Preference {
    Proven,
    Listed,
    Known,
    MissedBefore,
}

fn is_recent(at: Option<Millis>, within: u64, now: Millis) -> bool {
    at.is_some_and(|at| now.since(at) < within)
}

impl Relay {
    /// None if it is not asked now.
    fn preference(&self, now: Millis) -> Option<Preference> {
        if is_recent(self.missed, MISSED_MS, now) {
            return None;
        }
        let works = self.opened > self.missed;
        Some(match (works, self.missed) {
            (true, _) if is_recent(self.opened, OPENED_MS, now) => Preference::Proven,
            (false, Some(_)) => Preference::MissedBefore,
            _ if is_recent(self.listed, LISTED_MS, now) => Preference::Listed,
            _ => Preference::Known,
        })
    }
}

/// The daemons as relays to the upstreams of a service.
#[derive(Debug, Default)]
pub(crate) struct Relays {
    all: BTreeMap<SocketAddr, Relay>,
    /// The daemons that reported that they reach no upstream, and when.
    unable: BTreeMap<SocketAddr, Millis>,
    requested: Option<Millis>,
    searches: u64,
}

impl Relays {
    /// Adds daemons that this one knows. `random` draws a number for each new one.
    pub(crate) fn on_known(
        &mut self,
        known: &[SocketAddr],
        mut random: impl FnMut() -> u64,
        now: Millis,
    ) {
        for address in known {
            let relay = self.all.entry(*address).or_insert_with(|| Relay {
                order: random(),
                seen: now,
                listed: None,
                opened: None,
                missed: None,
                asked: None,
            });
            relay.seen = now;
        }
    }

    /// Records that a hub named daemons that are known by now.
    pub(crate) fn on_listed(&mut self, listed: &[SocketAddr], now: Millis) {
        for address in listed {
            if let Some(relay) = self.all.get_mut(address) {
                relay.listed = Some(now);
            }
        }
    }

    /// Records that a relay opened a tunnel, or did not.
    pub(crate) fn on_answer(&mut self, relay: SocketAddr, opened: bool, now: Millis) {
        let Some(relay) = self.all.get_mut(&relay) else {
            return;
        };
        match opened {
            true => relay.opened = Some(now),
            false => relay.missed = Some(now),
        }
    }

    /// Records the start of a search.
    pub(crate) fn on_search(&mut self) {
        self.searches += 1;
    }

    /// The next daemon to ask, besides those that were asked already in this search. Of those that
    /// are equally preferred, the one that was asked the longest time ago.
    pub(crate) fn next(&mut self, tried: &BTreeSet<SocketAddr>, now: Millis) -> Option<SocketAddr> {
        let candidates = self.all.iter().filter(|(a, _)| !tried.contains(a));
        let candidates = candidates.filter_map(|(a, r)| Some((r.preference(now)?, *a, *r)));
        let candidates: Vec<(Preference, SocketAddr, Relay)> = candidates.collect();
        let proven = |c: &&(Preference, SocketAddr, Relay)| c.0 == Preference::Proven;
        let few = (candidates.iter().filter(proven).count() as u64) < SPREAD;
        let explores = tried.is_empty() && few && self.searches % SPREAD == 0;
        let key = |(preference, _, relay): &&(Preference, SocketAddr, Relay)| {
            let last = explores && *preference == Preference::Proven;
            (last, *preference, relay.asked, relay.order)
        };
        let address = candidates.iter().min_by_key(key)?.1;
        self.all.get_mut(&address)?.asked = Some(now);
        Some(address)
    }

    /// Whether the hubs are to be asked for relays now, which is then recorded.
    pub(crate) fn take_request(&mut self, now: Millis) -> bool {
        if is_recent(self.requested, REQUEST_INTERVAL_MS, now) {
            return false;
        }
        self.requested = Some(now);
        true
    }

    /// Records whether a daemon reported that it reaches no upstream.
    pub(crate) fn on_report(&mut self, daemon: SocketAddr, unable: bool, now: Millis) {
        match unable {
            true => self.unable.insert(daemon, now),
            false => self.unable.remove(&daemon),
        };
    }

    /// The daemons that a hub names, of those that it knows to be alive.
    pub(crate) fn list(
        &self,
        alive: impl Iterator<Item = SocketAddr>,
        mut random: impl FnMut() -> u64,
        now: Millis,
    ) -> Vec<SocketAddr> {
        let is_unable = |a: &SocketAddr| is_recent(self.unable.get(a).copied(), UNABLE_MS, now);
        let mut able: Vec<(u64, SocketAddr)> = alive
            .filter(|a| !is_unable(a))
            .map(|a| (random(), a))
            .collect();
        able.sort_unstable();
        able.truncate(LIST_SIZE);
        able.into_iter().map(|(_, address)| address).collect()
    }

    /// Drops what is old.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.all.retain(|_, r| now.since(r.seen) < FORGET_MS);
        self.unable
            .retain(|_, at| is_recent(Some(*at), UNABLE_MS, now));
    }
}

//! Which part of the allowances a daemon keeps, and whom it asks for more.
//!
//! Each data centre keeps the same part, and its hub grants from it as far as daemons take it for
//! their hub. `docs/ALLOWANCES.md` argues why the parts never add up to more than all.

use crate::membership::{Membership, Received};
use shaleline_route::Part;
use shaleline_types::Millis;
use std::net::SocketAddr;

/// A daemon that said whom it takes for its hub counts there for so long; in that time it may have
/// moved to another.
const VOTE_MS: u64 = 700;

/// How many daemons a data centre has is remembered for so long, far longer than the daemons themselves:
/// those that are cut off are not heard, and keep their part.
const NEAR_MS: u64 = 3_600_000;

/// A daemon that knows of others, hears none and was never told how many there are takes its data
/// centre for one of so many at least.
const CUT_OFF: u32 = 100;

/// A count that was noted at a time, as long as it is remembered; 0 afterwards.
fn lately((at, count): (Millis, u32), now: Millis) -> u32 {
    match now.since(at) < NEAR_MS {
        true => count,
        false => 0,
    }
}

impl Membership {
    /// How many daemons this data centre has, as its hub told lately.
    fn near_told(&self, now: Millis) -> u32 {
        lately(self.near, now)
    }

    /// How many daemons of this data centre are known, alive or not, this one included: no fewer than were
    /// of late, whether they are heard or not.
    pub(crate) fn near_known(&self, now: Millis) -> u32 {
        let counted = lately(self.counted, now);
        self.near_count().max(counted).max(self.near_told(now))
    }

    fn near_count(&self) -> u32 {
        1 + self.peers.near(&self.me.centre).count() as u32
    }

    /// Remembers how many daemons this data centre has, before those that are not heard are forgotten.
    pub(crate) fn remember_near(&mut self, now: Millis) {
        let count = self.near_count();
        if count >= self.near_known(now) {
            self.counted = (now, count);
        }
    }

    /// Takes in how many there are, as the hub told.
    pub(crate) fn on_near_told(&mut self, near: u32, now: Millis) {
        if near >= self.near_told(now) {
            self.near = (now, near);
        }
    }

    /// The part of all allowances that this daemon may grant from: that of its data centre, as far
    /// as its daemons have told this one that they take it for their hub. Each tells one only, so
    /// the parts of two that take themselves for the hub add up to no more.
    pub(crate) fn allowance_share(&mut self, centres: usize, now: Millis) -> Part {
        let own = usize::from(self.is_elected(now));
        let fresh = |t: &&Received| now.since(t.at) < VOTE_MS;
        let votes = own + self.notes.values().filter(fresh).count();
        let hears = votes > own || self.sums.values().any(|(_, t)| fresh(&t));
        let told = hears || self.near_told(now) > 0 || self.peers.len() == 0;
        let known = match told {
            true => self.near_known(now),
            false => self.near_known(now).max(CUT_OFF),
        };
        let centres = centres.max(self.peers.centres().count());
        Part {
            of_all: (votes as f64 / f64::from(known)).min(1.0) / centres as f64,
            daemons: self.alive().max(self.known()),
        }
    }

    /// Those that keep a part of the allowances, the one of this data centre first.
    pub(crate) fn allocators(&mut self, now: Millis) -> Vec<SocketAddr> {
        let (first, mut others) = match self.is_elected(now) {
            true => (Some(self.me.address), self.heard_hubs(now)),
            false => (self.own_hub(now), self.known_hubs(now)),
        };
        others.retain(|o| Some(*o) != first);
        let mut all: Vec<SocketAddr> = first.into_iter().chain(others).collect();
        // Cut off, a daemon has what would be its own part.
        if !all.contains(&self.me.address) {
            all.push(self.me.address);
        }
        all
    }
}

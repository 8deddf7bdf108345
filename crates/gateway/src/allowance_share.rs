//! Which part of the allowances a daemon keeps, and whom it asks for more.
//!
//! Each data centre keeps the same part, and its hub grants from it as far as daemons take it for
//! their hub. `docs/ALLOWANCES.md` argues why the parts never add up to more than all.

use crate::membership::{Membership, Received};
use shaleline_route::AllocatorShare;
use shaleline_types::Millis;
use std::net::SocketAddr;

/// A daemon that said whom it takes for its hub counts there for so long; in that time it may have
/// moved to another.
const VOTE_MS: u64 = 700;

/// How many daemons a data centre has is remembered for so long, far longer than the daemons themselves:
/// those that are cut off are not heard, and keep their part.
const CENTRE_SIZE_MS: u64 = 3_600_000;

/// A daemon that knows of others, hears none and was never told how many there are takes its data
/// centre for one of so many at least.
const CUT_OFF_SIZE: u32 = 100;

/// A count that was noted at a time, as long as it is remembered; 0 afterwards.
fn unexpired((at, count): (Millis, u32), now: Millis) -> u32 {
    match now.since(at) < CENTRE_SIZE_MS {
        true => count,
        false => 0,
    }
}

impl Membership {
    /// How many daemons this data centre has, as its hub told lately.
    fn reported_centre_size(&self, now: Millis) -> u32 {
        unexpired(self.reported_size, now)
    }

    /// How many daemons of this data centre are known, alive or not, this one included: no fewer than were
    /// of late, whether they are heard or not.
    pub(crate) fn known_centre_size(&self, now: Millis) -> u32 {
        let counted_size = unexpired(self.counted_size, now);
        self.count_centre()
            .max(counted_size)
            .max(self.reported_centre_size(now))
    }

    fn count_centre(&self) -> u32 {
        1 + self.peers.in_centre(&self.me.centre).count() as u32
    }

    /// Remembers how many daemons this data centre has, before those that are not heard are forgotten.
    pub(crate) fn record_centre_size(&mut self, now: Millis) {
        let count = self.count_centre();
        if count >= self.known_centre_size(now) {
            self.counted_size = (now, count);
        }
    }

    /// Takes in how many there are, as the hub told.
    pub(crate) fn on_centre_size(&mut self, size: u32, now: Millis) {
        if size >= self.reported_centre_size(now) {
            self.reported_size = (now, size);
        }
    }

    /// The part of all allowances that this daemon may grant from: that of its data centre, as far
    /// as its daemons have told this one that they take it for their hub. Each tells one only, so
    /// the parts of two that take themselves for the hub add up to no more.
    pub(crate) fn allowance_share(&mut self, centres: usize, now: Millis) -> AllocatorShare {
        let own = usize::from(self.is_elected(now));
        let fresh = |t: &&Received| now.since(t.at) < VOTE_MS;
        let votes = own + self.reports.values().filter(fresh).count();
        let receives = votes > own || self.centre_loads.values().any(|(_, t)| fresh(&t));
        let informed = receives || self.reported_centre_size(now) > 0 || self.peers.len() == 0;
        let known = match informed {
            true => self.known_centre_size(now),
            false => self.known_centre_size(now).max(CUT_OFF_SIZE),
        };
        let centres = centres.max(self.peers.centres().count());
        AllocatorShare {
            fraction: (votes as f64 / f64::from(known)).min(1.0) / centres as f64,
            daemons: self.alive().max(self.known()),
        }
    }

    /// Those that keep a part of the allowances, the one of this data centre first.
    pub(crate) fn allocators(&mut self, now: Millis) -> Vec<SocketAddr> {
        let (first, mut others) = match self.is_elected(now) {
            true => (Some(self.me.address), self.reachable_hubs(now)),
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

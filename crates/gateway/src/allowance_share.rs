//! Computes the share of the allowances that a daemon holds, and lists the daemons to ask for more.
//!
//! Each data centre holds the same share. Its hub allocates from that share in proportion to the
//! daemons that take it for their hub. `docs/ALLOWANCES.md` explains why the shares never add up to
//! more than the whole.

use crate::membership::{Membership, Received};
use shaleline_route::AllocatorShare;
use shaleline_types::Millis;
use std::net::SocketAddr;

/// The time for which a daemon counts for the hub to which it sent its load; it may have switched
/// to another hub meanwhile.
const VOTE_MS: u64 = 700;

/// The time for which the number of daemons of a data centre is remembered. It is far longer than
/// the daemons themselves are remembered: daemons that are cut off send nothing and keep their
/// share.
const CENTRE_SIZE_MS: u64 = 3_600_000;

/// The minimum size of the data centre that a daemon assumes where it knows of other daemons,
/// receives nothing from them and was never sent their number.
const CUT_OFF_SIZE: u32 = 100;

/// The count until it expires, 0 afterwards.
fn unexpired((at, count): (Millis, u32), now: Millis) -> u32 {
    match now.since(at) < CENTRE_SIZE_MS {
        true => count,
        false => 0,
    }
}

/// Whether a report shows for which hub its sender counts.
fn is_vote(report: &Received, now: Millis) -> bool {
    now.since(report.at) < VOTE_MS
}

impl Membership {
    /// The number of daemons of this data centre that its hub recently reported.
    fn reported_centre_size(&self, now: Millis) -> u32 {
        unexpired(self.reported_size, now)
    }

    /// The number of daemons of this data centre, alive or not, this one included. It is no lower
    /// than any recent count, whether those daemons are reachable or not.
    pub(crate) fn known_centre_size(&self, now: Millis) -> u32 {
        let counted_size = unexpired(self.counted_size, now);
        self.count_centre()
            .max(counted_size)
            .max(self.reported_centre_size(now))
    }

    fn count_centre(&self) -> u32 {
        1 + self.peers.in_centre(&self.me.centre).count() as u32
    }

    /// Records the number of daemons of this data centre, before silent ones are forgotten.
    pub(crate) fn record_centre_size(&mut self, now: Millis) {
        let count = self.count_centre();
        if count >= self.known_centre_size(now) {
            self.counted_size = (now, count);
        }
    }

    /// Records the number of daemons that the hub reported.
    pub(crate) fn on_centre_size(&mut self, size: u32, now: Millis) {
        if size >= self.reported_centre_size(now) {
            self.reported_size = (now, size);
        }
    }

    /// The share of all allowances that this daemon may allocate: the share of its data centre, in
    /// proportion to the daemons that report to this one as their hub. Each daemon reports to one
    /// hub only, so the shares of two daemons that both act as the hub add up to no more than the
    /// data centre's.
    pub(crate) fn allowance_share(&mut self, centres: usize, now: Millis) -> AllocatorShare {
        let votes = self.votes(now);
        let known = self.assumed_centre_size(self.peers.len() == 0, now);
        AllocatorShare {
            fraction: (votes as f64 / f64::from(known)).min(1.0) / self.centres(centres) as f64,
            daemons: self.alive().max(self.known()),
        }
    }

    /// The number of data centres, whether this daemon knows daemons there or not.
    pub(crate) fn centres(&self, configured: usize) -> usize {
        configured.max(self.peers.centres().count())
    }

    /// The number of daemons that report to this one as their hub, and itself where it is elected.
    fn votes(&mut self, now: Millis) -> usize {
        let own = usize::from(self.is_elected(now));
        own + self.reports.values().filter(|t| is_vote(t, now)).count()
    }

    /// The number of daemons of this data centre to divide by. One that receives nothing from others
    /// and was never sent their number assumes many, unless it is alone.
    fn assumed_centre_size(&self, alone: bool, now: Millis) -> u32 {
        let hubs = self.centre_loads.values().map(|(_, t)| t);
        let receives = self.reports.values().chain(hubs).any(|t| is_vote(t, now));
        let known = self.known_centre_size(now);
        match receives || self.reported_centre_size(now) > 0 || alone {
            true => known,
            false => known.max(CUT_OFF_SIZE),
        }
    }

    /// The number of selectors like this one among which the slots of upstreams are divided. A hub
    /// speaks for the daemons that report to it, and any other daemon for itself: the parts of all
    /// hubs, or of all daemons where hubs are silent, add up to no more than the whole. `alone` says
    /// that this daemon was started without others to join.
    pub(crate) fn selectors(&mut self, centres: usize, alone: bool, now: Millis) -> usize {
        let votes = self.votes(now).max(1);
        let size = self.assumed_centre_size(alone, now) as usize;
        (self.centres(centres) * size).div_ceil(votes.min(size))
    }

    /// The share of the upstreams' limited rates for which this daemon grants permits. A permit is
    /// a whole request, so a daemon that speaks for less than half of its data centre holds none:
    /// with many small shares, the permits saved up would exceed what upstreams tolerate.
    pub(crate) fn permit_share(&mut self, centres: usize, now: Millis) -> f64 {
        const LEAST_PART: f64 = 0.5;
        let share = self.allowance_share(centres, now).fraction;
        match share * self.centres(centres) as f64 >= LEAST_PART {
            true => share,
            false => 0.0,
        }
    }

    /// The daemons that hold a share of the allowances, the one of this data centre first.
    pub(crate) fn allocators(&mut self, now: Millis) -> Vec<SocketAddr> {
        let (first, mut others) = match self.is_elected(now) {
            true => (Some(self.me.address), self.reachable_hubs(now)),
            false => (self.own_hub(now), self.known_hubs(now)),
        };
        others.retain(|o| Some(*o) != first);
        let mut all: Vec<SocketAddr> = first.into_iter().chain(others).collect();
        // A daemon that is cut off falls back on its own share.
        if !all.contains(&self.me.address) {
            all.push(self.me.address);
        }
        all
    }
}

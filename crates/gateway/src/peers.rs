//! Keeps the known daemons and the order in which those of a data centre may become its hub.

use crate::message::Sender;
use shaleline_types::{stable_hash, DataCentre, Instance, Millis};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// The name under which hubs are ranked.
const RANK_KEY: &str = "hub";

/// The time without a datagram after which a daemon is forgotten.
const FORGET_MS: u64 = 120_000;

/// A daemon's rank among those that may become a hub: the strongest instance first, ordered by
/// rendezvous hashing among equals. The smallest rank is the best.
pub(crate) type Rank = Reverse<(u8, u64, Instance)>;

fn rank_of(instance: &Instance, strength: u8) -> Rank {
    let score = stable_hash(&[RANK_KEY, instance.as_str()]);
    Reverse((strength, score, instance.clone()))
}

/// Another daemon.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) centre: DataCentre,
    pub(crate) address: SocketAddr,
    incarnation: u64,
    strength: u8,
    /// When this daemon last received something from it, or first learned of it.
    last_seen: Millis,
    pub(crate) last_datagram: Option<Millis>,
}

impl Peer {
    fn new(from: &Sender, now: Millis, last_datagram: Option<Millis>) -> Self {
        Self {
            centre: from.centre.clone(),
            address: from.address,
            incarnation: from.incarnation,
            strength: from.strength,
            last_seen: now,
            last_datagram,
        }
    }

    fn is_same(&self, from: &Sender) -> bool {
        self.incarnation == from.incarnation
            && self.address == from.address
            && self.strength == from.strength
    }
}

/// The other daemons. Ranks are updated as daemons come and go, as they are looked up far more
/// often.
#[derive(Debug)]
pub(crate) struct Peers {
    me: (Instance, Rank),
    all: HashMap<Instance, Peer>,
    ranked: BTreeMap<DataCentre, BTreeSet<Rank>>,
}

impl Peers {
    /// Creates a list that holds only this daemon.
    pub(crate) fn new(me: &Sender) -> Self {
        let rank = rank_of(&me.instance, me.strength);
        let own = BTreeSet::from([rank.clone()]);
        Self {
            me: (me.instance.clone(), rank),
            all: HashMap::new(),
            ranked: BTreeMap::from([(me.centre.clone(), own)]),
        }
    }

    /// Adds a daemon that another source lists. What was received from the daemon itself takes
    /// precedence.
    pub(crate) fn learn(&mut self, from: &Sender, now: Millis) {
        if !self.all.contains_key(&from.instance) {
            self.insert(from, Peer::new(from, now, None));
        }
    }

    /// Records that a daemon sent a datagram. Returns true where it has a new incarnation.
    pub(crate) fn on_datagram(&mut self, from: &Sender, now: Millis) -> bool {
        if let Some(peer) = self.all.get_mut(&from.instance).filter(|p| p.is_same(from)) {
            peer.last_seen = now;
            peer.last_datagram = Some(now);
            return false;
        }
        let before = self.all.get(&from.instance).map(|p| p.incarnation);
        self.remove(&from.instance);
        self.insert(from, Peer::new(from, now, Some(now)));
        before != Some(from.incarnation)
    }

    fn insert(&mut self, from: &Sender, peer: Peer) {
        let ranks = self.ranked.entry(from.centre.clone()).or_default();
        ranks.insert(rank_of(&from.instance, from.strength));
        self.all.insert(from.instance.clone(), peer);
    }

    fn remove(&mut self, instance: &Instance) {
        let Some(peer) = self.all.remove(instance) else {
            return;
        };
        if let Some(ranks) = self.ranked.get_mut(&peer.centre) {
            ranks.remove(&rank_of(instance, peer.strength));
        }
    }

    /// Removes daemons that have sent nothing for [`FORGET_MS`].
    pub(crate) fn prune(&mut self, now: Millis) {
        let expired = |p: &Peer| now.since(p.last_seen) >= FORGET_MS;
        let gone = self.all.iter().filter(|(_, p)| expired(p));
        let gone: Vec<Instance> = gone.map(|(n, _)| n.clone()).collect();
        gone.iter().for_each(|n| self.remove(n));
    }

    /// The daemons of a data centre that may become its hub, best first, this one included.
    pub(crate) fn ranked(&self, centre: &DataCentre) -> impl Iterator<Item = &Instance> {
        let ranks = self.ranked.get(centre).into_iter().flatten();
        ranks.map(|Reverse((_, _, instance))| instance)
    }

    /// A daemon's rank among all that may become hubs.
    pub(crate) fn rank(&self, instance: &Instance) -> Option<Rank> {
        let (me, rank) = &self.me;
        if instance == me {
            return Some(rank.clone());
        }
        let peer = self.all.get(instance)?;
        Some(rank_of(instance, peer.strength))
    }

    /// A daemon's identity as it is reported to others.
    pub(crate) fn sender(&self, instance: &Instance) -> Option<Sender> {
        let peer = self.all.get(instance)?;
        Some(Sender {
            instance: instance.clone(),
            centre: peer.centre.clone(),
            incarnation: peer.incarnation,
            address: peer.address,
            strength: peer.strength,
        })
    }

    /// The data centres in which daemons are known.
    pub(crate) fn centres(&self) -> impl Iterator<Item = &DataCentre> {
        let some = self.ranked.iter().filter(|(_, ranks)| !ranks.is_empty());
        some.map(|(centre, _)| centre)
    }

    pub(crate) fn get(&self, instance: &Instance) -> Option<&Peer> {
        self.all.get(instance)
    }

    pub(crate) fn address(&self, instance: &Instance) -> Option<SocketAddr> {
        self.all.get(instance).map(|p| p.address)
    }

    /// The addresses of the daemons of a data centre, without this one.
    pub(crate) fn addresses(&self, centre: &DataCentre) -> Vec<SocketAddr> {
        self.in_centre(centre).map(|(_, address)| address).collect()
    }

    /// The daemons of a data centre with their addresses, without this one.
    pub(crate) fn in_centre<'a>(
        &'a self,
        centre: &DataCentre,
    ) -> impl Iterator<Item = (&'a Instance, SocketAddr)> {
        let near = self.ranked(centre);
        near.filter_map(|n| self.all.get(n).map(|p| (n, p.address)))
    }

    /// The addresses of all daemons, without this one.
    pub(crate) fn all_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.all.values().map(|p| p.address)
    }

    /// The number of other daemons known, alive or not.
    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }
}

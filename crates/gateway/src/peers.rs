//! What daemons tell each other: small datagrams, any of which may be lost.

use serde::{Deserialize, Serialize};
use shaleline_fleet::{Held, Rates};
use shaleline_route::PeerLoad;
use shaleline_types::{Adapter, Instance, Millis, Model, Upstream};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A daemon that was not heard of for so long counts as gone.
const SILENT_MS: u64 = 3_000;

/// What a daemon told of its load is dropped after so long.
const STALE_MS: u64 = 1_500;

/// A daemon that fell silent is still told this often, should only the way back be cut.
const RETRY_MS: u64 = 2_000;

/// A daemon that was silent for so long is forgotten: its instance was replaced.
const FORGET_MS: u64 = 60_000;

/// Who sends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Sender {
    pub(crate) instance: Instance,
    /// Drawn anew at each start.
    pub(crate) life: u64,
}

/// One datagram.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Datagram {
    pub(crate) from: Sender,
    pub(crate) message: Message,
}

/// What a datagram says.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Message {
    /// What the sender has at the upstreams and what its callers ask for.
    Load(LoadNote),
    /// An adapter is asked for that no engine holds; meant for the planner.
    Want { model: Model, adapter: Adapter },
    /// An engine is about to drop a model.
    Retire { engine: Upstream, model: Model },
    /// An engine was seen to hold this.
    Held { engine: Upstream, held: Held },
}

/// What a daemon has at one upstream: requests, and milliseconds of prompts.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct UpstreamNote {
    pub(crate) running: u16,
    pub(crate) urgent: u16,
    pub(crate) backlog: u16,
}

/// A daemon's load.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct LoadNote {
    /// The fencing token, where the sender plans.
    pub(crate) fence: Option<u64>,
    pub(crate) upstreams: Vec<(Upstream, UpstreamNote)>,
    pub(crate) rates: Rates,
}

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    life: u64,
    heard: Option<Millis>,
    told: Millis,
    known: Millis,
    note: LoadNote,
}

/// The other daemons.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: BTreeMap<Instance, Peer>,
}

impl Peers {
    /// Learns of a daemon from the store. What was heard of it directly is newer.
    pub(crate) fn learn(&mut self, instance: Instance, address: SocketAddr, life: u64, now: Millis) {
        let fresh = Peer {
            address,
            life,
            heard: None,
            told: Millis(0),
            known: now,
            note: LoadNote::default(),
        };
        self.peers.entry(instance).or_insert(fresh);
    }

    /// Takes in a datagram's sender; true where the sender was not known to be there.
    pub(crate) fn hear(&mut self, from: &Sender, address: SocketAddr, now: Millis) -> bool {
        let known = self.peers.get(&from.instance);
        let silent = |p: &Peer| p.heard.is_none_or(|h| now.since(h) >= SILENT_MS);
        let new = known.is_none_or(|p| p.life != from.life || silent(p));
        let note = known.filter(|_| !new).map(|p| p.note.clone());
        let told = known.map_or(Millis(0), |p| p.told);
        let peer = Peer {
            address,
            life: from.life,
            heard: Some(now),
            told,
            known: now,
            note: note.unwrap_or_default(),
        };
        self.peers.insert(from.instance.clone(), peer);
        new
    }

    /// Takes in what a daemon told of its load.
    pub(crate) fn note(&mut self, from: &Sender, note: LoadNote) {
        if let Some(peer) = self.peers.get_mut(&from.instance) {
            peer.note = note;
        }
    }

    /// How many daemons there are, this one included.
    pub(crate) fn alive(&self, now: Millis) -> usize {
        let alive = |p: &&Peer| p.heard.is_some_and(|h| now.since(h) < SILENT_MS);
        1 + self.peers.values().filter(alive).count()
    }

    /// Whom to tell now.
    pub(crate) fn targets(&mut self, now: Millis) -> Vec<SocketAddr> {
        self.peers.retain(|_, p| now.since(p.known) < FORGET_MS);
        let mut targets = Vec::new();
        for peer in self.peers.values_mut() {
            let silent = peer.heard.is_none_or(|h| now.since(h) >= SILENT_MS);
            if silent && now.since(peer.told) < RETRY_MS {
                continue;
            }
            peer.told = now;
            targets.push(peer.address);
        }
        targets
    }

    /// The daemon that says it plans, where one does.
    pub(crate) fn planner(&self, now: Millis) -> Option<SocketAddr> {
        let fresh = |p: &&Peer| p.heard.is_some_and(|h| now.since(h) < STALE_MS);
        let planners = self.peers.values().filter(fresh);
        let planners = planners.filter(|p| p.note.fence.is_some());
        planners.max_by_key(|p| p.note.fence).map(|p| p.address)
    }

    fn fresh_notes(&self, now: Millis) -> impl Iterator<Item = &LoadNote> {
        let fresh = move |p: &&Peer| p.heard.is_some_and(|h| now.since(h) < STALE_MS);
        self.peers.values().filter(fresh).map(|p| &p.note)
    }

    /// What the others have at each upstream.
    pub(crate) fn loads(&self, now: Millis) -> BTreeMap<Upstream, PeerLoad> {
        let mut sums: BTreeMap<Upstream, PeerLoad> = BTreeMap::new();
        for (name, note) in self.fresh_notes(now).flat_map(|n| &n.upstreams) {
            let sum = sums.entry(name.clone()).or_default();
            sum.running += usize::from(note.running);
            sum.urgent += f64::from(note.urgent);
            sum.backlog += f64::from(note.backlog);
        }
        sums
    }

    /// What all callers ask for, this daemon's `own` included.
    pub(crate) fn rates(&self, own: Rates, now: Millis) -> Rates {
        let mut sum = own;
        for (key, rate) in self.fresh_notes(now).flat_map(|n| &n.rates) {
            *sum.entry(key.clone()).or_default() += rate;
        }
        sum
    }
}

//! What daemons tell each other: small datagrams, any of which may be lost.

use crate::dispatch::{Answer, AskNote, ProgressNote, Ticket};
use crate::Entry;
use serde::{Deserialize, Serialize};
use shaleline_fleet::{Held, Rate, Unmet};
use shaleline_route::CrashNote;
use shaleline_types::{
    stable_hash, Adapter, DataCentre, Incarnation, Instance, Millis, Model, Org, Upstream,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Who sends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Sender {
    pub(crate) instance: Instance,
    pub(crate) centre: DataCentre,
    /// Drawn anew at each start.
    pub(crate) incarnation: u64,
    /// Where it listens: what it sends may be passed on by others.
    pub(crate) address: SocketAddr,
    /// How well its instance can serve as a hub; more is better.
    pub(crate) strength: u8,
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
    /// From a daemon to the hub of its data centre: its own load.
    Load(LoadReport),
    /// From a hub to the other hubs: the load of its data centre.
    CentreLoad(HubReport),
    /// A sum that came to a daemon that is no hub, on its way to the hub; it is passed on
    /// only once.
    ForwardedLoad(HubReport),
    /// From a hub to the daemons of its data centre: the load of all.
    TotalLoad(HubReport),
    /// From a daemon to those who follow it, between two ticks: it knows something new.
    ReadPosition(ReadPosition),
    /// From a daemon that starts: it is there, and asks who else is.
    Hello,
    /// To a daemon that starts, or that takes another one for its hub than its sender does.
    Members(MemberList),
    /// From the hub that reads the store to the others, and from each hub to the daemons of its
    /// data centre: upstreams whose entries changed.
    EntryChanges {
        /// Counts these messages, so that a lost one is noticed.
        number: u64,
        /// Each with the offset of its record.
        entries: Vec<(Upstream, u64, Option<Entry>)>,
    },
    /// To the hub that chooses for its model or service: a request asks for an upstream.
    Ask(Ticket, Box<AskNote>),
    /// To the same: what became of the question?
    Poll(Ticket),
    /// To the same: what became of the request.
    Progressed(Ticket, ProgressNote),
    /// To the same, now and then: the requests that are open, and the upstreams from which bytes
    /// came since.
    Open { requests: Vec<u64>, alive: Vec<Tag> },
    /// From it: what to do with a request.
    Answer(Ticket, Answer),
    /// To the same: an engine said that it does not hold this.
    Missing {
        engine: Upstream,
        model: Model,
        adapter: Option<Adapter>,
    },
    /// To a daemon that keeps a part of the allowances: a request needs so much.
    AllowanceRequest {
        ticket: Ticket,
        org: Org,
        cost: u64,
        /// What its sender holds in advance.
        held: u64,
    },
    /// From it.
    AllowanceReply(Ticket, AllowanceReply),
    /// To it: what was granted for a request that did not run.
    AllowanceReturned { org: Org, amount: u64 },
    /// From a hub that stops: others take its place.
    Resigned,
    /// To the planner: an adapter is asked for that no engine holds.
    AdapterWanted { model: Model, adapter: Adapter },
    /// From the planner, passed on by hubs to all.
    PlannerUpdate(PlannerUpdate),
    /// Requests under which upstreams ended.
    Crashes { notes: Vec<CrashNote> },
    /// Asks for such requests: for those that concern every daemon, or for all where a hub asks that
    /// is new.
    CrashesRequest { all: bool },
}

/// The answer to a daemon that needs a part of an allowance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum AllowanceReply {
    /// So much of the organisation's allowance.
    Granted(Org, u64),
    /// Not now; when to come back, in milliseconds.
    Denied(u32),
    /// Nothing is kept here to answer by: the organisation is not known, has no limit, or this daemon keeps
    /// no part of its allowance.
    Unknown,
}

/// What the planner tells all daemons, before the engines' entries do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PlannerUpdate {
    /// An engine is about to drop a model; another start of it is not.
    Retire {
        engine: Upstream,
        incarnation: Incarnation,
        model: Model,
    },
    /// The planner has renewed its claim. Sums say so too, but one of many packets is lost with any of
    /// them, and who does not hear waits longer to succeed.
    Renewed(PlannerInfo),
    /// The planner gives its claim up.
    Released,
    /// An engine was seen to hold this.
    Held {
        engine: Upstream,
        held: Held,
        /// Whether it serves something else than was told before: then it concerns whoever
        /// sends requests, and otherwise only those that may plan next.
        changed: bool,
    },
}

/// Who the hubs are, as a daemon believes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberList {
    pub(crate) hubs: Vec<Sender>,
    /// Those that may be hubs next.
    pub(crate) next: Vec<Sender>,
}

/// What some daemons have at one upstream: requests, and milliseconds of prompts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UpstreamLoad {
    pub(crate) running: u32,
    pub(crate) urgent: u32,
    pub(crate) backlog: u32,
}

impl UpstreamLoad {
    pub(crate) fn add(&mut self, other: Self) {
        self.running += other.running;
        self.urgent += other.urgent;
        self.backlog += other.backlog;
    }

    pub(crate) fn without(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_sub(other.running),
            urgent: self.urgent.saturating_sub(other.urgent),
            backlog: self.backlog.saturating_sub(other.backlog),
        }
    }
}

/// A name as its hash: notes are many, and a hub's link may be slow. Two names with one
/// hash would only make estimates worse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct Tag([u8; 4]);

impl Tag {
    fn new(parts: &[&str]) -> Self {
        Self((stable_hash(parts) as u32).to_le_bytes())
    }

    pub(crate) fn of_upstream(name: &Upstream) -> Self {
        Self::new(&[name.as_str()])
    }

    pub(crate) fn of_model(model: &Model, adapter: Option<&Adapter>) -> Self {
        Self::new(&[model.as_str(), adapter.map_or("", |a| a.as_str())])
    }
}

/// What callers ask for, by model and adapter.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct DemandReport {
    pub(crate) rates: BTreeMap<Tag, Rate>,
    /// What they asked for in vain.
    pub(crate) unmet: BTreeMap<Tag, Unmet>,
}

impl DemandReport {
    /// Adds what others ask for, told so many milliseconds ago.
    pub(crate) fn add(&mut self, other: &Self, age: u64) {
        let age = u32::try_from(age).unwrap_or(u32::MAX);
        for (tag, rate) in &other.rates {
            self.rates.entry(*tag).or_default().add(*rate);
        }
        for (tag, unmet) in &other.unmet {
            let unmet = unmet.aged(age);
            let known = self.unmet.entry(*tag);
            known.and_modify(|u| u.add(unmet)).or_insert(unmet);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.rates.is_empty() && self.unmet.is_empty()
    }
}

/// What is at each upstream.
pub(crate) type UpstreamLoads = BTreeMap<Tag, UpstreamLoad>;

/// Who plans.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlannerInfo {
    pub(crate) fence: u64,
    pub(crate) address: SocketAddr,
    /// Where the topic of claims ended after its last renewal.
    pub(crate) end: u64,
    /// How long ago that renewal began at least, in milliseconds.
    pub(crate) age: u32,
}

impl PlannerInfo {
    /// The same as of `age` milliseconds later.
    pub(crate) fn aged(self, age: u64) -> Self {
        let age = u32::try_from(age).unwrap_or(u32::MAX);
        Self {
            age: self.age.saturating_add(age),
            ..self
        }
    }
}

/// The load of one daemon, or of those of a data centre.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LoadReport {
    /// When its sender sent it, by its own clock; comes back to it in an [`Echo`].
    pub(crate) sent: Millis,
    /// How many daemons it is of.
    pub(crate) daemons: u32,
    pub(crate) planner: Option<PlannerInfo>,
    pub(crate) upstreams: UpstreamLoads,
    pub(crate) demand: DemandReport,
}

/// Tells a daemon which of its notes had come when this was sent: what comes with it is no older.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ack {
    /// The life of the daemon that sent the note.
    pub(crate) incarnation: u64,
    /// See [`LoadNote::sent`].
    pub(crate) sent: Millis,
    /// How long ago it came, in milliseconds.
    pub(crate) age: u32,
}

/// How far a hub knows the store, and as of how long ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReadPosition {
    /// The offset of the configuration to read on from.
    pub(crate) config: u64,
    pub(crate) config_age: u32,
    /// How long ago the configuration was certainly the newest.
    pub(crate) confirmed_age: Option<u32>,
    /// The number of the last message of changes.
    pub(crate) changes: u64,
    pub(crate) changes_age: u32,
    /// Whether it reads the store itself.
    pub(crate) reads_store: bool,
}

/// What a hub tells the other hubs, or the daemons of its data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct HubReport {
    pub(crate) load: LoadReport,
    /// None where the hub knows nothing of the store yet.
    pub(crate) position: Option<ReadPosition>,
    /// The hubs that its sender hears, itself included: each chooses for a part of the models.
    pub(crate) hubs: Vec<SocketAddr>,
    /// How it knows the requests under which upstreams ended.
    pub(crate) crashes: u64,
    /// The last note or sum that came from whom this is for.
    pub(crate) ack: Option<Ack>,
    /// How many daemons of its data centre its sender knows, alive or not.
    pub(crate) centre_size: u32,
}

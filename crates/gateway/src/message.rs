//! The messages between daemons: small datagrams, any of which may be lost.

use crate::dispatch::{Answer, Ask, AskNote, Exclusion, OrderNote, ProgressNote, Ticket};
use crate::eligibility::LeavingNote;
use crate::relays::RelayMessage;
use crate::removals::RemovalNote;
use crate::stream_versions::{Knowledge, Origin, StreamKey};
use crate::upstream_limits::LimitNote;
use crate::Entry;
use serde::{Deserialize, Serialize};
use shaleline_fleet::{Held, Rate, Unmet};
use shaleline_route::CrashNote;
use shaleline_types::{
    stable_hash, Adapter, DataCentre, Incarnation, Instance, Millis, Model, Org, Position, Service,
    SoftwareVersion, Upstream,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The daemon that sends a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Sender {
    pub(crate) instance: Instance,
    pub(crate) centre: DataCentre,
    /// Drawn at random at each start.
    pub(crate) incarnation: u64,
    /// The address at which it listens; datagrams may be forwarded by others.
    pub(crate) address: SocketAddr,
    /// How well its instance can serve as a hub; higher is better.
    pub(crate) strength: u8,
}

/// A message with its sender.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Datagram {
    pub(crate) from: Sender,
    pub(crate) message: Message,
}

/// The contents of a datagram.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Message {
    /// From a daemon to the hub of its data centre: its own load.
    Load(LoadReport),
    /// From a hub to the other hubs: the load of its data centre.
    CentreLoad(HubReport),
    /// The load of a data centre that reached a daemon which is no hub and is forwarded to the hub;
    /// it is forwarded only once.
    ForwardedLoad(HubReport),
    /// From a hub to the daemons of its data centre: the load of all.
    TotalLoad(HubReport),
    /// From a daemon to its followers between two ticks: it has read something new.
    ReadPosition(ReadPosition),
    /// From a daemon that starts: announces itself and asks for the other daemons.
    Hello,
    /// The known hubs, to a daemon that starts or that takes the wrong daemon for its hub.
    Members(MemberList),
    /// From the hub that reads the store to the other hubs, and from each hub to the daemons of its
    /// data centre: upstreams whose entries changed.
    EntryChanges {
        /// Numbers these messages consecutively, so that a loss is detected.
        number: u64,
        /// Each with the position of its record.
        entries: Vec<(Upstream, Position, Option<Entry>)>,
    },
    /// To the hub that selects for the model or service: a request needs an upstream.
    Ask(Ticket, Box<AskNote>),
    /// To the same hub: asks for the answer to an earlier [`Message::Ask`].
    Poll(Ticket),
    /// To the same hub: the progress of a request.
    Progressed(Ticket, ProgressNote),
    /// To the same hub, periodically: the open requests, and the upstreams that have sent bytes
    /// since the last such message.
    Open { requests: Vec<u64>, alive: Vec<Tag> },
    /// From the selecting hub: what to do with a request.
    Answer(Ticket, Answer),
    /// To the selecting hub: an engine reported that it does not hold this model or adapter.
    Missing {
        engine: Upstream,
        model: Model,
        adapter: Option<Adapter>,
    },
    /// To a daemon that holds a share of the allowances: a request needs tokens.
    GrantRequest {
        ticket: Ticket,
        org: Org,
        cost: u64,
        /// The amount that the sender holds in advance.
        held: u64,
    },
    /// The reply to a [`Message::GrantRequest`].
    GrantReply(Ticket, GrantReply),
    /// From a daemon of an earlier release to the allocator: the amount granted for a request that
    /// did not run. It names no request, so a duplicate is not detected.
    GrantReturned { org: Org, amount: u64 },
    /// From a hub that stops: other daemons take its place.
    Resigned,
    /// To the planner: a request needs an adapter that no engine holds.
    AdapterWanted { model: Model, adapter: Adapter },
    /// From the planner, forwarded by hubs to all daemons that it concerns.
    PlannerUpdate(PlannerUpdate),
    /// Requests during which upstreams crashed.
    Crashes { notes: Vec<CrashNote> },
    /// Asks for the requests during which upstreams crashed: for those that concern every daemon,
    /// or for all of them where the sender is a new hub.
    CrashesRequest { all: bool },
    /// To the planner: refused callers will retry for adapters that no engine holds. Sent again
    /// until it is acknowledged.
    AdaptersWanted { reports: Vec<WantedReport> },
    /// From the planner: reports of wanted adapters have arrived.
    AdaptersWantedAck(WantedAck),
    /// About upstreams that limit what they take.
    Limits(LimitMessage),
    /// Like [`Message::Ask`], with the upstreams that take nothing from the sender.
    AskExcept(Ticket, Box<AskNote>, Vec<Exclusion>),
    /// About streams that are bound to a software version.
    Versions(VersionMessage),
    /// Like [`Message::AskExcept`], for a request whose prompt has parts that others may share.
    AskParts(Box<Ask>),
    /// About daemons that open tunnels for others.
    Relays(RelayMessage),
    /// The version of the sender's configuration, which the store may have lost. A daemon with a newer
    /// one answers with its own.
    ConfigHeld { version: u64 },
    /// Like [`Message::AskParts`], with what decides the order among requests that compete.
    AskOrdered(Box<(Ask, OrderNote)>),
    /// To the allocator: the amount granted to a [`Message::GrantRequest`] that did not run.
    GrantUnused {
        ticket: Ticket,
        org: Org,
        amount: u64,
    },
    /// From a hub to its followers: identifies its list of upstreams as it is after this message of
    /// changes. Daemons of earlier releases skip it.
    EntriesDigest { number: u64, digest: u64 },
}

/// What daemons exchange about streams that are bound to a software version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum VersionMessage {
    /// A [`Message::AskExcept`] for a request that is bound to a version.
    Ask(Ticket, Box<AskNote>, SoftwareVersion, Vec<Exclusion>),
    /// To the hub that selects for a request: it is bound to a version from now on.
    Bound(Ticket, SoftwareVersion),
    /// To the hubs: where streams began.
    Began(Vec<(StreamKey, Origin)>),
    /// To a hub: where did a stream of a service begin?
    Question {
        ticket: Ticket,
        key: StreamKey,
        service: Service,
    },
    /// The reply to a [`VersionMessage::Question`].
    Reply(Ticket, Knowledge),
    /// To the hubs: the time for which some stream of the sender may be resumed, where that is longer
    /// than the configuration shows. Daemons of earlier releases skip it.
    Lifetime(Millis),
}

/// What daemons exchange about upstreams that limit what they take.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum LimitMessage {
    /// The limits that upstreams named.
    Named(Vec<LimitNote>),
    /// To a daemon that holds a share of the upstream's rate: a request is to be sent.
    PermitRequest { ticket: Ticket, upstream: Upstream },
    /// The reply to a [`LimitMessage::PermitRequest`].
    PermitReply(Ticket, PermitReply),
    /// To the hubs: an upstream that may crash where it has to reject requests has rejected one.
    Rejected(Upstream),
    /// Upstreams that said in an answer that they are leaving.
    Leaving(Vec<LeavingNote>),
    /// To a daemon through which a request went: the upstream takes nothing from it for this many
    /// milliseconds.
    Resting {
        upstream: Upstream,
        incarnation: Incarnation,
        millis: u32,
    },
    /// When upstreams that are removed at short notice will be gone.
    Removals(Vec<RemovalNote>),
}

/// The reply to a daemon that needs a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PermitReply {
    /// One request may be sent.
    Granted,
    /// Refused for now; holds the time until the next permit in milliseconds.
    Denied(u32),
    /// This daemon holds no share of the rate, or knows of no limit.
    NoShare,
}

/// Acknowledges reports of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WantedAck {
    /// The incarnation of the daemon that sent the reports.
    pub(crate) incarnation: u64,
    /// The planner's fencing token.
    pub(crate) fence: u64,
    pub(crate) numbers: Vec<u32>,
}

/// A refusal of a caller that will retry for an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WantedReport {
    /// Identifies the report at its sender.
    pub(crate) number: u32,
    pub(crate) model: Model,
    pub(crate) adapter: Adapter,
    /// The time since the refusal, in milliseconds.
    pub(crate) waited: u32,
    /// The time until the retry, in milliseconds; 0 if it is due.
    pub(crate) retry: u32,
}

/// The reply to a daemon that needs a share of an allowance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum GrantReply {
    /// The amount granted from the organisation's allowance.
    Granted(Org, u64),
    /// Refused for now; holds the retry-after time in milliseconds.
    Denied(u32),
    /// This daemon cannot decide: the organisation is unknown or has no limit, or this daemon holds
    /// no share of its allowance.
    Unknown,
}

/// What the planner sends to the daemons before the engines' entries show it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PlannerUpdate {
    /// An engine is about to drop a model. This does not apply to another incarnation of the
    /// engine.
    Retire {
        engine: Upstream,
        incarnation: Incarnation,
        model: Model,
    },
    /// The planner has renewed its lease. Load reports carry this too, but a report takes many
    /// packets and is lost with any of them, and a daemon that misses the renewals takes longer to
    /// succeed the planner.
    Renewed(PlannerInfo),
    /// A planner of an earlier release has released its lease.
    Released,
    /// The models that an engine reported to hold.
    Held {
        engine: Upstream,
        held: Held,
        /// Whether the engine serves something else than was last sent. Then the update concerns
        /// every daemon that sends requests, otherwise only those that may plan next.
        changed: bool,
    },
    /// The planner runs; sent to the daemons that watch it.
    Heartbeat(PlannerInfo),
    /// From a daemon that watches the planner, to its data centre: heartbeats are missing. It has
    /// the end of the topic after the last renewal that was received, and the age of that renewal
    /// in milliseconds.
    Silent { end: u64, age: u32 },
    /// From a daemon that has sent [`PlannerUpdate::Silent`]: there are heartbeats again.
    Heard { end: u64, age: u32 },
    /// The planner has released the lease with this fencing token.
    LeaseReleased { fence: u64 },
}

/// The hubs that a daemon knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberList {
    pub(crate) hubs: Vec<Sender>,
    /// The daemons that may succeed the hubs.
    pub(crate) next: Vec<Sender>,
}

/// The load of some daemons at one upstream: numbers of requests, and the prompt backlog in
/// milliseconds.
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

/// A short hash of a name, as reports list many names and a hub's link may be slow. Two names with
/// the same hash only make estimates less accurate.
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

/// The demand of callers by model and adapter.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct DemandReport {
    pub(crate) rates: BTreeMap<Tag, Rate>,
    /// The demand that no upstream served.
    pub(crate) unmet: BTreeMap<Tag, Unmet>,
}

impl DemandReport {
    /// Adds the demand of another report that is `age` milliseconds old.
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

/// The load at each upstream.
pub(crate) type UpstreamLoads = BTreeMap<Tag, UpstreamLoad>;

/// The daemon that plans.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlannerInfo {
    pub(crate) fence: u64,
    pub(crate) address: SocketAddr,
    /// The position at which the topic of the planner lease ended after the last renewal, as a
    /// number.
    pub(crate) end: u64,
    /// The minimum age of the start of that renewal, in milliseconds.
    pub(crate) age: u32,
}

impl PlannerInfo {
    /// The same info `age` milliseconds later.
    pub(crate) fn aged(self, age: u64) -> Self {
        let age = u32::try_from(age).unwrap_or(u32::MAX);
        Self {
            age: self.age.saturating_add(age),
            ..self
        }
    }
}

/// The load of one daemon, or of the daemons of a data centre.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LoadReport {
    /// When it was sent, by the clock of its sender; returned to it in an [`Ack`].
    pub(crate) sent: Millis,
    /// The number of daemons that it covers.
    pub(crate) daemons: u32,
    pub(crate) planner: Option<PlannerInfo>,
    pub(crate) upstreams: UpstreamLoads,
    pub(crate) demand: DemandReport,
}

/// Acknowledges a daemon's last report that had arrived when this was sent. What comes with it is
/// no older than that report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ack {
    /// The incarnation of the daemon that sent the report.
    pub(crate) incarnation: u64,
    /// See [`LoadReport::sent`].
    pub(crate) sent: Millis,
    /// The time since the report arrived, in milliseconds.
    pub(crate) age: u32,
}

/// How far a hub has read the store, with the ages of what it knows in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReadPosition {
    /// The position at which the next read of the configuration starts.
    pub(crate) config: Position,
    pub(crate) config_age: u32,
    /// The age of the last confirmation that the configuration was the newest.
    pub(crate) confirmed_age: Option<u32>,
    /// The number of the last message of entry changes.
    pub(crate) changes: u64,
    pub(crate) changes_age: u32,
    /// Whether the hub reads the store itself.
    pub(crate) reads_store: bool,
}

/// What a hub reports to the other hubs, or to the daemons of its data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct HubReport {
    pub(crate) load: LoadReport,
    /// None where the hub has no knowledge of the store yet.
    pub(crate) position: Option<ReadPosition>,
    /// The hubs from which the sender receives reports, itself included: each selects for a share
    /// of the models.
    pub(crate) hubs: Vec<SocketAddr>,
    /// The digest of the requests during which upstreams crashed.
    pub(crate) crashes: u64,
    /// Acknowledges the last report that the sender received from the addressee.
    pub(crate) ack: Option<Ack>,
    /// The number of daemons of its data centre that the sender knows, alive or not.
    pub(crate) centre_size: u32,
}

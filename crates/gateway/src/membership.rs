//! Which daemons there are and how load is summed up, without a message for each pair.
//!
//! Each data centre has a hub: the first of its daemons that is not silent, the strongest
//! instances first and by rendezvous hashing among equals. Daemons tell their load to their
//! hub, hubs tell each other the sums, and each hub tells its data centre the total. The first
//! of the hubs that the store serves reads it for all; whoever does not hear of that reads by
//! itself. A hub that falls silent is passed over. Two hubs at once only cost messages.
//!
//! The ways that were weighed are in `docs/MEMBERSHIP.md`.

use crate::hub_election::{HubElection, SILENT_MS};
use crate::message::{
    Ack, DemandReport, HubReport, LoadReport, MemberList, Message, PlannerInfo, ReadPosition,
    Sender, UpstreamLoads,
};
use crate::peers::Peers;
use crate::selector::Selector;
use shaleline_types::{DataCentre, Instance, Millis};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a daemon told counts for so long.
const REPORT_STALE_MS: u64 = 1_500;

/// What callers ask for is believed for so long where nobody says anything else. A data centre that
/// is not heard has not fallen silent: taken for idle, its models would make room for others.
const DEMAND_STALE_MS: u64 = 10_000;

/// A daemon that has not told its load for so long does not count as alive.
const DEAD_AFTER_MS: u64 = 3_000;

/// A daemon that was asked to be a hub by another acts as one for so long.
const ACTING_HUB_MS: u64 = 1_500;

/// Besides the one that it follows a daemon asks so many others for a copy: with the first hub
/// half of them may be gone, and each that does not answer takes a part of the bounds.
const MAX_SOURCES: usize = 2;

#[derive(Debug, Clone)]
pub(crate) struct Received {
    pub(crate) at: Millis,
    /// The life of the daemon that told it.
    incarnation: u64,
    note: LoadReport,
}

impl Received {
    /// Tells its sender that it came.
    fn ack(&self, now: Millis) -> Ack {
        Ack {
            incarnation: self.incarnation,
            sent: self.note.sent,
            age: now.since(self.at).min(u64::from(u32::MAX)) as u32,
        }
    }
}

/// What this daemon knows of the others.
#[derive(Debug)]
pub(crate) struct Membership {
    pub(crate) me: Sender,
    pub(crate) peers: Peers,
    election: HubElection,
    /// What the daemons of this data centre told, where this one is their hub.
    pub(crate) reports: BTreeMap<Instance, Received>,
    /// What the other hubs told.
    pub(crate) centre_loads: BTreeMap<DataCentre, (Instance, Received)>,
    /// The hubs that this daemon's hub named last.
    hubs: Vec<SocketAddr>,
    /// The other hubs that read the store themselves, and when they last said so.
    readers: BTreeMap<DataCentre, (Instance, Millis)>,
    /// What this daemon's hub told.
    total: Option<Received>,
    /// What callers of all daemons ask for, as it was last told or summed up.
    latest_demand: Option<(Millis, DemandReport)>,
    /// Who plans, as the planner told the hubs last.
    renewal: Option<(Millis, PlannerInfo)>,
    /// Whether another daemon spoke as the hub of this data centre.
    contact: bool,
    /// When another daemon last took this one for the hub.
    last_report: Option<Millis>,
    /// Whether this daemon was a hub when that was looked at last.
    was_hub: bool,
    /// What this daemon itself told last.
    own_loads: UpstreamLoads,
    /// The most daemons that this data centre had of late, and when that was told.
    pub(crate) reported_size: (Millis, u32),
    /// The same as this daemon counted it.
    pub(crate) counted_size: (Millis, u32),
}

/// Whom news of the planner concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Audience {
    /// Daemons that may plan next.
    Hubs,
    /// Every daemon.
    All,
}

/// What a hub says of its knowledge with each tick.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct HubStatus {
    /// How far it knows the store.
    pub(crate) position: Option<ReadPosition>,
    /// How it knows the requests under which upstreams ended.
    pub(crate) crashes: u64,
}

/// What to send, and where.
pub(crate) type Outgoing = Vec<(SocketAddr, Message)>;

impl Membership {
    pub(crate) fn new(me: Sender) -> Self {
        Self {
            peers: Peers::new(&me),
            election: HubElection::new(me.instance.clone()),
            me,
            reports: BTreeMap::new(),
            centre_loads: BTreeMap::new(),
            hubs: Vec::new(),
            readers: BTreeMap::new(),
            total: None,
            latest_demand: None,
            renewal: None,
            contact: false,
            last_report: None,
            was_hub: false,
            own_loads: UpstreamLoads::new(),
            reported_size: (Millis(0), 0),
            counted_size: (Millis(0), 0),
        }
    }

    /// Takes in a datagram's sender; true where it starts a new life.
    pub(crate) fn on_datagram(&mut self, from: &Sender, now: Millis) -> bool {
        self.peers.on_datagram(from, now)
    }

    /// Who is taken for the hub of a data centre now.
    fn hub(&mut self, centre: &DataCentre, now: Millis) -> Option<Instance> {
        self.election.hub(centre, &self.peers, now)
    }

    /// Who is taken for the hub of this data centre now.
    fn local_hub(&mut self, now: Millis) -> Option<Instance> {
        self.election.hub(&self.me.centre, &self.peers, now)
    }

    /// Whether this daemon acts as the hub of its data centre.
    pub(crate) fn is_hub(&mut self, now: Millis) -> bool {
        let asked = self
            .last_report
            .is_some_and(|at| now.since(at) < ACTING_HUB_MS);
        (asked && !self.election.has_resigned()) || self.is_elected(now)
    }

    /// Stops being a hub, if this daemon is one; whom to tell.
    pub(crate) fn resign(&mut self, now: Millis) -> Vec<SocketAddr> {
        let mut received = Vec::new();
        if self.is_hub(now) {
            received = self.other_hubs(now);
            received.extend(self.neighbours());
        }
        self.election.resign();
        received
    }

    /// Takes in that a hub stops being one.
    pub(crate) fn on_resigned(&mut self, from: &Sender) {
        self.election.on_resigned(from);
        self.readers.remove(&from.centre);
        // What its callers ask for they go on asking for.
        if let Some((_, received)) = self.centre_loads.get_mut(&from.centre) {
            received.note = LoadReport {
                demand: std::mem::take(&mut received.note.demand),
                ..LoadReport::default()
            };
        }
        self.hubs.retain(|h| *h != from.address);
    }

    /// The address of the hub of this data centre, where it is another daemon.
    pub(crate) fn own_hub(&mut self, now: Millis) -> Option<SocketAddr> {
        let hub = self.local_hub(now)?;
        self.peers.address(&hub)
    }

    /// The other hubs, each with its address.
    fn other_hub_peers(&mut self, now: Millis) -> Vec<(Instance, SocketAddr)> {
        let others = self.peers.centres().filter(|c| **c != self.me.centre);
        let others: Vec<DataCentre> = others.cloned().collect();
        let hubs: Vec<Instance> = others.iter().filter_map(|c| self.hub(c, now)).collect();
        let named = hubs.into_iter();
        named
            .filter_map(|h| self.peers.address(&h).map(|a| (h, a)))
            .collect()
    }

    /// The addresses of the other hubs.
    fn other_hubs(&mut self, now: Millis) -> Vec<SocketAddr> {
        self.other_hub_peers(now)
            .into_iter()
            .map(|(_, a)| a)
            .collect()
    }

    /// The addresses of the other daemons of this data centre.
    fn neighbours(&self) -> Vec<SocketAddr> {
        self.peers.addresses(&self.me.centre)
    }

    /// Whether this daemon is the hub of its data centre, whoever else takes it for one.
    pub(crate) fn is_elected(&mut self, now: Millis) -> bool {
        let hub = self.local_hub(now);
        hub.is_none_or(|h| h == self.me.instance) && !self.election.has_resigned()
    }

    /// The hubs that this daemon hears, itself included, where it is one.
    pub(crate) fn reachable_hubs(&self, now: Millis) -> Vec<SocketAddr> {
        let fresh = |(_, received): &&(Instance, Received)| now.since(received.at) < SILENT_MS;
        let others = self.centre_loads.values().filter(fresh);
        let others = others.filter_map(|(i, _)| self.peers.address(i));
        others.chain([self.me.address]).collect()
    }

    /// How many hubs choose upstreams for all.
    pub(crate) fn choosers(&mut self, now: Millis) -> usize {
        if self.is_elected(now) {
            return self.reachable_hubs(now).len();
        }
        self.hubs.len().max(1)
    }

    /// The daemon that chooses upstreams for a model or service.
    pub(crate) fn chooser(
        &mut self,
        key: &str,
        answers: impl Fn(SocketAddr) -> bool,
        now: Millis,
    ) -> Selector {
        let sits = self.is_elected(now);
        let hubs = match (sits, self.fresh_total(now)) {
            (true, _) => self.reachable_hubs(now),
            (false, Some(_)) => self.hubs.clone(),
            (false, None) => Vec::new(),
        };
        match Selector::of(key, hubs, answers, self.me.address) {
            Selector::NoHub if sits => Selector::Local,
            chooser => chooser,
        }
    }

    /// The hubs as far as they are known, this daemon left out.
    pub(crate) fn known_hubs(&mut self, now: Millis) -> Vec<SocketAddr> {
        let mut hubs: Vec<SocketAddr> = self.own_hub(now).into_iter().collect();
        hubs.extend(self.hubs.iter().copied());
        hubs.sort_unstable();
        hubs.dedup();
        hubs.retain(|h| *h != self.me.address);
        hubs
    }

    /// The hub that reads the store, where that is another one and comes before this daemon.
    fn reader(&self, now: Millis) -> Option<&Instance> {
        let fresh = |(_, at): &&(Instance, Millis)| now.since(*at) < SILENT_MS;
        let readers = self.readers.values().filter(fresh).map(|(i, _)| i);
        let me = &self.me.instance;
        let best = readers.min_by_key(|i| self.peers.rank(i))?;
        (self.peers.rank(best) < self.peers.rank(me)).then_some(best)
    }

    /// Whether this daemon reads the store for the others.
    pub(crate) fn is_reader(&mut self, now: Millis) -> bool {
        self.is_elected(now) && self.reader(now).is_none()
    }

    /// Whether this daemon knows the store through that one: its hub, or as a hub the one that
    /// reads.
    pub(crate) fn follows(&mut self, from: &Instance, now: Millis) -> bool {
        if self.is_elected(now) {
            return self.reader(now) == Some(from);
        }
        self.local_hub(now).as_ref() == Some(from)
    }

    /// Which daemons may know the store for this one, the one that it follows first.
    pub(crate) fn sources(&mut self, now: Millis) -> Vec<SocketAddr> {
        let first = if self.is_elected(now) {
            self.reader(now).and_then(|i| self.peers.address(i))
        } else {
            self.own_hub(now)
        };
        let mut sources = self.other_hubs(now);
        sources.retain(|s| Some(*s) != first);
        sources.truncate(MAX_SOURCES);
        first.into_iter().chain(sources).collect()
    }

    /// Learns of a daemon from the store. What was heard of it directly is newer.
    pub(crate) fn learn_member(&mut self, member: &Sender, now: Millis) {
        if member.instance != self.me.instance {
            self.peers.learn(member, now);
        }
    }

    /// Takes in whom another daemon takes for hubs.
    pub(crate) fn on_member_list(&mut self, note: &MemberList, now: Millis) {
        for member in note.hubs.iter().chain(&note.next) {
            self.learn_member(member, now);
        }
        for hub in &note.hubs {
            self.election.on_reported(hub, &self.peers, now);
        }
    }

    /// The hubs, and in each data centre who would be the next.
    pub(crate) fn member_list(&mut self, now: Millis) -> MemberList {
        /// A hub may have died a moment ago; two at once rarely do.
        const SUCCESSORS: usize = 2;
        let centres: Vec<DataCentre> = self.peers.centres().cloned().collect();
        let mut note = MemberList::default();
        for centre in centres {
            let hub = self.hub(&centre, now);
            let ranked = self.peers.ranked(&centre);
            let next = ranked.filter(|i| Some(*i) != hub.as_ref()).take(SUCCESSORS);
            let next = next.filter_map(|i| self.sender_of(i));
            note.next.extend(next);
            note.hubs.extend(hub.and_then(|h| self.sender_of(&h)));
        }
        note
    }

    /// Whom to name to a daemon that speaks as a hub, though another is one in its place: two
    /// that started before they knew of each other.
    pub(crate) fn correct_hub(&mut self, from: &Sender, now: Millis) -> Option<MemberList> {
        let hub = self.hub(&from.centre, now);
        let hub = hub.filter(|h| *h != from.instance)?;
        Some(MemberList {
            hubs: vec![self.sender_of(&hub)?],
            next: Vec::new(),
        })
    }

    /// Whom to name to a daemon that takes this one for its hub, though another is.
    pub(crate) fn correct_follower(&mut self, from: &Sender, now: Millis) -> Option<MemberList> {
        let hub = self.local_hub(now).filter(|h| *h != self.me.instance)?;
        let near = from.centre == self.me.centre && hub != from.instance;
        let hub = self.sender_of(&hub).filter(|_| near)?;
        Some(MemberList {
            hubs: vec![hub],
            next: Vec::new(),
        })
    }

    fn sender_of(&self, instance: &Instance) -> Option<Sender> {
        if *instance == self.me.instance {
            return Some(self.me.clone());
        }
        self.peers.sender(instance)
    }

    /// Whether a hub has told this daemon anything yet.
    pub(crate) fn has_hub_contact(&self) -> bool {
        self.contact
    }

    /// Takes in a note, a sum or a total.
    pub(crate) fn on_load(&mut self, from: &Sender, note: LoadReport, now: Millis) {
        self.last_report = Some(now);
        let received = Received {
            at: now,
            incarnation: from.incarnation,
            note,
        };
        self.reports.insert(from.instance.clone(), received);
    }

    /// Takes in the sum of another data centre.
    pub(crate) fn on_centre_load(&mut self, from: &Sender, note: HubReport, now: Millis) {
        self.election.on_hub_message(from, &self.peers, now);
        if note.position.is_some_and(|m| m.reads_store) {
            let reader = (from.instance.clone(), now);
            self.readers.insert(from.centre.clone(), reader);
        } else {
            self.readers.remove(&from.centre);
        }
        let received = Received {
            at: now,
            incarnation: from.incarnation,
            note: note.load,
        };
        let sum = (from.instance.clone(), received);
        self.centre_loads.insert(from.centre.clone(), sum);
    }

    /// Where to pass on a sum that came to this daemon, which is no hub: its sender does not
    /// know the hub yet.
    pub(crate) fn actual_hub(&mut self, now: Millis) -> Option<SocketAddr> {
        if self.is_hub(now) {
            return None;
        }
        self.own_hub(now)
    }

    /// Takes in the total. Returns whether its sender is this daemon's hub.
    pub(crate) fn on_total_load(&mut self, from: &Sender, note: &HubReport, now: Millis) -> bool {
        self.election.on_hub_message(from, &self.peers, now);
        self.contact = true;
        if self.local_hub(now).as_ref() != Some(&from.instance) {
            return false;
        }
        self.hubs.clone_from(&note.hubs);
        if !note.load.demand.is_empty() {
            self.latest_demand = Some((now, note.load.demand.clone()));
        }
        self.on_centre_size(note.centre_size, now);
        self.total = Some(Received {
            at: now,
            incarnation: from.incarnation,
            note: note.load.clone(),
        });
        true
    }

    fn fresh<'a>(
        received: impl Iterator<Item = &'a Received>,
        now: Millis,
    ) -> impl Iterator<Item = &'a Received> {
        received.filter(move |t| now.since(t.at) < REPORT_STALE_MS)
    }

    /// The load of this data centre, `own` included.
    fn centre_load(&self, own: &LoadReport, now: Millis) -> LoadReport {
        let mut sum = own.clone();
        Self::fresh(self.reports.values(), now).for_each(|t| merge(&mut sum, t, now));
        let alive = self
            .reports
            .values()
            .filter(|t| now.since(t.at) < DEAD_AFTER_MS);
        sum.daemons = 1 + alive.count() as u32;
        sum
    }

    /// The load of all, as far as this daemon knows; `own` included.
    fn total_load(&self, own: &LoadReport, now: Millis) -> LoadReport {
        let mut sum = self.centre_load(own, now);
        let renewal = self.renewal.map(|(at, p)| (now.since(at), p));
        let renewal = renewal.filter(|(age, _)| *age < REPORT_STALE_MS);
        sum.planner = later_renewal(sum.planner, renewal.map(|(age, p)| p.aged(age)));
        for (_, received) in self.centre_loads.values() {
            let age = now.since(received.at);
            if age < REPORT_STALE_MS {
                sum.daemons += received.note.daemons;
                merge(&mut sum, received, now);
            } else if age < DEMAND_STALE_MS {
                sum.demand.add(&received.note.demand, age);
            }
        }
        sum
    }

    /// What to tell the others now. `own` is this daemon's load.
    pub(crate) fn tick(&mut self, own: &LoadReport, known: HubStatus, now: Millis) -> Outgoing {
        self.record_centre_size(now);
        self.peers.prune(now);
        self.reports.retain(|_, t| now.since(t.at) < DEAD_AFTER_MS);
        self.own_loads.clone_from(&own.upstreams);
        let hub = self.local_hub(now);
        let mut out = Outgoing::new();
        if let Some(hub) = hub.filter(|h| *h != self.me.instance) {
            let note = Message::Load(own.clone());
            out.extend(self.peers.address(&hub).map(|a| (a, note)));
        }
        if self.is_hub(now) {
            self.send_as_hub(own, known, now, &mut out);
        }
        out
    }

    fn send_as_hub(&mut self, own: &LoadReport, known: HubStatus, now: Millis, out: &mut Outgoing) {
        let HubStatus { position, crashes } = known;
        let sum = self.centre_load(own, now);
        let hubs = self.other_hub_peers(now);
        let centre_size = self.known_centre_size(now);
        let sum = HubReport {
            load: sum,
            position,
            hubs: Vec::new(),
            crashes,
            ack: None,
            centre_size,
        };
        for (hub, address) in hubs {
            let received = self.centre_loads.values().find(|(i, _)| *i == hub);
            let ack = received.map(|(_, t)| t.ack(now));
            let sum = HubReport { ack, ..sum.clone() };
            out.push((address, Message::CentreLoad(sum)));
        }
        let whole = self.total_load(own, now);
        let planner = whole.planner.map(|p| p.address);
        // Only the planner needs to know what is asked for.
        let plain = LoadReport {
            demand: DemandReport::default(),
            ..whole.clone()
        };
        let reachable = self.reachable_hubs(now);
        for (instance, address) in self.peers.in_centre(&self.me.centre) {
            let load = if planner == Some(address) {
                whole.clone()
            } else {
                plain.clone()
            };
            let note = HubReport {
                load,
                position,
                hubs: reachable.clone(),
                crashes,
                ack: self.reports.get(instance).map(|t| t.ack(now)),
                centre_size,
            };
            out.push((address, Message::TotalLoad(note)));
        }
        self.latest_demand = Some((now, whole.demand.clone()));
        self.total = Some(Received {
            at: now,
            incarnation: self.me.incarnation,
            note: whole,
        });
    }

    /// Where to send news of the planner: to all of this data centre and the other hubs, or
    /// to the hub, which passes them on.
    pub(crate) fn broadcast_targets(&mut self, audience: Audience, now: Millis) -> Vec<SocketAddr> {
        if !self.is_hub(now) {
            return self.own_hub(now).into_iter().collect();
        }
        let mut all = self.other_hubs(now);
        if audience == Audience::All {
            all.extend(self.neighbours());
        }
        all
    }

    /// Where to tell what each hub must know though one of them may die with it: to all hubs.
    pub(crate) fn hub_broadcast_targets(
        &mut self,
        audience: Audience,
        now: Millis,
    ) -> Vec<SocketAddr> {
        match self.is_hub(now) {
            true => self.broadcast_targets(audience, now),
            false => self.known_hubs(now),
        }
    }

    /// Whom to ask for what hubs know, where this daemon has just become one.
    pub(crate) fn new_hub_targets(&mut self, now: Millis) -> Vec<SocketAddr> {
        let hub = self.is_hub(now);
        let was = std::mem::replace(&mut self.was_hub, hub);
        match hub && !was {
            true => self.other_hubs(now),
            false => Vec::new(),
        }
    }

    /// Where to pass on news that came from `from`.
    pub(crate) fn forward_targets(
        &mut self,
        from: &Sender,
        audience: Audience,
        now: Millis,
    ) -> Vec<SocketAddr> {
        if !self.is_hub(now) {
            return Vec::new();
        }
        let mut all = Vec::new();
        if audience == Audience::All {
            all.extend(self.neighbours());
        }
        if from.centre == self.me.centre {
            all.extend(self.other_hubs(now));
        }
        let sender = self.peers.address(&from.instance);
        all.retain(|a| Some(*a) != sender);
        all
    }

    /// Who follows what this daemon knows of the store: a hub's data centre, and the other hubs
    /// where it is the one that reads.
    pub(crate) fn followers(&mut self, now: Millis) -> Vec<SocketAddr> {
        if !self.is_hub(now) {
            return Vec::new();
        }
        let mut all = self.neighbours();
        if self.is_reader(now) {
            all.extend(self.other_hubs(now));
        }
        all
    }

    fn fresh_total(&self, now: Millis) -> Option<&LoadReport> {
        let total = self.total.as_ref();
        total
            .filter(|t| now.since(t.at) < REPORT_STALE_MS)
            .map(|t| &t.note)
    }

    /// How many daemons there are, as it was last told: one that hears nobody is not the only one.
    pub(crate) fn alive(&self) -> usize {
        let received = self.total.as_ref();
        received.map_or(1, |t| t.note.daemons.max(1) as usize)
    }

    /// How many daemons are known, alive or not.
    pub(crate) fn known(&self) -> usize {
        1 + self.peers.len()
    }

    /// Who plans, as far as is known.
    pub(crate) fn planner(&self, now: Millis) -> Option<PlannerInfo> {
        self.fresh_total(now)?.planner
    }

    /// Takes in that the planner has renewed its claim.
    pub(crate) fn on_renewed(&mut self, planner: PlannerInfo, now: Millis) {
        if self
            .renewal
            .is_none_or(|(_, known)| planner.end > known.end)
        {
            self.renewal = Some((now, planner));
        }
    }

    /// Takes in that the planner gives its claim up.
    pub(crate) fn on_released(&mut self) {
        self.renewal = None;
    }

    /// What is known of what all callers ask for, for the log.
    pub(crate) fn log_detail(&mut self, now: Millis) -> String {
        let receives = self.receives_enough(now);
        let reachable = Self::fresh(
            self.centre_loads.values().map(|(_, received)| received),
            now,
        )
        .count();
        let asked = self.latest_demand.as_ref();
        let (rates, unmet) = asked.map_or((0, 0), |(_, a)| (a.rates.len(), a.unmet.len()));
        let age = asked.map_or("none".to_owned(), |(at, _)| now.since(*at).to_string());
        format!(
            "daemons={} known={} hubs_heard={reachable} hears_enough={receives} rates={rates} unmet={unmet} age_ms={age}",
            self.alive(),
            self.known(),
        )
    }

    /// Whether enough of the others is heard to plan for all: of its hub, or as a hub of half of the
    /// data centres.
    pub(crate) fn receives_enough(&mut self, now: Millis) -> bool {
        if !self.is_elected(now) {
            return self.fresh_total(now).is_some();
        }
        let mine = &self.me.centre;
        let others: Vec<&DataCentre> = self.peers.centres().filter(|c| *c != mine).collect();
        let fresh = |received: &Received| now.since(received.at) < REPORT_STALE_MS;
        let reachable = |c: &&&DataCentre| {
            self.centre_loads
                .get(**c)
                .is_some_and(|(_, received)| fresh(received))
        };
        let (known, reachable) = (
            1 + others.len(),
            1 + others.iter().filter(reachable).count(),
        );
        let alone = known == 1 && self.peers.len() > 0;
        2 * reachable >= known && (!alone || self.reports.values().any(fresh))
    }

    /// What the other daemons have at each upstream.
    pub(crate) fn other_loads(&self, now: Millis) -> UpstreamLoads {
        let Some(total) = self.fresh_total(now) else {
            return UpstreamLoads::new();
        };
        let without = total.upstreams.iter().map(|(name, note)| {
            let own = self.own_loads.get(name).copied().unwrap_or_default();
            (*name, note.without(own))
        });
        without.collect()
    }

    /// What is asked for in all, as it was last known, and how long ago; none where that is too long.
    pub(crate) fn total_demand(&self, now: Millis) -> Option<(&DemandReport, Millis)> {
        let (at, asked) = self.latest_demand.as_ref()?;
        let age = now.since(*at);
        (age < DEMAND_STALE_MS).then_some((asked, Millis(age)))
    }

    /// This daemon's own address, as the others know it.
    pub(crate) fn address(&self) -> SocketAddr {
        self.me.address
    }
}

/// Adds a note to a sum.
fn merge(sum: &mut LoadReport, received: &Received, now: Millis) {
    let note = &received.note;
    let age = now.since(received.at);
    sum.planner = later_renewal(sum.planner, note.planner.map(|p| p.aged(age)));
    for (name, load) in &note.upstreams {
        sum.upstreams.entry(*name).or_default().add(*load);
    }
    sum.demand.add(&note.demand, age);
}

/// Of two planners the one that renewed later, which holds the claim.
fn later_renewal(a: Option<PlannerInfo>, b: Option<PlannerInfo>) -> Option<PlannerInfo> {
    match (a, b) {
        (Some(a), Some(b)) => Some(if a.end >= b.end { a } else { b }),
        (a, b) => a.or(b),
    }
}

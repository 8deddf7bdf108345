//! Tracks the daemons and aggregates their load without a message for each pair.
//!
//! Each data centre has a hub: the first of its daemons that is not silent, ranked by the strength
//! of the instance and by rendezvous hashing among equals. Daemons send their load to their hub,
//! hubs exchange the sums of their data centres, and each hub sends the total to its data centre.
//! The first hub that the store serves reads the store for all; a daemon that receives no fresh
//! read position reads it itself. A silent hub is passed over. Two hubs in one data centre only
//! cost extra messages.
//!
//! The alternatives are compared in `docs/MEMBERSHIP.md`.

use crate::hub_election::{HubElection, SILENT_MS};
use crate::message::{
    Ack, DemandReport, HubReport, LoadReport, MemberList, Message, PlannerInfo, ReadPosition,
    Sender, Tag, UpstreamLoad, UpstreamLoads,
};
use crate::peers::Peers;
use crate::selector::Selector;
use crate::stream_versions::Hubs;
use shaleline_types::{DataCentre, Instance, Millis};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The time for which a load report counts.
const REPORT_STALE_MS: u64 = 1_500;

/// The age up to which a report of loads is recent: twice the longest interval between reports.
const LOADS_RECENT_MS: u64 = 600;

/// The time for which the loads of a hub that is gone count, and after which a new hub has heard
/// all others: the daemons whose requests it sent report them themselves over two hops, each of
/// which takes an interval between reports.
const SUCCESSION_MS: u64 = 600;

/// The time for which the last known demand is used where no newer report arrives. A data centre
/// whose reports are missing has not stopped sending requests: if it counted as idle, its models
/// would be dropped for others.
const DEMAND_STALE_MS: u64 = 10_000;

/// A daemon that has sent no load report for this long does not count as alive.
const DEAD_AFTER_MS: u64 = 3_000;

/// A daemon that receives load reports as a hub acts as one for this long.
const ACTING_HUB_MS: u64 = 1_500;

/// The number of other hubs that a daemon asks for a copy besides the one that it follows. Half of
/// them may have failed together with the first hub, and each that does not answer uses up part of
/// the time that the bounds allow.
const MAX_SOURCES: usize = 2;

/// The number of daemons that count as the successors of a hub. A hub may have just failed; two
/// rarely fail at once.
const SUCCESSORS: usize = 2;

#[derive(Debug, Clone)]
pub(crate) struct Received {
    pub(crate) at: Millis,
    /// The incarnation of the daemon that sent it.
    incarnation: u64,
    report: LoadReport,
}

impl Received {
    /// Acknowledges the report to its sender.
    fn ack(&self, now: Millis) -> Ack {
        Ack {
            incarnation: self.incarnation,
            sent: self.report.sent,
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
    /// The load reports of the daemons of this data centre, where this daemon is their hub.
    pub(crate) reports: BTreeMap<Instance, Received>,
    /// The load that the hubs of the other data centres reported.
    pub(crate) centre_loads: BTreeMap<DataCentre, (Instance, Received)>,
    /// The hubs that this daemon's hub listed last.
    hubs: Vec<SocketAddr>,
    /// The other hubs that read the store themselves, and when they last reported that.
    readers: BTreeMap<DataCentre, (Instance, Millis)>,
    /// The total load that this daemon's hub sent last.
    total: Option<Received>,
    /// The demand of the callers of all daemons, as it was last received or summed up.
    latest_demand: Option<(Millis, DemandReport)>,
    /// The last renewal of the planner lease that the planner sent to the hubs.
    renewal: Option<(Millis, PlannerInfo)>,
    /// Whether another daemon has sent a message as the hub of this data centre.
    contact: bool,
    /// When another daemon last sent its load report to this one.
    last_report: Option<Millis>,
    /// Whether this daemon was a hub at the last check.
    was_hub: bool,
    /// Since when this daemon has been a hub without interruption.
    hub_since: Option<Millis>,
    /// The last loads of hubs that are gone or have started again.
    departed: Vec<(Millis, UpstreamLoads)>,
    /// The upstreams for which those count.
    fragile: BTreeSet<Tag>,
    /// The loads that this daemon itself reported last.
    own_loads: UpstreamLoads,
    /// The largest recent number of daemons of this data centre that a hub reported, and when.
    pub(crate) reported_size: (Millis, u32),
    /// The largest recent number of daemons of this data centre that this daemon counted, and when.
    pub(crate) counted_size: (Millis, u32),
}

/// The daemons that a planner update concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Audience {
    /// The daemon that receives it.
    Receiver,
    /// The daemons that may plan next.
    Hubs,
    /// Every daemon.
    All,
}

/// What a hub reports of its knowledge with each tick.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct HubStatus {
    /// How far it has read the store.
    pub(crate) position: Option<ReadPosition>,
    /// The digest of the requests during which upstreams crashed.
    pub(crate) crashes: u64,
}

/// Messages to send, each with its target.
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
            hub_since: None,
            departed: Vec::new(),
            fragile: BTreeSet::new(),
            own_loads: UpstreamLoads::new(),
            reported_size: (Millis(0), 0),
            counted_size: (Millis(0), 0),
        }
    }

    /// Sets the upstreams that crash if they have to reject much.
    pub(crate) fn set_fragile(&mut self, fragile: BTreeSet<Tag>) {
        self.fragile = fragile;
    }

    /// Records the sender of a datagram. Returns true where it has a new incarnation.
    pub(crate) fn on_datagram(&mut self, from: &Sender, now: Millis) -> bool {
        self.peers.on_datagram(from, now)
    }

    /// The hub of a data centre as this daemon sees it now.
    fn hub(&mut self, centre: &DataCentre, now: Millis) -> Option<Instance> {
        self.election.hub(centre, &self.peers, now)
    }

    /// The hub of this data centre as this daemon sees it now.
    fn local_hub(&mut self, now: Millis) -> Option<Instance> {
        self.election.hub(&self.me.centre, &self.peers, now)
    }

    /// Whether this daemon acts as the hub of its data centre.
    pub(crate) fn is_hub(&mut self, now: Millis) -> bool {
        let acting = self
            .last_report
            .is_some_and(|at| now.since(at) < ACTING_HUB_MS);
        (acting && !self.election.has_resigned()) || self.is_elected(now)
    }

    /// Stops being a hub, if this daemon is one. Returns the daemons to notify.
    pub(crate) fn resign(&mut self, now: Millis) -> Vec<SocketAddr> {
        let mut received = Vec::new();
        if self.is_hub(now) {
            received = self.other_hubs(now);
            received.extend(self.neighbours());
        }
        self.election.resign();
        received
    }

    /// Records that a hub has resigned.
    pub(crate) fn on_resigned(&mut self, from: &Sender, now: Millis) {
        self.election.on_resigned(from);
        self.readers.remove(&from.centre);
        // The callers of its data centre keep sending requests, so the demand is kept.
        if let Some((_, received)) = self.centre_loads.get_mut(&from.centre) {
            let loads = std::mem::take(&mut received.report.upstreams);
            self.departed.push((now, loads));
            received.report = LoadReport {
                demand: std::mem::take(&mut received.report.demand),
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
    pub(crate) fn neighbours(&self) -> Vec<SocketAddr> {
        self.peers.addresses(&self.me.centre)
    }

    /// Whether this daemon is the hub of its data centre by its own knowledge, independent of the
    /// daemons that report to it.
    pub(crate) fn is_elected(&mut self, now: Millis) -> bool {
        let hub = self.local_hub(now);
        hub.is_none_or(|h| h == self.me.instance) && !self.election.has_resigned()
    }

    /// The number of hubs, of which some may not be reached.
    pub(crate) fn hubs(&mut self, now: Millis) -> Hubs {
        Hubs {
            centres: self.peers.centres().count(),
            own: self.is_hub(now),
        }
    }

    /// The hubs from which this daemon, where it is a hub, receives reports; itself included.
    pub(crate) fn reachable_hubs(&self, now: Millis) -> Vec<SocketAddr> {
        let fresh = |(_, received): &&(Instance, Received)| now.since(received.at) < SILENT_MS;
        let others = self.centre_loads.values().filter(fresh);
        let others = others.filter_map(|(i, _)| self.peers.address(i));
        others.chain([self.me.address]).collect()
    }

    /// The number of hubs that select upstreams for all daemons.
    pub(crate) fn selector_count(&mut self, now: Millis) -> usize {
        if self.is_elected(now) {
            return self.reachable_hubs(now).len();
        }
        self.hubs.len().max(1)
    }

    /// The daemon that selects upstreams for a model or service.
    pub(crate) fn selector(
        &mut self,
        key: &str,
        answers: impl Fn(SocketAddr) -> bool,
        now: Millis,
    ) -> Selector {
        let hubs = self.selecting_hubs(now);
        match Selector::of(key, hubs, answers, self.me.address) {
            Selector::NoHub if self.is_elected(now) => Selector::Local,
            selector => selector,
        }
    }

    /// The hubs that select upstreams for all daemons, as far as this one hears of them.
    pub(crate) fn selecting_hubs(&mut self, now: Millis) -> Vec<SocketAddr> {
        match (self.is_elected(now), self.fresh_total(now)) {
            (true, _) => self.reachable_hubs(now),
            (false, Some(_)) => self.hubs.clone(),
            (false, None) => Vec::new(),
        }
    }

    /// The addresses of all daemons that this one knows.
    pub(crate) fn known_addresses(&self) -> Vec<SocketAddr> {
        self.peers.all_addresses().collect()
    }

    /// The daemons of this data centre that report to this one as their hub.
    pub(crate) fn reporting(&self, now: Millis) -> Vec<SocketAddr> {
        let fresh = |(_, r): &(&Instance, &Received)| now.since(r.at) < REPORT_STALE_MS;
        let reporting = self.reports.iter().filter(fresh);
        let addresses = reporting.filter_map(|(i, _)| self.peers.address(i));
        addresses.collect()
    }

    /// The known hubs, without this daemon.
    pub(crate) fn known_hubs(&mut self, now: Millis) -> Vec<SocketAddr> {
        let mut hubs: Vec<SocketAddr> = self.own_hub(now).into_iter().collect();
        hubs.extend(self.hubs.iter().copied());
        hubs.sort_unstable();
        hubs.dedup();
        hubs.retain(|h| *h != self.me.address);
        hubs
    }

    /// The hub that reads the store, where it is another daemon that ranks before this one.
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

    /// Whether this daemon follows the given one to learn the state of the store: a daemon follows
    /// its hub, and a hub follows the hub that reads.
    pub(crate) fn follows(&mut self, from: &Instance, now: Millis) -> bool {
        if self.is_elected(now) {
            return self.reader(now) == Some(from);
        }
        self.local_hub(now).as_ref() == Some(from)
    }

    /// The daemons that may have a copy of the store's contents, the one that this daemon follows
    /// first.
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

    /// Adds a daemon that the store or another daemon lists. What was received from the daemon
    /// itself takes precedence.
    pub(crate) fn learn_member(&mut self, member: &Sender, now: Millis) {
        if member.instance != self.me.instance {
            self.peers.learn(member, now);
        }
    }

    /// Records the hubs that another daemon listed.
    pub(crate) fn on_member_list(&mut self, list: &MemberList, now: Millis) {
        for member in list.hubs.iter().chain(&list.next) {
            self.learn_member(member, now);
        }
        for hub in &list.hubs {
            self.election.on_reported(hub, &self.peers, now);
        }
    }

    /// The hubs, and the daemons of each data centre that would succeed them.
    pub(crate) fn member_list(&mut self, now: Millis) -> MemberList {
        let centres: Vec<DataCentre> = self.peers.centres().cloned().collect();
        let mut list = MemberList::default();
        for centre in centres {
            let hub = self.hub(&centre, now);
            let ranked = self.peers.ranked(&centre);
            let next = ranked.filter(|i| Some(*i) != hub.as_ref()).take(SUCCESSORS);
            let next = next.filter_map(|i| self.sender_of(i));
            list.next.extend(next);
            if let Some(hub) = hub {
                let listed = match self.hears(&hub, now) {
                    true => &mut list.hubs,
                    false => &mut list.next,
                };
                listed.extend(self.sender_of(&hub));
            }
        }
        list
    }

    /// The hub to report to a daemon that sends messages as a hub although another one holds that
    /// role. This happens when both started before they knew of each other.
    pub(crate) fn correct_hub(&mut self, from: &Sender, now: Millis) -> Option<MemberList> {
        let hub = self.hub(&from.centre, now);
        let hub = hub.filter(|h| *h != from.instance && self.hears(h, now))?;
        Some(MemberList {
            hubs: vec![self.sender_of(&hub)?],
            next: Vec::new(),
        })
    }

    /// The hub to report to a daemon that sends its load to this one although another daemon is its
    /// hub.
    pub(crate) fn correct_follower(&mut self, from: &Sender, now: Millis) -> Option<MemberList> {
        let hub = self.local_hub(now);
        let hub = hub.filter(|h| *h != self.me.instance && self.hears(h, now))?;
        let is_local = from.centre == self.me.centre && hub != from.instance;
        let hub = self.sender_of(&hub).filter(|_| is_local)?;
        Some(MemberList {
            hubs: vec![hub],
            next: Vec::new(),
        })
    }

    /// Whether this daemon itself has recently received a message from another one. Only such a hub is
    /// listed to others: daemons that list a hub because others do would keep one that is gone.
    fn hears(&self, instance: &Instance, now: Millis) -> bool {
        let heard = self.peers.get(instance).and_then(|p| p.last_datagram);
        *instance == self.me.instance || heard.is_some_and(|at| now.since(at) < SILENT_MS)
    }

    fn sender_of(&self, instance: &Instance) -> Option<Sender> {
        if *instance == self.me.instance {
            return Some(self.me.clone());
        }
        self.peers.sender(instance)
    }

    /// Whether this daemon has received a message from a hub.
    pub(crate) fn has_hub_contact(&self) -> bool {
        self.contact
    }

    /// Records the load report of a daemon of this data centre.
    pub(crate) fn on_load(&mut self, from: &Sender, report: LoadReport, now: Millis) {
        self.last_report = Some(now);
        let received = Received {
            at: now,
            incarnation: from.incarnation,
            report,
        };
        self.reports.insert(from.instance.clone(), received);
    }

    /// Records the load of another data centre.
    pub(crate) fn on_centre_load(&mut self, from: &Sender, report: HubReport, now: Millis) {
        self.election.on_hub_message(from, &self.peers, now);
        if report.position.is_some_and(|m| m.reads_store) {
            let reader = (from.instance.clone(), now);
            self.readers.insert(from.centre.clone(), reader);
        } else {
            self.readers.remove(&from.centre);
        }
        let received = Received {
            at: now,
            incarnation: from.incarnation,
            report: report.load,
        };
        let sum = (from.instance.clone(), received);
        let before = self.centre_loads.insert(from.centre.clone(), sum);
        let before = before.filter(|(_, r)| r.incarnation != from.incarnation);
        if let Some((_, before)) = before {
            self.departed.push((now, before.report.upstreams));
        }
    }

    /// The hub to which to forward the load of a data centre that reached this daemon, which is no
    /// hub: its sender does not know the hub yet.
    pub(crate) fn actual_hub(&mut self, now: Millis) -> Option<SocketAddr> {
        if self.is_hub(now) {
            return None;
        }
        self.own_hub(now)
    }

    /// Records the total load. Returns whether its sender is this daemon's hub.
    pub(crate) fn on_total_load(&mut self, from: &Sender, report: &HubReport, now: Millis) -> bool {
        self.election.on_hub_message(from, &self.peers, now);
        self.contact = true;
        if self.local_hub(now).as_ref() != Some(&from.instance) {
            return false;
        }
        self.hubs.clone_from(&report.hubs);
        if !report.load.demand.is_empty() {
            self.latest_demand = Some((now, report.load.demand.clone()));
        }
        self.on_centre_size(report.centre_size, now);
        self.total = Some(Received {
            at: now,
            incarnation: from.incarnation,
            report: report.load.clone(),
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

    /// The load of all data centres, as far as this daemon knows; `own` included.
    fn total_load(&self, own: &LoadReport, now: Millis) -> LoadReport {
        let mut sum = self.centre_load(own, now);
        let renewal = self.renewal.map(|(at, p)| (now.since(at), p));
        let renewal = renewal.filter(|(age, _)| *age < REPORT_STALE_MS);
        sum.planner = later_renewal(sum.planner, renewal.map(|(age, p)| p.aged(age)));
        for (_, received) in self.centre_loads.values() {
            let age = now.since(received.at);
            if age < REPORT_STALE_MS {
                sum.daemons += received.report.daemons;
                merge(&mut sum, received, now);
            } else if age < DEMAND_STALE_MS {
                sum.demand.add(&received.report.demand, age);
            }
        }
        let departed = self.departed.iter().flat_map(|(_, loads)| loads);
        let departed = departed.filter(|(tag, _)| self.fragile.contains(tag));
        add_loads(&mut sum.upstreams, departed);
        sum
    }

    /// The messages to send with this tick. `own` is this daemon's load.
    pub(crate) fn tick(&mut self, own: &LoadReport, known: HubStatus, now: Millis) -> Outgoing {
        self.record_centre_size(now);
        self.peers.prune(now);
        self.reports.retain(|_, t| now.since(t.at) < DEAD_AFTER_MS);
        self.departed
            .retain(|(at, _)| now.since(*at) < SUCCESSION_MS);
        self.hub_since = match self.is_hub(now) {
            true => self.hub_since.or(Some(now)),
            false => None,
        };
        self.own_loads.clone_from(&own.upstreams);
        let hub = self.local_hub(now);
        let mut out = Outgoing::new();
        if let Some(hub) = hub.filter(|h| *h != self.me.instance) {
            let report = Message::Load(own.clone());
            out.extend(self.peers.address(&hub).map(|a| (a, report)));
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
        let total = self.total_load(own, now);
        let planner = total.planner.map(|p| p.address);
        // Only the planner needs the demand.
        let plain = LoadReport {
            demand: DemandReport::default(),
            ..total.clone()
        };
        let reachable = self.reachable_hubs(now);
        for (instance, address) in self.peers.in_centre(&self.me.centre) {
            let load = if planner == Some(address) {
                total.clone()
            } else {
                plain.clone()
            };
            let report = HubReport {
                load,
                position,
                hubs: reachable.clone(),
                crashes,
                ack: self.reports.get(instance).map(|t| t.ack(now)),
                centre_size,
            };
            out.push((address, Message::TotalLoad(report)));
        }
        self.latest_demand = Some((now, total.demand.clone()));
        self.total = Some(Received {
            at: now,
            incarnation: self.me.incarnation,
            report: total,
        });
    }

    /// The targets of a planner update: a hub sends it to the other hubs and to its data centre
    /// where it concerns all; another daemon sends it to its hub, which forwards it.
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

    /// The targets of a message that each hub must receive, as a hub may fail before it forwards
    /// it: all hubs.
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

    /// The hubs to query for what hubs know, where this daemon has just become a hub.
    pub(crate) fn new_hub_targets(&mut self, now: Millis) -> Vec<SocketAddr> {
        let hub = self.is_hub(now);
        let was = std::mem::replace(&mut self.was_hub, hub);
        match hub && !was {
            true => self.other_hubs(now),
            false => Vec::new(),
        }
    }

    /// The daemons that watch the planner, where this daemon is the planner: the other hubs, and
    /// those that would succeed it as the hub of its data centre.
    pub(crate) fn watchers(&mut self, now: Millis) -> Vec<SocketAddr> {
        let mut all = self.other_hubs(now);
        let ranked = self.peers.ranked(&self.me.centre);
        let others = ranked.filter(|i| **i != self.me.instance).take(SUCCESSORS);
        all.extend(others.filter_map(|i| self.peers.address(i)));
        all
    }

    /// The targets to which to forward an update that came from `from`.
    pub(crate) fn forward_targets(
        &mut self,
        from: &Sender,
        audience: Audience,
        now: Millis,
    ) -> Vec<SocketAddr> {
        if !self.is_hub(now) || audience == Audience::Receiver {
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

    /// The daemons that learn the state of the store from this one: those of a hub's data centre,
    /// and the other hubs where this daemon is the hub that reads the store.
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
            .map(|t| &t.report)
    }

    /// The number of daemons alive, as last reported. A daemon without fresh reports does not
    /// assume that it is alone.
    pub(crate) fn alive(&self) -> usize {
        let received = self.total.as_ref();
        received.map_or(1, |t| t.report.daemons.max(1) as usize)
    }

    /// The number of daemons known, alive or not.
    pub(crate) fn known(&self) -> usize {
        1 + self.peers.len()
    }

    /// The planner, if one is known.
    pub(crate) fn planner(&self, now: Millis) -> Option<PlannerInfo> {
        let reported = self.fresh_total(now).and_then(|total| total.planner);
        let renewal = self.renewal;
        let renewal = renewal.filter(|(at, _)| now.since(*at) < REPORT_STALE_MS);
        later_renewal(reported, renewal.map(|(_, planner)| planner))
    }

    /// Records that the planner has renewed its lease. Returns whether another daemon was known as
    /// the planner before.
    pub(crate) fn on_renewed(&mut self, planner: PlannerInfo, now: Millis) -> bool {
        let known = self.renewal.map(|(_, known)| known);
        if known.is_some_and(|k| planner.end <= k.end) {
            return false;
        }
        self.renewal = Some((now, planner));
        known.is_none_or(|k| k.fence != planner.fence)
    }

    /// Records that the planner has released its lease.
    pub(crate) fn on_released(&mut self) {
        self.renewal = None;
    }

    /// What is known of the daemons and of the demand, for the log.
    pub(crate) fn log_detail(&mut self, centres: usize, now: Millis) -> String {
        let receives = self.receives_enough(now);
        let reachable = Self::fresh(
            self.centre_loads.values().map(|(_, received)| received),
            now,
        )
        .count();
        let demand = self.latest_demand.as_ref();
        let (rates, unmet) = demand.map_or((0, 0), |(_, a)| (a.rates.len(), a.unmet.len()));
        let text =
            |at: Option<Millis>| at.map_or("none".to_owned(), |at| now.since(at).to_string());
        let age = text(demand.map(|(at, _)| *at));
        let total_age = text(self.total.as_ref().map(|t| t.at));
        let (hub, recent) = (self.is_hub(now), self.hears_recent_loads(centres, now));
        format!(
            "daemons={} known={} hub={hub} hubs_heard={reachable} hears_enough={receives} hears_recent={recent} total_age_ms={total_age} rates={rates} unmet={unmet} age_ms={age}",
            self.alive(),
            self.known(),
        )
    }

    /// Whether this daemon receives enough reports to plan for all: from its hub, or, as a hub,
    /// from half of the data centres.
    pub(crate) fn receives_enough(&mut self, now: Millis) -> bool {
        if !self.is_elected(now) {
            return self.fresh_total(now).is_some();
        }
        let mine = &self.me.centre;
        let others: Vec<&DataCentre> = self.peers.centres().filter(|c| *c != mine).collect();
        let fresh = |received: &Received| now.since(received.at) < REPORT_STALE_MS;
        let live = |c: &&&DataCentre| self.centre_loads.get(**c).is_some_and(|(_, r)| fresh(r));
        let (known, live) = (1 + others.len(), 1 + others.iter().filter(live).count());
        let alone = known == 1 && self.peers.len() > 0;
        2 * live >= known && (!alone || self.reports.values().any(fresh))
    }

    /// The load of the other daemons at each upstream.
    pub(crate) fn other_loads(&self, now: Millis) -> UpstreamLoads {
        let Some(total) = self.fresh_total(now) else {
            return UpstreamLoads::new();
        };
        let without = total.upstreams.iter().map(|(name, report)| {
            let own = self.own_loads.get(name).copied().unwrap_or_default();
            (*name, report.without(own))
        });
        without.collect()
    }

    /// Whether the loads of the other daemons are as recent as reports usually are: those of all
    /// other hubs, or what this daemon's hub sent last. A new hub does not know yet what its
    /// predecessor sent, nor what a hub sends that it has never heard.
    pub(crate) fn hears_recent_loads(&mut self, centres: usize, now: Millis) -> bool {
        if !self.is_hub(now) {
            let total = self.total.as_ref();
            return total.is_some_and(|t| now.since(t.at) < LOADS_RECENT_MS);
        }
        let Some(tenure) = self.hub_since.map(|since| now.since(since)) else {
            return false;
        };
        if tenure < SUCCESSION_MS {
            return false;
        }
        let known = self.peers.centres().filter(|c| **c != self.me.centre);
        let age = |c: &DataCentre| self.centre_loads.get(c).map(|(_, t)| now.since(t.at));
        let ages: Vec<Option<u64>> = known.map(age).collect();
        let within = |limit: u64| ages.iter().flatten().filter(|a| **a < limit).count();
        let is_missing = |age: &Option<u64>| age.is_none_or(|a| a < DEAD_AFTER_MS);
        // A data centre of which no daemon is known may have no daemon.
        let unknown = match tenure < DEAD_AFTER_MS {
            true => self.centres(centres) - 1 - ages.len(),
            false => 0,
        };
        let missing = unknown + ages.iter().filter(|a| is_missing(a)).count() > within(SILENT_MS);
        !missing && 2 * (1 + within(SILENT_MS)) >= self.centres(centres)
    }

    /// The last known total demand and its age; none where it is too old.
    pub(crate) fn total_demand(&self, now: Millis) -> Option<(&DemandReport, Millis)> {
        let (at, demand) = self.latest_demand.as_ref()?;
        let age = now.since(*at);
        (age < DEMAND_STALE_MS).then_some((demand, Millis(age)))
    }

    /// This daemon's own address, as the others know it.
    pub(crate) fn address(&self) -> SocketAddr {
        self.me.address
    }
}

fn add_loads<'a>(
    sum: &mut UpstreamLoads,
    loads: impl Iterator<Item = (&'a Tag, &'a UpstreamLoad)>,
) {
    for (name, load) in loads {
        sum.entry(*name).or_default().add(*load);
    }
}

/// Adds a load report to a sum.
fn merge(sum: &mut LoadReport, received: &Received, now: Millis) {
    let report = &received.report;
    let age = now.since(received.at);
    sum.planner = later_renewal(sum.planner, report.planner.map(|p| p.aged(age)));
    add_loads(&mut sum.upstreams, report.upstreams.iter());
    sum.demand.add(&report.demand, age);
}

/// The planner that renewed its lease last, which is the one that holds it.
fn later_renewal(a: Option<PlannerInfo>, b: Option<PlannerInfo>) -> Option<PlannerInfo> {
    match (a, b) {
        (Some(a), Some(b)) => Some(if a.end >= b.end { a } else { b }),
        (a, b) => a.or(b),
    }
}

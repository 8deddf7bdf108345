//! Sends and receives the daemons' datagrams.

use crate::dispatch::Ask;
use crate::journal::emit;
use crate::membership::{Audience, HubStatus, Outgoing};
use crate::message::{
    Ack, Datagram, DemandReport, HubReport, LoadReport, Message, PlannerInfo, PlannerUpdate,
    ReadPosition, Sender, Tag, UpstreamLoad, UpstreamLoads,
};
use crate::roster::EntryRecord;
use crate::state::Gateway;
use crate::Entry;
use shaleline_fleet::Rate;
use shaleline_route::{PeerLoad, PeerVisibility, RouteEvent};
use shaleline_types::{LogEvent, Millis, Position, Upstream};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// The largest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// The largest number of models and adapters in a daemon's demand report, those with the highest
/// demand first.
const MAX_RATES: usize = 64;

/// The same for unmet demand, the longest waits first. Entries that are served make room for
/// others, so none is left out for good.
const MAX_UNMET: usize = 64;

/// The interval between load reports grows with the number of daemons: this much for each of them,
/// within the bounds. A hub's own link is the limit.
const TICK_PER_DAEMON_MS: u64 = 3;
const TICK_BOUNDS_MS: (u64, u64) = (120, 300);

/// Messages that are sent between two load reports.
pub(crate) type Outbox = mpsc::UnboundedReceiver<Addressed>;

/// Datagrams, each with its target.
pub(crate) type Addressed = Vec<(SocketAddr, Datagram)>;

/// Sends the messages of the outbox, and this daemon's load at regular intervals.
pub(crate) async fn send(gw: Rc<Gateway>, socket: Rc<UdpSocket>, mut outbox: Outbox) {
    let mut next = tokio::time::Instant::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(next) => {
                next = tokio::time::Instant::now() + Duration::from_millis(gw.report_interval().0);
                tick(&gw, &socket).await;
            }
            Some(messages) = outbox.recv() => send_all(&socket, messages).await,
        }
    }
}

/// The share of the time that engines spend on prompts, on days of high load.
const BUSY_SHARE: f64 = 0.4;

/// A daemon's load reaches the others through its hub and theirs.
const HOPS: f64 = 2.0;

/// The share of an engine's work that is for models for which other hubs select: it holds three
/// models, and one of them has most of the requests.
const OTHER_HUBS_SHARE: f64 = 0.3;

/// The share of the limit on the prompt backlog for a daemon's own prompts where it selects in
/// parallel with the others; see [`PeerVisibility::own_share`].
const OWN_SHARE: f64 = 0.1;

impl Gateway {
    /// Whether the settings name no other daemon to join.
    fn starts_alone(&self) -> bool {
        self.settings.seeds.iter().all(|s| *s == self.me.address)
    }

    /// The number of selectors like this one among which the slots of upstreams are divided.
    pub(crate) fn selectors(&self) -> usize {
        let (centres, alone) = (self.settings.centres, self.starts_alone());
        self.membership
            .borrow_mut()
            .selectors(centres, alone, self.now())
    }

    /// How well this daemon knows what the others send. Arrivals at an upstream since their last
    /// reports are unknown, except this daemon's own share; a hub itself sends what it selects for
    /// all.
    fn peer_visibility(&self) -> PeerVisibility {
        let now = self.now();
        let age = self.report_interval().0 as f64;
        let selectors = self.selectors();
        let mut membership = self.membership.borrow_mut();
        let recent = membership.hears_recent_loads(self.settings.centres, now);
        if membership.is_hub(now) {
            let hubs = membership.selector_count(now) as f64;
            return PeerVisibility {
                unseen_ms: age * BUSY_SHARE * OTHER_HUBS_SHARE * (1.0 - 1.0 / hubs),
                own_share: 1.0,
                selectors,
                recent,
            };
        }
        let daemons = membership.alive() as f64;
        PeerVisibility {
            unseen_ms: age * HOPS * BUSY_SHARE * (1.0 - 1.0 / daemons),
            own_share: OWN_SHARE,
            selectors,
            recent,
        }
    }
}

async fn tick(gw: &Gateway, socket: &UdpSocket) {
    let messages = tick_messages(gw);
    send_all(socket, messages).await;
}

/// Passes the load of the other daemons to the router, and returns the messages to send to them.
pub(crate) fn tick_messages(gw: &Gateway) -> Addressed {
    let messages = periodic_messages(gw);
    update_peer_loads(gw);
    messages
}

/// The messages to send to the others now.
pub(crate) fn periodic_messages(gw: &Gateway) -> Addressed {
    gw.update_shares();
    let visibility = gw.peer_visibility();
    gw.router.borrow_mut().set_peer_visibility(visibility);
    let now = gw.now();
    let report = load_report(gw);
    let position = gw.reading.borrow().read_position(now);
    let crashes = gw.router.borrow().crashes().digest();
    let status = HubStatus { position, crashes };
    let fragile = gw.fragile_upstreams();
    gw.membership.borrow_mut().set_fragile(fragile);
    let messages = gw.membership.borrow_mut().tick(&report, status, now);
    let requests = gw.membership.borrow_mut().new_hub_targets(now);
    let requests = requests.into_iter();
    let requests = requests.map(|t| (t, Message::CrashesRequest { all: true }));
    let messages = messages.into_iter().chain(requests);
    let messages = messages.chain(gw.config_offers(now));
    let messages = messages.chain(gw.entries_digests(now));
    messages.map(|(t, m)| (t, gw.datagram(m))).collect()
}

async fn send_all(socket: &UdpSocket, messages: Addressed) {
    for (target, datagram) in messages {
        match postcard::to_stdvec(&datagram) {
            // Datagrams may be lost in any case; their contents are sent again.
            Ok(bytes) => {
                socket.send_to(&bytes, target).await.ok();
            }
            Err(e) => emit(LogEvent::PeerMessageBad, &format!("reason=\"{e}\"")),
        }
    }
}

/// This daemon's load.
fn load_report(gw: &Gateway) -> LoadReport {
    let now = gw.now();
    let router = gw.router.borrow();
    let to_load = |l: PeerLoad| UpstreamLoad {
        running: l.running as u32,
        urgent: l.urgent as u32,
        backlog: l.backlog as u32,
    };
    let loads = router.upstream_names().filter_map(|n| {
        let load = router.own_load(n)?;
        (load.running > 0).then(|| (Tag::of_upstream(n), to_load(load)))
    });
    let mut loads: UpstreamLoads = loads.collect();
    for (tag, running) in uncounted_sends(gw) {
        loads.entry(tag).or_default().running += running;
    }
    LoadReport {
        sent: now,
        daemons: 1,
        planner: planner_info(gw, now),
        upstreams: loads,
        demand: demand_report(gw, now),
    }
}

/// The requests of this daemon's callers that are at fragile upstreams and that no router counts: the
/// hub that selected for them is gone. Its successors would take their slots for free. A hub that is
/// only late counts them as well, which costs upstreams that queue more than it saves.
fn uncounted_sends(gw: &Gateway) -> BTreeMap<Tag, u32> {
    let mut sends = BTreeMap::new();
    let fragile = gw.fragile_upstreams();
    if fragile.is_empty() {
        return sends;
    }
    let hubs = gw.membership.borrow_mut().selecting_hubs(gw.now());
    for upstream in gw.delegated.borrow().uncounted(&hubs) {
        let tag = Tag::of_upstream(upstream);
        if fragile.contains(&tag) {
            *sends.entry(tag).or_default() += 1;
        }
    }
    sends
}

/// What this daemon reports of itself as the planner; none where it is not the planner.
pub(crate) fn planner_info(gw: &Gateway, now: Millis) -> Option<PlannerInfo> {
    gw.planner_lease.borrow().fence(now)?;
    gw.holder_info(now)
}

/// The demand of this daemon's callers.
fn demand_report(gw: &Gateway, now: Millis) -> DemandReport {
    let rates = gw.demand.borrow_mut().rates(now);
    let rates = rates
        .iter()
        .map(|((m, a), r)| (Tag::of_model(m, a.as_ref()), *r));
    let mut rates: Vec<(Tag, Rate)> = rates.collect();
    rates.sort_by(|a, b| b.1.work.total_cmp(&a.1.work));
    rates.truncate(MAX_RATES);
    let mut unmet = gw.unmet.borrow_mut();
    let unmet = unmet.longest(MAX_UNMET, now).into_iter();
    DemandReport {
        rates: rates.into_iter().collect(),
        unmet: unmet.map(|(m, a, u)| (Tag::of_model(m, a), u)).collect(),
    }
}

/// Updates the router with the load of the other daemons.
fn update_peer_loads(gw: &Gateway) {
    let loads = gw.membership.borrow().other_loads(gw.now());
    let uncounted = uncounted_sends(gw);
    let names: Vec<Upstream> = gw.router.borrow().upstream_names().cloned().collect();
    for upstream in names {
        let reported = loads
            .get(&Tag::of_upstream(&upstream))
            .copied()
            .unwrap_or_default();
        let uncounted = uncounted.get(&Tag::of_upstream(&upstream));
        let running = reported.running + uncounted.copied().unwrap_or_default();
        let load = PeerLoad {
            running: running as usize,
            urgent: f64::from(reported.urgent),
            backlog: f64::from(reported.backlog),
        };
        gw.route(RouteEvent::PeerReport { upstream, load });
    }
}

/// Receives the other daemons' datagrams for as long as the process runs.
pub(crate) async fn receive(gw: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buffer).await else {
            // An earlier datagram could not be delivered; the socket itself still works.
            tokio::task::yield_now().await;
            continue;
        };
        match postcard::from_bytes::<Datagram>(&buffer[..len]) {
            Ok(datagram) => on_datagram(&gw, datagram),
            Err(e) => emit(
                LogEvent::PeerMessageBad,
                &format!("from={from} reason=\"{e}\""),
            ),
        }
    }
}

fn to_record((name, position, entry): (Upstream, Position, Option<Entry>)) -> EntryRecord {
    EntryRecord {
        name,
        position,
        entry,
    }
}

/// Handles a datagram of another daemon.
pub(crate) fn on_datagram(gw: &Gateway, datagram: Datagram) {
    let now = gw.now();
    let Datagram { from, message } = datagram;
    if from == gw.me {
        return;
    }
    if gw.membership.borrow_mut().on_datagram(&from, now) {
        on_joined(gw, &from);
    }
    match message {
        Message::Load(report) => {
            on_planner_info(gw, report.planner);
            let mut membership = gw.membership.borrow_mut();
            let correction = membership.correct_follower(&from, now);
            membership.on_load(&from, report, now);
            drop(membership);
            let members = correction.map(|c| (from.address, Message::Members(c)));
            gw.send(members.into_iter().collect());
        }
        Message::CentreLoad(report) => {
            let hub = gw.membership.borrow_mut().actual_hub(now);
            gw.forward(&from, hub, Message::ForwardedLoad(report.clone()));
            on_centre_load(gw, &from, report, now);
        }
        Message::ForwardedLoad(report) => on_centre_load(gw, &from, report, now),
        Message::TotalLoad(total) => {
            on_planner_info(gw, total.load.planner);
            gw.membership.borrow_mut().on_total_load(&from, &total, now);
            correct_hub(gw, &from, now);
            gw.on_crashes_digest(&from, total.crashes);
            on_read_position(gw, &from, total.position, total.ack, now);
        }
        Message::Crashes { notes } => gw.on_crash_notes(Some(&from), notes),
        Message::CrashesRequest { all } => gw.on_crashes_request(&from, all),
        Message::ReadPosition(position) => on_read_position(gw, &from, Some(position), None, now),
        Message::Hello => on_hello(gw, &from, now),
        Message::Members(list) => {
            gw.membership.borrow_mut().on_member_list(&list, now);
            gw.hubs_known.set(true);
        }
        Message::EntryChanges { number, entries } => {
            let next = gw.reading.borrow_mut().on_changes(from.incarnation, number);
            if next {
                let records = entries.into_iter().map(to_record);
                gw.apply_entries(records.collect(), now);
            }
        }
        Message::Ask(ticket, note) => gw.handle_ask(&from, Ask::plain(ticket, *note)),
        Message::AskExcept(ticket, note, excluded) => {
            let plain = Ask::plain(ticket, *note);
            gw.handle_ask(&from, Ask { excluded, ..plain });
        }
        Message::AskParts(ask) => gw.handle_ask(&from, *ask),
        Message::AskOrdered(ask) => {
            let (ask, order) = *ask;
            gw.handle_ordered_ask(&from, ask, order);
        }
        Message::Poll(ticket) => gw.handle_poll(&from, ticket),
        Message::Progressed(ticket, what) => gw.handle_progress(ticket, what),
        Message::Open { requests, alive } => gw.handle_open(&from, &requests, &alive),
        Message::Answer(ticket, answer) => gw.handle_answer(ticket, answer),
        Message::Missing {
            engine,
            model,
            adapter,
        } => gw.handle_missing(&engine, &model, adapter.as_ref()),
        Message::GrantRequest {
            ticket,
            org,
            cost,
            held,
        } => gw.handle_grant_request(&from, ticket, &org, cost, held),
        Message::GrantReply(ticket, reply) => gw.handle_grant_reply(&from, ticket, reply),
        Message::GrantReturned { org, amount } => gw.handle_refund(&org, amount),
        Message::GrantUnused {
            ticket,
            org,
            amount,
        } => gw.handle_unused_grant(ticket, &org, amount),
        Message::Resigned => gw.membership.borrow_mut().on_resigned(&from, now),
        Message::AdapterWanted { model, adapter } => gw.on_adapter_wanted(&model, &adapter),
        Message::AdaptersWanted { reports } => gw.on_wanted_reports(&from, &reports),
        Message::AdaptersWantedAck(ack) => gw.on_wanted_ack(&ack),
        Message::Limits(message) => gw.on_limit_message(&from, message),
        Message::ConfigHeld { version } => gw.on_config_held(&from, version),
        Message::Relays(message) => gw.on_relay_message(&from, &message),
        Message::Versions(message) => gw.on_version_message(&from, message),
        Message::EntriesDigest { number, digest } => gw.on_entries_digest(&from, number, digest),
        Message::PlannerUpdate(update) => forward_update(gw, &from, &update, now),
    }
}

/// Applies an update of the planner and forwards it.
fn forward_update(gw: &Gateway, from: &Sender, update: &PlannerUpdate, now: Millis) {
    let audience = gw.on_planner_update(update);
    let mut membership = gw.membership.borrow_mut();
    let targets = membership.forward_targets(from, audience, now);
    drop(membership);
    let message = |t| (t, Message::PlannerUpdate(update.clone()));
    gw.send(targets.into_iter().map(message).collect());
}

fn on_centre_load(gw: &Gateway, from: &Sender, report: HubReport, now: Millis) {
    on_planner_info(gw, report.load.planner);
    gw.on_crashes_digest(from, report.crashes);
    let (position, ack) = (report.position, report.ack);
    correct_hub(gw, from, now);
    gw.membership.borrow_mut().on_centre_load(from, report, now);
    on_read_position(gw, from, position, ack, now);
}

/// Reports the current hub to a daemon that sends messages as a hub beside it.
fn correct_hub(gw: &Gateway, from: &Sender, now: Millis) {
    let correction = gw.membership.borrow_mut().correct_hub(from, now);
    let members = correction.map(|c| (from.address, Message::Members(c)));
    gw.send(members.into_iter().collect());
}

/// Records the read position of the daemon that this one follows.
fn on_read_position(
    gw: &Gateway,
    from: &Sender,
    position: Option<ReadPosition>,
    ack: Option<Ack>,
    now: Millis,
) {
    let follows = gw.membership.borrow_mut().follows(&from.instance, now);
    let Some(position) = position.filter(|_| follows) else {
        return;
    };
    gw.on_era(position.config.era());
    let came = gw.earliest_arrival();
    let mut reading = gw.reading.borrow_mut();
    reading.on_position(from.incarnation, position, came);
    let ack = ack.filter(|e| e.incarnation == gw.me.incarnation);
    if let (Some(ack), Some(age)) = (ack, position.confirmed_age) {
        // What arrived after a report of this daemon is no older than that report, however long it
        // was in transit.
        let sent = ack.sent.plus(u64::from(ack.age));
        let at = Millis(sent.0.saturating_sub(u64::from(age)));
        reading.on_confirmed(position.config, at);
    }
    drop(reading);
    gw.position_changed.notify_waiters();
}

/// Sends the hubs to a daemon that starts, once this one knows them.
fn on_joined(gw: &Gateway, from: &Sender) {
    let detail = format!("instance={} life={:016x}", from.instance, from.incarnation);
    emit(LogEvent::MemberJoined, &detail);
    gw.delegated.borrow_mut().on_hub_restarted(from.address);
    gw.send_maxima(from);
}

fn on_hello(gw: &Gateway, from: &Sender, now: Millis) {
    if gw.knows_others() {
        let members = gw.membership.borrow_mut().member_list(now);
        gw.send(vec![(from.address, Message::Members(members))]);
    }
}

fn on_planner_info(gw: &Gateway, info: Option<PlannerInfo>) {
    let mine = gw.membership.borrow().address();
    if let Some(planner) = info.filter(|p| p.address != mine) {
        let began = gw.now().0.saturating_sub(u64::from(planner.age));
        let mut lease = gw.planner_lease.borrow_mut();
        lease.on_token(planner.fence);
        lease.on_renewal(planner.end, Millis(began));
    }
}

impl Gateway {
    /// The interval between load reports.
    pub(crate) fn report_interval(&self) -> Millis {
        let known = self.membership.borrow().known() as u64;
        let (min_interval, max_interval) = TICK_BOUNDS_MS;
        Millis((known * TICK_PER_DAEMON_MS).clamp(min_interval, max_interval))
    }

    /// Puts messages into the outbox.
    pub(crate) fn send(&self, messages: Outgoing) {
        if messages.is_empty() {
            return;
        }
        let messages = messages.into_iter().map(|(t, m)| (t, self.datagram(m)));
        // The receiver lives as long as the process.
        self.outbox.send(messages.collect()).ok();
    }

    fn datagram(&self, message: Message) -> Datagram {
        Datagram {
            from: self.me.clone(),
            message,
        }
    }

    /// Forwards a message of another daemon.
    fn forward(&self, from: &Sender, to: Option<SocketAddr>, message: Message) {
        let datagram = Datagram {
            from: from.clone(),
            message,
        };
        // The receiver lives as long as the process.
        if let Some(target) = to.filter(|t| *t != from.address) {
            self.outbox.send(vec![(target, datagram)]).ok();
        }
    }

    /// Applies an update of the planner, and sends it to the others.
    pub(crate) fn broadcast(&self, update: &PlannerUpdate) {
        let audience = self.on_planner_update(update);
        let targets = self
            .membership
            .borrow_mut()
            .broadcast_targets(audience, self.now());
        let messages = targets.into_iter();
        self.send(
            messages
                .map(|t| (t, Message::PlannerUpdate(update.clone())))
                .collect(),
        );
    }

    /// Applies an update of the planner. Returns the daemons that it concerns.
    pub(crate) fn on_planner_update(&self, update: &PlannerUpdate) -> Audience {
        let now = self.now();
        match update {
            PlannerUpdate::Retire {
                engine,
                incarnation,
                model,
            } => {
                if self.start_of(engine).1 == *incarnation {
                    self.with_fleet(engine, |f| f.record_absent(engine, model, None, now));
                }
                Audience::All
            }
            PlannerUpdate::Renewed(planner) => {
                on_planner_info(self, Some(*planner));
                // Callers of every daemon wait for a new planner, and load reports are seldom.
                match self.membership.borrow_mut().on_renewed(*planner, now) {
                    true => Audience::All,
                    false => Audience::Hubs,
                }
            }
            PlannerUpdate::Heartbeat(planner) => {
                on_planner_info(self, Some(*planner));
                self.on_planner_heartbeat(planner.fence);
                Audience::Receiver
            }
            PlannerUpdate::Silent { end, age } | PlannerUpdate::Heard { end, age } => {
                let silent = matches!(update, PlannerUpdate::Silent { .. });
                let mut lease = self.planner_lease.borrow_mut();
                lease.on_renewal(*end, Millis(now.0.saturating_sub(u64::from(*age))));
                lease.on_silent(*end, silent);
                Audience::Receiver
            }
            PlannerUpdate::Released => self.on_lease_released(None),
            PlannerUpdate::LeaseReleased { fence } => self.on_lease_released(Some(*fence)),
            PlannerUpdate::Held {
                engine,
                held,
                changed,
            } => {
                self.with_fleet(engine, |f| f.announce(engine, held.clone(), now));
                match changed {
                    true => Audience::All,
                    false => Audience::Hubs,
                }
            }
        }
    }

    /// Handles the release of the planner lease, unless a later lease is known. Returns the daemons
    /// that it concerns.
    fn on_lease_released(&self, fence: Option<u64>) -> Audience {
        if !self.planner_lease.borrow_mut().on_release(fence) {
            self.plan_now.notify_one();
            return Audience::Receiver;
        }
        self.planner_watch.borrow_mut().on_released();
        self.membership.borrow_mut().on_released();
        Audience::Hubs
    }

    /// Sends this daemon's read position to its followers ahead of the next tick, as a version of
    /// the configuration has come into force.
    pub(crate) fn send_read_position(&self) {
        let now = self.now();
        let followers = self.membership.borrow_mut().followers(now);
        let Some(position) = self.reading.borrow().read_position(now) else {
            return;
        };
        let messages = followers
            .into_iter()
            .map(|t| (t, Message::ReadPosition(position)));
        self.send(messages.collect());
    }

    /// Sends the entries that changed to this daemon's followers.
    pub(crate) fn send_changes(&self, changes: &[EntryRecord]) {
        /// The number of entries in a datagram; one has some hundred bytes.
        const ENTRIES_PER_DATAGRAM: usize = 4;
        if changes.is_empty() {
            return;
        }
        let followers = self.membership.borrow_mut().followers(self.now());
        for part in changes.chunks(ENTRIES_PER_DATAGRAM) {
            let number = self.reading.borrow_mut().next_number();
            let message = |t: &SocketAddr| {
                let entries = part.iter();
                let entries = entries.map(|s| (s.name.clone(), s.position, s.entry.clone()));
                let entries = entries.collect();
                (*t, Message::EntryChanges { number, entries })
            };
            self.send(followers.iter().map(message).collect());
        }
    }
}

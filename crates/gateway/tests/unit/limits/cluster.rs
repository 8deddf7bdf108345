//! A simulated cluster of daemons and engines that name rate limits in their answers. It runs the
//! daemons' own code without sockets.

use super::discovery::Discovery;
use super::engine::{Crashes, Engine, Fragile};
use super::leavings::Leavings;
use super::rests::Rests;
use crate::attempt::{record_failure, Failure};
use crate::crash_probe::SentAttempt;
use crate::gossip::{on_datagram, tick_messages, Addressed};
use crate::job::Job;
use crate::message::Datagram;
use crate::request::Permit;
use crate::roster::EntryRecord;
use crate::start::run_tick;
use crate::state::{Gateway, Platform};
use crate::unit::catalogue::engines::catalog;
use crate::unit::crashes::cluster::{job, settings};
use crate::unit::crashes::null_platform::{StubCodec, UnavailableStore};
use crate::unit::manual_clock::ManualClock;
use crate::{
    AnswerHead, CallerLimits, Entry, GatewaySettings, Head, RetryAfter, ServiceRule, Table,
};
use futures_util::FutureExt;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use shaleline_edge::{Clock, TimeSource};
use shaleline_fleet::Held;
use shaleline_route::{AttemptEnd, RouteAction};
use shaleline_types::{DataCentre, Incarnation, Millis, Model, Position, Service, Upstream};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// The time after the start at which the daemons know each other and their hubs.
const SETTLE_MS: u64 = 4_000;

/// The time for which engines name limits.
pub const NAMING_MS: u64 = 20_000;

/// The interval of the ticks of each daemon.
const TICK_MS: u64 = 10;

/// The bounds of the time that a datagram or a request takes in transit, and the number of
/// datagrams of which one is lost.
const TRANSIT_MS: (u64, u64) = (1, 4);
const LOSS_INTERVAL: u32 = 100;

/// The bounds of the time until the head of an answer, and of the time from there to its end.
const HEAD_MS: (u64, u64) = (30, 300);
const BODY_MS: (u64, u64) = (50, 700);

const CENTRES: usize = 3;
const MODELS_PER_ENGINE: usize = 3;

/// The time from the crash of an engine until it starts again under its name.
const ENGINE_DOWN_MS: u64 = 300;

/// The time from the end of a daemon's process until it starts again, where it has to find the
/// others.
pub(super) const DAEMON_DOWN_MS: u64 = 1_000;

/// The time for which a daemon must have been undisturbed to count as in touch.
const IN_TOUCH_MS: u64 = 3_000;

#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub daemons: usize,
    pub engines: usize,
    /// The requests per second of all callers.
    pub request_rate: f64,
    /// The requests that an engine runs at once.
    pub slots: usize,
}

pub(super) struct Daemon {
    pub(super) gw: Rc<Gateway>,
    outbox: mpsc::UnboundedReceiver<Addressed>,
    address: SocketAddr,
    next_report: u64,
    /// Until when its process does not run.
    pub(super) down_until: u64,
    /// What it does to find the others, until it has found them.
    pub(super) discovery: Option<Discovery>,
    /// Until when it exchanges no datagrams.
    cut_until: u64,
    /// Until when it does nothing.
    stalled_until: u64,
    /// When it was last disturbed.
    pub(super) disturbed_until: u64,
    /// The number of the entries that it has read.
    entries_read: usize,
    inbox: Vec<Datagram>,
}

/// A request that runs at an engine.
struct Run {
    engine: usize,
    sent: SentAttempt,
    arrives: u64,
    head: u64,
    end: u64,
    state: RunState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunState {
    /// It is on its way or uses a place at the engine.
    Open,
    Rejected,
    Failed(Failure),
}

struct Call {
    daemon: usize,
    job: Rc<Job>,
    permit: Option<Permit>,
    run: Option<Run>,
}

pub struct Cluster {
    pub(super) size: Size,
    manual_clock: Rc<ManualClock>,
    clock: Clock,
    rng: SmallRng,
    pub(super) daemons: Vec<Daemon>,
    engines: Vec<Engine>,
    /// Whether daemons that start have to find the others.
    discovers: bool,
    /// The members in the store: the daemons that have been hubs.
    pub(super) registered: BTreeSet<usize>,
    calls: Vec<Call>,
    in_flight: BTreeMap<(u64, u64), (SocketAddr, Datagram)>,
    event_count: u64,
    /// The entries that engines wrote when they started again.
    entries: Vec<EntryRecord>,
    due_requests: f64,
    /// Until when callers send nothing.
    callers_pause_until: u64,
    leavings: Leavings,
    rests: Rests,
    served: usize,
    refused: usize,
    failed: usize,
}

fn service() -> Service {
    Service::from_text("llm").expect("a valid name")
}

fn model(number: usize) -> Model {
    Model::from_text(&format!("m{number}")).expect("a valid name")
}

fn centre(number: usize) -> DataCentre {
    DataCentre::from_text(&format!("dc{}", number % CENTRES)).expect("a valid name")
}

/// The address at which a daemon receives datagrams.
fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 200) as u8, 1 + (index % 200) as u8], 1))
}

/// The addresses that the settings name: the first daemon of each data centre.
fn seeds(daemons: usize) -> Vec<SocketAddr> {
    (0..CENTRES.min(daemons)).map(address).collect()
}

impl Cluster {
    /// Starts daemons that all know each other.
    pub fn new(size: Size, seed: u64) -> Self {
        let mut cluster = Self::empty(size, seed);
        for index in 0..size.daemons {
            let daemon = cluster.start_daemon(index);
            cluster.daemons.push(daemon);
        }
        cluster.run(SETTLE_MS);
        cluster
    }

    /// Starts daemons that find each other as processes do.
    pub fn discovered(size: Size, seed: u64) -> Self {
        let mut cluster = Self::empty(size, seed);
        cluster.discovers = true;
        for index in 0..size.daemons {
            let daemon = cluster.start_alone(index);
            cluster.daemons.push(daemon);
        }
        cluster.run(SETTLE_MS);
        cluster
    }

    fn empty(size: Size, seed: u64) -> Self {
        let manual_clock = Rc::new(ManualClock::default());
        let time: Rc<dyn TimeSource> = manual_clock.clone();
        let engine = |number: usize| {
            let name = Upstream::from_text(&format!("i-{number}")).expect("a valid name");
            let models = (0..MODELS_PER_ENGINE).map(|m| model((number + m) % size.engines));
            Engine::new(name, models.collect())
        };
        Self {
            size,
            clock: Clock::from_time(time),
            manual_clock,
            rng: SmallRng::seed_from_u64(seed),
            daemons: Vec::new(),
            discovers: false,
            registered: BTreeSet::new(),
            engines: (0..size.engines).map(engine).collect(),
            calls: Vec::new(),
            in_flight: BTreeMap::new(),
            event_count: 0,
            entries: Vec::new(),
            due_requests: 0.0,
            callers_pause_until: 0,
            leavings: Leavings::default(),
            rests: Rests::default(),
            served: 0,
            refused: 0,
            failed: 0,
        }
    }

    pub fn now(&self) -> u64 {
        self.manual_clock.0.get()
    }

    pub fn daemons(&self) -> usize {
        self.size.daemons
    }

    pub fn engines(&self) -> usize {
        self.size.engines
    }

    fn draw(&mut self, (least, most): (u64, u64)) -> u64 {
        self.rng.random_range(least..=most)
    }

    /// Starts a daemon that knows all other daemons and the engines.
    fn start_daemon(&mut self, index: usize) -> Daemon {
        let daemon = self.start_unknown(index);
        let now = daemon.gw.now();
        for other in self.daemons.iter().filter(|d| d.address != daemon.address) {
            let (mine, theirs) = (&daemon.gw, &other.gw);
            theirs.membership.borrow_mut().learn_member(&mine.me, now);
            mine.membership.borrow_mut().learn_member(&theirs.me, now);
        }
        daemon
    }

    /// Starts a daemon that knows the engines, but no other daemon.
    pub(super) fn start_unknown(&mut self, index: usize) -> Daemon {
        let address = address(index);
        let (outbox, messages) = mpsc::unbounded_channel();
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let platform = Platform {
            codec: Box::new(StubCodec),
            store: Box::new(UnavailableStore),
        };
        let seeds = match self.discovers {
            true => seeds(self.size.daemons),
            false => Vec::new(),
        };
        let settings = GatewaySettings {
            seeds,
            centres: CENTRES,
            centre: centre(index),
            ..settings(index, address)
        };
        let gw = Gateway::with_clock(settings, platform, outbox, self.clock.clone(), rng);
        let gw = gw.expect("a gateway");
        gw.set_table(self.table());
        let now = gw.now();
        gw.apply_entries(self.entry_records(), now);
        Daemon {
            gw,
            outbox: messages,
            address,
            next_report: self.now() + (index as u64 * 7) % 100,
            down_until: 0,
            discovery: None,
            cut_until: 0,
            stalled_until: 0,
            disturbed_until: self.now(),
            entries_read: self.entries.len(),
            inbox: Vec::new(),
        }
    }

    fn table(&self) -> Table {
        let rule = ServiceRule {
            connections: 1_000,
            catalog: Some(catalog(self.size.engines, 0, 1.0)),
        };
        Table {
            orgs: None,
            version: 1,
            rules: Vec::new(),
            services: BTreeMap::from([(service(), rule)]),
            limits: CallerLimits {
                head: 16_384,
                body: 1 << 20,
                arrival: Millis(1_000),
                idle: Millis(10_000),
            },
        }
    }

    fn entry_records(&self) -> Vec<EntryRecord> {
        let engines = 0..self.engines.len();
        engines.map(|number| self.entry_record(number)).collect()
    }

    fn entry_record(&self, number: usize) -> EntryRecord {
        let engine = &self.engines[number];
        let models = engine.models.iter();
        let held = Held {
            models: models.map(|m| (m.clone(), BTreeSet::new())).collect(),
            incarnation: Incarnation::from_millis(engine.incarnation),
            ..Held::default()
        };
        let entry = Entry {
            service: service(),
            address: SocketAddr::from(([10, 1, 0, number as u8], 80)),
            centre: centre(number),
            slots: self.size.slots,
            leaving: false,
            incarnation: held.incarnation,
            version: shaleline_types::SoftwareVersion::default(),
            remaining: None,
            held: Some(held),
        };
        EntryRecord {
            name: engine.name.clone(),
            position: Position::new(0, engine.incarnation),
            entry: Some(entry),
        }
    }

    /// The daemons that act as hubs.
    pub fn hubs(&self) -> Vec<usize> {
        let is_hub = |d: &Daemon| d.gw.membership.borrow_mut().is_hub(d.gw.now());
        let runs = (0..self.daemons.len()).filter(|i| !self.is_down(*i));
        let hubs = runs.filter(|i| is_hub(&self.daemons[*i]));
        hubs.collect()
    }

    /// Kills a daemon and starts it again.
    pub fn restart(&mut self, index: usize) {
        match self.discovers {
            true => self.replace(index, DAEMON_DOWN_MS),
            false => {
                self.kill(index);
                self.daemons[index] = self.start_daemon(index);
            }
        }
    }

    /// Ends the process of a daemon.
    pub(super) fn kill(&mut self, index: usize) {
        for call in self.calls.iter_mut().filter(|c| c.daemon == index) {
            call.permit = None;
        }
        self.leavings.on_restart(index);
        self.rests.excuse(index);
    }

    fn is_down(&self, index: usize) -> bool {
        self.now() < self.daemons[index].down_until
    }

    /// Whether callers find a daemon there.
    fn takes_callers(&self, index: usize) -> bool {
        !self.is_down(index) && self.daemons[index].discovery.is_none()
    }

    /// Cuts a daemon off from all others for some time.
    pub fn cut(&mut self, index: usize, millis: u64) {
        self.rests.excuse(index);
        let until = self.now() + millis;
        self.daemons[index].cut_until = until;
        self.daemons[index].disturbed_until = until;
    }

    /// Stalls a daemon for some time.
    pub fn stall(&mut self, index: usize, millis: u64) {
        self.rests.excuse(index);
        let until = self.now() + millis;
        self.daemons[index].stalled_until = until;
        self.daemons[index].disturbed_until = until;
    }

    /// Sets the limit that an engine names from now on.
    pub fn set_limit(&mut self, engine: usize, limit: Option<f64>) {
        let now = self.now();
        let engine = &mut self.engines[engine];
        engine.limit = limit;
        engine.named.push((now, limit));
    }

    /// Makes all engines fragile.
    pub fn make_fragile(&mut self, fragile: Fragile) {
        let now = self.now();
        for engine in &mut self.engines {
            engine.fragile = Some((now, fragile));
        }
    }

    /// Kills all daemons and starts them again.
    pub fn restart_all(&mut self) {
        (0..self.daemons.len()).for_each(|index| self.restart(index));
    }

    /// Makes callers send nothing for some time.
    pub fn pause_callers(&mut self, millis: u64) {
        self.callers_pause_until = self.now() + millis;
    }

    /// Makes an engine say in its answers, from now on, that it is leaving. No entry says so.
    pub fn announce_leaving(&mut self, engine: usize) {
        self.engines[engine].leaving = true;
    }

    /// The requests that reached engines that are leaving.
    pub fn leavings(&self) -> &Leavings {
        &self.leavings
    }

    /// Makes an engine turn every request away for some time, asking for rest until then.
    pub fn shed(&mut self, engine: usize, millis: u64) {
        self.engines[engine].sheds_until = self.now() + millis;
    }

    /// The requests that reached engines that asked for rest.
    pub fn rests(&self) -> &Rests {
        &self.rests
    }

    /// The requests that were not served.
    pub fn unserved(&self) -> usize {
        self.refused + self.failed
    }

    /// How often engines crashed because they had to reject too much.
    pub fn crashes(&self) -> Crashes {
        let mut sum = Crashes::default();
        for engine in &self.engines {
            sum.all += engine.crashes.all;
            sum.by_touched += engine.crashes.by_touched;
        }
        sum
    }

    /// The share of the requests that ended which were served.
    pub fn served_share(&self) -> f64 {
        let ended = self.served + self.unserved();
        self.served as f64 / ended.max(1) as f64
    }

    /// Advances the time.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.manual_clock.0.set(self.now() + 1);
            self.deliver();
            for index in 0..self.daemons.len() {
                self.discover(index);
                self.tick_daemon(index);
            }
            self.arrive();
            self.start_engines();
            self.complete_runs();
            self.end_crashed_runs();
            self.poll_calls();
            let open = |c: &Call| c.permit.is_some() || c.run.is_some();
            self.calls.retain(open);
        }
    }

    fn deliver(&mut self) {
        let now = self.now();
        while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= now) {
            let (to, datagram) = entry.remove();
            let runs = |d: &&mut Daemon| d.address == to && now >= d.down_until;
            if let Some(daemon) = self.daemons.iter_mut().find(runs) {
                daemon.inbox.push(datagram);
            }
        }
    }

    fn tick_daemon(&mut self, index: usize) {
        let now = self.now();
        let daemon = &mut self.daemons[index];
        if now < daemon.stalled_until.max(daemon.down_until) {
            return;
        }
        let unread = self.entries[daemon.entries_read..].to_vec();
        if !unread.is_empty() {
            daemon.entries_read = self.entries.len();
            daemon.gw.apply_entries(unread, daemon.gw.now());
        }
        for datagram in std::mem::take(&mut daemon.inbox) {
            on_datagram(&daemon.gw, datagram);
        }
        let mut out = Vec::new();
        if (now + index as u64) % TICK_MS == 0 {
            run_tick(&daemon.gw, TICK_MS);
        }
        if now >= daemon.next_report {
            daemon.next_report = now + daemon.gw.report_interval().0;
            out.extend(tick_messages(&daemon.gw));
        }
        while let Ok(messages) = daemon.outbox.try_recv() {
            out.extend(messages);
        }
        for (to, datagram) in out {
            self.transmit(index, to, datagram);
        }
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, datagram: Datagram) {
        let now = self.now();
        let is_cut = |d: &Daemon| now < d.cut_until;
        let receiver = self.daemons.iter().find(|d| d.address == to);
        let cut = is_cut(&self.daemons[from]) || receiver.is_none_or(is_cut);
        if cut || self.rng.random_ratio(1, LOSS_INTERVAL) {
            return;
        }
        let at = now + self.draw(TRANSIT_MS);
        self.event_count += 1;
        self.in_flight
            .insert((at, self.event_count), (to, datagram));
    }

    /// Callers send requests to random daemons.
    fn arrive(&mut self) {
        if self.now() < self.callers_pause_until.max(SETTLE_MS / 2) {
            return;
        }
        self.due_requests += self.size.request_rate / 1_000.0;
        while self.due_requests >= 1.0 {
            self.due_requests -= 1.0;
            let mut daemon = self.rng.random_range(0..self.daemons.len());
            if !self.takes_callers(daemon) {
                let others = (0..self.daemons.len()).filter(|i| self.takes_callers(*i));
                let others: Vec<usize> = others.collect();
                let Some(other) = others.choose(&mut self.rng) else {
                    continue;
                };
                daemon = *other;
            }
            let head = Head {
                model: Some(model(self.rng.random_range(0..self.size.engines))),
                prompt: 200,
                output: 20,
                ..Head::default()
            };
            let gw = Rc::clone(&self.daemons[daemon].gw);
            let mut job = job(head, service(), gw.now());
            let name = self.rng.random::<u64>().to_le_bytes();
            job.identity = shaleline_types::Identity::of("caller", &[&name]);
            let job = Rc::new(job);
            let permit = Some(Permit::ask(&gw, &job));
            self.calls.push(Call {
                daemon,
                job,
                permit,
                run: None,
            });
        }
    }

    fn is_stalled(&self, daemon: usize) -> bool {
        self.now() < self.daemons[daemon].stalled_until
    }

    /// Starts the engines again whose time has come.
    fn start_engines(&mut self) {
        let now = self.now();
        for number in 0..self.engines.len() {
            let engine = &mut self.engines[number];
            if engine.starts_at.is_some_and(|at| at <= now) {
                engine.starts_at = None;
                engine.incarnation += 1;
                let record = self.entry_record(number);
                self.entries.push(record);
            }
        }
    }

    /// Ends what ran at engines that have just crashed.
    fn end_crashed_runs(&mut self) {
        let now = self.now();
        for number in 0..self.engines.len() {
            let engine = &mut self.engines[number];
            if !std::mem::take(&mut engine.crashed) {
                continue;
            }
            engine.running = 0;
            engine.starts_at = Some(now + ENGINE_DOWN_MS);
            let runs = self.calls.iter_mut().filter_map(|c| c.run.as_mut());
            for run in runs.filter(|r| r.engine == number && r.uses_place(now)) {
                run.state = RunState::Failed(Failure::Ended);
            }
        }
    }

    /// Handles the arrival of a request at its engine.
    fn arrive_at_engine(&mut self, index: usize) {
        let now = self.now();
        let call = &mut self.calls[index];
        let Some(run) = call.run.as_mut().filter(|r| r.arrives == now) else {
            return;
        };
        let engine = &mut self.engines[run.engine];
        if engine.starts_at.is_some() || engine.crashed {
            run.state = RunState::Failed(Failure::NotSent);
            return;
        }
        engine.arrivals.push(now);
        self.leavings.on_arrival(run.engine, call.daemon, now);
        self.rests.on_arrival(run.engine, call.daemon, now);
        let in_touch = now >= self.daemons[call.daemon].disturbed_until + IN_TOUCH_MS;
        if now < engine.sheds_until || engine.rejects(self.size.slots, in_touch, now) {
            run.state = RunState::Rejected;
        }
    }

    fn complete_runs(&mut self) {
        let now = self.now();
        for index in 0..self.calls.len() {
            self.arrive_at_engine(index);
            let stalled = self.is_stalled(self.calls[index].daemon);
            let call = &mut self.calls[index];
            let Some(run) = &mut call.run else {
                continue;
            };
            let engine = &mut self.engines[run.engine];
            // A killed daemon's request still arrives.
            let Some(permit) = &mut call.permit else {
                if now >= run.arrives {
                    engine.running -= usize::from(run.uses_place(now));
                    call.run = None;
                }
                continue;
            };
            if stalled {
                continue;
            }
            let gw = &self.daemons[call.daemon].gw;
            let answer = AnswerHead {
                rate_limit: engine.limit,
                max_rejections: engine.fragile.map(|(_, f)| f.max_rejections),
                leaving: engine.leaving,
                ..AnswerHead::default()
            };
            if let RunState::Failed(failure) = run.state {
                permit.reached += 1;
                let sent = run.sent.clone();
                call.run = None;
                record_failure(gw, &call.job, permit, &sent, failure);
                continue;
            }
            let rejected = run.state == RunState::Rejected;
            if engine.leaving && (rejected || now >= run.head) {
                self.leavings.on_answer(run.engine, call.daemon, now);
            }
            if rejected {
                gw.record_answer(&run.sent, &answer);
                let rest = engine.sheds_until.saturating_sub(now);
                if rest > 0 {
                    self.rests.on_answer(run.engine, call.daemon, now, rest);
                    let delay = Duration::from_millis(rest);
                    let answer = AnswerHead {
                        retry_after: Some(RetryAfter::Delay(delay)),
                        ..answer
                    };
                    gw.record_rest(&run.sent, &answer, None);
                }
                permit.reached += 1;
                let (sent, failure) = (run.sent.clone(), Failure::Refused(503));
                call.run = None;
                record_failure(gw, &call.job, permit, &sent, failure);
                continue;
            }
            if now >= run.head {
                run.head = u64::MAX;
                gw.record_answer(&run.sent, &answer);
                permit.first_byte(run.sent.attempt);
            }
            if now >= run.end {
                permit.end(run.sent.attempt, AttemptEnd::Whole);
                engine.running -= 1;
                call.run = None;
                call.permit = None;
                self.served += 1;
            }
        }
    }

    /// Carries out the actions that the daemons decide for each call.
    fn poll_calls(&mut self) {
        for index in 0..self.calls.len() {
            let daemon = self.calls[index].daemon;
            if self.is_stalled(daemon) {
                continue;
            }
            let call = &mut self.calls[index];
            let Some(permit) = &mut call.permit else {
                continue;
            };
            match permit.next().now_or_never() {
                Some(Some(RouteAction::Send {
                    attempt, upstream, ..
                })) => self.send(index, attempt, &upstream),
                Some(Some(RouteAction::Cancel { .. })) => self.cancel(index),
                Some(Some(RouteAction::Refuse { .. })) => {
                    call.permit = None;
                    self.refused += 1;
                }
                Some(None) => call.permit = None,
                None => {
                    if self.daemons[daemon].gw.now() >= call.job.deadline {
                        call.permit = None;
                        self.cancel(index);
                        self.failed += 1;
                    }
                }
            }
        }
    }

    fn cancel(&mut self, index: usize) {
        let now = self.now();
        let run = self.calls[index].run.take();
        if let Some(run) = run.filter(|r| r.uses_place(now)) {
            self.engines[run.engine].running -= 1;
        }
    }

    fn send(&mut self, index: usize, attempt: u32, upstream: &Upstream) {
        let arrives = self.now() + self.draw(TRANSIT_MS);
        let head = arrives + self.draw(HEAD_MS);
        let end = head + self.draw(BODY_MS);
        let engine = self.engines.iter().position(|e| e.name == *upstream);
        let call = &mut self.calls[index];
        let gw = &self.daemons[call.daemon].gw;
        let sent = gw.begin_send(attempt, upstream);
        let Some(engine) = engine else {
            if let Some(permit) = &mut call.permit {
                permit.reached += 1;
                record_failure(gw, &call.job, permit, &sent, Failure::NotSent);
            }
            return;
        };
        call.run = Some(Run {
            engine,
            sent,
            arrives,
            head,
            end,
            state: RunState::Open,
        });
    }

    /// The first engine that got more requests in a window than its limits tolerate.
    pub fn excess(&self) -> Option<String> {
        self.engines.iter().find_map(|e| e.excess(self.now()))
    }

    pub fn summary(&self) -> String {
        let engines = self.engines.iter().filter(|e| !e.named.is_empty());
        let limited: usize = engines.map(|e| e.arrivals.len()).sum();
        format!(
            "{} served, {} refused, {} failed, {limited} sent to engines that named limits, {:?}",
            self.served,
            self.refused,
            self.failed,
            self.crashes()
        )
    }
}

impl Run {
    /// Whether it uses a place at its engine.
    fn uses_place(&self, now: u64) -> bool {
        now >= self.arrives && self.state == RunState::Open
    }
}

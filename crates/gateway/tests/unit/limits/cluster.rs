//! A simulated cluster of daemons and engines that name rate limits in their answers. It runs the
//! daemons' own code without sockets.

use super::leavings::Leavings;
use super::rests::Rests;
use crate::attempt::{record_failure, Failure};
use crate::crash_probe::SentAttempt;
use crate::gossip::{on_datagram, periodic_messages, Addressed};
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

/// The window in which requests are counted, the time after a limit was named from which it holds,
/// and the tolerance: a factor and a number of requests.
pub const WINDOW_MS: u64 = 4_000;
const NOTICE_MS: u64 = 3_000;
const TOLERANCE: (f64, f64) = (1.5, 5.0);

#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub daemons: usize,
    pub engines: usize,
    /// The requests per second of all callers.
    pub request_rate: f64,
    /// The requests that an engine runs at once.
    pub slots: usize,
}

/// An engine that crashes if it has to reject more requests in a second.
#[derive(Debug, Clone, Copy)]
pub struct Fragile {
    pub max_rejections: f64,
    /// The requests that wait there.
    pub queue: usize,
}

struct Daemon {
    gw: Rc<Gateway>,
    outbox: mpsc::UnboundedReceiver<Addressed>,
    address: SocketAddr,
    next_report: u64,
    /// Until when it exchanges no datagrams.
    cut_until: u64,
    /// Until when it does nothing.
    stalled_until: u64,
    inbox: Vec<Datagram>,
}

struct Engine {
    name: Upstream,
    models: Vec<Model>,
    limit: Option<f64>,
    /// The limits that it named, each with the time.
    named: Vec<(u64, Option<f64>)>,
    arrivals: Vec<u64>,
    fragile: Option<Fragile>,
    /// Whether its answers say that it is leaving.
    leaving: bool,
    /// Until when it turns every request away, asking for rest until then.
    sheds_until: u64,
    /// The requests that run or wait.
    running: usize,
    rejections: Vec<u64>,
    crashes: usize,
}

/// A request that runs at an engine.
struct Run {
    engine: usize,
    sent: SentAttempt,
    arrives: u64,
    head: u64,
    end: u64,
    rejected: bool,
}

struct Call {
    daemon: usize,
    job: Rc<Job>,
    permit: Option<Permit>,
    run: Option<Run>,
}

pub struct Cluster {
    size: Size,
    manual_clock: Rc<ManualClock>,
    clock: Clock,
    rng: SmallRng,
    daemons: Vec<Daemon>,
    engines: Vec<Engine>,
    calls: Vec<Call>,
    in_flight: BTreeMap<(u64, u64), (SocketAddr, Datagram)>,
    event_count: u64,
    due_requests: f64,
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

impl Cluster {
    pub fn new(size: Size, seed: u64) -> Self {
        let manual_clock = Rc::new(ManualClock::default());
        let time: Rc<dyn TimeSource> = manual_clock.clone();
        let engine = |number: usize| Engine {
            name: Upstream::from_text(&format!("i-{number}")).expect("a valid name"),
            models: (0..MODELS_PER_ENGINE)
                .map(|m| model((number + m) % size.engines))
                .collect(),
            limit: None,
            named: Vec::new(),
            arrivals: Vec::new(),
            fragile: None,
            leaving: false,
            sheds_until: 0,
            running: 0,
            rejections: Vec::new(),
            crashes: 0,
        };
        let mut cluster = Self {
            size,
            clock: Clock::from_time(time),
            manual_clock,
            rng: SmallRng::seed_from_u64(seed),
            daemons: Vec::new(),
            engines: (0..size.engines).map(engine).collect(),
            calls: Vec::new(),
            in_flight: BTreeMap::new(),
            event_count: 0,
            due_requests: 0.0,
            leavings: Leavings::default(),
            rests: Rests::default(),
            served: 0,
            refused: 0,
            failed: 0,
        };
        for index in 0..size.daemons {
            let daemon = cluster.start_daemon(index);
            cluster.daemons.push(daemon);
        }
        cluster.run(SETTLE_MS);
        cluster
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
        let address = SocketAddr::from(([10, 0, (index / 200) as u8, 1 + (index % 200) as u8], 1));
        let (outbox, messages) = mpsc::unbounded_channel();
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let platform = Platform {
            codec: Box::new(StubCodec),
            store: Box::new(UnavailableStore),
        };
        let settings = GatewaySettings {
            centres: CENTRES,
            centre: centre(index),
            ..settings(index, address)
        };
        let gw = Gateway::with_clock(settings, platform, outbox, self.clock.clone(), rng);
        let gw = gw.expect("a gateway");
        gw.set_table(self.table());
        let now = gw.now();
        for other in self.daemons.iter().filter(|d| d.address != address) {
            other.gw.membership.borrow_mut().learn_member(&gw.me, now);
            gw.membership.borrow_mut().learn_member(&other.gw.me, now);
        }
        gw.apply_entries(self.entry_records(), now);
        Daemon {
            gw,
            outbox: messages,
            address,
            next_report: self.now() + (index as u64 * 7) % 100,
            cut_until: 0,
            stalled_until: 0,
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
        let record = |(number, engine): (usize, &Engine)| {
            let models = engine.models.iter();
            let held = Held {
                models: models.map(|m| (m.clone(), BTreeSet::new())).collect(),
                incarnation: Incarnation::from_millis(1),
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
                position: Position::new(0, 1),
                entry: Some(entry),
            }
        };
        self.engines.iter().enumerate().map(record).collect()
    }

    /// The daemons that act as hubs.
    pub fn hubs(&self) -> Vec<usize> {
        let is_hub = |d: &Daemon| d.gw.membership.borrow_mut().is_hub(d.gw.now());
        let hubs = (0..self.daemons.len()).filter(|i| is_hub(&self.daemons[*i]));
        hubs.collect()
    }

    /// Kills a daemon and starts it again.
    pub fn restart(&mut self, index: usize) {
        for call in self.calls.iter_mut().filter(|c| c.daemon == index) {
            call.permit = None;
        }
        self.leavings.on_restart(index);
        self.rests.excuse(index);
        self.daemons[index] = self.start_daemon(index);
    }

    /// Cuts a daemon off from all others for some time.
    pub fn cut(&mut self, index: usize, millis: u64) {
        self.rests.excuse(index);
        self.daemons[index].cut_until = self.now() + millis;
    }

    /// Stalls a daemon for some time.
    pub fn stall(&mut self, index: usize, millis: u64) {
        self.rests.excuse(index);
        self.daemons[index].stalled_until = self.now() + millis;
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
        for engine in &mut self.engines {
            engine.fragile = Some(fragile);
        }
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
    pub fn crashes(&self) -> usize {
        self.engines.iter().map(|e| e.crashes).sum()
    }

    /// Advances the time.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.manual_clock.0.set(self.now() + 1);
            self.deliver();
            for index in 0..self.daemons.len() {
                self.tick_daemon(index);
            }
            self.arrive();
            self.complete_runs();
            self.poll_calls();
            let open = |c: &Call| c.permit.is_some() || c.run.is_some();
            self.calls.retain(open);
        }
    }

    fn deliver(&mut self) {
        let now = self.now();
        while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= now) {
            let (to, datagram) = entry.remove();
            if let Some(daemon) = self.daemons.iter_mut().find(|d| d.address == to) {
                daemon.inbox.push(datagram);
            }
        }
    }

    fn tick_daemon(&mut self, index: usize) {
        let now = self.now();
        let daemon = &mut self.daemons[index];
        if now < daemon.stalled_until {
            return;
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
            out.extend(periodic_messages(&daemon.gw));
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
        if self.now() < SETTLE_MS / 2 {
            return;
        }
        self.due_requests += self.size.request_rate / 1_000.0;
        while self.due_requests >= 1.0 {
            self.due_requests -= 1.0;
            let daemon = self.rng.random_range(0..self.daemons.len());
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

    fn complete_runs(&mut self) {
        let now = self.now();
        for index in 0..self.calls.len() {
            let stalled = self.is_stalled(self.calls[index].daemon);
            let call = &mut self.calls[index];
            let Some(run) = &mut call.run else {
                continue;
            };
            let engine = &mut self.engines[run.engine];
            if now == run.arrives {
                engine.arrivals.push(now);
                self.leavings.on_arrival(run.engine, call.daemon, now);
                self.rests.on_arrival(run.engine, call.daemon, now);
                run.rejected = now < engine.sheds_until || engine.rejects(self.size.slots, now);
            }
            // A killed daemon's request still arrives.
            let Some(permit) = &mut call.permit else {
                if now >= run.arrives {
                    engine.running -= usize::from(!run.rejected);
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
                max_rejections: engine.fragile.map(|f| f.max_rejections),
                leaving: engine.leaving,
                ..AnswerHead::default()
            };
            if engine.leaving && (run.rejected || now >= run.head) {
                self.leavings.on_answer(run.engine, call.daemon, now);
            }
            if run.rejected {
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
        if let Some(run) = run.filter(|r| now >= r.arrives && !r.rejected) {
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
            rejected: false,
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
            "{} served, {} refused, {} failed, {limited} sent to engines that named limits, {} crashes",
            self.served,
            self.refused,
            self.failed,
            self.crashes()
        )
    }
}

impl Engine {
    /// Whether it has no room for a request that arrives now.
    fn rejects(&mut self, slots: usize, now: u64) -> bool {
        let queue = self.fragile.map_or(usize::MAX - slots, |f| f.queue);
        if self.running < slots + queue {
            self.running += 1;
            return false;
        }
        self.rejections.retain(|at| now - at < 1_000);
        self.rejections.push(now);
        if self
            .fragile
            .is_some_and(|f| self.rejections.len() as f64 > f.max_rejections)
        {
            self.rejections.clear();
            self.crashes += 1;
        }
        true
    }

    /// The largest limit that holds at this time: one that has changed holds for a while longer.
    fn limit_at(&self, time: u64) -> f64 {
        let until = |index: usize| self.named.get(index + 1).map_or(u64::MAX, |(at, _)| *at);
        let named = self.named.iter().enumerate();
        let current =
            named.filter(|(i, (at, _))| *at <= time && time < until(*i).saturating_add(NOTICE_MS));
        let rates = current.map(|(_, (_, rate))| rate.unwrap_or(f64::INFINITY));
        let started = self
            .named
            .first()
            .is_some_and(|(at, _)| time >= at + NOTICE_MS);
        match started {
            true => rates.fold(0.0, f64::max),
            false => f64::INFINITY,
        }
    }

    fn excess(&self, end: u64) -> Option<String> {
        let first = self.named.first()?.0 + NOTICE_MS;
        let is_whole = |at: &&u64| **at >= first && **at + WINDOW_MS <= end;
        let starts = self.arrivals.iter().filter(is_whole);
        let exceeds = |start: &&u64| {
            let until = **start + WINDOW_MS;
            let count = self
                .arrivals
                .iter()
                .filter(|a| (**start..until).contains(*a));
            let total: f64 = (**start..until).map(|t| self.limit_at(t)).sum();
            let allowed = total / 1_000.0;
            count.count() as f64 > allowed * TOLERANCE.0 + TOLERANCE.1
        };
        let start = starts.into_iter().find(exceeds)?;
        let count = self
            .arrivals
            .iter()
            .filter(|a| (*start..start + WINDOW_MS).contains(*a));
        Some(format!(
            "{} got {} requests in {WINDOW_MS} ms from {start}; limits {:?}",
            self.name,
            count.count(),
            self.named
        ))
    }
}

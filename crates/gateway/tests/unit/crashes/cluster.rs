//! A simulated cluster of daemons, upstreams and callers, which runs the daemons' own code without
//! sockets.
//!
//! Datagrams between daemons take a few milliseconds and some are lost. An upstream that crashed
//! stays listed for a while, refuses connections, and restarts after two seconds.

mod servers;

use super::null_platform;
use crate::attempt::{record_failure, Failure};
use crate::crash_probe::SentAttempt;
use crate::gossip::{on_datagram, periodic_messages, Addressed};
use crate::job::Job;
use crate::message::{Datagram, Message};
use crate::request::Permit;
use crate::roster::EntryRecord;
use crate::selector::Selector;
use crate::start::run_tick;
use crate::state::{Gateway, Platform};
use crate::unit::manual_clock::ManualClock;
use crate::{Bounds, GatewaySettings, Head, Listen, Policy, Repeat, Revocation, RouteRule};
use bytes::Bytes;
use futures_util::FutureExt;
use hyper::{HeaderMap, Method};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use servers::Server;
use shaleline_edge::{Clock, TimeSource};
use shaleline_route::{RouteAction, Tolerance, MAX_CRASHES};
use shaleline_types::{DataCentre, ErrorKind, Identity, Instance, Millis, Service, Upstream};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// The time after the start at which the daemons know each other and their hubs.
pub const SETTLE_MS: u64 = 4_000;

/// The interval of the ticks of each daemon.
const TICK_MS: u64 = 10;

/// The bounds of the time that a datagram takes in transit.
const TRANSIT_MS: (u64, u64) = (1, 4);

/// One of this many datagrams is lost.
const LOSS_INTERVAL: u32 = 40;

/// The bounds of the time that a request is queued at an upstream, and of the time that it runs.
const QUEUE_MS: (u64, u64) = (20, 120);
const RUN_MS: (u64, u64) = (200, 1_500);

/// The bounds of the time after which a fatal request crashes the upstream that runs it.
const CRASH_DELAY_MS: (u64, u64) = (30, 110);

/// The timeout of a request.
pub const TIMEOUT_MS: u64 = 5_000;

struct Daemon {
    gw: Rc<Gateway>,
    outbox: mpsc::UnboundedReceiver<Addressed>,
    address: SocketAddr,
    next_report: u64,
    alive: bool,
}

/// The kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The request crashes each upstream that runs it.
    Fatal,
    /// The request crashes no upstream.
    Harmless,
}

/// The outcome of a caller's attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    Served,
    /// Refused with this HTTP status.
    Refused(u16),
}

/// A caller's attempt.
struct Call {
    name: u64,
    kind: Kind,
    daemon: usize,
    job: Rc<Job>,
    permit: Option<Permit>,
    sent: Option<SentAttempt>,
    /// Whether the upstream has begun its answer.
    begun: bool,
}

/// An attempt that has ended.
pub struct Ended {
    /// The number of the request.
    pub name: u64,
    pub outcome: Outcome,
    /// Whether it was refused because upstreams crashed under it or a part of its prompt.
    pub blocked: bool,
}

impl Ended {
    const fn new(name: u64, outcome: Outcome) -> Self {
        Self {
            name,
            outcome,
            blocked: false,
        }
    }
}

pub struct Cluster {
    manual_clock: Rc<ManualClock>,
    clock: Clock,
    rng: SmallRng,
    daemons: Vec<Daemon>,
    servers: Vec<Server>,
    calls: Vec<Call>,
    /// Datagrams in transit, and entries that daemons will read.
    in_flight: BTreeMap<(u64, u64), (SocketAddr, Datagram)>,
    entries: BTreeMap<(u64, u64), (usize, EntryRecord)>,
    /// The times at which upstreams restart.
    restarts: Vec<(u64, usize)>,
    event_count: u64,
    /// The number of upstreams that a fatal request crashed.
    pub fatal_crashes: usize,
    /// The times at which fatal requests reached an upstream.
    pub fatal_arrivals: Vec<u64>,
    /// The number of datagrams about crashes, and their bytes.
    pub crash_traffic: (usize, usize),
}

/// A route for such requests.
pub fn rule(repeat: Repeat) -> RouteRule {
    RouteRule {
        public: false,
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        repeat,
        timeout: Millis(TIMEOUT_MS),
        target: Millis(2_000),
        pause: None,
        priority: 1,
        attempts: 2,
        services: Vec::new(),
    }
}

pub fn settings(index: usize, address: SocketAddr) -> GatewaySettings {
    GatewaySettings {
        centres: 1,
        instance: Instance::from_text(&format!("d{index}")).expect("a valid name"),
        ip: [127, 0, 0, 1].into(),
        centre: DataCentre::from_text(&format!("dc{}", index % 3)).expect("a valid name"),
        listen: Listen {
            callers: address,
            ready: address,
            peers: address,
            metrics: address,
        },
        seeds: Vec::new(),
        link_mbps: 1_000.0,
        memory: 0,
        cores: 0.25,
        first_start: true,
        bounds: Bounds {
            revocation: Revocation {
                closed: false,
                within: Millis(5_000),
            },
            tolerance: Tolerance {
                window: Millis(8_000),
                over: 0.1,
                slack: 0.0,
            },
            drain: Millis(2_000),
            apply: Millis(2_000),
            grace: Millis(8_000),
            lease: Millis(3_000),
            fencing: true,
            retry_ratio: 0.2,
            retry_extra: 52.0,
            load_window: Millis(5_000),
            load_over: 1.1,
        },
        policy: Policy::default(),
    }
}

/// A request of a caller with this head.
pub fn job(head: Head, service: Service, now: Millis) -> Job {
    Job {
        org: None,
        charge: None,
        bound: None,
        head,
        identity: identity(0),
        rule: rule(Repeat::Unsafe),
        service,
        version: 1,
        method: Method::POST,
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        arrived: now,
        is_retry: false,
        deadline: now.plus(TIMEOUT_MS),
    }
}

fn identity(name: u64) -> Identity {
    Identity::of("caller", &[&name.to_le_bytes()])
}

impl Cluster {
    /// Creates daemons in three data centres and `servers` upstreams of one service.
    pub fn new(daemons: usize, servers: usize, seed: u64) -> Self {
        let manual_clock = Rc::new(ManualClock::default());
        let time: Rc<dyn TimeSource> = manual_clock.clone();
        let mut cluster = Self {
            clock: Clock::from_time(time),
            manual_clock,
            rng: SmallRng::seed_from_u64(seed),
            daemons: Vec::new(),
            servers: Vec::new(),
            calls: Vec::new(),
            in_flight: BTreeMap::new(),
            entries: BTreeMap::new(),
            restarts: Vec::new(),
            event_count: 0,
            fatal_crashes: 0,
            fatal_arrivals: Vec::new(),
            crash_traffic: (0, 0),
        };
        for index in 0..daemons {
            cluster.add_daemon(index);
        }
        for _ in 0..servers {
            cluster.start_server();
        }
        cluster.run(SETTLE_MS);
        cluster
    }

    pub fn now(&self) -> u64 {
        self.manual_clock.0.get()
    }

    fn draw(&mut self, (least, most): (u64, u64)) -> u64 {
        self.rng.random_range(least..=most)
    }

    /// Starts a daemon that knows all other daemons.
    pub fn add_daemon(&mut self, index: usize) {
        let address = SocketAddr::from(([10, 0, (index / 200) as u8, 1 + (index % 200) as u8], 1));
        let (outbox, messages) = mpsc::unbounded_channel();
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let platform = Platform {
            codec: Box::new(null_platform::StubCodec),
            store: Box::new(null_platform::UnavailableStore),
        };
        let settings = settings(index, address);
        let gw = Gateway::with_clock(settings, platform, outbox, self.clock.clone(), rng);
        let gw = gw.expect("a gateway");
        let now = gw.now();
        for other in &self.daemons {
            other.gw.membership.borrow_mut().learn_member(&gw.me, now);
            gw.membership.borrow_mut().learn_member(&other.gw.me, now);
        }
        let daemon = Daemon {
            gw,
            outbox: messages,
            address,
            next_report: self.now() + (index as u64 * 7) % 100,
            alive: true,
        };
        if index < self.daemons.len() {
            self.daemons[index] = daemon;
        } else {
            self.daemons.push(daemon);
        }
        for server in 0..self.servers.len() {
            if self.servers[server].up {
                let record = self.entry_record(server, true);
                self.daemons[index].gw.apply_entries(vec![record], now);
            }
        }
    }

    /// Kills a daemon and returns the number of callers that lose their responses.
    pub fn kill_daemon(&mut self, index: usize) -> usize {
        self.daemons[index].alive = false;
        let mut lost_callers = 0;
        for call in self.calls.iter_mut().filter(|c| c.daemon == index) {
            lost_callers += usize::from(call.permit.take().is_some());
        }
        lost_callers
    }

    /// Isolates a daemon from all others, or ends its isolation.
    pub fn isolate(&mut self, index: usize, isolated: bool) {
        self.daemons[index].alive = !isolated;
    }

    /// Whether the selector blocks a request.
    pub fn is_blocked(&self, name: u64) -> bool {
        let router = self.daemons[self.selector()].gw.router.borrow();
        router.crashes().crash_count(&identity(name).request) >= MAX_CRASHES
    }

    /// A random number below `of`.
    pub fn pick(&mut self, of: usize) -> usize {
        self.rng.random_range(0..of)
    }

    /// The daemon that selects upstreams for the others, as seen by the first live daemon that
    /// knows a hub.
    pub fn selector(&self) -> usize {
        let now = self.daemons[0].gw.now();
        let selector_of =
            |d: &Daemon| match d.gw.membership.borrow_mut().selector("svc", |_| true, now) {
                Selector::Remote(address) => Some(address),
                Selector::Local => Some(d.address),
                Selector::NoHub => None,
            };
        let address = self
            .daemons
            .iter()
            .filter(|d| d.alive)
            .find_map(selector_of);
        let found = self.daemons.iter().position(|d| Some(d.address) == address);
        found.expect("a daemon selects upstreams")
    }

    pub fn daemons(&self) -> usize {
        self.daemons.len()
    }

    /// Whether a datagram to this address is lost: at random, or because its receiver is killed or
    /// isolated.
    fn is_lost(&mut self, to: SocketAddr) -> bool {
        let is_unreachable = |d: &Daemon| d.address == to && !d.alive;
        self.rng.random_ratio(1, LOSS_INTERVAL) || self.daemons.iter().any(is_unreachable)
    }

    /// Sends a caller's attempt of a request to a daemon.
    pub fn call(&mut self, name: u64, kind: Kind, repeat: Repeat, daemon: usize) {
        self.call_with_parts(name, kind, (repeat, Vec::new()), daemon);
    }

    /// Sends a caller's attempt of a request whose prompt has these parts to a daemon.
    pub fn call_with_parts(
        &mut self,
        name: u64,
        kind: Kind,
        (repeat, parts): (Repeat, Vec<u64>),
        daemon: usize,
    ) {
        let gw = Rc::clone(&self.daemons[daemon].gw);
        let now = gw.now();
        let head = Head {
            parts: parts.into_iter().map(|part| (part, 100)).collect(),
            ..Head::default()
        };
        let job = Job {
            identity: identity(name),
            rule: rule(repeat),
            ..job(head, Service::from_text("svc").expect("a valid name"), now)
        };
        let job = Rc::new(job);
        let permit = Permit::ask(&gw, &job);
        self.calls.push(Call {
            name,
            kind,
            daemon,
            job,
            permit: Some(permit),
            sent: None,
            begun: false,
        });
    }

    /// A random daemon that is alive.
    pub fn any_daemon(&mut self) -> usize {
        let alive: Vec<usize> = (0..self.daemons.len())
            .filter(|d| self.daemons[*d].alive)
            .collect();
        alive[self.rng.random_range(0..alive.len())]
    }

    fn fail(&mut self, call: usize, failure: Failure) {
        let call = &mut self.calls[call];
        let gw = &self.daemons[call.daemon].gw;
        if let (Some(permit), Some(sent)) = (&mut call.permit, call.sent.take()) {
            permit.reached += 1;
            record_failure(gw, &call.job, permit, &sent, failure);
        }
    }

    /// Advances the time and returns the attempts that ended meanwhile.
    pub fn run(&mut self, millis: u64) -> Vec<Ended> {
        let mut ended = Vec::new();
        for _ in 0..millis {
            self.manual_clock.0.set(self.now() + 1);
            self.deliver();
            self.restart_due();
            self.complete_work();
            self.poll_calls(&mut ended);
        }
        ended
    }

    fn deliver(&mut self) {
        let now = self.now();
        while let Some(entry) = self.entries.first_entry().filter(|e| e.key().0 <= now) {
            let (daemon, record) = entry.remove();
            let gw = &self.daemons[daemon].gw;
            gw.apply_entries(vec![record], gw.now());
        }
        while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= now) {
            let (to, datagram) = entry.remove();
            let receiver = self.daemons.iter().find(|d| d.address == to && d.alive);
            if let Some(daemon) = receiver {
                on_datagram(&daemon.gw, datagram);
            }
        }
        for index in 0..self.daemons.len() {
            self.tick_daemon(index);
        }
    }

    fn tick_daemon(&mut self, index: usize) {
        let now = self.now();
        let daemon = &mut self.daemons[index];
        let mut out = Vec::new();
        if daemon.alive && (now + index as u64) % TICK_MS == 0 {
            run_tick(&daemon.gw, TICK_MS);
        }
        if daemon.alive && now >= daemon.next_report {
            daemon.next_report = now + daemon.gw.report_interval().0;
            out.extend(periodic_messages(&daemon.gw));
        }
        while let Ok(messages) = daemon.outbox.try_recv() {
            out.extend(messages);
        }
        if !self.daemons[index].alive {
            return;
        }
        for (to, datagram) in out {
            self.count_crash_traffic(&datagram);
            if !self.is_lost(to) {
                let at = now + self.draw(TRANSIT_MS);
                self.event_count += 1;
                self.in_flight
                    .insert((at, self.event_count), (to, datagram));
            }
        }
    }

    fn count_crash_traffic(&mut self, datagram: &Datagram) {
        if matches!(
            datagram.message,
            Message::Crashes { .. } | Message::CrashesRequest { .. }
        ) {
            let bytes = postcard::to_stdvec(datagram).expect("it serializes");
            self.crash_traffic = (self.crash_traffic.0 + 1, self.crash_traffic.1 + bytes.len());
        }
    }

    /// Carries out the actions that the daemons decide for each call.
    fn poll_calls(&mut self, ended: &mut Vec<Ended>) {
        for index in 0..self.calls.len() {
            let call = &mut self.calls[index];
            let Some(permit) = &mut call.permit else {
                continue;
            };
            if !permit.open {
                call.permit = None;
                ended.push(Ended::new(call.name, Outcome::Served));
                continue;
            }
            match permit.next().now_or_never() {
                Some(Some(RouteAction::Send {
                    attempt, upstream, ..
                })) => self.send(index, attempt, &upstream),
                Some(Some(RouteAction::Cancel { .. })) => self.cancel(index),
                Some(Some(RouteAction::Refuse { kind, .. })) => {
                    let name = call.name;
                    call.permit = None;
                    let outcome = Outcome::Refused(kind.answer().status);
                    let blocked = kind == ErrorKind::EndsUpstreams;
                    ended.push(Ended {
                        blocked,
                        ..Ended::new(name, outcome)
                    });
                }
                Some(None) | None => self.expire(index, ended),
            }
        }
    }

    fn expire(&mut self, index: usize, ended: &mut Vec<Ended>) {
        let call = &mut self.calls[index];
        if self.daemons[call.daemon].gw.now() < call.job.deadline {
            return;
        }
        call.permit = None;
        let name = call.name;
        let outcome = Outcome::Refused(ErrorKind::TimedOut.answer().status);
        ended.push(Ended::new(name, outcome));
        self.cancel(index);
    }

    fn cancel(&mut self, index: usize) {
        for server in &mut self.servers {
            server.work.retain(|w| w.0 != index);
        }
    }

    fn send(&mut self, index: usize, attempt: u32, upstream: &Upstream) {
        let (queue_time, run_time, crash_delay) = (
            self.draw(QUEUE_MS),
            self.draw(RUN_MS),
            self.draw(CRASH_DELAY_MS),
        );
        let now = self.now();
        let call = &mut self.calls[index];
        let gw = &self.daemons[call.daemon].gw;
        call.sent = Some(gw.begin_send(attempt, upstream));
        call.begun = false;
        let server = self.servers.iter_mut().rfind(|s| s.name == *upstream);
        let Some(server) = server.filter(|s| s.up) else {
            self.fail(index, Failure::NotSent);
            return;
        };
        if call.kind == Kind::Fatal {
            self.fatal_arrivals.push(now);
        }
        let starts_at = now + queue_time;
        let duration = match call.kind {
            Kind::Fatal => crash_delay,
            Kind::Harmless => run_time,
        };
        server.work.push((index, starts_at, starts_at + duration));
    }
}

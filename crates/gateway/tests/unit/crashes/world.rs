//! Daemons, upstreams and callers in simulated time: the daemons' own code, without a socket.
//!
//! Datagrams between daemons take a few milliseconds and some are lost; an upstream that ended is
//! listed for a while, refuses connections, and starts again after two seconds.

mod servers;

use super::border;
use crate::attempt::{note_failure, Failure};
use crate::crash_probe::SentAttempt;
use crate::gossip::{on_datagram, periodic_messages, Addressed};
use crate::job::Job;
use crate::message::{Datagram, Message};
use crate::request::Permit;
use crate::roster::EntryRecord;
use crate::selector::Selector;
use crate::start::run_tick;
use crate::state::{Gateway, Platform};
use crate::unit::hand::Hand;
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

/// The daemons know each other and their hubs so long after the start.
pub const SETTLED: u64 = 4_000;

/// How often each daemon looks at what time alone changes.
const TICK: u64 = 10;

/// A datagram takes so long, in milliseconds.
const WAY: (u64, u64) = (1, 4);

/// One datagram in so many is lost.
const LOST: u32 = 40;

/// How long a request waits at an upstream before it runs, and how long it then takes.
const WAITS: (u64, u64) = (20, 120);
const RUNS: (u64, u64) = (200, 1_500);

/// A request that ends its upstream does so this long after it began to run.
const FATAL: (u64, u64) = (30, 110);

/// A caller's time.
const PATIENCE: u64 = 5_000;

struct Daemon {
    gw: Rc<Gateway>,
    outbox: mpsc::UnboundedReceiver<Addressed>,
    address: SocketAddr,
    round: u64,
    alive: bool,
}

/// What a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It ends each upstream that runs it.
    Fatal,
    /// It does no harm.
    Sound,
}

/// How an attempt of a caller ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    Served,
    /// Told with this status.
    Told(u16),
}

/// One attempt of a caller.
struct Call {
    name: u64,
    kind: Kind,
    daemon: usize,
    job: Rc<Job>,
    permit: Option<Permit>,
    sent: Option<SentAttempt>,
}

/// An attempt that has ended.
pub struct Ended {
    /// Which request it was an attempt of.
    pub name: u64,
    pub outcome: Outcome,
}

pub struct World {
    hand: Rc<Hand>,
    clock: Clock,
    rng: SmallRng,
    daemons: Vec<Daemon>,
    servers: Vec<Server>,
    calls: Vec<Call>,
    /// Datagrams on their way, and entries that daemons come to know.
    wire: BTreeMap<(u64, u64), (SocketAddr, Datagram)>,
    entries: BTreeMap<(u64, u64), (usize, EntryRecord)>,
    /// Upstreams that start again.
    starts: Vec<(u64, usize)>,
    count: u64,
    /// The upstreams that a fatal request ended.
    pub fatal_ends: usize,
    /// Datagrams about such requests, and their bytes.
    pub told: (usize, usize),
}

fn rule(repeat: Repeat) -> RouteRule {
    RouteRule {
        public: false,
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        repeat,
        timeout: Millis(PATIENCE),
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
            retry_ratio: 0.2,
            retry_extra: 52.0,
            load_window: Millis(5_000),
            load_over: 1.1,
        },
        policy: Policy::default(),
    }
}

/// A caller's request for what its head says.
pub fn job(head: Head, service: Service, now: Millis) -> Job {
    Job {
        org: None,
        charge: None,
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
        came_back: false,
        deadline: now.plus(PATIENCE),
    }
}

fn identity(name: u64) -> Identity {
    Identity::of("caller", &[&name.to_le_bytes()])
}

impl World {
    /// Daemons in three data centres before so many upstreams of one service.
    pub fn new(daemons: usize, servers: usize, seed: u64) -> Self {
        let hand = Rc::new(Hand::default());
        let time: Rc<dyn TimeSource> = hand.clone();
        let mut world = Self {
            clock: Clock::from_time(time),
            hand,
            rng: SmallRng::seed_from_u64(seed),
            daemons: Vec::new(),
            servers: Vec::new(),
            calls: Vec::new(),
            wire: BTreeMap::new(),
            entries: BTreeMap::new(),
            starts: Vec::new(),
            count: 0,
            fatal_ends: 0,
            told: (0, 0),
        };
        for index in 0..daemons {
            world.add_daemon(index);
        }
        for _ in 0..servers {
            world.start_server();
        }
        world.run(SETTLED);
        world
    }

    pub fn now(&self) -> u64 {
        self.hand.0.get()
    }

    fn draw(&mut self, (least, most): (u64, u64)) -> u64 {
        self.rng.random_range(least..=most)
    }

    /// Starts a daemon that knows the others by name.
    pub fn add_daemon(&mut self, index: usize) {
        let address = SocketAddr::from(([10, 0, (index / 200) as u8, 1 + (index % 200) as u8], 1));
        let (outbox, messages) = mpsc::unbounded_channel();
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let border = Platform {
            codec: Box::new(border::NoCodec),
            store: Box::new(border::NoStore),
        };
        let settings = settings(index, address);
        let gw = Gateway::with_clock(settings, border, outbox, self.clock.clone(), rng);
        let gw = gw.expect("a gateway");
        let now = gw.now();
        for other in &self.daemons {
            other.gw.mesh.borrow_mut().learn_member(&gw.me, now);
            gw.mesh.borrow_mut().learn_member(&other.gw.me, now);
        }
        let daemon = Daemon {
            gw,
            outbox: messages,
            address,
            round: self.now() + (index as u64 * 7) % 100,
            alive: true,
        };
        if index < self.daemons.len() {
            self.daemons[index] = daemon;
        } else {
            self.daemons.push(daemon);
        }
        for server in 0..self.servers.len() {
            if self.servers[server].up {
                let seen = self.seen(server, true);
                self.daemons[index].gw.apply_entries(vec![seen], now);
            }
        }
    }

    /// Ends a daemon's process; how many callers lose their answers.
    pub fn kill_daemon(&mut self, index: usize) -> usize {
        self.daemons[index].alive = false;
        let mut lost = 0;
        for call in self.calls.iter_mut().filter(|c| c.daemon == index) {
            lost += usize::from(call.permit.take().is_some());
        }
        lost
    }

    /// Cuts a daemon off from all others, or ends that.
    pub fn cut_off(&mut self, index: usize, on: bool) {
        self.daemons[index].alive = !on;
    }

    /// Whether the daemon that chooses sends a request no more.
    pub fn is_blocked(&self, name: u64) -> bool {
        let router = self.daemons[self.chooser()].gw.router.borrow();
        router.crashes().crash_count(&identity(name).request) >= MAX_CRASHES
    }

    /// One of so many.
    pub fn pick(&mut self, of: usize) -> usize {
        self.rng.random_range(0..of)
    }

    /// The daemon that most others ask which upstream to send to, as one of them believes.
    pub fn chooser(&self) -> usize {
        let now = self.daemons[0].gw.now();
        let asked = |d: &Daemon| match d.gw.mesh.borrow_mut().chooser("svc", |_| true, now) {
            Selector::Remote(address) => Some(address),
            Selector::Local => Some(d.address),
            Selector::NoHub => None,
        };
        let address = self.daemons.iter().filter(|d| d.alive).find_map(asked);
        let found = self.daemons.iter().position(|d| Some(d.address) == address);
        found.expect("a daemon chooses")
    }

    pub fn daemons(&self) -> usize {
        self.daemons.len()
    }

    /// Datagrams from anybody to a daemon, or from it, are lost while it is cut off.
    fn is_lost(&mut self, to: SocketAddr) -> bool {
        let dead = |d: &Daemon| d.address == to && !d.alive;
        self.rng.random_ratio(1, LOST) || self.daemons.iter().any(dead)
    }

    /// A caller's attempt of a request, at a daemon.
    pub fn call(&mut self, name: u64, kind: Kind, repeat: Repeat, daemon: usize) {
        let gw = Rc::clone(&self.daemons[daemon].gw);
        let now = gw.now();
        let job = Job {
            identity: identity(name),
            rule: rule(repeat),
            ..job(
                Head::default(),
                Service::from_text("svc").expect("a valid name"),
                now,
            )
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
        });
    }

    /// A daemon that lives.
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
            note_failure(gw, &call.job, permit, &sent, failure);
        }
    }

    /// Lets so much time go by; the attempts that ended meanwhile.
    pub fn run(&mut self, millis: u64) -> Vec<Ended> {
        let mut ended = Vec::new();
        for _ in 0..millis {
            self.hand.0.set(self.now() + 1);
            self.deliver();
            self.start_again();
            self.work();
            self.look(&mut ended);
        }
        ended
    }

    fn deliver(&mut self) {
        let now = self.now();
        while let Some(entry) = self.entries.first_entry().filter(|e| e.key().0 <= now) {
            let (daemon, seen) = entry.remove();
            let gw = &self.daemons[daemon].gw;
            gw.apply_entries(vec![seen], gw.now());
        }
        while let Some(entry) = self.wire.first_entry().filter(|e| e.key().0 <= now) {
            let (to, datagram) = entry.remove();
            let there = self.daemons.iter().find(|d| d.address == to && d.alive);
            if let Some(daemon) = there {
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
        if daemon.alive && (now + index as u64) % TICK == 0 {
            run_tick(&daemon.gw, TICK);
        }
        if daemon.alive && now >= daemon.round {
            daemon.round = now + daemon.gw.report_interval().0;
            out.extend(periodic_messages(&daemon.gw));
        }
        while let Ok(messages) = daemon.outbox.try_recv() {
            out.extend(messages);
        }
        if !self.daemons[index].alive {
            return;
        }
        for (to, datagram) in out {
            self.count_told(&datagram);
            if !self.is_lost(to) {
                let at = now + self.draw(WAY);
                self.count += 1;
                self.wire.insert((at, self.count), (to, datagram));
            }
        }
    }

    fn count_told(&mut self, datagram: &Datagram) {
        if matches!(
            datagram.message,
            Message::Crashes { .. } | Message::CrashesRequest { .. }
        ) {
            let bytes = postcard::to_stdvec(datagram).expect("it serializes");
            self.told = (self.told.0 + 1, self.told.1 + bytes.len());
        }
    }

    /// Does what the daemons say of each call.
    fn look(&mut self, ended: &mut Vec<Ended>) {
        for index in 0..self.calls.len() {
            let call = &mut self.calls[index];
            let Some(permit) = &mut call.permit else {
                continue;
            };
            if !permit.open {
                call.permit = None;
                let (name, outcome) = (call.name, Outcome::Served);
                ended.push(Ended { name, outcome });
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
                    let outcome = Outcome::Told(kind.answer().status);
                    ended.push(Ended { name, outcome });
                }
                Some(None) | None => self.give_up_late(index, ended),
            }
        }
    }

    fn give_up_late(&mut self, index: usize, ended: &mut Vec<Ended>) {
        let call = &mut self.calls[index];
        if self.daemons[call.daemon].gw.now() < call.job.deadline {
            return;
        }
        call.permit = None;
        let name = call.name;
        let outcome = Outcome::Told(ErrorKind::TimedOut.answer().status);
        ended.push(Ended { name, outcome });
        self.cancel(index);
    }

    fn cancel(&mut self, index: usize) {
        for server in &mut self.servers {
            server.work.retain(|w| w.0 != index);
        }
    }

    fn send(&mut self, index: usize, attempt: u32, upstream: &Upstream) {
        let (waits, runs, fatal) = (self.draw(WAITS), self.draw(RUNS), self.draw(FATAL));
        let now = self.now();
        let call = &mut self.calls[index];
        let gw = &self.daemons[call.daemon].gw;
        call.sent = Some(gw.begin_send(attempt, upstream));
        let server = self.servers.iter_mut().rfind(|s| s.name == *upstream);
        let Some(server) = server.filter(|s| s.up) else {
            self.fail(index, Failure::NotSent);
            return;
        };
        let begins = now + waits;
        let lasts = match call.kind {
            Kind::Fatal => fatal,
            Kind::Sound => runs,
        };
        server.work.push((index, begins, begins + lasts));
    }
}

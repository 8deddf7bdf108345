//! A simulated cluster of daemons, upstreams of two software versions, and callers that resume
//! their streams at any daemon. It runs the daemons' own code without sockets.

use crate::gossip::{on_datagram, periodic_messages, Addressed};
use crate::message::Datagram;
use crate::roster::EntryRecord;
use crate::start::run_tick;
use crate::state::{Gateway, Platform};
use crate::stream_versions::{Found, StreamKey};
use crate::unit::crashes::cluster::{job, rule, settings, TIMEOUT_MS};
use crate::unit::crashes::null_platform::{StubCodec, UnavailableStore};
use crate::unit::manual_clock::ManualClock;
use crate::version_store::{StoredVersions, VersionCall, VersionRecords};
use crate::{CallerLimits, Entry, GatewaySettings, Head, Repeat, RouteRule, Table};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_edge::{Clock, TimeSource};
use shaleline_types::{
    DataCentre, Incarnation, Millis, Position, Service, SoftwareVersion, Upstream,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

const DAEMONS: usize = 9;
pub const CENTRES: usize = 3;

/// The number of upstreams of each version.
const UPSTREAMS: usize = 2;

/// The time after the start at which the daemons know each other and their hubs.
const SETTLE_MS: u64 = 4_000;

/// The interval of the ticks of each daemon, and of its reads of the list of upstreams.
const TICK_MS: u64 = 10;
const READ_MS: u64 = 500;

/// The interval at which each daemon checks whether it has to call the store.
const STORE_CHECK_MS: u64 = 200;

/// The bounds of the time that a datagram takes in transit, and of the time until a daemon has read
/// a change of the list.
const TRANSIT_MS: (u64, u64) = (1, 4);
const CHANGE_MS: (u64, u64) = (1, 900);

/// The bounds of the time for which a stream runs, and of the time until its caller resumes it where
/// a play sets no other.
const RUN_MS: (u64, u64) = (50, 2_500);
const RETURN_MS: (u64, u64) = (5, 1_000);

/// The time between two new streams.
const ARRIVAL_MS: u64 = 25;

/// The most attempts of a caller.
const ATTEMPTS: usize = 4;

struct Daemon {
    gw: Rc<Gateway>,
    outbox: mpsc::UnboundedReceiver<Addressed>,
    address: SocketAddr,
    next_report: u64,
    stored: StoredVersions,
    /// Until when it exchanges no datagrams and reads nothing.
    cut_until: u64,
    /// Until when it does nothing; what arrives meanwhile waits.
    paused_until: u64,
}

enum Stage {
    /// An upstream sends events until then.
    Runs {
        daemon: usize,
        until: u64,
    },
    /// Its caller resumes it then.
    Broken {
        until: u64,
    },
    /// It waits at a daemon that is paused.
    Held {
        daemon: usize,
    },
    /// A daemon finds out its version.
    Asked {
        daemon: usize,
        answer: oneshot::Receiver<Option<Found>>,
    },
    Ended,
}

struct Stream {
    number: u64,
    attempts: usize,
    version: SoftwareVersion,
    stage: Stage,
    /// Whether all its daemons were in touch, and two upstreams of its version served.
    counts: bool,
}

pub struct Cluster {
    manual_clock: Rc<ManualClock>,
    clock: Clock,
    rng: SmallRng,
    daemons: Vec<Daemon>,
    streams: Vec<Stream>,
    in_flight: BTreeMap<(u64, u64), (SocketAddr, Datagram)>,
    /// Changes of the list, with the time at which a daemon reads them.
    changes: BTreeMap<(u64, u64), (usize, EntryRecord)>,
    /// The number of datagrams of which one is lost.
    loss_interval: u32,
    /// The data centre that is cut off, and until when.
    island: (usize, u64),
    listed: BTreeMap<Upstream, SoftwareVersion>,
    count: u64,
    /// The version of the configuration, and the timeout of its route.
    config: (u64, Millis),
    /// What the store has of the versions of services, and whether it answers.
    records: VersionRecords,
    pub is_store_up: bool,
    /// The calls to the store.
    pub reads: usize,
    pub writes: usize,
    /// The timeout of callers, if they name one, and the bounds of the time until they return.
    pub patience: Option<Millis>,
    pub return_ms: (u64, u64),
    /// Streams that are resumed at daemons in touch while two upstreams of their version serve, and
    /// how many of these go on.
    pub resumed: usize,
    pub went_on: usize,
    /// Streams of an upstream of another version than the one that began them.
    pub mixed: usize,
}

pub fn service() -> Service {
    Service::from_text("svc").expect("a valid name")
}

pub fn version(number: usize) -> SoftwareVersion {
    SoftwareVersion::new(Some(format!("3.{number}")))
}

fn centre(number: usize) -> DataCentre {
    DataCentre::from_text(&format!("dc{}", number % CENTRES)).expect("a valid name")
}

fn table(version: u64, timeout: Millis) -> Table {
    Table {
        orgs: None,
        version,
        rules: vec![RouteRule {
            services: vec![(service(), 1)],
            timeout,
            ..rule(Repeat::Stream { resumable: true })
        }],
        services: BTreeMap::new(),
        limits: CallerLimits {
            head: 16_384,
            body: 1 << 20,
            arrival: Millis(1_000),
            idle: Millis(10_000),
        },
    }
}

impl Cluster {
    pub fn new(seed: u64, loss_interval: u32) -> Self {
        let manual_clock = Rc::new(ManualClock::default());
        let time: Rc<dyn TimeSource> = manual_clock.clone();
        let mut cluster = Self {
            clock: Clock::from_time(time),
            manual_clock,
            rng: SmallRng::seed_from_u64(seed),
            daemons: Vec::new(),
            streams: Vec::new(),
            in_flight: BTreeMap::new(),
            changes: BTreeMap::new(),
            loss_interval,
            island: (0, 0),
            listed: BTreeMap::new(),
            count: 0,
            config: (1, Millis(TIMEOUT_MS)),
            records: VersionRecords::new(),
            is_store_up: true,
            reads: 0,
            writes: 0,
            patience: None,
            return_ms: RETURN_MS,
            resumed: 0,
            went_on: 0,
            mixed: 0,
        };
        for index in 0..DAEMONS {
            let daemon = cluster.start_daemon(index);
            cluster.daemons.push(daemon);
        }
        cluster.run(SETTLE_MS);
        cluster
    }

    fn now(&self) -> u64 {
        self.manual_clock.0.get()
    }

    pub fn draw(&mut self, (least, most): (u64, u64)) -> u64 {
        self.rng.random_range(least..=most)
    }

    pub fn draw_daemon(&mut self) -> usize {
        self.rng.random_range(0..DAEMONS)
    }

    fn start_daemon(&mut self, index: usize) -> Daemon {
        let address = SocketAddr::from(([10, 0, 0, 1 + index as u8], 1));
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
        let (version, timeout) = self.config;
        gw.set_table(table(version, timeout));
        let now = gw.now();
        for other in self.daemons.iter().filter(|d| d.address != address) {
            other.gw.membership.borrow_mut().learn_member(&gw.me, now);
            gw.membership.borrow_mut().learn_member(&other.gw.me, now);
        }
        let listed = self.listed.clone().into_iter();
        let records = listed.map(|(name, version)| self.record(name, Some(version)));
        gw.apply_entries(records.collect(), now);
        Daemon {
            gw,
            outbox: messages,
            address,
            next_report: self.now() + (index as u64 * 7) % 100,
            stored: StoredVersions::default(),
            cut_until: 0,
            paused_until: 0,
        }
    }

    fn record(&self, name: Upstream, version: Option<SoftwareVersion>) -> EntryRecord {
        let entry = |version| Entry {
            service: service(),
            address: SocketAddr::from(([10, 1, 0, 1], 80)),
            centre: centre(0),
            slots: 6,
            leaving: false,
            held: None,
            incarnation: Incarnation::default(),
            version,
            remaining: None,
        };
        EntryRecord {
            name,
            position: Position::new(0, self.now()),
            entry: version.map(entry),
        }
    }

    /// Lists the upstreams of a version, or removes them.
    pub fn list(&mut self, number: usize, on: bool) {
        for index in 0..UPSTREAMS {
            let name = format!("i-{number}-{index}");
            let name = Upstream::from_text(&name).expect("a valid name");
            let version = on.then(|| version(number));
            let record = self.record(name.clone(), version.clone());
            match version {
                Some(version) => self.listed.insert(name, version),
                None => self.listed.remove(&name),
            };
            for daemon in 0..DAEMONS {
                let cut_until = self.daemons[daemon].cut_until;
                let at = self.now().max(cut_until) + self.draw(CHANGE_MS);
                self.count += 1;
                let key = (at, self.count);
                self.changes.insert(key, (daemon, record.clone()));
            }
        }
    }

    /// Puts a version of the configuration into force that changes the timeout of the route.
    pub fn set_timeout(&mut self, timeout: Millis) {
        self.config = (self.config.0 + 1, timeout);
        for daemon in &self.daemons {
            daemon.gw.set_table(table(self.config.0, timeout));
        }
    }

    /// Kills a daemon and starts it again.
    pub fn restart(&mut self, index: usize) {
        let until = self.now() + self.draw(self.return_ms);
        for stream in &mut self.streams {
            match stream.stage {
                Stage::Runs { daemon, .. } if daemon == index => {
                    stream.stage = Stage::Broken { until };
                }
                Stage::Asked { daemon, .. } if daemon == index => stream.stage = Stage::Ended,
                _ => {}
            }
        }
        self.daemons[index] = self.start_daemon(index);
    }

    /// Kills all daemons and starts them again.
    pub fn restart_all(&mut self) {
        self.in_flight.clear();
        (0..DAEMONS).for_each(|index| self.restart(index));
    }

    /// Cuts a daemon off from all others, and from the list, for some time.
    pub fn cut(&mut self, index: usize, millis: u64) {
        self.daemons[index].cut_until = self.now() + millis;
    }

    /// Cuts the daemons of a data centre off from the others and from the list. They reach each other.
    pub fn cut_centre(&mut self, number: usize, millis: u64) {
        self.island = (number, self.now() + millis);
    }

    /// Stops a daemon for some time. When it goes on, requests come before datagrams.
    pub fn pause(&mut self, index: usize, millis: u64) {
        self.daemons[index].paused_until = self.now() + millis;
    }

    fn is_on_island(&self, index: usize) -> bool {
        let (number, until) = self.island;
        self.now() < until && index % CENTRES == number
    }

    fn is_paused(&self, index: usize) -> bool {
        self.now() <= self.daemons[index].paused_until
    }

    /// Advances the time.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.manual_clock.0.set(self.now() + 1);
            self.deliver();
            for index in 0..DAEMONS {
                self.tick_daemon(index);
            }
            if self.now() > SETTLE_MS && self.now() % ARRIVAL_MS == 0 {
                self.begin_stream();
            }
            for index in 0..self.streams.len() {
                self.step_stream(index);
            }
            let open = |s: &Stream| !matches!(s.stage, Stage::Ended);
            self.streams.retain(open);
        }
    }

    /// The streams that count as resumed and whose daemons have not found out the version yet.
    pub fn unanswered(&self) -> usize {
        let asked = |s: &&Stream| s.counts && matches!(s.stage, Stage::Asked { .. });
        self.streams.iter().filter(asked).count()
    }

    fn deliver(&mut self) {
        let now = self.now();
        while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= now) {
            let ((_, number), (to, datagram)) = entry.remove_entry();
            let Some(index) = self.daemons.iter().position(|d| d.address == to) else {
                continue;
            };
            if self.is_paused(index) {
                let later = (self.daemons[index].paused_until + 1, number);
                self.in_flight.insert(later, (to, datagram));
            } else {
                on_datagram(&self.daemons[index].gw, datagram);
            }
        }
        while let Some(entry) = self.changes.first_entry().filter(|e| e.key().0 <= now) {
            let ((_, number), (index, record)) = entry.remove_entry();
            if self.is_paused(index) || self.is_on_island(index) {
                let later = now.max(self.daemons[index].paused_until) + 1;
                self.changes.insert((later, number), (index, record));
                continue;
            }
            let gw = &self.daemons[index].gw;
            gw.apply_entries(vec![record], gw.now());
        }
    }

    /// Makes the calls of a daemon to the store.
    fn call_store(&mut self, index: usize) {
        let Daemon { gw, stored, .. } = &mut self.daemons[index];
        while let Some(call) = stored.next_call(gw) {
            if !self.is_store_up {
                return;
            }
            match call {
                VersionCall::Read => {
                    self.reads += 1;
                    stored.on_read(gw, self.records.clone());
                }
                VersionCall::Write(service, record) => {
                    self.writes += 1;
                    self.records.insert(service.clone(), record.clone());
                    stored.on_written(service, record);
                }
            }
        }
    }

    fn tick_daemon(&mut self, index: usize) {
        if self.is_paused(index) {
            return;
        }
        let now = self.now();
        let on_island = self.is_on_island(index);
        let daemon = &mut self.daemons[index];
        let gw = &daemon.gw;
        let reads = !on_island && now >= daemon.cut_until;
        if reads && (now + index as u64) % READ_MS == 0 {
            let mut reading = gw.reading.borrow_mut();
            let position = reading.followed_position();
            reading.on_entries(position, gw.now());
            reading.on_config(Position::default(), gw.now());
        }
        let mut out = Vec::new();
        if (now + index as u64) % TICK_MS == 0 {
            run_tick(gw, TICK_MS);
        }
        if reads && (now + index as u64) % STORE_CHECK_MS == 0 {
            self.call_store(index);
        }
        let daemon = &mut self.daemons[index];
        let gw = &daemon.gw;
        if now >= daemon.next_report {
            daemon.next_report = now + gw.report_interval().0;
            out.extend(periodic_messages(gw));
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
        let receiver = self.daemons.iter().position(|d| d.address == to);
        let crosses = |to: usize| self.is_on_island(from) != self.is_on_island(to);
        let cut = is_cut(&self.daemons[from])
            || receiver.is_none_or(|r| is_cut(&self.daemons[r]) || crosses(r));
        if cut || self.rng.random_ratio(1, self.loss_interval) {
            return;
        }
        let at = now + self.draw(TRANSIT_MS);
        self.count += 1;
        self.in_flight.insert((at, self.count), (to, datagram));
    }

    fn begin_stream(&mut self) {
        self.count += 1;
        let mut stream = Stream {
            number: self.count,
            attempts: 0,
            version: SoftwareVersion::default(),
            stage: Stage::Ended,
            counts: true,
        };
        let daemon = self.draw_daemon();
        if let Some((upstream, version)) = self.select(daemon, None) {
            stream.version = version;
            self.send(&mut stream, daemon, &upstream);
            self.streams.push(stream);
        }
    }

    /// An upstream that a daemon lists.
    fn select(
        &mut self,
        daemon: usize,
        bound: Option<&SoftwareVersion>,
    ) -> Option<(Upstream, SoftwareVersion)> {
        let roster = self.daemons[daemon].gw.roster.borrow();
        let fits = |(_, e): &(&Upstream, &Entry)| bound.is_none_or(|v| e.version == *v);
        let fitting: Vec<(&Upstream, &Entry)> = roster.iter().filter(fits).collect();
        if fitting.is_empty() {
            return None;
        }
        let (name, entry) = fitting[self.rng.random_range(0..fitting.len())];
        Some((name.clone(), entry.version.clone()))
    }

    /// A stream has its first event from an upstream.
    fn send(&mut self, stream: &mut Stream, daemon: usize, upstream: &Upstream) {
        let until = self.now() + self.draw(RUN_MS);
        let id = |attempt: usize| format!("r{}-{attempt}", stream.number);
        let head = Head {
            id: id(stream.attempts),
            resumes: (stream.attempts > 0).then(|| id(0)),
            patience: self.patience,
            ..Head::default()
        };
        let gw = &self.daemons[daemon].gw;
        let version = gw.version_of(upstream);
        let job = job(head, service(), gw.now());
        gw.record_stream(&job, upstream, &version);
        self.mixed += usize::from(version != stream.version);
        stream.counts &= self.is_in_touch(daemon);
        stream.attempts += 1;
        stream.stage = Stage::Runs { daemon, until };
    }

    /// Whether a daemon has not been cut off recently.
    fn is_in_touch(&self, daemon: usize) -> bool {
        const RECOVERY_MS: u64 = 2_000;
        let Daemon {
            cut_until,
            paused_until,
            ..
        } = self.daemons[daemon];
        let on_island = self.island.1 > 0 && daemon % CENTRES == self.island.0;
        let island_until = if on_island { self.island.1 } else { 0 };
        let until = cut_until.max(paused_until).max(island_until);
        until == 0 || self.now() >= until + RECOVERY_MS
    }

    fn step_stream(&mut self, index: usize) {
        let now = self.now();
        match &mut self.streams[index].stage {
            Stage::Runs { daemon, until } if *until <= now => {
                let cut_off = now < self.daemons[*daemon].cut_until;
                let until = now + self.draw(self.return_ms);
                let stream = &mut self.streams[index];
                stream.counts &= !cut_off;
                stream.stage = Stage::Broken { until };
            }
            Stage::Broken { until } if *until <= now => {
                let daemon = self.draw_daemon();
                self.resume(index, daemon);
            }
            Stage::Held { daemon } => {
                let daemon = *daemon;
                self.resume(index, daemon);
            }
            Stage::Asked { daemon, answer } => {
                let daemon = *daemon;
                if let Ok(found) = answer.try_recv() {
                    self.go_on(index, daemon, found);
                }
            }
            _ => {}
        }
    }

    fn resume(&mut self, index: usize, daemon: usize) {
        let in_touch = self.is_in_touch(daemon);
        let is_held = self.now() < self.daemons[daemon].paused_until;
        let stream = &mut self.streams[index];
        if is_held {
            stream.stage = Stage::Held { daemon };
            return;
        }
        if stream.attempts == ATTEMPTS {
            stream.stage = Stage::Ended;
            return;
        }
        let serving = self.listed.values().filter(|v| **v == stream.version);
        stream.counts &= in_touch && serving.count() == UPSTREAMS;
        self.resumed += usize::from(stream.counts);
        let key = StreamKey::of(&format!("r{}-0", stream.number));
        let answer = self.daemons[daemon].gw.look_up(key, &service());
        stream.stage = Stage::Asked { daemon, answer };
    }

    fn go_on(&mut self, index: usize, daemon: usize, found: Option<Found>) {
        let upstream = found.and_then(|f| self.select(daemon, Some(&f.version)));
        let mut stream = self.streams.swap_remove(index);
        match upstream {
            Some((upstream, _)) => {
                self.went_on += usize::from(stream.counts);
                self.send(&mut stream, daemon, &upstream);
            }
            None => stream.stage = Stage::Ended,
        }
        self.streams.push(stream);
    }
}

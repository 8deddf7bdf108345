//! A simulated cluster of daemons that follow each other or read the list of upstreams from a store that
//! is away at times. It runs the daemons' own code without sockets.

use crate::follow::{apply_copy, apply_read};
use crate::gossip::{on_datagram, periodic_messages, Addressed};
use crate::handover::entries_copy;
use crate::message::Datagram;
use crate::roster::EntryRecord;
use crate::start::run_tick;
use crate::state::{Gateway, Platform};
use crate::unit::crashes::cluster::{rule, settings};
use crate::unit::crashes::null_platform::{StubCodec, UnavailableStore};
use crate::unit::manual_clock::ManualClock;
use crate::{CallerLimits, Entry, GatewaySettings, Repeat, RouteRule, ServiceRule, Table};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_edge::{Clock, TimeSource};
use shaleline_types::{
    DataCentre, Incarnation, Millis, Position, Service, SoftwareVersion, Upstream,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

const CENTRES: usize = 3;
const DAEMONS: usize = 6;
const UPSTREAMS: usize = 4;

/// The interval of the ticks of each daemon.
const TICK_MS: u64 = 10;

/// The bounds of the time that a datagram takes in transit, and of the pauses of a daemon that follows,
/// that has read the list, and that the store did not answer.
const TRANSIT_MS: (u64, u64) = (1, 4);
const FOLLOW_MS: (u64, u64) = (175, 175);
const READ_MS: (u64, u64) = (612, 700);
const BACK_OFF_MS: (u64, u64) = (150, 300);

/// The time after which an entry lapses that is not written again.
const LAPSE_MS: u64 = 3_600;

struct Daemon {
    gw: Rc<Gateway>,
    outbox: mpsc::UnboundedReceiver<Addressed>,
    address: SocketAddr,
    next_report: u64,
    next_read: u64,
    /// The offset up to which it has read the store, if it has.
    read_to: Option<usize>,
    /// Whether the store did not answer its last read.
    failing: bool,
}

pub struct Cluster {
    manual_clock: Rc<ManualClock>,
    clock: Clock,
    rng: SmallRng,
    daemons: Vec<Daemon>,
    in_flight: BTreeMap<(u64, u64), (SocketAddr, Datagram)>,
    count: u64,
    /// The number of datagrams of which one is lost.
    loss_interval: u32,
    /// The store's log: which upstream was listed or removed.
    log: Vec<(usize, bool)>,
    is_store_up: bool,
    /// The number of times that a daemon forgot an upstream that was to return.
    pub forgotten: usize,
}

fn upstream(number: usize) -> Upstream {
    Upstream::from_text(&format!("i-{number}")).expect("a valid name")
}

fn centre(number: usize) -> DataCentre {
    DataCentre::from_text(&format!("dc{}", number % CENTRES)).expect("a valid name")
}

fn service() -> Service {
    Service::from_text("svc").expect("a valid name")
}

fn table() -> Table {
    let rule_of_service = ServiceRule {
        connections: 60,
        catalog: None,
    };
    Table {
        orgs: None,
        version: 1,
        rules: vec![RouteRule {
            services: vec![(service(), 1)],
            ..rule(Repeat::Safe)
        }],
        services: BTreeMap::from([(service(), rule_of_service)]),
        limits: CallerLimits {
            head: 16_384,
            body: 1 << 20,
            arrival: Millis(1_000),
            idle: Millis(10_000),
        },
    }
}

fn to_record(offset: usize, number: usize, listed: bool) -> EntryRecord {
    let entry = Entry {
        service: service(),
        address: SocketAddr::from(([10, 1, 0, 1 + number as u8], 80)),
        centre: centre(0),
        slots: 6,
        leaving: false,
        held: None,
        incarnation: Incarnation::default(),
        version: SoftwareVersion::default(),
        remaining: None,
    };
    EntryRecord {
        name: upstream(number),
        position: Position::new(0, offset as u64),
        entry: listed.then_some(entry),
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
            in_flight: BTreeMap::new(),
            count: 0,
            loss_interval,
            log: (0..UPSTREAMS).map(|number| (number, true)).collect(),
            is_store_up: true,
            forgotten: 0,
        };
        for index in 0..DAEMONS {
            let daemon = cluster.start_daemon(index);
            cluster.daemons.push(daemon);
        }
        cluster.run(4_000);
        cluster
    }

    fn now(&self) -> u64 {
        self.manual_clock.0.get()
    }

    pub fn draw(&mut self, (least, most): (u64, u64)) -> u64 {
        self.rng.random_range(least..=most)
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
        gw.set_table(table());
        let now = gw.now();
        for other in self.daemons.iter().filter(|d| d.address != address) {
            other.gw.membership.borrow_mut().learn_member(&gw.me, now);
            gw.membership.borrow_mut().learn_member(&other.gw.me, now);
        }
        Daemon {
            gw,
            outbox: messages,
            address,
            next_report: self.now() + (index as u64 * 7) % 100,
            next_read: self.now() + 300,
            read_to: None,
            failing: false,
        }
    }

    /// Kills a random daemon and starts it again.
    pub fn restart(&mut self) {
        let index = self.rng.random_range(0..DAEMONS);
        self.daemons[index] = self.start_daemon(index);
    }

    /// Makes the store unavailable until all entries have lapsed. Each entry is listed again at a random
    /// time, at most `latest` milliseconds after the store is available.
    pub fn lose_store(&mut self, latest: u64) {
        self.is_store_up = false;
        self.run(LAPSE_MS);
        self.log
            .extend((0..UPSTREAMS).map(|number| (number, false)));
        self.run(900);
        self.is_store_up = true;
        let mut back: Vec<u64> = (0..UPSTREAMS).map(|_| self.draw((0, latest))).collect();
        back.sort_unstable();
        let start = self.now();
        for (number, at) in back.into_iter().enumerate() {
            self.run((start + at).saturating_sub(self.now()));
            self.log.push((number, true));
        }
    }

    /// Removes an upstream for good, or lists it again.
    pub fn set_listed(&mut self, number: usize, listed: bool) {
        self.log.push((number, listed));
    }

    /// The upstreams that the store lists, and those that the list of some daemon has too many or too
    /// few.
    pub fn differences(&self) -> Vec<String> {
        let mut listed = BTreeSet::new();
        for (number, is_listed) in &self.log {
            match is_listed {
                true => listed.insert(upstream(*number)),
                false => listed.remove(&upstream(*number)),
            };
        }
        let mut found = Vec::new();
        for (index, daemon) in self.daemons.iter().enumerate() {
            let roster = daemon.gw.roster.borrow();
            let known: BTreeSet<Upstream> = roster.iter().map(|(n, _)| n.clone()).collect();
            for name in known.symmetric_difference(&listed) {
                found.push(format!("daemon {index}: {name}"));
            }
        }
        found
    }

    /// Advances the time.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.manual_clock.0.set(self.now() + 1);
            self.deliver();
            for index in 0..DAEMONS {
                self.tick_daemon(index);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now();
        while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= now) {
            let (_, (to, datagram)) = entry.remove_entry();
            if let Some(daemon) = self.daemons.iter().find(|d| d.address == to) {
                on_datagram(&daemon.gw, datagram);
            }
        }
    }

    fn tick_daemon(&mut self, index: usize) {
        let now = self.now();
        let gw = Rc::clone(&self.daemons[index].gw);
        if (now + index as u64) % TICK_MS == 0 {
            let before = gw.roster.borrow().iter().count();
            run_tick(&gw, TICK_MS);
            let after = gw.roster.borrow().iter().count();
            self.forgotten += before - after;
        }
        if now >= self.daemons[index].next_read {
            let pause = self.follow(index);
            self.daemons[index].next_read = now + self.draw(pause);
        }
        let daemon = &mut self.daemons[index];
        let mut out = Vec::new();
        if now >= daemon.next_report {
            daemon.next_report = now + gw.report_interval().0;
            out.extend(periodic_messages(&gw));
        }
        while let Ok(messages) = daemon.outbox.try_recv() {
            out.extend(messages);
        }
        for (to, datagram) in out {
            if self.rng.random_ratio(1, self.loss_interval) {
                continue;
            }
            let at = now + self.draw(TRANSIT_MS);
            self.count += 1;
            self.in_flight.insert((at, self.count), (to, datagram));
        }
    }

    /// One round of the task that follows the list; returns the bounds of the pause after it.
    fn follow(&mut self, index: usize) -> (u64, u64) {
        let gw = Rc::clone(&self.daemons[index].gw);
        let reader = gw.is_reader();
        if !reader {
            let follows = gw.follows() && !gw.entries_check.borrow_mut().take_request();
            if follows || self.copy(index) {
                self.daemons[index].read_to = None;
                return FOLLOW_MS;
            }
        }
        if !self.is_store_up {
            self.daemons[index].failing = true;
            gw.roster.borrow_mut().on_store_unstable(gw.now());
            let mut reading = gw.reading.borrow_mut();
            reading.on_entries_failed();
            reading.on_config_failed();
            drop(reading);
            if reader && self.copy(index) {
                self.daemons[index].read_to = None;
            }
            return BACK_OFF_MS;
        }
        self.read(index);
        READ_MS
    }

    /// Takes a copy of the first daemon that has a fresh one.
    fn copy(&mut self, index: usize) -> bool {
        let gw = &self.daemons[index].gw;
        let sources = gw.membership.borrow_mut().sources(gw.now());
        for source in sources {
            let peer = self.daemons.iter().find(|d| d.address == source);
            let copy = peer.and_then(|p| entries_copy(&p.gw));
            if let Some(copy) = copy.filter(|c| c.age < gw.freshness().entries.0) {
                let at = Millis(gw.now().0.saturating_sub(copy.age));
                apply_copy(gw, copy, at);
                let mut reading = gw.reading.borrow_mut();
                reading.on_config_copied(Position::default(), at);
                return true;
            }
        }
        false
    }

    /// Reads the store.
    fn read(&mut self, index: usize) {
        let end = self.log.len();
        let Daemon {
            gw,
            read_to,
            failing,
            ..
        } = &mut self.daemons[index];
        let before = read_to.replace(end);
        let mut newest = BTreeMap::new();
        for (offset, (number, listed)) in self.log.iter().enumerate().skip(before.unwrap_or(0)) {
            newest.insert((before.map(|_| offset), *number), (offset, *listed));
        }
        let records = newest.into_iter();
        let records =
            records.map(|((_, number), (offset, listed))| to_record(offset, number, listed));
        let position = gw.reading.borrow().followed_position();
        if std::mem::take(failing) {
            gw.roster.borrow_mut().on_store_unstable(gw.now());
        }
        apply_read(
            gw,
            records.collect(),
            Position::new(0, end as u64),
            before.is_some(),
        );
        gw.upstreams_known.set(true);
        gw.entries_end.set(Position::new(0, end as u64));
        let mut reading = gw.reading.borrow_mut();
        reading.on_entries(position, gw.now());
        reading.on_config(Position::default(), gw.now());
    }
}

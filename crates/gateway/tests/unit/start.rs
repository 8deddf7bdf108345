//! Tests of daemons that start together and know only a few seed addresses, one of which is
//! unreachable.
//!
//! Discovery avoids the store: with a list of daemons in the store, which each daemon wrote to and
//! read, 295 daemons made 590 calls to the store before the first traffic.

use crate::discovery::KNOWS_HUBS_AFTER_MS;
use crate::membership::{HubStatus, Membership};
use crate::message::{HubReport, LoadReport, Message, Sender};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_types::{DataCentre, Instance, Millis};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const START_MS: u64 = 1_000_000;
const STEP_MS: u64 = 10;

/// The size of the largest deployment: its data centres, its daemons, and the strong daemons of
/// each data centre.
const CENTRES: usize = 5;
const DAEMONS: usize = 295;
const STRONG: usize = 3;

/// The time within which all daemons start: the weakest instances take longest.
const START_SPREAD_MS: u64 = 1_000;

/// The intervals at which a daemon sends a hello and reports its load.
const HELLO_INTERVAL_MS: u64 = 150;
const LOAD_INTERVAL_MS: u64 = 300;

/// One of this many datagrams is lost.
const LOSS_INTERVAL: u32 = 100;

struct Daemon {
    me: Sender,
    membership: Membership,
    started: u64,
    introduced: bool,
    down: bool,
}

struct Cluster {
    daemons: BTreeMap<SocketAddr, Daemon>,
    seeds: Vec<SocketAddr>,
    /// Datagrams by their time of arrival.
    in_flight: BTreeMap<(u64, usize), (SocketAddr, Sender, Message)>,
    sent: usize,
    now: u64,
    rng: SmallRng,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7_000))
}

fn sender(number: usize, incarnation: u64) -> Sender {
    let centre = number % CENTRES;
    let name = |text: String| Instance::from_text(&text).expect("a valid name");
    Sender {
        instance: name(format!("d{number}")),
        centre: DataCentre::from_text(&format!("dc{centre}")).expect("a valid name"),
        incarnation,
        address: address(number),
        strength: u8::from(number < CENTRES * STRONG),
    }
}

impl Cluster {
    fn new() -> Self {
        const SEED: u64 = 20_261_203;
        let mut rng = SmallRng::seed_from_u64(SEED);
        let daemon = |number| {
            let me = sender(number, number as u64 + 1);
            let daemon = Daemon {
                membership: Membership::new(me.clone()),
                me,
                started: START_MS + rng.random_range(0..START_SPREAD_MS),
                introduced: false,
                down: false,
            };
            (address(number), daemon)
        };
        Self {
            daemons: (0..DAEMONS).map(daemon).collect(),
            // No daemon has the last address.
            seeds: vec![address(40), address(81), address(DAEMONS + 7)],
            in_flight: BTreeMap::new(),
            sent: 0,
            now: START_MS,
            rng: SmallRng::seed_from_u64(SEED),
        }
    }

    fn send(&mut self, from: &Sender, to: SocketAddr, message: Message) {
        self.sent += 1;
        if self.rng.random_range(0..LOSS_INTERVAL) > 0 {
            let key = (self.now + STEP_MS, self.sent);
            self.in_flight.insert(key, (to, from.clone(), message));
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let undelivered = self.in_flight.split_off(&(self.now + 1, 0));
        let arrived = std::mem::replace(&mut self.in_flight, undelivered);
        for (to, from, message) in arrived.into_values() {
            for (to, message) in self.deliver(to, &from, message) {
                let from = self.daemons[&to.0].me.clone();
                self.send(&from, to.1, message);
            }
        }
        let addresses: Vec<SocketAddr> = self.daemons.keys().copied().collect();
        for address in addresses {
            self.tick_daemon(address);
        }
    }

    /// Delivers a datagram and returns the messages that the receiver sends in turn, each with its
    /// sender and destination.
    fn deliver(
        &mut self,
        to: SocketAddr,
        from: &Sender,
        message: Message,
    ) -> Vec<((SocketAddr, SocketAddr), Message)> {
        let now = Millis(self.now);
        let mut out = Vec::new();
        let Some(daemon) = self.daemons.get_mut(&to) else {
            return out;
        };
        if daemon.down || daemon.started > self.now {
            return out;
        }
        let membership = &mut daemon.membership;
        membership.on_datagram(from, now);
        match message {
            Message::Hello => {
                let settled = self.now - daemon.started >= KNOWS_HUBS_AFTER_MS;
                if settled || membership.has_hub_contact() {
                    let members = membership.member_list(now);
                    out.push(((to, from.address), Message::Members(members)));
                }
            }
            Message::Members(members) => {
                membership.on_member_list(&members, now);
                daemon.introduced = true;
            }
            Message::Load(report) => {
                let correction = membership.correct_follower(from, now);
                out.extend(correction.map(|c| ((to, from.address), Message::Members(c))));
                membership.on_load(from, report, now);
            }
            Message::CentreLoad(report) => {
                let correction = membership.correct_hub(from, now);
                out.extend(correction.map(|c| ((to, from.address), Message::Members(c))));
                let hub = membership.actual_hub(now).filter(|h| *h != from.address);
                out.extend(hub.map(|h| ((to, h), Message::ForwardedLoad(report.clone()))));
                membership.on_centre_load(from, report, now);
            }
            Message::ForwardedLoad(report) => membership.on_centre_load(from, report, now),
            Message::TotalLoad(report) => {
                let report: HubReport = report;
                membership.on_total_load(from, &report, now);
            }
            _ => {}
        }
        out
    }

    /// Runs the periodic work of a daemon.
    fn tick_daemon(&mut self, address: SocketAddr) {
        let now = self.now;
        let seeds = self.seeds.clone();
        let Some(daemon) = self.daemons.get_mut(&address) else {
            return;
        };
        if daemon.down || daemon.started > now {
            return;
        }
        let age = (now - daemon.started) / STEP_MS * STEP_MS;
        let mut out = Vec::new();
        if !daemon.introduced
            && !daemon.membership.has_hub_contact()
            && age % HELLO_INTERVAL_MS == 0
        {
            let others = seeds.into_iter().filter(|s| *s != address);
            out.extend(others.map(|s| (s, Message::Hello)));
        }
        if age % LOAD_INTERVAL_MS == 0 {
            let own_load = LoadReport {
                daemons: 1,
                ..LoadReport::default()
            };
            out.extend(
                daemon
                    .membership
                    .tick(&own_load, HubStatus::default(), Millis(now)),
            );
        }
        let me = daemon.me.clone();
        for (to, message) in out {
            self.send(&me, to, message);
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    fn alive(&self) -> impl Iterator<Item = &Daemon> {
        self.daemons.values().filter(|d| !d.down)
    }

    fn hubs(&mut self) -> BTreeSet<String> {
        let now = Millis(self.now);
        let alive = self.daemons.values_mut().filter(|d| !d.down);
        let hubs =
            alive.filter_map(|d| d.membership.is_hub(now).then(|| d.me.instance.to_string()));
        hubs.collect()
    }

    /// The distinct numbers of daemons that each daemon takes to be alive.
    fn counts(&self) -> BTreeSet<usize> {
        self.alive().map(|d| d.membership.alive()).collect()
    }

    fn restart(&mut self, address: SocketAddr) {
        let started = self.now + STEP_MS;
        if let Some(daemon) = self.daemons.get_mut(&address) {
            let me = Sender {
                incarnation: daemon.me.incarnation + 10_000,
                ..daemon.me.clone()
            };
            *daemon = Daemon {
                membership: Membership::new(me.clone()),
                me,
                started,
                introduced: false,
                down: false,
            };
        }
    }
}

#[test]
fn daemons_that_start_together_find_hubs() {
    let mut cluster = Cluster::new();
    cluster.run(2_000);
    let unconnected = cluster
        .alive()
        .filter(|d| !d.membership.has_hub_contact())
        .count();
    assert!(
        unconnected <= CENTRES,
        "{unconnected} daemons have no hub contact"
    );
    cluster.run(2_000);
    let hubs = cluster.hubs();
    assert_eq!(hubs.len(), CENTRES, "{hubs:?}");
    let strong = |h: &String| h[1..].parse::<usize>().expect("a number") < CENTRES * STRONG;
    assert!(hubs.iter().all(strong), "{hubs:?}");
    cluster.run(3_000);
    assert_eq!(cluster.counts(), BTreeSet::from([DAEMONS]));
}

/// Each daemon sends a few hellos and then reports to its hub alone.
#[test]
fn discovery_takes_few_datagrams_per_daemon() {
    let mut cluster = Cluster::new();
    cluster.run(3_000);
    assert!(cluster.sent < 40 * DAEMONS, "{} datagrams", cluster.sent);
}

#[test]
fn a_daemon_that_starts_later_finds_its_hub_at_once() {
    let mut cluster = Cluster::new();
    cluster.run(3_000);
    cluster.restart(address(200));
    cluster.run(60);
    assert!(cluster.daemons[&address(200)].introduced);
    let now = Millis(cluster.now);
    let restarted = cluster
        .daemons
        .get_mut(&address(200))
        .expect("the daemon exists");
    assert!(!restarted.membership.is_hub(now));
    cluster.run(2_000);
    assert_eq!(cluster.hubs().len(), CENTRES);
}

#[test]
fn a_stopped_hub_is_replaced_and_returns_after_its_restart() {
    let mut cluster = Cluster::new();
    cluster.run(4_000);
    let before = cluster.hubs();
    let hub = before.first().expect("there are hubs").clone();
    let number: usize = hub[1..].parse().expect("a number");
    cluster
        .daemons
        .get_mut(&address(number))
        .expect("the daemon exists")
        .down = true;
    cluster.run(5_000);
    let after = cluster.hubs();
    assert_eq!(after.len(), CENTRES, "{after:?}");
    assert!(!after.contains(&hub));
    cluster.restart(address(number));
    cluster.run(4_000);
    assert_eq!(cluster.hubs(), before);
    assert_eq!(cluster.counts(), BTreeSet::from([DAEMONS]));
}

#[test]
fn daemons_find_each_other_after_a_restart_of_all() {
    let mut cluster = Cluster::new();
    cluster.run(3_000);
    for number in 0..DAEMONS {
        cluster.restart(address(number));
    }
    cluster.run(4_000);
    assert_eq!(cluster.hubs().len(), CENTRES);
    assert_eq!(cluster.counts(), BTreeSet::from([DAEMONS]));
}

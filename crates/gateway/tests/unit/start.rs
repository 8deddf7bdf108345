//! Daemons that start together and know only the addresses of a few, one of them gone.
//!
//! With every daemon listed in the store, and reading the list, 295 of them made 590 calls
//! before the first traffic.

use crate::discovery::KNOWS_HUBS_AFTER_MS;
use crate::membership::{HubStatus, Membership};
use crate::message::{HubReport, LoadReport, Message, Sender};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_types::{DataCentre, Instance, Millis};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const START: u64 = 1_000_000;
const STEP: u64 = 10;

/// As on the largest deployment: data centres with daemons, three strong ones in each.
const CENTRES: usize = 5;
const DAEMONS: usize = 295;
const STRONG: usize = 3;

/// All are up within this time: the weakest instances take longest to start.
const SPREAD: u64 = 1_000;

/// How often a daemon greets, and tells its load.
const GREET: u64 = 150;
const TELL: u64 = 300;

/// One datagram in so many is lost.
const LOST: u32 = 100;

struct Daemon {
    me: Sender,
    mesh: Membership,
    started: u64,
    introduced: bool,
    down: bool,
}

struct World {
    daemons: BTreeMap<SocketAddr, Daemon>,
    seeds: Vec<SocketAddr>,
    /// Datagrams by when they arrive.
    wire: BTreeMap<(u64, usize), (SocketAddr, Sender, Message)>,
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

impl World {
    fn new() -> Self {
        const SEED: u64 = 20_261_203;
        let mut rng = SmallRng::seed_from_u64(SEED);
        let daemon = |number| {
            let me = sender(number, number as u64 + 1);
            let daemon = Daemon {
                mesh: Membership::new(me.clone()),
                me,
                started: START + rng.random_range(0..SPREAD),
                introduced: false,
                down: false,
            };
            (address(number), daemon)
        };
        Self {
            daemons: (0..DAEMONS).map(daemon).collect(),
            // The last of them is nobody.
            seeds: vec![address(40), address(81), address(DAEMONS + 7)],
            wire: BTreeMap::new(),
            sent: 0,
            now: START,
            rng: SmallRng::seed_from_u64(SEED),
        }
    }

    fn send(&mut self, from: &Sender, to: SocketAddr, message: Message) {
        self.sent += 1;
        if self.rng.random_range(0..LOST) > 0 {
            let key = (self.now + STEP, self.sent);
            self.wire.insert(key, (to, from.clone(), message));
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let later = self.wire.split_off(&(self.now + 1, 0));
        let arrived = std::mem::replace(&mut self.wire, later);
        for (to, from, message) in arrived.into_values() {
            for (to, message) in self.deliver(to, &from, message) {
                let from = self.daemons[&to.0].me.clone();
                self.send(&from, to.1, message);
            }
        }
        let addresses: Vec<SocketAddr> = self.daemons.keys().copied().collect();
        for address in addresses {
            self.act(address);
        }
    }

    /// Hands a datagram over; what its receiver sends for it, each with from where and where to.
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
        let mesh = &mut daemon.mesh;
        mesh.on_datagram(from, now);
        match message {
            Message::Hello => {
                let runs = self.now - daemon.started >= KNOWS_HUBS_AFTER_MS;
                if runs || mesh.has_hub_contact() {
                    let members = mesh.member_list(now);
                    out.push(((to, from.address), Message::Members(members)));
                }
            }
            Message::Members(note) => {
                mesh.on_member_list(&note, now);
                daemon.introduced = true;
            }
            Message::Load(note) => {
                let correction = mesh.correct_follower(from, now);
                out.extend(correction.map(|c| ((to, from.address), Message::Members(c))));
                mesh.on_load(from, note, now);
            }
            Message::CentreLoad(note) => {
                let correction = mesh.correct_hub(from, now);
                out.extend(correction.map(|c| ((to, from.address), Message::Members(c))));
                let hub = mesh.actual_hub(now).filter(|h| *h != from.address);
                out.extend(hub.map(|h| ((to, h), Message::ForwardedLoad(note.clone()))));
                mesh.on_centre_load(from, note, now);
            }
            Message::ForwardedLoad(note) => mesh.on_centre_load(from, note, now),
            Message::TotalLoad(note) => {
                let note: HubReport = note;
                mesh.on_total_load(from, &note, now);
            }
            _ => {}
        }
        out
    }

    /// What a daemon does by itself.
    fn act(&mut self, address: SocketAddr) {
        let now = self.now;
        let seeds = self.seeds.clone();
        let Some(daemon) = self.daemons.get_mut(&address) else {
            return;
        };
        if daemon.down || daemon.started > now {
            return;
        }
        let age = (now - daemon.started) / STEP * STEP;
        let mut out = Vec::new();
        if !daemon.introduced && !daemon.mesh.has_hub_contact() && age % GREET == 0 {
            let others = seeds.into_iter().filter(|s| *s != address);
            out.extend(others.map(|s| (s, Message::Hello)));
        }
        if age % TELL == 0 {
            let own = LoadReport {
                daemons: 1,
                ..LoadReport::default()
            };
            out.extend(daemon.mesh.tick(&own, HubStatus::default(), Millis(now)));
        }
        let me = daemon.me.clone();
        for (to, message) in out {
            self.send(&me, to, message);
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP {
            self.step();
        }
    }

    fn alive(&self) -> impl Iterator<Item = &Daemon> {
        self.daemons.values().filter(|d| !d.down)
    }

    fn hubs(&mut self) -> BTreeSet<String> {
        let now = Millis(self.now);
        let alive = self.daemons.values_mut().filter(|d| !d.down);
        let hubs = alive.filter_map(|d| d.mesh.is_hub(now).then(|| d.me.instance.to_string()));
        hubs.collect()
    }

    /// How many daemons each believes to be alive.
    fn counts(&self) -> BTreeSet<usize> {
        self.alive().map(|d| d.mesh.alive()).collect()
    }

    fn restart(&mut self, address: SocketAddr) {
        let started = self.now + STEP;
        if let Some(daemon) = self.daemons.get_mut(&address) {
            let me = Sender {
                incarnation: daemon.me.incarnation + 10_000,
                ..daemon.me.clone()
            };
            *daemon = Daemon {
                mesh: Membership::new(me.clone()),
                me,
                started,
                introduced: false,
                down: false,
            };
        }
    }
}

#[test]
fn daemons_that_start_together_find_their_hubs() {
    let mut world = World::new();
    world.run(2_000);
    let strange = world.alive().filter(|d| !d.mesh.has_hub_contact()).count();
    assert!(strange <= CENTRES, "{strange} daemons have heard no hub");
    world.run(2_000);
    let hubs = world.hubs();
    assert_eq!(hubs.len(), CENTRES, "{hubs:?}");
    let strong = |h: &String| h[1..].parse::<usize>().expect("a number") < CENTRES * STRONG;
    assert!(hubs.iter().all(strong), "{hubs:?}");
    world.run(3_000);
    assert_eq!(world.counts(), BTreeSet::from([DAEMONS]));
}

/// Each daemon greets a few times, and then tells its hub alone.
#[test]
fn finding_each_other_takes_a_few_datagrams_of_each_daemon() {
    let mut world = World::new();
    world.run(3_000);
    assert!(world.sent < 40 * DAEMONS, "{} datagrams", world.sent);
}

#[test]
fn a_daemon_that_starts_later_knows_its_hub_at_once() {
    let mut world = World::new();
    world.run(3_000);
    world.restart(address(200));
    world.run(60);
    assert!(world.daemons[&address(200)].introduced);
    let now = Millis(world.now);
    let late = world.daemons.get_mut(&address(200)).expect("it is there");
    assert!(!late.mesh.is_hub(now));
    world.run(2_000);
    assert_eq!(world.hubs().len(), CENTRES);
}

#[test]
fn a_hub_that_dies_is_followed_by_one_and_comes_back() {
    let mut world = World::new();
    world.run(4_000);
    let before = world.hubs();
    let hub = before.first().expect("there are hubs").clone();
    let number: usize = hub[1..].parse().expect("a number");
    world
        .daemons
        .get_mut(&address(number))
        .expect("it is there")
        .down = true;
    world.run(5_000);
    let after = world.hubs();
    assert_eq!(after.len(), CENTRES, "{after:?}");
    assert!(!after.contains(&hub));
    world.restart(address(number));
    world.run(4_000);
    assert_eq!(world.hubs(), before);
    assert_eq!(world.counts(), BTreeSet::from([DAEMONS]));
}

#[test]
fn daemons_that_are_all_killed_find_each_other_again() {
    let mut world = World::new();
    world.run(3_000);
    for number in 0..DAEMONS {
        world.restart(address(number));
    }
    world.run(4_000);
    assert_eq!(world.hubs().len(), CENTRES);
    assert_eq!(world.counts(), BTreeSet::from([DAEMONS]));
}

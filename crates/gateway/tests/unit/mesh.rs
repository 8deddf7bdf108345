//! Hubs: who is one, who tells whom, and what becomes of a hub that falls silent.

use crate::hub_election::SILENT_MS;
use crate::membership::{HubStatus, Membership};
use crate::message::{
    DemandReport, HubReport, LoadReport, Message, PlannerInfo, Sender, Tag, UpstreamLoad,
};
use shaleline_fleet::Unmet;
use shaleline_testkit::cases;
use shaleline_types::{DataCentre, Instance, Millis, Model, Upstream};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const START: u64 = 1_000_000;
const TICK: u64 = 100;

fn sender(index: u8, centre: u8, strength: u8) -> Sender {
    Sender {
        instance: Instance::from_text(&format!("d{index}")).expect("a valid name"),
        centre: DataCentre::from_text(&format!("dc{centre}")).expect("a valid name"),
        incarnation: u64::from(index) + 1,
        address: address(index),
        strength,
    }
}

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 7_000))
}

fn up() -> Tag {
    Tag::of_upstream(&Upstream::from_text("i-1").expect("a valid name"))
}

/// Daemons that exchange what they tell, but for those that are down.
struct World {
    daemons: BTreeMap<SocketAddr, (Sender, Membership)>,
    now: Millis,
    down: BTreeSet<SocketAddr>,
    /// These hear each other and nobody else, nor the others them.
    apart: BTreeSet<SocketAddr>,
    messages: usize,
}

impl World {
    /// `count` daemons in two data centres, of which the last is the strongest.
    fn new(count: u8) -> Self {
        let who = |i| sender(i, i % 2, u8::from(i + 1 == count));
        let mut daemons = BTreeMap::new();
        for index in 0..count {
            let mut mesh = Membership::new(who(index));
            for other in (0..count).filter(|o| *o != index) {
                mesh.learn_member(&who(other), Millis(START));
            }
            daemons.insert(address(index), (who(index), mesh));
        }
        Self {
            daemons,
            now: Millis(START),
            down: BTreeSet::new(),
            apart: BTreeSet::new(),
            messages: 0,
        }
    }

    fn tick(&mut self) {
        self.now = self.now.plus(TICK);
        let own = LoadReport {
            daemons: 1,
            upstreams: BTreeMap::from([(
                up(),
                UpstreamLoad {
                    running: 1,
                    ..UpstreamLoad::default()
                },
            )]),
            ..LoadReport::default()
        };
        let mut sent = Vec::new();
        for (from, (sender, mesh)) in &mut self.daemons {
            if !self.down.contains(from) {
                let out = mesh.tick(&own, HubStatus::default(), self.now);
                sent.extend(out.into_iter().map(|(to, m)| (sender.clone(), to, m)));
            }
        }
        self.messages = sent.len();
        while let Some((sender, to, message)) = sent.pop() {
            let crosses = self.apart.contains(&to) != self.apart.contains(&sender.address);
            if self.down.contains(&to) || crosses {
                continue;
            }
            let Some((_, mesh)) = self.daemons.get_mut(&to) else {
                continue;
            };
            mesh.on_datagram(&sender, self.now);
            match message {
                Message::Load(note) => mesh.on_load(&sender, note, self.now),
                Message::CentreLoad(note) => {
                    let hub = mesh.actual_hub(self.now).filter(|h| *h != sender.address);
                    let passed =
                        hub.map(|h| (sender.clone(), h, Message::ForwardedLoad(note.clone())));
                    sent.extend(passed);
                    mesh.on_centre_load(&sender, note, self.now);
                }
                Message::ForwardedLoad(note) => mesh.on_centre_load(&sender, note, self.now),
                Message::TotalLoad(total) => {
                    mesh.on_total_load(&sender, &total, self.now);
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / TICK {
            self.tick();
        }
    }

    fn hubs(&mut self) -> Vec<u8> {
        let now = self.now;
        let down = &self.down;
        let alive = self.daemons.iter_mut().filter(|(a, _)| !down.contains(a));
        let hubs = alive.filter_map(|(a, (_, m))| m.is_hub(now).then_some(*a));
        hubs.map(|a| match a {
            SocketAddr::V4(a) => a.ip().octets()[3],
            SocketAddr::V6(_) => unreachable!("all are of the fourth version"),
        })
        .collect()
    }

    /// What each daemon believes that the others have at the upstream.
    fn beliefs(&self) -> BTreeSet<u32> {
        let alive = self.daemons.iter().filter(|(a, _)| !self.down.contains(a));
        let others = |m: &Membership| m.other_loads(self.now).get(&up()).map_or(0, |n| n.running);
        alive.map(|(_, (_, m))| others(m)).collect()
    }
}

/// Where the data centres differ in nothing, two of them keep half of the allowances each.
const CENTRES: usize = 2;

impl World {
    /// The parts of the allowances that daemons keep, added up.
    fn granted(&mut self) -> f64 {
        let (now, down) = (self.now, &self.down);
        let alive = self.daemons.iter_mut().filter(|(a, _)| !down.contains(a));
        alive
            .map(|(_, (_, m))| m.allowance_share(CENTRES, now).fraction)
            .sum()
    }

    /// The most that they added up to in any tick, while these are apart for so long.
    fn most_granted(&mut self, apart: &[u8], ms: u64) -> f64 {
        self.apart = apart.iter().map(|i| address(*i)).collect();
        let mut most = self.granted();
        for _ in 0..ms / TICK {
            self.tick();
            most = most.max(self.granted());
        }
        most
    }
}

#[test]
fn the_parts_of_the_allowances_add_up_to_all() {
    let mut world = World::new(20);
    world.run(3_000);
    assert!((world.granted() - 1.0).abs() < 1e-9, "{}", world.granted());
}

/// The most that is kept while some are cut off, and what is kept then, in percent.
fn kept_apart(apart: &[u8]) -> (u32, u32) {
    let percent = |part: f64| (part * 100.0).round() as u32;
    let mut world = World::new(20);
    world.run(3_000);
    let most = world.most_granted(apart, 10_000);
    (percent(most), percent(world.granted()))
}

cases! { kept_apart;
    nobody_is_cut_off: &[] => (100, 100),
    a_daemon_alone_keeps_what_would_be_its_part: &[4] => (100, 100),
    // The other side takes over what its daemons keep, once they no longer count for their hub.
    // It was never told by another how many there are.
    a_hub_alone_keeps_little: &[19] => (100, 96),
    a_part_of_a_data_centre: &[0, 2, 4, 6] => (100, 100),
    a_data_centre: &[0, 2, 4, 6, 8, 10, 12, 14, 16, 18] => (100, 100),
}

/// Two sides of a data centre that hear nothing of each other for minutes, while the store serves both: each
/// forgets the other and keeps all of the part, so that an organisation exceeds its allowance.
#[test]
fn a_data_centre_that_is_split_for_long_keeps_no_more_than_its_part() {
    let mut world = World::new(20);
    world.run(3_000);
    let most = world.most_granted(&[0, 2, 4, 6], 150_000);
    assert!(most <= 1.0 + 1e-9, "{most} of all allowances are kept");
}

/// What others have at upstreams, as a daemon believes it whose hub has not been heard for a while: they go
/// on sending, and upstreams that seem empty are sent more than they take.
#[test]
fn loads_that_are_not_heard_are_not_taken_for_none() {
    let mut world = World::new(20);
    world.run(3_000);
    let daemon = address(4);
    let loads = |world: &World| {
        let (_, mesh) = &world.daemons[&daemon];
        mesh.other_loads(world.now)
            .get(&up())
            .map_or(0, |n| n.running)
    };
    assert_eq!(loads(&world), 19);
    world.apart = BTreeSet::from([daemon]);
    world.run(2_000);
    assert!(loads(&world) > 0, "nobody is known to be idle");
}

#[test]
fn what_daemons_that_are_gone_would_keep_nobody_keeps() {
    let mut world = World::new(20);
    world.run(3_000);
    world.down = (0..5).map(|i| address(2 * i)).collect();
    world.run(5_000);
    assert!((world.granted() - 0.75).abs() < 1e-9, "{}", world.granted());
}

#[test]
fn each_data_centre_has_one_hub_and_all_know_the_load() {
    let mut world = World::new(20);
    world.run(3_000);
    let hubs = world.hubs();
    assert_eq!(hubs.len(), 2, "{hubs:?}");
    assert!(hubs.contains(&19), "the strongest is a hub: {hubs:?}");
    assert_eq!(world.beliefs(), BTreeSet::from([19]));
}

#[test]
fn messages_grow_with_daemons_and_not_with_pairs() {
    let mut world = World::new(60);
    world.run(3_000);
    // A note and a total for each daemon that is no hub, and a sum each way.
    assert_eq!(world.messages, 2 * 58 + 2);
}

/// What a daemon tells reaches the planner through two hubs, each of which speaks some hundred milliseconds
/// after it heard. The times to come back were too late by as much, and so was the age of a renewal.
#[test]
fn what_is_passed_on_ages_on_the_way() {
    const HELD: u64 = 250;
    let model = Tag::of_model(&Model::from_text("m").expect("a valid name"), None);
    let unmet = Unmet {
        waited: 100,
        last_age: 100,
        attempts: 1,
        next_retry: 900,
        last_retry: 1_900,
    };
    let note = LoadReport {
        planner: Some(PlannerInfo {
            fence: 7,
            address: address(2),
            end: 7,
            age: 50,
        }),
        demand: DemandReport {
            unmet: [(model, unmet)].into(),
            ..DemandReport::default()
        },
        ..LoadReport::default()
    };
    let (near, far) = (sender(1, 1, 9), sender(3, 2, 9));
    let mut hub = Membership::new(near.clone());
    hub.learn_member(&far, Millis(START));
    hub.on_load(&sender(2, 1, 0), note, Millis(START));
    let told = Millis(START + HELD);
    let out = hub.tick(&LoadReport::default(), HubStatus::default(), told);
    let sum = out.into_iter().find_map(|(_, message)| match message {
        Message::CentreLoad(sum) => Some(sum),
        _ => None,
    });
    let sum = sum.expect("a sum for the other hub");
    assert_eq!(sum.load.demand.unmet[&model], unmet.aged(HELD as u32));
    assert_eq!(sum.load.planner.map(|p| p.age), Some(50 + HELD as u32));

    let mut other = Membership::new(far);
    other.on_datagram(&near, told);
    other.on_centre_load(&near, sum, told);
    let late = told.plus(HELD);
    other.tick(&LoadReport::default(), HubStatus::default(), late);
    let (asked, age) = other.total_demand(late.plus(40)).expect("it was told");
    assert_eq!(asked.unmet[&model], unmet.aged(2 * HELD as u32));
    assert_eq!(age, Millis(40));
    let planner = other.planner(late).expect("one plans");
    assert_eq!(planner.age, 50 + 2 * HELD as u32);
}

#[test]
fn a_silent_hub_is_passed_over_and_comes_back() {
    let mut world = World::new(20);
    world.run(3_000);
    world.down.insert(address(19));
    world.run(3 * SILENT_MS);
    let hubs = world.hubs();
    assert_eq!(hubs.len(), 2, "{hubs:?}");
    assert_eq!(world.beliefs(), BTreeSet::from([18]));
    world.down.clear();
    world.run(3 * SILENT_MS);
    assert_eq!(world.beliefs(), BTreeSet::from([19]));
}

#[test]
fn a_daemon_alone_is_its_own_hub() {
    let mut world = World::new(1);
    world.run(500);
    assert_eq!(world.hubs(), [0]);
    assert_eq!(world.beliefs(), BTreeSet::from([0]));
}

/// On a grown deployment's start most daemons took their own first total for a hub's and
/// read the store.
#[test]
fn a_daemon_that_is_alone_has_heard_no_hub() {
    let mut mesh = Membership::new(sender(1, 1, 0));
    let now = Millis(START);
    mesh.tick(&LoadReport::default(), HubStatus::default(), now);
    assert!(!mesh.has_hub_contact());
    let total = HubReport {
        ack: None,
        centre_size: 0,
        load: LoadReport::default(),
        position: None,
        hubs: Vec::new(),
        crashes: 0,
    };
    mesh.on_total_load(&sender(2, 1, 1), &total, now);
    assert!(mesh.has_hub_contact());
}

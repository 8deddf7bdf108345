//! Tests of hubs: their election, the messages between daemons, and the failover of a silent hub.

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

const START_MS: u64 = 1_000_000;
const TICK_MS: u64 = 100;

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

fn tag() -> Tag {
    Tag::of_upstream(&Upstream::from_text("i-1").expect("a valid name"))
}

/// Reports the current hub to a daemon that sends messages as a hub beside it.
fn correct_hub(
    membership: &mut Membership,
    from: &Sender,
    now: Millis,
    sent: &mut Vec<(Sender, SocketAddr, Message)>,
) {
    let list = membership.correct_hub(from, now);
    let me = membership.me.clone();
    sent.extend(list.map(|l| (me, from.address, Message::Members(l))));
}

/// A simulated cluster of daemons that exchange messages, except those that are down.
struct Cluster {
    daemons: BTreeMap<SocketAddr, (Sender, Membership)>,
    now: Millis,
    down: BTreeSet<SocketAddr>,
    /// These daemons exchange messages among themselves only.
    isolated: BTreeSet<SocketAddr>,
    messages: usize,
}

impl Cluster {
    /// Creates `count` daemons in two data centres; the last daemon is the strongest.
    fn new(count: u8) -> Self {
        let sender_of = |i| sender(i, i % 2, u8::from(i + 1 == count));
        let mut daemons = BTreeMap::new();
        for index in 0..count {
            let mut membership = Membership::new(sender_of(index));
            for other in (0..count).filter(|o| *o != index) {
                membership.learn_member(&sender_of(other), Millis(START_MS));
            }
            daemons.insert(address(index), (sender_of(index), membership));
        }
        Self {
            daemons,
            now: Millis(START_MS),
            down: BTreeSet::new(),
            isolated: BTreeSet::new(),
            messages: 0,
        }
    }

    fn tick(&mut self) {
        self.now = self.now.plus(TICK_MS);
        let own_load = LoadReport {
            daemons: 1,
            upstreams: BTreeMap::from([(
                tag(),
                UpstreamLoad {
                    running: 1,
                    ..UpstreamLoad::default()
                },
            )]),
            ..LoadReport::default()
        };
        let mut sent = Vec::new();
        for (from, (sender, membership)) in &mut self.daemons {
            if !self.down.contains(from) {
                let out = membership.tick(&own_load, HubStatus::default(), self.now);
                sent.extend(out.into_iter().map(|(to, m)| (sender.clone(), to, m)));
            }
        }
        self.messages = sent.len();
        while let Some((sender, to, message)) = sent.pop() {
            let crosses = self.isolated.contains(&to) != self.isolated.contains(&sender.address);
            if self.down.contains(&to) || crosses {
                continue;
            }
            let Some((_, membership)) = self.daemons.get_mut(&to) else {
                continue;
            };
            membership.on_datagram(&sender, self.now);
            match message {
                Message::Load(report) => {
                    let list = membership.correct_follower(&sender, self.now);
                    membership.on_load(&sender, report, self.now);
                    let me = membership.me.clone();
                    sent.extend(list.map(|l| (me, sender.address, Message::Members(l))));
                }
                Message::Members(list) => membership.on_member_list(&list, self.now),
                Message::CentreLoad(load) => {
                    let hub = membership
                        .actual_hub(self.now)
                        .filter(|h| *h != sender.address);
                    let forwarded =
                        hub.map(|h| (sender.clone(), h, Message::ForwardedLoad(load.clone())));
                    sent.extend(forwarded);
                    correct_hub(membership, &sender, self.now, &mut sent);
                    membership.on_centre_load(&sender, load, self.now);
                }
                Message::ForwardedLoad(load) => {
                    correct_hub(membership, &sender, self.now, &mut sent);
                    membership.on_centre_load(&sender, load, self.now);
                }
                Message::TotalLoad(total) => {
                    membership.on_total_load(&sender, &total, self.now);
                    correct_hub(membership, &sender, self.now, &mut sent);
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
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
            SocketAddr::V6(_) => unreachable!("all addresses are IPv4"),
        })
        .collect()
    }

    /// Replaces a daemon by a new process, which knows the others from the store.
    fn restart(&mut self, index: u8) {
        let from = address(index);
        let known: Vec<Sender> = self.daemons.values().map(|(s, _)| s.clone()).collect();
        let (sender, membership) = self.daemons.get_mut(&from).expect("a daemon");
        sender.incarnation += 100;
        *membership = Membership::new(sender.clone());
        for other in known.iter().filter(|s| s.address != from) {
            membership.learn_member(other, self.now);
        }
    }

    /// The daemons that take the one at this address for their hub.
    fn followers_of(&mut self, hub: SocketAddr) -> Vec<u8> {
        let now = self.now;
        let down = &self.down;
        let alive = self.daemons.iter_mut().filter(|(a, _)| !down.contains(a));
        let mut following = Vec::new();
        for (_, (s, m)) in alive {
            let near = s.centre == sender(6, 0, 0).centre;
            if near && m.own_hub(now) == Some(hub) {
                following.push(s.incarnation as u8);
            }
        }
        following
    }

    /// The distinct loads of the other daemons at the upstream, as each daemon knows them.
    fn known_loads(&self) -> BTreeSet<u32> {
        let alive = self.daemons.iter().filter(|(a, _)| !self.down.contains(a));
        let others = |m: &Membership| m.other_loads(self.now).get(&tag()).map_or(0, |n| n.running);
        alive.map(|(_, (_, m))| others(m)).collect()
    }
}

/// The number of data centres, each of which holds the same share of the allowances.
const CENTRES: usize = 2;

impl Cluster {
    /// The sum of the shares of the allowances that daemons hold.
    fn allocated(&mut self) -> f64 {
        let (now, down) = (self.now, &self.down);
        let alive = self.daemons.iter_mut().filter(|(a, _)| !down.contains(a));
        alive
            .map(|(_, (_, m))| m.allowance_share(CENTRES, now).fraction)
            .sum()
    }

    /// The maximum sum of the shares in any tick while these daemons are isolated for `ms`.
    fn max_allocated(&mut self, isolated: &[u8], ms: u64) -> f64 {
        self.isolated = isolated.iter().map(|i| address(*i)).collect();
        let mut max = self.allocated();
        for _ in 0..ms / TICK_MS {
            self.tick();
            max = max.max(self.allocated());
        }
        max
    }
}

#[test]
fn the_shares_of_the_allowances_add_up_to_the_whole() {
    let mut cluster = Cluster::new(20);
    cluster.run(3_000);
    assert!(
        (cluster.allocated() - 1.0).abs() < 1e-9,
        "{}",
        cluster.allocated()
    );
}

/// The maximum sum of the shares while some daemons are isolated, and the sum at the end, in
/// percent.
fn allocated_while_isolated(isolated: &[u8]) -> (u32, u32) {
    let percent = |share: f64| (share * 100.0).round() as u32;
    let mut cluster = Cluster::new(20);
    cluster.run(3_000);
    let max = cluster.max_allocated(isolated, 10_000);
    (percent(max), percent(cluster.allocated()))
}

cases! { allocated_while_isolated;
    no_daemon_is_isolated: &[] => (100, 100),
    an_isolated_daemon_keeps_its_share: &[4] => (100, 100),
    // The other daemons take another hub, which allocates their part of the share. The isolated
    // hub was never sent the number of daemons, so it assumes a large data centre.
    an_isolated_hub_keeps_a_minimal_share: &[19] => (100, 96),
    part_of_a_data_centre_is_isolated: &[0, 2, 4, 6] => (100, 100),
    a_data_centre_is_isolated: &[0, 2, 4, 6, 8, 10, 12, 14, 16, 18] => (100, 100),
}

/// Guards against shares that add up to more than the whole: two sides of a data centre that
/// received nothing from each other for minutes, while both reached the store, forgot each other
/// and each kept the full share of the data centre, so that an organisation exceeded its allowance.
#[test]
fn a_data_centre_that_stays_split_keeps_no_more_than_its_share() {
    let mut cluster = Cluster::new(20);
    cluster.run(3_000);
    let max = cluster.max_allocated(&[0, 2, 4, 6], 150_000);
    assert!(max <= 1.0 + 1e-9, "the shares add up to {max}");
}

/// Guards against parts of an upstream's slots that add up to a multiple of them: a daemon divided
/// by the number of daemons that it knew, which is small at most of them.
#[test]
fn slots_are_divided_by_all_daemons_at_those_that_know_few() {
    const CENTRES: usize = 2;
    let mut cluster = Cluster::new(20);
    cluster.run(3_000);
    let now = cluster.now;
    let parts = cluster.daemons.values_mut().map(|(_, membership)| {
        let selectors = membership.selectors(CENTRES, false, now);
        (membership.is_hub(now), selectors)
    });
    let parts: BTreeSet<(bool, usize)> = parts.collect();
    assert_eq!(parts, BTreeSet::from([(true, CENTRES), (false, 20)]));
}

#[test]
fn a_daemon_that_was_never_told_the_number_of_daemons_divides_slots_by_many() {
    let mut membership = Membership::new(sender(1, 1, 0));
    let now = Millis(START_MS);
    assert_eq!(membership.selectors(3, false, now), 300);
    assert_eq!(membership.selectors(1, true, now), 1);
}

/// Guards against overloaded upstreams: a daemon that has received nothing from its hub for a while
/// took the loads of the other daemons for zero, although they go on sending, and sent more
/// requests to upstreams that seemed idle than these accept.
#[test]
fn loads_that_are_not_heard_are_not_taken_for_none() {
    let mut cluster = Cluster::new(20);
    cluster.run(3_000);
    let daemon = address(4);
    let loads = |cluster: &Cluster| {
        let (_, membership) = &cluster.daemons[&daemon];
        membership
            .other_loads(cluster.now)
            .get(&tag())
            .map_or(0, |n| n.running)
    };
    assert_eq!(loads(&cluster), 19);
    cluster.isolated = BTreeSet::from([daemon]);
    cluster.run(2_000);
    assert!(
        loads(&cluster) > 0,
        "the loads of other daemons are taken for zero"
    );
}

/// A hub beside one other hub, which last reported requests at an upstream.
struct TwoHubs {
    membership: Membership,
    other: Sender,
    now: Millis,
}

impl TwoHubs {
    fn new() -> Self {
        let other = sender(2, 0, 0);
        let mut membership = Membership::new(sender(1, 1, 0));
        let now = Millis(START_MS);
        membership.learn_member(&other, now);
        membership.set_fragile(BTreeSet::from([tag()]));
        Self {
            membership,
            other,
            now,
        }
    }

    fn report(&mut self, running: u32) {
        let load = UpstreamLoad {
            running,
            ..UpstreamLoad::default()
        };
        let load = LoadReport {
            upstreams: BTreeMap::from([(tag(), load)]),
            ..LoadReport::default()
        };
        let report = HubReport {
            load,
            position: None,
            hubs: Vec::new(),
            crashes: HubStatus::default().crashes,
            ack: None,
            centre_size: 0,
        };
        self.membership.on_datagram(&self.other, self.now);
        self.membership
            .on_centre_load(&self.other, report, self.now);
    }

    fn run(&mut self, ms: u64, reports: Option<u32>) {
        for _ in 0..ms / TICK_MS {
            self.now = self.now.plus(TICK_MS);
            reports.into_iter().for_each(|running| self.report(running));
            self.tick();
        }
    }

    fn tick(&mut self) {
        let own = LoadReport::default();
        self.membership.tick(&own, HubStatus::default(), self.now);
    }

    fn other_requests(&self) -> u32 {
        let loads = self.membership.other_loads(self.now);
        loads.get(&tag()).map_or(0, |l| l.running)
    }
}

/// The requests of others that a hub counts right after the other hub has started again or
/// resigned, and 700 ms later.
fn counted_after(happens: impl Fn(&mut TwoHubs)) -> [u32; 2] {
    let mut hubs = TwoHubs::new();
    hubs.run(1_000, Some(5));
    assert_eq!(hubs.other_requests(), 5);
    happens(&mut hubs);
    hubs.tick();
    let after = hubs.other_requests();
    hubs.run(700, Some(0));
    [after, hubs.other_requests()]
}

#[test]
fn the_requests_of_a_hub_that_is_gone_count_until_others_report_them() {
    let restart = |hubs: &mut TwoHubs| {
        hubs.other.incarnation += 1;
        hubs.report(0);
    };
    assert_eq!(counted_after(restart), [5, 0]);
    let resign = |hubs: &mut TwoHubs| {
        let other = hubs.other.clone();
        hubs.membership.on_resigned(&other, hubs.now);
    };
    assert_eq!(counted_after(resign), [5, 0]);
}

/// Whether a hub takes the loads that it knows for recent: with this number of data centres in its
/// settings, a hub for the first time and with the other hub silent for the second one.
fn hears_recent((centres, since, silent): (usize, u64, u64)) -> bool {
    let mut hubs = TwoHubs::new();
    hubs.tick();
    hubs.run(since, Some(1));
    hubs.run(silent, None);
    hubs.membership.hears_recent_loads(centres, hubs.now)
}

cases! {
    hears_recent;
    a_new_hub_does_not_know_what_its_predecessor_sent: (2, 300, 0) => false,
    a_hub_that_hears_the_others_knows_their_loads: (2, 1_000, 0) => true,
    a_hub_that_misses_some_reports_uses_the_last_one: (2, 1_000, 900) => true,
    the_loads_of_a_silent_hub_are_unknown: (2, 1_000, 1_500) => false,
    a_hub_that_stays_silent_is_gone: (2, 1_000, 3_200) => true,
    a_hub_does_not_know_the_loads_of_a_data_centre_that_it_never_heard: (3, 1_000, 0) => false,
    a_data_centre_without_daemons_hides_no_loads: (3, 3_200, 0) => true,
}

/// After a change of planner, callers' adapters were requested from the previous one until the next
/// load report.
#[test]
fn a_new_planner_is_known_before_the_next_report() {
    let now = Millis(START_MS);
    let renewal = |fence, end| PlannerInfo {
        fence,
        address: address(fence as u8),
        end,
        age: 0,
    };
    let mut daemon = Membership::new(sender(1, 1, 0));
    let is_new = [(7, 7), (7, 8), (9, 9), (7, 8)]
        .map(|(fence, end)| daemon.on_renewed(renewal(fence, end), now));
    assert_eq!(is_new, [true, false, true, false]);
    assert_eq!(daemon.planner(now), Some(renewal(9, 9)));
    assert_eq!(daemon.planner(now.plus(5_000)), None);
}

#[test]
fn the_shares_of_stopped_daemons_stay_unallocated() {
    let mut cluster = Cluster::new(20);
    cluster.run(3_000);
    cluster.down = (0..5).map(|i| address(2 * i)).collect();
    cluster.run(5_000);
    assert!(
        (cluster.allocated() - 0.75).abs() < 1e-9,
        "{}",
        cluster.allocated()
    );
}

#[test]
fn each_data_centre_has_one_hub_and_all_daemons_know_the_load() {
    let mut cluster = Cluster::new(20);
    cluster.run(3_000);
    let hubs = cluster.hubs();
    assert_eq!(hubs.len(), 2, "{hubs:?}");
    assert!(hubs.contains(&19), "the strongest is a hub: {hubs:?}");
    assert_eq!(cluster.known_loads(), BTreeSet::from([19]));
}

#[test]
fn messages_grow_linearly_with_daemons() {
    let mut cluster = Cluster::new(60);
    cluster.run(3_000);
    // Each daemon that is no hub sends a report and receives a total; each hub sends its centre
    // load to the other one.
    assert_eq!(cluster.messages, 2 * 58 + 2);
}

/// Guards against reports that do not age in transit: a daemon's report reaches the planner through
/// two hubs, each of which forwards it some hundred milliseconds after it arrived. The retry-after
/// times were too late by that delay, and the age of a lease renewal was too low.
#[test]
fn forwarded_reports_age_in_transit() {
    const HOP_DELAY_MS: u64 = 250;
    let model = Tag::of_model(&Model::from_text("m").expect("a valid name"), None);
    let unmet = Unmet {
        waited: 100,
        last_age: 100,
        attempts: 1,
        next_retry: 900,
        last_retry: 1_900,
    };
    let report = LoadReport {
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
    hub.learn_member(&far, Millis(START_MS));
    hub.on_load(&sender(2, 1, 0), report, Millis(START_MS));
    let sent_at = Millis(START_MS + HOP_DELAY_MS);
    let out = hub.tick(&LoadReport::default(), HubStatus::default(), sent_at);
    let centre_load = out.into_iter().find_map(|(_, message)| match message {
        Message::CentreLoad(centre_load) => Some(centre_load),
        _ => None,
    });
    let centre_load = centre_load.expect("a centre load for the other hub");
    assert_eq!(
        centre_load.load.demand.unmet[&model],
        unmet.aged(HOP_DELAY_MS as u32)
    );
    assert_eq!(
        centre_load.load.planner.map(|p| p.age),
        Some(50 + HOP_DELAY_MS as u32)
    );

    let mut other = Membership::new(far);
    other.on_datagram(&near, sent_at);
    other.on_centre_load(&near, centre_load, sent_at);
    let later = sent_at.plus(HOP_DELAY_MS);
    other.tick(&LoadReport::default(), HubStatus::default(), later);
    let (demand, age) = other
        .total_demand(later.plus(40))
        .expect("demand was reported");
    assert_eq!(demand.unmet[&model], unmet.aged(2 * HOP_DELAY_MS as u32));
    assert_eq!(age, Millis(40));
    let planner = other.planner(later).expect("a planner is known");
    assert_eq!(planner.age, 50 + 2 * HOP_DELAY_MS as u32);
}

#[test]
fn a_silent_hub_is_replaced_and_returns() {
    let mut cluster = Cluster::new(20);
    cluster.run(3_000);
    cluster.down.insert(address(19));
    cluster.run(3 * SILENT_MS);
    let hubs = cluster.hubs();
    assert_eq!(hubs.len(), 2, "{hubs:?}");
    assert_eq!(cluster.known_loads(), BTreeSet::from([18]));
    cluster.down.clear();
    cluster.run(3 * SILENT_MS);
    assert_eq!(cluster.known_loads(), BTreeSet::from([19]));
}

/// A daemon that is gone for good must not stay the hub of others that list it to each other, also
/// if they start after it has gone.
#[test]
fn a_hub_that_is_gone_is_not_listed_as_one() {
    let mut cluster = Cluster::new(7);
    let gone = address(6);
    cluster.run(2_000);
    cluster.down.insert(gone);
    cluster.restart(4);
    cluster.run(2_000);
    for _ in 0..100 {
        cluster.tick();
        assert_eq!(cluster.followers_of(gone), Vec::<u8>::new());
    }
}

#[test]
fn a_single_daemon_is_its_own_hub() {
    let mut cluster = Cluster::new(1);
    cluster.run(500);
    assert_eq!(cluster.hubs(), [0]);
    assert_eq!(cluster.known_loads(), BTreeSet::from([0]));
}

/// Guards against unneeded reads of the store: at the start of a large deployment, most daemons
/// took their own first total for the total of a hub and read the store.
#[test]
fn a_single_daemon_has_no_hub_contact() {
    let mut membership = Membership::new(sender(1, 1, 0));
    let now = Millis(START_MS);
    membership.tick(&LoadReport::default(), HubStatus::default(), now);
    assert!(!membership.has_hub_contact());
    let total = HubReport {
        ack: None,
        centre_size: 0,
        load: LoadReport::default(),
        position: None,
        hubs: Vec::new(),
        crashes: 0,
    };
    membership.on_total_load(&sender(2, 1, 1), &total, now);
    assert!(membership.has_hub_contact());
}

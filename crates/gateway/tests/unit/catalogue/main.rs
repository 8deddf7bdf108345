//! Tests that models and adapters in demand are served while planners and engines fail.
//!
//! Symptom: of some 820 models and adapters that callers requested throughout a run, more than a
//! tenth were never served, although there was room for them.
//!
//! Sequence: a daemon that was among the first to start took the planner lease. The other daemons
//! took another daemon for the hub of its data centre, so it received none of their reports. It
//! renewed its lease in the store for 26 s of traffic and sent twelve orders, for the requests of
//! its own callers. When it fell silent, its successor sent 323 orders in one second; by then the
//! demand had changed.
//!
//! Cause: the lease depends on the store, and the known demand on the reports of other daemons, but
//! nothing connected the two. Missing reports were taken for missing demand. In addition, unmet
//! demand was forgotten within seconds while no engine could take orders.
//!
//! Evidence: one lease without a break, no model recorded as away, and orders only for requests of
//! the planner's own callers; with a planner cut off in this simulation, two thirds of the
//! catalogue stay unserved.

mod cluster;
pub mod engines;
mod holders;
mod outcomes;
mod records;

use cluster::{Cluster, Demand, Size, TRAFFIC_START_MS};
use engines::{engine, Key};
use shaleline_testkit::cases;
use std::cmp::Reverse;

/// The size of the largest deployment.
const LARGE: Size = Size {
    daemons: 295,
    centres: 5,
    strong: 3,
    engines: 240,
    models: 444,
    adapters: 1_171,
    load_rate: 34.0,
    request_rate: 600.0,
};

/// The size of the smaller deployments.
const SMALL: Size = Size {
    daemons: 9,
    centres: 3,
    strong: 3,
    engines: 18,
    models: 39,
    adapters: 95,
    load_rate: 2.1,
    request_rate: 60.0,
};

/// The duration of the traffic.
const RUN_MS: u64 = 40_000;

/// The maximum wait for a model or adapter after the last fault: another daemon takes the planner
/// lease within six seconds, an engine may be busy with a load of nine seconds, and the load that
/// is needed takes nine more.
const MAX_WAIT_MS: u64 = 25_000;

/// The number of worst cases that are printed.
const MAX_SHOWN: usize = 12;

/// Whether a model or adapter is requested throughout the run.
fn is_requested_throughout(demand: &Demand) -> bool {
    demand.attempts >= 4 && demand.last - demand.first >= 8_000
}

/// Checks that everything requested throughout the run is served, within the maximum wait.
fn check(cluster: &mut Cluster) -> bool {
    let demand = cluster
        .demand
        .iter()
        .filter(|(_, a)| is_requested_throughout(a));
    let mut all: Vec<(&Key, &Demand)> = demand.collect();
    all.sort_by_key(|(_, a)| (a.served > 0, Reverse(a.longest_wait)));
    let never = all.iter().filter(|(_, a)| a.served == 0).count();
    let longest_wait = all.iter().map(|(_, a)| a.longest_wait).max().unwrap_or(0);
    let worst: Vec<String> = all
        .iter()
        .take(MAX_SHOWN)
        .map(|a| format!("{a:?}"))
        .collect();
    let worst = worst.join("\n");
    for (key, _) in all.iter().filter(|(_, a)| a.served == 0) {
        println!("{key:?}: {:#?}", cluster.history.get(*key));
    }
    let (count, orders) = (all.len(), cluster.orders);
    println!(
        "{never} of {count} never served, longest wait {longest_wait} ms, {orders} orders\n{worst}"
    );
    println!("{}", cluster.outcomes);
    assert_eq!(never, 0, "of {count} never served");
    assert!(
        longest_wait <= MAX_WAIT_MS,
        "a model or adapter was unserved for {longest_wait} ms"
    );
    true
}

/// The planner exchanges no datagrams with other daemons from second 2 on.
fn planner_is_cut_off((size, seed): (Size, u64)) -> bool {
    let mut cluster = Cluster::new(size, seed);
    cluster.run(2_000);
    let planner = cluster.planner().expect("a daemon holds the planner lease");
    cluster.daemons[planner].isolated = true;
    cluster.counted_from = cluster.now();
    cluster.run(RUN_MS - 2_000);
    check(&mut cluster)
}

cases! { planner_is_cut_off;
    all_is_served_where_the_planner_is_cut_off_before_9_daemons: (SMALL, 1) => true,
    all_is_served_where_the_planner_is_cut_off_before_295_daemons: (LARGE, 2) => true,
    // Two callers request a rare adapter in quick succession.
    all_is_served_before_295_daemons_where_the_planner_is_cut_off_seed_3001: (LARGE, 3001) => true,
    // A long wait for a rarely requested adapter.
    all_is_served_before_295_daemons_where_the_planner_is_cut_off_seed_4001: (LARGE, 4001) => true,
}

/// No component fails.
fn calm((size, seed): (Size, u64)) -> bool {
    let mut cluster = Cluster::new(size, seed);
    cluster.run(RUN_MS);
    check(&mut cluster)
}

cases! { calm;
    all_is_served_on_a_calm_day_before_9_daemons: (SMALL, 3) => true,
    all_is_served_on_a_calm_day_before_295_daemons: (LARGE, 4) => true,
}

/// The strong daemons are replaced in turn, and links between data centres lose a fifth of the
/// packets for a while.
fn replaced_in_turn((size, seed): (Size, u64)) -> bool {
    let mut cluster = Cluster::new(size, seed);
    let strong = size.centres * size.strong;
    let turns = 9;
    for turn in 0..turns {
        cluster.link_loss = if turn < 5 { 0.2 } else { 0.0 };
        let planner = cluster.planner();
        match turn % 3 {
            0 => cluster.replace(planner.unwrap_or(turn % strong)),
            1 => cluster.replace(turn % strong),
            _ => {
                let killed = planner.unwrap_or(turn % strong);
                cluster.kill(killed);
                cluster.run(700);
                cluster.start_daemon(killed);
            }
        }
        cluster.run(1_700);
    }
    cluster.link_loss = 0.0;
    cluster.counted_from = cluster.now();
    let remaining = (TRAFFIC_START_MS + RUN_MS).saturating_sub(cluster.now());
    cluster.run(remaining);
    check(&mut cluster)
}

cases! { replaced_in_turn;
    all_is_served_where_planners_are_replaced_before_9_daemons: (SMALL, 5) => true,
    all_is_served_where_planners_are_replaced_before_295_daemons: (LARGE, 6) => true,
    // Rare callers of three adapters, most of them in planner gaps.
    all_is_served_before_295_daemons_where_planners_are_replaced_seed_1003: (LARGE, 1003) => true,
    all_is_served_before_295_daemons_where_planners_are_replaced_seed_3003: (LARGE, 3003) => true,
    all_is_served_before_295_daemons_where_planners_are_replaced_seed_4003: (LARGE, 4003) => true,
}

/// A quarter of the engines and the planner crash; the engines restart two seconds later with only
/// the copies on their disks.
fn engines_end((size, seed): (Size, u64)) -> bool {
    let mut cluster = Cluster::new(size, seed);
    cluster.run(6_000);
    let crashed: Vec<usize> = (0..size.engines).step_by(4).collect();
    for number in &crashed {
        cluster.engines.end(&engine(*number));
    }
    let planner = cluster.planner().expect("a daemon holds the planner lease");
    cluster.kill(planner);
    cluster.run(2_000);
    cluster.start_daemon(planner);
    let now = cluster.now();
    for number in &crashed {
        cluster.engines.start(&engine(*number), now);
    }
    cluster.counted_from = now;
    cluster.run(RUN_MS - 8_000);
    check(&mut cluster)
}

cases! { engines_end;
    all_is_served_where_engines_end_with_the_planner_before_9_daemons: (SMALL, 7) => true,
    all_is_served_where_engines_end_with_the_planner_before_295_daemons: (LARGE, 8) => true,
    // A model with far more adapters than its replicas have slots.
    all_is_served_before_295_daemons_where_engines_end_seed_1004: (LARGE, 1004) => true,
    all_is_served_before_295_daemons_where_engines_end_seed_2004: (LARGE, 2004) => true,
    all_is_served_before_295_daemons_where_engines_end_seed_4004: (LARGE, 4004) => true,
}

/// The store comes back from older copies, some of them after it was away; every second time the
/// planner is killed as well.
fn run_with_losses((size, seed): (Size, u64)) -> Cluster {
    /// The records that each copy lacks, and the time for which the store was away before.
    const LOSSES: [(usize, u64); 6] = [(1, 0), (3, 0), (8, 500), (2, 2_500), (6, 1_500), (40, 700)];
    /// The users' bound: the time for which engines may be without orders, in milliseconds.
    const LEASE_MS: u64 = 3_000;
    let mut cluster = Cluster::new(size, seed);
    let mut longest = 0;
    for (turn, (lost, away)) in LOSSES.into_iter().enumerate() {
        cluster.run(2_300);
        let now = cluster.now();
        let killed = cluster.planner().filter(|_| turn % 2 == 1);
        cluster.records.unavailable.set(away > 0);
        cluster.run(away);
        cluster.records.go_back(lost);
        cluster.records.unavailable.set(false);
        killed.into_iter().for_each(|planner| cluster.kill(planner));
        cluster.holders.reset_gap(cluster.now());
        cluster.run(LEASE_MS + 1_000);
        longest = longest.max(cluster.holders.longest_gap);
        killed
            .into_iter()
            .for_each(|planner| cluster.start_daemon(planner));
        println!("turn {turn} at {now}: {:?}", cluster.holders);
    }
    assert_eq!(
        (cluster.holders.most, cluster.holders.went_back),
        (1, false)
    );
    assert!(longest <= LEASE_MS, "no holder for {longest} ms");
    cluster
}

fn one_daemon_plans(case: (Size, u64)) -> bool {
    run_with_losses(case);
    true
}

fn store_goes_back(case: (Size, u64)) -> bool {
    let mut cluster = run_with_losses(case);
    cluster.counted_from = cluster.now();
    cluster.run(RUN_MS / 2);
    check(&mut cluster)
}

const MIDDLE: Size = Size {
    daemons: 90,
    ..SMALL
};

cases! { one_daemon_plans;
    one_daemon_plans_where_the_store_goes_back_before_9_daemons: (SMALL, 12) => true,
    one_daemon_plans_where_the_store_goes_back_before_90_daemons: (MIDDLE, 13) => true,
    one_daemon_plans_where_the_store_goes_back_before_295_daemons: (LARGE, 11) => true,
}

cases! { store_goes_back;
    all_is_served_where_the_store_goes_back_before_9_daemons: (SMALL, 9) => true,
    all_is_served_where_the_store_goes_back_before_90_daemons: (MIDDLE, 10) => true,
}

/// A scenario, which runs a deployment of a size with a seed.
type Scenario = fn((Size, u64)) -> bool;

/// The scenarios by name, for seeds from the environment.
const SCENARIOS: [(&str, Scenario); 5] = [
    ("store_goes_back", store_goes_back),
    ("planner_is_cut_off", planner_is_cut_off),
    ("calm", calm),
    ("replaced_in_turn", replaced_in_turn),
    ("engines_end", engines_end),
];

/// Runs a scenario on the largest deployment: `PLAY` names the scenario and `SEED` sets the seed.
#[test]
#[ignore = "takes a minute and a seed: PLAY=replaced_in_turn SEED=5003"]
fn all_is_served_before_295_daemons_with_the_seed_given() {
    let given = |key: &str| std::env::var(key).unwrap_or_else(|_| panic!("{key} is not set"));
    let seed = given("SEED").parse().expect("SEED is a number");
    let name = given("PLAY");
    let (_, scenario) = SCENARIOS
        .iter()
        .find(|(known, _)| *known == name)
        .unwrap_or_else(|| panic!("PLAY={name} is no known scenario"));
    assert!(scenario((LARGE, seed)));
}

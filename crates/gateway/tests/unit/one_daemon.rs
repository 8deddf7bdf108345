//! Tests that a daemon which gets most new connections serves their requests as before.
//!
//! The balancer may hand nine of ten new connections to one daemon for some seconds, and then to
//! another one. Whatever daemons share evenly (retries, permits, knowledge of loads) must not keep
//! that daemon from using what the others leave unused.

use super::crashes::cluster::{Cluster, Ended, Kind, Outcome};
use crate::Repeat;
use shaleline_testkit::cases;
use std::collections::BTreeMap;

/// Nine of ten requests go to one daemon.
const SKEW: usize = 10;

/// The time of each phase, and the time after its start from which requests count.
const PHASE_MS: u64 = 7_000;
const SETTLE_MS: u64 = 3_000;

/// Of requests at the first attempt, the share served must be three quarters of that before.
const MIN_RATIO: (usize, usize) = (3, 4);

/// A case: daemons, the interval between requests, and what happens meanwhile.
#[derive(Debug, Clone, Copy)]
struct Case {
    daemons: usize,
    seed: u64,
    interval: u64,
    /// Whether the first daemon is killed at the end of its phase.
    killed: bool,
    /// Whether the daemon that gets the connections is the one that selects upstreams.
    selector: bool,
    /// The interval at which an upstream crashes, if any.
    crashes: Option<u64>,
}

impl Case {
    const fn new(daemons: usize, seed: u64) -> Self {
        Self {
            daemons,
            seed,
            interval: 5,
            killed: false,
            selector: false,
            crashes: None,
        }
    }
}

/// The requests that arrived in a phase after it had settled, and those served of them.
#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    sent: usize,
    served: usize,
}

fn run(case: Case) -> [Counts; 3] {
    let mut cluster = Cluster::new(case.daemons, 12, case.seed);
    let first = match case.selector {
        true => cluster.selector(),
        false => (cluster.selector() + 1) % case.daemons,
    };
    let hot = [None, Some(first), Some((first + 1) % case.daemons)];
    let (mut name, mut sent) = (0, BTreeMap::new());
    let mut counts = [Counts::default(); 3];
    let mut crash_at = cluster.now() + case.crashes.unwrap_or(u64::MAX / 2);
    for (phase, hot) in hot.into_iter().enumerate() {
        let start = cluster.now();
        if phase == 2 && case.killed {
            cluster.kill_daemon(first);
        }
        while cluster.now() < start + PHASE_MS {
            name += 1;
            let daemon = match hot {
                Some(hot) if cluster.pick(SKEW) > 0 => hot,
                _ => cluster.any_daemon(),
            };
            if cluster.now() >= start + SETTLE_MS {
                sent.insert(name, phase);
                counts[phase].sent += 1;
            }
            cluster.call(name, Kind::Harmless, Repeat::Unsafe, daemon);
            if cluster.now() >= crash_at {
                crash_at += case.crashes.unwrap_or(u64::MAX / 2);
                let running = cluster.running_servers();
                let victim = cluster.pick(running.len());
                cluster.crash_server(running[victim]);
            }
            record(&mut counts, &sent, &cluster.run(case.interval));
        }
    }
    record(&mut counts, &sent, &cluster.run(5_000));
    counts
}

fn record(counts: &mut [Counts; 3], sent: &BTreeMap<u64, usize>, ended: &[Ended]) {
    for ended in ended.iter().filter(|e| e.outcome == Outcome::Served) {
        if let Some(phase) = sent.get(&ended.name) {
            counts[*phase].served += 1;
        }
    }
}

fn serves_as_before(case: Case) -> bool {
    let counts = run(case);
    let [before, phases @ ..] = counts;
    assert!(before.served > 0, "{counts:?}");
    for phase in phases {
        let (part, whole) = MIN_RATIO;
        let share = phase.served * before.sent * whole;
        assert!(share >= before.served * phase.sent * part, "{counts:?}");
    }
    true
}

cases! { serves_as_before;
    one_daemon_with_most_new_connections_serves_as_before: Case::new(9, 41) => true,
    one_daemon_of_thirty_with_most_new_connections_serves_as_before: Case::new(30, 42) => true,
    a_selecting_daemon_with_most_new_connections_serves_as_before: Case { selector: true, ..Case::new(9, 43) } => true,
    the_next_daemon_serves_as_before_once_the_first_is_gone: Case { killed: true, ..Case::new(9, 44) } => true,
    the_next_daemon_serves_as_before_once_a_selecting_one_is_gone: Case { killed: true, selector: true, ..Case::new(9, 45) } => true,
    one_daemon_serves_as_before_while_upstreams_crash: Case { crashes: Some(1_000), ..Case::new(9, 46) } => true,
    one_daemon_serves_as_before_under_full_load: Case { interval: 3, ..Case::new(9, 47) } => true,
}

//! The log client alone: each record takes effect once, in the same order everywhere.

use crate::cluster::{Cluster, Event, Retention};
use crate::tally::{Invariant, Tally};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use shaleline_log::{Position, Priority, StateMachine};
use shaleline_types::WriterId;
use std::collections::{BTreeMap, BTreeSet};

const NODES: usize = 4;
const STEPS: u64 = 3_000;
const SETTLE: u64 = 2_000;

/// Counts how often each record was applied and hashes their order.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct CountingMachine {
    counts: BTreeMap<u64, u64>,
    order: u64,
}

impl StateMachine for CountingMachine {
    type Body = u64;
    type Verdict = u64;

    fn apply(&mut self, _at: Position, body: &u64) -> u64 {
        let count = self.counts.entry(*body).or_default();
        *count += 1;
        self.order = self.order.wrapping_mul(31).wrapping_add(*body);
        *count
    }

    fn recover_verdict(&self, _writer: WriterId, body: &u64) -> u64 {
        self.counts.get(body).copied().unwrap_or(0)
    }
}

pub(crate) fn run(seed: u64, tally: &mut Tally) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let arbitrary_trim = seed % 4 == 3;
    let retention = if arbitrary_trim {
        Retention::Arbitrary
    } else {
        Retention::Covered
    };
    let mut cluster: Cluster<CountingMachine> = Cluster::new(NODES, retention);
    let mut next = 0;
    let mut acknowledged = BTreeSet::new();
    let mut sent = BTreeMap::new();
    for step in 0..STEPS + SETTLE {
        tally.next_step();
        if !tally.is_clean() {
            return;
        }
        if step == STEPS {
            cluster.heal();
        }
        if step < STEPS && rng.random_range(0..10) == 0 {
            let node = rng.random_range(0..NODES);
            next += 1;
            let ticket = cluster.nodes[node].replica.submit(Priority::Config, next);
            sent.insert((cluster.nodes[node].writer, ticket), next);
        }
        for event in cluster.step(&mut rng, tally) {
            match event {
                Event::Done { node, done } => {
                    let writer = cluster.nodes[node].writer;
                    if let Some(record) = sent.get(&(writer, done.ticket)) {
                        acknowledged.insert(*record);
                    }
                    tally.check(Invariant::Log, done.verdict == 1, || {
                        format!("a record took effect {} times", done.verdict)
                    });
                }
                Event::Reverted { node } => {
                    tally.check(Invariant::Log, false, || {
                        format!("process {node} applied fewer records than before")
                    });
                }
                Event::Replaced { .. } => {}
            }
        }
        if step > STEPS && cluster.is_quiescent() {
            break;
        }
    }
    check_final_state(&cluster, &acknowledged, arbitrary_trim, tally);
}

fn check_final_state(
    cluster: &Cluster<CountingMachine>,
    acknowledged: &BTreeSet<u64>,
    arbitrary_trim: bool,
    tally: &mut Tally,
) {
    let reference = cluster.reference();
    let counts = &reference.machine().counts;
    for record in acknowledged {
        let count = counts.get(record).copied().unwrap_or(0);
        tally.check(Invariant::Log, count == 1, || {
            format!("record {record} was acknowledged and took effect {count} times")
        });
    }
    let diverged = cluster.diverged();
    tally.check(
        Invariant::Log,
        diverged.is_empty() && cluster.is_quiescent(),
        || format!("processes {diverged:?} differ from the log"),
    );
    let halted = cluster
        .nodes
        .iter()
        .filter(|n| n.replica.halt().is_some())
        .count();
    tally.check(Invariant::Log, arbitrary_trim || halted == 0, || {
        format!("{halted} processes halted although snapshots cover all trimmed records")
    });
}

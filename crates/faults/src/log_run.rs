//! The log's client by itself: each record takes effect once, in one order.

use crate::tally::{Invariant, Tally};
use crate::world::{Event, Retention, World};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use shaleline_log::{Position, Priority, StateMachine};
use shaleline_types::WriterId;
use std::collections::{BTreeMap, BTreeSet};

const NODES: usize = 4;
const STEPS: u64 = 3_000;
const SETTLE: u64 = 2_000;

/// Records what it is given and how often.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Recorder {
    seen: BTreeMap<u64, u64>,
    order: u64,
}

impl StateMachine for Recorder {
    type Body = u64;
    type Verdict = u64;

    fn apply(&mut self, _at: Position, body: &u64) -> u64 {
        let count = self.seen.entry(*body).or_default();
        *count += 1;
        self.order = self.order.wrapping_mul(31).wrapping_add(*body);
        *count
    }

    fn recover_verdict(&self, _writer: WriterId, body: &u64) -> u64 {
        self.seen.get(body).copied().unwrap_or(0)
    }
}

pub(crate) fn run(seed: u64, tally: &mut Tally) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let rude = seed % 4 == 3;
    let retention = if rude {
        Retention::Rude
    } else {
        Retention::Covered
    };
    let mut world: World<Recorder> = World::new(NODES, retention);
    let mut next = 0;
    let mut acknowledged = BTreeSet::new();
    let mut sent = BTreeMap::new();
    for step in 0..STEPS + SETTLE {
        tally.next_step();
        if !tally.is_clean() {
            return;
        }
        if step == STEPS {
            world.heal();
        }
        if step < STEPS && rng.random_range(0..10) == 0 {
            let node = rng.random_range(0..NODES);
            next += 1;
            let ticket = world.nodes[node].replica.submit(Priority::Config, next);
            sent.insert((world.nodes[node].writer, ticket), next);
        }
        for event in world.step(&mut rng, tally) {
            match event {
                Event::Done { node, done } => {
                    let writer = world.nodes[node].writer;
                    if let Some(op) = sent.get(&(writer, done.ticket)) {
                        acknowledged.insert(*op);
                    }
                    tally.check(Invariant::Log, done.verdict == 1, || {
                        format!("a record took effect {} times", done.verdict)
                    });
                }
                Event::Reverted { node } => {
                    tally.check(Invariant::Log, false, || {
                        format!("process {node} went back")
                    });
                }
                Event::Replaced { .. } => {}
            }
        }
        if step > STEPS && world.is_quiet() {
            break;
        }
    }
    conclude(&world, &acknowledged, rude, tally);
}

fn conclude(world: &World<Recorder>, acknowledged: &BTreeSet<u64>, rude: bool, tally: &mut Tally) {
    let reference = world.reference();
    let seen = &reference.machine().seen;
    for op in acknowledged {
        let count = seen.get(op).copied().unwrap_or(0);
        tally.check(Invariant::Log, count == 1, || {
            format!("record {op} was acknowledged and took effect {count} times")
        });
    }
    let diverged = world.diverged();
    tally.check(
        Invariant::Log,
        diverged.is_empty() && world.is_quiet(),
        || format!("processes {diverged:?} differ from the log"),
    );
    let halted = world
        .nodes
        .iter()
        .filter(|n| n.replica.halt().is_some())
        .count();
    tally.check(Invariant::Log, rude || halted == 0, || {
        format!("{halted} processes halted although snapshots cover all")
    });
}

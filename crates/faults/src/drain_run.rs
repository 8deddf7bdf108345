//! Planned stops: whatever was admitted ends before the process does.

use crate::tally::{Invariant, Tally};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_route::{Drain, DrainAction, Unfinished};
use shaleline_types::Millis;

const STEPS: u64 = 2_000;
const STEP_MS: u64 = 20;

pub(crate) fn run(seed: u64, tally: &mut Tally) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut drain = Drain::new(Millis(1_500), Millis(600_000));
    let stop_at = rng.random_range(10..200);
    let mut requests: Vec<u64> = Vec::new();
    let mut records: Vec<u64> = Vec::new();
    let mut refusing = false;
    for step in 0..STEPS {
        tally.next_step();
        let now = Millis(step * STEP_MS);
        if !refusing && rng.random_range(0..3) == 0 {
            requests.push(step + rng.random_range(1..400));
        }
        let ended = requests.iter().filter(|end| **end <= step).count();
        requests.retain(|end| *end > step);
        records.extend((0..ended).map(|_| step + rng.random_range(1..20)));
        records.retain(|end| *end > step);
        let left = Unfinished {
            requests: requests.len(),
            records: records.len(),
        };
        let action = if step == stop_at {
            tally.fault();
            drain.stop(now)
        } else {
            drain.tick(left, now)
        };
        match action {
            Some(DrainAction::Refuse) => refusing = true,
            Some(DrainAction::Exit) => {
                let cut = left.requests + left.records;
                tally.check(Invariant::PlannedStop, cut == 0, || {
                    format!(
                        "{} requests and {} records were cut off",
                        left.requests, left.records
                    )
                });
                return;
            }
            Some(DrainAction::Announce) | None => {}
        }
    }
    tally.check(Invariant::PlannedStop, false, || {
        "it never stopped".to_owned()
    });
}

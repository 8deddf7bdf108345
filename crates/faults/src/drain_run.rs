//! Planned shutdown: all admitted work ends before the process exits.

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
    let mut request_ends: Vec<u64> = Vec::new();
    let mut record_ends: Vec<u64> = Vec::new();
    let mut refusing = false;
    for step in 0..STEPS {
        tally.next_step();
        let now = Millis(step * STEP_MS);
        if !refusing && rng.random_range(0..3) == 0 {
            request_ends.push(step + rng.random_range(1..400));
        }
        let ended = request_ends.iter().filter(|end| **end <= step).count();
        request_ends.retain(|end| *end > step);
        record_ends.extend((0..ended).map(|_| step + rng.random_range(1..20)));
        record_ends.retain(|end| *end > step);
        let unfinished = Unfinished {
            requests: request_ends.len(),
            records: record_ends.len(),
        };
        let action = if step == stop_at {
            tally.count_fault();
            drain.stop(now)
        } else {
            drain.tick(unfinished, now)
        };
        match action {
            Some(DrainAction::Refuse) => refusing = true,
            Some(DrainAction::Exit) => {
                let interrupted = unfinished.requests + unfinished.records;
                tally.check(Invariant::PlannedStop, interrupted == 0, || {
                    format!(
                        "exit interrupted {} requests and {} records",
                        unfinished.requests, unfinished.records
                    )
                });
                return;
            }
            Some(DrainAction::Announce) | None => {}
        }
    }
    tally.check(Invariant::PlannedStop, false, || {
        "the process did not exit".to_owned()
    });
}

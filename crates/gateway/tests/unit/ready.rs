//! A daemon that was starved of processor time, and the configuration that it missed.
//!
//! Callers of a route that had been added 6.2 s before were told that it does not exist, by one
//! daemon of 295; the bound was 4 s. The daemon planned for 240 engines: each plan took 0.3 s of
//! its half of a core, so every other task ran once in 0.6 s. The watch of the configuration
//! was cut off, its history was gone, and each of the steps that follow (notice, ask other
//! daemons, ask again, read all, apply) took one more round. In a run of the same day its
//! version came into force 3.5 s after it was accepted, on all others within 1.6 s.

use crate::read_progress::ReadProgress;
use crate::ready::is_behind;
use crate::stall::StallDetector;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use shaleline_testkit::cases;
use shaleline_types::Millis;
use Step::{Read, Run, Stall};

const START: u64 = 1_000_000;
const APPLY: Millis = Millis(4_000);
const TICK: u64 = 10;

/// What a daemon does, one after the other.
#[derive(Clone, Copy)]
enum Step {
    /// It runs as it should for so long.
    Run(u64),
    /// It gets no processor time for so long.
    Stall(u64),
    /// It reads the configuration.
    Read,
}

/// Whether it should take no work after these steps.
fn behind(steps: &[Step]) -> bool {
    let mut now = Millis(START);
    let mut pulse = StallDetector::new(now);
    let mut reading = ReadProgress::default();
    for step in steps {
        match *step {
            Run(ms) => {
                for _ in 0..ms / TICK {
                    now = now.plus(TICK);
                    pulse.on_tick(TICK, now);
                }
            }
            Stall(ms) => {
                now = now.plus(ms);
                pulse.on_tick(TICK, now);
            }
            Read => reading.on_config(7, now),
        }
    }
    is_behind(&reading, &pulse, APPLY, now)
}

cases! { behind;
    not_while_it_knows_the_newest: &[Read, Run(1_000)] => false,
    not_where_the_store_is_silent: &[Read, Run(60_000)] => false,
    not_after_a_short_stall: &[Read, Stall(600)] => false,
    after_stalls_that_leave_no_time_to_read:
        &[Read, Run(2_000), Stall(600), Stall(600), Stall(600), Run(100)] => true,
    after_standing_still: &[Read, Stall(7_000)] => true,
    not_once_it_has_read_again: &[Read, Stall(7_000), Run(100), Read, Run(100)] => false,
    not_before_it_has_read_anything: &[Stall(7_000)] => false,
}

/// How long a read waits for a change.
const WAIT: u64 = 2_500;

/// One round of a daemon's tasks: how long it had waited for it, and whether the pulse runs
/// before the other tasks.
#[derive(Debug, Clone, Copy)]
struct Round {
    gap: u64,
    pulse_first: bool,
}

impl Arbitrary for Round {
    fn arbitrary(g: &mut Gen) -> Self {
        let longest = *g.choose(&[15, 15, 60, 240, 700, 5_000]).expect("some");
        Self {
            gap: u64::arbitrary(g) % longest + 1,
            pulse_first: bool::arbitrary(g),
        }
    }
}

/// When the store answers what was asked at `asked`: at the first change, or when the wait is
/// over.
fn answered_at(asked: Millis, next: Option<&Millis>) -> Millis {
    let end = asked.plus(WAIT);
    next.map_or(end, |change| (*change).max(asked).min(end))
}

/// A daemon before a store that always answers never serves by a version that another one
/// replaced longer ago than the bound, in whatever rounds its tasks run. Versions are accepted
/// after these pauses.
fn serves_by_no_old_version(rounds: Vec<Round>, pauses: Vec<u16>) -> bool {
    let mut now = Millis(START);
    let mut pulse = StallDetector::new(now);
    let mut reading = ReadProgress::default();
    reading.on_config(0, now);
    let accepted = pauses.into_iter().scan(now, |last, pause| {
        *last = last.plus(u64::from(pause) % 6_000 + 1);
        Some(*last)
    });
    let accepted: Vec<Millis> = accepted.collect();
    let mut asked = now;
    let mut known = 0;
    for round in rounds {
        now = now.plus(round.gap);
        if round.pulse_first {
            pulse.on_tick(TICK, now);
        }
        let answered = answered_at(asked, accepted.get(known));
        if answered <= now {
            known = accepted.iter().filter(|a| **a <= answered).count();
            let came = Millis(now.0 - pulse.lag(now)).max(asked);
            reading.on_config(known as u64, came);
            asked = now;
        }
        if !round.pulse_first {
            pulse.on_tick(TICK, now);
        }
        let due = accepted.iter().filter(|a| a.plus(APPLY.0) <= now).count();
        if known < due && !is_behind(&reading, &pulse, APPLY, now) {
            return false;
        }
    }
    true
}

#[test]
fn a_starved_daemon_serves_by_no_old_version() {
    const SEED: u64 = 20_261_203;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, SEED))
        .tests(2_000)
        .quickcheck(serves_by_no_old_version as fn(Vec<Round>, Vec<u16>) -> bool);
}

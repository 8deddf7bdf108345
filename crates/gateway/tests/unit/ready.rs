//! Tests of a daemon that gets too little processor time and misses a new configuration.
//!
//! One daemon of 295 refused requests for a route as unknown 6.2 s after the route had been added;
//! the bound was 4 s. The daemon planned for 240 engines: each plan took 0.3 s of its half of a
//! core, so every other task ran once in 0.6 s. Its watch of the configuration was interrupted, the
//! history was no longer available, and each step of the recovery (detect the gap, request the
//! configuration from other daemons, request it again, read all of it, apply it) took one more
//! round. In another run, that daemon applied the version 3.5 s after it was accepted, and all
//! other daemons within 1.6 s.

use crate::message::ReadPosition;
use crate::read_progress::ReadProgress;
use crate::ready::is_behind;
use crate::stall::StallDetector;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use shaleline_testkit::cases;
use shaleline_types::{Millis, Position};
use Step::{Newer, Read, Run, Stall};

const START_MS: u64 = 1_000_000;
const APPLY_BOUND: Millis = Millis(4_000);
const TICK_MS: u64 = 10;

/// One step of a daemon.
#[derive(Clone, Copy)]
enum Step {
    /// It runs without stalls for this time, in milliseconds.
    Run(u64),
    /// It gets no processor time for this time, in milliseconds.
    Stall(u64),
    /// It reads the configuration.
    Read,
    /// The daemon that it follows reports that it has read a newer configuration.
    Newer,
}

fn newer_position() -> ReadPosition {
    ReadPosition {
        config: Position::new(0, 8),
        config_age: 0,
        confirmed_age: None,
        changes: 0,
        changes_age: 0,
        reads_store: true,
    }
}

/// Whether the configuration of a daemon may be outdated after these steps.
fn is_behind_after(steps: &[Step]) -> bool {
    let mut now = Millis(START_MS);
    let mut detector = StallDetector::new(now);
    let mut reading = ReadProgress::default();
    for step in steps {
        match *step {
            Run(ms) => {
                for _ in 0..ms / TICK_MS {
                    now = now.plus(TICK_MS);
                    detector.on_tick(TICK_MS, now);
                }
            }
            Stall(ms) => {
                now = now.plus(ms);
                detector.on_tick(TICK_MS, now);
            }
            Read => reading.on_config(Position::new(0, 7), now),
            Newer => reading.on_position(1, newer_position(), now),
        }
    }
    is_behind(&reading, &detector, APPLY_BOUND, now)
}

/// Whether a daemon counts as overloaded after these steps.
fn is_overloaded_after(steps: &[Step]) -> bool {
    let mut now = Millis(START_MS);
    let mut detector = StallDetector::new(now);
    for step in steps {
        let (rounds, interval) = match *step {
            Run(ms) => (ms / TICK_MS, TICK_MS),
            Stall(ms) => (1, ms),
            Read | Newer => continue,
        };
        for _ in 0..rounds {
            now = now.plus(interval);
            detector.on_tick(TICK_MS, now);
        }
    }
    detector.is_overloaded()
}

cases! { is_overloaded_after;
    a_daemon_in_time_is_not_overloaded: &[Run(5_000)] => false,
    a_suspended_daemon_is_not_overloaded: &[Run(1_000), Stall(4_000), Run(10)] => false,
    short_delays_are_no_overload: &[Stall(60), Run(100), Stall(90), Run(100), Stall(80), Run(100)] => false,
    rounds_that_take_long_are_an_overload: &[Stall(220), Stall(250), Stall(240), Stall(230)] => true,
    a_throttled_daemon_with_work_left_is_overloaded:
        &[Stall(85), Stall(85), Stall(85), Stall(85), Stall(85), Stall(85), Stall(85), Stall(85), Stall(85), Stall(85)] => true,
    an_overload_ends: &[Stall(220), Stall(250), Stall(240), Stall(230), Run(1_200)] => false,
}

cases! { is_behind_after;
    not_with_the_newest_configuration: &[Read, Run(1_000)] => false,
    not_while_the_store_does_not_answer: &[Read, Run(60_000)] => false,
    not_after_a_short_stall: &[Read, Stall(600)] => false,
    after_stalls_that_leave_no_time_to_read:
        &[Read, Run(2_000), Stall(600), Stall(600), Stall(600), Run(100)] => true,
    after_a_long_stall: &[Read, Stall(7_000)] => true,
    not_after_another_read: &[Read, Stall(7_000), Run(100), Read, Run(100)] => false,
    not_before_the_first_read: &[Stall(7_000)] => false,
    not_while_a_newer_configuration_is_copied: &[Read, Run(300), Newer, Run(2_400)] => false,
    without_a_newer_configuration_that_is_known_near_the_bound:
        &[Read, Run(300), Newer, Run(3_600)] => true,
    not_after_a_newer_configuration_is_read: &[Newer, Run(3_000), Read, Run(3_600)] => false,
}

/// The time for which a read waits for a change.
const READ_WAIT_MS: u64 = 2_500;

/// One round of a daemon's tasks: the time since the previous one, and whether the stall detector
/// runs before the other tasks.
#[derive(Debug, Clone, Copy)]
struct Round {
    gap: u64,
    detector_first: bool,
}

impl Arbitrary for Round {
    fn arbitrary(g: &mut Gen) -> Self {
        let limit = *g.choose(&[15, 15, 60, 240, 700, 5_000]).expect("a choice");
        Self {
            gap: u64::arbitrary(g) % limit + 1,
            detector_first: bool::arbitrary(g),
        }
    }
}

/// When the store answers a read that was requested at this time: at the first change, or at the
/// end of the wait.
fn answered_at(requested: Millis, next: Option<&Millis>) -> Millis {
    let end = requested.plus(READ_WAIT_MS);
    next.map_or(end, |change| (*change).max(requested).min(end))
}

/// Where the store always answers, a daemon never uses a version that was replaced longer ago than
/// the bound, whatever the timing of its tasks. Versions are accepted after these pauses.
fn uses_no_outdated_version(rounds: Vec<Round>, pauses: Vec<u16>) -> bool {
    let mut now = Millis(START_MS);
    let mut detector = StallDetector::new(now);
    let mut reading = ReadProgress::default();
    reading.on_config(Position::default(), now);
    let accepted = pauses.into_iter().scan(now, |last, pause| {
        *last = last.plus(u64::from(pause) % 6_000 + 1);
        Some(*last)
    });
    let accepted: Vec<Millis> = accepted.collect();
    let mut requested = now;
    let mut known = 0;
    for round in rounds {
        now = now.plus(round.gap);
        if round.detector_first {
            detector.on_tick(TICK_MS, now);
        }
        let answered = answered_at(requested, accepted.get(known));
        if answered <= now {
            known = accepted.iter().filter(|a| **a <= answered).count();
            let received = Millis(now.0 - detector.lag(now)).max(requested);
            reading.on_config(Position::new(0, known as u64), received);
            requested = now;
        }
        if !round.detector_first {
            detector.on_tick(TICK_MS, now);
        }
        let due = accepted
            .iter()
            .filter(|a| a.plus(APPLY_BOUND.0) <= now)
            .count();
        if known < due && !is_behind(&reading, &detector, APPLY_BOUND, now) {
            return false;
        }
    }
    true
}

#[test]
fn a_starved_daemon_uses_no_outdated_version() {
    const SEED: u64 = 20_261_203;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, SEED))
        .tests(2_000)
        .quickcheck(uses_no_outdated_version as fn(Vec<Round>, Vec<u16>) -> bool);
}

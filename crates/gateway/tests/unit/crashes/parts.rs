//! Tests that a part of prompts that crashes upstreams is blocked after few crashes, and that other
//! requests of the same callers are served.
//!
//! Symptom: 33 engines crashed one after the other within ten seconds, and then 27 more. The
//! requests under which they crashed had nothing in common but one part of their prompts.

use super::cluster::{Cluster, Ended, Kind, Outcome};
use crate::Repeat;
use shaleline_testkit::cases;
use std::collections::BTreeMap;

/// The part that crashes each upstream which begins to answer a request with it.
const FATAL_PART: u64 = 0xfa7a1;

/// The numbers of the first and second parts that requests share, and of rare second parts.
const FIRST_PARTS: usize = 3;
const SECOND_PARTS: usize = 40;

/// The time for which fatal requests arrive.
const FATAL_PERIOD_MS: u64 = 25_000;

/// The most upstreams that requests with the part may crash: it is known before the fifth crash.
const MAX_PART_CRASHES: usize = 5;

/// The most upstreams that they may crash where daemons are killed meanwhile, or where several such
/// requests are under way at the first crash.
const MAX_DISTURBED_CRASHES: usize = 8;

/// The crash after which, `STABLE_MS` later, few requests with the part reach upstreams.
const KNOWN_CRASHES: usize = 5;
const STABLE_MS: u64 = 3_000;
const MAX_LATE_ARRIVALS: usize = 3;

/// With a shorter interval than this between fatal requests, several are under way at once.
const SHORT_INTERVAL_MS: u64 = 60;

/// The time after the last crash from which sound requests are served as before.
const RECOVERY_MS: u64 = 6_000;

/// What happens to the daemons while the fatal requests arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// The daemon that selects is killed after each crash, and starts again.
    SelectorsKilled,
    /// One daemon after the other is killed and starts again.
    DaemonsReplaced,
}

/// A play: callers send sound requests all the time and fatal ones at random intervals.
#[derive(Debug, Clone, Copy)]
struct Play {
    daemons: usize,
    seed: u64,
    trouble: Trouble,
    /// The bounds of the interval between two fatal requests, in milliseconds.
    interval: (u64, u64),
    /// The position of the fatal part in the prompt.
    position: usize,
    /// The numbers of parts of fatal and of sound requests, the last one included.
    lengths: (usize, usize),
}

impl Play {
    const fn new(daemons: usize, seed: u64) -> Self {
        Self {
            daemons,
            seed,
            trouble: Trouble::None,
            interval: (60, 400),
            position: 1,
            lengths: (3, 3),
        }
    }

    const fn under(self, trouble: Trouble) -> Self {
        Self { trouble, ..self }
    }

    const fn at(self, position: usize, parts: usize) -> Self {
        Self {
            position,
            lengths: (parts, self.lengths.1),
            ..self
        }
    }

    const fn every(self, least: u64, most: u64) -> Self {
        Self {
            interval: (least, most),
            ..self
        }
    }
}

/// What callers got in a play.
#[derive(Debug, Default)]
struct Result {
    crashes: usize,
    last_crash: u64,
    /// The fatal requests that reached an upstream too late.
    late_arrivals: usize,
    /// The sound requests from `RECOVERY_MS` after the last crash on, and those served of them.
    late: usize,
    late_served: usize,
    sound: usize,
    served: usize,
    /// The sound requests that were refused as if they crashed upstreams.
    blamed: usize,
}

/// The parts of a prompt: shared ones, and a last one of its own.
pub(super) fn prompt(cluster: &mut Cluster, name: u64, length: usize) -> Vec<u64> {
    let mut parts = vec![0x1000 + cluster.pick(FIRST_PARTS) as u64];
    while parts.len() + 1 < length {
        let part = cluster.pick(SECOND_PARTS) as u64;
        parts.push(0x1000 * (parts.len() as u64 + 1) + part);
    }
    parts.push(0x100_0000 + name);
    parts
}

fn fatal_prompt(cluster: &mut Cluster, name: u64, play: &Play) -> Vec<u64> {
    let mut parts = prompt(cluster, name, play.lengths.0);
    parts[play.position] = FATAL_PART;
    parts
}

/// Kills and starts daemons as the trouble wants.
struct Disturber {
    trouble: Trouble,
    seen_crashes: usize,
    killed: Option<(usize, u64)>,
    next: usize,
}

impl Disturber {
    /// The time after which a killed daemon starts again, and the pause until the next one is
    /// killed.
    const RESTART_MS: u64 = 700;
    const PAUSE_MS: u64 = 1_500;

    fn step(&mut self, cluster: &mut Cluster) {
        if let Some((daemon, at)) = self.killed {
            if cluster.now() > at + Self::RESTART_MS {
                cluster.add_daemon(daemon);
                self.killed = None;
            }
            return;
        }
        let victim = match self.trouble {
            Trouble::SelectorsKilled if cluster.fatal_crashes > self.seen_crashes => {
                cluster.selector()
            }
            Trouble::DaemonsReplaced
                if cluster.fatal_crashes > 0
                    && cluster.now() % (Self::RESTART_MS + Self::PAUSE_MS) < 25 =>
            {
                self.next += 1;
                self.next % cluster.daemons()
            }
            _ => return,
        };
        self.seen_crashes = cluster.fatal_crashes;
        cluster.kill_daemon(victim);
        self.killed = Some((victim, cluster.now()));
    }
}

const STEP_MS: u64 = 25;

fn run(play: &Play) -> Result {
    let mut cluster = Cluster::new(play.daemons, 12, play.seed);
    let mut disturber = Disturber {
        trouble: play.trouble,
        seen_crashes: 0,
        killed: None,
        next: 0,
    };
    let (mut result, mut sent, mut name) = (Result::default(), BTreeMap::new(), 0);
    let mut known = None;
    let start = cluster.now();
    // Callers have been served before the first fatal request.
    let mut next_fatal = start + 3_000;
    while cluster.now() < start + 3_000 + FATAL_PERIOD_MS + RECOVERY_MS {
        name += 1;
        let parts = prompt(&mut cluster, name, play.lengths.1);
        let daemon = cluster.any_daemon();
        sent.insert(name, cluster.now());
        cluster.call_with_parts(name, Kind::Harmless, (Repeat::Unsafe, parts), daemon);
        if cluster.now() >= next_fatal && cluster.now() < start + 3_000 + FATAL_PERIOD_MS {
            name += 1;
            let parts = fatal_prompt(&mut cluster, name, play);
            let daemon = cluster.any_daemon();
            cluster.call_with_parts(name, Kind::Fatal, (Repeat::Unsafe, parts), daemon);
            let (least, most) = play.interval;
            next_fatal += least + cluster.pick((most - least) as usize) as u64;
        }
        for ended in cluster.run(STEP_MS) {
            if let Some(at) = sent.get(&ended.name) {
                result.record(*at, &ended);
            }
        }
        if cluster.fatal_crashes > result.crashes {
            if result.crashes < KNOWN_CRASHES && cluster.fatal_crashes >= KNOWN_CRASHES {
                known = Some(cluster.now());
            }
            (result.crashes, result.last_crash) = (cluster.fatal_crashes, cluster.now());
            (result.late, result.late_served) = (0, 0);
        }
        disturber.step(&mut cluster);
    }
    let is_late = |at: &&u64| known.is_some_and(|known| **at > known + STABLE_MS);
    result.late_arrivals = cluster.fatal_arrivals.iter().filter(is_late).count();
    result
}

impl Result {
    fn record(&mut self, at: u64, ended: &Ended) {
        let (late, served) = (
            usize::from(at >= self.last_crash + RECOVERY_MS),
            usize::from(ended.outcome == Outcome::Served),
        );
        self.blamed += usize::from(ended.blocked);
        self.sound += 1;
        self.served += served;
        self.late += late;
        self.late_served += late * served;
    }
}

/// Few upstreams crash under requests with one part, and sound requests are served.
fn a_part_crashes_few_upstreams(play: Play) -> bool {
    let result = run(&play);
    let is_calm = play.trouble == Trouble::None && play.interval.0 >= SHORT_INTERVAL_MS;
    let most = match is_calm {
        true => MAX_PART_CRASHES,
        false => MAX_DISTURBED_CRASHES,
    };
    assert!(result.crashes > 0, "the part crashed no upstream");
    assert!(result.crashes <= most, "{result:?}");
    assert!(result.late_arrivals <= MAX_LATE_ARRIVALS, "{result:?}");
    assert_eq!(result.blamed, 0, "{result:?}");
    assert!(result.late >= 20, "{result:?}");
    assert!(result.late_served * 100 >= result.late * 95, "{result:?}");
    assert!(result.served * 100 >= result.sound * 90, "{result:?}");
    true
}

cases! { a_part_crashes_few_upstreams;
    one_part_of_prompts_crashes_few_upstreams_with_9_daemons: Play::new(9, 21) => true,
    one_part_of_prompts_crashes_few_upstreams_with_30_daemons: Play::new(30, 22) => true,
    one_first_part_crashes_few_upstreams: Play::new(9, 23).at(0, 2) => true,
    one_third_part_crashes_few_upstreams: Play::new(9, 24).at(2, 4) => true,
    one_part_of_frequent_requests_crashes_few_upstreams: Play::new(9, 25).every(10, 60) => true,
    one_part_of_rare_requests_crashes_few_upstreams: Play::new(9, 26).every(1_500, 3_000) => true,
    one_part_crashes_few_upstreams_while_selectors_are_killed: Play::new(9, 27).under(Trouble::SelectorsKilled) => true,
    one_part_crashes_few_upstreams_while_daemons_are_replaced: Play::new(9, 28).under(Trouble::DaemonsReplaced) => true,
}

#[test]
#[ignore = "295 daemons take a minute"]
fn one_part_of_prompts_crashes_few_upstreams_with_295_daemons() {
    assert!(a_part_crashes_few_upstreams(Play::new(295, 29)));
}

/// Seeded plays, run by hand; each play that fails prints its result.
#[test]
#[ignore = "many plays"]
fn many_seeds() {
    let plays = |seed: u64| {
        [
            Play::new(9, seed),
            Play::new(9, seed).at(0, 2),
            Play::new(9, seed).at(2, 4),
            Play::new(9, seed).every(10, 60),
            Play::new(9, seed).every(1_500, 3_000),
            Play::new(9, seed).under(Trouble::SelectorsKilled),
            Play::new(9, seed).under(Trouble::DaemonsReplaced),
        ]
    };
    let failed = (1_000..1_020).flat_map(plays).filter(|play| {
        let result = std::panic::catch_unwind(|| a_part_crashes_few_upstreams(*play));
        if result.is_err() {
            println!("{play:?}");
        }
        result.is_err()
    });
    assert_eq!(failed.count(), 0);
}

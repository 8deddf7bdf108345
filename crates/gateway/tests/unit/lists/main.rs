//! Tests that all daemons list the same upstreams as the store, whatever they have read themselves.

mod cluster;

use cluster::Cluster;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use shaleline_testkit::cases;

/// The time after the last event within which all lists are equal to the store's: some digests and a copy.
const SETTLE_MS: u64 = 8_000;

const SEEDS: u64 = 40;

/// The lists that differ after the store was away, its entries lapsed, and their upstreams listed
/// themselves again within this time; and how often daemons forgot upstreams meanwhile.
fn after_store_was_away(latest: u64) -> (Vec<(u64, Vec<String>)>, usize) {
    let mut forgotten = 0;
    let play = |seed| {
        let mut cluster = Cluster::new(seed, 100);
        assert_eq!(cluster.differences(), Vec::<String>::new(), "seed {seed}");
        cluster.lose_store(latest);
        cluster.run(SETTLE_MS);
        forgotten += cluster.forgotten;
        (seed, cluster.differences())
    };
    let plays: Vec<(u64, Vec<String>)> = (0..SEEDS).map(play).collect();
    let differ = plays.into_iter().filter(|(_, d)| !d.is_empty());
    (differ.collect(), forgotten)
}

// Guards against daemons that never use upstreams again whose entries lapsed while the store was away:
// they had read the removals themselves, and followed a daemon for which nothing had changed.
cases! { after_store_was_away;
    upstreams_that_list_themselves_again_at_once_are_used: 300 => (vec![], 0),
}

/// What happens to the list, to the daemons or to the store.
#[derive(Debug, Clone, Copy)]
enum Event {
    Remove(usize),
    List(usize),
    RestartDaemon,
    LoseStore(u64),
    Wait(u64),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = usize::arbitrary(g) % 4;
        match u8::arbitrary(g) % 8 {
            0 => Self::Remove(number),
            1 | 2 => Self::List(number),
            3 => Self::RestartDaemon,
            4 => Self::LoseStore(u64::arbitrary(g) % 2_500),
            _ => Self::Wait(u64::arbitrary(g) % 3_000),
        }
    }
}

fn lists_become_equal(seed: u64, events: Vec<Event>) -> bool {
    let mut cluster = Cluster::new(seed, 12);
    for event in events.into_iter().take(12) {
        match event {
            Event::Remove(number) => cluster.set_listed(number, false),
            Event::List(number) => cluster.set_listed(number, true),
            Event::RestartDaemon => cluster.restart(),
            Event::LoseStore(latest) => cluster.lose_store(latest),
            Event::Wait(millis) => cluster.run(millis),
        }
    }
    cluster.run(SETTLE_MS);
    cluster.differences().is_empty()
}

/// Guards against lists that stay different after removals, returns, restarts, lost messages and changes
/// of the daemon that reads.
#[test]
fn all_lists_become_equal_to_the_list_of_the_store() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 85))
        .tests(60)
        .quickcheck(lists_become_equal as fn(u64, Vec<Event>) -> bool);
}

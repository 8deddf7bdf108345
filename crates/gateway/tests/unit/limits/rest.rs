//! Engines turn daemons away and ask them for rest.

use super::cluster::{Cluster, Size, NAMING_MS};
use super::{cause, Trouble, LARGE, SEEDS, SMALL};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_testkit::cases;

/// The bounds of the time for which an engine turns all requests away.
const SHED_MS: (u64, u64) = (1_500, 6_000);

fn play(size: Size, seed: u64, trouble: Trouble) -> Cluster {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut cluster = Cluster::new(size, seed);
    let end = cluster.now() + NAMING_MS;
    while cluster.now() < end {
        cluster.run(rng.random_range(200..1_500));
        let engine = rng.random_range(0..size.engines);
        cluster.shed(engine, rng.random_range(SHED_MS.0..=SHED_MS.1));
        cause(&mut cluster, trouble, &mut rng);
    }
    assert!(cluster.rests().asked() > 0, "seed {seed}");
    cluster
}

/// The seeds on which more requests of a daemon than allowed reached an engine in its rest.
fn excess(size: Size, seeds: u64, trouble: Trouble) -> Vec<(u64, String)> {
    let excess = |seed| {
        let cluster = play(size, seed, trouble);
        let excess = cluster.rests().excess();
        excess.map(|text| (seed, text.to_owned()))
    };
    (1..=seeds).filter_map(excess).collect()
}

fn small(trouble: Trouble) -> Vec<(u64, String)> {
    excess(SMALL, SEEDS, trouble)
}

fn large(trouble: Trouble) -> Vec<(u64, String)> {
    excess(LARGE, 1, trouble)
}

cases! {
    small;
    a_daemon_that_is_asked_for_rest_sends_nothing_more: Trouble::Nothing => Vec::new(),
    rest_is_kept_while_daemons_are_killed: Trouble::Kills => Vec::new(),
    rest_is_kept_while_daemons_are_cut_off: Trouble::Cuts => Vec::new(),
    rest_is_kept_while_daemons_stall: Trouble::Stalls => Vec::new(),
    rest_is_kept_in_all_troubles: Trouble::All => Vec::new(),
}

cases! {
    large;
    daemons_by_the_hundred_keep_rest: Trouble::Nothing => Vec::new(),
    rest_is_kept_in_all_troubles_before_hundreds: Trouble::All => Vec::new(),
}

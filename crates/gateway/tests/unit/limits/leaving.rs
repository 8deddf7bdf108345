//! Engines say in their answers that they are leaving, while no entry says so.

use super::cluster::{Cluster, Size, NAMING_MS};
use super::{cause, Trouble, LARGE, SEEDS, SMALL};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_testkit::cases;

/// One in this many engines leaves. Each model is held by three engines, of which two stay.
const LEAVING_INTERVAL: usize = 3;

fn play(size: Size, seed: u64, trouble: Trouble) -> Cluster {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut cluster = Cluster::new(size, seed);
    let mut leaving = (0..size.engines).step_by(LEAVING_INTERVAL);
    let end = cluster.now() + NAMING_MS;
    while cluster.now() < end {
        cluster.run(rng.random_range(200..1_500));
        if let Some(engine) = leaving.next() {
            cluster.announce_leaving(engine);
        }
        cause(&mut cluster, trouble, &mut rng);
    }
    assert!(cluster.leavings().engines() > 2, "seed {seed}");
    cluster
}

/// The seeds on which a daemon that passed on such an answer sent another request later.
fn late(size: Size, seeds: u64, trouble: Trouble) -> Vec<(u64, String)> {
    let late = |seed| {
        let cluster = play(size, seed, trouble);
        let late = cluster.leavings().late();
        late.map(|text| (seed, text.to_owned()))
    };
    (1..=seeds).filter_map(late).collect()
}

fn small(trouble: Trouble) -> Vec<(u64, String)> {
    late(SMALL, SEEDS, trouble)
}

fn large(trouble: Trouble) -> Vec<(u64, String)> {
    late(LARGE, 1, trouble)
}

cases! {
    small;
    an_engine_whose_answers_say_that_it_leaves_gets_no_more: Trouble::Nothing => Vec::new(),
    a_leaving_engine_gets_no_more_while_daemons_are_killed: Trouble::Kills => Vec::new(),
    a_leaving_engine_gets_no_more_while_daemons_are_cut_off: Trouble::Cuts => Vec::new(),
    a_leaving_engine_gets_no_more_while_daemons_stall: Trouble::Stalls => Vec::new(),
    a_leaving_engine_gets_no_more_in_all_troubles: Trouble::All => Vec::new(),
}

cases! {
    large;
    a_leaving_engine_gets_no_more_of_daemons_by_the_hundred: Trouble::Nothing => Vec::new(),
    a_leaving_engine_gets_no_more_in_all_troubles_before_hundreds: Trouble::All => Vec::new(),
}

/// The seeds on which any daemon sent a request later, or a request was not served.
fn late_or_unserved(size: Size) -> Vec<(u64, Option<String>, usize)> {
    let failed = |seed| {
        let cluster = play(size, seed, Trouble::Nothing);
        let late = cluster.leavings().late_elsewhere().map(str::to_owned);
        let unserved = cluster.unserved();
        (late.is_some() || unserved > 0).then_some((seed, late, unserved))
    };
    (1..=SEEDS).filter_map(failed).collect()
}

cases! {
    late_or_unserved;
    all_daemons_learn_that_an_engine_leaves_and_the_others_serve: SMALL => Vec::new(),
}

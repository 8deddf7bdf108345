//! Tests that callers of daemons which have lost all paths to the upstreams are served like those
//! of the others, in deployments of any size. The time is simulated.

pub mod cluster;

use cluster::{Cluster, Path, Served};
use shaleline_testkit::cases;

/// The time after the cut from which requests count, and the time for which they do.
const SETTLE_MS: u64 = 3_000;
const COUNTED_MS: u64 = 4_000;

/// The interval between two requests at a daemon, in milliseconds.
const INTERVAL_MS: u64 = 125;

/// The users' bound: daemons that are cut off serve two thirds of what the others serve.
const MIN_RATIO: (usize, usize) = (2, 3);

/// The daemons that are cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    One,
    Third,
    TwoThirds,
    Centre,
    Hubs,
    /// All daemons that most daemons know, and a third of the others.
    KnownAndThird,
    AllButOne,
}

fn cut_daemons(cluster: &Cluster, cut: Cut) -> Vec<usize> {
    let all = 0..cluster.len();
    match cut {
        Cut::One => vec![cluster.len() / 2],
        // Data centres take turns in the numbers of the daemons.
        Cut::Third => all.filter(|d| d / 3 % 3 == 0).collect(),
        Cut::TwoThirds => all.filter(|d| d / 3 % 3 != 0).collect(),
        Cut::Centre => all.filter(|d| d % 3 == 0).collect(),
        Cut::Hubs => cluster.hubs(),
        Cut::KnownAndThird => {
            let known = cluster.known_to_most();
            all.filter(|d| known.contains(d) || d / 3 % 3 == 0)
                .collect()
        }
        Cut::AllButOne => all.filter(|d| *d != cluster.len() / 2).collect(),
    }
}

fn run((daemons, cut, path, seed): (usize, Cut, Path, u64)) -> Served {
    let runtime = || {
        let builder = &mut tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().start_paused(true).build();
        runtime.expect("a runtime")
    };
    actix_rt::System::with_tokio_rt(runtime).block_on(async move {
        let mut cluster = Cluster::start(daemons, seed).await;
        // One daemon can't carry the tunnels of all callers of hundreds of others.
        cluster.interval = match cut {
            Cut::AllButOne => INTERVAL_MS.max(8 * daemons as u64),
            _ => INTERVAL_MS,
        };
        cluster.run(1_000, 0).await;
        cluster.set_paths(&cut_daemons(&cluster, cut), path);
        cluster.run(SETTLE_MS + COUNTED_MS, SETTLE_MS).await
    })
}

fn serves_like_others(case: (usize, Cut, Path, u64)) -> bool {
    let Served { cut, others } = run(case);
    println!("{case:?} {cut:?} {others:?}");
    assert!(cut.sent > 0 && others.served > 0, "{cut:?} {others:?}");
    let (part, whole) = MIN_RATIO;
    cut.served * others.sent * whole >= others.served * cut.sent * part
}

cases! {
    serves_like_others;
    one_of_nine_daemons_that_gets_no_answer_serves_its_callers: (9, Cut::One, Path::Silent, 1) => true,
    a_third_of_nine_daemons_that_get_no_answers_serve_their_callers: (9, Cut::Third, Path::Silent, 2) => true,
    a_data_centre_of_nine_daemons_that_get_no_answers_serves_its_callers: (9, Cut::Centre, Path::Silent, 3) => true,
    all_but_one_of_nine_daemons_that_get_no_answers_serve_their_callers: (9, Cut::AllButOne, Path::Silent, 4) => true,
    a_third_of_ninety_daemons_that_get_no_answers_serve_their_callers: (90, Cut::Third, Path::Silent, 5) => true,
    two_thirds_of_ninety_daemons_that_get_no_answers_serve_their_callers: (90, Cut::TwoThirds, Path::Silent, 6) => true,
    a_data_centre_of_ninety_daemons_that_get_no_answers_serves_its_callers: (90, Cut::Centre, Path::Silent, 7) => true,
    the_hubs_of_ninety_daemons_that_get_no_answers_serve_their_callers: (90, Cut::Hubs, Path::Silent, 8) => true,
    a_third_of_ninety_daemons_and_all_known_ones_that_get_no_answers_serve_their_callers: (90, Cut::KnownAndThird, Path::Silent, 17) => true,
    a_third_of_295_daemons_and_all_known_ones_whose_connections_are_reset_serve_their_callers: (295, Cut::KnownAndThird, Path::Reset, 18) => true,
    all_but_one_of_ninety_daemons_that_get_no_answers_serve_their_callers: (90, Cut::AllButOne, Path::Silent, 9) => true,
    a_third_of_ninety_daemons_whose_connections_are_reset_serve_their_callers: (90, Cut::Third, Path::Reset, 10) => true,
    two_thirds_of_ninety_daemons_whose_connections_are_reset_serve_their_callers: (90, Cut::TwoThirds, Path::Reset, 11) => true,
    all_but_one_of_ninety_daemons_whose_connections_are_reset_serve_their_callers: (90, Cut::AllButOne, Path::Reset, 12) => true,
    a_third_of_295_daemons_that_get_no_answers_serve_their_callers: (295, Cut::Third, Path::Silent, 13) => true,
    two_thirds_of_295_daemons_that_get_no_answers_serve_their_callers: (295, Cut::TwoThirds, Path::Silent, 14) => true,
    a_data_centre_of_295_daemons_that_get_no_answers_serves_its_callers: (295, Cut::Centre, Path::Silent, 15) => true,
    all_but_one_of_295_daemons_whose_connections_are_reset_serve_their_callers: (295, Cut::AllButOne, Path::Reset, 16) => true,
}

/// Runs all kinds of cuts with a seed: `DAEMONS` and `SEED` set the size and the seed.
#[test]
#[ignore = "takes a size and a seed: DAEMONS=90 SEED=101"]
fn daemons_without_paths_serve_their_callers_with_the_seed_given() {
    let given = |key: &str| std::env::var(key).unwrap_or_else(|_| panic!("{key} is not set"));
    let daemons = given("DAEMONS").parse().expect("DAEMONS is a number");
    let seed = given("SEED").parse().expect("SEED is a number");
    let cuts = [
        Cut::One,
        Cut::Third,
        Cut::TwoThirds,
        Cut::Centre,
        Cut::Hubs,
        Cut::KnownAndThird,
        Cut::AllButOne,
    ];
    for cut in cuts {
        for path in [Path::Silent, Path::Reset] {
            assert!(serves_like_others((daemons, cut, path, seed)));
        }
    }
}

//! What callers were told is kept: each of those who were told to come back is awaited.

use shaleline_fleet::{Unmet, UnmetDemand};
use shaleline_testkit::cases;
use shaleline_types::{Adapter, Millis, Model};

const START: Millis = Millis(1_000_000);

/// What is told of an adapter one second after callers were refused who were told to come back after these
/// times, where one was served since or not; the times until the first and the last of them come back.
fn told((backs, served): (&[u64], bool)) -> Option<(u32, u32)> {
    let m = Model::from_text("m").expect("a valid name");
    let a = Adapter::from_text("a").expect("a valid name");
    let mut unmet = UnmetDemand::default();
    for back in backs {
        unmet.record(&m, Some(&a), Millis(*back), START);
    }
    if served {
        unmet.on_served(&m, Some(&a), START.plus(500));
    }
    let told = unmet.longest(8, START.plus(1_000));
    told.first().map(|(_, _, u)| (u.next_retry, u.last_retry))
}

cases! { told;
    one_caller_is_the_first_and_the_last: (&[5_000], false) => Some((4_000, 4_000)),
    // Only the last one was awaited, and the first found the place taken.
    the_first_of_two_callers_is_told: (&[1_500, 5_000], false) => Some((500, 4_000)),
    who_has_come_back_is_not: (&[800, 5_000], false) => Some((4_000, 4_000)),
    who_comes_back_in_between_does_not_matter: (&[5_000, 1_500, 3_000], false) => Some((500, 4_000)),
    nobody_comes_back_any_more: (&[800], false) => Some((0, 0)),
    // Nobody was awaited any more once one caller was served.
    one_who_is_served_leaves_the_other: (&[400, 5_000], true) => Some((4_000, 4_000)),
    the_only_one_is_served: (&[400], true) => None,
}

#[test]
fn what_is_passed_on_has_grown_old() {
    let told = Unmet {
        waited: 2_000,
        last_age: 300,
        attempts: 2,
        next_retry: 100,
        last_retry: 900,
    };
    let passed = Unmet {
        waited: 2_250,
        last_age: 550,
        attempts: 2,
        next_retry: 0,
        last_retry: 650,
    };
    assert_eq!(told.aged(250), passed);
}

/// The first who comes back to either of two daemons, and the last.
fn both((a, b): ((u32, u32), (u32, u32))) -> (u32, u32) {
    let unmet = |(next_retry, last_retry)| Unmet {
        waited: 1_000,
        last_age: 300,
        attempts: 1,
        next_retry,
        last_retry,
    };
    let mut sum = unmet(a);
    sum.add(unmet(b));
    (sum.next_retry, sum.last_retry)
}

cases! { both;
    the_first_and_the_last_of_both_count: ((300, 900), (200, 700)) => (200, 900),
    where_nobody_comes_back_the_others_count: ((0, 0), (200, 700)) => (200, 700),
    nobody_comes_back_to_either: ((0, 0), (0, 0)) => (0, 0),
}

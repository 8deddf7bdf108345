//! Expected retries: each caller with a retry-after time is expected at that time.

use shaleline_fleet::{Unmet, UnmetDemand};
use shaleline_testkit::cases;
use shaleline_types::{Adapter, Millis, Model};

const START: Millis = Millis(1_000_000);

/// The times until the first and the last expected retry, reported one second after callers were
/// refused with these retry-after times; one of them may have been served since.
fn reported((retries, served): (&[u64], bool)) -> Option<(u32, u32)> {
    let m = Model::from_text("m").expect("a valid name");
    let a = Adapter::from_text("a").expect("a valid name");
    let mut unmet = UnmetDemand::default();
    for retry in retries {
        unmet.record(&m, Some(&a), Millis(*retry), START);
    }
    if served {
        unmet.on_served(&m, Some(&a), START.plus(500));
    }
    let reported = unmet.longest(8, START.plus(1_000));
    reported
        .first()
        .map(|(_, _, u)| (u.next_retry, u.last_retry))
}

cases! { reported;
    one_retry_is_the_first_and_the_last: (&[5_000], false) => Some((4_000, 4_000)),
    // Only the last caller was expected, and the first one found the slot taken.
    the_first_of_two_retries_is_reported: (&[1_500, 5_000], false) => Some((500, 4_000)),
    a_past_retry_is_not_reported: (&[800, 5_000], false) => Some((4_000, 4_000)),
    a_retry_in_between_does_not_matter: (&[5_000, 1_500, 3_000], false) => Some((500, 4_000)),
    no_retry_is_expected_any_more: (&[800], false) => Some((0, 0)),
    // No retry was expected any more once one caller was served.
    a_served_caller_leaves_the_other_retry: (&[400, 5_000], true) => Some((4_000, 4_000)),
    the_only_caller_is_served: (&[400], true) => None,
}

/// A daemon that was cut off from the others refused the only caller of an adapter. Its retry was
/// refused by another daemon, which did not report it, and the adapter was not loaded for 25 s.
#[test]
fn a_refused_retry_is_reported_without_another_retry() {
    let m = Model::from_text("m").expect("a valid name");
    let a = Adapter::from_text("a").expect("a valid name");
    let mut unmet = UnmetDemand::default();
    unmet.record_again(&m, &a, START);
    let reported = unmet.longest(8, START.plus(1_000));
    let expected = Unmet {
        waited: 1_000,
        last_age: 1_000,
        attempts: 1,
        next_retry: 0,
        last_retry: 0,
    };
    assert_eq!(reported, [(&m, Some(&a), expected)]);
}

#[test]
fn forwarded_demand_ages() {
    let reported = Unmet {
        waited: 2_000,
        last_age: 300,
        attempts: 2,
        next_retry: 100,
        last_retry: 900,
    };
    let forwarded = Unmet {
        waited: 2_250,
        last_age: 550,
        attempts: 2,
        next_retry: 0,
        last_retry: 650,
    };
    assert_eq!(reported.aged(250), forwarded);
}

/// The times until the first and the last retry at either of two daemons.
fn sum((a, b): ((u32, u32), (u32, u32))) -> (u32, u32) {
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

cases! { sum;
    the_first_and_the_last_retry_of_both_count: ((300, 900), (200, 700)) => (200, 900),
    without_retries_at_one_daemon_the_others_count: ((0, 0), (200, 700)) => (200, 700),
    no_retry_is_expected_at_either: ((0, 0), (0, 0)) => (0, 0),
}

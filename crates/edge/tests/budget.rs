//! Tests of the decisions about the memory that a daemon holds: what is paused, what is shed, and
//! in which order.
//!
//! A daemon collected answers of up to 64 MB on instances of 120 MB, and nothing bounded what
//! several connections held together.

use quickcheck::{Gen, QuickCheck, TestResult};
use shaleline_edge::{Holder, MemoryBudget, MemoryKind, MemoryLevel, Shed};
use shaleline_testkit::cases;
use shaleline_types::Millis;
use std::collections::BTreeMap;

use MemoryKind::{Answer, Reading, Sent, Unread, Waiting};

const LIMIT: usize = 1_000;
const NOW: Millis = Millis(1_000_000);

/// A budget of 1,000 bytes in which these amounts are held, each at a time after `NOW`.
fn budget(held: &[(u64, MemoryKind, usize, u64)]) -> MemoryBudget {
    let mut budget = MemoryBudget::new(LIMIT);
    for (holder, kind, bytes, at) in held {
        budget.hold(Holder(*holder), *kind, *bytes, NOW.plus(*at));
    }
    budget
}

fn limit_of(memory_mb: Option<u64>) -> usize {
    MemoryBudget::for_instance(memory_mb).limit() >> 20
}

cases! { limit_of;
    the_budget_is_a_quarter_of_a_small_instance: Some(120) => 30,
    the_budget_is_bounded_on_a_large_instance: Some(512) => 32,
    the_budget_is_bounded_on_any_instance: Some(u64::MAX) => 32,
    the_budget_is_fixed_where_the_memory_is_unknown: None => 24,
}

/// An idle daemon has 12.4 MB, and its peak stays under 64 MB: one answer that is held twice while
/// it is joined must fit in addition to a full budget.
#[test]
fn a_full_budget_and_a_joined_answer_stay_under_the_peak() {
    for memory in [None, Some(120), Some(160), Some(512)] {
        let budget = MemoryBudget::for_instance(memory);
        let peak = budget.limit() + budget.answer_limit() + 13 * (1 << 20);
        assert!(peak < 64 << 20, "{peak} bytes with {memory:?} MB");
    }
}

/// The connections, of 1 to 4, that are paused.
fn paused(held: &[(u64, MemoryKind, usize, u64)]) -> Vec<u64> {
    let budget = budget(held);
    (1..=4).filter(|h| budget.is_paused(Holder(*h))).collect()
}

cases! { paused;
    below_three_quarters_nothing_is_paused: &[(1, Unread, 700, 0), (2, Reading, 49, 0)] => vec![],
    from_three_quarters_on_the_largest_is_paused: &[(1, Unread, 700, 0), (2, Reading, 50, 0)] => vec![1],
    connections_that_hold_the_same_are_all_paused: &[(1, Unread, 400, 0), (2, Unread, 400, 0)] => vec![1, 2],
    // A caller that reads slowly must not stop those that hold little.
    connections_that_hold_less_than_their_share_go_on: &[
        (1, Unread, 500, 0),
        (2, Reading, 300, 0),
        (3, Unread, 20, 0),
        (4, Answer, 10, 0),
    ] => vec![1, 2],
    all_kinds_of_a_connection_count_together: &[
        (1, Sent, 200, 0),
        (1, Answer, 200, 0),
        (2, Unread, 399, 0),
        (3, Unread, 1, 0),
    ] => vec![1, 2],
}

/// Whether a request with a body of 100 bytes is admitted where this much is held.
fn is_admitted(held: usize) -> bool {
    let budget = budget(&[(1, Unread, held, 0)]);
    assert!(budget.admits(0), "a request without a body is rejected");
    budget.admits(100)
}

cases! { is_admitted;
    a_body_that_fits_is_read: 900 => true,
    a_body_that_does_not_fit_is_rejected: 901 => false,
    // The sum must not wrap around.
    a_body_is_rejected_where_too_much_is_held: usize::MAX - 50 => false,
}

fn shed(held: &[(u64, MemoryKind, usize, u64)]) -> Vec<Shed> {
    budget(held).to_shed()
}

cases! { shed;
    nothing_is_shed_within_the_budget: &[(1, Waiting, 500, 0), (2, Unread, 500, 0)] => vec![],
    a_waiting_request_goes_before_a_stream: &[(1, Unread, 900, 0), (2, Waiting, 200, 9)] => vec![Shed::Request(Holder(2))],
    the_largest_waiting_request_goes_first: &[
        (1, Waiting, 300, 0),
        (2, Waiting, 400, 0),
        (3, Sent, 500, 0),
    ] => vec![Shed::Request(Holder(2))],
    streams_go_once_no_request_waits: &[
        (1, Unread, 700, 0),
        (2, Unread, 600, 5),
        (3, Waiting, 100, 0),
    ] => vec![Shed::Request(Holder(3)), Shed::Stream(Holder(1))],
    // What was sent may have run: a rejection as not executed would be false.
    sent_requests_are_not_shed: &[(1, Sent, 600, 0), (2, Answer, 600, 0)] => vec![],
}

#[test]
fn a_caller_that_reads_is_kept_before_one_that_does_not() {
    let mut budget = budget(&[(1, Unread, 700, 0), (2, Unread, 700, 10)]);
    budget.on_read(Holder(1), 100, NOW.plus(20));
    assert_eq!(budget.to_shed(), [Shed::Stream(Holder(2))]);
}

/// A caller of a slow stream reads each event at once; it was not slow while there was none.
#[test]
fn a_caller_without_unread_events_has_not_stopped_reading() {
    let mut budget = budget(&[(1, Unread, 10, 0), (2, Unread, 600, 50)]);
    budget.on_read(Holder(1), 10, NOW.plus(1));
    budget.hold(Holder(1), Sent, 10, NOW.plus(1));
    budget.hold(Holder(1), Unread, 600, NOW.plus(100));
    assert_eq!(budget.to_shed(), [Shed::Stream(Holder(2))]);
}

/// A request that was sent counts as sent from then on.
#[test]
fn a_request_that_is_sent_no_longer_waits() {
    let mut budget = budget(&[(1, Waiting, 1_100, 0)]);
    assert_eq!(budget.to_shed(), [Shed::Request(Holder(1))]);
    budget.move_to(Holder(1), Waiting, Sent, NOW);
    assert_eq!(budget.to_shed(), []);
    let held = [Waiting, Sent].map(|k| budget.held_by(k));
    assert_eq!((budget.held_for(Holder(1)), held), (1_100, [0, 1_100]));
}

/// One caller in ten reads nothing, as in the requirement, and the others read everything at once.
/// Upstreams send 10 bytes to each in turn until only connections that are paused are left.
#[test]
fn one_caller_in_ten_that_reads_nothing_does_not_stop_the_others() {
    const CALLERS: u64 = 100;
    const ROUNDS: u64 = 200;
    let mut budget = MemoryBudget::new(LIMIT);
    let mut received = BTreeMap::<u64, usize>::new();
    for round in 0..ROUNDS {
        for caller in 0..CALLERS {
            let holder = Holder(caller);
            if budget.is_paused(holder) {
                continue;
            }
            budget.hold(holder, Unread, 10, NOW.plus(round));
            if caller % 10 != 0 {
                budget.on_read(holder, 10, NOW.plus(round));
                *received.entry(caller).or_default() += 10;
            }
            assert!(budget.level() <= MemoryLevel::Pausing, "{budget:?}");
        }
    }
    assert_eq!(received.len(), 90);
    assert!(received.values().all(|r| *r == 10 * ROUNDS as usize));
}

/// A step of a random run: a connection, what happens, and how many bytes.
type Step = (u8, u8, u16);

fn apply(budget: &mut MemoryBudget, (holder, what, bytes): Step, now: Millis) {
    let holder = Holder(u64::from(holder % 8));
    let bytes = usize::from(bytes % 300);
    let kind = MemoryKind::ALL[usize::from(what / 8) % MemoryKind::ALL.len()];
    match what % 8 {
        0..=3 => budget.hold(holder, kind, bytes, now),
        4 => budget.release(holder, kind, bytes),
        5 => budget.on_read(holder, bytes, now),
        6 => budget.move_to(holder, Waiting, Sent, now),
        _ => budget.close(holder),
    }
}

/// The sums agree, something is paused from three quarters on, and after shedding what is left fits
/// or can't be shed.
#[allow(clippy::needless_pass_by_value)] // quickcheck passes arguments by value
fn is_consistent(steps: Vec<Step>) -> TestResult {
    let mut budget = MemoryBudget::new(LIMIT);
    for (i, step) in steps.iter().enumerate() {
        apply(&mut budget, *step, NOW.plus(i as u64));
        let holders = (0..8).map(Holder);
        let by_holder: usize = holders.clone().map(|h| budget.held_for(h)).sum();
        let by_kind: usize = MemoryKind::ALL.iter().map(|k| budget.held_by(*k)).sum();
        if by_holder != budget.held() || by_kind != budget.held() {
            return TestResult::error(format!("sums differ: {budget:?}"));
        }
        let mut paused = holders.filter(|h| budget.is_paused(*h));
        if (budget.level() >= MemoryLevel::Pausing) != paused.next().is_some() {
            return TestResult::error(format!("pauses: {budget:?}"));
        }
    }
    for what in budget.to_shed() {
        let (Shed::Request(holder) | Shed::Stream(holder)) = what;
        budget.close(holder);
    }
    let can_shed = [Reading, Waiting, Unread]
        .iter()
        .any(|k| budget.held_by(*k) > 0);
    TestResult::from_bool(budget.level() <= MemoryLevel::Pausing || !can_shed)
}

#[test]
fn sums_pauses_and_shedding_agree_in_random_runs() {
    const SEED: u64 = 20_261_204;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(1_000)
        .quickcheck(is_consistent as fn(Vec<Step>) -> TestResult);
}

//! Choice by predicted completion: the rules of speeds, and replays of uneven upstreams.

mod replay;

use replay::{engines, herd, plain, sends, Figures, Share};
use shaleline_route::{usable_slots, wait_ms, ChoicePolicy, Prediction, Speed};
use shaleline_testkit::cases;
use shaleline_types::Millis;

const NOW: Millis = Millis(100_000);

/// What was learned of an upstream, at a time before the decision.
enum Fact {
    /// A measured ratio to the usual time, and its age in milliseconds.
    Measured(f64, u64),
    /// A reported percentage, and its age in milliseconds.
    Reported(u32, u64),
}

use Fact::{Measured, Reported};

/// The factor after these facts, the oldest first, in percent.
fn factor(facts: &[Fact]) -> u64 {
    let mut speed = Speed::default();
    for fact in facts {
        match fact {
            Measured(ratio, age) => speed.measure(*ratio, Millis(20), Millis(NOW.0 - age)),
            Reported(percent, age) => speed.report(*percent, Millis(NOW.0 - age)),
        }
    }
    (speed.factor(NOW) * 100.0).round() as u64
}

/// Whether the factor after these facts is between two percentages.
fn is_within((facts, low, high): (&[Fact], u64, u64)) -> bool {
    let percent = factor(facts);
    println!("factor {percent}%");
    (low..=high).contains(&percent)
}

/// A measurement each 100 ms for 20 s, the last one `ago` milliseconds before the decision.
fn lasting(ratio: f64, ago: u64) -> Vec<Fact> {
    let ages = (0..200).rev().map(|i| i * 100 + ago);
    ages.map(|age| Measured(ratio, age)).collect()
}

fn reported_for_20_s(percent: u32) -> Vec<Fact> {
    let ages = (0..200).rev().map(|i| i * 100);
    ages.map(|age| Reported(percent, age)).collect()
}

cases! {
    is_within;
    an_unknown_upstream_is_like_the_others: (&[], 100, 100) => true,
    // A machine that has just become slow is used less at once.
    a_fresh_report_counts: (&[Reported(250, 0)], 140, 200) => true,
    an_old_report_counts_little: (&[Reported(250, 1_500)], 100, 106) => true,
    half_of_a_reports_weight_is_lost_in_its_half_life: (&[Reported(250, 300)], 120, 155) => true,
    a_fresh_measurement_outweighs_a_report:
        (&[Measured(1.0, 0), Measured(1.0, 0), Reported(400, 0)], 100, 150) => true,
    // A false figure costs at most a bounded factor, whatever it is.
    a_huge_figure_is_bounded: (&[Reported(10_000, 0)], 100, 250) => true,
    a_tiny_figure_is_bounded: (&[Reported(1, 0)], 40, 100) => true,
    a_figure_that_never_changes_says_nothing: (&reported_for_20_s(250), 95, 125) => true,
    engines_that_are_slow_for_good_stay_known: (&lasting(1.67, 0), 155, 170) => true,
    engines_that_are_fast_for_good_stay_known: (&lasting(0.6, 0), 58, 66) => true,
    a_lasting_speed_outlives_a_pause: (&lasting(1.67, 10_000), 140, 170) => true,
    a_lasting_speed_is_forgotten_in_minutes: (&lasting(4.0, 90_000), 100, 400) => true,
    a_measurement_without_a_number_is_ignored: (&[Measured(f64::NAN, 0)], 100, 100) => true,
    a_measurement_of_no_time_is_ignored: (&[Measured(0.0, 0)], 100, 100) => true,
    an_outlier_is_bounded: (&[Measured(1e9, 0)], 100, 600) => true,
}

/// The uncertainty in percent after one measurement of this age.
fn uncertainty(age: u64) -> u64 {
    let mut speed = Speed::default();
    speed.measure(1.0, Millis(0), Millis(NOW.0 - age));
    (speed.uncertainty(NOW) * 100.0).round() as u64
}

cases! {
    uncertainty;
    a_fresh_measurement_leaves_a_third: 0 => 33,
    one_of_a_half_life_leaves_half: 300 => 50,
    an_old_one_leaves_nearly_all: 3_000 => 100,
}

fn completion((ahead_ms, own_ms, factor): (f64, f64, f64)) -> f64 {
    Prediction {
        ahead_ms,
        own_ms,
        factor,
    }
    .completion_ms()
}

cases! {
    completion;
    idle_at_the_usual_speed: (0.0, 30.0, 1.0) => 30.0,
    work_ahead_counts: (60.0, 30.0, 1.0) => 90.0,
    a_slow_upstream_takes_longer_for_all_of_it: (60.0, 30.0, 2.5) => 225.0,
}

fn wait((busy, slots, stay): (usize, usize, f64)) -> f64 {
    wait_ms(busy, slots, stay)
}

cases! {
    wait;
    a_free_slot_needs_no_wait: (15, 16, 800.0) => 0.0,
    the_next_slot_is_free_after_a_part_of_a_stay: (16, 16, 800.0) => 50.0,
    a_queue_is_served_in_turn: (31, 16, 800.0) => 800.0,
    an_upstream_without_slots_is_no_division_by_zero: (0, 0, 800.0) => 800.0,
}

fn usable((slots, interval, limit): (usize, f64, f64)) -> usize {
    usable_slots(slots, interval, limit)
}

cases! {
    usable;
    pauses_within_the_limit_use_all_slots: (16, 74.0, 100.0) => 16,
    longer_pauses_use_a_part_of_them: (16, 150.0, 100.0) => 10,
    a_slow_upstream_is_never_excluded: (16, 10_000.0, 100.0) => 4,
    the_only_slot_is_used: (1, 10_000.0, 100.0) => 1,
    an_unknown_interval_uses_all_slots: (16, f64::NAN, 100.0) => 16,
}

/// Compares today's choice with that by completion, and prints the figures of both.
fn gain(run: impl Fn(ChoicePolicy) -> Share) -> f64 {
    let (before, after) = (run(ChoicePolicy::Expected), run(ChoicePolicy::Completion));
    println!("before: {before}\nafter:  {after}");
    after.in_time - before.in_time
}

fn plain_gain((load, figures): (f64, Figures)) -> f64 {
    gain(|choice| plain(choice, load, figures))
}

fn is_plain_gain((load, figures, least): (f64, Figures, f64)) -> bool {
    plain_gain((load, figures)) >= least
}

cases! {
    is_plain_gain;
    plain_at_half_load: (0.5, Figures::True, -0.002) => true,
    plain_at_three_quarters: (0.75, Figures::True, -0.002) => true,
    plain_near_capacity: (0.95, Figures::True, -0.002) => true,
    plain_without_figures: (0.75, Figures::Missing, -0.002) => true,
    plain_with_random_figures: (0.75, Figures::Random, -0.01) => true,
    plain_with_inverted_figures: (0.75, Figures::Inverted, -0.01) => true,
    plain_with_one_that_always_claims_to_be_fast: (0.75, Figures::OneFast, -0.01) => true,
    plain_with_one_that_always_claims_to_be_slow: (0.75, Figures::OneSlow, -0.01) => true,
}

fn is_engine_gain((load, least): (f64, f64)) -> bool {
    gain(|choice| engines(choice, load)) >= least
}

cases! {
    is_engine_gain;
    engines_at_half_load: (0.5, 0.0) => true,
    engines_at_three_quarters: (0.75, 0.0) => true,
    engines_below_capacity: (0.85, 0.0) => true,
    engines_near_capacity: (0.95, 0.004) => true,
}

/// Whether fast engines get more streams than others and slow ones fewer, and each of the slow ones
/// at least this part of the streams of a fast one.
fn is_proportional((load, least): (f64, f64)) -> bool {
    let [slow, usual, fast] = engines(ChoicePolicy::Completion, load).by_speed;
    println!("slow {slow}, usual {usual}, fast {fast}");
    slow < usual && usual < fast && slow as f64 >= least * fast as f64
}

// Slow engines must be neither overloaded nor left unused.
cases! {
    is_proportional;
    speeds_share_the_streams_at_three_quarters: (0.75, 0.1) => true,
    speeds_share_the_streams_near_capacity: (0.95, 0.25) => true,
}

/// Returns whether no upstream gets more than this share of the requests that many daemons, or one
/// hub, select for in one instant after reading the same figures.
fn is_spread((daemons, requests, most): (usize, usize, f64)) -> bool {
    let shares = herd(daemons, requests);
    println!("shares {shares:?}");
    shares.iter().all(|s| *s <= most)
}

cases! {
    is_spread;
    many_daemons_that_read_one_figure_spread: (80, 1, 0.6) => true,
    few_daemons_with_several_requests_spread: (8, 4, 0.6) => true,
    a_hub_with_many_requests_spreads: (1, 20, 0.35) => true,
}

/// Guards against a change where no upstream says how long work takes at it: the choice there is
/// that of before.
#[test]
fn without_a_named_slowdown_upstreams_are_chosen_as_before() {
    let before = sends(ChoicePolicy::Expected, None);
    assert_eq!(sends(ChoicePolicy::Completion, None), before);
    assert_ne!(sends(ChoicePolicy::Completion, Some(100)), before);
}

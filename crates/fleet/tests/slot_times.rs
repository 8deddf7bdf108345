//! Tests the work that a request is counted with: a model whose answers hold all slots of its
//! engines was left on five of 112 engines, as only its prompts counted.

use shaleline_fleet::{engine_work, SlotTimes};
use shaleline_testkit::cases;
use shaleline_types::Model;

fn model(name: &str) -> Model {
    Model::from_text(name).expect("a valid name")
}

fn work((prompt, held, slots): (f64, f64, usize)) -> f64 {
    engine_work(prompt, held, slots)
}

cases! { work;
    long_prompts_and_many_slots_count_by_prompts: (94.0, 200.0, 64) => 94.0,
    short_prompts_and_few_slots_count_by_slots: (13.0, 1_440.0, 12) => 60.0,
    without_declared_slots_only_prompts_count: (13.0, 1_440.0, 0) => 13.0,
    before_the_first_answer_only_prompts_count: (13.0, 0.0, 12) => 13.0,
}

#[test]
fn an_answer_is_expected_by_its_tokens() {
    let (mut times, m) = (SlotTimes::default(), model("m"));
    assert_eq!(times.expected(&m, 100), 0.0);
    (0..50).for_each(|_| times.record(&m, 100, 500));
    assert!((times.expected(&m, 100) - 500.0).abs() < 1.0);
    assert!((times.expected(&m, 20) - 100.0).abs() < 1.0);
}

/// The first requests of a model to which demand moves must not count as free.
#[test]
fn a_model_without_answers_is_expected_like_the_others() {
    let mut times = SlotTimes::default();
    times.record(&model("m"), 100, 500);
    assert_eq!(times.expected(&model("other"), 100), 500.0);
}

#[test]
fn one_slow_reader_changes_little() {
    let (mut times, m) = (SlotTimes::default(), model("m"));
    times.record(&m, 100, 500);
    times.record(&m, 100, 60_000);
    assert!(times.expected(&m, 100) <= 600.0);
}

#[test]
fn an_answer_without_tokens_counts_for_nothing() {
    let (mut times, m) = (SlotTimes::default(), model("m"));
    times.record(&m, 0, 500);
    assert_eq!(times.expected(&m, 100), 0.0);
}

//! Tests of the at-most-once journal and of attempts at keyed requests.

use shaleline_log::{Position, StateMachine};
use shaleline_once::{
    Attempt, AttemptAction, AttemptEvent, KeptAnswer, KeyState, OnceBody, OnceKey, OnceMachine,
    OnceVerdict, SendOutcome, MAX_KEPT_BODY_BYTES,
};
use shaleline_testkit::cases;
use shaleline_types::{ErrorKind, Millis, Offset, Org, RequestId, WriterId};

fn key(text: &str) -> OnceKey {
    OnceKey::from_parts(
        &Org::from_text("o").expect("a valid name"),
        "services/alerts",
        text,
    )
}

fn answer(body: &str) -> KeptAnswer {
    KeptAnswer {
        status: 200,
        mime: "text/plain".to_owned(),
        body: Some(body.to_owned()),
    }
}

fn apply(machine: &mut OnceMachine, offset: u64, writer: u64, body: &OnceBody) -> OnceVerdict {
    apply_at(machine, offset, offset, writer, body)
}

fn apply_at(
    machine: &mut OnceMachine,
    offset: u64,
    time: u64,
    writer: u64,
    body: &OnceBody,
) -> OnceVerdict {
    let at = Position {
        offset: Offset(offset),
        time: Millis(time),
        writer: WriterId(writer),
    };
    machine.apply(at, body)
}

fn begun(name: &str, attempt: u64, request: &str) -> OnceBody {
    OnceBody::Begun {
        key: key(name),
        attempt: RequestId(attempt),
        request: request.to_owned(),
    }
}

fn finished(name: &str, attempt: u64) -> OnceBody {
    OnceBody::Finished {
        key: key(name),
        attempt: RequestId(attempt),
        answer: answer("done"),
    }
}

fn abandoned(name: &str, attempt: u64) -> OnceBody {
    OnceBody::Abandoned {
        key: key(name),
        attempt: RequestId(attempt),
    }
}

#[test]
fn only_one_of_two_daemons_that_begin_is_granted() {
    let mut m = OnceMachine::default();
    assert_eq!(
        apply(&mut m, 0, 1, &begun("k", 1, "r")),
        OnceVerdict::Granted
    );
    let taken = OnceVerdict::InProgress {
        writer: WriterId(1),
    };
    assert_eq!(apply(&mut m, 1, 2, &begun("k", 1, "r")), taken);
    assert_eq!(
        apply(&mut m, 2, 2, &finished("k", 1)),
        OnceVerdict::NoEffect,
        "it did not send"
    );
    assert_eq!(
        apply(&mut m, 3, 1, &finished("k", 1)),
        OnceVerdict::Recorded
    );
    assert_eq!(
        apply(&mut m, 4, 2, &begun("k", 2, "r")),
        OnceVerdict::Finished(answer("done"))
    );
}

#[test]
fn a_key_used_for_another_request_is_refused() {
    let mut m = OnceMachine::default();
    apply(&mut m, 0, 1, &begun("k", 1, "r"));
    assert_eq!(
        apply(&mut m, 1, 1, &begun("k", 2, "other")),
        OnceVerdict::Mismatch
    );
    assert_eq!(m.known(&key("k"), "other"), Some(OnceVerdict::Mismatch));
}

#[test]
fn an_abandoned_key_may_begin_again_but_not_by_the_abandoned_attempt() {
    let mut m = OnceMachine::default();
    apply(&mut m, 0, 1, &begun("k", 1, "r"));
    assert_eq!(
        apply(&mut m, 1, 1, &abandoned("k", 1)),
        OnceVerdict::Recorded
    );
    assert_eq!(
        apply(&mut m, 2, 1, &begun("k", 1, "r")),
        OnceVerdict::Abandoned
    );
    assert_eq!(
        apply(&mut m, 3, 2, &begun("k", 1, "r")),
        OnceVerdict::Granted,
        "an attempt of another daemon"
    );
}

#[test]
fn an_attempt_abandoned_before_its_begun_record_is_never_granted() {
    let mut m = OnceMachine::default();
    assert_eq!(
        apply(&mut m, 0, 1, &abandoned("k", 1)),
        OnceVerdict::Recorded
    );
    assert_eq!(
        apply(&mut m, 1, 1, &begun("k", 1, "r")),
        OnceVerdict::Abandoned
    );
    assert_eq!(m.get(&key("k")), Some(&KeyState::Free));
}

#[test]
fn a_lost_attempt_is_never_run_again() {
    let mut m = OnceMachine::default();
    apply(&mut m, 0, 1, &begun("k", 1, "r"));
    let lost = OnceBody::Lost {
        key: key("k"),
        attempt: RequestId(1),
    };
    assert_eq!(apply(&mut m, 1, 1, &lost), OnceVerdict::Recorded);
    assert_eq!(apply(&mut m, 2, 2, &begun("k", 2, "r")), OnceVerdict::Lost);
}

#[test]
fn a_key_is_kept_for_its_window_and_then_dropped() {
    const DAY: u64 = 24 * 3_600_000;
    let mut m = OnceMachine::default();
    apply_at(&mut m, 0, 1_000, 1, &begun("k", 1, "r"));
    apply_at(&mut m, 1, DAY, 1, &begun("other", 2, "r"));
    assert_eq!(m.len(), 2);
    apply_at(&mut m, 2, DAY + 1_000, 1, &begun("third", 3, "r"));
    assert_eq!(m.get(&key("k")), None);
    assert_eq!(m.len(), 2);
}

#[test]
fn a_full_journal_refuses_new_keys_and_drops_none() {
    let mut m = OnceMachine::default();
    let max_keys = 50_000;
    for i in 0..max_keys {
        assert_eq!(
            apply_at(&mut m, i, 1, 1, &begun(&i.to_string(), i, "r")),
            OnceVerdict::Granted
        );
    }
    assert_eq!(
        apply_at(&mut m, max_keys, 1, 1, &begun("more", max_keys, "r")),
        OnceVerdict::Full
    );
    assert!(m.get(&key("0")).is_some());
}

fn actions_for(events: Vec<AttemptEvent>) -> Vec<String> {
    let mut attempt = Attempt::new(key("k"), RequestId(1), "r".to_owned());
    let mut actions = Vec::new();
    for event in events {
        for action in attempt.step(event, Millis(0)) {
            actions.push(match action {
                AttemptAction::Append(OnceBody::Begun { .. }) => "begun".to_owned(),
                AttemptAction::Append(OnceBody::Finished { .. }) => "finished".to_owned(),
                AttemptAction::Append(OnceBody::Lost { .. }) => "lost".to_owned(),
                AttemptAction::Append(OnceBody::Abandoned { .. }) => "abandoned".to_owned(),
                AttemptAction::Send => "send".to_owned(),
                AttemptAction::Watch(_) => "watch".to_owned(),
                AttemptAction::Answer { kept, .. } => format!("answer kept={kept}"),
                AttemptAction::Fail(kind) => format!("fail {}", kind.answer().code),
            });
        }
    }
    actions
}

fn granted() -> AttemptEvent {
    AttemptEvent::Judged(OnceVerdict::Granted)
}

fn taken() -> AttemptEvent {
    AttemptEvent::Judged(OnceVerdict::InProgress {
        writer: WriterId(2),
    })
}

cases! { actions_for;
    an_answered_call: vec![
        AttemptEvent::Start, granted(), AttemptEvent::Sent(SendOutcome::Answered(answer("a"))),
    ] => ["begun", "send", "answer kept=false", "finished"],
    a_call_that_was_not_sent: vec![
        AttemptEvent::Start, granted(), AttemptEvent::Sent(SendOutcome::NotSent),
    ] => ["begun", "send", "fail no-upstream", "abandoned"],
    a_call_whose_answer_is_lost: vec![
        AttemptEvent::Start, granted(), AttemptEvent::Sent(SendOutcome::Unknown),
    ] => ["begun", "send", "fail upstream-failed", "lost"],
    a_call_abandoned_while_begun_is_in_flight_is_never_sent: vec![
        AttemptEvent::Start, AttemptEvent::Deadline, granted(),
    ] => ["begun", "fail log-unavailable", "abandoned"],
    a_repeat_of_a_finished_call: vec![
        AttemptEvent::Known(OnceVerdict::Finished(answer("a"))),
    ] => ["answer kept=true"],
    a_repeat_during_the_run: vec![
        AttemptEvent::Start, taken(), AttemptEvent::OtherFinished(answer("a")),
    ] => ["begun", "watch", "answer kept=true"],
    a_repeat_after_the_other_attempt_was_abandoned: vec![
        AttemptEvent::Start, taken(), AttemptEvent::OtherAbandoned, granted(),
    ] => ["begun", "watch", "begun", "send"],
    a_repeat_whose_holder_failed: vec![
        AttemptEvent::Start, taken(), AttemptEvent::OtherLost,
    ] => ["begun", "watch", "fail outcome-unknown"],
    a_late_answer_after_the_end_is_dropped: vec![
        AttemptEvent::Start, granted(), AttemptEvent::Deadline,
        AttemptEvent::Sent(SendOutcome::Answered(answer("a"))),
    ] => ["begun", "send", "fail timed-out", "lost"],
}

#[test]
fn an_answer_too_large_to_keep_is_returned_once_and_recorded_without_its_body() {
    let mut attempt = Attempt::new(key("k"), RequestId(1), "r".to_owned());
    attempt.step(AttemptEvent::Start, Millis(0));
    attempt.step(granted(), Millis(0));
    let large = answer(&"x".repeat(MAX_KEPT_BODY_BYTES + 1));
    let actions = attempt.step(
        AttemptEvent::Sent(SendOutcome::Answered(large.clone())),
        Millis(0),
    );
    assert_eq!(
        actions[0],
        AttemptAction::Answer {
            answer: large,
            kept: false
        }
    );
    let AttemptAction::Append(OnceBody::Finished { answer, .. }) = &actions[1] else {
        panic!("{actions:?}");
    };
    assert_eq!(answer.body, None);
    assert_eq!(
        ErrorKind::OutcomeUnknown.answer().outcome.as_str(),
        "unknown"
    );
}

#[test]
fn keys_of_two_organisations_differ() {
    let other = Org::from_text("p").expect("a valid name");
    assert_ne!(
        key("k"),
        OnceKey::from_parts(&other, "services/alerts", "k")
    );
    assert!((0..1_000).all(|i| key(&i.to_string()).shard(4) < 4));
}

//! Tests of how long requests may wait, of the backlog ahead of them, and of their order.

use crate::job::Job;
use crate::{Head, Repeat, RouteRule};
use bytes::Bytes;
use hyper::{HeaderMap, Method};
use shaleline_testkit::cases;
use shaleline_types::{Identity, Millis, Model, RequestId, Service};

const NOW: Millis = Millis(1_000_000);

/// The times of a route, in milliseconds: its target, and the maximum pause of its streams.
type Times = (u64, Option<u64>);

fn job((target, pause): Times, is_retry: bool) -> Job {
    let repeat = match pause {
        Some(_) => Repeat::Stream { resumable: false },
        None => Repeat::Safe,
    };
    Job {
        org: None,
        charge: None,
        bound: None,
        head: Head {
            model: pause.map(|_| Model::from_text("m").expect("a valid name")),
            ..Head::default()
        },
        identity: Identity::of("caller", &[]),
        rule: RouteRule {
            public: false,
            name: "r".to_owned(),
            host: "h".to_owned(),
            prefix: "/".to_owned(),
            repeat,
            timeout: Millis(12_000),
            target: Millis(target),
            pause: pause.map(Millis),
            priority: 1,
            attempts: 1,
            services: Vec::new(),
        },
        service: Service::from_text("s").expect("a valid name"),
        version: 1,
        method: Method::POST,
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        arrived: NOW,
        is_retry,
        deadline: NOW.plus(9_000),
    }
}

const CHAT: Times = (400, Some(250));
const DRAFT: Times = (5_000, Some(250));
const CALL: Times = (150, None);

/// The maximum wait of a first attempt, where its model is served or not.
fn max_wait((times, served): (Times, bool)) -> u64 {
    job(times, false).wait(served)
}

cases! { max_wait;
    a_chat_waits_while_its_first_event_can_meet_the_target: (CHAT, true) => 300,
    a_chat_without_a_serving_engine_waits_for_the_minimum: (CHAT, false) => 20,
    a_draft_waits_for_the_load_of_its_model: (DRAFT, false) => 2_500,
    a_draft_queues_while_its_first_event_can_meet_the_target: (DRAFT, true) => 4_900,
    an_urgent_stream_queues_for_a_second_at_most: ((1_500, Some(250)), true) => 1_000,
    a_call_waits_for_a_fraction_of_its_target: (CALL, true) => 30,
    a_target_below_the_first_event_leaves_the_minimum: ((60, Some(250)), true) => 20,
}

/// The maximum work of prompts ahead of a request.
fn backlog_limit(times: Times) -> Option<u64> {
    job(times, false).prompt_backlog().map(|p| p.0)
}

cases! { backlog_limit;
    prompts_use_half_of_the_pause_at_most: CHAT => Some(125),
    a_route_without_a_pause_has_no_backlog_limit: CALL => None,
}

#[test]
fn retries_rank_behind_first_attempts() {
    let (first, retry) = (job(CHAT, false), job(CHAT, true));
    assert!(
        retry.priority() > u8::MAX / 32,
        "retries rank behind every priority of a route"
    );
    assert!(first.priority() < retry.priority());
    assert!(
        first.rank() < retry.rank(),
        "retries rank behind first attempts at the engine as well"
    );
}

#[test]
fn the_request_to_the_router_carries_the_limits() {
    let request = job(CHAT, false).to_route_request(RequestId(1), true);
    assert_eq!(request.policy.max_wait, Some(Millis(300)));
    assert_eq!(request.policy.backlog_limit, Some(Millis(125)));
    assert_eq!(request.due, NOW.plus(9_000));
}

/// A retry of a route with a timeout of 12 s, whose caller still waits for this time: whether it is
/// served like a first attempt, and the time left until the end of its target.
fn retry_with((target, left): (u64, u64)) -> (bool, u64) {
    let first = job((target, Some(250)), false);
    let retry = Job {
        deadline: NOW.plus(left),
        ..job((target, Some(250)), true)
    };
    let same = retry.priority() == first.priority() && retry.rank() == first.rank();
    (same, retry.target_end().since(NOW))
}

// Guards against retries that could be in time but wait behind everything.
cases! { retry_with;
    a_retry_within_its_target_is_served_like_a_first_attempt: (1_500, 11_000) => (true, 500),
    a_retry_after_its_target_waits_behind_first_attempts: (1_500, 10_000) => (false, 0),
    a_retry_of_a_short_target_waits_behind_first_attempts: (400, 11_000) => (false, 0),
}

/// The work of a request with 100 prompt tokens and at most 500 output tokens.
fn work(hint: Option<u64>) -> u64 {
    let mut job = job(CHAT, false);
    job.head = Head {
        counted: true,
        prompt: 100,
        output: 500,
        hint,
        ..job.head
    };
    job.to_route_request(RequestId(1), true).cost
}

cases! { work;
    the_callers_estimate_counts: Some(40) => 140,
    an_estimate_beyond_the_maximum_is_cut: Some(9_000) => 600,
    the_maximum_counts_without_an_estimate: None => 600,
}

//! How long requests wait, how much may be ahead of them, and who goes first.

use crate::job::Job;
use crate::{Head, Repeat, RouteRule};
use bytes::Bytes;
use hyper::{HeaderMap, Method};
use shaleline_testkit::cases;
use shaleline_types::{Identity, Millis, Model, RequestId, Service};

const NOW: Millis = Millis(1_000_000);

/// The times of a route, in milliseconds: its target, and the longest pause of its streams.
type Times = (u64, Option<u64>);

fn job((target, pause): Times, is_retry: bool) -> Job {
    let repeat = match pause {
        Some(_) => Repeat::Stream { resumable: false },
        None => Repeat::Safe,
    };
    Job {
        org: None,
        charge: None,
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

/// How long a request waits that comes first, where its model is served or is not.
fn waits((times, served): (Times, bool)) -> u64 {
    job(times, false).wait(served)
}

cases! { waits;
    a_chat_waits_while_its_first_event_can_be_in_time: (CHAT, true) => 300,
    a_chat_that_nobody_can_serve_is_told_at_once: (CHAT, false) => 20,
    a_draft_has_the_time_for_a_load: (DRAFT, false) => 2_500,
    a_draft_does_not_wait_for_seconds_in_a_queue: (DRAFT, true) => 1_000,
    a_call_waits_for_a_part_of_its_target: (CALL, true) => 30,
    a_target_below_the_first_event_leaves_a_moment: ((60, Some(250)), true) => 20,
}

/// How much work of prompts may be ahead.
fn paced(times: Times) -> Option<u64> {
    job(times, false).prompt_backlog().map(|p| p.0)
}

cases! { paced;
    prompts_take_half_of_the_pause_at_most: CHAT => Some(125),
    what_declares_no_pause_is_not_paced: CALL => None,
}

#[test]
fn who_came_back_goes_after_all_that_come_first() {
    let (first, back) = (job(CHAT, false), job(CHAT, true));
    assert!(
        back.priority() > u8::MAX / 32,
        "behind every priority of a route"
    );
    assert!(first.priority() < back.priority());
    assert!(first.rank() < back.rank(), "at the engine as well");
}

#[test]
fn what_the_router_is_asked_carries_the_terms() {
    let ask = job(CHAT, false).to_ask(RequestId(1), true);
    assert_eq!(ask.policy.max_wait, Some(Millis(300)));
    assert_eq!(ask.policy.backlog_limit, Some(Millis(125)));
    assert_eq!(ask.due, NOW.plus(9_000));
}

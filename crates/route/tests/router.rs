//! Admission, queues, choice, retries, leaving upstreams.

use shaleline_route::{
    prefix_chain, share_of, AttemptEnd, Drain, DrainAction, LimitKind, Limits, Load, PeerLoad,
    PeerVisibility, RequestPolicy, Route, RouteAction, RouteEvent, RouteRequest, Router,
    RouterSettings, ShareBook, Unfinished, UpstreamInfo,
};
use shaleline_types::{DataCentre, ErrorKind, Millis, Org, RequestId, Service, Upstream};

const NOW: Millis = Millis(10_000);

fn centre() -> DataCentre {
    DataCentre::from_text("dc1").expect("a valid name")
}

fn router() -> Router {
    Router::new(RouterSettings::new(centre()), ShareBook::alone("me"))
}

fn up(name: &str) -> Upstream {
    Upstream::from_text(name).expect("a valid name")
}

fn org(name: &str) -> Org {
    Org::from_text(name).expect("a valid name")
}

fn route() -> Route {
    Route::Service(Service::from_text("alerts").expect("a valid name"))
}

fn add(router: &mut Router, name: &str, slots: usize) {
    let info = UpstreamInfo {
        centre: centre(),
        routes: vec![route()],
    };
    router.step(
        RouteEvent::Serves {
            upstream: up(name),
            info,
        },
        NOW,
    );
    let load = Load {
        slots,
        ..Load::default()
    };
    router.step(
        RouteEvent::Report {
            upstream: up(name),
            load,
        },
        NOW,
    );
}

fn ask(id: u64, name: &str, priority: u8) -> RouteRequest {
    RouteRequest {
        id: RequestId(id),
        org: org(name),
        route: route(),
        priority,
        weight: 1,
        cost: 10,
        prefix: Vec::new(),
        block_sizes: Vec::new(),
        due: NOW.plus(1_000),
        repeatable: true,
        limits: Limits {
            rate: 1_000,
            concurrency: 100,
            tokens: 100_000,
        },
        policy: RequestPolicy::default(),
        identity: None,
    }
}

fn arrive(router: &mut Router, ask: RouteRequest) -> Vec<RouteAction> {
    router.step(RouteEvent::Arrive(Box::new(ask)), NOW)
}

fn end(router: &mut Router, id: u64, attempt: u32, end: AttemptEnd) -> Vec<RouteAction> {
    let id = RequestId(id);
    router.step(RouteEvent::Ended { id, attempt, end }, NOW)
}

fn sent_to(actions: &[RouteAction]) -> Vec<(u64, String)> {
    let sent = |a: &RouteAction| match a {
        RouteAction::Send { id, upstream, .. } => Some((id.0, upstream.to_string())),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

fn refused(actions: &[RouteAction]) -> Vec<ErrorKind> {
    let kind = |a: &RouteAction| match a {
        RouteAction::Refuse { kind, .. } => Some(*kind),
        _ => None,
    };
    actions.iter().filter_map(kind).collect()
}

/// Found by `faults`, seed 1: an upstream told to be leaving before it was known got work.
#[test]
fn regression_an_upstream_told_to_be_leaving_before_it_is_known_gets_no_work() {
    let mut r = router();
    let on = true;
    r.step(
        RouteEvent::Leaving {
            upstream: up("a"),
            on,
        },
        NOW,
    );
    add(&mut r, "a", 4);
    assert!(sent_to(&arrive(&mut r, ask(1, "o", 1))).is_empty());
}

/// Found with it: one that fell silent and came back was no longer leaving.
#[test]
fn regression_an_upstream_that_comes_back_is_still_leaving() {
    let mut r = router();
    add(&mut r, "a", 4);
    let on = true;
    r.step(
        RouteEvent::Leaving {
            upstream: up("a"),
            on,
        },
        NOW,
    );
    r.step(RouteEvent::Removed(up("a")), NOW);
    add(&mut r, "a", 4);
    assert!(sent_to(&arrive(&mut r, ask(1, "o", 1))).is_empty());
}

#[test]
fn an_upstreams_own_report_stops_new_work() {
    let mut r = router();
    add(&mut r, "a", 4);
    let load = Load {
        slots: 4,
        leaving: true,
        ..Load::default()
    };
    r.step(
        RouteEvent::Report {
            upstream: up("a"),
            load,
        },
        NOW,
    );
    assert!(sent_to(&arrive(&mut r, ask(1, "o", 1))).is_empty());
}

#[test]
fn a_retry_goes_elsewhere_first() {
    let mut r = router();
    add(&mut r, "a", 4);
    add(&mut r, "b", 4);
    let first = sent_to(&arrive(&mut r, ask(1, "o", 1)));
    let second = sent_to(&end(&mut r, 1, 1, AttemptEnd::Broken));
    assert_ne!(first[0].1, second[0].1);
}

#[test]
fn what_must_not_be_repeated_is_not() {
    let mut r = router();
    add(&mut r, "a", 4);
    add(&mut r, "b", 4);
    let mut once = ask(1, "o", 1);
    once.repeatable = false;
    arrive(&mut r, once);
    let actions = end(&mut r, 1, 1, AttemptEnd::Broken);
    assert_eq!(refused(&actions), [ErrorKind::UpstreamFailed]);
    assert!(sent_to(&actions).is_empty());
}

#[test]
fn a_failure_before_the_first_byte_may_be_repeated_always() {
    let mut r = router();
    add(&mut r, "a", 4);
    add(&mut r, "b", 4);
    let mut once = ask(1, "o", 1);
    once.repeatable = false;
    arrive(&mut r, once);
    assert_eq!(sent_to(&end(&mut r, 1, 1, AttemptEnd::NotSent)).len(), 1);
}

#[test]
fn a_late_answer_to_an_old_attempt_is_dropped_and_counted() {
    let mut r = router();
    add(&mut r, "a", 4);
    add(&mut r, "b", 4);
    arrive(&mut r, ask(1, "o", 1));
    end(&mut r, 1, 1, AttemptEnd::Broken);
    assert!(end(&mut r, 1, 1, AttemptEnd::Whole).is_empty());
    assert_eq!((r.stats().open, r.stats().late), (1, 1));
}

#[test]
fn urgent_work_never_waits_behind_what_may_wait() {
    let mut r = router();
    add(&mut r, "a", 1);
    arrive(&mut r, ask(1, "o", 5));
    arrive(&mut r, ask(2, "o", 5));
    arrive(&mut r, ask(3, "o", 0));
    assert_eq!(sent_to(&end(&mut r, 1, 1, AttemptEnd::Whole))[0].0, 3);
}

/// Requests on routes that a configuration had added were less urgent than others of their service. While it
/// had more urgent ones than places, they waited until their time was over: 5 of 36 were served.
#[test]
fn the_least_urgent_has_a_place_now_and_then() {
    const FREED: u64 = 64;
    let mut r = router();
    add(&mut r, "a", 1);
    for id in 1..=2 * FREED {
        arrive(&mut r, ask(id, "urgent", 0));
    }
    for id in 1_001..=1_000 + FREED {
        arrive(&mut r, ask(id, "other", 5));
    }
    let (mut running, mut served) = (1, Vec::new());
    for _ in 0..FREED {
        running = sent_to(&end(&mut r, running, 1, AttemptEnd::Whole))[0].0;
        served.extend((running > 1_000).then_some(running));
    }
    assert_eq!(served, [1_001, 1_002, 1_003, 1_004]);
}

#[test]
fn organisations_of_one_priority_take_turns_whatever_their_queues() {
    let mut r = router();
    add(&mut r, "a", 1);
    for id in 1..=10 {
        arrive(&mut r, ask(id, "many", 1));
    }
    arrive(&mut r, ask(11, "few", 1));
    let mut order = Vec::new();
    let mut running = 1;
    for _ in 0..3 {
        running = sent_to(&end(&mut r, running, 1, AttemptEnd::Whole))[0].0;
        order.push(running);
    }
    assert!(order[..2].contains(&11), "{order:?}");
}

#[test]
fn one_organisation_never_holds_every_place_while_others_use_the_upstream() {
    let mut r = router();
    add(&mut r, "a", 8);
    arrive(&mut r, ask(1, "few", 1));
    let sent: usize = (2..=20)
        .map(|id| sent_to(&arrive(&mut r, ask(id, "many", 1))).len())
        .sum();
    assert_eq!(sent, 6, "a quarter of 8 places stays free of it");
    assert_eq!(sent_to(&arrive(&mut r, ask(30, "few", 1))).len(), 1);
}

#[test]
fn what_cannot_start_in_time_is_refused_at_once_with_when_to_come_back() {
    let mut r = router();
    add(&mut r, "a", 1);
    arrive(&mut r, ask(1, "o", 1));
    arrive(&mut r, ask(2, "o", 1));
    let due = NOW.plus(1_000);
    let actions = r.step(RouteEvent::Tick, due);
    assert_eq!(refused(&actions), [ErrorKind::DeadlineUnmet]);
    assert_eq!(r.stats().waiting, 0);
}

#[test]
fn requests_that_hang_move_elsewhere_and_the_upstream_is_left_alone() {
    let mut r = router();
    add(&mut r, "a", 4);
    let first = sent_to(&arrive(&mut r, ask(1, "o", 1)));
    assert_eq!(first[0].1, "a");
    add(&mut r, "b", 4);
    assert!(
        r.step(RouteEvent::Tick, NOW.plus(499)).is_empty(),
        "half of its time"
    );
    let later = NOW.plus(500);
    let actions = r.step(RouteEvent::Tick, later);
    assert!(matches!(&actions[0], RouteAction::Cancel { upstream, .. } if *upstream == up("a")));
    assert_eq!(sent_to(&actions), [(1, "b".to_owned())]);
    let mut late = ask(2, "o", 1);
    late.due = later.plus(1_000);
    let next = r.step(RouteEvent::Arrive(Box::new(late)), later);
    assert_eq!(sent_to(&next)[0].1, "b");
}

#[test]
fn limits_refuse_with_when_to_come_back() {
    let mut r = router();
    add(&mut r, "a", 100);
    let mut limited = ask(1, "o", 1);
    limited.limits.rate = 1;
    arrive(&mut r, limited.clone());
    limited.id = RequestId(2);
    let actions = arrive(&mut r, limited);
    let RouteAction::Refuse { kind, retry, .. } = &actions[0] else {
        panic!("{actions:?}");
    };
    assert_eq!(
        (*kind, *retry),
        (ErrorKind::RateLimited, Some(Millis(1_000)))
    );
    assert_eq!(
        r.take_exceeded(),
        [(org("o"), LimitKind::Rate)],
        "some may be borrowed"
    );
    assert!(r.take_exceeded().is_empty());
}

#[test]
fn shares_add_up_to_the_limit_for_any_number_of_daemons() {
    let names: Vec<String> = (0..9).map(|i| format!("entry-{i}")).collect();
    for count in 1..=9 {
        let members: Vec<&str> = names[..count].iter().map(String::as_str).collect();
        for limit in [0, 1, 2, 7, 8, 9, 10, 100, 1_001] {
            let sum: u64 = members
                .iter()
                .map(|m| share_of(limit, "o", m, &members))
                .sum();
            assert_eq!(sum, limit);
        }
    }
}

#[test]
fn a_share_grows_late_and_shrinks_at_once() {
    let limit = 90;
    let kind = LimitKind::Rate;
    let mut book = ShareBook::joining("a", Millis(0));
    book.set_members(&["a", "b", "c"], Millis(0));
    assert_eq!(
        book.share(&org("o"), kind, limit, Millis(0)),
        0,
        "a newcomer has nothing"
    );
    assert_eq!(book.share(&org("o"), kind, limit, Millis(3_000)), 30);
    book.set_members(&["a", "b"], Millis(4_000));
    assert_eq!(
        book.share(&org("o"), kind, limit, Millis(4_000)),
        30,
        "c may still use its part"
    );
    assert_eq!(book.share(&org("o"), kind, limit, Millis(7_001)), 45);
    book.set_members(&["a", "b", "c"], Millis(8_000));
    assert_eq!(book.share(&org("o"), kind, limit, Millis(8_000)), 30);
}

#[test]
fn a_loan_never_makes_more_of_a_limit() {
    let limits = Limits {
        rate: 100,
        concurrency: 100,
        tokens: 100,
    };
    let kind = LimitKind::Rate;
    let (mut a, mut b) = (ShareBook::alone("a"), ShareBook::alone("b"));
    a.set_members(&["a", "b"], Millis(0));
    b.set_members(&["a", "b"], Millis(0));
    let amount = a.lend(&org("o"), kind, &limits, 0, Millis(1_000));
    b.borrow(&org("o"), kind, amount, Millis(1_000));
    for ms in (1_000..20_000).step_by(500) {
        let sum =
            a.share(&org("o"), kind, 100, Millis(ms)) + b.share(&org("o"), kind, 100, Millis(ms));
        assert!(sum <= 100, "{sum} at {ms}");
    }
    assert_eq!(b.share(&org("o"), kind, 100, Millis(2_000)), 75);
    assert_eq!(
        a.lend(&org("o"), kind, &limits, 0, Millis(2_000)),
        0,
        "half at the most"
    );
}

#[test]
fn prefixes_of_two_organisations_share_nothing() {
    let prompt = "x".repeat(256);
    let (a, b) = (prefix_chain("a", &prompt), prefix_chain("b", &prompt));
    assert_eq!(a.len(), 4);
    assert!(a.iter().all(|block| !b.contains(block)));
}

#[test]
fn a_stop_waits_for_what_is_in_flight() {
    let mut drain = Drain::new(Millis(100), Millis(10_000));
    let busy = Unfinished {
        requests: 1,
        records: 0,
    };
    let done = Unfinished {
        requests: 0,
        records: 0,
    };
    assert_eq!(drain.stop(Millis(0)), Some(DrainAction::Announce));
    assert_eq!(
        drain.tick(done, Millis(50)),
        None,
        "others have not heard of it yet"
    );
    assert_eq!(drain.tick(busy, Millis(100)), Some(DrainAction::Refuse));
    assert_eq!(drain.tick(busy, Millis(9_000)), None);
    assert_eq!(drain.tick(done, Millis(9_001)), Some(DrainAction::Exit));
}

/// Found by `compare`, flood: an organisation with room waited behind one that had none
/// left, and less urgent ones were not looked at while a more urgent one waited.
#[test]
fn regression_who_has_room_does_not_wait_behind_who_has_none() {
    let mut r = router();
    add(&mut r, "a", 8);
    arrive(&mut r, ask(1, "few", 5));
    for id in 2..=20 {
        arrive(&mut r, ask(id, "many", 0));
    }
    assert_eq!(sent_to(&arrive(&mut r, ask(30, "few", 5))).len(), 1);
    assert_eq!(
        sent_to(&end(&mut r, 30, 1, AttemptEnd::Whole)).len(),
        0,
        "many has no place left"
    );
}

/// An engine that was about to drop a model refused 229 requests of one day: each was sent
/// there anew.
#[test]
fn an_upstream_that_refused_is_passed_over_for_a_moment() {
    let mut router = router();
    add(&mut router, "i-1", 4);
    let sent = router.step(RouteEvent::Arrive(Box::new(ask(1, "a", 1))), NOW);
    assert!(matches!(sent[..], [RouteAction::Send { .. }]));
    let end = RouteEvent::Ended {
        id: RequestId(1),
        attempt: 1,
        end: AttemptEnd::Refused,
    };
    router.step(end, NOW);
    let next = router.step(RouteEvent::Arrive(Box::new(ask(2, "a", 1))), NOW.plus(1));
    assert_eq!(next, [], "it waits for the upstream to take requests again");
    let later = router.step(RouteEvent::Tick, NOW.plus(100));
    assert!(
        matches!(later[..], [RouteAction::Send { .. }, ..]),
        "{later:?}"
    );
}

/// A prompt of so many tokens at half a millisecond each, on a route whose prompts may have
/// 125 ms ahead.
fn paced(id: u64, tokens: u32) -> RouteRequest {
    RouteRequest {
        prefix: vec![id],
        block_sizes: vec![tokens],
        policy: RequestPolicy {
            max_wait: Some(Millis(300)),
            backlog_limit: Some(Millis(125)),
            ..RequestPolicy::default()
        },
        ..ask(id, "o", 1)
    }
}

/// What the other daemons have unread at the upstream, in milliseconds.
fn others_have(router: &mut Router, name: &str, backlog: f64) {
    let load = PeerLoad {
        running: 1,
        urgent: backlog,
        backlog,
    };
    let upstream = up(name);
    router.step(RouteEvent::PeerReport { upstream, load }, NOW);
}

/// A router beside others that send to the same upstreams.
fn among_others() -> Router {
    let mut router = router();
    router.set_peer_visibility(PeerVisibility {
        own_share: 0.1,
        ..PeerVisibility::default()
    });
    router
}

/// An engine reads prompts between the tokens of its streams: three that wait together stop
/// all of them for longer than callers accept.
#[test]
fn a_second_prompt_waits_until_the_first_is_read() {
    let mut r = among_others();
    add(&mut r, "a", 40);
    assert_eq!(sent_to(&arrive(&mut r, paced(1, 60))).len(), 1);
    assert!(sent_to(&arrive(&mut r, paced(2, 60))).is_empty());
    let (id, attempt) = (RequestId(1), 1);
    let next = r.step(RouteEvent::FirstByte { id, attempt }, NOW.plus(40));
    assert_eq!(sent_to(&next), [(2, "a".to_owned())]);
}

#[test]
fn a_second_prompt_goes_elsewhere_at_once_where_there_is_an_elsewhere() {
    let mut r = router();
    add(&mut r, "a", 40);
    add(&mut r, "b", 40);
    let mut places: Vec<String> = Vec::new();
    for id in [1, 2] {
        places.extend(
            sent_to(&arrive(&mut r, paced(id, 60)))
                .into_iter()
                .map(|s| s.1),
        );
    }
    places.sort();
    assert_eq!(places, ["a", "b"]);
}

#[test]
fn prompts_of_other_daemons_count_and_grow_old() {
    let mut r = router();
    add(&mut r, "a", 40);
    others_have(&mut r, "a", 110.0);
    assert!(sent_to(&arrive(&mut r, paced(1, 60))).is_empty());
    let later = r.step(RouteEvent::Tick, NOW.plus(30));
    assert_eq!(sent_to(&later), [(1, "a".to_owned())]);
}

/// A prompt that alone takes longer than the pace would else never be sent.
#[test]
fn a_large_prompt_is_sent_where_nothing_is_ahead() {
    let mut r = router();
    add(&mut r, "a", 40);
    assert_eq!(sent_to(&arrive(&mut r, paced(1, 600))).len(), 1);
}

#[test]
fn what_can_keep_no_pace_in_time_is_refused_when_its_wait_is_over() {
    let mut r = router();
    add(&mut r, "a", 40);
    arrive(&mut r, paced(1, 600));
    assert!(arrive(&mut r, paced(2, 60)).is_empty());
    assert!(refused(&r.step(RouteEvent::Tick, NOW.plus(299))).is_empty());
    let actions = r.step(RouteEvent::Tick, NOW.plus(300));
    assert_eq!(refused(&actions), [ErrorKind::DeadlineUnmet]);
}

/// Who could still be in time goes before who came back, whoever waited first.
#[test]
fn a_first_try_goes_before_one_that_came_back() {
    let mut r = among_others();
    add(&mut r, "a", 40);
    arrive(&mut r, paced(1, 60));
    let back = RouteRequest {
        priority: 17,
        ..paced(2, 60)
    };
    arrive(&mut r, back);
    arrive(&mut r, paced(3, 60));
    let (id, attempt) = (RequestId(1), 1);
    let next = r.step(RouteEvent::FirstByte { id, attempt }, NOW.plus(40));
    assert_eq!(sent_to(&next), [(3, "a".to_owned())]);
}

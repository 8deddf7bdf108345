//! Sends that the sending daemon gives back because of their upstream, and requests that exclude
//! upstreams.

use shaleline_route::{
    AttemptEnd, Limits, Load, RequestPolicy, Route, RouteAction, RouteEvent, RouteRequest, Router,
    RouterSettings, ShareBook, UpstreamInfo, UpstreamLimit,
};
use shaleline_testkit::cases;
use shaleline_types::{DataCentre, ErrorKind, Millis, Org, RequestId, Service, Upstream};
use std::collections::{BTreeMap, BTreeSet};

const NOW: Millis = Millis(10_000);
const REST: Millis = Millis(3_000);

fn up(name: &str) -> Upstream {
    Upstream::from_text(name).expect("a valid name")
}

fn route() -> Route {
    Route::Service(Service::from_text("svc").expect("a valid name"))
}

/// Creates a router with these upstreams and their numbers of slots.
fn router(upstreams: &[(&str, usize)]) -> Router {
    let centre = DataCentre::from_text("dc1").expect("a valid name");
    let mut router = Router::new(RouterSettings::new(centre.clone()), ShareBook::alone("me"));
    for (name, slots) in upstreams {
        let info = UpstreamInfo {
            centre: centre.clone(),
            routes: vec![route()],
            version: shaleline_types::SoftwareVersion::default(),
        };
        let upstream = up(name);
        router.step(RouteEvent::Serves { upstream, info }, NOW);
        let load = Load {
            slots: *slots,
            ..Load::default()
        };
        let upstream = up(name);
        router.step(RouteEvent::Report { upstream, load }, NOW);
    }
    router
}

fn request(id: u64) -> RouteRequest {
    RouteRequest {
        daemon: 0,
        id: RequestId(id),
        org: Org::from_text("o").expect("a valid name"),
        route: route(),
        priority: 0,
        weight: 1,
        cost: 1,
        prefix: Vec::new(),
        block_sizes: Vec::new(),
        due: NOW.plus(60_000),
        repeatable: false,
        target: None,
        limits: Limits {
            rate: 1 << 40,
            concurrency: 1 << 40,
            tokens: 1 << 40,
        },
        policy: RequestPolicy::default(),
        identity: None,
        parts: Vec::new(),
        excluded: BTreeMap::new(),
        version: None,
    }
}

/// A request whose daemon may not send it to these upstreams for some milliseconds.
fn except(id: u64, excluded: &[(&str, u64)]) -> RouteRequest {
    let until = excluded.iter().map(|(u, ms)| (up(u), NOW.plus(*ms)));
    RouteRequest {
        excluded: until.collect(),
        ..request(id)
    }
}

fn arrive(router: &mut Router, request: RouteRequest, now: Millis) -> Vec<RouteAction> {
    router.step(RouteEvent::Arrive(Box::new(request)), now)
}

fn end(
    router: &mut Router,
    id: u64,
    attempt: u32,
    end: AttemptEnd,
    now: Millis,
) -> Vec<RouteAction> {
    let id = RequestId(id);
    router.step(RouteEvent::Ended { id, attempt, end }, now)
}

fn targets(actions: &[RouteAction]) -> Vec<(u64, &str)> {
    let sent = |action| match action {
        &RouteAction::Send {
            id, ref upstream, ..
        } => Some((id.0, upstream.as_str())),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

/// Whether a send is selected anew at the other upstream, and the first upstream is used for the
/// next request after this time.
fn given_back((back, later, repeatable): (AttemptEnd, u64, bool)) -> (bool, bool) {
    let mut router = router(&[("a", 4), ("b", 4)]);
    let request = RouteRequest {
        repeatable,
        ..request(1)
    };
    let sent = arrive(&mut router, request, NOW);
    let first = targets(&sent)[0].1.to_owned();
    let again = end(&mut router, 1, 1, back, NOW);
    let other = targets(&again)
        .first()
        .is_some_and(|(_, u)| *u != first.as_str());
    // Only the first upstream is left.
    let later = NOW.plus(later);
    let mut last = end(&mut router, 1, 2, AttemptEnd::Leaving, later);
    last.extend(router.step(RouteEvent::Tick, later.plus(10)));
    (other, targets(&last) == [(1, first.as_str())])
}

cases! { given_back;
    because_the_upstream_leaves: (AttemptEnd::Leaving, 60_000, true) => (true, false),
    because_it_rests: (AttemptEnd::Resting(REST), 1_000, true) => (true, false),
    because_it_rested: (AttemptEnd::Resting(REST), 3_000, true) => (true, true),
    because_it_leaves_though_unsafe: (AttemptEnd::Leaving, 60_000, false) => (true, false),
    because_it_rests_though_unsafe: (AttemptEnd::Resting(REST), 1_000, false) => (true, false),
    because_it_rested_though_unsafe: (AttemptEnd::Resting(REST), 3_000, false) => (true, true),
}

/// How many of the sends of `count` requests, all given back once, are sent again.
fn sent_again(back: AttemptEnd) -> usize {
    let mut router = router(&[("a", 100), ("b", 100)]);
    let resent = |id| {
        let now = NOW.plus(id * 100);
        let sent = arrive(&mut router, request(id), now);
        assert_eq!(targets(&sent).len(), 1);
        targets(&end(&mut router, id, 1, back, now)).len()
    };
    (0..50).map(resent).sum()
}

cases! { sent_again;
    without_retry_budget_as_it_rests: AttemptEnd::Resting(REST) => 50,
    with_retry_budget_as_it_refused: AttemptEnd::Refused => 10,
}

/// Sends given back counted as sends: a request that had been given back six times was not sent
/// again after its first refusal.
#[test]
fn regression_sends_that_were_given_back_do_not_use_up_the_sends_of_a_request() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut router = router(&names.map(|n| (n, 4)));
    let mut sent = arrive(&mut router, request(1), NOW);
    for attempt in 1..=6 {
        assert_eq!(targets(&sent).len(), 1, "attempt {attempt}");
        sent = end(&mut router, 1, attempt, AttemptEnd::Resting(REST), NOW);
    }
    let again = end(&mut router, 1, 7, AttemptEnd::Refused, NOW);
    assert_eq!(targets(&again).len(), 1);
}

#[test]
fn a_queued_request_is_not_handed_to_an_upstream_that_it_excludes() {
    let mut router = router(&[("a", 1), ("b", 1)]);
    arrive(&mut router, except(1, &[("b", 3_000)]), NOW);
    arrive(&mut router, except(2, &[("a", 3_000)]), NOW);
    arrive(&mut router, except(3, &[("a", 3_000)]), NOW);
    let freed = end(&mut router, 1, 1, AttemptEnd::Whole, NOW);
    assert_eq!(targets(&freed), []);
    let freed = end(&mut router, 2, 1, AttemptEnd::Whole, NOW);
    assert_eq!(targets(&freed), [(3, "b")]);
}

/// A queue was served from its head only: one request that had to wait for the upstream at which it
/// may not be sent held up all others.
#[test]
fn regression_a_request_that_excludes_an_upstream_does_not_hold_up_those_behind_it() {
    let mut router = router(&[("a", 1), ("b", 1)]);
    arrive(&mut router, except(1, &[("b", 3_000)]), NOW);
    arrive(&mut router, except(2, &[("a", 3_000)]), NOW);
    arrive(&mut router, except(3, &[("a", 3_000)]), NOW);
    arrive(&mut router, request(4), NOW);
    arrive(&mut router, request(5), NOW);
    let freed = end(&mut router, 1, 1, AttemptEnd::Whole, NOW);
    assert_eq!(targets(&freed), [(4, "a")]);
    let freed = end(&mut router, 2, 1, AttemptEnd::Whole, NOW);
    assert_eq!(targets(&freed), [(3, "b")]);
}

#[test]
fn a_request_behind_one_that_excludes_a_free_upstream_is_sent_at_once() {
    let mut router = router(&[("a", 4), ("b", 1)]);
    arrive(&mut router, except(1, &[("a", 3_000)]), NOW);
    let waits = arrive(&mut router, except(2, &[("a", 3_000)]), NOW);
    assert_eq!(targets(&waits), []);
    assert_eq!(targets(&arrive(&mut router, request(3), NOW)), [(3, "a")]);
}

/// How often the breaker opens with sends that end so one after the other.
fn opened(ends: &[AttemptEnd]) -> u64 {
    let mut router = router(&[("a", 100)]);
    for (id, last) in (1..).zip(ends) {
        let now = NOW.plus(id * 10);
        let sent = arrive(&mut router, request(id), now);
        assert_eq!(targets(&sent), [(id, "a")]);
        end(&mut router, id, 1, *last, now);
        router.step(RouteEvent::CallerGone(RequestId(id)), now);
    }
    router.stats().opened
}

const GIVEN_BACK: AttemptEnd = AttemptEnd::Resting(Millis(1));
const FAILED: AttemptEnd = AttemptEnd::Broken;

cases! { opened;
    never_by_what_is_given_back: &[GIVEN_BACK; 50] => 0,
    by_failures_in_a_row: &[FAILED; 5] => 1,
    by_failures_around_what_is_given_back: &[FAILED, FAILED, GIVEN_BACK, FAILED, FAILED, FAILED] => 1,
    not_by_fewer_failures_and_what_is_given_back: &[FAILED, FAILED, GIVEN_BACK, FAILED, FAILED] => 0,
}

fn limit(router: &mut Router, name: &str, rate: f64) {
    let limit = UpstreamLimit {
        rate: Some(rate),
        fragile_slots: None,
    };
    let upstream = up(name);
    router.step(RouteEvent::Limited { upstream, limit }, NOW);
}

/// Gives a request this much time until it starts.
fn within(wait: u64, request: RouteRequest) -> RouteRequest {
    RouteRequest {
        policy: RequestPolicy {
            max_wait: Some(Millis(wait)),
            ..RequestPolicy::default()
        },
        ..request
    }
}

fn retry_after(actions: &[RouteAction]) -> Option<u64> {
    match actions {
        [RouteAction::Refuse { kind, retry, .. }] => {
            assert_eq!(*kind, ErrorKind::UpstreamsLimited);
            retry.map(|r| r.0)
        }
        _ => None,
    }
}

/// What a request that excludes these upstreams, of those named `a` and `b`, is told on arrival;
/// `limited` has its permits used up for two seconds.
fn told((excluded, limited): (&[(&str, u64)], Option<&str>)) -> Option<u64> {
    let mut router = router(&[("a", 4), ("b", 4)]);
    if let Some(name) = limited {
        limit(&mut router, name, 0.5);
        let other = if name == "a" { "b" } else { "a" };
        let sent = arrive(&mut router, except(1, &[(other, 10_000)]), NOW);
        assert_eq!(targets(&sent), [(1, name)]);
    }
    retry_after(&arrive(&mut router, within(100, except(2, excluded)), NOW))
}

cases! { told;
    nothing_where_one_upstream_is_left: (&[("a", 3_000)], None) => None,
    the_earliest_end_of_all: (&[("a", 3_000), ("b", 2_000)], None) => Some(2_000),
    nothing_if_one_ends_in_time: (&[("a", 3_000), ("b", 90)], None) => None,
    the_end_where_that_is_before_the_permit: (&[("a", 1_500)], Some("b")) => Some(1_500),
    the_permit_where_that_is_before_the_end: (&[("a", 3_000)], Some("b")) => Some(2_000),
    the_permit_where_it_is_limited_and_excluded: (&[("a", 9_000), ("b", 500)], Some("b")) => Some(2_000),
    the_end_where_it_is_limited_and_excluded: (&[("a", 9_000), ("b", 2_500)], Some("b")) => Some(2_500),
    an_end_that_is_far_off: (&[("a", 90_000), ("b", 30_000)], None) => Some(30_000),
}

#[test]
fn an_upstream_that_leaves_is_not_waited_for() {
    let mut router = router(&[("a", 4), ("b", 4)]);
    let (upstream, on) = (up("b"), true);
    router.step(RouteEvent::Leaving { upstream, on }, NOW);
    let refused = arrive(&mut router, within(100, except(1, &[("a", 3_000)])), NOW);
    assert_eq!(retry_after(&refused), Some(3_000));
}

#[test]
fn a_request_given_back_by_all_upstreams_is_refused_with_the_earliest_end() {
    let mut router = router(&[("a", 4), ("b", 4)]);
    arrive(&mut router, within(100, request(1)), NOW);
    let rests = |ms| AttemptEnd::Resting(Millis(ms));
    end(&mut router, 1, 1, rests(3_000), NOW);
    let refused = end(&mut router, 1, 2, rests(2_000), NOW.plus(10));
    assert_eq!(retry_after(&refused), Some(2_000));
}

#[test]
fn a_request_waits_for_an_end_within_its_time() {
    let mut router = router(&[("a", 4)]);
    let waits = arrive(&mut router, within(500, except(1, &[("a", 300)])), NOW);
    assert_eq!(waits, []);
    assert_eq!(router.step(RouteEvent::Tick, NOW.plus(290)), []);
    let sent = router.step(RouteEvent::Tick, NOW.plus(300));
    assert_eq!(targets(&sent), [(1, "a")]);
}

/// A request waited for an upstream that then left, and was told a time before the end of the rest
/// at the only other one.
#[test]
fn a_request_that_waited_in_vain_is_told_the_end_at_the_upstream_that_is_left() {
    let mut router = router(&[("a", 4), ("b", 1)]);
    arrive(&mut router, except(1, &[("a", 3_000)]), NOW);
    let waits = arrive(&mut router, within(500, except(2, &[("a", 3_000)])), NOW);
    assert_eq!(waits, []);
    let (upstream, on) = (up("b"), true);
    router.step(RouteEvent::Leaving { upstream, on }, NOW.plus(100));
    let refused = router.step(RouteEvent::Tick, NOW.plus(500));
    assert_eq!(retry_after(&refused), Some(2_500));
}

/// The urgent ones of several are told the earlier times, though they arrived later.
#[test]
fn waiting_requests_that_are_refused_together_come_back_urgent_first() {
    let mut router = router(&[("a", 4), ("b", 1)]);
    arrive(&mut router, except(1, &[("a", 3_000)]), NOW);
    for (id, priority) in [(2, 1), (3, 1), (4, 0), (5, 0)] {
        let request = within(500, except(id, &[("a", 3_000)]));
        arrive(
            &mut router,
            RouteRequest {
                priority,
                ..request
            },
            NOW,
        );
    }
    let (upstream, on) = (up("b"), true);
    router.step(RouteEvent::Leaving { upstream, on }, NOW);
    let refused = router.step(RouteEvent::Tick, NOW.plus(500));
    let order: Vec<u64> = refused
        .iter()
        .filter_map(|a| match a {
            RouteAction::Refuse { id, .. } => Some(id.0),
            _ => None,
        })
        .collect();
    assert_eq!(order, [4, 5, 2, 3]);
    let times: Vec<_> = refused
        .iter()
        .map(|a| retry_after(std::slice::from_ref(a)))
        .collect();
    assert!(times.is_sorted(), "{times:?}");
    assert!(times[0] < times[3], "{times:?}");
}

/// The most callers in one span of 50 ms among `count` that are refused by one daemon or two whose
/// exclusions end at different times.
fn most_at_once((count, ends): (u64, &[u64])) -> usize {
    let mut router = router(&[("a", 4)]);
    let mut times = Vec::new();
    for id in 0..count {
        let end = ends[id as usize % ends.len()];
        let refused = arrive(&mut router, within(100, except(id, &[("a", end)])), NOW);
        let time = retry_after(&refused).expect("it is refused");
        assert!(time >= end, "{time} is before the end");
        assert!(time < end + 2_000, "{time} is too late");
        times.push(time);
    }
    let within = |from: &u64| {
        times
            .iter()
            .filter(|t| (*from..from + 50).contains(*t))
            .count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

cases! { most_at_once;
    of_few: (3, &[3_000]) => 3,
    of_many: (50, &[3_000]) => 3,
    of_many_of_two_daemons: (50, &[3_000, 3_011]) => 3,
    of_more_than_the_spread_takes: (200, &[3_000]) => 6,
}

#[test]
fn callers_come_back_in_the_order_of_their_refusals() {
    let mut router = router(&[("a", 4)]);
    let mut told = |id| {
        let refused = arrive(&mut router, within(100, except(id, &[("a", 3_000)])), NOW);
        retry_after(&refused).expect("it is refused")
    };
    let times: Vec<u64> = (0..40).map(&mut told).collect();
    assert!(times.is_sorted_by(|a, b| a < b), "{times:?}");
    assert_eq!(times.iter().collect::<BTreeSet<_>>().len(), 40);
}

#[test]
fn requests_that_waited_for_the_same_end_are_sent_one_after_the_other() {
    let mut router = router(&[("a", 100)]);
    for id in 0..10 {
        let waits = arrive(&mut router, within(900, except(id, &[("a", 300)])), NOW);
        assert_eq!(waits, []);
    }
    let mut sent = BTreeMap::new();
    for time in (0..900).step_by(10) {
        for (id, _) in targets(&router.step(RouteEvent::Tick, NOW.plus(time))) {
            sent.insert(time, id);
        }
    }
    let expected = (0..10).map(|id| (300 + id * 20, id));
    assert_eq!(sent, expected.collect());
}

/// How many of the requests that arrive together wait for an end that is 50 ms off, if each may
/// wait this long.
fn waiting(wait: u64) -> usize {
    let mut router = router(&[("a", 100)]);
    let refused = |id| {
        let request = within(wait, except(id, &[("a", 50)]));
        retry_after(&arrive(&mut router, request, NOW))
    };
    let refused: Vec<u64> = (0..20).filter_map(refused).collect();
    assert!(refused.iter().all(|told| *told >= 50), "{refused:?}");
    router.stats().waiting
}

cases! { waiting;
    none_where_the_end_is_late: 40 => 0,
    one_where_it_is_just_in_time: 50 => 1,
    those_whose_turn_is_in_time: 100 => 3,
    all_where_there_is_time: 1_000 => 20,
}

/// A request kept waiting for the end that an upstream's earlier start had asked for.
#[test]
fn regression_an_upstream_that_restarts_is_no_longer_excluded() {
    let mut router = router(&[("a", 4), ("b", 1)]);
    arrive(&mut router, except(1, &[("a", 3_000)]), NOW);
    let waits = arrive(&mut router, except(2, &[("a", 3_000)]), NOW);
    assert_eq!(targets(&waits), []);
    router.step(RouteEvent::Restarted(up("a")), NOW);
    let sent = router.step(RouteEvent::Tick, NOW.plus(10));
    assert_eq!(targets(&sent), [(2, "a")]);
}

#[test]
fn a_late_end_is_not_taken_for_that_of_the_current_attempt() {
    let mut router = router(&[("a", 4), ("b", 4)]);
    let sent = arrive(&mut router, request(1), NOW);
    let first = up(targets(&sent)[0].1);
    assert_eq!(router.upstream_of_attempt(RequestId(1), 1), Some(&first));
    end(&mut router, 1, 1, AttemptEnd::Resting(REST), NOW);
    assert_eq!(router.upstream_of_attempt(RequestId(1), 1), None);
    let second = router.upstream_of_attempt(RequestId(1), 2);
    assert!(second.is_some_and(|u| *u != first));
}

//! Sends that the sending daemon gives back because of their upstream, and requests that exclude
//! upstreams.

use shaleline_route::{
    AttemptEnd, Limits, Load, RequestPolicy, Route, RouteAction, RouteEvent, RouteRequest, Router,
    RouterSettings, ShareBook, UpstreamInfo,
};
use shaleline_testkit::cases;
use shaleline_types::{DataCentre, Millis, Org, RequestId, Service, Upstream};
use std::collections::BTreeMap;

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
        limits: Limits {
            rate: 1 << 40,
            concurrency: 1 << 40,
            tokens: 1 << 40,
        },
        policy: RequestPolicy::default(),
        identity: None,
        excluded: BTreeMap::new(),
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

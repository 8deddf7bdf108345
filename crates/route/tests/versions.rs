//! Requests that are bound to a software version.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_route::{
    AttemptEnd, Limits, Load, RequestPolicy, Route, RouteAction, RouteEvent, RouteRequest, Router,
    RouterSettings, ShareBook, UpstreamInfo,
};
use shaleline_types::{
    DataCentre, ErrorKind, Millis, Org, RequestId, Service, SoftwareVersion, Upstream,
};
use std::collections::BTreeMap;

const NOW: Millis = Millis(10_000);

fn centre() -> DataCentre {
    DataCentre::from_text("dc1").expect("a valid name")
}

fn up(name: &str) -> Upstream {
    Upstream::from_text(name).expect("a valid name")
}

fn route() -> Route {
    Route::Service(Service::from_text("svc").expect("a valid name"))
}

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::new((!name.is_empty()).then(|| name.to_owned()))
}

fn router(upstreams: &[(&str, &str, usize)]) -> Router {
    let mut router = Router::new(RouterSettings::new(centre()), ShareBook::alone("me"));
    for (name, version, slots) in upstreams {
        list(&mut router, name, version);
        let load = Load {
            slots: *slots,
            ..Load::default()
        };
        let upstream = up(name);
        router.step(RouteEvent::Report { upstream, load }, NOW);
    }
    router
}

fn list(router: &mut Router, name: &str, named: &str) -> Vec<RouteAction> {
    let info = UpstreamInfo {
        centre: centre(),
        routes: vec![route()],
        version: version(named),
    };
    let upstream = up(name);
    router.step(RouteEvent::Serves { upstream, info }, NOW)
}

fn arrive(router: &mut Router, id: u64, bound: Option<&str>) -> Vec<RouteAction> {
    let request = RouteRequest {
        daemon: 0,
        id: RequestId(id),
        org: Org::from_text("a").expect("a valid name"),
        route: route(),
        priority: 1,
        weight: 1,
        cost: 10,
        prefix: Vec::new(),
        block_sizes: Vec::new(),
        due: NOW.plus(1_000),
        repeatable: true,
        target: None,
        limits: Limits {
            rate: 1_000,
            concurrency: 100,
            tokens: 100_000,
        },
        policy: RequestPolicy::default(),
        identity: None,
        parts: Vec::new(),
        excluded: BTreeMap::new(),
        version: bound.map(version),
    };
    router.step(RouteEvent::Arrive(Box::new(request)), NOW)
}

fn bind(router: &mut Router, id: u64, named: &str) {
    let event = RouteEvent::Bound {
        id: RequestId(id),
        version: version(named),
    };
    assert_eq!(router.step(event, NOW), []);
}

fn broken(router: &mut Router, id: u64, attempt: u32) -> Vec<RouteAction> {
    let event = RouteEvent::Ended {
        id: RequestId(id),
        attempt,
        end: AttemptEnd::Broken,
    };
    router.step(event, NOW)
}

fn sent(actions: &[RouteAction]) -> Vec<(u64, String)> {
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

#[test]
fn a_bound_request_is_sent_to_its_version_only() {
    for bound in ["1", "2", ""] {
        let mut router = router(&[("a", "1", 9), ("b", "2", 9), ("c", "", 9), ("d", "2", 9)]);
        for id in 0..9 {
            let actions = arrive(&mut router, id, Some(bound));
            let [(_, upstream)] = &sent(&actions)[..] else {
                panic!("{actions:?}");
            };
            let fits = match bound {
                "1" => upstream == "a",
                "2" => upstream == "b" || upstream == "d",
                _ => upstream == "c",
            };
            assert!(fits, "{upstream} for {bound:?}");
        }
    }
}

#[test]
fn a_request_whose_answer_has_begun_goes_on_at_its_version() {
    let mut router = router(&[("a", "1", 9), ("b", "2", 9), ("c", "1", 9)]);
    for id in 0..9 {
        let first = sent(&arrive(&mut router, id, None))[0].1.clone();
        let versions = if first == "b" { "2" } else { "1" };
        bind(&mut router, id, versions);
        let next = sent(&broken(&mut router, id, 1))[0].1.clone();
        assert_eq!(first == "b", next == "b", "{first} then {next}");
    }
}

#[test]
fn a_bound_request_without_an_upstream_of_its_version_is_refused_at_once() {
    let mut router = router(&[("a", "1", 9)]);
    let actions = arrive(&mut router, 1, Some("2"));
    assert_eq!(refused(&actions), [ErrorKind::VersionUnavailable]);
}

#[test]
fn a_queued_bound_request_is_refused_when_its_version_is_gone() {
    let mut router = router(&[("a", "1", 1), ("b", "2", 1)]);
    assert_eq!(sent(&arrive(&mut router, 1, Some("1"))).len(), 1);
    assert_eq!(arrive(&mut router, 2, Some("1")), []);
    assert_eq!(router.step(RouteEvent::Tick, NOW), []);
    let (upstream, on) = (up("a"), true);
    router.step(RouteEvent::Leaving { upstream, on }, NOW);
    let actions = router.step(RouteEvent::Tick, NOW);
    assert_eq!(refused(&actions), [ErrorKind::VersionUnavailable]);
}

#[test]
fn an_upstream_that_starts_again_with_another_version_counts_as_that_version() {
    let mut router = router(&[("a", "1", 9)]);
    list(&mut router, "a", "2");
    let actions = arrive(&mut router, 1, Some("1"));
    assert_eq!(refused(&actions), [ErrorKind::VersionUnavailable]);
    assert_eq!(sent(&arrive(&mut router, 2, Some("2"))).len(), 1);
}

#[test]
fn a_bound_request_does_not_hold_up_those_behind_it() {
    let mut router = router(&[("a", "1", 1), ("b", "2", 1)]);
    arrive(&mut router, 1, Some("1"));
    arrive(&mut router, 2, Some("2"));
    for id in 3..6 {
        arrive(&mut router, id, Some("1"));
    }
    arrive(&mut router, 6, None);
    let event = RouteEvent::Ended {
        id: RequestId(2),
        attempt: 1,
        end: AttemptEnd::Whole,
    };
    assert_eq!(sent(&router.step(event, NOW)), [(6, "b".to_owned())]);
}

/// Guards against streams of two versions however requests, failures and versions change.
#[test]
fn no_sequence_of_events_sends_a_bound_request_to_another_version() {
    const VERSIONS: [&str; 3] = ["1", "2", ""];
    const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut router = router(&[]);
        let mut named = BTreeMap::new();
        let mut bound: BTreeMap<u64, &str> = BTreeMap::new();
        let mut attempts = BTreeMap::new();
        for step in 0..400 {
            let id = rng.random_range(0..=step / 4);
            let choice = VERSIONS[rng.random_range(0..VERSIONS.len())];
            let actions = match rng.random_range(0..4) {
                0 => {
                    let name = NAMES[rng.random_range(0..NAMES.len())];
                    named.insert(name.to_owned(), choice);
                    let mut actions = list(&mut router, name, choice);
                    let load = Load {
                        slots: 2,
                        ..Load::default()
                    };
                    let upstream = up(name);
                    actions.extend(router.step(RouteEvent::Report { upstream, load }, NOW));
                    actions
                }
                1 if !attempts.contains_key(&id) => {
                    attempts.insert(id, 0);
                    bound.insert(id, choice);
                    arrive(&mut router, id, Some(choice))
                }
                2 => broken(&mut router, id, *attempts.get(&id).unwrap_or(&0)),
                _ => router.step(RouteEvent::Tick, NOW),
            };
            for (id, upstream) in sent(&actions) {
                *attempts.entry(id).or_default() += 1;
                assert_eq!(named[&upstream], bound[&id], "seed {seed}");
            }
        }
    }
}

//! Upstreams that limit the rate of requests over all daemons.

use shaleline_route::{
    AttemptEnd, Limits, Load, PeerLoad, PeerVisibility, PermitResponse, Permits, RequestPolicy,
    Route, RouteAction, RouteEvent, RouteRequest, Router, RouterSettings, ShareBook, UpstreamInfo,
    UpstreamLimit,
};
use shaleline_testkit::cases;
use shaleline_types::{DataCentre, ErrorKind, Millis, Org, RequestId, Service, Upstream};

const NOW: Millis = Millis(10_000);

fn up(name: &str) -> Upstream {
    Upstream::from_text(name).expect("a valid name")
}

/// The permits granted in `seconds` by holders of these shares, all asked each millisecond. Each
/// holds its share since `held` seconds before.
fn granted((shares, rate, held, seconds): (&[f64], f64, u64, u64)) -> usize {
    let mut holders: Vec<Permits> = shares.iter().map(|_| Permits::default()).collect();
    let began = Millis(NOW.0.saturating_sub(held * 1_000));
    for (holder, share) in holders.iter_mut().zip(shares) {
        holder.set_share(0.0, began);
        holder.set_share(*share, began);
    }
    let mut count = 0;
    for millis in 0..seconds * 1_000 {
        for holder in &mut holders {
            let response = holder.request(&up("i-1"), rate, NOW.plus(millis));
            count += usize::from(response == PermitResponse::Granted);
        }
    }
    count
}

const THIRD: f64 = 1.0 / 3.0;

cases! {
    granted;
    one_holder_grants_the_rate_and_one_saved_permit: (&[1.0], 10.0, 5, 4) => 40,
    a_new_holder_saved_no_permit: (&[1.0], 10.0, 0, 4) => 39,
    three_holders_grant_the_rate_and_one_each: (&[THIRD; 3], 1.0, 5, 4) => 6,
    a_rate_below_one_is_granted: (&[1.0], 0.5, 5, 8) => 4,
    a_daemon_without_a_share_grants_nothing: (&[0.0], 10.0, 5, 4) => 0,
}

#[test]
fn a_share_that_changes_hands_grants_no_permit_twice() {
    let (mut first, mut second) = (Permits::default(), Permits::default());
    first.set_share(1.0, Millis(0));
    second.set_share(0.0, Millis(0));
    let mut count = 0;
    for millis in 0..8_000 {
        let now = NOW.plus(millis);
        if millis == 4_000 {
            first.set_share(0.0, now);
            second.set_share(1.0, now);
        }
        for holder in [&mut first, &mut second] {
            let response = holder.request(&up("i-1"), 1.0, now);
            count += usize::from(response == PermitResponse::Granted);
        }
    }
    assert!((6..=9).contains(&count), "{count}");
}

fn route() -> Route {
    Route::Service(Service::from_text("svc").expect("a valid name"))
}

fn router(upstreams: &[&str]) -> Router {
    let centre = DataCentre::from_text("dc1").expect("a valid name");
    let mut router = Router::new(RouterSettings::new(centre.clone()), ShareBook::alone("me"));
    for name in upstreams {
        let info = UpstreamInfo {
            centre: centre.clone(),
            routes: vec![route()],
            version: shaleline_types::SoftwareVersion::default(),
        };
        let upstream = up(name);
        router.step(RouteEvent::Serves { upstream, info }, NOW);
        let load = Load {
            slots: 20,
            ..Load::default()
        };
        let upstream = up(name);
        router.step(RouteEvent::Report { upstream, load }, NOW);
    }
    router
}

fn limit(router: &mut Router, name: &str, rate: Option<f64>, fragile_slots: Option<usize>) {
    let limit = UpstreamLimit {
        rate,
        fragile_slots,
    };
    let upstream = up(name);
    router.step(RouteEvent::Limited { upstream, limit }, NOW);
}

fn arrive(router: &mut Router, id: u64, now: Millis) -> Vec<RouteAction> {
    let request = RouteRequest {
        daemon: 0,
        id: RequestId(id),
        org: Org::from_text("o").expect("a valid name"),
        route: route(),
        priority: 0,
        weight: 1,
        cost: 1,
        prefix: Vec::new(),
        block_sizes: Vec::new(),
        due: now.plus(5_000),
        repeatable: false,
        target: None,
        limits: Limits {
            rate: 1 << 40,
            concurrency: 1 << 40,
            tokens: 1 << 40,
        },
        policy: RequestPolicy {
            max_wait: Some(Millis(100)),
            ..RequestPolicy::default()
        },
        identity: None,
        parts: Vec::new(),
        excluded: std::collections::BTreeMap::new(),
        version: None,
    };
    router.step(RouteEvent::Arrive(Box::new(request)), now)
}

fn target(actions: &[RouteAction]) -> Option<&str> {
    match actions {
        [RouteAction::Send { upstream, .. }, ..] => Some(upstream.as_str()),
        _ => None,
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

#[test]
fn what_a_limit_leaves_over_goes_to_other_upstreams() {
    let mut router = router(&["i-1", "i-2"]);
    limit(&mut router, "i-1", Some(0.5), None);
    let mut limited = 0;
    for id in 0..20 {
        let sent = arrive(&mut router, id, NOW.plus(id));
        limited += usize::from(target(&sent).expect("it is sent") == "i-1");
    }
    assert!(limited <= 1, "{limited}");
}

#[test]
fn refused_callers_are_told_when_their_permits_are_due() {
    let mut router = router(&["i-1"]);
    limit(&mut router, "i-1", Some(1.0), None);
    assert_eq!(target(&arrive(&mut router, 1, NOW)), Some("i-1"));
    let times: Vec<_> = (2..5)
        .map(|id| retry_after(&arrive(&mut router, id, NOW)))
        .collect();
    assert_eq!(times, [Some(1_000), Some(2_000), Some(3_000)]);
}

#[test]
fn a_denied_permit_sends_the_request_elsewhere_without_using_up_attempts() {
    let mut router = router(&["i-1", "i-2"]);
    limit(&mut router, "i-1", Some(100.0), None);
    limit(&mut router, "i-2", Some(100.0), None);
    let sent = arrive(&mut router, 1, NOW);
    let first = target(&sent).expect("it is sent").to_owned();
    let denied = |attempt, wait| RouteEvent::Ended {
        id: RequestId(1),
        attempt,
        end: AttemptEnd::NoPermit(Millis(wait)),
    };
    let again = router.step(denied(1, 2_000), NOW);
    assert_ne!(target(&again), Some(first.as_str()));
    let refused = router.step(denied(2, 1_500), NOW);
    assert_eq!(retry_after(&refused), Some(1_500));
}

/// Reports that the other daemons have this many requests at the upstream.
fn report_peers(router: &mut Router, running: usize, now: Millis) {
    let load = PeerLoad {
        running,
        ..PeerLoad::default()
    };
    let upstream = up("i-1");
    router.step(RouteEvent::PeerReport { upstream, load }, now);
}

/// Sends requests to a fragile upstream, each of which is answered before the next one. Returns the
/// number of those that were sent.
fn fill(router: &mut Router, ids: std::ops::Range<u64>, now: Millis) -> usize {
    let sent = ids.filter(|id| {
        let sent = target(&arrive(router, *id, now)).is_some();
        let (id, attempt) = (RequestId(*id), 1);
        router.step(RouteEvent::FirstByte { id, attempt }, now);
        sent
    });
    sent.count()
}

fn end(router: &mut Router, ids: std::ops::Range<u64>, now: Millis) {
    for id in ids.map(RequestId) {
        let end = AttemptEnd::Whole;
        let attempt = 1;
        router.step(RouteEvent::Ended { id, attempt, end }, now);
    }
}

/// A router that has just heard the others' loads at a fragile upstream with this many slots.
fn fragile_router(slots: usize) -> Router {
    let mut router = router(&["i-1"]);
    limit(&mut router, "i-1", None, Some(slots));
    report_peers(&mut router, 0, NOW);
    router
}

#[test]
fn rejections_of_one_second_lower_the_number_of_requests_once() {
    let mut router = fragile_router(8);
    assert_eq!(fill(&mut router, 0..8, NOW), 8);
    for _ in 0..3 {
        router.step(RouteEvent::Rejected(up("i-1")), NOW);
    }
    end(&mut router, 0..8, NOW.plus(500));
    let later = NOW.plus(1_000);
    report_peers(&mut router, 0, later);
    assert_eq!(
        fill(&mut router, 10..30, later),
        6,
        "three quarters of eight"
    );
}

#[test]
fn a_pause_after_a_rejection_lasts_though_limits_are_named_again() {
    let mut router = fragile_router(8);
    router.step(RouteEvent::Rejected(up("i-1")), NOW);
    limit(&mut router, "i-1", None, Some(8));
    let later = NOW.plus(900);
    report_peers(&mut router, 0, later);
    assert_eq!(fill(&mut router, 0..8, later), 0);
}

#[test]
fn a_fragile_upstream_without_answers_gets_few_requests() {
    let mut router = fragile_router(12);
    let ids = 0..12;
    let sent = ids.filter(|id| target(&arrive(&mut router, *id, NOW)).is_some());
    assert_eq!(sent.count(), 2);
    let (id, attempt) = (RequestId(0), 1);
    let sent = router.step(RouteEvent::FirstByte { id, attempt }, NOW);
    assert_eq!(sent.len(), 2, "the one that was answered, and one more");
}

#[test]
fn a_fragile_upstream_that_starts_again_is_not_taken_for_a_sturdy_one() {
    let mut router = fragile_router(12);
    assert_eq!(fill(&mut router, 0..12, NOW), 12);
    router.step(RouteEvent::Restarted(up("i-1")), NOW);
    end(&mut router, 0..12, NOW);
    let ids = 12..40;
    let sent = ids.filter(|id| target(&arrive(&mut router, *id, NOW)).is_some());
    assert_eq!(sent.count(), 2);
}

/// The requests that one of three routers sends to a fragile upstream with twelve slots, of which
/// the others use some, if the last report is this old.
fn share_of_three((busy, recent, age): (usize, bool, u64)) -> usize {
    let mut router = router(&["i-1"]);
    limit(&mut router, "i-1", None, Some(12));
    router.set_peer_visibility(PeerVisibility {
        selectors: 3,
        recent,
        ..PeerVisibility::default()
    });
    report_peers(&mut router, busy, NOW);
    fill(&mut router, 0..20, NOW.plus(age))
}

cases! {
    share_of_three;
    free_slots_are_divided_among_routers: (0, true, 0) => 4,
    slots_that_others_use_are_not_divided: (9, true, 0) => 1,
    a_full_upstream_gets_nothing: (12, true, 0) => 0,
    a_router_that_has_not_heard_the_others_uses_an_equal_part: (0, false, 0) => 4,
    an_old_report_divides_nothing: (0, true, 600) => 1,
}

#[test]
fn a_limit_that_ends_holds_nothing_back() {
    let mut router = router(&["i-1"]);
    limit(&mut router, "i-1", Some(0.5), None);
    arrive(&mut router, 1, NOW);
    limit(&mut router, "i-1", None, None);
    assert_eq!(target(&arrive(&mut router, 2, NOW)), Some("i-1"));
}

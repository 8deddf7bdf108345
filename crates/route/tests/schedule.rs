//! The order in which requests that wait get free slots, and who is refused when there are too few.

use shaleline_route::{
    choose, is_hopeless, level, AttemptEnd, Candidate, FairShares, FreeSlot, Limits, Load, Reason,
    RequestPolicy, Route, RouteAction, RouteEvent, RouteRequest, Router, RouterSettings, ShareBook,
    UpstreamInfo, Waiting, LATE_INTERVAL, LEAST_URGENT_INTERVAL,
};
use shaleline_testkit::cases;
use shaleline_types::{
    DataCentre, ErrorKind, Millis, Org, RequestId, Service, SoftwareVersion, Upstream,
};

const NOW: Millis = Millis(10_000);

/// A candidate: its number, level, time until its latest start if known, and work.
type Spec = (u64, u8, Option<i64>, f64);

fn candidate((id, level, left, work): Spec) -> Candidate {
    Candidate {
        id: RequestId(id),
        level,
        latest: left.map(|l| Millis(NOW.0.saturating_add_signed(l))),
        work,
        arrived: Millis(id),
        over: false,
        turn: 0.0,
    }
}

const SLOT: FreeSlot = FreeSlot {
    now: NOW,
    interval: Some(20.0),
    departures: 0,
    scarce: None,
};

/// The last departure before the least urgent requests have their turn.
const TURN: FreeSlot = FreeSlot {
    departures: LEAST_URGENT_INTERVAL - 1,
    ..SLOT
};

/// The same where the turn is that of late requests.
const LATE_TURN: FreeSlot = FreeSlot {
    departures: LATE_INTERVAL - 1,
    ..SLOT
};

const SCARCE: FreeSlot = FreeSlot {
    scarce: Some(0),
    ..SLOT
};

const UNKNOWN_RATE: FreeSlot = FreeSlot {
    interval: None,
    ..SLOT
};

fn pick(candidates: &[Candidate], slot: &FreeSlot) -> Option<(u64, Reason)> {
    let waiting = || {
        let all = candidates.iter().map(|c| Waiting {
            level: c.level,
            latest: c.latest,
            over: c.over,
        });
        all.collect()
    };
    choose(candidates, waiting, slot).map(|c| (c.id.0, c.reason))
}

/// Returns the number of the request that gets the slot, and why.
fn chosen((specs, slot): (&[Spec], FreeSlot)) -> Option<(u64, Reason)> {
    let candidates: Vec<Candidate> = specs.iter().copied().map(candidate).collect();
    pick(&candidates, &slot)
}

const WORK: f64 = 1_000.0;

cases! { chosen;
    // Guards against slots for requests whose target has passed while others miss theirs.
    a_request_that_can_be_in_time_precedes_a_late_one:
        (&[(1, 0, Some(-1), WORK), (2, 4, Some(100), WORK)], SLOT) => Some((2, Reason::Urgency)),
    a_late_request_is_served_where_nothing_else_waits:
        (&[(1, 0, Some(-1), WORK)], SLOT) => Some((1, Reason::Urgency)),
    the_more_urgent_request_goes_first:
        (&[(1, 4, Some(300), WORK), (2, 0, Some(300), WORK)], SLOT) => Some((2, Reason::Urgency)),
    the_earliest_latest_start_goes_first_within_a_level:
        (&[(1, 2, Some(900), WORK), (2, 2, Some(200), WORK)], SLOT) => Some((2, Reason::Urgency)),
    the_first_to_arrive_goes_first_without_targets:
        (&[(2, 2, None, WORK), (1, 2, None, WORK)], SLOT) => Some((1, Reason::Urgency)),
    // Guards against deferrable work that is only begun when it is too late.
    a_deferrable_request_that_is_due_overtakes_one_with_slack:
        (&[(1, 0, Some(400), WORK), (2, 5, Some(30), WORK)], SLOT) => Some((2, Reason::Slack)),
    // Guards against urgent requests that are late because of less urgent ones.
    a_request_without_slack_is_not_overtaken:
        (&[(1, 0, Some(35), WORK), (2, 5, Some(30), WORK)], SLOT) => Some((1, Reason::Urgency)),
    a_queue_without_slack_is_not_overtaken:
        (&[
            (1, 0, Some(100), WORK),
            (2, 0, Some(100), WORK),
            (3, 0, Some(100), WORK),
            (4, 5, Some(30), WORK),
        ], SLOT) => Some((1, Reason::Urgency)),
    // Those that were refused no longer wait, so that the queue alone looks as if it had slack.
    nothing_overtakes_a_level_of_which_requests_are_refused:
        (&[(1, 0, Some(400), WORK), (2, 5, Some(30), WORK)], SCARCE) => Some((1, Reason::Urgency)),
    nothing_is_overtaken_while_the_rate_is_unknown:
        (&[(1, 0, Some(400), WORK), (2, 5, Some(30), WORK)], UNKNOWN_RATE)
            => Some((1, Reason::Urgency)),
    a_request_without_a_known_target_is_not_overtaken:
        (&[(1, 0, None, WORK), (2, 5, Some(30), WORK)], SLOT) => Some((1, Reason::Urgency)),
    short_work_goes_first_where_not_all_can_be_in_time:
        (&[(1, 2, Some(20), WORK), (2, 2, Some(25), WORK), (3, 2, Some(30), 100.0)], SLOT)
            => Some((3, Reason::ShortWork)),
    short_work_waits_where_all_can_be_in_time:
        (&[(1, 2, Some(200), WORK), (2, 2, Some(250), WORK), (3, 2, Some(300), 100.0)], SLOT)
            => Some((1, Reason::Urgency)),
    short_work_of_a_less_urgent_level_does_not_go_first:
        (&[(1, 0, Some(20), WORK), (2, 0, Some(25), WORK), (3, 2, Some(30), 100.0)], SLOT)
            => Some((1, Reason::Urgency)),
    // Guards against starvation by urgent requests.
    the_least_urgent_request_that_waited_longest_has_its_turn:
        (&[(1, 0, Some(100), WORK), (2, 4, Some(100), WORK), (3, 4, Some(100), WORK)], TURN)
            => Some((2, Reason::Turn)),
    late_requests_have_every_second_turn:
        (&[(1, 0, Some(100), WORK), (2, 4, Some(100), WORK), (3, 0, Some(-9), WORK)], LATE_TURN)
            => Some((3, Reason::Turn)),
    a_turn_of_late_requests_passes_to_others_if_there_are_none:
        (&[(1, 0, Some(100), WORK), (2, 4, Some(100), WORK)], LATE_TURN)
            => Some((2, Reason::Turn)),
    there_is_no_turn_among_equals:
        (&[(1, 0, Some(100), WORK), (2, 0, Some(90), WORK)], TURN) => Some((2, Reason::Urgency)),
    nothing_is_chosen_without_candidates: (&[], SLOT) => None,
}

/// Returns which of an organisation's request beyond its share (1) and another's (2) is sent.
fn chosen_by_share((first, second): (Spec, Spec)) -> Option<(u64, Reason)> {
    let over = Candidate {
        over: true,
        ..candidate(first)
    };
    pick(&[over, candidate(second)], &SLOT)
}

cases! { chosen_by_share;
    // Guards against an organisation that delays others by sending more than usual.
    an_organisation_within_its_share_precedes_one_beyond_it:
        ((1, 0, Some(30), WORK), (2, 4, Some(30), WORK)) => Some((2, Reason::Urgency)),
    an_organisation_beyond_its_share_uses_the_slack_of_others:
        ((1, 0, Some(30), WORK), (2, 4, Some(3_000), WORK)) => Some((1, Reason::Slack)),
    a_late_request_does_not_precede_one_beyond_its_organisations_share:
        ((1, 0, Some(30), WORK), (2, 0, Some(-5), WORK)) => Some((1, Reason::Urgency)),
    // Nothing shows how long a request without a target can wait, so its priority decides.
    priority_precedes_the_share_where_targets_are_unknown:
        ((1, 0, None, WORK), (2, 4, None, WORK)) => Some((1, Reason::Urgency)),
}

cases! { hopeless;
    a_wait_within_the_time_left_is_accepted: (100, 100) => false,
    a_wait_somewhat_beyond_the_time_left_is_accepted: (190, 100) => false,
    a_wait_clearly_beyond_the_time_left_is_hopeless: (210, 100) => true,
}

fn hopeless((wait, left): (u64, u64)) -> bool {
    is_hopeless(Millis(wait), Millis(left))
}

cases! { levels;
    a_long_target_comes_after_others_of_its_priority: () => true,
}

fn levels((): ()) -> bool {
    level(1, true) < level(1, false) && level(1, false) < level(2, true)
}

fn org(name: &str) -> Org {
    Org::from_text(name).expect("a valid name")
}

/// What organisations ask for and get in each tenth of a second, in tokens, with their weights.
type Uses = &'static [(&'static str, u64, u64, u64)];

/// Returns the organisations beyond their shares after three seconds.
fn beyond(uses: Uses) -> Vec<String> {
    let mut shares = FairShares::default();
    for step in 0..30 {
        for (name, weight, asked, served) in uses {
            let now = NOW.plus(step * 100);
            shares.on_arrival(&org(name), *weight, *asked, now);
            shares.on_send(&org(name), *weight, *served, now);
        }
    }
    let over = shares.exceeding(NOW.plus(3_000));
    over.iter().map(ToString::to_string).collect()
}

cases! { beyond;
    an_organisation_at_seven_times_its_load_exceeds_its_share:
        &[("a", 1, 7_000, 3_000), ("b", 1, 1_000, 900), ("c", 1, 1_000, 900)]
            => vec!["a".to_owned()],
    // Sharing is work-conserving.
    no_organisation_exceeds_its_share_while_all_is_served:
        &[("a", 1, 7_000, 7_000), ("b", 1, 1_000, 1_000)] => Vec::<String>::new(),
    a_single_organisation_has_everything: &[("a", 1, 7_000, 10)] => Vec::<String>::new(),
    // b and c are served less than their weight allows.
    a_larger_weight_is_a_larger_share:
        &[("a", 4, 4_000, 3_000), ("b", 1, 4_000, 1_500)] => vec!["b".to_owned()],
    // Guards against shares in requests: both send as many, one of them ten times as large.
    large_work_counts_for_more_than_many_requests:
        &[("a", 1, 10_000, 4_000), ("b", 1, 1_000, 900)] => vec!["a".to_owned()],
}

#[test]
fn an_organisation_is_forgotten_after_a_while() {
    let mut shares = FairShares::default();
    shares.on_arrival(&org("a"), 1, 1_000_000, NOW);
    shares.on_arrival(&org("b"), 1, 1_000, NOW);
    shares.on_send(&org("a"), 1, 1_000, NOW);
    assert_eq!(shares.exceeding(NOW).len(), 1);
    let later = NOW.plus(600_000);
    shares.prune(later);
    assert!(shares.exceeding(later).is_empty());
}

fn up() -> Upstream {
    Upstream::from_text("a").expect("a valid name")
}

fn route() -> Route {
    Route::Service(Service::from_text("s").expect("a valid name"))
}

/// A router with one upstream that has this number of slots.
fn router(slots: usize, reserve: bool) -> Router {
    let centre = DataCentre::from_text("dc1").expect("a valid name");
    let settings = RouterSettings {
        reserve,
        ..RouterSettings::new(centre.clone())
    };
    let mut router = Router::new(settings, ShareBook::alone("me"));
    let info = UpstreamInfo {
        centre,
        routes: vec![route()],
        version: SoftwareVersion::default(),
    };
    let upstream = up();
    router.step(RouteEvent::Serves { upstream, info }, NOW);
    let load = Load {
        slots,
        ..Load::default()
    };
    let upstream = up();
    router.step(RouteEvent::Report { upstream, load }, NOW);
    router
}

fn request(id: u64, name: &str, priority: u8, target: u64) -> RouteRequest {
    RouteRequest {
        daemon: 0,
        id: RequestId(id),
        org: org(name),
        route: route(),
        priority,
        weight: 1,
        cost: 100,
        prefix: Vec::new(),
        block_sizes: Vec::new(),
        due: NOW.plus(60_000),
        target: Some(NOW.plus(target)),
        repeatable: false,
        limits: Limits {
            rate: 1 << 40,
            concurrency: 1 << 40,
            tokens: 1 << 40,
        },
        policy: RequestPolicy::default(),
        identity: None,
        parts: Vec::new(),
        excluded: std::collections::BTreeMap::new(),
        version: None,
    }
}

fn arrive(router: &mut Router, request: RouteRequest, now: Millis) -> Vec<RouteAction> {
    router.step(RouteEvent::Arrive(Box::new(request)), now)
}

fn sent(actions: &[RouteAction]) -> Option<u64> {
    actions.iter().find_map(|a| match a {
        RouteAction::Send { id, .. } => Some(id.0),
        _ => None,
    })
}

/// Ends a request and returns the one that is sent next.
fn next_after(router: &mut Router, id: u64, now: Millis) -> Option<u64> {
    let (id, attempt, end) = (RequestId(id), 1, AttemptEnd::Whole);
    sent(&router.step(RouteEvent::Ended { id, attempt, end }, now))
}

/// A router whose only slot frees up every 100 ms, so that it knows its rate; the request that runs.
fn busy_router() -> (Router, u64, Millis) {
    let mut r = router(1, true);
    for id in 1..=9 {
        arrive(&mut r, request(id, "o", 0, 50_000), NOW);
    }
    let mut now = NOW;
    let mut running = 1;
    for _ in 0..8 {
        now = now.plus(100);
        running = next_after(&mut r, running, now).expect("more wait");
    }
    (r, running, now)
}

#[test]
fn a_late_request_waits_behind_one_that_can_be_in_time() {
    let mut r = router(1, true);
    arrive(&mut r, request(1, "o", 0, 500), NOW);
    arrive(&mut r, request(2, "o", 0, 10), NOW);
    arrive(&mut r, request(3, "o", 2, 500), NOW);
    let now = NOW.plus(20);
    assert_eq!(next_after(&mut r, 1, now), Some(3));
    assert_eq!(next_after(&mut r, 3, now), Some(2));
}

#[test]
fn a_retry_whose_target_has_not_passed_is_served_by_its_target() {
    let mut r = router(1, true);
    arrive(&mut r, request(1, "o", 0, 500), NOW);
    arrive(&mut r, request(2, "o", 0, 400), NOW);
    arrive(&mut r, request(3, "o", 0, 150), NOW);
    assert_eq!(next_after(&mut r, 1, NOW.plus(10)), Some(3));
}

#[test]
fn a_request_is_refused_at_once_if_its_predicted_wait_exceeds_its_deadline() {
    let (mut r, _, now) = busy_router();
    for id in 100..110 {
        arrive(&mut r, request(id, "o", 0, 50_000), now);
    }
    let late = RouteRequest {
        due: now.plus(300),
        ..request(200, "o", 0, 50_000)
    };
    let actions = arrive(&mut r, late, now);
    let [RouteAction::Refuse { kind, retry, .. }] = &actions[..] else {
        panic!("not refused: {actions:?}");
    };
    assert_eq!(*kind, ErrorKind::DeadlineUnmet);
    // Eleven departures take 1,100 ms, of which the caller waits 300 ms.
    assert_eq!(*retry, Some(Millis(800)));
    assert_eq!(r.stats().shed, 1);
}

#[test]
fn refused_callers_are_spread_over_time() {
    let (mut r, _, now) = busy_router();
    for id in 100..110 {
        arrive(&mut r, request(id, "o", 0, 50_000), now);
    }
    let mut times = std::collections::BTreeSet::new();
    for id in 200..220 {
        let late = RouteRequest {
            due: now.plus(300),
            ..request(id, "o", 0, 50_000)
        };
        for action in arrive(&mut r, late, now) {
            if let RouteAction::Refuse { retry, .. } = action {
                times.insert(retry);
            }
        }
    }
    assert_eq!(times.len(), 20, "no two callers return at the same time");
}

#[test]
fn a_request_that_will_be_late_waits_if_it_can_start_before_its_deadline() {
    let (mut r, _, now) = busy_router();
    for id in 100..110 {
        arrive(&mut r, request(id, "o", 0, 50_000), now);
    }
    let late = request(200, "o", 0, now.since(NOW) + 50);
    assert!(arrive(&mut r, late, now).is_empty());
}

#[test]
fn one_organisation_may_use_all_slots_without_the_reserve() {
    let mut r = router(8, false);
    arrive(&mut r, request(1, "few", 0, 500), NOW);
    let sends = (2..=20).filter_map(|id| sent(&arrive(&mut r, request(id, "many", 0, 500), NOW)));
    assert_eq!(sends.count(), 7);
}

/// Guards against delays of others by an organisation that sends more than its share: it holds the
/// first nine places of the queue.
#[test]
fn an_organisation_that_sends_more_than_usual_does_not_delay_others() {
    let mut r = router(1, false);
    for id in 1..=10 {
        arrive(&mut r, request(id, "many", 0, 50_000), NOW);
    }
    arrive(&mut r, request(11, "few", 0, 50_000), NOW);
    let first = next_after(&mut r, 1, NOW.plus(100));
    assert_eq!(first, Some(11));
}

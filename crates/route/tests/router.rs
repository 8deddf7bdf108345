//! Admission, queues, choice of upstream, retries and leaving upstreams.

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

fn add_upstream(router: &mut Router, name: &str, slots: usize) {
    let info = UpstreamInfo {
        centre: centre(),
        routes: vec![route()],
        version: shaleline_types::SoftwareVersion::default(),
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

fn request(id: u64, name: &str, priority: u8) -> RouteRequest {
    RouteRequest {
        daemon: 0,
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
        target: None,
        limits: Limits {
            rate: 1_000,
            concurrency: 100,
            tokens: 100_000,
        },
        policy: RequestPolicy::default(),
        identity: None,
        parts: Vec::new(),
        excluded: std::collections::BTreeMap::new(),
        version: None,
    }
}

fn arrive(router: &mut Router, request: RouteRequest) -> Vec<RouteAction> {
    router.step(RouteEvent::Arrive(Box::new(request)), NOW)
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

/// An upstream that was announced as leaving before it was known got requests.
#[test]
fn regression_an_upstream_announced_as_leaving_before_it_is_known_gets_no_requests() {
    let mut r = router();
    let on = true;
    r.step(
        RouteEvent::Leaving {
            upstream: up("a"),
            on,
        },
        NOW,
    );
    add_upstream(&mut r, "a", 4);
    assert!(sent_to(&arrive(&mut r, request(1, "o", 1))).is_empty());
}

/// An upstream that disappeared and returned was no longer treated as leaving.
#[test]
fn regression_an_upstream_that_returns_is_still_leaving() {
    let mut r = router();
    add_upstream(&mut r, "a", 4);
    let on = true;
    r.step(
        RouteEvent::Leaving {
            upstream: up("a"),
            on,
        },
        NOW,
    );
    r.step(RouteEvent::Removed(up("a")), NOW);
    add_upstream(&mut r, "a", 4);
    assert!(sent_to(&arrive(&mut r, request(1, "o", 1))).is_empty());
}

#[test]
fn an_upstreams_own_report_stops_new_requests() {
    let mut r = router();
    add_upstream(&mut r, "a", 4);
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
    assert!(sent_to(&arrive(&mut r, request(1, "o", 1))).is_empty());
}

#[test]
fn a_retry_goes_elsewhere_first() {
    let mut r = router();
    add_upstream(&mut r, "a", 4);
    add_upstream(&mut r, "b", 4);
    let first = sent_to(&arrive(&mut r, request(1, "o", 1)));
    let second = sent_to(&end(&mut r, 1, 1, AttemptEnd::Broken));
    assert_ne!(first[0].1, second[0].1);
}

#[test]
fn an_unrepeatable_request_is_not_retried() {
    let mut r = router();
    add_upstream(&mut r, "a", 4);
    add_upstream(&mut r, "b", 4);
    let mut once = request(1, "o", 1);
    once.repeatable = false;
    arrive(&mut r, once);
    let actions = end(&mut r, 1, 1, AttemptEnd::Broken);
    assert_eq!(refused(&actions), [ErrorKind::UpstreamFailed]);
    assert!(sent_to(&actions).is_empty());
}

#[test]
fn a_send_that_failed_before_the_request_was_written_is_always_retried() {
    let mut r = router();
    add_upstream(&mut r, "a", 4);
    add_upstream(&mut r, "b", 4);
    let mut once = request(1, "o", 1);
    once.repeatable = false;
    arrive(&mut r, once);
    assert_eq!(sent_to(&end(&mut r, 1, 1, AttemptEnd::NotSent)).len(), 1);
}

#[test]
fn a_late_answer_to_an_old_attempt_is_dropped_and_counted() {
    let mut r = router();
    add_upstream(&mut r, "a", 4);
    add_upstream(&mut r, "b", 4);
    arrive(&mut r, request(1, "o", 1));
    end(&mut r, 1, 1, AttemptEnd::Broken);
    assert!(end(&mut r, 1, 1, AttemptEnd::Whole).is_empty());
    assert_eq!((r.stats().open, r.stats().late), (1, 1));
}

#[test]
fn urgent_requests_precede_less_urgent_ones() {
    let mut r = router();
    add_upstream(&mut r, "a", 1);
    arrive(&mut r, request(1, "o", 5));
    arrive(&mut r, request(2, "o", 5));
    arrive(&mut r, request(3, "o", 0));
    assert_eq!(sent_to(&end(&mut r, 1, 1, AttemptEnd::Whole))[0].0, 3);
}

/// Requests on routes added by configuration were less urgent than the others of their service.
/// While the service had more urgent requests than slots, they waited until their deadline: 5 of 36
/// were served.
#[test]
fn the_least_urgent_request_gets_a_slot_at_intervals() {
    const FREED: u64 = 64;
    let mut r = router();
    add_upstream(&mut r, "a", 1);
    for id in 1..=2 * FREED {
        arrive(&mut r, request(id, "urgent", 0));
    }
    for id in 1_001..=1_000 + FREED {
        arrive(&mut r, request(id, "other", 5));
    }
    let (mut running, mut served) = (1, Vec::new());
    for _ in 0..FREED {
        running = sent_to(&end(&mut r, running, 1, AttemptEnd::Whole))[0].0;
        served.extend((running > 1_000).then_some(running));
    }
    assert_eq!(served, [1_001, 1_002, 1_003, 1_004]);
}

/// The number of urgent requests of callers without an organisation that are served, of 64 places
/// that become free, after they had more of them than each of 24 organisations.
fn common_served(common: Option<&str>) -> usize {
    const FREED: u64 = 64;
    let settings = RouterSettings {
        common_org: common.map(org),
        shed: false,
        ..RouterSettings::new(centre())
    };
    let mut r = Router::new(settings, ShareBook::alone("me"));
    add_upstream(&mut r, "a", 1);
    let timed = |id: u64, name: &str, priority: u8| RouteRequest {
        target: Some(NOW.plus(1_000)),
        ..request(id, name, priority)
    };
    arrive(&mut r, timed(1, "public", 0));
    let mut running = 1;
    for id in 2..=FREED {
        arrive(&mut r, timed(id, "public", 0));
        running = sent_to(&end(&mut r, running, 1, AttemptEnd::Whole))[0].0;
    }
    for id in 0..FREED {
        arrive(&mut r, timed(1_000 + id, "public", 0));
        let name = format!("org-{}", id % 24);
        arrive(&mut r, timed(2_000 + id, &name, 1));
        arrive(&mut r, timed(3_000 + id, &name, 1));
    }
    let mut served = 0;
    for _ in 0..FREED {
        running = sent_to(&end(&mut r, running, 1, AttemptEnd::Whole))[0].0;
        served += usize::from((1_000..2_000).contains(&running));
    }
    served
}

/// Urgent requests of callers without an organisation were starved: all of these callers together
/// had exceeded the share of one organisation.
#[test]
fn callers_without_an_organisation_exceed_no_share() {
    // Every sixteenth place goes to the least urgent requests.
    assert_eq!(common_served(Some("public")), 60);
    assert!(common_served(None) < 16);
}

#[test]
fn organisations_of_one_priority_take_turns_whatever_their_queues() {
    let mut r = router();
    add_upstream(&mut r, "a", 1);
    for id in 1..=10 {
        arrive(&mut r, request(id, "many", 1));
    }
    arrive(&mut r, request(11, "few", 1));
    let mut order = Vec::new();
    let mut running = 1;
    for _ in 0..3 {
        running = sent_to(&end(&mut r, running, 1, AttemptEnd::Whole))[0].0;
        order.push(running);
    }
    assert!(order[..2].contains(&11), "{order:?}");
}

#[test]
fn one_organisation_never_holds_every_slot_of_a_shared_upstream() {
    let mut r = router();
    add_upstream(&mut r, "a", 8);
    arrive(&mut r, request(1, "few", 1));
    let sent: usize = (2..=20)
        .map(|id| sent_to(&arrive(&mut r, request(id, "many", 1))).len())
        .sum();
    assert_eq!(
        sent, 6,
        "a quarter of 8 slots stays free of one organisation"
    );
    assert_eq!(sent_to(&arrive(&mut r, request(30, "few", 1))).len(), 1);
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_with_a_retry_after() {
    let mut r = router();
    add_upstream(&mut r, "a", 1);
    arrive(&mut r, request(1, "o", 1));
    arrive(&mut r, request(2, "o", 1));
    let due = NOW.plus(1_000);
    let actions = r.step(RouteEvent::Tick, due);
    assert_eq!(refused(&actions), [ErrorKind::DeadlineUnmet]);
    assert_eq!(r.stats().waiting, 0);
}

#[test]
fn hanging_requests_are_rerouted_and_open_the_breaker() {
    let mut r = router();
    add_upstream(&mut r, "a", 4);
    let first = sent_to(&arrive(&mut r, request(1, "o", 1)));
    assert_eq!(first[0].1, "a");
    add_upstream(&mut r, "b", 4);
    assert!(
        r.step(RouteEvent::Tick, NOW.plus(499)).is_empty(),
        "the stall timeout is half of the time left"
    );
    let later = NOW.plus(500);
    let actions = r.step(RouteEvent::Tick, later);
    assert!(matches!(&actions[0], RouteAction::Cancel { upstream, .. } if *upstream == up("a")));
    assert_eq!(sent_to(&actions), [(1, "b".to_owned())]);
    let mut late = request(2, "o", 1);
    late.due = later.plus(1_000);
    let next = r.step(RouteEvent::Arrive(Box::new(late)), later);
    assert_eq!(sent_to(&next)[0].1, "b");
}

#[test]
fn limits_refuse_with_a_retry_after() {
    let mut r = router();
    add_upstream(&mut r, "a", 100);
    let mut limited = request(1, "o", 1);
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
        "the daemon may borrow from others"
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
fn a_share_grows_with_a_delay_and_shrinks_at_once() {
    let limit = 90;
    let kind = LimitKind::Rate;
    let mut shares = ShareBook::joining("a", Millis(0));
    shares.set_members(&["a", "b", "c"], Millis(0));
    assert_eq!(
        shares.share(&org("o"), kind, limit, Millis(0)),
        0,
        "a joining daemon has no share"
    );
    assert_eq!(shares.share(&org("o"), kind, limit, Millis(3_000)), 30);
    shares.set_members(&["a", "b"], Millis(4_000));
    assert_eq!(
        shares.share(&org("o"), kind, limit, Millis(4_000)),
        30,
        "c may still use its share"
    );
    assert_eq!(shares.share(&org("o"), kind, limit, Millis(7_001)), 45);
    shares.set_members(&["a", "b", "c"], Millis(8_000));
    assert_eq!(shares.share(&org("o"), kind, limit, Millis(8_000)), 30);
}

#[test]
fn loans_never_exceed_the_limit() {
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
        "at most half of the share is lent"
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
fn a_stop_waits_for_requests_in_flight() {
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
        "other daemons were not notified yet"
    );
    assert_eq!(drain.tick(busy, Millis(100)), Some(DrainAction::Refuse));
    assert_eq!(drain.tick(busy, Millis(9_000)), None);
    assert_eq!(drain.tick(done, Millis(9_001)), Some(DrainAction::Exit));
}

/// An organisation with free slots waited behind one that had none left, and less urgent
/// organisations were not considered while a more urgent one waited.
#[test]
fn regression_an_organisation_with_free_slots_does_not_wait_behind_one_without() {
    let mut r = router();
    add_upstream(&mut r, "a", 8);
    arrive(&mut r, request(1, "few", 5));
    for id in 2..=20 {
        arrive(&mut r, request(id, "many", 0));
    }
    assert_eq!(sent_to(&arrive(&mut r, request(30, "few", 5))).len(), 1);
    assert_eq!(
        sent_to(&end(&mut r, 30, 1, AttemptEnd::Whole)).len(),
        0,
        "the organisation has no slot left"
    );
}

/// An engine that was about to unload a model refused 229 requests within a day, as each was sent
/// there again.
#[test]
fn an_upstream_that_refused_is_skipped_briefly() {
    let mut router = router();
    add_upstream(&mut router, "i-1", 4);
    let sent = router.step(RouteEvent::Arrive(Box::new(request(1, "a", 1))), NOW);
    assert!(matches!(sent[..], [RouteAction::Send { .. }]));
    let end = RouteEvent::Ended {
        id: RequestId(1),
        attempt: 1,
        end: AttemptEnd::Refused,
    };
    router.step(end, NOW);
    let next = router.step(
        RouteEvent::Arrive(Box::new(request(2, "a", 1))),
        NOW.plus(1),
    );
    assert_eq!(
        next,
        [],
        "the request waits until the upstream is tried again"
    );
    let later = router.step(RouteEvent::Tick, NOW.plus(100));
    assert!(
        matches!(later[..], [RouteAction::Send { .. }, ..]),
        "{later:?}"
    );
}

/// A request with a prompt of `tokens` at half a millisecond each and a backlog limit of 125 ms.
fn prompt_request(id: u64, tokens: u32) -> RouteRequest {
    RouteRequest {
        prefix: vec![id],
        block_sizes: vec![tokens],
        policy: RequestPolicy {
            max_wait: Some(Millis(300)),
            backlog_limit: Some(Millis(125)),
            ..RequestPolicy::default()
        },
        ..request(id, "o", 1)
    }
}

/// Reports the prompt backlog of the other daemons at the upstream, in milliseconds.
fn report_peer_backlog(router: &mut Router, name: &str, backlog: f64) {
    let load = PeerLoad {
        running: 1,
        urgent: backlog,
        backlog,
    };
    let upstream = up(name);
    router.step(RouteEvent::PeerReport { upstream, load }, NOW);
}

/// A router beside others that send to the same upstreams.
fn router_with_peers() -> Router {
    let mut router = router();
    router.set_peer_visibility(PeerVisibility {
        own_share: 0.1,
        ..PeerVisibility::default()
    });
    router
}

/// An engine reads prompts between the tokens of its streams: three prompts in a row would stop all
/// streams for longer than callers accept.
#[test]
fn a_second_prompt_waits_until_the_first_is_read() {
    let mut r = router_with_peers();
    add_upstream(&mut r, "a", 40);
    assert_eq!(sent_to(&arrive(&mut r, prompt_request(1, 60))).len(), 1);
    assert!(sent_to(&arrive(&mut r, prompt_request(2, 60))).is_empty());
    let (id, attempt) = (RequestId(1), 1);
    let next = r.step(RouteEvent::FirstByte { id, attempt }, NOW.plus(40));
    assert_eq!(sent_to(&next), [(2, "a".to_owned())]);
}

#[test]
fn a_second_prompt_goes_to_another_upstream_at_once() {
    let mut r = router();
    add_upstream(&mut r, "a", 40);
    add_upstream(&mut r, "b", 40);
    let mut places: Vec<String> = Vec::new();
    for id in [1, 2] {
        places.extend(
            sent_to(&arrive(&mut r, prompt_request(id, 60)))
                .into_iter()
                .map(|s| s.1),
        );
    }
    places.sort();
    assert_eq!(places, ["a", "b"]);
}

#[test]
fn the_backlog_of_other_daemons_counts_and_decays() {
    let mut r = router();
    add_upstream(&mut r, "a", 40);
    report_peer_backlog(&mut r, "a", 110.0);
    assert!(sent_to(&arrive(&mut r, prompt_request(1, 60))).is_empty());
    let later = r.step(RouteEvent::Tick, NOW.plus(30));
    assert_eq!(sent_to(&later), [(1, "a".to_owned())]);
}

/// A prompt that exceeds the backlog limit alone would otherwise never be sent.
#[test]
fn a_large_prompt_is_sent_where_the_backlog_is_empty() {
    let mut r = router();
    add_upstream(&mut r, "a", 40);
    assert_eq!(sent_to(&arrive(&mut r, prompt_request(1, 600))).len(), 1);
}

#[test]
fn a_prompt_over_the_backlog_limit_is_refused_after_its_max_wait() {
    let mut r = router();
    add_upstream(&mut r, "a", 40);
    arrive(&mut r, prompt_request(1, 600));
    assert!(arrive(&mut r, prompt_request(2, 60)).is_empty());
    assert!(refused(&r.step(RouteEvent::Tick, NOW.plus(299))).is_empty());
    let actions = r.step(RouteEvent::Tick, NOW.plus(300));
    assert_eq!(refused(&actions), [ErrorKind::DeadlineUnmet]);
}

/// A request that can still be in time is served before a repeated one, whichever was queued first.
#[test]
fn a_first_attempt_precedes_a_repeated_request() {
    let mut r = router_with_peers();
    add_upstream(&mut r, "a", 40);
    arrive(&mut r, prompt_request(1, 60));
    let back = RouteRequest {
        priority: 17,
        ..prompt_request(2, 60)
    };
    arrive(&mut r, back);
    arrive(&mut r, prompt_request(3, 60));
    let (id, attempt) = (RequestId(1), 1);
    let next = r.step(RouteEvent::FirstByte { id, attempt }, NOW.plus(40));
    assert_eq!(sent_to(&next), [(3, "a".to_owned())]);
}

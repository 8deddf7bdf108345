//! What is kept of requests under which upstreams ended, and where they may go.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use shaleline_route::{
    AttemptEnd, CrashNote, Crashes, Limits, Load, RequestPolicy, Route, RouteAction, RouteEvent,
    RouteRequest, Router, RouterSettings, ShareBook, UpstreamInfo, MAX_CRASHES,
};
use shaleline_testkit::cases;
use shaleline_types::{
    DataCentre, ErrorKind, Fingerprint, Identity, Incarnation, IncarnationTag, Millis, Org,
    RequestId, Service, Upstream,
};
use std::collections::BTreeMap;

const NOW: Millis = Millis(1_000_000);

/// The bounds that `docs/CRASHES.md` names.
const LIFE: u64 = 600_000;
const OF_CALLER: usize = 32;
const IN_ALL: usize = 1_024;

fn identity(caller: &str, number: u64) -> Identity {
    Identity::of(caller, &[caller.as_bytes(), &number.to_le_bytes()])
}

fn start(number: u64) -> IncarnationTag {
    let name = Upstream::from_text(&format!("i-{number}")).expect("a valid name");
    IncarnationTag::of(&name, Incarnation::default())
}

fn end_many(crashes: &mut Crashes, identity: Identity, count: usize, now: Millis) {
    for number in 0..count {
        crashes.on_end(identity, start(number as u64), now);
    }
}

#[test]
fn one_start_of_an_upstream_counts_once() {
    let mut crashes = Crashes::default();
    let request = identity("a", 1);
    assert!(crashes.on_end(request, start(1), NOW).is_some());
    assert!(crashes.on_end(request, start(1), NOW).is_none());
    assert_eq!(crashes.crash_count(&request.request), 1);
}

#[test]
fn an_upstream_that_started_again_unheard_of_counts_again() {
    let mut crashes = Crashes::default();
    let request = identity("a", 1);
    crashes.on_end(request, start(1), NOW);
    let later = NOW.plus(2_500);
    let note = crashes.on_end(request, start(1), later).expect("news");
    assert_eq!(crashes.crash_count(&request.request), 2);
    // Another daemon that saw the same end tells it as the same.
    let mut other = Crashes::default();
    other.on_end(request, start(1), NOW);
    other.on_end(request, start(1), later.plus(20));
    other.merge(&note, later.plus(40));
    assert_eq!(other.crash_count(&request.request), 2);
}

#[test]
fn a_caller_with_many_requests_loses_its_own() {
    let mut crashes = Crashes::default();
    let other = identity("b", 0);
    end_many(&mut crashes, other, MAX_CRASHES, NOW);
    for number in 0..10 * OF_CALLER as u64 {
        end_many(&mut crashes, identity("a", number), MAX_CRASHES, NOW);
    }
    assert_eq!(crashes.crash_count(&other.request), MAX_CRASHES);
    assert_eq!(crashes.counts().0, OF_CALLER + 1);
}

#[test]
fn many_callers_fill_no_more_than_there_is_room() {
    let mut crashes = Crashes::default();
    let victim = identity("victim", 0);
    end_many(&mut crashes, victim, MAX_CRASHES, NOW);
    for caller in 0..2 * (IN_ALL / OF_CALLER) {
        for number in 0..OF_CALLER as u64 {
            let name = format!("c{caller}");
            end_many(&mut crashes, identity(&name, number), 1, NOW);
        }
    }
    assert!(crashes.counts().0 <= IN_ALL);
    assert_eq!(crashes.crash_count(&victim.request), MAX_CRASHES);
}

/// How many ends of a blocked request count so long after.
fn left_after(millis: u64) -> usize {
    let mut crashes = Crashes::default();
    let request = identity("a", 1);
    end_many(&mut crashes, request, MAX_CRASHES, NOW);
    for step in 0..=millis / 1_000 {
        crashes.tick(NOW.plus(step * 1_000));
    }
    crashes.crash_count(&request.request)
}

cases! { left_after;
    a_blocked_request_stays_so: LIFE - 1_000 => MAX_CRASHES,
    it_may_be_tried_once_after_its_time: LIFE => MAX_CRASHES - 1,
    it_is_forgotten_in_the_end: 3 * LIFE => 0,
}

#[test]
fn what_was_cleared_does_not_come_back_with_late_news() {
    let mut crashes = Crashes::default();
    let request = identity("a", 1);
    let late = crashes.on_end(request, start(1), NOW).expect("news");
    crashes.clear(&request.request, NOW);
    assert!(!crashes.merge(&late, NOW.plus(500)));
    assert_eq!(crashes.crash_count(&request.request), 0);
}

/// What daemons find out, in the order in which it is found, and in which order each hears of it.
#[derive(Debug, Clone)]
struct News {
    found: Vec<(u64, u64, bool)>,
    order: Vec<usize>,
}

impl Arbitrary for News {
    fn arbitrary(g: &mut Gen) -> Self {
        let found: Vec<(u64, u64, bool)> = Vec::<(u8, u8, u8)>::arbitrary(g)
            .into_iter()
            .map(|(r, s, clears)| (u64::from(r % 3), u64::from(s % 5), clears % 6 == 0))
            .collect();
        let order = Vec::<u8>::arbitrary(g).into_iter().map(usize::from);
        Self {
            order: order.collect(),
            found,
        }
    }
}

/// Whoever has heard all knows the same, whatever came twice, late or in another order.
fn all_agree(news: News) -> bool {
    let mut first = Crashes::default();
    let mut notes: Vec<CrashNote> = Vec::new();
    for (request, number, clears) in news.found {
        let request = identity("a", request);
        notes.extend(match clears {
            true => first.clear(&request.request, NOW),
            false => first.on_end(request, start(number), NOW),
        });
    }
    let mut second = Crashes::default();
    let some = news.order.iter().filter_map(|i| notes.get(*i));
    some.chain(notes.iter().rev()).for_each(|n| {
        second.merge(n, NOW);
    });
    let same = |r: u64| {
        let request = identity("a", r).request;
        first.crash_count(&request) == second.crash_count(&request)
    };
    first.digest() == second.digest() && (0..3).all(same)
}

#[test]
fn daemons_agree_whatever_way_news_took() {
    QuickCheck::new()
        .tests(500)
        .quickcheck(all_agree as fn(News) -> bool);
}

/// A router before upstreams with room.
struct Placing {
    router: Router,
    at: BTreeMap<u64, (u32, Upstream)>,
    refused: BTreeMap<u64, ErrorKind>,
}

impl Placing {
    fn new(upstreams: u64, slots: usize) -> Self {
        let centre = DataCentre::from_text("dc1").expect("a valid name");
        let settings = RouterSettings::new(centre.clone());
        let mut router = Router::new(settings, ShareBook::alone("me"));
        for number in 0..upstreams {
            let upstream = Upstream::from_text(&format!("i-{number}")).expect("a valid name");
            let info = UpstreamInfo {
                centre: centre.clone(),
                routes: vec![route()],
            };
            let serves = RouteEvent::Serves {
                upstream: upstream.clone(),
                info,
            };
            router.step(serves, NOW);
            let load = Load {
                slots,
                ..Load::default()
            };
            router.step(RouteEvent::Report { upstream, load }, NOW);
        }
        Self {
            router,
            at: BTreeMap::new(),
            refused: BTreeMap::new(),
        }
    }

    fn step(&mut self, event: RouteEvent) {
        for action in self.router.step(event, NOW) {
            match action {
                RouteAction::Send {
                    id,
                    attempt,
                    upstream,
                    ..
                } => {
                    self.at.insert(id.0, (attempt, upstream));
                }
                RouteAction::Cancel { id, .. } => {
                    self.at.remove(&id.0);
                }
                RouteAction::Refuse { id, kind, .. } => {
                    self.refused.insert(id.0, kind);
                }
            }
        }
    }

    fn ask(&mut self, id: u64, identity: Identity) {
        let ask = RouteRequest {
            id: RequestId(id),
            org: Org::from_text("o").expect("a valid name"),
            route: route(),
            priority: 1,
            weight: 1,
            cost: 1,
            prefix: Vec::new(),
            block_sizes: Vec::new(),
            due: NOW.plus(5_000),
            repeatable: false,
            limits: Limits {
                rate: 10_000,
                concurrency: 10_000,
                tokens: 1_000_000,
            },
            policy: RequestPolicy::default(),
            identity: Some(identity),
        };
        self.step(RouteEvent::Arrive(Box::new(ask)));
    }

    fn end(&mut self, id: u64, end: AttemptEnd) {
        let (attempt, _) = self.at.remove(&id).expect("it was sent");
        let id = RequestId(id);
        self.step(RouteEvent::Ended { id, attempt, end });
    }

    fn places(&self, ids: std::ops::Range<u64>) -> std::collections::BTreeSet<&Upstream> {
        ids.filter_map(|id| self.at.get(&id).map(|a| &a.1))
            .collect()
    }
}

fn route() -> Route {
    Route::Service(Service::from_text("svc").expect("a valid name"))
}

#[test]
fn copies_at_once_are_at_three_upstreams_at_the_most() {
    let mut placing = Placing::new(8, 20);
    (0..12).for_each(|id| placing.ask(id, identity("a", 1)));
    assert_eq!(placing.at.len(), 12);
    assert_eq!(placing.places(0..12).len(), MAX_CRASHES);
}

#[test]
fn what_many_ask_for_uses_all_upstreams_once_it_ended_well() {
    let mut placing = Placing::new(8, 20);
    placing.ask(0, identity("a", 1));
    placing.ask(1, identity("a", 1));
    placing.end(0, AttemptEnd::Whole);
    (2..40).for_each(|id| placing.ask(id, identity("a", 1)));
    assert_eq!(placing.places(1..40).len(), 8);
}

#[test]
fn two_suspects_are_never_at_one_upstream() {
    let mut placing = Placing::new(4, 20);
    let mut out = Vec::new();
    for request in 0..4 {
        let note = CrashNote {
            identity: identity("a", request),
            ended: [start(90), start(91)].into(),
            cleared: [].into(),
            age: 0,
        };
        placing.router.merge_crashes(vec![note], NOW, &mut out);
    }
    (0..4).for_each(|id| placing.ask(id, identity("a", id)));
    assert_eq!(placing.places(0..4).len(), 4);
    // Where each upstream has one, the next is told to come back; others are served.
    let note = CrashNote {
        identity: identity("a", 9),
        ended: [start(90), start(91)].into(),
        cleared: [].into(),
        age: 0,
    };
    placing.router.merge_crashes(vec![note], NOW, &mut out);
    placing.ask(9, identity("a", 9));
    placing.ask(10, identity("b", 1));
    assert_eq!(placing.refused.get(&9), Some(&ErrorKind::NoUpstream));
    assert!(placing.at.contains_key(&10));
}

#[test]
fn copies_that_may_go_nowhere_keep_nobody_waiting() {
    let mut placing = Placing::new(4, 2);
    // Six fill three upstreams, the seventh waits first in line.
    (0..7).for_each(|id| placing.ask(id, identity("a", 1)));
    placing.ask(10, identity("b", 1));
    placing.step(RouteEvent::Tick);
    placing.step(RouteEvent::Tick);
    assert!(placing.at.contains_key(&10), "{:?}", placing.refused);
    assert!(placing.refused.contains_key(&6));
}

#[test]
fn what_is_open_of_a_blocked_request_is_given_up() {
    let mut placing = Placing::new(4, 20);
    placing.ask(0, identity("a", 1));
    let note = CrashNote {
        identity: identity("a", 1),
        ended: (0..MAX_CRASHES as u64).map(start).collect(),
        cleared: [].into(),
        age: 0,
    };
    let mut out = Vec::new();
    placing.router.merge_crashes(vec![note], NOW, &mut out);
    let kinds = out.iter().filter_map(|a| match a {
        RouteAction::Refuse { kind, .. } => Some(*kind),
        _ => None,
    });
    assert_eq!(kinds.collect::<Vec<_>>(), [ErrorKind::EndsUpstreams]);
    placing.ask(1, identity("a", 1));
    assert_eq!(placing.refused.get(&1), Some(&ErrorKind::EndsUpstreams));
}

#[test]
fn a_digest_for_people_tells_nothing_of_a_request() {
    let shown = Fingerprint::of(&[b"secret"]).to_string();
    assert_eq!(shown.len(), 8);
    assert!(Fingerprint::of(&[b"secret"]).to_hex().starts_with(&shown));
}

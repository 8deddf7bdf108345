//! Records of requests with crashes, and the upstreams that such requests may be sent to.

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

/// The bounds given in `docs/CRASHES.md`.
const CRASH_LIFETIME_MS: u64 = 600_000;
const MAX_PER_CALLER: usize = 32;
const MAX_REQUESTS: usize = 1_024;

fn identity(caller: &str, number: u64) -> Identity {
    Identity::of(caller, &[caller.as_bytes(), &number.to_le_bytes()])
}

fn part(number: u64) -> Fingerprint {
    Fingerprint::of_part(number)
}

/// A request below three, else a part.
fn cause(number: u64) -> Identity {
    match number {
        0..3 => identity("a", number),
        _ => identity("a", 0).with_part(part(number)),
    }
}

fn start(number: u64) -> IncarnationTag {
    let name = Upstream::from_text(&format!("i-{number}")).expect("a valid name");
    IncarnationTag::of(&name, Incarnation::default())
}

fn crash_many(crashes: &mut Crashes, identity: Identity, count: usize, now: Millis) {
    for number in 0..count {
        crashes.on_end(identity, start(number as u64), now);
    }
}

#[test]
fn one_upstream_start_counts_once() {
    let mut crashes = Crashes::default();
    let request = identity("a", 1);
    assert!(crashes.on_end(request, start(1), NOW).is_some());
    assert!(crashes.on_end(request, start(1), NOW).is_none());
    assert_eq!(crashes.crash_count(&request.request), 1);
}

#[test]
fn a_second_crash_with_an_outdated_start_counts_again() {
    let mut crashes = Crashes::default();
    let request = identity("a", 1);
    crashes.on_end(request, start(1), NOW);
    let later = NOW.plus(2_500);
    let note = crashes.on_end(request, start(1), later).expect("news");
    assert_eq!(crashes.crash_count(&request.request), 2);
    // Another daemon that saw the same crash reports it with the same tag.
    let mut other = Crashes::default();
    other.on_end(request, start(1), NOW);
    other.on_end(request, start(1), later.plus(20));
    other.merge(&note, later.plus(40));
    assert_eq!(other.crash_count(&request.request), 2);
}

#[test]
fn a_caller_with_many_requests_evicts_its_own() {
    let mut crashes = Crashes::default();
    let other = identity("b", 0);
    crash_many(&mut crashes, other, MAX_CRASHES, NOW);
    for number in 0..10 * MAX_PER_CALLER as u64 {
        crash_many(&mut crashes, identity("a", number), MAX_CRASHES, NOW);
    }
    assert_eq!(crashes.crash_count(&other.request), MAX_CRASHES);
    assert_eq!(crashes.counts().0, MAX_PER_CALLER + 1);
}

#[test]
fn many_callers_stay_within_the_request_limit() {
    let mut crashes = Crashes::default();
    let victim = identity("victim", 0);
    crash_many(&mut crashes, victim, MAX_CRASHES, NOW);
    for caller in 0..2 * (MAX_REQUESTS / MAX_PER_CALLER) {
        for number in 0..MAX_PER_CALLER as u64 {
            let name = format!("c{caller}");
            crash_many(&mut crashes, identity(&name, number), 1, NOW);
        }
    }
    assert!(crashes.counts().0 <= MAX_REQUESTS);
    assert_eq!(crashes.crash_count(&victim.request), MAX_CRASHES);
}

/// Returns how many crashes of a blocked request still count after `millis`.
fn crashes_left_after(millis: u64) -> usize {
    let mut crashes = Crashes::default();
    let request = identity("a", 1);
    crash_many(&mut crashes, request, MAX_CRASHES, NOW);
    for step in 0..=millis / 1_000 {
        crashes.tick(NOW.plus(step * 1_000));
    }
    crashes.crash_count(&request.request)
}

cases! { crashes_left_after;
    a_blocked_request_stays_blocked: CRASH_LIFETIME_MS - 1_000 => MAX_CRASHES,
    one_crash_expires_after_the_lifetime: CRASH_LIFETIME_MS => MAX_CRASHES - 1,
    all_crashes_expire_in_the_end: 3 * CRASH_LIFETIME_MS => 0,
}

#[test]
fn a_late_note_does_not_restore_a_cleared_crash() {
    let mut crashes = Crashes::default();
    let request = identity("a", 1);
    let late = crashes.on_end(request, start(1), NOW).expect("news");
    crashes.clear(&request.request, NOW);
    assert!(!crashes.merge(&late, NOW.plus(500)));
    assert_eq!(crashes.crash_count(&request.request), 0);
}

/// Crash events in the order in which they occur, and the order in which notes are delivered.
#[derive(Debug, Clone)]
struct NoteDelivery {
    events: Vec<(u64, u64, bool)>,
    order: Vec<usize>,
}

impl Arbitrary for NoteDelivery {
    fn arbitrary(g: &mut Gen) -> Self {
        let events: Vec<(u64, u64, bool)> = Vec::<(u8, u8, u8)>::arbitrary(g)
            .into_iter()
            .map(|(r, s, clears)| (u64::from(r % 6), u64::from(s % 5), clears % 6 == 0))
            .collect();
        let order = Vec::<u8>::arbitrary(g).into_iter().map(usize::from);
        Self {
            order: order.collect(),
            events,
        }
    }
}

/// Daemons that received all notes must agree, even if notes are duplicated, late or reordered.
fn daemons_agree(delivery: NoteDelivery) -> bool {
    let mut first = Crashes::default();
    let mut notes: Vec<CrashNote> = Vec::new();
    for (request, number, clears) in delivery.events {
        let request = cause(request);
        notes.extend(match clears {
            true => first.clear(&request.request, NOW),
            false => first.on_end(request, start(number), NOW),
        });
    }
    let mut second = Crashes::default();
    let some = delivery.order.iter().filter_map(|i| notes.get(*i));
    some.chain(notes.iter().rev()).for_each(|n| {
        second.merge(n, NOW);
    });
    let same = |r: u64| {
        let request = cause(r).request;
        first.crash_count(&request) == second.crash_count(&request)
    };
    first.digest() == second.digest() && (0..6).all(same)
}

#[test]
fn daemons_agree_in_any_delivery_order() {
    QuickCheck::new()
        .tests(500)
        .quickcheck(daemons_agree as fn(NoteDelivery) -> bool);
}

/// A router with upstreams that have free slots.
struct RouterFixture {
    router: Router,
    now: Millis,
    in_flight: BTreeMap<u64, (u32, Upstream)>,
    refused: BTreeMap<u64, ErrorKind>,
}

impl RouterFixture {
    fn new(upstreams: u64, slots: usize) -> Self {
        let centre = DataCentre::from_text("dc1").expect("a valid name");
        let settings = RouterSettings::new(centre.clone());
        let mut router = Router::new(settings, ShareBook::alone("me"));
        for number in 0..upstreams {
            let upstream = Upstream::from_text(&format!("i-{number}")).expect("a valid name");
            let info = UpstreamInfo {
                centre: centre.clone(),
                routes: vec![route()],
                version: shaleline_types::SoftwareVersion::default(),
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
            now: NOW,
            in_flight: BTreeMap::new(),
            refused: BTreeMap::new(),
        }
    }

    fn step(&mut self, event: RouteEvent) {
        for action in self.router.step(event, self.now) {
            match action {
                RouteAction::Send {
                    id,
                    attempt,
                    upstream,
                    ..
                } => {
                    self.in_flight.insert(id.0, (attempt, upstream));
                }
                RouteAction::Cancel { id, .. } => {
                    self.in_flight.remove(&id.0);
                }
                RouteAction::Refuse { id, kind, .. } => {
                    self.refused.insert(id.0, kind);
                }
            }
        }
    }

    fn arrive(&mut self, id: u64, identity: Identity) {
        self.arrive_with(id, identity, Vec::new());
    }

    fn arrive_with(&mut self, id: u64, identity: Identity, parts: Vec<Fingerprint>) {
        let mut request = Self::request(id, identity, parts);
        request.due = self.now.plus(5_000);
        self.step(RouteEvent::Arrive(Box::new(request)));
    }

    fn request(id: u64, identity: Identity, parts: Vec<Fingerprint>) -> RouteRequest {
        RouteRequest {
            daemon: 0,
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
            target: None,
            limits: Limits {
                rate: 10_000,
                concurrency: 10_000,
                tokens: 1_000_000,
            },
            policy: RequestPolicy::default(),
            identity: Some(identity),
            parts,
            excluded: BTreeMap::new(),
            version: None,
        }
    }

    fn end(&mut self, id: u64, end: AttemptEnd) {
        let (attempt, _) = self.in_flight.remove(&id).expect("it was sent");
        let id = RequestId(id);
        self.step(RouteEvent::Ended { id, attempt, end });
    }

    /// Answers a request, whose answer begins now.
    fn answer(&mut self, id: u64) {
        let attempt = self.in_flight[&id].0;
        let request = RequestId(id);
        self.step(RouteEvent::FirstByte {
            id: request,
            attempt,
        });
        self.end(id, AttemptEnd::Whole);
    }

    /// Sends a request of its own identity with these parts, during which an upstream crashes.
    fn crash(&mut self, id: u64, parts: &[Fingerprint]) {
        self.arrive_with(id, identity("a", id), parts.to_vec());
        self.end(id, AttemptEnd::UpstreamEnded(start(1_000 + id)));
    }

    fn crash_count(&self, part: Fingerprint) -> usize {
        self.router.crashes().crash_count(&part)
    }

    fn upstreams_of(&self, ids: std::ops::Range<u64>) -> std::collections::BTreeSet<&Upstream> {
        ids.filter_map(|id| self.in_flight.get(&id).map(|a| &a.1))
            .collect()
    }
}

fn route() -> Route {
    Route::Service(Service::from_text("svc").expect("a valid name"))
}

#[test]
fn concurrent_copies_run_on_at_most_three_upstreams() {
    let mut fixture = RouterFixture::new(8, 20);
    (0..12).for_each(|id| fixture.arrive(id, identity("a", 1)));
    assert_eq!(fixture.in_flight.len(), 12);
    assert_eq!(fixture.upstreams_of(0..12).len(), MAX_CRASHES);
}

#[test]
fn a_popular_request_uses_all_upstreams_after_a_success() {
    let mut fixture = RouterFixture::new(8, 20);
    fixture.arrive(0, identity("a", 1));
    fixture.arrive(1, identity("a", 1));
    fixture.end(0, AttemptEnd::Whole);
    (2..40).for_each(|id| fixture.arrive(id, identity("a", 1)));
    assert_eq!(fixture.upstreams_of(1..40).len(), 8);
}

#[test]
fn two_suspects_never_share_an_upstream() {
    let mut fixture = RouterFixture::new(4, 20);
    let mut out = Vec::new();
    for request in 0..4 {
        let note = CrashNote {
            identity: identity("a", request),
            ended: [start(90), start(91)].into(),
            cleared: [].into(),
            age: 0,
        };
        fixture.router.merge_crashes(vec![note], NOW, &mut out);
    }
    (0..4).for_each(|id| fixture.arrive(id, identity("a", id)));
    assert_eq!(fixture.upstreams_of(0..4).len(), 4);
    // With a suspect at each upstream the next suspect is refused; other requests are served.
    let note = CrashNote {
        identity: identity("a", 9),
        ended: [start(90), start(91)].into(),
        cleared: [].into(),
        age: 0,
    };
    fixture.router.merge_crashes(vec![note], NOW, &mut out);
    fixture.arrive(9, identity("a", 9));
    fixture.arrive(10, identity("b", 1));
    assert_eq!(fixture.refused.get(&9), Some(&ErrorKind::NoUpstream));
    assert!(fixture.in_flight.contains_key(&10));
}

#[test]
fn unplaceable_copies_do_not_block_the_queue() {
    let mut fixture = RouterFixture::new(4, 2);
    // Six copies fill three upstreams; the seventh is first in the queue.
    (0..7).for_each(|id| fixture.arrive(id, identity("a", 1)));
    fixture.arrive(10, identity("b", 1));
    fixture.step(RouteEvent::Tick);
    fixture.step(RouteEvent::Tick);
    assert!(fixture.in_flight.contains_key(&10), "{:?}", fixture.refused);
    assert!(fixture.refused.contains_key(&6));
}

#[test]
fn open_copies_of_a_blocked_request_fail() {
    let mut fixture = RouterFixture::new(4, 20);
    fixture.arrive(0, identity("a", 1));
    let note = CrashNote {
        identity: identity("a", 1),
        ended: (0..MAX_CRASHES as u64).map(start).collect(),
        cleared: [].into(),
        age: 0,
    };
    let mut out = Vec::new();
    fixture.router.merge_crashes(vec![note], NOW, &mut out);
    let kinds = out.iter().filter_map(|a| match a {
        RouteAction::Refuse { kind, .. } => Some(*kind),
        _ => None,
    });
    assert_eq!(kinds.collect::<Vec<_>>(), [ErrorKind::EndsUpstreams]);
    fixture.arrive(1, identity("a", 1));
    assert_eq!(fixture.refused.get(&1), Some(&ErrorKind::EndsUpstreams));
}

#[test]
fn a_displayed_fingerprint_reveals_nothing_of_the_request() {
    let shown = Fingerprint::of(&[b"secret"]).to_string();
    assert_eq!(shown.len(), 8);
    assert!(Fingerprint::of(&[b"secret"]).to_hex().starts_with(&shown));
}

#[test]
fn a_part_is_blocked_after_three_crashes_of_different_requests() {
    let mut fixture = RouterFixture::new(8, 20);
    (0..3).for_each(|id| fixture.crash(id, &[part(1)]));
    fixture.arrive_with(10, identity("b", 10), vec![part(2), part(1)]);
    assert_eq!(fixture.refused.get(&10), Some(&ErrorKind::EndsUpstreams));
    fixture.arrive_with(11, identity("b", 10), vec![part(2)]);
    assert!(fixture.in_flight.contains_key(&11));
}

#[test]
fn open_requests_with_a_blocked_part_fail() {
    let mut fixture = RouterFixture::new(8, 20);
    fixture.arrive_with(10, identity("b", 10), vec![part(1)]);
    (0..3).for_each(|id| fixture.crash(id, &[part(1)]));
    assert_eq!(fixture.refused.get(&10), Some(&ErrorKind::EndsUpstreams));
}

#[test]
fn a_part_that_was_answered_lately_is_not_blamed_for_one_crash() {
    let mut fixture = RouterFixture::new(8, 20);
    fixture.arrive_with(0, identity("a", 0), vec![part(1)]);
    fixture.answer(0);
    fixture.crash(1, &[part(1), part(2)]);
    assert_eq!(
        (fixture.crash_count(part(1)), fixture.crash_count(part(2))),
        (0, 1)
    );
    // Without an answer in between it may have become the cause.
    fixture.crash(2, &[part(1), part(2)]);
    assert_eq!(
        (fixture.crash_count(part(1)), fixture.crash_count(part(2))),
        (1, 2)
    );
}

#[test]
fn a_part_is_cleared_by_an_answer_that_began_after_its_crash() {
    let mut fixture = RouterFixture::new(8, 20);
    fixture.crash(0, &[part(1)]);
    let later = NOW.plus(5);
    for (id, begins, left) in [(1, NOW, 1), (2, later, 0)] {
        fixture.arrive_with(id, identity("a", id), vec![part(1)]);
        let attempt = fixture.in_flight[&id].0;
        let request = RequestId(id);
        let first = RouteEvent::FirstByte {
            id: request,
            attempt,
        };
        fixture.router.step(first, begins);
        fixture.end(id, AttemptEnd::Whole);
        assert_eq!(fixture.crash_count(part(1)), left);
    }
}

#[test]
fn a_part_is_not_blamed_if_the_answer_had_begun() {
    let mut fixture = RouterFixture::new(8, 20);
    fixture.arrive_with(0, identity("a", 0), vec![part(1)]);
    let attempt = fixture.in_flight[&0].0;
    fixture.step(RouteEvent::FirstByte {
        id: RequestId(0),
        attempt,
    });
    fixture.end(0, AttemptEnd::UpstreamEnded(start(1)));
    assert_eq!(fixture.crash_count(part(1)), 0);
    assert_eq!(fixture.router.crashes().counts(), (1, 0));
}

#[test]
fn a_crash_that_a_blocked_cause_explains_does_not_count_for_others() {
    let mut crashes = Crashes::default();
    let (guilty, bystander) = (cause(3), cause(4));
    // The bystander was present each time, the guilty part once more.
    crash_many(&mut crashes, bystander, MAX_CRASHES, NOW);
    crash_many(&mut crashes, guilty, MAX_CRASHES + 1, NOW);
    assert_eq!(crashes.crash_count(&guilty.request), MAX_CRASHES + 1);
    assert_eq!(crashes.crash_count(&bystander.request), 0);
    assert_eq!(crashes.counts(), (1, 1));
}

#[test]
fn a_request_is_blamed_before_the_parts_of_its_prompt() {
    let mut crashes = Crashes::default();
    for blamed in [cause(0), cause(3)] {
        crash_many(&mut crashes, blamed, MAX_CRASHES, NOW);
    }
    assert_eq!(crashes.crash_count(&cause(0).request), MAX_CRASHES);
    assert_eq!(crashes.crash_count(&cause(3).request), 0);
}

#[test]
fn a_part_is_counted_among_many_requests_and_parts_of_its_caller() {
    let mut fixture = RouterFixture::new(40, 20);
    for id in 0..2 {
        let others = (0..23).map(|other| part(100 * (id + 1) + other));
        let parts: Vec<Fingerprint> = others.chain([part(1)]).collect();
        fixture.crash(id, &parts);
    }
    (10..60).for_each(|id| fixture.crash(id, &[]));
    assert_eq!(fixture.crash_count(part(1)), 2);
    fixture.crash(99, &[part(1)]);
    assert_eq!(fixture.crash_count(part(1)), MAX_CRASHES);
}

#[test]
fn parts_of_one_caller_stay_within_their_limit() {
    const MAX_PARTS_PER_CALLER: usize = 64;
    let mut crashes = Crashes::default();
    for number in 0..10 * MAX_PARTS_PER_CALLER as u64 {
        let blamed = identity("a", number).with_part(part(number));
        crashes.on_end(blamed, start(number), NOW);
    }
    assert_eq!(crashes.counts().0, MAX_PARTS_PER_CALLER);
}

/// Guards against a first part of all prompts that is blocked because many upstreams crash at once.
#[test]
fn a_part_that_was_answered_just_now_is_served_on_after_many_crashes() {
    let mut fixture = RouterFixture::new(12, 20);
    fixture.arrive_with(0, identity("a", 0), vec![part(1)]);
    fixture.answer(0);
    let note = CrashNote {
        identity: identity("b", 0).with_part(part(1)),
        ended: (0..6).map(start).collect(),
        cleared: [].into(),
        age: 0,
    };
    fixture.arrive_with(1, identity("a", 1), vec![part(1)]);
    let mut out = Vec::new();
    fixture.router.merge_crashes(vec![note], NOW, &mut out);
    assert!(out.is_empty(), "{out:?}");
    fixture.arrive_with(2, identity("a", 2), vec![part(1)]);
    assert!(fixture.in_flight.contains_key(&2), "{:?}", fixture.refused);
    // Without a further answer it may be the cause.
    fixture.router.step(RouteEvent::Tick, NOW.plus(3_000));
    let late = RouteEvent::Arrive(Box::new(RouteRequest {
        due: NOW.plus(9_000),
        ..RouterFixture::request(3, identity("a", 3), vec![part(1)])
    }));
    let actions = fixture.router.step(late, NOW.plus(3_000));
    let is_refusal = |a: &RouteAction| {
        matches!(
            a,
            RouteAction::Refuse {
                kind: ErrorKind::EndsUpstreams,
                ..
            }
        )
    };
    assert!(actions.iter().any(is_refusal), "{actions:?}");
}

/// Time without any request, longer than a part counts as answered lately.
const PAUSE_MS: u64 = 62_000;

/// A router at which requests with part 1 were answered, and none were sent for a while since.
fn after_a_pause() -> RouterFixture {
    let mut fixture = RouterFixture::new(12, 20);
    for id in 0..4 {
        fixture.arrive_with(id, identity("a", id), vec![part(1)]);
        fixture.answer(id);
    }
    fixture.now = NOW.plus(PAUSE_MS);
    fixture.step(RouteEvent::Tick);
    fixture
}

/// Whether a request with these parts is sent.
fn is_sent(fixture: &mut RouterFixture, id: u64, parts: &[Fingerprint]) -> bool {
    fixture.arrive_with(id, identity("s", id), parts.to_vec());
    fixture.in_flight.contains_key(&id)
}

/// Guards against sound requests that are refused for ten minutes because a part that crashes
/// upstreams came after a first part that they share, and after a pause in the traffic.
#[test]
fn a_part_that_was_ever_answered_is_not_blocked_with_the_cause() {
    let mut fixture = after_a_pause();
    (10..13).for_each(|id| fixture.crash(id, &[part(1), part(2)]));
    assert_eq!(fixture.crash_count(part(2)), MAX_CRASHES);
    assert!(!is_sent(&mut fixture, 20, &[part(1), part(2)]));
    assert!(is_sent(&mut fixture, 21, &[part(1)]));
}

/// Guards against a tie that blames both parts where neither was ever answered.
#[test]
fn of_two_parts_that_tie_the_rarer_one_is_blocked() {
    let mut fixture = RouterFixture::new(12, 20);
    for id in 0..4 {
        fixture.arrive_with(id, identity("a", id), vec![part(1)]);
        fixture.step(RouteEvent::CallerGone(RequestId(id)));
    }
    (10..13).for_each(|id| fixture.crash(id, &[part(1), part(2)]));
    assert!(!is_sent(&mut fixture, 20, &[part(1), part(2)]));
    assert!(is_sent(&mut fixture, 21, &[part(1)]));
}

/// Guards against a first part that is blamed for one crash more than the cause, which another cause
/// explains.
#[test]
fn one_crash_of_another_cause_does_not_block_a_part_that_was_answered() {
    let mut fixture = after_a_pause();
    fixture.crash(9, &[part(1)]);
    (10..13).for_each(|id| fixture.crash(id, &[part(1), part(2)]));
    assert!(!is_sent(&mut fixture, 20, &[part(2)]));
    assert!(is_sent(&mut fixture, 21, &[part(1)]));
}

/// The number of crashes after which a part that was answered before is blocked, if upstreams crash
/// under requests that have it, each with the next of these other parts.
fn crashes_until_blocked(others: &[u64]) -> Option<u64> {
    let mut fixture = after_a_pause();
    let mut crashes = 0;
    for (id, other) in (10..).zip(others) {
        if !is_sent(&mut fixture, id, &[part(1), part(*other)]) {
            continue;
        }
        fixture.end(id, AttemptEnd::UpstreamEnded(start(1_000 + id)));
        crashes += 1;
        if !is_sent(&mut fixture, 100 + id, &[part(1)]) {
            return Some(crashes);
        }
        fixture.step(RouteEvent::CallerGone(RequestId(100 + id)));
    }
    None
}

// Guards against a part that has become the cause after an answer, and is spared for more crashes than
// are allowed because other parts were present at some of them.
cases! { crashes_until_blocked;
    a_part_that_becomes_the_cause_is_blocked_after_three_crashes: &[2, 3, 4, 5] => Some(3),
    a_part_that_becomes_the_cause_is_blocked_though_another_one_tied:
        &[2, 2, 2, 3, 4, 5] => Some(5),
    a_part_that_becomes_the_cause_is_blocked_though_two_others_tied:
        &[2, 3, 2, 3, 2, 3, 4] => Some(4),
}

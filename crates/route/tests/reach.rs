//! Sends of several daemons, some of which have lost their paths to the upstreams.

use shaleline_route::{
    AnswerTimes, AttemptEnd, Limits, Load, OpeningCause, RequestPolicy, Route, RouteAction,
    RouteEvent, RouteRequest, Router, RouterSettings, ShareBook, UpstreamInfo,
};
use shaleline_testkit::cases;
use shaleline_types::{DataCentre, Millis, Org, RequestId, Service, SoftwareVersion, Upstream};
use std::collections::BTreeMap;

const SLOTS: usize = 4;

/// The time that an upstream takes for a request.
const WORK_MS: u64 = 60;

/// Daemons by the numbers that their requests bear.
const SOUND: u64 = 1;
const SOUND_TOO: u64 = 2;
const CUT: u64 = 3;
const CUT_TOO: u64 = 4;

fn route() -> Route {
    Route::Service(Service::from_text("alerts").expect("a valid name"))
}

fn up(name: &str) -> Upstream {
    Upstream::from_text(name).expect("a valid name")
}

/// A router, the time, and the number of the last request.
struct Play {
    router: Router,
    now: Millis,
    last: u64,
}

impl Play {
    /// Starts with upstreams that have answered sound daemons, so that answer times are known.
    fn new(upstreams: &[&str]) -> Self {
        let centre = DataCentre::from_text("dc1").expect("a valid name");
        let router = Router::new(RouterSettings::new(centre.clone()), ShareBook::alone("me"));
        let mut play = Self {
            router,
            now: Millis(10_000),
            last: 0,
        };
        for name in upstreams {
            let info = UpstreamInfo {
                centre: centre.clone(),
                routes: vec![route()],
                version: SoftwareVersion::default(),
            };
            let load = Load {
                slots: SLOTS,
                ..Load::default()
            };
            let upstream = up(name);
            play.step(RouteEvent::Serves {
                upstream: upstream.clone(),
                info,
            });
            play.step(RouteEvent::Report { upstream, load });
        }
        for daemon in [SOUND, SOUND_TOO] {
            for _ in 0..4 * upstreams.len() {
                play.serve(daemon);
            }
        }
        play
    }

    fn step(&mut self, event: RouteEvent) -> Vec<RouteAction> {
        self.router.step(event, self.now)
    }

    fn wait(&mut self, millis: u64) -> Vec<RouteAction> {
        let mut all = Vec::new();
        for _ in 0..millis / 10 {
            self.now = self.now.plus(10);
            all.extend(self.step(RouteEvent::Tick));
        }
        all
    }

    /// A request of a daemon arrives; returns its number and the upstream that it is sent to.
    fn arrive(&mut self, daemon: u64) -> (RequestId, Option<Upstream>) {
        self.last += 1;
        let id = RequestId(self.last);
        let request = RouteRequest {
            daemon,
            id,
            org: Org::from_text("o").expect("a valid name"),
            route: route(),
            priority: 1,
            weight: 1,
            cost: 1,
            prefix: Vec::new(),
            block_sizes: Vec::new(),
            due: self.now.plus(2_000),
            repeatable: false,
            target: None,
            limits: Limits {
                rate: 10_000,
                concurrency: 1_000,
                tokens: 100_000,
            },
            policy: RequestPolicy::default(),
            identity: None,
            parts: Vec::new(),
            excluded: BTreeMap::new(),
            version: None,
        };
        let actions = self.step(RouteEvent::Arrive(Box::new(request)));
        (id, sent_to(&actions, id))
    }

    fn answer(&mut self, id: RequestId) {
        self.step(RouteEvent::FirstByte { id, attempt: 1 });
        self.end(id, AttemptEnd::Whole);
    }

    fn end(&mut self, id: RequestId, end: AttemptEnd) {
        let attempt = 1;
        self.step(RouteEvent::Ended { id, attempt, end });
    }

    fn serve(&mut self, daemon: u64) {
        let (id, upstream) = self.arrive(daemon);
        assert!(upstream.is_some());
        self.wait(WORK_MS);
        self.answer(id);
    }

    /// Fills all slots with sends that get no answer.
    fn fill(&mut self) {
        for number in 0..SLOTS as u64 {
            let daemon = if number % 2 == 0 { CUT } else { CUT_TOO };
            assert!(self.arrive(daemon).1.is_some());
        }
        assert!(self.arrive(SOUND).1.is_none(), "all slots are taken");
    }

    fn openings(&mut self) -> Vec<OpeningCause> {
        let openings = self.router.take_openings();
        openings.into_iter().map(|o| o.cause).collect()
    }
}

fn sent_to(actions: &[RouteAction], id: RequestId) -> Option<Upstream> {
    actions.iter().find_map(|a| match a {
        RouteAction::Send {
            id: sent, upstream, ..
        } if *sent == id => Some(upstream.clone()),
        _ => None,
    })
}

#[test]
fn slots_held_by_overdue_sends_are_tried_and_freed_once_another_daemon_is_answered() {
    let mut play = Play::new(&["a"]);
    play.fill();
    let queued = RequestId(play.last);
    let actions = play.wait(4 * WORK_MS);
    assert!(sent_to(&actions, queued).is_some(), "a trial");
    play.wait(WORK_MS);
    play.answer(queued);
    play.wait(10);
    let free = (0..SLOTS).filter(|_| play.arrive(SOUND_TOO).1.is_some());
    assert_eq!(free.count(), SLOTS);
}

#[test]
fn sends_that_were_not_overtaken_keep_their_slots() {
    let mut play = Play::new(&["a"]);
    play.fill();
    play.wait(10 * WORK_MS);
    let state = play.router.occupancy(&route(), play.now);
    // The trial hangs as well.
    assert_eq!((state.lost, state.overdue), (0, SLOTS + 1));
    assert_eq!(state.full, 1);
}

#[test]
fn slots_hold_where_one_daemon_alone_sends() {
    let mut play = Play::new(&["a"]);
    play.wait(4_000);
    for _ in 0..SLOTS {
        assert!(play.arrive(CUT).1.is_some());
    }
    let (queued, _) = play.arrive(CUT);
    let actions = play.wait(10 * WORK_MS);
    assert!(sent_to(&actions, queued).is_none());
}

#[test]
fn a_send_that_is_answered_late_holds_its_slot_again() {
    let mut play = Play::new(&["a"]);
    let (late, _) = play.arrive(CUT);
    play.wait(10);
    let (next, _) = play.arrive(SOUND);
    play.wait(4 * WORK_MS);
    play.answer(next);
    play.wait(10);
    assert_eq!(play.router.occupancy(&route(), play.now).lost, 1);
    play.step(RouteEvent::FirstByte {
        id: late,
        attempt: 1,
    });
    assert_eq!(play.router.occupancy(&route(), play.now).lost, 0);
    play.answer(late);
    assert_eq!(play.router.occupancy(&route(), play.now).overdue, 0);
}

#[test]
fn daemons_under_suspicion_are_not_given_the_slots_that_are_tried() {
    let mut play = Play::new(&["a", "b"]);
    let lost: Vec<_> = (0..2).map(|_| play.arrive(CUT)).collect();
    play.wait(10);
    while play.router.occupancy(&route(), play.now).lost < lost.len() {
        let served = [play.arrive(SOUND), play.arrive(SOUND_TOO)];
        play.wait(2 * WORK_MS);
        served.into_iter().for_each(|(id, _)| play.answer(id));
        play.wait(10);
    }
    for _ in 0..2 * SLOTS {
        assert!(play.arrive(CUT_TOO).1.is_some());
    }
    let (suspected, _) = play.arrive(CUT);
    let (sound, _) = play.arrive(SOUND);
    let actions = play.wait(4 * WORK_MS);
    assert!(sent_to(&actions, suspected).is_none());
    assert!(sent_to(&actions, sound).is_some());
}

/// Whether a breaker opens while sends of a daemon hang, which is answered by another upstream
/// meanwhile if `hears` is set.
fn silence_opens_a_breaker(hears: bool) -> bool {
    let mut play = Play::new(&["a", "b"]);
    let (first, at) = play.arrive(CUT);
    let at = at.expect("a free slot");
    let mut served = false;
    for _ in 0..15 {
        if hears && !served {
            let (id, other) = play.arrive(CUT);
            if other.is_some_and(|o| o != at) {
                play.wait(10);
                play.answer(id);
                served = true;
            }
        }
        play.wait(100);
    }
    let opened = play.openings().contains(&OpeningCause::Silence);
    play.end(first, AttemptEnd::Cancelled);
    opened
}

cases! {
    silence_opens_a_breaker;
    silence_says_nothing_if_the_daemon_hears_no_upstream: false => false,
    silence_opens_a_breaker_if_the_daemon_hears_another_upstream: true => true,
}

/// The breakers that five sends of a daemon open that break off, one after the other.
fn opened_by_broken_sends(suspect: bool) -> usize {
    let mut play = Play::new(&["a"]);
    if suspect {
        let (lost, _) = play.arrive(CUT);
        play.wait(10);
        let (id, _) = play.arrive(SOUND);
        play.wait(4 * WORK_MS);
        play.answer(id);
        play.wait(10);
        play.end(lost, AttemptEnd::Broken);
    }
    for _ in 0..5 {
        let (id, _) = play.arrive(CUT);
        play.end(id, AttemptEnd::Broken);
    }
    play.openings().len()
}

cases! {
    opened_by_broken_sends;
    broken_sends_open_a_breaker: false => 1,
    broken_sends_of_a_daemon_under_suspicion_open_none: true => 0,
}

/// Whether sends are doubtful after this many of the daemons, numbered from 10, lost a send.
fn is_doubtful((daemons, lost): (u64, u64)) -> bool {
    let mut play = Play::new(&["a"]);
    for daemon in 10..10 + daemons {
        play.serve(daemon);
    }
    let open: Vec<_> = (10..10 + lost).map(|d| play.arrive(d).0).collect();
    play.wait(10);
    for _ in 0..5 {
        let (id, _) = play.arrive(SOUND);
        play.wait(WORK_MS);
        play.answer(id);
        play.wait(10);
    }
    let (id, _) = play.arrive(SOUND);
    let doubtful = play.router.is_doubtful(id, play.now);
    open.into_iter()
        .for_each(|id| play.end(id, AttemptEnd::Cancelled));
    doubtful
}

cases! {
    is_doubtful;
    one_daemon_that_loses_a_send_casts_no_doubt: (4, 1) => false,
    several_daemons_that_lose_sends_cast_doubt: (4, 2) => true,
    a_few_of_many_daemons_cast_no_doubt: (30, 2) => false,
}

/// The time after which a send is overdue, by how long answers took.
fn overdue(waited: &[u64]) -> u64 {
    let mut times = AnswerTimes::default();
    waited.iter().for_each(|w| times.record(Millis(*w)));
    times.overdue(3.0).0
}

cases! {
    overdue;
    nothing_is_overdue_soon_while_answer_times_are_unknown: &[] => 1_000,
    a_send_is_overdue_after_some_mean_times: &[200, 200] => 600,
    no_send_is_overdue_within_the_time_of_datagrams: &[5] => 100,
}

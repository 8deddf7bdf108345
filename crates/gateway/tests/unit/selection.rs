//! Simulates 300 daemons and five upstreams of a plain service at 0.6 of the upstreams' capacity.
//!
//! The tests guard against bursts of requests: when each daemon selected upstreams by load reports
//! that were some 450 ms old, while a slot of an upstream is freed every 30 ms, all daemons sent to
//! the upstream that had been free, up to 41 requests in 100 ms to one upstream and none to
//! another. At a third of the capacity, one request in nine was rejected and one in five was late.

use crate::dispatch::{Answer, DelegatedRequests, EndNote, ProgressNote, Step, Ticket};
use crate::gossip::{on_datagram, Outbox};
use crate::job::{org, LIMITS};
use crate::message::{Datagram, Message, Sender, Tag};
use crate::peer_requests::{PeerRequests, OPEN_INTERVAL_MS};
use crate::roster::EntryRecord;
use crate::state::{Gateway, Platform};
use crate::unit::crashes::{cluster, null_platform};
use crate::unit::manual_clock::ManualClock;
use crate::Entry;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_edge::Clock;
use shaleline_fleet::{Held, HeldSource};
use shaleline_route::{
    AttemptEnd, Load, RequestPolicy, Route, RouteAction, RouteEvent, RouteRequest, Router,
    RouterSettings, ShareBook, UpstreamInfo,
};
use shaleline_types::{
    DataCentre, ErrorKind, Incarnation, Instance, Millis, Org, Position, RequestId, Service,
    Upstream,
};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

const START_MS: u64 = 1_000_000;
const DAEMONS: usize = 300;

/// The number of upstreams, the slots of each, and the length of its queue.
const UPSTREAMS: usize = 5;
const SLOTS: usize = 6;
const QUEUE_LENGTH: usize = 24;

/// The minimum and the mean time that a request takes at an upstream.
const MIN_WORK_MS: u64 = 10;
const MEAN_WORK_MS: u64 = 30;

/// The load as a fraction of the upstreams' capacity, and its duration.
const LOAD: f64 = 0.6;
const DURATION_MS: u64 = 20_000;

/// The time that a datagram takes in transit, and the number of datagrams of which one is lost.
const TRANSIT_MS: u64 = 2;
const LOSS_INTERVAL: u32 = 200;

const TICK_MS: u64 = 10;

fn upstream(number: usize) -> Upstream {
    Upstream::from_text(&format!("u{number}")).expect("a valid name")
}

fn route() -> Route {
    Route::Service(Service::from_text("svc").expect("a valid name"))
}

fn selector_address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000))
}

/// An event of the simulation.
enum Event {
    /// A caller sends a request to a daemon.
    Call(usize),
    /// A datagram reaches the selector.
    ToSelector(Box<Message>),
    /// An answer of the selector reaches a daemon.
    ToDaemon(usize, Ticket, Answer),
    /// An upstream completes a request.
    Done(usize, usize, RequestId),
}

#[derive(Default)]
struct Server {
    running: usize,
    waiting: Vec<(usize, RequestId, u64)>,
}

/// A simulated cluster: the daemons, the selector that selects upstreams for them, and the
/// upstreams.
struct Cluster {
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    rng: SmallRng,
    delegated: Vec<DelegatedRequests>,
    selector: PeerRequests,
    router: Router,
    next: u64,
    servers: Vec<Server>,
    /// The start and the current attempt of each request.
    calls: HashMap<(usize, RequestId), (u64, u32)>,
    latencies: Vec<u64>,
    rejected: usize,
    refused: usize,
    /// Whether the selector ignores all datagrams.
    silent: bool,
}

impl Cluster {
    fn new() -> Self {
        const SEED: u64 = 20_261_203;
        let centre = DataCentre::from_text("dc1").expect("a valid name");
        let settings = RouterSettings::new(centre.clone());
        let mut router = Router::new(settings, ShareBook::alone("me"));
        for number in 0..UPSTREAMS {
            let upstream = upstream(number);
            let info = UpstreamInfo {
                centre: centre.clone(),
                routes: vec![route()],
                version: shaleline_types::SoftwareVersion::default(),
            };
            let load = Load {
                slots: SLOTS,
                ..Load::default()
            };
            let serves = RouteEvent::Serves {
                upstream: upstream.clone(),
                info,
            };
            router.step(serves, Millis(START_MS));
            router.step(RouteEvent::Report { upstream, load }, Millis(START_MS));
        }
        Self {
            now: START_MS,
            events: BTreeMap::new(),
            event_count: 0,
            rng: SmallRng::seed_from_u64(SEED),
            delegated: (0..DAEMONS as u64)
                .map(|incarnation| DelegatedRequests::new(incarnation, Millis(START_MS)))
                .collect(),
            selector: PeerRequests::default(),
            router,
            next: 0,
            servers: (0..UPSTREAMS).map(|_| Server::default()).collect(),
            calls: HashMap::new(),
            latencies: Vec::new(),
            rejected: 0,
            refused: 0,
            silent: false,
        }
    }

    fn at(&mut self, time: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((time, self.event_count), event);
    }

    fn lost(&mut self) -> bool {
        self.rng.random_range(0..LOSS_INTERVAL) == 0
    }

    fn send_to_selector(&mut self, message: Message) {
        if !self.lost() {
            self.at(self.now + TRANSIT_MS, Event::ToSelector(Box::new(message)));
        }
    }

    /// Schedules the calls as a Poisson process.
    fn schedule_calls(&mut self) {
        let rate = LOAD * (UPSTREAMS * SLOTS) as f64 * 1_000.0 / MEAN_WORK_MS as f64;
        let mut time = START_MS as f64;
        while time < (START_MS + DURATION_MS) as f64 {
            let daemon = self.rng.random_range(0..DAEMONS);
            self.at(time as u64, Event::Call(daemon));
            let draw: f64 = self.rng.random_range(1e-9..1.0);
            time += -draw.ln() * 1_000.0 / rate;
        }
    }

    fn submit(&mut self, daemon: usize) {
        self.next += 1;
        let id = RequestId(self.next);
        let request = RouteRequest {
            daemon: 0,
            identity: None,
            parts: Vec::new(),
            id,
            org: org(),
            route: route(),
            priority: 1,
            weight: 1,
            cost: 1,
            prefix: Vec::new(),
            block_sizes: Vec::new(),
            due: Millis(self.now + 2_500),
            repeatable: false,
            target: None,
            limits: LIMITS,
            policy: RequestPolicy {
                max_wait: Some(Millis(75)),
                ..RequestPolicy::default()
            },
            excluded: BTreeMap::new(),
            version: None,
        };
        self.calls.insert((daemon, id), (self.now, 0));
        let message = self.delegated[daemon].ask(request, selector_address(), Millis(self.now));
        self.send_to_selector(message);
    }

    /// Passes an event to the router and sends answers for the requests that it decides.
    fn route(&mut self, event: RouteEvent) {
        let now = Millis(self.now);
        for action in self.router.step(event, now) {
            let (RouteAction::Send { id, .. }
            | RouteAction::Cancel { id, .. }
            | RouteAction::Refuse { id, .. }) = &action;
            let reply = self.selector.set_answer(*id, Answer::of(&action), now);
            if let Some((_, ticket, answer)) = reply {
                self.answer(ticket, answer);
            }
        }
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer) {
        if !self.lost() {
            let daemon = ticket.incarnation as usize;
            self.at(
                self.now + TRANSIT_MS,
                Event::ToDaemon(daemon, ticket, answer),
            );
        }
    }

    fn receive(&mut self, message: Message) {
        let now = Millis(self.now);
        match message {
            Message::Ask(ticket, request_note) => {
                if !self.selector.contains(ticket) {
                    self.next += 1;
                    let id = RequestId(self.next);
                    self.selector.open(ticket, selector_address(), id, now);
                    let request = request_note.into_route_request(id, org(), LIMITS, now);
                    self.route(RouteEvent::Arrive(Box::new(request)));
                }
                let answer = self.selector.answer(ticket, now);
                self.answer(ticket, answer);
            }
            Message::Poll(ticket) => {
                let answer = self.selector.answer(ticket, now);
                self.answer(ticket, answer);
            }
            Message::Progressed(ticket, progress) => {
                let Some(id) = self.selector.find(ticket) else {
                    return;
                };
                match progress {
                    ProgressNote::FirstByte(_) | ProgressNote::Measured(..) => {}
                    ProgressNote::Gone => self.route(RouteEvent::CallerGone(id)),
                    ProgressNote::Ended(attempt, end) => {
                        self.selector.set_queued(id);
                        let end = end.to_end();
                        self.route(RouteEvent::Ended { id, attempt, end });
                        if end == AttemptEnd::Whole {
                            self.selector.remove(id);
                        }
                    }
                }
            }
            _ => {}
        }
    }

    /// Daemons report their open requests.
    fn report_open(&mut self) {
        let now = Millis(self.now);
        for daemon in 0..DAEMONS {
            let open = self.delegated[daemon].open();
            let open: Vec<u64> = open.into_values().flatten().collect();
            for id in self.selector.on_open(daemon as u64, &open, now) {
                self.selector.remove(id);
                self.route(RouteEvent::CallerGone(id));
            }
        }
    }

    /// A daemon carries out an action.
    fn apply(&mut self, daemon: usize, action: &RouteAction) {
        match action {
            RouteAction::Send {
                id,
                attempt,
                upstream,
                ..
            } => {
                let number: usize = upstream.as_str()[1..].parse().expect("a number");
                if let Some(call) = self.calls.get_mut(&(daemon, *id)) {
                    call.1 = *attempt;
                }
                self.serve(number, daemon, *id);
            }
            RouteAction::Refuse { id, .. } => {
                self.calls.remove(&(daemon, *id));
                self.refused += 1;
            }
            RouteAction::Cancel { .. } => {}
        }
    }

    fn serve(&mut self, number: usize, daemon: usize, id: RequestId) {
        let draw: f64 = self.rng.random_range(1e-9..1.0);
        let work = MIN_WORK_MS + (-draw.ln() * (MEAN_WORK_MS - MIN_WORK_MS) as f64) as u64;
        let server = &mut self.servers[number];
        if server.running < SLOTS {
            server.running += 1;
            self.at(self.now + work, Event::Done(number, daemon, id));
        } else if server.waiting.len() < QUEUE_LENGTH {
            server.waiting.push((daemon, id, work));
        } else {
            self.rejected += 1;
            self.end(daemon, id, EndNote::Refused);
        }
    }

    fn end(&mut self, daemon: usize, id: RequestId, end: EndNote) {
        let attempt = self.calls.get(&(daemon, id)).map_or(0, |c| c.1);
        let progress = ProgressNote::Ended(attempt, end);
        let reported = self.delegated[daemon].report(id, progress, Millis(self.now));
        if let Some((_, message)) = reported {
            self.send_to_selector(message);
        }
    }

    fn done(&mut self, number: usize, daemon: usize, id: RequestId) {
        if let Some((started, _)) = self.calls.get(&(daemon, id)) {
            self.latencies.push(self.now - started);
        }
        self.end(daemon, id, EndNote::Whole);
        self.calls.remove(&(daemon, id));
        let server = &mut self.servers[number];
        if server.waiting.is_empty() {
            server.running -= 1;
            return;
        }
        let (daemon, id, work) = server.waiting.remove(0);
        self.at(self.now + work, Event::Done(number, daemon, id));
    }

    fn tick(&mut self) {
        let now = Millis(self.now);
        self.route(RouteEvent::Tick);
        if (self.now - START_MS) % OPEN_INTERVAL_MS == 0 && !self.silent {
            self.report_open();
        }
        let expired = self.selector.tick(now);
        for id in expired {
            self.selector.remove(id);
            self.route(RouteEvent::CallerGone(id));
        }
        for daemon in 0..DAEMONS {
            for step in self.delegated[daemon].tick(now) {
                match step {
                    Step::Send(_, message) => self.send_to_selector(*message),
                    Step::SelectHere(request) => {
                        let number = self.rng.random_range(0..UPSTREAMS);
                        self.serve(number, daemon, request.id);
                    }
                    Step::Fail(_) => self.refused += 1,
                }
            }
        }
    }

    fn run(&mut self) {
        self.schedule_calls();
        for time in (START_MS..START_MS + DURATION_MS + 1_000).step_by(TICK_MS as usize) {
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 >= time + TICK_MS {
                    break;
                }
                let ((at, _), event) = entry.remove_entry();
                self.now = at;
                match event {
                    Event::Call(daemon) => self.submit(daemon),
                    Event::ToSelector(message) if !self.silent => self.receive(*message),
                    Event::ToSelector(..) => {}
                    Event::ToDaemon(daemon, ticket, answer) => {
                        let now = Millis(self.now);
                        for action in self.delegated[daemon].on_answer(ticket, answer, now) {
                            self.apply(daemon, &action);
                        }
                    }
                    Event::Done(number, daemon, id) => self.done(number, daemon, id),
                }
            }
            self.now = time + TICK_MS;
            self.tick();
        }
    }

    fn percentile(&mut self, percent: usize) -> u64 {
        self.latencies.sort_unstable();
        self.latencies[self.latencies.len() * percent / 100]
    }
}

/// The lower bound of the latency is the time of the work itself: with 30 slots, 0.6 of them in
/// use, few requests wait. 99 in 100 of the requests are completed within 10 + 4.6 x 20 ms.
#[test]
fn a_single_selector_sends_no_bursts() {
    let mut cluster = Cluster::new();
    cluster.run();
    let total = cluster.latencies.len() + cluster.refused;
    assert!(total > 7_000, "{total} requests");
    let rejected = cluster.rejected as f64 / total as f64;
    assert!(
        rejected < 0.02,
        "{rejected:.3} of the requests were rejected"
    );
    let refused = cluster.refused as f64 / total as f64;
    assert!(refused < 0.01, "{refused:.3} of the requests were refused");
    let slowest = cluster.percentile(99);
    assert!(slowest <= 2 * 102, "99 in 100 took up to {slowest} ms");
    assert_eq!(cluster.selector.len(), 0, "no request is left open");
}

/// The selector does not answer: each daemon selects the upstream itself after 60 ms, and at once
/// while it distrusts the selector after a recent timeout.
#[test]
fn daemons_without_an_answer_select_upstreams_themselves() {
    let mut cluster = Cluster::new();
    cluster.silent = true;
    cluster.run();
    let total = cluster.latencies.len() + cluster.refused;
    assert_eq!(cluster.refused, 0);
    assert!(total > 7_000, "{total} requests");
    assert!(cluster.percentile(99) < 400, "{}", cluster.percentile(99));
}

fn ticket(id: u64) -> Ticket {
    Ticket { incarnation: 1, id }
}

fn request(id: u64) -> RouteRequest {
    RouteRequest {
        daemon: 0,
        id: RequestId(id),
        org: org(),
        route: route(),
        priority: 1,
        weight: 1,
        cost: 1,
        prefix: Vec::new(),
        block_sizes: Vec::new(),
        due: Millis(START_MS + 2_500),
        repeatable: true,
        target: None,
        limits: LIMITS,
        policy: RequestPolicy::default(),
        identity: None,
        parts: Vec::new(),
        excluded: BTreeMap::new(),
        version: None,
    }
}

fn send(attempt: u32) -> Answer {
    Answer::Send {
        attempt,
        upstream: upstream(attempt as usize),
        expected: 0,
    }
}

/// The numbers of sends and cancels of a request with these answers.
fn sends(answers: &[Answer]) -> (usize, usize) {
    let now = Millis(START_MS);
    let mut delegated = DelegatedRequests::new(1, now);
    delegated.ask(request(5), selector_address(), now);
    let mut counts = (0, 0);
    for answer in answers {
        for action in delegated.on_answer(ticket(5), answer.clone(), now) {
            match action {
                RouteAction::Send { .. } => counts.0 += 1,
                RouteAction::Cancel { .. } => counts.1 += 1,
                RouteAction::Refuse { .. } => {}
            }
        }
    }
    counts
}

shaleline_testkit::cases! { sends;
    once_for_a_duplicate_answer: &[send(1), send(1)] => (1, 0),
    after_it_was_queued: &[Answer::Queued, send(1)] => (1, 0),
    once_where_the_queued_answer_is_late: &[send(1), Answer::Queued, send(1)] => (1, 0),
    elsewhere_after_a_cancel: &[send(1), Answer::Cancel { attempt: 1 }, send(2)] => (2, 1),
    elsewhere_where_the_cancel_is_late: &[send(1), send(2), Answer::Cancel { attempt: 1 }] => (2, 1),
    not_for_a_late_answer_about_an_older_attempt: &[send(2), send(1)] => (1, 0),
}

/// The message about the end of a request was lost; the daemon reports its open requests later.
#[test]
fn a_request_whose_end_was_lost_is_closed() {
    let now = Millis(START_MS);
    let mut selector = PeerRequests::default();
    for id in [1, 2] {
        selector.open(ticket(id), selector_address(), RequestId(id), now);
    }
    assert_eq!(selector.on_open(1, &[2], now.plus(100)), []);
    assert_eq!(selector.on_open(1, &[2], now.plus(700)), [RequestId(1)]);
    assert_eq!(selector.tick(now.plus(1_000)), []);
    assert_eq!(selector.on_open(1, &[1, 2], now.plus(1_000)), []);
    let expired = selector.tick(now.plus(9_000));
    assert_eq!(
        expired.len(),
        2,
        "their daemon has sent nothing for seconds"
    );
}

/// A request that excludes the upstreams numbered from 0, for these times.
fn except(times: &[u64]) -> RouteRequest {
    let until = |(number, time): (usize, &u64)| (upstream(number), Millis(START_MS + time));
    RouteRequest {
        excluded: times.iter().enumerate().map(until).collect(),
        ..request(5)
    }
}

fn tag(number: usize) -> Tag {
    Tag::of_upstream(&upstream(number))
}

/// What a hub is told to exclude; `None` with the message that daemons of earlier versions know.
fn told(message: &Message) -> Option<Vec<(Tag, u32)>> {
    match message {
        Message::AskExcept(_, _, excluded) => Some(excluded.clone()),
        Message::Ask(..) => None,
        _ => panic!("{message:?}"),
    }
}

fn asked(times: &[u64]) -> Option<Vec<(Tag, u32)>> {
    let now = Millis(START_MS);
    let mut delegated = DelegatedRequests::new(1, now);
    told(&delegated.ask(except(times), selector_address(), now))
}

shaleline_testkit::cases! { asked;
    for_any_upstream: &[] => None,
    for_any_upstream_after_the_time: &[0] => None,
    for_others_than_one: &[3_000] => Some(vec![(tag(0), 3_000)]),
    for_others_than_some: &[10, 0, 3_000] => Some(vec![(tag(2), 3_000), (tag(0), 10)]),
}

#[test]
fn of_many_excluded_upstreams_the_hub_is_told_those_that_last_longest() {
    let times: Vec<u64> = (1..=1_000).collect();
    let told = asked(&times).expect("some are told");
    assert_eq!(told.len(), 50);
    assert!(told.iter().all(|(_, left)| *left > 950), "{told:?}");
}

#[test]
fn a_request_that_is_resent_tells_the_time_that_is_left() {
    let now = Millis(START_MS);
    let mut delegated = DelegatedRequests::new(1, now);
    delegated.ask(except(&[20, 3_000]), selector_address(), now);
    let resent = delegated.tick(now.plus(25));
    let [Step::Send(_, message)] = &resent[..] else {
        panic!("{resent:?}");
    };
    assert_eq!(told(message), Some(vec![(tag(1), 2_975)]));
}

/// The requests in flight that no hub counts, after one was sent by this hub and the given happened.
fn uncounted(happens: impl Fn(&mut DelegatedRequests)) -> usize {
    let now = Millis(START_MS);
    let mut delegated = DelegatedRequests::new(1, now);
    delegated.ask(request(1), selector_address(), now);
    delegated.ask(request(2), selector_address(), now);
    delegated.on_answer(ticket(1), send(1), now);
    assert_eq!(delegated.uncounted(&[selector_address()]).count(), 0);
    assert_eq!(delegated.uncounted(&[]).count(), 1, "the hub is gone");
    happens(&mut delegated);
    delegated.uncounted(&[selector_address()]).count()
}

#[test]
fn requests_that_a_restarted_hub_has_forgotten_are_counted_by_their_daemon() {
    assert_eq!(uncounted(|_| {}), 0);
    assert_eq!(uncounted(|d| d.on_hub_restarted(selector_address())), 1);
    let ended = |d: &mut DelegatedRequests| {
        d.on_hub_restarted(selector_address());
        let whole = ProgressNote::Ended(1, EndNote::Whole);
        d.report(RequestId(1), whole, Millis(START_MS));
    };
    assert_eq!(uncounted(ended), 0);
}

/// A hub with two upstreams, and the daemon that asks it.
struct Hub {
    gw: Rc<Gateway>,
    outbox: Outbox,
    asking: Sender,
}

impl Hub {
    fn new() -> Self {
        let platform = Platform {
            codec: Box::new(null_platform::StubCodec),
            store: Box::new(null_platform::UnavailableStore),
        };
        let settings = cluster::settings(0, selector_address());
        let (sender, outbox) = mpsc::unbounded_channel();
        let clock = Clock::from_time(Rc::new(ManualClock::default()));
        let rng = SmallRng::seed_from_u64(1);
        let gw = Gateway::with_clock(settings, platform, sender, clock, rng).expect("a gateway");
        let entry = Entry {
            service: Service::from_text("svc").expect("a valid name"),
            address: SocketAddr::from(([10, 1, 0, 1], 80)),
            centre: DataCentre::from_text("dc0").expect("a valid name"),
            slots: SLOTS,
            leaving: false,
            held: None,
            incarnation: Incarnation::default(),
            version: shaleline_types::SoftwareVersion::default(),
            remaining: None,
        };
        let record = |number| EntryRecord {
            name: upstream(number),
            position: Position::new(0, number as u64),
            entry: Some(entry.clone()),
        };
        gw.apply_entries((0..2).map(record).collect(), gw.now());
        let asking = Sender {
            instance: Instance::from_text("m1").expect("a valid name"),
            centre: DataCentre::from_text("dc0").expect("a valid name"),
            incarnation: 1,
            address: SocketAddr::from(([10, 0, 0, 2], 7_000)),
            strength: 1,
        };
        Self { gw, outbox, asking }
    }

    fn receive(&self, daemon: u64, message: Message) {
        let from = Sender {
            incarnation: daemon,
            ..self.asking.clone()
        };
        on_datagram(&self.gw, Datagram { from, message });
    }

    /// The answers that were sent since the last call.
    fn answers(&mut self) -> Vec<(Ticket, Answer)> {
        let sent = std::iter::from_fn(|| self.outbox.try_recv().ok()).flatten();
        let answers = sent.filter_map(|(_, datagram)| match datagram.message {
            Message::Answer(ticket, answer) => Some((ticket, answer)),
            _ => None,
        });
        answers.collect()
    }

    /// Asks for an upstream for a request that may wait for 100 ms.
    fn ask(&self, daemon: u64, id: u64, times: &[(usize, u64)]) {
        let now = self.gw.now();
        let until = |(number, time): &(usize, u64)| (upstream(*number), now.plus(*time));
        let ask = RouteRequest {
            due: now.plus(2_500),
            policy: RequestPolicy {
                max_wait: Some(Millis(100)),
                ..RequestPolicy::default()
            },
            excluded: times.iter().map(until).collect(),
            ..request(id)
        };
        let mut delegated = DelegatedRequests::new(daemon, now);
        let message = delegated.ask(ask, selector_address(), now);
        self.receive(daemon, message);
    }
}

/// The upstream that a hub selects for a daemon, or the time at which its caller should return.
fn selected(times: &[(usize, u64)]) -> Result<Upstream, Option<u32>> {
    let mut hub = Hub::new();
    hub.ask(1, 5, times);
    let (_, answer) = hub.answers().pop().expect("an answer");
    match answer {
        Answer::Send { upstream, .. } => Ok(upstream),
        Answer::Refuse { kind, retry } => {
            assert_eq!(kind, ErrorKind::UpstreamsLimited);
            Err(retry)
        }
        answer => panic!("{answer:?}"),
    }
}

shaleline_testkit::cases! { selected;
    the_second_upstream_where_the_first_takes_nothing: &[(0, 3_000)] => Ok(upstream(1)),
    the_first_upstream_where_the_second_takes_nothing: &[(1, 3_000)] => Ok(upstream(0)),
    the_second_upstream_beside_one_that_is_not_known: &[(0, 3_000), (7, 3_000)] => Ok(upstream(1)),
    no_upstream_where_none_takes_anything: &[(0, 3_000), (1, 2_000)] => Err(Some(2_000)),
}

/// A hub that has sent one daemon's requests to all slots, their number, and a request that went to
/// the first upstream.
fn full_hub() -> (Hub, u64, Ticket) {
    let mut hub = Hub::new();
    let slots = (2 * SLOTS) as u64;
    (0..slots).for_each(|id| hub.ask(1, id, &[]));
    let first = |(_, a): &(Ticket, Answer)| matches!(a, Answer::Send { upstream: u, .. } if *u == upstream(0));
    let (ticket, _) = hub
        .answers()
        .into_iter()
        .find(first)
        .expect("one is sent there");
    (hub, slots, ticket)
}

/// A queued request of the same daemon was handed to the upstream, and given back in its turn.
#[test]
fn regression_what_an_upstream_does_not_take_concerns_all_requests_of_the_daemon() {
    let (mut hub, slots, ticket) = full_hub();
    hub.ask(1, slots, &[]);
    hub.ask(2, slots, &[]);
    assert!(hub.answers().iter().all(|(_, a)| *a == Answer::Queued));
    let given_back = ProgressNote::Ended(1, EndNote::Resting(3_000));
    hub.receive(1, Message::Progressed(ticket, given_back));
    let sent = hub.answers();
    let sent: Vec<u64> = sent.iter().map(|(ticket, _)| ticket.incarnation).collect();
    assert_eq!(sent, [2]);
}

/// One request is bound to another software version; the others are not.
#[test]
fn an_upstream_that_does_not_fit_one_request_serves_the_daemons_others() {
    let (mut hub, slots, ticket) = full_hub();
    hub.ask(1, slots, &[]);
    assert!(hub.answers().iter().all(|(_, a)| *a == Answer::Queued));
    let given_back = ProgressNote::Ended(1, EndNote::Unfit);
    hub.receive(1, Message::Progressed(ticket, given_back));
    let sent = hub.answers();
    let sent: Vec<u64> = sent.iter().map(|(ticket, _)| ticket.id).collect();
    assert_eq!(sent, [slots]);
}

/// A hub that has selected the second upstream for a request, as the connection to the first one was
/// refused.
fn hub_after_a_refused_connection() -> (Hub, Ticket, ProgressNote) {
    let mut hub = Hub::new();
    for number in 0..2 {
        let at = upstream(number);
        let (held, now) = (Held::default(), hub.gw.now());
        hub.gw.with_fleet(&at, |f| {
            f.observe(&at, &hub.asking.centre, held, HeldSource::Announced, now);
        });
    }
    hub.ask(1, 5, &[]);
    let (ticket, first) = hub.answers().pop().expect("an answer");
    let not_sent = ProgressNote::Ended(1, EndNote::of(AttemptEnd::NotSent));
    hub.receive(1, Message::Progressed(ticket, not_sent));
    let (_, second) = hub.answers().pop().expect("an answer");
    assert!(
        matches!(first, Answer::Send { attempt: 1, .. }),
        "{first:?}"
    );
    assert!(
        matches!(second, Answer::Send { attempt: 2, .. }),
        "{second:?}"
    );
    (hub, ticket, not_sent)
}

/// The network duplicated the report of a refused connection, or delivered it late: the upstream
/// that was selected since counted as down.
#[test]
fn a_late_report_of_a_refused_connection_concerns_no_other_upstream() {
    let (hub, ticket, not_sent) = hub_after_a_refused_connection();
    let fleets = || format!("{:?}", hub.gw.fleets.borrow());
    let before = fleets();
    hub.receive(1, Message::Progressed(ticket, not_sent));
    assert_eq!(fleets(), before);
}

/// The same report made the hub answer that the request waits, though it is at an upstream.
#[test]
fn a_late_report_does_not_queue_a_request_that_was_sent_since() {
    let (mut hub, ticket, not_sent) = hub_after_a_refused_connection();
    hub.receive(1, Message::Progressed(ticket, not_sent));
    hub.receive(1, Message::Poll(ticket));
    let (_, answer) = hub.answers().pop().expect("an answer");
    assert!(
        matches!(answer, Answer::Send { attempt: 2, .. }),
        "{answer:?}"
    );
}

/// A request of an organisation whose target ends in 400 ms.
fn ordered(id: u64) -> RouteRequest {
    RouteRequest {
        org: Org::from_text("acme").expect("a valid name"),
        target: Some(Millis(START_MS + 400)),
        ..request(id)
    }
}

/// Guards against a hub that orders the requests of other daemons without their targets and
/// organisations.
#[test]
fn a_hub_is_told_the_target_and_the_organisation() {
    let now = Millis(START_MS);
    let mut delegated = DelegatedRequests::new(1, now);
    let Message::AskOrdered(message) = delegated.ask(ordered(5), selector_address(), now) else {
        panic!("another message");
    };
    let (ask, order) = *message;
    let later = Millis(7_000_000);
    let mut known = ask
        .note
        .into_route_request(RequestId(9), org(), LIMITS, later);
    order.apply(&mut known, later);
    assert_eq!(known.org, ordered(5).org);
    assert_eq!(known.target, Some(later.plus(400)));
}

/// Guards against requests that a hub of the earlier release never answers: it can't decode the
/// message with the order.
#[test]
fn a_question_is_repeated_in_the_form_of_the_earlier_release() {
    let now = Millis(START_MS);
    let mut delegated = DelegatedRequests::new(1, now);
    delegated.ask(ordered(5), selector_address(), now);
    let steps = delegated.tick(now.plus(30));
    let [Step::Send(_, message)] = &steps[..] else {
        panic!("{steps:?}");
    };
    assert!(matches!(**message, Message::Ask(..)), "{message:?}");
}

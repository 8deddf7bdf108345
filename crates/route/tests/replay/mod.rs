//! Replays of uneven upstreams: simulated arrivals, upstreams and answers drive a router.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_route::{
    AttemptEnd, AttemptNumber, ChoicePolicy, Limits, Load, Measurement, PeerVisibility,
    RequestPolicy, Route, RouteAction, RouteEvent, RouteRequest, Router, RouterSettings, ShareBook,
    UpstreamInfo,
};
use shaleline_types::{DataCentre, Millis, Model, Org, RequestId, Service, Upstream};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

const START_MS: u64 = 10_000;

/// Requests that arrive before this time only teach the router.
const WARM_UP_MS: u64 = 15_000;
const END_MS: u64 = START_MS + 75_000;
const SEEDS: std::ops::Range<u64> = 0..4;

/// How truthful the fourth figures are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Figures {
    True,
    Missing,
    /// Drawn anew for each answer.
    Random,
    /// Slow upstreams claim to be as usual, and the others to be slow.
    Inverted,
    /// The first upstream always claims to take a tenth of the usual time.
    OneFast,
    /// The first upstream always claims to take ten times as long.
    OneSlow,
}

/// The results of a replay.
pub struct Share {
    pub in_time: f64,
    mean_ms: f64,
    p99_ms: f64,
    arrived: usize,
    refused: usize,
    /// The streams of the engines of each speed, slow ones first.
    pub by_speed: [usize; 3],
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "in time {:.4} of {}, mean {:.1} ms, p99 {:.0} ms, not served {}",
            self.in_time, self.arrived, self.mean_ms, self.p99_ms, self.refused
        )
    }
}

/// The answers of one run: how long they took, and how many were in time.
struct Run {
    times: Vec<f64>,
    arrived: usize,
    in_time: usize,
    /// The streams of the engines of each speed.
    by_speed: [usize; 3],
}

/// Adds up the runs with all seeds.
fn share(run: impl Fn(u64) -> Run) -> Share {
    let (mut times, mut arrived, mut in_time) = (Vec::new(), 0, 0);
    let mut by_speed = [0; 3];
    for run in SEEDS.map(run) {
        times.extend(run.times);
        for (sum, count) in by_speed.iter_mut().zip(run.by_speed) {
            *sum += count;
        }
        arrived += run.arrived;
        in_time += run.in_time;
    }
    times.sort_by(f64::total_cmp);
    let count = times.len().max(1);
    Share {
        in_time: in_time as f64 / arrived.max(1) as f64,
        mean_ms: times.iter().sum::<f64>() / count as f64,
        p99_ms: times.get(count * 99 / 100).copied().unwrap_or(0.0),
        arrived,
        refused: arrived - times.len(),
        by_speed,
    }
}

/// Replays a plain service on shared machines at `load` times its mean capacity, with waves.
pub fn plain(choice: ChoicePolicy, load: f64, figures: Figures) -> Share {
    share(|seed| plain_run(choice, load, figures, seed))
}

/// Replays engines of three speeds at `load` times their capacity, with waves.
pub fn engines(choice: ChoicePolicy, load: f64) -> Share {
    share(|seed| engine_run(choice, load, seed))
}

fn centre() -> DataCentre {
    DataCentre::from_text("dc1").expect("a valid name")
}

fn name(number: usize) -> Upstream {
    Upstream::from_text(&format!("u-{number:03}")).expect("a valid name")
}

fn number_of(upstream: &Upstream) -> usize {
    upstream.as_str()[2..].parse().expect("a number")
}

fn service() -> Route {
    Route::Service(Service::from_text("svc").expect("a valid name"))
}

fn model() -> Route {
    Route::Model {
        model: Model::from_text("m1").expect("a valid name"),
        adapter: None,
    }
}

fn router(count: usize, route: &Route, load: Load, choice: ChoicePolicy, seed: u64) -> Router {
    let settings = RouterSettings {
        choice,
        token_ms: 0.03,
        seed,
        ..RouterSettings::new(centre())
    };
    let mut router = Router::new(settings, ShareBook::alone("me"));
    // Speeds count only where an upstream names its slowdown.
    let load = Load {
        slowdown: load.slowdown.or(Some(100)),
        ..load
    };
    for number in 0..count {
        let info = UpstreamInfo {
            centre: centre(),
            routes: vec![route.clone()],
            version: shaleline_types::SoftwareVersion::default(),
        };
        let upstream = name(number);
        let now = Millis(START_MS);
        router.step(RouteEvent::Serves { upstream, info }, now);
        let upstream = name(number);
        router.step(RouteEvent::Report { upstream, load }, now);
    }
    router
}

fn request(id: u64, route: Route, now: u64, due_ms: u64) -> RouteRequest {
    let is_model = matches!(route, Route::Model { .. });
    RouteRequest {
        daemon: 0,
        id: RequestId(id),
        org: Org::from_text("o").expect("a valid name"),
        route,
        priority: 0,
        weight: 1,
        cost: 1,
        prefix: if is_model { vec![id + 1] } else { Vec::new() },
        block_sizes: if is_model { vec![PROMPT] } else { Vec::new() },
        due: Millis(now + due_ms),
        target: None,
        repeatable: false,
        limits: Limits {
            concurrency: 100_000,
            rate: 100_000,
            tokens: 1_000_000_000,
        },
        policy: RequestPolicy {
            max_wait: is_model.then_some(Millis(400)),
            max_expected: is_model.then_some(Millis(1_000)),
            backlog_limit: is_model.then_some(Millis(100)),
            ..RequestPolicy::default()
        },
        identity: None,
        parts: Vec::new(),
        excluded: BTreeMap::new(),
        version: None,
    }
}

/// A step of exponential length for Poisson arrivals.
fn gap(rate_per_ms: f64, rng: &mut SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / rate_per_ms
}

const PLAIN_COUNT: usize = 4;
const PLAIN_SLOTS: usize = 6;
const WORK_MS: f64 = 30.0;
const SLOW_FACTOR: f64 = 2.5;
const SLOW_SHARE: f64 = 0.15;
const SLOW_PERIOD_MS: u64 = 600;
const PLAIN_TARGET_MS: f64 = 150.0;
/// The time between a hub and an upstream, one way.
const LINK_MS: u64 = 1;

/// Whether a machine is slow at a time: drawn anew every period, with its own phase.
fn slowdown(upstream: usize, at: u64, seed: u64) -> f64 {
    let period = (at + 137 * upstream as u64) / SLOW_PERIOD_MS;
    let seed = (seed << 32) + period * 1_000 + upstream as u64;
    let slow = SmallRng::seed_from_u64(seed).random::<f64>() < SLOW_SHARE;
    if slow {
        SLOW_FACTOR
    } else {
        1.0
    }
}

fn figure(figures: Figures, upstream: usize, truth: u32, rng: &mut SmallRng) -> Option<u32> {
    match figures {
        Figures::True => Some(truth),
        Figures::Missing => None,
        Figures::Random => Some(rng.random_range(10..1_000)),
        Figures::Inverted => Some(if truth > 100 { 100 } else { 250 }),
        Figures::OneFast if upstream == 0 => Some(10),
        Figures::OneSlow if upstream == 0 => Some(1_000),
        Figures::OneFast | Figures::OneSlow => Some(truth),
    }
}

/// The work of a request, the same for all choices.
fn work(id: u64, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64((seed << 32) + id);
    WORK_MS * rng.random_range(0.7..1.3)
}

struct Running {
    id: u64,
    attempt: AttemptNumber,
    upstream: usize,
    /// The work that is left, in milliseconds at the usual speed.
    left: f64,
}

fn plain_run(choice: ChoicePolicy, load: f64, figures: Figures, seed: u64) -> Run {
    let mean_work = WORK_MS * (1.0 + SLOW_SHARE * (SLOW_FACTOR - 1.0)) + 2.0 * LINK_MS as f64;
    let capacity = (PLAIN_COUNT * PLAIN_SLOTS) as f64 / mean_work;
    let slots = Load {
        slots: PLAIN_SLOTS,
        ..Load::default()
    };
    let mut router = router(PLAIN_COUNT, &service(), slots, choice, seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut figure_rng = SmallRng::seed_from_u64(seed);
    let mut running: Vec<Running> = Vec::new();
    let mut arrivals: BTreeMap<u64, u64> = BTreeMap::new();
    // The answers on their way: when each arrives, and the figure in it.
    let mut answers: VecDeque<(u64, Running, Option<u32>)> = VecDeque::new();
    let (mut times, mut arrived, mut in_time) = (Vec::new(), 0, 0);
    let (mut next, mut next_id) = (START_MS as f64, 1);
    for now in START_MS..END_MS {
        let at = Millis(now);
        let mut actions = Vec::new();
        while next < (now + 1) as f64 && now + 3_000 < END_MS {
            arrivals.insert(next_id, now);
            arrived += usize::from(now >= START_MS + WARM_UP_MS);
            let request = Box::new(request(next_id, service(), now, 1_200));
            actions.extend(router.step(RouteEvent::Arrive(request), at));
            next_id += 1;
            let wave = 1.0 + 0.3 * (now as f64 / 13_000.0 * std::f64::consts::TAU).sin();
            next += gap(capacity * load * wave, &mut rng);
        }
        for run in &mut running {
            run.left -= 1.0 / slowdown(run.upstream, now, seed);
        }
        let (done, rest) = running.into_iter().partition(|r: &Running| r.left <= 0.0);
        running = rest;
        for run in done {
            let truth = (slowdown(run.upstream, now, seed) * 100.0) as u32;
            let figure = figure(figures, run.upstream, truth, &mut figure_rng);
            answers.push_back((now + LINK_MS, run, figure));
        }
        while answers.front().is_some_and(|(when, _, _)| *when <= now) {
            let (_, run, slowdown) = answers.pop_front().expect("it is there");
            let (id, attempt) = (RequestId(run.id), run.attempt);
            actions.extend(router.step(RouteEvent::FirstByte { id, attempt }, at));
            let measurement = Measurement {
                slowdown,
                ..Measurement::default()
            };
            let measured = RouteEvent::Measured {
                id,
                attempt,
                measurement,
            };
            actions.extend(router.step(measured, at));
            let end = AttemptEnd::Whole;
            actions.extend(router.step(RouteEvent::Ended { id, attempt, end }, at));
            let began = arrivals[&run.id];
            if began >= START_MS + WARM_UP_MS {
                let took = (now - began) as f64;
                times.push(took);
                in_time += usize::from(took <= PLAIN_TARGET_MS);
            }
        }
        if now % 10 == 0 {
            actions.extend(router.step(RouteEvent::Tick, at));
        }
        for action in actions {
            if let RouteAction::Send {
                id,
                attempt,
                upstream,
                ..
            } = action
            {
                running.push(Running {
                    id: id.0,
                    attempt,
                    upstream: number_of(&upstream),
                    left: work(id.0, seed) + LINK_MS as f64,
                });
            }
        }
    }
    Run {
        times,
        arrived,
        in_time,
        by_speed: [0; 3],
    }
}

const ENGINE_COUNT: usize = 12;
const ENGINE_SLOTS: usize = 16;
const ENGINE_QUEUE: usize = 33;
const STEP_MS: f64 = 4.43;
/// The time by which each running stream prolongs a step.
const STEP_SHARE_MS: f64 = 0.1;
const PROMPT: u32 = 715;
const PROMPT_TOKENS_PER_MS: f64 = 38.1;
const EVENT_TOKENS: u32 = 10;
const EVENTS: u32 = 28;
const ENGINE_TARGET_MS: f64 = 500.0;
const PAUSE_MS: f64 = 200.0;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];

struct Stream {
    id: u64,
    attempt: AttemptNumber,
    tokens: u32,
    first: f64,
    latest: f64,
    pause: f64,
}

#[derive(Default)]
struct Engine {
    queue: VecDeque<(u64, AttemptNumber)>,
    running: Vec<Stream>,
    /// When its present step ends.
    until: f64,
}

impl Stream {
    fn new((id, attempt): (u64, AttemptNumber)) -> Self {
        Self {
            id,
            attempt,
            tokens: 0,
            first: 0.0,
            latest: 0.0,
            pause: 0.0,
        }
    }

    /// Adds a token at a time; returns the event that its first one causes.
    fn add_token(&mut self, at: f64) -> Option<RouteEvent> {
        self.tokens += 1;
        if self.tokens % EVENT_TOKENS != 0 {
            return None;
        }
        let is_first = self.tokens == EVENT_TOKENS;
        if is_first {
            self.first = at;
        } else {
            self.pause = self.pause.max(at - self.latest);
        }
        self.latest = at;
        let (id, attempt) = (RequestId(self.id), self.attempt);
        is_first.then_some(RouteEvent::FirstByte { id, attempt })
    }

    fn end(&self) -> [RouteEvent; 2] {
        let (id, attempt) = (RequestId(self.id), self.attempt);
        let measurement = Measurement {
            intervals: EVENTS - 1,
            elapsed: Millis((self.latest - self.first) as u64),
            slowdown: None,
        };
        let end = AttemptEnd::Whole;
        [
            RouteEvent::Measured {
                id,
                attempt,
                measurement,
            },
            RouteEvent::Ended { id, attempt, end },
        ]
    }
}

impl Engine {
    fn is_due(&self, now: u64) -> bool {
        let idle = self.running.is_empty() && self.queue.is_empty();
        self.until <= now as f64 && !idle
    }

    /// Reads one prompt if a slot is free, and adds a token to each stream; returns the events and
    /// the streams that are complete.
    fn step(&mut self, speed: f64, now: u64) -> (Vec<RouteEvent>, Vec<Stream>) {
        let mut took = 0.0;
        if self.running.len() < ENGINE_SLOTS {
            if let Some(next) = self.queue.pop_front() {
                took += f64::from(PROMPT) / PROMPT_TOKENS_PER_MS / speed;
                self.running.push(Stream::new(next));
            }
        }
        took += (STEP_MS + STEP_SHARE_MS * self.running.len() as f64) / speed;
        self.until = self.until.max(now as f64 - 1.0) + took;
        let mut events = Vec::new();
        for stream in &mut self.running {
            events.extend(stream.add_token(self.until));
        }
        let running = std::mem::take(&mut self.running).into_iter();
        let (done, rest): (Vec<Stream>, Vec<Stream>) =
            running.partition(|s| s.tokens >= EVENTS * EVENT_TOKENS);
        self.running = rest;
        events.extend(done.iter().flat_map(Stream::end));
        (events, done)
    }
}

fn engine_run(choice: ChoicePolicy, load: f64, seed: u64) -> Run {
    let tokens = f64::from(EVENTS * EVENT_TOKENS);
    let step = STEP_MS + STEP_SHARE_MS * ENGINE_SLOTS as f64;
    let read = f64::from(PROMPT) / PROMPT_TOKENS_PER_MS;
    let per_engine = 1.0 / (tokens * step / ENGINE_SLOTS as f64 + read);
    let capacity = per_engine * ENGINE_COUNT as f64 * SPEEDS.iter().sum::<f64>() / 3.0;
    let slots = Load {
        slots: ENGINE_SLOTS + 60,
        concurrency: Some(ENGINE_SLOTS),
        ..Load::default()
    };
    let mut router = router(ENGINE_COUNT, &model(), slots, choice, seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut engines: Vec<Engine> = (0..ENGINE_COUNT).map(|_| Engine::default()).collect();
    let mut arrivals: BTreeMap<u64, u64> = BTreeMap::new();
    let (mut times, mut arrived, mut in_time) = (Vec::new(), 0, 0);
    let mut by_speed = [0; 3];
    let (mut next, mut next_id) = (START_MS as f64, 1);
    for now in START_MS..END_MS {
        let at = Millis(now);
        let mut actions = Vec::new();
        while next < (now + 1) as f64 && now + 8_000 < END_MS {
            arrivals.insert(next_id, now);
            arrived += usize::from(now >= START_MS + WARM_UP_MS);
            let request = Box::new(request(next_id, model(), now, 2_000));
            actions.extend(router.step(RouteEvent::Arrive(request), at));
            next_id += 1;
            let wave = 1.0 + 0.3 * (now as f64 / 13_000.0 * std::f64::consts::TAU).sin();
            next += gap(capacity * load * wave, &mut rng);
        }
        for (number, engine) in engines.iter_mut().enumerate() {
            let speed = SPEEDS[number % SPEEDS.len()];
            while engine.is_due(now) {
                let (events, done) = engine.step(speed, now);
                for event in events {
                    actions.extend(router.step(event, at));
                }
                for stream in done {
                    let began = arrivals[&stream.id];
                    if began >= START_MS + WARM_UP_MS {
                        let took = stream.first - began as f64;
                        times.push(took);
                        by_speed[number % SPEEDS.len()] += 1;
                        let on_time = took <= ENGINE_TARGET_MS && stream.pause <= PAUSE_MS;
                        in_time += usize::from(on_time);
                    }
                }
            }
        }
        if now % 10 == 0 {
            actions.extend(router.step(RouteEvent::Tick, at));
        }
        while let Some(action) = actions.pop() {
            let RouteAction::Send {
                id,
                attempt,
                upstream,
                ..
            } = action
            else {
                continue;
            };
            let engine = &mut engines[number_of(&upstream)];
            if engine.queue.len() < ENGINE_QUEUE {
                engine.queue.push_back((id.0, attempt));
            } else {
                let end = AttemptEnd::Refused;
                actions.extend(router.step(RouteEvent::Ended { id, attempt, end }, at));
            }
        }
    }
    Run {
        times,
        arrived,
        in_time,
        by_speed,
    }
}

/// Lets daemons select in one instant, each for as many requests, after all have read that one of
/// four upstreams takes a quarter of the usual time; returns the shares of the upstreams.
pub fn herd(daemons: usize, requests: usize) -> Vec<f64> {
    /// The work that daemons without a hub assume not to know, see `PeerVisibility`.
    const UNSEEN_MS: f64 = 120.0;
    let mut counts = [0_usize; PLAIN_COUNT];
    for daemon in 0..daemons {
        let slots = Load {
            slots: PLAIN_SLOTS,
            ..Load::default()
        };
        let choice = ChoicePolicy::Completion;
        let mut router = router(PLAIN_COUNT, &service(), slots, choice, daemon as u64);
        if daemons > 1 {
            router.set_peer_visibility(PeerVisibility {
                unseen_ms: UNSEEN_MS,
                own_share: 0.1,
                ..PeerVisibility::default()
            });
        }
        let now = Millis(START_MS + 1_000);
        for number in 0..PLAIN_COUNT {
            let load = Load {
                slowdown: Some(if number == 0 { 25 } else { 100 }),
                ..slots
            };
            let upstream = name(number);
            router.step(RouteEvent::Report { upstream, load }, now);
        }
        for id in 0..requests as u64 {
            let request = Box::new(request(id, service(), now.0, 1_200));
            for action in router.step(RouteEvent::Arrive(request), now) {
                if let RouteAction::Send { upstream, .. } = action {
                    counts[number_of(&upstream)] += 1;
                }
            }
        }
    }
    let total = counts.iter().sum::<usize>().max(1) as f64;
    counts.iter().map(|c| *c as f64 / total).collect()
}

/// Returns the upstreams that requests are sent to, one after the other, where the first upstream
/// takes ten times as long as the others. `slowdown` is the figure in each answer.
pub fn sends(choice: ChoicePolicy, slowdown: Option<u32>) -> Vec<usize> {
    let settings = RouterSettings {
        choice,
        seed: 1,
        ..RouterSettings::new(centre())
    };
    let mut router = Router::new(settings, ShareBook::alone("me"));
    // With unseen work of other daemons, sends are spread and all upstreams are measured.
    router.set_peer_visibility(PeerVisibility {
        unseen_ms: 100.0,
        ..PeerVisibility::default()
    });
    for number in 0..PLAIN_COUNT {
        let info = UpstreamInfo {
            centre: centre(),
            routes: vec![service()],
            version: shaleline_types::SoftwareVersion::default(),
        };
        let upstream = name(number);
        router.step(RouteEvent::Serves { upstream, info }, Millis(START_MS));
    }
    let (mut now, mut sends) = (START_MS, Vec::new());
    for number in 1..200 {
        let asked = RouteEvent::Arrive(Box::new(request(number, service(), now, 60_000)));
        let actions = router.step(asked, Millis(now));
        let [RouteAction::Send {
            id,
            attempt,
            upstream,
            ..
        }] = actions.as_slice()
        else {
            panic!("{actions:?}");
        };
        let (id, attempt, number) = (*id, *attempt, number_of(upstream));
        sends.push(number);
        now += if number == 0 { 300 } else { 30 };
        let at = Millis(now);
        router.step(RouteEvent::FirstByte { id, attempt }, at);
        let measurement = Measurement {
            slowdown,
            ..Measurement::default()
        };
        router.step(
            RouteEvent::Measured {
                id,
                attempt,
                measurement,
            },
            at,
        );
        let end = AttemptEnd::Whole;
        router.step(RouteEvent::Ended { id, attempt, end }, at);
    }
    sends
}

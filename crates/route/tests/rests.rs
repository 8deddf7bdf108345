//! Simulates daemons whose requests one router sends to upstreams that turn daemons away for some
//! seconds.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_route::{
    AttemptEnd, Limits, Load, RequestPolicy, Route, RouteAction, RouteEvent, RouteRequest, Router,
    RouterSettings, ShareBook, UpstreamInfo,
};
use shaleline_types::{DataCentre, ErrorKind, Millis, Org, RequestId, Service, Upstream};
use std::collections::BTreeMap;

const SEEDS: u64 = 50;
const START_MS: u64 = 100_000;
const DURATION_MS: u64 = 20_000;
const TICK_MS: u64 = 10;

const DAEMONS: usize = 4;
const UPSTREAMS: usize = 3;
/// The requests that an upstream runs at once, where there are few of them and where all would fit.
const FEW_SLOTS: usize = 8;
const MANY_SLOTS: usize = 64;
const ORGS: [&str; 3] = ["one", "two", "three"];

/// The requests of all organisations per second, of equal shares, and the time that one takes.
const RATE: f64 = 150.0;
const WORK_MS: std::ops::Range<u64> = 20..100;

/// How long a request may wait, and how long an upstream takes nothing from a daemon.
const MAX_WAIT_MS: u64 = 200;
const REST_MS: std::ops::Range<u64> = 1_000..4_000;

/// Callers come back at most this often.
const MAX_RETURNS: u32 = 3;

fn up(number: usize) -> Upstream {
    Upstream::from_text(&format!("u{number}")).expect("a valid name")
}

fn route() -> Route {
    Route::Service(Service::from_text("svc").expect("a valid name"))
}

/// How upstreams turn requests away.
#[derive(Clone, Copy, PartialEq)]
enum Shedding {
    /// Each with this probability, in the first half.
    Random(f64),
    /// All requests of a span, at all upstreams.
    All(u64, u64),
}

enum Event {
    Call(Call),
    /// An upstream completes a request.
    Done(RequestId),
}

/// A caller's request.
#[derive(Debug, Clone, Copy)]
struct Call {
    daemon: usize,
    org: usize,
    returns: u32,
    /// When it reached the daemon.
    arrived: u64,
}

/// A request that reached an upstream.
struct Reached {
    at: u64,
    upstream: Upstream,
    /// Whether it waited in the queue or its caller had come back.
    waited: bool,
}

struct Simulation {
    now: u64,
    rng: SmallRng,
    shedding: Shedding,
    router: Router,
    events: BTreeMap<(u64, u64), Event>,
    count: u64,
    calls: BTreeMap<RequestId, (Call, u32)>,
    /// Until when an upstream takes nothing from a daemon.
    rests: BTreeMap<(usize, Upstream), u64>,
    /// When it said so last.
    told_at: BTreeMap<(usize, Upstream), u64>,
    reached: Vec<Reached>,
    served: [usize; ORGS.len()],
    given_up: usize,
    refused: usize,
    /// Sends that a daemon gave back because of an earlier rest.
    in_vain: usize,
}

impl Simulation {
    fn new(seed: u64, slots: usize, shedding: Shedding) -> Self {
        let centre = DataCentre::from_text("dc1").expect("a valid name");
        let mut settings = RouterSettings::new(centre.clone());
        settings.seed = seed;
        let mut router = Router::new(settings, ShareBook::alone("me"));
        let now = Millis(START_MS);
        for number in 0..UPSTREAMS {
            let info = UpstreamInfo {
                centre: centre.clone(),
                routes: vec![route()],
                version: shaleline_types::SoftwareVersion::default(),
            };
            let upstream = up(number);
            router.step(RouteEvent::Serves { upstream, info }, now);
            let load = Load {
                slots,
                ..Load::default()
            };
            let upstream = up(number);
            router.step(RouteEvent::Report { upstream, load }, now);
        }
        Self {
            now: START_MS,
            rng: SmallRng::seed_from_u64(seed),
            shedding,
            router,
            events: BTreeMap::new(),
            count: 0,
            calls: BTreeMap::new(),
            rests: BTreeMap::new(),
            told_at: BTreeMap::new(),
            reached: Vec::new(),
            served: [0; ORGS.len()],
            given_up: 0,
            refused: 0,
            in_vain: 0,
        }
    }

    fn at(&mut self, time: u64, event: Event) {
        self.count += 1;
        self.events.insert((time, self.count), event);
    }

    fn schedule_calls(&mut self) {
        let mut time = START_MS as f64;
        while time < (START_MS + DURATION_MS) as f64 {
            let call = Call {
                daemon: self.rng.random_range(0..DAEMONS),
                org: self.rng.random_range(0..ORGS.len()),
                returns: 0,
                arrived: time as u64,
            };
            self.at(time as u64, Event::Call(call));
            let draw: f64 = self.rng.random_range(1e-9..1.0);
            time += -draw.ln() * 1_000.0 / RATE;
        }
    }

    /// A request, with what its daemon knew of rests when it asked.
    fn call(&mut self, call: Call) {
        self.count += 1;
        let id = RequestId(self.count);
        let resting = self.rests.iter();
        let resting = resting.filter(|((d, _), end)| *d == call.daemon && **end > self.now);
        let excluded = resting.map(|((_, upstream), end)| (upstream.clone(), Millis(*end)));
        let request = RouteRequest {
            daemon: 0,
            id,
            org: Org::from_text(ORGS[call.org]).expect("a valid name"),
            route: route(),
            priority: 0,
            weight: 1,
            cost: 1,
            prefix: Vec::new(),
            block_sizes: Vec::new(),
            due: Millis(self.now + 2_500),
            repeatable: false,
            target: None,
            limits: Limits {
                rate: 1 << 40,
                concurrency: 1 << 40,
                tokens: 1 << 40,
            },
            policy: RequestPolicy {
                max_wait: Some(Millis(MAX_WAIT_MS)),
                ..RequestPolicy::default()
            },
            identity: None,
            parts: Vec::new(),
            excluded: excluded.collect(),
            version: None,
        };
        self.calls.insert(id, (call, 0));
        self.step(RouteEvent::Arrive(Box::new(request)));
    }

    fn step(&mut self, event: RouteEvent) {
        for action in self.router.step(event, Millis(self.now)) {
            match action {
                RouteAction::Send {
                    id,
                    attempt,
                    upstream,
                    ..
                } => self.send(id, attempt, &upstream),
                RouteAction::Refuse { id, kind, retry } => self.refuse(id, kind, retry),
                RouteAction::Cancel { .. } => {}
            }
        }
    }

    /// The daemon gives back what it may not send; the upstream runs the request or turns the
    /// daemon away.
    fn send(&mut self, id: RequestId, attempt: u32, upstream: &Upstream) {
        let (call, current) = self.calls.get_mut(&id).expect("it is open");
        *current = attempt;
        let key = (call.daemon, upstream.clone());
        let rest = self
            .rests
            .get(&key)
            .map_or(0, |end| end.saturating_sub(self.now));
        if rest > 0 {
            // Sends that were decided in the same step are not in vain.
            self.in_vain += usize::from(self.told_at[&key] < self.now);
            self.give_back(id, attempt, upstream, rest);
            return;
        }
        self.reached.push(Reached {
            at: self.now,
            upstream: upstream.clone(),
            waited: call.returns > 0 || call.arrived < self.now,
        });
        if self.sheds() {
            let rest = self.rng.random_range(REST_MS);
            self.told_at.insert(key.clone(), self.now);
            self.rests.insert(key, self.now + rest);
            self.give_back(id, attempt, upstream, rest);
            return;
        }
        let work = self.rng.random_range(WORK_MS);
        self.at(self.now + work, Event::Done(id));
    }

    fn give_back(&mut self, id: RequestId, attempt: u32, upstream: &Upstream, rest: u64) {
        let daemon = self.calls[&id].0.daemon;
        let until = Millis(self.now + rest);
        let calls = &self.calls;
        let concerns = |id| calls.get(&id).is_some_and(|(c, _)| c.daemon == daemon);
        self.router.exclude(upstream, until, concerns);
        let end = AttemptEnd::Resting(Millis(rest));
        self.step(RouteEvent::Ended { id, attempt, end });
    }

    fn sheds(&mut self) -> bool {
        let since = self.now - START_MS;
        match self.shedding {
            Shedding::Random(share) => since < DURATION_MS / 2 && self.rng.random_bool(share),
            Shedding::All(from, to) => (from..to).contains(&since),
        }
    }

    /// The earliest end of a daemon's rests, if no upstream takes anything from it.
    fn earliest_end(&self, daemon: usize) -> Option<u64> {
        let end = |number| {
            let end = self.rests.get(&(daemon, up(number))).copied().unwrap_or(0);
            end.max(self.now)
        };
        let earliest = (0..UPSTREAMS).map(end).min()?;
        (earliest > self.now).then_some(earliest)
    }

    /// A refused caller comes back when it was told to.
    fn refuse(&mut self, id: RequestId, kind: ErrorKind, retry: Option<Millis>) {
        let (mut call, _) = self.calls.remove(&id).expect("it is open");
        self.refused += 1;
        let told = retry
            .or(kind.answer().retry_after)
            .expect("a time to return");
        if let Some(end) = self.earliest_end(call.daemon) {
            let at = self.now + told.0;
            assert!(at >= end, "{kind:?} at {}: {at} is before {end}", self.now);
        }
        if call.returns == MAX_RETURNS {
            self.given_up += 1;
            return;
        }
        call.returns += 1;
        call.arrived = self.now + told.0;
        self.at(call.arrived, Event::Call(call));
    }

    fn done(&mut self, id: RequestId) {
        let (call, attempt) = self.calls.remove(&id).expect("it is open");
        self.served[call.org] += 1;
        let end = AttemptEnd::Whole;
        self.step(RouteEvent::Ended { id, attempt, end });
    }

    fn run(&mut self) {
        self.schedule_calls();
        for tick in (START_MS..START_MS + DURATION_MS + 10_000).step_by(TICK_MS as usize) {
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 >= tick {
                    break;
                }
                let ((at, _), event) = entry.remove_entry();
                self.now = at;
                match event {
                    Event::Call(call) => self.call(call),
                    Event::Done(id) => self.done(id),
                }
            }
            self.now = tick;
            self.step(RouteEvent::Tick);
        }
    }
}

/// Runs all seeds and checks what holds for each.
fn run(slots: usize, shedding: Shedding, check: impl Fn(&Simulation, u64)) {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, slots, shedding);
        simulation.run();
        assert_eq!(
            simulation.calls.len(),
            0,
            "seed {seed}: requests are left open"
        );
        assert_eq!(simulation.in_vain, 0, "seed {seed}: selected in vain");
        check(&simulation, seed);
    }
}

/// Each of the organisations, whose callers ask for as much, is served within a tenth of the mean.
fn assert_fair(simulation: &Simulation, seed: u64) {
    let mean = simulation.served.iter().sum::<usize>() as f64 / ORGS.len() as f64;
    for served in simulation.served {
        let ratio = served as f64 / mean;
        assert!(
            (0.9..1.1).contains(&ratio),
            "seed {seed}: {:?}",
            simulation.served
        );
    }
}

#[test]
fn daemons_that_are_turned_away_now_and_then_are_served_elsewhere() {
    run(FEW_SLOTS, Shedding::Random(0.02), |simulation, seed| {
        assert_fair(simulation, seed);
    });
}

/// Every upstream turns every daemon away for a fifth of a second.
#[test]
fn no_herd_reaches_the_first_upstream_that_takes_requests_again() {
    let (from, to) = (5_000, 5_200);
    run(MANY_SLOTS, Shedding::All(from, to), |simulation, seed| {
        assert_fair(simulation, seed);
        assert!(simulation.refused > 0, "seed {seed}: none was refused");
        let shed = START_MS + to;
        let reached = simulation
            .reached
            .iter()
            .filter(|r| r.at >= shed && r.waited);
        let reached: Vec<&Reached> = reached.collect();
        let first = reached.first().expect("it is reached again");
        let span = first.at..first.at + 50;
        let early = reached
            .iter()
            .filter(|r| r.upstream == first.upstream && span.contains(&r.at));
        let early = early.count();
        // Three from the queue and three callers, one of each every 20 ms.
        assert!(
            early <= 6,
            "seed {seed}: {early} requests in the first 50 ms"
        );
    });
}

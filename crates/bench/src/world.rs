//! One experiment: daemons' decision code against fakes, under a passed-in clock.

use crate::fleet::{capacity, Engine, Message, Sent, Sequence, Told, SLOTS};
use crate::trace::{Arrival, Deployment, Experiment, EVENT_AT, EVENT_FOR, LENGTH, ORGS};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_lease::LeaseBody;
use shaleline_log::{Position, StateMachine};
use shaleline_place::{
    CellBody, CellMachine, Demand, DesiredItem, DesiredItems, Dispatcher, EngineReport, EngineView,
    Item, PlanInput, Policy,
};
use shaleline_route::{
    AttemptEnd, ChoicePolicy, Limits, Load, RequestPolicy, Route, RouteAction, RouteEvent,
    RouteRequest, Router, RouterSettings, ShareBook, UpstreamInfo,
};
use shaleline_types::{
    stable_hash, DataCentre, ErrorKind, Instance, Megabytes, Millis, Model, Offset, Org, RequestId,
    Upstream, WriterId,
};
use std::collections::{BTreeMap, VecDeque};

const STEP: u64 = 10;
const DAEMONS: usize = 3;
const REPORT_EVERY: u64 = 250;
const TICK_EVERY: u64 = 20;
const PLAN_EVERY: u64 = 500;

/// How old a report is when it arrives.
const REPORT_LAG: u64 = 100;

/// Time before the traffic to place everything, and after it to end everything.
const SETTLE: u64 = 240_000;
const TAIL: u64 = 30_000;

/// Targets: first token, and the mean time between tokens.
const FIRST_TARGET: u64 = 960;
const BETWEEN_TARGET: f64 = 38.0;

/// How long a request may wait to start: the target less what a prompt takes.
const PATIENCE: u64 = 880;

/// Blocks of a prompt that take as long as a token of the answer, half of them cached.
const BLOCKS_PER_TOKEN: u64 = 6;

const MEMORY: Megabytes = Megabytes(80_000);
const SIZES: [u64; 5] = [19_000, 9_000, 30_000, 17_000, 11_000];

/// How an experiment's daemons decide.
pub struct Setup {
    /// The placement policy.
    pub policy: Box<dyn Policy>,
    /// The choice of upstream.
    pub choice: ChoicePolicy,
    /// Whether what can't make its target is refused early.
    pub shed: bool,
}

/// How a request went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Whole and within both targets.
    Met,
    /// Whole but late.
    Late,
    /// Refused as not run.
    Refused,
    /// Given up with an unknown outcome.
    Unknown,
    /// No answer at all.
    Lost,
}

/// One request's record.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The organisation.
    pub org: usize,
    /// When it arrived.
    pub at: u64,
    /// Milliseconds to the first token, if one came.
    pub first: Option<u64>,
    /// How it went.
    pub ending: Ending,
}

struct Open {
    arrival: Arrival,
    first: Option<u64>,
    done: u32,
}

struct Placed {
    machine: CellMachine,
    dispatcher: Dispatcher,
    offset: u64,
    reports: BTreeMap<Upstream, EngineReport>,
    store: f64,
}

/// The experiment's world.
pub struct World {
    deployment: Deployment,
    experiment: Experiment,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    open: BTreeMap<RequestId, Open>,
    outcomes: Vec<Outcome>,
    placed: Placed,
    policy: Box<dyn Policy>,
    demand: Demand,
    wanted: DesiredItems,
    reports: VecDeque<(u64, usize, Load, UpstreamInfo, Vec<u64>)>,
    rng: SmallRng,
    now: u64,
    moves_before: u64,
}

fn model(number: usize) -> Model {
    Model::from_text(&format!("model-{number:02}")).expect("the name is valid")
}

fn org(number: usize) -> Org {
    Org::from_text(&format!("org-{number}")).expect("the name is valid")
}

fn upstream(number: usize) -> Upstream {
    Upstream::from_text(&format!("engine-{number:02}")).expect("the name is valid")
}

/// Urgent organisations first.
fn priority(org: usize) -> u8 {
    (org % 3) as u8
}

impl World {
    /// A world before its first step.
    pub fn new(deployment: Deployment, experiment: Experiment, setup: Setup, seed: u64) -> Self {
        let engines = (0..deployment.engines()).map(|i| Engine::new(i, MEMORY, seed + i as u64));
        let router = |i: usize| {
            let centre = DataCentre::from_text(&format!("dc{}", i + 1)).expect("the name is valid");
            let settings = RouterSettings {
                choice: setup.choice,
                shed: setup.shed,
                ..RouterSettings::new(centre)
            };
            Router::new(settings, ShareBook::alone("me"))
        };
        let want = |i: usize| DesiredItem {
            item: Item::base(&model(i), 1),
            size: Megabytes(SIZES[i % SIZES.len()]),
        };
        Self {
            deployment,
            experiment,
            engines: engines.collect(),
            routers: (0..DAEMONS).map(router).collect(),
            open: BTreeMap::new(),
            outcomes: Vec::new(),
            placed: Placed::new(),
            policy: setup.policy,
            demand: Demand::default(),
            wanted: DesiredItems::from_items((0..deployment.models()).map(want)),
            reports: VecDeque::new(),
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            now: 0,
            moves_before: 0,
        }
    }

    /// Runs the traffic. Returns how each request went, and how many loads it took.
    pub fn run(mut self, arrivals: &[Arrival]) -> (Vec<Outcome>, u64) {
        let mut next = arrivals.iter().peekable();
        let mut number = 0;
        while self.now < SETTLE + LENGTH + TAIL {
            self.now += STEP;
            if self.now == SETTLE {
                self.moves_before = self.loads();
            }
            self.happen();
            while let Some(arrival) = next.next_if(|a| a.at + SETTLE <= self.now) {
                number += 1;
                self.arrive(number, arrival);
            }
            self.step();
        }
        let moves = self.loads() - self.moves_before;
        for open in self.open.values() {
            self.outcomes.push(Outcome {
                org: open.arrival.org,
                at: open.arrival.at,
                first: open.first,
                ending: Ending::Lost,
            });
        }
        (self.outcomes, moves)
    }

    fn loads(&self) -> u64 {
        self.engines.iter().map(|e| e.loads).sum()
    }

    fn since_start(&self) -> Option<u64> {
        self.now.checked_sub(SETTLE)
    }

    /// What the experiment does at its time.
    fn happen(&mut self) {
        let Some(at) = self.since_start() else {
            return;
        };
        let mut out = Vec::new();
        match (self.experiment, at) {
            (Experiment::Hang, EVENT_AT) => self.engines[0].hung = true,
            (Experiment::Hang, t) if t == EVENT_AT + EVENT_FOR => self.engines[0].hung = false,
            (Experiment::EngineDies, EVENT_AT) => self.engines[0].die(&mut out),
            (Experiment::CentreLost, EVENT_AT) => {
                for engine in self.engines.iter_mut().step_by(3) {
                    engine.die(&mut out);
                }
            }
            _ => {}
        }
        self.deliver(out);
    }

    fn arrive(&mut self, number: u64, arrival: &Arrival) {
        let id = RequestId(number);
        let daemon = self.rng.random_range(0..DAEMONS);
        let cost = u64::from(arrival.blocks) / BLOCKS_PER_TOKEN + u64::from(arrival.tokens);
        let now = Millis(self.now);
        self.demand.record(&model(arrival.model), cost as f64, now);
        let ask = RouteRequest {
            id,
            org: org(arrival.org),
            route: Route::Model {
                model: model(arrival.model),
                adapter: None,
            },
            priority: priority(arrival.org),
            weight: 1,
            cost,
            prefix: blocks(arrival),
            block_sizes: Vec::new(),
            due: now.plus(PATIENCE),
            repeatable: true,
            limits: self.limits(),
            policy: RequestPolicy::default(),
            identity: None,
        };
        let open = Open {
            arrival: arrival.clone(),
            first: None,
            done: 0,
        };
        self.open.insert(id, open);
        self.route(daemon, RouteEvent::Arrive(Box::new(ask)));
    }

    /// An organisation may use twice its even share of the deployment, over all daemons.
    fn limits(&self) -> Limits {
        let share = capacity() * self.deployment.engines() as f64 / ORGS as f64;
        Limits {
            rate: 10_000,
            concurrency: (SLOTS * self.deployment.engines() * 2 / ORGS / DAEMONS) as u64,
            tokens: (share * 2.0 / DAEMONS as f64) as u64,
        }
    }

    fn route(&mut self, daemon: usize, event: RouteEvent) {
        let now = Millis(self.now);
        let actions = self.routers[daemon].step(event, now);
        let mut out = Vec::new();
        for action in actions {
            match action {
                RouteAction::Send {
                    id,
                    attempt,
                    upstream,
                    ..
                } => self.send(daemon, id, attempt, &upstream, &mut out),
                RouteAction::Cancel {
                    id,
                    attempt,
                    upstream,
                } => self.engine(&upstream).cancel(id, attempt),
                RouteAction::Refuse { id, kind, .. } => self.refused(id, kind),
            }
        }
        self.deliver(out);
    }

    fn engine(&mut self, name: &Upstream) -> &mut Engine {
        let index = name
            .as_str()
            .rsplit('-')
            .next()
            .and_then(|n| n.parse::<usize>().ok());
        &mut self.engines[index.unwrap_or(0)]
    }

    fn send(
        &mut self,
        daemon: usize,
        id: RequestId,
        attempt: u32,
        to: &Upstream,
        out: &mut Vec<Message>,
    ) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let arrival = &open.arrival;
        let sequence = Sequence::new(
            Sent {
                daemon,
                id,
                attempt,
            },
            Item::base(&model(arrival.model), 1),
            priority(arrival.org),
            blocks(arrival),
            arrival.tokens - open.done,
        );
        self.engine(to).take(sequence, out);
    }

    fn refused(&mut self, id: RequestId, kind: ErrorKind) {
        let ending = match kind {
            ErrorKind::BrokenStream | ErrorKind::UpstreamFailed => Ending::Unknown,
            _ => Ending::Refused,
        };
        self.end(id, ending);
    }

    fn end(&mut self, id: RequestId, ending: Ending) {
        if let Some(open) = self.open.remove(&id) {
            self.outcomes.push(Outcome {
                org: open.arrival.org,
                at: open.arrival.at,
                first: open.first,
                ending,
            });
        }
    }

    /// Passes on what engines tell.
    fn deliver(&mut self, messages: Vec<Message>) {
        for m in messages {
            let (id, attempt) = (m.id, m.attempt);
            match m.told {
                Told::Tokens(count, first) => {
                    let started = self.now;
                    if let Some(open) = self.open.get_mut(&id) {
                        open.done += count;
                        let at = open.arrival.at + SETTLE;
                        open.first.get_or_insert(started - at.min(started));
                    }
                    if first {
                        self.route(m.daemon, RouteEvent::FirstByte { id, attempt });
                    }
                }
                Told::Whole => {
                    self.whole(id);
                    let end = AttemptEnd::Whole;
                    self.route(m.daemon, RouteEvent::Ended { id, attempt, end });
                }
                Told::Refused => {
                    let end = AttemptEnd::Refused;
                    self.route(m.daemon, RouteEvent::Ended { id, attempt, end });
                }
                Told::Broken => {
                    let end = AttemptEnd::Broken;
                    self.route(m.daemon, RouteEvent::Ended { id, attempt, end });
                }
            }
        }
    }

    fn whole(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let first = open.first.unwrap_or(u64::MAX);
        let took = self.now - (open.arrival.at + SETTLE).min(self.now);
        let rest = f64::from(open.arrival.tokens.saturating_sub(1)).max(1.0);
        let between = took.saturating_sub(first) as f64 / rest;
        let met = first <= FIRST_TARGET && between <= BETWEEN_TARGET;
        self.end(id, if met { Ending::Met } else { Ending::Late });
    }

    fn step(&mut self) {
        let mut out = Vec::new();
        for engine in &mut self.engines {
            engine.step(self.now, STEP, &mut out);
        }
        self.deliver(out);
        if self.now % REPORT_EVERY == 0 {
            self.make_reports();
        }
        self.hear_reports();
        if self.now % TICK_EVERY == 0 {
            for daemon in 0..DAEMONS {
                self.route(daemon, RouteEvent::Tick);
            }
        }
        let away = self.experiment == Experiment::LogAway && self.since_start().is_some();
        if self.now % PLAN_EVERY == 0 && !away {
            self.plan();
        }
    }

    fn make_reports(&mut self) {
        for index in 0..self.engines.len() {
            let engine = &mut self.engines[index];
            if engine.dead {
                continue;
            }
            let (running, waiting) = engine.load();
            let report = engine.state.report();
            let Some(ledger) = report.engine else {
                continue;
            };
            let load = Load {
                running,
                waiting,
                slots: SLOTS,
                leaving: false,
            };
            let serves = |r: &shaleline_place::Resident| Route::Model {
                model: r.item.model.clone(),
                adapter: None,
            };
            let info = UpstreamInfo {
                centre: engine.state.spec().centre.clone(),
                routes: ledger.resident.iter().map(serves).collect(),
            };
            self.placed.reports.insert(upstream(index), ledger);
            let due = self.now + REPORT_LAG;
            self.reports
                .push_back((due, index, load, info, report.cache.blocks));
        }
    }

    fn hear_reports(&mut self) {
        while self
            .reports
            .front()
            .is_some_and(|(due, ..)| *due <= self.now)
        {
            let Some((_, index, load, info, blocks)) = self.reports.pop_front() else {
                return;
            };
            let name = upstream(index);
            for daemon in 0..DAEMONS {
                if self.engines[index].dead {
                    self.route(daemon, RouteEvent::Removed(name.clone()));
                    continue;
                }
                let (upstream, info) = (name.clone(), info.clone());
                self.route(daemon, RouteEvent::Serves { upstream, info });
                let (upstream, blocks) = (name.clone(), blocks.clone());
                self.route(daemon, RouteEvent::Cached { upstream, blocks });
                let upstream = name.clone();
                self.route(daemon, RouteEvent::Report { upstream, load });
            }
        }
        for index in 0..self.engines.len() {
            if self.engines[index].dead && self.now % REPORT_EVERY == 0 {
                for daemon in 0..DAEMONS {
                    self.route(daemon, RouteEvent::Removed(upstream(index)));
                }
            }
        }
    }

    fn plan(&mut self) {
        let now = Millis(self.now);
        let view = |e: &Engine| EngineView {
            centre: e.state.spec().centre.clone(),
            capacity: capacity(),
            alive: !e.dead,
        };
        let views: BTreeMap<Upstream, EngineView> = self
            .engines
            .iter()
            .enumerate()
            .map(|(i, e)| (upstream(i), view(e)))
            .collect();
        let placed = &mut self.placed;
        let follow = placed
            .dispatcher
            .records(&placed.machine, &placed.reports, now);
        placed.apply(follow, now);
        placed.store = (placed.store + self.deployment.store_rate() * PLAN_EVERY as f64 / 1_000.0)
            .min(self.deployment.store_rate().max(1.0));
        let plan = PlanInput {
            ledgers: placed.machine.engines(),
            views: &views,
            desired: &self.wanted,
            demand: &self.demand,
            load_limit: placed.store as usize,
        };
        let steps = self.policy.plan(plan, now);
        let loads = steps
            .iter()
            .filter(|s| matches!(s, shaleline_place::Step::Load { .. }));
        placed.store -= loads.count() as f64;
        let bodies = placed.dispatcher.steps(&steps);
        placed.apply(bodies, now);
        let crowd: usize = self.engines.iter().map(Engine::loading).sum();
        for order in self.placed.dispatcher.take_orders() {
            let lost =
                self.experiment == Experiment::OrdersLost && self.rng.random_range(0..5) == 0;
            if !lost {
                let now = self.now;
                self.engine(&order.engine)
                    .order(&order, now, crowd as f64 / 15.0);
            }
        }
    }
}

impl Placed {
    fn new() -> Self {
        let mut placed = Self {
            machine: CellMachine::default(),
            dispatcher: Dispatcher::default(),
            offset: 0,
            reports: BTreeMap::new(),
            store: 0.0,
        };
        let claim = CellBody::Lease(LeaseBody::Claim {
            instance: Instance::from_text("entry-1").expect("the name is valid"),
            after: None,
        });
        placed.apply(vec![claim], Millis(0));
        placed.dispatcher.set_fence(Some(Offset(0)));
        placed
    }

    /// Applies records at once: the log's delay is small against a plan's period.
    fn apply(&mut self, bodies: Vec<CellBody>, now: Millis) {
        for body in bodies {
            let at = Position {
                offset: Offset(self.offset),
                time: now,
                writer: WriterId(1),
            };
            self.offset += 1;
            let verdict = self.machine.apply(at, &body);
            self.dispatcher
                .on_verdict(&body, verdict, &self.machine, now);
        }
    }
}

/// Keys of a prompt's blocks: half of them are common to the organisation's prompts of
/// one kind, the rest its own.
fn blocks(arrival: &Arrival) -> Vec<u64> {
    let common = arrival.blocks / 2;
    let key = |i: u32| {
        let kind = if i < common {
            arrival.prompt % 8
        } else {
            arrival.prompt + 100
        };
        let own = if i < common { 0 } else { arrival.at };
        stable_hash(&[
            &arrival.model.to_string(),
            &kind.to_string(),
            &own.to_string(),
            &i.to_string(),
        ])
    };
    (0..arrival.blocks).map(key).collect()
}

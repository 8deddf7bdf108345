//! Simulates one experiment: the decision code of daemons, with simulated engines and clock.

use crate::fleet::{capacity, AttemptKey, Engine, EngineEvent, Message, Sequence, SLOTS};
use crate::trace::{Arrival, Deployment, Experiment, DURATION_MS, EVENT_AT, EVENT_FOR, ORGS};
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

const STEP_MS: u64 = 10;
const DAEMONS: usize = 3;
const REPORT_INTERVAL_MS: u64 = 250;
const TICK_INTERVAL_MS: u64 = 20;
const PLAN_INTERVAL_MS: u64 = 500;

/// Age of a report on arrival.
const REPORT_DELAY_MS: u64 = 100;

/// Time before the traffic for the initial placement, and after it to end the requests.
const WARM_UP_MS: u64 = 240_000;
const TAIL_MS: u64 = 30_000;

/// Targets of the time to the first token and of the mean time between tokens.
const FIRST_TOKEN_TARGET_MS: u64 = 960;
const TOKEN_INTERVAL_TARGET_MS: f64 = 38.0;

/// Maximum wait of a request before its start: the target minus the time of a prompt.
const MAX_WAIT_MS: u64 = 880;

/// Number of prompt blocks that take as long as one token of the answer, if half are cached.
const BLOCKS_PER_TOKEN: u64 = 6;

const MEMORY: Megabytes = Megabytes(80_000);
const SIZES: [u64; 5] = [19_000, 9_000, 30_000, 17_000, 11_000];

/// The policies of the daemons in an experiment.
pub struct Setup {
    /// The placement policy.
    pub policy: Box<dyn Policy>,
    /// The policy that chooses an upstream.
    pub choice: ChoicePolicy,
    /// Whether requests that cannot meet their target are refused early.
    pub shed: bool,
}

/// The final state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Complete and within both targets.
    Met,
    /// Complete but late.
    Late,
    /// Refused as not run.
    Refused,
    /// Ended with an unknown outcome.
    Unknown,
    /// No answer until the end of the run.
    Lost,
}

/// The result of one request.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The organisation.
    pub org: usize,
    /// Arrival time in milliseconds.
    pub at: u64,
    /// Milliseconds to the first token, if there was one.
    pub first: Option<u64>,
    /// The final state.
    pub ending: Ending,
}

struct OpenRequest {
    arrival: Arrival,
    first: Option<u64>,
    done: u32,
}

struct Placement {
    machine: CellMachine,
    dispatcher: Dispatcher,
    offset: u64,
    reports: BTreeMap<Upstream, EngineReport>,
    load_budget: f64,
}

/// The state of a simulated experiment.
pub struct Simulation {
    deployment: Deployment,
    experiment: Experiment,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    open: BTreeMap<RequestId, OpenRequest>,
    outcomes: Vec<Outcome>,
    placement: Placement,
    policy: Box<dyn Policy>,
    demand: Demand,
    desired: DesiredItems,
    reports: VecDeque<(u64, usize, Load, UpstreamInfo, Vec<u64>)>,
    rng: SmallRng,
    now: u64,
    initial_loads: u64,
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

/// Returns the priority of an organisation; 0 is the most urgent.
fn priority(org: usize) -> u8 {
    (org % 3) as u8
}

impl Simulation {
    /// Creates a simulation before its first step.
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
        let desired_item = |i: usize| DesiredItem {
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
            placement: Placement::new(),
            policy: setup.policy,
            demand: Demand::default(),
            desired: DesiredItems::from_items((0..deployment.models()).map(desired_item)),
            reports: VecDeque::new(),
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            now: 0,
            initial_loads: 0,
        }
    }

    /// Runs the traffic. Returns the outcome of each request and the number of loads.
    pub fn run(mut self, arrivals: &[Arrival]) -> (Vec<Outcome>, u64) {
        let mut next = arrivals.iter().peekable();
        let mut number = 0;
        while self.now < WARM_UP_MS + DURATION_MS + TAIL_MS {
            self.now += STEP_MS;
            if self.now == WARM_UP_MS {
                self.initial_loads = self.loads();
            }
            self.inject_event();
            while let Some(arrival) = next.next_if(|a| a.at + WARM_UP_MS <= self.now) {
                number += 1;
                self.arrive(number, arrival);
            }
            self.step();
        }
        let moves = self.loads() - self.initial_loads;
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
        self.now.checked_sub(WARM_UP_MS)
    }

    /// Applies the event of the experiment when it is due.
    fn inject_event(&mut self) {
        let Some(at) = self.since_start() else {
            return;
        };
        let mut out = Vec::new();
        match (self.experiment, at) {
            (Experiment::Hang, EVENT_AT) => self.engines[0].hung = true,
            (Experiment::Hang, t) if t == EVENT_AT + EVENT_FOR => self.engines[0].hung = false,
            (Experiment::EngineDies, EVENT_AT) => self.engines[0].crash(&mut out),
            (Experiment::CentreLost, EVENT_AT) => {
                for engine in self.engines.iter_mut().step_by(3) {
                    engine.crash(&mut out);
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
        let request = RouteRequest {
            daemon: 0,
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
            due: now.plus(MAX_WAIT_MS),
            repeatable: true,
            target: None,
            limits: self.limits(),
            policy: RequestPolicy::default(),
            identity: None,
            parts: Vec::new(),
            excluded: BTreeMap::new(),
            version: None,
        };
        let open = OpenRequest {
            arrival: arrival.clone(),
            first: None,
            done: 0,
        };
        self.open.insert(id, open);
        self.route(daemon, RouteEvent::Arrive(Box::new(request)));
    }

    /// Returns the limits at one daemon: over the daemons, an organisation may use twice its
    /// even share of the deployment.
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
            AttemptKey {
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

    /// Delivers the messages of engines to their daemons.
    fn deliver(&mut self, messages: Vec<Message>) {
        for m in messages {
            let (id, attempt) = (m.id, m.attempt);
            match m.event {
                EngineEvent::Tokens(count, first) => {
                    let started = self.now;
                    if let Some(open) = self.open.get_mut(&id) {
                        open.done += count;
                        let at = open.arrival.at + WARM_UP_MS;
                        open.first.get_or_insert(started - at.min(started));
                    }
                    if first {
                        self.route(m.daemon, RouteEvent::FirstByte { id, attempt });
                    }
                }
                EngineEvent::Whole => {
                    self.complete(id);
                    let end = AttemptEnd::Whole;
                    self.route(m.daemon, RouteEvent::Ended { id, attempt, end });
                }
                EngineEvent::Refused => {
                    let end = AttemptEnd::Refused;
                    self.route(m.daemon, RouteEvent::Ended { id, attempt, end });
                }
                EngineEvent::Broken => {
                    let end = AttemptEnd::Broken;
                    self.route(m.daemon, RouteEvent::Ended { id, attempt, end });
                }
            }
        }
    }

    fn complete(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let first = open.first.unwrap_or(u64::MAX);
        let elapsed = self.now - (open.arrival.at + WARM_UP_MS).min(self.now);
        let intervals = f64::from(open.arrival.tokens.saturating_sub(1)).max(1.0);
        let between = elapsed.saturating_sub(first) as f64 / intervals;
        let met = first <= FIRST_TOKEN_TARGET_MS && between <= TOKEN_INTERVAL_TARGET_MS;
        self.end(id, if met { Ending::Met } else { Ending::Late });
    }

    fn step(&mut self) {
        let mut out = Vec::new();
        for engine in &mut self.engines {
            engine.step(self.now, STEP_MS, &mut out);
        }
        self.deliver(out);
        if self.now % REPORT_INTERVAL_MS == 0 {
            self.make_reports();
        }
        self.deliver_reports();
        if self.now % TICK_INTERVAL_MS == 0 {
            for daemon in 0..DAEMONS {
                self.route(daemon, RouteEvent::Tick);
            }
        }
        let log_unavailable =
            self.experiment == Experiment::LogAway && self.since_start().is_some();
        if self.now % PLAN_INTERVAL_MS == 0 && !log_unavailable {
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
                ..Load::default()
            };
            let serves = |r: &shaleline_place::Resident| Route::Model {
                model: r.item.model.clone(),
                adapter: None,
            };
            let info = UpstreamInfo {
                centre: engine.state.spec().centre.clone(),
                routes: ledger.resident.iter().map(serves).collect(),
                version: shaleline_types::SoftwareVersion::default(),
            };
            self.placement.reports.insert(upstream(index), ledger);
            let due = self.now + REPORT_DELAY_MS;
            self.reports
                .push_back((due, index, load, info, report.cache.blocks));
        }
    }

    fn deliver_reports(&mut self) {
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
            if self.engines[index].dead && self.now % REPORT_INTERVAL_MS == 0 {
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
        let placement = &mut self.placement;
        let records = placement
            .dispatcher
            .records(&placement.machine, &placement.reports, now);
        placement.apply(records, now);
        placement.load_budget = (placement.load_budget
            + self.deployment.store_rate() * PLAN_INTERVAL_MS as f64 / 1_000.0)
            .min(self.deployment.store_rate().max(1.0));
        let plan = PlanInput {
            ledgers: placement.machine.engines(),
            views: &views,
            desired: &self.desired,
            demand: &self.demand,
            load_limit: placement.load_budget as usize,
        };
        let steps = self.policy.plan(plan, now);
        let loads = steps
            .iter()
            .filter(|s| matches!(s, shaleline_place::Step::Load { .. }));
        placement.load_budget -= loads.count() as f64;
        let bodies = placement.dispatcher.steps(&steps);
        placement.apply(bodies, now);
        let loading: usize = self.engines.iter().map(Engine::loading).sum();
        for order in self.placement.dispatcher.take_orders() {
            let lost =
                self.experiment == Experiment::OrdersLost && self.rng.random_range(0..5) == 0;
            if !lost {
                let now = self.now;
                self.engine(&order.engine)
                    .order(&order, now, loading as f64 / 15.0);
            }
        }
    }
}

impl Placement {
    fn new() -> Self {
        let mut placement = Self {
            machine: CellMachine::default(),
            dispatcher: Dispatcher::default(),
            offset: 0,
            reports: BTreeMap::new(),
            load_budget: 0.0,
        };
        let claim = CellBody::Lease(LeaseBody::Claim {
            instance: Instance::from_text("entry-1").expect("the name is valid"),
            after: None,
        });
        placement.apply(vec![claim], Millis(0));
        placement.dispatcher.set_fence(Some(Offset(0)));
        placement
    }

    /// Applies records immediately: the delay of the log is small against the interval of plans.
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

/// Returns the keys of a prompt's blocks: half of them are shared by the prompts of one kind
/// for the model, the others are unique.
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

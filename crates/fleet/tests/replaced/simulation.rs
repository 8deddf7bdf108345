//! Simulates the replacement of all engines of a service with a planner: engines take a realistic
//! time for each order, and callers arrive at fixed rates.

use shaleline_fleet::{
    Catalog, Demand, Fleet, Held, HeldSource, LoadWindow, ModelProfile, Order, OrderKind,
    OrderReply, PlanView, Rates, ServicePlanners, UnmetByKey, WarmupPhase,
};
use shaleline_types::{DataCentre, Megabytes, Millis, Model, Service, Upstream};
use std::collections::{BTreeMap, BTreeSet};

/// The interval of plans, and the time to unload a model.
pub(crate) const STEP_MS: u64 = 100;
pub(crate) const UNLOAD_MS: u64 = 300;

/// The engines have room for three models each; twelve engines hold 26 models.
pub(crate) const ENGINES: usize = 12;
pub(crate) const MODELS: usize = 26;

/// The models with nine tenths of the requests, and their requests a second.
pub(crate) const BUSY: [(usize, f64); 3] = [(0, 16.0), (1, 9.0), (2, 6.0)];

/// The interval between callers of each other model, a rate of 0.2 a second.
pub(crate) const RARE_INTERVAL_MS: u64 = 5_000;

/// The work of one request, in milliseconds: a few are prompts of 2,000 tokens.
pub(crate) const REQUEST_WORK: f64 = 50.0;

/// When the first engine leaves, and the interval at which the others follow.
pub(crate) const FIRST_LEAVES_MS: u64 = 5_000;
pub(crate) const LEAVE_INTERVAL_MS: u64 = 800;

/// An engine that leaves is gone after this time.
pub(crate) const LEAVE_MS: u64 = 2_500;

/// The end of the simulation.
pub(crate) const END_MS: u64 = 45_000;

pub(crate) fn model(number: usize) -> Model {
    Model::from_text(&format!("m{number:02}")).expect("a valid name")
}

pub(crate) fn engine(number: usize) -> Upstream {
    Upstream::from_text(&format!("e{number:02}")).expect("a valid name")
}

fn service(name: &str) -> Service {
    Service::from_text(name).expect("a valid name")
}

pub(crate) fn centre() -> DataCentre {
    DataCentre::from_text("dc1").expect("a valid name")
}

pub(crate) fn catalog() -> Catalog {
    let profile = ModelProfile {
        weights_size: Megabytes(70_000),
        store_time: Millis(9_000),
        disk_time: Millis(2_000),
        warm_time: Millis(800),
        adapters: Vec::new(),
        adapter_size: Megabytes(0),
    };
    Catalog {
        models: (0..MODELS).map(|n| (model(n), profile.clone())).collect(),
        memory: Megabytes(220_000),
        adapter_slots: 8,
        load_rate: 1.4,
        request_slots: 64,
        warm_memory: Megabytes(220_000),
        disk_space: Megabytes(440_000),
    }
}

/// No engine had an order from another planner.
static COOLDOWNS: BTreeMap<Upstream, Millis> = BTreeMap::new();

/// There is no unmet demand.
static UNMET: UnmetByKey = UnmetByKey::new();

/// The input of a plan during the simulation.
pub(crate) fn view<'a>(catalog: &'a Catalog, fleet: &'a Fleet, rates: &'a Rates) -> PlanView<'a> {
    PlanView {
        warmup: WarmupPhase::Over,
        catalog,
        fleet,
        rates,
        unmet: &UNMET,
        fence: 7,
        holder: "me",
        cooldowns: &COOLDOWNS,
        after_failure: false,
    }
}

/// The actual state of an engine, of which the planner knows only the reports.
#[derive(Debug, Default)]
pub(crate) struct ActualEngine {
    pub(crate) held: BTreeSet<Model>,
    disk: BTreeSet<Model>,
    seq: u64,
    work: Option<(u64, Order)>,
    leaves: Option<u64>,
}

impl ActualEngine {
    fn report(&self) -> Held {
        let models = self.held.iter().map(|m| (m.clone(), BTreeSet::new()));
        Held {
            models: models.collect(),
            disk: self.disk.clone(),
            seq: self.seq,
            ..Held::default()
        }
    }

    fn serves(&self, model: &Model, now: u64) -> bool {
        let unloading = self
            .work
            .as_ref()
            .is_some_and(|(_, o)| o.kind == OrderKind::Unload && o.model == *model);
        self.leaves.is_none_or(|at| now < at) && self.held.contains(model) && !unloading
    }

    fn begin(&mut self, order: &Order, now: u64) {
        let duration = match order.kind {
            OrderKind::Unload => UNLOAD_MS,
            OrderKind::Load if self.disk.contains(&order.model) => 2_000,
            OrderKind::Load => 9_000,
        };
        self.seq += 1;
        self.work = Some((now + duration, order.clone()));
    }

    /// Completes the order in progress if it is time.
    fn end(&mut self, now: u64) -> bool {
        let Some((_, order)) = self.work.take_if(|(at, _)| *at <= now) else {
            return false;
        };
        match order.kind {
            OrderKind::Load => {
                self.disk.insert(order.model.clone());
                self.held.insert(order.model);
            }
            OrderKind::Unload => {
                self.held.remove(&order.model);
            }
        }
        true
    }
}

/// The results for the callers of one model.
#[derive(Debug, Default)]
pub(crate) struct Results {
    requests: usize,
    served: usize,
    /// When the first caller was served.
    first: Option<u64>,
}

/// The state of the simulation.
pub(crate) struct Simulation {
    pub(crate) catalog: Catalog,
    pub(crate) engines: BTreeMap<Upstream, ActualEngine>,
    fleet: Fleet,
    planners: ServicePlanners,
    /// The engines of another service, for which a plan is made in between.
    other_service: Option<Fleet>,
    window: LoadWindow,
    demand: Demand,
    results: BTreeMap<Model, Results>,
    /// When each load from the weight store began.
    pub(crate) load_starts: Vec<u64>,
}

impl Simulation {
    /// Engines hold one busy model each and two of the others, as far as there is room.
    fn new() -> Self {
        let mut simulation = Self {
            catalog: catalog(),
            engines: BTreeMap::new(),
            fleet: Fleet::default(),
            planners: ServicePlanners::default(),
            other_service: None,
            window: LoadWindow::new(Millis(5_000), 1.1),
            demand: Demand::default(),
            results: BTreeMap::new(),
            load_starts: Vec::new(),
        };
        for number in 0..ENGINES {
            let rare = |n: usize| model(BUSY.len() + (2 * number + n) % (MODELS - BUSY.len()));
            let held = BTreeSet::from([model(number % BUSY.len()), rare(0), rare(1)]);
            let actual = ActualEngine {
                disk: held.clone(),
                held,
                ..ActualEngine::default()
            };
            simulation.join(engine(number), actual, 0);
        }
        simulation
    }

    fn join(&mut self, name: Upstream, actual: ActualEngine, now: u64) {
        let at = Millis(now);
        let held = actual.report();
        self.fleet
            .observe(&name, &centre(), held, HeldSource::Listed, at);
        self.engines.insert(name, actual);
    }

    /// The engines leave one after the other, and an empty one replaces each.
    fn replace(&mut self, now: u64) {
        for number in 0..ENGINES {
            let leaves = FIRST_LEAVES_MS + LEAVE_INTERVAL_MS * number as u64;
            let old = engine(number);
            if now == leaves {
                self.fleet.set_leaving(&old, true);
                let actual = self.engines.get_mut(&old).expect("it was there");
                actual.leaves = Some(now);
                self.join(engine(ENGINES + number), ActualEngine::default(), now);
            }
            if now == leaves + LEAVE_MS {
                self.fleet.remove(&old);
                self.engines.remove(&old);
            }
        }
    }

    fn finish_orders(&mut self, now: u64) {
        for (name, actual) in &mut self.engines {
            if actual.end(now) {
                self.fleet
                    .report(name, actual.report(), Millis(now), Millis(now));
            }
        }
    }

    fn request(&mut self, model: &Model, now: u64) {
        let at = Millis(now);
        self.demand.record(model, None, REQUEST_WORK, at);
        let served = self.engines.values().any(|e| e.serves(model, now));
        let results = self.results.entry(model.clone()).or_default();
        results.requests += 1;
        results.served += usize::from(served);
        if served {
            results.first.get_or_insert(now);
        }
    }

    /// The callers of one step.
    fn simulate_callers(&mut self, now: u64) {
        for (number, rate) in BUSY {
            let until = |at: u64| (at as f64 * rate / 1_000.0) as usize;
            for _ in until(now)..until(now + STEP_MS) {
                self.request(&model(number), now);
            }
        }
        for number in BUSY.len()..MODELS {
            let offset = number as u64 * 200;
            if (now + offset) % RARE_INTERVAL_MS < STEP_MS {
                self.request(&model(number), now);
            }
        }
    }

    fn plan(&mut self, now: u64) {
        let at = Millis(now);
        self.fleet.prune(at);
        let rates = self.demand.rates(at);
        if let Some(fleet) = &self.other_service {
            let (service, nothing) = (service("other"), Rates::new());
            let view = view(&self.catalog, fleet, &nothing);
            let planned = self.planners.plan(&service, &view, &mut self.window, at);
            assert_eq!(planned.0, [], "the other service has no requests");
        }
        let view = view(&self.catalog, &self.fleet, &rates);
        let service = service("llm");
        let (orders, _) = self.planners.plan(&service, &view, &mut self.window, at);
        for order in orders {
            let Some(actual) = self.engines.get_mut(&order.engine) else {
                continue;
            };
            assert!(actual.work.is_none(), "one order at a time: {order}");
            let from_store = order.kind == OrderKind::Load && !actual.disk.contains(&order.model);
            if from_store {
                self.window.record(at);
                self.load_starts.push(now);
            }
            self.fleet.record_sent(&order, at);
            self.fleet.record_reply(&order, OrderReply::Accepted, at);
            actual.begin(&order, now);
        }
    }

    pub(crate) fn run_alone() -> Self {
        Self::new().run()
    }

    /// Runs the same simulation with another service beside this one, whose engines stay.
    pub(crate) fn run_beside_another() -> Self {
        let mut simulation = Self::new();
        let mut other = Fleet::default();
        for number in 0..ENGINES {
            let name = engine(number + 2 * ENGINES);
            let held = simulation.engines[&engine(number)].report();
            other.observe(&name, &centre(), held, HeldSource::Listed, Millis(0));
        }
        simulation.other_service = Some(other);
        simulation.run()
    }

    fn run(mut self) -> Self {
        let simulation = &mut self;
        for now in (0..END_MS).step_by(STEP_MS as usize) {
            simulation.replace(now);
            simulation.finish_orders(now);
            simulation.simulate_callers(now);
            simulation.plan(now);
        }
        self
    }

    pub(crate) fn share(&self, number: usize) -> f64 {
        let results = &self.results[&model(number)];
        results.served as f64 / results.requests as f64
    }
}

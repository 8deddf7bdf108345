//! A day on which all engines of a service are replaced, played with a planner: engines carry
//! out its orders in the time that they take, callers ask at fixed rates.

use shaleline_fleet::{
    Catalog, Demand, Fleet, Held, HeldSource, LoadWindow, ModelProfile, Order, OrderKind,
    OrderReply, PlanView, Rates, ServicePlanners, UnmetByKey, WarmupPhase,
};
use shaleline_types::{DataCentre, Megabytes, Millis, Model, Service, Upstream};
use std::collections::{BTreeMap, BTreeSet};

/// How often a plan is made, and what an order to drop a model takes.
pub(crate) const STEP: u64 = 100;
pub(crate) const DROP_MS: u64 = 300;

/// The engines have room for three models each; twelve engines hold 26 models.
pub(crate) const ENGINES: usize = 12;
pub(crate) const MODELS: usize = 26;

/// The models with nine tenths of the requests, and how many a second each has.
pub(crate) const BUSY: [(usize, f64); 3] = [(0, 16.0), (1, 9.0), (2, 6.0)];

/// Each other model has a caller every so often, so that its rate is 0.2 a second.
pub(crate) const RARE_EVERY_MS: u64 = 5_000;

/// The work of one request, in milliseconds: a few are prompts of 2,000 tokens.
pub(crate) const REQUEST_WORK: f64 = 50.0;

/// The first engine leaves then, the others follow at this pace.
pub(crate) const FIRST_LEAVES: u64 = 5_000;
pub(crate) const NEXT_LEAVES: u64 = 800;

/// An engine that leaves is gone after so long.
pub(crate) const GONE_AFTER: u64 = 2_500;

/// The day ends then.
pub(crate) const END: u64 = 45_000;

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
    let rule = ModelProfile {
        weights_size: Megabytes(70_000),
        store_time: Millis(9_000),
        disk_time: Millis(2_000),
        warm_time: Millis(800),
        adapters: Vec::new(),
        adapter_size: Megabytes(0),
    };
    Catalog {
        models: (0..MODELS).map(|n| (model(n), rule.clone())).collect(),
        memory: Megabytes(220_000),
        adapter_slots: 8,
        load_rate: 1.4,
        request_slots: 64,
        warm_memory: Megabytes(220_000),
        disk_space: Megabytes(440_000),
    }
}

/// No engine had an order from another planner.
static RESTING: BTreeMap<Upstream, Millis> = BTreeMap::new();

/// Nobody has asked for anything in vain.
static UNMET: UnmetByKey = UnmetByKey::new();

/// What a plan looks at during the day.
pub(crate) fn view<'a>(catalog: &'a Catalog, fleet: &'a Fleet, rates: &'a Rates) -> PlanView<'a> {
    PlanView {
        warmup: WarmupPhase::Over,
        catalog,
        fleet,
        rates,
        unmet: &UNMET,
        fence: 7,
        holder: "me",
        cooldowns: &RESTING,
        after_failure: false,
    }
}

/// An engine as it is, which the planner only hears of.
#[derive(Debug, Default)]
pub(crate) struct Real {
    pub(crate) held: BTreeSet<Model>,
    disk: BTreeSet<Model>,
    seq: u64,
    work: Option<(u64, Order)>,
    leaves: Option<u64>,
}

impl Real {
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
        let dropping = self
            .work
            .as_ref()
            .is_some_and(|(_, o)| o.kind == OrderKind::Unload && o.model == *model);
        self.leaves.is_none_or(|at| now < at) && self.held.contains(model) && !dropping
    }

    fn begin(&mut self, order: &Order, now: u64) {
        let takes = match order.kind {
            OrderKind::Unload => DROP_MS,
            OrderKind::Load if self.disk.contains(&order.model) => 2_000,
            OrderKind::Load => 9_000,
        };
        self.seq += 1;
        self.work = Some((now + takes, order.clone()));
    }

    /// Ends the order under way if it is time.
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

/// What callers of one model got.
#[derive(Debug, Default)]
pub(crate) struct Got {
    asked: usize,
    served: usize,
    /// When the first was served.
    first: Option<u64>,
}

/// The day as it is played.
pub(crate) struct Day {
    pub(crate) catalog: Catalog,
    pub(crate) engines: BTreeMap<Upstream, Real>,
    fleet: Fleet,
    planners: ServicePlanners,
    /// The engines of another service, which is planned for in between.
    beside: Option<Fleet>,
    window: LoadWindow,
    demand: Demand,
    got: BTreeMap<Model, Got>,
    /// When each load from the weight store began.
    pub(crate) begun: Vec<u64>,
}

impl Day {
    /// Engines hold one busy model each and two of the others, as far as there is room.
    fn new() -> Self {
        let mut day = Self {
            catalog: catalog(),
            engines: BTreeMap::new(),
            fleet: Fleet::default(),
            planners: ServicePlanners::default(),
            beside: None,
            window: LoadWindow::new(Millis(5_000), 1.1),
            demand: Demand::default(),
            got: BTreeMap::new(),
            begun: Vec::new(),
        };
        for number in 0..ENGINES {
            let rare = |n: usize| model(BUSY.len() + (2 * number + n) % (MODELS - BUSY.len()));
            let held = BTreeSet::from([model(number % BUSY.len()), rare(0), rare(1)]);
            let real = Real {
                disk: held.clone(),
                held,
                ..Real::default()
            };
            day.join(engine(number), real, 0);
        }
        day
    }

    fn join(&mut self, name: Upstream, real: Real, now: u64) {
        let at = Millis(now);
        let held = real.report();
        self.fleet
            .observe(&name, &centre(), held, HeldSource::Listed, at);
        self.engines.insert(name, real);
    }

    /// One engine after the other leaves, and an empty one comes.
    fn replace(&mut self, now: u64) {
        for number in 0..ENGINES {
            let leaves = FIRST_LEAVES + NEXT_LEAVES * number as u64;
            let old = engine(number);
            if now == leaves {
                self.fleet.set_leaving(&old, true);
                let real = self.engines.get_mut(&old).expect("it was there");
                real.leaves = Some(now);
                self.join(engine(ENGINES + number), Real::default(), now);
            }
            if now == leaves + GONE_AFTER {
                self.fleet.remove(&old);
                self.engines.remove(&old);
            }
        }
    }

    fn finish_orders(&mut self, now: u64) {
        for (name, real) in &mut self.engines {
            if real.end(now) {
                self.fleet.report(name, real.report(), Millis(now));
            }
        }
    }

    fn ask(&mut self, model: &Model, now: u64) {
        let at = Millis(now);
        self.demand.record(model, None, REQUEST_WORK, at);
        let served = self.engines.values().any(|e| e.serves(model, now));
        let got = self.got.entry(model.clone()).or_default();
        got.asked += 1;
        got.served += usize::from(served);
        if served {
            got.first.get_or_insert(now);
        }
    }

    /// The callers of one step.
    fn call(&mut self, now: u64) {
        for (number, rate) in BUSY {
            let until = |at: u64| (at as f64 * rate / 1_000.0) as usize;
            for _ in until(now)..until(now + STEP) {
                self.ask(&model(number), now);
            }
        }
        for number in BUSY.len()..MODELS {
            let offset = number as u64 * 200;
            if (now + offset) % RARE_EVERY_MS < STEP {
                self.ask(&model(number), now);
            }
        }
    }

    fn plan(&mut self, now: u64) {
        let at = Millis(now);
        self.fleet.prune(at);
        let rates = self.demand.rates(at);
        if let Some(fleet) = &self.beside {
            let (service, nothing) = (service("other"), Rates::new());
            let view = view(&self.catalog, fleet, &nothing);
            let planned = self.planners.plan(&service, &view, &mut self.window, at);
            assert_eq!(planned.0, [], "nobody asks the other service for anything");
        }
        let view = view(&self.catalog, &self.fleet, &rates);
        let service = service("llm");
        let (orders, _) = self.planners.plan(&service, &view, &mut self.window, at);
        for order in orders {
            let Some(real) = self.engines.get_mut(&order.engine) else {
                continue;
            };
            assert!(real.work.is_none(), "one order at a time: {order}");
            let far = order.kind == OrderKind::Load && !real.disk.contains(&order.model);
            if far {
                self.window.record(at);
                self.begun.push(now);
            }
            self.fleet.record_sent(&order, at);
            self.fleet.record_reply(&order, OrderReply::Accepted, at);
            real.begin(&order, now);
        }
    }

    pub(crate) fn play() -> Self {
        Self::new().run()
    }

    /// The same day with another service beside this one, whose engines stay.
    pub(crate) fn play_beside_another() -> Self {
        let mut day = Self::new();
        let mut other = Fleet::default();
        for number in 0..ENGINES {
            let name = engine(number + 2 * ENGINES);
            let held = day.engines[&engine(number)].report();
            other.observe(&name, &centre(), held, HeldSource::Listed, Millis(0));
        }
        day.beside = Some(other);
        day.run()
    }

    fn run(mut self) -> Self {
        let day = &mut self;
        for now in (0..END).step_by(STEP as usize) {
            day.replace(now);
            day.finish_orders(now);
            day.call(now);
            day.plan(now);
        }
        self
    }

    pub(crate) fn share(&self, number: usize) -> f64 {
        let got = &self.got[&model(number)];
        got.served as f64 / got.asked as f64
    }
}

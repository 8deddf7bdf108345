//! Callers of many adapters of one model, after seconds in which no daemon could order.
//!
//! An engine has far fewer places than there are adapters that somebody waits for. A place given to each
//! wait in turn costs two orders a turn and serves nobody: the adapter is dropped before its caller is back.

mod shared;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_fleet::{
    Catalog, Demand, Fleet, Held, HeldSource, LoadWindow, Order, OrderKind, OrderReply,
    PlanSettings, PlanView, Planner, UnmetDemand, WarmupPhase,
};
use shaleline_testkit::cases;
use shaleline_types::{Adapter, DataCentre, Megabytes, Millis, Upstream};
use shared::{adapter, model};
use std::collections::{BTreeMap, BTreeSet};

const START: u64 = 1_000_000;
const STEP: u64 = 20;

/// How long callers come while nobody orders, and afterwards.
const VACANT: u64 = 10_000;
const PLANNED: u64 = 20_000;

/// Callers a second, spread evenly over the adapters.
const CALLERS: f64 = 3.0;
const ADAPTERS: usize = 40;
const PLACES: usize = 8;

/// Callers are told to come back after so long while a planner works, and within so long of its first plan
/// where they came before.
const ADAPTER_MS: u64 = 500;
const SPREAD: u64 = 10_000;

/// What the planner hears of callers is so old.
const HEARD: u64 = 200;

/// An adapter that is dropped within so long has come for nobody: two orders take about as long.
const AT_ONCE: u64 = 500;

/// A place is made ready for a caller no longer than this before the caller comes.
const AWAITED: u64 = 1_000;

/// Work of one request, in milliseconds.
const WORK: f64 = 20.0;

/// What became of callers and of what was loaded, from the planner's first plan on.
#[derive(Debug, Default)]
struct Outcome {
    callers: usize,
    /// Callers who came back in time and found the adapter away.
    lost: usize,
    loads: usize,
    /// Adapters that were dropped before any caller found them.
    unused: usize,
    /// Those of them that were dropped as soon as they had come, for one that nobody was about to come for.
    turns: usize,
}

struct World {
    now: u64,
    rng: SmallRng,
    catalog: Catalog,
    held: Held,
    fleet: Fleet,
    planner: Planner,
    demand: Demand,
    unmet: UnmetDemand,
    /// Callers who come back, by the time.
    back: BTreeSet<(u64, usize)>,
    /// Adapters that no caller has found yet, and when they came.
    fresh: BTreeMap<Adapter, u64>,
    /// Whether the adapter that was dropped last had just come.
    had_come: bool,
    outcome: Outcome,
}

fn engine() -> Upstream {
    Upstream::from_text("e1").expect("a valid name")
}

fn named(number: usize) -> Adapter {
    adapter(&format!("a{number}"))
}

impl World {
    fn new(seed: u64) -> Self {
        let names: Vec<String> = (0..ADAPTERS).map(|n| format!("a{n}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let catalog = Catalog {
            memory: Megabytes(80_000),
            adapter_slots: PLACES,
            ..shared::catalog(&["m"], &names)
        };
        let held = Held {
            models: [(model("m"), (0..PLACES).map(named).collect())].into(),
            ..Held::default()
        };
        let mut fleet = Fleet::default();
        let centre = DataCentre::from_text("dc1").expect("a valid name");
        let listed = held.clone();
        fleet.observe(
            &engine(),
            &centre,
            listed,
            HeldSource::Listed,
            Millis(START),
        );
        Self {
            now: START,
            rng: SmallRng::seed_from_u64(seed),
            catalog,
            held,
            fleet,
            planner: Planner::new(PlanSettings::default()),
            demand: Demand::default(),
            unmet: UnmetDemand::default(),
            back: BTreeSet::new(),
            fresh: BTreeMap::new(),
            had_come: false,
            outcome: Outcome::default(),
        }
    }

    fn is_planned(&self) -> bool {
        self.now >= START + VACANT
    }

    fn run(&mut self) {
        while self.now < START + VACANT + PLANNED {
            self.now += STEP;
            self.call();
            if self.is_planned() {
                self.plan();
            }
        }
    }

    fn call(&mut self) {
        while let Some((at, number)) = self.back.first().copied().filter(|(at, _)| *at <= self.now)
        {
            self.back.remove(&(at, number));
            self.ask(number, true);
        }
        if self.rng.random_bool(CALLERS * STEP as f64 / 1_000.0) {
            let number = self.rng.random_range(0..ADAPTERS);
            self.ask(number, false);
        }
    }

    fn ask(&mut self, number: usize, came_back: bool) {
        let (now, m, a) = (Millis(self.now), model("m"), named(number));
        let served = self.held.models[&m].contains(&a);
        let planned = self.is_planned();
        if planned {
            self.outcome.callers += usize::from(!came_back);
            self.outcome.lost += usize::from(came_back && !served);
        }
        if served {
            self.fresh.remove(&a);
            self.unmet.on_served(&m, Some(&a), now);
        }
        if !came_back {
            self.demand.record(&m, Some(&a), WORK, now);
        }
        if !served {
            let told = match planned {
                true => ADAPTER_MS,
                false => START + VACANT - self.now + ADAPTER_MS + self.rng.random_range(0..SPREAD),
            };
            self.unmet.record(&m, Some(&a), Millis(told), now);
            if !came_back {
                self.back.insert((self.now + told, number));
            }
        }
    }

    fn plan(&mut self) {
        let now = Millis(self.now);
        // What daemons tell is some time old.
        let heard = Millis(self.now - HEARD);
        let rates = self.demand.rates(now);
        let told = self.unmet.longest(64, heard).into_iter();
        let unmet = told.map(|(m, a, u)| ((m.clone(), a.cloned()), u)).collect();
        let view = PlanView {
            warmup: WarmupPhase::Over,
            catalog: &self.catalog,
            fleet: &self.fleet,
            rates: &rates,
            unmet: &unmet,
            fence: 7,
            holder: "me",
            cooldowns: &BTreeMap::new(),
            after_failure: false,
        };
        let mut window = LoadWindow::new(Millis(5_000), 1.1);
        let orders = self.planner.plan(&view, &mut window, now);
        for order in orders {
            self.carry_out(&order);
        }
    }

    /// Whether a caller is about to come back for the adapter.
    fn is_awaited(&self, adapter: &Adapter) -> bool {
        let mut near = self.back.iter().filter(|(at, _)| *at < self.now + AWAITED);
        near.any(|(_, number)| named(*number) == *adapter)
    }

    /// The engine carries an order out at once and reports what it holds.
    fn carry_out(&mut self, order: &Order) {
        let now = Millis(self.now);
        self.fleet.record_sent(order, now);
        let adapter = order.adapter.clone().expect("no order about weights");
        let nobody = !self.is_awaited(&adapter);
        let all = self.held.models.get_mut(&order.model).expect("the model");
        let reply = match order.kind {
            OrderKind::Load => {
                self.outcome.loads += 1;
                let had_come = std::mem::take(&mut self.had_come);
                self.outcome.turns += usize::from(had_come && nobody);
                self.fresh.insert(adapter.clone(), self.now);
                all.insert(adapter);
                assert!(all.len() <= PLACES, "places are never promised twice");
                OrderReply::Accepted
            }
            OrderKind::Unload => {
                if let Some(came) = self.fresh.remove(&adapter) {
                    self.outcome.unused += 1;
                    self.had_come = self.now - came < AT_ONCE;
                }
                all.remove(&adapter);
                OrderReply::Done
            }
        };
        self.held.seq += 1;
        self.fleet.record_reply(order, reply, now);
        self.fleet.report(&engine(), self.held.clone(), now);
    }
}

fn outcome(seed: u64) -> Outcome {
    let mut world = World::new(seed);
    world.run();
    println!("{:?}", world.outcome);
    world.outcome
}

/// How many callers were refused again when they came back as they had been told to, and how many adapters
/// were dropped as soon as they had come, for others that nobody was about to come for.
fn lost_and_turned(seed: u64) -> (usize, usize) {
    let outcome = outcome(seed);
    (outcome.lost, outcome.turns)
}

cases! { lost_and_turned;
    // Each wait of five seconds took the place of the one before, so that adapters were loaded and dropped
    // for nobody, and callers who came back as they were told to found theirs away.
    nobody_who_comes_back_is_refused_again_seed_1: 1 => (0, 0),
    nobody_who_comes_back_is_refused_again_seed_2: 2 => (0, 0),
    nobody_who_comes_back_is_refused_again_seed_3: 3 => (0, 0),
    nobody_who_comes_back_is_refused_again_seed_4: 4 => (0, 0),
    nobody_who_comes_back_is_refused_again_seed_5: 5 => (0, 0),
    nobody_who_comes_back_is_refused_again_seed_6: 6 => (0, 0),
}

//! Ownership, memory and orders: owners die and are paused, orders are lost, late and
//! doubled, engines start anew.

use crate::history::{is_linearizable, LeaseEvent, LeaseSpec, Operation};
use crate::tally::{Invariant, Tally};
use crate::world::{Event, Retention, World};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_lease::{Keeper, KeeperInput, LeaseBody, LeaseVerdict};
use shaleline_log::{Priority, Ticket};
use shaleline_place::{
    CellBody, CellMachine, CellVerdict, Demand, DesiredItem, DesiredItems, Dispatcher,
    EngineReport, EngineView, Item, Order, PlanInput, Planner, Policy, Step,
};
use shaleline_standin::{EngineSpec, EngineState, Pace};
use shaleline_types::{DataCentre, Instance, Megabytes, Millis, Model, Offset, Upstream, WriterId};
use std::collections::{BTreeMap, BTreeSet};

const NODES: usize = 3;
const ENGINES: usize = 3;
const ITEMS: u64 = 5;
const STEPS: u64 = 6_000;
const MEMORY: Megabytes = Megabytes(100);
const MOST_CLAIMS: usize = 60;

/// What a process does as owner, or to become it.
struct Desk {
    keeper: Keeper,
    dispatcher: Dispatcher,
    planner: Planner,
    reports: BTreeMap<Upstream, EngineReport>,
}

impl Desk {
    fn new(node: usize, writer: WriterId) -> Self {
        let instance = Instance::from_text(&format!("entry-{node}")).expect("the name is valid");
        Self {
            keeper: Keeper::new(writer, instance),
            dispatcher: Dispatcher::default(),
            planner: Planner::default(),
            reports: BTreeMap::new(),
        }
    }
}

struct Engine {
    state: EngineState,
    /// Loads that are through at a step.
    loads: Vec<(u64, u64, Offset, Item)>,
    reported: Vec<EngineReport>,
}

/// An order on its way.
struct Flight {
    due: u64,
    order: Order,
}

struct Claim {
    called: u64,
    answered: Option<u64>,
    event: LeaseEvent,
}

struct Cell {
    desks: Vec<Desk>,
    engines: BTreeMap<Upstream, Engine>,
    flights: Vec<Flight>,
    tickets: BTreeMap<(WriterId, Ticket), (CellBody, Option<usize>)>,
    claims: Vec<Claim>,
    wanted: DesiredItems,
    reached: BTreeSet<Item>,
    settling: bool,
    /// Whether the engines refuse old numbers. Only to those does the network double
    /// orders: against a copy that it makes itself, nothing protects one that ignores
    /// numbers (docs/PROOFS.md).
    checks: bool,
}

pub(crate) fn run(seed: u64, tally: &mut Tally) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world: World<CellMachine> = World::new(NODES, Retention::Covered);
    let checks = seed % 2 == 0;
    let mut cell = Cell {
        desks: (0..NODES)
            .map(|i| Desk::new(i, world.nodes[i].writer))
            .collect(),
        engines: (0..ENGINES).map(|i| engine(i, checks, seed)).collect(),
        flights: Vec::new(),
        tickets: BTreeMap::new(),
        claims: Vec::new(),
        wanted: DesiredItems::from_items((0..ITEMS).map(want)),
        reached: BTreeSet::new(),
        settling: false,
        checks,
    };
    for step in 0..STEPS {
        tally.next_step();
        if !tally.is_clean() {
            return;
        }
        if step == STEPS * 3 / 4 {
            world.heal();
            cell.settling = true;
        }
        cell.engines_go_on(world.step, &mut rng, tally);
        let node = rng.random_range(0..NODES);
        if world.is_up(node) {
            cell.work(&mut world, node, &mut rng);
        }
        cell.send_orders(world.step, &mut rng, tally);
        for event in world.step(&mut rng, tally) {
            cell.on_event(&world, event, tally);
        }
        cell.look(&mut rng, tally);
    }
    cell.conclude(&world, tally);
}

fn name(text: &str) -> Upstream {
    Upstream::from_text(text).expect("the name is valid")
}

fn item(number: u64) -> Item {
    let model = Model::from_text(&format!("model-{number}")).expect("the name is valid");
    Item::base(&model, 1)
}

fn want(number: u64) -> DesiredItem {
    DesiredItem {
        item: item(number),
        size: Megabytes(20 + 7 * number),
    }
}

fn engine(index: usize, checks: bool, seed: u64) -> (Upstream, Engine) {
    let spec = EngineSpec {
        name: name(&format!("engine-{index}")),
        centre: DataCentre::from_text(&format!("dc{index}")).expect("the name is valid"),
        memory: MEMORY,
        checks,
        slots: 4,
        blocks: 4,
        pace: Pace {
            block: 0.0,
            step: 0.0,
            more: 0.0,
        },
    };
    let state = EngineState::new(spec.clone(), seed);
    let engine = Engine {
        state,
        loads: Vec::new(),
        reported: Vec::new(),
    };
    (spec.name, engine)
}

impl Cell {
    /// Orders arrive, loads end, engines start anew and report.
    fn engines_go_on(&mut self, step: u64, rng: &mut SmallRng, tally: &mut Tally) {
        let (due, rest): (Vec<Flight>, Vec<Flight>) =
            self.flights.drain(..).partition(|f| f.due <= step);
        self.flights = rest;
        for flight in due {
            let Some(engine) = self.engines.get_mut(&flight.order.engine) else {
                continue;
            };
            if let Some((item, _)) = engine.state.take(&flight.order) {
                let life = engine.state.incarnation();
                let through = step + rng.random_range(5..120);
                engine
                    .loads
                    .push((through, life, flight.order.number, item));
            }
        }
        for engine in self.engines.values_mut() {
            let (ended, rest): (Vec<_>, Vec<_>) =
                engine.loads.drain(..).partition(|(due, ..)| *due <= step);
            engine.loads = rest;
            for (_, life, number, item) in ended {
                engine.state.end_load(life, number, &item);
            }
            if !self.settling && rng.random_range(0..4_000) == 0 {
                tally.fault();
                engine.state.restart();
                let held = &engine.state;
                self.reached.retain(|i| held.holds(i));
            }
            if step % 7 == 0 {
                if let Some(report) = engine.state.report().engine {
                    engine.reported.push(report);
                }
            }
        }
        self.forget_lost();
    }

    /// What an engine's new life lost is no longer counted as reached unless another
    /// engine has it.
    fn forget_lost(&mut self) {
        let engines = &self.engines;
        let held = |i: &Item| engines.values().any(|e| e.state.holds(i));
        self.reached.retain(|i| held(i));
    }

    /// One process's turn: a late report, the lease, the dispatcher, a plan.
    fn work(&mut self, world: &mut World<CellMachine>, node: usize, rng: &mut SmallRng) {
        self.hear(node, rng);
        self.keep_lease(world, node, rng);
        let now = world.now();
        let n = &world.nodes[node];
        if n.replica.halt().is_some() {
            return;
        }
        let fence = n.replica.machine().lease().fence_of(n.writer);
        let desk = &mut self.desks[node];
        desk.dispatcher.set_fence(fence);
        if fence.is_none() {
            return;
        }
        let mut bodies = desk
            .dispatcher
            .records(n.replica.machine(), &desk.reports, now);
        if rng.random_range(0..4) == 0 {
            let steps = self.propose(n.replica.machine(), node, now, rng);
            bodies.extend(self.desks[node].dispatcher.steps(&steps));
        }
        for body in bodies {
            self.submit(world, node, body, None);
        }
    }

    /// A process hears an engine's report, never an older one than before.
    fn hear(&mut self, node: usize, rng: &mut SmallRng) {
        for (name, engine) in &self.engines {
            if engine.reported.is_empty() || rng.random_range(0..3) > 0 {
                continue;
            }
            let lag = rng.random_range(1..=engine.reported.len().min(5));
            let report = engine.reported[engine.reported.len() - lag].clone();
            let known = self.desks[node].reports.get(name);
            let newer = known.is_none_or(|k| {
                let at = |r: &EngineReport| engine.reported.iter().rposition(|o| o == r);
                at(k) <= at(&report)
            });
            if newer {
                self.desks[node].reports.insert(name.clone(), report);
            }
        }
    }

    fn keep_lease(&mut self, world: &mut World<CellMachine>, node: usize, rng: &mut SmallRng) {
        let now = world.now();
        let n = &world.nodes[node];
        if n.replica.halt().is_some() {
            return;
        }
        let lease = n.replica.machine().lease();
        let holder = lease.holder().map(|h| h.writer);
        let alive = world.nodes.iter().enumerate().any(|(i, o)| {
            Some(o.writer) == holder && (world.is_up(i) || rng.random_range(0..3) == 0)
        });
        let input = KeeperInput {
            lease,
            preferred: rng.random_range(0..3) > 0,
            owner_alive: alive,
            stopping: !self.settling && rng.random_range(0..400) == 0,
        };
        if let Some(body) = self.desks[node].keeper.step(input, now) {
            let claim = matches!(body, LeaseBody::Claim { .. }).then_some(self.claims.len());
            if claim.is_some() {
                self.claims.push(Claim {
                    called: world.step,
                    answered: None,
                    event: LeaseEvent::Void,
                });
            }
            self.submit(world, node, CellBody::Lease(body), claim);
        }
    }

    /// Steps of the planner, or any that come to mind: the ledger must refuse what does
    /// not fit.
    fn propose(
        &mut self,
        machine: &CellMachine,
        node: usize,
        now: Millis,
        rng: &mut SmallRng,
    ) -> Vec<Step> {
        if rng.random_range(0..2) == 0 {
            let views = self
                .engines
                .iter()
                .map(|(name, e)| (name.clone(), view(e)))
                .collect();
            let plan = PlanInput {
                ledgers: machine.engines(),
                views: &views,
                desired: &self.wanted,
                demand: &Demand::default(),
                load_limit: 4,
            };
            return self.desks[node].planner.plan(plan, now);
        }
        let engine = name(&format!("engine-{}", rng.random_range(0..ENGINES)));
        let DesiredItem { item, size } = want(rng.random_range(0..ITEMS));
        if rng.random_range(0..2) == 0 {
            return vec![Step::Load { engine, item, size }];
        }
        vec![Step::Unload {
            engine,
            item,
            retired: false,
        }]
    }

    fn submit(
        &mut self,
        world: &mut World<CellMachine>,
        node: usize,
        body: CellBody,
        claim: Option<usize>,
    ) {
        let n = &mut world.nodes[node];
        let ticket = n.replica.submit(Priority::Order, body.clone());
        self.tickets.insert((n.writer, ticket), (body, claim));
    }

    /// Orders are lost, late or doubled on their way.
    fn send_orders(&mut self, step: u64, rng: &mut SmallRng, tally: &mut Tally) {
        for desk in &mut self.desks {
            for order in desk.dispatcher.take_orders() {
                let copies = match rng.random_range(0..100) {
                    _ if self.settling => 1,
                    0..20 => 0,
                    20..35 if self.checks => 2,
                    _ => 1,
                };
                if copies != 1 {
                    tally.fault();
                }
                for _ in 0..copies {
                    let late = !self.settling && rng.random_range(0..6) == 0;
                    let delay = if late {
                        rng.random_range(50..900)
                    } else {
                        rng.random_range(0..10)
                    };
                    self.flights.push(Flight {
                        due: step + delay,
                        order: order.clone(),
                    });
                }
            }
        }
    }

    fn on_event(
        &mut self,
        world: &World<CellMachine>,
        event: Event<CellVerdict>,
        tally: &mut Tally,
    ) {
        match event {
            Event::Done { node, done } => {
                let n = &world.nodes[node];
                let Some((body, claim)) = self.tickets.remove(&(n.writer, done.ticket)) else {
                    return;
                };
                let now = world.now();
                if let Some(index) = claim {
                    self.claims[index].answered = Some(world.step);
                    if let CellVerdict::Lease(LeaseVerdict::Acquired(fence)) = done.verdict {
                        self.claims[index].event = LeaseEvent::Taken(fence.0 + 1);
                    }
                }
                let desk = &mut self.desks[node];
                match done.verdict {
                    CellVerdict::Lease(verdict) => desk.keeper.on_verdict(verdict, now),
                    verdict => desk
                        .dispatcher
                        .on_verdict(&body, verdict, n.replica.machine(), now),
                }
            }
            Event::Replaced { node } => {
                self.desks[node] = Desk::new(node, world.nodes[node].writer);
            }
            Event::Reverted { node } => tally.check(Invariant::Memory, false, || {
                format!("the ledger of process {node} went back")
            }),
        }
    }

    /// No engine was ever ordered beyond its memory, and no item lost its last replica
    /// to an order.
    fn look(&mut self, rng: &mut SmallRng, tally: &mut Tally) {
        let refused: u64 = self.engines.values().map(|e| e.state.refused()).sum();
        tally.check(Invariant::Memory, refused == 0, || {
            format!("{refused} orders would have overfilled an engine")
        });
        if rng.random_range(0..4) > 0 {
            return;
        }
        for number in 0..ITEMS {
            let item = item(number);
            let held = self.engines.values().any(|e| e.state.holds(&item));
            let before = self.reached.contains(&item);
            tally.check(Invariant::Reachable, held || !before, || {
                format!("{item} is gone")
            });
            if held {
                self.reached.insert(item);
            } else {
                self.reached.remove(&item);
            }
        }
    }

    fn conclude(&self, world: &World<CellMachine>, tally: &mut Tally) {
        for number in 0..ITEMS {
            let item = item(number);
            let held = self.engines.values().any(|e| e.state.serves(&item));
            let pinned = world.nodes[0].replica.machine().engines().values();
            let doubt = pinned
                .flat_map(|b| b.slots.values())
                .any(|s| s.unfenced_copies);
            tally.check(Invariant::Reachable, held || doubt, || {
                format!("{item} is not reachable after all faults have ended")
            });
        }
        self.check_claims(world.step, tally);
    }

    fn check_claims(&self, last: u64, tally: &mut Tally) {
        if !tally.is_clean() {
            return;
        }
        let answered = self.claims.iter().filter(|c| c.answered.is_some());
        let operation = |claim: &Claim| Operation {
            called: claim.called,
            answered: claim.answered.unwrap_or(last),
            event: claim.event,
        };
        let operations: Vec<_> = answered.take(MOST_CLAIMS).map(operation).collect();
        let holds = is_linearizable::<LeaseSpec>(&operations);
        tally.check(Invariant::Memory, holds, || {
            "the claims are not linearizable".to_owned()
        });
    }
}

fn view(engine: &Engine) -> EngineView {
    EngineView {
        centre: engine.state.spec().centre.clone(),
        capacity: 1.0,
        alive: true,
    }
}

//! Cell ownership, the memory ledger and orders: owners fail and are paused, orders are lost,
//! delayed and duplicated, and engines restart.

use crate::cluster::{Cluster, Event, Retention};
use crate::history::{is_linearizable, LeaseEvent, LeaseSpec, Operation};
use crate::tally::{Invariant, Tally};
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
const MAX_CLAIMS: usize = 60;

/// State of a process as the owner or as a candidate.
struct Controller {
    keeper: Keeper,
    dispatcher: Dispatcher,
    planner: Planner,
    reports: BTreeMap<Upstream, EngineReport>,
}

impl Controller {
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
    /// Running loads: the step at which each ends, the incarnation of the engine, the number
    /// of the order and the item.
    loads: Vec<(u64, u64, Offset, Item)>,
    reported: Vec<EngineReport>,
}

/// An order that an engine has not yet received.
struct InFlightOrder {
    due: u64,
    order: Order,
}

struct Claim {
    called: u64,
    answered: Option<u64>,
    event: LeaseEvent,
}

struct Cell {
    controllers: Vec<Controller>,
    engines: BTreeMap<Upstream, Engine>,
    in_flight: Vec<InFlightOrder>,
    tickets: BTreeMap<(WriterId, Ticket), (CellBody, Option<usize>)>,
    claims: Vec<Claim>,
    desired: DesiredItems,
    reachable: BTreeSet<Item>,
    settling: bool,
    /// Whether the engines refuse orders with an outdated number. The network duplicates
    /// orders only to these engines: nothing protects an engine that ignores the numbers
    /// from a duplicate made by the network (docs/PROOFS.md).
    fenced: bool,
}

pub(crate) fn run(seed: u64, tally: &mut Tally) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut cluster: Cluster<CellMachine> = Cluster::new(NODES, Retention::Covered);
    let fenced = seed % 2 == 0;
    let mut cell = Cell {
        controllers: (0..NODES)
            .map(|i| Controller::new(i, cluster.nodes[i].writer))
            .collect(),
        engines: (0..ENGINES).map(|i| engine(i, fenced, seed)).collect(),
        in_flight: Vec::new(),
        tickets: BTreeMap::new(),
        claims: Vec::new(),
        desired: DesiredItems::from_items((0..ITEMS).map(desired_item)),
        reachable: BTreeSet::new(),
        settling: false,
        fenced,
    };
    for step in 0..STEPS {
        tally.next_step();
        if !tally.is_clean() {
            return;
        }
        if step == STEPS * 3 / 4 {
            cluster.heal();
            cell.settling = true;
        }
        cell.step_engines(cluster.step, &mut rng, tally);
        let node = rng.random_range(0..NODES);
        if cluster.is_up(node) {
            cell.step_process(&mut cluster, node, &mut rng);
        }
        cell.send_orders(cluster.step, &mut rng, tally);
        for event in cluster.step(&mut rng, tally) {
            cell.on_event(&cluster, event, tally);
        }
        cell.check_engines(&mut rng, tally);
    }
    cell.check_final_state(&cluster, tally);
}

fn name(text: &str) -> Upstream {
    Upstream::from_text(text).expect("the name is valid")
}

fn item(number: u64) -> Item {
    let model = Model::from_text(&format!("model-{number}")).expect("the name is valid");
    Item::base(&model, 1)
}

fn desired_item(number: u64) -> DesiredItem {
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
    /// Delivers orders, ends loads, restarts engines and records their reports.
    fn step_engines(&mut self, step: u64, rng: &mut SmallRng, tally: &mut Tally) {
        let (due, later): (Vec<InFlightOrder>, Vec<InFlightOrder>) =
            self.in_flight.drain(..).partition(|f| f.due <= step);
        self.in_flight = later;
        for delivery in due {
            let Some(engine) = self.engines.get_mut(&delivery.order.engine) else {
                continue;
            };
            if let Some((item, _)) = engine.state.take(&delivery.order) {
                let incarnation = engine.state.incarnation();
                let done_at = step + rng.random_range(5..120);
                engine
                    .loads
                    .push((done_at, incarnation, delivery.order.number, item));
            }
        }
        for engine in self.engines.values_mut() {
            let (ended, later): (Vec<_>, Vec<_>) =
                engine.loads.drain(..).partition(|(due, ..)| *due <= step);
            engine.loads = later;
            for (_, incarnation, number, item) in ended {
                engine.state.end_load(incarnation, number, &item);
            }
            if !self.settling && rng.random_range(0..4_000) == 0 {
                tally.count_fault();
                engine.state.restart();
                let held = &engine.state;
                self.reachable.retain(|i| held.holds(i));
            }
            if step % 7 == 0 {
                if let Some(report) = engine.state.report().engine {
                    engine.reported.push(report);
                }
            }
        }
        self.forget_lost_items();
    }

    /// Forgets the items that were lost in the restart of an engine, unless another engine
    /// holds them.
    fn forget_lost_items(&mut self) {
        let engines = &self.engines;
        let held = |i: &Item| engines.values().any(|e| e.state.holds(i));
        self.reachable.retain(|i| held(i));
    }

    /// Runs one process: it receives delayed reports, keeps the lease, runs the dispatcher and
    /// may propose a plan.
    fn step_process(
        &mut self,
        cluster: &mut Cluster<CellMachine>,
        node: usize,
        rng: &mut SmallRng,
    ) {
        self.receive_reports(node, rng);
        self.keep_lease(cluster, node, rng);
        let now = cluster.now();
        let n = &cluster.nodes[node];
        if n.replica.halt().is_some() {
            return;
        }
        let fence = n.replica.machine().lease().fence_of(n.writer);
        let controller = &mut self.controllers[node];
        controller.dispatcher.set_fence(fence);
        if fence.is_none() {
            return;
        }
        let mut bodies =
            controller
                .dispatcher
                .records(n.replica.machine(), &controller.reports, now);
        if rng.random_range(0..4) == 0 {
            let steps = self.propose(n.replica.machine(), node, now, rng);
            bodies.extend(self.controllers[node].dispatcher.steps(&steps));
        }
        for body in bodies {
            self.submit(cluster, node, body, None);
        }
    }

    /// Receives a report of each engine, never one older than the last.
    fn receive_reports(&mut self, node: usize, rng: &mut SmallRng) {
        for (name, engine) in &self.engines {
            if engine.reported.is_empty() || rng.random_range(0..3) > 0 {
                continue;
            }
            let lag = rng.random_range(1..=engine.reported.len().min(5));
            let report = engine.reported[engine.reported.len() - lag].clone();
            let known = self.controllers[node].reports.get(name);
            let newer = known.is_none_or(|k| {
                let at = |r: &EngineReport| engine.reported.iter().rposition(|o| o == r);
                at(k) <= at(&report)
            });
            if newer {
                self.controllers[node].reports.insert(name.clone(), report);
            }
        }
    }

    fn keep_lease(&mut self, cluster: &mut Cluster<CellMachine>, node: usize, rng: &mut SmallRng) {
        let now = cluster.now();
        let n = &cluster.nodes[node];
        if n.replica.halt().is_some() {
            return;
        }
        let lease = n.replica.machine().lease();
        let holder = lease.holder().map(|h| h.writer);
        let alive = cluster.nodes.iter().enumerate().any(|(i, o)| {
            Some(o.writer) == holder && (cluster.is_up(i) || rng.random_range(0..3) == 0)
        });
        let input = KeeperInput {
            lease,
            preferred: rng.random_range(0..3) > 0,
            owner_alive: alive,
            stopping: !self.settling && rng.random_range(0..400) == 0,
        };
        if let Some(body) = self.controllers[node].keeper.step(input, now) {
            let claim = matches!(body, LeaseBody::Claim { .. }).then_some(self.claims.len());
            if claim.is_some() {
                self.claims.push(Claim {
                    called: cluster.step,
                    answered: None,
                    event: LeaseEvent::NoEffect,
                });
            }
            self.submit(cluster, node, CellBody::Lease(body), claim);
        }
    }

    /// Proposes steps of the planner or a random step, which the ledger must refuse if it
    /// does not fit.
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
                desired: &self.desired,
                demand: &Demand::default(),
                load_limit: 4,
            };
            return self.controllers[node].planner.plan(plan, now);
        }
        let engine = name(&format!("engine-{}", rng.random_range(0..ENGINES)));
        let DesiredItem { item, size } = desired_item(rng.random_range(0..ITEMS));
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
        cluster: &mut Cluster<CellMachine>,
        node: usize,
        body: CellBody,
        claim: Option<usize>,
    ) {
        let n = &mut cluster.nodes[node];
        let ticket = n.replica.submit(Priority::Order, body.clone());
        self.tickets.insert((n.writer, ticket), (body, claim));
    }

    /// Sends the pending orders; some are lost, delayed or duplicated.
    fn send_orders(&mut self, step: u64, rng: &mut SmallRng, tally: &mut Tally) {
        for controller in &mut self.controllers {
            for order in controller.dispatcher.take_orders() {
                let copies = match rng.random_range(0..100) {
                    _ if self.settling => 1,
                    0..20 => 0,
                    20..35 if self.fenced => 2,
                    _ => 1,
                };
                if copies != 1 {
                    tally.count_fault();
                }
                for _ in 0..copies {
                    let late = !self.settling && rng.random_range(0..6) == 0;
                    let delay = if late {
                        rng.random_range(50..900)
                    } else {
                        rng.random_range(0..10)
                    };
                    self.in_flight.push(InFlightOrder {
                        due: step + delay,
                        order: order.clone(),
                    });
                }
            }
        }
    }

    fn on_event(
        &mut self,
        cluster: &Cluster<CellMachine>,
        event: Event<CellVerdict>,
        tally: &mut Tally,
    ) {
        match event {
            Event::Done { node, done } => {
                let n = &cluster.nodes[node];
                let Some((body, claim)) = self.tickets.remove(&(n.writer, done.ticket)) else {
                    return;
                };
                let now = cluster.now();
                if let Some(index) = claim {
                    self.claims[index].answered = Some(cluster.step);
                    if let CellVerdict::Lease(LeaseVerdict::Acquired(fence)) = done.verdict {
                        self.claims[index].event = LeaseEvent::Taken(fence.0 + 1);
                    }
                }
                let ctrl = &mut self.controllers[node];
                match done.verdict {
                    CellVerdict::Lease(verdict) => ctrl.keeper.on_verdict(verdict, now),
                    verdict => ctrl
                        .dispatcher
                        .on_verdict(&body, verdict, n.replica.machine(), now),
                }
            }
            Event::Replaced { node } => {
                self.controllers[node] = Controller::new(node, cluster.nodes[node].writer);
            }
            Event::Reverted { node } => tally.check(Invariant::Memory, false, || {
                format!("process {node} reverted to an earlier ledger")
            }),
        }
    }

    /// Checks that no order exceeds an engine's memory, and that no order removes the last
    /// replica of an item.
    fn check_engines(&mut self, rng: &mut SmallRng, tally: &mut Tally) {
        let refused: u64 = self.engines.values().map(|e| e.state.refused()).sum();
        tally.check(Invariant::Memory, refused == 0, || {
            format!("{refused} orders would have exceeded an engine's memory")
        });
        if rng.random_range(0..4) > 0 {
            return;
        }
        for number in 0..ITEMS {
            let item = item(number);
            let held = self.engines.values().any(|e| e.state.holds(&item));
            let before = self.reachable.contains(&item);
            tally.check(Invariant::Reachable, held || !before, || {
                format!("{item} has lost its last replica")
            });
            if held {
                self.reachable.insert(item);
            } else {
                self.reachable.remove(&item);
            }
        }
    }

    fn check_final_state(&self, cluster: &Cluster<CellMachine>, tally: &mut Tally) {
        for number in 0..ITEMS {
            let item = item(number);
            let held = self.engines.values().any(|e| e.state.serves(&item));
            let ledgers = cluster.nodes[0].replica.machine().engines().values();
            let unfenced = ledgers
                .flat_map(|b| b.slots.values())
                .any(|s| s.unfenced_copies);
            tally.check(Invariant::Reachable, held || unfenced, || {
                format!("{item} is not reachable after all faults have ended")
            });
        }
        self.check_claims(cluster.step, tally);
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
        let operations: Vec<_> = answered.take(MAX_CLAIMS).map(operation).collect();
        let holds = is_linearizable::<LeaseSpec>(&operations);
        tally.check(Invariant::Memory, holds, || {
            "the claims of the lease are not linearizable".to_owned()
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

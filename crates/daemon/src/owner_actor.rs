//! Owns the cell, where this daemon is the one: keeps the lease, plans, sends orders.

use crate::core::Core;
use crate::directory::Entry;
use crate::emit::emit;
use actix::prelude::*;
use shaleline_border::{Engines, InstanceKind};
use shaleline_config::View;
use shaleline_lease::{Keeper, KeeperInput, LeaseVerdict};
use shaleline_log::Priority;
use shaleline_place::{
    CellBody, CellMachine, CellVerdict, DesiredItem, DesiredItems, Dispatcher, EngineReport,
    EngineView, Item, PlanInput, PlanSettings, Planner, Policy, Step,
};
use shaleline_types::{LogEvent, Millis, Upstream};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ROUND: Duration = Duration::from_millis(100);
/// A daemon that has just started does not know yet who is alive, and challenges nobody.
const SETTLED: Millis = Millis(4_000);

const PLAN_EVERY: u64 = 300;

/// Planning takes at most one in so many parts of a core's time.
const PLAN_PART: u64 = 50;

/// An engine that has not reported for so long gets no loads.
const SILENT: u64 = 2_000;

/// The actor of ownership.
pub(crate) struct OwnerActor {
    core: Arc<Core>,
    engines: Rc<dyn Engines>,
    duty: Rc<RefCell<Duty>>,
}

/// What this daemon does as owner, and to become it.
struct Duty {
    keeper: Keeper,
    dispatcher: Dispatcher,
    policy: Box<dyn Policy>,
    planned: Millis,
    /// How long to wait for the next plan, so that planning takes a bounded part of a core.
    pause: u64,
    store: f64,
    stored: Millis,
    owns: bool,
}

impl OwnerActor {
    pub(crate) fn new(core: &Arc<Core>, engines: Rc<dyn Engines>) -> Self {
        let settings = PlanSettings {
            move_weight: core.settings.move_weight,
            ..PlanSettings::default()
        };
        let duty = Duty {
            keeper: Keeper::new(core.writer, core.settings.instance.clone()),
            dispatcher: Dispatcher::default(),
            policy: Box::new(Planner::new(settings)),
            planned: Millis(0),
            pause: PLAN_EVERY,
            store: 0.0,
            stored: core.now(),
            owns: false,
        };
        Self {
            core: Arc::clone(core),
            engines,
            duty: Rc::new(RefCell::new(duty)),
        }
    }
}

impl Actor for OwnerActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(ROUND, |this, ctx| {
            let bodies = this.round();
            for body in bodies {
                let follow = follow(Arc::clone(&this.core), Rc::clone(&this.duty), body);
                ctx.spawn(follow.into_actor(this));
            }
            this.send_orders(ctx);
        });
    }
}

impl OwnerActor {
    /// One round: the records to append.
    fn round(&self) -> Vec<CellBody> {
        let core = &self.core;
        if !core.cell.is_caught_up() || core.cell.halt().is_some() {
            return Vec::new();
        }
        let mut duty = self.duty.borrow_mut();
        let mut bodies: Vec<CellBody> = duty.keep(core).map(CellBody::Lease).into_iter().collect();
        let fence = core.cell.with(|c| c.lease().fence_of(core.writer));
        duty.note_owner(fence.is_some());
        duty.dispatcher.set_fence(fence);
        if fence.is_none() || core.is_leaving() {
            return bodies;
        }
        let reports = reports(core);
        let now = core.now();
        let Duty { dispatcher, .. } = &mut *duty;
        bodies.extend(
            core.cell
                .with(|cell| dispatcher.records(cell, &reports, now)),
        );
        if now.since(duty.planned) >= duty.pause {
            duty.planned = now;
            let started = Instant::now();
            let steps = duty.plan(core);
            let took = started.elapsed().as_millis() as u64;
            duty.pause = PLAN_EVERY.max(took * PLAN_PART);
            bodies.extend(duty.dispatcher.steps(&steps));
        }
        bodies
    }

    fn send_orders(&self, ctx: &mut Context<Self>) {
        let orders = self.duty.borrow_mut().dispatcher.take_orders();
        for order in orders {
            let directory = self.core.directory.read().expect("no holder panics");
            let Some(address) = directory.address(&order.engine) else {
                continue;
            };
            self.core.metrics.orders.add(1, &[]);
            let item = order.item.as_ref().map(Item::to_string).unwrap_or_default();
            let detail = format!(
                "{:?} {item} to {} as {}",
                order.kind, order.engine, order.number
            );
            emit(LogEvent::OrderSent, &detail);
            let engines = Rc::clone(&self.engines);
            let send = async move {
                if engines.order(&address, &order).await.is_err() {
                    emit(LogEvent::OrderDoubt, &detail);
                }
            };
            ctx.spawn(send.into_actor(self));
        }
    }
}

/// Appends a record and takes its verdict back to whoever asked for it.
async fn follow(core: Arc<Core>, duty: Rc<RefCell<Duty>>, body: CellBody) {
    let priority = match body {
        CellBody::Lease(_) => Priority::Lease,
        _ => Priority::Order,
    };
    let pending = core.cell.submit(priority, body.clone());
    let Ok(done) = pending.done.await else {
        return;
    };
    let now = core.now();
    let mut duty = duty.borrow_mut();
    match done.verdict {
        CellVerdict::Lease(verdict) => {
            if matches!(verdict, LeaseVerdict::Challenged(_)) {
                emit(LogEvent::LeaseChallenged, core.cell.stream().as_str());
            }
            duty.keeper.on_verdict(verdict, now);
        }
        verdict => {
            if let CellBody::Settled {
                engine, item, done, ..
            } = &body
            {
                let end = if *done { "done" } else { "failed" };
                emit(
                    LogEvent::OrderSettled,
                    &format!("{item} on {engine}: {end}"),
                );
            }
            let dispatcher = &mut duty.dispatcher;
            core.cell
                .with(|cell| dispatcher.on_verdict(&body, verdict, cell, now));
        }
    }
}

impl Duty {
    fn keep(&mut self, core: &Arc<Core>) -> Option<shaleline_lease::LeaseBody> {
        let preferred = core.is_owner_of(core.cell.stream().as_str());
        let free = core.cell.with(|c| c.lease().holder().is_none());
        let preferred = preferred && (free || core.now() >= SETTLED);
        let stopping = core.is_leaving();
        let now = core.now();
        core.cell.with(|cell| {
            let lease = cell.lease();
            let holder = lease.holder().map(|h| h.writer);
            let owner_alive = holder.is_some_and(|w| core.members().is_alive(w));
            let input = KeeperInput {
                lease,
                preferred,
                owner_alive,
                stopping,
            };
            self.keeper.step(input, now)
        })
    }

    fn note_owner(&mut self, owns: bool) {
        if owns != self.owns {
            let event = if owns {
                LogEvent::LeaseTaken
            } else {
                LogEvent::LeaseLost
            };
            emit(event, "cell");
            self.owns = owns;
            self.store = 0.0;
        }
    }

    /// How many loads the weight store allows now.
    fn loads(&mut self, core: &Arc<Core>, cell: &CellMachine) -> usize {
        let now = core.now();
        let gained = now.since(self.stored) as f64 / 1_000.0 * core.settings.store_rate;
        self.stored = now;
        self.store = (self.store + gained).min(core.settings.store_rate.max(1.0));
        let room = core.settings.store_most.saturating_sub(cell.loading());
        room.min(self.store as usize)
    }

    fn plan(&mut self, core: &Arc<Core>) -> Vec<Step> {
        let views = views(core);
        let wanted = wanted(&core.view());
        let now = core.now();
        let mut demand = core.demand().clone();
        demand.set_peer_rates(core.remote_demand());
        let steps = core.cell.with(|cell| {
            let plan = PlanInput {
                ledgers: cell.engines(),
                views: &views,
                desired: &wanted,
                demand: &demand,
                load_limit: self.loads(core, cell),
            };
            self.policy.plan(plan, now)
        });
        let loads = steps.iter().filter(|s| matches!(s, Step::Load { .. }));
        self.store -= loads.count() as f64;
        steps
    }
}

fn engine_entries<R>(
    core: &Arc<Core>,
    one: impl Fn(&Upstream, &Entry) -> Option<R>,
) -> BTreeMap<Upstream, R> {
    let directory = core.directory.read().expect("no holder panics");
    let engines = directory
        .entries
        .iter()
        .filter(|(_, e)| e.kind == InstanceKind::Engine);
    engines
        .filter_map(|(n, e)| Some((n.clone(), one(n, e)?)))
        .collect()
}

fn reports(core: &Arc<Core>) -> BTreeMap<Upstream, EngineReport> {
    let view = core.view();
    engine_entries(core, |name, entry| {
        let mut report = entry.report.clone()?;
        report.leaving |= view.drained.contains(name.as_str());
        Some(report)
    })
}

fn views(core: &Arc<Core>) -> BTreeMap<Upstream, EngineView> {
    let now = core.now();
    let capacity = core.settings.engine_rate;
    engine_entries(core, |_, entry| {
        Some(EngineView {
            centre: entry.centre.clone(),
            capacity,
            alive: entry.heard.is_some_and(|at| now.since(at) < SILENT),
        })
    })
}

/// What some organisation may call.
fn wanted(view: &View) -> DesiredItems {
    let models = view.used_models();
    let adapters = view.used_adapters();
    let mut wants = Vec::new();
    for spec in view
        .fleet
        .models
        .iter()
        .filter(|m| models.contains(m.name.as_str()))
    {
        wants.push(DesiredItem {
            item: Item::base(&spec.name, spec.version),
            size: spec.size.plus(spec.kv.0),
        });
    }
    for spec in view
        .fleet
        .adapters
        .iter()
        .filter(|a| adapters.contains(a.name.as_str()))
    {
        let Some(base) = view.fleet.model(spec.base.as_str()) else {
            continue;
        };
        wants.push(DesiredItem {
            item: Item::base(&base.name, base.version).with_adapter(&spec.name),
            size: spec.size,
        });
    }
    DesiredItems::from_items(wants)
}

//! Owns the cell while this daemon holds its lease: renews the lease, plans and sends orders.

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

const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// The time after the start during which this daemon challenges no lease holder, because its
/// membership is still incomplete.
const CHALLENGE_DELAY: Millis = Millis(4_000);

const PLAN_INTERVAL_MS: u64 = 300;

/// The reciprocal of the maximum fraction of a core's time that planning takes.
const PLAN_TIME_DIVISOR: u64 = 50;

/// The time without a report after which an engine gets no loads.
const REPORT_TIMEOUT_MS: u64 = 2_000;

/// The actor that acquires the cell's lease and acts as its owner.
pub(crate) struct OwnerActor {
    core: Arc<Core>,
    engines: Rc<dyn Engines>,
    ownership: Rc<RefCell<Ownership>>,
}

/// The state with which this daemon acquires the lease and acts as owner.
struct Ownership {
    keeper: Keeper,
    dispatcher: Dispatcher,
    policy: Box<dyn Policy>,
    last_plan: Millis,
    /// The interval until the next plan in milliseconds, which bounds the planning time.
    plan_interval: u64,
    load_credit: f64,
    credited: Millis,
    is_owner: bool,
}

impl OwnerActor {
    pub(crate) fn new(core: &Arc<Core>, engines: Rc<dyn Engines>) -> Self {
        let settings = PlanSettings {
            move_weight: core.settings.move_weight,
            ..PlanSettings::default()
        };
        let ownership = Ownership {
            keeper: Keeper::new(core.writer, core.settings.instance.clone()),
            dispatcher: Dispatcher::default(),
            policy: Box::new(Planner::new(settings)),
            last_plan: Millis(0),
            plan_interval: PLAN_INTERVAL_MS,
            load_credit: 0.0,
            credited: core.now(),
            is_owner: false,
        };
        Self {
            core: Arc::clone(core),
            engines,
            ownership: Rc::new(RefCell::new(ownership)),
        }
    }
}

impl Actor for OwnerActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(ROUND_INTERVAL, |this, ctx| {
            let bodies = this.round();
            for body in bodies {
                let append = append(Arc::clone(&this.core), Rc::clone(&this.ownership), body);
                ctx.spawn(append.into_actor(this));
            }
            this.send_orders(ctx);
        });
    }
}

impl OwnerActor {
    /// Runs one round and returns the records to append.
    fn round(&self) -> Vec<CellBody> {
        let core = &self.core;
        if !core.cell.is_caught_up() || core.cell.halt().is_some() {
            return Vec::new();
        }
        let mut ownership = self.ownership.borrow_mut();
        let mut bodies: Vec<CellBody> = ownership
            .step_lease(core)
            .map(CellBody::Lease)
            .into_iter()
            .collect();
        let fence = core.cell.with(|c| c.lease().fence_of(core.writer));
        ownership.set_owner(fence.is_some());
        ownership.dispatcher.set_fence(fence);
        if fence.is_none() || core.is_leaving() {
            return bodies;
        }
        let reports = reports(core);
        let now = core.now();
        let Ownership { dispatcher, .. } = &mut *ownership;
        bodies.extend(
            core.cell
                .with(|cell| dispatcher.records(cell, &reports, now)),
        );
        if now.since(ownership.last_plan) >= ownership.plan_interval {
            ownership.last_plan = now;
            let started = Instant::now();
            let steps = ownership.plan(core);
            let took = started.elapsed().as_millis() as u64;
            ownership.plan_interval = PLAN_INTERVAL_MS.max(took * PLAN_TIME_DIVISOR);
            bodies.extend(ownership.dispatcher.steps(&steps));
        }
        bodies
    }

    fn send_orders(&self, ctx: &mut Context<Self>) {
        let orders = self.ownership.borrow_mut().dispatcher.take_orders();
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

/// Appends a record and passes its verdict to the lease keeper or the dispatcher.
async fn append(core: Arc<Core>, ownership: Rc<RefCell<Ownership>>, body: CellBody) {
    let priority = match body {
        CellBody::Lease(_) => Priority::Lease,
        _ => Priority::Order,
    };
    let pending = core.cell.submit(priority, body.clone());
    let Ok(done) = pending.done.await else {
        return;
    };
    let now = core.now();
    let mut ownership = ownership.borrow_mut();
    match done.verdict {
        CellVerdict::Lease(verdict) => {
            if matches!(verdict, LeaseVerdict::Challenged(_)) {
                emit(LogEvent::LeaseChallenged, core.cell.stream().as_str());
            }
            ownership.keeper.on_verdict(verdict, now);
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
            let dispatcher = &mut ownership.dispatcher;
            core.cell
                .with(|cell| dispatcher.on_verdict(&body, verdict, cell, now));
        }
    }
}

impl Ownership {
    fn step_lease(&mut self, core: &Arc<Core>) -> Option<shaleline_lease::LeaseBody> {
        let preferred = core.is_owner_of(core.cell.stream().as_str());
        let free = core.cell.with(|c| c.lease().holder().is_none());
        let preferred = preferred && (free || core.now() >= CHALLENGE_DELAY);
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

    fn set_owner(&mut self, is_owner: bool) {
        if is_owner != self.is_owner {
            let event = if is_owner {
                LogEvent::LeaseTaken
            } else {
                LogEvent::LeaseLost
            };
            emit(event, "cell");
            self.is_owner = is_owner;
            self.load_credit = 0.0;
        }
    }

    /// Returns the number of loads that the weight store allows now.
    fn load_limit(&mut self, core: &Arc<Core>, cell: &CellMachine) -> usize {
        let now = core.now();
        let gained = now.since(self.credited) as f64 / 1_000.0 * core.settings.store_rate;
        self.credited = now;
        self.load_credit = (self.load_credit + gained).min(core.settings.store_rate.max(1.0));
        let available = core
            .settings
            .store_concurrency
            .saturating_sub(cell.loading());
        available.min(self.load_credit as usize)
    }

    fn plan(&mut self, core: &Arc<Core>) -> Vec<Step> {
        let views = views(core);
        let desired = desired_items(&core.view());
        let now = core.now();
        let mut demand = core.demand().clone();
        demand.set_peer_rates(core.remote_demand());
        let steps = core.cell.with(|cell| {
            let plan = PlanInput {
                ledgers: cell.engines(),
                views: &views,
                desired: &desired,
                demand: &demand,
                load_limit: self.load_limit(core, cell),
            };
            self.policy.plan(plan, now)
        });
        let loads = steps.iter().filter(|s| matches!(s, Step::Load { .. }));
        self.load_credit -= loads.count() as f64;
        steps
    }
}

fn engine_entries<R>(
    core: &Arc<Core>,
    convert: impl Fn(&Upstream, &Entry) -> Option<R>,
) -> BTreeMap<Upstream, R> {
    let directory = core.directory.read().expect("no holder panics");
    let engines = directory
        .entries
        .iter()
        .filter(|(_, e)| e.kind == InstanceKind::Engine);
    engines
        .filter_map(|(n, e)| Some((n.clone(), convert(n, e)?)))
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
            alive: entry
                .reported
                .is_some_and(|at| now.since(at) < REPORT_TIMEOUT_MS),
        })
    })
}

/// Returns the items that at least one organisation may use.
fn desired_items(view: &View) -> DesiredItems {
    let models = view.used_models();
    let adapters = view.used_adapters();
    let mut items = Vec::new();
    for spec in view
        .fleet
        .models
        .iter()
        .filter(|m| models.contains(m.name.as_str()))
    {
        items.push(DesiredItem {
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
        items.push(DesiredItem {
            item: Item::base(&base.name, base.version).with_adapter(&spec.name),
            size: spec.size,
        });
    }
    DesiredItems::from_items(items)
}

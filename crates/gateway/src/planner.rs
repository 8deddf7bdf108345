//! Plans for the engines when it is this daemon's turn.

use crate::journal::emit;
use crate::orders::{await_completion, carry_out, query_engine};
use crate::planner_lease::{next_action, perform, release, should_release, Inherited};
use crate::request::ADAPTER_RETRY;
use crate::state::{EngineStart, Gateway};
use crate::tag_index::TagIndex;
use shaleline_fleet::{
    LoadWindow, Order, PlanNote, PlanView, Rates, ServicePlanners, Unmet, UnmetByKey, WarmupPhase,
};
use shaleline_types::{LogEvent, Millis, Service, Upstream};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

/// How often the claim is looked at.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The pause between two looks at an engine that somebody else gave an order to; each
/// costs as much as a health check.
const QUERY_PAUSE: Duration = Duration::from_millis(700);

/// An adapter that somebody waits for counts as asked for so long.
const WANTED_MS: u64 = 2_000;

/// Where somebody waits for an adapter, plans follow each other at this pace.
const WANTED_PLAN_MS: u64 = 40;

/// How often a planner says what it plans by.
const KNOWLEDGE_LOG_MS: u64 = 2_000;

/// What an adapter that somebody waits for counts at least, in milliseconds a second.
const WANTED_RATE: f32 = 1.0;

/// Who is at work on which engine.
#[derive(Default)]
pub(crate) struct PlannerState {
    /// Engines that are asked or ordered something; one that starts again is another.
    engines: RefCell<HashSet<EngineStart>>,
    pub(crate) window: RefCell<Option<LoadWindow>>,
    planners: RefCell<ServicePlanners>,
    tags: RefCell<BTreeMap<Service, TagIndex>>,
    /// The fencing token of the claim that orders were last given under.
    last_fence: Cell<Option<u64>>,
    /// Engines that a planner before ordered a moment ago, and until when they are left
    /// alone.
    resting: RefCell<BTreeMap<Upstream, Millis>>,
    /// When this daemon took over from a planner that had died.
    last_takeover: Cell<Option<Millis>>,
    /// Until when copies may be spread before the first traffic: begun, and given back.
    initial_spread: Cell<Option<(Millis, Millis)>>,
    /// Whether it was this daemon's turn when that was looked at last.
    leading: Cell<bool>,
    /// When this daemon planned last.
    last_plan: Cell<Millis>,
    /// When it last said what it plans by.
    last_log: Cell<Millis>,
}

impl PlannerState {
    /// Notes that an engine is asked or ordered something; false where it already was.
    pub(crate) fn begin(&self, start: &EngineStart) -> bool {
        self.engines.borrow_mut().insert(start.clone())
    }

    /// Notes that it no longer is.
    pub(crate) fn end(&self, start: &EngineStart) {
        self.engines.borrow_mut().remove(start);
    }

    fn is_busy(&self, start: &EngineStart) -> bool {
        self.engines.borrow().contains(start)
    }

    /// Whether a planner that died was succeeded a moment ago.
    fn recently_took_over(&self, now: Millis) -> bool {
        let at = self.last_takeover.get();
        at.is_some_and(|at| now.since(at) < TAKEOVER_MS)
    }

    /// What may be done before the first traffic.
    fn lead_time(&self, quiet: bool, now: Millis) -> WarmupPhase {
        match self.initial_spread.get() {
            Some((begin, _)) if quiet && now < begin => WarmupPhase::Spread,
            Some((_, end)) if now < end => WarmupPhase::Restore,
            _ => WarmupPhase::Over,
        }
    }
}

/// What ended a planner may end its successor within so long.
const TAKEOVER_MS: u64 = 3_000;

/// Copies are spread by the first planner of all: loads begin within this time, so that
/// those of 9 s end about when the traffic starts, 10 s after the instances.
const SPREAD_BEGIN_MS: u64 = 2_500;

/// Engines have back what they held at first after so long.
const SPREAD_END_MS: u64 = 14_000;

/// Runs for as long as the process lives.
pub(crate) async fn run(gw: Rc<Gateway>) {
    let state = Rc::new(PlannerState::default());
    loop {
        let woken = tokio::select! {
            () = tokio::time::sleep(LEASE_CHECK_INTERVAL) => false,
            () = gw.plan_now.notified() => true,
        };
        if gw.stopping.get() {
            release(&gw, &state, "stopping").await;
            return;
        }
        if should_release(&gw) {
            release(&gw, &state, "hears-too-few").await;
        }
        if let Some(action) = next_action(&gw) {
            let (gw, asked) = (Rc::clone(&gw), gw.now());
            actix_rt::spawn(async move { perform(&gw, action, asked).await });
        }
        let Some(orders) = step(&gw, &state, woken) else {
            continue;
        };
        query_unconfirmed(&gw, &state);
        for (service, order) in orders {
            execute(&gw, &state, service, order);
        }
    }
}

/// Plans where it is this daemon's turn: the orders to give now, none where nothing was planned.
pub(crate) fn step(
    gw: &Gateway,
    state: &PlannerState,
    woken: bool,
) -> Option<Vec<(Service, Order)>> {
    let now = gw.now();
    let fence = gw.planner_lease.borrow().fence(now);
    if fence.is_some() != state.leading.replace(fence.is_some()) {
        let event = match fence {
            Some(_) => LogEvent::LeaseTaken,
            None => LogEvent::LeaseLost,
        };
        emit(event, &format!("fence={}", fence.unwrap_or(0)));
        if fence.is_some() {
            on_lease_acquired(gw, state, fence);
        }
    }
    if fence.is_some() && now.since(state.last_log.get()) >= KNOWLEDGE_LOG_MS {
        state.last_log.set(now);
        emit(
            LogEvent::PlannerKnows,
            &gw.mesh.borrow_mut().log_detail(now),
        );
    }
    let since = now.since(state.last_plan.get());
    let due = since >= gw.settings.policy.plan_interval.0;
    let wanted = (woken || !gw.wanted_adapters.borrow().is_empty()) && since >= WANTED_PLAN_MS;
    let fence = fence.filter(|_| due || wanted)?;
    state.last_plan.set(now);
    Some(plan(gw, state, fence, now))
}

/// Gives an order, unless its engine is still at work on another.
fn execute(gw: &Rc<Gateway>, state: &Rc<PlannerState>, service: Service, order: Order) {
    let start = gw.start_of(&order.engine);
    if !state.begin(&start) {
        return;
    }
    let (gw, state) = (Rc::clone(gw), Rc::clone(state));
    actix_rt::spawn(async move {
        let accepted = carry_out(&gw, &state, &service, &order).await;
        // An adapter on its way does not keep the engine from the next order.
        let more = accepted && order.adapter.is_some();
        if more {
            state.end(&start);
            gw.plan_now.notify_one();
        }
        if accepted {
            await_completion(&gw, &service, &order).await;
        }
        if !more {
            state.end(&start);
        }
        gw.plan_now.notify_one();
    });
}

/// Begins where the planner before ended. One that stopped has said what it ordered last.
/// One that fell silent may have used up the window until its claim lapsed, which is as long
/// ago as an engine rests. The first of all has none before it.
fn on_lease_acquired(gw: &Gateway, state: &PlannerState, fence: Option<u64>) {
    if fence == state.last_fence.replace(fence) {
        // The claim had lapsed for a moment, and nobody else held it meanwhile.
        return;
    }
    gw.announced.borrow_mut().clear();
    let bounds = gw.bounds.borrow();
    let mut window = LoadWindow::new(bounds.load_window, bounds.load_over);
    let now = gw.now();
    if fence == Some(FIRST_FENCE) {
        let until = |ms| now.plus(ms);
        let lead = (until(SPREAD_BEGIN_MS), until(SPREAD_END_MS));
        state.initial_spread.set(Some(lead));
    } else if let Some(inherited) = inherited(gw, fence) {
        window = window.resume(&inherited.last, inherited.read);
        let mut ordered = gw.last_orders.borrow_mut();
        ordered.inherit(&inherited.last, inherited.read);
        let resting = ordered.cooldowns(gw.planner_lease.borrow().cooldown(), now);
        let detail = format!(
            "resting={} loads={}",
            resting.len(),
            inherited.last.loads.len()
        );
        emit(LogEvent::LeaseInherited, &detail);
        *state.resting.borrow_mut() = resting;
    } else {
        state.last_takeover.set(Some(now));
        let lapsed = gw.planner_lease.borrow().cooldown();
        window.block(now.plus(window.span().0.saturating_sub(lapsed.0)));
    }
    *state.window.borrow_mut() = Some(window);
}

/// What the planner before left behind, where this claim came right after its release.
fn inherited(gw: &Gateway, fence: Option<u64>) -> Option<Inherited> {
    let inherited = gw.inherited.borrow_mut().take()?;
    // A claim's token is one more than its offset, which is the end that it was appended at.
    (fence == Some(inherited.end + 1)).then_some(inherited)
}

/// The fencing token of the first claim of all.
const FIRST_FENCE: u64 = 1;

/// What all callers ask for of the models of a service, and what they asked for in vain; this
/// daemon's own where nothing else is known.
fn demand(gw: &Gateway, tags: &TagIndex, now: Millis) -> (Rates, UnmetByKey) {
    let mesh = gw.mesh.borrow();
    let known = mesh.total_demand(now);
    let rates = known.map(|(asked, _)| tags.resolve(&asked.rates));
    let mut rates = rates.unwrap_or_else(|| gw.demand.borrow_mut().rates(now));
    let unmet = known.map(|(asked, age)| {
        let age = u32::try_from(age.0).unwrap_or(u32::MAX);
        let named = tags.resolve(&asked.unmet).into_iter();
        named.map(|(key, u)| (key, u.aged(age))).collect()
    });
    let mut unmet: UnmetByKey = unmet.unwrap_or_default();
    let mut wants = gw.wanted_adapters.borrow_mut();
    wants.retain(|_, at| now.since(*at) < WANTED_MS);
    for ((model, adapter), at) in wants.iter() {
        let key = (model.clone(), Some(adapter.clone()));
        let rate = rates.entry(key.clone()).or_default();
        rate.work = rate.work.max(WANTED_RATE);
        let age = now.since(*at) as u32;
        // Whoever waits for it is told to come back, or waits on, for so long.
        let last_retry = (ADAPTER_RETRY.0 as u32).saturating_sub(age);
        let wanted = Unmet {
            waited: age,
            last_age: age,
            attempts: 1,
            next_retry: last_retry,
            last_retry,
        };
        let known = unmet.entry(key);
        known.and_modify(|u| u.add(wanted)).or_insert(wanted);
    }
    (rates, unmet)
}

fn plan(gw: &Gateway, state: &PlannerState, fence: u64, now: Millis) -> Vec<(Service, Order)> {
    let mut orders = Vec::new();
    let Some(table) = gw.table() else {
        return orders;
    };
    let mut planners = state.planners.borrow_mut();
    let mut notes = Vec::new();
    state.resting.borrow_mut().retain(|_, until| *until > now);
    let resting = state.resting.borrow();
    for service in table.services.keys() {
        let Some(catalog) = table.catalog(service) else {
            continue;
        };
        let mut fleets = gw.fleets.borrow_mut();
        let Some(fleet) = fleets.get_mut(service) else {
            continue;
        };
        let mut tags = state.tags.borrow_mut();
        let tags = tags.entry(service.clone()).or_default();
        tags.update(table.version, catalog);
        let (rates, unmet) = demand(gw, tags, now);
        fleet.prune(now);
        let mut window = state.window.borrow_mut();
        let Some(window) = window.as_mut() else {
            continue;
        };
        let view = PlanView {
            catalog,
            fleet,
            rates: &rates,
            unmet: &unmet,
            fence,
            holder: gw.me.instance.as_str(),
            warmup: state.lead_time(rates.is_empty(), now),
            cooldowns: &resting,
            after_failure: state.recently_took_over(now),
        };
        let (planned, reasons) = planners.plan(service, &view, window, now);
        orders.extend(planned.into_iter().map(|o| (service.clone(), o)));
        notes.extend(reasons);
    }
    // What is planned for an engine that is still at work is planned again until it is ordered.
    notes.retain(|n| n.engine().is_none_or(|e| !state.is_busy(&gw.start_of(e))));
    log_notes(gw, &notes);
    orders
}

/// Logs what a plan decided, and counts how long models were away.
fn log_notes(gw: &Gateway, notes: &[PlanNote]) {
    for note in notes {
        let event = match note {
            PlanNote::Move { .. } => LogEvent::MovePlanned,
            PlanNote::ModelAway { .. } => LogEvent::ModelAway,
            PlanNote::AdapterAway { .. } => LogEvent::AdapterAway,
            PlanNote::ModelBack { away, .. } => {
                gw.metrics.note_unserved(away.0);
                LogEvent::ModelBack
            }
        };
        emit(event, &note.to_string());
    }
}

/// The engines of which it is not known for certain what they hold.
pub(crate) fn unconfirmed(gw: &Gateway) -> Vec<Upstream> {
    let fleets = gw.fleets.borrow();
    let names = fleets.values().flat_map(|f| f.unconfirmed().cloned());
    names.collect()
}

/// Asks engines what they hold, where that is not known for certain.
fn query_unconfirmed(gw: &Rc<Gateway>, state: &Rc<PlannerState>) {
    for name in unconfirmed(gw) {
        let start = gw.start_of(&name);
        if state.begin(&start) {
            let (gw, state) = (Rc::clone(gw), Rc::clone(state));
            actix_rt::spawn(async move {
                query_engine(&gw, &name).await;
                tokio::time::sleep(QUERY_PAUSE).await;
                state.end(&start);
            });
        }
    }
}

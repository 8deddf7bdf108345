//! Plans for the engines while this daemon holds the planner lease.

use crate::journal::emit;
use crate::orders::{await_completion, carry_out, query_engine};
use crate::planner_lease::{
    next_action, perform, release, release_at_stop, should_release, Inherited,
};
use crate::state::{EngineStart, Gateway};
use crate::tag_index::TagIndex;
use shaleline_fleet::{
    LoadWindow, Order, PlanNote, PlanView, Rates, ServicePlanners, UnmetByKey, WarmupPhase,
};
use shaleline_types::{LogEvent, Millis, Position, Service, Upstream};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

/// The interval at which the lease is checked.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The pause between two queries of an engine that another daemon gave an order to; each costs as
/// much as a health check.
const QUERY_PAUSE: Duration = Duration::from_millis(700);

/// The same if its last report may lack the effect of an order: what it reports is this old.
const INCOMPLETE_PAUSE: Duration = Duration::from_millis(200);

/// The interval between plans while a request waits for an adapter, in milliseconds.
const WANTED_PLAN_MS: u64 = 40;

/// The interval at which a planner logs the knowledge that it plans by.
const KNOWLEDGE_LOG_MS: u64 = 2_000;

/// The lower limit of the demand counted for an adapter that a request waits for, in milliseconds a
/// second.
const WANTED_RATE: f32 = 1.0;

/// The state of the planner, and the engines that are being queried or ordered.
#[derive(Default)]
pub(crate) struct PlannerState {
    /// Engines that are being queried or ordered; another incarnation of an engine is a separate
    /// one.
    engines: RefCell<HashSet<EngineStart>>,
    pub(crate) window: RefCell<Option<LoadWindow>>,
    planners: RefCell<ServicePlanners>,
    tags: RefCell<BTreeMap<Service, TagIndex>>,
    /// The fencing token of the lease under which orders were last given.
    last_fence: Cell<Option<u64>>,
    /// Engines to which the previous planner recently gave an order, and until when they get no new
    /// one.
    cooldowns: RefCell<BTreeMap<Upstream, Millis>>,
    /// When this daemon took over from a planner that had failed.
    last_takeover: Cell<Option<Millis>>,
    /// Until when copies may be spread before the first traffic: the end of the time in which loads
    /// begin, and of the time in which engines restore what they held.
    initial_spread: Cell<Option<(Millis, Millis)>>,
    /// Whether this daemon held the lease at the last check.
    was_holder: Cell<bool>,
    /// When this daemon planned last.
    last_plan: Cell<Millis>,
    /// When it last logged the knowledge that it plans by.
    last_log: Cell<Millis>,
}

impl PlannerState {
    /// Marks an engine as being queried or ordered. Returns false where it already was.
    pub(crate) fn begin(&self, start: &EngineStart) -> bool {
        self.engines.borrow_mut().insert(start.clone())
    }

    /// Unmarks the engine.
    pub(crate) fn end(&self, start: &EngineStart) {
        self.engines.borrow_mut().remove(start);
    }

    fn is_busy(&self, start: &EngineStart) -> bool {
        self.engines.borrow().contains(start)
    }

    /// Whether some engines get no orders yet, because of those of the previous planner.
    pub(crate) fn has_cooldowns(&self, now: Millis) -> bool {
        self.cooldowns.borrow().values().any(|until| *until > now)
    }

    /// Whether this daemon recently took over from a planner that failed.
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

/// The time after a takeover within which the cause of the previous planner's failure may make this
/// one fail too.
const TAKEOVER_MS: u64 = 3_000;

/// The time within which the first planner of all begins to spread copies, so that loads of 9 s end
/// at about the start of the traffic, 10 s after that of the instances.
const SPREAD_BEGIN_MS: u64 = 2_500;

/// The time after which engines have restored what they held at the start.
const SPREAD_END_MS: u64 = 14_000;

/// Runs for as long as the process runs.
pub(crate) async fn run(gw: Rc<Gateway>) {
    let state = Rc::new(PlannerState::default());
    loop {
        let woken = tokio::select! {
            () = tokio::time::sleep(LEASE_CHECK_INTERVAL) => false,
            () = gw.plan_now.notified() => true,
        };
        if gw.stopping.get() {
            release_at_stop(&gw, &state).await;
            return;
        }
        if should_release(&gw) {
            release(&gw, &state, "hears-too-few").await;
        }
        if let Some(action) = next_action(&gw) {
            let (gw, requested) = (Rc::clone(&gw), gw.now());
            actix_rt::spawn(async move { perform(&gw, action, requested).await });
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

/// Plans if this daemon holds the lease. Returns the orders to give now, none where nothing was
/// planned.
pub(crate) fn step(
    gw: &Gateway,
    state: &PlannerState,
    woken: bool,
) -> Option<Vec<(Service, Order)>> {
    let now = gw.now();
    gw.watch_planner();
    let fence = gw.planner_lease.borrow().fence(now);
    if fence.is_some() != state.was_holder.replace(fence.is_some()) {
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
            &gw.membership
                .borrow_mut()
                .log_detail(gw.settings.centres, now),
        );
    }
    let since = now.since(state.last_plan.get());
    let due = since >= gw.settings.policy.plan_interval.0;
    let wanted = (woken || !gw.unmet_adapters.borrow().is_empty()) && since >= WANTED_PLAN_MS;
    let token = gw.planner_lease.borrow().order_token(now);
    let token = token.filter(|_| due || wanted)?;
    state.last_plan.set(now);
    Some(plan(gw, state, token, now))
}

/// Gives an order, unless its engine is still carrying out another.
fn execute(gw: &Rc<Gateway>, state: &Rc<PlannerState>, service: Service, order: Order) {
    let start = gw.start_of(&order.engine);
    if !state.begin(&start) {
        return;
    }
    let (gw, state) = (Rc::clone(gw), Rc::clone(state));
    actix_rt::spawn(async move {
        let accepted = carry_out(&gw, &state, &service, &order).await;
        // The load of an adapter does not keep the engine from the next order.
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

/// Starts from the state of the previous planner. One that stopped has stored its last orders. One
/// that fell silent may have used up the load window until its lease lapsed. The first planner of
/// all has no predecessor.
fn on_lease_acquired(gw: &Gateway, state: &PlannerState, fence: Option<u64>) {
    if fence == state.last_fence.replace(fence) {
        // The lease had lapsed briefly, and no other daemon held it meanwhile.
        return;
    }
    gw.announced.borrow_mut().clear();
    let bounds = gw.bounds.borrow();
    let mut window = LoadWindow::new(bounds.load_window, bounds.load_over);
    let now = gw.now();
    if fence.is_some_and(|f| is_first(gw, f)) {
        let until = |ms| now.plus(ms);
        let lead = (until(SPREAD_BEGIN_MS), until(SPREAD_END_MS));
        state.initial_spread.set(Some(lead));
    } else if let Some(inherited) = inherited(gw, fence) {
        window = window.resume(&inherited.last, inherited.read);
        let mut ordered = gw.last_orders.borrow_mut();
        ordered.inherit(&inherited.last, inherited.read);
        let cooldowns = ordered.cooldowns(gw.planner_lease.borrow().settings().cooldown(), now);
        let detail = format!(
            "resting={} loads={}",
            cooldowns.len(),
            inherited.last.loads.len()
        );
        emit(LogEvent::LeaseInherited, &detail);
        *state.cooldowns.borrow_mut() = cooldowns;
    } else {
        state.last_takeover.set(Some(now));
        let lapsed = gw.planner_lease.borrow().idle_time(now);
        window.block(now.plus(window.span().0.saturating_sub(lapsed.0)));
    }
    *state.window.borrow_mut() = Some(window);
}

/// The state that the previous planner left, where this lease directly follows its release.
fn inherited(gw: &Gateway, fence: Option<u64>) -> Option<Inherited> {
    let inherited = gw.inherited.borrow_mut().take()?;
    // The fencing token of a lease is one more than its offset, which is the end at which it was
    // appended.
    (fence == Some(inherited.end + 1)).then_some(inherited)
}

/// Whether a fencing token is that of the first lease of all. The token of a lease is one more than
/// its position.
fn is_first(gw: &Gateway, fence: u64) -> bool {
    let position = Position::from_u64(fence - 1);
    position.offset() == 0 && !gw.era.has_ended()
}

/// The demand of all callers for the models of a service, and the unmet demand; this daemon's own
/// demand where nothing else is known.
fn demand(gw: &Gateway, tags: &TagIndex, now: Millis) -> (Rates, UnmetByKey) {
    let membership = gw.membership.borrow();
    let known = membership.total_demand(now);
    let rates = known.map(|(demand, _)| tags.resolve(&demand.rates));
    let mut rates = rates.unwrap_or_else(|| gw.demand.borrow_mut().rates(now));
    let unmet = known.map(|(demand, age)| {
        let age = u32::try_from(age.0).unwrap_or(u32::MAX);
        let named = tags.resolve(&demand.unmet).into_iter();
        named.map(|(key, u)| (key, u.aged(age))).collect()
    });
    let mut unmet: UnmetByKey = unmet.unwrap_or_default();
    let mut wanted = gw.unmet_adapters.borrow_mut();
    wanted.prune(now);
    for ((model, adapter), reported, is_recent) in wanted.unmet(now) {
        let key = (model.clone(), Some(adapter.clone()));
        if is_recent {
            let rate = rates.entry(key.clone()).or_default();
            rate.work = rate.work.max(WANTED_RATE);
        }
        let known = unmet.entry(key);
        known.and_modify(|u| u.add(reported)).or_insert(reported);
    }
    (rates, unmet)
}

fn plan(gw: &Gateway, state: &PlannerState, token: u64, now: Millis) -> Vec<(Service, Order)> {
    let mut orders = Vec::new();
    let Some(table) = gw.table() else {
        return orders;
    };
    let mut planners = state.planners.borrow_mut();
    let mut notes = Vec::new();
    state.cooldowns.borrow_mut().retain(|_, until| *until > now);
    let cooldowns = state.cooldowns.borrow();
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
        if gw.planner_lease.borrow().settings().fencing {
            fleet.supersede(token);
        }
        let mut window = state.window.borrow_mut();
        let Some(window) = window.as_mut() else {
            continue;
        };
        let view = PlanView {
            catalog,
            fleet,
            rates: &rates,
            unmet: &unmet,
            fence: token,
            holder: gw.me.instance.as_str(),
            warmup: state.lead_time(rates.is_empty(), now),
            cooldowns: &cooldowns,
            after_failure: state.recently_took_over(now),
        };
        let (planned, reasons) = planners.plan(service, &view, window, now);
        orders.extend(planned.into_iter().map(|o| (service.clone(), o)));
        notes.extend(reasons);
    }
    // What is planned for an engine that is still busy is planned again until it is ordered.
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
                gw.metrics.record_unserved(away.0);
                LogEvent::ModelBack
            }
        };
        emit(event, &note.to_string());
    }
}

/// The engines for which it is not confirmed what they hold.
pub(crate) fn unconfirmed(gw: &Gateway) -> Vec<Upstream> {
    let now = gw.now();
    let fleets = gw.fleets.borrow();
    let names = fleets.values().flat_map(|f| f.unconfirmed(now).cloned());
    names.collect()
}

/// The pause until an engine may be queried again.
pub(crate) fn query_pause(gw: &Gateway, name: &Upstream) -> Duration {
    let fleets = gw.fleets.borrow();
    let engine = fleets.values().find_map(|f| f.get(name));
    match engine.is_some_and(|e| e.awaits_report()) {
        true => INCOMPLETE_PAUSE,
        false => QUERY_PAUSE,
    }
}

/// Queries the engines for which it is not confirmed what they hold.
fn query_unconfirmed(gw: &Rc<Gateway>, state: &Rc<PlannerState>) {
    for name in unconfirmed(gw) {
        let start = gw.start_of(&name);
        if state.begin(&start) {
            let (gw, state) = (Rc::clone(gw), Rc::clone(state));
            actix_rt::spawn(async move {
                query_engine(&gw, &name).await;
                tokio::time::sleep(query_pause(&gw, &name)).await;
                state.end(&start);
            });
        }
    }
}

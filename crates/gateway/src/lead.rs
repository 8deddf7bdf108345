//! Holds the planner's claim when it is this daemon's turn, and carries out the plan.

use crate::attempt::keep_of;
use crate::journal::emit;
use crate::message::{News, Tag};
use crate::state::Gateway;
use crate::store::{Batch, StoreError, Topic};
use crate::Call;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use shaleline_fleet::{
    Catalog, ClaimAction, ClaimView, LoadWindow, Order, OrderKind, OrderReply, PlanSettings,
    PlanView, Planner, Rates,
};
use shaleline_types::{LogEvent, Millis, Service, Upstream};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// How often the claim is looked at.
const TICK: Duration = Duration::from_millis(100);

/// The key of the claim.
const KEY: &str = "planner";

/// How long an order or a report may take; both are small.
const CALL_LIMIT: Duration = Duration::from_millis(300);

/// The time that the other daemons have to learn that a model is about to be dropped.
const RETIRE_LEAD: Duration = Duration::from_millis(20);

/// An adapter is there after some milliseconds, and what an engine reports is a hundred
/// old; the first look comes after so long.
const ADAPTER_LOOK: Millis = Millis(130);

/// The pause between two looks at an engine that is carrying an order out.
const LOOK_AGAIN: Duration = Duration::from_millis(150);

/// The pause between two looks at an engine that somebody else gave an order to; each
/// costs as much as a health check.
const LOOK_PAUSE: Duration = Duration::from_millis(700);

/// So many looks after the expected time, then the engine's own entry has to do.
const LOOKS: usize = 6;

/// How often an order without an answer is repeated. Its condition makes that harmless.
const REPEATS: usize = 3;

/// An adapter that somebody waits for counts as asked for so long.
const WANT_MS: u64 = 2_000;

/// Where somebody waits for an adapter, plans follow each other at this pace.
const WANT_PLAN_MS: u64 = 40;

/// What an adapter that somebody waits for counts at least, in milliseconds a second.
const WANT_RATE: f64 = 1.0;

/// What the topic holds.
#[derive(Debug, Serialize, Deserialize)]
struct ClaimRecord {
    holder: String,
    released: bool,
}

/// Who is at work on which engine.
#[derive(Default)]
struct Working {
    engines: RefCell<BTreeSet<Upstream>>,
    window: RefCell<Option<LoadWindow>>,
}

/// Runs for as long as the process lives.
pub(crate) async fn run(gw: Rc<Gateway>) {
    let working = Rc::new(Working::default());
    let mut planned = Millis(0);
    let mut leading = false;
    loop {
        let woken = tokio::select! {
            () = tokio::time::sleep(TICK) => false,
            () = gw.plan_now.notified() => true,
        };
        if gw.stopping.get() {
            release(&gw).await;
            return;
        }
        claim(&gw);
        let now = gw.now();
        let fence = gw.claim.borrow().fence(now);
        if fence.is_some() != leading {
            leading = fence.is_some();
            let event = if leading {
                LogEvent::LeaseTaken
            } else {
                LogEvent::LeaseLost
            };
            emit(event, &format!("fence={}", fence.unwrap_or(0)));
            if leading {
                begin_leading(&gw, &working, fence);
            }
        }
        let since = now.since(planned);
        let due = since >= gw.settings.policy.plan_every.0;
        let wanted = (woken || !gw.wants.borrow().is_empty()) && since >= WANT_PLAN_MS;
        if let (Some(fence), true) = (fence, due || wanted) {
            planned = now;
            plan(&gw, &working, fence, now);
        }
    }
}

/// A planner before may have used up the window; the first of all has none before it.
fn begin_leading(gw: &Gateway, working: &Working, fence: Option<u64>) {
    let bounds = gw.bounds.borrow();
    let mut window = LoadWindow::new(bounds.load_window, bounds.load_over);
    if fence != Some(FIRST_FENCE) {
        window.block(gw.now().plus(bounds.load_window.0));
    }
    *working.window.borrow_mut() = Some(window);
}

/// The fencing token of the first claim of all.
const FIRST_FENCE: u64 = 1;

/// Takes the next step of the claim, in a task of its own.
fn claim(gw: &Rc<Gateway>) {
    let now = gw.now();
    // Hubs know what is asked for.
    let hub = gw.mesh.borrow_mut().is_hub(now);
    let candidate = hub || gw.claim.borrow().is_holder();
    if !gw.settings.policy.plans || !candidate {
        return;
    }
    let Some(action) = gw.claim.borrow_mut().tick(now) else {
        return;
    };
    let gw = Rc::clone(gw);
    actix_rt::spawn(async move {
        match action {
            ClaimAction::Read => read(&gw, now).await,
            ClaimAction::Append { end, .. } => append(&gw, end, now).await,
        }
    });
}

async fn read(gw: &Gateway, started: Millis) {
    let newest = gw.store.newest(Topic::Planner).await;
    gw.metrics.count_store("planner", newest.is_ok());
    let mut claim = gw.claim.borrow_mut();
    match newest.as_ref().map(to_view) {
        Ok(view) => claim.on_read(&view, started, gw.now()),
        Err(_) => claim.on_failed(),
    }
}

fn to_view(batch: &Batch) -> ClaimView {
    let newest = batch.records.iter().find(|r| r.key == KEY);
    let value = newest.and_then(|r| r.value.as_deref());
    // A record that can't be understood is somebody's claim all the same.
    let record = value.map(|v| {
        serde_json::from_slice(v).unwrap_or(ClaimRecord {
            holder: "unknown".to_owned(),
            released: false,
        })
    });
    ClaimView {
        end: batch.next,
        released: record.as_ref().is_some_and(|r| r.released),
        holder: record.map(|r| r.holder),
    }
}

fn record(gw: &Gateway, released: bool) -> Vec<u8> {
    let record = ClaimRecord {
        holder: gw.holder(),
        released,
    };
    serde_json::to_vec(&record).expect("a string and a flag serialize")
}

async fn append(gw: &Gateway, end: u64, started: Millis) {
    let value = record(gw, false);
    let result = gw
        .store
        .append(Topic::Planner, KEY, &value, Some(end))
        .await;
    gw.metrics.count_store("planner", result.is_ok());
    let mut claim = gw.claim.borrow_mut();
    match result {
        Ok(offset) => claim.on_appended(offset, started),
        Err(StoreError::Moved(_)) => claim.on_moved(),
        Err(_) => claim.on_failed(),
    }
}

/// Gives the claim up, so that a successor need not wait until it lapses.
async fn release(gw: &Gateway) {
    let held = gw.claim.borrow().is_holder();
    gw.claim.borrow_mut().step_down();
    if held {
        let value = record(gw, true);
        // Without it the successor waits longer.
        let released = gw.store.append(Topic::Planner, KEY, &value, None).await;
        gw.metrics.count_store("planner", released.is_ok());
        gw.spread(&News::Released);
        emit(LogEvent::LeaseLost, "reason=stopping");
    }
}

/// What all callers ask for of these models; this daemon's own where nothing else is
/// known.
fn all_rates(gw: &Gateway, catalog: &Catalog, own: Rates, now: Millis) -> Rates {
    let mesh = gw.mesh.borrow();
    let Some(all) = mesh.rates(now) else {
        return own;
    };
    let mut rates = Rates::new();
    for (model, rule) in &catalog.models {
        let adapters = rule.adapters.iter().map(Some);
        for adapter in adapters.chain([None]) {
            if let Some(rate) = all.get(&Tag::of_model(model, adapter)) {
                rates.insert((model.clone(), adapter.cloned()), f64::from(*rate));
            }
        }
    }
    rates
}

fn rates(gw: &Gateway, catalog: &Catalog, now: Millis) -> Rates {
    let own = gw.demand.borrow_mut().rates(now);
    let mut rates = all_rates(gw, catalog, own, now);
    let mut wants = gw.wants.borrow_mut();
    wants.retain(|_, at| now.since(*at) < WANT_MS);
    for (model, adapter) in wants.keys() {
        let key = (model.clone(), Some(adapter.clone()));
        let rate = rates.entry(key).or_default();
        *rate = rate.max(WANT_RATE);
    }
    rates
}

fn plan(gw: &Rc<Gateway>, working: &Rc<Working>, fence: u64, now: Millis) {
    let Some(table) = gw.table() else {
        return;
    };
    let planner = Planner::new(PlanSettings::default());
    let mut orders = Vec::new();
    for service in table.services.keys() {
        let Some(catalog) = table.catalog(service) else {
            continue;
        };
        let mut fleets = gw.fleets.borrow_mut();
        let Some(fleet) = fleets.get_mut(service) else {
            continue;
        };
        let rates = rates(gw, catalog, now);
        fleet.prune(now);
        let mut window = working.window.borrow_mut();
        let Some(window) = window.as_mut() else {
            continue;
        };
        let view = PlanView {
            catalog,
            fleet,
            rates: &rates,
            fence,
            holder: gw.me.instance.as_str(),
        };
        for order in planner.plan(&view, window, now) {
            orders.push((service.clone(), order));
        }
    }
    look_again(gw, working);
    for (service, order) in orders {
        if working.engines.borrow_mut().insert(order.engine.clone()) {
            let (gw, working) = (Rc::clone(gw), Rc::clone(working));
            actix_rt::spawn(async move {
                let accepted = carry_out(&gw, &working, &service, &order).await;
                // An adapter on its way does not keep the engine from the next order.
                let more = accepted && order.adapter.is_some();
                if more {
                    working.engines.borrow_mut().remove(&order.engine);
                    gw.plan_now.notify_one();
                }
                if accepted {
                    watch(&gw, &service, &order).await;
                }
                if !more {
                    working.engines.borrow_mut().remove(&order.engine);
                }
                gw.plan_now.notify_one();
            });
        }
    }
}

/// Asks engines what they hold, where that is not known for certain.
fn look_again(gw: &Rc<Gateway>, working: &Rc<Working>) {
    let fleets = gw.fleets.borrow();
    let names: Vec<Upstream> = fleets
        .values()
        .flat_map(|f| f.unproven().cloned())
        .collect();
    drop(fleets);
    for name in names {
        if working.engines.borrow_mut().insert(name.clone()) {
            let (gw, working) = (Rc::clone(gw), Rc::clone(working));
            actix_rt::spawn(async move {
                look(&gw, &name).await;
                tokio::time::sleep(LOOK_PAUSE).await;
                working.engines.borrow_mut().remove(&name);
            });
        }
    }
}

impl Gateway {
    /// The name under which this daemon claims.
    fn holder(&self) -> String {
        format!("{}/{:016x}", self.me.instance, self.me.life)
    }

    /// Whether an order may leave now.
    fn may_order(&self, order: &Order) -> bool {
        self.claim.borrow().fence(self.now()) == Some(order.fence) && !self.stopping.get()
    }
}

/// Gives an order. Returns whether the engine is carrying it out.
async fn carry_out(gw: &Rc<Gateway>, working: &Working, service: &Service, order: &Order) -> bool {
    if order.kind == OrderKind::Unload && order.adapter.is_none() {
        gw.with_fleet(&order.engine, |f| {
            f.note_absent(&order.engine, &order.model, None, gw.now());
        });
        gw.spread(&News::Retire {
            engine: order.engine.clone(),
            model: order.model.clone(),
        });
        tokio::time::sleep(RETIRE_LEAD).await;
    }
    if is_far(gw, service, order) {
        if let Some(window) = working.window.borrow_mut().as_mut() {
            window.note(gw.now());
        }
    }
    gw.with_fleet(&order.engine, |f| f.note_sent(order, gw.now()));
    let mut reply = OrderReply::Lost;
    for _ in 0..REPEATS {
        if !gw.may_order(order) {
            return false;
        }
        reply = send_order(gw, order).await;
        if reply != OrderReply::Lost {
            break;
        }
        emit(LogEvent::OrderDoubt, &format!("order=\"{order}\""));
        match look(gw, &order.engine).await {
            Some(seq) if seq > order.expect => {
                reply = OrderReply::Accepted;
                break;
            }
            _ => tokio::time::sleep(LOOK_AGAIN).await,
        }
    }
    gw.metrics.count_order(reply_word(reply));
    let detail = format!("order=\"{order}\" fence={} reply={reply:?}", order.fence);
    emit(LogEvent::OrderSent, &detail);
    gw.with_fleet(&order.engine, |f| f.note_reply(order, reply, gw.now()));
    match reply {
        // What an engine reports is some hundred milliseconds old.
        OrderReply::Done | OrderReply::Conflict => {
            tokio::time::sleep(LOOK_AGAIN).await;
            look(gw, &order.engine).await;
        }
        OrderReply::Fenced => gw.claim.borrow_mut().step_down(),
        OrderReply::Elsewhere => gw.note_replaced(&order.engine),
        OrderReply::Accepted | OrderReply::Invalid | OrderReply::Lost => {}
    }
    reply == OrderReply::Accepted
}

const fn reply_word(reply: OrderReply) -> &'static str {
    match reply {
        OrderReply::Accepted => "accepted",
        OrderReply::Done => "done",
        OrderReply::Conflict => "conflict",
        OrderReply::Fenced => "fenced",
        OrderReply::Elsewhere => "elsewhere",
        OrderReply::Invalid => "invalid",
        OrderReply::Lost => "lost",
    }
}

/// Whether the order loads weights from the weight store.
fn is_far(gw: &Gateway, service: &Service, order: &Order) -> bool {
    if order.kind == OrderKind::Unload || order.adapter.is_some() {
        return false;
    }
    let fleets = gw.fleets.borrow();
    let engine = fleets.get(service).and_then(|f| f.get(&order.engine));
    engine.is_none_or(|e| {
        let held = e.held();
        !held.warm.contains(&order.model) && !held.disk.contains(&order.model)
    })
}

/// The time after which an order should have been carried out.
fn expected_time(gw: &Gateway, service: &Service, order: &Order) -> Millis {
    if order.adapter.is_some() {
        return ADAPTER_LOOK;
    }
    let table = gw.table();
    let rule = table.as_ref().and_then(|t| t.catalog(service));
    let rule = rule.and_then(|c| c.models.get(&order.model));
    let (Some(rule), OrderKind::Load) = (rule, order.kind) else {
        return Millis(LOOK_AGAIN.as_millis() as u64);
    };
    let fleets = gw.fleets.borrow();
    let engine = fleets.get(service).and_then(|f| f.get(&order.engine));
    let Some(held) = engine.map(|e| e.held()) else {
        return rule.store;
    };
    if held.warm.contains(&order.model) {
        rule.warm
    } else if held.disk.contains(&order.model) {
        rule.disk
    } else {
        rule.store
    }
}

/// Looks at the engine until an order is carried out, and tells the others.
async fn watch(gw: &Rc<Gateway>, service: &Service, order: &Order) {
    let mut wait = Duration::from_millis(expected_time(gw, service, order).0);
    for _ in 0..LOOKS {
        tokio::time::sleep(wait).await;
        wait = LOOK_AGAIN;
        look(gw, &order.engine).await;
        let fleets = gw.fleets.borrow();
        let engine = fleets.get(service).and_then(|f| f.get(&order.engine));
        if engine.is_none_or(|e| !e.awaits(order)) {
            emit(LogEvent::OrderSettled, &format!("order=\"{order}\""));
            return;
        }
    }
}

async fn call(gw: &Gateway, upstream: &Upstream, call: Call) -> Option<(StatusCode, Bytes)> {
    const MOST_BYTES: usize = 1 << 20;
    let target = gw.target(upstream)?;
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method;
    *request.uri_mut() = call.path.parse().ok()?;
    *request.headers_mut() = call.headers;
    let host = HeaderValue::from_str(&target.address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    let exchange = async {
        let mut exchange = gw.pool.send(&target, request).await.ok()?;
        let status = exchange.status();
        let answer = gw.codec.answer(status, exchange.head().headers());
        let body = exchange.collect(MOST_BYTES).await.ok()?;
        exchange.finish(keep_of(&answer));
        Some((status, body))
    };
    tokio::time::timeout(CALL_LIMIT, exchange).await.ok()?
}

async fn send_order(gw: &Gateway, order: &Order) -> OrderReply {
    match call(gw, &order.engine, gw.codec.order(order)).await {
        Some((status, _)) => gw.codec.order_reply(status),
        None => OrderReply::Lost,
    }
}

/// Asks an engine what it holds, and tells the others. Returns how many orders it has
/// accepted.
async fn look(gw: &Gateway, engine: &Upstream) -> Option<u64> {
    let (status, body) = call(gw, engine, gw.codec.report(engine)).await?;
    if status != StatusCode::OK {
        return None;
    }
    let held = match gw.codec.held(&body) {
        Ok(held) => held,
        Err(e) => {
            let detail = format!("upstream={engine} reason={:?}", e.0);
            emit(LogEvent::EntrySkipped, &detail);
            return None;
        }
    };
    let seq = held.seq;
    gw.spread(&News::Held {
        engine: engine.clone(),
        held: held.clone(),
    });
    gw.with_fleet(engine, |f| f.report(engine, held, gw.now()));
    Some(seq)
}

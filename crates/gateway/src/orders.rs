//! Gives orders to engines and checks their results.

use crate::attempt::idle_timeout;
use crate::journal::emit;
use crate::message::PlannerUpdate;
use crate::planner::PlannerState;
use crate::removals::RemovalTime;
use crate::state::Gateway;
use crate::Call;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, StatusCode};
use shaleline_fleet::{Held, Order, OrderKind, OrderReply};
use shaleline_types::{LogEvent, Millis, Service, Upstream};
use std::rc::Rc;
use std::time::Duration;

/// The timeout for an order or a report; both are small.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The time for the other daemons to learn that a model is about to be dropped, and for requests
/// already waiting at the engine to start: those that have not started by then are refused until
/// the model is gone.
const RETIRE_DELAY: Duration = Duration::from_millis(120);

/// The delay before the first check for an adapter: it is loaded within some milliseconds, and what
/// an engine reports is about a hundred milliseconds old.
const ADAPTER_CHECK_DELAY: Millis = Millis(130);

/// The number of checks from the expected time on; afterwards the engine's own entry has to show
/// the result.
const MAX_CHECKS: usize = 6;

/// The number of times that an order without an answer is sent. The condition of the order makes
/// repeats harmless.
const MAX_ATTEMPTS: usize = 3;

/// The pause between two checks of an engine that is carrying out an order.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

impl Gateway {
    /// Whether an order may be sent now: this daemon holds the lease, and the engine has not
    /// started again since the order was planned.
    fn may_order(&self, order: &Order) -> bool {
        let leads = self.planner_lease.borrow().covers(order.fence, self.now());
        let same = self.start_of(&order.engine).1 == order.incarnation;
        leads && same && !self.stopping.get()
    }
}

/// Gives an order. Returns whether the engine is carrying it out, or a report has to show it.
pub(crate) async fn carry_out(
    gw: &Rc<Gateway>,
    state: &PlannerState,
    service: &Service,
    order: &Order,
) -> bool {
    if announce_retiring(gw, order) {
        tokio::time::sleep(RETIRE_DELAY).await;
    }
    let room = room_detail(gw, service, order);
    record_sent_order(gw, state, service, order);
    let mut reply = OrderReply::Lost;
    let mut attempts = 0;
    while attempts < MAX_ATTEMPTS {
        if !gw.may_order(order) {
            return false;
        }
        attempts += 1;
        reply = send_order(gw, order).await;
        if reply != OrderReply::Lost {
            break;
        }
        let detail = format!("order=\"{order}\" attempt={attempts} {room}");
        emit(LogEvent::OrderDoubt, &detail);
        gw.with_fleet(&order.engine, |f| f.record_reply(order, reply, gw.now()));
        match query_engine(gw, &order.engine).await {
            Some(seq) if seq > order.expect => {
                reply = OrderReply::Accepted;
                break;
            }
            _ => tokio::time::sleep(CHECK_INTERVAL).await,
        }
    }
    gw.metrics.count_order(reply_name(reply));
    let detail = format!(
        "order=\"{order}\" fence={} reply={reply:?} attempts={attempts} {room}",
        order.fence
    );
    emit(LogEvent::OrderSent, &detail);
    gw.with_fleet(&order.engine, |f| f.record_reply(order, reply, gw.now()));
    match reply {
        // Only a report shows that the slot is free.
        OrderReply::Done if order.unloads_adapter() => return true,
        // What an engine reports is some hundred milliseconds old.
        OrderReply::Done | OrderReply::Conflict => {
            tokio::time::sleep(CHECK_INTERVAL).await;
            query_engine(gw, &order.engine).await;
        }
        OrderReply::Fenced => {
            let now = gw.now();
            gw.planner_lease.borrow_mut().on_fenced(order.fence, now);
        }
        OrderReply::Elsewhere => gw.record_replaced(&order.engine),
        OrderReply::Accepted | OrderReply::Invalid | OrderReply::Lost => {}
    }
    reply == OrderReply::Accepted
}

/// Announces to all daemons which model an order drops. Returns false where it drops none.
pub(crate) fn announce_retiring(gw: &Gateway, order: &Order) -> bool {
    let drops = order.kind == OrderKind::Unload && order.adapter.is_none();
    if drops {
        gw.broadcast(&PlannerUpdate::Retire {
            engine: order.engine.clone(),
            incarnation: order.incarnation,
            model: order.model.clone(),
        });
    }
    drops
}

/// What is believed of the engine's room before an order is sent, for the log.
fn room_detail(gw: &Gateway, service: &Service, order: &Order) -> String {
    let fleets = gw.fleets.borrow();
    let table = gw.table();
    let room = table.as_ref().and_then(|table| {
        let catalog = table.catalog(service)?;
        fleets.get(service)?.room(&order.engine, catalog, gw.now())
    });
    room.map_or("room=unknown".to_owned(), |room| room.to_string())
}

/// Records an order that is sent now.
pub(crate) fn record_sent_order(
    gw: &Gateway,
    state: &PlannerState,
    service: &Service,
    order: &Order,
) {
    if is_store_load(gw, service, order) {
        if let Some(window) = state.window.borrow_mut().as_mut() {
            window.record(gw.now());
        }
    }
    gw.with_fleet(&order.engine, |f| f.record_sent(order, gw.now()));
}

/// Records the report of an engine, which was asked for at `asked`, and announces it.
pub(crate) fn record_report(gw: &Gateway, engine: &Upstream, mut held: Held, asked: Millis) {
    gw.with_fleet(engine, |f| {
        f.report(engine, held.clone(), asked, gw.now());
        f.omit_unloading(engine, &mut held);
    });
    announce_held(gw, engine, held);
}

/// Announces what an engine was seen to hold.
fn announce_held(gw: &Gateway, engine: &Upstream, held: Held) {
    let changed = gw.announced.borrow_mut().update(engine, &held);
    gw.broadcast(&PlannerUpdate::Held {
        engine: engine.clone(),
        held,
        changed,
    });
}

const fn reply_name(reply: OrderReply) -> &'static str {
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
fn is_store_load(gw: &Gateway, service: &Service, order: &Order) -> bool {
    if order.kind == OrderKind::Unload || order.adapter.is_some() {
        return false;
    }
    let fleets = gw.fleets.borrow();
    let engine = fleets.get(service).and_then(|f| f.get(&order.engine));
    engine.is_none_or(|e| !e.has_copy(&order.model))
}

/// The time after which an order should have been carried out.
fn expected_duration(gw: &Gateway, service: &Service, order: &Order) -> Millis {
    if order.adapter.is_some() {
        return ADAPTER_CHECK_DELAY;
    }
    let table = gw.table();
    let rule = table.as_ref().and_then(|t| t.catalog(service));
    let rule = rule.and_then(|c| c.models.get(&order.model));
    let (Some(rule), OrderKind::Load) = (rule, order.kind) else {
        return Millis(CHECK_INTERVAL.as_millis() as u64);
    };
    let fleets = gw.fleets.borrow();
    let engine = fleets.get(service).and_then(|f| f.get(&order.engine));
    engine.map_or(rule.store_time, |e| e.load_time(&order.model, rule))
}

/// Queries the engine until an order is carried out, and announces what it holds.
pub(crate) async fn await_completion(gw: &Rc<Gateway>, service: &Service, order: &Order) {
    let mut wait = Duration::from_millis(expected_duration(gw, service, order).0);
    for _ in 0..MAX_CHECKS {
        tokio::time::sleep(wait).await;
        wait = CHECK_INTERVAL;
        query_engine(gw, &order.engine).await;
        let fleets = gw.fleets.borrow();
        let engine = fleets.get(service).and_then(|f| f.get(&order.engine));
        if engine.is_none_or(|e| !e.has_pending(order)) {
            emit(LogEvent::OrderSettled, &format!("order=\"{order}\""));
            return;
        }
    }
}

/// Calls an upstream, if `may_send` holds at the moment of the send.
async fn call(
    gw: &Gateway,
    upstream: &Upstream,
    call: Call,
    may_send: &dyn Fn() -> bool,
) -> Option<(StatusCode, Bytes)> {
    const MAX_BODY_BYTES: usize = 1 << 20;
    let target = gw.target(upstream)?;
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method;
    *request.uri_mut() = call.path.parse().ok()?;
    *request.headers_mut() = call.headers;
    let host = HeaderValue::from_str(&target.address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    let exchange = async {
        let mut exchange = gw.pool.send_if(&target, request, may_send).await.ok()?;
        let status = exchange.status();
        let answer = gw.codec.answer(status, exchange.head().headers());
        let body = exchange.collect(MAX_BODY_BYTES).await.ok()?;
        exchange.finish(idle_timeout(&answer));
        Some((status, body))
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange).await.ok()?
}

async fn send_order(gw: &Gateway, order: &Order) -> OrderReply {
    gw.last_orders.borrow_mut().record(&order.engine, gw.now());
    let may_send = || gw.may_order(order);
    match call(gw, &order.engine, gw.codec.order(order), &may_send).await {
        Some((status, _)) => gw.codec.order_reply(status),
        None => OrderReply::Lost,
    }
}

/// Queries what an engine holds, and announces it. Returns the number of orders that it has
/// accepted.
pub(crate) async fn query_engine(gw: &Gateway, engine: &Upstream) -> Option<u64> {
    let asked = gw.now();
    let (status, body) = call(gw, engine, gw.codec.report(engine), &|| true).await?;
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
    if let Some(left) = gw.codec.remaining(&body) {
        let time = RemovalTime::reported(left, Some(asked), gw.now());
        gw.record_removal(engine, held.incarnation, time);
    }
    let call = gw.now().since(asked);
    let detail = format!("upstream={engine} call_ms={call} {}", held.log_detail());
    emit(LogEvent::EngineReported, &detail);
    let seq = held.seq;
    record_report(gw, engine, held, asked);
    Some(seq)
}

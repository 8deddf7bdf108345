//! Gives orders to engines and looks how they end.

use crate::attempt::keep_of;
use crate::journal::emit;
use crate::lead::Working;
use crate::message::News;
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

/// How long an order or a report may take; both are small.
const CALL_LIMIT: Duration = Duration::from_millis(300);

/// The time that the other daemons have to learn that a model is about to be dropped, and
/// that requests already waiting at the engine have to start: those that have not are
/// refused until the model is gone.
const RETIRE_LEAD: Duration = Duration::from_millis(120);

/// An adapter is there after some milliseconds, and what an engine reports is a hundred
/// old; the first look comes after so long.
const ADAPTER_LOOK: Millis = Millis(130);

/// So many looks after the expected time, then the engine's own entry has to do.
const LOOKS: usize = 6;

/// How often an order without an answer is repeated. Its condition makes that harmless.
const REPEATS: usize = 3;

/// The pause between two looks at an engine that is carrying an order out.
const LOOK_AGAIN: Duration = Duration::from_millis(150);

impl Gateway {
    /// Whether an order may leave now: it is this daemon's turn, and the engine has not started
    /// again since the order was planned.
    fn may_order(&self, order: &Order) -> bool {
        let leads = self.claim.borrow().fence(self.now()) == Some(order.fence);
        let same = self.start_of(&order.engine).1 == order.incarnation;
        leads && same && !self.stopping.get()
    }
}

/// Gives an order. Returns whether the engine is carrying it out.
pub(crate) async fn carry_out(
    gw: &Rc<Gateway>,
    working: &Working,
    service: &Service,
    order: &Order,
) -> bool {
    if tell_retiring(gw, order) {
        tokio::time::sleep(RETIRE_LEAD).await;
    }
    note_leaving(gw, working, service, order);
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
    gw.with_fleet(&order.engine, |f| f.record_reply(order, reply, gw.now()));
    match reply {
        // An adapter that is dropped at once leaves nothing to look for: its place may be given away.
        OrderReply::Done if order.unloads_adapter() => {}
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

/// Tells all daemons which model an order drops; false where it drops none.
pub(crate) fn tell_retiring(gw: &Gateway, order: &Order) -> bool {
    let drops = order.kind == OrderKind::Unload && order.adapter.is_none();
    if drops {
        gw.spread(&News::Retire {
            engine: order.engine.clone(),
            incarnation: order.incarnation,
            model: order.model.clone(),
        });
    }
    drops
}

/// Counts an order that leaves now.
pub(crate) fn note_leaving(gw: &Gateway, working: &Working, service: &Service, order: &Order) {
    if is_far(gw, service, order) {
        if let Some(window) = working.window.borrow_mut().as_mut() {
            window.record(gw.now());
        }
    }
    gw.with_fleet(&order.engine, |f| f.record_sent(order, gw.now()));
}

/// Tells the others what an engine was seen to hold.
pub(crate) fn tell_held(gw: &Gateway, engine: &Upstream, held: Held) {
    let changed = gw.told.borrow_mut().is_news(engine, &held);
    gw.spread(&News::Held {
        engine: engine.clone(),
        held,
        changed,
    });
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
    engine.is_none_or(|e| !e.has_copy(&order.model))
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
    engine.map_or(rule.store_time, |e| e.load_time(&order.model, rule))
}

/// Looks at the engine until an order is carried out, and tells the others.
pub(crate) async fn watch(gw: &Rc<Gateway>, service: &Service, order: &Order) {
    let mut wait = Duration::from_millis(expected_time(gw, service, order).0);
    for _ in 0..LOOKS {
        tokio::time::sleep(wait).await;
        wait = LOOK_AGAIN;
        look(gw, &order.engine).await;
        let fleets = gw.fleets.borrow();
        let engine = fleets.get(service).and_then(|f| f.get(&order.engine));
        if engine.is_none_or(|e| !e.has_pending(order)) {
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
    gw.ordered.borrow_mut().record(&order.engine, gw.now());
    match call(gw, &order.engine, gw.codec.order(order)).await {
        Some((status, _)) => gw.codec.order_reply(status),
        None => OrderReply::Lost,
    }
}

/// Asks an engine what it holds, and tells the others. Returns how many orders it has
/// accepted.
pub(crate) async fn look(gw: &Gateway, engine: &Upstream) -> Option<u64> {
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
    tell_held(gw, engine, held);
    Some(seq)
}

//! The HTTP server of an engine.

use crate::fault::EngineFault;
use crate::store::WeightStore;
use crate::text::token_text;
use crate::EngineState;
use actix_web::web::{Bytes, Data, Json, Query, ServiceConfig};
use actix_web::{web, HttpResponse};
use futures_util::stream;
use serde::Deserialize;
use shaleline_border::{GenerateEvent, GenerateRequest, UpstreamReport};
use shaleline_place::{Item, Order};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

const CANCELS_KEPT: usize = 1_024;

#[derive(Default)]
struct Faults {
    hang: bool,
    breaks: u32,
    break_after: u32,
    lose_orders: u32,
    delay_orders: u64,
}

/// The state shared by the handlers of one engine.
pub(crate) struct EngineShared {
    state: Mutex<EngineState>,
    faults: Mutex<Faults>,
    cancelled: Mutex<VecDeque<(u64, u32)>>,
    last_report: Mutex<Option<(Instant, UpstreamReport)>>,
    slots: Arc<Semaphore>,
    store: Arc<WeightStore>,
    started: Instant,
    lag: Duration,
}

impl EngineShared {
    pub(crate) fn new(state: EngineState, store: Arc<WeightStore>, lag: Duration) -> Self {
        let slots = Arc::new(Semaphore::new(state.spec().slots));
        Self {
            state: Mutex::new(state),
            faults: Mutex::new(Faults::default()),
            cancelled: Mutex::new(VecDeque::new()),
            last_report: Mutex::new(None),
            slots,
            store,
            started: Instant::now(),
            lag,
        }
    }

    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no holder panics")
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().expect("no holder panics")
    }

    fn is_cancelled(&self, id: u64, attempt: u32) -> bool {
        let cancelled = self.cancelled.lock().expect("no holder panics");
        cancelled.contains(&(id, attempt))
    }
}

pub(crate) fn routes(config: &mut ServiceConfig) {
    config
        .route("/v1/generate", web::post().to(generate))
        .route("/v1/cancel", web::post().to(cancel))
        .route("/v1/report", web::get().to(report))
        .route("/v1/orders", web::post().to(order))
        .route("/v1/refused", web::get().to(refused))
        .route("/fault", web::post().to(fault));
}

async fn refused(shared: Data<EngineShared>) -> Json<u64> {
    Json(shared.state().refused())
}

async fn fault(shared: Data<EngineShared>, fault: Json<EngineFault>) -> HttpResponse {
    match fault.into_inner() {
        EngineFault::Hang(on) => shared.faults().hang = on,
        EngineFault::Break { count, after } => {
            let mut faults = shared.faults();
            faults.breaks = count;
            faults.break_after = after;
        }
        EngineFault::Leaving(on) => shared.state().set_leaving(on),
        EngineFault::LoseOrders(count) => shared.faults().lose_orders = count,
        EngineFault::DelayOrders(ms) => shared.faults().delay_orders = ms,
        EngineFault::Restart => shared.state().restart(),
    }
    HttpResponse::NoContent().finish()
}

#[derive(Deserialize)]
struct CancelQuery {
    id: u64,
    attempt: u32,
}

async fn cancel(shared: Data<EngineShared>, query: Query<CancelQuery>) -> HttpResponse {
    let mut cancelled = shared.cancelled.lock().expect("no holder panics");
    cancelled.push_back((query.id, query.attempt));
    while cancelled.len() > CANCELS_KEPT {
        cancelled.pop_front();
    }
    HttpResponse::NoContent().finish()
}

/// Returns the engine's report, which may be as old as the report lag.
async fn report(shared: Data<EngineShared>) -> Json<UpstreamReport> {
    let mut last = shared.last_report.lock().expect("no holder panics");
    if let Some((at, report)) = last.as_ref() {
        if at.elapsed() < shared.lag {
            return Json(report.clone());
        }
    }
    let fresh = shared.state().report();
    *last = Some((Instant::now(), fresh.clone()));
    Json(fresh)
}

async fn order(shared: Data<EngineShared>, order: Json<Order>) -> HttpResponse {
    let delay = {
        let mut faults = shared.faults();
        if faults.lose_orders > 0 {
            faults.lose_orders -= 1;
            return HttpResponse::ServiceUnavailable().finish();
        }
        faults.delay_orders
    };
    actix_web::rt::spawn(carry_out(shared, order.into_inner(), delay));
    HttpResponse::Accepted().finish()
}

async fn carry_out(shared: Data<EngineShared>, order: Order, delay: u64) {
    if delay > 0 {
        actix_web::rt::time::sleep(Duration::from_millis(delay)).await;
    }
    let (load, incarnation) = {
        let mut state = shared.state();
        (state.take(&order), state.incarnation())
    };
    let Some((item, size)) = load else {
        return;
    };
    let now = shared.started.elapsed().as_secs_f64() * 1_000.0;
    let takes = shared.store.start(size.0, now);
    actix_web::rt::time::sleep(Duration::from_secs_f64(takes / 1_000.0)).await;
    shared.store.end();
    shared.state().end_load(incarnation, order.number, &item);
}

/// A sequence on the engine; its slot is released when it is dropped.
struct Sequence {
    shared: Data<EngineShared>,
    request: GenerateRequest,
    item: Item,
    incarnation: u64,
    index: u32,
    break_at: Option<u32>,
    prompt_ms: f64,
    ended: bool,
    started: bool,
    _slot: Option<OwnedSemaphorePermit>,
}

impl Drop for Sequence {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        if state.incarnation() != self.incarnation {
            return;
        }
        if self.started {
            state.end(&self.item);
        } else {
            state.leave();
        }
    }
}

async fn generate(shared: Data<EngineShared>, request: Json<GenerateRequest>) -> HttpResponse {
    let request = request.into_inner();
    let item = request.item.clone();
    let incarnation = {
        let mut state = shared.state();
        if !state.serves(&item) {
            return HttpResponse::Conflict().body("not loaded");
        }
        state.wait();
        state.incarnation()
    };
    let break_at = {
        let mut faults = shared.faults();
        let breaks = faults.breaks > 0;
        faults.breaks = faults.breaks.saturating_sub(1);
        breaks.then_some(faults.break_after)
    };
    let sequence = Sequence {
        index: request.from,
        shared,
        request,
        item,
        incarnation,
        break_at,
        prompt_ms: 0.0,
        ended: false,
        started: false,
        _slot: None,
    };
    let pieces = stream::unfold(sequence, next_piece);
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(pieces)
}

type Emitted = Result<Bytes, actix_web::Error>;

async fn next_piece(mut s: Sequence) -> Option<(Emitted, Sequence)> {
    if s.ended {
        return None;
    }
    while s.shared.faults().hang {
        actix_web::rt::time::sleep(Duration::from_millis(50)).await;
    }
    if !s.started {
        let slot = Arc::clone(&s.shared.slots).acquire_owned().await.ok()?;
        s._slot = Some(slot);
        let chars = s.request.prompt.len();
        let blocks = chars.div_ceil(BLOCK_CHARS);
        s.prompt_ms = s.shared.state().start(&s.item, &s.request.blocks, blocks);
        s.started = true;
    }
    if s.shared.is_cancelled(s.request.id.0, s.request.attempt) {
        return None;
    }
    if s.shared.state().incarnation() != s.incarnation || s.break_at == Some(s.index) {
        s.ended = true;
        let broken = actix_web::error::ErrorInternalServerError("broken");
        return Some((Err(broken), s));
    }
    let wait = s.prompt_ms + s.shared.state().step_ms();
    s.prompt_ms = 0.0;
    if wait > 0.05 {
        actix_web::rt::time::sleep(Duration::from_secs_f64(wait / 1_000.0)).await;
    }
    Some((Ok(emit(&mut s)), s))
}

/// The size of a prompt block in the engine's own accounting, in characters.
const BLOCK_CHARS: usize = 64;

fn emit(s: &mut Sequence) -> Bytes {
    let piece = if s.index < s.request.tokens {
        let text = token_text(&s.item, &s.request.prompt, s.index);
        let index = s.index;
        s.index += 1;
        GenerateEvent::Token { index, text }
    } else {
        s.ended = true;
        GenerateEvent::End { total: s.index }
    };
    let json = serde_json::to_string(&piece).expect("pieces serialize");
    Bytes::from(format!("data: {json}\n\n"))
}

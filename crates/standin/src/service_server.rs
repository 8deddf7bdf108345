//! The HTTP server of a plain service, which counts the runs of each key.

use crate::fault::ServiceFault;
use actix_web::web::{Bytes, Data, Json, ServiceConfig};
use actix_web::{web, HttpRequest, HttpResponse};
use shaleline_border::{CacheEvents, UpstreamReport};
use shaleline_types::{DataCentre, Service, Upstream};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// The specification of a replica of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// The name of the replica.
    pub name: Upstream,
    /// The service that the replica belongs to.
    pub service: Service,
    /// The data centre of the replica.
    pub centre: DataCentre,
    /// The number of calls that it accepts concurrently.
    pub slots: usize,
}

#[derive(Default)]
struct State {
    runs: BTreeMap<String, u64>,
    running: usize,
    hang: bool,
    lose: u32,
    slow: u64,
    leaving: bool,
}

/// The state shared by the handlers of one replica. Each replica counts its own runs.
pub(crate) struct ServiceShared {
    spec: ServiceSpec,
    state: Mutex<State>,
}

impl ServiceShared {
    pub(crate) fn new(spec: ServiceSpec) -> Self {
        Self {
            spec,
            state: Mutex::new(State::default()),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

pub(crate) fn routes(config: &mut ServiceConfig) {
    config
        .route("/call/{tail:.*}", web::to(call))
        .route("/v1/report", web::get().to(report))
        .route("/runs", web::get().to(runs))
        .route("/fault", web::post().to(fault));
}

async fn fault(shared: Data<ServiceShared>, fault: Json<ServiceFault>) -> HttpResponse {
    let mut state = shared.state();
    match fault.into_inner() {
        ServiceFault::Hang(on) => state.hang = on,
        ServiceFault::LoseAnswers(count) => state.lose = count,
        ServiceFault::Slow(ms) => state.slow = ms,
        ServiceFault::Leaving(on) => state.leaving = on,
    }
    HttpResponse::NoContent().finish()
}

async fn runs(shared: Data<ServiceShared>) -> Json<BTreeMap<String, u64>> {
    Json(shared.state().runs.clone())
}

async fn report(shared: Data<ServiceShared>) -> Json<UpstreamReport> {
    let state = shared.state();
    Json(UpstreamReport {
        running: state.running,
        waiting: 0,
        slots: shared.spec.slots,
        leaving: state.leaving,
        used: 0,
        engine: None,
        cache: CacheEvents::default(),
    })
}

/// Counts a call as running until it is dropped, however the call ends.
struct Running(Data<ServiceShared>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.state().running -= 1;
    }
}

async fn call(shared: Data<ServiceShared>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let key = request.headers().get("idempotency-key");
    let key = key.and_then(|k| k.to_str().ok()).unwrap_or("").to_owned();
    let (run, slow, lose) = {
        let mut state = shared.state();
        state.running += 1;
        let run = state.runs.entry(key.clone()).or_default();
        *run += 1;
        let run = *run;
        let lose = state.lose > 0;
        state.lose = state.lose.saturating_sub(1);
        (run, state.slow, lose)
    };
    let _running = Running(shared.clone());
    if slow > 0 {
        actix_web::rt::time::sleep(Duration::from_millis(slow)).await;
    }
    while shared.state().hang {
        actix_web::rt::time::sleep(Duration::from_millis(50)).await;
    }
    if lose {
        return HttpResponse::Ok().streaming(futures_util::stream::once(async {
            Err::<Bytes, _>(actix_web::error::ErrorInternalServerError("lost"))
        }));
    }
    let echo = String::from_utf8_lossy(&body).into_owned();
    HttpResponse::Ok().json(serde_json::json!({
        "service": shared.spec.service,
        "upstream": shared.spec.name,
        "path": request.match_info().get("tail").unwrap_or_default(),
        "key": key,
        "run": run,
        "echo": echo,
    }))
}

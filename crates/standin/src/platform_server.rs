//! The log service and the list of instances.

use crate::fault::LogFault;
use crate::log_state::MemoryLog;
use actix_web::web::{Data, Json, Path, Query, ServiceConfig};
use actix_web::{web, HttpResponse};
use serde::Deserialize;
use shaleline_border::ListedInstance;
use shaleline_dialect::{AppendRequest, AppendResponse};
use shaleline_types::{Millis, Offset, Stream};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

struct Entry {
    listed: ListedInstance,
    /// The time from which the list shows the instance or its last change.
    shown: Instant,
    was_leaving: bool,
    removed: Option<Instant>,
}

#[derive(Default)]
struct Faults {
    outage_until: Option<Instant>,
    lose: u32,
    late: u32,
    late_ms: u64,
}

/// The state shared by the handlers of the platform.
pub(crate) struct PlatformShared {
    log: Mutex<MemoryLog>,
    list: Mutex<Vec<Entry>>,
    faults: Mutex<Faults>,
    appended: Notify,
    started: Instant,
    append_ms: u64,
    lag: Duration,
}

impl PlatformShared {
    pub(crate) fn new(rate: u64, append_ms: u64, lag: Duration) -> Self {
        Self {
            log: Mutex::new(MemoryLog::new(rate)),
            list: Mutex::new(Vec::new()),
            faults: Mutex::new(Faults::default()),
            appended: Notify::new(),
            started: Instant::now(),
            append_ms,
            lag,
        }
    }

    fn log(&self) -> MutexGuard<'_, MemoryLog> {
        self.log.lock().expect("no holder panics")
    }

    fn list(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.list.lock().expect("no holder panics")
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().expect("no holder panics")
    }

    fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64)
    }

    fn is_out(&self) -> bool {
        let until = self.faults().outage_until;
        until.is_some_and(|u| Instant::now() < u)
    }

    /// Adds an instance to the list, immediately or after the lag.
    pub(crate) fn put(&self, listed: ListedInstance, at_once: bool) {
        let lag = if at_once { Duration::ZERO } else { self.lag };
        let mut list = self.list();
        list.retain(|e| e.listed.name != listed.name);
        list.push(Entry {
            was_leaving: listed.leaving,
            listed,
            shown: Instant::now() + lag,
            removed: None,
        });
    }

    fn set_leaving(&self, name: &str) {
        let lag = self.lag;
        for entry in self.list().iter_mut().filter(|e| e.listed.name == name) {
            entry.was_leaving = entry.listed.leaving;
            entry.listed.leaving = true;
            entry.shown = Instant::now() + lag;
        }
    }

    fn remove(&self, name: &str) {
        let lag = self.lag;
        for entry in self.list().iter_mut().filter(|e| e.listed.name == name) {
            entry.removed = Some(Instant::now() + lag);
        }
    }
}

pub(crate) fn routes(config: &mut ServiceConfig) {
    config
        .route("/log/{stream:.*}", web::post().to(append))
        .route("/log/{stream:.*}", web::get().to(read))
        .route("/instances", web::get().to(instances))
        .route("/instances", web::post().to(put_instance))
        .route("/appends", web::get().to(appends))
        .route("/fault", web::post().to(fault));
}

async fn appends(shared: Data<PlatformShared>) -> Json<u64> {
    Json(shared.log().appends())
}

async fn fault(shared: Data<PlatformShared>, fault: Json<LogFault>) -> HttpResponse {
    match fault.into_inner() {
        LogFault::Outage(ms) => {
            shared.faults().outage_until = Some(Instant::now() + Duration::from_millis(ms));
        }
        LogFault::LoseAnswers(count) => shared.faults().lose = count,
        LogFault::Late { count, ms } => {
            let mut faults = shared.faults();
            faults.late = count;
            faults.late_ms = ms;
        }
        LogFault::Trim { stream, before } => shared.log().trim(&stream, before),
        LogFault::ListLeaving(name) => shared.set_leaving(&name),
        LogFault::ListRemove(name) => shared.remove(&name),
    }
    HttpResponse::NoContent().finish()
}

async fn put_instance(shared: Data<PlatformShared>, listed: Json<ListedInstance>) -> HttpResponse {
    shared.put(listed.into_inner(), false);
    HttpResponse::NoContent().finish()
}

async fn instances(shared: Data<PlatformShared>) -> Json<Vec<ListedInstance>> {
    let now = Instant::now();
    let list = shared.list();
    let gone = |e: &&Entry| e.removed.is_none_or(|at| now < at);
    let seen = |e: &Entry| {
        let mut listed = e.listed.clone();
        if now < e.shown {
            listed.leaving = e.was_leaving;
        }
        listed
    };
    let old = |e: &&Entry| now >= e.shown || e.listed.leaving;
    Json(list.iter().filter(gone).filter(old).map(seen).collect())
}

async fn append(
    shared: Data<PlatformShared>,
    stream: Path<Stream>,
    request: Json<AppendRequest>,
) -> HttpResponse {
    if shared.is_out() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    if shared.append_ms > 0 {
        actix_web::rt::time::sleep(Duration::from_millis(shared.append_ms)).await;
    }
    let (lose, late) = {
        let mut faults = shared.faults();
        let late = faults.late > 0;
        faults.late = faults.late.saturating_sub(1);
        let lose = !late && faults.lose > 0;
        faults.lose = faults.lose.saturating_sub(u32::from(lose));
        (lose, late.then_some(faults.late_ms))
    };
    if let Some(ms) = late {
        actix_web::rt::spawn(append_late(shared, stream.into_inner(), request, ms));
        return HttpResponse::GatewayTimeout().finish();
    }
    let now = shared.now();
    let result = shared.log().append(&stream, &request.records, now);
    shared.appended.notify_waiters();
    match result {
        Ok(_) if lose => HttpResponse::GatewayTimeout().finish(),
        Ok(first) => HttpResponse::Ok().json(AppendResponse { first }),
        Err(_) => HttpResponse::TooManyRequests().finish(),
    }
}

async fn append_late(
    shared: Data<PlatformShared>,
    stream: Stream,
    request: Json<AppendRequest>,
    ms: u64,
) {
    actix_web::rt::time::sleep(Duration::from_millis(ms)).await;
    let now = shared.now();
    let _ = shared.log().append(&stream, &request.records, now);
    shared.appended.notify_waiters();
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    #[serde(default)]
    wait: u64,
}

async fn read(
    shared: Data<PlatformShared>,
    stream: Path<Stream>,
    query: Query<ReadQuery>,
) -> HttpResponse {
    let until = Instant::now() + Duration::from_millis(query.wait);
    loop {
        if shared.is_out() {
            return HttpResponse::ServiceUnavailable().finish();
        }
        let appended = shared.appended.notified();
        let batch = shared.log().read(&stream, Offset(query.from));
        let left = until.saturating_duration_since(Instant::now());
        if !batch.records.is_empty() || left.is_zero() || batch.oldest.0 > query.from {
            return HttpResponse::Ok().json(batch);
        }
        let _ = tokio::time::timeout(left.min(Duration::from_millis(200)), appended).await;
    }
}

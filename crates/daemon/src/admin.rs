//! The administration API.

use crate::auth::{self, Operator};
use crate::caller::{healthz, readyz, WorkerState};
use crate::core::Core;
use crate::dump;
use crate::emit::emit;
use crate::member_actor::{send_heartbeat, Peers};
use crate::response::error_response;
use actix_web::web::{Data, Json, ServiceConfig};
use actix_web::{web, HttpRequest, HttpResponse};
use serde::Deserialize;
use serde_json::json;
use shaleline_config::{Change, Op, Verdict};
use shaleline_log::Priority;
use shaleline_peer::Member;
use shaleline_types::{ChangeId, Error, ErrorKind, LogEvent, Offset, Result};
use std::sync::Arc;
use std::time::Duration;

/// How long an operator's call waits for the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_WAIT_MS: u64 = 60_000;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The number of daemons that are concurrently asked whether a change is in force.
const MAX_CONCURRENT_CALLS: usize = 32;

pub(crate) fn routes(config: &mut ServiceConfig) {
    config
        .route("/admin/changes", web::post().to(change))
        .route("/admin/config", web::get().to(config_page))
        .route("/admin/state", web::get().to(state))
        .route("/admin/members", web::get().to(members))
        .route("/admin/upstreams", web::get().to(upstreams))
        .route("/healthz", web::get().to(healthz))
        .route("/readyz", web::get().to(readyz))
        .route("/metrics", web::get().to(metrics));
}

/// A change as requested by an operator. The operator is identified by the token.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeRequest {
    id: ChangeId,
    #[serde(default)]
    base: Option<Offset>,
    op: Op,
    /// How long to wait until the change is in force on all live daemons, in
    /// milliseconds.
    #[serde(default)]
    wait_ms: u64,
}

async fn metrics(local: Data<WorkerState>) -> HttpResponse {
    let text = local.core.metrics.to_text();
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(text)
}

fn reader(local: &WorkerState, request: &HttpRequest) -> Result<Operator> {
    let who = auth::operator(&local.core, request)?;
    who.check_read()?;
    Ok(who)
}

async fn state(local: Data<WorkerState>, request: HttpRequest) -> HttpResponse {
    match reader(&local, &request) {
        Ok(_) => HttpResponse::Ok().json(dump::state(&local.core)),
        Err(e) => error_response(&e, local.core.new_request()),
    }
}

async fn members(local: Data<WorkerState>, request: HttpRequest) -> HttpResponse {
    match reader(&local, &request) {
        Ok(_) => HttpResponse::Ok().json(dump::members(&local.core)),
        Err(e) => error_response(&e, local.core.new_request()),
    }
}

async fn upstreams(local: Data<WorkerState>, request: HttpRequest) -> HttpResponse {
    match reader(&local, &request) {
        Ok(_) => HttpResponse::Ok().json(dump::upstreams(&local.core)),
        Err(e) => error_response(&e, local.core.new_request()),
    }
}

/// Returns the configuration in force on this daemon. An operator with access to one
/// organisation gets only that organisation's part.
async fn config_page(local: Data<WorkerState>, request: HttpRequest) -> HttpResponse {
    match auth::operator(&local.core, &request) {
        Ok(who) => HttpResponse::Ok().json(dump::config(&local.core, &who.role)),
        Err(e) => error_response(&e, local.core.new_request()),
    }
}

async fn change(
    local: Data<WorkerState>,
    request: HttpRequest,
    body: std::result::Result<Json<ChangeRequest>, actix_web::Error>,
) -> HttpResponse {
    let id = local.core.new_request();
    match try_change(&local.core, &request, body).await {
        Ok(response) => response,
        Err(error) => error_response(&error, id),
    }
}

async fn try_change(
    core: &Arc<Core>,
    request: &HttpRequest,
    body: std::result::Result<Json<ChangeRequest>, actix_web::Error>,
) -> Result<HttpResponse> {
    let who = auth::operator(core, request)?;
    let body = body.map_err(|e| Error::new(ErrorKind::BadRequest, e.to_string()))?;
    let requested = body.into_inner();
    if !who.role.may_change(requested.op.org()) {
        return Err(Error::new(
            ErrorKind::Forbidden,
            "this role may not make the change",
        ));
    }
    let object = requested.op.object();
    let change = Change {
        id: requested.id.clone(),
        by: who.name.clone(),
        base: requested.base,
        op: requested.op,
    };
    let verdict = submit(core, change).await?;
    let from = requested
        .base
        .map_or("nothing".to_owned(), |b| b.to_string());
    let detail = format!(
        "{object} by {} from version {from}, change {}",
        who.name, requested.id
    );
    match verdict {
        Verdict::Accepted(offset) => {
            emit(LogEvent::ChangeAccepted, &format!("{detail}, at {offset}"));
            let behind = wait_in_force(core, offset, requested.wait_ms).await;
            Ok(HttpResponse::Ok().json(json!({
                "accepted_at": offset,
                "object": object,
                "in_force_on_all": behind.is_empty(),
                "not_confirmed": behind,
            })))
        }
        Verdict::Refused(refusal) => {
            let error = Error::from(refusal);
            emit(LogEvent::ChangeRefused, &format!("{detail}: {error}"));
            Err(error)
        }
    }
}

/// Appends a change and waits for the replay's verdict. After a timeout, the response asks the
/// operator to repeat the change under the same id, which is idempotent.
async fn submit(core: &Arc<Core>, change: Change) -> Result<Verdict> {
    let known = core.config.with(|c| c.verdict_of(&change.id).cloned());
    if let Some(verdict) = known {
        return Ok(verdict);
    }
    if core.is_log_unavailable() {
        return Err(ErrorKind::LogUnavailable.into());
    }
    let pending = core.config.submit(Priority::Config, change);
    match tokio::time::timeout(LOG_TIMEOUT, pending.done).await {
        Ok(Ok(done)) => Ok(done.verdict),
        Ok(Err(_)) | Err(_) => {
            if core.config.withdraw(Priority::Config, pending.ticket) {
                return Err(ErrorKind::LogUnavailable.into());
            }
            Err(Error::new(
                ErrorKind::OutcomeUnknown,
                "the log gave no answer; repeat the change under the same id",
            ))
        }
    }
}

/// Waits until all live daemons have applied `offset` and returns those that have not. Daemons
/// that have not confirmed it are called directly, because gossip would take many rounds.
async fn wait_in_force(core: &Arc<Core>, offset: Offset, wait_ms: u64) -> Vec<String> {
    let until = core.now().plus(wait_ms.min(MAX_WAIT_MS));
    let mut peers = Peers::default();
    loop {
        core.refresh_view();
        let behind = behind(core, offset);
        if behind.is_empty() || core.now() >= until {
            return behind.iter().map(|m| m.id.instance.to_string()).collect();
        }
        let message = core.members().begin_round();
        let targets = behind.iter().take(MAX_CONCURRENT_CALLS);
        let targets = targets.filter_map(|m| Some((&m.peer, peers.client(&m.peer)?)));
        let calls = targets.map(|(to, client)| send_heartbeat(core, to, client, message.clone()));
        futures_util::future::join_all(calls).await;
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

fn behind(core: &Arc<Core>, offset: Offset) -> Vec<Member> {
    let members = core.members();
    members.behind(offset).into_iter().cloned().collect()
}

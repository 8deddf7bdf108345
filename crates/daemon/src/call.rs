//! Calls to plain services.

use crate::auth;
use crate::caller::{read_body, WorkerState};
use crate::core::{Core, InFlight};
use crate::generation::{limits, superseded};
use crate::keyed;
use crate::response::{add_headers, error_response};
use actix_web::http::StatusCode;
use actix_web::web::{Data, Path, Payload};
use actix_web::{HttpRequest, HttpResponse};
use serde::Deserialize;
use shaleline_border::{SendError, ServiceCall, ServiceResponse, Services};
use shaleline_config::Tenant;
use shaleline_route::{AttemptEnd, RequestPolicy, Route, RouteAction, RouteEvent, RouteRequest};
use shaleline_types::{Error, ErrorKind, Millis, Outcome, RequestId, Result, Service, Upstream};
use std::sync::Arc;
use tokio::sync::mpsc;

/// The maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

#[derive(Deserialize)]
pub(crate) struct ServicePath {
    name: String,
    #[serde(default)]
    tail: String,
}

/// Handles `/v1/services/NAME/...`.
pub(crate) async fn service(
    local: Data<WorkerState>,
    request: HttpRequest,
    path: Path<ServicePath>,
    payload: Payload,
) -> HttpResponse {
    let id = local.core.new_request();
    match try_service(&local, &request, &path, payload, id).await {
        Ok(response) => response,
        Err(error) => {
            let code = error.kind().answer().code;
            local.core.metrics.count_request("service", code);
            error_response(&error, id)
        }
    }
}

async fn try_service(
    local: &WorkerState,
    request: &HttpRequest,
    path: &ServicePath,
    payload: Payload,
    id: RequestId,
) -> Result<HttpResponse> {
    local.core.check_admission()?;
    let tenant = auth::caller(&local.core, request)?;
    let unknown = || {
        Error::new(
            ErrorKind::UnknownService,
            format!("no service {:?}", path.name),
        )
    };
    if !tenant.services.contains(&path.name) {
        return Err(unknown());
    }
    let view = local.core.view();
    let spec = view.fleet.service(&path.name).ok_or_else(unknown)?;
    let call = ServiceCall {
        method: request.method().to_string(),
        path: with_query(&path.tail, request.query_string()),
        mime: header(request, "content-type"),
        key: header(request, "idempotency-key"),
        body: read_body(&local.core, payload).await?,
    };
    let job = Job {
        tenant,
        service: spec.name.clone(),
        repeatable: spec.repeatable && call.key.is_none(),
        call,
        id,
    };
    match &job.call.key {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => Err(Error::new(
            ErrorKind::BadRequest,
            format!("an idempotency key has 1 to {MAX_KEY_BYTES} characters"),
        )),
        Some(_) => keyed::run(local, request, &job).await,
        None => run(local, &job).await,
    }
}

fn with_query(path: &str, query: &str) -> String {
    if query.is_empty() {
        return path.to_owned();
    }
    format!("{path}?{query}")
}

fn header(request: &HttpRequest, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

/// A validated call.
pub(crate) struct Job {
    pub(crate) tenant: Arc<Tenant>,
    pub(crate) service: Service,
    pub(crate) repeatable: bool,
    pub(crate) call: ServiceCall,
    pub(crate) id: RequestId,
}

/// Makes a call without a key. It is retried only if the service allows that.
async fn run(local: &WorkerState, job: &Job) -> Result<HttpResponse> {
    let mut permit = Permit::request(&local.core, job);
    loop {
        let (attempt, upstream) = permit.granted().await?;
        let sent = send(&local.core, &*local.services, job, &upstream);
        let sent = tokio::select! {
            sent = sent => sent,
            () = superseded(&mut permit.actions) => continue,
        };
        match sent {
            Ok(response) => {
                permit.end(attempt, AttemptEnd::Whole);
                local.core.metrics.count_request("service", "ok");
                return Ok(caller_response(&response, job.id));
            }
            Err(SendError::NotSent) => permit.end(attempt, AttemptEnd::NotSent),
            Err(SendError::Refused) => permit.end(attempt, AttemptEnd::Refused),
            Err(SendError::Broken) => permit.end(attempt, AttemptEnd::Broken),
        }
    }
}

/// Sends the call to an upstream.
pub(crate) async fn send(
    core: &Core,
    services: &dyn Services,
    job: &Job,
    upstream: &Upstream,
) -> std::result::Result<ServiceResponse, SendError> {
    let address = core
        .directory
        .read()
        .expect("no holder panics")
        .address(upstream);
    let Some(address) = address else {
        return Err(SendError::NotSent);
    };
    services.call(&address, &job.call).await
}

/// Converts a service's response to the response for the caller.
fn caller_response(received: &ServiceResponse, id: RequestId) -> HttpResponse {
    let status = StatusCode::from_u16(received.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    add_headers(&mut response, Outcome::Run, id);
    response
        .content_type(received.mime.clone())
        .body(received.body.clone())
}

/// A request's registration at the router, released when dropped.
pub(crate) struct Permit {
    core: Arc<Core>,
    id: RequestId,
    actions: mpsc::UnboundedReceiver<RouteAction>,
    open: bool,
    _in_flight: InFlight,
}

impl Permit {
    pub(crate) fn request(core: &Arc<Core>, job: &Job) -> Self {
        let tenant = &job.tenant;
        let id = job.id;
        let actions = core.register(id);
        let request = RouteRequest {
            daemon: 0,
            id,
            org: tenant.org.clone(),
            route: Route::Service(job.service.clone()),
            priority: tenant.priority,
            weight: tenant.weight,
            cost: 1,
            prefix: Vec::new(),
            block_sizes: Vec::new(),
            due: core.now().plus(tenant.patience),
            repeatable: job.repeatable,
            target: None,
            limits: limits(tenant),
            policy: RequestPolicy::default(),
            identity: None,
            parts: Vec::new(),
            excluded: std::collections::BTreeMap::new(),
            version: None,
        };
        let permit = Self {
            core: Arc::clone(core),
            id,
            actions,
            open: true,
            _in_flight: core.track_request(),
        };
        core.route(RouteEvent::Arrive(Box::new(request)));
        permit
    }

    /// Waits for an upstream.
    pub(crate) async fn granted(&mut self) -> Result<(u32, Upstream)> {
        loop {
            match self.actions.recv().await {
                Some(RouteAction::Send {
                    attempt, upstream, ..
                }) => return Ok((attempt, upstream)),
                Some(RouteAction::Refuse { kind, retry, .. }) => {
                    self.open = false;
                    return Err(refusal(kind, retry));
                }
                Some(RouteAction::Cancel { .. }) => {}
                None => return Err(ErrorKind::Internal.into()),
            }
        }
    }

    pub(crate) fn end(&mut self, attempt: u32, end: AttemptEnd) {
        let id = self.id;
        self.open &= !matches!(end, AttemptEnd::Whole | AttemptEnd::Cancelled);
        self.core.route(RouteEvent::Ended { id, attempt, end });
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.open {
            self.core.route(RouteEvent::CallerGone(self.id));
        }
        self.core.unregister(self.id);
    }
}

fn refusal(kind: ErrorKind, retry: Option<Millis>) -> Error {
    let error = Error::from(kind);
    match retry {
        Some(retry) => error.with_retry_after(retry),
        None => error,
    }
}

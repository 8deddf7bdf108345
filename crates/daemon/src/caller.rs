//! The callers' side of the HTTP server.

use crate::auth;
use crate::call;
use crate::completion::{Completion, Style};
use crate::core::Core;
use crate::generation::{CompletionEvent, GenerationTask};
use crate::response::{add_headers, error_body, error_response};
use actix_web::web::{Bytes, Data, Payload, ServiceConfig};
use actix_web::{web, HttpRequest, HttpResponse};
use futures_util::{stream, StreamExt};
use serde_json::{json, Value};
use shaleline_border::{Engines, Services};
use shaleline_types::{Error, ErrorKind, Outcome, RequestId, Result};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc;

/// The state of each serving thread.
pub(crate) struct WorkerState {
    pub(crate) core: Arc<Core>,
    pub(crate) engines: Rc<dyn Engines>,
    pub(crate) services: Rc<dyn Services>,
    pub(crate) client: awc::Client,
}

pub(crate) fn routes(config: &mut ServiceConfig) {
    config
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/completions", web::post().to(text))
        .route("/v1/models", web::get().to(models))
        .route("/v1/services/{name}", web::to(call::service))
        .route("/v1/services/{name}/{tail:.*}", web::to(call::service))
        .route("/healthz", web::get().to(healthz))
        .route("/readyz", web::get().to(readyz));
}

/// Reports that the process is alive.
pub(crate) async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

/// Reports whether the balancer should send requests to this daemon.
pub(crate) async fn readyz(local: Data<WorkerState>) -> HttpResponse {
    if local.core.is_ready() {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("not ready\n")
}

/// Reads a request body up to the limit in the settings.
pub(crate) async fn read_body(core: &Core, mut payload: Payload) -> Result<Vec<u8>> {
    let limit = core.settings.body_limit;
    let mut body = Vec::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|e| Error::new(ErrorKind::BadRequest, e.to_string()))?;
        if body.len() + part.len() > limit {
            let text = format!("the body is larger than {limit} bytes");
            return Err(Error::new(ErrorKind::TooLarge, text));
        }
        body.extend_from_slice(&part);
    }
    Ok(body)
}

async fn models(local: Data<WorkerState>, request: HttpRequest) -> HttpResponse {
    let id = local.core.new_request();
    let tenant = match auth::caller(&local.core, &request) {
        Ok(tenant) => tenant,
        Err(e) => return error_response(&e, id),
    };
    let names = tenant.models.iter().chain(&tenant.adapters);
    let one = |n: &String| json!({"id": n, "object": "model", "owned_by": tenant.org});
    let list: Vec<Value> = names.map(one).collect();
    HttpResponse::Ok().json(json!({"object": "list", "data": list}))
}

async fn chat(local: Data<WorkerState>, request: HttpRequest, payload: Payload) -> HttpResponse {
    complete(&local, &request, payload, Style::Chat).await
}

async fn text(local: Data<WorkerState>, request: HttpRequest, payload: Payload) -> HttpResponse {
    complete(&local, &request, payload, Style::Text).await
}

async fn complete(
    local: &WorkerState,
    request: &HttpRequest,
    payload: Payload,
    style: Style,
) -> HttpResponse {
    let id = local.core.new_request();
    match try_complete(local, request, payload, style, id).await {
        Ok(response) => response,
        Err(error) => error_response(&error, id),
    }
}

async fn try_complete(
    local: &WorkerState,
    request: &HttpRequest,
    payload: Payload,
    style: Style,
    id: RequestId,
) -> Result<HttpResponse> {
    local.core.check_admission()?;
    let tenant = auth::caller(&local.core, request)?;
    let body = read_body(&local.core, payload).await?;
    let completion = Completion::from_body(&local.core, &tenant, style, &body)?;
    let events =
        GenerationTask::start(&local.core, &local.engines, &tenant, completion.clone(), id);
    if completion.stream {
        stream_out(completion, id, events).await
    } else {
        collect(&completion, id, events).await
    }
}

fn lost() -> Error {
    ErrorKind::Internal.into()
}

async fn collect(
    completion: &Completion,
    id: RequestId,
    mut events: mpsc::UnboundedReceiver<CompletionEvent>,
) -> Result<HttpResponse> {
    let mut text = String::new();
    loop {
        match events.recv().await.ok_or_else(lost)? {
            CompletionEvent::Token(token) => text.push_str(&token),
            CompletionEvent::End { total } => {
                let mut response = HttpResponse::Ok();
                add_headers(&mut response, Outcome::Run, id);
                return Ok(response.json(completion.complete_response(id, &text, total)));
            }
            CompletionEvent::Fail(error) => return Err(error),
        }
    }
}

/// Starts the response once the first token arrives, so that a refusal still gets its own status.
async fn stream_out(
    completion: Completion,
    id: RequestId,
    mut events: mpsc::UnboundedReceiver<CompletionEvent>,
) -> Result<HttpResponse> {
    let first = match events.recv().await.ok_or_else(lost)? {
        CompletionEvent::Fail(error) => return Err(error),
        out => out,
    };
    let mut response = HttpResponse::Ok();
    response.insert_header((crate::response::REQUEST_HEADER, id.to_string()));
    response.content_type("text/event-stream");
    let writer = EventWriter {
        completion,
        id,
        events,
        next: Some(first),
        ended: false,
    };
    Ok(response.streaming(stream::unfold(writer, EventWriter::next_bytes)))
}

struct EventWriter {
    completion: Completion,
    id: RequestId,
    events: mpsc::UnboundedReceiver<CompletionEvent>,
    next: Option<CompletionEvent>,
    ended: bool,
}

type Emitted = std::result::Result<Bytes, actix_web::Error>;

impl EventWriter {
    /// Returns the next bytes of the stream. `[DONE]` is sent only if the response is complete.
    async fn next_bytes(mut self) -> Option<(Emitted, Self)> {
        if self.ended {
            return None;
        }
        let out = match self.next.take() {
            Some(out) => out,
            None => self
                .events
                .recv()
                .await
                .unwrap_or_else(|| CompletionEvent::Fail(lost())),
        };
        let bytes = match out {
            CompletionEvent::Token(text) => event(&self.completion.chunk(self.id, &text)),
            CompletionEvent::End { total } => {
                self.ended = true;
                let last = event(&self.completion.last_chunk(self.id, total));
                format!("{last}data: [DONE]\n\n")
            }
            CompletionEvent::Fail(error) => {
                self.ended = true;
                event(&error_body(&error, self.id))
            }
        };
        Some((Ok(Bytes::from(bytes)), self))
    }
}

fn event(value: &Value) -> String {
    format!("data: {value}\n\n")
}

//! The callers' side of the HTTP server.

use crate::answer::{error_body, error_response, mark};
use crate::auth;
use crate::call;
use crate::completion::{Completion, Style};
use crate::core::Core;
use crate::drive::{Drive, Out};
use actix_web::web::{Bytes, Data, Payload, ServiceConfig};
use actix_web::{web, HttpRequest, HttpResponse};
use futures_util::{stream, StreamExt};
use serde_json::{json, Value};
use shaleline_border::{Engines, Services};
use shaleline_types::{Error, ErrorKind, Outcome, RequestId, Result};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc;

/// What each serving thread has of its own.
pub(crate) struct Local {
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

/// The process lives.
pub(crate) async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

/// The balancer should send work here.
pub(crate) async fn readyz(local: Data<Local>) -> HttpResponse {
    if local.core.is_ready() {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("not ready\n")
}

/// Reads a body up to the limit of the settings.
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

async fn models(local: Data<Local>, request: HttpRequest) -> HttpResponse {
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

async fn chat(local: Data<Local>, request: HttpRequest, payload: Payload) -> HttpResponse {
    complete(&local, &request, payload, Style::Chat).await
}

async fn text(local: Data<Local>, request: HttpRequest, payload: Payload) -> HttpResponse {
    complete(&local, &request, payload, Style::Text).await
}

async fn complete(
    local: &Local,
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
    local: &Local,
    request: &HttpRequest,
    payload: Payload,
    style: Style,
    id: RequestId,
) -> Result<HttpResponse> {
    local.core.check_admission()?;
    let tenant = auth::caller(&local.core, request)?;
    let body = read_body(&local.core, payload).await?;
    let completion = Completion::from_body(&local.core, &tenant, style, &body)?;
    let outs = Drive::start(&local.core, &local.engines, &tenant, completion.clone(), id);
    if completion.stream {
        stream_out(completion, id, outs).await
    } else {
        collect(&completion, id, outs).await
    }
}

fn lost() -> Error {
    ErrorKind::Internal.into()
}

async fn collect(
    completion: &Completion,
    id: RequestId,
    mut outs: mpsc::UnboundedReceiver<Out>,
) -> Result<HttpResponse> {
    let mut text = String::new();
    loop {
        match outs.recv().await.ok_or_else(lost)? {
            Out::Token(token) => text.push_str(&token),
            Out::End { total } => {
                let mut response = HttpResponse::Ok();
                mark(&mut response, Outcome::Run, id);
                return Ok(response.json(completion.whole(id, &text, total)));
            }
            Out::Fail(error) => return Err(error),
        }
    }
}

/// Answers with the first token, so that a refusal still has its own status.
async fn stream_out(
    completion: Completion,
    id: RequestId,
    mut outs: mpsc::UnboundedReceiver<Out>,
) -> Result<HttpResponse> {
    let first = match outs.recv().await.ok_or_else(lost)? {
        Out::Fail(error) => return Err(error),
        out => out,
    };
    let mut response = HttpResponse::Ok();
    response.insert_header((crate::answer::REQUEST, id.to_string()));
    response.content_type("text/event-stream");
    let writer = EventWriter {
        completion,
        id,
        outs,
        next: Some(first),
        ended: false,
    };
    Ok(response.streaming(stream::unfold(writer, EventWriter::next_bytes)))
}

struct EventWriter {
    completion: Completion,
    id: RequestId,
    outs: mpsc::UnboundedReceiver<Out>,
    next: Option<Out>,
    ended: bool,
}

type Emitted = std::result::Result<Bytes, actix_web::Error>;

impl EventWriter {
    /// The next bytes of the stream; `[DONE]` only where the answer is whole.
    async fn next_bytes(mut self) -> Option<(Emitted, Self)> {
        if self.ended {
            return None;
        }
        let out = match self.next.take() {
            Some(out) => out,
            None => self.outs.recv().await.unwrap_or_else(|| Out::Fail(lost())),
        };
        let bytes = match out {
            Out::Token(text) => event(&self.completion.chunk(self.id, &text)),
            Out::End { total } => {
                self.ended = true;
                let last = event(&self.completion.last_chunk(self.id, total));
                format!("{last}data: [DONE]\n\n")
            }
            Out::Fail(error) => {
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

//! Forwards a keyed call to the daemon that owns the journal shard of its key.
//!
//! This saves appends and keeps a shard's journal on one daemon. Correctness does not depend on
//! it: if the forwarded call fails, this daemon uses the journal itself.

use crate::call::Job;
use crate::caller::WorkerState;
use actix_web::http::header::{HeaderMap, CONTENT_LENGTH};
use actix_web::http::{Method, StatusCode};
use actix_web::web::Bytes;
use actix_web::{HttpRequest, HttpResponse};
use awc::ClientRequest;
use shaleline_peer::Member;
use std::time::Duration;

/// The header of a forwarded call, which prevents it from being forwarded again.
const FORWARDED_HEADER: &str = "x-shaleline-forwarded";

const MAX_BODY_BYTES: usize = 4 << 20;

/// Returns whether another daemon forwarded the call.
pub(crate) fn is_forwarded(request: &HttpRequest) -> bool {
    request.headers().contains_key(FORWARDED_HEADER)
}

/// Forwards the call. Returns `None` if no complete response was received, or the owner is
/// unavailable or stopping.
pub(crate) async fn forward_to(
    local: &WorkerState,
    request: &HttpRequest,
    job: &Job,
    owner: &Member,
) -> Option<HttpResponse> {
    let target = request.uri().path_and_query()?.as_str();
    let url = format!("http://{}{target}", owner.caller);
    let method = request.method().as_str().parse().ok()?;
    let timeout = Duration::from_millis(job.tenant.patience.saturating_add(2_000));
    let mut sent = local.client.request(method, url).timeout(timeout);
    for name in ["authorization", "content-type", "idempotency-key"] {
        if let Some(value) = request.headers().get(name) {
            sent = sent.insert_header((name, value.as_bytes()));
        }
    }
    sent = sent.insert_header((FORWARDED_HEADER, "1"));
    let Received {
        status,
        headers,
        body,
    } = receive(sent, job.call.body.clone()).await?;
    let refused = status == StatusCode::SERVICE_UNAVAILABLE;
    let unavailable = refused && !headers.contains_key(crate::response::OUTCOME_HEADER);
    let leaving = refused && body.windows(LEAVING.len()).any(|w| w == LEAVING);
    if unavailable || leaving {
        return None;
    }
    let mut response = HttpResponse::build(status);
    let forwarded = [
        crate::response::OUTCOME_HEADER,
        crate::response::REQUEST_HEADER,
        "x-shaleline-kept",
        "retry-after",
        "retry-after-ms",
        "content-type",
    ];
    for name in forwarded {
        if let Some(value) = headers.get(name) {
            response.insert_header((name, value.as_bytes()));
        }
    }
    Some(response.body(body))
}

/// The error code of a daemon that is stopping. It did not run the call, so this daemon may.
const LEAVING: &[u8] = b"\"leaving\"";

/// A complete response of the owner.
pub(crate) struct Received {
    status: StatusCode,
    headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Sends the call and receives the whole response. Daemons send these with a length, and `awc`
/// takes a body that is shorter for complete.
pub(crate) async fn receive(sent: ClientRequest, body: Vec<u8>) -> Option<Received> {
    let is_head = sent.get_method() == Method::HEAD;
    let mut received = sent.send_body(body).await.ok()?;
    let body = received.body().limit(MAX_BODY_BYTES).await.ok()?;
    let headers = received.headers();
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&received.status());
    let length = headers.get(CONTENT_LENGTH).and_then(|l| l.to_str().ok());
    let is_whole = |l: &str| l.parse() == Ok(body.len());
    let complete = is_head || bodiless || length.is_some_and(is_whole);
    complete.then(|| Received {
        status: received.status(),
        headers: headers.clone(),
        body,
    })
}

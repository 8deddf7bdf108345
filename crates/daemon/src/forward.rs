//! Forwards a keyed call to the daemon that owns the journal shard of its key.
//!
//! This saves appends and keeps a shard's journal on one daemon. Correctness does not depend on
//! it: if the forwarded call fails, this daemon uses the journal itself.

use crate::call::Job;
use crate::caller::WorkerState;
use actix_web::{HttpRequest, HttpResponse};
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
    let mut received = sent.send_body(job.call.body.clone()).await.ok()?;
    let status = received.status().as_u16();
    let body = received.body().limit(MAX_BODY_BYTES).await.ok()?;
    let unavailable = status == 503
        && !received
            .headers()
            .contains_key(crate::response::OUTCOME_HEADER);
    let leaving = body.windows(LEAVING.len()).any(|w| w == LEAVING) && status == 503;
    if unavailable || leaving {
        return None;
    }
    let status = actix_web::http::StatusCode::from_u16(status).ok()?;
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
        if let Some(value) = received.headers().get(name) {
            response.insert_header((name, value.as_bytes()));
        }
    }
    Some(response.body(body))
}

/// The error code of a daemon that is stopping. It did not run the call, so this daemon may.
const LEAVING: &[u8] = b"\"leaving\"";

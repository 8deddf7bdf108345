//! Forwards a keyed call to the daemon that its journal shard belongs to.
//!
//! That saves appends and keeps a shard's journal at one daemon. It is not what makes
//! the call safe: if the forwarded call fails, this daemon asks the journal itself.

use crate::call::Job;
use crate::caller::Local;
use actix_web::{HttpRequest, HttpResponse};
use shaleline_peer::Member;
use std::time::Duration;

/// Marks a call that was forwarded once, so that it is not forwarded again.
const FORWARDED: &str = "x-shaleline-forwarded";

const ANSWER_LIMIT: usize = 4 << 20;

/// Whether another daemon forwarded the call.
pub(crate) fn is_forwarded(request: &HttpRequest) -> bool {
    request.headers().contains_key(FORWARDED)
}

/// Forwards the call. `None` where no whole answer came back.
pub(crate) async fn to(
    local: &Local,
    request: &HttpRequest,
    job: &Job,
    owner: &Member,
) -> Option<HttpResponse> {
    let target = request.uri().path_and_query()?.as_str();
    let url = format!("http://{}{target}", owner.caller);
    let method = request.method().as_str().parse().ok()?;
    let patience = Duration::from_millis(job.tenant.patience.saturating_add(2_000));
    let mut sent = local.client.request(method, url).timeout(patience);
    for name in ["authorization", "content-type", "idempotency-key"] {
        if let Some(value) = request.headers().get(name) {
            sent = sent.insert_header((name, value.as_bytes()));
        }
    }
    sent = sent.insert_header((FORWARDED, "1"));
    let mut answer = sent.send_body(job.call.body.clone()).await.ok()?;
    let status = answer.status().as_u16();
    let body = answer.body().limit(ANSWER_LIMIT).await.ok()?;
    let not_there = status == 503 && !answer.headers().contains_key(crate::answer::OUTCOME);
    let leaving = body.windows(LEAVING.len()).any(|w| w == LEAVING) && status == 503;
    if not_there || leaving {
        return None;
    }
    let status = actix_web::http::StatusCode::from_u16(status).ok()?;
    let mut response = HttpResponse::build(status);
    let passed = [
        crate::answer::OUTCOME,
        crate::answer::REQUEST,
        "x-shaleline-kept",
        "retry-after",
        "retry-after-ms",
        "content-type",
    ];
    for name in passed {
        if let Some(value) = answer.headers().get(name) {
            response.insert_header((name, value.as_bytes()));
        }
    }
    Some(response.body(body))
}

/// A daemon that is stopping did not run the call; this one may.
const LEAVING: &[u8] = b"\"leaving\"";

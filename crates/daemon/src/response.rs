//! Converts errors to HTTP responses.

use actix_web::http::StatusCode;
use actix_web::{HttpResponse, HttpResponseBuilder};
use serde_json::{json, Value};
use shaleline_types::{Error, Outcome, RequestId};

/// The header that reports whether the request ran.
pub(crate) const OUTCOME_HEADER: &str = "x-shaleline-outcome";

/// The header with the request's id, for support.
pub(crate) const REQUEST_HEADER: &str = "x-shaleline-request";

/// The header with the retry-after time in milliseconds; the standard header has seconds.
const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";

/// Returns the response body for an error.
pub(crate) fn error_body(error: &Error, id: RequestId) -> Value {
    let answer = error.kind().answer();
    json!({"error": {
        "type": answer.code,
        "code": answer.code,
        "message": error.detail(),
        "outcome": answer.outcome.as_str(),
        "request_id": id.to_string(),
        "retry_after_ms": error.retry_after().map(|r| r.0),
    }})
}

/// Returns the response for an error.
pub(crate) fn error_response(error: &Error, id: RequestId) -> HttpResponse {
    let answer = error.kind().answer();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    add_headers(&mut response, answer.outcome, id);
    if let Some(after) = error.retry_after() {
        response.insert_header(("retry-after", after.0.div_ceil(1_000).to_string()));
        response.insert_header((RETRY_AFTER_MS_HEADER, after.0.to_string()));
    }
    response.json(error_body(error, id))
}

/// Adds the headers of every response.
pub(crate) fn add_headers(response: &mut HttpResponseBuilder, outcome: Outcome, id: RequestId) {
    response.insert_header((OUTCOME_HEADER, outcome.as_str()));
    response.insert_header((REQUEST_HEADER, id.to_string()));
}

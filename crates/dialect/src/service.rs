//! Calls to plain services over HTTP.
//!
//! `awc` reports a response that was cut off as complete, whether it had a length or chunks. What
//! the platform and engines send shows its own end; the body of a service does not, so it is
//! received with `shaleline_edge`.

use crate::http::{CONNECT_TIMEOUT, REQUEST_TIMEOUT};
use crate::HttpPlatform;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use shaleline_border::{SendError, ServiceCall, ServiceResponse, Services};
use shaleline_edge::{Exchange, Framing, Pool, PoolSettings, ProbeOutcome, Target};
use shaleline_types::Upstream;
use tokio::time::timeout;

/// The largest response that is accepted, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The header with the key of a call that must not run twice.
const KEY_HEADER: &str = "idempotency-key";

fn send_error(error: shaleline_edge::SendError) -> SendError {
    match error {
        shaleline_edge::SendError::NotSent => SendError::NotSent,
        shaleline_edge::SendError::Broken
        | shaleline_edge::SendError::HeadTooLarge
        | shaleline_edge::SendError::BodyTooLarge
        | shaleline_edge::SendError::Stalled
        | shaleline_edge::SendError::InvalidStatus => SendError::Broken,
    }
}

fn request(address: &str, call: &ServiceCall) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = Request::builder()
        .method(call.method.as_str())
        .uri(format!("/call/{}", call.path))
        .header(HOST, address)
        .header(CONNECTION, HeaderValue::from_static("close"));
    if let Some(mime) = &call.mime {
        request = request.header(CONTENT_TYPE, mime);
    }
    if let Some(key) = &call.key {
        request = request.header(KEY_HEADER, key);
    }
    request.body(Full::new(call.body.clone().into()))
}

/// Whether the end of a response is known to be its end. The system closes the connections of a
/// process that ends, so a response that ends with its connection counts only if its service still
/// listens, and never without a body.
async fn is_complete(
    pool: &Pool,
    target: &Target,
    method: &Method,
    exchange: &Exchange,
    body: &Bytes,
) -> bool {
    if *method == Method::HEAD || exchange.framing() != Framing::Close {
        return true;
    }
    !body.is_empty() && pool.probe(target, CONNECT_TIMEOUT).await == ProbeOutcome::Accepted
}

async fn send(address: &str, call: &ServiceCall) -> Result<ServiceResponse, SendError> {
    let target = Target {
        name: Upstream::from_text("service").expect("a valid name"),
        address: address.parse().map_err(|_| SendError::NotSent)?,
    };
    let request = request(address, call).map_err(|_| SendError::NotSent)?;
    let method = request.method().clone();
    // Each call has its own connection.
    let pool = Pool::new(PoolSettings {
        connect_timeout: CONNECT_TIMEOUT,
        unacked_timeout: REQUEST_TIMEOUT,
        max_connections: 1,
    });
    let mut exchange = pool.send(&target, request).await.map_err(send_error)?;
    let body = exchange.collect(MAX_BODY_BYTES).await.map_err(send_error)?;
    if !is_complete(&pool, &target, &method, &exchange, &body).await {
        return Err(SendError::Broken);
    }
    let mime = exchange.head().headers().get(CONTENT_TYPE);
    let mime = mime.and_then(|m| m.to_str().ok()).unwrap_or_default();
    Ok(ServiceResponse {
        status: exchange.status().as_u16(),
        mime: mime.to_owned(),
        body: body.to_vec(),
    })
}

impl Services for HttpPlatform {
    fn call<'a>(
        &'a self,
        address: &'a str,
        call: &'a ServiceCall,
    ) -> LocalBoxFuture<'a, Result<ServiceResponse, SendError>> {
        Box::pin(async move {
            match timeout(REQUEST_TIMEOUT, send(address, call)).await {
                Ok(sent) => sent,
                Err(_) => Err(SendError::Broken),
            }
        })
    }
}

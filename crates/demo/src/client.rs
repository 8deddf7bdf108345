//! HTTP requests to the daemons, as a caller and as an operator.

use crate::cluster::OPERATOR_TOKEN;
use awc::Client;
use eventsource_stream::Eventsource;
use eyre::{bail, eyre, Result};
use futures_util::StreamExt;
use serde_json::{json, Value};
use shaleline_config::Op;
use shaleline_types::{Org, TokenHash};
use std::net::SocketAddr;
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_BODY_BYTES: usize = 16 << 20;

/// Creates an HTTP client with a timeout for each request.
pub fn new_client() -> Client {
    Client::builder().timeout(REQUEST_TIMEOUT).finish()
}

/// Submits a configuration change and waits until it is in force on all daemons.
pub async fn apply_change(
    client: &Client,
    admin: SocketAddr,
    id: &str,
    base: Option<u64>,
    op: &Op,
) -> Result<Value> {
    let body = json!({"id": id, "base": base, "op": op, "wait_ms": 10_000});
    let request = client.post(format!("http://{admin}/admin/changes"));
    let result = request.bearer_auth(OPERATOR_TOKEN).send_json(&body).await;
    let mut response = result.map_err(|e| eyre!("{e}"))?;
    let ok = response.status().is_success();
    let body: Value = response.json().limit(MAX_BODY_BYTES).await?;
    if ok {
        return Ok(body);
    }
    bail!("{body}")
}

/// Adds a token to an organisation.
pub async fn add_token(client: &Client, admin: SocketAddr, org: &Org, token: &str) -> Result<()> {
    let op = Op::AddToken {
        org: org.clone(),
        token: TokenHash::from_token(token),
    };
    apply_change(client, admin, &format!("token-{org}"), None, &op).await?;
    Ok(())
}

/// Streams a completion and returns its text. A stream without `[DONE]` is an error.
pub async fn stream_completion(
    client: &Client,
    address: SocketAddr,
    token: &str,
    model: &str,
    prompt: &str,
    tokens: u32,
) -> Result<String> {
    let body = json!({"model": model, "prompt": prompt, "max_tokens": tokens, "stream": true});
    let request = client.post(format!("http://{address}/v1/completions"));
    let result = request.bearer_auth(token).send_json(&body).await;
    let mut response = result.map_err(|e| eyre!("{e}"))?;
    if !response.status().is_success() {
        let body: Value = response.json().limit(MAX_BODY_BYTES).await?;
        bail!("{body}");
    }
    let mut events = response.eventsource();
    let mut text = String::new();
    while let Some(event) = events.next().await {
        let data = event.map_err(|e| eyre!("{e}"))?.data;
        if data == "[DONE]" {
            return Ok(text);
        }
        let value: Value = serde_json::from_str(&data)?;
        if value.get("error").is_some() {
            bail!("{value}");
        }
        text.push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
    }
    bail!("the stream ended without [DONE]")
}

/// The response to a call to a plain service.
pub struct ServiceResponse {
    /// The HTTP status.
    pub status: u16,
    /// The `x-shaleline-outcome` header, which says whether the call ran; empty if absent.
    pub outcome: String,
    /// The body, parsed as JSON.
    pub body: Value,
}

/// Calls a plain service with an idempotency key.
pub async fn call_service(
    client: &Client,
    address: SocketAddr,
    token: &str,
    service: &str,
    key: &str,
) -> Result<ServiceResponse> {
    let url = format!("http://{address}/v1/services/{service}/confirm");
    let request = client
        .post(url)
        .bearer_auth(token)
        .insert_header(("idempotency-key", key));
    let result = request.send_body("cardiology, 9 o'clock").await;
    let mut response = result.map_err(|e| eyre!("{e}"))?;
    let outcome = response.headers().get("x-shaleline-outcome");
    let outcome = outcome
        .and_then(|o| o.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    Ok(ServiceResponse {
        status: response.status().as_u16(),
        outcome,
        body: response.json().limit(MAX_BODY_BYTES).await?,
    })
}

/// Sends a GET request with the operator token and parses the response as JSON.
pub async fn get_json(client: &Client, url: &str) -> Result<Value> {
    let result = client.get(url).bearer_auth(OPERATOR_TOKEN).send().await;
    let mut response = result.map_err(|e| eyre!("{e}"))?;
    Ok(response.json().limit(MAX_BODY_BYTES).await?)
}

/// Returns whether the daemon reports that it is ready.
pub async fn is_ready(client: &Client, address: SocketAddr) -> bool {
    let result = client.get(format!("http://{address}/readyz")).send().await;
    result.is_ok_and(|r| r.status().is_success())
}

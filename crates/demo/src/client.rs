//! A caller and an operator.

use crate::system::OPERATOR;
use awc::Client;
use eventsource_stream::Eventsource;
use eyre::{bail, eyre, Result};
use futures_util::StreamExt;
use serde_json::{json, Value};
use shaleline_config::Op;
use shaleline_types::{Org, TokenHash};
use std::net::SocketAddr;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(30);
const LIMIT: usize = 16 << 20;

/// A client with a timeout.
pub fn new_client() -> Client {
    Client::builder().timeout(TIMEOUT).finish()
}

/// Makes a change and waits until it is in force on all daemons.
pub async fn change(
    client: &Client,
    admin: SocketAddr,
    id: &str,
    base: Option<u64>,
    op: &Op,
) -> Result<Value> {
    let body = json!({"id": id, "base": base, "op": op, "wait_ms": 10_000});
    let request = client.post(format!("http://{admin}/admin/changes"));
    let sent = request.bearer_auth(OPERATOR).send_json(&body).await;
    let mut answer = sent.map_err(|e| eyre!("{e}"))?;
    let ok = answer.status().is_success();
    let body: Value = answer.json().limit(LIMIT).await?;
    if ok {
        return Ok(body);
    }
    bail!("{body}")
}

/// Gives an organisation a token.
pub async fn add_token(client: &Client, admin: SocketAddr, org: &Org, token: &str) -> Result<()> {
    let op = Op::AddToken {
        org: org.clone(),
        token: TokenHash::from_token(token),
    };
    change(client, admin, &format!("token-{org}"), None, &op).await?;
    Ok(())
}

/// Streams a completion and returns its text, if the answer is whole.
pub async fn complete(
    client: &Client,
    caller: SocketAddr,
    token: &str,
    model: &str,
    prompt: &str,
    tokens: u32,
) -> Result<String> {
    let body = json!({"model": model, "prompt": prompt, "max_tokens": tokens, "stream": true});
    let request = client.post(format!("http://{caller}/v1/completions"));
    let sent = request.bearer_auth(token).send_json(&body).await;
    let mut answer = sent.map_err(|e| eyre!("{e}"))?;
    if !answer.status().is_success() {
        let body: Value = answer.json().limit(LIMIT).await?;
        bail!("{body}");
    }
    let mut events = answer.eventsource();
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

/// A plain service's answer with the headers that matter.
pub struct Called {
    /// The HTTP status.
    pub status: u16,
    /// Whether it ran.
    pub outcome: String,
    /// The body.
    pub body: Value,
}

/// Makes a keyed call to a plain service.
pub async fn call(
    client: &Client,
    caller: SocketAddr,
    token: &str,
    service: &str,
    key: &str,
) -> Result<Called> {
    let url = format!("http://{caller}/v1/services/{service}/confirm");
    let request = client
        .post(url)
        .bearer_auth(token)
        .insert_header(("idempotency-key", key));
    let sent = request.send_body("cardiology, 9 o'clock").await;
    let mut answer = sent.map_err(|e| eyre!("{e}"))?;
    let outcome = answer.headers().get("x-shaleline-outcome");
    let outcome = outcome
        .and_then(|o| o.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    Ok(Called {
        status: answer.status().as_u16(),
        outcome,
        body: answer.json().limit(LIMIT).await?,
    })
}

/// Reads a page of a server as JSON.
pub async fn get(client: &Client, url: &str) -> Result<Value> {
    let sent = client.get(url).bearer_auth(OPERATOR).send().await;
    let mut answer = sent.map_err(|e| eyre!("{e}"))?;
    Ok(answer.json().limit(LIMIT).await?)
}

/// Whether a daemon says that it is ready.
pub async fn is_ready(client: &Client, caller: SocketAddr) -> bool {
    let sent = client.get(format!("http://{caller}/readyz")).send().await;
    sent.is_ok_and(|a| a.status().is_success())
}

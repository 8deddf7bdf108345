//! A client of the administration API.

use crate::args::Run;
use eyre::{bail, eyre, Result};
use serde_json::{json, Value};
use shaleline_config::Op;
use std::time::Duration;

/// How often a change is sent under the same id while no definite response is received.
const MAX_ATTEMPTS: u32 = 3;
const RETRY_DELAY: Duration = Duration::from_millis(500);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A client of one daemon.
pub struct Client<'a> {
    run: &'a Run,
    http: awc::Client,
}

impl<'a> Client<'a> {
    /// Creates a client for the daemon that the command line names.
    pub fn new(run: &'a Run) -> Self {
        let timeout = Duration::from_millis(run.wait + 15_000);
        let http = awc::Client::builder().timeout(timeout).finish();
        Self { run, http }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.run.admin)
    }

    /// Reads a resource of the administration API.
    pub async fn get(&self, path: &str) -> Result<Value> {
        let request = self.http.get(self.url(path)).bearer_auth(&self.run.token);
        let sent = request.send().await;
        let mut response = sent.map_err(|e| eyre!("{}: {e}", self.run.admin))?;
        let ok = response.status().is_success();
        let body: Value = response.json().limit(MAX_RESPONSE_BYTES).await?;
        if ok {
            return Ok(body);
        }
        Err(response_error(&body))
    }

    /// Makes a change, based on the current version of its object unless another version is given.
    pub async fn change(&self, op: Op) -> Result<Value> {
        let base = match self.run.base {
            Some(base) => Some(base),
            None => self.current(&op.object()).await?,
        };
        let id = self.run.change.clone().unwrap_or_else(random_id);
        let body = json!({"id": id, "base": base, "op": op, "wait_ms": self.run.wait});
        let mut last = eyre!("no attempt was made");
        for _ in 0..MAX_ATTEMPTS {
            match self.post(&body).await {
                Ok(Posted::Accepted(response)) => return Ok(response),
                Ok(Posted::Refused(e)) => return Err(e),
                Err(e) => last = e,
            }
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
        bail!("{last:#}; repeat with --change-id {id}")
    }

    async fn post(&self, body: &Value) -> Result<Posted> {
        let request = self.http.post(self.url("/admin/changes"));
        let sent = request.bearer_auth(&self.run.token).send_json(body).await;
        let mut response = sent.map_err(|e| eyre!("{}: {e}", self.run.admin))?;
        let status = response.status();
        let body: Value = response.json().limit(MAX_RESPONSE_BYTES).await?;
        if status.is_success() {
            return Ok(Posted::Accepted(body));
        }
        let unknown = body["error"]["outcome"] == "unknown";
        if status.is_server_error() || unknown {
            return Err(response_error(&body));
        }
        Ok(Posted::Refused(response_error(&body)))
    }

    async fn current(&self, object: &str) -> Result<Option<u64>> {
        let config = self.get("/admin/config").await?;
        Ok(config["versions"][object]["version"].as_u64())
    }
}

enum Posted {
    Accepted(Value),
    Refused(eyre::Report),
}

fn response_error(body: &Value) -> eyre::Report {
    let error = &body["error"];
    let code = error["code"].as_str().unwrap_or("error");
    let text = error["message"].as_str().unwrap_or("no message");
    match error["retry_after_ms"].as_u64() {
        Some(ms) => eyre!("{code}: {text} (retry after {ms} ms)"),
        None => eyre!("{code}: {text}"),
    }
}

fn random_id() -> String {
    format!("cli-{:016x}", rand::random::<u64>())
}

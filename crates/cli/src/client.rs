//! Calls of the administration API.

use crate::args::Run;
use eyre::{bail, eyre, Result};
use serde_json::{json, Value};
use shaleline_config::Op;
use std::time::Duration;

/// A change is repeated so often under its id where no answer comes.
const TRIES: u32 = 3;
const PAUSE: Duration = Duration::from_millis(500);
const ANSWER_LIMIT: usize = 64 << 20;

/// The connection to a daemon.
pub struct Client<'a> {
    run: &'a Run,
    http: awc::Client,
}

impl<'a> Client<'a> {
    /// A client for the daemon that the command line names.
    pub fn new(run: &'a Run) -> Self {
        let timeout = Duration::from_millis(run.wait + 15_000);
        let http = awc::Client::builder().timeout(timeout).finish();
        Self { run, http }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.run.admin)
    }

    /// Reads a page.
    pub async fn get(&self, path: &str) -> Result<Value> {
        let request = self.http.get(self.url(path)).bearer_auth(&self.run.token);
        let sent = request.send().await;
        let mut answer = sent.map_err(|e| eyre!("{}: {e}", self.run.admin))?;
        let ok = answer.status().is_success();
        let body: Value = answer.json().limit(ANSWER_LIMIT).await?;
        if ok {
            return Ok(body);
        }
        Err(said(&body))
    }

    /// Makes a change, from the current version of its object unless another is given.
    pub async fn change(&self, op: Op) -> Result<Value> {
        let base = match self.run.base {
            Some(base) => Some(base),
            None => self.current(&op.object()).await?,
        };
        let id = self.run.change.clone().unwrap_or_else(draw_id);
        let body = json!({"id": id, "base": base, "op": op, "wait_ms": self.run.wait});
        let mut last = eyre!("not tried");
        for _ in 0..TRIES {
            match self.post(&body).await {
                Ok(Posted::Answer(answer)) => return Ok(answer),
                Ok(Posted::Refused(e)) => return Err(e),
                Err(e) => last = e,
            }
            actix_rt::time::sleep(PAUSE).await;
        }
        bail!("{last:#}; repeat with --change-id {id}")
    }

    async fn post(&self, body: &Value) -> Result<Posted> {
        let request = self.http.post(self.url("/admin/changes"));
        let sent = request.bearer_auth(&self.run.token).send_json(body).await;
        let mut answer = sent.map_err(|e| eyre!("{}: {e}", self.run.admin))?;
        let status = answer.status();
        let body: Value = answer.json().limit(ANSWER_LIMIT).await?;
        if status.is_success() {
            return Ok(Posted::Answer(body));
        }
        let unknown = body["error"]["outcome"] == "unknown";
        if status.is_server_error() || unknown {
            return Err(said(&body));
        }
        Ok(Posted::Refused(said(&body)))
    }

    async fn current(&self, object: &str) -> Result<Option<u64>> {
        let config = self.get("/admin/config").await?;
        Ok(config["versions"][object]["version"].as_u64())
    }
}

enum Posted {
    Answer(Value),
    Refused(eyre::Report),
}

fn said(body: &Value) -> eyre::Report {
    let error = &body["error"];
    let code = error["code"].as_str().unwrap_or("error");
    let text = error["message"].as_str().unwrap_or("no message");
    match error["retry_after_ms"].as_u64() {
        Some(ms) => eyre!("{code}: {text} (come back in {ms} ms)"),
        None => eyre!("{code}: {text}"),
    }
}

fn draw_id() -> String {
    format!("cli-{:016x}", rand::random::<u64>())
}

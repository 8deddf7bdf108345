//! The log service's protocol: `POST /log/STREAM` and `GET /log/STREAM?from=N&wait=MS`.

use crate::http::send_error;
use crate::HttpPlatform;
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use shaleline_border::SendError;
use shaleline_log::{AppendOutcome, LogError, LogService, ReadBatch};
use shaleline_types::{Millis, Offset, Stream};
use std::time::Duration;

/// The largest response to a read.
const READ_BODY_BYTES: usize = 64 << 20;

/// The body of an append.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The records, in order.
    pub records: Vec<String>,
}

/// The response to an append.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct AppendResponse {
    /// The offset of the first record.
    pub first: Offset,
}

const TOO_MANY_REQUESTS: u16 = 429;

impl LogService for HttpPlatform {
    fn append<'a>(
        &'a self,
        stream: &'a Stream,
        records: &'a [String],
    ) -> LocalBoxFuture<'a, AppendOutcome> {
        Box::pin(async move {
            let url = format!("http://{}/log/{stream}", self.platform());
            let body = AppendRequest {
                records: records.to_vec(),
            };
            let sent = self.client().post(url).send_json(&body).await;
            let mut response = match sent {
                Ok(response) => response,
                Err(e) if send_error(&e) == SendError::NotSent => return AppendOutcome::Refused,
                Err(_) => return AppendOutcome::Lost,
            };
            if response.status().as_u16() == TOO_MANY_REQUESTS {
                return AppendOutcome::Refused;
            }
            match response.json::<AppendResponse>().await {
                Ok(body) => AppendOutcome::At(body.first),
                Err(_) => AppendOutcome::Lost,
            }
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a Stream,
        from: Offset,
        wait: Millis,
    ) -> LocalBoxFuture<'a, Result<ReadBatch, LogError>> {
        Box::pin(async move {
            let url = format!(
                "http://{}/log/{stream}?from={}&wait={}",
                self.platform(),
                from.0,
                wait.0
            );
            let timeout = Duration::from_millis(wait.0 + 2_000);
            let sent = self.client().get(url).timeout(timeout).send().await;
            let mut response = sent.map_err(|_| LogError)?;
            if !response.status().is_success() {
                return Err(LogError);
            }
            let body = response.json::<ReadBatch>().limit(READ_BODY_BYTES).await;
            body.map_err(|_| LogError)
        })
    }
}

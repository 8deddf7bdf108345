//! The log service's protocol: `POST /log/STREAM` and `GET /log/STREAM?from=N&wait=MS`.

use crate::http::send_error;
use crate::HttpPlatform;
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use shaleline_border::SendError;
use shaleline_log::{AppendOutcome, LogError, LogService, ReadBatch};
use shaleline_types::{Millis, Offset, Stream};
use std::time::Duration;

/// The largest answer to a read.
const READ_LIMIT: usize = 64 << 20;

/// The body of an append.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The records, in order.
    pub records: Vec<String>,
}

/// The answer to an append.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct AppendResponse {
    /// The offset of the first record.
    pub first: Offset,
}

const TOO_MANY: u16 = 429;

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
            let mut answer = match sent {
                Ok(answer) => answer,
                Err(e) if send_error(&e) == SendError::NotSent => return AppendOutcome::Refused,
                Err(_) => return AppendOutcome::Lost,
            };
            if answer.status().as_u16() == TOO_MANY {
                return AppendOutcome::Refused;
            }
            match answer.json::<AppendResponse>().await {
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
            let mut answer = sent.map_err(|_| LogError)?;
            if !answer.status().is_success() {
                return Err(LogError);
            }
            let body = answer.json::<ReadBatch>().limit(READ_LIMIT).await;
            body.map_err(|_| LogError)
        })
    }
}

//! One request on one connection to an upstream.

use crate::pool::{Channel, Pool, Target};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use std::fmt;
use std::time::Duration;

/// Why a request has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// Not a byte of it was written: it has not run.
    NotSent,
    /// It was written, at least in part: it may have run.
    Broken,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotSent => "the request was not sent",
            Self::Broken => "the connection failed after the request was sent",
        })
    }
}

impl std::error::Error for SendError {}

/// An answer under way. Dropping it before its end closes the connection, which tells the
/// upstream to stop; [`Exchange::finish`] keeps the connection for the next request.
#[derive(Debug)]
pub struct Exchange {
    pub(crate) channel: Channel,
    pub(crate) response: Response<Incoming>,
    pub(crate) target: Target,
    pub(crate) pool: Pool,
    pub(crate) ended: bool,
}

impl Exchange {
    /// The head of the answer.
    #[must_use]
    pub fn head(&self) -> &Response<Incoming> {
        &self.response
    }

    /// The status of the answer.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// The length of the body, where it is known.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        use hyper::body::Body as _;
        self.response.body().size_hint().exact()
    }

    /// The next bytes of the body; none at its end.
    ///
    /// # Errors
    /// [`SendError::Broken`] where the body breaks off before its end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, SendError> {
        loop {
            let Some(frame) = self.response.body_mut().frame().await else {
                self.ended = true;
                return Ok(None);
            };
            let frame = frame.map_err(|_| SendError::Broken)?;
            // Trailers are not passed on.
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// The whole body, up to `limit` bytes.
    ///
    /// # Errors
    /// [`SendError::Broken`] where it breaks off or is longer.
    pub async fn collect(&mut self, limit: usize) -> Result<Bytes, SendError> {
        let mut whole: Option<Bytes> = None;
        let mut parts = Vec::new();
        let mut total = 0;
        while let Some(part) = self.next().await? {
            total += part.len();
            if total > limit {
                return Err(SendError::Broken);
            }
            if let Some(first) = whole.take() {
                parts.push(first);
            }
            whole = Some(part);
        }
        let last = whole.unwrap_or_default();
        if parts.is_empty() {
            return Ok(last);
        }
        parts.push(last);
        Ok(parts.concat().into())
    }

    /// Gives the connection back, to be kept for `keep` at the most; where the answer
    /// has not ended, it is closed.
    pub fn finish(self, keep: Duration) {
        if self.ended {
            self.pool.put(&self.target, self.channel, keep);
        }
    }
}

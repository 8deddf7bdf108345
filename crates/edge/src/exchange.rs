//! One request on one connection to an upstream.

use crate::pool::{Channel, Pool, Target};
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Why a request has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// No byte of it was written, so it did not run.
    NotSent,
    /// It was written at least in part, so it may have run.
    Broken,
    /// It was written, and the head of its response was larger than [`crate::MAX_HEAD_BYTES`].
    HeadTooLarge,
    /// It was written, and the body of its response was larger than its limit.
    BodyTooLarge,
    /// It was written, and the body of its response stopped arriving.
    Stalled,
    /// It was written, and its response has no status that a final response may have.
    InvalidStatus,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotSent => "the request was not sent",
            Self::Broken => "the connection failed after the request was sent",
            Self::HeadTooLarge => "the head of the response is larger than its limit",
            Self::BodyTooLarge => "the body of the response is larger than its limit",
            Self::Stalled => "the body of the response stopped arriving",
            Self::InvalidStatus => "the response has an invalid status",
        })
    }
}

impl std::error::Error for SendError {}

/// The longest pause between two parts of a body that is read steadily: several retransmissions, or
/// a turn of each connection that shares a link.
pub const MAX_PAUSE: Duration = Duration::from_millis(600);

/// The longest time for a body that is read steadily: 8 MB over 10 Mbit/s.
pub const MAX_TRANSFER: Duration = Duration::from_secs(7);

/// How the end of a response's body is found (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// It has a length, possibly zero.
    Length,
    /// It is sent in chunks, the last of which is empty.
    Chunks,
    /// It ends with its connection. The end of a response that was cut off by a closed connection
    /// looks the same.
    Close,
}

impl Framing {
    /// Returns the framing of a response whose body has not been read yet.
    pub(crate) fn of(response: &Response<Incoming>) -> Self {
        let headers = response.headers();
        let coding = headers.get_all(TRANSFER_ENCODING).iter().next_back();
        let chunked = |v: &HeaderValue| v.as_bytes().to_ascii_lowercase().ends_with(b"chunked");
        if coding.is_some_and(chunked) {
            Self::Chunks
        } else if headers.contains_key(CONTENT_LENGTH) || response.body().is_end_stream() {
            // Answers to HEAD, and some statuses, never have a body.
            Self::Length
        } else {
            Self::Close
        }
    }

    /// Returns the name for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Close => "close",
        }
    }
}

/// A response that is being received. Dropping it before its end closes the connection, which
/// cancels the request at the upstream; [`Exchange::finish`] keeps the connection for reuse.
#[derive(Debug)]
pub struct Exchange {
    pub(crate) channel: Channel,
    pub(crate) response: Response<Incoming>,
    pub(crate) target: Target,
    pub(crate) pool: Pool,
    pub(crate) framing: Framing,
    pub(crate) ended: bool,
    /// Why the body can't be read on.
    pub(crate) failed: Option<SendError>,
}

impl Exchange {
    /// Returns the head of the response.
    #[must_use]
    pub fn head(&self) -> &Response<Incoming> {
        &self.response
    }

    /// Returns the address of the daemon through which the request went, if it went through a tunnel.
    #[must_use]
    pub fn relay(&self) -> Option<SocketAddr> {
        self.channel.relay
    }

    /// Returns the status of the response.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Returns the length of the body if it is known.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        self.response.body().size_hint().exact()
    }

    /// Returns how the end of the body is found.
    #[must_use]
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns the next bytes of the body, or `None` at its end.
    ///
    /// # Errors
    /// [`SendError::Broken`] if the body is truncated.
    pub async fn next(&mut self) -> Result<Option<Bytes>, SendError> {
        // After an error the library reports the end of the body.
        if let Some(error) = self.failed {
            return Err(error);
        }
        loop {
            let Some(frame) = self.response.body_mut().frame().await else {
                self.ended = true;
                return Ok(None);
            };
            let Ok(frame) = frame else {
                self.failed = Some(SendError::Broken);
                return Err(SendError::Broken);
            };
            // Trailers are not forwarded.
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the whole body, up to `limit` bytes.
    ///
    /// # Errors
    /// [`SendError::Broken`] if the body is truncated, [`SendError::BodyTooLarge`] if it is longer
    /// than `limit`.
    pub async fn collect(&mut self, limit: usize) -> Result<Bytes, SendError> {
        self.collect_parts(limit, None).await
    }

    /// Reads the body until it has ended or more than `limit` bytes have arrived. Returns these bytes, and
    /// whether the body has ended. Small parts are joined as they arrive.
    ///
    /// # Errors
    /// [`SendError::Broken`] if the body is truncated.
    pub async fn collect_part(&mut self, limit: usize) -> Result<(Bytes, bool), SendError> {
        let Some(first) = self.next().await? else {
            return Ok((Bytes::new(), true));
        };
        if first.len() > limit {
            return Ok((first, false));
        }
        let Some(second) = self.next().await? else {
            return Ok((first, true));
        };
        let mut joined = BytesMut::from(&first[..]);
        joined.extend_from_slice(&second);
        while joined.len() <= limit {
            let Some(part) = self.next().await? else {
                return Ok((joined.freeze(), true));
            };
            joined.extend_from_slice(&part);
        }
        Ok((joined.freeze(), false))
    }

    /// Returns the next bytes of the body like [`Exchange::next`]. Small parts that have arrived already
    /// are joined up to `size` bytes: each part that is passed on costs some work.
    ///
    /// # Errors
    /// Those of [`Exchange::next`].
    pub async fn next_joined(&mut self, size: usize) -> Result<Option<Bytes>, SendError> {
        let Some(first) = self.next().await? else {
            return Ok(None);
        };
        if first.len() >= size {
            return Ok(Some(first));
        }
        let mut joined: Option<BytesMut> = None;
        while joined.as_ref().is_none_or(|j| j.len() < size) {
            // An error or the end of the body is found again by the next call.
            let Some(Ok(Some(part))) = self.next().now_or_never() else {
                break;
            };
            let joined = joined.get_or_insert_with(|| BytesMut::from(&first[..]));
            joined.extend_from_slice(&part);
        }
        Ok(Some(joined.map_or(first, BytesMut::freeze)))
    }

    async fn collect_parts(
        &mut self,
        limit: usize,
        pause: Option<Duration>,
    ) -> Result<Bytes, SendError> {
        if self.length().is_some_and(|l| l > limit as u64) {
            return Err(SendError::BodyTooLarge);
        }
        let mut whole: Option<Bytes> = None;
        let mut parts = Vec::new();
        let mut total = 0;
        loop {
            let part = match pause {
                Some(pause) => tokio::time::timeout(pause, self.next()).await,
                None => Ok(self.next().await),
            };
            let Some(part) = part.unwrap_or(Err(SendError::Stalled))? else {
                break;
            };
            total += part.len();
            if total > limit {
                return Err(SendError::BodyTooLarge);
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

    /// Reads the whole body like [`Exchange::collect`], however long that takes while its bytes keep
    /// arriving: the time that a large body needs depends on the link.
    ///
    /// # Errors
    /// Those of [`Exchange::collect`], and [`SendError::Stalled`] if nothing arrives for
    /// [`MAX_PAUSE`] or the body has not ended after [`MAX_TRANSFER`].
    pub async fn collect_steadily(&mut self, limit: usize) -> Result<Bytes, SendError> {
        let whole = tokio::time::timeout(MAX_TRANSFER, self.collect_parts(limit, Some(MAX_PAUSE)));
        whole.await.unwrap_or(Err(SendError::Stalled))
    }

    /// Returns the connection to the pool, which keeps it idle for at most `max_idle`. The
    /// connection is closed instead if the response has not ended.
    pub fn finish(self, max_idle: Duration) {
        if self.ended {
            self.pool.put(&self.target, self.channel, max_idle);
        }
    }
}

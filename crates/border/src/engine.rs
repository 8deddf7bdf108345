//! The interface to model engines.

use crate::UpstreamReport;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::LocalBoxStream;
use serde::{Deserialize, Serialize};
use shaleline_place::{Item, Order};
use shaleline_types::RequestId;
use std::fmt;

/// A request to generate tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt; responses are matched by both `id` and `attempt`.
    pub attempt: u32,
    /// The model version, with the adapter if one is used.
    pub item: Item,
    /// The prompt.
    pub prompt: String,
    /// The maximum number of tokens to generate.
    pub tokens: u32,
    /// The position to resume from, in tokens of the response.
    pub from: u32,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The hash keys of the prompt's blocks, salted by organisation.
    pub blocks: Vec<u64>,
}

/// One event of a generated response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GenerateEvent {
    /// A token.
    Token {
        /// Its position in the response, starting at 0.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The response is complete.
    End {
        /// The total number of tokens, including those before a resumption.
        total: u32,
    },
}

/// Why a send failed, as far as the sender can determine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// The connection failed before a byte was written.
    NotSent,
    /// The upstream responded that it did not run the request.
    Refused,
    /// The connection failed after the request was written at least in part.
    Broken,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotSent => "the connection failed before the request was written",
            Self::Refused => "the upstream refused the request",
            Self::Broken => "the connection failed after the request was written",
        })
    }
}

impl std::error::Error for SendError {}

/// The stream of events of a generated response.
pub type GenerateStream = LocalBoxStream<'static, Result<GenerateEvent, SendError>>;

/// Access to model engines, each identified by its address.
pub trait Engines {
    /// Fetches the report of an upstream, either an engine or a plain service.
    fn report<'a>(
        &'a self,
        address: &'a str,
    ) -> LocalBoxFuture<'a, Result<UpstreamReport, SendError>>;

    /// Sends an order. Success means that the order was accepted, not that it was completed.
    fn order<'a>(
        &'a self,
        address: &'a str,
        order: &'a Order,
    ) -> LocalBoxFuture<'a, Result<(), SendError>>;

    /// Sends a request to generate and returns the response's events.
    fn generate<'a>(
        &'a self,
        address: &'a str,
        request: &'a GenerateRequest,
    ) -> LocalBoxFuture<'a, Result<GenerateStream, SendError>>;

    /// Cancels an attempt. Errors are ignored.
    fn cancel<'a>(
        &'a self,
        address: &'a str,
        id: RequestId,
        attempt: u32,
    ) -> LocalBoxFuture<'a, ()>;
}

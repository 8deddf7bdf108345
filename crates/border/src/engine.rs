//! Model engines.

use crate::UpstreamReport;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::LocalBoxStream;
use serde::{Deserialize, Serialize};
use shaleline_place::{Item, Order};
use shaleline_types::RequestId;
use std::fmt;

/// A request to generate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The request.
    pub id: RequestId,
    /// Its attempt; answers are matched by both.
    pub attempt: u32,
    /// The weights, or the adapter on top of them.
    pub item: Item,
    /// The prompt.
    pub prompt: String,
    /// How many tokens at the most.
    pub tokens: u32,
    /// The position to resume from, in tokens of the answer.
    pub from: u32,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Keys of the prompt's blocks, salted by organisation.
    pub blocks: Vec<u64>,
}

/// One event of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GenerateEvent {
    /// A token.
    Token {
        /// Its position in the answer, from 0.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The answer is whole.
    End {
        /// How many tokens it has in all, those before a resumption included.
        total: u32,
    },
}

/// Why a send failed, as far as it can be known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// The connection failed before a byte was written.
    NotSent,
    /// The upstream said that it did not run it.
    Refused,
    /// It failed later.
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

/// The events of an answer as they come.
pub type GenerateStream = LocalBoxStream<'static, Result<GenerateEvent, SendError>>;

/// Model engines, each by its address.
pub trait Engines {
    /// Asks an upstream, engine or plain service, for its report.
    fn report<'a>(
        &'a self,
        address: &'a str,
    ) -> LocalBoxFuture<'a, Result<UpstreamReport, SendError>>;

    /// Sends an order. That it was taken says nothing of how it ends.
    fn order<'a>(
        &'a self,
        address: &'a str,
        order: &'a Order,
    ) -> LocalBoxFuture<'a, Result<(), SendError>>;

    /// Sends a request to generate and returns the answer's events.
    fn generate<'a>(
        &'a self,
        address: &'a str,
        request: &'a GenerateRequest,
    ) -> LocalBoxFuture<'a, Result<GenerateStream, SendError>>;

    /// Gives up an attempt. Nothing waits for the outcome.
    fn cancel<'a>(
        &'a self,
        address: &'a str,
        id: RequestId,
        attempt: u32,
    ) -> LocalBoxFuture<'a, ()>;
}

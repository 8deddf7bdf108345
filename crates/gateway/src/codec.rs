//! The trait through which the platform's formats are met: bytes and headers in, typed
//! messages out, and back. An implementation decides nothing.

use crate::Table;
use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};
use shaleline_fleet::{Held, Order, OrderReply};
use shaleline_types::{
    Adapter, DataCentre, Incarnation, KeyHash, Millis, Model, Org, Service, Upstream,
};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// A message that can't be understood, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Malformed {}

/// What the headers of a request say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Head {
    /// The caller's identity for this attempt.
    pub id: String,
    /// How long the caller waits.
    pub patience: Option<Millis>,
    /// The model asked for.
    pub model: Option<Model>,
    /// The adapter asked for on top of it.
    pub adapter: Option<Adapter>,
    /// The caller's API key; none where it shows none, several, or what can be no key.
    pub key: Option<KeyHash>,
    /// Whether it says how many tokens it may take.
    pub counted: bool,
    /// The tokens of the prompt.
    pub prompt: u64,
    /// The most tokens that may be generated.
    pub output: u64,
    /// The parts of the prompt in order, each with its identity and tokens.
    pub parts: Vec<(u64, u32)>,
}

impl Head {
    /// The most tokens that it takes, where it says so.
    #[must_use]
    pub fn tokens(&self) -> Option<u64> {
        let tokens = self.prompt.saturating_add(self.output);
        self.counted.then_some(tokens)
    }
}

/// What the gateway adds to a request that it passes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardContext {
    /// The time that is left.
    pub left: Millis,
    /// The upstream that is meant, so that another at its address refuses.
    pub upstream: Upstream,
    /// The organisation whose request it is.
    pub org: Option<Org>,
    /// The rank at the engine, 0 to 9; 0 is served first.
    pub rank: Option<u8>,
    /// The last event that the caller has, where a stream is resumed.
    pub resume: Option<String>,
}

/// What the headers of an upstream's answer say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request that it answers.
    pub id: Option<String>,
    /// Whether the upstream signed it.
    pub signed: bool,
    /// Whether the upstream says that the request did not run.
    pub not_run: bool,
    /// Requests running, waiting, and the places.
    pub load: Option<(usize, usize, usize)>,
    /// How long the upstream keeps an idle connection; zero where it closes it.
    pub keep: Option<Duration>,
    /// The upstream that answers, where it says so: another than was meant has taken over
    /// the address.
    pub instance: Option<String>,
    /// Whether the body is encoded, which no upstream does.
    pub encoded: bool,
}

/// One upstream as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its service.
    pub service: Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub centre: DataCentre,
    /// How many requests it runs at once.
    pub slots: usize,
    /// Whether it is leaving.
    pub leaving: bool,
    /// What it holds; none for a plain service.
    pub held: Option<Held>,
    /// Which start of it this is about.
    pub incarnation: Incarnation,
}

/// A call to an upstream that is no caller's request.
#[derive(Debug, Clone)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Translates between the platform's messages and the gateway's.
pub trait Codec {
    /// Reads a version of the configuration.
    ///
    /// # Errors
    /// Where it can't be understood; the version before stays in force.
    fn table(&self, bytes: &[u8]) -> Result<Table, Malformed>;

    /// Reads an upstream's entry.
    ///
    /// # Errors
    /// Where it can't be understood: it names no upstream to use.
    fn entry(&self, bytes: &[u8]) -> Result<Entry, Malformed>;

    /// Reads the headers of a request.
    ///
    /// # Errors
    /// Where a header that decides where the request goes is malformed.
    fn head(&self, headers: &HeaderMap) -> Result<Head, Malformed>;

    /// The headers of a request as they are passed on.
    fn forward(&self, headers: &HeaderMap, passage: &ForwardContext) -> HeaderMap;

    /// Reads the head of an upstream's answer.
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// The headers of an answer as they are passed back.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// The headers of the gateway's own answers: the request and when to come back.
    fn refusal(&self, id: &str, retry: Option<Millis>) -> HeaderMap;

    /// An order as a call to its engine.
    fn order(&self, order: &Order) -> Call;

    /// Reads the answer to an order.
    fn order_reply(&self, status: StatusCode) -> OrderReply;

    /// The call that asks an engine what it holds.
    fn report(&self, upstream: &Upstream) -> Call;

    /// Reads what an engine reports to hold.
    ///
    /// # Errors
    /// Where it can't be understood.
    fn held(&self, bytes: &[u8]) -> Result<Held, Malformed>;

    /// The path at which the platform asks whether this daemon takes work.
    fn ready_path(&self) -> &'static str;
}

//! The trait that translates between the platform's formats and typed messages. An implementation
//! decides nothing.

use crate::Table;
use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};
use shaleline_fleet::{Held, Order, OrderReply};
use shaleline_route::Load;
use shaleline_types::{
    Adapter, DataCentre, Incarnation, KeyHash, Millis, Model, Org, Service, SoftwareVersion,
    Upstream,
};
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

/// A message that can't be parsed, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Malformed {}

/// The headers of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Head {
    /// The caller's id for this attempt.
    pub id: String,
    /// How long the caller waits.
    pub patience: Option<Millis>,
    /// The requested model.
    pub model: Option<Model>,
    /// The requested adapter of the model.
    pub adapter: Option<Adapter>,
    /// The hash of the caller's API key; none if there is no key, several, or one that can't be
    /// valid.
    pub key: Option<KeyHash>,
    /// Whether the headers give the token counts.
    pub counted: bool,
    /// The tokens of the prompt.
    pub prompt: u64,
    /// The most tokens that may be generated.
    pub output: u64,
    /// The caller's estimate of the tokens that will be generated: right at the median, often far
    /// off.
    pub hint: Option<u64>,
    /// The parts of the prompt in order, each with its identity and tokens.
    pub parts: Vec<(u64, u32)>,
    /// The id of the caller's attempt that brought the first event of the stream that it resumes.
    pub resumes: Option<String>,
}

impl Head {
    /// The tokens that are probably generated: the caller's estimate within the maximum, or else the
    /// maximum.
    #[must_use]
    pub fn expected_output(&self) -> u64 {
        match self.hint {
            Some(hint) if self.counted => hint.min(self.output),
            Some(hint) => hint,
            None => self.output,
        }
    }

    /// The most tokens that the request may use, if the headers say so.
    #[must_use]
    pub fn tokens(&self) -> Option<u64> {
        let tokens = self.prompt.saturating_add(self.output);
        self.counted.then_some(tokens)
    }
}

/// What the gateway adds to a request that it forwards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardContext {
    /// The time until the deadline.
    pub left: Millis,
    /// The addressed upstream, so that another one at its address refuses.
    pub upstream: Upstream,
    /// The organisation whose request it is.
    pub org: Option<Org>,
    /// The rank at the engine, 0 to 9; 0 is served first.
    pub rank: Option<u8>,
    /// The last event that the caller has, if a stream is resumed.
    pub resume: Option<String>,
}

/// The head of an upstream's answer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerHead {
    /// The id of the request that it answers.
    pub id: Option<String>,
    /// Whether the upstream signed it.
    pub signed: bool,
    /// Whether the upstream reports that the request did not run.
    pub not_run: bool,
    /// The load of the upstream, if it names one.
    pub load: Option<Load>,
    /// How long the upstream keeps an idle connection; zero if it closes it.
    pub keep_alive: Option<Duration>,
    /// The upstream that answers, if named. It differs from the addressed one if it has taken over
    /// the address.
    pub instance: Option<String>,
    /// Whether the body is encoded, which no upstream does.
    pub encoded: bool,
    /// The requests per second that the upstream takes from all daemons together, if it names a
    /// limit.
    pub rate_limit: Option<f64>,
    /// The rejections per second for want of room above which the upstream crashes, if it names
    /// any.
    pub max_rejections: Option<f64>,
    /// Whether the upstream says that it is leaving.
    pub leaving: bool,
    /// When the upstream may be sent to again, if it says so.
    pub retry_after: Option<RetryAfter>,
}

/// A time to come back, in one of the forms of RFC 9110, section 10.2.3.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAfter {
    /// A time from the answer on.
    Delay(Duration),
    /// A point in time, from an answer without a date of its own.
    At(SystemTime),
}

/// One upstream as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its service.
    pub service: Service,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: DataCentre,
    /// The number of requests that it runs at once.
    pub slots: usize,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The models and adapters that it holds; none for a plain service.
    pub held: Option<Held>,
    /// The incarnation of the upstream that the entry describes.
    pub incarnation: Incarnation,
    /// The version of its software.
    pub version: SoftwareVersion,
    /// The time left until it is removed, as it was when the entry was written. Daemons tell each other
    /// in a message of its own, which daemons of earlier releases do not know.
    #[serde(skip)]
    pub remaining: Option<Millis>,
}

/// A call to an upstream that is not a caller's request.
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
    /// Parses a version of the configuration.
    ///
    /// # Errors
    /// If it can't be parsed; the previous version stays in force.
    fn table(&self, bytes: &[u8]) -> Result<Table, Malformed>;

    /// Parses an upstream's entry.
    ///
    /// # Errors
    /// If it can't be parsed: it names no usable upstream.
    fn entry(&self, bytes: &[u8]) -> Result<Entry, Malformed>;

    /// Parses the headers of a request.
    ///
    /// # Errors
    /// If a header that the routing depends on is malformed.
    fn head(&self, headers: &HeaderMap) -> Result<Head, Malformed>;

    /// The headers of a request as they are forwarded.
    fn forward(&self, headers: &HeaderMap, passage: &ForwardContext) -> HeaderMap;

    /// Parses the head of an upstream's answer.
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// The headers of an upstream's answer as they are passed to the caller.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// The headers of the gateway's own answers, with the request's id and the retry-after time.
    fn refusal(&self, id: &str, retry: Option<Millis>) -> HeaderMap;

    /// An order as a call to its engine.
    fn order(&self, order: &Order) -> Call;

    /// Parses the answer to an order.
    fn order_reply(&self, status: StatusCode) -> OrderReply;

    /// The call that asks an engine which models and adapters it holds.
    fn report(&self, upstream: &Upstream) -> Call;

    /// Parses an engine's report of the models and adapters that it holds.
    ///
    /// # Errors
    /// If it can't be parsed.
    fn held(&self, bytes: &[u8]) -> Result<Held, Malformed>;

    /// The time left until an engine is removed, if its report names one.
    fn remaining(&self, report: &[u8]) -> Option<Millis>;

    /// The path at which the platform asks whether this daemon takes work.
    fn ready_path(&self) -> &'static str;
}

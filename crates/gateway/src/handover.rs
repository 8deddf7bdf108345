//! Hands over what one daemon has read from the store to another.
//!
//! Followers take the configuration and the list of upstreams from their hub, and a hub that the
//! store refuses takes them from another hub: calls to the store are priced, and each daemon that
//! reads for itself adds to them. A copy carries its age, so that old knowledge of a hub is not
//! taken for new. `docs/MEMBERSHIP.md` has the measurements.

use crate::config_record::{compress, expand, ConfigRecord};
use crate::journal::emit;
use crate::state::Gateway;
use crate::Entry;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ACCEPT_ENCODING, CONTENT_ENCODING, HOST};
use hyper::{Method, Request, Response, StatusCode, Uri};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shaleline_edge::{Handler, Reply, ReplyBody, Target};
use shaleline_types::{LogEvent, Millis, Position, Upstream};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// The paths of the copies, at the address that daemons use among themselves.
const CONFIG_PATH: &str = "/handover/config";
const ENTRIES_PATH: &str = "/handover/entries";

/// The time until a copy begins to arrive. How long it takes then depends on its size and on the
/// links.
const HEAD_TIMEOUT: Duration = Duration::from_millis(600);

/// The query parameter with the position up to which a daemon knows the configuration already.
const KNOWN_PARAMETER: &str = "known=";

/// The encoding of copies for daemons that accept it.
const GZIP: HeaderValue = HeaderValue::from_static("gzip");

/// The size from which a copy is logged.
const LOGGED_BYTES: usize = 4_096;

/// The largest copy that is accepted.
const MAX_COPY_BYTES: usize = 8 << 20;

/// The time for which an idle connection to another daemon is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(10);

/// The configuration as a daemon has read it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigCopy {
    /// The position at which the next read starts.
    pub(crate) next: Position,
    /// How long ago that was known to be the end, in milliseconds.
    pub(crate) age: u64,
    /// How long ago that was confirmed to be the end, in milliseconds.
    pub(crate) confirmed: Option<u64>,
    /// The record itself; none where there is no configuration yet.
    pub(crate) record: Option<Vec<u8>>,
}

/// The upstreams' entries as a daemon knows them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntriesCopy {
    /// The incarnation of the daemon whose messages of changes `number` counts.
    pub(crate) incarnation: u64,
    /// The last message of changes that the copy covers.
    pub(crate) number: u64,
    /// The position at which the next read starts.
    pub(crate) next: Position,
    /// How long ago that was known to be the end, in milliseconds.
    pub(crate) age: u64,
    /// Whether the store recently failed to answer its reader properly.
    pub(crate) disturbed: bool,
    /// Each with the position of its record.
    pub(crate) entries: Vec<(Upstream, Position, Entry)>,
}

/// Serves copies and tunnels to other daemons.
pub(crate) struct CopyHandler(pub(crate) Rc<Gateway>);

impl Handler for CopyHandler {
    fn handle(&self, request: Request<Incoming>) -> Pin<Box<dyn Future<Output = Reply>>> {
        if request.method() == Method::CONNECT {
            let gw = Rc::clone(&self.0);
            return Box::pin(async move { gw.open_tunnel(request).await });
        }
        let gw = &self.0;
        let reply = match request.uri().path() {
            CONFIG_PATH => config_reply(gw, &request),
            ENTRIES_PATH => entries_copy(gw).and_then(|c| encode(&c)).map(plain_reply),
            _ => None,
        };
        let reply = reply.unwrap_or_else(|| {
            let mut reply = plain_reply(Vec::new());
            *reply.status_mut() = StatusCode::NOT_FOUND;
            reply
        });
        Box::pin(std::future::ready(reply))
    }
}

fn encode<T: Serialize>(copy: &T) -> Option<Vec<u8>> {
    let encoded = postcard::to_stdvec(copy);
    let failed = |e| emit(LogEvent::PeerMessageBad, &format!("reason=\"{e}\""));
    encoded.map_err(failed).ok()
}

fn plain_reply(body: Vec<u8>) -> Reply {
    Response::new(ReplyBody::from_bytes(Bytes::from(body)))
}

/// The copy that a daemon asks for. It lacks the record where that daemon knows it already.
fn config_reply(gw: &Gateway, request: &Request<Incoming>) -> Option<Reply> {
    let (next, at) = gw.reading.borrow().config_known()?;
    let query = request.uri().query().unwrap_or_default();
    let known = query.strip_prefix(KNOWN_PARAMETER).map(str::parse);
    let known = known.and_then(Result::ok).map(Position::from_u64);
    let record = gw.config_record.borrow().clone();
    let record = record.filter(|_| known.is_none_or(|known| next > known));
    let mut copy = ConfigCopy {
        next,
        age: gw.now().since(at),
        confirmed: gw.config_age().map(|a| a.0),
        record: None,
    };
    let accepts = request.headers().get(ACCEPT_ENCODING) == Some(&GZIP);
    if let Some(record) = record.as_ref().filter(|_| accepts) {
        match compress_copy(&copy, record) {
            Ok(body) => {
                let mut reply = plain_reply(body);
                reply.headers_mut().insert(CONTENT_ENCODING, GZIP);
                return Some(reply);
            }
            Err(e) => emit(LogEvent::PeerMessageBad, &format!("reason=\"{e}\"")),
        }
    }
    copy.record = record.map(|r| r.bytes().to_vec());
    encode(&copy).map(plain_reply)
}

/// Encodes a copy with its record as a gzip stream of two members, the second of which is compressed
/// only once.
fn compress_copy(copy: &ConfigCopy, record: &ConfigRecord) -> io::Result<Vec<u8>> {
    // The layout of `ConfigCopy`, whose last field is an option of a sequence of bytes.
    let head = (
        copy.next,
        copy.age,
        copy.confirmed,
        Some(record.bytes().len()),
    );
    let head = postcard::to_stdvec(&head).map_err(io::Error::other)?;
    let mut body = compress(&head)?;
    body.extend_from_slice(&record.compressed()?);
    Ok(body)
}

pub(crate) fn entries_copy(gw: &Gateway) -> Option<EntriesCopy> {
    let reading = gw.reading.borrow();
    let at = reading.entries_known_at()?;
    let roster = gw.roster.borrow();
    let entries = roster.iter();
    let entries = entries.map(|(n, e)| (n.clone(), roster.position(n), e.clone()));
    Some(EntriesCopy {
        incarnation: gw.me.incarnation,
        number: reading.number(),
        next: gw.entries_end.get(),
        disturbed: roster.is_store_unstable(gw.now()),
        age: gw.now().since(at),
        entries: entries.collect(),
    })
}

/// A copy that carries its age and the position at which the next read starts.
trait Aged: DeserializeOwned {
    fn age(&self) -> u64;

    fn next(&self) -> Position;
}

impl Aged for ConfigCopy {
    fn age(&self) -> u64 {
        self.age
    }

    fn next(&self) -> Position {
        self.next
    }
}

impl Aged for EntriesCopy {
    fn age(&self) -> u64 {
        self.age
    }

    fn next(&self) -> Position {
        self.next
    }
}

/// The copy that a daemon asks for.
struct Wanted {
    path: &'static str,
    /// What this daemon has already.
    known: Option<Position>,
    /// An older copy is of no use.
    least: Position,
    /// A copy must be younger.
    max_age: Millis,
}

impl Wanted {
    fn uri(&self) -> Result<Uri, String> {
        let Some(known) = self.known else {
            return Ok(Uri::from_static(self.path));
        };
        let text = format!("{}?{KNOWN_PARAMETER}{}", self.path, known.to_u64());
        Uri::try_from(text).map_err(|e| e.to_string())
    }
}

/// A copy as it arrived.
struct Received<T> {
    copy: T,
    /// The earliest time at which its first bytes may have arrived.
    came: Millis,
    /// Its size on the link.
    bytes: usize,
}

/// Requests a copy from one daemon.
async fn fetch_from<T: Aged>(
    gw: &Gateway,
    peer: SocketAddr,
    wanted: &Wanted,
) -> Result<Received<T>, String> {
    let requested = gw.now();
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = wanted.uri()?;
    request.headers_mut().insert(ACCEPT_ENCODING, GZIP);
    let host = HeaderValue::from_str(&peer.to_string()).map_err(|e| e.to_string())?;
    request.headers_mut().insert(HOST, host);
    let target = Target {
        name: Upstream::from_text("peer").expect("a valid name"),
        address: peer,
    };
    let exchange = tokio::time::timeout(HEAD_TIMEOUT, gw.pool.send(&target, request)).await;
    let mut exchange = exchange
        .map_err(|e| e.to_string())?
        .map_err(|e| e.to_string())?;
    let came = gw.earliest_arrival().max(requested);
    let body = exchange.collect_steadily(MAX_COPY_BYTES).await;
    let body = body.map_err(|e| e.to_string())?;
    let status = exchange.status();
    let compressed = exchange.head().headers().get(CONTENT_ENCODING) == Some(&GZIP);
    exchange.finish(KEEP_ALIVE);
    if status != StatusCode::OK {
        return Err("the daemon has no copy yet".to_owned());
    }
    let bytes = body.len();
    let body = match compressed {
        true => expand(&body, MAX_COPY_BYTES)
            .map_err(|e| e.to_string())?
            .into(),
        false => body,
    };
    let copy: T = postcard::from_bytes(&body).map_err(|e| e.to_string())?;
    if copy.age() >= wanted.max_age.0 {
        return Err(format!("the copy is {} ms old", copy.age()));
    }
    if copy.next() < wanted.least {
        return Err(format!(
            "the copy ends at {}, before {}",
            copy.next(),
            wanted.least
        ));
    }
    Ok(Received { copy, came, bytes })
}

/// A copy, as of when it is, and when it was requested.
pub(crate) struct Fetched<T> {
    pub(crate) copy: T,
    pub(crate) at: Millis,
    pub(crate) requested: Millis,
}

/// Returns the first copy that is wanted of the daemons that may have read the store for this one: a
/// follower asks its hub, a hub the other hubs.
async fn fetch<T: Aged>(gw: &Gateway, wanted: &Wanted) -> Option<Fetched<T>> {
    let sources = gw.membership.borrow_mut().sources(gw.now());
    for (tried, peer) in sources.into_iter().enumerate() {
        let requested = gw.now();
        let received = fetch_from::<T>(gw, peer, wanted).await;
        let took = gw.now().since(requested);
        let from = format!(
            "peer={peer} path={} tries={} ms={took}",
            wanted.path,
            tried + 1
        );
        match received {
            Ok(Received { copy, came, bytes }) => {
                if bytes >= LOGGED_BYTES {
                    let detail = format!("{from} bytes={bytes} next={}", copy.next());
                    emit(LogEvent::CopyTaken, &detail);
                }
                let at = Millis(came.0.saturating_sub(copy.age()));
                return Some(Fetched {
                    copy,
                    at,
                    requested,
                });
            }
            Err(reason) if gw.log_budget.take(gw.now()) => {
                emit(LogEvent::CopyMissed, &format!("{from} reason={reason:?}"));
            }
            // The budget of log lines is used up; the next lines say the same.
            Err(_) => {}
        }
    }
    None
}

/// Fetches a fresh copy of the configuration that is no older than what is known of it. `known` is
/// the position up to which this daemon has read it.
pub(crate) async fn config(gw: &Gateway, known: Option<Position>) -> Option<Fetched<ConfigCopy>> {
    let reported = gw.reading.borrow().reported_config();
    let wanted = Wanted {
        path: CONFIG_PATH,
        known,
        least: known.unwrap_or_default().max(reported).max(gw.era_start()),
        max_age: gw.freshness().config,
    };
    fetch(gw, &wanted).await
}

/// Fetches the configuration of one daemon, however old its knowledge of the store is.
pub(crate) async fn config_of(gw: &Gateway, peer: SocketAddr) -> Result<ConfigCopy, String> {
    let wanted = Wanted {
        path: CONFIG_PATH,
        known: None,
        least: Position::default(),
        max_age: Millis(u64::MAX),
    };
    let received = fetch_from(gw, peer, &wanted).await;
    received.map(|r| r.copy)
}

/// Fetches a fresh copy of the upstreams' entries.
pub(crate) async fn entries(gw: &Gateway) -> Option<Fetched<EntriesCopy>> {
    let wanted = Wanted {
        path: ENTRIES_PATH,
        known: None,
        least: Position::default(),
        max_age: gw.freshness().entries,
    };
    fetch(gw, &wanted).await
}

//! Hands over what one daemon has read from the store to another.
//!
//! Followers take the configuration and the list of upstreams from their hub, and a hub that the
//! store refuses takes them from another hub: calls to the store are priced, and each daemon that
//! reads for itself adds to them. A copy carries its age, so that old knowledge of a hub is not
//! taken for new. `docs/MEMBERSHIP.md` has the measurements.

use crate::journal::emit;
use crate::state::Gateway;
use crate::Entry;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, HOST};
use hyper::{Method, Request, Response, StatusCode, Uri};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shaleline_edge::{Handler, Reply, ReplyBody, SendError, Target};
use shaleline_types::{LogEvent, Millis, Position, Upstream};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// The paths of the copies, at the address that daemons use among themselves.
const CONFIG_PATH: &str = "/handover/config";
const ENTRIES_PATH: &str = "/handover/entries";

/// The timeout for a copy: a configuration of some hundred models has 60 KB, and thirty daemons may
/// ask a hub for it at once.
const COPY_TIMEOUT: Duration = Duration::from_millis(600);

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
        let copy = match request.uri().path() {
            CONFIG_PATH => config_copy(gw).and_then(|c| encode(&c)),
            ENTRIES_PATH => entries_copy(gw).and_then(|c| encode(&c)),
            _ => None,
        };
        let status = match copy {
            Some(_) => StatusCode::OK,
            None => StatusCode::NOT_FOUND,
        };
        let mut reply = Response::new(ReplyBody::from_bytes(copy.unwrap_or_default()));
        *reply.status_mut() = status;
        Box::pin(std::future::ready(reply))
    }
}

fn encode<T: Serialize>(copy: &T) -> Option<Bytes> {
    postcard::to_stdvec(copy).ok().map(Bytes::from)
}

fn config_copy(gw: &Gateway) -> Option<ConfigCopy> {
    let (next, at) = gw.reading.borrow().config_known()?;
    Some(ConfigCopy {
        next,
        age: gw.now().since(at),
        confirmed: gw.config_age().map(|a| a.0),
        record: gw.config_record.borrow().as_ref().map(|r| r.to_vec()),
    })
}

fn entries_copy(gw: &Gateway) -> Option<EntriesCopy> {
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

/// A copy that carries its age.
trait Aged: DeserializeOwned {
    fn age(&self) -> u64;
}

impl Aged for ConfigCopy {
    fn age(&self) -> u64 {
        self.age
    }
}

impl Aged for EntriesCopy {
    fn age(&self) -> u64 {
        self.age
    }
}

/// Requests a copy that is younger than `max_age` from one daemon.
async fn fetch_from<T: Aged>(
    gw: &Gateway,
    peer: SocketAddr,
    path: &'static str,
    max_age: Millis,
) -> Result<T, String> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(path);
    let host = HeaderValue::from_str(&peer.to_string()).map_err(|e| e.to_string())?;
    request.headers_mut().insert(HOST, host);
    let target = Target {
        name: Upstream::from_text("peer").expect("a valid name"),
        address: peer,
    };
    let exchange = async {
        let mut exchange = gw.pool.send(&target, request).await?;
        let status = exchange.status();
        let body = exchange.collect(MAX_COPY_BYTES).await?;
        exchange.finish(KEEP_ALIVE);
        Ok::<_, SendError>((status, body))
    };
    let answer = tokio::time::timeout(COPY_TIMEOUT, exchange).await;
    let (status, body) = answer
        .map_err(|e| e.to_string())?
        .map_err(|e| e.to_string())?;
    if status != StatusCode::OK {
        return Err("the daemon has no copy yet".to_owned());
    }
    let copy: T = postcard::from_bytes(&body).map_err(|e| e.to_string())?;
    if copy.age() >= max_age.0 {
        return Err(format!("the copy is {} ms old", copy.age()));
    }
    Ok(copy)
}

/// A copy, as of when it is, and when it was requested.
pub(crate) struct Fetched<T> {
    pub(crate) copy: T,
    pub(crate) at: Millis,
    pub(crate) requested: Millis,
}

/// Returns the first fresh copy of the daemons that may have read the store for this one: a
/// follower asks its hub, a hub the other hubs.
async fn fetch<T: Aged>(gw: &Gateway, path: &'static str, max_age: Millis) -> Option<Fetched<T>> {
    let sources = gw.membership.borrow_mut().sources(gw.now());
    for peer in sources {
        let requested = gw.now();
        match fetch_from::<T>(gw, peer, path, max_age).await {
            Ok(copy) => {
                let came = gw.earliest_arrival().max(requested);
                let at = Millis(came.0.saturating_sub(copy.age()));
                return Some(Fetched {
                    copy,
                    at,
                    requested,
                });
            }
            Err(reason) if gw.log_budget.take(gw.now()) => {
                let detail = format!("peer={peer} path={path} reason={reason:?}");
                emit(LogEvent::CopyMissed, &detail);
            }
            // The budget of log lines is used up; the next lines say the same.
            Err(_) => {}
        }
    }
    None
}

/// Fetches a fresh copy of the configuration.
pub(crate) async fn config(gw: &Gateway) -> Option<Fetched<ConfigCopy>> {
    fetch(gw, CONFIG_PATH, gw.freshness().config).await
}

/// Fetches the configuration of one daemon, however old its knowledge of the store is.
pub(crate) async fn config_of(gw: &Gateway, peer: SocketAddr) -> Result<ConfigCopy, String> {
    fetch_from(gw, peer, CONFIG_PATH, Millis(u64::MAX)).await
}

/// Fetches a fresh copy of the upstreams' entries.
pub(crate) async fn entries(gw: &Gateway) -> Option<Fetched<EntriesCopy>> {
    fetch(gw, ENTRIES_PATH, gw.freshness().entries).await
}

//! What one daemon has read from the store, handed over to another.
//!
//! Followers take the configuration and the list of upstreams from their hub, and a hub
//! that the store refuses takes them from another hub: calls to the store are priced, and
//! each daemon that reads for itself is one more. A copy says how old it is, so that what
//! a hub has known for too long is not taken for new. `docs/MEMBERSHIP.md` has the
//! measurements.

use crate::state::Gateway;
use crate::Entry;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shaleline_edge::{Handler, Reply, ReplyBody, Target};
use shaleline_types::{Millis, Upstream};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// Where copies are handed over, on the address that daemons use among themselves.
const CONFIG_PATH: &str = "/handover/config";
const ENTRIES_PATH: &str = "/handover/entries";

/// How long a copy may take: a configuration of some hundred models has 60 KB, and thirty
/// daemons may ask a hub for it at once.
const LIMIT: Duration = Duration::from_millis(600);

/// The largest copy that is taken.
const MOST_BYTES: usize = 8 << 20;

/// How long a connection to another daemon is kept.
const KEEP: Duration = Duration::from_secs(10);

/// The configuration as a daemon has read it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigCopy {
    /// The offset to read on from.
    pub(crate) next: u64,
    /// How long ago that was the end, in milliseconds.
    pub(crate) age: u64,
    /// The record itself; none where there is no configuration yet.
    pub(crate) record: Option<Vec<u8>>,
}

/// The upstreams' entries as a daemon knows them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntriesCopy {
    /// Whose messages of changes `number` counts.
    pub(crate) life: u64,
    /// The last message of changes that the copy covers.
    pub(crate) number: u64,
    /// The offset to read on from.
    pub(crate) next: u64,
    /// How long ago that was the end, in milliseconds.
    pub(crate) age: u64,
    /// Each with the offset of its record.
    pub(crate) entries: Vec<(Upstream, u64, Entry)>,
}

/// Hands copies over to other daemons.
pub(crate) struct Copies(pub(crate) Rc<Gateway>);

impl Handler for Copies {
    fn handle(&self, request: Request<Incoming>) -> Pin<Box<dyn Future<Output = Reply>>> {
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
    let (next, at) = gw.reading.borrow().config_at()?;
    Some(ConfigCopy {
        next,
        age: gw.now().since(at),
        record: gw.config_record.borrow().as_ref().map(|r| r.to_vec()),
    })
}

fn entries_copy(gw: &Gateway) -> Option<EntriesCopy> {
    let reading = gw.reading.borrow();
    let at = reading.entries_at()?;
    let roster = gw.roster.borrow();
    let entries = roster.iter();
    let entries = entries.map(|(n, e)| (n.clone(), roster.offset(n), e.clone()));
    Some(EntriesCopy {
        life: gw.me.life,
        number: reading.number(),
        next: gw.entries_next.get(),
        age: gw.now().since(at),
        entries: entries.collect(),
    })
}

async fn ask<T: DeserializeOwned>(gw: &Gateway, peer: SocketAddr, path: &str) -> Option<T> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().ok()?;
    let host = peer.to_string().parse().ok()?;
    request.headers_mut().insert(HOST, host);
    let target = Target {
        name: Upstream::from_text("peer").ok()?,
        address: peer,
    };
    let exchange = async {
        let mut exchange = gw.pool.send(&target, request).await.ok()?;
        let status = exchange.status();
        let body = exchange.collect(MOST_BYTES).await.ok()?;
        exchange.finish(KEEP);
        (status == StatusCode::OK).then_some(body)
    };
    let body = tokio::time::timeout(LIMIT, exchange).await.ok()??;
    postcard::from_bytes(&body).ok()
}

/// Which daemons to ask: a follower its hub, a hub the others.
fn sources(gw: &Gateway) -> Vec<SocketAddr> {
    gw.mesh.borrow_mut().sources(gw.now())
}

/// A fresh copy of the configuration, and as of when it is.
pub(crate) async fn config(gw: &Gateway) -> Option<(ConfigCopy, Millis)> {
    for peer in sources(gw) {
        let copy: Option<ConfigCopy> = ask(gw, peer, CONFIG_PATH).await;
        if let Some(copy) = copy.filter(|c| c.age < gw.freshness().config.0) {
            let at = Millis(gw.now().0.saturating_sub(copy.age));
            return Some((copy, at));
        }
    }
    None
}

/// A fresh copy of the upstreams' entries, and as of when it is.
pub(crate) async fn entries(gw: &Gateway) -> Option<(EntriesCopy, Millis)> {
    for peer in sources(gw) {
        let copy: Option<EntriesCopy> = ask(gw, peer, ENTRIES_PATH).await;
        if let Some(copy) = copy.filter(|c| c.age < gw.freshness().entries.0) {
            let at = Millis(gw.now().0.saturating_sub(copy.age));
            return Some((copy, at));
        }
    }
    None
}

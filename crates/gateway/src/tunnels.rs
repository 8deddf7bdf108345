//! Reaches upstreams through another daemon, where the path from this one is broken.
//!
//! A daemon asks another one, by the method CONNECT, for a connection to an upstream that both know,
//! and sends one request on it. Only the bytes go through the tunnel: the daemon that has the request
//! keeps every decision about it. The daemon in between connects to the upstream itself, so there is
//! one hop at most. Orders to engines never go through a tunnel: engines tell planners apart by the
//! machine that orders come from. `docs/design/tunnels.md` compares the alternatives.

use crate::message::{Message, Sender};
use crate::network::Network;
use crate::relays::RelayMessage;
use crate::state::{Gateway, DEAD_TIMEOUT};
use bytes::Bytes;
use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use shaleline_edge::tunnel::TunnelError;
use shaleline_edge::{
    tunnel, BoxedConnection, LocalFuture, Reply, ReplyBody, Target, Tunnel, Tunnels,
};
use shaleline_types::{Millis, Service, Upstream};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time in which a daemon must open a tunnel. It tries to connect for less than that.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(250);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval at which it is looked again whether a request on a broken path is lost.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which another daemon is asked too.
const RELAY_PAUSE: Duration = Duration::from_millis(40);

/// The number of daemons that are asked for a tunnel: most of them may not reach the upstream
/// either.
const MAX_RELAYS: usize = 8;

/// The most tunnels that a daemon serves at once, to keep descriptors for its own callers.
const MAX_TUNNELS: usize = 500;

/// The tunnels of a gateway, for one request.
pub(crate) struct GatewayTunnels<'a> {
    gw: &'a Gateway,
    /// When the request was sent on a direct connection.
    direct_since: Cell<Option<Millis>>,
}

impl<'a> GatewayTunnels<'a> {
    pub(crate) fn new(gw: &'a Gateway) -> Self {
        Self {
            gw,
            direct_since: Cell::new(None),
        }
    }

    /// When the request was sent on a direct connection, if it was.
    pub(crate) fn direct_since(&self) -> Option<Millis> {
        self.direct_since.get()
    }

    fn is_broken(&self, upstream: &Upstream) -> bool {
        self.gw.with_paths(upstream, |p| p.is_broken(upstream))
    }

    /// Waits until the request has most likely been lost with its path.
    pub(crate) async fn until_lost(&self, upstream: &Upstream) {
        loop {
            let broken = self.gw.path_broken.notified();
            let now = self.gw.now();
            let is_lost = self.direct_since.get().is_some_and(|sent| {
                self.gw
                    .with_paths(upstream, |p| p.is_lost(upstream, sent, now))
            });
            if is_lost {
                return;
            }
            match self.direct_since.get().is_some() && self.is_broken(upstream) {
                true => sleep(RECHECK_INTERVAL).await,
                false => broken.await,
            }
        }
    }
}

impl Tunnels for GatewayTunnels<'_> {
    fn is_needed(&self, target: &Target) -> bool {
        self.is_broken(&target.name)
    }

    fn is_doubtful(&self, target: &Target) -> bool {
        let name = &target.name;
        self.gw.with_paths(name, |p| p.is_doubtful(name))
    }

    fn is_allowed(&self, target: &Target) -> bool {
        let (name, now) = (&target.name, self.gw.now());
        self.gw.with_paths(name, |p| p.may_tunnel(name, now))
    }

    fn direct<'a>(&'a self, target: &'a Target) -> LocalFuture<'a, io::Result<BoxedConnection>> {
        self.gw.connect_directly(target)
    }

    fn connect<'a>(&'a self, target: &'a Target) -> LocalFuture<'a, io::Result<Tunnel>> {
        Box::pin(self.gw.connect_by_tunnel(target))
    }

    fn on_direct(&self, target: &Target, opened: bool) {
        self.gw.record_direct(&target.name, opened);
    }

    fn on_send(&self, target: &Target, relay: Option<SocketAddr>) {
        if relay.is_none() {
            let now = self.gw.now();
            self.direct_since.set(Some(now));
            let name = &target.name;
            self.gw.with_paths(name, |p| p.on_send(name, now));
        }
    }
}

/// Counts an open tunnel until it is dropped.
pub(crate) struct TunnelGuard(Rc<Cell<usize>>);

impl TunnelGuard {
    fn begin(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Why a daemon opened no tunnel, as its answer shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Missed {
    /// It gave no answer, or none that makes sense.
    Silent,
    /// It answered with this status.
    Status(StatusCode),
}

/// Asks a daemon for a tunnel. It may be stopping, cut off or down itself.
async fn ask_relay(
    network: &dyn Network,
    relay: SocketAddr,
    target: &Target,
) -> (SocketAddr, Result<BoxedConnection, Missed>) {
    let connect = network.tunnel(relay, target);
    let answer = match timeout(TUNNEL_TIMEOUT, connect).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(TunnelError::Refused(status))) => Err(Missed::Status(status)),
        Ok(Err(TunnelError::Failed(_))) | Err(_) => Err(Missed::Silent),
    };
    (relay, answer)
}

impl Gateway {
    /// Connects directly.
    pub(crate) fn connect_directly<'a>(
        &'a self,
        target: &'a Target,
    ) -> LocalFuture<'a, io::Result<BoxedConnection>> {
        self.network.direct(target)
    }

    /// Connects through the first daemon that reaches the upstream.
    pub(crate) async fn connect_by_tunnel(&self, target: &Target) -> io::Result<Tunnel> {
        let service = self.path_service(&target.name);
        self.begin_search(&service);
        let mut asked = FuturesUnordered::new();
        let mut tried = BTreeSet::new();
        let mut missed = Vec::new();
        let mut waited = false;
        loop {
            let relay = match tried.len() < MAX_RELAYS {
                true => {
                    let mut relays = self.relays.borrow_mut();
                    relays.of(&service).next(&tried, self.now())
                }
                false => None,
            };
            if let Some(relay) = relay {
                tried.insert(relay);
                asked.push(ask_relay(&*self.network, relay, target));
            }
            if asked.is_empty() {
                if std::mem::replace(&mut waited, true) {
                    break;
                }
                // The hubs may name daemons meanwhile.
                sleep(RELAY_PAUSE).await;
                continue;
            }
            // The next daemon is asked once one has failed, or is slow.
            match timeout(RELAY_PAUSE, asked.next()).await {
                Ok(Some((relay, Ok(stream)))) => {
                    self.last_relay.set(Some(relay));
                    self.record_answer_of(&service, relay, true);
                    self.record_tunnel(&target.name, true, true);
                    return Ok(Tunnel { stream, relay });
                }
                Ok(Some((relay, Err(reason)))) => {
                    if reason != Missed::Status(StatusCode::NOT_FOUND) {
                        self.record_answer_of(&service, relay, false);
                    }
                    missed.push(reason);
                }
                Ok(None) | Err(_) => {}
            }
        }
        self.last_relay.set(None);
        let tried_upstream = missed.contains(&Missed::Status(StatusCode::BAD_GATEWAY));
        // Where nobody can be asked, only this daemon's other paths tell.
        let unable = self.with_paths(&target.name, |p| p.is_unable());
        let reliable = tried_upstream || missed.is_empty() && !unable;
        self.record_tunnel(&target.name, false, reliable);
        self.log_missed(target, &missed);
        Err(io::Error::from(io::ErrorKind::HostUnreachable))
    }

    /// Collects the daemons that may be asked, and asks the hubs for more.
    fn begin_search(&self, service: &Service) {
        let now = self.now();
        let known = self.membership.borrow().known_addresses();
        let mut relays = self.relays.borrow_mut();
        let relays_of = relays.of(service);
        relays_of.on_known(&known, || self.random(), now);
        relays_of.on_search();
        drop(relays);
        self.request_relays(service);
    }

    /// Asks the hubs for relays to a service, unless that happened just now.
    pub(crate) fn request_relays(&self, service: &Service) {
        let now = self.now();
        if !self.relays.borrow_mut().of(service).take_request(now) {
            return;
        }
        let message = RelayMessage::Request {
            service: service.clone(),
            unable: self.is_unable_for(service),
        };
        let hubs = self.membership.borrow_mut().known_hubs(now);
        let request = |hub| (hub, Message::Relays(message.clone()));
        self.send(hubs.into_iter().map(request).collect());
        if let Some(own) = self.relay_list(service, self.me.address) {
            self.learn_relays(service, &own);
        }
    }

    /// The daemons that this one names as relays to a service, if it is a hub.
    fn relay_list(&self, service: &Service, asker: SocketAddr) -> Option<Vec<SocketAddr>> {
        let now = self.now();
        let mut membership = self.membership.borrow_mut();
        if !membership.is_hub(now) {
            return None;
        }
        let me = (!self.is_unable_for(service)).then_some(self.me.address);
        let alive = membership.reporting(now).into_iter().chain(me);
        let alive = alive.filter(|a| *a != asker);
        let mut relays = self.relays.borrow_mut();
        Some(relays.of(service).list(alive, || self.random(), now))
    }

    fn learn_relays(&self, service: &Service, listed: &[SocketAddr]) {
        let now = self.now();
        let mut relays = self.relays.borrow_mut();
        let relays = relays.of(service);
        relays.on_known(listed, || self.random(), now);
        relays.on_listed(listed, now);
    }

    /// Handles a message about relays.
    pub(crate) fn on_relay_message(&self, from: &Sender, message: &RelayMessage) {
        match message {
            RelayMessage::Request { service, unable } => {
                let now = self.now();
                let mut relays = self.relays.borrow_mut();
                relays.of(service).on_report(from.address, *unable, now);
                drop(relays);
                let list = self.relay_list(service, from.address).map(|daemons| {
                    let service = service.clone();
                    let list = RelayMessage::List { service, daemons };
                    (from.address, Message::Relays(list))
                });
                self.send(list.into_iter().collect());
            }
            RelayMessage::List { service, daemons } => self.learn_relays(service, daemons),
        }
    }

    fn record_answer_of(&self, service: &Service, relay: SocketAddr, opened: bool) {
        let now = self.now();
        let mut relays = self.relays.borrow_mut();
        relays.of(service).on_answer(relay, opened, now);
    }

    /// Opens a tunnel for another daemon.
    pub(crate) async fn open_tunnel(&self, request: Request<Incoming>) -> Reply {
        let name = request.uri().authority().map(|a| a.host().to_owned());
        let name = name.and_then(|n| Upstream::from_text(&n).ok());
        let Some(name) = name else {
            return answer(StatusCode::NOT_FOUND);
        };
        let (stream, guard) = match self.connect_for(&name).await {
            Ok(connected) => connected,
            Err(status) => return answer(status),
        };
        let upgrade = hyper::upgrade::on(request);
        actix_rt::spawn(async move {
            tunnel::run(upgrade, stream, DEAD_TIMEOUT).await;
            drop(guard);
        });
        answer(StatusCode::OK)
    }

    /// Connects to an upstream for another daemon.
    pub(crate) async fn connect_for(
        &self,
        name: &Upstream,
    ) -> Result<(BoxedConnection, TunnelGuard), StatusCode> {
        let target = self.target(name).ok_or(StatusCode::NOT_FOUND)?;
        let now = self.now();
        let broken = !self.with_paths(name, |p| p.may_relay(name, now));
        let full = self.open_tunnels.get() >= MAX_TUNNELS;
        if !self.may_tunnel_to(name) || self.stopping.get() || broken || full {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let guard = TunnelGuard::begin(&self.open_tunnels);
        let connected = timeout(CONNECT_TIMEOUT, self.connect_directly(&target)).await;
        self.record_direct(name, matches!(connected, Ok(Ok(_))));
        match connected {
            Ok(Ok(stream)) => Ok((stream, guard)),
            // It is not known whether the upstream or this daemon's path to it has failed.
            Ok(Err(_)) | Err(_) if self.with_paths(name, |p| p.is_unable()) => {
                Err(StatusCode::SERVICE_UNAVAILABLE)
            }
            Ok(Err(_)) | Err(_) => Err(StatusCode::BAD_GATEWAY),
        }
    }
}

fn answer(status: StatusCode) -> Reply {
    let mut reply = Response::new(ReplyBody::from_bytes(Bytes::new()));
    *reply.status_mut() = status;
    reply
}

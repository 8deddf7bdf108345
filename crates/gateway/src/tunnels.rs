//! Reaches upstreams through another daemon, where the path from this one is broken.
//!
//! A daemon asks another one, by the method CONNECT, for a connection to an upstream that both know,
//! and sends one request on it. Only the bytes go through the tunnel: the daemon that has the request
//! keeps every decision about it. The daemon in between connects to the upstream itself, so there is
//! one hop at most. Orders to engines never go through a tunnel: engines tell planners apart by the
//! machine that orders come from. `docs/design/tunnels.md` compares the alternatives.

use crate::journal::emit;
use crate::message::{Message, Sender};
use crate::network::Network;
use crate::paths::PathChange;
use crate::relays::RelayMessage;
use crate::state::{Gateway, DEAD_TIMEOUT};
use bytes::Bytes;
use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use shaleline_edge::tunnel::TunnelError;
use shaleline_edge::{
    tunnel, BoxedConnection, LocalFuture, ProbeOutcome, Reply, ReplyBody, Target, Tunnel, Tunnels,
};
use shaleline_types::{LogEvent, Upstream};
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

/// Time in which a probe of the direct path must connect.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which another daemon is asked too.
const RELAY_PAUSE: Duration = Duration::from_millis(40);

/// The number of daemons that are asked for a tunnel: most of them may not reach the upstream
/// either.
const MAX_RELAYS: usize = 8;

/// The most tunnels that a daemon serves at once, to keep descriptors for its own callers.
const MAX_TUNNELS: usize = 500;

/// The tunnels of a gateway.
pub(crate) struct GatewayTunnels<'a>(pub(crate) &'a Gateway);

impl Tunnels for GatewayTunnels<'_> {
    fn is_needed(&self, target: &Target) -> bool {
        self.0.paths.borrow().is_broken(&target.name)
    }

    fn is_doubtful(&self, target: &Target) -> bool {
        self.0.paths.borrow().is_doubtful(&target.name)
    }

    fn is_allowed(&self, target: &Target) -> bool {
        let gw = self.0;
        gw.paths.borrow().may_tunnel(&target.name, gw.now())
    }

    fn direct<'a>(&'a self, target: &'a Target) -> LocalFuture<'a, io::Result<BoxedConnection>> {
        self.0.connect_directly(target)
    }

    fn connect<'a>(&'a self, target: &'a Target) -> LocalFuture<'a, io::Result<Tunnel>> {
        Box::pin(self.0.connect_by_tunnel(target))
    }

    fn on_direct(&self, target: &Target, opened: bool) {
        self.0.record_direct(&target.name, opened);
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
enum Missed {
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
    async fn connect_by_tunnel(&self, target: &Target) -> io::Result<Tunnel> {
        self.begin_search();
        let mut asked = FuturesUnordered::new();
        let mut tried = BTreeSet::new();
        let mut missed = Vec::new();
        let mut waited = false;
        loop {
            let relay = match tried.len() < MAX_RELAYS {
                true => self.relays.borrow_mut().next(&tried, self.now()),
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
                    self.record_answer_of(relay, true);
                    self.record_tunnel(&target.name, true, true);
                    return Ok(Tunnel { stream, relay });
                }
                Ok(Some((relay, Err(reason)))) => {
                    if reason != Missed::Status(StatusCode::NOT_FOUND) {
                        self.record_answer_of(relay, false);
                    }
                    missed.push(reason);
                }
                Ok(None) | Err(_) => {}
            }
        }
        self.last_relay.set(None);
        let tried_upstream = missed.contains(&Missed::Status(StatusCode::BAD_GATEWAY));
        let reliable = tried_upstream || !self.paths.borrow().is_unable();
        self.record_tunnel(&target.name, false, reliable);
        self.log_missed(target, &missed);
        Err(io::Error::from(io::ErrorKind::HostUnreachable))
    }

    /// Collects the daemons that may be asked, and asks the hubs for more.
    fn begin_search(&self) {
        let now = self.now();
        let known = self.membership.borrow().known_addresses();
        let mut relays = self.relays.borrow_mut();
        relays.on_known(&known, || self.random(), now);
        relays.on_search();
        drop(relays);
        self.request_relays();
    }

    /// Asks the hubs for relays, unless that happened just now.
    pub(crate) fn request_relays(&self) {
        let now = self.now();
        if !self.relays.borrow_mut().take_request(now) {
            return;
        }
        let unable = self.paths.borrow().is_unable();
        let hubs = self.membership.borrow_mut().known_hubs(now);
        let request = |hub| (hub, Message::Relays(RelayMessage::Request { unable }));
        self.send(hubs.into_iter().map(request).collect());
        if let Some(own) = self.relay_list(self.me.address) {
            self.learn_relays(&own);
        }
    }

    /// The daemons that this one names as relays, if it is a hub.
    fn relay_list(&self, asker: SocketAddr) -> Option<Vec<SocketAddr>> {
        let now = self.now();
        let mut membership = self.membership.borrow_mut();
        if !membership.is_hub(now) {
            return None;
        }
        let unable = self.paths.borrow().is_unable();
        let me = (!unable).then_some(self.me.address);
        let alive = membership.reporting(now).into_iter().chain(me);
        let alive = alive.filter(|a| *a != asker);
        let relays = self.relays.borrow();
        Some(relays.list(alive, || self.random(), now))
    }

    fn learn_relays(&self, listed: &[SocketAddr]) {
        let now = self.now();
        let mut relays = self.relays.borrow_mut();
        relays.on_known(listed, || self.random(), now);
        relays.on_listed(listed, now);
    }

    /// Handles a message about relays.
    pub(crate) fn on_relay_message(&self, from: &Sender, message: &RelayMessage) {
        match message {
            RelayMessage::Request { unable } => {
                let now = self.now();
                self.relays
                    .borrow_mut()
                    .on_report(from.address, *unable, now);
                let list = self.relay_list(from.address);
                let list = list.map(|l| (from.address, Message::Relays(RelayMessage::List(l))));
                self.send(list.into_iter().collect());
            }
            RelayMessage::List(listed) => self.learn_relays(listed),
        }
    }

    fn record_answer_of(&self, relay: SocketAddr, opened: bool) {
        let now = self.now();
        self.relays.borrow_mut().on_answer(relay, opened, now);
    }

    /// Records whether a direct connection to an upstream was opened.
    pub(crate) fn record_direct(&self, upstream: &Upstream, opened: bool) {
        let now = self.now();
        let change = self.paths.borrow_mut().on_direct(upstream, opened, now);
        self.log_path(upstream, change);
    }

    fn record_tunnel(&self, upstream: &Upstream, opened: bool, reliable: bool) {
        let now = self.now();
        let outcome = (opened, reliable);
        let change = self.paths.borrow_mut().on_tunnel(upstream, outcome, now);
        self.log_path(upstream, change);
    }

    fn log_path(&self, upstream: &Upstream, change: Option<PathChange>) {
        let Some(change) = change else {
            return;
        };
        let paths = self.paths.borrow();
        let (broken, cut_off) = (paths.broken(), paths.is_cut_off());
        self.metrics.record_broken_paths(broken);
        let relay = self.last_relay.get();
        let relay = relay.map_or("none".to_owned(), |r| r.to_string());
        let detail = format!("upstream={upstream} broken={broken} cut_off={cut_off} relay={relay}");
        match change {
            PathChange::Broken => emit(LogEvent::PathBroken, &detail),
            PathChange::Restored(after) => {
                emit(
                    LogEvent::PathRestored,
                    &format!("{detail} after_ms={}", after.0),
                );
            }
        }
    }

    fn log_missed(&self, target: &Target, missed: &[Missed]) {
        if !self.log_budget.take(self.now()) {
            return;
        }
        let count = |status: StatusCode| {
            let same = missed.iter().filter(|m| **m == Missed::Status(status));
            same.count()
        };
        let silent = missed.iter().filter(|m| **m == Missed::Silent).count();
        let paths = self.paths.borrow();
        let detail = format!(
            "upstream={} asked={} silent={silent} unavailable={} unreached={} broken={} cut_off={}",
            target.name,
            missed.len(),
            count(StatusCode::SERVICE_UNAVAILABLE),
            count(StatusCode::BAD_GATEWAY),
            paths.broken(),
            paths.is_cut_off(),
        );
        emit(LogEvent::TunnelMissed, &detail);
    }

    /// Probes the paths that are due.
    pub(crate) fn probe_paths(self: &Rc<Self>) {
        if self.paths.borrow().is_unable() {
            self.request_relays();
        }
        let due = self.paths.borrow_mut().due_probes(self.now());
        for upstream in due {
            let Some(target) = self.target(&upstream) else {
                self.paths.borrow_mut().forget(&upstream);
                continue;
            };
            let gw = Rc::clone(self);
            actix_rt::spawn(async move { gw.probe_path(&target).await });
        }
    }

    async fn probe_path(&self, target: &Target) {
        let connect = self.connect_directly(target);
        let opened = self.pool.probe_by(connect, PROBE_TIMEOUT).await == ProbeOutcome::Accepted;
        self.record_direct(&target.name, opened);
        if !opened {
            // The answer is recorded: it shows whether the upstream or the path has failed.
            self.is_reached_by_others(target).await;
        }
    }

    /// Whether another daemon reaches the upstream.
    pub(crate) async fn is_reached_by_others(&self, target: &Target) -> bool {
        self.paths.borrow().is_broken(&target.name)
            || (GatewayTunnels(self).is_allowed(target)
                && self.connect_by_tunnel(target).await.is_ok())
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
        let broken = !self.paths.borrow().may_relay(name, self.now());
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
            Ok(Err(_)) | Err(_) if self.paths.borrow().is_unable() => {
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

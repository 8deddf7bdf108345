//! A pool of persistent connections to upstreams.

use crate::connect::{self, connect_directly, Opened};
use crate::connection::BoxedConnection;
use crate::head_limit::{HeadLimited, HeadProgress, MAX_HEAD_BYTES};
use crate::{Clock, Exchange, Framing, SendError, Tunnels};
use actix_rt::task::JoinHandle;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::client::conn::TrySendError;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use shaleline_types::{Millis, Upstream};
use socket2::SockRef;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The destination of a request. Connections are pooled by name as well as address, because
/// an address may be reassigned to another upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Target {
    /// The upstream.
    pub name: Upstream,
    /// The address at which it listens.
    pub address: SocketAddr,
}

/// The outcome of an attempt to connect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// A process listens at the address.
    Accepted,
    /// The machine is up, but no process listens at the address.
    Refused,
    /// The connection attempt was not answered: the network path or the machine is down.
    Unreachable,
}

/// The settings of a pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolSettings {
    /// The timeout for opening a connection.
    pub connect_timeout: Duration,
    /// How long written bytes may stay unacknowledged before the connection is considered dead.
    pub unacked_timeout: Duration,
    /// The maximum number of connections to one upstream.
    pub max_connections: usize,
}

/// One open connection. Dropping it closes the connection immediately.
pub(crate) struct Channel {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    count: OpenCount,
    /// The address of the daemon in between, if it goes through a tunnel. Such a connection serves
    /// one request, so that this daemon can stop without cutting off another one.
    pub(crate) relay: Option<SocketAddr>,
    head: Rc<HeadProgress>,
}

impl Channel {
    /// Sends a request and waits for the head of its response. Returns the request if no byte of it
    /// was written.
    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.head.begin();
        let response = self.sender.try_send_request(request).await;
        self.head.end();
        response
    }

    /// Why a request that was written has no response.
    fn failure(&self, error: &hyper::Error) -> SendError {
        match self.head.is_exceeded() || error.is_parse_too_large() {
            true => SendError::HeadTooLarge,
            false => SendError::Broken,
        }
    }
}

impl fmt::Debug for Channel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Channel")
            .field("closed", &self.sender.is_closed())
            .finish_non_exhaustive()
    }
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.task.abort();
        self.count.0.borrow_mut().open -= 1;
    }
}

struct IdleChannel {
    channel: Channel,
    expires: Millis,
}

/// The number of open connections to one upstream.
#[derive(Debug, Default)]
struct TargetCounts {
    open: usize,
}

struct OpenCount(Rc<RefCell<TargetCounts>>);

#[derive(Default)]
struct TargetState {
    counts: Rc<RefCell<TargetCounts>>,
    idle: Vec<IdleChannel>,
}

/// The connections to all upstreams, shared by the tasks of one thread.
#[derive(Clone)]
pub struct Pool(Rc<Inner>);

struct Inner {
    clock: Clock,
    settings: PoolSettings,
    targets: RefCell<HashMap<Target, TargetState>>,
    opened: std::cell::Cell<u64>,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool")
            .field("settings", &self.0.settings)
            .finish_non_exhaustive()
    }
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(settings: PoolSettings) -> Self {
        Self::with_clock(settings, Clock::default())
    }

    /// Creates an empty pool whose idle connections expire by the given clock.
    #[must_use]
    pub fn with_clock(settings: PoolSettings, clock: Clock) -> Self {
        Self(Rc::new(Inner {
            clock,
            settings,
            targets: RefCell::new(HashMap::new()),
            opened: std::cell::Cell::new(0),
        }))
    }

    /// Returns the number of connections opened so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.0.opened.get()
    }

    /// Sends a request on a direct connection and waits for the head of its response. Dropping the
    /// future closes the connection.
    ///
    /// # Errors
    /// [`SendError::NotSent`] if nothing was written, [`SendError::HeadTooLarge`] if the head of the
    /// response exceeds [`MAX_HEAD_BYTES`], [`SendError::InvalidStatus`] if its status is not valid,
    /// [`SendError::Broken`] otherwise.
    pub async fn send(
        &self,
        target: &Target,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, SendError> {
        self.send_by(target, request, None, &|| true).await
    }

    /// Sends a request like [`Pool::send`] if `may_send` holds once there is a connection for it: the
    /// process may have been suspended while it connected.
    ///
    /// # Errors
    /// As for [`Pool::send`]; [`SendError::NotSent`] also if `may_send` does not hold.
    pub async fn send_if(
        &self,
        target: &Target,
        request: Request<Full<Bytes>>,
        may_send: &dyn Fn() -> bool,
    ) -> Result<Exchange, SendError> {
        self.send_by(target, request, None, may_send).await
    }

    /// Sends a request like [`Pool::send`], but connects by a tunnel where the direct path is
    /// broken.
    ///
    /// # Errors
    /// As for [`Pool::send`].
    pub async fn send_with(
        &self,
        target: &Target,
        request: Request<Full<Bytes>>,
        tunnels: &dyn Tunnels,
    ) -> Result<Exchange, SendError> {
        if tunnels.is_needed(target) || tunnels.is_doubtful(target) {
            self.drop_idle(target);
        }
        self.send_by(target, request, Some(tunnels), &|| true).await
    }

    async fn send_by(
        &self,
        target: &Target,
        mut request: Request<Full<Bytes>>,
        tunnels: Option<&dyn Tunnels>,
        may_send: &dyn Fn() -> bool,
    ) -> Result<Exchange, SendError> {
        while let Some(mut channel) = self.take_idle(target) {
            if channel.sender.ready().await.is_err() {
                continue;
            }
            if !may_send() {
                return Err(SendError::NotSent);
            }
            if let Some(tunnels) = tunnels {
                tunnels.on_send(target, channel.relay);
            }
            match channel.send(request).await {
                Ok(response) => return self.exchange(target, channel, response),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(channel.failure(error.error())),
                },
            }
        }
        let mut channel = self.open(target, tunnels).await?;
        if !may_send() {
            return Err(SendError::NotSent);
        }
        if let Some(tunnels) = tunnels {
            tunnels.on_send(target, channel.relay);
        }
        match channel.send(request).await {
            Ok(response) => self.exchange(target, channel, response),
            Err(mut error) => Err(match error.take_message() {
                Some(_) => SendError::NotSent,
                None => channel.failure(error.error()),
            }),
        }
    }

    /// The exchange of a response. One without a valid status closes its connection: where its body
    /// ends is not certain.
    fn exchange(
        &self,
        target: &Target,
        channel: Channel,
        response: Response<Incoming>,
    ) -> Result<Exchange, SendError> {
        if !is_final(response.status()) {
            return Err(SendError::InvalidStatus);
        }
        Ok(Exchange {
            channel,
            framing: Framing::of(&response),
            response,
            target: target.clone(),
            pool: self.clone(),
            ended: false,
            failed: None,
        })
    }

    /// Takes the most recently used idle connection, so that surplus ones expire.
    fn take_idle(&self, target: &Target) -> Option<Channel> {
        let mut targets = self.0.targets.borrow_mut();
        let idle = &mut targets.get_mut(target)?.idle;
        let now = self.0.clock.now();
        while let Some(last) = idle.pop() {
            if last.expires > now && !last.channel.sender.is_closed() {
                return Some(last.channel);
            }
        }
        None
    }

    pub(crate) fn put(&self, target: &Target, channel: Channel, max_idle: Duration) {
        if max_idle.is_zero() || channel.relay.is_some() || channel.sender.is_closed() {
            return;
        }
        let expires = self.0.clock.now().plus(max_idle.as_millis() as u64);
        let mut targets = self.0.targets.borrow_mut();
        let state = targets.entry(target.clone()).or_default();
        state.idle.push(IdleChannel { channel, expires });
    }

    /// Closes the connections whose idle time has expired.
    pub fn prune(&self) {
        let now = self.0.clock.now();
        let mut targets = self.0.targets.borrow_mut();
        for state in targets.values_mut() {
            state
                .idle
                .retain(|i| i.expires > now && !i.channel.sender.is_closed());
        }
        targets.retain(|_, t| !t.idle.is_empty() || t.counts.borrow().open > 0);
    }

    /// Closes the idle connections to an upstream that has left.
    pub fn close_idle(&self, target: &Target) {
        self.0.targets.borrow_mut().remove(target);
    }

    /// Closes the idle connections to an upstream that go by a broken path.
    fn drop_idle(&self, target: &Target) {
        if let Some(state) = self.0.targets.borrow_mut().get_mut(target) {
            state.idle.clear();
        }
    }

    /// Connects once and closes the connection, to find out whether a process listens there.
    pub async fn probe(&self, target: &Target, limit: Duration) -> ProbeOutcome {
        self.probe_by(connect_directly(target.address), limit).await
    }

    /// Probes like [`Pool::probe`] by a given way to connect.
    pub async fn probe_by(
        &self,
        connect: impl Future<Output = io::Result<BoxedConnection>>,
        limit: Duration,
    ) -> ProbeOutcome {
        self.0.opened.set(self.0.opened.get() + 1);
        match timeout(limit, connect).await {
            Ok(Ok(_)) => ProbeOutcome::Accepted,
            Ok(Err(e)) if is_refusal(&e) => ProbeOutcome::Refused,
            Ok(Err(_)) | Err(_) => ProbeOutcome::Unreachable,
        }
    }

    async fn open(
        &self,
        target: &Target,
        tunnels: Option<&dyn Tunnels>,
    ) -> Result<Channel, SendError> {
        let counts = {
            let mut targets = self.0.targets.borrow_mut();
            Rc::clone(&targets.entry(target.clone()).or_default().counts)
        };
        if counts.borrow().open >= self.0.settings.max_connections {
            return Err(SendError::NotSent);
        }
        self.0.opened.set(self.0.opened.get() + 1);
        counts.borrow_mut().open += 1;
        let mut guard = OpeningGuard(Some(OpenCount(counts)));
        let limit = self.0.settings.connect_timeout;
        let opened = match tunnels {
            Some(tunnels) => connect::open(target, limit, tunnels).await,
            None => connect::open_direct(connect_directly(target.address), limit).await,
        };
        let Opened { stream, relay } = opened.map_err(|_| SendError::NotSent)?;
        stream.set_options(self.0.settings.unacked_timeout);
        let head = Rc::new(HeadProgress::default());
        let limited = HeadLimited {
            connection: stream,
            progress: Rc::clone(&head),
        };
        let (sender, connection) = Builder::new()
            .max_header_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(limited))
            .await
            .map_err(|_| SendError::NotSent)?;
        let task = actix_rt::spawn(async move {
            // A failure is reported to the request on this connection.
            connection.await.ok();
        });
        let count = guard.0.take().expect("taken once");
        Ok(Channel {
            sender,
            task,
            count,
            relay,
            head,
        })
    }
}

/// Whether a status is valid for a final response to a request that asks for no other protocol: all
/// from 200 to 599 (RFC 9110, section 15). Informational responses are skipped before, but for the one
/// that announces another protocol.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Sets the options of a connection. They only reduce latency or detect failures sooner; the
/// connection works without them.
pub(crate) fn set_options(stream: &TcpStream, unacked_timeout: Duration) {
    stream.set_nodelay(true).ok();
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(unacked_timeout)).ok();
}

fn is_refusal(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionRefused, ConnectionReset};
    matches!(error.kind(), ConnectionRefused | ConnectionReset)
}

/// Counts a connection that is being opened; dropping it undoes the count.
struct OpeningGuard(Option<OpenCount>);

impl Drop for OpeningGuard {
    fn drop(&mut self) {
        if let Some(count) = self.0.take() {
            count.0.borrow_mut().open -= 1;
        }
    }
}

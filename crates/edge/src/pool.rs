//! Kept connections to upstreams.

use crate::{Clock, Exchange, SendError};
use actix_rt::task::JoinHandle;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use shaleline_types::{Millis, Upstream};
use socket2::SockRef;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Where a request goes. Connections are kept by name as well as address, because an
/// address may pass on to another upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Target {
    /// The upstream.
    pub name: Upstream,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What became of an attempt to connect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// Something listens there.
    Accepted,
    /// The machine is there and nothing listens.
    Refused,
    /// No answer: the way there, or the machine, is gone.
    Unreachable,
}

/// What an operator sets of a pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolSettings {
    /// How long a connection may take to open.
    pub connect_timeout: Duration,
    /// How long written bytes may stay unacknowledged before a connection counts as dead.
    pub unacked_timeout: Duration,
    /// The most connections to one upstream.
    pub max_connections: usize,
}

/// One open connection. Dropping it closes it at once.
pub(crate) struct Channel {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    count: Count,
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

struct Idle {
    channel: Channel,
    until: Millis,
}

/// How many connections to one upstream are open.
#[derive(Debug, Default)]
struct Line {
    open: usize,
}

struct Count(Rc<RefCell<Line>>);

#[derive(Default)]
struct Kept {
    line: Rc<RefCell<Line>>,
    idle: Vec<Idle>,
}

/// The connections to all upstreams, shared by the tasks of one thread.
#[derive(Clone)]
pub struct Pool(Rc<Inner>);

struct Inner {
    clock: Clock,
    settings: PoolSettings,
    kept: RefCell<HashMap<Target, Kept>>,
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
    /// An empty pool.
    #[must_use]
    pub fn new(settings: PoolSettings) -> Self {
        Self::with_clock(settings, Clock::default())
    }

    /// An empty pool whose idle connections grow old by this clock.
    #[must_use]
    pub fn with_clock(settings: PoolSettings, clock: Clock) -> Self {
        Self(Rc::new(Inner {
            clock,
            settings,
            kept: RefCell::new(HashMap::new()),
            opened: std::cell::Cell::new(0),
        }))
    }

    /// How many connections were opened so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.0.opened.get()
    }

    /// Sends a request and waits for the head of its answer. Dropping the future closes
    /// the connection.
    ///
    /// # Errors
    /// [`SendError::NotSent`] where nothing was written, [`SendError::Broken`] otherwise.
    pub async fn send(
        &self,
        target: &Target,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Exchange, SendError> {
        while let Some(mut channel) = self.take(target) {
            if channel.sender.ready().await.is_err() {
                continue;
            }
            match channel.sender.try_send_request(request).await {
                Ok(response) => return Ok(self.exchange(target, channel, response)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Broken),
                },
            }
        }
        let mut channel = self.open(target).await?;
        match channel.sender.try_send_request(request).await {
            Ok(response) => Ok(self.exchange(target, channel, response)),
            Err(mut error) => Err(match error.take_message() {
                Some(_) => SendError::NotSent,
                None => SendError::Broken,
            }),
        }
    }

    fn exchange(
        &self,
        target: &Target,
        channel: Channel,
        response: hyper::Response<hyper::body::Incoming>,
    ) -> Exchange {
        Exchange {
            channel,
            response,
            target: target.clone(),
            pool: self.clone(),
            ended: false,
        }
    }

    /// Takes the connection that was used last, so that the others may grow old.
    fn take(&self, target: &Target) -> Option<Channel> {
        let mut kept = self.0.kept.borrow_mut();
        let idle = &mut kept.get_mut(target)?.idle;
        let now = self.0.clock.now();
        while let Some(last) = idle.pop() {
            if last.until > now && !last.channel.sender.is_closed() {
                return Some(last.channel);
            }
        }
        None
    }

    pub(crate) fn put(&self, target: &Target, channel: Channel, keep: Duration) {
        if keep.is_zero() || channel.sender.is_closed() {
            return;
        }
        let until = self.0.clock.now().plus(keep.as_millis() as u64);
        let mut kept = self.0.kept.borrow_mut();
        let line = kept.entry(target.clone()).or_default();
        line.idle.push(Idle { channel, until });
    }

    /// Closes what was idle for too long.
    pub fn prune(&self) {
        let now = self.0.clock.now();
        let mut kept = self.0.kept.borrow_mut();
        for line in kept.values_mut() {
            line.idle
                .retain(|i| i.until > now && !i.channel.sender.is_closed());
        }
        kept.retain(|_, k| !k.idle.is_empty() || k.line.borrow().open > 0);
    }

    /// Closes the idle connections to an upstream that is gone.
    pub fn close_idle(&self, target: &Target) {
        self.0.kept.borrow_mut().remove(target);
    }

    /// Connects once and closes again, to see whether anything listens there.
    pub async fn probe(&self, target: &Target, limit: Duration) -> ProbeOutcome {
        self.0.opened.set(self.0.opened.get() + 1);
        match timeout(limit, TcpStream::connect(target.address)).await {
            Ok(Ok(_)) => ProbeOutcome::Accepted,
            Ok(Err(e)) if is_refusal(&e) => ProbeOutcome::Refused,
            Ok(Err(_)) | Err(_) => ProbeOutcome::Unreachable,
        }
    }

    async fn open(&self, target: &Target) -> Result<Channel, SendError> {
        let line = {
            let mut kept = self.0.kept.borrow_mut();
            Rc::clone(&kept.entry(target.clone()).or_default().line)
        };
        if line.borrow().open >= self.0.settings.max_connections {
            return Err(SendError::NotSent);
        }
        self.0.opened.set(self.0.opened.get() + 1);
        line.borrow_mut().open += 1;
        let mut hold = Hold(Some(Count(line)));
        let connect = TcpStream::connect(target.address);
        let stream = timeout(self.0.settings.connect_timeout, connect).await;
        let stream = stream
            .map_err(|_| SendError::NotSent)?
            .map_err(|_| SendError::NotSent)?;
        let socket = SockRef::from(&stream);
        // Both only make failures show sooner; a connection works without them.
        stream.set_nodelay(true).ok();
        socket
            .set_tcp_user_timeout(Some(self.0.settings.unacked_timeout))
            .ok();
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|_| SendError::NotSent)?;
        let task = actix_rt::spawn(async move {
            // Its failures reach the request that is on it.
            connection.await.ok();
        });
        let count = hold.0.take().expect("taken once");
        Ok(Channel {
            sender,
            task,
            count,
        })
    }
}

fn is_refusal(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionRefused, ConnectionReset};
    matches!(error.kind(), ConnectionRefused | ConnectionReset)
}

/// Counts a connection that is being opened.
struct Hold(Option<Count>);

impl Drop for Hold {
    fn drop(&mut self) {
        if let Some(count) = self.0.take() {
            count.0.borrow_mut().open -= 1;
        }
    }
}

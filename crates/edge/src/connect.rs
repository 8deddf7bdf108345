//! Opening connections to upstreams that this instance does not reach itself.

use crate::connection::{boxed, BoxedConnection};
use crate::pool::Target;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A boxed future of the current thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Time without a direct connection after which the tunnel is tried beside it. In a data centre a
/// connection takes a few milliseconds.
const HEDGE_DELAY: Duration = Duration::from_millis(100);

/// The same time where the direct path is doubtful: a connection to another data centre still opens
/// within it.
const DOUBTFUL_HEDGE_DELAY: Duration = Duration::from_millis(20);

/// Connects to upstreams through other instances, where the direct path is broken. A pool asks for
/// each new connection; the implementation decides whether a tunnel is worth trying.
pub trait Tunnels {
    /// Returns whether the direct path to the target is known to be broken.
    fn is_needed(&self, target: &Target) -> bool;

    /// Returns whether the direct path to the target may be broken, as others are.
    fn is_doubtful(&self, _target: &Target) -> bool {
        false
    }

    /// Returns whether the tunnel may be tried.
    fn is_allowed(&self, target: &Target) -> bool;

    /// Connects directly.
    fn direct<'a>(&'a self, target: &'a Target) -> LocalFuture<'a, io::Result<BoxedConnection>> {
        Box::pin(connect_directly(target.address))
    }

    /// Connects by a tunnel. Returns the connection and the address of the daemon in between.
    fn connect<'a>(&'a self, target: &'a Target) -> LocalFuture<'a, io::Result<Tunnel>>;

    /// Records that a direct connection was opened, or was not.
    fn on_direct(&self, target: &Target, opened: bool);

    /// Records that a request is sent, through the daemon in between if there is one.
    fn on_send(&self, _target: &Target, _relay: Option<SocketAddr>) {}
}

/// A connection through another daemon, and that daemon's address.
pub struct Tunnel {
    /// The connection.
    pub stream: BoxedConnection,
    /// The daemon in between.
    pub relay: SocketAddr,
}

/// A connection, and the address of the daemon in between if it goes through a tunnel.
pub struct Opened {
    /// The connection.
    pub stream: BoxedConnection,
    /// The daemon in between, if there is one.
    pub relay: Option<SocketAddr>,
}

impl fmt::Debug for Tunnel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tunnel")
            .field("relay", &self.relay)
            .finish_non_exhaustive()
    }
}

impl fmt::Debug for Opened {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Opened")
            .field("relay", &self.relay)
            .finish_non_exhaustive()
    }
}

impl Opened {
    fn by_tunnel(tunnel: Tunnel) -> Self {
        Self {
            stream: tunnel.stream,
            relay: Some(tunnel.relay),
        }
    }
}

/// Connects to an address.
///
/// # Errors
/// If the connection fails.
pub async fn connect_directly(address: SocketAddr) -> io::Result<BoxedConnection> {
    TcpStream::connect(address).await.map(boxed)
}

fn timed_out() -> io::Error {
    io::Error::from(io::ErrorKind::TimedOut)
}

/// Connects directly, within the limit.
pub(crate) async fn open_direct(
    connect: impl Future<Output = io::Result<BoxedConnection>>,
    limit: Duration,
) -> io::Result<Opened> {
    let stream = timeout(limit, connect).await.map_err(|_| timed_out())??;
    Ok(Opened {
        stream,
        relay: None,
    })
}

/// Connects directly or by a tunnel, whichever succeeds first. The tunnel is tried if the direct
/// connection fails or takes long.
///
/// # Errors
/// If neither way connects within its limit.
pub async fn open(target: &Target, limit: Duration, tunnels: &dyn Tunnels) -> io::Result<Opened> {
    if tunnels.is_needed(target) {
        return tunnels.connect(target).await.map(Opened::by_tunnel);
    }
    let mut direct = pin!(open_direct(tunnels.direct(target), limit));
    let delay = match tunnels.is_doubtful(target) {
        true => DOUBTFUL_HEDGE_DELAY,
        false => HEDGE_DELAY,
    };
    let first = tokio::select! {
        opened = &mut direct => Some(opened),
        () = sleep(delay) => None,
    };
    if let Some(opened) = first {
        tunnels.on_direct(target, opened.is_ok());
        return match opened {
            Err(e) if !tunnels.is_allowed(target) => Err(e),
            Err(_) => tunnels.connect(target).await.map(Opened::by_tunnel),
            Ok(opened) => Ok(opened),
        };
    }
    if !tunnels.is_allowed(target) {
        let opened = direct.await;
        tunnels.on_direct(target, opened.is_ok());
        return opened;
    }
    let mut other = pin!(tunnels.connect(target));
    tokio::select! {
        opened = &mut direct => {
            tunnels.on_direct(target, opened.is_ok());
            match opened {
                Ok(opened) => Ok(opened),
                Err(_) => other.await.map(Opened::by_tunnel),
            }
        }
        tunnel = &mut other => match tunnel {
            Ok(tunnel) => {
                tunnels.on_direct(target, false);
                Ok(Opened::by_tunnel(tunnel))
            }
            Err(_) => {
                let opened = direct.await;
                tunnels.on_direct(target, opened.is_ok());
                opened
            }
        }
    }
}

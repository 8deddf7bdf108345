//! Opens this daemon's connections to upstreams, directly and through other daemons. Simulations
//! replace it.

use crate::state::DEAD_TIMEOUT;
use shaleline_edge::tunnel::{self, TunnelError};
use shaleline_edge::{LocalFuture, Target};
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// A way to open connections.
pub(crate) trait Network {
    /// Connects to an upstream.
    fn direct<'a>(&'a self, target: &'a Target) -> LocalFuture<'a, io::Result<TcpStream>>;

    /// Connects to an upstream through the daemon that listens at `relay`.
    fn tunnel<'a>(
        &'a self,
        relay: SocketAddr,
        target: &'a Target,
    ) -> LocalFuture<'a, Result<TcpStream, TunnelError>>;
}

/// The network of the instance.
pub(crate) struct SystemNetwork;

impl Network for SystemNetwork {
    fn direct<'a>(&'a self, target: &'a Target) -> LocalFuture<'a, io::Result<TcpStream>> {
        Box::pin(TcpStream::connect(target.address))
    }

    fn tunnel<'a>(
        &'a self,
        relay: SocketAddr,
        target: &'a Target,
    ) -> LocalFuture<'a, Result<TcpStream, TunnelError>> {
        Box::pin(tunnel::connect(relay, target, DEAD_TIMEOUT))
    }
}

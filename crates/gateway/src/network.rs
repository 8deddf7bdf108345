//! Opens this daemon's connections to upstreams, directly and through other daemons. Simulations
//! replace it.

use crate::state::DEAD_TIMEOUT;
use shaleline_edge::tunnel::{self, TunnelError};
use shaleline_edge::{boxed, connect_directly, BoxedConnection, LocalFuture, Target};
use std::io;
use std::net::SocketAddr;

/// A way to open connections.
pub(crate) trait Network {
    /// Connects to an upstream.
    fn direct<'a>(&'a self, target: &'a Target) -> LocalFuture<'a, io::Result<BoxedConnection>>;

    /// Connects to an upstream through the daemon that listens at `relay`.
    fn tunnel<'a>(
        &'a self,
        relay: SocketAddr,
        target: &'a Target,
    ) -> LocalFuture<'a, Result<BoxedConnection, TunnelError>>;
}

/// The network of the instance.
pub(crate) struct SystemNetwork;

impl Network for SystemNetwork {
    fn direct<'a>(&'a self, target: &'a Target) -> LocalFuture<'a, io::Result<BoxedConnection>> {
        Box::pin(connect_directly(target.address))
    }

    fn tunnel<'a>(
        &'a self,
        relay: SocketAddr,
        target: &'a Target,
    ) -> LocalFuture<'a, Result<BoxedConnection, TunnelError>> {
        Box::pin(async move {
            let connected = tunnel::connect(relay, target, DEAD_TIMEOUT).await;
            connected.map(boxed)
        })
    }
}

//! A connection to an upstream, as the pool and tunnels need it.

use crate::caller_stream;
use crate::pool;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A connection to an upstream. Simulations replace the network's.
pub trait Connection: AsyncRead + AsyncWrite + Unpin {
    /// Sets how long written bytes may stay unacknowledged, and the options that reduce latency.
    fn set_options(&self, unacked_timeout: Duration);

    /// Makes dropping the connection reset it, so that the other side sees no regular end.
    ///
    /// # Errors
    /// If the option can't be set.
    fn reset_on_close(&self) -> io::Result<()>;
}

/// A connection of any kind.
pub type BoxedConnection = Box<dyn Connection>;

impl Connection for TcpStream {
    fn set_options(&self, unacked_timeout: Duration) {
        pool::set_options(self, unacked_timeout);
    }

    fn reset_on_close(&self) -> io::Result<()> {
        caller_stream::set_reset_on_close(self, true)
    }
}

/// Boxes a connection that was opened.
pub fn boxed(stream: TcpStream) -> BoxedConnection {
    Box::new(stream)
}

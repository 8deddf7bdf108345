//! Tunnels through another daemon by the method CONNECT (RFC 9110, section 9.3.6).

use crate::caller_stream::{set_reset_on_close, CallerStream};
use crate::connection::BoxedConnection;
use crate::pool::{set_options, Target};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1::handshake;
use hyper::header::{HeaderValue, HOST};
use hyper::upgrade::{OnUpgrade, Upgraded};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{copy, split, AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

fn other(reason: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::other(reason)
}

/// Returns the connection under an upgrade, and what was read from it already.
fn into_parts<T: AsyncRead + AsyncWrite + Unpin + 'static>(
    upgraded: Upgraded,
) -> io::Result<(T, Bytes)> {
    let parts = upgraded.downcast::<TokioIo<T>>();
    let parts = parts.map_err(|_| other("the upgraded connection is of another type"))?;
    Ok((parts.io.into_inner(), parts.read_buf))
}

/// Why a daemon opened no tunnel.
#[derive(Debug)]
pub enum TunnelError {
    /// The daemon answered with this status.
    Refused(StatusCode),
    /// The daemon could not be reached, or its answer makes no sense.
    Failed(io::Error),
}

impl From<io::Error> for TunnelError {
    fn from(error: io::Error) -> Self {
        Self::Failed(error)
    }
}

/// Connects to a target through the daemon that listens at `relay`.
///
/// # Errors
/// If the daemon can't be reached, does not reach the target either, or opens no tunnel.
pub async fn connect(
    relay: SocketAddr,
    target: &Target,
    unacked_timeout: Duration,
) -> Result<TcpStream, TunnelError> {
    let stream = TcpStream::connect(relay).await?;
    set_options(&stream, unacked_timeout);
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.map_err(other)?;
    let task = actix_rt::spawn(connection.with_upgrades());
    let authority = format!("{}:{}", target.name, target.address.port());
    let host = HeaderValue::from_str(&authority).map_err(other)?;
    let mut request = Request::new(Empty::<Bytes>::new());
    *request.method_mut() = Method::CONNECT;
    *request.uri_mut() = authority.parse().map_err(other)?;
    request.headers_mut().insert(HOST, host);
    let response = sender.send_request(request).await.map_err(other)?;
    if response.status() != StatusCode::OK {
        task.abort();
        return Err(TunnelError::Refused(response.status()));
    }
    let upgraded = hyper::upgrade::on(response).await.map_err(other)?;
    let (stream, early) = into_parts::<TcpStream>(upgraded)?;
    match early.is_empty() {
        true => Ok(stream),
        false => Err(other("the target sent bytes before it was asked").into()),
    }
}

/// Passes bytes between a daemon and an upstream until either side ends.
///
/// A response may end with its connection, and one that was cut off must not look complete. The
/// daemon's connection is therefore reset unless the upstream has ended its side regularly and all
/// that it sent was passed on. Neither side can end before the other and still receive: daemons
/// close a tunnel as a whole, which cancels the request at the upstream.
pub async fn run(upgrade: OnUpgrade, mut upstream: BoxedConnection, unacked_timeout: Duration) {
    upstream.set_options(unacked_timeout);
    // The daemon has left already.
    let Ok(upgraded) = upgrade.await else {
        return;
    };
    let Ok((caller, early)) = into_parts::<CallerStream>(upgraded) else {
        return;
    };
    let mut caller = caller.into_inner();
    set_options(&caller, unacked_timeout);
    // Without this option nothing is sent on, so that the daemon gets no response at all.
    if set_reset_on_close(&caller, true).is_err() {
        return;
    }
    match forward(&mut caller, &mut upstream, &early).await {
        // If this fails, the response looks cut off, and is not taken for a complete one.
        Ok(Ended::Upstream) => set_reset_on_close(&caller, false).ok(),
        Ok(Ended::Caller) => None,
        // If this fails, the upstream sees a regular end; its request has a length.
        Err(_) => upstream.reset_on_close().ok(),
    };
}

/// The side that ended a tunnel regularly. All that it sent was passed on.
enum Ended {
    Caller,
    Upstream,
}

async fn forward(
    caller: &mut TcpStream,
    upstream: &mut BoxedConnection,
    early: &[u8],
) -> io::Result<Ended> {
    upstream.write_all(early).await?;
    let (mut caller_in, mut caller_out) = caller.split();
    let (mut upstream_in, mut upstream_out) = split(upstream);
    tokio::select! {
        up = copy(&mut caller_in, &mut upstream_out) => up.map(|_| Ended::Caller),
        down = copy(&mut upstream_in, &mut caller_out) => down.map(|_| Ended::Upstream),
    }
}

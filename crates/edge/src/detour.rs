//! Opening connections to upstreams that this instance does not reach itself.

use crate::pool::Target;
use std::future::Future;
use std::io;
use std::pin::{pin, Pin};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A boxed future of the current thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Time without a direct connection after which the detour is tried beside it. In a data centre a
/// connection takes a few milliseconds.
const HEDGE_DELAY: Duration = Duration::from_millis(100);

/// Another way to connect to upstreams, where the direct path is broken. One that is in use may be
/// asked at any time, so the implementation decides when it is worth trying.
pub trait Detour {
    /// Returns whether the direct path to the target is known to be broken.
    fn is_needed(&self, target: &Target) -> bool;

    /// Returns whether the detour may be tried.
    fn is_allowed(&self, target: &Target) -> bool;

    /// Connects by the detour.
    fn connect<'a>(&'a self, target: &'a Target) -> LocalFuture<'a, io::Result<TcpStream>>;

    /// Records that a direct connection was opened, or was not.
    fn on_direct(&self, target: &Target, opened: bool);
}

/// A connection, and whether it takes the detour.
pub(crate) struct Opened {
    pub(crate) stream: TcpStream,
    pub(crate) detoured: bool,
}

fn timed_out() -> io::Error {
    io::Error::from(io::ErrorKind::TimedOut)
}

async fn direct(target: &Target, limit: Duration) -> io::Result<TcpStream> {
    let connect = TcpStream::connect(target.address);
    timeout(limit, connect).await.map_err(|_| timed_out())?
}

/// Connects directly.
pub(crate) async fn open_direct(target: &Target, limit: Duration) -> io::Result<Opened> {
    let stream = direct(target, limit).await?;
    Ok(Opened {
        stream,
        detoured: false,
    })
}

/// Connects directly or by the detour, whichever succeeds first. The detour is tried if the direct
/// connection fails or takes long.
pub(crate) async fn open(
    target: &Target,
    limit: Duration,
    detour: &dyn Detour,
) -> io::Result<Opened> {
    let by_detour = |stream| Opened {
        stream,
        detoured: true,
    };
    if detour.is_needed(target) {
        return detour.connect(target).await.map(by_detour);
    }
    let mut direct = pin!(open_direct(target, limit));
    let first = tokio::select! {
        opened = &mut direct => Some(opened),
        () = sleep(HEDGE_DELAY) => None,
    };
    if let Some(opened) = first {
        detour.on_direct(target, opened.is_ok());
        return match opened {
            Err(e) if !detour.is_allowed(target) => Err(e),
            Err(_) => detour.connect(target).await.map(by_detour),
            Ok(opened) => Ok(opened),
        };
    }
    if !detour.is_allowed(target) {
        let opened = direct.await;
        detour.on_direct(target, opened.is_ok());
        return opened;
    }
    let mut other = pin!(detour.connect(target));
    tokio::select! {
        opened = &mut direct => {
            detour.on_direct(target, opened.is_ok());
            match opened {
                Ok(opened) => Ok(opened),
                Err(_) => other.await.map(by_detour),
            }
        }
        stream = &mut other => match stream {
            Ok(stream) => {
                detour.on_direct(target, false);
                Ok(by_detour(stream))
            }
            Err(_) => {
                let opened = direct.await;
                detour.on_direct(target, opened.is_ok());
                opened
            }
        }
    }
}

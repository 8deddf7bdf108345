//! A link of limited bandwidth.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{copy, AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::time::Instant;

/// The bytes that are passed on at once.
const CHUNK_BYTES: usize = 8_192;

/// Passes connections on to `target`. All of them share one bandwidth, in bytes a millisecond, for
/// what comes from the target. Returns the address to connect to.
///
/// # Panics
/// Panics if no port of the loopback address is free.
pub async fn limit_link(target: SocketAddr, bandwidth: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("an address");
    let link = Arc::new(Mutex::new(Instant::now()));
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let Ok(server) = TcpStream::connect(target).await else {
                continue;
            };
            let (mut requests, output) = client.into_split();
            let (answers, mut input) = server.into_split();
            tokio::spawn(pace(answers, output, Arc::clone(&link), bandwidth));
            tokio::spawn(async move { copy(&mut requests, &mut input).await });
        }
    });
    address
}

/// Copies until one side closes. The link holds the time at which it is free again.
async fn pace(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    link: Arc<Mutex<Instant>>,
    bandwidth: u64,
) {
    let mut chunk = [0; CHUNK_BYTES];
    while let Ok(count @ 1..) = from.read(&mut chunk).await {
        let mut free = link.lock().await;
        let micros = count as u64 * 1_000 / bandwidth;
        *free = (*free).max(Instant::now()) + Duration::from_micros(micros);
        tokio::time::sleep_until(*free).await;
        drop(free);
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}

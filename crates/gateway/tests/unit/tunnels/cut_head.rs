//! Upstreams that close the connection inside the head of their answer.

use std::net::{Ipv4Addr, SocketAddr};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Starts an upstream whose heads lack their last `missing` bytes.
pub fn listen_cut(ip: Ipv4Addr, missing: usize) -> SocketAddr {
    let listener = std::net::TcpListener::bind((ip, 0)).expect("bound");
    let address = listener.local_addr().expect("an address");
    listener.set_nonblocking(true).expect("set");
    let listener = TcpListener::from_std(listener).expect("registered");
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(answer(stream, missing));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, missing: usize) -> Option<()> {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\nbody") {
        let mut part = [0; 1_024];
        let count = stream.read(&mut part).await.ok().filter(|n| *n > 0)?;
        request.extend_from_slice(&part[..count]);
    }
    let text = String::from_utf8_lossy(&request);
    let (_, id) = text.split_once("request-id: ")?;
    let id = id.split("\r\n").next()?;
    let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ncontent-length: 10\r\n\r\n");
    stream
        .write_all(&head.as_bytes()[..head.len() - missing])
        .await
        .ok()
}

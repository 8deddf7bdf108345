//! Requests through a tunnel: what the upstream does must look the same as on a direct connection.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use shaleline_edge::{
    tunnel, Handler, Listener, ListenerControl, LocalFuture, Pool, PoolSettings, Reply, ReplyBody,
    Target, Tunnels,
};
use shaleline_testkit::cases;
use shaleline_types::Upstream;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Opens tunnels to one upstream.
struct Relay(SocketAddr);

impl Handler for Relay {
    fn handle(&self, request: Request<Incoming>) -> Pin<Box<dyn Future<Output = Reply>>> {
        let upstream = self.0;
        Box::pin(async move {
            let mut reply = Response::new(ReplyBody::from_bytes(Bytes::new()));
            match TcpStream::connect(upstream).await {
                Ok(stream) => {
                    let upgrade = hyper::upgrade::on(request);
                    actix_rt::spawn(tunnel::run(upgrade, stream, TIMEOUT));
                }
                Err(_) => *reply.status_mut() = StatusCode::BAD_GATEWAY,
            }
            reply
        })
    }
}

/// Always connects by a tunnel through one daemon.
struct Always(SocketAddr);

impl Tunnels for Always {
    fn is_needed(&self, _: &Target) -> bool {
        true
    }

    fn is_allowed(&self, _: &Target) -> bool {
        true
    }

    fn connect<'a>(&'a self, target: &'a Target) -> LocalFuture<'a, io::Result<TcpStream>> {
        Box::pin(tunnel::connect(self.0, target, TIMEOUT))
    }

    fn on_direct(&self, _: &Target, _: bool) {}
}

/// Reads a request's head, and its body if it has a length of two bytes.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut seen = Vec::new();
    let mut byte = [0];
    while !seen.ends_with(b"\r\n\r\nhi") {
        match stream.read(&mut byte).await {
            Ok(1) => seen.push(byte[0]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&seen).into_owned()
}

/// The result of a request to an upstream that writes `answer` and then closes its connection, or
/// resets it.
fn fetch((answer, reset): (&'static str, bool)) -> String {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let upstream = listener.local_addr().expect("an address");
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("accepted");
            read_request(&mut stream).await;
            stream.write_all(answer.as_bytes()).await.expect("written");
            if reset {
                let socket = socket2::SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).expect("set");
            }
        });
        let relay = start_relay(upstream);
        request(relay, upstream).await
    })
}

fn start_relay(upstream: SocketAddr) -> SocketAddr {
    let address = "127.0.0.1:0".parse().expect("an address");
    let relay = Listener::bind(address, ListenerControl::new(TIMEOUT, 16_384)).expect("bound");
    let address = relay.address().expect("an address");
    actix_rt::spawn(relay.run(Rc::new(Relay(upstream))));
    address
}

async fn request(relay: SocketAddr, upstream: SocketAddr) -> String {
    let pool = Pool::new(PoolSettings {
        connect_timeout: TIMEOUT,
        unacked_timeout: TIMEOUT,
        max_connections: 4,
    });
    let target = Target {
        name: Upstream::from_text("i-1").expect("a valid name"),
        address: upstream,
    };
    let body = Full::new(Bytes::from_static(b"hi"));
    let request = Request::post("/").header("host", "h").body(body);
    let request = request.expect("a valid request");
    let mut exchange = match pool.send_with(&target, request, &Always(relay)).await {
        Ok(exchange) => exchange,
        Err(e) => return format!("{e:?}"),
    };
    let status = exchange.status().as_u16();
    match exchange.collect(1_000).await {
        Ok(body) => format!("{status} {}", String::from_utf8_lossy(&body)),
        Err(e) => format!("{status} then {e:?}"),
    }
}

cases! {
    fetch;
    a_whole_answer_passes: ("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", false)
        => "200 ok",
    a_truncated_answer_is_broken: ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart", false)
        => "200 then Broken",
    an_answer_that_ends_with_its_connection_passes: ("HTTP/1.1 200 OK\r\n\r\nall", false)
        => "200 all",
    no_answer_is_broken: ("", false) => "Broken",
    a_reset_before_an_answer_is_broken: ("", true) => "Broken",
}

#[test]
fn a_reset_does_not_look_like_the_end_of_an_answer() {
    // The reset may overtake the head; in no case is the part that arrived taken for the whole.
    let result = fetch(("HTTP/1.1 200 OK\r\n\r\npart", true));
    assert!(
        ["200 then Broken", "Broken"].contains(&result.as_str()),
        "{result}"
    );
}

#[test]
fn an_upstream_that_the_relay_does_not_reach_gets_no_request() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let closed = listener.local_addr().expect("an address");
        drop(listener);
        let relay = start_relay(closed);
        assert_eq!(request(relay, closed).await, "NotSent");
    });
}

#[test]
fn an_upstream_learns_at_once_that_its_caller_left() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let upstream = listener.local_addr().expect("an address");
        let relay = start_relay(upstream);
        let server = async {
            let (mut stream, _) = listener.accept().await.expect("accepted");
            read_request(&mut stream).await;
            stream
        };
        let (mut stream, waiting) = {
            let mut call = Box::pin(request(relay, upstream));
            tokio::select! {
                _ = &mut call => panic!("nothing answers"),
                stream = server => (stream, call),
            }
        };
        drop(waiting);
        let mut rest = [0];
        let end = stream.read(&mut rest).await;
        assert!(matches!(end, Ok(0) | Err(_)), "{end:?}");
    });
}

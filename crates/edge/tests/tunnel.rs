//! Requests through a tunnel: what the upstream does must look the same as on a direct connection.

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use shaleline_edge::{
    boxed, tunnel, Exchange, Handler, Listener, ListenerControl, LocalFuture, Pool, PoolSettings,
    Reply, ReplyBody, SendError, Target, Tunnel, Tunnels,
};
use shaleline_testkit::cases;
use shaleline_types::Upstream;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Opens tunnels to one upstream, and keeps the task of the last one.
struct Relay {
    upstream: SocketAddr,
    task: TunnelTask,
}

type TunnelTask = Rc<RefCell<Option<JoinHandle<()>>>>;

impl Handler for Relay {
    fn handle(&self, request: Request<Incoming>) -> Pin<Box<dyn Future<Output = Reply>>> {
        let (upstream, task) = (self.upstream, Rc::clone(&self.task));
        Box::pin(async move {
            let mut reply = Response::new(ReplyBody::from_bytes(Bytes::new()));
            match TcpStream::connect(upstream).await {
                Ok(stream) => {
                    let upgrade = hyper::upgrade::on(request);
                    let running = actix_rt::spawn(tunnel::run(upgrade, boxed(stream), TIMEOUT));
                    task.replace(Some(running));
                }
                Err(_) => *reply.status_mut() = StatusCode::BAD_GATEWAY,
            }
            reply
        })
    }
}

fn target(upstream: SocketAddr) -> Target {
    Target {
        name: Upstream::from_text("i-1").expect("a valid name"),
        address: upstream,
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

    fn connect<'a>(&'a self, target: &'a Target) -> LocalFuture<'a, io::Result<Tunnel>> {
        Box::pin(async {
            let stream = tunnel::connect(self.0, target, TIMEOUT).await;
            let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::HostUnreachable))?;
            let (stream, relay) = (boxed(stream), self.0);
            Ok(Tunnel { stream, relay })
        })
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
    start_relay_with(upstream, TunnelTask::default())
}

fn start_relay_with(upstream: SocketAddr, task: TunnelTask) -> SocketAddr {
    let address = "127.0.0.1:0".parse().expect("an address");
    let relay = Listener::bind(address, ListenerControl::new(TIMEOUT, 16_384)).expect("bound");
    let address = relay.address().expect("an address");
    actix_rt::spawn(relay.run(Rc::new(Relay { upstream, task })));
    address
}

async fn request(relay: SocketAddr, upstream: SocketAddr) -> String {
    let mut exchange = match send(relay, upstream).await {
        Ok(exchange) => exchange,
        Err(e) => return format!("{e:?}"),
    };
    let status = exchange.status().as_u16();
    match exchange.collect(1_000).await {
        Ok(body) => format!("{status} {}", String::from_utf8_lossy(&body)),
        Err(e) => format!("{status} then {e:?}"),
    }
}

async fn send(relay: SocketAddr, upstream: SocketAddr) -> Result<Exchange, SendError> {
    let pool = Pool::new(PoolSettings {
        connect_timeout: TIMEOUT,
        unacked_timeout: TIMEOUT,
        max_connections: 4,
    });
    let target = target(upstream);
    let body = Full::new(Bytes::from_static(b"hi"));
    let request = Request::post("/").header("host", "h").body(body);
    let request = request.expect("a valid request");
    pool.send_with(&target, request, &Always(relay)).await
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

/// How a tunnel ends inside an answer without a length.
#[derive(Clone, Copy)]
enum End {
    /// Its task is dropped, as when its daemon is killed.
    Aborted,
    Closed,
    Reset,
}

/// What the caller takes an answer for whose tunnel ends so after a part of it has arrived.
fn part_then(end: End) -> &'static str {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let upstream = listener.local_addr().expect("an address");
        let task = TunnelTask::default();
        let relay = start_relay_with(upstream, Rc::clone(&task));
        let server = async {
            let (mut stream, _) = listener.accept().await.expect("accepted");
            read_request(&mut stream).await;
            let part = b"HTTP/1.1 200 OK\r\n\r\npart";
            stream.write_all(part).await.expect("written");
            stream
        };
        let (exchange, stream) = tokio::join!(send(relay, upstream), server);
        let mut exchange = exchange.expect("an answer");
        let first = exchange.next().await.expect("a part");
        assert_eq!(first.as_deref(), Some(b"part".as_slice()));
        match end {
            End::Aborted => task.borrow().as_ref().expect("a tunnel").abort(),
            End::Closed => drop(stream),
            End::Reset => {
                let socket = socket2::SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).expect("set");
                drop(stream);
            }
        }
        match exchange.next().await {
            Ok(None) => "complete",
            Ok(Some(_)) => "more",
            Err(_) => "broken",
        }
    })
}

cases! {
    part_then;
    a_tunnel_of_a_killed_daemon_breaks_its_answer: End::Aborted => "broken",
    an_upstream_that_closes_its_tunnel_ends_its_answer: End::Closed => "complete",
    an_upstream_that_resets_its_tunnel_breaks_its_answer: End::Reset => "broken",
}

/// Opens a tunnel by hand and sends a request on it.
async fn open_by_hand(relay: SocketAddr, upstream: SocketAddr) -> TcpStream {
    let target = target(upstream);
    let tunnel = tunnel::connect(relay, &target, TIMEOUT).await;
    let mut tunnel = tunnel.expect("a tunnel");
    let request = b"POST / HTTP/1.1\r\n\r\nhi";
    tunnel.write_all(request).await.expect("written");
    tunnel
}

#[test]
fn a_caller_that_closes_its_side_does_not_take_a_part_for_the_whole() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let upstream = listener.local_addr().expect("an address");
        let relay = start_relay(upstream);
        let mut caller = open_by_hand(relay, upstream).await;
        let (mut stream, _) = listener.accept().await.expect("accepted");
        read_request(&mut stream).await;
        stream.write_all(b"part").await.expect("written");
        let mut part = [0; 4];
        caller.read_exact(&mut part).await.expect("a part");
        caller.shutdown().await.expect("shut");
        let end = caller.read(&mut part).await;
        assert!(end.is_err(), "{end:?}");
        // The upstream learns that the caller left.
        let end = stream.read(&mut part).await;
        assert!(matches!(end, Ok(0) | Err(_)), "{end:?}");
    });
}

#[test]
fn a_large_answer_reaches_a_caller_that_reads_after_its_tunnel_has_ended() {
    const BYTES: usize = 48 << 10;
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let upstream = listener.local_addr().expect("an address");
        let task = TunnelTask::default();
        let relay = start_relay_with(upstream, Rc::clone(&task));
        let mut caller = open_by_hand(relay, upstream).await;
        let socket = socket2::SockRef::from(&caller);
        socket.set_recv_buffer_size(16_384).expect("set");
        let (mut stream, _) = listener.accept().await.expect("accepted");
        read_request(&mut stream).await;
        stream.write_all(&[b'x'; BYTES]).await.expect("written");
        drop(stream);
        let running = task.borrow_mut().take().expect("a tunnel");
        running.await.expect("no panic");
        let mut seen = Vec::new();
        caller.read_to_end(&mut seen).await.expect("a regular end");
        assert_eq!(seen.len(), BYTES);
    });
}

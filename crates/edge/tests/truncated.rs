//! Streamed responses that break off must not look complete to callers, whatever ends them.

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, Version};
use shaleline_edge::{Chunk, Handler, Listener, ListenerControl, Reply, ReplyBody};
use shaleline_testkit::cases;
use socket2::{Domain, Socket, Type};
use std::future::Future;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// A test that hangs fails after this time.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Less than the system buffers for a caller that does not read.
const BUFFERED_BYTES: usize = 48 << 10;

/// More than the system buffers.
const LARGE_BYTES: usize = 16 << 20;

const GET_1_0: &str = "GET / HTTP/1.0\r\n\r\n";
const GET_1_0_KEPT: &str = "GET / HTTP/1.0\r\nconnection: keep-alive\r\n\r\n";
const GET_ANSWERED_BY_1_0: &str = "GET /1.0 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
const GET_1_1: &str = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";

/// Answers with streams and passes on their senders. Answers at the path `/1.0` have this version.
struct Streams {
    senders: Sender<mpsc::Sender<Chunk>>,
    length: Option<u64>,
}

impl Handler for Streams {
    fn handle(&self, request: Request<Incoming>) -> Pin<Box<dyn Future<Output = Reply>>> {
        let (sender, body) = ReplyBody::channel(2, self.length);
        self.senders.send(sender).expect("the test runs");
        let mut reply = Response::new(body);
        if request.uri().path() == "/1.0" {
            *reply.version_mut() = Version::HTTP_10;
        }
        Box::pin(std::future::ready(reply))
    }
}

/// How a server's thread ends.
enum Stop {
    /// Its tasks are dropped, as when a process is killed.
    Kill,
    /// It waits for the end of its connections.
    Drain,
}

struct Server {
    address: SocketAddr,
    senders: Receiver<mpsc::Sender<Chunk>>,
    stop: oneshot::Sender<Stop>,
    thread: JoinHandle<()>,
}

impl Server {
    fn start(length: Option<u64>) -> Self {
        let (senders, received) = channel();
        let (bound, address) = channel();
        let (stop, stopped) = oneshot::channel();
        let serve = move || async move {
            let control = ListenerControl::new(TIMEOUT, 8_192);
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let listener = Listener::bind(any, control.clone()).expect("bound");
            let address = listener.address().expect("an address");
            bound.send(address).expect("the test runs");
            actix_rt::spawn(listener.run(Rc::new(Streams { senders, length })));
            if let Ok(Stop::Drain) = stopped.await {
                while control.connections() > 0 {
                    tokio::task::yield_now().await;
                }
            }
        };
        let thread = std::thread::spawn(|| actix_rt::System::new().block_on(serve()));
        Self {
            address: address.recv().expect("a running server"),
            senders: received,
            stop,
            thread,
        }
    }

    fn stop(self, how: Stop) {
        self.stop.send(how).ok().expect("a running server");
        self.thread.join().expect("no panic");
    }
}

/// Connects with a small receive buffer, so that unread bytes stay with the server.
fn connect(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("set");
    socket.connect(&address.into()).expect("connected");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(TIMEOUT)).expect("set");
    stream
}

/// Reads until the bytes end with `end`.
fn read_until(stream: &mut TcpStream, end: &str) -> Vec<u8> {
    let (mut seen, mut byte) = (Vec::new(), [0]);
    while !seen.ends_with(end.as_bytes()) {
        stream.read_exact(&mut byte).expect("more bytes");
        seen.push(byte[0]);
    }
    seen
}

/// What a caller takes a response for, after it has read `seen` of it.
fn read_end(stream: &mut impl Read, mut seen: Vec<u8>) -> (&'static str, Vec<u8>) {
    let end = stream.read_to_end(&mut seen).map_err(|e| e.kind());
    let text = String::from_utf8_lossy(&seen);
    let chunked = text.contains("transfer-encoding: chunked");
    let whole = match end {
        Ok(_) if chunked && !text.ends_with("\r\n0\r\n\r\n") => "broken",
        Ok(_) if text.is_empty() => "broken",
        Ok(_) => "complete",
        Err(ErrorKind::ConnectionReset) => "broken",
        Err(e) => panic!("{e}"),
    };
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (whole, body.as_bytes().to_vec())
}

fn data(bytes: &'static [u8]) -> Chunk {
    Chunk::Data(Bytes::from_static(bytes))
}

#[derive(Clone, Copy)]
enum End {
    Whole,
    DroppedBeforeFirst,
    DroppedInside,
    KilledBeforeFirst,
    KilledInside,
    /// The caller sends no more, but still reads.
    HalfClosed,
}

/// What a caller takes a stream for that ends in the given way.
fn outcome((request, end): (&'static str, End)) -> &'static str {
    let server = Server::start(None);
    let mut stream = connect(server.address);
    stream.write_all(request.as_bytes()).expect("written");
    let sender = server.senders.recv().expect("a request");
    let mut seen = Vec::new();
    if !matches!(end, End::DroppedBeforeFirst | End::KilledBeforeFirst) {
        sender.blocking_send(data(b"part")).expect("taken");
        seen = read_until(&mut stream, "part");
    }
    match end {
        End::Whole => {
            sender.blocking_send(Chunk::End).expect("taken");
            read_end(&mut stream, seen).0
        }
        End::DroppedBeforeFirst | End::DroppedInside => {
            drop(sender);
            read_end(&mut stream, seen).0
        }
        End::KilledBeforeFirst => {
            seen = read_until(&mut stream, "\r\n\r\n");
            server.stop(Stop::Kill);
            read_end(&mut stream, seen).0
        }
        End::KilledInside => {
            server.stop(Stop::Kill);
            read_end(&mut stream, seen).0
        }
        End::HalfClosed => {
            stream.shutdown(Shutdown::Write).expect("shut");
            read_end(&mut stream, seen).0
        }
    }
}

cases! {
    outcome;
    a_whole_stream_over_1_0_is_complete: (GET_1_0, End::Whole) => "complete",
    a_stream_over_1_0_that_breaks_off_before_its_first_byte_is_broken:
        (GET_1_0, End::DroppedBeforeFirst) => "broken",
    a_stream_over_1_0_that_breaks_off_is_broken: (GET_1_0, End::DroppedInside) => "broken",
    a_stream_over_1_0_of_a_server_killed_before_its_first_byte_is_broken:
        (GET_1_0, End::KilledBeforeFirst) => "broken",
    a_stream_over_1_0_of_a_killed_server_is_broken: (GET_1_0, End::KilledInside) => "broken",
    a_stream_over_1_0_to_a_caller_that_closes_its_side_is_broken:
        (GET_1_0, End::HalfClosed) => "broken",
    a_whole_stream_over_1_0_with_keep_alive_is_complete: (GET_1_0_KEPT, End::Whole) => "complete",
    a_stream_over_1_0_with_keep_alive_that_breaks_off_is_broken:
        (GET_1_0_KEPT, End::DroppedInside) => "broken",
    a_whole_stream_answered_by_1_0_is_complete: (GET_ANSWERED_BY_1_0, End::Whole) => "complete",
    a_stream_answered_by_1_0_that_breaks_off_is_broken:
        (GET_ANSWERED_BY_1_0, End::DroppedInside) => "broken",
    a_whole_stream_over_1_1_is_complete: (GET_1_1, End::Whole) => "complete",
    a_stream_over_1_1_that_breaks_off_before_its_first_byte_is_broken:
        (GET_1_1, End::DroppedBeforeFirst) => "broken",
    a_stream_over_1_1_that_breaks_off_is_broken: (GET_1_1, End::DroppedInside) => "broken",
    a_stream_over_1_1_of_a_server_killed_before_its_first_byte_is_broken:
        (GET_1_1, End::KilledBeforeFirst) => "broken",
    a_stream_over_1_1_of_a_killed_server_is_broken: (GET_1_1, End::KilledInside) => "broken",
    a_stream_over_1_1_to_a_caller_that_closes_its_side_is_broken:
        (GET_1_1, End::HalfClosed) => "broken",
}

/// Sends a whole body in pieces.
fn send_whole(sender: &mpsc::Sender<Chunk>, bytes: usize) {
    const PIECE: &[u8] = &[b'x'; 4_096];
    for _ in 0..bytes / PIECE.len() {
        sender.blocking_send(data(PIECE)).expect("taken");
    }
    sender.blocking_send(Chunk::End).expect("taken");
}

#[test]
fn a_whole_stream_over_1_0_reaches_a_caller_that_reads_after_the_server_has_ended() {
    let server = Server::start(None);
    let mut stream = connect(server.address);
    stream.write_all(GET_1_0.as_bytes()).expect("written");
    let sender = server.senders.recv().expect("a request");
    send_whole(&sender, BUFFERED_BYTES);
    server.stop(Stop::Drain);
    let (end, body) = read_end(&mut stream, Vec::new());
    assert_eq!((end, body.len()), ("complete", BUFFERED_BYTES));
}

/// Reads a little at a time and lets the server run in between.
struct Slow(TcpStream);

impl Read for Slow {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        std::thread::yield_now();
        let length = buffer.len().min(1_000);
        self.0.read(&mut buffer[..length])
    }
}

#[test]
fn a_large_stream_over_1_0_reaches_a_slow_caller() {
    let server = Server::start(None);
    let mut stream = connect(server.address);
    stream.write_all(GET_1_0.as_bytes()).expect("written");
    let sender = server.senders.recv().expect("a request");
    let writer = std::thread::spawn(move || send_whole(&sender, LARGE_BYTES));
    let seen = read_until(&mut stream, "\r\n\r\n");
    let (end, body) = read_end(&mut Slow(stream), seen);
    writer.join().expect("all taken");
    assert_eq!((end, body.len()), ("complete", LARGE_BYTES));
}

/// What a caller takes a response without a stream for, and its body.
fn unstreamed((request, length): (&'static str, Option<u64>)) -> (&'static str, String) {
    let server = Server::start(length);
    let mut stream = connect(server.address);
    stream.write_all(request.as_bytes()).expect("written");
    let sender = server.senders.recv().expect("a request");
    if length.is_some() {
        sender.blocking_send(data(b"all")).expect("taken");
        // A response that has all of its length may have ended already and takes no more.
        sender.blocking_send(Chunk::End).ok();
    }
    let (end, body) = read_end(&mut stream, Vec::new());
    (end, String::from_utf8(body).expect("text"))
}

cases! {
    unstreamed;
    a_response_over_1_0_with_a_length_ends_regularly:
        (GET_1_0, Some(3)) => ("complete", "all".to_owned()),
    a_response_to_head_over_1_0_ends_regularly:
        ("HEAD / HTTP/1.0\r\n\r\n", None) => ("complete", String::new()),
}

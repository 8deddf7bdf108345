//! Tests of the listener: malformed requests, callers that disconnect, and shutdown.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response};
use shaleline_edge::{Chunk, Handler, Listener, ListenerControl, Reply, ReplyBody};
use shaleline_testkit::cases;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Sends a message when it is dropped.
struct NotifyOnDrop(mpsc::UnboundedSender<&'static str>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        self.0.send("left").ok();
    }
}

/// The length of a response that no socket takes at once.
const LONG: usize = 16 << 20;

/// Responds by path: `/echo` with the body, `/wait` never, `/cut` with an incomplete stream, `/long` with
/// [`LONG`] bytes.
struct PathHandler(mpsc::UnboundedSender<&'static str>);

impl Handler for PathHandler {
    fn handle(&self, request: Request<Incoming>) -> Pin<Box<dyn Future<Output = Reply>>> {
        let events = self.0.clone();
        Box::pin(async move {
            events.send("request").ok();
            match request.uri().path() {
                "/wait" => {
                    let _guard = NotifyOnDrop(events);
                    std::future::pending().await
                }
                "/cut" => {
                    let (sender, body) = ReplyBody::channel(2, None);
                    let part = Chunk::Data(Bytes::from_static(b"half"));
                    sender.send(part).await.expect("taken");
                    Response::new(body)
                }
                "/long" => Response::new(ReplyBody::from_bytes(vec![b'x'; LONG].into())),
                _ => {
                    let body = request.into_body().collect().await;
                    let bytes = body.map(|b| b.to_bytes()).unwrap_or_default();
                    Response::new(ReplyBody::from_bytes(bytes))
                }
            }
        })
    }
}

struct Server {
    address: SocketAddr,
    control: ListenerControl,
    events: mpsc::UnboundedReceiver<&'static str>,
}

fn serve() -> Server {
    let control = ListenerControl::new(Duration::from_secs(60), 8_192);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any, control.clone()).expect("bound");
    let address = listener.address().expect("an address");
    let (sender, events) = mpsc::unbounded_channel();
    actix_rt::spawn(listener.run(Rc::new(PathHandler(sender))));
    Server {
        address,
        control,
        events,
    }
}

async fn exchange(address: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.write_all(bytes.as_bytes()).await.expect("written");
    stream.shutdown().await.expect("shut");
    let mut answer = Vec::new();
    // A reset ends the response like a regular end of stream.
    stream.read_to_end(&mut answer).await.ok();
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns the number of requests that the listener parses from the bytes.
fn requests(bytes: &'static str) -> usize {
    actix_rt::System::new().block_on(async {
        let mut server = serve();
        exchange(server.address, bytes).await;
        let mut count = 0;
        while let Ok(word) = server.events.try_recv() {
            count += usize::from(word == "request");
        }
        count
    })
}

cases! { requests;
    one_request_is_parsed_once: "GET /echo HTTP/1.1\r\nhost: a\r\n\r\n" => 1,
    a_request_in_a_body_is_not_parsed:
        "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 34\r\n\r\nGET /echo HTTP/1.1\r\nhost: a\r\n\r\n..." => 1,
    conflicting_content_lengths_are_rejected:
        "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcde" => 0,
    a_transfer_encoding_not_ending_in_chunked_is_rejected:
        "POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked, x\r\n\r\n0\r\n\r\n" => 0,
    a_malformed_request_line_is_rejected: "nonsense\r\n\r\n" => 0,
}

#[test]
fn a_head_over_the_limit_is_answered_431() {
    actix_rt::System::new().block_on(async {
        let server = serve();
        let big = "x".repeat(20_000);
        let request = format!("GET /echo HTTP/1.1\r\nhost: a\r\nbig: {big}\r\n\r\n");
        let answer = exchange(server.address, &request).await;
        assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    });
}

#[test]
fn a_disconnect_of_the_caller_drops_its_request() {
    actix_rt::System::new().block_on(async {
        let mut server = serve();
        let mut stream = TcpStream::connect(server.address).await.expect("connected");
        let request = b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(request).await.expect("written");
        assert_eq!(server.events.recv().await, Some("request"));
        drop(stream);
        assert_eq!(server.events.recv().await, Some("left"));
    });
}

#[test]
fn an_incomplete_response_has_no_final_chunk() {
    actix_rt::System::new().block_on(async {
        let server = serve();
        let answer = exchange(server.address, "GET /cut HTTP/1.1\r\nhost: a\r\n\r\n").await;
        assert!(!answer.ends_with("0\r\n\r\n"), "{answer:?}");
        // The chunks sent before the sender was dropped are delivered.
        assert!(answer.contains("half"), "{answer:?}");
    });
}

#[test]
fn a_closing_listener_answers_with_connection_close() {
    actix_rt::System::new().block_on(async {
        let server = serve();
        server.control.begin_closing();
        let request = "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi";
        let answer = exchange(server.address, request).await;
        assert!(answer.contains("connection: close"), "{answer}");
        assert!(answer.ends_with("hi"), "{answer}");
    });
}

#[test]
fn a_closed_listener_closes_idle_connections() {
    actix_rt::System::new().block_on(async {
        let server = serve();
        let mut stream = TcpStream::connect(server.address).await.expect("connected");
        let request = b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi";
        stream.write_all(request).await.expect("written");
        let mut answer = [0; 64];
        assert!(stream.read(&mut answer).await.expect("an answer") > 0);
        server.control.close();
        let mut rest = Vec::new();
        // Returns only if the connection is closed.
        stream.read_to_end(&mut rest).await.expect("closed");
    });
}

/// Guards against an instance that reads more requests than it has processor time for.
/// A process that had no processor time for a while finds requests and its own stop at once.
#[test]
fn a_closed_listener_answers_requests_that_arrived_before() {
    const CONNECTIONS: usize = 16;
    const REQUEST: &[u8] = b"GET /echo HTTP/1.1\r\nhost: a\r\n\r\n";
    actix_rt::System::new().block_on(async {
        let server = serve();
        let mut streams = Vec::new();
        for _ in 0..CONNECTIONS {
            let mut stream = TcpStream::connect(server.address).await.expect("connected");
            stream.write_all(REQUEST).await.expect("written");
            assert!(stream.read(&mut [0; 1_024]).await.expect("read") > 0);
            streams.push(stream);
        }
        for stream in &streams {
            assert_eq!(stream.try_write(REQUEST).expect("written"), REQUEST.len());
        }
        server.control.close();
        let mut answered = 0;
        for stream in &mut streams {
            let mut answer = Vec::new();
            stream.read_to_end(&mut answer).await.ok();
            answered += usize::from(answer.starts_with(b"HTTP/1.1 200"));
        }
        assert_eq!(answered, CONNECTIONS);
    });
}

#[test]
fn an_overloaded_listener_closes_most_new_connections_unread() {
    const CONNECTIONS: usize = 12;
    let request = "GET /echo HTTP/1.1\r\nhost: a\r\n\r\n";
    actix_rt::System::new().block_on(async {
        let mut server = serve();
        server.control.set_overloaded(true);
        let mut answered = 0;
        for _ in 0..CONNECTIONS {
            let mut stream = TcpStream::connect(server.address).await.expect("connected");
            // The connection may be closed before the request is written.
            stream.write_all(request.as_bytes()).await.ok();
            stream.shutdown().await.ok();
            let mut answer = Vec::new();
            stream.read_to_end(&mut answer).await.ok();
            answered += usize::from(!answer.is_empty());
        }
        let mut read = 0;
        while server.events.try_recv().is_ok() {
            read += 1;
        }
        assert_eq!((answered, read), (CONNECTIONS / 4, CONNECTIONS / 4));
        server.control.set_overloaded(false);
        let answer = exchange(server.address, request).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    });
}

#[test]
fn an_overloaded_listener_serves_open_connections() {
    actix_rt::System::new().block_on(async {
        let server = serve();
        let mut stream = TcpStream::connect(server.address).await.expect("connected");
        let request = b"GET /echo HTTP/1.1\r\nhost: a\r\n\r\n";
        for _ in 0..5 {
            stream.write_all(request).await.expect("written");
            let mut answer = [0; 512];
            let length = stream.read(&mut answer).await.expect("an answer");
            assert!(answer[..length].starts_with(b"HTTP/1.1 200"));
            server.control.set_overloaded(true);
        }
    });
}

/// Guards against a process that ends while its last responses are still being written.
#[test]
fn a_request_is_in_progress_until_its_response_is_written() {
    actix_rt::System::new().block_on(async {
        let server = serve();
        let stream = TcpStream::connect(server.address).await;
        let mut stream = stream.expect("connected");
        let request = b"GET /long HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(request).await.expect("written");
        let mut read = vec![0; 1_000];
        stream.read_exact(&mut read).await.expect("read");
        assert_eq!(server.control.busy(), 1);
        let mut all = read.len();
        let mut part = vec![0; 1 << 20];
        while all < LONG {
            all += stream.read(&mut part).await.expect("read");
        }
        while server.control.busy() > 0 {
            tokio::task::yield_now().await;
        }
        // A short response is written at once, on the same connection.
        let request = b"GET /echo HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(request).await.expect("written");
        let count = stream.read(&mut part).await.expect("read");
        assert!(count > 0);
        while server.control.busy() > 0 {
            tokio::task::yield_now().await;
        }
    });
}

//! What callers may do to a connection, and how a listener stops.

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

/// Tells when it is dropped.
struct Tell(mpsc::UnboundedSender<&'static str>);

impl Drop for Tell {
    fn drop(&mut self) {
        self.0.send("left").ok();
    }
}

/// Answers by path: `/echo` with the body, `/wait` never, `/cut` with half a stream.
struct Paths(mpsc::UnboundedSender<&'static str>);

impl Handler for Paths {
    fn handle(&self, request: Request<Incoming>) -> Pin<Box<dyn Future<Output = Reply>>> {
        let told = self.0.clone();
        Box::pin(async move {
            told.send("request").ok();
            match request.uri().path() {
                "/wait" => {
                    let _tell = Tell(told);
                    std::future::pending().await
                }
                "/cut" => {
                    let (sender, body) = ReplyBody::channel(2, None);
                    let part = Chunk::Data(Bytes::from_static(b"half"));
                    sender.send(part).await.expect("taken");
                    Response::new(body)
                }
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
    gate: ListenerControl,
    told: mpsc::UnboundedReceiver<&'static str>,
}

fn serve() -> Server {
    let gate = ListenerControl::new(Duration::from_secs(60), 8_192);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any, gate.clone()).expect("bound");
    let address = listener.address().expect("an address");
    let (tell, told) = mpsc::unbounded_channel();
    actix_rt::spawn(listener.run(Rc::new(Paths(tell))));
    Server {
        address,
        gate,
        told,
    }
}

async fn exchange(address: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.write_all(bytes.as_bytes()).await.expect("written");
    stream.shutdown().await.expect("shut");
    let mut answer = Vec::new();
    // A reset ends the answer as an end does.
    stream.read_to_end(&mut answer).await.ok();
    String::from_utf8_lossy(&answer).into_owned()
}

/// How many requests the listener takes out of these bytes.
fn requests(bytes: &'static str) -> usize {
    actix_rt::System::new().block_on(async {
        let mut server = serve();
        exchange(server.address, bytes).await;
        let mut count = 0;
        while let Ok(word) = server.told.try_recv() {
            count += usize::from(word == "request");
        }
        count
    })
}

cases! { requests;
    one_request_is_one: "GET /echo HTTP/1.1\r\nhost: a\r\n\r\n" => 1,
    a_request_in_a_body_is_a_body:
        "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 34\r\n\r\nGET /echo HTTP/1.1\r\nhost: a\r\n\r\n..." => 1,
    two_lengths_that_differ_are_refused:
        "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcde" => 0,
    an_encoding_that_is_not_chunked_last_is_refused:
        "POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked, x\r\n\r\n0\r\n\r\n" => 0,
    a_bare_line_is_no_request: "nonsense\r\n\r\n" => 0,
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
fn a_caller_that_leaves_ends_its_request() {
    actix_rt::System::new().block_on(async {
        let mut server = serve();
        let mut stream = TcpStream::connect(server.address).await.expect("connected");
        let request = b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(request).await.expect("written");
        assert_eq!(server.told.recv().await, Some("request"));
        drop(stream);
        assert_eq!(server.told.recv().await, Some("left"));
    });
}

#[test]
fn an_unfinished_answer_does_not_look_whole() {
    actix_rt::System::new().block_on(async {
        let server = serve();
        let answer = exchange(server.address, "GET /cut HTTP/1.1\r\nhost: a\r\n\r\n").await;
        assert!(!answer.ends_with("0\r\n\r\n"), "{answer:?}");
        // What came before the break was ready, and is delivered.
        assert!(answer.contains("half"), "{answer:?}");
    });
}

#[test]
fn a_closing_listener_answers_and_says_so() {
    actix_rt::System::new().block_on(async {
        let server = serve();
        server.gate.begin_closing();
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
        server.gate.close();
        let mut rest = Vec::new();
        // Ends only if the connection is closed.
        stream.read_to_end(&mut rest).await.expect("closed");
    });
}

//! Tests of the pool: faults of an upstream's connection and the outcome of the requests on it.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use shaleline_edge::{Pool, PoolSettings, SendError, Target};
use shaleline_testkit::cases;
use shaleline_types::Upstream;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What the upstream does after it has written a response.
#[derive(Clone, Copy, PartialEq)]
enum After {
    Keep,
    Close,
    Reset,
}

/// An upstream's responses in order. Each connection continues where the last one stopped.
type Script = &'static [(&'static str, After)];

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

async fn read_head(stream: &mut TcpStream) -> bool {
    let mut seen = Vec::new();
    let mut byte = [0];
    while !seen.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte).await {
            Ok(1) => seen.push(byte[0]),
            _ => return false,
        }
    }
    true
}

async fn serve_script(listener: TcpListener, script: Script) {
    let mut next = script.iter();
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            return;
        };
        while read_head(&mut stream).await {
            let Some((bytes, after)) = next.next() else {
                return;
            };
            stream.write_all(bytes.as_bytes()).await.expect("written");
            match after {
                After::Keep => {}
                After::Close => break,
                After::Reset => {
                    let socket = socket2::SockRef::from(&stream);
                    socket.set_linger(Some(Duration::ZERO)).expect("set");
                    break;
                }
            }
        }
    }
}

fn target(address: SocketAddr) -> Target {
    Target {
        name: Upstream::from_text("up").expect("a valid name"),
        address,
    }
}

fn pool() -> Pool {
    Pool::new(PoolSettings {
        connect_timeout: Duration::from_secs(5),
        unacked_timeout: Duration::from_secs(5),
        max_connections: 4,
    })
}

async fn fetch(pool: &Pool, target: &Target) -> String {
    let request = Request::get("/")
        .body(Full::new(Bytes::new()))
        .expect("a valid request");
    let mut exchange = match pool.send(target, request).await {
        Ok(exchange) => exchange,
        Err(e) => return format!("{e:?}"),
    };
    let status = exchange.status().as_u16();
    match exchange.collect(1_000).await {
        Ok(body) => {
            exchange.finish(Duration::from_secs(60));
            format!("{status} {}", String::from_utf8_lossy(&body))
        }
        Err(e) => format!("{status} then {e:?}"),
    }
}

/// Sends as many requests as the script has responses, one after the other.
fn responses(script: Script) -> Vec<String> {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let target = target(listener.local_addr().expect("an address"));
        let server = actix_rt::spawn(serve_script(listener, script));
        let pool = pool();
        let mut out = Vec::new();
        for _ in script {
            out.push(fetch(&pool, &target).await);
            // Lets the connection's task read what follows the response.
            for _ in 0..20 {
                tokio::task::yield_now().await;
            }
        }
        server.abort();
        out
    })
}

fn texts(list: &[&str]) -> Vec<String> {
    list.iter().map(|t| (*t).to_owned()).collect()
}

cases! { responses;
    an_idle_connection_is_reused: &[(OK, After::Keep), (OK, After::Keep)]
        => texts(&["200 ok", "200 ok"]),
    an_extra_response_is_discarded:
        &[("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\naHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx",
            After::Keep), (OK, After::Keep)]
        => texts(&["200 a", "200 ok"]),
    a_partial_extra_response_is_discarded:
        &[("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\naHTTP/1.1 2", After::Keep), (OK, After::Keep)]
        => texts(&["200 a", "200 ok"]),
    a_truncated_body_is_broken:
        &[("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart", After::Close)]
        => texts(&["200 then Broken"]),
    a_truncated_chunk_is_broken:
        &[("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npa", After::Close)]
        => texts(&["200 then Broken"]),
    chunks_without_a_final_chunk_are_broken:
        &[("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n", After::Close)]
        => texts(&["200 then Broken"]),
    a_body_without_length_ends_with_its_connection:
        &[("HTTP/1.1 200 OK\r\n\r\nall", After::Close), (OK, After::Keep)]
        => texts(&["200 all", "200 ok"]),
    a_malformed_response_is_broken:
        &[("garbage\r\n\r\n", After::Keep)] => texts(&["Broken"]),
    a_connection_closed_without_a_response_is_broken:
        &[("", After::Close)] => texts(&["Broken"]),
    a_reset_without_a_response_is_broken:
        &[("", After::Reset)] => texts(&["Broken"]),
}

/// Writes a response of this size, or one without end, to each request on one connection.
fn responses_with(
    part: &'static str,
    repeats: usize,
    end: &'static str,
    requests: usize,
) -> Vec<String> {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let target = target(listener.local_addr().expect("an address"));
        let server = actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("accepted");
            while read_head(&mut stream).await {
                for _ in 0..repeats {
                    if stream.write_all(part.as_bytes()).await.is_err() {
                        return;
                    }
                }
                stream.write_all(end.as_bytes()).await.ok();
            }
        });
        let pool = pool();
        let mut out = Vec::new();
        for _ in 0..requests {
            out.push(fetch(&pool, &target).await);
        }
        server.abort();
        out
    })
}

const HINTS: &str = "HTTP/1.1 103 Early Hints\r\nx-more: of the same\r\n\r\n";

/// Guards against informational responses that arrive without end: each is skipped, so that no buffer
/// fills.
#[test]
fn informational_responses_count_toward_the_head() {
    let got = responses_with(HINTS, usize::MAX, "", 1);
    assert_eq!(got, texts(&["HeadTooLarge"]));
}

/// Guards against a limit that counts the heads of all responses on a connection together.
#[test]
fn each_response_on_a_connection_has_its_own_limit() {
    let got = responses_with(HINTS, 40_000 / HINTS.len(), OK, 4);
    assert_eq!(got, texts(&["200 ok"; 4]));
}

#[test]
fn a_head_without_end_is_too_large() {
    const LINES: &str = "HTTP/1.1 200 OK\r\n";
    let got = responses_with("x-more: of the same\r\n", usize::MAX, "", 1);
    // Without a status line the head is malformed at once.
    assert_eq!(got, texts(&["Broken"]));
    let got = actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let target = target(listener.local_addr().expect("an address"));
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("accepted");
            read_head(&mut stream).await;
            stream.write_all(LINES.as_bytes()).await.expect("written");
            while stream.write_all(b"x-more: of the same\r\n").await.is_ok() {}
        });
        fetch(&pool(), &target).await
    });
    assert_eq!(got, "HeadTooLarge");
}

#[test]
fn a_body_beyond_its_limit_is_too_large() {
    let by_length = "HTTP/1.1 200 OK\r\ncontent-length: 1001\r\n\r\n";
    assert_eq!(
        responses_with("", 0, by_length, 1),
        texts(&["200 then BodyTooLarge"])
    );
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3e9\r\n";
    let body = "x".repeat(1_001);
    let chunked: &'static str = Box::leak(format!("{head}{body}\r\n").into_boxed_str());
    assert_eq!(
        responses_with("", 0, chunked, 1),
        texts(&["200 then BodyTooLarge"])
    );
}

#[test]
fn a_reset_body_without_length_is_broken() {
    let got = responses(&[("HTTP/1.1 200 OK\r\n\r\npart", After::Reset)]);
    // The reset may arrive before the head is read; the response is incomplete either way.
    assert!(got[0].ends_with("Broken"), "{got:?}");
}

#[test]
fn a_refused_connection_means_not_sent() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let target = target(listener.local_addr().expect("an address"));
        drop(listener);
        assert_eq!(
            fetch(&pool(), &target).await,
            format!("{:?}", SendError::NotSent)
        );
    });
}

/// Returns whether a second request is sent that may no longer be sent once it has a connection: an
/// idle one if the first response is followed by `after`, a new one otherwise.
fn sends_forbidden(after: After) -> bool {
    let script: &'static [(&str, After)] = match after {
        After::Keep => &[(OK, After::Keep), (OK, After::Keep)],
        _ => &[(OK, After::Close), (OK, After::Keep)],
    };
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let target = target(listener.local_addr().expect("an address"));
        actix_rt::spawn(serve_script(listener, script));
        let pool = pool();
        assert!(fetch(&pool, &target).await.starts_with("200"));
        let request = Request::get("/").header("host", "h");
        let request = request.body(Full::new(Bytes::new())).expect("valid");
        let sent = pool.send_if(&target, request, &|| false).await;
        !matches!(sent, Err(SendError::NotSent))
    })
}

cases! { sends_forbidden;
    // A process was suspended while it waited for a connection, and sent what it had decided before.
    nothing_is_sent_on_an_idle_connection_once_it_is_forbidden: After::Keep => false,
    nothing_is_sent_on_a_new_connection_once_it_is_forbidden: After::Close => false,
}

#[test]
fn a_dropped_request_closes_its_connection() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let target = target(listener.local_addr().expect("an address"));
        let pool = pool();
        let request = actix_rt::spawn(async move { fetch(&pool, &target).await });
        let (mut stream, _) = listener.accept().await.expect("accepted");
        assert!(read_head(&mut stream).await);
        request.abort();
        let mut rest = Vec::new();
        // Returns only if the connection is closed.
        let end = stream.read_to_end(&mut rest).await;
        assert!(end.is_err() || rest.is_empty());
    });
}

/// What becomes of a request whose response has this status line.
fn outcome_of(status: &'static str) -> Result<u16, SendError> {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let target = target(listener.local_addr().expect("an address"));
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("accepted");
            if read_head(&mut stream).await {
                let head = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
                stream.write_all(head.as_bytes()).await.expect("written");
            }
        });
        let request = Request::get("/").body(Full::new(Bytes::new()));
        let exchange = pool().send(&target, request.expect("a request")).await;
        exchange.map(|e| e.status().as_u16())
    })
}

// Guards against responses to calls of the store, orders, reports and requests alike.
cases! { outcome_of;
    the_lowest_final_status_is_valid: "200 OK" => Ok(200),
    the_highest_final_status_is_valid: "599 Trouble" => Ok(599),
    a_switch_of_protocols_is_not_valid: "101 Switching Protocols" => Err(SendError::InvalidStatus),
    a_status_above_the_highest_is_not_valid: "600 Trouble" => Err(SendError::InvalidStatus),
    the_highest_three_digits_are_not_valid: "999 Trouble" => Err(SendError::InvalidStatus),
    a_status_below_the_lowest_is_not_valid: "000 Trouble" => Err(SendError::Broken),
}

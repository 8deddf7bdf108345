//! Tests of responses of other daemons that were cut off.

use crate::forward::receive;
use shaleline_testkit::cases;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

/// Starts a server that answers one request with these bytes and closes the connection.
fn server(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let (mut seen, mut byte) = (Vec::new(), [0]);
        while !seen.ends_with(b"\r\n\r\nhi") {
            stream.read_exact(&mut byte).expect("a request");
            seen.push(byte[0]);
        }
        stream.write_all(answer.as_bytes()).expect("written");
    });
    address
}

fn received(answer: &'static str) -> Option<Vec<u8>> {
    let address = server(answer);
    actix_rt::System::new().block_on(async {
        let request = awc::Client::default().post(format!("http://{address}/"));
        let received = receive(request, b"hi".to_vec()).await;
        received.map(|r| r.body.to_vec())
    })
}

cases! {
    received;
    a_response_with_its_whole_length_is_forwarded:
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nall" => Some(b"all".to_vec()),
    an_empty_response_is_forwarded:
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n" => Some(Vec::new()),
    a_response_that_never_has_a_body_is_forwarded:
        "HTTP/1.1 204 No Content\r\n\r\n" => Some(Vec::new()),
    a_response_shorter_than_its_length_is_not_forwarded:
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart" => None,
    a_response_without_the_first_byte_of_its_body_is_not_forwarded:
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n" => None,
    a_response_without_its_last_chunk_is_not_forwarded:
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n" => None,
    a_response_that_ends_with_its_connection_is_not_forwarded:
        "HTTP/1.0 200 OK\r\n\r\npart" => None,
}

//! Responses of services that were cut off must not be taken for complete ones.

use shaleline_border::{SendError, ServiceCall, Services};
use shaleline_dialect::HttpPlatform;
use shaleline_testkit::cases;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

/// Starts a server that answers one request with these bytes and closes the connection, or exits.
fn server(answer: &'static str, exits: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let (mut seen, mut byte) = (Vec::new(), [0]);
        while !seen.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).expect("a request");
            seen.push(byte[0]);
        }
        stream.write_all(answer.as_bytes()).expect("written");
        if exits {
            drop(listener);
            return;
        }
        drop(stream);
        // Accepts until the test process ends.
        listener.incoming().for_each(drop);
    });
    address
}

fn answered(case: (&str, &'static str)) -> Result<String, SendError> {
    call(case, false)
}

fn answered_by_exit(case: (&str, &'static str)) -> Result<String, SendError> {
    call(case, true)
}

fn call((method, answer): (&str, &'static str), exits: bool) -> Result<String, SendError> {
    let address = server(answer, exits).to_string();
    let call = ServiceCall {
        method: method.to_owned(),
        path: "items?a=b".to_owned(),
        mime: None,
        key: None,
        body: Vec::new(),
    };
    actix_rt::System::new().block_on(async {
        let platform = HttpPlatform::new(&address);
        let answer = platform.call(&address, &call).await?;
        let body = String::from_utf8(answer.body).expect("text");
        Ok(format!("{} {} {body}", answer.status, answer.mime))
    })
}

cases! {
    answered;
    a_response_with_its_whole_length_is_complete:
        ("GET", "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 3\r\n\r\nall")
        => Ok("200 text/plain all".to_owned()),
    a_response_shorter_than_its_length_is_broken:
        ("GET", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart") => Err(SendError::Broken),
    a_response_with_its_last_chunk_is_complete:
        ("GET", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n")
        => Ok("200  all".to_owned()),
    a_response_without_its_last_chunk_is_broken:
        ("GET", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n")
        => Err(SendError::Broken),
    a_response_that_ends_inside_a_chunk_is_broken:
        ("GET", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\npart")
        => Err(SendError::Broken),
    a_response_that_ends_with_its_connection_is_complete:
        ("GET", "HTTP/1.1 200 OK\r\n\r\nall") => Ok("200  all".to_owned()),
    a_response_that_ends_with_its_connection_before_its_first_byte_is_broken:
        ("GET", "HTTP/1.1 200 OK\r\n\r\n") => Err(SendError::Broken),
    a_response_without_a_body_is_complete:
        ("GET", "HTTP/1.1 204 No Content\r\n\r\n") => Ok("204  ".to_owned()),
    a_response_to_head_is_complete:
        ("HEAD", "HTTP/1.1 200 OK\r\n\r\n") => Ok("200  ".to_owned()),
}

cases! {
    answered_by_exit;
    a_response_that_the_exit_of_its_service_ends_is_broken:
        ("GET", "HTTP/1.1 200 OK\r\n\r\npart") => Err(SendError::Broken),
    a_response_of_1_0_that_the_exit_of_its_service_ends_is_broken:
        ("GET", "HTTP/1.0 200 OK\r\n\r\npart") => Err(SendError::Broken),
    a_response_with_its_whole_length_is_complete_though_its_service_exits:
        ("GET", "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nall") => Ok("200  all".to_owned()),
}

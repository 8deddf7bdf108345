//! Tests that failures before the first byte are distinguished from later ones.

use shaleline_border::{SendError, ServiceCall, Services};
use shaleline_dialect::HttpPlatform;
use shaleline_log::{AppendOutcome, LogService};
use shaleline_types::Stream;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};

/// Starts a server that reads a request and closes the connection without a response.
fn closing_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().take(2) {
            let mut stream = stream.expect("a connection");
            let mut head = [0; 512];
            let _ = stream.read(&mut head);
        }
    });
    address
}

/// Returns an address at which no process listens.
fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    listener.local_addr().expect("an address")
}

fn call(address: SocketAddr) -> Result<u16, SendError> {
    let call = ServiceCall {
        method: "POST".to_owned(),
        path: "confirm".to_owned(),
        mime: None,
        key: None,
        body: b"x".to_vec(),
    };
    actix_rt::System::new().block_on(async {
        let platform = HttpPlatform::new(&address.to_string());
        platform
            .call(&address.to_string(), &call)
            .await
            .map(|a| a.status)
    })
}

fn append(address: SocketAddr) -> AppendOutcome {
    let stream = Stream::from_text("config").expect("a valid name");
    actix_rt::System::new().block_on(async {
        let platform = HttpPlatform::new(&address.to_string());
        platform.append(&stream, &["record".to_owned()]).await
    })
}

#[test]
fn a_refused_connection_means_not_sent() {
    assert_eq!(call(unused_address()), Err(SendError::NotSent));
    assert_eq!(append(unused_address()), AppendOutcome::Refused);
}

/// The client reports a connection closed without a response as a failure to connect, and a call
/// that had run was reported as not run.
#[test]
fn regression_a_connection_closed_without_a_response_may_have_run() {
    assert_eq!(call(closing_server()), Err(SendError::Broken));
    assert_eq!(append(closing_server()), AppendOutcome::Lost);
}

//! Documents why this crate uses `hyper`: `actix-web` and `awc` behave differently in cases
//! that the platform counts. If one of these tests fails after an update, the choice can be
//! reconsidered; `docs/PLATFORM.md` names them.

use actix_web::{web, App, HttpResponse, HttpServer};
use std::net::TcpListener as StdListener;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Sends a message when it is dropped.
struct NotifyOnDrop(mpsc::UnboundedSender<&'static str>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        self.0.send("left").ok();
    }
}

/// An engine must stop within half a second after its caller disconnects. `actix-web` does not
/// drop the handler's future: it still exists after the server has answered another caller.
#[test]
fn actix_web_does_not_end_a_request_whose_caller_left() {
    actix_rt::System::new().block_on(async {
        let (sender, mut events) = mpsc::unbounded_channel();
        let listener = StdListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("an address");
        let app = move || {
            let sender = sender.clone();
            let wait = move || {
                let events = sender.clone();
                async move {
                    events.send("request").ok();
                    let _guard = NotifyOnDrop(events);
                    tokio::time::sleep(Duration::from_secs(60)).await;
                    HttpResponse::Ok().finish()
                }
            };
            App::new()
                .route("/wait", web::get().to(wait))
                .route("/", web::get().to(HttpResponse::Ok))
        };
        let server = HttpServer::new(app).workers(1).disable_signals();
        let server = server.listen(listener).expect("listening").run();
        let handle = server.handle();
        actix_rt::spawn(server);
        let mut leaver = TcpStream::connect(address).await.expect("connected");
        let request = b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n";
        leaver.write_all(request).await.expect("written");
        assert_eq!(events.recv().await, Some("request"));
        drop(leaver);
        // The same worker sees the end of the first connection before this one's request.
        for _ in 0..3 {
            let mut other = TcpStream::connect(address).await.expect("connected");
            let request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
            other.write_all(request).await.expect("written");
            let mut answer = Vec::new();
            other.read_to_end(&mut answer).await.expect("answered");
        }
        assert_eq!(events.try_recv().ok(), None);
        handle.stop(false).await;
    });
}

/// A request that is reported as not run must not have run. `awc` reports a connection that was
/// closed after the request was read as a failure to connect.
#[test]
fn awc_calls_a_request_without_an_answer_not_connected() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let address = listener.local_addr().expect("an address");
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("accepted");
            let mut request = [0; 1_024];
            let read = stream.read(&mut request).await.expect("read");
            assert!(read > 0, "the request arrived");
        });
        let sent = awc::Client::new().get(format!("http://{address}/")).send();
        let error = sent.await.err().map(|e| format!("{e:?}"));
        let error = error.expect("there is no answer");
        assert!(error.contains("Connect(Disconnected)"), "{error}");
    });
}

/// A response that was cut off must not be taken for a complete one. `awc` returns the part that
/// arrived, whatever length the response had.
#[test]
fn awc_takes_a_truncated_response_for_complete() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let address = listener.local_addr().expect("an address");
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("accepted");
            let mut request = [0; 1_024];
            let read = stream.read(&mut request).await.expect("read");
            assert!(read > 0, "the request arrived");
            let part = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart";
            stream.write_all(part).await.expect("written");
        });
        let sent = awc::Client::new().get(format!("http://{address}/")).send();
        let body = sent.await.expect("an answer").body().await;
        assert_eq!(body.expect("no error").as_ref(), b"part");
    });
}

//! Serves callers on persistent connections.

use crate::caller_stream::{CallerStream, Incomplete};
use crate::control::{ListenerControl, Phase};
use crate::unwritten::{Flushed, Unwritten};
use crate::Reply;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_LENGTH};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use shaleline_types::Millis;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// The connections that may wait to be accepted, sized for bursts of callers.
const BACKLOG: u32 = 1_024;

/// The interval at which a connection is checked for its idle timeout, so that it is closed soon
/// after the timeout.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// The delay after a failed accept. File descriptors are exhausted then, and an immediate
/// retry would fail again.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The smallest read buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// The remote address of a request's connection, stored as an extension of each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerAddress(pub IpAddr);

/// Handles requests. The returned future is dropped when the caller disconnects.
pub trait Handler {
    /// Handles one request.
    fn handle(&self, request: Request<Incoming>) -> Pin<Box<dyn Future<Output = Reply>>>;
}

/// A bound socket.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    control: ListenerControl,
}

impl Listener {
    /// Binds to an address.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub fn bind(address: SocketAddr, control: ListenerControl) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(Self {
            socket: socket.listen(BACKLOG)?,
            control,
        })
    }

    /// Returns the address that was bound.
    ///
    /// # Errors
    /// Fails if the system does not report the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Accepts connections until the control closes the listener. Each connection is served by
    /// its own task; under overload most are closed instead.
    pub async fn run(self, handler: Rc<dyn Handler>) {
        let mut phase = self.control.subscribe();
        loop {
            let accepted = tokio::select! {
                _ = phase.wait_for(|p| *p == Phase::Closed) => return,
                accepted = self.socket.accept() => accepted,
            };
            let Ok((stream, from)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if self.control.sheds_connection() {
                continue;
            }
            let caller = CallerAddress(from.ip());
            let connection = serve(stream, caller, self.control.clone(), Rc::clone(&handler));
            actix_rt::spawn(connection);
        }
    }
}

/// The state that decides whether a connection is idle.
struct Activity {
    busy: Cell<usize>,
    last_active: Cell<Millis>,
}

/// Whether the library sends neither a length nor chunks, so that the response ends with its
/// connection.
fn ends_with_connection(method: &Method, version: Version, reply: &Reply) -> bool {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&reply.status());
    let body = reply.body();
    let has_length = reply.headers().contains_key(CONTENT_LENGTH)
        || body.is_end_stream()
        || body.size_hint().exact().is_some();
    let chunked = version != Version::HTTP_10 && reply.version() != Version::HTTP_10;
    !(*method == Method::HEAD || bodiless || has_length || chunked)
}

async fn serve(
    stream: TcpStream,
    caller: CallerAddress,
    control: ListenerControl,
    handler: Rc<dyn Handler>,
) {
    let _open = control.track_connection();
    // Small responses must not wait for an acknowledgement. A failure here only delays them.
    stream.set_nodelay(true).ok();
    let activity = Rc::new(Activity {
        busy: Cell::new(0),
        last_active: Cell::new(control.now()),
    });
    let incomplete = Incomplete::default();
    let flushed = Flushed::default();
    let unwritten = Unwritten::new(flushed.clone());
    let written = unwritten.clone();
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(caller);
        let (method, version) = (request.method().clone(), request.version());
        let incomplete = incomplete.clone();
        let unwritten = unwritten.clone();
        let activity = Rc::clone(&activity);
        let control = control.clone();
        let response = handler.handle(request);
        async move {
            activity.busy.set(activity.busy.get() + 1);
            let guard = ActivityGuard(Rc::clone(&activity), control.clone());
            let busy = unwritten.track(control.track_request());
            let mut reply = response.await;
            if control.is_closing() {
                let close = HeaderValue::from_static("close");
                reply.headers_mut().insert(CONNECTION, close);
            }
            if ends_with_connection(&method, version, &reply) {
                incomplete.set(true);
                reply.body_mut().incomplete = Some(incomplete);
            }
            reply.body_mut().busy = Some(busy);
            drop(guard);
            Ok::<_, Infallible>(reply)
        }
    });
    let stream = CallerStream::new(stream, incomplete.clone(), flushed);
    let mut connection = pin!(Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(control.idle_timeout() + IDLE_CHECK_INTERVAL)
        .max_buf_size(control.max_head().max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service)
        .with_upgrades());
    let mut phase = control.subscribe();
    let mut shutting_down = false;
    loop {
        let polled = poll_fn(|context| {
            let polled = connection.as_mut().poll(context);
            written.on_polled();
            polled
        });
        tokio::select! {
            // The end of a connection is not logged, because each request logs its own end.
            _ = polled => return,
            _ = phase.wait_for(|p| *p == Phase::Closed), if !shutting_down => {}
            () = tokio::time::sleep(IDLE_CHECK_INTERVAL), if !shutting_down => {
                let idle = u128::from(control.now().since(activity.last_active.get())) >= control.idle_timeout().as_millis();
                if activity.busy.get() > 0 || !idle {
                    continue;
                }
            }
        }
        // A request that has arrived meanwhile is read first: the runtime learns of it once all other
        // tasks have run.
        tokio::task::yield_now().await;
        let polled = poll_fn(|context| Poll::Ready(connection.as_mut().poll(context))).await;
        written.on_polled();
        if polled.is_ready() {
            return;
        }
        shutting_down = true;
        connection.as_mut().graceful_shutdown();
    }
}

/// Records the end of a request on its connection when it is dropped.
struct ActivityGuard(Rc<Activity>, ListenerControl);

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
        self.0.last_active.set(self.1.now());
    }
}

//! Serves callers on kept connections.

use crate::gate::{ListenerControl, Phase};
use crate::Reply;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use shaleline_types::Millis;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// The connections that may wait to be accepted; callers come in herds.
const BACKLOG: u32 = 1_024;

/// How often an idle connection is looked at, so that it is closed soon after its time.
const IDLE_CHECK: Duration = Duration::from_millis(1_000);

/// How long to wait after a failed accept: descriptors are short, and spinning frees none.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The smallest read buffer that the HTTP library takes.
const LEAST_BUFFER: usize = 8_192;

/// Where the connection of a request comes from; an extension of each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerAddress(pub IpAddr);

/// Answers requests. Dropping the returned future means that the caller has gone.
pub trait Handler {
    /// Answers one request.
    fn handle(&self, request: Request<Incoming>) -> Pin<Box<dyn Future<Output = Reply>>>;
}

/// A bound socket.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    gate: ListenerControl,
}

impl Listener {
    /// Binds to an address.
    ///
    /// # Errors
    /// Where the address can't be bound.
    pub fn bind(address: SocketAddr, gate: ListenerControl) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(Self {
            socket: socket.listen(BACKLOG)?,
            gate,
        })
    }

    /// The address that was bound.
    ///
    /// # Errors
    /// Where the system can't tell.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Accepts connections until the gate is closed, each served by a task of its own.
    pub async fn run(self, handler: Rc<dyn Handler>) {
        let mut phase = self.gate.watch();
        loop {
            let accepted = tokio::select! {
                _ = phase.wait_for(|p| *p == Phase::Closed) => return,
                accepted = self.socket.accept() => accepted,
            };
            let Ok((stream, from)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let caller = CallerAddress(from.ip());
            let connection = serve(stream, caller, self.gate.clone(), Rc::clone(&handler));
            actix_rt::spawn(connection);
        }
    }
}

/// What one connection is doing.
struct Activity {
    busy: Cell<usize>,
    last: Cell<Millis>,
}

async fn serve(
    stream: TcpStream,
    caller: CallerAddress,
    gate: ListenerControl,
    handler: Rc<dyn Handler>,
) {
    let _open = gate.open();
    // Small answers must not wait for an acknowledgement; without it they are late, not lost.
    stream.set_nodelay(true).ok();
    let activity = Rc::new(Activity {
        busy: Cell::new(0),
        last: Cell::new(gate.now()),
    });
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(caller);
        let activity = Rc::clone(&activity);
        let gate = gate.clone();
        let answer = handler.handle(request);
        async move {
            activity.busy.set(activity.busy.get() + 1);
            let guard = Done(Rc::clone(&activity), gate.clone());
            let busy = gate.enter();
            let mut reply = answer.await;
            if gate.is_closing() {
                let close = HeaderValue::from_static("close");
                reply.headers_mut().insert(CONNECTION, close);
            }
            reply.body_mut().busy = Some(busy);
            drop(guard);
            Ok::<_, Infallible>(reply)
        }
    });
    let mut connection = pin!(Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(gate.idle() + IDLE_CHECK)
        .max_buf_size(gate.head().max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service));
    let mut phase = gate.watch();
    let mut told = false;
    loop {
        tokio::select! {
            // The end of a connection is no event of ours: each request logs its own end.
            _ = connection.as_mut() => return,
            _ = phase.wait_for(|p| *p == Phase::Closed), if !told => {
                told = true;
                connection.as_mut().graceful_shutdown();
            }
            () = tokio::time::sleep(IDLE_CHECK), if !told => {
                let idle = u128::from(gate.now().since(activity.last.get())) >= gate.idle().as_millis();
                if activity.busy.get() == 0 && idle {
                    told = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Notes the end of a request on its connection.
struct Done(Rc<Activity>, ListenerControl);

impl Drop for Done {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
        self.0.last.set(self.1.now());
    }
}

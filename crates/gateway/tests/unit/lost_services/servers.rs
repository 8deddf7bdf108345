//! Simulated upstreams, which answer requests on connections in simulated time.

use crate::tunnels::TunnelGuard;
use crate::unit::broken_paths::cluster::Path;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_edge::{BoxedConnection, Connection};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{
    duplex, split, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf,
    ReadHalf, WriteHalf,
};
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep, timeout};

/// The time that bytes take between a daemon and an upstream.
const HOP: Duration = Duration::from_millis(1);

/// The time after which a connection whose bytes are not acknowledged is closed.
const UNACKED: Duration = Duration::from_millis(2_000);

const BUFFER_BYTES: usize = 16_384;

/// One answer in this many takes five times as long.
const SLOW_INTERVAL: u32 = 100;
const SLOW_FACTOR: u64 = 5;

/// An upstream that runs as many requests at once as it has slots.
pub struct Server {
    slots: usize,
    /// The number of requests that may wait there.
    queue: usize,
    /// The bounds of the time that a request takes, in milliseconds.
    work: (u64, u64),
    free: Semaphore,
    running: Cell<usize>,
    waiting: Cell<usize>,
    rng: RefCell<SmallRng>,
    /// How often each request ran.
    ran: RefCell<BTreeMap<String, usize>>,
}

/// Counts a request while it runs or waits.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Server {
    pub fn new((slots, queue): (usize, usize), work: (u64, u64), seed: u64) -> Rc<Self> {
        Rc::new(Self {
            slots,
            queue,
            work,
            free: Semaphore::new(slots),
            running: Cell::new(0),
            waiting: Cell::new(0),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            ran: RefCell::default(),
        })
    }

    /// How often a request ran.
    pub fn runs(&self, id: &str) -> usize {
        self.ran.borrow().get(id).copied().unwrap_or(0)
    }

    /// Opens a connection over a path that may change.
    pub fn connect(
        self: &Rc<Self>,
        path: impl Fn() -> Path + 'static,
        changes: watch::Receiver<u64>,
    ) -> BoxedConnection {
        let (near, near_end) = duplex(BUFFER_BYTES);
        let (far, far_end) = duplex(BUFFER_BYTES);
        actix_rt::spawn(Rc::clone(self).serve(far_end));
        actix_rt::spawn(carry(near_end, far, path, changes));
        Box::new(SimulatedConnection(near))
    }

    async fn serve(self: Rc<Self>, mut stream: DuplexStream) {
        while let Some(id) = read_request(&mut stream).await {
            let answer = tokio::select! {
                answer = self.answer(&id) => answer,
                // The daemon does not send before it has its answer.
                _ = stream.read_u8() => return,
            };
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, id: &str) -> String {
        if self.waiting.get() >= self.queue {
            return self.head(503, id);
        }
        let waits = Counted::new(&self.waiting);
        let permit = self.free.acquire().await.expect("never closed");
        drop(waits);
        *self.ran.borrow_mut().entry(id.to_owned()).or_default() += 1;
        let runs = Counted::new(&self.running);
        let (least, most) = self.work;
        let work = {
            let mut rng = self.rng.borrow_mut();
            let slow = rng.random_ratio(1, SLOW_INTERVAL);
            rng.random_range(least..=most) * if slow { SLOW_FACTOR } else { 1 }
        };
        sleep(Duration::from_millis(work)).await;
        drop((runs, permit));
        self.head(200, id)
    }

    fn head(&self, status: u16, id: &str) -> String {
        let (running, waiting, slots) = (self.running.get(), self.waiting.get(), self.slots);
        format!(
            "HTTP/1.1 {status} status\r\nrequest-id: {id}\r\n\
             load: {running},{waiting},{slots}\r\ncontent-length: 2\r\n\r\nok"
        )
    }
}

/// Reads a request without a body; returns its id, or nothing if the connection has ended.
async fn read_request(stream: &mut DuplexStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let id = head.lines().find_map(|l| l.strip_prefix("request-id: "));
    id.map(str::to_owned)
}

/// A direction on a connection, seen from the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Up,
    Down,
}

/// Whether bytes pass on an open connection.
fn passes(path: Path, direction: Direction) -> bool {
    match path {
        Path::Whole | Path::OldOnly => true,
        Path::Silent | Path::Reset => false,
        Path::OneWay => direction == Direction::Up,
    }
}

/// Waits until bytes pass again.
async fn until_passing(
    path: &impl Fn() -> Path,
    direction: Direction,
    changes: &mut watch::Receiver<u64>,
) {
    while !passes(path(), direction) {
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Carries bytes between a daemon and an upstream until one of them closes the connection or it is
/// reset.
async fn carry(
    near: DuplexStream,
    far: DuplexStream,
    path: impl Fn() -> Path,
    mut changes: watch::Receiver<u64>,
) {
    let (near_in, near_out) = split(near);
    let (far_in, far_out) = split(far);
    let (up_changes, down_changes) = (changes.clone(), changes.clone());
    let reset = async {
        while path() != Path::Reset {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = carry_up(near_in, far_out, &path, up_changes) => {}
        () = carry_down(far_in, near_out, &path, down_changes) => {}
        () = reset => {}
    }
}

async fn carry_up(
    mut near: ReadHalf<DuplexStream>,
    mut far: WriteHalf<DuplexStream>,
    path: &impl Fn() -> Path,
    mut changes: watch::Receiver<u64>,
) {
    let mut bytes = vec![0; BUFFER_BYTES];
    loop {
        let count = near.read(&mut bytes).await.unwrap_or(0);
        if count == 0 {
            until_passing(path, Direction::Up, &mut changes).await;
            return;
        }
        let arrives = passes(path(), Direction::Up);
        if arrives {
            sleep(HOP).await;
            if far.write_all(&bytes[..count]).await.is_err() {
                return;
            }
        }
        let acked = async {
            until_passing(path, Direction::Up, &mut changes).await;
            until_passing(path, Direction::Down, &mut changes).await;
        };
        if timeout(UNACKED, acked).await.is_err() {
            return;
        }
        if !arrives && far.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}

async fn carry_down(
    mut far: ReadHalf<DuplexStream>,
    mut near: WriteHalf<DuplexStream>,
    path: &impl Fn() -> Path,
    mut changes: watch::Receiver<u64>,
) {
    let mut bytes = vec![0; BUFFER_BYTES];
    loop {
        let count = far.read(&mut bytes).await.unwrap_or(0);
        until_passing(path, Direction::Down, &mut changes).await;
        sleep(HOP).await;
        if count == 0 || near.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}

/// A daemon's end of a connection to an upstream.
struct SimulatedConnection(DuplexStream);

impl AsyncRead for SimulatedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(context, buffer)
    }
}

impl AsyncWrite for SimulatedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}

impl Connection for SimulatedConnection {
    fn set_options(&self, _: Duration) {}

    fn reset_on_close(&self) -> io::Result<()> {
        Ok(())
    }
}

/// A connection through another daemon, which counts as one of its tunnels.
pub struct TunnelledConnection {
    stream: BoxedConnection,
    _guard: TunnelGuard,
}

impl TunnelledConnection {
    pub(crate) fn new(stream: BoxedConnection, guard: TunnelGuard) -> Self {
        Self {
            stream,
            _guard: guard,
        }
    }
}

impl AsyncRead for TunnelledConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for TunnelledConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Connection for TunnelledConnection {
    fn set_options(&self, unacked_timeout: Duration) {
        self.stream.set_options(unacked_timeout);
    }

    fn reset_on_close(&self) -> io::Result<()> {
        self.stream.reset_on_close()
    }
}

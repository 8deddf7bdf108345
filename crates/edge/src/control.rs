//! The state that all connections of a listener share, and the phases of its shutdown.

use crate::Clock;
use shaleline_types::Millis;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// One of this many connections is kept under overload: a part that an instance with several times
/// the work that it can do still serves.
const KEPT_INTERVAL: u64 = 4;

/// The phase of a listener's shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Connections are kept alive.
    Open,
    /// Each response closes its connection.
    Closing,
    /// Idle connections are closed and no new ones are accepted.
    Closed,
}

/// Controls a running listener: its limits and its shutdown.
#[derive(Debug, Clone)]
pub struct ListenerControl(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    clock: Clock,
    phase: watch::Sender<Phase>,
    idle_timeout: Cell<Duration>,
    max_head: Cell<usize>,
    connections: Cell<usize>,
    busy: Cell<usize>,
    overloaded: Cell<bool>,
    /// The number of connections that arrived while overloaded.
    arrived: Cell<u64>,
}

impl ListenerControl {
    /// Creates the control of an open listener. Connections may be idle for `idle_timeout`, and
    /// request heads may have `max_head` bytes.
    #[must_use]
    pub fn new(idle_timeout: Duration, max_head: usize) -> Self {
        Self::with_clock(idle_timeout, max_head, Clock::default())
    }

    /// Like [`Self::new`], with a given clock for idle times.
    #[must_use]
    pub fn with_clock(idle_timeout: Duration, max_head: usize, clock: Clock) -> Self {
        let (phase, _) = watch::channel(Phase::Open);
        Self(Rc::new(Inner {
            clock,
            phase,
            idle_timeout: Cell::new(idle_timeout),
            max_head: Cell::new(max_head),
            connections: Cell::new(0),
            busy: Cell::new(0),
            overloaded: Cell::new(false),
            arrived: Cell::new(0),
        }))
    }

    /// Sets how long a connection may be idle and how large a request head may be.
    pub fn set_limits(&self, idle_timeout: Duration, max_head: usize) {
        self.0.idle_timeout.set(idle_timeout);
        self.0.max_head.set(max_head);
    }

    /// Sets whether this process has too little processor time. Most new connections are then closed
    /// before anything is read from them, so that their callers turn to other instances at once.
    pub fn set_overloaded(&self, overloaded: bool) {
        self.0.overloaded.set(overloaded);
    }

    /// Returns whether a new connection is to be closed unread. Some are kept under overload: an
    /// instance that is ready must not turn all callers away.
    pub(crate) fn sheds_connection(&self) -> bool {
        if !self.0.overloaded.get() {
            return false;
        }
        let arrived = self.0.arrived.get();
        self.0.arrived.set(arrived.wrapping_add(1));
        arrived % KEPT_INTERVAL != 0
    }

    /// Makes every later response close its connection.
    pub fn begin_closing(&self) {
        self.0.phase.send_replace(Phase::Closing);
    }

    /// Closes idle connections and accepts no new ones.
    pub fn close(&self) {
        self.0.phase.send_replace(Phase::Closed);
    }

    /// Returns whether the listener accepts no connections any more.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        *self.0.phase.borrow() == Phase::Closed
    }

    /// Waits until the listener accepts no connections any more.
    pub async fn closed(&self) {
        // The sender lives as long as the control.
        self.subscribe()
            .wait_for(|p| *p == Phase::Closed)
            .await
            .ok();
    }

    /// Returns whether responses close their connection.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        *self.0.phase.borrow() != Phase::Open
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.0.busy.get()
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.0.connections.get()
    }

    pub(crate) fn now(&self) -> Millis {
        self.0.clock.now()
    }

    pub(crate) fn idle_timeout(&self) -> Duration {
        self.0.idle_timeout.get()
    }

    pub(crate) fn max_head(&self) -> usize {
        self.0.max_head.get()
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<Phase> {
        self.0.phase.subscribe()
    }

    pub(crate) fn track_request(&self) -> RequestGuard {
        self.0.busy.set(self.0.busy.get() + 1);
        RequestGuard(self.clone())
    }

    pub(crate) fn track_connection(&self) -> ConnectionGuard {
        self.0.connections.set(self.0.connections.get() + 1);
        ConnectionGuard(self.clone())
    }
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard(ListenerControl);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let inner = &self.0 .0;
        inner.busy.set(inner.busy.get() - 1);
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionGuard(ListenerControl);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0 .0.connections.set(self.0 .0.connections.get() - 1);
    }
}

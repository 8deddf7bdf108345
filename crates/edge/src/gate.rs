//! The state that all connections of a listener share, and the steps of its stop.

use crate::Clock;
use shaleline_types::Millis;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// How far a stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Connections are kept.
    Open,
    /// Each answer says that its connection closes.
    Closing,
    /// Idle connections are closed and no new one is taken.
    Closed,
}

/// What may change while a listener runs.
#[derive(Debug, Clone)]
pub struct ListenerControl(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    clock: Clock,
    phase: watch::Sender<Phase>,
    idle: Cell<Duration>,
    head: Cell<usize>,
    open: Cell<usize>,
    busy: Cell<usize>,
}

impl ListenerControl {
    /// An open gate: connections may be idle for `idle`, heads may have `head` bytes.
    #[must_use]
    pub fn new(idle: Duration, head: usize) -> Self {
        Self::with_clock(idle, head, Clock::default())
    }

    /// The same, where connections are idle by this clock.
    #[must_use]
    pub fn with_clock(idle: Duration, head: usize, clock: Clock) -> Self {
        let (phase, _) = watch::channel(Phase::Open);
        Self(Rc::new(Inner {
            clock,
            phase,
            idle: Cell::new(idle),
            head: Cell::new(head),
            open: Cell::new(0),
            busy: Cell::new(0),
        }))
    }

    /// Sets how long a connection may be idle and how large a head may be.
    pub fn set_limits(&self, idle: Duration, head: usize) {
        self.0.idle.set(idle);
        self.0.head.set(head);
    }

    /// From now on each answer says that its connection closes.
    pub fn begin_closing(&self) {
        self.0.phase.send_replace(Phase::Closing);
    }

    /// Closes idle connections and takes no new ones.
    pub fn close(&self) {
        self.0.phase.send_replace(Phase::Closed);
    }

    /// Whether answers close their connection.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        *self.0.phase.borrow() != Phase::Open
    }

    /// How many requests are being answered.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.0.busy.get()
    }

    /// How many connections are open.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.0.open.get()
    }

    pub(crate) fn now(&self) -> Millis {
        self.0.clock.now()
    }

    pub(crate) fn idle(&self) -> Duration {
        self.0.idle.get()
    }

    pub(crate) fn head(&self) -> usize {
        self.0.head.get()
    }

    pub(crate) fn watch(&self) -> watch::Receiver<Phase> {
        self.0.phase.subscribe()
    }

    pub(crate) fn enter(&self) -> Busy {
        self.0.busy.set(self.0.busy.get() + 1);
        Busy(self.clone())
    }

    pub(crate) fn open(&self) -> Open {
        self.0.open.set(self.0.open.get() + 1);
        Open(self.clone())
    }
}

/// Counts a request while it lives.
#[derive(Debug)]
pub(crate) struct Busy(ListenerControl);

impl Drop for Busy {
    fn drop(&mut self) {
        let inner = &self.0 .0;
        inner.busy.set(inner.busy.get() - 1);
    }
}

/// Counts a connection while it lives.
#[derive(Debug)]
pub(crate) struct Open(ListenerControl);

impl Drop for Open {
    fn drop(&mut self) {
        self.0 .0.open.set(self.0 .0.open.get() - 1);
    }
}

//! A replica of a log stream that the daemon's threads share.

use crate::guarded::guarded;
use shaleline_log::{
    AppendBudget, AppendOutcome, Committed, Halt, Priority, ReadBatch, Replica, Snapshot, State,
    StateMachine, Ticket,
};
use shaleline_types::{Millis, Offset, Stream, WriterId};
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::{oneshot, watch, Notify};

/// A submitted record that awaits its verdict.
pub(crate) struct Pending<V> {
    pub(crate) ticket: Ticket,
    pub(crate) done: oneshot::Receiver<Committed<V>>,
}

struct Inner<M: StateMachine> {
    replica: Replica<M>,
    waiters: HashMap<Ticket, oneshot::Sender<Committed<M::Verdict>>>,
    caught_up: bool,
}

/// The append budget of this daemon, shared by all its streams.
pub(crate) type SharedBudget = Arc<Mutex<AppendBudget>>;

/// A stream's replica with the tasks that wait for its verdicts and changes.
pub(crate) struct Journal<M: StateMachine> {
    stream: Stream,
    snapshots: Stream,
    /// Whether the stream is also followed while no task waits for it.
    always: bool,
    budget: SharedBudget,
    inner: Mutex<Inner<M>>,
    wake: Notify,
    changed: watch::Sender<Offset>,
    watchers: AtomicUsize,
}

impl<M: StateMachine> Journal<M> {
    pub(crate) fn new(name: &str, writer: WriterId, budget: &SharedBudget, always: bool) -> Self {
        let stream = |text: &str| Stream::from_text(text).expect("stream names are valid");
        Self {
            stream: stream(name),
            snapshots: stream(&format!("{name}.snap")),
            always,
            budget: Arc::clone(budget),
            inner: Mutex::new(Inner {
                replica: Replica::new(writer),
                waiters: HashMap::new(),
                caught_up: false,
            }),
            wake: Notify::new(),
            changed: watch::Sender::new(Offset(0)),
            watchers: AtomicUsize::new(0),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner<M>> {
        self.inner.lock().expect("no holder panics")
    }

    pub(crate) fn stream(&self) -> &Stream {
        &self.stream
    }

    pub(crate) fn snapshot_stream(&self) -> &Stream {
        &self.snapshots
    }

    /// Calls a function with the state machine.
    pub(crate) fn with<R>(&self, read: impl FnOnce(&M) -> R) -> R {
        read(self.inner().replica.machine())
    }

    /// Calls a function with the whole replayed state.
    pub(crate) fn with_state<R>(&self, read: impl FnOnce(&State<M>) -> R) -> R {
        read(self.inner().replica.state())
    }

    pub(crate) fn next(&self) -> Offset {
        self.inner().replica.next()
    }

    pub(crate) fn halt(&self) -> Option<Halt> {
        self.inner().replica.halt()
    }

    pub(crate) fn pending(&self) -> usize {
        self.inner().replica.pending()
    }

    /// Returns whether the replica has reached the end of the log once, or restored a peer's state.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.inner().caught_up
    }

    /// Returns whether the stream must be read now.
    pub(crate) fn is_needed(&self) -> bool {
        self.always || self.watchers.load(Ordering::Relaxed) > 0 || self.pending() > 0
    }

    pub(crate) fn submit(&self, priority: Priority, body: M::Body) -> Pending<M::Verdict> {
        let (sender, done) = oneshot::channel();
        let ticket = {
            let mut inner = self.inner();
            let ticket = inner.replica.submit(priority, body);
            inner.waiters.insert(ticket, sender);
            ticket
        };
        self.wake.notify_waiters();
        Pending { ticket, done }
    }

    /// Withdraws a record that has not been sent yet. Returns whether it was withdrawn.
    pub(crate) fn withdraw(&self, priority: Priority, ticket: Ticket) -> bool {
        let mut inner = self.inner();
        inner.waiters.remove(&ticket);
        inner.replica.withdraw(priority, ticket)
    }

    pub(crate) fn next_append(&self, now: Millis, wall: Millis) -> Option<Vec<String>> {
        let mut budget = self.budget.lock().expect("no holder panics");
        self.inner().replica.next_append(now, wall, &mut budget)
    }

    pub(crate) fn on_append(&self, now: Millis, result: AppendOutcome) {
        let mut inner = self.inner();
        if guarded("replay", || inner.replica.on_append(now, result)).is_none() {
            inner.replica.halt_broken();
        }
        self.deliver(inner);
    }

    pub(crate) fn on_read(&self, batch: &ReadBatch) -> Result<(), Halt> {
        let mut inner = self.inner();
        let result = guarded("replay", || inner.replica.on_read(batch));
        let result = result.unwrap_or_else(|| Err(inner.replica.halt_broken()));
        inner.caught_up |= result.is_ok() && inner.replica.next() >= batch.tail;
        self.deliver(inner);
        result
    }

    /// Delivers verdicts and notifies watchers of a changed state.
    fn deliver(&self, mut inner: MutexGuard<'_, Inner<M>>) {
        for done in inner.replica.take_committed() {
            if let Some(sender) = inner.waiters.remove(&done.ticket) {
                let _ = sender.send(done);
            }
        }
        let next = inner.replica.next();
        drop(inner);
        self.changed.send_if_modified(|last| {
            let advanced = *last != next;
            *last = next;
            advanced
        });
    }

    pub(crate) fn restore(&self, snapshot: &Snapshot, from_peer: bool) -> bool {
        let mut inner = self.inner();
        let restored = inner.replica.restore(snapshot);
        inner.caught_up |= restored && from_peer;
        self.deliver(inner);
        restored
    }

    pub(crate) fn snapshot_offset(&self) -> Offset {
        self.inner().replica.snapshot_offset()
    }

    pub(crate) fn record_snapshot(&self, covers: Offset) {
        self.inner().replica.record_snapshot(covers);
    }

    pub(crate) fn to_snapshot(&self) -> Snapshot {
        self.inner().replica.to_snapshot()
    }

    /// Waits until there is a record to append or a stream to read.
    pub(crate) async fn notified(&self) {
        self.wake.notified().await;
    }

    /// Follows the stream until the returned watch is dropped.
    pub(crate) fn watch(&self) -> Watch<'_, M> {
        self.watchers.fetch_add(1, Ordering::Relaxed);
        self.wake.notify_waiters();
        Watch {
            journal: self,
            changed: self.changed.subscribe(),
        }
    }
}

/// Keeps a stream followed and reports its changes.
pub(crate) struct Watch<'a, M: StateMachine> {
    journal: &'a Journal<M>,
    changed: watch::Receiver<Offset>,
}

impl<M: StateMachine> Watch<'_, M> {
    /// Waits for the next change.
    pub(crate) async fn changed(&mut self) {
        let _ = self.changed.changed().await;
    }
}

impl<M: StateMachine> Drop for Watch<'_, M> {
    fn drop(&mut self) {
        self.journal.watchers.fetch_sub(1, Ordering::Relaxed);
    }
}

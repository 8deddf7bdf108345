//! A simulated cluster: processes that share a log, with injected faults.

use crate::tally::Tally;
use rand::rngs::SmallRng;
use rand::Rng;
use shaleline_log::{
    pick_snapshot, AppendBudget, AppendOutcome, Committed, Halt, ReadBatch, Replica, StateMachine,
    StoredRecord,
};
use shaleline_standin::MemoryLog;
use shaleline_types::{Millis, Offset, Stream, WriterId};

/// Simulated duration of a step.
const STEP_MS: u64 = 10;

/// Append rate limit of the log and of each process, per second; high enough not to limit
/// the runs, which test ordering and not throughput.
const RATE: u64 = 100_000;

/// Which records of the log a run may trim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Retention {
    /// Only records that a snapshot covers are trimmed.
    Covered,
    /// Any record may be trimmed.
    Arbitrary,
}

/// A simulated process.
pub(crate) struct Node<M: StateMachine> {
    pub(crate) replica: Replica<M>,
    pub(crate) writer: WriterId,
    budget: AppendBudget,
    paused_until: u64,
    answer: Option<(u64, AppendOutcome)>,
    appending: bool,
    highest_next: Offset,
}

impl<M: StateMachine> Node<M> {
    fn new(writer: WriterId) -> Self {
        Self {
            replica: Replica::new(writer),
            writer,
            budget: AppendBudget::new(RATE, Millis(0)),
            paused_until: 0,
            answer: None,
            appending: false,
            highest_next: Offset(0),
        }
    }
}

/// An event that a step caused.
pub(crate) enum Event<V> {
    /// A record that the process submitted was committed.
    Done { node: usize, done: Committed<V> },
    /// A process was replaced by a new one.
    Replaced { node: usize },
    /// A process has applied fewer records than before.
    Reverted { node: usize },
}

/// An append that takes effect later and whose answer is lost.
struct DelayedAppend {
    due: u64,
    records: Vec<String>,
}

/// The processes and the log that they share.
pub(crate) struct Cluster<M: StateMachine> {
    pub(crate) nodes: Vec<Node<M>>,
    pub(crate) step: u64,
    log: MemoryLog,
    stream: Stream,
    snapshots: Stream,
    history: Vec<String>,
    delayed: Vec<DelayedAppend>,
    outage_until: u64,
    covered: Offset,
    retention: Retention,
    next_writer: u64,
    healed: bool,
}

impl<M: StateMachine> Cluster<M> {
    pub(crate) fn new(count: usize, retention: Retention) -> Self {
        let stream = |t: &str| Stream::from_text(t).expect("the name is valid");
        Self {
            nodes: (0..count)
                .map(|i| Node::new(WriterId(i as u64 + 1)))
                .collect(),
            step: 0,
            log: MemoryLog::new(RATE),
            stream: stream("main"),
            snapshots: stream("main.snap"),
            history: Vec::new(),
            delayed: Vec::new(),
            outage_until: 0,
            covered: Offset(0),
            retention,
            next_writer: count as u64 + 1,
            healed: false,
        }
    }

    pub(crate) fn now(&self) -> Millis {
        Millis(self.step * STEP_MS)
    }

    /// Whether the process runs and is not paused.
    pub(crate) fn is_up(&self, node: usize) -> bool {
        self.nodes[node].paused_until <= self.step
    }

    fn append(&mut self, records: &[String]) -> AppendOutcome {
        let now = self.now();
        match self.log.append(&self.stream, records, now) {
            Ok(first) => {
                self.history.extend(records.iter().cloned());
                AppendOutcome::At(first)
            }
            Err(_) => AppendOutcome::Refused,
        }
    }

    /// Runs one step: one random action or fault at one process or at the log.
    pub(crate) fn step(&mut self, rng: &mut SmallRng, tally: &mut Tally) -> Vec<Event<M::Verdict>> {
        self.step += 1;
        self.apply_delayed();
        let mut events = Vec::new();
        let node = rng.random_range(0..self.nodes.len());
        match rng.random_range(0..1_000) {
            _ if !self.is_up(node) => {}
            0..400 => self.try_append(node, rng, tally),
            400..900 => self.read(node, rng, &mut events),
            900..940 => self.write_snapshot(node, rng),
            940..960 if !self.healed => self.trim(rng, tally),
            960..968 if !self.healed => {
                tally.count_fault();
                self.replace(node);
                events.push(Event::Replaced { node });
            }
            968..985 if !self.healed => {
                tally.count_fault();
                self.nodes[node].paused_until = self.step + rng.random_range(10..200);
            }
            985..992 if !self.healed => {
                tally.count_fault();
                self.outage_until = self.step + rng.random_range(10..150);
            }
            _ => {}
        }
        self.deliver_answer(node);
        self.collect(node, &mut events);
        events
    }

    fn apply_delayed(&mut self) {
        let step = self.step;
        let (due, later): (Vec<DelayedAppend>, Vec<DelayedAppend>) =
            self.delayed.drain(..).partition(|l| l.due <= step);
        self.delayed = later;
        for delayed in due {
            self.append(&delayed.records);
        }
    }

    /// Makes the process's next append and picks its effect and its answer at random.
    fn try_append(&mut self, node: usize, rng: &mut SmallRng, tally: &mut Tally) {
        if self.nodes[node].appending {
            return;
        }
        let now = self.now();
        let n = &mut self.nodes[node];
        let Some(batch) = n.replica.next_append(now, now, &mut n.budget) else {
            return;
        };
        n.appending = true;
        let unavailable = self.outage_until > self.step;
        let choice = if self.healed {
            0
        } else {
            rng.random_range(0..100)
        };
        let answer = match choice {
            _ if unavailable => AppendOutcome::Lost,
            0..60 => self.append(&batch),
            60..72 => {
                self.append(&batch);
                AppendOutcome::Lost
            }
            72..80 => AppendOutcome::Lost,
            80..94 => {
                self.delayed.push(DelayedAppend {
                    due: self.step + rng.random_range(1..300),
                    records: batch,
                });
                AppendOutcome::Lost
            }
            _ => AppendOutcome::Refused,
        };
        if !matches!(answer, AppendOutcome::At(_)) {
            tally.count_fault();
        }
        let delay = rng.random_range(0..8);
        self.nodes[node].answer = Some((self.step + delay, answer));
    }

    fn deliver_answer(&mut self, node: usize) {
        let now = self.now();
        let step = self.step;
        let n = &mut self.nodes[node];
        if let Some((due, answer)) = n.answer {
            if due <= step && n.paused_until <= step {
                n.answer = None;
                n.appending = false;
                n.replica.on_append(now, answer);
            }
        }
    }

    /// Reads a random number of the available records.
    fn read(&mut self, node: usize, rng: &mut SmallRng, events: &mut Vec<Event<M::Verdict>>) {
        if self.outage_until > self.step {
            return;
        }
        let from = self.nodes[node].replica.next();
        let mut batch = self.log.read(&self.stream, from);
        let limit = if self.healed {
            usize::MAX
        } else {
            rng.random_range(1..40)
        };
        batch.records.truncate(limit);
        let result = self.nodes[node].replica.on_read(&batch);
        if let Err(Halt::Gap(_)) = result {
            self.restore(node);
        }
        let n = &mut self.nodes[node];
        let next = n.replica.next();
        if next < n.highest_next {
            events.push(Event::Reverted { node });
        }
        n.highest_next = next;
    }

    /// Restores the process from the best snapshot in the log.
    fn restore(&mut self, node: usize) {
        let batch: ReadBatch = self.log.read(&self.snapshots, Offset(0));
        let records: Vec<StoredRecord> = batch.records;
        if let Some(snapshot) = pick_snapshot(&records) {
            self.nodes[node].replica.restore(&snapshot);
        }
    }

    /// Writes a snapshot, sometimes only part of it. A lagging process may write one after
    /// a more recent snapshot of another process.
    fn write_snapshot(&mut self, node: usize, rng: &mut SmallRng) {
        let n = &self.nodes[node];
        if self.outage_until > self.step
            || n.replica.halt().is_some()
            || n.replica.next() == Offset(0)
        {
            return;
        }
        let snapshot = n.replica.to_snapshot();
        let chunks = snapshot.to_chunks();
        let whole = self.healed || rng.random_range(0..5) > 0;
        let written = if whole {
            chunks.len()
        } else {
            chunks.len() - 1
        };
        let now = self.now();
        if self
            .log
            .append(&self.snapshots, &chunks[..written], now)
            .is_ok()
            && whole
        {
            self.covered = self.covered.max(snapshot.covers());
        }
        // The restore picks among all the snapshots written so far.
        if !self.healed && rng.random_range(0..4) == 0 {
            self.restore(node);
        }
    }

    fn trim(&mut self, rng: &mut SmallRng, tally: &mut Tally) {
        tally.count_fault();
        let tail = self.log.tail(&self.stream);
        let before = match self.retention {
            Retention::Covered => self.covered,
            Retention::Arbitrary => Offset(rng.random_range(0..=tail.0)),
        };
        self.log.trim(&self.stream, before);
    }

    /// Replaces the process by a new one, which starts from a snapshot and the log.
    fn replace(&mut self, node: usize) {
        let writer = WriterId(self.next_writer);
        self.next_writer += 1;
        self.nodes[node] = Node::new(writer);
        self.restore(node);
    }

    fn collect(&mut self, node: usize, events: &mut Vec<Event<M::Verdict>>) {
        for done in self.nodes[node].replica.take_committed() {
            events.push(Event::Done { node, done });
        }
    }

    /// Ends all faults and stops injecting new ones.
    pub(crate) fn heal(&mut self) {
        self.healed = true;
        self.outage_until = 0;
        let step = self.step;
        for delayed in &mut self.delayed {
            delayed.due = step;
        }
        for node in &mut self.nodes {
            node.paused_until = 0;
        }
    }

    /// Whether every process that has not halted has applied the whole log and has no
    /// pending appends.
    pub(crate) fn is_quiescent(&self) -> bool {
        let tail = self.log.tail(&self.stream);
        let quiescent = |n: &Node<M>| n.replica.next() == tail && n.replica.pending() == 0;
        self.delayed.is_empty()
            && self
                .nodes
                .iter()
                .all(|n| n.replica.halt().is_some() || quiescent(n))
    }

    /// Returns a replica that has applied the complete history, including trimmed records.
    pub(crate) fn reference(&self) -> Replica<M> {
        let mut replica = Replica::new(WriterId(u64::MAX));
        let record = |(i, text): (usize, &String)| StoredRecord {
            offset: Offset(i as u64),
            text: text.clone(),
        };
        let batch = ReadBatch {
            oldest: Offset(0),
            tail: Offset(self.history.len() as u64),
            records: self.history.iter().enumerate().map(record).collect(),
        };
        let _ = replica.on_read(&batch);
        replica
    }

    /// Returns the processes that have not halted and whose state differs from the reference.
    pub(crate) fn diverged(&self) -> Vec<usize> {
        let reference = self.reference();
        let expected = reference.to_snapshot();
        let differs = |i: &usize| {
            let n = &self.nodes[*i];
            n.replica.halt().is_none() && n.replica.to_snapshot() != expected
        };
        (0..self.nodes.len()).filter(differs).collect()
    }
}

//! Processes that share a log, and what may happen to them and to it.

use crate::tally::Tally;
use rand::rngs::SmallRng;
use rand::Rng;
use shaleline_log::{
    pick_snapshot, AppendBudget, AppendOutcome, Committed, Halt, ReadBatch, Replica, StateMachine,
    StoredRecord,
};
use shaleline_standin::MemoryLog;
use shaleline_types::{Millis, Offset, Stream, WriterId};

/// Milliseconds that pass in a step.
const STEP_MS: u64 = 10;

/// Appends a second that the log accepts and each process may make; high, because the
/// runs are about order and not about speed.
const RATE: u64 = 100_000;

/// How rude a run is to the log's records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Retention {
    /// Records go only once a snapshot covers them.
    Covered,
    /// Records go when they go.
    Rude,
}

/// One process.
pub(crate) struct Node<M: StateMachine> {
    pub(crate) replica: Replica<M>,
    pub(crate) writer: WriterId,
    budget: AppendBudget,
    paused: u64,
    answer: Option<(u64, AppendOutcome)>,
    calling: bool,
    furthest: Offset,
}

impl<M: StateMachine> Node<M> {
    fn new(writer: WriterId) -> Self {
        Self {
            replica: Replica::new(writer),
            writer,
            budget: AppendBudget::new(RATE, Millis(0)),
            paused: 0,
            answer: None,
            calling: false,
            furthest: Offset(0),
        }
    }
}

/// What a step brought about.
pub(crate) enum Event<V> {
    /// A process's own record was judged.
    Done { node: usize, done: Committed<V> },
    /// A process was replaced by a new one.
    Replaced { node: usize },
    /// A process applied less than it had before.
    Reverted { node: usize },
}

/// An append that takes effect later, without an answer.
struct Late {
    due: u64,
    records: Vec<String>,
}

/// Processes and their log.
pub(crate) struct World<M: StateMachine> {
    pub(crate) nodes: Vec<Node<M>>,
    pub(crate) step: u64,
    log: MemoryLog,
    stream: Stream,
    snaps: Stream,
    history: Vec<String>,
    late: Vec<Late>,
    outage: u64,
    covered: Offset,
    retention: Retention,
    next_writer: u64,
    healed: bool,
}

impl<M: StateMachine> World<M> {
    pub(crate) fn new(count: usize, retention: Retention) -> Self {
        let stream = |t: &str| Stream::from_text(t).expect("the name is valid");
        Self {
            nodes: (0..count)
                .map(|i| Node::new(WriterId(i as u64 + 1)))
                .collect(),
            step: 0,
            log: MemoryLog::new(RATE),
            stream: stream("main"),
            snaps: stream("main.snap"),
            history: Vec::new(),
            late: Vec::new(),
            outage: 0,
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
        self.nodes[node].paused <= self.step
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

    /// One step: something happens to one process or to the log.
    pub(crate) fn step(&mut self, rng: &mut SmallRng, tally: &mut Tally) -> Vec<Event<M::Verdict>> {
        self.step += 1;
        self.land_late();
        let mut events = Vec::new();
        let node = rng.random_range(0..self.nodes.len());
        match rng.random_range(0..1_000) {
            _ if !self.is_up(node) => {}
            0..400 => self.try_append(node, rng, tally),
            400..900 => self.read(node, rng, &mut events),
            900..940 => self.write_snapshot(node, rng),
            940..960 if !self.healed => self.trim(rng, tally),
            960..968 if !self.healed => {
                tally.fault();
                self.replace(node);
                events.push(Event::Replaced { node });
            }
            968..985 if !self.healed => {
                tally.fault();
                self.nodes[node].paused = self.step + rng.random_range(10..200);
            }
            985..992 if !self.healed => {
                tally.fault();
                self.outage = self.step + rng.random_range(10..150);
            }
            _ => {}
        }
        self.take_answer(node);
        self.collect(node, &mut events);
        events
    }

    fn land_late(&mut self) {
        let step = self.step;
        let (due, rest): (Vec<Late>, Vec<Late>) = self.late.drain(..).partition(|l| l.due <= step);
        self.late = rest;
        for late in due {
            self.append(&late.records);
        }
    }

    /// Makes the process's next append, and decides what becomes of it and of its answer.
    fn try_append(&mut self, node: usize, rng: &mut SmallRng, tally: &mut Tally) {
        if self.nodes[node].calling {
            return;
        }
        let now = self.now();
        let n = &mut self.nodes[node];
        let Some(batch) = n.replica.next_append(now, now, &mut n.budget) else {
            return;
        };
        n.calling = true;
        let out = self.outage > self.step;
        let dice = if self.healed {
            0
        } else {
            rng.random_range(0..100)
        };
        let answer = match dice {
            _ if out => AppendOutcome::Lost,
            0..60 => self.append(&batch),
            60..72 => {
                self.append(&batch);
                AppendOutcome::Lost
            }
            72..80 => AppendOutcome::Lost,
            80..94 => {
                self.late.push(Late {
                    due: self.step + rng.random_range(1..300),
                    records: batch,
                });
                AppendOutcome::Lost
            }
            _ => AppendOutcome::Refused,
        };
        if !matches!(answer, AppendOutcome::At(_)) {
            tally.fault();
        }
        let delay = rng.random_range(0..8);
        self.nodes[node].answer = Some((self.step + delay, answer));
    }

    fn take_answer(&mut self, node: usize) {
        let now = self.now();
        let step = self.step;
        let n = &mut self.nodes[node];
        if let Some((due, answer)) = n.answer {
            if due <= step && n.paused <= step {
                n.answer = None;
                n.calling = false;
                n.replica.on_append(now, answer);
            }
        }
    }

    /// Reads some of what is there, not always all.
    fn read(&mut self, node: usize, rng: &mut SmallRng, events: &mut Vec<Event<M::Verdict>>) {
        if self.outage > self.step {
            return;
        }
        let from = self.nodes[node].replica.next();
        let mut batch = self.log.read(&self.stream, from);
        let most = if self.healed {
            usize::MAX
        } else {
            rng.random_range(1..40)
        };
        batch.records.truncate(most);
        let result = self.nodes[node].replica.on_read(&batch);
        if let Err(Halt::Gap(_)) = result {
            self.restore(node);
        }
        let n = &mut self.nodes[node];
        let next = n.replica.next();
        if next < n.furthest {
            events.push(Event::Reverted { node });
        }
        n.furthest = next;
    }

    /// Takes the best snapshot that the log has.
    fn restore(&mut self, node: usize) {
        let batch: ReadBatch = self.log.read(&self.snaps, Offset(0));
        let records: Vec<StoredRecord> = batch.records;
        if let Some(snapshot) = pick_snapshot(&records) {
            self.nodes[node].replica.restore(&snapshot);
        }
    }

    /// Writes a snapshot, sometimes only part of it. It may be of a lagging process and
    /// land after a fresher one.
    fn write_snapshot(&mut self, node: usize, rng: &mut SmallRng) {
        let n = &self.nodes[node];
        if self.outage > self.step || n.replica.halt().is_some() || n.replica.next() == Offset(0) {
            return;
        }
        let snapshot = n.replica.to_snapshot();
        let chunks = snapshot.to_chunks();
        let whole = self.healed || rng.random_range(0..5) > 0;
        let part = if whole {
            chunks.len()
        } else {
            chunks.len() - 1
        };
        let now = self.now();
        if self.log.append(&self.snaps, &chunks[..part], now).is_ok() && whole {
            self.covered = self.covered.max(snapshot.covers());
        }
        // A reader that starts now picks among all that were written.
        if !self.healed && rng.random_range(0..4) == 0 {
            self.restore(node);
        }
    }

    fn trim(&mut self, rng: &mut SmallRng, tally: &mut Tally) {
        tally.fault();
        let tail = self.log.tail(&self.stream);
        let before = match self.retention {
            Retention::Covered => self.covered,
            Retention::Rude => Offset(rng.random_range(0..=tail.0)),
        };
        self.log.trim(&self.stream, before);
    }

    /// The process is gone at once; a new one starts from a snapshot and the log.
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

    /// Ends all faults.
    pub(crate) fn heal(&mut self) {
        self.healed = true;
        self.outage = 0;
        let step = self.step;
        for late in &mut self.late {
            late.due = step;
        }
        for node in &mut self.nodes {
            node.paused = 0;
        }
    }

    /// Whether every process has applied all and has nothing on its way.
    pub(crate) fn is_quiet(&self) -> bool {
        let tail = self.log.tail(&self.stream);
        let quiet = |n: &Node<M>| n.replica.next() == tail && n.replica.pending() == 0;
        self.late.is_empty()
            && self
                .nodes
                .iter()
                .all(|n| n.replica.halt().is_some() || quiet(n))
    }

    /// A replica that read the whole history, of which nothing was ever dropped.
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

    /// The processes that have applied all and whose state differs from the reference's.
    pub(crate) fn diverged(&self) -> Vec<usize> {
        let reference = self.reference();
        let want = reference.to_snapshot();
        let differs = |i: &usize| {
            let n = &self.nodes[*i];
            n.replica.halt().is_none() && n.replica.to_snapshot() != want
        };
        (0..self.nodes.len()).filter(differs).collect()
    }
}

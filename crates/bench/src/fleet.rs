//! Small fakes of engines under a passed-in clock, for the experiments.

use shaleline_place::{Item, Order};
use shaleline_standin::{EngineSpec, EngineState, Pace};
use shaleline_types::{DataCentre, Megabytes, Offset, RequestId, Upstream};
use std::collections::VecDeque;

/// Sequences that an engine runs at once.
pub const SLOTS: usize = 16;

/// Milliseconds of a step with one sequence, and what each further one adds.
const STEP: f64 = 20.0;
const MORE: f64 = 0.6;

/// Milliseconds to read a block that is not cached.
const BLOCK: f64 = 8.0;

/// Milliseconds to load a gigabyte.
const GIGABYTE: f64 = 400.0;

/// Tokens a second of a full engine.
pub fn capacity() -> f64 {
    SLOTS as f64 * 1_000.0 / (STEP + MORE * (SLOTS as f64 - 1.0))
}

/// A sequence at an engine.
#[derive(Debug, Clone)]
pub struct Sequence {
    /// The daemon that sent it.
    pub daemon: usize,
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: u32,
    /// What it runs on.
    pub item: Item,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Keys of the prompt's blocks.
    pub blocks: Vec<u64>,
    /// Tokens still to come.
    pub left: u32,
    prompt: f64,
    progress: f64,
    started: bool,
    answered: bool,
}

impl Sequence {
    /// A sequence that has not started, with so many tokens to come.
    pub fn new(to: Sent, item: Item, priority: u8, blocks: Vec<u64>, left: u32) -> Self {
        Self {
            daemon: to.daemon,
            id: to.id,
            attempt: to.attempt,
            item,
            priority,
            blocks,
            left,
            prompt: 0.0,
            progress: 0.0,
            started: false,
            answered: false,
        }
    }
}

/// Which send of which daemon.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    /// The daemon.
    pub daemon: usize,
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: u32,
}

/// What an engine tells of a sequence.
#[derive(Debug, Clone, Copy)]
pub enum Told {
    /// So many tokens, and whether they include the first.
    Tokens(u32, bool),
    /// The answer is whole.
    Whole,
    /// It was refused: the item is not loaded.
    Refused,
    /// It broke off.
    Broken,
}

/// What is told to whom.
#[derive(Debug, Clone, Copy)]
pub struct Message {
    /// The daemon.
    pub daemon: usize,
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: u32,
    /// What.
    pub told: Told,
}

struct Loading {
    due: u64,
    life: u64,
    number: Offset,
    item: Item,
}

/// One engine.
pub struct Engine {
    /// Memory, orders and cache.
    pub state: EngineState,
    /// Whether it takes requests and answers none.
    pub hung: bool,
    /// Whether it is gone.
    pub dead: bool,
    /// Loads that were begun.
    pub loads: u64,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    loading: Vec<Loading>,
}

impl Engine {
    /// A fresh engine.
    pub fn new(index: usize, memory: Megabytes, seed: u64) -> Self {
        let spec = EngineSpec {
            name: Upstream::from_text(&format!("engine-{index:02}")).expect("the name is valid"),
            centre: DataCentre::from_text(&format!("dc{}", index % 3 + 1))
                .expect("the name is valid"),
            memory,
            checks: false,
            slots: SLOTS,
            blocks: 512,
            pace: Pace {
                block: BLOCK,
                step: STEP,
                more: MORE,
            },
        };
        Self {
            state: EngineState::new(spec, seed),
            hung: false,
            dead: false,
            loads: 0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            loading: Vec::new(),
        }
    }

    /// How many sequences run and wait.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Takes an order. `crowd` is how many loads run in the whole system.
    pub fn order(&mut self, order: &Order, now: u64, crowd: f64) {
        if let Some((item, size)) = self.state.take(order) {
            self.loads += 1;
            let takes = size.0 as f64 / 1_000.0 * GIGABYTE * crowd.max(1.0);
            self.loading.push(Loading {
                due: now + takes as u64,
                life: self.state.incarnation(),
                number: order.number,
                item,
            });
        }
    }

    /// How many loads run here.
    pub fn loading(&self) -> usize {
        self.loading.len()
    }

    /// Takes a sequence.
    pub fn take(&mut self, sequence: Sequence, out: &mut Vec<Message>) {
        if self.dead {
            return out.push(message(&sequence, Told::Broken));
        }
        if !self.state.serves(&sequence.item) {
            return out.push(message(&sequence, Told::Refused));
        }
        let place = self
            .waiting
            .iter()
            .position(|w| w.priority > sequence.priority);
        match place {
            Some(place) => self.waiting.insert(place, sequence),
            None => self.waiting.push_back(sequence),
        }
    }

    /// Gives an attempt up.
    pub fn cancel(&mut self, id: RequestId, attempt: u32) {
        let other = |s: &Sequence| s.id != id || s.attempt != attempt;
        self.waiting.retain(other);
        let state = &mut self.state;
        self.running.retain(|s| {
            let keep = other(s);
            if !keep {
                state.end(&s.item);
            }
            keep
        });
    }

    /// It is gone with all that it ran.
    pub fn die(&mut self, out: &mut Vec<Message>) {
        self.dead = true;
        let gone = self.running.drain(..).chain(self.waiting.drain(..));
        out.extend(gone.map(|s| message(&s, Told::Broken)));
        self.state.restart();
        self.loading.clear();
    }

    /// Time passes.
    pub fn step(&mut self, now: u64, millis: u64, out: &mut Vec<Message>) {
        if self.dead {
            return;
        }
        let state = &mut self.state;
        self.loading.retain(|l| {
            if l.due <= now {
                state.end_load(l.life, l.number, &l.item);
            }
            l.due > now
        });
        if self.hung {
            return;
        }
        while self.running.len() < SLOTS {
            let Some(mut next) = self.waiting.pop_front() else {
                break;
            };
            self.state.wait();
            next.prompt = self
                .state
                .start(&next.item, &next.blocks, next.blocks.len());
            next.started = true;
            self.running.push(next);
        }
        let step = STEP + MORE * (self.running.len() as f64 - 1.0);
        for sequence in &mut self.running {
            advance(sequence, millis as f64, step, out);
        }
        let state = &mut self.state;
        self.running.retain(|s| {
            if s.left == 0 {
                state.end(&s.item);
                out.push(message(s, Told::Whole));
            }
            s.left > 0
        });
    }
}

fn message(sequence: &Sequence, told: Told) -> Message {
    Message {
        daemon: sequence.daemon,
        id: sequence.id,
        attempt: sequence.attempt,
        told,
    }
}

fn advance(sequence: &mut Sequence, millis: f64, step: f64, out: &mut Vec<Message>) {
    if sequence.prompt > millis {
        sequence.prompt -= millis;
        return;
    }
    sequence.progress += (millis - sequence.prompt) / step;
    sequence.prompt = 0.0;
    let tokens = (sequence.progress as u32).min(sequence.left);
    if tokens == 0 {
        return;
    }
    sequence.progress -= f64::from(tokens);
    sequence.left -= tokens;
    let first = !sequence.answered;
    sequence.answered = true;
    out.push(message(sequence, Told::Tokens(tokens, first)));
}

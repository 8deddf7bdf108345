//! Simulated engines with an injected clock.

use shaleline_place::{Item, Order};
use shaleline_standin::{EngineSpec, EngineState, Pace};
use shaleline_types::{DataCentre, Megabytes, Offset, RequestId, Upstream};
use std::collections::VecDeque;

/// Maximum number of concurrent sequences of an engine.
pub const SLOTS: usize = 16;

/// Duration of a step with one sequence, and the increase per further sequence.
const STEP_MS: f64 = 20.0;
const STEP_MS_PER_SEQUENCE: f64 = 0.6;

/// Time to read a prompt block that is not cached.
const BLOCK_MS: f64 = 8.0;

/// Time to load a gigabyte of weights.
const LOAD_MS_PER_GB: f64 = 400.0;

/// Tokens per second of an engine with all slots in use.
pub fn capacity() -> f64 {
    SLOTS as f64 * 1_000.0 / (STEP_MS + STEP_MS_PER_SEQUENCE * (SLOTS as f64 - 1.0))
}

/// A sequence at an engine.
#[derive(Debug, Clone)]
pub struct Sequence {
    /// The daemon that sent the sequence.
    pub daemon: usize,
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: u32,
    /// The item that the sequence runs on.
    pub item: Item,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// Keys of the prompt's blocks.
    pub blocks: Vec<u64>,
    /// Number of tokens not yet generated.
    pub remaining: u32,
    prompt: f64,
    progress: f64,
    started: bool,
    answered: bool,
}

impl Sequence {
    /// Creates a sequence that has not started.
    pub fn new(
        key: AttemptKey,
        item: Item,
        priority: u8,
        blocks: Vec<u64>,
        remaining: u32,
    ) -> Self {
        Self {
            daemon: key.daemon,
            id: key.id,
            attempt: key.attempt,
            item,
            priority,
            blocks,
            remaining,
            prompt: 0.0,
            progress: 0.0,
            started: false,
            answered: false,
        }
    }
}

/// Identifies an attempt of a daemon.
#[derive(Debug, Clone, Copy)]
pub struct AttemptKey {
    /// The daemon.
    pub daemon: usize,
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: u32,
}

/// An event of a sequence at an engine.
#[derive(Debug, Clone, Copy)]
pub enum EngineEvent {
    /// The number of generated tokens, and whether they include the first one.
    Tokens(u32, bool),
    /// The answer is complete.
    Whole,
    /// The sequence was refused because the item is not loaded.
    Refused,
    /// The sequence was interrupted.
    Broken,
}

/// An event and the daemon that receives it.
#[derive(Debug, Clone, Copy)]
pub struct Message {
    /// The daemon.
    pub daemon: usize,
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: u32,
    /// The event.
    pub event: EngineEvent,
}

struct Loading {
    due: u64,
    incarnation: u64,
    number: Offset,
    item: Item,
}

/// A simulated engine.
pub struct Engine {
    /// State of the memory, orders and cache.
    pub state: EngineState,
    /// Whether the engine accepts requests and answers none.
    pub hung: bool,
    /// Whether the engine has crashed.
    pub dead: bool,
    /// Number of loads started.
    pub loads: u64,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    loading: Vec<Loading>,
}

impl Engine {
    /// Creates an engine that holds nothing.
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
                block: BLOCK_MS,
                step: STEP_MS,
                more: STEP_MS_PER_SEQUENCE,
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

    /// Returns the numbers of running and waiting sequences.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Accepts an order. `slowdown` is the factor by which the concurrent loads of the system
    /// slow a load; values below 1 count as 1.
    pub fn order(&mut self, order: &Order, now: u64, slowdown: f64) {
        if let Some((item, size)) = self.state.take(order) {
            self.loads += 1;
            let duration = size.0 as f64 / 1_000.0 * LOAD_MS_PER_GB * slowdown.max(1.0);
            self.loading.push(Loading {
                due: now + duration as u64,
                incarnation: self.state.incarnation(),
                number: order.number,
                item,
            });
        }
    }

    /// Returns the number of running loads.
    pub fn loading(&self) -> usize {
        self.loading.len()
    }

    /// Accepts or refuses a sequence.
    pub fn take(&mut self, sequence: Sequence, out: &mut Vec<Message>) {
        if self.dead {
            return out.push(message(&sequence, EngineEvent::Broken));
        }
        if !self.state.serves(&sequence.item) {
            return out.push(message(&sequence, EngineEvent::Refused));
        }
        let position = self
            .waiting
            .iter()
            .position(|w| w.priority > sequence.priority);
        match position {
            Some(position) => self.waiting.insert(position, sequence),
            None => self.waiting.push_back(sequence),
        }
    }

    /// Cancels an attempt.
    pub fn cancel(&mut self, id: RequestId, attempt: u32) {
        let is_other = |s: &Sequence| s.id != id || s.attempt != attempt;
        self.waiting.retain(is_other);
        let state = &mut self.state;
        self.running.retain(|s| {
            let keep = is_other(s);
            if !keep {
                state.end(&s.item);
            }
            keep
        });
    }

    /// Crashes the engine, which interrupts its sequences.
    pub fn crash(&mut self, out: &mut Vec<Message>) {
        self.dead = true;
        let interrupted = self.running.drain(..).chain(self.waiting.drain(..));
        out.extend(interrupted.map(|s| message(&s, EngineEvent::Broken)));
        self.state.restart();
        self.loading.clear();
    }

    /// Advances the engine by `millis` to `now`.
    pub fn step(&mut self, now: u64, millis: u64, out: &mut Vec<Message>) {
        if self.dead {
            return;
        }
        let state = &mut self.state;
        self.loading.retain(|l| {
            if l.due <= now {
                state.end_load(l.incarnation, l.number, &l.item);
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
        let step = STEP_MS + STEP_MS_PER_SEQUENCE * (self.running.len() as f64 - 1.0);
        for sequence in &mut self.running {
            advance(sequence, millis as f64, step, out);
        }
        let state = &mut self.state;
        self.running.retain(|s| {
            if s.remaining == 0 {
                state.end(&s.item);
                out.push(message(s, EngineEvent::Whole));
            }
            s.remaining > 0
        });
    }
}

fn message(sequence: &Sequence, event: EngineEvent) -> Message {
    Message {
        daemon: sequence.daemon,
        id: sequence.id,
        attempt: sequence.attempt,
        event,
    }
}

fn advance(sequence: &mut Sequence, millis: f64, step: f64, out: &mut Vec<Message>) {
    if sequence.prompt > millis {
        sequence.prompt -= millis;
        return;
    }
    sequence.progress += (millis - sequence.prompt) / step;
    sequence.prompt = 0.0;
    let tokens = (sequence.progress as u32).min(sequence.remaining);
    if tokens == 0 {
        return;
    }
    sequence.progress -= f64::from(tokens);
    sequence.remaining -= tokens;
    let first = !sequence.answered;
    sequence.answered = true;
    out.push(message(sequence, EngineEvent::Tokens(tokens, first)));
}

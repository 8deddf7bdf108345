//! What is believed of an engine's room when an order is sent, for the log.

use crate::{Catalog, Engine, Fleet};
use shaleline_types::{Megabytes, Millis, Upstream};
use std::fmt;

/// The memory and slots of an engine that count as taken, and how old that knowledge is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoomNote {
    memory: Megabytes,
    adapters: usize,
    unanswered: usize,
    seq: u64,
    age: Millis,
}

impl RoomNote {
    fn of(engine: &Engine, catalog: &Catalog, now: Millis) -> Self {
        let seq = engine.held().seq;
        Self {
            memory: engine.worst_memory(catalog),
            adapters: engine.worst_slots(),
            unanswered: engine.unanswered.open(seq).count(),
            seq,
            age: Millis(now.since(engine.last_report)),
        }
    }
}

impl fmt::Display for RoomNote {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "used_mb={} adapters={} unanswered={} seq={} age_ms={}",
            self.memory.0, self.adapters, self.unanswered, self.seq, self.age.0
        )
    }
}

impl Fleet {
    /// What is believed of the room of an engine, if it is known.
    #[must_use]
    pub fn room(&self, name: &Upstream, catalog: &Catalog, now: Millis) -> Option<RoomNote> {
        let engine = self.get(name)?;
        Some(RoomNote::of(engine, catalog, now))
    }
}

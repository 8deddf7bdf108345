//! What is believed of an engine's room when an order is sent, for the log.

use crate::{Catalog, Engine, Fleet, Held};
use shaleline_types::{Adapter, Megabytes, Millis, Model, Upstream};
use std::fmt;

/// The memory and slots of an engine that count as taken, and how old that knowledge is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoomNote {
    memory: Megabytes,
    adapters: usize,
    /// Of these slots, those in the last report.
    shown: usize,
    /// Of these slots, those of orders that are not known to be done.
    ordered: usize,
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
            shown: engine.reported_adapters().count(),
            ordered: engine.ordered_adapters().count(),
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
            "used_mb={} adapters={} shown={} ordered={} unanswered={} seq={} age_ms={}",
            self.memory.0,
            self.adapters,
            self.shown,
            self.ordered,
            self.unanswered,
            self.seq,
            self.age.0
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

impl Held {
    /// Describes a report, for the log.
    #[must_use]
    pub fn log_detail(&self) -> String {
        let join = |(m, a): (&Model, &Adapter)| format!("{m}+{a}");
        let models: Vec<_> = self.models.keys().map(ToString::to_string).collect();
        let adapters: Vec<_> = self.adapters().map(join).collect();
        let loading = self.loading_adapters.iter().map(|(m, a)| (m, a));
        let loading: Vec<_> = loading.map(join).collect();
        format!(
            "seq={} busy={} models={} adapters={} loading={}",
            self.seq,
            self.busy,
            models.join(","),
            adapters.join(","),
            loading.join(",")
        )
    }
}

//! Follows the era of the store: how often it has come back from an older copy.
//!
//! Any answer of the store, and any daemon, may be the first to show a new era. Positions of earlier
//! eras then say nothing about what the store has now, what this project itself wrote may be gone,
//! and what the operator and the upstreams wrote is written again by them.

use crate::journal::emit;
use crate::state::Gateway;
use shaleline_types::{LogEvent, Position};
use std::cell::Cell;

/// What is known of the era of the store.
#[derive(Debug, Default)]
pub(crate) struct KnownEra {
    latest: Cell<u64>,
    has_ended: Cell<bool>,
}

impl KnownEra {
    /// The latest known era.
    pub(crate) fn get(&self) -> u64 {
        self.latest.get()
    }

    /// Whether an earlier era was known, of which records may be lost.
    pub(crate) fn has_ended(&self) -> bool {
        self.has_ended.get()
    }
}

impl Gateway {
    /// Notices the era that the last answers of the store named.
    pub(crate) fn check_era(&self) {
        self.on_era(self.store.era());
    }

    /// Learns of an era of the store.
    pub(crate) fn on_era(&self, era: u64) {
        let before = self.era.get();
        if era <= before {
            return;
        }
        self.era.latest.set(era);
        // Where nothing was known of the store before, nothing can have been lost.
        let known = self.reading.borrow_mut().on_era(era);
        if before == 0 && !known {
            return;
        }
        emit(
            LogEvent::StoreWentBack,
            &format!("era={era} before={before}"),
        );
        self.era.has_ended.set(true);
        let start = self.era_start().to_u64();
        self.planner_lease.borrow_mut().on_loss(start, self.now());
        self.position_changed.notify_waiters();
    }

    /// The first position of the known era.
    pub(crate) fn era_start(&self) -> Position {
        Position::new(self.era.get(), 0)
    }
}

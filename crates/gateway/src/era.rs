//! Follows the era of the store: how often it has come back from an older copy.
//!
//! Any answer of the store, and any daemon, may be the first to show a new era. Positions of earlier
//! eras then say nothing about what the store has now, what this project itself wrote may be gone,
//! and what the operator and the upstreams wrote is written again by them. Until then the newest
//! configuration may be known to few daemons: daemons tell each other which version they have.

use crate::journal::emit;
use crate::membership::{Audience, Outgoing};
use crate::message::{Message, Sender};
use crate::state::Gateway;
use shaleline_types::{LogEvent, Millis, Position};
use std::cell::Cell;
use std::net::SocketAddr;
use tokio::sync::Notify;

/// The time after the start of a daemon, or of an era, for which it sends the version of its
/// configuration: several reports, any of which may be lost.
const OFFER_MS: u64 = 3_000;

/// What is known of the era of the store.
#[derive(Debug, Default)]
pub(crate) struct KnownEra {
    latest: Cell<u64>,
    /// When the last earlier era was found to have ended.
    ended: Cell<Option<Millis>>,
    /// A daemon with a newer configuration, and the notice of it.
    newer: Cell<Option<SocketAddr>>,
    offered: Notify,
}

impl KnownEra {
    /// The latest known era.
    pub(crate) fn get(&self) -> u64 {
        self.latest.get()
    }

    /// Whether an earlier era was known, of which records may be lost.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended.get().is_some()
    }

    /// Waits until another daemon reports a newer configuration, and returns its address.
    pub(crate) async fn newer_config(&self) -> SocketAddr {
        loop {
            if let Some(peer) = self.newer.take() {
                return peer;
            }
            self.offered.notified().await;
        }
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
        self.era.ended.set(Some(self.now()));
        let start = self.era_start().to_u64();
        self.planner_lease.borrow_mut().on_loss(start, self.now());
        self.position_changed.notify_waiters();
    }

    /// The messages with the version of this daemon's configuration, if others may have an older one or
    /// a newer one that the store does not have.
    pub(crate) fn config_offers(&self, now: Millis) -> Outgoing {
        let begin = self.era.ended.get().unwrap_or(self.started);
        let Some(table) = self.table().filter(|_| now.since(begin) < OFFER_MS) else {
            return Outgoing::new();
        };
        let version = table.version;
        let mut membership = self.membership.borrow_mut();
        let targets = membership.broadcast_targets(Audience::All, now);
        let message = |to| (to, Message::ConfigHeld { version });
        targets.into_iter().map(message).collect()
    }

    /// Compares the version that another daemon has with this daemon's.
    pub(crate) fn on_config_held(&self, from: &Sender, version: u64) {
        let own = self.table().map_or(0, |t| t.version);
        if version > own {
            self.era.newer.set(Some(from.address));
            self.era.offered.notify_one();
        }
        if version < own {
            let message = Message::ConfigHeld { version: own };
            self.send(vec![(from.address, message)]);
        }
    }

    /// The first position of the known era.
    pub(crate) fn era_start(&self) -> Position {
        Position::new(self.era.get(), 0)
    }
}

//! Compares the list of upstreams with that of the followed daemon.
//!
//! Followers apply the changes that the followed daemon reports. Whatever makes two lists differ all the
//! same (what a follower has read itself, a copy that was older than what it knew, a message of before a
//! change of the reader), neither of the two would notice. Each hub therefore sends its followers a
//! digest of its list, and a follower that differs takes a copy.

use crate::journal::emit;
use crate::message::{Message, Sender};
use crate::state::Gateway;
use shaleline_types::{LogEvent, Millis};

/// The interval at which a hub sends its digest.
const DIGEST_INTERVAL_MS: u64 = 1_000;

/// The number of digests in a row that must differ: the first one may differ because either daemon has
/// just read something that the other one has not.
const MIN_DIFFERENT: u32 = 2;

/// The longest time between two copies while the lists stay different. Copies of a large list are
/// costly, and after several of them the difference is one that a copy does not end.
const MAX_WAIT_MS: u64 = 32_000;

/// The comparison of this daemon's list with that of the daemon that it follows.
#[derive(Debug, Default)]
pub(crate) struct EntriesCheck {
    sent: Option<Millis>,
    /// The number of digests in a row that differed.
    different: u32,
    /// The time from the last request for a copy to the next one.
    wait: u64,
    requested: Millis,
    request: bool,
}

impl EntriesCheck {
    /// Whether a digest is to be sent now.
    fn is_due(&mut self, now: Millis) -> bool {
        let due = self
            .sent
            .is_none_or(|at| now.since(at) >= DIGEST_INTERVAL_MS);
        if due {
            self.sent = Some(now);
        }
        due
    }

    /// Compares a digest of the followed daemon with that of the own list, where both are of the same
    /// changes. Returns whether a copy is needed.
    pub(crate) fn on_digest(&mut self, is_same: bool, now: Millis) -> bool {
        if is_same {
            self.different = 0;
            self.wait = 0;
            return false;
        }
        self.different += 1;
        if self.different < MIN_DIFFERENT || now.since(self.requested) < self.wait {
            return false;
        }
        self.wait = (2 * self.wait).clamp(DIGEST_INTERVAL_MS, MAX_WAIT_MS);
        self.requested = now;
        self.request = true;
        true
    }

    /// Returns whether a copy is needed, once for each time.
    pub(crate) fn take_request(&mut self) -> bool {
        std::mem::take(&mut self.request)
    }
}

impl Gateway {
    /// The digest of the list for this daemon's followers, if it is due and the list is current.
    pub(crate) fn entries_digests(&self, now: Millis) -> Vec<(std::net::SocketAddr, Message)> {
        let followers = self.membership.borrow_mut().followers(now);
        let reading = self.reading.borrow();
        let fresh = self.freshness().entries;
        let current = reading.entries_known_at();
        let current = current.is_some_and(|at| now.since(at) < fresh.0);
        if followers.is_empty() || !current || !self.entries_check.borrow_mut().is_due(now) {
            return Vec::new();
        }
        let message = Message::EntriesDigest {
            number: reading.number(),
            digest: self.roster.borrow().digest(),
        };
        let messages = followers.into_iter().map(|to| (to, message.clone()));
        messages.collect()
    }

    /// Handles the digest that another daemon has sent with the number of its last message of changes.
    pub(crate) fn on_entries_digest(&self, from: &Sender, number: u64, digest: u64) {
        let now = self.now();
        let follows = self.membership.borrow_mut().follows(&from.instance, now);
        // The lists may differ while messages are in transit.
        if !follows || !self.reading.borrow().is_at(from.incarnation, number) {
            return;
        }
        let own = self.roster.borrow().digest();
        let copies = self
            .entries_check
            .borrow_mut()
            .on_digest(own == digest, now);
        if copies {
            let detail = format!("hub={} own={own:016x} theirs={digest:016x}", from.instance);
            emit(LogEvent::ListDiffers, &detail);
        }
    }
}

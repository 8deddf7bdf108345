//! Grants of allowances that are not settled yet: at the daemon that granted them, and at the one
//! that asked for them.
//!
//! Datagrams may be duplicated or late. Each grant has the ticket of its request, so that it is
//! returned once at most. `docs/LEASES.md` lists what else daemons give back.

use crate::dispatch::Ticket;
use shaleline_types::Millis;
use std::collections::HashMap;

/// Time for which a grant may be returned: more than callers wait.
const RETURN_MS: u64 = 30_000;

/// The grants that this daemon made to others.
#[derive(Debug, Default)]
pub(crate) struct OpenGrants {
    amounts: HashMap<Ticket, (Millis, u64)>,
}

impl OpenGrants {
    /// Records a grant.
    pub(crate) fn record(&mut self, ticket: Ticket, amount: u64, now: Millis) {
        self.amounts.insert(ticket, (now, amount));
    }

    /// Takes back up to this amount of a grant; 0 if it was returned before, or too long ago to be
    /// known.
    pub(crate) fn take_back(&mut self, ticket: Ticket, amount: u64) -> u64 {
        let granted = self.amounts.remove(&ticket);
        granted.map_or(0, |(_, granted)| amount.min(granted))
    }

    /// Forgets the grants that can't be returned any more.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.amounts.retain(|_, (at, _)| now.since(*at) < RETURN_MS);
    }
}

/// The requests of this daemon for grants that ended without an answer. What is granted to them is
/// returned; an answer to any other request has been used.
#[derive(Debug, Default)]
pub(crate) struct AbandonedRequests {
    ids: HashMap<u64, Millis>,
}

impl AbandonedRequests {
    /// Records that nothing waits for the answer any more.
    pub(crate) fn record(&mut self, id: u64, now: Millis) {
        self.ids.insert(id, now);
    }

    /// Whether the answer to this request is to be returned; true once.
    pub(crate) fn remove(&mut self, id: u64) -> bool {
        self.ids.remove(&id).is_some()
    }

    /// Forgets the requests whose grants can't be returned any more.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.ids.retain(|_, at| now.since(*at) < RETURN_MS);
    }
}

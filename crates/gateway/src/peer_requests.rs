//! Requests of other daemons for which this one chooses the upstream.
//!
//! They are requests of this daemon's router like its own, under numbers of its own. Each keeps
//! the last answer, which may have been lost and is asked for again.

use crate::dispatch::{Answer, Ticket};
use shaleline_types::{Millis, RequestId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// An answer that ends a request is kept for so long, in case it was lost.
const KEEP_MS: u64 = 2_000;

/// A daemon says which of its requests are open every so often; one that is missing there has
/// ended, and word of that was lost.
pub(crate) const OPEN_INTERVAL_MS: u64 = 600;

/// A daemon that has not done so for this long is gone, and its requests with it.
const GONE_MS: u64 = 2_500;

/// One request of another daemon.
#[derive(Debug)]
struct Guest {
    ticket: Ticket,
    address: SocketAddr,
    last: Answer,
    /// When anything was heard of it last.
    heard: Millis,
    /// When it ended here.
    ended: Option<Millis>,
}

/// The requests of other daemons.
#[derive(Debug, Default)]
pub(crate) struct PeerRequests {
    by_ticket: BTreeMap<Ticket, RequestId>,
    guests: BTreeMap<RequestId, Guest>,
}

/// An answer and where it goes.
pub(crate) type Reply = (SocketAddr, Ticket, Answer);

impl PeerRequests {
    /// The number here of a request that was asked for.
    pub(crate) fn find(&self, ticket: Ticket) -> Option<RequestId> {
        let id = self.by_ticket.get(&ticket)?;
        let open = self.guests.get(id)?.ended.is_none();
        open.then_some(*id)
    }

    /// Whether the request was asked for before.
    pub(crate) fn knows(&self, ticket: Ticket) -> bool {
        self.by_ticket.contains_key(&ticket)
    }

    /// Takes in a request under this number; it waits until something is decided.
    pub(crate) fn open(&mut self, ticket: Ticket, address: SocketAddr, id: RequestId, now: Millis) {
        let guest = Guest {
            ticket,
            address,
            last: Answer::Queued,
            heard: now,
            ended: None,
        };
        self.by_ticket.insert(ticket, id);
        self.guests.insert(id, guest);
    }

    /// The last answer to a request.
    pub(crate) fn answer(&mut self, ticket: Ticket, now: Millis) -> Answer {
        let id = self.by_ticket.get(&ticket);
        let guest = id.and_then(|id| self.guests.get_mut(id));
        guest.map_or(Answer::Unknown, |g| {
            g.heard = now;
            g.last.clone()
        })
    }

    /// Notes that a send ended and nothing is decided yet.
    pub(crate) fn wait(&mut self, id: RequestId) {
        if let Some(guest) = self.guests.get_mut(&id) {
            guest.last = Answer::Queued;
        }
    }

    /// Notes what was decided; whom to tell.
    pub(crate) fn decide(&mut self, id: RequestId, answer: Answer, now: Millis) -> Option<Reply> {
        let guest = self.guests.get_mut(&id)?;
        if matches!(answer, Answer::Refuse { .. }) {
            guest.ended = Some(now);
        }
        guest.last = answer.clone();
        Some((guest.address, guest.ticket, answer))
    }

    /// Notes that a request has ended at its daemon.
    pub(crate) fn close(&mut self, id: RequestId) {
        if let Some(guest) = self.guests.remove(&id) {
            self.by_ticket.remove(&guest.ticket);
        }
    }

    /// Takes in which requests of a daemon's life are open; those that ended unheard.
    pub(crate) fn on_open(
        &mut self,
        incarnation: u64,
        open: &[u64],
        now: Millis,
    ) -> Vec<RequestId> {
        let open: BTreeSet<u64> = open.iter().copied().collect();
        let mut ended = Vec::new();
        for (id, guest) in &mut self.guests {
            if guest.ticket.incarnation != incarnation {
                continue;
            }
            if open.contains(&guest.ticket.id) {
                guest.heard = now;
            } else if now.since(guest.heard) >= OPEN_INTERVAL_MS && guest.ended.is_none() {
                ended.push(*id);
            }
        }
        ended
    }

    /// The requests of daemons that are gone; forgets answers that nobody asks for any more.
    pub(crate) fn tick(&mut self, now: Millis) -> Vec<RequestId> {
        let old = |g: &Guest| g.ended.is_some_and(|at| now.since(at) >= KEEP_MS);
        let done: Vec<RequestId> = self.ids(old);
        done.into_iter().for_each(|id| self.close(id));
        self.ids(|g| g.ended.is_none() && now.since(g.heard) >= GONE_MS)
    }

    fn ids(&self, wanted: impl Fn(&Guest) -> bool) -> Vec<RequestId> {
        let guests = self.guests.iter().filter(|(_, g)| wanted(g));
        guests.map(|(id, _)| *id).collect()
    }

    /// How many requests of others are open.
    pub(crate) fn len(&self) -> usize {
        self.guests.values().filter(|g| g.ended.is_none()).count()
    }
}

//! Requests of other daemons for which this daemon selects the upstream.
//!
//! They are handled by this daemon's router like its own requests, under numbers of its own. Each
//! keeps its last answer, which is sent again if it was lost and the daemon polls for it.

use crate::dispatch::{Answer, Ticket};
use shaleline_types::{Millis, RequestId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time for which an answer that ends a request is kept, in case it was lost.
const ANSWER_TTL_MS: u64 = 2_000;

/// Interval at which a daemon reports its open requests. A request that is missing from the report
/// has ended, and the message about its end was lost.
pub(crate) const OPEN_INTERVAL_MS: u64 = 600;

/// Time without a report after which a daemon counts as gone, together with its requests.
const PEER_TIMEOUT_MS: u64 = 2_500;

/// A request of another daemon.
#[derive(Debug)]
struct PeerRequest {
    ticket: Ticket,
    address: SocketAddr,
    last_answer: Answer,
    /// When a message about it was last received.
    last_seen: Millis,
    /// When it ended here.
    ended: Option<Millis>,
}

/// The requests of other daemons for which this daemon selects.
#[derive(Debug, Default)]
pub(crate) struct PeerRequests {
    by_ticket: BTreeMap<Ticket, RequestId>,
    requests: BTreeMap<RequestId, PeerRequest>,
}

/// An answer and its destination.
pub(crate) type Reply = (SocketAddr, Ticket, Answer);

impl PeerRequests {
    /// The number here of an open request.
    pub(crate) fn find(&self, ticket: Ticket) -> Option<RequestId> {
        let id = self.by_ticket.get(&ticket)?;
        let open = self.requests.get(id)?.ended.is_none();
        open.then_some(*id)
    }

    /// The incarnation of the daemon whose request it is, if it is another one's.
    pub(crate) fn daemon_of(&self, id: RequestId) -> Option<u64> {
        self.requests.get(&id).map(|r| r.ticket.incarnation)
    }

    /// Whether the request is known.
    pub(crate) fn contains(&self, ticket: Ticket) -> bool {
        self.by_ticket.contains_key(&ticket)
    }

    /// Adds a request under this number; it is queued until the router decides.
    pub(crate) fn open(&mut self, ticket: Ticket, address: SocketAddr, id: RequestId, now: Millis) {
        let request = PeerRequest {
            ticket,
            address,
            last_answer: Answer::Queued,
            last_seen: now,
            ended: None,
        };
        self.by_ticket.insert(ticket, id);
        self.requests.insert(id, request);
    }

    /// The last answer to a request.
    pub(crate) fn answer(&mut self, ticket: Ticket, now: Millis) -> Answer {
        let id = self.by_ticket.get(&ticket);
        let request = id.and_then(|id| self.requests.get_mut(id));
        request.map_or(Answer::Unknown, |r| {
            r.last_seen = now;
            r.last_answer.clone()
        })
    }

    /// Marks a request as queued: an attempt ended, and the router has not decided yet.
    pub(crate) fn set_queued(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.last_answer = Answer::Queued;
        }
    }

    /// Records the router's decision; returns the answer and its destination.
    pub(crate) fn set_answer(
        &mut self,
        id: RequestId,
        answer: Answer,
        now: Millis,
    ) -> Option<Reply> {
        let request = self.requests.get_mut(&id)?;
        if matches!(answer, Answer::Refuse { .. }) {
            request.ended = Some(now);
        }
        request.last_answer = answer.clone();
        Some((request.address, request.ticket, answer))
    }

    /// Removes a request that ended at its daemon.
    pub(crate) fn remove(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(&id) {
            self.by_ticket.remove(&request.ticket);
        }
    }

    /// Processes a daemon's report of its open requests; returns those that ended without a message
    /// about their end.
    pub(crate) fn on_open(
        &mut self,
        incarnation: u64,
        open: &[u64],
        now: Millis,
    ) -> Vec<RequestId> {
        let open: BTreeSet<u64> = open.iter().copied().collect();
        let mut ended = Vec::new();
        for (id, request) in &mut self.requests {
            if request.ticket.incarnation != incarnation {
                continue;
            }
            if open.contains(&request.ticket.id) {
                request.last_seen = now;
            } else if now.since(request.last_seen) >= OPEN_INTERVAL_MS && request.ended.is_none() {
                ended.push(*id);
            }
        }
        ended
    }

    /// Drops expired answers; returns the requests of daemons that are gone.
    pub(crate) fn tick(&mut self, now: Millis) -> Vec<RequestId> {
        let old = |r: &PeerRequest| r.ended.is_some_and(|at| now.since(at) >= ANSWER_TTL_MS);
        let done: Vec<RequestId> = self.ids(old);
        done.into_iter().for_each(|id| self.remove(id));
        self.ids(|r| r.ended.is_none() && now.since(r.last_seen) >= PEER_TIMEOUT_MS)
    }

    fn ids(&self, wanted: impl Fn(&PeerRequest) -> bool) -> Vec<RequestId> {
        let requests = self.requests.iter().filter(|(_, r)| wanted(r));
        requests.map(|(id, _)| *id).collect()
    }

    /// The number of open requests of other daemons.
    pub(crate) fn len(&self) -> usize {
        self.requests.values().filter(|r| r.ended.is_none()).count()
    }
}

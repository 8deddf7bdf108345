//! Sends to upstreams that limit their rate: each needs a permit of a daemon that holds a share of
//! the rate.
//!
//! The permit is requested by the daemon that sends, whoever selected the upstream. It thus covers
//! every send: those that a hub selects, those that a daemon selects while no hub answers, repeats
//! and resumed streams. A send whose permit is denied goes back to the router, which selects another
//! upstream or refuses the request with the time at which a permit is due. A daemon that reaches no
//! holder of a share sends nothing there. `shaleline_route::Permits` grants.

use crate::dispatch::Ticket;
use crate::journal::emit;
use crate::message::{LimitMessage, Message, PermitReply, Sender};
use crate::state::Gateway;
use shaleline_route::{
    AttemptEnd, AttemptNumber, PermitResponse, RouteAction, RouteEvent, UpstreamLimit,
};
use shaleline_types::{LogEvent, Millis, RequestId, Upstream};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time without an answer after which another holder is asked: daemons are a millisecond apart, and
/// a busy one answers within some ten.
const ANSWER_TIMEOUT_MS: u64 = 60;

/// Time for which a holder that did not answer is not asked.
const AVOID_MS: u64 = 500;

/// Time after which a send is tried again where no holder answered.
const UNANSWERED_WAIT: Millis = Millis(250);

/// A send that waits for a permit.
#[derive(Debug)]
struct HeldSend {
    id: RequestId,
    attempt: AttemptNumber,
    upstream: Upstream,
    action: RouteAction,
    since: Millis,
    /// The holders that were not asked yet, the next one last.
    remaining: Vec<SocketAddr>,
    /// The holder that was asked last, and when.
    asked: Option<(SocketAddr, Millis)>,
    /// The time until the first permit of the holders that denied one.
    wait: Option<Millis>,
}

impl HeldSend {
    fn record_denied(&mut self, wait: Millis) {
        self.wait = Some(self.wait.map_or(wait, |w| w.min(wait)));
    }
}

/// The next step of a send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Ask this holder.
    Ask(SocketAddr),
    /// No permit is available for this long.
    Deny(Millis),
}

/// The sends of this daemon that wait for a permit.
#[derive(Debug, Default)]
pub(crate) struct HeldSends {
    sends: BTreeMap<u64, HeldSend>,
    next: u64,
    /// Until when a holder denies permits for an upstream.
    denied: BTreeMap<(SocketAddr, Upstream), Millis>,
    /// Holders that did not answer, and until when they are not asked.
    avoided: BTreeMap<SocketAddr, Millis>,
}

impl HeldSends {
    fn insert(&mut self, send: HeldSend) -> u64 {
        let number = self.next;
        self.next += 1;
        self.sends.insert(number, send);
        number
    }

    fn next_step(&mut self, number: u64, now: Millis) -> Option<Step> {
        let send = self.sends.get_mut(&number)?;
        while let Some(holder) = send.remaining.pop() {
            if self.avoided.get(&holder).is_some_and(|until| now < *until) {
                continue;
            }
            let denied = self.denied.get(&(holder, send.upstream.clone()));
            if let Some(until) = denied.filter(|until| now < **until) {
                send.record_denied(Millis(until.since(now)));
                continue;
            }
            send.asked = Some((holder, now));
            return Some(Step::Ask(holder));
        }
        Some(Step::Deny(send.wait.unwrap_or(UNANSWERED_WAIT)))
    }

    fn on_denied(&mut self, number: u64, wait: Millis, now: Millis) {
        let Some(send) = self.sends.get_mut(&number) else {
            return;
        };
        send.record_denied(wait);
        if let Some((holder, _)) = send.asked {
            let key = (holder, send.upstream.clone());
            self.denied.insert(key, now.plus(wait.0));
        }
    }

    /// Avoids the holders that have not answered in time. Returns the sends that asked them.
    fn expire(&mut self, now: Millis) -> Vec<u64> {
        self.denied.retain(|_, until| now < *until);
        self.avoided.retain(|_, until| now < *until);
        let late = |s: &HeldSend| {
            s.asked
                .filter(|(_, at)| now.since(*at) >= ANSWER_TIMEOUT_MS)
        };
        let expired = self.sends.iter();
        let expired = expired.filter_map(|(n, s)| late(s).map(|(holder, _)| (*n, holder)));
        let expired: Vec<(u64, SocketAddr)> = expired.collect();
        for (_, holder) in &expired {
            self.avoided.insert(*holder, now.plus(AVOID_MS));
        }
        expired.into_iter().map(|(n, _)| n).collect()
    }

    /// Drops the send of a request that needs no permit any more.
    pub(crate) fn cancel(&mut self, id: RequestId) {
        self.sends.retain(|_, s| s.id != id);
    }
}

impl Gateway {
    /// Holds an action back that sends to an upstream with a limited rate, until there is a permit.
    pub(crate) fn hold_for_permit(
        &self,
        id: RequestId,
        attempt: AttemptNumber,
        upstream: &Upstream,
        action: &RouteAction,
    ) {
        let now = self.now();
        let mut remaining = self.membership.borrow_mut().allocators(now);
        remaining.reverse();
        let number = self.held_sends.borrow_mut().insert(HeldSend {
            id,
            attempt,
            upstream: upstream.clone(),
            action: action.clone(),
            since: now,
            remaining,
            asked: None,
            wait: None,
        });
        self.continue_send(number);
    }

    /// Asks the next holder of a share for a permit, or gives the send back to the router.
    fn continue_send(&self, number: u64) {
        loop {
            let now = self.now();
            let step = self.held_sends.borrow_mut().next_step(number, now);
            match step {
                Some(Step::Ask(holder)) if holder == self.me.address => {
                    let upstream = self.upstream_of_send(number);
                    let reply = upstream.map(|u| self.grant_permit(&u));
                    if reply.is_none_or(|r| self.end_query(number, r)) {
                        return;
                    }
                }
                Some(Step::Ask(holder)) => {
                    self.ask_holder(number, holder);
                    return;
                }
                Some(Step::Deny(wait)) => {
                    self.deny_send(number, wait);
                    return;
                }
                None => return,
            }
        }
    }

    fn upstream_of_send(&self, number: u64) -> Option<Upstream> {
        let sends = self.held_sends.borrow();
        sends.sends.get(&number).map(|s| s.upstream.clone())
    }

    fn ask_holder(&self, number: u64, holder: SocketAddr) {
        let Some(upstream) = self.upstream_of_send(number) else {
            return;
        };
        let limits = self.limit_note(&upstream).into_iter().collect();
        let ticket = Ticket {
            incarnation: self.me.incarnation,
            id: number,
        };
        // The holder may not know of the limit yet.
        let messages = [
            LimitMessage::Named(limits),
            LimitMessage::PermitRequest { ticket, upstream },
        ];
        let messages = messages.map(|m| (holder, Message::Limits(m)));
        self.send(messages.into());
    }

    /// Handles a reply for a send. Returns whether the send needs no further step.
    fn end_query(&self, number: u64, reply: PermitReply) -> bool {
        match reply {
            PermitReply::Granted => {
                let send = self.held_sends.borrow_mut().sends.remove(&number);
                if let Some(send) = send {
                    self.release_send(&send);
                }
                true
            }
            PermitReply::Denied(wait) => {
                let wait = Millis(u64::from(wait));
                let now = self.now();
                self.held_sends.borrow_mut().on_denied(number, wait, now);
                false
            }
            PermitReply::NoShare => false,
        }
    }

    fn release_send(&self, send: &HeldSend) {
        let waited = self.now().since(send.since);
        if waited >= ANSWER_TIMEOUT_MS {
            self.log_send(send, "granted", Millis(waited));
        }
        // The upstream may have announced something since.
        if !self.give_back(send.id, send.attempt, &send.upstream) {
            self.pass_to_request(send.id, &send.action);
        }
    }

    fn deny_send(&self, number: u64, wait: Millis) {
        let send = self.held_sends.borrow_mut().sends.remove(&number);
        if let Some(send) = send {
            self.log_send(&send, "denied", wait);
            self.on_end(send.id, send.attempt, AttemptEnd::NoPermit(wait));
        }
    }

    fn log_send(&self, send: &HeldSend, outcome: &str, wait: Millis) {
        let now = self.now();
        if !self.log_budget.take(now) {
            return;
        }
        let limits = self.upstream_limits.borrow();
        let holder = send.asked.map_or("none".to_owned(), |(h, _)| h.to_string());
        let detail = format!(
            "request={} upstream={} {} age_ms={} outcome={outcome} holder={holder} wait_ms={} own_permits={:.2}",
            send.id.0,
            send.upstream,
            limits.of(&send.upstream),
            limits.age(&send.upstream, now),
            wait.0,
            self.permits.borrow().level(&send.upstream),
        );
        emit(LogEvent::SendDelayed, &detail);
    }

    /// Grants a permit of this daemon's share.
    fn grant_permit(&self, upstream: &Upstream) -> PermitReply {
        let rate = self.upstream_limits.borrow().of(upstream).rate;
        // A holder that takes the limit for ended can't tell how many requests were sent since.
        let Some(rate) = rate else {
            return PermitReply::NoShare;
        };
        self.update_old_shares();
        let response = self
            .permits
            .borrow_mut()
            .request(upstream, rate, self.now());
        match response {
            PermitResponse::Granted => PermitReply::Granted,
            PermitResponse::Denied(wait) => {
                PermitReply::Denied(u32::try_from(wait.0).unwrap_or(u32::MAX))
            }
            PermitResponse::NoShare => PermitReply::NoShare,
        }
    }

    /// Handles a message about upstreams that limit what they take.
    pub(crate) fn on_limit_message(&self, from: &Sender, message: LimitMessage) {
        match message {
            LimitMessage::Named(notes) => self.on_limit_notes(from, notes),
            LimitMessage::PermitRequest { ticket, upstream } => {
                self.handle_permit_request(from, ticket, &upstream);
            }
            LimitMessage::PermitReply(ticket, reply) => {
                self.handle_permit_reply(from, ticket, reply);
            }
            LimitMessage::Rejected(upstream) => self.route(RouteEvent::Rejected(upstream)),
            LimitMessage::Leaving(notes) => self.on_leaving_notes(from, notes),
            LimitMessage::Resting {
                upstream,
                incarnation,
                millis,
            } => self.on_rest(&upstream, incarnation, Millis(u64::from(millis))),
            LimitMessage::Removals(notes) => self.on_removal_notes(from, notes),
        }
    }

    /// Handles another daemon's request for a permit.
    fn handle_permit_request(&self, from: &Sender, ticket: Ticket, upstream: &Upstream) {
        let reply = self.grant_permit(upstream);
        let message = Message::Limits(LimitMessage::PermitReply(ticket, reply));
        self.send(vec![(from.address, message)]);
    }

    /// Handles a holder's reply. A permit that is too late for its send is lost.
    fn handle_permit_reply(&self, from: &Sender, ticket: Ticket, reply: PermitReply) {
        let asked = |s: &HeldSend| s.asked.is_some_and(|(holder, _)| holder == from.address);
        let expected = {
            let sends = self.held_sends.borrow();
            sends.sends.get(&ticket.id).is_some_and(asked)
        };
        if ticket.incarnation != self.me.incarnation || !expected {
            return;
        }
        if !self.end_query(ticket.id, reply) {
            self.continue_send(ticket.id);
        }
    }

    /// Updates this daemon's share of the upstreams' rates.
    pub(crate) fn share_permits(&self) {
        let now = self.now();
        let centres = self.settings.centres;
        let share = self.membership.borrow_mut().permit_share(centres, now);
        self.permits.borrow_mut().set_share(share, now);
    }

    /// Asks the next holder for the sends whose holder does not answer.
    pub(crate) fn tick_permits(&self) {
        let now = self.now();
        let expired = self.held_sends.borrow_mut().expire(now);
        expired.into_iter().for_each(|n| self.continue_send(n));
    }

    /// Reports a rejection to the daemons that select, if the upstream may crash from more of them.
    pub(crate) fn report_rejection(&self, upstream: &Upstream) {
        let Some(service) = self.fragile_service(upstream) else {
            return;
        };
        self.metrics.count_fragile_rejection(&service);
        let now = self.now();
        let hubs = self.membership.borrow_mut().known_hubs(now);
        let message = Message::Limits(LimitMessage::Rejected(upstream.clone()));
        self.send(hubs.into_iter().map(|h| (h, message.clone())).collect());
        self.route(RouteEvent::Rejected(upstream.clone()));
    }

    /// Passes the limits of an upstream to the router.
    pub(crate) fn apply_limits(&self, upstream: &Upstream) {
        let rate = self.upstream_limits.borrow().of(upstream).rate;
        if rate.is_none() {
            self.permits.borrow_mut().forget(upstream);
        }
        let slots = self.roster.borrow().get(upstream).map(|e| e.slots);
        let limit = UpstreamLimit {
            rate,
            fragile_slots: self.max_rejections(upstream).and(slots),
        };
        self.route(RouteEvent::Limited {
            upstream: upstream.clone(),
            limit,
        });
    }
}

//! Charges requests to their organisations' allowances, and grants from the share that this daemon
//! keeps.
//!
//! `shaleline_route` decides ([`GrantRequest`], [`Allocator`]); this module finds the allocators
//! and exchanges the messages between daemons. `docs/ALLOWANCES.md` compares the alternatives.

use crate::dispatch::Ticket;
use crate::journal::emit;
use crate::message::{GrantReply, Message, Sender};
use crate::open_grants::{AbandonedRequests, OpenGrants};
use crate::refuse::Refusal;
use crate::state::Gateway;
use crate::OrgRule;
use shaleline_route::{
    Allocator, Allowance, Credits, GrantRequest, GrantResponse, GrantStep, Tolerance,
};
use shaleline_types::{ErrorKind, LogEvent, Millis, Org};
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// Time without an answer after which another allocator is asked: daemons are a millisecond apart,
/// and a busy one answers within some ten.
const ANSWER_TIMEOUT_MS: u64 = 60;

/// Time for which an allocator that did not answer is asked last.
const AVOID_MS: u64 = 500;

/// Minimum interval between log lines about an organisation that has used up the share kept here.
const LOG_INTERVAL_MS: u64 = 10_000;

/// A request to an allocator that has not been answered.
struct PendingGrant {
    org: Org,
    sender: oneshot::Sender<GrantReply>,
}

/// The share of the allowances that this daemon keeps, its credits from other daemons, and its
/// pending requests to them.
pub(crate) struct Allowances {
    pub(crate) allocator: Allocator,
    credits: Credits,
    pending: HashMap<u64, PendingGrant>,
    abandoned: AbandonedRequests,
    /// The grants to other daemons.
    granted: OpenGrants,
    next_id: u64,
    /// Allocators that did not answer, and until when they are asked last.
    avoided: HashMap<SocketAddr, Millis>,
    /// When it was last logged that an organisation has used up its share.
    logged: HashMap<Org, Millis>,
}

impl Allowances {
    pub(crate) fn new(tolerance: Tolerance) -> Self {
        Self {
            allocator: Allocator::new(tolerance),
            credits: Credits::default(),
            pending: HashMap::new(),
            abandoned: AbandonedRequests::default(),
            granted: OpenGrants::default(),
            next_id: 0,
            avoided: HashMap::new(),
            logged: HashMap::new(),
        }
    }

    /// Drops credits that were granted under another allowance.
    pub(crate) fn keep(&mut self, same: impl Fn(&Org) -> bool) {
        self.credits.retain(same);
    }

    /// Drops expired entries, and pending requests whose caller left.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.credits.prune(now);
        let abandoned = &mut self.abandoned;
        self.pending.retain(|id, request| {
            if request.sender.is_closed() {
                abandoned.record(*id, now);
            }
            !request.sender.is_closed()
        });
        self.abandoned.prune(now);
        self.granted.prune(now);
        self.avoided.retain(|_, until| now < *until);
        self.logged.retain(|_, at| now.since(*at) < LOG_INTERVAL_MS);
    }

    /// Whether it may be logged that an organisation has used up its share.
    fn may_log(&mut self, org: &Org, now: Millis) -> bool {
        let logged = self.logged.get(org);
        let due = logged.is_none_or(|at| now.since(*at) >= LOG_INTERVAL_MS);
        if due {
            self.logged.insert(org.clone(), now);
        }
        due
    }

    /// The credit that is reported to an allocator; the maximum while a request is pending, so that
    /// no further credit is granted.
    fn held(&self, org: &Org) -> u64 {
        match self.pending.values().any(|a| a.org == *org) {
            true => u64::MAX,
            false => self.credits.held(org),
        }
    }
}

/// The charge for a request.
#[derive(Debug)]
pub(crate) struct Charge {
    org: Org,
    cost: u64,
    /// The daemon that granted it, if that is another one, and the request for the grant.
    grant: Option<(SocketAddr, Ticket)>,
}

impl Gateway {
    /// Charges a request to its organisation's allowance.
    pub(crate) async fn charge(
        &self,
        rule: &OrgRule,
        tokens: Option<u64>,
    ) -> Result<Option<Charge>, Refusal> {
        let Some(allowance) = rule.allowance else {
            return Ok(None);
        };
        let (org, cost) = (&rule.name, rule.cost(tokens));
        let me = self.me.address;
        let mut request = GrantRequest::new(org.clone(), cost, &self.allocators());
        let mut step = self.next_step(&mut request);
        let mut granted = None;
        loop {
            step = match step {
                GrantStep::Admit => break,
                GrantStep::Refuse(wait) => {
                    let refusal = Refusal::new(ErrorKind::RateLimited).with_org(org.clone());
                    return Err(refusal.with_retry(Some(wait)));
                }
                GrantStep::Unanswered => {
                    let refusal = Refusal::new(ErrorKind::AllowanceUnknown);
                    return Err(refusal.with_org(org.clone()));
                }
                GrantStep::Query(at) if at == me => {
                    let held = self.allowances.borrow().held(org);
                    let grant = self.grant(org, &allowance, cost, held);
                    self.on_grant(&mut request, grant)
                }
                GrantStep::Query(at) => match self.request_grant(at, org, cost).await {
                    Some((ticket, GrantReply::Granted(_, amount))) => {
                        granted = Some((at, ticket));
                        self.on_grant(&mut request, GrantResponse::Granted(amount))
                    }
                    Some((_, GrantReply::Denied(wait))) => {
                        let wait = Millis(u64::from(wait));
                        self.on_grant(&mut request, GrantResponse::Denied(wait))
                    }
                    Some((_, GrantReply::Unknown)) | None => self.next_step(&mut request),
                },
            };
        }
        Ok(Some(Charge {
            org: org.clone(),
            cost,
            grant: granted,
        }))
    }

    fn next_step(&self, request: &mut GrantRequest) -> GrantStep {
        request.next_step(&mut self.allowances.borrow_mut().credits, self.now())
    }

    fn on_grant(&self, request: &mut GrantRequest, grant: GrantResponse) -> GrantStep {
        let credits = &mut self.allowances.borrow_mut().credits;
        request.on_grant(grant, credits, self.now())
    }

    /// The allocators in the order in which to ask them; those that recently did not answer are
    /// last.
    fn allocators(&self) -> Vec<SocketAddr> {
        let now = self.now();
        let mut all = self.membership.borrow_mut().allocators(now);
        let allowances = self.allowances.borrow();
        let avoided = |a: &SocketAddr| allowances.avoided.get(a).is_some_and(|until| now < *until);
        all.sort_by_key(avoided);
        all
    }

    /// Asks another daemon for a grant; none if it does not answer.
    async fn request_grant(
        &self,
        at: SocketAddr,
        org: &Org,
        cost: u64,
    ) -> Option<(Ticket, GrantReply)> {
        let (sender, receiver) = oneshot::channel();
        let (ticket, held) = {
            let mut allowances = self.allowances.borrow_mut();
            let held = allowances.held(org);
            let id = allowances.next_id;
            allowances.next_id += 1;
            let org = org.clone();
            allowances.pending.insert(id, PendingGrant { org, sender });
            let incarnation = self.me.incarnation;
            (Ticket { incarnation, id }, held)
        };
        let message = Message::GrantRequest {
            ticket,
            org: org.clone(),
            cost,
            held,
        };
        self.send(vec![(at, message)]);
        let limit = self.now().plus(ANSWER_TIMEOUT_MS);
        let reply = self
            .clock
            .timeout_at(limit, receiver)
            .await
            .and_then(Result::ok);
        if reply.is_none() {
            let mut allowances = self.allowances.borrow_mut();
            if allowances.pending.remove(&ticket.id).is_some() {
                allowances.abandoned.record(ticket.id, self.now());
            }
            allowances.avoided.insert(at, limit.plus(AVOID_MS));
        }
        reply.map(|r| (ticket, r))
    }

    /// Grants from the share that is kept here.
    fn grant(&self, org: &Org, allowance: &Allowance, cost: u64, held: u64) -> GrantResponse {
        self.update_old_shares();
        let now = self.now();
        let mut allowances = self.allowances.borrow_mut();
        let grant = allowances
            .allocator
            .request(org, allowance, cost, held, now);
        if let GrantResponse::Denied(wait) = grant {
            if allowances.may_log(org, now) {
                let part = allowances.allocator.share().fraction;
                let version = self.table().map_or(0, |t| t.version);
                let wait = wait.0;
                emit(
                    LogEvent::AllowanceUsed,
                    &format!(
                        "org={org} cost={cost} part={part:.3} retry_ms={wait} config={version}"
                    ),
                );
            }
        }
        grant
    }

    /// Handles another daemon's request for a grant.
    pub(crate) fn handle_grant_request(
        &self,
        from: &Sender,
        ticket: Ticket,
        org: &Org,
        cost: u64,
        held: u64,
    ) {
        let allowance = self.table().and_then(|t| t.allowance(org));
        let grant = allowance.map(|a| self.grant(org, &a, cost, held));
        let reply = match grant {
            Some(GrantResponse::Granted(amount)) => {
                let now = self.now();
                let granted = &mut self.allowances.borrow_mut().granted;
                granted.record(ticket, amount, now);
                GrantReply::Granted(org.clone(), amount)
            }
            Some(GrantResponse::Denied(wait)) => {
                GrantReply::Denied(u32::try_from(wait.0).unwrap_or(u32::MAX))
            }
            Some(GrantResponse::NoShare) | None => GrantReply::Unknown,
        };
        self.send(vec![(from.address, Message::GrantReply(ticket, reply))]);
    }

    /// Handles an allocator's answer. A grant that is too late for its request is returned. A duplicate
    /// is not: its amount is in use.
    pub(crate) fn handle_grant_reply(&self, from: &Sender, ticket: Ticket, reply: GrantReply) {
        // What an earlier incarnation was granted may have been used.
        if ticket.incarnation != self.me.incarnation {
            return;
        }
        let (pending, is_abandoned) = {
            let mut allowances = self.allowances.borrow_mut();
            let pending = allowances.pending.remove(&ticket.id);
            (pending, allowances.abandoned.remove(ticket.id))
        };
        let late = match pending {
            Some(pending) => pending.sender.send(reply).err(),
            None => Some(reply).filter(|_| is_abandoned),
        };
        if let Some(GrantReply::Granted(org, amount)) = late {
            self.return_grant(from.address, ticket, org, amount);
        }
    }

    fn return_grant(&self, allocator: SocketAddr, ticket: Ticket, org: Org, amount: u64) {
        let message = Message::GrantUnused {
            ticket,
            org,
            amount,
        };
        self.send(vec![(allocator, message)]);
    }

    /// Returns the charge of a request that did not run.
    pub(crate) fn refund(&self, charge: &Charge) {
        let Charge { org, cost, grant } = charge;
        match grant {
            Some((allocator, ticket)) => self.return_grant(*allocator, *ticket, org.clone(), *cost),
            None => self.handle_refund(org, *cost),
        }
    }

    /// Handles the return of a grant to another daemon, which counts once.
    pub(crate) fn handle_unused_grant(&self, ticket: Ticket, org: &Org, amount: u64) {
        let amount = {
            let granted = &mut self.allowances.borrow_mut().granted;
            granted.take_back(ticket, amount)
        };
        if amount > 0 {
            self.handle_refund(org, amount);
        }
    }

    /// Handles the return of a grant made here.
    pub(crate) fn handle_refund(&self, org: &Org, amount: u64) {
        let Some(allowance) = self.table().and_then(|t| t.allowance(org)) else {
            return;
        };
        let mut allowances = self.allowances.borrow_mut();
        let now = self.now();
        allowances.allocator.refund(org, &allowance, amount, now);
    }

    /// Updates the share of the allowances that this daemon keeps.
    pub(crate) fn share_allowances(&self) {
        let now = self.now();
        let Some(table) = self.table().filter(|t| t.orgs.is_some()) else {
            return;
        };
        let centres = self.settings.centres;
        let part = self.membership.borrow_mut().allowance_share(centres, now);
        let mut allowances = self.allowances.borrow_mut();
        allowances
            .allocator
            .set_tolerance(self.bounds.borrow().tolerance);
        allowances
            .allocator
            .set_share(part, |org| table.allowance(org), now);
    }
}

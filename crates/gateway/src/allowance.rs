//! Charges requests to their organisations' allowances, and grants from the part kept here.
//!
//! `shaleline_route` decides ([`GrantRequest`], [`Allocator`]); here is who keeps which part, and the
//! messages between daemons. `docs/ALLOWANCES.md` has the ways that were weighed.

use crate::dispatch::Ticket;
use crate::journal::emit;
use crate::message::{DrawReply, Message, Sender};
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

/// Without an answer for so long another granter is asked: daemons are a millisecond apart, and a
/// busy one answers within some ten.
const ANSWER_MS: u64 = 60;

/// One that did not answer is asked last for so long.
const DOUBT_MS: u64 = 500;

/// That an organisation has used up the part kept here is logged no more often than this.
const SAY_AGAIN_MS: u64 = 10_000;

/// A question to a granter.
struct Asked {
    org: Org,
    tell: oneshot::Sender<DrawReply>,
}

/// What a daemon keeps of allowances, has in advance, and has asked for.
pub(crate) struct Allowances {
    pub(crate) granter: Allocator,
    credits: Credits,
    asked: HashMap<u64, Asked>,
    next: u64,
    /// Those that did not answer, and until when they are asked last.
    doubt: HashMap<SocketAddr, Millis>,
    /// When it was last logged that an organisation has used up its part.
    said: HashMap<Org, Millis>,
}

impl Allowances {
    pub(crate) fn new(tolerance: Tolerance) -> Self {
        Self {
            granter: Allocator::new(tolerance),
            credits: Credits::default(),
            asked: HashMap::new(),
            next: 0,
            doubt: HashMap::new(),
            said: HashMap::new(),
        }
    }

    /// Drops what was granted under another allowance.
    pub(crate) fn keep(&mut self, same: impl Fn(&Org) -> bool) {
        self.credits.retain(same);
    }

    /// Forgets what time has passed over, and questions whose caller has gone.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.credits.prune(now);
        self.asked.retain(|_, a| !a.tell.is_closed());
        self.doubt.retain(|_, until| now < *until);
        self.said.retain(|_, at| now.since(*at) < SAY_AGAIN_MS);
    }

    /// Whether it may be logged that an organisation has used up its part.
    fn may_say(&mut self, org: &Org, now: Millis) -> bool {
        let said = self.said.get(org);
        let due = said.is_none_or(|at| now.since(*at) >= SAY_AGAIN_MS);
        if due {
            self.said.insert(org.clone(), now);
        }
        due
    }

    /// What is in advance, as it is told: nothing more is wanted while a question is open.
    fn held(&self, org: &Org) -> u64 {
        match self.asked.values().any(|a| a.org == *org) {
            true => u64::MAX,
            false => self.credits.held(org),
        }
    }
}

/// What a request was charged.
#[derive(Debug)]
pub(crate) struct Charge {
    org: Org,
    cost: u64,
    /// Who granted it, where that is another daemon.
    granter: Option<SocketAddr>,
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
        let mut draw = GrantRequest::new(org.clone(), cost, &self.granters());
        let mut step = self.next_granter(&mut draw);
        let mut granter = None;
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
                    self.on_grant(&mut draw, grant)
                }
                GrantStep::Query(at) => match self.draw_from(at, org, cost).await {
                    Some(DrawReply::Granted(_, amount)) => {
                        granter = Some(at);
                        self.on_grant(&mut draw, GrantResponse::Granted(amount))
                    }
                    Some(DrawReply::Denied(wait)) => {
                        let wait = Millis(u64::from(wait));
                        self.on_grant(&mut draw, GrantResponse::Denied(wait))
                    }
                    Some(DrawReply::Unknown) | None => self.next_granter(&mut draw),
                },
            };
        }
        Ok(Some(Charge {
            org: org.clone(),
            cost,
            granter,
        }))
    }

    fn next_granter(&self, draw: &mut GrantRequest) -> GrantStep {
        draw.next_step(&mut self.allowances.borrow_mut().credits, self.now())
    }

    fn on_grant(&self, draw: &mut GrantRequest, grant: GrantResponse) -> GrantStep {
        let credits = &mut self.allowances.borrow_mut().credits;
        draw.on_grant(grant, credits, self.now())
    }

    /// Those to ask, whoever did not answer a moment ago last.
    fn granters(&self) -> Vec<SocketAddr> {
        let now = self.now();
        let mut all = self.mesh.borrow_mut().granters(now);
        let allowances = self.allowances.borrow();
        let doubted = |a: &SocketAddr| allowances.doubt.get(a).is_some_and(|until| now < *until);
        all.sort_by_key(doubted);
        all
    }

    /// Asks another daemon; none where it does not answer.
    async fn draw_from(&self, at: SocketAddr, org: &Org, cost: u64) -> Option<DrawReply> {
        let (tell, told) = oneshot::channel();
        let (ticket, held) = {
            let mut allowances = self.allowances.borrow_mut();
            let held = allowances.held(org);
            let id = allowances.next;
            allowances.next += 1;
            let org = org.clone();
            allowances.asked.insert(id, Asked { org, tell });
            let life = self.me.life;
            (Ticket { life, id }, held)
        };
        let message = Message::Draw {
            ticket,
            org: org.clone(),
            cost,
            held,
        };
        self.send(vec![(at, message)]);
        let limit = self.now().plus(ANSWER_MS);
        let reply = self
            .clock
            .timeout_at(limit, told)
            .await
            .and_then(Result::ok);
        if reply.is_none() {
            let mut allowances = self.allowances.borrow_mut();
            allowances.asked.remove(&ticket.id);
            allowances.doubt.insert(at, limit.plus(DOUBT_MS));
        }
        reply
    }

    /// Grants from the part that is kept here.
    fn grant(&self, org: &Org, allowance: &Allowance, cost: u64, held: u64) -> GrantResponse {
        let now = self.now();
        let mut allowances = self.allowances.borrow_mut();
        let grant = allowances.granter.request(org, allowance, cost, held, now);
        if let GrantResponse::Denied(wait) = grant {
            if allowances.may_say(org, now) {
                let part = allowances.granter.share().fraction;
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

    /// Answers a daemon that needs a part of an allowance.
    pub(crate) fn take_draw(&self, from: &Sender, ticket: Ticket, org: &Org, cost: u64, held: u64) {
        let allowance = self.table().and_then(|t| t.allowance(org));
        let grant = allowance.map(|a| self.grant(org, &a, cost, held));
        let reply = match grant {
            Some(GrantResponse::Granted(amount)) => DrawReply::Granted(org.clone(), amount),
            Some(GrantResponse::Denied(wait)) => {
                DrawReply::Denied(u32::try_from(wait.0).unwrap_or(u32::MAX))
            }
            Some(GrantResponse::NoShare) | None => DrawReply::Unknown,
        };
        self.send(vec![(from.address, Message::Drawn(ticket, reply))]);
    }

    /// Takes in a granter's answer. What comes too late for its request goes back.
    pub(crate) fn take_drawn(&self, from: &Sender, ticket: Ticket, reply: DrawReply) {
        let asked = match ticket.life == self.me.life {
            true => self.allowances.borrow_mut().asked.remove(&ticket.id),
            false => None,
        };
        let late = match asked {
            Some(asked) => asked.tell.send(reply).err(),
            None => Some(reply),
        };
        if let Some(DrawReply::Granted(org, amount)) = late {
            self.send(vec![(from.address, Message::GivenBack { org, amount })]);
        }
    }

    /// Gives back what a request was charged that did not run.
    pub(crate) fn give_back(&self, charge: &Charge) {
        let Charge { org, cost, granter } = charge;
        match granter {
            Some(granter) => {
                let message = Message::GivenBack {
                    org: org.clone(),
                    amount: *cost,
                };
                self.send(vec![(*granter, message)]);
            }
            None => self.take_given_back(org, *cost),
        }
    }

    /// Takes back what was granted here.
    pub(crate) fn take_given_back(&self, org: &Org, amount: u64) {
        let Some(allowance) = self.table().and_then(|t| t.allowance(org)) else {
            return;
        };
        let mut allowances = self.allowances.borrow_mut();
        let now = self.now();
        allowances.granter.refund(org, &allowance, amount, now);
    }

    /// Takes over the part of the allowances that this daemon keeps now.
    pub(crate) fn share_allowances(&self) {
        let now = self.now();
        let Some(table) = self.table().filter(|t| t.orgs.is_some()) else {
            return;
        };
        let centres = self.settings.centres;
        let part = self.mesh.borrow_mut().granted_part(centres, now);
        let mut allowances = self.allowances.borrow_mut();
        allowances
            .granter
            .set_tolerance(self.bounds.borrow().tolerance);
        allowances
            .granter
            .set_share(part, |org| table.allowance(org), now);
    }
}

//! One request as it is sent: how long it waits, how much may be ahead of it, and who goes
//! first.
//!
//! Three loads decide here. On a calm day all is sent at once. Where callers ask for more
//! prompts than an engine reads between the tokens of its streams, they wait here for as
//! long as they can be in time, so that the streams that run keep their pace. Where a model
//! is short altogether, those that come first go before those that were refused before.
//! Nothing here reads a clock or a socket. `docs/DECISIONS.md` has what each part is worth.

use crate::allowance::Charge;
use crate::{Head, RouteRule};
use bytes::Bytes;
use hyper::{HeaderMap, Method};
use shaleline_route::{Limits, RequestPolicy, Route, RouteRequest};
use shaleline_types::{stable_hash, Identity, Millis, Org, RequestId, Service};

/// Requests whose target is no longer than this are served before others.
const URGENT_TARGET: Millis = Millis(2_000);

/// What is no stream waits unsent for a fifth of its target: later its answer is hardly in
/// time, and its caller should know while it can still go elsewhere.
const WAIT_PART: u64 = 5;

/// But at least so long, for a place that frees at once.
const LEAST_WAIT: u64 = 20;

/// A stream waits until an engine can take its prompt without stopping other streams, as
/// long as its first event can still be in time: reading a prompt takes some ten
/// milliseconds, and the first event some more.
const FIRST_EVENT: u64 = 100;

/// But no longer than this: a place frees every few ten milliseconds, and who has waited in
/// vain has lost the time.
const MOST_WAIT: u64 = 1_000;

/// A load from a copy, with the plan before it, is done after this time. Who has as much is
/// served in time by waiting; others are told at once that nobody holds their model.
const LOAD_WAIT: u64 = 2_500;

/// The part of the longest pause that prompts may take at once: what other daemons sent in
/// the last tenths of a second is not known yet. With four fifths 642 of 1,000 chats
/// on crowded days are in time, with a half 652, by 30 days played.
const PACE_PART: (u64, u64) = (1, 2);

/// How far behind those that come for the first time one is served that came back. With it
/// 670 of 1,000 chats on crowded days are in time, without it 652, by 30 days played.
const BACK_PRIORITY: u8 = 16;

/// A caller that came back after a refusal has no further try: its request waits for a
/// larger part of the time left.
const BACK_WAIT: (u64, u64) = (3, 5);

/// But no longer than so many targets: callers of streams leave after four.
const BACK_TARGETS: u64 = 2;

/// A request is not sent where its first byte is expected later than so many targets:
/// callers of streams leave after four. Shorter queues were tried: what was refused fell
/// behind less urgent work, and `docs/MEASUREMENTS.md` has the figures.
const MOST_TARGETS: u64 = 2;

/// A send without a first byte counts as hanging after twice the target, within these
/// bounds: a short target leaves time to try elsewhere, a long one is no reason to wait.
const STALL_TARGETS: u64 = 2;
const STALL_BOUNDS: (u64, u64) = (200, 3_000);

/// The platform names no organisations: all callers are one.
const ORG: &str = "platform";

/// The organisation of all callers.
pub(crate) fn org() -> Org {
    Org::from_text(ORG).expect("a valid name")
}

/// Its limits are the platform's own.
pub(crate) const LIMITS: Limits = Limits {
    rate: 1 << 40,
    concurrency: 1 << 40,
    tokens: 1 << 40,
};

/// One request as it is sent.
pub(crate) struct Job {
    pub(crate) head: Head,
    /// What it has in common with its caller's other attempts.
    pub(crate) identity: Identity,
    pub(crate) rule: RouteRule,
    pub(crate) service: Service,
    pub(crate) version: u64,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived: Millis,
    /// Whether its caller was refused before: it has less time than the route gives.
    pub(crate) came_back: bool,
    /// When the caller's time or the route's is over, whichever is first.
    pub(crate) deadline: Millis,
    /// The organisation whose request it is, where that is known.
    pub(crate) org: Option<Org>,
    /// What its organisation was charged.
    pub(crate) charge: Option<Charge>,
}

impl Job {
    /// Whether it may be sent again after it may have run.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.rule.repeat.is_idempotent()
    }

    /// The rank at an engine: by the route's priority, and work with a long target after
    /// all other.
    pub(crate) fn rank(&self) -> Option<u8> {
        self.head.model.as_ref()?;
        let relaxed = u8::from(!self.is_urgent() || self.came_back) * 5;
        Some((self.rule.priority + 1 + relaxed).min(9))
    }

    /// Who was refused before has mostly missed the target already, which counts from the
    /// first try; those that can still be in time go first.
    pub(crate) fn priority(&self) -> u8 {
        let back = u8::from(self.came_back) * BACK_PRIORITY;
        self.rule.priority.saturating_add(back)
    }

    fn is_urgent(&self) -> bool {
        self.rule.target <= URGENT_TARGET
    }

    pub(crate) fn route(&self) -> Route {
        match &self.head.model {
            Some(model) => Route::Model {
                model: model.clone(),
                adapter: self.head.adapter.clone(),
            },
            None => Route::Service(self.service.clone()),
        }
    }

    /// The model that an upstream must hold to serve it, with or without its adapter.
    pub(crate) fn base(&self) -> Option<Route> {
        let model = self.head.model.clone()?;
        Some(Route::Model {
            model,
            adapter: None,
        })
    }

    /// What the router is asked, where some upstream serves the model or none does.
    pub(crate) fn to_ask(&self, id: RequestId, served: bool) -> RouteRequest {
        let (prefix, block_sizes) = self.prefix();
        let (least, most) = STALL_BOUNDS;
        let stall = (self.rule.target.0 * STALL_TARGETS).clamp(least, most);
        RouteRequest {
            id,
            org: org(),
            route: self.route(),
            priority: self.priority(),
            weight: 1,
            cost: (self.head.prompt + self.head.output).max(1),
            prefix,
            block_sizes,
            due: self.deadline,
            repeatable: self.is_idempotent(),
            limits: LIMITS,
            policy: RequestPolicy {
                max_wait: Some(Millis(self.wait(served))),
                max_attempts: Some(self.rule.attempts),
                max_expected: Some(Millis(self.rule.target.0 * MOST_TARGETS)),
                stall_timeout: self.is_idempotent().then_some(Millis(stall)),
                urgent: self.is_urgent(),
                backlog_limit: self.pace(),
            },
            identity: Some(self.identity),
        }
    }

    /// The most work that prompts may have ahead at an engine, in milliseconds. An engine
    /// reads prompts between the tokens of its streams, so prompts that wait together stop
    /// all of them for as long as they take.
    pub(crate) fn pace(&self) -> Option<Millis> {
        let (of, parts) = PACE_PART;
        self.rule.pause.map(|p| Millis(p.0 * of / parts))
    }

    /// How long it may wait unsent, where some upstream serves its model or none does.
    pub(crate) fn wait(&self, served: bool) -> u64 {
        let target = self.rule.target.0;
        if self.came_back {
            let left = self.deadline.since(self.arrived);
            return (left * BACK_WAIT.0 / BACK_WAIT.1).min(target * BACK_TARGETS);
        }
        if self.rule.pause.is_some() {
            let slack = target.saturating_sub(FIRST_EVENT);
            return match (served, slack >= LOAD_WAIT) {
                (true, _) => slack.clamp(LEAST_WAIT, MOST_WAIT),
                (false, true) => LOAD_WAIT,
                (false, false) => LEAST_WAIT,
            };
        }
        (target / WAIT_PART).max(LEAST_WAIT)
    }

    /// The growing prefixes of the prompt. What an engine keeps, it keeps for a model and
    /// adapter.
    fn prefix(&self) -> (Vec<u64>, Vec<u32>) {
        let mut last = stable_hash(&[&self.route().to_string()]);
        let mut chain = Vec::with_capacity(self.head.parts.len());
        let mut block_sizes = Vec::with_capacity(self.head.parts.len());
        for (id, tokens) in &self.head.parts {
            last = stable_hash(&[&last.to_string(), &id.to_string()]);
            chain.push(last);
            block_sizes.push(*tokens);
        }
        (chain, block_sizes)
    }
}

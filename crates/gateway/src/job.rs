//! A request as it is sent: how long it waits, how much prompt backlog it accepts, and its
//! priority.
//!
//! The rules cover three levels of load. Under light load all requests are sent at once. If callers
//! ask for more prompts than an engine reads between the tokens of its streams, requests wait here
//! for as long as they can still be in time, so that running streams are not delayed. If a model is
//! short of capacity altogether, first attempts go before retries. Nothing here reads a clock or a
//! socket. `docs/DECISIONS.md` compares the effect of each rule.

use crate::allowance::Charge;
use crate::{Head, RouteRule};
use bytes::Bytes;
use hyper::{HeaderMap, Method};
use shaleline_route::{Limits, RequestPolicy, Route, RouteRequest};
use shaleline_types::{
    stable_hash, Fingerprint, Identity, Millis, Org, RequestId, Service, SoftwareVersion,
};
use std::collections::BTreeMap;

/// Requests with a target of at most this are served before others.
const URGENT_TARGET: Millis = Millis(2_000);

/// A request that is no stream waits for at most this fraction (one fifth) of its target: its
/// answer would hardly be in time later, and its caller should know while it can still go
/// elsewhere.
const WAIT_DIVISOR: u64 = 5;

/// Lower limit of the wait, for a slot that frees up at once.
const MIN_WAIT_MS: u64 = 20;

/// Time that is left for the first event of a stream: reading a prompt takes some ten milliseconds,
/// and the first event some more. A stream waits until an engine can read its prompt without
/// stopping other streams, as long as its first event can be in time.
const FIRST_EVENT_MS: u64 = 100;

/// Upper limit of the wait of urgent requests: a slot frees up every few tens of milliseconds, and a request that
/// waited longer without one has lost the time.
const MAX_WAIT_MS: u64 = 1_000;

/// Time in which a model is planned and loaded from a copy. A stream with at least this slack is
/// served in time by waiting; others are refused at once if no engine holds their model.
const LOAD_WAIT_MS: u64 = 2_500;

/// The fraction of the longest pause that waiting prompts may take: what other daemons sent in the
/// last tenths of a second is not known yet. With a larger fraction, fewer chats are in time on
/// overloaded days; see `docs/CAPACITY.md`, "Values of constants".
const BACKLOG_PART: (u64, u64) = (1, 2);

/// Added to the priority value of retries whose target has passed, so that requests that can still
/// be in time are served before them. Without it, fewer chats are in time on overloaded days.
const RETRY_PRIORITY: u8 = 16;

/// A caller that retries after a refusal does not retry again: its request waits for this larger
/// fraction of the time left.
const RETRY_WAIT_PART: (u64, u64) = (3, 5);

/// Upper limit of that wait, in targets: callers of streams leave after four.
const MAX_RETRY_TARGETS: u64 = 2;

/// A request is not sent if its first byte is expected later than this number of targets: callers
/// of streams leave after four. With shorter queues, refused requests fall behind less urgent work;
/// `docs/MEASUREMENTS.md` has the figures.
const MAX_TARGETS: u64 = 2;

/// An attempt without a first byte counts as hanging after this number of targets, within these
/// bounds: a short target leaves time to try another upstream, a long one is no reason to wait.
const STALL_TARGETS: u64 = 2;
const STALL_BOUNDS_MS: (u64, u64) = (200, 3_000);

/// The most parts of one prompt that may be blamed for a crash, which bounds messages and state.
/// Prompts of the deployments in force have two to four parts.
const MAX_SHARED_PARTS: usize = 24;

/// The organisation in the router of all callers of whom none is known.
const CALLERS_ORG: &str = "platform";

/// The organisation of callers of whom none is known.
pub(crate) fn org() -> Org {
    Org::from_text(CALLERS_ORG).expect("a valid name")
}

/// The weight of an organisation in the router: none is preferred.
pub(crate) const WEIGHT: u64 = 1;

/// The router sets no limits; the platform's limits apply.
pub(crate) const LIMITS: Limits = Limits {
    rate: 1 << 40,
    concurrency: 1 << 40,
    tokens: 1 << 40,
};

/// A request as it is sent.
pub(crate) struct Job {
    pub(crate) head: Head,
    /// The identity that it shares with its caller's other attempts.
    pub(crate) identity: Identity,
    pub(crate) rule: RouteRule,
    pub(crate) service: Service,
    pub(crate) version: u64,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived: Millis,
    /// Whether it is a retry after a refusal, which has less time than the route gives.
    pub(crate) is_retry: bool,
    /// The end of the caller's or the route's time, whichever is first.
    pub(crate) deadline: Millis,
    /// The organisation whose request it is, if that is known.
    pub(crate) org: Option<Org>,
    /// The charge to its organisation's allowance.
    pub(crate) charge: Option<Charge>,
    /// The software version that began the stream that it resumes.
    pub(crate) bound: Option<SoftwareVersion>,
}

impl Job {
    /// Whether it may be sent again after it may have run.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.rule.repeat.is_idempotent()
    }

    /// The rank at an engine, by the route's priority; requests with a long target, or whose target
    /// has passed, come after all others.
    pub(crate) fn rank(&self) -> Option<u8> {
        self.head.model.as_ref()?;
        let relaxed = u8::from(!self.is_urgent() || self.has_missed_target()) * 5;
        Some((self.rule.priority + 1 + relaxed).min(9))
    }

    /// The priority in the router. Requests that can still be in time go before retries that have
    /// missed their target.
    pub(crate) fn priority(&self) -> u8 {
        let missed = u8::from(self.has_missed_target()) * RETRY_PRIORITY;
        self.rule.priority.saturating_add(missed)
    }

    /// The time in milliseconds for which its caller has waited when it arrived. A retry has used
    /// the route's time less what its caller still waits.
    fn elapsed(&self) -> u64 {
        let left = self.deadline.since(self.arrived);
        match self.is_retry {
            true => self.rule.timeout.0.saturating_sub(left),
            false => 0,
        }
    }

    /// The end of its target, which counts from its caller's first attempt.
    pub(crate) fn target_end(&self) -> Millis {
        let first = self.arrived.0.saturating_sub(self.elapsed());
        Millis(first + self.rule.target.0)
    }

    /// Whether it is a retry that can't be in time any more.
    fn has_missed_target(&self) -> bool {
        self.is_retry && self.elapsed() >= self.rule.target.0
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

    /// The route to any engine that holds the model, with or without the adapter.
    pub(crate) fn base(&self) -> Option<Route> {
        let model = self.head.model.clone()?;
        Some(Route::Model {
            model,
            adapter: None,
        })
    }

    /// The router's view of the request; `served` is whether some upstream serves the model.
    pub(crate) fn to_route_request(&self, id: RequestId, served: bool) -> RouteRequest {
        let (prefix, block_sizes) = self.prefix();
        let (least, most) = STALL_BOUNDS_MS;
        let stall = (self.rule.target.0 * STALL_TARGETS).clamp(least, most);
        RouteRequest {
            daemon: 0,
            id,
            org: self.org.clone().unwrap_or_else(org),
            route: self.route(),
            priority: self.priority(),
            weight: WEIGHT,
            cost: self
                .head
                .prompt
                .saturating_add(self.head.expected_output())
                .max(1),
            prefix,
            block_sizes,
            due: self.deadline,
            repeatable: self.is_idempotent(),
            target: Some(self.target_end()),
            limits: LIMITS,
            policy: RequestPolicy {
                max_wait: Some(Millis(self.wait(served))),
                max_attempts: Some(self.rule.attempts),
                max_expected: Some(Millis(self.rule.target.0 * MAX_TARGETS)),
                stall_timeout: self.is_idempotent().then_some(Millis(stall)),
                urgent: self.is_urgent(),
                backlog_limit: self.prompt_backlog(),
            },
            identity: Some(self.identity),
            parts: self.shared_parts(),
            excluded: BTreeMap::new(),
            version: self.bound.clone(),
        }
    }

    /// The most prompt backlog that the request accepts at an engine, in milliseconds. An engine
    /// reads prompts between the tokens of its streams, so waiting prompts stop all of them for as
    /// long as they take.
    pub(crate) fn prompt_backlog(&self) -> Option<Millis> {
        let (of, parts) = BACKLOG_PART;
        self.rule.pause.map(|p| Millis(p.0 * of / parts))
    }

    /// How long it may wait before it is sent, in milliseconds; `served` is whether some upstream
    /// serves its model.
    pub(crate) fn wait(&self, served: bool) -> u64 {
        let target = self.rule.target.0;
        if self.is_retry {
            let left = self.deadline.since(self.arrived);
            return (left * RETRY_WAIT_PART.0 / RETRY_WAIT_PART.1).min(target * MAX_RETRY_TARGETS);
        }
        if self.rule.pause.is_some() {
            let slack = target.saturating_sub(FIRST_EVENT_MS);
            return match (served, slack >= LOAD_WAIT_MS) {
                // Deferrable requests fill the troughs in demand.
                (true, _) if !self.is_urgent() => slack,
                (true, _) => slack.clamp(MIN_WAIT_MS, MAX_WAIT_MS),
                (false, true) => LOAD_WAIT_MS,
                (false, false) => MIN_WAIT_MS,
            };
        }
        (target / WAIT_DIVISOR).max(MIN_WAIT_MS)
    }

    /// The parts of the prompt that other requests may share, which may be the cause of a crash: all
    /// but the last, which belongs to this request or its session.
    pub(crate) fn shared_parts(&self) -> Vec<Fingerprint> {
        let mut ids: Vec<u64> = self.head.parts.iter().map(|(id, _)| *id).collect();
        ids.pop();
        ids.truncate(MAX_SHARED_PARTS);
        ids.sort_unstable();
        ids.dedup();
        ids.into_iter().map(Fingerprint::of_part).collect()
    }

    /// The hashes of the growing prefixes of the prompt, and their sizes. An engine caches prefixes
    /// by model and adapter, so the hashes include both.
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

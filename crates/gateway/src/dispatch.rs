//! Requests of this daemon for which another daemon selects the upstream.
//!
//! Load reports are some hundred milliseconds old, while a slot at a plain service frees up every
//! few tens of milliseconds: daemons that select by reports alone send in waves. For each model and
//! service one daemon, a hub, therefore selects for all and knows at once what it has sent where.
//! It is asked by datagrams, which are repeated; if it does not answer, the daemon selects by
//! itself. There is no agreement protocol: two daemons that select for the same model only know
//! less of each other's sends.
//!
//! [`DelegatedRequests`] is the asking side; `peer_requests` is the side that selects.
//! `docs/ROUTING.md` compares the alternatives.

use crate::job::{org, WEIGHT};
use crate::message::{Message, Tag, VersionMessage};
use serde::{Deserialize, Serialize};
use shaleline_route::{
    AttemptEnd, AttemptNumber, Limits, Measurement, RequestPolicy, Route, RouteAction, RouteRequest,
};
use shaleline_types::{
    Adapter, ErrorKind, Fingerprint, Identity, IncarnationTag, Millis, Model, Org, RequestId,
    Service, SoftwareVersion, Upstream,
};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time without an answer after which a request is sent to the hub once more: two daemons are one
/// millisecond apart, and a busy one answers within ten.
const RESEND_MS: u64 = 25;

/// Time without an answer after which this daemon selects by itself: a caller of a plain service
/// waits 150 ms.
const FALLBACK_MS: u64 = 60;

/// Interval at which the hub is polled about a request that is queued there.
const POLL_INTERVAL_MS: u64 = 100;

/// Polls without an answer after which the hub counts as unreachable.
const MAX_POLLS: u32 = 3;

/// Time for which a hub that did not answer is not asked.
const AVOID_MS: u64 = 1_000;

/// The most upstreams that a message names as excluded, which bounds its size; sends to others are
/// given back.
const MAX_EXCLUSIONS: usize = 50;

/// Identifies a request among those of all daemons: the incarnation of its daemon, and its number
/// there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Ticket {
    pub(crate) incarnation: u64,
    pub(crate) id: u64,
}

/// The route of a request, as it is sent to a hub.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RouteNote {
    Model(Model, Option<Adapter>),
    Service(Service),
}

impl RouteNote {
    fn of(route: &Route) -> Self {
        match route {
            Route::Model { model, adapter } => Self::Model(model.clone(), adapter.clone()),
            Route::Service(service) => Self::Service(service.clone()),
        }
    }

    fn into_route(self) -> Route {
        match self {
            Self::Model(model, adapter) => Route::Model { model, adapter },
            Self::Service(service) => Route::Service(service),
        }
    }
}

/// A request that needs an upstream, as it is sent to a hub. Times are durations, because daemons
/// share no clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AskNote {
    route: RouteNote,
    priority: u8,
    cost: u64,
    prefix: Vec<u64>,
    sizes: Vec<u32>,
    due: u32,
    repeatable: bool,
    wait: Option<u32>,
    attempts: Option<AttemptNumber>,
    stall: Option<u32>,
    most: Option<u32>,
    urgent: bool,
    pace: Option<u32>,
    identity: Option<Identity>,
}

fn span(time: Millis) -> u32 {
    u32::try_from(time.0).unwrap_or(u32::MAX)
}

fn millis(span: u32) -> Millis {
    Millis(u64::from(span))
}

impl AskNote {
    pub(crate) fn of(ask: &RouteRequest, now: Millis) -> Self {
        Self {
            route: RouteNote::of(&ask.route),
            priority: ask.priority,
            cost: ask.cost,
            prefix: ask.prefix.clone(),
            sizes: ask.block_sizes.clone(),
            due: span(Millis(ask.due.since(now))),
            repeatable: ask.repeatable,
            wait: ask.policy.max_wait.map(span),
            attempts: ask.policy.max_attempts,
            stall: ask.policy.stall_timeout.map(span),
            most: ask.policy.max_expected.map(span),
            urgent: ask.policy.urgent,
            pace: ask.policy.backlog_limit.map(span),
            identity: ask.identity,
        }
    }

    /// Converts it to a request of this daemon's router, under a number of its own.
    pub(crate) fn into_route_request(
        self,
        id: RequestId,
        org: Org,
        limits: Limits,
        now: Millis,
    ) -> RouteRequest {
        RouteRequest {
            daemon: 0,
            id,
            org,
            route: self.route.into_route(),
            priority: self.priority,
            weight: 1,
            cost: self.cost,
            prefix: self.prefix,
            block_sizes: self.sizes,
            due: now.plus(u64::from(self.due)),
            repeatable: self.repeatable,
            target: None,
            limits,
            policy: RequestPolicy {
                max_wait: self.wait.map(millis),
                max_attempts: self.attempts,
                stall_timeout: self.stall.map(millis),
                max_expected: self.most.map(millis),
                urgent: self.urgent,
                backlog_limit: self.pace.map(millis),
            },
            identity: self.identity,
            parts: Vec::new(),
            excluded: BTreeMap::new(),
            version: None,
        }
    }
}

/// An upstream that takes nothing from a daemon, and for how many milliseconds.
pub(crate) type Exclusion = (Tag, u32);

/// The exclusions of a request that are left, those that last longest first.
fn exclusions(ask: &RouteRequest, now: Millis) -> Vec<Exclusion> {
    let left = ask.excluded.iter().map(|(upstream, until)| {
        let left = span(Millis(until.since(now)));
        (Tag::of_upstream(upstream), left)
    });
    let mut left: Vec<Exclusion> = left.filter(|(_, left)| *left > 0).collect();
    left.sort_by_key(|(_, left)| Reverse(*left));
    left.truncate(MAX_EXCLUSIONS);
    left
}

/// What a hub needs to know to select an upstream for a request of another daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Ask {
    pub(crate) ticket: Ticket,
    pub(crate) note: AskNote,
    /// The upstreams that take nothing from that daemon.
    pub(crate) excluded: Vec<Exclusion>,
    /// The software version to which the request is bound.
    pub(crate) version: Option<SoftwareVersion>,
    /// The parts of its prompt that other requests may share.
    pub(crate) parts: Vec<Fingerprint>,
}

impl Ask {
    /// A request whose prompt has no shared parts, bound to no version.
    pub(crate) const fn plain(ticket: Ticket, note: AskNote) -> Self {
        Self {
            ticket,
            note,
            excluded: Vec::new(),
            version: None,
            parts: Vec::new(),
        }
    }
}

/// What decides the order of a request among those that compete for its upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OrderNote {
    /// The time in milliseconds until the end of its target.
    target: Option<u32>,
    /// The organisation of its caller, and its weight.
    org: Org,
    weight: u64,
}

impl OrderNote {
    /// Returns what daemons of the earlier release don't know about a request, if anything.
    fn of(ask: &RouteRequest, now: Millis) -> Option<Self> {
        let note = Self {
            target: ask.target.map(|t| span(Millis(t.since(now)))),
            org: ask.org.clone(),
            weight: ask.weight,
        };
        (note != Self::unknown()).then_some(note)
    }

    /// What holds for a request of a daemon of the earlier release.
    pub(crate) fn unknown() -> Self {
        Self {
            target: None,
            org: org(),
            weight: WEIGHT,
        }
    }

    /// Adds it to a request.
    pub(crate) fn apply(self, request: &mut RouteRequest, now: Millis) {
        request.target = self.target.map(|t| now.plus(u64::from(t)));
        request.org = self.org;
        request.weight = self.weight;
    }
}

/// The message that asks a hub for an upstream.
fn ask_message(ticket: Ticket, ask: &RouteRequest, now: Millis) -> Message {
    let Some(order) = OrderNote::of(ask, now) else {
        return plain_message(ticket, ask, now);
    };
    let ask = Ask {
        ticket,
        note: AskNote::of(ask, now),
        excluded: exclusions(ask, now),
        version: ask.version.clone(),
        parts: ask.parts.clone(),
    };
    Message::AskOrdered(Box::new((ask, order)))
}

/// The same in the form that daemons of the earlier release know. It is used for the repetition of a
/// question, so that such a hub answers after [`RESEND_MS`].
fn plain_message(ticket: Ticket, ask: &RouteRequest, now: Millis) -> Message {
    let note = Box::new(AskNote::of(ask, now));
    let excluded = exclusions(ask, now);
    if !ask.parts.is_empty() {
        return Message::AskParts(Box::new(Ask {
            ticket,
            note: *note,
            excluded,
            version: ask.version.clone(),
            parts: ask.parts.clone(),
        }));
    }
    if let Some(version) = ask.version.clone() {
        let ask = VersionMessage::Ask(ticket, note, version, excluded);
        return Message::Versions(ask);
    }
    // Daemons of earlier releases only know the message without exclusions.
    if excluded.is_empty() {
        return Message::Ask(ticket, note);
    }
    Message::AskExcept(ticket, note, excluded)
}

/// The progress of a request, as it is reported to the hub that selected its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ProgressNote {
    /// The first byte of its answer arrived.
    FirstByte(AttemptNumber),
    /// An attempt ended.
    Ended(AttemptNumber, EndNote),
    /// Its caller left, or its daemon selected an upstream by itself.
    Gone,
    /// How fast an attempt's upstream works. Daemons of earlier releases drop it.
    Measured(AttemptNumber, MeasurementNote),
}

/// See [`Measurement`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MeasurementNote {
    intervals: u32,
    elapsed: u32,
    slowdown: Option<u32>,
}

impl MeasurementNote {
    pub(crate) fn of(measurement: &Measurement) -> Self {
        Self {
            intervals: measurement.intervals,
            elapsed: span(measurement.elapsed),
            slowdown: measurement.slowdown,
        }
    }

    pub(crate) fn to_measurement(self) -> Measurement {
        Measurement {
            intervals: self.intervals,
            elapsed: millis(self.elapsed),
            slowdown: self.slowdown,
        }
    }
}

/// How an attempt ended, as it is reported; see [`End`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum EndNote {
    Whole,
    NotSent,
    Refused,
    Broken,
    Cancelled,
    UpstreamEnded(IncarnationTag),
    /// Holds the time until the next permit in milliseconds.
    NoPermit(u32),
    PathBroken,
    Leaving,
    /// Holds the time for which the upstream takes nothing from the daemon, in milliseconds.
    Resting(u32),
    Unfit,
}

impl EndNote {
    pub(crate) fn of(end: AttemptEnd) -> Self {
        match end {
            AttemptEnd::Whole => Self::Whole,
            AttemptEnd::NotSent => Self::NotSent,
            AttemptEnd::Refused => Self::Refused,
            AttemptEnd::Broken => Self::Broken,
            AttemptEnd::UpstreamEnded(start) => Self::UpstreamEnded(start),
            AttemptEnd::Cancelled => Self::Cancelled,
            AttemptEnd::PathBroken => Self::PathBroken,
            AttemptEnd::NoPermit(wait) => Self::NoPermit(span(wait)),
            AttemptEnd::Leaving => Self::Leaving,
            AttemptEnd::Resting(wait) => Self::Resting(span(wait)),
            AttemptEnd::Unfit => Self::Unfit,
        }
    }

    pub(crate) fn to_end(self) -> AttemptEnd {
        match self {
            Self::Whole => AttemptEnd::Whole,
            Self::NotSent => AttemptEnd::NotSent,
            Self::Refused => AttemptEnd::Refused,
            Self::Broken => AttemptEnd::Broken,
            Self::UpstreamEnded(start) => AttemptEnd::UpstreamEnded(start),
            Self::Cancelled => AttemptEnd::Cancelled,
            Self::PathBroken => AttemptEnd::PathBroken,
            Self::NoPermit(wait) => AttemptEnd::NoPermit(millis(wait)),
            Self::Leaving => AttemptEnd::Leaving,
            Self::Resting(wait) => AttemptEnd::Resting(millis(wait)),
            Self::Unfit => AttemptEnd::Unfit,
        }
    }
}

/// The hub's answer to a request that needs an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Answer {
    /// The request is queued.
    Queued,
    /// Send it to this upstream; its first byte is expected after this number of milliseconds.
    Send {
        attempt: AttemptNumber,
        upstream: Upstream,
        expected: u32,
    },
    /// Cancel the attempt.
    Cancel { attempt: AttemptNumber },
    /// Report the failure to the caller.
    Refuse { kind: ErrorKind, retry: Option<u32> },
    /// The hub does not know the request.
    Unknown,
    /// Like [`Answer::Send`], while several daemons lose their paths to the upstream's service.
    SendDoubtful {
        attempt: AttemptNumber,
        upstream: Upstream,
        expected: u32,
    },
}

impl Answer {
    pub(crate) fn of(action: &RouteAction) -> Self {
        match action {
            RouteAction::Send {
                attempt,
                upstream,
                expected,
                ..
            } => Self::Send {
                attempt: *attempt,
                upstream: upstream.clone(),
                expected: span(*expected),
            },
            RouteAction::Cancel { attempt, .. } => Self::Cancel { attempt: *attempt },
            RouteAction::Refuse { kind, retry, .. } => Self::Refuse {
                kind: *kind,
                retry: retry.map(span),
            },
        }
    }

    /// The same while daemons lose their paths to the upstream's service.
    pub(crate) fn into_doubtful(self) -> Self {
        match self {
            Self::Send {
                attempt,
                upstream,
                expected,
            } => Self::SendDoubtful {
                attempt,
                upstream,
                expected,
            },
            other => other,
        }
    }

    fn into_action(self, id: RequestId, upstream: Option<Upstream>) -> Option<RouteAction> {
        match self {
            Self::Queued | Self::Unknown => None,
            Self::Send {
                attempt,
                upstream,
                expected,
            }
            | Self::SendDoubtful {
                attempt,
                upstream,
                expected,
            } => Some(RouteAction::Send {
                id,
                attempt,
                upstream,
                expected: millis(expected),
            }),
            Self::Cancel { attempt } => Some(RouteAction::Cancel {
                id,
                attempt,
                upstream: upstream?,
            }),
            Self::Refuse { kind, retry } => Some(RouteAction::Refuse {
                id,
                kind,
                retry: retry.map(millis),
            }),
        }
    }
}

/// The state of a delegated request.
#[derive(Debug, Clone)]
enum Stage {
    /// The hub was asked at `since` and has not answered; `resent` if it was asked again.
    Requested { since: Millis, resent: bool },
    /// The request is queued at the hub, which was last polled at `polled` and has left
    /// `unanswered` polls without an answer.
    Queued { polled: Millis, unanswered: u32 },
    /// It is being sent.
    Sent,
}

/// A request for which a hub selects the upstream.
#[derive(Debug, Clone)]
struct Delegated {
    to: SocketAddr,
    stage: Stage,
    /// The latest attempt for which the hub named an upstream, and that upstream.
    attempt: AttemptNumber,
    upstream: Option<Upstream>,
    /// Whether the hub has started again and does not know the request any more.
    forgotten: bool,
    ask: RouteRequest,
}

/// The next action for a request.
#[derive(Debug)]
pub(crate) enum Step {
    /// Send this message to the hub.
    Send(SocketAddr, Box<Message>),
    /// Select an upstream here: the request has not been sent yet.
    SelectHere(Box<RouteRequest>),
    /// Fail the request: it was sent, and no hub answers where to send it next.
    Fail(RequestId),
}

/// The requests of this daemon for which hubs select the upstream.
#[derive(Debug)]
pub(crate) struct DelegatedRequests {
    incarnation: u64,
    requests: BTreeMap<RequestId, Delegated>,
    /// Hubs that did not answer, and until when they are not asked.
    avoided: BTreeMap<SocketAddr, Millis>,
    ticked: Millis,
}

impl DelegatedRequests {
    pub(crate) fn new(incarnation: u64, now: Millis) -> Self {
        Self {
            incarnation,
            requests: BTreeMap::new(),
            avoided: BTreeMap::new(),
            ticked: now,
        }
    }

    /// Whether the hub may be asked.
    pub(crate) fn is_available(&self, to: SocketAddr, now: Millis) -> bool {
        self.avoided.get(&to).is_none_or(|until| now >= *until)
    }

    fn ticket(&self, id: RequestId) -> Ticket {
        Ticket {
            incarnation: self.incarnation,
            id: id.0,
        }
    }

    /// Records the request as delegated to the hub and returns the message that asks it for an
    /// upstream.
    pub(crate) fn ask(&mut self, ask: RouteRequest, to: SocketAddr, now: Millis) -> Message {
        let message = ask_message(self.ticket(ask.id), &ask, now);
        let request = Delegated {
            to,
            stage: Stage::Requested {
                since: now,
                resent: false,
            },
            attempt: 0,
            upstream: None,
            forgotten: false,
            ask,
        };
        self.requests.insert(request.ask.id, request);
        message
    }

    /// Binds a request to a software version; returns the message that reports it to the hub, if
    /// the request is delegated.
    pub(crate) fn bind(
        &mut self,
        id: RequestId,
        version: &SoftwareVersion,
    ) -> Option<(SocketAddr, Message)> {
        let ticket = self.ticket(id);
        let request = self.requests.get_mut(&id)?;
        request.ask.version = Some(version.clone());
        let bound = VersionMessage::Bound(ticket, version.clone());
        Some((request.to, Message::Versions(bound)))
    }

    /// The parts of a delegated request's prompt that other requests may share.
    pub(crate) fn parts_of(&self, id: RequestId) -> Vec<Fingerprint> {
        let request = self.requests.get(&id);
        request.map_or_else(Vec::new, |r| r.ask.parts.clone())
    }

    /// Whether the request is delegated to a hub.
    pub(crate) fn has(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// The hub to which the request is delegated, if any.
    pub(crate) fn hub_of(&self, id: RequestId) -> Option<SocketAddr> {
        self.requests.get(&id).map(|r| r.to)
    }

    /// Processes a hub's answer and returns the actions for the request. Answers may arrive late,
    /// twice or out of order.
    pub(crate) fn on_answer(
        &mut self,
        ticket: Ticket,
        answer: Answer,
        now: Millis,
    ) -> Vec<RouteAction> {
        let id = RequestId(ticket.id);
        let request = self.requests.get_mut(&id);
        let Some(request) = request.filter(|_| ticket.incarnation == self.incarnation) else {
            return Vec::new();
        };
        let sent = matches!(request.stage, Stage::Sent);
        let previous = request.upstream.clone();
        match &answer {
            Answer::Queued if !sent => {
                request.stage = Stage::Queued {
                    polled: now,
                    unanswered: 0,
                };
                Vec::new()
            }
            Answer::Queued | Answer::Unknown => Vec::new(),
            Answer::Send { attempt, .. } | Answer::SendDoubtful { attempt, .. }
                if *attempt <= request.attempt =>
            {
                Vec::new()
            }
            Answer::Send {
                attempt, upstream, ..
            }
            | Answer::SendDoubtful {
                attempt, upstream, ..
            } => {
                // The request moves to another upstream; the hub's cancellation of the previous
                // attempt may arrive later.
                let cancel = Answer::Cancel {
                    attempt: request.attempt,
                };
                let cancel = cancel.into_action(id, previous).filter(|_| sent);
                request.attempt = *attempt;
                request.upstream = Some(upstream.clone());
                request.stage = Stage::Sent;
                cancel
                    .into_iter()
                    .chain(answer.into_action(id, None))
                    .collect()
            }
            Answer::Cancel { attempt } if *attempt != request.attempt || !sent => Vec::new(),
            Answer::Cancel { .. } => {
                request.stage = Stage::Queued {
                    polled: now,
                    unanswered: 0,
                };
                answer.into_action(id, previous).into_iter().collect()
            }
            Answer::Refuse { .. } => {
                self.requests.remove(&id);
                answer.into_action(id, previous).into_iter().collect()
            }
        }
    }

    /// Records the progress of a request; returns the message that reports it to the hub.
    pub(crate) fn report(
        &mut self,
        id: RequestId,
        what: ProgressNote,
        now: Millis,
    ) -> Option<(SocketAddr, Message)> {
        let ticket = self.ticket(id);
        let request = self.requests.get_mut(&id)?;
        let to = request.to;
        match what {
            ProgressNote::FirstByte(_) | ProgressNote::Measured(..) => {}
            ProgressNote::Ended(_, EndNote::Whole | EndNote::Cancelled) | ProgressNote::Gone => {
                self.requests.remove(&id);
            }
            // The hub answers with the next step at once, or is polled for it.
            ProgressNote::Ended(..) => {
                request.stage = Stage::Queued {
                    polled: now,
                    unanswered: 0,
                };
            }
        }
        Some((to, Message::Progressed(ticket, what)))
    }

    /// Returns the repeated messages that are due, and the requests whose hub does not answer.
    pub(crate) fn tick(&mut self, now: Millis) -> Vec<Step> {
        // Answers wait unread while this daemon gets no processor time, so that time does not
        // count.
        let late = now.since(self.ticked).saturating_sub(RESEND_MS);
        self.ticked = now;
        let incarnation = self.incarnation;
        let mut steps = Vec::new();
        let mut lost = Vec::new();
        for (id, request) in &mut self.requests {
            let ticket = Ticket {
                incarnation,
                id: id.0,
            };
            match &mut request.stage {
                Stage::Requested { since, resent } => {
                    *since = since.plus(late);
                    let waited = now.since(*since);
                    if waited >= FALLBACK_MS {
                        lost.push(*id);
                    } else if waited >= RESEND_MS && !*resent {
                        *resent = true;
                        let message = Box::new(plain_message(ticket, &request.ask, now));
                        steps.push(Step::Send(request.to, message));
                    }
                }
                Stage::Queued { polled, unanswered } => {
                    *polled = polled.plus(late);
                    if now.since(*polled) < POLL_INTERVAL_MS {
                        continue;
                    }
                    if *unanswered >= MAX_POLLS {
                        lost.push(*id);
                        continue;
                    }
                    *unanswered += 1;
                    *polled = now;
                    steps.push(Step::Send(request.to, Box::new(Message::Poll(ticket))));
                }
                Stage::Sent => {}
            }
        }
        for id in lost {
            self.stop_delegating(id, now, &mut steps);
        }
        self.avoided.retain(|_, until| now < *until);
        steps
    }

    /// Ends the delegation of a request whose hub does not answer.
    fn stop_delegating(&mut self, id: RequestId, now: Millis, steps: &mut Vec<Step>) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.avoided.insert(request.to, now.plus(AVOID_MS));
        let ticket = self.ticket(id);
        let gone = Message::Progressed(ticket, ProgressNote::Gone);
        steps.push(Step::Send(request.to, Box::new(gone)));
        steps.push(match request.attempt {
            0 => Step::SelectHere(Box::new(request.ask)),
            _ => Step::Fail(id),
        });
    }

    /// Records that a hub has started again and knows nothing of before.
    pub(crate) fn on_hub_restarted(&mut self, hub: SocketAddr) {
        let requests = self.requests.values_mut().filter(|r| r.to == hub);
        requests.for_each(|r| r.forgotten = true);
    }

    /// The upstreams of the requests in flight that no hub counts any more, as theirs is not among
    /// the hubs or has started again.
    pub(crate) fn uncounted<'a>(
        &'a self,
        hubs: &'a [SocketAddr],
    ) -> impl Iterator<Item = &'a Upstream> {
        let sent = self.requests.values();
        let sent = sent.filter(|r| matches!(r.stage, Stage::Sent));
        let uncounted = sent.filter(|r| r.forgotten || !hubs.contains(&r.to));
        uncounted.filter_map(|r| r.upstream.as_ref())
    }

    /// The numbers of the delegated requests by hub.
    pub(crate) fn open(&self) -> BTreeMap<SocketAddr, Vec<u64>> {
        let mut open: BTreeMap<SocketAddr, Vec<u64>> = BTreeMap::new();
        for (id, request) in &self.requests {
            open.entry(request.to).or_default().push(id.0);
        }
        open
    }
}

//! Requests of this daemon for which another one chooses the upstream.
//!
//! News of load is some hundred milliseconds old, and a place at a plain service frees every few
//! ten: daemons that decide by it send in waves. So for each model and service one daemon, a hub,
//! chooses for all, and knows at once what it has sent where. It is asked by datagrams, and asked
//! again; where it does not answer, the daemon chooses itself. Nothing is agreed here: two that
//! choose for the same model only know less of each other's sends.
//!
//! [`Asked`] is the side that asks; `desk` the one that chooses. `docs/ROUTING.md` has the ways
//! weighed.

use crate::message::Message;
use serde::{Deserialize, Serialize};
use shaleline_route::{
    AttemptEnd, AttemptNumber, Limits, RequestPolicy, Route, RouteAction, RouteRequest,
};
use shaleline_types::{
    Adapter, ErrorKind, Identity, IncarnationTag, Millis, Model, Org, RequestId, Service, Upstream,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Without an answer for so long a request is asked for once more: two daemons are one
/// millisecond apart, and a busy one answers within ten.
const ASK_AGAIN_MS: u64 = 25;

/// Without one for so long this daemon chooses: a caller of a plain service waits 150 ms.
const DECIDE_MS: u64 = 60;

/// How often whoever chooses is asked about a request that waits there.
const POLL_MS: u64 = 100;

/// After so many questions without an answer it is taken to be gone.
const MOST_POLLS: u32 = 3;

/// One that did not answer is not asked for so long.
const DOUBT_MS: u64 = 1_000;

/// A request among those of all daemons: the incarnation of its daemon, and its number there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Ticket {
    pub(crate) incarnation: u64,
    pub(crate) id: u64,
}

/// What a request asks for, as it is told.
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

/// A request that asks for an upstream. Times are spans, as no two daemons share a clock.
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

    /// The request as one of this daemon's router, under a number of its own.
    pub(crate) fn into_ask(
        self,
        id: RequestId,
        org: Org,
        limits: Limits,
        now: Millis,
    ) -> RouteRequest {
        RouteRequest {
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
        }
    }
}

/// What became of a request, told to whoever chose its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ProgressNote {
    /// The first byte of its answer came.
    FirstByte(AttemptNumber),
    /// Its send ended.
    Ended(AttemptNumber, EndNote),
    /// Its caller left, or its daemon chose for itself.
    Gone,
}

/// How a send ended, as it is told; see [`End`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum EndNote {
    Whole,
    NotSent,
    Refused,
    Broken,
    Cancelled,
    UpstreamEnded(IncarnationTag),
}

impl EndNote {
    pub(crate) const fn of(end: AttemptEnd) -> Self {
        match end {
            AttemptEnd::Whole => Self::Whole,
            AttemptEnd::NotSent => Self::NotSent,
            AttemptEnd::Refused => Self::Refused,
            AttemptEnd::Broken => Self::Broken,
            AttemptEnd::UpstreamEnded(start) => Self::UpstreamEnded(start),
            AttemptEnd::Cancelled => Self::Cancelled,
        }
    }

    pub(crate) const fn to_end(self) -> AttemptEnd {
        match self {
            Self::Whole => AttemptEnd::Whole,
            Self::NotSent => AttemptEnd::NotSent,
            Self::Refused => AttemptEnd::Refused,
            Self::Broken => AttemptEnd::Broken,
            Self::UpstreamEnded(start) => AttemptEnd::UpstreamEnded(start),
            Self::Cancelled => AttemptEnd::Cancelled,
        }
    }
}

/// The answer to a request that asks for an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Answer {
    /// It waits.
    Queued,
    /// Send it there; its first byte is expected after so many milliseconds.
    Send {
        attempt: AttemptNumber,
        upstream: Upstream,
        expected: u32,
    },
    /// Give up the send.
    Cancel { attempt: AttemptNumber },
    /// Tell its caller that it failed.
    Refuse { kind: ErrorKind, retry: Option<u32> },
    /// Nothing is known of it.
    Unknown,
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

    fn into_action(self, id: RequestId, at: Option<Upstream>) -> Option<RouteAction> {
        match self {
            Self::Queued | Self::Unknown => None,
            Self::Send {
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
                upstream: at?,
            }),
            Self::Refuse { kind, retry } => Some(RouteAction::Refuse {
                id,
                kind,
                retry: retry.map(millis),
            }),
        }
    }
}

/// How far a request has come.
#[derive(Debug, Clone)]
enum Stage {
    /// It was asked for, so long ago; whether again.
    Requested { since: Millis, again: bool },
    /// It waits there; when that was asked last, and how often in vain.
    Queued { asked: Millis, in_vain: u32 },
    /// It is being sent.
    Sent,
}

/// One request that another daemon chooses for.
#[derive(Debug, Clone)]
struct Remote {
    to: SocketAddr,
    stage: Stage,
    /// The newest attempt that was answered with a place to send to, and where.
    attempt: AttemptNumber,
    at: Option<Upstream>,
    ask: RouteRequest,
}

/// What to do next about a request.
#[derive(Debug)]
pub(crate) enum Step {
    /// Send this to whoever chooses.
    Tell(SocketAddr, Box<Message>),
    /// Choose here: it was not sent anywhere yet.
    Decide(Box<RouteRequest>),
    /// Give it up: it was sent, and nobody says where next.
    GiveUp(RequestId),
}

/// The requests of this daemon that others choose for.
#[derive(Debug)]
pub(crate) struct DelegatedRequests {
    incarnation: u64,
    remote: BTreeMap<RequestId, Remote>,
    /// Those that did not answer, and until when they are not asked.
    doubt: BTreeMap<SocketAddr, Millis>,
    ticked: Millis,
}

impl DelegatedRequests {
    pub(crate) fn new(incarnation: u64, now: Millis) -> Self {
        Self {
            incarnation,
            remote: BTreeMap::new(),
            doubt: BTreeMap::new(),
            ticked: now,
        }
    }

    /// Whether that daemon may be asked.
    pub(crate) fn trusts(&self, to: SocketAddr, now: Millis) -> bool {
        self.doubt.get(&to).is_none_or(|until| now >= *until)
    }

    fn ticket(&self, id: RequestId) -> Ticket {
        Ticket {
            incarnation: self.incarnation,
            id: id.0,
        }
    }

    /// RouteNote that daemon for an upstream.
    pub(crate) fn ask(&mut self, ask: RouteRequest, to: SocketAddr, now: Millis) -> Message {
        let message = self.question(&ask, now);
        let remote = Remote {
            to,
            stage: Stage::Requested {
                since: now,
                again: false,
            },
            attempt: 0,
            at: None,
            ask,
        };
        self.remote.insert(remote.ask.id, remote);
        message
    }

    fn question(&self, ask: &RouteRequest, now: Millis) -> Message {
        Message::Ask(self.ticket(ask.id), Box::new(AskNote::of(ask, now)))
    }

    /// Whether another daemon chooses for the request.
    pub(crate) fn has(&self, id: RequestId) -> bool {
        self.remote.contains_key(&id)
    }

    /// Who chooses for the request, where that is another daemon.
    pub(crate) fn chooser_of(&self, id: RequestId) -> Option<SocketAddr> {
        self.remote.get(&id).map(|r| r.to)
    }

    /// Takes in an answer; what the request is to do. Answers come late, twice, or one before
    /// the other.
    pub(crate) fn on_answer(
        &mut self,
        ticket: Ticket,
        answer: Answer,
        now: Millis,
    ) -> Vec<RouteAction> {
        let id = RequestId(ticket.id);
        let remote = self.remote.get_mut(&id);
        let Some(remote) = remote.filter(|_| ticket.incarnation == self.incarnation) else {
            return Vec::new();
        };
        let sent = matches!(remote.stage, Stage::Sent);
        let at = remote.at.clone();
        match &answer {
            Answer::Queued if !sent => {
                remote.stage = Stage::Queued {
                    asked: now,
                    in_vain: 0,
                };
                Vec::new()
            }
            Answer::Queued | Answer::Unknown => Vec::new(),
            Answer::Send { attempt, .. } if *attempt <= remote.attempt => Vec::new(),
            Answer::Send {
                attempt, upstream, ..
            } => {
                // It moves; that the send before is given up may be said later.
                let cancel = Answer::Cancel {
                    attempt: remote.attempt,
                };
                let cancel = cancel.into_action(id, at).filter(|_| sent);
                remote.attempt = *attempt;
                remote.at = Some(upstream.clone());
                remote.stage = Stage::Sent;
                cancel
                    .into_iter()
                    .chain(answer.into_action(id, None))
                    .collect()
            }
            Answer::Cancel { attempt } if *attempt != remote.attempt || !sent => Vec::new(),
            Answer::Cancel { .. } => {
                remote.stage = Stage::Queued {
                    asked: now,
                    in_vain: 0,
                };
                answer.into_action(id, at).into_iter().collect()
            }
            Answer::Refuse { .. } => {
                self.remote.remove(&id);
                answer.into_action(id, at).into_iter().collect()
            }
        }
    }

    /// Tells whoever chose what became of the request.
    pub(crate) fn report(
        &mut self,
        id: RequestId,
        what: ProgressNote,
        now: Millis,
    ) -> Option<(SocketAddr, Message)> {
        let ticket = self.ticket(id);
        let remote = self.remote.get_mut(&id)?;
        let to = remote.to;
        match what {
            ProgressNote::FirstByte(_) => {}
            ProgressNote::Ended(_, EndNote::Whole | EndNote::Cancelled) | ProgressNote::Gone => {
                self.remote.remove(&id);
            }
            // What comes next is said at once, or asked for.
            ProgressNote::Ended(..) => {
                remote.stage = Stage::Queued {
                    asked: now,
                    in_vain: 0,
                };
            }
        }
        Some((to, Message::Progressed(ticket, what)))
    }

    /// RouteNote again, and chooses here where nobody answers.
    pub(crate) fn tick(&mut self, now: Millis) -> Vec<Step> {
        // While this daemon got no time, answers waited as long.
        let late = now.since(self.ticked).saturating_sub(ASK_AGAIN_MS);
        self.ticked = now;
        let incarnation = self.incarnation;
        let mut steps = Vec::new();
        let mut lost = Vec::new();
        for (id, remote) in &mut self.remote {
            let ticket = Ticket {
                incarnation,
                id: id.0,
            };
            match &mut remote.stage {
                Stage::Requested { since, again } => {
                    *since = since.plus(late);
                    let waited = now.since(*since);
                    if waited >= DECIDE_MS {
                        lost.push(*id);
                    } else if waited >= ASK_AGAIN_MS && !*again {
                        *again = true;
                        let note = Box::new(AskNote::of(&remote.ask, now));
                        steps.push(Step::Tell(remote.to, Box::new(Message::Ask(ticket, note))));
                    }
                }
                Stage::Queued { asked, in_vain } => {
                    *asked = asked.plus(late);
                    if now.since(*asked) < POLL_MS {
                        continue;
                    }
                    if *in_vain >= MOST_POLLS {
                        lost.push(*id);
                        continue;
                    }
                    *in_vain += 1;
                    *asked = now;
                    steps.push(Step::Tell(remote.to, Box::new(Message::Poll(ticket))));
                }
                Stage::Sent => {}
            }
        }
        for id in lost {
            self.lose(id, now, &mut steps);
        }
        self.doubt.retain(|_, until| now < *until);
        steps
    }

    /// Whoever was asked does not answer.
    fn lose(&mut self, id: RequestId, now: Millis, steps: &mut Vec<Step>) {
        let Some(remote) = self.remote.remove(&id) else {
            return;
        };
        self.doubt.insert(remote.to, now.plus(DOUBT_MS));
        let ticket = self.ticket(id);
        let gone = Message::Progressed(ticket, ProgressNote::Gone);
        steps.push(Step::Tell(remote.to, Box::new(gone)));
        steps.push(match remote.attempt {
            0 => Step::Decide(Box::new(remote.ask)),
            _ => Step::GiveUp(id),
        });
    }

    /// What is being sent for others that chose: the numbers of requests by who chose.
    pub(crate) fn open(&self) -> BTreeMap<SocketAddr, Vec<u64>> {
        let mut open: BTreeMap<SocketAddr, Vec<u64>> = BTreeMap::new();
        for (id, remote) in &self.remote {
            open.entry(remote.to).or_default().push(id.0);
        }
        open
    }
}

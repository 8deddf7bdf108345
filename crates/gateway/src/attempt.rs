//! One attempt to send a request to an upstream.

use crate::crash_probe::SentAttempt;
use crate::events::{EventSplitter, EventTooLarge};
use crate::job::Job;
use crate::journal::emit;
use crate::long_answer::LongAnswer;
use crate::refuse::log_end;
use crate::request::Permit;
use crate::state::Gateway;
use crate::tunnels::GatewayTunnels;
use crate::{relay, AnswerHead, ForwardContext};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response, StatusCode};
use shaleline_edge::{Exchange, Framing, Reply, ReplyBody, SendError};
use shaleline_route::{AttemptEnd, AttemptNumber, RouteAction, RouteEvent};
use shaleline_types::{Fingerprint, IncarnationTag, LogEvent, Millis, Upstream};
use std::rc::Rc;
use std::time::Duration;

/// The largest part of an answer that is held until its end is known, in bytes. What is larger is
/// passed on as it arrives, and can't be retried at another upstream. It is as much as the body of a
/// failure may have, and far more than most answers have.
const MAX_HELD_BYTES: usize = 65_536;

/// The largest body of a failure or a rejection, in bytes: what the text of a failure needs. An
/// upstream that sends more is sending something else, possibly without end.
const MAX_ERROR_BODY_BYTES: usize = 65_536;

/// Time for which an idle connection is kept if the upstream names none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// A kept connection is closed this long before the upstream closes it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_000);

/// Number of stream pieces that are buffered between the upstream and the caller.
const STREAM_BUFFER: usize = 8;

/// The same for the parts of a long answer, each of which may have some hundred kilobytes.
const LONG_ANSWER_BUFFER: usize = 1;

/// The sends of a request that count as unfit, and not against their upstreams, if this daemon has
/// lost its paths and finds no way around them.
const MAX_UNFIT_SENDS: u32 = 2;

/// The result of an attempt.
pub(crate) enum Outcome {
    /// The caller has its answer, or the answer is being streamed.
    Answered(Reply),
    /// There is no answer; the router decides on the next step.
    Unanswered(Permit),
    /// The upstream answered with a failure, which is passed to the caller unless another upstream
    /// succeeds.
    Failed(Permit, Reply),
}

/// An exchange whose head has arrived, and what the head says about the body.
pub(crate) struct Opened {
    pub(crate) exchange: Exchange,
    pub(crate) answer: AnswerHead,
    pub(crate) headers: HeaderMap,
    pub(crate) status: StatusCode,
}

/// How long to keep the connection on which this answer arrived.
pub(crate) fn idle_timeout(answer: &AnswerHead) -> Duration {
    match answer.keep_alive {
        None => DEFAULT_KEEP_ALIVE,
        Some(keep) if keep > 2 * KEEP_ALIVE_MARGIN => keep - KEEP_ALIVE_MARGIN,
        Some(keep) => keep / 2,
    }
}

/// Why an attempt has no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// See [`SendError::NotSent`].
    NotSent,
    /// See [`SendError::Broken`].
    Broken,
    /// It was sent, and the path to the upstream is broken since.
    PathLost,
    /// The upstream crashed during the attempt.
    Ended,
    /// The answer belongs to another request, is not signed, has no valid status, or its body is not an
    /// upstream's.
    Garbled,
    /// The head of the answer, with the informational responses before it, exceeded its limit.
    HeadTooLarge,
    /// The body of the answer exceeded its limit.
    BodyTooLarge,
    /// The answer ended inside an event, or with a connection that was closed too early.
    Truncated,
    /// The upstream reported that it did not run the request.
    Refused(u16),
    /// The router moved the request to another upstream because this one hangs.
    Moved,
    /// The deadline has passed.
    Late,
}

impl Failure {
    const fn to_end(self, start: IncarnationTag) -> Option<AttemptEnd> {
        match self {
            Self::Ended => Some(AttemptEnd::UpstreamEnded(start)),
            Self::NotSent => Some(AttemptEnd::NotSent),
            Self::Refused(_) => Some(AttemptEnd::Refused),
            Self::PathLost => Some(AttemptEnd::PathBroken),
            Self::Broken
            | Self::Garbled
            | Self::HeadTooLarge
            | Self::BodyTooLarge
            | Self::Truncated => Some(AttemptEnd::Broken),
            Self::Moved | Self::Late => None,
        }
    }
}

impl From<SendError> for Failure {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent => Self::NotSent,
            SendError::Broken | SendError::Stalled => Self::Broken,
            SendError::HeadTooLarge => Self::HeadTooLarge,
            SendError::BodyTooLarge => Self::BodyTooLarge,
            SendError::InvalidStatus => Self::Garbled,
        }
    }
}

fn to_request(
    gw: &Gateway,
    job: &Job,
    upstream: &Upstream,
    resume: Option<&str>,
) -> Request<Full<Bytes>> {
    let passage = ForwardContext {
        left: Millis(job.deadline.since(gw.now()).max(1)),
        upstream: upstream.clone(),
        org: job.org.clone(),
        rank: job.rank(),
        resume: resume.map(str::to_owned),
    };
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    // The path was taken from a parsed request line.
    if let Ok(uri) = job.path.parse() {
        *request.uri_mut() = uri;
    }
    *request.headers_mut() = gw.codec.forward(&job.headers, &passage);
    request
}

/// Sends the request and waits for the head of an answer that belongs to it.
pub(crate) async fn open(
    gw: &Gateway,
    job: &Job,
    sent: &SentAttempt,
    resume: Option<&str>,
) -> Result<Opened, Failure> {
    let upstream = &sent.upstream;
    let Some(target) = gw.target(upstream) else {
        return Err(Failure::NotSent);
    };
    let request = to_request(gw, job, upstream, resume);
    let tunnels = GatewayTunnels::new(gw);
    let exchange = tokio::select! {
        exchange = gw.pool.send_with(&target, request, &tunnels) => exchange?,
        // What may not be repeated may still be answered once the path works again.
        () = tunnels.until_lost(upstream), if job.is_idempotent() => {
            return Err(Failure::PathLost);
        }
    };
    if exchange.relay().is_none() {
        let waited = tunnels.direct_since().map(|at| Millis(gw.now().since(at)));
        gw.with_paths(upstream, |p| {
            p.on_bytes(upstream);
            p.on_answer();
            waited.into_iter().for_each(|w| p.on_head(w));
        });
    }
    let status = exchange.status();
    let headers = exchange.head().headers();
    let answer = gw.codec.answer(status, headers);
    let headers = gw.codec.response_headers(headers);
    if !is_from_upstream(&answer, status, &job.head.id) {
        return Err(Failure::Garbled);
    }
    record_load(gw, upstream, &answer);
    if answer.signed || answer.not_run {
        gw.record_answer(sent, &answer);
        if status == StatusCode::SERVICE_UNAVAILABLE {
            gw.record_rest(sent, &answer, exchange.relay());
        }
    }
    if answer.not_run {
        if status == StatusCode::MISDIRECTED_REQUEST {
            let other = answer.instance.as_deref();
            if other.is_some_and(|i| i != upstream.as_str()) {
                gw.record_replaced(upstream);
            } else {
                gw.record_missing(upstream, job);
            }
        }
        drain(exchange, &answer).await?;
        return Err(Failure::Refused(status.as_u16()));
    }
    Ok(Opened {
        exchange,
        answer,
        headers,
        status,
    })
}

/// Whether an answer is the upstream's to the request with this id. It is stamped, whatever its
/// status, unless it says that the request has not run; a success also names its request. Anything
/// else was answered by another server at the address, and must reach no caller.
fn is_from_upstream(answer: &AnswerHead, status: StatusCode, id: &str) -> bool {
    let own = answer.id.as_deref().is_none_or(|other| other == id);
    let stamped = answer.signed || (answer.not_run && !status.is_success());
    let named = answer.id.is_some() || !status.is_success();
    own && stamped && named && !answer.encoded
}

/// Reads the rest of a rejection, so that its connection can be reused.
async fn drain(mut exchange: Exchange, answer: &AnswerHead) -> Result<(), Failure> {
    match exchange.collect(MAX_ERROR_BODY_BYTES).await {
        Ok(_) => exchange.finish(idle_timeout(answer)),
        Err(SendError::BodyTooLarge) => return Err(Failure::BodyTooLarge),
        // The rejection is known from its head.
        Err(_) => {}
    }
    Ok(())
}

fn record_load(gw: &Gateway, upstream: &Upstream, answer: &AnswerHead) {
    // The slots of engines are counted by the daemons' own reports, which lag less.
    let plain = gw
        .roster
        .borrow()
        .get(upstream)
        .is_some_and(|e| e.held.is_none());
    if let (true, Some(load)) = (plain, answer.load) {
        gw.route(RouteEvent::Report {
            upstream: upstream.clone(),
            load,
        });
    }
}

/// Sends the request once and returns its answer.
pub(crate) async fn send(
    gw: &Rc<Gateway>,
    job: &Rc<Job>,
    mut permit: Permit,
    attempt: AttemptNumber,
    upstream: &Upstream,
) -> Outcome {
    permit.sends += 1;
    permit.reached += 1;
    permit.last_upstream = Some(upstream.clone());
    let sent = gw.begin_send(attempt, upstream);
    let result = if job.rule.repeat.is_stream() {
        match open_stream(gw, job, &mut permit, &sent).await {
            Ok(Opening::Stream(_)) if job.is_idempotent() && gw.has_new_version(&sent) => {
                Err(Failure::Garbled)
            }
            Ok(Opening::Stream(started)) => {
                return start_stream(gw, job, permit, sent, *started);
            }
            Ok(Opening::Failed(whole)) => Ok(receive_whole(&mut permit, &sent, *whole)),
            Err(failure) => Err(failure),
        }
    } else {
        match send_plain(gw, job, &mut permit, &sent).await {
            Ok(PlainAnswer::Long(opened, first)) => {
                return start_long(gw, job, permit, sent, opened, first);
            }
            Ok(PlainAnswer::Whole(whole)) => Ok(receive_whole(&mut permit, &sent, whole)),
            Err(failure) => Err(failure),
        }
    };
    match result {
        Ok((reply, status)) => finish(gw, job, permit, attempt, reply, status),
        Err(failure) => {
            fail(gw, job, &mut permit, &sent, failure).await;
            Outcome::Unanswered(permit)
        }
    }
}

/// Records that an attempt failed, after checking whether its upstream crashed.
pub(crate) async fn fail(
    gw: &Gateway,
    job: &Job,
    permit: &mut Permit,
    sent: &SentAttempt,
    failure: Failure,
) {
    let broke = matches!(
        failure,
        Failure::Broken | Failure::Garbled | Failure::Truncated
    );
    let failure = match broke && gw.has_crashed(sent).await {
        true => Failure::Ended,
        false => failure,
    };
    if failure == Failure::Ended {
        permit.crashed.push(sent.start);
    }
    record_failure(gw, job, permit, sent, failure);
}

/// The digests of a prompt's parts for a log line.
fn parts_text(parts: &[Fingerprint]) -> String {
    let digests: Vec<String> = parts.iter().map(ToString::to_string).collect();
    if digests.is_empty() {
        return "none".to_owned();
    }
    digests.join(",")
}

/// Records that an attempt failed; `failure` says whether its upstream crashed.
pub(crate) fn record_failure(
    gw: &Gateway,
    job: &Job,
    permit: &mut Permit,
    sent: &SentAttempt,
    failure: Failure,
) {
    let SentAttempt {
        attempt,
        upstream,
        start,
        ..
    } = sent;
    if matches!(failure, Failure::NotSent | Failure::Refused(_)) {
        permit.reached -= 1;
    }
    permit.too_large = matches!(failure, Failure::HeadTooLarge | Failure::BodyTooLarge);
    if permit.too_large {
        gw.metrics.count_too_large(failure == Failure::HeadTooLarge);
    }
    let misdirected = Failure::Refused(StatusCode::MISDIRECTED_REQUEST.as_u16());
    if let (true, Some(model)) = (failure == misdirected, &job.head.model) {
        let adapter = job.head.adapter.as_ref();
        gw.report_missing(permit.id(), upstream, model, adapter);
    }
    if matches!(failure, Failure::Refused(_)) && failure != misdirected {
        gw.report_rejection(upstream);
    }
    let lost = failure == Failure::NotSent && gw.with_paths(upstream, |p| p.is_unable());
    if failure == Failure::NotSent && !lost && job.head.model.is_some() {
        gw.with_fleet(upstream, |f| f.record_unreachable(upstream, gw.now()));
    }
    if gw.log_budget.take(gw.now()) {
        let detail = format!(
            "id={} request={} upstream={upstream} start={start} send={attempt} failure={failure:?} \
             first_ms={} route={} asked={} parts={}",
            job.head.id,
            job.identity.request,
            permit.time_to_first_text(job),
            job.rule.name,
            job.route(),
            parts_text(&job.shared_parts()),
        );
        emit(LogEvent::SendFailed, &detail);
    }
    if failure == Failure::Ended {
        gw.record_crash(job, sent, permit.time_to_first(job).is_some());
    }
    let path_broken =
        failure == Failure::Broken && gw.with_paths(upstream, |p| p.is_broken(upstream));
    if let Some(end) = failure.to_end(*start) {
        let end = match (path_broken, lost && permit.sends <= MAX_UNFIT_SENDS) {
            (true, _) => AttemptEnd::PathBroken,
            (false, true) => AttemptEnd::Unfit,
            (false, false) => end,
        };
        permit.end(*attempt, end);
    }
}

/// Runs a step of an attempt until it completes, the router moves the request to another upstream,
/// or its deadline passes.
async fn run_step<T>(
    gw: &Gateway,
    job: &Job,
    permit: &mut Permit,
    step: impl std::future::Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    tokio::select! {
        result = step => result,
        action = permit.next() => match action {
            Some(RouteAction::Cancel { .. }) => Err(Failure::Moved),
            _ => Err(Failure::Late),
        },
        () = gw.clock.sleep_until(job.deadline) => Err(Failure::Late),
    }
}

/// An answer that was read to its end.
struct WholeAnswer {
    opened: Opened,
    body: Bytes,
}

/// An answer that is not a stream.
enum PlainAnswer {
    Whole(WholeAnswer),
    /// A success of more than [`MAX_HELD_BYTES`], with its first part.
    Long(Opened, Bytes),
}

/// Reads an answer to its end, unless it is a long one.
async fn read_plain(mut opened: Opened) -> Result<PlainAnswer, Failure> {
    if !opened.status.is_success() {
        return Ok(PlainAnswer::Whole(collect(opened).await?));
    }
    let (first, ended) = opened.exchange.collect_part(MAX_HELD_BYTES).await?;
    match ended {
        true => Ok(PlainAnswer::Whole(whole(opened, first)?)),
        false => Ok(PlainAnswer::Long(opened, first)),
    }
}

/// Reads a failure to its end.
async fn collect(mut opened: Opened) -> Result<WholeAnswer, Failure> {
    let body = opened.exchange.collect(MAX_ERROR_BODY_BYTES).await?;
    whole(opened, body)
}

fn whole(opened: Opened, body: Bytes) -> Result<WholeAnswer, Failure> {
    match body.is_empty() && opened.exchange.framing() == Framing::Close {
        true => Err(Failure::Truncated),
        false => Ok(WholeAnswer { opened, body }),
    }
}

async fn send_plain(
    gw: &Gateway,
    job: &Job,
    permit: &mut Permit,
    sent: &SentAttempt,
) -> Result<PlainAnswer, Failure> {
    let step = async { read_plain(open(gw, job, sent, None).await?).await };
    let answer = run_step(gw, job, permit, step).await?;
    if let PlainAnswer::Whole(whole) = &answer {
        // Nothing ends the attempt meanwhile: the answer is there.
        gw.check_end(sent, &whole.opened.exchange).await?;
    }
    Ok(answer)
}

/// Converts an upstream's answer to that for the caller.
fn receive_whole(
    permit: &mut Permit,
    sent: &SentAttempt,
    whole: WholeAnswer,
) -> (Reply, StatusCode) {
    let WholeAnswer { opened, body } = whole;
    permit.first_byte(sent.attempt);
    permit.slowdown(sent.attempt, &opened.answer);
    permit.framing = Some(opened.exchange.framing());
    opened.exchange.finish(idle_timeout(&opened.answer));
    let mut reply = Response::new(ReplyBody::from_bytes(body));
    *reply.status_mut() = opened.status;
    *reply.headers_mut() = opened.headers;
    (reply, opened.status)
}

/// Ends the request with an upstream's answer. An upstream's failure is passed to the caller, but
/// an idempotent request is tried at another upstream first.
fn finish(
    gw: &Gateway,
    job: &Job,
    mut permit: Permit,
    attempt: AttemptNumber,
    reply: Reply,
    status: StatusCode,
) -> Outcome {
    if status.is_server_error() {
        permit.end(attempt, AttemptEnd::Broken);
        if job.is_idempotent() {
            return Outcome::Failed(permit, reply);
        }
        log_end(gw, job, &permit, LogEvent::RequestFailed, "upstream-answer");
        gw.metrics.count_request("upstream-answer");
        return Outcome::Answered(reply);
    }
    permit.end(attempt, AttemptEnd::Whole);
    gw.metrics.record_first_byte(gw.now().since(job.arrived));
    gw.metrics.count_request("ok");
    log_end(gw, job, &permit, LogEvent::RequestEnded, "ok");
    Outcome::Answered(reply)
}

/// The beginning of an answer on a stream route.
enum Opening {
    Stream(Box<StartedStream>),
    /// A failure, which has a short body.
    Failed(Box<WholeAnswer>),
}

async fn open_stream(
    gw: &Gateway,
    job: &Job,
    permit: &mut Permit,
    sent: &SentAttempt,
) -> Result<Opening, Failure> {
    let id = permit.id();
    let step = async {
        let mut opened = open(gw, job, sent, None).await?;
        if !opened.status.is_success() {
            return Ok(Opening::Failed(Box::new(collect(opened).await?)));
        }
        let mut events = EventSplitter::new(&gw.partial_events);
        let on_bytes = || gw.on_progress(id, sent.attempt, &sent.upstream);
        let first = first_events(&mut opened.exchange, &mut events, on_bytes).await?;
        Ok(Opening::Stream(Box::new(StartedStream {
            opened,
            events,
            first,
        })))
    };
    let opening = run_step(gw, job, permit, step).await?;
    if let Opening::Failed(whole) = &opening {
        gw.check_end(sent, &whole.opened.exchange).await?;
    }
    Ok(opening)
}

/// Waits for the first complete event. Until then another upstream may be tried, and a stream
/// without any event has failed unless its framing says that it is complete.
async fn first_events(
    exchange: &mut Exchange,
    events: &mut EventSplitter,
    on_bytes: impl Fn(),
) -> Result<Option<Bytes>, Failure> {
    while let Some(bytes) = exchange.next().await? {
        on_bytes();
        let whole = events.push(&bytes);
        if let Some(whole) = whole.map_err(|EventTooLarge| Failure::Garbled)? {
            return Ok(Some(whole));
        }
    }
    match events.has_partial() || exchange.framing() == Framing::Close {
        true => Err(Failure::Truncated),
        false => Ok(None),
    }
}

/// A stream whose first event has arrived, or which has none.
pub(crate) struct StartedStream {
    pub(crate) opened: Opened,
    pub(crate) events: EventSplitter,
    /// The first events.
    pub(crate) first: Option<Bytes>,
}

fn start_stream(
    gw: &Rc<Gateway>,
    job: &Rc<Job>,
    mut permit: Permit,
    sent: SentAttempt,
    mut started: StartedStream,
) -> Outcome {
    permit.first_byte(sent.attempt);
    let opened = &mut started.opened;
    permit.slowdown(sent.attempt, &opened.answer);
    if job.is_idempotent() {
        permit.version = Some(sent.version.clone());
        gw.record_stream(job, &sent.upstream, &sent.version);
    }
    gw.metrics.record_first_byte(gw.now().since(job.arrived));
    let (sender, body) = ReplyBody::channel(STREAM_BUFFER, None);
    let mut reply = Response::new(body);
    *reply.headers_mut() = std::mem::take(&mut opened.headers);
    *reply.status_mut() = opened.status;
    let relay = relay::Relay {
        gw: Rc::clone(gw),
        job: Rc::clone(job),
        permit,
        sent,
        sender,
    };
    actix_rt::spawn(relay.run(started));
    Outcome::Answered(reply)
}

/// Begins to pass on a long answer.
fn start_long(
    gw: &Rc<Gateway>,
    job: &Rc<Job>,
    mut permit: Permit,
    sent: SentAttempt,
    mut opened: Opened,
    first: Bytes,
) -> Outcome {
    permit.first_byte(sent.attempt);
    permit.slowdown(sent.attempt, &opened.answer);
    permit.framing = Some(opened.exchange.framing());
    gw.metrics.record_first_byte(gw.now().since(job.arrived));
    let length = opened.exchange.length();
    let length = length.map(|rest| rest + first.len() as u64);
    let (sender, body) = ReplyBody::channel(LONG_ANSWER_BUFFER, length);
    let mut reply = Response::new(body);
    *reply.headers_mut() = std::mem::take(&mut opened.headers);
    *reply.status_mut() = opened.status;
    let relay = LongAnswer {
        gw: Rc::clone(gw),
        job: Rc::clone(job),
        permit,
        sent,
        sender,
    };
    actix_rt::spawn(relay.run(opened, first));
    Outcome::Answered(reply)
}

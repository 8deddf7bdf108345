//! A caller's request, from its first byte to its answer.
//!
//! Read in this order: [`Callers::handle`] admits it, `job` decides its waiting time and priority,
//! `attempt` sends it, `relay` passes a stream on, and `refuse` answers if no upstream did.

use crate::attempt::{self, Outcome};
use crate::event_pace::EventPace;
use crate::job::Job;
use crate::journal::emit;
use crate::refuse::{self, Refusal};
use crate::state::Gateway;
use crate::table::Repeat;
use crate::{AnswerHead, Head, Table};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::HOST;
use hyper::Request;
use shaleline_edge::{CallerAddress, Framing, Handler, Reply};
use shaleline_fleet::engine_work;
use shaleline_route::{AttemptEnd, AttemptNumber, Measurement, RouteAction};
use shaleline_types::{
    ErrorKind, Identity, IncarnationTag, LogEvent, Millis, RequestId, Service, SoftwareVersion,
    Upstream,
};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use tokio::sync::mpsc;

/// A request whose caller gives it less than this part of the route's time is a retry.
const RETRY_TIME_PART: (u64, u64) = (19, 20);

/// The timeout of a caller that names none.
const DEFAULT_PATIENCE: Millis = Millis(60_000);

/// Time before the caller's deadline by which an answer must be sent, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 15;

/// A request's registration with the router. Dropping it before the request has ended means that
/// the caller left.
pub(crate) struct Permit {
    gw: Rc<Gateway>,
    id: RequestId,
    actions: mpsc::UnboundedReceiver<RouteAction>,
    /// Whether the request has not ended yet.
    pub(crate) open: bool,
    /// The number of attempts that may have reached an upstream.
    pub(crate) reached: u32,
    pub(crate) sends: u32,
    /// The upstream of the latest attempt.
    pub(crate) last_upstream: Option<Upstream>,
    /// The expected time from the latest attempt to its first byte.
    pub(crate) expected: Millis,
    /// When the first byte and the latest piece arrived, and the longest pause between two pieces.
    first_at: Option<Millis>,
    piece_at: Millis,
    pub(crate) pause: u64,
    /// How the end of the latest answer's body is found.
    pub(crate) framing: Option<Framing>,
    /// Whether the latest answer ended inside an event.
    pub(crate) in_event: bool,
    /// The software version to which it is bound.
    pub(crate) version: Option<SoftwareVersion>,
    /// The upstreams that crashed during its attempts.
    pub(crate) crashed: Vec<IncarnationTag>,
    /// Whether the latest attempt failed because its answer exceeded a limit.
    pub(crate) too_large: bool,
}

impl Permit {
    /// The request's number.
    pub(crate) fn id(&self) -> RequestId {
        self.id
    }

    /// Registers the request and requests an upstream.
    pub(crate) fn ask(gw: &Rc<Gateway>, job: &Job) -> Self {
        let (id, actions) = gw.register();
        let permit = Self {
            gw: Rc::clone(gw),
            id,
            actions,
            open: true,
            reached: 0,
            sends: 0,
            last_upstream: None,
            expected: Millis(0),
            first_at: None,
            piece_at: Millis(0),
            pause: 0,
            framing: None,
            in_event: false,
            version: job.bound.clone(),
            crashed: Vec::new(),
            too_large: false,
        };
        let base = job.base();
        let served = base.is_none_or(|b| gw.router.borrow().is_served(&b));
        gw.begin_wait(id, job);
        gw.request_upstream(job.to_route_request(id, served));
        permit
    }

    /// Waits for the router's next action.
    pub(crate) async fn next(&mut self) -> Option<RouteAction> {
        let action = self.actions.recv().await;
        if matches!(action, Some(RouteAction::Refuse { .. })) {
            self.open = false;
        }
        action
    }

    pub(crate) fn first_byte(&mut self, attempt: AttemptNumber) {
        let now = self.gw.now();
        self.first_at.get_or_insert(now);
        self.piece_at = now;
        self.gw.on_first_byte(self.id, attempt);
    }

    /// The time from the request's arrival to its first byte.
    pub(crate) fn time_to_first(&self, job: &Job) -> Option<u64> {
        self.first_at.map(|f| f.since(job.arrived))
    }

    /// The time to the first byte as text for logs.
    pub(crate) fn time_to_first_text(&self, job: &Job) -> String {
        let first = self.time_to_first(job);
        first.map_or("none".to_owned(), |f| f.to_string())
    }

    pub(crate) fn progress(&mut self, attempt: AttemptNumber) {
        let now = self.gw.now();
        self.pause = self.pause.max(now.since(self.piece_at));
        self.piece_at = now;
        if let Some(from) = &self.last_upstream {
            self.gw.on_progress(self.id, attempt, from);
        }
    }

    /// Reports the slowdown that an upstream named in its answer.
    pub(crate) fn slowdown(&self, attempt: AttemptNumber, answer: &AnswerHead) {
        let Some(slowdown) = answer.load.and_then(|l| l.slowdown) else {
            return;
        };
        let measurement = Measurement {
            slowdown: Some(slowdown),
            ..Measurement::default()
        };
        self.gw.on_measured(self.id, attempt, measurement);
    }

    /// Reports the time between the events of a complete stream.
    pub(crate) fn event_pace(&self, attempt: AttemptNumber, pace: &EventPace) {
        if let Some(measurement) = pace.to_measurement() {
            self.gw.on_measured(self.id, attempt, measurement);
        }
    }

    pub(crate) fn end(&mut self, attempt: AttemptNumber, end: AttemptEnd) {
        self.open &= !matches!(end, AttemptEnd::Whole | AttemptEnd::Cancelled);
        self.gw.on_end(self.id, attempt, end);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.open {
            self.gw.on_caller_gone(self.id);
        }
        self.gw.end_wait(self.id);
        self.gw.unregister(self.id);
    }
}

/// Serves callers.
pub(crate) struct Callers(pub(crate) Rc<Gateway>);

impl Handler for Callers {
    fn handle(&self, request: Request<Incoming>) -> Pin<Box<dyn Future<Output = Reply>>> {
        let gw = Rc::clone(&self.0);
        Box::pin(async move { answer(&gw, request).await })
    }
}

async fn answer(gw: &Rc<Gateway>, request: Request<Incoming>) -> Reply {
    let arrived = gw.now();
    let head = match gw.codec.head(request.headers()) {
        Ok(head) => head,
        Err(e) => {
            let refusal = Refusal::new(ErrorKind::BadRequest).with_reason(e.0);
            return refuse::before_routing(gw, "", &refusal);
        }
    };
    if gw.gate.is_closed() {
        return refuse::before_routing(gw, &head.id, &Refusal::new(ErrorKind::Leaving));
    }
    let Some(table) = gw.table().filter(|_| !gw.is_behind()) else {
        return refuse::before_routing(gw, &head.id, &Refusal::new(ErrorKind::NotReady));
    };
    let id = head.id.clone();
    let job = match to_job(gw, &table, head, request, arrived).await {
        Ok(job) => job,
        Err(refusal) => return refuse::before_routing(gw, &id, &refusal),
    };
    let job = match gw.bind_resumed(job).await {
        Ok(job) => job,
        Err(refusal) => return refuse::before_routing(gw, &id, &refusal),
    };
    match gw.charge_job(&table, job).await {
        Ok(job) => serve(gw, job).await,
        Err(refusal) => refuse::before_routing(gw, &id, &refusal),
    }
}

fn host_of(request: &Request<Incoming>) -> &str {
    let header = request.headers().get(HOST).and_then(|h| h.to_str().ok());
    let host = header.or_else(|| request.uri().host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}

async fn to_job(
    gw: &Gateway,
    table: &Table,
    head: Head,
    request: Request<Incoming>,
    arrived: Millis,
) -> Result<Job, Refusal> {
    let size = |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| {
        name.as_str().len() + value.len() + 4
    };
    let head_size: usize = request.headers().iter().map(size).sum();
    if head_size + request.uri().to_string().len() > table.limits.head {
        return Err(Refusal::new(ErrorKind::HeadTooLarge));
    }
    let rule = table.find(host_of(&request), request.uri().path());
    let mut rule = rule
        .ok_or_else(|| Refusal::new(ErrorKind::NotFound))?
        .clone();
    let org = gw.authenticate(table, &rule, &head)?;
    if let Some(priority) = org.and_then(|o| o.priority) {
        rule.priority = priority;
    }
    let org = org.map(|o| o.name.clone());
    let service = rule.pick(gw.random()).cloned();
    let service = service.ok_or_else(|| Refusal::new(ErrorKind::NoUpstream))?;
    let patience = head.patience.unwrap_or(DEFAULT_PATIENCE).min(rule.timeout);
    let is_retry = patience.0 < rule.timeout.0 * RETRY_TIME_PART.0 / RETRY_TIME_PART.1;
    let deadline = arrived.plus(patience.0.saturating_sub(ANSWER_MARGIN_MS));
    let caller = request.extensions().get::<CallerAddress>().copied();
    let host = host_of(&request).to_owned();
    let (parts, body) = request.into_parts();
    let limit = arrived.plus(table.limits.arrival.0.max(patience.0));
    let body = read_body(body, table.limits.body);
    let body = gw.clock.timeout_at(limit, body);
    let body = tokio::select! {
        biased;
        body = body => body.ok_or_else(|| Refusal::new(ErrorKind::BodyLate))??,
        () = gw.gate.closed() => return Err(Refusal::new(ErrorKind::Leaving)),
    };
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let identity = identity_of(caller, &host, &parts, &body);
    Ok(Job {
        head,
        identity,
        rule,
        service,
        version: table.version,
        method: parts.method,
        path: path.to_owned(),
        headers: parts.headers,
        body,
        arrived,
        is_retry,
        deadline,
        org,
        charge: None,
        bound: None,
    })
}

/// The identity that all attempts of a caller at one request share: each attempt has an id of its
/// own and arrives on a connection of its own, at any daemon.
///
/// The address is not part of it, because a caller has another address in each data centre: with
/// the address included, a request that crashes upstreams crashed nine of them instead of three.
pub(crate) fn identity_of(
    caller: Option<CallerAddress>,
    host: &str,
    parts: &hyper::http::request::Parts,
    body: &[u8],
) -> Identity {
    let caller = caller.map(|c| c.0.to_string()).unwrap_or_default();
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let texts = [parts.method.as_str(), host, path];
    let [method, host, path] = texts.map(str::as_bytes);
    Identity::of(&caller, &[method, host, path, body])
}

async fn read_body(mut body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    let too_large = || Refusal::new(ErrorKind::TooLarge);
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|e| Refusal::new(ErrorKind::BadRequest).with_reason(e.to_string()))?;
        if let Ok(data) = frame.into_data() {
            if whole.len() + data.len() > limit {
                return Err(too_large());
            }
            whole.extend_from_slice(&data);
        }
    }
    Ok(whole.freeze())
}

/// Sends a request until it is answered or refused, at the latest by its deadline.
pub(crate) async fn serve(gw: &Rc<Gateway>, job: Job) -> Reply {
    record_demand(gw, &job);
    let job = Rc::new(job);
    let mut permit = Permit::ask(gw, &job);
    let mut fallback = None;
    loop {
        let can_leave = permit.reached == 0 && fallback.is_none();
        let next = tokio::select! {
            next = gw.clock.timeout_at(job.deadline, permit.next()) => next,
            // What may still run when this process ends is not begun: others serve it at once.
            () = gw.gate.closed(), if can_leave => {
                let refusal = Refusal::new(ErrorKind::Leaving);
                return refuse::after_routing(gw, &job, &permit, refusal);
            }
        };
        let (attempt, upstream) = match next {
            Some(Some(RouteAction::Send {
                attempt,
                upstream,
                expected,
                ..
            })) => {
                permit.expected = expected;
                (attempt, upstream)
            }
            Some(Some(RouteAction::Cancel { .. })) => continue,
            Some(Some(RouteAction::Refuse { kind, retry, .. })) => {
                let retry = retry.or_else(|| retry_after(gw, &job));
                if permit.sends == 0 {
                    gw.record_unmet(&job, retry.unwrap_or_default());
                }
                let refusal = Refusal::new(kind).with_retry(retry);
                return fallback
                    .unwrap_or_else(|| refuse::after_routing(gw, &job, &permit, refusal));
            }
            Some(None) | None => {
                return fallback.unwrap_or_else(|| refuse::timed_out(gw, &job, &permit));
            }
        };
        if let Err(refusal) = gw.recheck(&job) {
            return fallback.unwrap_or_else(|| refuse::after_routing(gw, &job, &permit, refusal));
        }
        let bound = permit.version.is_some();
        if bound && permit.gives_back(&gw.begin_send(attempt, &upstream)) {
            continue;
        }
        gw.end_wait(permit.id);
        if permit.sends == 0 {
            gw.metrics.record_wait(gw.now().since(job.arrived));
        }
        match attempt::send(gw, &job, permit, attempt, &upstream).await {
            Outcome::Answered(reply) => {
                gw.record_served(&job);
                return reply;
            }
            Outcome::Unanswered(returned) => permit = returned,
            Outcome::Failed(returned, reply) => {
                permit = returned;
                fallback = Some(reply);
            }
        }
    }
}

/// Time in which the planner and an engine with a copy load a model that no engine holds.
pub(crate) const LOAD_RETRY: Millis = Millis(1_500);

/// Time in which an adapter that no engine holds is loaded after another one was dropped for it,
/// each by its own order.
pub(crate) const ADAPTER_RETRY: Millis = Millis(500);

/// Time after its takeover within which a new planner orders what callers have waited for.
const TAKEOVER: Millis = Millis(700);

/// Callers refused while there is no planner are spread over that time divided by this, in the
/// order of their refusal: if all retried at once, they would take the slots from each other.
const SPREAD_DIVISOR: u64 = 2;

/// The upper limit of that spread, however long there was no planner; each planner that failed
/// before adds as much.
const MAX_SPREAD: Millis = Millis(3_000);

/// Retry-after time when the engines that serve a model are overloaded. The overload lasts until
/// streams of some seconds end or another engine has loaded the model, so a retry after 250 ms
/// finds no more capacity, and more of the refused chats are not served in the end.
const OVERLOADED_RETRY: Millis = Millis(1_000);

/// The retry-after time, by what the request lacks.
fn retry_after(gw: &Gateway, job: &Job) -> Option<Millis> {
    let base = job.base()?;
    let router = gw.router.borrow();
    Some(if router.is_served(&job.route()) {
        OVERLOADED_RETRY
    } else if router.is_served(&base) {
        load_retry(gw, ADAPTER_RETRY)
    } else {
        load_retry(gw, LOAD_RETRY)
    })
}

/// The retry-after time for a model or adapter that a planner has to load, which takes `takes`.
/// Nothing is loaded while there is no planner.
pub(crate) fn load_retry(gw: &Gateway, takes: Millis) -> Millis {
    match gw.planner_lease.borrow().gap(gw.now()) {
        Some(gap) => {
            // The number of refused callers grows with the number of planners that failed in
            // between.
            let turn = (gap.elapsed.0 / SPREAD_DIVISOR).min(MAX_SPREAD.0) * (1 + gap.failures);
            let load_delay = match takes >= LOAD_RETRY {
                true => gap.load_delay,
                false => Millis(0),
            };
            let waits = gap.remaining.plus(gap.extra.0).plus(TAKEOVER.0);
            takes.plus(waits.0).plus(load_delay.0).plus(turn)
        }
        None => takes,
    }
}

/// Records demand, and requests an adapter that no engine holds from the planner.
pub(crate) fn record_demand(gw: &Gateway, job: &Job) {
    let Some(model) = &job.head.model else {
        return;
    };
    let now = gw.now();
    let route = job.route();
    let shared: u64 = job.head.parts.iter().map(|(_, t)| u64::from(*t)).sum();
    let tokens = job.head.prompt.max(shared) as f64;
    let cost = gw.router.borrow().token_cost(&route);
    let held = gw.slot_times.borrow().expected(model, job.head.output);
    let work = engine_work(tokens * cost, held, gw.request_slots(&job.service));
    let adapter = job.head.adapter.as_ref();
    // A retry was counted at its first attempt: counting it again would double the apparent demand
    // for a model whose callers are refused.
    if !job.is_retry {
        gw.demand.borrow_mut().record(model, adapter, work, now);
    }
    let Some(adapter) = adapter else {
        return;
    };
    let held = {
        let fleets = gw.fleets.borrow();
        let fleet = fleets.get(&job.service);
        fleet.is_some_and(|f| f.serves_adapter(model, adapter))
    };
    // A retry that is refused again is not repeated, so an adapter would be loaded too late for it.
    if !held && !job.is_retry {
        gw.request_adapter(model, adapter);
    }
}

impl Gateway {
    /// The number of requests that an engine of a service runs at once; 0 if it is not declared.
    fn request_slots(&self, service: &Service) -> usize {
        let table = self.table();
        let catalog = table.as_ref().and_then(|t| t.catalog(service));
        catalog.map_or(0, |c| c.request_slots)
    }

    /// Records how long the whole answer to a request held its slot, from its first byte on.
    pub(crate) fn record_slot_time(&self, job: &Job, first: Option<u64>) {
        if let (Some(model), Some(first)) = (&job.head.model, first) {
            let held = self.now().since(job.arrived.plus(first));
            let mut times = self.slot_times.borrow_mut();
            times.record(model, job.head.output, held);
        }
    }

    /// Records that a caller was refused with the retry-after time `retry`, if no engine is known
    /// to serve the model or adapter. Only a first attempt is followed by a retry.
    pub(crate) fn record_unmet(&self, job: &Job, retry: Millis) {
        let Some(model) = job.head.model.as_ref() else {
            return;
        };
        if !self.router.borrow().is_served(&job.route()) {
            let (adapter, now) = (job.head.adapter.as_ref(), self.now());
            if job.is_retry {
                if let Some(adapter) = adapter {
                    self.unmet.borrow_mut().record_again(model, adapter, now);
                }
                return;
            }
            self.unmet.borrow_mut().record(model, adapter, retry, now);
            // A caller without a retry-after time does not retry.
            if let Some(adapter) = adapter.filter(|_| retry > Millis(0)) {
                let mut reports = self.wanted_reports.borrow_mut();
                reports.record(model, adapter, retry, now);
                drop(reports);
                self.send_wanted_reports();
            }
        }
    }

    /// Records that a caller was served.
    pub(crate) fn record_served(&self, job: &Job) {
        if let Some(model) = &job.head.model {
            let adapter = job.head.adapter.as_ref();
            let mut unmet = self.unmet.borrow_mut();
            unmet.on_served(model, adapter, self.now());
        }
    }

    /// Records that another upstream has taken over this one's address. This one is gone, even if
    /// it is still listed.
    pub(crate) fn record_replaced(&self, upstream: &Upstream) {
        emit(
            LogEvent::UpstreamGone,
            &format!("upstream={upstream} reason=replaced"),
        );
        self.roster.borrow_mut().on_replaced(upstream);
        self.apply(crate::roster::Change::Present(upstream.clone()));
    }

    /// Records that an upstream does not hold the model or adapter of a request.
    pub(crate) fn record_missing(&self, upstream: &Upstream, job: &Job) {
        if let Some(model) = &job.head.model {
            let now = self.now();
            let adapter = job.head.adapter.as_ref();
            self.with_fleet(upstream, |f| f.record_absent(upstream, model, adapter, now));
        }
    }
}

impl Repeat {
    /// The name for logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Stream { resumable: true } => "stream-resumable",
            Self::Stream { resumable: false } => "stream",
        }
    }
}

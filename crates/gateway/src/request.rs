//! A caller's request, from its first byte to its answer.
//!
//! Read in this order: [`Callers::handle`] here admits it, `job` says how long it waits and
//! who goes before it, `attempt` sends it, `relay`
//! passes a stream on, `refuse` answers where no upstream did.

use crate::attempt::{self, Ended};
use crate::job::Job;
use crate::journal::emit;
use crate::refuse::{self, Refusal};
use crate::state::Gateway;
use crate::table::Repeat;
use crate::{Head, Table};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::HOST;
use hyper::Request;
use shaleline_edge::{CallerAddress, Handler, Reply};
use shaleline_route::{AttemptEnd, AttemptNumber, RouteAction};
use shaleline_types::{ErrorKind, Identity, LogEvent, Millis, RequestId, Upstream};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use tokio::sync::mpsc;

/// A request whose caller gives it less than this part of the route's time came back.
const BACK_PART: (u64, u64) = (19, 20);

/// A caller that names no time waits so long.
const PATIENCE: Millis = Millis(60_000);

/// An answer must leave so much before the caller's time is over.
const MARGIN: u64 = 15;

/// A request's place in the router. Dropping it before the request has ended means that
/// its caller has gone.
pub(crate) struct Permit {
    gw: Rc<Gateway>,
    id: RequestId,
    actions: mpsc::UnboundedReceiver<RouteAction>,
    /// Whether it has no end yet.
    pub(crate) open: bool,
    /// Sends that may have reached an upstream.
    pub(crate) reached: u32,
    pub(crate) sends: u32,
    /// Where it was sent last.
    pub(crate) last: Option<Upstream>,
    /// When the first byte was expected after the last send.
    pub(crate) expected: Millis,
    /// When the first byte came, and the longest pause between two pieces after it.
    first: Option<Millis>,
    piece: Millis,
    pub(crate) pause: u64,
}

impl Permit {
    /// The request's number.
    pub(crate) fn id(&self) -> RequestId {
        self.id
    }

    /// Asks for an upstream.
    pub(crate) fn ask(gw: &Rc<Gateway>, job: &Job) -> Self {
        let (id, actions) = gw.register();
        let permit = Self {
            gw: Rc::clone(gw),
            id,
            actions,
            open: true,
            reached: 0,
            sends: 0,
            last: None,
            expected: Millis(0),
            first: None,
            piece: Millis(0),
            pause: 0,
        };
        let base = job.base();
        let served = base.is_none_or(|b| gw.router.borrow().is_served(&b));
        gw.request_upstream(job.to_ask(id, served));
        permit
    }

    /// What the router says next.
    pub(crate) async fn next(&mut self) -> Option<RouteAction> {
        let action = self.actions.recv().await;
        if matches!(action, Some(RouteAction::Refuse { .. })) {
            self.open = false;
        }
        action
    }

    pub(crate) fn first_byte(&mut self, attempt: AttemptNumber) {
        let now = self.gw.now();
        self.first.get_or_insert(now);
        self.piece = now;
        self.gw.on_first_byte(self.id, attempt);
    }

    /// The time from the request's arrival to its first byte.
    pub(crate) fn first_after(&self, job: &Job) -> Option<u64> {
        self.first.map(|f| f.since(job.arrived))
    }

    /// The same for logs.
    pub(crate) fn first_text(&self, job: &Job) -> String {
        let first = self.first_after(job);
        first.map_or("none".to_owned(), |f| f.to_string())
    }

    pub(crate) fn progress(&mut self, attempt: AttemptNumber) {
        let now = self.gw.now();
        self.pause = self.pause.max(now.since(self.piece));
        self.piece = now;
        if let Some(from) = &self.last {
            self.gw.on_progress(self.id, attempt, from);
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
            return refuse::early(gw, "", &refusal);
        }
    };
    let Some(table) = gw.table().filter(|_| !gw.is_behind()) else {
        return refuse::early(gw, &head.id, &Refusal::new(ErrorKind::NotReady));
    };
    let id = head.id.clone();
    let job = match to_job(gw, &table, head, request, arrived).await {
        Ok(job) => job,
        Err(refusal) => return refuse::early(gw, &id, &refusal),
    };
    match gw.charge_job(&table, job).await {
        Ok(job) => serve(gw, job).await,
        Err(refusal) => refuse::early(gw, &id, &refusal),
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
    let patience = head.patience.unwrap_or(PATIENCE).min(rule.timeout);
    let came_back = patience.0 < rule.timeout.0 * BACK_PART.0 / BACK_PART.1;
    let deadline = arrived.plus(patience.0.saturating_sub(MARGIN));
    let caller = request.extensions().get::<CallerAddress>().copied();
    let host = host_of(&request).to_owned();
    let (parts, body) = request.into_parts();
    let limit = arrived.plus(table.limits.arrival.0.max(patience.0));
    let body = read_body(body, table.limits.body);
    let body = gw.clock.timeout_at(limit, body).await;
    let body = body.ok_or_else(|| Refusal::new(ErrorKind::BodyLate))??;
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
        came_back,
        deadline,
        org,
        charge: None,
    })
}

/// What a request has in common with its caller's other attempts: each has an id of its own,
/// and comes on a connection of its own to any daemon.
///
/// The address is no part of it: one caller has another address in each data centre, and a request
/// that ends upstreams ended nine in place of three while it was.
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

/// Sends a request until it is answered or refused, in any case by its deadline.
async fn serve(gw: &Rc<Gateway>, job: Job) -> Reply {
    note_demand(gw, &job);
    let job = Rc::new(job);
    let mut permit = Permit::ask(gw, &job);
    let mut spare = None;
    loop {
        let next = gw.clock.timeout_at(job.deadline, permit.next()).await;
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
                let retry = retry.or_else(|| come_back(gw, &job));
                if permit.sends == 0 {
                    gw.note_unmet(&job, retry.unwrap_or_default());
                }
                let refusal = Refusal::new(kind).with_retry(retry);
                return spare.unwrap_or_else(|| refuse::late(gw, &job, &permit, refusal));
            }
            Some(None) | None => {
                return spare.unwrap_or_else(|| refuse::timed_out(gw, &job, &permit));
            }
        };
        if let Err(refusal) = gw.recheck(&job) {
            return spare.unwrap_or_else(|| refuse::late(gw, &job, &permit, refusal));
        }
        if permit.sends == 0 {
            gw.metrics.note_wait(gw.now().since(job.arrived));
        }
        match attempt::send(gw, &job, permit, attempt, &upstream).await {
            Ended::Answered(reply) => {
                gw.note_served(&job);
                return reply;
            }
            Ended::Unanswered(back) => permit = back,
            Ended::Failed(back, reply) => {
                permit = back;
                spare = Some(reply);
            }
        }
    }
}

/// Loading a model that nobody holds takes the planner and an engine with a copy so long.
pub(crate) const LOAD_RETRY: Millis = Millis(1_500);

/// An adapter that nobody holds is there after another one was dropped for it, each by an order of its own.
pub(crate) const ADAPTER_RETRY: Millis = Millis(500);

/// Another planner orders what was waited for meanwhile within so long of its claim.
const SUCCESSOR: Millis = Millis(700);

/// Those who were refused while nobody planned come back over a part of that time, the first of them
/// first: all at once they would find the places taken for each other.
const RETURN_PART: u64 = 2;

/// But no later than so long after the first, however long nobody planned, and as much for each planner
/// that died before.
const RETURN_MOST: Millis = Millis(3_000);

/// What is served is short of engines, and stays so until streams of some seconds end or
/// another engine has loaded the model. Who comes back after a quarter of a second finds
/// no more room: of the chats refused, 55 in place of 65 in 1,000 were not served in the
/// end with a second, by 30 days played with and without.
const CROWDED: Millis = Millis(1_000);

/// When to come back, by what the request lacks.
fn come_back(gw: &Gateway, job: &Job) -> Option<Millis> {
    let base = job.base()?;
    let router = gw.router.borrow();
    Some(if router.is_served(&job.route()) {
        CROWDED
    } else if router.is_served(&base) {
        load_retry(gw, ADAPTER_RETRY)
    } else {
        load_retry(gw, LOAD_RETRY)
    })
}

/// When to come back for what a planner has to load first, where that takes so long. While nobody plans,
/// nothing is loaded.
pub(crate) fn load_retry(gw: &Gateway, takes: Millis) -> Millis {
    match gw.planner_lease.borrow().gap(gw.now()) {
        Some(vacancy) => {
            // As many more come meanwhile as more daemons plan in vain.
            let turn =
                (vacancy.elapsed.0 / RETURN_PART).min(RETURN_MOST.0) * (1 + vacancy.failures);
            let waits = vacancy.remaining.plus(vacancy.extra.0).plus(SUCCESSOR.0);
            takes.plus(waits.0).plus(turn)
        }
        None => takes,
    }
}

/// Counts what is asked for, and tells the planner of an adapter that nobody holds.
pub(crate) fn note_demand(gw: &Gateway, job: &Job) {
    let Some(model) = &job.head.model else {
        return;
    };
    let now = gw.now();
    let route = job.route();
    let shared: u64 = job.head.parts.iter().map(|(_, t)| u64::from(*t)).sum();
    let tokens = job.head.prompt.max(shared) as f64;
    let cost = gw.router.borrow().token_cost(&route);
    let adapter = job.head.adapter.as_ref();
    // Who comes back was counted when it came first: a model that is refused would seem to be
    // asked for twice as much as it is.
    if !job.came_back {
        gw.demand
            .borrow_mut()
            .record(model, adapter, tokens * cost, now);
    }
    let Some(adapter) = adapter else {
        return;
    };
    let held = {
        let fleets = gw.fleets.borrow();
        let fleet = fleets.get(&job.service);
        fleet.is_some_and(|f| f.serves_adapter(model, adapter))
    };
    // Who came back and is refused again does not come once more.
    if !held && !job.came_back {
        gw.want(model, adapter);
    }
}

impl Gateway {
    /// Notes that a caller goes away empty-handed and is told to come back after `retry`; only who came for
    /// the first time counts, and only where no engine is known to serve what it asked for.
    pub(crate) fn note_unmet(&self, job: &Job, retry: Millis) {
        let Some(model) = job.head.model.as_ref().filter(|_| !job.came_back) else {
            return;
        };
        if !self.router.borrow().is_served(&job.route()) {
            let adapter = job.head.adapter.as_ref();
            let mut unmet = self.unmet.borrow_mut();
            unmet.record(model, adapter, retry, self.now());
        }
    }

    /// Notes that a caller is served.
    pub(crate) fn note_served(&self, job: &Job) {
        if let Some(model) = &job.head.model {
            let adapter = job.head.adapter.as_ref();
            let mut unmet = self.unmet.borrow_mut();
            unmet.on_served(model, adapter, self.now());
        }
    }

    /// Asks the planner for an adapter, wherever the planner is.
    fn want(&self, model: &shaleline_types::Model, adapter: &shaleline_types::Adapter) {
        let now = self.now();
        if self.planner_lease.borrow().fence(now).is_some() {
            let key = (model.clone(), adapter.clone());
            self.wanted_adapters.borrow_mut().insert(key, now);
            self.plan_now.notify_one();
            return;
        }
        let planner = self.mesh.borrow().planner(now);
        let message = crate::message::Message::AdapterWanted {
            model: model.clone(),
            adapter: adapter.clone(),
        };
        self.send(planner.map(|p| (p.address, message)).into_iter().collect());
    }

    /// Notes that another upstream has taken over the address of this one, which is gone,
    /// whatever its entry still says.
    pub(crate) fn note_replaced(&self, upstream: &Upstream) {
        emit(
            LogEvent::UpstreamGone,
            &format!("upstream={upstream} reason=replaced"),
        );
        self.roster.borrow_mut().on_replaced(upstream);
        self.apply(crate::roster::Change::Present(upstream.clone()));
    }

    /// Takes back that an upstream holds what it said that it does not.
    pub(crate) fn note_missing(&self, upstream: &Upstream, job: &Job) {
        if let Some(model) = &job.head.model {
            let now = self.now();
            let adapter = job.head.adapter.as_ref();
            self.with_fleet(upstream, |f| f.record_absent(upstream, model, adapter, now));
        }
    }
}

impl Repeat {
    /// The word for logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Stream { resumable: true } => "stream-resumable",
            Self::Stream { resumable: false } => "stream",
        }
    }
}

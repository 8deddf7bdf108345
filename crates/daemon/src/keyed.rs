//! Calls that must run at most once: one send, recorded in the at-most-once journal.
//!
//! A call continues after its caller disconnects: once a key is begun, its end must be recorded,
//! so that the caller's retry gets the response.

use crate::call::{send, Job, Permit};
use crate::caller::WorkerState;
use crate::core::Core;
use crate::emit::emit;
use crate::forward;
use crate::journal::Journal;
use crate::response::add_headers;
use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse};
use shaleline_border::{SendError, ServiceResponse, Services};
use shaleline_log::Priority;
use shaleline_once::{
    Attempt, AttemptAction, AttemptEvent, KeptAnswer, KeyState, OnceBody, OnceKey, OnceMachine,
    OnceVerdict, SendOutcome,
};
use shaleline_route::AttemptEnd;
use shaleline_types::{
    digest, Error, ErrorKind, LogEvent, Outcome, RequestId, Result, Upstream, WriterId,
};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long a holder must be gone before its key is considered lost. This is longer than a
/// heartbeat may be delayed.
const HOLDER_GRACE: Duration = Duration::from_secs(5);
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Runs a keyed call, at the daemon that owns its shard if that daemon is reachable.
pub(crate) async fn run(
    local: &WorkerState,
    request: &HttpRequest,
    job: &Job,
) -> Result<HttpResponse> {
    let key = key_of(job);
    let shard = key.shard(local.core.settings.shards);
    let name = format!("once-{shard}");
    if !forward::is_forwarded(request) {
        let owner = local.core.owner_of(&name);
        if let Some(owner) = owner.filter(|m| m.writer != local.core.writer) {
            if let Some(response) = forward::forward_to(local, request, job, &owner).await {
                return Ok(response);
            }
        }
    }
    let (sender, receiver) = oneshot::channel();
    let runner = Runner::new(local, job, key, shard);
    actix_rt::spawn(async move {
        let _ = sender.send(runner.run().await);
    });
    let ended = receiver
        .await
        .unwrap_or_else(|_| Err(ErrorKind::Internal.into()));
    let (answer, kept) = ended?;
    local
        .core
        .metrics
        .count_request("keyed", if kept { "kept" } else { "ok" });
    Ok(response(&answer, kept, job.id))
}

fn key_of(job: &Job) -> OnceKey {
    let route = format!("services/{}", job.service);
    let key = job.call.key.as_deref().unwrap_or_default();
    OnceKey::from_parts(&job.tenant.org, &route, key)
}

fn response(answer: &KeptAnswer, kept: bool, id: RequestId) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    add_headers(&mut response, Outcome::Run, id);
    response.insert_header(("x-shaleline-kept", kept.to_string()));
    response.content_type(answer.mime.clone());
    match &answer.body {
        Some(body) => response.body(body.clone()),
        None => response.body("the answer was too large to be kept"),
    }
}

/// Executes the actions of an [`Attempt`].
struct Runner {
    core: Arc<Core>,
    services: Rc<dyn Services>,
    job: Job,
    shard: usize,
    attempt: Attempt,
}

type Ended = Result<(KeptAnswer, bool)>;

/// A send that the router has granted and the journal has not yet allowed.
struct GrantedSend {
    permit: Permit,
    number: u32,
    upstream: Upstream,
}

impl Runner {
    fn new(local: &WorkerState, job: &Job, key: OnceKey, shard: u32) -> Self {
        let request = digest(&[
            job.call.method.as_bytes(),
            job.call.path.as_bytes(),
            &job.call.body,
        ]);
        let job = Job {
            tenant: Arc::clone(&job.tenant),
            service: job.service.clone(),
            repeatable: false,
            call: job.call.clone(),
            id: job.id,
        };
        Self {
            core: Arc::clone(&local.core),
            services: Rc::clone(&local.services),
            attempt: Attempt::new(key, job.id, request),
            shard: shard as usize,
            job,
        }
    }

    fn journal(&self) -> &Journal<OnceMachine> {
        &self.core.once[self.shard]
    }

    fn known(&self) -> Option<OnceVerdict> {
        let key = self.attempt.key();
        self.journal()
            .with(|m| m.known(key, self.attempt.request()))
    }

    async fn run(mut self) -> Ended {
        if let Some(verdict) = self.known() {
            let event = AttemptEvent::Known(verdict);
            let actions = self.step(event);
            return self.execute(actions, None).await;
        }
        if self.core.is_log_unavailable() {
            return Err(ErrorKind::LogUnavailable.into());
        }
        let mut permit = Permit::request(&self.core, &self.job);
        let (number, upstream) = permit.granted().await?;
        let granted = GrantedSend {
            permit,
            number,
            upstream,
        };
        let actions = self.step(AttemptEvent::Start);
        self.execute(actions, Some(granted)).await
    }

    fn step(&mut self, event: AttemptEvent) -> Vec<AttemptAction> {
        let now = self.core.now();
        self.attempt.step(event, now)
    }

    /// Executes actions until the attempt ends. Appends after the end continue in the background;
    /// the journal is flushed before the daemon stops.
    async fn execute(
        &mut self,
        first: Vec<AttemptAction>,
        mut granted: Option<GrantedSend>,
    ) -> Ended {
        let mut actions = first;
        loop {
            let mut ended = None;
            let mut event = None;
            for action in actions {
                match action {
                    AttemptAction::Append(body @ OnceBody::Begun { .. }) => {
                        event = Some(self.append_begun(body).await);
                    }
                    AttemptAction::Append(body) => {
                        drop(self.journal().submit(Priority::Once, body));
                    }
                    AttemptAction::Send => event = Some(self.send(granted.take()).await),
                    AttemptAction::Watch(writer) => event = Some(self.watch(writer).await),
                    AttemptAction::Answer { answer, kept } => ended = Some(Ok((answer, kept))),
                    AttemptAction::Fail(kind) => ended = Some(Err(self.failure(kind))),
                }
            }
            match (ended, event) {
                (Some(ended), _) => return ended,
                (None, Some(event)) => actions = self.step(event),
                (None, None) => return Err(ErrorKind::Internal.into()),
            }
        }
    }

    fn failure(&self, kind: ErrorKind) -> Error {
        if kind.answer().outcome == Outcome::Unknown {
            emit(LogEvent::KeyUnknown, &format!("request {}", self.job.id));
        }
        kind.into()
    }

    /// Appends `begun` and waits for the verdict up to the timeout in the settings. After the
    /// timeout, a record that has not been sent yet is withdrawn.
    async fn append_begun(&self, body: OnceBody) -> AttemptEvent {
        let pending = self.journal().submit(Priority::Once, body);
        let wait = Duration::from_millis(self.core.settings.once_wait.0);
        match tokio::time::timeout(wait, pending.done).await {
            Ok(Ok(done)) => AttemptEvent::Judged(done.verdict),
            Ok(Err(_)) | Err(_) => {
                self.journal().withdraw(Priority::Once, pending.ticket);
                emit(LogEvent::KeyAbandoned, &format!("request {}", self.job.id));
                AttemptEvent::Deadline
            }
        }
    }

    async fn send(&self, granted: Option<GrantedSend>) -> AttemptEvent {
        let mut granted = match granted {
            Some(granted) => granted,
            None => match self.acquire().await {
                Ok(granted) => granted,
                Err(_) => return AttemptEvent::Sent(SendOutcome::NotSent),
            },
        };
        let timeout = Duration::from_millis(self.job.tenant.patience);
        let sent = send(&self.core, &*self.services, &self.job, &granted.upstream);
        let (end, result) = match tokio::time::timeout(timeout, sent).await {
            Ok(Ok(answer)) => (
                AttemptEnd::Whole,
                AttemptEvent::Sent(SendOutcome::Answered(kept(&answer))),
            ),
            Ok(Err(SendError::NotSent)) => (
                AttemptEnd::NotSent,
                AttemptEvent::Sent(SendOutcome::NotSent),
            ),
            Ok(Err(SendError::Refused)) => (
                AttemptEnd::Refused,
                AttemptEvent::Sent(SendOutcome::NotSent),
            ),
            Ok(Err(SendError::Broken)) => {
                (AttemptEnd::Broken, AttemptEvent::Sent(SendOutcome::Unknown))
            }
            Err(_) => (AttemptEnd::Broken, AttemptEvent::Deadline),
        };
        granted.permit.end(granted.number, end);
        result
    }

    async fn acquire(&self) -> Result<GrantedSend> {
        let mut permit = Permit::request(&self.core, &self.job);
        let (number, upstream) = permit.granted().await?;
        Ok(GrantedSend {
            permit,
            number,
            upstream,
        })
    }

    /// Follows a key held by another attempt until that attempt ends or its holder is gone.
    async fn watch(&self, holder: WriterId) -> AttemptEvent {
        let journal = self.journal();
        let mut watch = journal.watch();
        let started = self.core.now();
        let mut gone = None;
        loop {
            match journal.with(|m| m.get(self.attempt.key()).cloned()) {
                Some(KeyState::Finished(answer)) => return AttemptEvent::OtherFinished(answer),
                Some(KeyState::Lost) => return AttemptEvent::OtherLost,
                Some(KeyState::Free) | None => return AttemptEvent::OtherAbandoned,
                Some(KeyState::Begun { .. }) => {}
            }
            let now = self.core.now();
            if now.since(started) > self.job.tenant.patience {
                return AttemptEvent::Deadline;
            }
            if self.core.members().is_alive(holder) {
                gone = None;
            } else {
                let since = *gone.get_or_insert(now);
                if now.since(since) >= HOLDER_GRACE.as_millis() as u64 {
                    return AttemptEvent::OtherLost;
                }
            }
            let _ = tokio::time::timeout(WATCH_POLL_INTERVAL, watch.changed()).await;
        }
    }
}

fn kept(answer: &ServiceResponse) -> KeptAnswer {
    KeptAnswer {
        status: answer.status,
        mime: answer.mime.clone(),
        body: Some(String::from_utf8_lossy(&answer.body).into_owned()),
    }
}

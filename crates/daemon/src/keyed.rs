//! Calls that must not be repeated: the at-most-once journal around one send.
//!
//! The work goes on when the caller goes away: once a key is begun, its end is to be
//! recorded, so that the caller's repeat gets the answer.

use crate::answer::mark;
use crate::call::{send, Job, Permit};
use crate::caller::Local;
use crate::core::Core;
use crate::emit::emit;
use crate::forward;
use crate::journal::Journal;
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

/// How long a holder must be gone before its key counts as lost: longer than a heartbeat
/// may be late.
const HOLDER_GRACE: Duration = Duration::from_secs(5);
const WATCH_POLL: Duration = Duration::from_millis(500);

/// Runs a keyed call, at the daemon that its shard belongs to where that can be reached.
pub(crate) async fn run(local: &Local, request: &HttpRequest, job: &Job) -> Result<HttpResponse> {
    let key = key_of(job);
    let shard = key.shard(local.core.settings.shards);
    let name = format!("once-{shard}");
    if !forward::is_forwarded(request) {
        let owner = local.core.owner_of(&name);
        if let Some(owner) = owner.filter(|m| m.writer != local.core.writer) {
            if let Some(response) = forward::to(local, request, job, &owner).await {
                return Ok(response);
            }
        }
    }
    let (tell, told) = oneshot::channel();
    let runner = Runner::new(local, job, key, shard);
    actix_rt::spawn(async move {
        let _ = tell.send(runner.run().await);
    });
    let ended = told
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
    mark(&mut response, Outcome::Run, id);
    response.insert_header(("x-shaleline-kept", kept.to_string()));
    response.content_type(answer.mime.clone());
    match &answer.body {
        Some(body) => response.body(body.clone()),
        None => response.body("the answer was too large to be kept"),
    }
}

/// Carries out what an [`Attempt`] decides.
struct Runner {
    core: Arc<Core>,
    services: Rc<dyn Services>,
    job: Job,
    shard: usize,
    attempt: Attempt,
}

type Ended = Result<(KeptAnswer, bool)>;

/// A send that the router has allowed, until the journal does.
struct Allowed {
    permit: Permit,
    number: u32,
    upstream: Upstream,
}

impl Runner {
    fn new(local: &Local, job: &Job, key: OnceKey, shard: u32) -> Self {
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
            return self.carry_out(actions, None).await;
        }
        if self.core.is_log_away() {
            return Err(ErrorKind::LogUnavailable.into());
        }
        let mut permit = Permit::ask(&self.core, &self.job);
        let (number, upstream) = permit.granted().await?;
        let allowed = Allowed {
            permit,
            number,
            upstream,
        };
        let actions = self.step(AttemptEvent::Start);
        self.carry_out(actions, Some(allowed)).await
    }

    fn step(&mut self, event: AttemptEvent) -> Vec<AttemptAction> {
        let now = self.core.now();
        self.attempt.step(event, now)
    }

    /// Carries actions out until the attempt has its end. The appends that follow the end
    /// go on in the background; their journal is flushed before the daemon stops.
    async fn carry_out(
        &mut self,
        first: Vec<AttemptAction>,
        mut allowed: Option<Allowed>,
    ) -> Ended {
        let mut actions = first;
        loop {
            let mut ended = None;
            let mut event = None;
            for action in actions {
                match action {
                    AttemptAction::Append(body @ OnceBody::Begun { .. }) => {
                        event = Some(self.ask(body).await);
                    }
                    AttemptAction::Append(body) => {
                        drop(self.journal().submit(Priority::Once, body));
                    }
                    AttemptAction::Send => event = Some(self.send(allowed.take()).await),
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

    /// Appends `begun` and waits for the verdict, not longer than the settings allow. A
    /// record that has not left yet is taken back.
    async fn ask(&self, body: OnceBody) -> AttemptEvent {
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

    async fn send(&self, allowed: Option<Allowed>) -> AttemptEvent {
        let mut allowed = match allowed {
            Some(allowed) => allowed,
            None => match self.allow().await {
                Ok(allowed) => allowed,
                Err(_) => return AttemptEvent::Sent(SendOutcome::NotSent),
            },
        };
        let patience = Duration::from_millis(self.job.tenant.patience);
        let sent = send(&self.core, &*self.services, &self.job, &allowed.upstream);
        let (end, result) = match tokio::time::timeout(patience, sent).await {
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
        allowed.permit.end(allowed.number, end);
        result
    }

    async fn allow(&self) -> Result<Allowed> {
        let mut permit = Permit::ask(&self.core, &self.job);
        let (number, upstream) = permit.granted().await?;
        Ok(Allowed {
            permit,
            number,
            upstream,
        })
    }

    /// Follows a key that another attempt holds until it ends or its holder is gone.
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
            let _ = tokio::time::timeout(WATCH_POLL, watch.changed()).await;
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

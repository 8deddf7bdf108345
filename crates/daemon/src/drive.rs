//! Takes one request to generate through the router to engines and back.

use crate::completion::Completion;
use crate::core::{Core, InFlight};
use futures_util::StreamExt;
use shaleline_border::{Engines, GenerateEvent, GenerateRequest, GenerateStream, SendError};
use shaleline_config::Tenant;
use shaleline_route::{
    prefix_chain, AttemptEnd, Limits, RequestPolicy, Route, RouteAction, RouteEvent, RouteRequest,
};
use shaleline_types::{Error, ErrorKind, LogEvent, Millis, RequestId, Upstream};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc;

/// How often the router is told that tokens still come.
const PROGRESS: u64 = 250;

/// What the caller's side gets, in order: tokens, then one end or failure.
#[derive(Debug)]
pub(crate) enum Out {
    Token(String),
    End { total: u32 },
    Fail(Error),
}

/// The limits of an organisation.
pub(crate) fn limits(tenant: &Tenant) -> Limits {
    Limits {
        rate: tenant.rate,
        concurrency: tenant.concurrency,
        tokens: tenant.tokens,
    }
}

/// Tells the router that the caller went away, unless the request has ended.
struct Guard {
    core: Arc<Core>,
    id: RequestId,
    ended: bool,
    _in_flight: InFlight,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.ended {
            self.core.route(RouteEvent::CallerGone(self.id));
        }
        self.core.unregister(self.id);
    }
}

/// One request on its way.
pub(crate) struct Drive {
    core: Arc<Core>,
    engines: Rc<dyn Engines>,
    completion: Completion,
    id: RequestId,
    blocks: Vec<u64>,
    priority: u8,
    arrived: Millis,
    position: u32,
    told: Millis,
    guard: Guard,
    out: mpsc::UnboundedSender<Out>,
}

/// How one send went on.
enum Step {
    /// The answer is whole.
    Whole,
    /// The send ended otherwise; the router decides what next.
    Ended(AttemptEnd),
    /// The router gave this attempt up and has sent or will send another.
    Superseded,
    /// The caller went away.
    Gone,
}

impl Drive {
    /// Starts a request. Its outcome arrives at the returned receiver; dropping that
    /// cancels it. Tokens are taken off the engine at its pace, so that a slow reader
    /// holds none of its places; what is buffered is bounded by the answer's length.
    pub(crate) fn start(
        core: &Arc<Core>,
        engines: &Rc<dyn Engines>,
        tenant: &Tenant,
        completion: Completion,
        id: RequestId,
    ) -> mpsc::UnboundedReceiver<Out> {
        let (out, outs) = mpsc::unbounded_channel();
        let now = core.now();
        let salt = tenant.org.as_str();
        let ask = RouteRequest {
            id,
            org: tenant.org.clone(),
            route: Route::Model {
                model: completion.item.model.clone(),
                adapter: completion.item.adapter.clone(),
            },
            priority: tenant.priority,
            weight: tenant.weight,
            cost: completion.cost(),
            prefix: prefix_chain(salt, &completion.prompt),
            block_sizes: Vec::new(),
            due: now.plus(tenant.patience),
            repeatable: true,
            limits: limits(tenant),
            policy: RequestPolicy::default(),
            identity: None,
        };
        core.demand()
            .record(&completion.item.model, ask.cost as f64, now);
        let actions = core.register(id);
        let drive = Self {
            core: Arc::clone(core),
            engines: Rc::clone(engines),
            completion,
            id,
            blocks: ask.prefix.clone(),
            priority: tenant.priority,
            arrived: now,
            position: 0,
            told: now,
            guard: Guard {
                core: Arc::clone(core),
                id,
                ended: false,
                _in_flight: core.enter(),
            },
            out,
        };
        core.route(RouteEvent::Arrive(Box::new(ask)));
        actix_rt::spawn(drive.run(actions));
        outs
    }

    async fn run(mut self, mut actions: mpsc::UnboundedReceiver<RouteAction>) {
        loop {
            let action = tokio::select! {
                action = actions.recv() => action,
                () = self.out.closed() => return,
            };
            match action {
                Some(RouteAction::Send {
                    attempt, upstream, ..
                }) => {
                    if self.attempt(attempt, &upstream, &mut actions).await {
                        return;
                    }
                }
                Some(RouteAction::Refuse { kind, retry, .. }) => {
                    self.refuse(kind, retry);
                    return;
                }
                Some(RouteAction::Cancel { .. }) => {}
                None => return,
            }
        }
    }

    /// Makes one send. Returns whether the request is over.
    async fn attempt(
        &mut self,
        attempt: u32,
        upstream: &Upstream,
        actions: &mut mpsc::UnboundedReceiver<RouteAction>,
    ) -> bool {
        let id = self.id;
        match self.send(attempt, upstream, actions).await {
            Step::Whole => {
                self.guard.ended = true;
                let end = AttemptEnd::Whole;
                self.core.route(RouteEvent::Ended { id, attempt, end });
                true
            }
            Step::Ended(end) => {
                self.core.route(RouteEvent::Ended { id, attempt, end });
                false
            }
            Step::Superseded => {
                self.cancel(attempt, upstream);
                false
            }
            Step::Gone => {
                self.cancel(attempt, upstream);
                true
            }
        }
    }

    fn cancel(&self, attempt: u32, upstream: &Upstream) {
        let directory = self.core.directory.read().expect("no holder panics");
        let Some(address) = directory.address(upstream) else {
            return;
        };
        let engines = Rc::clone(&self.engines);
        let id = self.id;
        actix_rt::spawn(async move { engines.cancel(&address, id, attempt).await });
    }

    async fn send(
        &mut self,
        attempt: u32,
        upstream: &Upstream,
        actions: &mut mpsc::UnboundedReceiver<RouteAction>,
    ) -> Step {
        let target = {
            let directory = self.core.directory.read().expect("no holder panics");
            let item = directory.item_on(upstream, &self.completion.item);
            directory.address(upstream).zip(item)
        };
        let Some((address, item)) = target else {
            return Step::Ended(AttemptEnd::NotSent);
        };
        let request = GenerateRequest {
            id: self.id,
            attempt,
            item,
            prompt: self.completion.prompt.clone(),
            tokens: self.completion.tokens,
            from: self.position,
            priority: self.priority,
            blocks: self.blocks.clone(),
        };
        let engines = Rc::clone(&self.engines);
        let opened = tokio::select! {
            opened = engines.generate(&address, &request) => opened,
            () = superseded(actions) => return Step::Superseded,
            () = self.out.closed() => return Step::Gone,
        };
        match opened {
            Ok(pieces) => self.pass_on(attempt, pieces, actions).await,
            Err(SendError::NotSent) => Step::Ended(AttemptEnd::NotSent),
            Err(SendError::Refused) => Step::Ended(AttemptEnd::Refused),
            Err(SendError::Broken) => Step::Ended(AttemptEnd::Broken),
        }
    }

    /// Passes tokens on. The position must go up one by one: an answer is whole or it is
    /// clearly broken, never silently short.
    async fn pass_on(
        &mut self,
        attempt: u32,
        mut pieces: GenerateStream,
        actions: &mut mpsc::UnboundedReceiver<RouteAction>,
    ) -> Step {
        loop {
            let piece = tokio::select! {
                biased;
                () = superseded(actions) => return Step::Superseded,
                () = self.out.closed() => return Step::Gone,
                piece = pieces.next() => piece,
            };
            match piece {
                Some(Ok(GenerateEvent::Token { index, text })) if index == self.position => {
                    self.position += 1;
                    self.tell_progress(attempt);
                    if self.out.send(Out::Token(text)).is_err() {
                        return Step::Gone;
                    }
                }
                Some(Ok(GenerateEvent::End { total })) if total == self.position => {
                    self.core.metrics.count_tokens(u64::from(total));
                    self.core.metrics.count_request("model", "ok");
                    let _ = self.out.send(Out::End { total });
                    return Step::Whole;
                }
                Some(Ok(_) | Err(_)) | None => return Step::Ended(AttemptEnd::Broken),
            }
        }
    }

    fn tell_progress(&mut self, attempt: u32) {
        let now = self.core.now();
        let id = self.id;
        if self.position == 1 {
            self.told = now;
            self.core.metrics.note_first_token(now.since(self.arrived));
            self.core.route(RouteEvent::FirstByte { id, attempt });
        } else if now.since(self.told) >= PROGRESS {
            self.told = now;
            self.core.route(RouteEvent::Progress { id, attempt });
        }
    }

    /// What was refused before its first token did not run, as far as its caller goes:
    /// a completion has no effect but its answer. Later it is a broken stream.
    fn refuse(&mut self, kind: ErrorKind, retry: Option<Millis>) {
        self.guard.ended = true;
        let kind = if self.position > 0 {
            ErrorKind::BrokenStream
        } else {
            kind
        };
        let mut error = Error::from(kind);
        if let Some(retry) = retry {
            error = error.with_retry_after(retry);
        }
        self.core.metrics.count_request("model", kind.answer().code);
        if kind == ErrorKind::BrokenStream {
            crate::emit::emit(
                LogEvent::LateAnswer,
                &format!("request {} broke off", self.id),
            );
        }
        let _ = self.out.send(Out::Fail(error));
    }
}

/// Resolves when the router takes the running attempt back.
pub(crate) async fn superseded(actions: &mut mpsc::UnboundedReceiver<RouteAction>) {
    loop {
        match actions.recv().await {
            Some(RouteAction::Cancel { .. }) => return,
            Some(_) => {}
            None => std::future::pending().await,
        }
    }
}

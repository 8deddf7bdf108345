//! Runs one generation request: routes it, sends it to engines and forwards the tokens.

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

/// The interval at which progress is reported to the router.
const PROGRESS_INTERVAL_MS: u64 = 250;

/// An event for the caller's side: tokens in order, then one end or failure.
#[derive(Debug)]
pub(crate) enum CompletionEvent {
    Token(String),
    End { total: u32 },
    Fail(Error),
}

/// Returns the limits of an organisation.
pub(crate) fn limits(tenant: &Tenant) -> Limits {
    Limits {
        rate: tenant.rate,
        concurrency: tenant.concurrency,
        tokens: tenant.tokens,
    }
}

/// Reports to the router that the caller left, unless the request has ended.
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

/// The state of one request.
pub(crate) struct GenerationTask {
    core: Arc<Core>,
    engines: Rc<dyn Engines>,
    completion: Completion,
    id: RequestId,
    blocks: Vec<u64>,
    priority: u8,
    arrived: Millis,
    position: u32,
    reported: Millis,
    guard: Guard,
    out: mpsc::UnboundedSender<CompletionEvent>,
}

/// The outcome of one send.
enum SendResult {
    /// The response is complete.
    Complete,
    /// The send ended otherwise; the router decides how to continue.
    Ended(AttemptEnd),
    /// The router abandoned this attempt and has sent or will send another.
    Superseded,
    /// The caller left.
    CallerLeft,
}

impl GenerationTask {
    /// Starts a request. Its events arrive at the returned receiver; dropping the receiver
    /// cancels the request. Tokens are read at the engine's pace, so that a slow caller does not
    /// occupy an engine slot; the buffer is bounded by the response's length.
    pub(crate) fn start(
        core: &Arc<Core>,
        engines: &Rc<dyn Engines>,
        tenant: &Tenant,
        completion: Completion,
        id: RequestId,
    ) -> mpsc::UnboundedReceiver<CompletionEvent> {
        let (out, events) = mpsc::unbounded_channel();
        let now = core.now();
        let salt = tenant.org.as_str();
        let request = RouteRequest {
            daemon: 0,
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
            target: None,
            limits: limits(tenant),
            policy: RequestPolicy::default(),
            identity: None,
            parts: Vec::new(),
            excluded: std::collections::BTreeMap::new(),
            version: None,
        };
        core.demand()
            .record(&completion.item.model, request.cost as f64, now);
        let actions = core.register(id);
        let drive = Self {
            core: Arc::clone(core),
            engines: Rc::clone(engines),
            completion,
            id,
            blocks: request.prefix.clone(),
            priority: tenant.priority,
            arrived: now,
            position: 0,
            reported: now,
            guard: Guard {
                core: Arc::clone(core),
                id,
                ended: false,
                _in_flight: core.track_request(),
            },
            out,
        };
        core.route(RouteEvent::Arrive(Box::new(request)));
        actix_rt::spawn(drive.run(actions));
        events
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

    /// Makes one attempt and returns whether the request has ended.
    async fn attempt(
        &mut self,
        attempt: u32,
        upstream: &Upstream,
        actions: &mut mpsc::UnboundedReceiver<RouteAction>,
    ) -> bool {
        let id = self.id;
        match self.send(attempt, upstream, actions).await {
            SendResult::Complete => {
                self.guard.ended = true;
                let end = AttemptEnd::Whole;
                self.core.route(RouteEvent::Ended { id, attempt, end });
                true
            }
            SendResult::Ended(end) => {
                self.core.route(RouteEvent::Ended { id, attempt, end });
                false
            }
            SendResult::Superseded => {
                self.cancel(attempt, upstream);
                false
            }
            SendResult::CallerLeft => {
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
    ) -> SendResult {
        let target = {
            let directory = self.core.directory.read().expect("no holder panics");
            let item = directory.item_on(upstream, &self.completion.item);
            directory.address(upstream).zip(item)
        };
        let Some((address, item)) = target else {
            return SendResult::Ended(AttemptEnd::NotSent);
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
            () = superseded(actions) => return SendResult::Superseded,
            () = self.out.closed() => return SendResult::CallerLeft,
        };
        match opened {
            Ok(events) => self.forward_tokens(attempt, events, actions).await,
            Err(SendError::NotSent) => SendResult::Ended(AttemptEnd::NotSent),
            Err(SendError::Refused) => SendResult::Ended(AttemptEnd::Refused),
            Err(SendError::Broken) => SendResult::Ended(AttemptEnd::Broken),
        }
    }

    /// Forwards tokens to the caller. Positions must be consecutive, so that a response is either
    /// complete or reported as broken, never silently truncated.
    async fn forward_tokens(
        &mut self,
        attempt: u32,
        mut events: GenerateStream,
        actions: &mut mpsc::UnboundedReceiver<RouteAction>,
    ) -> SendResult {
        loop {
            let event = tokio::select! {
                biased;
                () = superseded(actions) => return SendResult::Superseded,
                () = self.out.closed() => return SendResult::CallerLeft,
                event = events.next() => event,
            };
            match event {
                Some(Ok(GenerateEvent::Token { index, text })) if index == self.position => {
                    self.position += 1;
                    self.report_progress(attempt);
                    if self.out.send(CompletionEvent::Token(text)).is_err() {
                        return SendResult::CallerLeft;
                    }
                }
                Some(Ok(GenerateEvent::End { total })) if total == self.position => {
                    self.core.metrics.count_tokens(u64::from(total));
                    self.core.metrics.count_request("model", "ok");
                    let _ = self.out.send(CompletionEvent::End { total });
                    return SendResult::Complete;
                }
                Some(Ok(_) | Err(_)) | None => return SendResult::Ended(AttemptEnd::Broken),
            }
        }
    }

    fn report_progress(&mut self, attempt: u32) {
        let now = self.core.now();
        let id = self.id;
        if self.position == 1 {
            self.reported = now;
            self.core
                .metrics
                .record_first_token(now.since(self.arrived));
            self.core.route(RouteEvent::FirstByte { id, attempt });
        } else if now.since(self.reported) >= PROGRESS_INTERVAL_MS {
            self.reported = now;
            self.core.route(RouteEvent::Progress { id, attempt });
        }
    }

    /// Fails the request. Before the first token it counts as not run, because a completion has
    /// no effect except its response. After that it is a broken stream.
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
        let _ = self.out.send(CompletionEvent::Fail(error));
    }
}

/// Resolves when the router cancels the running attempt.
pub(crate) async fn superseded(actions: &mut mpsc::UnboundedReceiver<RouteAction>) {
    loop {
        match actions.recv().await {
            Some(RouteAction::Cancel { .. }) => return,
            Some(_) => {}
            None => std::future::pending().await,
        }
    }
}

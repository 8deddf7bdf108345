//! The gateway's own answers, if no upstream gave one.

use crate::job::Job;
use crate::journal::emit;
use crate::request::Permit;
use crate::state::Gateway;
use bytes::Bytes;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use shaleline_edge::{Framing, Reply, ReplyBody};
use shaleline_types::{ErrorKind, LogEvent, Millis, Org, Outcome};

/// Why a request gets no upstream's answer.
#[derive(Debug, Clone)]
pub(crate) struct Refusal {
    kind: ErrorKind,
    retry: Option<Millis>,
    reason: String,
    /// The organisation of the request.
    org: Option<Org>,
}

impl Refusal {
    pub(crate) fn new(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry: kind.answer().retry_after,
            reason: kind.description().to_owned(),
            org: None,
        }
    }

    /// The code of its kind.
    pub(crate) fn code(&self) -> &'static str {
        self.kind.answer().code
    }

    /// Replaces the reason by a more exact one.
    pub(crate) fn with_reason(mut self, reason: String) -> Self {
        self.reason = reason;
        self
    }

    /// Sets the organisation of the request.
    pub(crate) fn with_org(mut self, org: Org) -> Self {
        self.org = Some(org);
        self
    }

    /// Sets the retry-after time, if a better one is known than that of the kind.
    pub(crate) fn with_retry(mut self, retry: Option<Millis>) -> Self {
        self.retry = retry.or(self.retry);
        self
    }
}

fn reply(gw: &Gateway, id: &str, refusal: &Refusal) -> Reply {
    let answer = refusal.kind.answer();
    let body = serde_json::json!({
        "error": answer.code,
        "detail": refusal.reason,
        "outcome": answer.outcome.as_str(),
    });
    let mut reply = Response::new(ReplyBody::from_bytes(Bytes::from(body.to_string())));
    *reply.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *reply.headers_mut() = gw.codec.refusal(id, refusal.retry);
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    gw.metrics.count_request(answer.code);
    reply
}

/// Refuses a request that has not been registered with the router.
pub(crate) fn before_routing(gw: &Gateway, id: &str, refusal: &Refusal) -> Reply {
    if gw.log_budget.take(gw.now()) {
        let code = refusal.code();
        let org = refusal.org.as_ref().map_or("none", |o| o.as_str());
        let detail = format!("id={id} code={code} org={org} reason={:?}", refusal.reason);
        emit(LogEvent::RequestRefused, &detail);
    }
    reply(gw, id, refusal)
}

/// Answers a request that the router gave up. If the request may have run, the answer does not say
/// that it did not.
pub(crate) fn after_routing(gw: &Gateway, job: &Job, permit: &Permit, refusal: Refusal) -> Reply {
    let refusal = match (permit.reached, refusal.kind.answer().outcome) {
        // Other copies of the request may have run, whatever this one reached.
        _ if refusal.kind == ErrorKind::EndsUpstreams => refusal,
        (0, Outcome::Unknown) => Refusal::new(ErrorKind::NoUpstream),
        (1.., Outcome::NotRun) => Refusal::new(ErrorKind::UpstreamFailed),
        _ => refusal,
    };
    // Nothing of an answer that is no stream has reached the caller.
    let broken = refusal.kind == ErrorKind::BrokenStream && !job.rule.repeat.is_stream();
    let refusal = match broken {
        true => Refusal::new(ErrorKind::UpstreamFailed),
        false => refusal,
    };
    let refusal = match refusal.kind == ErrorKind::UpstreamFailed && permit.too_large {
        true => Refusal::new(ErrorKind::AnswerTooLarge),
        false => refusal,
    };
    let event = if refusal.kind.answer().outcome == Outcome::NotRun {
        if let Some(charge) = &job.charge {
            gw.refund(charge);
        }
        LogEvent::RequestRefused
    } else {
        LogEvent::RequestFailed
    };
    log_end(gw, job, permit, event, refusal.kind.answer().code);
    reply(gw, &job.head.id, &refusal)
}

/// Answers a request whose deadline has passed.
pub(crate) fn timed_out(gw: &Gateway, job: &Job, permit: &Permit) -> Reply {
    let kind = if permit.reached > 0 {
        ErrorKind::TimedOut
    } else {
        ErrorKind::DeadlineUnmet
    };
    after_routing(gw, job, permit, Refusal::new(kind))
}

/// Logs how a request ended.
pub(crate) fn log_end(gw: &Gateway, job: &Job, permit: &Permit, event: LogEvent, code: &str) {
    let now = gw.now();
    if !gw.log_budget.take(now) {
        return;
    }
    let detail =
        format!(
        "id={} request={} code={code} org={} route={} asked={} serving={} kind={} config={} sends={} upstream={} \
         reached={} ms={} expected_ms={} first_ms={} pause_ms={} left_ms={} framing={} in_event={} \
         version={}",
        job.head.id,
        job.identity.request,
        job.org.as_ref().map_or("none", |o| o.as_str()),
        job.rule.name,
        job.route(),
        gw.router.borrow().serving_count(&job.route()),
        job.rule.repeat.as_str(),
        job.version,
        permit.sends,
        permit.last_upstream.as_ref().map_or("none", |u| u.as_str()),
        permit.reached,
        now.since(job.arrived),
        permit.expected,
        permit.time_to_first_text(job),
        permit.pause,
        job.deadline.since(now),
        permit.framing.map_or("none", Framing::as_str),
        permit.in_event,
        permit
            .version
            .as_ref()
            .map_or("none".to_owned(), ToString::to_string),
    );
    emit(event, &detail);
}

//! Serves the readiness check, the metrics and the state dump.

use crate::state::Gateway;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;
use shaleline_edge::{Handler, Reply, ReplyBody};
use shaleline_route::{CrashRecord, MAX_CRASHES};
use shaleline_types::Fingerprint;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// The path of the metrics; `deploy/system.toml` names it too.
const METRICS: &str = "/metrics";

/// The path of the state dump.
const STATE: &str = "/state";

/// Prefix of the path at which operators clear the crash records of a request; its digest follows.
const CLEAR: &str = "/suspects/clear/";

/// Handles requests on the control sockets.
pub(crate) struct Control {
    gw: Rc<Gateway>,
    /// Whether operators call here, and not only the balancer.
    operators: bool,
}

impl Control {
    pub(crate) fn new(gw: &Rc<Gateway>, operators: bool) -> Self {
        Self {
            gw: Rc::clone(gw),
            operators,
        }
    }
}

impl Handler for Control {
    fn handle(&self, request: Request<Incoming>) -> Pin<Box<dyn Future<Output = Reply>>> {
        let path = request.uri().path();
        let cleared = path.strip_prefix(CLEAR).filter(|_| self.operators);
        let (status, text) = match cleared {
            Some(digest) if request.method() == Method::POST => clear(&self.gw, digest),
            _ => answer(&self.gw, path),
        };
        let mut reply = Response::new(ReplyBody::from_bytes(Bytes::from(text)));
        *reply.status_mut() = status;
        Box::pin(std::future::ready(reply))
    }
}

/// Clears the crash records of a request, here and in all daemons.
fn clear(gw: &Gateway, digest: &str) -> (StatusCode, String) {
    let records = gw.router.borrow().crashes().records(gw.now());
    let found = records.iter().map(|r| r.request);
    let found: Vec<Fingerprint> = found.filter(|r| r.to_string() == digest).collect();
    for request in &found {
        let now = gw.now();
        gw.router.borrow_mut().clear_crashes(request, now);
    }
    gw.publish_crashes();
    match found.len() {
        0 => (StatusCode::NOT_FOUND, "no such request\n".to_owned()),
        cleared => (StatusCode::OK, format!("{cleared} cleared\n")),
    }
}

fn answer(gw: &Gateway, path: &str) -> (StatusCode, String) {
    if path == gw.codec.ready_path() {
        match gw.is_ready() {
            true => (StatusCode::OK, "ready\n".to_owned()),
            false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        }
    } else if path == METRICS {
        let upstreams = gw.router.borrow().upstreams(gw.now());
        gw.metrics.record_completions(&upstreams);
        (StatusCode::OK, gw.metrics.to_text())
    } else if path == STATE {
        (StatusCode::OK, dump(gw))
    } else {
        (StatusCode::NOT_FOUND, "no such page\n".to_owned())
    }
}

/// The state of this daemon, for operators.
fn dump(gw: &Gateway) -> String {
    let now = gw.now();
    let upstreams = gw.router.borrow().upstreams(now);
    let upstream = |u: &shaleline_route::UpstreamStats| {
        json!({
            "name": u.name, "centre": u.centre, "flights": u.in_flight, "busy": u.busy,
            "slots": u.slots, "leaving": u.leaving, "healthy": u.healthy,
            "speed_percent": u.speed_percent, "uncertainty_percent": u.uncertainty_percent,
            "predicted_ms": u.predicted_ms, "measured_ms": u.measured_ms,
        })
    };
    let serving = gw.serving();
    let models = serving.iter().map(|(m, engines)| {
        let names: Vec<&str> = engines.iter().map(|e| e.as_str()).collect();
        (m.to_string(), json!(names))
    });
    let stats = gw.router.borrow().stats();
    let suspects = gw.router.borrow().crashes().records(now);
    let suspect = |s: &CrashRecord| {
        let ended: Vec<String> = s.ended.iter().map(ToString::to_string).collect();
        let kind = match s.request.is_part() {
            true => "part",
            false => "request",
        };
        json!({
            kind: s.request.to_string(), "blocked": ended.len() >= MAX_CRASHES,
            "ended": ended, "age_ms": s.age.0,
        })
    };
    let allowances = gw.allowances.borrow();
    let levels = allowances.allocator.levels();
    let levels = levels.map(|(org, level)| (org.to_string(), json!(level.round())));
    json!({
        "keys": {"known": gw.knows_keys(), "age_ms": gw.config_age().map(|a| a.0),
            "organisations": gw.table().and_then(|t| Some(t.orgs.as_ref()?.iter().count()))},
        "allowances": {"part": allowances.allocator.share().fraction,
            "left": levels.collect::<serde_json::Map<_, _>>()},
        "instance": gw.me.instance.as_str(),
        "ready": gw.is_ready(),
        "stopping": gw.stopping.get(),
        "partial_event_bytes": gw.partial_events.held(),
        "config": gw.table().map(|t| t.version),
        "fence": gw.planner_lease.borrow().fence(now),
        "daemons": gw.membership.borrow().alive(),
        "hub": gw.membership.borrow_mut().is_hub(now),
        "requests": {"open": stats.open, "waiting": stats.waiting, "sent": stats.sent,
            "retried": stats.retried, "refused": stats.refused, "late": stats.late},
        "connections": {"callers": gw.gate.connections(), "opened": gw.pool.opened()},
        "suspects": suspects.iter().map(suspect).collect::<Vec<_>>(),
        "models": models.collect::<serde_json::Map<_, _>>(),
        "upstreams": upstreams.iter().map(upstream).collect::<Vec<_>>(),
    })
    .to_string()
}

//! Answers the balancer's question, metrics and the state dump.

use crate::state::Gateway;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use shaleline_edge::{Handler, Reply, ReplyBody};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// The path of the metrics; `deploy/system.toml` names it too.
const METRICS: &str = "/metrics";

/// The path of the state dump.
const STATE: &str = "/state";

/// Answers what is no caller's request.
pub(crate) struct Control(pub(crate) Rc<Gateway>);

impl Handler for Control {
    fn handle(&self, request: Request<Incoming>) -> Pin<Box<dyn Future<Output = Reply>>> {
        let reply = answer(&self.0, request.uri().path());
        Box::pin(std::future::ready(reply))
    }
}

fn answer(gw: &Gateway, path: &str) -> Reply {
    let (status, text) = if path == gw.codec.ready_path() {
        match gw.is_ready() {
            true => (StatusCode::OK, "ready\n".to_owned()),
            false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        }
    } else if path == METRICS {
        (StatusCode::OK, gw.metrics.to_text())
    } else if path == STATE {
        (StatusCode::OK, dump(gw))
    } else {
        (StatusCode::NOT_FOUND, "no such page\n".to_owned())
    };
    let mut reply = Response::new(ReplyBody::from_bytes(Bytes::from(text)));
    *reply.status_mut() = status;
    reply
}

/// What this daemon believes, for operators.
fn dump(gw: &Gateway) -> String {
    let now = gw.now();
    let upstreams = gw.router.borrow().upstreams(now);
    let upstream = |u: &shaleline_route::UpstreamStats| {
        json!({
            "name": u.name, "centre": u.centre, "flights": u.flights, "busy": u.busy,
            "slots": u.slots, "leaving": u.leaving, "healthy": u.healthy,
        })
    };
    let serving = gw.serving();
    let models = serving.iter().map(|(m, engines)| {
        let names: Vec<&str> = engines.iter().map(|e| e.as_str()).collect();
        (m.to_string(), json!(names))
    });
    let stats = gw.router.borrow().stats();
    json!({
        "instance": gw.me.instance.as_str(),
        "ready": gw.is_ready(),
        "stopping": gw.stopping.get(),
        "config": gw.table().map(|t| t.version),
        "fence": gw.claim.borrow().fence(now),
        "daemons": gw.mesh.borrow().alive(now),
        "hub": gw.mesh.borrow_mut().is_hub(now),
        "requests": {"open": stats.open, "waiting": stats.waiting, "sent": stats.sent,
            "retried": stats.retried, "refused": stats.refused, "late": stats.late},
        "connections": {"callers": gw.gate.connections(), "opened": gw.pool.opened()},
        "models": models.collect::<serde_json::Map<_, _>>(),
        "upstreams": upstreams.iter().map(upstream).collect::<Vec<_>>(),
    })
    .to_string()
}

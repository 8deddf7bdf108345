//! Brings a gateway up, and down again.

use crate::control::Control;
use crate::handover::CopyHandler;
use crate::journal::emit;
use crate::request::Callers;
use crate::state::{Gateway, Platform};
use crate::{blocked_store, discovery, follow, gossip, planner, GatewaySettings};
use eyre::{Result, WrapErr};
use shaleline_edge::{Handler, Listener, ListenerControl};
use shaleline_route::{Drain, DrainAction, RouteEvent, Unfinished};
use shaleline_types::{LogEvent, Millis, Upstream};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// How often waiting and hanging requests are looked at.
const TICK: Duration = Duration::from_millis(10);

/// How often the rest is looked at while there are no requests. Each wake-up costs a small
/// instance as much as deciding about a request.
const IDLE_TICK: Duration = Duration::from_millis(50);

/// How often what is old is dropped.
const HOUSEKEEPING_MS: u64 = 1_000;

/// How often calls to the store are summed up in the log.
const SUMMARY_MS: u64 = 10_000;

/// The balancer asks once a second and takes a daemon out after two misses.
const SERVE_ON: Millis = Millis(2_300);

/// What is left of the grace time for the process to end.
const END_MARGIN: u64 = 400;

/// The part of it in which the last answers are written.
const LAST_ANSWERS: Duration = Duration::from_millis(150);

/// Limits of the sockets that only the platform and operators use.
const CONTROL_IDLE: Duration = Duration::from_secs(30);
const CONTROL_HEAD: usize = 8_192;

/// A running gateway.
pub struct Running {
    gw: Rc<Gateway>,
}

impl std::fmt::Debug for Running {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Running").finish_non_exhaustive()
    }
}

fn listen(
    address: SocketAddr,
    gate: &ListenerControl,
    handler: Rc<dyn Handler>,
) -> Result<SocketAddr> {
    let listener = Listener::bind(address, gate.clone());
    let listener = listener.wrap_err_with(|| format!("can't listen on {address}"))?;
    let bound = listener.address()?;
    actix_rt::spawn(listener.run(handler));
    Ok(bound)
}

/// Starts a gateway on the current thread's runtime.
///
/// # Errors
/// Where an address can't be bound. Metrics are not worth a refusal to serve: where their
/// address is taken, that is logged.
pub async fn start(settings: GatewaySettings, border: Platform) -> Result<Running> {
    let (outbox, messages) = mpsc::unbounded_channel();
    let listens = settings.listen.clone();
    let gw = Gateway::new(settings, border, outbox)?;
    let detail = format!(
        "instance={} life={:016x} centre={} callers={}",
        gw.me.instance, gw.me.incarnation, gw.settings.centre, listens.callers
    );
    emit(LogEvent::Started, &detail);
    let socket = UdpSocket::bind(listens.peers).await;
    let socket = Rc::new(socket.wrap_err("can't bind the peers' address")?);
    let control = ListenerControl::new(CONTROL_IDLE, CONTROL_HEAD);
    listen(listens.callers, &gw.gate, Rc::new(Callers(Rc::clone(&gw))))?;
    let answers = |operators| Rc::new(Control::new(&gw, operators));
    listen(listens.ready, &control, answers(false))?;
    let peers = ListenerControl::new(CONTROL_IDLE, CONTROL_HEAD);
    listen(listens.peers, &peers, Rc::new(CopyHandler(Rc::clone(&gw))))?;
    let metrics = listen(listens.metrics, &control, answers(true));
    if let Err(e) = metrics {
        emit(LogEvent::SettingsRefused, &format!("reason=\"{e:#}\""));
    }
    actix_rt::spawn(follow::config(Rc::clone(&gw)));
    actix_rt::spawn(follow::upstreams(Rc::clone(&gw)));
    actix_rt::spawn(discovery::run(Rc::clone(&gw)));
    actix_rt::spawn(gossip::receive(Rc::clone(&gw), Rc::clone(&socket)));
    actix_rt::spawn(gossip::send(Rc::clone(&gw), socket, messages));
    actix_rt::spawn(planner::run(Rc::clone(&gw)));
    actix_rt::spawn(blocked_store::run(Rc::clone(&gw)));
    actix_rt::spawn(tick(Rc::clone(&gw)));
    Ok(Running { gw })
}

/// Looks at what time alone changes, for as long as the process lives.
async fn tick(gw: Rc<Gateway>) {
    let mut ready = false;
    let mut keys = true;
    let mut cleaned = gw.now();
    let mut summed = gw.now();
    loop {
        let pace = wait_for_tick(&gw).await;
        note_suspension(&gw);
        run_tick(&gw, pace);
        if ready != gw.is_ready() {
            ready = gw.is_ready();
            tell_ready(&gw, ready);
        }
        if keys != gw.knows_keys() {
            keys = !keys;
            tell_keys(&gw, keys);
        }
        let now = gw.now();
        if now.since(cleaned) >= HOUSEKEEPING_MS {
            cleaned = now;
            gw.pool.prune();
            gw.allowances.borrow_mut().prune(now);
            drop_gone(&gw);
        }
        if now.since(summed) >= SUMMARY_MS {
            summed = now;
            emit(LogEvent::StoreCalls, &gw.metrics.take_store_calls());
        }
    }
}

/// Does what time alone brings about, `pace` milliseconds after the last time at the latest. First what
/// is no longer believed: after a stall or a suspension nothing may be sent to an upstream whose
/// removal should have taken effect meanwhile.
pub(crate) fn run_tick(gw: &Gateway, pace: u64) {
    gw.stall_detector.borrow_mut().on_tick(pace, gw.now());
    let changes = gw.roster.borrow_mut().tick(gw.now());
    gw.apply_all(changes);
    gw.route(RouteEvent::Tick);
    gw.tick_selection();
}

/// Drops kept connections that outlived their time while the instance was suspended. What is believed
/// grows old by the same clock: nothing else needs to be told.
fn note_suspension(gw: &Gateway) {
    if let Some(suspended) = gw.clock.detect_suspension() {
        emit(LogEvent::Suspended, &format!("ms={}", suspended.0));
        gw.pool.prune();
    }
}

/// Waits for the next tick; returns how long that may take, in milliseconds.
async fn wait_for_tick(gw: &Gateway) -> u64 {
    let pace = if gw.has_requests() { TICK } else { IDLE_TICK };
    tokio::select! {
        () = tokio::time::sleep(pace) => {}
        () = gw.first_request.notified() => {}
    }
    pace.as_millis() as u64
}

fn tell_ready(gw: &Gateway, ready: bool) {
    let event = match ready {
        true => LogEvent::Ready,
        false => LogEvent::NotReady,
    };
    let detail = format!("stopping={} behind={}", gw.stopping.get(), gw.is_behind());
    emit(event, &detail);
}

fn tell_keys(gw: &Gateway, known: bool) {
    let event = match known {
        true => LogEvent::KeysKnown,
        false => LogEvent::KeysStale,
    };
    let age = gw
        .config_age()
        .map_or("none".to_owned(), |a| a.0.to_string());
    let version = gw.table().map_or(0, |t| t.version);
    emit(event, &format!("config={version} age_ms={age}"));
}

/// Forgets upstreams that are gone once nothing is at work there.
fn drop_gone(gw: &Gateway) {
    let idle = |n: &Upstream| {
        let unlisted = gw.roster.borrow().get(n).is_none();
        let load = gw.router.borrow().own_load(n);
        unlisted && load.is_none_or(|l| l.running == 0)
    };
    let names: Vec<Upstream> = gw.router.borrow().upstream_names().cloned().collect();
    for name in names.into_iter().filter(idle) {
        gw.route(RouteEvent::Removed(name));
    }
}

/// Answers what is still unanswered at the end of a stop: a connection that closes without
/// an answer would not even tell whether the request has run.
async fn end_all(gw: &Gateway) {
    gw.give_up_all();
    let limit = tokio::time::Instant::now() + LAST_ANSWERS;
    while gw.gate.busy() > 0 && tokio::time::Instant::now() < limit {
        tokio::time::sleep(TICK).await;
    }
}

impl Running {
    /// Takes settings over that changed while the process runs: the platform's bounds. What
    /// names addresses holds from the next start.
    pub fn update(&self, settings: &GatewaySettings) {
        let changed = *self.gw.bounds.borrow() != settings.bounds;
        if changed {
            self.gw.bounds.borrow_mut().clone_from(&settings.bounds);
            let detail = format!("bounds={:?}", settings.bounds);
            emit(LogEvent::SettingsChanged, &detail);
        }
    }

    /// Logs that changed settings can't be understood; those before stay in force.
    pub fn refuse_update(&self, reason: &str) {
        emit(LogEvent::SettingsRefused, &format!("reason={reason:?}"));
    }

    /// Stops as planned: the balancer learns of it, what is in flight ends, idle
    /// connections close; in any case before the platform kills the process.
    pub async fn stop(self) {
        let gw = self.gw;
        gw.stopping.set(true);
        gw.resign();
        gw.plan_now.notify_one();
        emit(LogEvent::Stopping, &format!("in_flight={}", gw.gate.busy()));
        let grace = gw.bounds.borrow().grace;
        let limit = Millis(grace.since(SERVE_ON).saturating_sub(END_MARGIN));
        let mut drain = Drain::new(SERVE_ON, limit);
        let mut action = drain.stop(gw.now());
        loop {
            match action {
                Some(DrainAction::Announce) => gw.gate.begin_closing(),
                Some(DrainAction::Refuse) => gw.gate.close(),
                Some(DrainAction::Exit) => {
                    end_all(&gw).await;
                    break;
                }
                None => {}
            }
            tokio::time::sleep(TICK).await;
            let left = Unfinished {
                requests: gw.gate.busy(),
                records: 0,
            };
            action = drain.tick(left, gw.now());
        }
        emit(LogEvent::Stopped, &format!("in_flight={}", gw.gate.busy()));
    }
}

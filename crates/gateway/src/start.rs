//! Starts and stops a gateway.

use crate::control::Control;
use crate::handover::CopyHandler;
use crate::journal::emit;
use crate::request::Callers;
use crate::state::{Gateway, Platform};
use crate::{blocked_store, discovery, follow, gossip, planner, version_store, GatewaySettings};
use eyre::{Result, WrapErr};
use shaleline_edge::{Handler, Listener, ListenerControl};
use shaleline_route::{Drain, DrainAction, RouteEvent, Unfinished};
use shaleline_types::{LogEvent, Millis, Upstream};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Interval at which waiting and hanging requests are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval of the periodic work while there are no requests. Each wake-up costs a small instance
/// as much as the decision about a request.
const IDLE_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which expired state is dropped.
const HOUSEKEEPING_MS: u64 = 1_000;

/// Interval at which calls to the store are summarised in the log.
const SUMMARY_MS: u64 = 10_000;

/// Time for which a stopping daemon still serves: the balancer checks once a second and removes a
/// daemon after two failures.
const BALANCER_DELAY: Millis = Millis(2_300);

/// The part of the grace period that is left for the process to exit, in milliseconds.
const EXIT_MARGIN_MS: u64 = 400;

/// The part of that margin in which the last answers are written.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_millis(150);

/// Limits of the sockets that only the platform and operators use.
const CONTROL_IDLE: Duration = Duration::from_secs(30);
const CONTROL_HEAD_BYTES: usize = 8_192;

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
/// If an address can't be bound. The metrics address is an exception: the gateway serves without
/// metrics and logs the failure.
pub async fn start(settings: GatewaySettings, platform: Platform) -> Result<Running> {
    let (outbox, messages) = mpsc::unbounded_channel();
    let listens = settings.listen.clone();
    let gw = Gateway::new(settings, platform, outbox)?;
    let detail = format!(
        "instance={} life={:016x} centre={} callers={}",
        gw.me.instance, gw.me.incarnation, gw.settings.centre, listens.callers
    );
    emit(LogEvent::Started, &detail);
    let socket = UdpSocket::bind(listens.peers).await;
    let socket = Rc::new(socket.wrap_err("can't bind the peers' address")?);
    let control = ListenerControl::new(CONTROL_IDLE, CONTROL_HEAD_BYTES);
    listen(listens.callers, &gw.gate, Rc::new(Callers(Rc::clone(&gw))))?;
    let answers = |operators| Rc::new(Control::new(&gw, operators));
    listen(listens.ready, &control, answers(false))?;
    let peers = ListenerControl::new(CONTROL_IDLE, CONTROL_HEAD_BYTES);
    listen(listens.peers, &peers, Rc::new(CopyHandler(Rc::clone(&gw))))?;
    let metrics = listen(listens.metrics, &control, answers(true));
    if let Err(e) = metrics {
        emit(LogEvent::SettingsRefused, &format!("reason=\"{e:#}\""));
    }
    actix_rt::spawn(follow::config(Rc::clone(&gw)));
    actix_rt::spawn(follow::newer_configs(Rc::clone(&gw)));
    actix_rt::spawn(follow::upstreams(Rc::clone(&gw)));
    actix_rt::spawn(discovery::run(Rc::clone(&gw)));
    actix_rt::spawn(gossip::receive(Rc::clone(&gw), Rc::clone(&socket)));
    actix_rt::spawn(gossip::send(Rc::clone(&gw), socket, messages));
    actix_rt::spawn(planner::run(Rc::clone(&gw)));
    actix_rt::spawn(blocked_store::run(Rc::clone(&gw)));
    actix_rt::spawn(version_store::run(Rc::clone(&gw)));
    actix_rt::spawn(tick(Rc::clone(&gw)));
    Ok(Running { gw })
}

/// Runs the periodic work for as long as the process runs.
async fn tick(gw: Rc<Gateway>) {
    let mut ready = false;
    let mut keys = true;
    let mut overloaded = false;
    let mut cleaned = gw.now();
    let mut summed = gw.now();
    loop {
        let interval = wait_for_tick(&gw).await;
        record_suspension(&gw);
        run_tick(&gw, interval);
        gw.probe_paths();
        if ready != gw.is_ready() {
            ready = gw.is_ready();
            log_ready(&gw, ready);
        }
        if keys != gw.knows_keys() {
            keys = !keys;
            log_keys(&gw, keys);
        }
        if overloaded != gw.stall_detector.borrow().is_overloaded() {
            overloaded = !overloaded;
            gw.gate.set_overloaded(overloaded);
            emit(LogEvent::Overloaded, &format!("overloaded={overloaded}"));
        }
        let now = gw.now();
        if now.since(cleaned) >= HOUSEKEEPING_MS {
            cleaned = now;
            gw.pool.prune();
            gw.prune_paths(now);
            gw.allowances.borrow_mut().prune(now);
            remove_gone(&gw);
        }
        if now.since(summed) >= SUMMARY_MS {
            summed = now;
            emit(LogEvent::StoreCalls, &gw.metrics.take_store_calls());
        }
    }
}

/// Runs the periodic work once, at most `interval` milliseconds after the previous run. Removals
/// that are due come first: after a stall or a suspension no request may be sent to an upstream
/// whose removal should have taken effect in the meantime.
pub(crate) fn run_tick(gw: &Gateway, interval: u64) {
    gw.check_era();
    gw.stall_detector.borrow_mut().on_tick(interval, gw.now());
    let holds = gw.roster.borrow().holds_removals();
    let followed = if holds {
        gw.followed_entries_at()
    } else {
        None
    };
    let followed = followed.filter(|_| !gw.is_reader());
    let changes = gw.roster.borrow_mut().tick(gw.now(), followed);
    gw.apply_all(changes);
    gw.route(RouteEvent::Tick);
    gw.tick_selection();
    gw.send_wanted_reports();
    gw.repeat_limits();
    gw.repeat_leavings();
    gw.repeat_removals();
    gw.tick_permits();
    gw.tick_versions();
}

/// Drops kept connections that expired while the instance was suspended. All other state expires by
/// the same clock and needs no special handling.
fn record_suspension(gw: &Gateway) {
    if let Some(suspended) = gw.clock.detect_suspension() {
        emit(LogEvent::Suspended, &format!("ms={}", suspended.0));
        gw.pool.prune();
    }
}

/// Waits for the next tick; returns how long that may take, in milliseconds.
async fn wait_for_tick(gw: &Gateway) -> u64 {
    let interval = if gw.has_requests() {
        TICK_INTERVAL
    } else {
        IDLE_INTERVAL
    };
    tokio::select! {
        () = tokio::time::sleep(interval) => {}
        () = gw.first_request.notified() => {}
    }
    interval.as_millis() as u64
}

fn log_ready(gw: &Gateway, ready: bool) {
    let event = match ready {
        true => LogEvent::Ready,
        false => LogEvent::NotReady,
    };
    let detail = format!("stopping={} behind={}", gw.stopping.get(), gw.is_behind());
    emit(event, &detail);
}

fn log_keys(gw: &Gateway, known: bool) {
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

/// Removes upstreams that are no longer listed once no request runs there.
fn remove_gone(gw: &Gateway) {
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

/// Answers the remaining requests at the end of a stop: a connection that closes without an answer
/// would not even show whether the request has run.
async fn end_remaining(gw: &Gateway) {
    gw.end_unanswered();
    let limit = tokio::time::Instant::now() + LAST_ANSWERS_TIMEOUT;
    while gw.gate.busy() > 0 && tokio::time::Instant::now() < limit {
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

impl Running {
    /// Applies changed settings while the process runs, which are the platform's bounds. Changed
    /// addresses take effect at the next start.
    pub fn update(&self, settings: &GatewaySettings) {
        let changed = *self.gw.bounds.borrow() != settings.bounds;
        if changed {
            self.gw.bounds.borrow_mut().clone_from(&settings.bounds);
            let detail = format!("bounds={:?}", settings.bounds);
            emit(LogEvent::SettingsChanged, &detail);
        }
    }

    /// Logs that changed settings can't be parsed; the previous ones stay in force.
    pub fn refuse_update(&self, reason: &str) {
        emit(LogEvent::SettingsRefused, &format!("reason={reason:?}"));
    }

    /// Stops in an orderly way: the balancer is informed, running requests complete and idle
    /// connections close, in any case before the platform kills the process.
    pub async fn stop(self) {
        let gw = self.gw;
        gw.stopping.set(true);
        gw.tell_streams();
        gw.resign();
        gw.plan_now.notify_one();
        emit(LogEvent::Stopping, &format!("in_flight={}", gw.gate.busy()));
        let grace = gw.bounds.borrow().grace;
        let limit = Millis(grace.since(BALANCER_DELAY).saturating_sub(EXIT_MARGIN_MS));
        let mut drain = Drain::new(BALANCER_DELAY, limit);
        let mut action = drain.stop(gw.now());
        loop {
            match action {
                Some(DrainAction::Announce) => gw.gate.begin_closing(),
                Some(DrainAction::Refuse) => {
                    gw.tell_streams();
                    gw.gate.close();
                }
                Some(DrainAction::Exit) => {
                    end_remaining(&gw).await;
                    break;
                }
                None => {}
            }
            tokio::time::sleep(TICK_INTERVAL).await;
            let left = Unfinished {
                // Requests of other daemons that go through a tunnel through this one end as well.
                requests: gw.gate.busy() + gw.open_tunnels.get(),
                records: 0,
            };
            action = drain.tick(left, gw.now());
        }
        emit(LogEvent::Stopped, &format!("in_flight={}", gw.gate.busy()));
    }
}

//! The shared state of a daemon.

use crate::clock::Clock;
use crate::directory::Directory;
use crate::emit::emit;
use crate::guarded::guarded;
use crate::journal::{Journal, SharedBudget};
use crate::metrics::Metrics;
use crate::settings::Settings;
use eyre::Result;
use rand::Rng;
use shaleline_config::{ConfigMachine, View};
use shaleline_log::AppendBudget;
use shaleline_once::OnceMachine;
use shaleline_peer::{Member, MemberId, MemberSettings, Membership};
use shaleline_place::{CellMachine, Demand};
use shaleline_route::{RouteAction, RouteEvent, Router, RouterSettings, ShareBook};
use shaleline_types::{Error, ErrorKind, LogEvent, Millis, Model, Offset, RequestId, WriterId};
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use tokio::sync::mpsc;

/// How long calls to the log must fail before it is considered unavailable.
const LOG_UNAVAILABLE_MS: u64 = 500;

/// How long another daemon's demand report is valid.
const DEMAND_MAX_AGE_MS: u64 = 15_000;

/// The demand of another daemon's callers, and when it was reported.
struct RemoteDemand {
    at: Millis,
    rates: BTreeMap<Model, f64>,
}

type ActionSender = mpsc::UnboundedSender<RouteAction>;

/// The state that a daemon's threads share.
pub struct Core {
    pub(crate) settings: Settings,
    pub(crate) writer: WriterId,
    pub(crate) clock: Clock,
    pub(crate) config: Journal<ConfigMachine>,
    pub(crate) cell: Journal<CellMachine>,
    pub(crate) once: Vec<Journal<OnceMachine>>,
    pub(crate) metrics: Metrics,
    pub(crate) demand: Mutex<Demand>,
    pub(crate) directory: RwLock<Directory>,
    router: Mutex<Router>,
    requests: Mutex<HashMap<RequestId, ActionSender>>,
    members: Mutex<Membership>,
    view: RwLock<Arc<View>>,
    remote_demand: Mutex<BTreeMap<WriterId, RemoteDemand>>,
    budget: SharedBudget,
    next_request: AtomicU64,
    in_flight: AtomicUsize,
    leaving: AtomicBool,
    refusing: AtomicBool,
    behind_since: AtomicU64,
    log_failing: AtomicU64,
}

impl Core {
    pub(crate) fn new(settings: Settings) -> Result<Arc<Self>> {
        let mut rng = rand::rng();
        let writer = WriterId(rng.random());
        let clock = Clock::new();
        let local = Member {
            id: MemberId {
                instance: settings.instance.clone(),
                incarnation: Clock::wall().0,
            },
            writer,
            centre: settings.centre.clone(),
            peer: settings.peer.to_string(),
            caller: settings.listen.to_string(),
            round: 0,
            config: Offset(0),
            leaving: false,
            refutations: 0,
        };
        let router = Router::new(
            RouterSettings {
                queue_limit: settings.queue,
                stall_timeout: settings.stall,
                ..RouterSettings::new(settings.centre.clone())
            },
            ShareBook::joining(settings.instance.as_str(), clock.now()),
        );
        let budget = AppendBudget::new(settings.log_rate, clock.now());
        let budget = Arc::new(Mutex::new(budget));
        let shard = |i| Journal::new(&format!("once-{i}"), writer, &budget, false);
        Ok(Arc::new(Self {
            writer,
            clock,
            config: Journal::new("config", writer, &budget, true),
            cell: Journal::new(&format!("cell-{}", settings.cell), writer, &budget, true),
            once: (0..settings.shards).map(shard).collect(),
            metrics: Metrics::new()?,
            demand: Mutex::new(Demand::default()),
            directory: RwLock::new(Directory::default()),
            router: Mutex::new(router),
            requests: Mutex::new(HashMap::new()),
            members: Mutex::new(Membership::new(MemberSettings::default(), local)),
            view: RwLock::new(Arc::new(View::default())),
            remote_demand: Mutex::new(BTreeMap::new()),
            budget,
            next_request: AtomicU64::new(rng.random::<u64>() >> 1),
            in_flight: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            behind_since: AtomicU64::new(0),
            log_failing: AtomicU64::new(0),
            settings,
        }))
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    pub(crate) fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().expect("no holder panics")
    }

    pub(crate) fn members(&self) -> MutexGuard<'_, Membership> {
        self.members.lock().expect("no holder panics")
    }

    pub(crate) fn demand(&self) -> MutexGuard<'_, Demand> {
        self.demand.lock().expect("no holder panics")
    }

    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.read().expect("no holder panics"))
    }

    /// Rebuilds the configuration view if the configuration has changed.
    pub(crate) fn refresh_view(&self) {
        let next = self.config.next();
        if self.view().next == next {
            return;
        }
        let view = self
            .config
            .with_state(|s| View::from_machine(s.machine(), s.next()));
        let mut current = self.view.write().expect("no holder panics");
        assert!(
            current.next <= view.next,
            "an accepted configuration never reverts"
        );
        self.members().set_config(view.next);
        *current = Arc::new(view);
    }

    pub(crate) fn new_request(&self) -> RequestId {
        RequestId(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Registers a request and returns the receiver of its actions.
    pub(crate) fn register(&self, id: RequestId) -> mpsc::UnboundedReceiver<RouteAction> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.requests
            .lock()
            .expect("no holder panics")
            .insert(id, sender);
        receiver
    }

    pub(crate) fn unregister(&self, id: RequestId) {
        self.requests.lock().expect("no holder panics").remove(&id);
    }

    /// Passes an event to the router and dispatches the resulting actions to their requests.
    pub(crate) fn route(&self, event: RouteEvent) {
        let now = self.now();
        let mut router = self.router();
        let actions = guarded("router", || router.step(event, now));
        drop(router);
        self.dispatch(actions.unwrap_or_default());
    }

    pub(crate) fn dispatch(&self, actions: Vec<RouteAction>) {
        if actions.is_empty() {
            return;
        }
        let requests = self.requests.lock().expect("no holder panics");
        for action in actions {
            let id = match &action {
                RouteAction::Send { id, .. }
                | RouteAction::Cancel { id, .. }
                | RouteAction::Refuse { id, .. } => *id,
            };
            if let Some(sender) = requests.get(&id) {
                let _ = sender.send(action);
            }
        }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn track_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(Arc::clone(self))
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    pub(crate) fn begin_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.members().set_leaving();
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    pub(crate) fn begin_refusing(&self) {
        self.refusing.store(true, Ordering::Relaxed);
    }

    /// Records whether a call to the log succeeded.
    pub(crate) fn record_log_result(&self, ok: bool) {
        let now = self.now().0.max(1);
        if ok {
            let since = self.log_failing.swap(0, Ordering::Relaxed);
            if since > 0 && now.saturating_sub(since) >= LOG_UNAVAILABLE_MS {
                emit(LogEvent::LogBack, "");
            }
        } else if self
            .log_failing
            .compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
        {
            emit(LogEvent::LogLost, "");
        }
    }

    /// Returns whether the last call to the log failed.
    pub(crate) fn is_log_failing(&self) -> bool {
        self.log_failing.load(Ordering::Relaxed) > 0
    }

    /// Returns whether the log is considered unavailable.
    pub(crate) fn is_log_unavailable(&self) -> bool {
        let since = self.log_failing.load(Ordering::Relaxed);
        since > 0 && self.now().0.saturating_sub(since) >= LOG_UNAVAILABLE_MS
    }

    /// Records whether another daemon has applied more of the configuration.
    pub(crate) fn record_config_lag(&self, behind: bool) {
        if !behind {
            self.behind_since.store(0, Ordering::Relaxed);
            return;
        }
        let now = self.now().0.max(1);
        let _ = self
            .behind_since
            .compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
    }

    pub(crate) fn config_lag(&self) -> u64 {
        match self.behind_since.load(Ordering::Relaxed) {
            0 => 0,
            since => self.now().0.saturating_sub(since),
        }
    }

    /// Returns an error with the reason if requests may not be admitted.
    pub(crate) fn check_admission(&self) -> shaleline_types::Result<()> {
        if self.refusing.load(Ordering::Relaxed) {
            return Err(ErrorKind::Leaving.into());
        }
        if let Some(halt) = self.config.halt() {
            return Err(Error::new(ErrorKind::Halted, halt.to_string()));
        }
        if !self.config.is_caught_up() || self.config_lag() > self.settings.lag.0 {
            return Err(ErrorKind::NotReady.into());
        }
        Ok(())
    }

    /// Returns whether the balancer should send requests to this daemon.
    pub(crate) fn is_ready(&self) -> bool {
        let drained = self
            .view()
            .drained
            .contains(self.settings.instance.as_str());
        !self.is_leaving() && !drained && self.check_admission().is_ok()
    }

    pub(crate) fn record_remote_demand(&self, writer: WriterId, rates: BTreeMap<Model, f64>) {
        let now = self.now();
        let mut all = self.remote_demand.lock().expect("no holder panics");
        all.insert(writer, RemoteDemand { at: now, rates });
        all.retain(|_, d| now.since(d.at) < DEMAND_MAX_AGE_MS);
    }

    /// Returns the total demand of other daemons' callers.
    pub(crate) fn remote_demand(&self) -> BTreeMap<Model, f64> {
        let now = self.now();
        let all = self.remote_demand.lock().expect("no holder panics");
        let mut sum = BTreeMap::new();
        for demand in all.values().filter(|d| now.since(d.at) < DEMAND_MAX_AGE_MS) {
            for (model, rate) in &demand.rates {
                *sum.entry(model.clone()).or_default() += rate;
            }
        }
        sum
    }

    /// Divides the append rate of the log and the limits among the live daemons.
    pub(crate) fn divide_shares(&self) {
        let (names, local): (Vec<String>, String) = {
            let members = self.members();
            let names = members.alive().map(|m| m.id.instance.to_string());
            (names.collect(), members.local().id.instance.to_string())
        };
        let count = names.len().max(1) as u64;
        let rate = (self.settings.log_rate / count).max(1);
        self.budget.lock().expect("no holder panics").set_rate(rate);
        let mut names: Vec<&str> = names.iter().map(String::as_str).collect();
        if !names.contains(&local.as_str()) {
            names.push(&local);
        }
        let now = self.now();
        self.router().shares().set_members(&names, now);
    }

    /// Returns the daemon that owns `key`, by rendezvous hashing over the live daemons.
    pub(crate) fn owner_of(&self, key: &str) -> Option<Member> {
        let members = self.members();
        let names: Vec<&str> = members.alive().map(|m| m.id.instance.as_str()).collect();
        let first = *shaleline_types::rank(key, names).first()?;
        let owner = members.alive().find(|m| m.id.instance.as_str() == first);
        owner.cloned()
    }

    /// Returns whether this daemon owns `key`.
    pub(crate) fn is_owner_of(&self, key: &str) -> bool {
        self.owner_of(key).is_some_and(|m| m.writer == self.writer)
    }
}

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlight(Arc<Core>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

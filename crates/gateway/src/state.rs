//! The state that the tasks of a gateway share. All of them run on one thread.

use crate::allowance::Allowances;
use crate::announced::Announced;
use crate::by_service::ByService;
use crate::config_record::ConfigRecord;
use crate::crash_probe::CrashProbes;
use crate::dispatch::DelegatedRequests;
use crate::eligibility::Announcements;
use crate::entries_check::EntriesCheck;
use crate::era::KnownEra;
use crate::events::PartialEvents;
use crate::gossip::Addressed;
use crate::isolation::Isolation;
use crate::journal::{emit, LineLimiter};
use crate::membership::Membership;
use crate::message::{Sender, Tag};
use crate::metrics::Metrics;
use crate::network::{Network, SystemNetwork};
use crate::paths::Paths;
use crate::peer_requests::PeerRequests;
use crate::permits::HeldSends;
use crate::planner_lease::Inherited;
use crate::planner_watch::PlannerWatch;
use crate::read_progress::ReadProgress;
use crate::relays::Relays;
use crate::removals::Removals;
use crate::roster::{Change, Roster};
use crate::skipped_records::SkippedRecords;
use crate::stall::StallDetector;
use crate::stream_versions::StreamVersions;
use crate::upstream_limits::UpstreamLimits;
use crate::version_lookup::LookUps;
use crate::wanted::WantedAdapters;
use crate::wanted_reports::WantedReports;
use crate::{Bounds, Codec, Entry, GatewaySettings, Store, Table};
use eyre::Result;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_edge::{Clock, ListenerControl, Pool, PoolSettings, Target};
use shaleline_fleet::{
    Demand, Fleet, HeldSource, LastOrders, PlannerLease, PlannerLeaseSettings, SlotTimes,
    UnmetDemand,
};
use shaleline_route::{
    Load, Permits, QueueNote, Reason, RetrySettings, Route, RouteAction, RouteEvent, Router,
    RouterSettings, ShareBook, UpstreamInfo,
};
use shaleline_types::{
    ErrorKind, Incarnation, LogEvent, Millis, Model, Org, Position, RequestId, Service, Upstream,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};

/// Time in which a connection to an upstream must open. In a data centre it takes a few
/// milliseconds, and a lost packet is sent again after some hundred.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time after which a connection with unacknowledged bytes counts as dead.
pub(crate) const DEAD_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Connections to one upstream if its limit is not known.
const DEFAULT_CONNECTIONS: usize = 60;

/// The limits before any configuration is known.
const DEFAULT_IDLE: Duration = Duration::from_secs(10);
const DEFAULT_HEAD_BYTES: usize = 16_384;

/// The fraction of the retry budget that is used, because the other daemons' use in the meantime is
/// not known.
const BUDGET_USED: f64 = 0.6;

/// The fraction of the retry budget that the hubs share; other daemons select only if the hubs do
/// not answer.
const HUBS_PART: f64 = 0.8;

/// Requests that an engine accepts beyond its slots before it sheds load.
const ENGINE_QUEUE: usize = 60;

/// An engine and its incarnation.
pub(crate) type EngineStart = (Upstream, Incarnation);

/// The state of a gateway.
pub(crate) struct Gateway {
    pub(crate) settings: GatewaySettings,
    /// The platform's bounds, which may change while the process runs.
    pub(crate) bounds: RefCell<Bounds>,
    pub(crate) me: Sender,
    pub(crate) codec: Box<dyn Codec>,
    pub(crate) store: Box<dyn Store>,
    pub(crate) pool: Pool,
    pub(crate) gate: ListenerControl,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) log_budget: LineLimiter,
    pub(crate) router: RefCell<Router>,
    pub(crate) roster: RefCell<Roster>,
    pub(crate) skipped: RefCell<SkippedRecords>,
    pub(crate) fleets: RefCell<BTreeMap<Service, Fleet>>,
    pub(crate) allowances: RefCell<Allowances>,
    pub(crate) demand: RefCell<Demand>,
    /// How long the answers to this daemon's callers hold slots.
    pub(crate) slot_times: RefCell<SlotTimes>,
    /// The demand of this daemon's callers that was not served.
    pub(crate) unmet: RefCell<UnmetDemand>,
    pub(crate) membership: RefCell<Membership>,
    pub(crate) reading: RefCell<ReadProgress>,
    pub(crate) stall_detector: RefCell<StallDetector>,
    /// The configuration's record as it was read, for other daemons.
    pub(crate) config_record: RefCell<Option<Rc<ConfigRecord>>>,
    /// The position up to which the upstreams' entries are known.
    pub(crate) entries_end: Cell<Position>,
    /// The era of the store.
    pub(crate) era: KnownEra,
    /// When this process started.
    pub(crate) started: Millis,
    /// Whether another daemon has reported who the hubs are.
    pub(crate) hubs_known: Cell<bool>,
    /// Whether this daemon knows enough of the others to act as a hub.
    pub(crate) hub_ready: Cell<bool>,
    /// Whether this daemon has selected an upstream, or asked a hub to.
    pub(crate) has_selected: Cell<bool>,
    /// Notifies waiters that a hub reported a new read position.
    pub(crate) position_changed: Notify,
    pub(crate) planner_lease: RefCell<PlannerLease>,
    /// The heartbeats of the planner.
    pub(crate) planner_watch: RefCell<PlannerWatch>,
    /// Whether this daemon is in contact with enough others to plan.
    pub(crate) isolation: RefCell<Isolation>,
    /// When engines had their last orders, from this daemon or from previous planners.
    pub(crate) last_orders: RefCell<LastOrders>,
    /// The state that the previous planner handed over, as it was read last.
    pub(crate) inherited: RefCell<Option<Inherited>>,
    /// What this daemon announced about engines as the planner.
    pub(crate) announced: RefCell<Announced>,
    /// Adapters that callers wait for, as reported to this daemon as the planner.
    pub(crate) unmet_adapters: RefCell<WantedAdapters>,
    /// Refusals of this daemon's callers, as it reports them to the planner.
    pub(crate) wanted_reports: RefCell<WantedReports>,
    /// Wakes the planner.
    pub(crate) plan_now: Notify,
    /// Messages to send to other daemons at once.
    pub(crate) outbox: mpsc::UnboundedSender<Addressed>,
    pub(crate) rng: RefCell<SmallRng>,
    pub(crate) stopping: Cell<bool>,
    /// When the shares of what all daemons use together were updated last.
    pub(crate) shares_updated: Cell<Millis>,
    pub(crate) upstreams_known: Cell<bool>,
    table: RefCell<Option<Rc<Table>>>,
    /// Requests of this daemon for which hubs select, and requests of others for which this daemon
    /// does.
    pub(crate) delegated: RefCell<DelegatedRequests>,
    pub(crate) peer_requests: RefCell<PeerRequests>,
    /// When this daemon last exchanged its crash records with another one.
    pub(crate) crashes_synced: Cell<Millis>,
    /// The recent probes of upstreams whose attempts broke off.
    pub(crate) crash_probes: RefCell<CrashProbes>,
    /// Opens connections to upstreams.
    pub(crate) network: Box<dyn Network>,
    /// Which upstreams this daemon reaches itself.
    pub(crate) paths: RefCell<ByService<Paths>>,
    /// Notifies waiters that a path is broken.
    pub(crate) path_broken: Notify,
    /// The daemons as relays.
    pub(crate) relays: RefCell<ByService<Relays>>,
    /// The daemon that opened the last tunnel, and the number of tunnels open for others.
    pub(crate) last_relay: Cell<Option<SocketAddr>>,
    pub(crate) open_tunnels: Rc<Cell<usize>>,
    /// The limits that upstreams named.
    pub(crate) upstream_limits: RefCell<UpstreamLimits>,
    /// What upstreams said in their answers about their end.
    pub(crate) announcements: RefCell<Announcements>,
    /// When upstreams that are removed at short notice will be gone.
    pub(crate) removals: RefCell<Removals>,
    /// The permits of this daemon's share of upstreams' rates, and its sends that wait for some.
    pub(crate) permits: RefCell<Permits>,
    pub(crate) held_sends: RefCell<HeldSends>,
    /// The software versions of streams, and the questions about those that others began.
    pub(crate) entries_check: RefCell<EntriesCheck>,
    pub(crate) partial_events: Rc<PartialEvents>,
    pub(crate) stream_versions: RefCell<StreamVersions>,
    pub(crate) look_ups: RefCell<LookUps>,
    /// Upstreams that sent bytes for requests for which hubs selected.
    pub(crate) active_upstreams: RefCell<BTreeSet<Tag>>,
    /// When this daemon last reported its open requests, and to which hubs.
    pub(crate) open_reported: Cell<Millis>,
    pub(crate) open_receivers: RefCell<BTreeSet<SocketAddr>>,
    /// The upstreams by their tags.
    pub(crate) upstream_tags: RefCell<HashMap<Tag, Upstream>>,
    /// Wakes the task that drives waiting requests.
    pub(crate) first_request: Notify,
    requests: RefCell<HashMap<RequestId, mpsc::UnboundedSender<RouteAction>>>,
    next_number: Cell<u64>,
}

/// The parts that differ by platform.
pub struct Platform {
    /// Translates messages.
    pub codec: Box<dyn Codec>,
    /// The store.
    pub store: Box<dyn Store>,
}

impl Gateway {
    pub(crate) fn new(
        settings: GatewaySettings,
        platform: Platform,
        outbox: mpsc::UnboundedSender<Addressed>,
    ) -> Result<Rc<Self>> {
        Self::with_clock(
            settings,
            platform,
            outbox,
            Clock::default(),
            SmallRng::from_os_rng(),
        )
    }

    /// A gateway with the given clock and random number generator.
    pub(crate) fn with_clock(
        settings: GatewaySettings,
        platform: Platform,
        outbox: mpsc::UnboundedSender<Addressed>,
        clock: Clock,
        rng: SmallRng,
    ) -> Result<Rc<Self>> {
        let network = Box::new(SystemNetwork);
        Self::with_network(settings, platform, outbox, (clock, network), rng)
    }

    /// A gateway with the given clock, network and random number generator.
    pub(crate) fn with_network(
        settings: GatewaySettings,
        platform: Platform,
        outbox: mpsc::UnboundedSender<Addressed>,
        (clock, network): (Clock, Box<dyn Network>),
        mut rng: SmallRng,
    ) -> Result<Rc<Self>> {
        let incarnation = rng.random();
        let now = clock.now();
        let me = Sender {
            instance: settings.instance.clone(),
            centre: settings.centre.clone(),
            incarnation,
            address: settings.listen.peers,
            strength: settings.strength(),
        };
        let membership = Membership::new(me.clone());
        let pool = PoolSettings {
            connect_timeout: CONNECT_TIMEOUT,
            unacked_timeout: DEAD_TIMEOUT,
            max_connections: DEFAULT_CONNECTIONS,
        };
        let router = router_settings(&settings, rng.random());
        let name = settings.instance.as_str();
        let holder = format!("{name}/{incarnation:016x}");
        Ok(Rc::new(Self {
            router: RefCell::new(Router::new(router, ShareBook::alone(name))),
            isolation: RefCell::default(),
            planner_watch: RefCell::default(),
            planner_lease: RefCell::new(PlannerLease::new(lease_settings(&settings), holder)),
            last_orders: RefCell::new(LastOrders::default()),
            inherited: RefCell::new(None),
            me,
            codec: platform.codec,
            store: platform.store,
            pool: Pool::with_clock(pool, clock.clone()),
            gate: ListenerControl::with_clock(DEFAULT_IDLE, DEFAULT_HEAD_BYTES, clock.clone()),
            clock,
            metrics: Metrics::new()?,
            log_budget: LineLimiter::new(now),
            roster: RefCell::new(Roster::default()),
            skipped: RefCell::new(SkippedRecords::default()),
            fleets: RefCell::new(BTreeMap::new()),
            allowances: RefCell::new(Allowances::new(settings.bounds.tolerance)),
            demand: RefCell::new(Demand::default()),
            slot_times: RefCell::new(SlotTimes::default()),
            unmet: RefCell::new(UnmetDemand::default()),
            membership: RefCell::new(membership),
            reading: RefCell::new(ReadProgress::default()),
            stall_detector: RefCell::new(StallDetector::new(now)),
            config_record: RefCell::new(None),
            entries_end: Cell::new(Position::default()),
            era: KnownEra::default(),
            started: now,
            hubs_known: Cell::new(false),
            hub_ready: Cell::new(false),
            has_selected: Cell::new(false),
            position_changed: Notify::new(),
            announced: RefCell::new(Announced::default()),
            unmet_adapters: RefCell::new(WantedAdapters::default()),
            wanted_reports: RefCell::new(WantedReports::default()),
            plan_now: Notify::new(),
            outbox,
            rng: RefCell::new(rng),
            stopping: Cell::new(false),
            shares_updated: Cell::new(Millis(0)),
            upstreams_known: Cell::new(false),
            table: RefCell::new(None),
            delegated: RefCell::new(DelegatedRequests::new(incarnation, now)),
            peer_requests: RefCell::new(PeerRequests::default()),
            crash_probes: RefCell::new(CrashProbes::default()),
            network,
            paths: RefCell::default(),
            path_broken: Notify::new(),
            relays: RefCell::default(),
            last_relay: Cell::new(None),
            open_tunnels: Rc::default(),
            upstream_limits: RefCell::new(UpstreamLimits::default()),
            announcements: RefCell::new(Announcements::default()),
            removals: RefCell::new(Removals::default()),
            permits: RefCell::new(Permits::default()),
            held_sends: RefCell::new(HeldSends::default()),
            entries_check: RefCell::default(),
            partial_events: Rc::new(PartialEvents::new(settings.memory)),
            stream_versions: RefCell::new(StreamVersions::default()),
            look_ups: RefCell::default(),
            crashes_synced: Cell::new(Millis(0)),
            active_upstreams: RefCell::new(BTreeSet::new()),
            open_reported: Cell::new(now),
            open_receivers: RefCell::new(BTreeSet::new()),
            upstream_tags: RefCell::new(HashMap::new()),
            first_request: Notify::new(),
            requests: RefCell::new(HashMap::new()),
            next_number: Cell::new(0),
            bounds: RefCell::new(settings.bounds.clone()),
            settings,
        }))
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The configuration in force.
    pub(crate) fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// Puts a version of the configuration in force, unless it is not newer. Returns whether it
    /// did.
    pub(crate) fn set_table(&self, table: Table) -> bool {
        let before = self.table();
        let old = before.as_ref().map(|t| t.version);
        if old.is_some_and(|v| v >= table.version) {
            return false;
        }
        if let Some(before) = before {
            let same = |org: &Org| before.allowance(org) == table.allowance(org);
            self.allowances.borrow_mut().keep(same);
        }
        let idle = Duration::from_millis(table.limits.idle.0);
        self.gate.set_limits(idle, table.limits.head);
        let detail = format!(
            "version={} before={} routes={} organisations={}",
            table.version,
            old.unwrap_or(0),
            table.rules.len(),
            table.orgs.as_ref().map_or(0, |o| o.iter().count())
        );
        emit(LogEvent::TableInForce, &detail);
        *self.table.borrow_mut() = Some(Rc::new(table));
        let names: Vec<Upstream> = self
            .roster
            .borrow()
            .iter()
            .map(|(n, _)| n.clone())
            .collect();
        for name in names {
            self.apply(Change::Present(name));
        }
        true
    }

    /// Passes a change in the list of upstreams to the router and the fleet.
    pub(crate) fn apply(&self, change: Change) {
        match change {
            Change::Present(name) => self.apply_entry(&name),
            Change::Restarted(name) => {
                let fragile = self.fragile_service(&name);
                let detail = format!("upstream={name} fragile={}", fragile.is_some());
                emit(LogEvent::UpstreamRestarted, &detail);
                if let Some(service) = fragile {
                    self.metrics.count_fragile_restart(&service);
                }
                if let Some(target) = self.target(&name) {
                    self.pool.close_idle(&target);
                }
                self.route(RouteEvent::Restarted(name.clone()));
                self.forget_rate(&name);
                self.announcements.borrow_mut().on_ended(&name);
                self.removals.borrow_mut().on_restarted(&name);
                self.forget_path(&name);
                self.apply_entry(&name);
            }
            Change::Gone(name) => {
                emit(LogEvent::UpstreamGone, &format!("upstream={name}"));
                for fleet in self.fleets.borrow_mut().values_mut() {
                    fleet.remove(&name);
                }
                self.announced.borrow_mut().forget(&name);
                self.forget_limits(&name);
                self.announcements.borrow_mut().on_ended(&name);
                self.forget_path(&name);
                let tag = Tag::of_upstream(&name);
                self.upstream_tags.borrow_mut().remove(&tag);
                self.route(RouteEvent::Leaving {
                    upstream: name,
                    on: true,
                });
            }
        }
    }

    fn apply_entry(&self, name: &Upstream) {
        let now = self.now();
        let Some(entry) = self.roster.borrow().get(name).cloned() else {
            return;
        };
        if let Some(reason) = self.unusable_reason(&entry) {
            self.withdraw(name, &entry.service, reason);
            return;
        }
        let leaving = self.is_leaving(name);
        self.on_version_listed(&entry.service, &entry.version);
        if let Some(held) = entry.held.clone() {
            let mut fleets = self.fleets.borrow_mut();
            let fleet = fleets.entry(entry.service.clone()).or_default();
            fleet.observe(name, &entry.centre, held, HeldSource::Listed, now);
            fleet.set_leaving(name, leaving);
        }
        let was = self.router.borrow().is_leaving(name);
        if leaving && was == Some(false) {
            self.log_leaving(name);
        }
        self.publish(name);
        let tag = Tag::of_upstream(name);
        self.upstream_tags.borrow_mut().insert(tag, name.clone());
        if was.is_none() {
            let slots = match entry.held {
                Some(_) => entry.slots + ENGINE_QUEUE,
                None => entry.slots,
            };
            let load = Load {
                slots,
                concurrency: entry.held.as_ref().map(|_| entry.slots),
                ..Load::default()
            };
            self.route(RouteEvent::Report {
                upstream: name.clone(),
                load,
            });
            self.apply_entry_limits(name);
        }
        self.route(RouteEvent::Leaving {
            upstream: name.clone(),
            on: leaving,
        });
    }

    /// Why the configuration in force does not let an entry name an upstream. An engine's entry
    /// lists its models; one that lacks them in a service of engines is of another writer.
    pub(crate) fn unusable_reason(&self, entry: &Entry) -> Option<&'static str> {
        let table = self.table()?;
        if !table.has_service(&entry.service) {
            return Some("unknown service");
        }
        let lacks_models = entry.held.is_none() && table.catalog(&entry.service).is_some();
        lacks_models.then_some("missing field `models` in a service of engines")
    }

    /// Takes an upstream out of use that the configuration does not let its entry name. A later
    /// configuration may let it.
    fn withdraw(&self, name: &Upstream, service: &Service, reason: &str) {
        self.log_skipped(name.as_str(), reason);
        if let Some(fleet) = self.fleets.borrow_mut().get_mut(service) {
            fleet.remove(name);
        }
        self.route(RouteEvent::Leaving {
            upstream: name.clone(),
            on: true,
        });
    }

    /// Logs that a record of the store is skipped, unless that was logged before.
    pub(crate) fn log_skipped(&self, key: &str, reason: &str) {
        if self.skipped.borrow_mut().is_new(key, reason) {
            self.metrics.count_skipped();
            let detail = format!("key={key:?} reason={reason:?}");
            emit(LogEvent::EntrySkipped, &detail);
        }
    }

    /// Passes the routes that an upstream serves now to the router.
    pub(crate) fn publish(&self, name: &Upstream) {
        let Some(info) = self.site(name) else {
            return;
        };
        self.route(RouteEvent::Serves {
            upstream: name.clone(),
            info,
        });
    }

    fn site(&self, name: &Upstream) -> Option<UpstreamInfo> {
        let roster = self.roster.borrow();
        let entry = roster.get(name)?;
        let mut routes = Vec::new();
        if entry.held.is_none() {
            routes.push(Route::Service(entry.service.clone()));
        }
        let fleets = self.fleets.borrow();
        let fleet = fleets.get(&entry.service);
        let serving = fleet.and_then(|f| f.get(name)).map(|e| e.serving());
        let table = self.table();
        // An engine that registers for a service without engines serves no other service's models.
        let catalog = table.as_ref().and_then(|t| t.catalog(&entry.service));
        let known = |m: &Model| catalog.is_some_and(|c| c.models.contains_key(m));
        let serving = serving.into_iter().flatten();
        for (model, adapters) in serving.filter(|(m, _)| known(m)) {
            let route = |adapter| Route::Model {
                model: model.clone(),
                adapter,
            };
            routes.push(route(None));
            routes.extend(adapters.iter().map(|a| route(Some(a.clone()))));
        }
        Some(UpstreamInfo {
            centre: entry.centre.clone(),
            routes,
            version: entry.version.clone(),
        })
    }

    /// The address of an upstream.
    pub(crate) fn target(&self, name: &Upstream) -> Option<Target> {
        let roster = self.roster.borrow();
        let entry = roster.get(name)?;
        Some(Target {
            name: name.clone(),
            address: entry.address,
        })
    }

    /// Passes an event to the router and delivers its actions to their requests.
    pub(crate) fn route(&self, event: RouteEvent) {
        let actions = self.router.borrow_mut().step(event, self.now());
        actions.iter().for_each(|a| self.deliver(a));
        self.publish_crashes();
        self.log_openings();
        self.log_queue_notes();
    }

    /// Counts and logs who was overtaken or refused for lack of capacity.
    fn log_queue_notes(&self) {
        let notes = self.router.borrow_mut().take_queue_notes();
        for note in notes {
            let (event, outcome, detail) = describe_queue_note(&note);
            self.metrics.count_queue_decision(outcome);
            if self.log_budget.take(self.now()) {
                emit(event, &detail);
            }
        }
    }

    /// Logs the breakers that opened, with the daemons whose sends opened them.
    fn log_openings(&self) {
        for opening in self.router.borrow_mut().take_openings() {
            let daemons = opening.daemons.iter().map(|d| format!("{d:016x}"));
            let detail = format!(
                "upstream={} cause={:?} sends={} daemons={}",
                opening.upstream,
                opening.cause,
                opening.daemons.len(),
                daemons
                    .collect::<BTreeSet<String>>()
                    .into_iter()
                    .collect::<Vec<String>>()
                    .join(","),
            );
            emit(LogEvent::UpstreamOpen, &detail);
        }
    }

    /// Passes an action to a request of this daemon, unless it sends where nothing may be sent now;
    /// returns false if there is no request of that number.
    pub(crate) fn notify_request(&self, id: RequestId, action: &RouteAction) -> bool {
        let known = self.requests.borrow().contains_key(&id);
        known && (self.withhold(id, action) || self.pass_to_request(id, action))
    }

    /// Keeps the router from selecting an upstream for requests of this daemon until then.
    pub(crate) fn exclude(&self, upstream: &Upstream, until: Millis) {
        let requests = self.requests.borrow();
        let mut router = self.router.borrow_mut();
        router.exclude(upstream, until, |id| requests.contains_key(&id));
    }

    /// Passes an action to a request of this daemon; returns false if there is none of that number.
    pub(crate) fn pass_to_request(&self, id: RequestId, action: &RouteAction) -> bool {
        let requests = self.requests.borrow();
        let sent = requests.get(&id).map(|sender| sender.send(action.clone()));
        sent.is_some()
    }

    /// Ends every request that has no answer yet: its attempt is cancelled, and it is refused, or
    /// fails if it may have run.
    pub(crate) fn end_unanswered(&self) {
        let upstream = Upstream::from_text("none").expect("a valid name");
        for (id, sender) in self.requests.borrow().iter() {
            let cancel = RouteAction::Cancel {
                id: *id,
                attempt: 0,
                upstream: upstream.clone(),
            };
            let refuse = RouteAction::Refuse {
                id: *id,
                kind: ErrorKind::Leaving,
                retry: None,
            };
            // A request that has just ended needs no more actions.
            sender.send(cancel).ok();
            sender.send(refuse).ok();
        }
    }

    pub(crate) fn register(&self) -> (RequestId, mpsc::UnboundedReceiver<RouteAction>) {
        let id = self.next_id();
        let (sender, receiver) = mpsc::unbounded_channel();
        if !self.has_requests() {
            self.first_request.notify_one();
        }
        self.requests.borrow_mut().insert(id, sender);
        (id, receiver)
    }

    /// A new number for a request of this daemon or of another one.
    pub(crate) fn next_id(&self) -> RequestId {
        let id = RequestId(self.next_number.get());
        self.next_number.set(id.0 + 1);
        id
    }

    /// Whether there are open requests, of this daemon or of those for which it selects.
    pub(crate) fn has_requests(&self) -> bool {
        !self.requests.borrow().is_empty()
            || self.peer_requests.borrow().len() > 0
            || !self.look_ups.borrow().is_empty()
    }

    pub(crate) fn unregister(&self, id: RequestId) {
        self.requests.borrow_mut().remove(&id);
        self.held_sends.borrow_mut().cancel(id);
    }

    /// Divides the retry budget among the live daemons; the hubs share most of it.
    pub(crate) fn share_budget(&self) {
        let now = self.now();
        let mut membership = self.membership.borrow_mut();
        let share = match (membership.is_hub(now), membership.selector_count(now)) {
            (true, selectors) => HUBS_PART / selectors as f64,
            (false, _) => (1.0 - HUBS_PART) / membership.alive() as f64,
        };
        drop(membership);
        let bounds = self.bounds.borrow();
        let max_saved = (bounds.retry_extra * share * BUDGET_USED).max(1.0);
        self.router.borrow_mut().set_retries(RetrySettings {
            per_success: bounds.retry_ratio * BUDGET_USED,
            max_saved,
            initial: max_saved,
        });
    }

    /// The service of an upstream.
    pub(crate) fn service_of(&self, name: &Upstream) -> Option<Service> {
        self.roster.borrow().get(name).map(|e| e.service.clone())
    }

    /// An engine with its latest known incarnation.
    pub(crate) fn start_of(&self, name: &Upstream) -> EngineStart {
        let fleets = self.fleets.borrow();
        let engine = fleets.values().find_map(|f| f.get(name));
        let incarnation = engine.map(|e| e.held().incarnation);
        (name.clone(), incarnation.unwrap_or_default())
    }

    /// Changes the state of an engine, and passes what it serves to the router.
    pub(crate) fn with_fleet(&self, name: &Upstream, change: impl FnOnce(&mut Fleet)) {
        let Some(service) = self.service_of(name) else {
            return;
        };
        change(self.fleets.borrow_mut().entry(service).or_default());
        self.publish(name);
    }

    pub(crate) fn random(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    /// All models that some engine serves, with their engines, for the state dump.
    pub(crate) fn serving(&self) -> BTreeMap<Model, BTreeSet<Upstream>> {
        let mut all: BTreeMap<Model, BTreeSet<Upstream>> = BTreeMap::new();
        for fleet in self.fleets.borrow().values() {
            for (name, engine) in fleet.iter() {
                for (model, _) in engine.serving() {
                    all.entry(model.clone()).or_default().insert(name.clone());
                }
            }
        }
        all
    }
}

/// Returns the event, the outcome and the details of a decision about a queued or refused request.
fn describe_queue_note(note: &QueueNote) -> (LogEvent, &'static str, String) {
    let millis = |time: &Option<Millis>| time.map_or("unknown".to_owned(), |t| t.0.to_string());
    match note {
        QueueNote::Overtaken {
            route,
            id,
            overtaken,
            reason,
            left,
            overtaken_left,
        } => {
            let outcome = match reason {
                Reason::Urgency => "urgency",
                Reason::ShortWork => "short-work",
                Reason::Slack => "slack",
                Reason::Turn => "turn",
            };
            let detail = format!(
                "number={} overtaken={} reason={outcome} route={route} target_left_ms={} \
                 overtaken_target_left_ms={}",
                id.0,
                overtaken.0,
                millis(left),
                millis(overtaken_left),
            );
            (LogEvent::RequestOvertaken, outcome, detail)
        }
        QueueNote::Expired {
            route,
            id,
            level,
            over,
            left,
            queued,
        } => {
            let detail = format!(
                "number={} route={route} level={level} over_share={over} target_left_ms={} \
                 queued={queued}",
                id.0,
                millis(left),
            );
            (LogEvent::RequestExpired, "expired", detail)
        }
        QueueNote::Shed {
            route,
            id,
            queued,
            wait,
            left,
            retry,
        } => {
            let detail = format!(
                "number={} route={route} queued={queued} predicted_wait_ms={} left_ms={} \
                 retry_ms={}",
                id.0, wait.0, left.0, retry.0,
            );
            (LogEvent::RequestShed, "shed", detail)
        }
    }
}

fn lease_settings(settings: &GatewaySettings) -> PlannerLeaseSettings {
    let Bounds { lease, fencing, .. } = settings.bounds;
    PlannerLeaseSettings::from_lease(lease).with_fencing(fencing)
}

fn router_settings(settings: &GatewaySettings, seed: u64) -> RouterSettings {
    RouterSettings {
        token_ms: settings.policy.token_ms,
        seed,
        // Organisations share by the order of the queues; what is free may be used.
        reserve: false,
        common_org: Some(crate::job::org()),
        ..RouterSettings::new(settings.centre.clone())
    }
}

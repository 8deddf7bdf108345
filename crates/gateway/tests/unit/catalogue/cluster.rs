//! A simulated cluster of daemons and engines, which runs the daemons' own reports, planner leases
//! and plans without sockets. Callers send requests to random daemons; a request is served if any
//! engine holds the requested model or adapter.

use super::engines::{Engines, Key, Popularity};
use super::holders::Holders;
use super::outcomes::{Conditions, Outcomes, Refusal};
use super::records::{Records, SharedStore};
use crate::gossip::{on_datagram, periodic_messages, Addressed};
use crate::job::Job;
use crate::message::{Datagram, Message};
use crate::orders::{announce_retiring, record_report, record_sent_order};
use crate::planner::{query_pause, step, unconfirmed, PlannerState};
use crate::planner_lease::{next_action, perform, release, should_release};
use crate::request::{load_retry, record_demand, ADAPTER_RETRY, LOAD_RETRY};
use crate::roster::EntryRecord;
use crate::start::run_tick;
use crate::state::{EngineStart, Gateway, Platform};
use crate::unit::crashes::cluster::{job, settings};
use crate::unit::crashes::null_platform::StubCodec;
use crate::unit::manual_clock::ManualClock;
use crate::{CallerLimits, Entry, GatewaySettings, Head, ServiceRule, Table};
use futures_util::FutureExt;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_edge::{Clock, TimeSource};
use shaleline_fleet::{Order, OrderReply};
use shaleline_types::{DataCentre, Millis, Position, Service, Upstream};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// The step of the simulated time.
const STEP_MS: u64 = 10;

/// The start of traffic: by then the daemons know their hubs, and the planner has used the time
/// before the first requests.
pub const TRAFFIC_START_MS: u64 = 14_000;

/// The time after which a daemon that starts knows the other daemons.
const SETTLE_MS: u64 = 700;

/// The interval at which a daemon checks its planner lease and its requests.
const DAEMON_TICK_MS: u64 = 100;

/// The interval at which engines write their entries, and the bounds of the delay until daemons
/// read them.
const ENTRY_INTERVAL_MS: u64 = 1_200;
const READ_DELAY_MS: (u64, u64) = (50, 900);

/// The bounds of the time that datagrams and orders take in transit.
const TRANSIT_MS: (u64, u64) = (1, 9);

/// The fraction of packets that is lost; a datagram of several packets is lost with any of them.
const PACKET_LOSS: f64 = 0.01;
const PACKET_BYTES: usize = 1_400;

/// The bytes of one rate in a load report.
const RATE_BYTES: usize = 13;

/// The bounds of the delay after the retry-after time at which a refused caller retries, once.
const RETRY_DELAY_MS: (u64, u64) = (10, 200);

/// The intervals at which an engine with an unfinished order about weights or about an adapter is
/// checked.
const ORDER_CHECK_MS: u64 = 150;
const ADAPTER_CHECK_MS: u64 = 130;

/// The interval at which waits are updated; a loaded adapter stays longer than that.
const WAIT_CHECK_MS: u64 = 500;

/// The time during which an engine takes no orders of the successor of a failed planner.
const COOLDOWN_MS: u64 = 3_400;

/// The size of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub daemons: usize,
    pub centres: usize,
    /// The number of daemons of each data centre that run on strong instances.
    pub strong: usize,
    pub engines: usize,
    pub models: usize,
    pub adapters: usize,
    /// The loads per second that the weight store allows.
    pub load_rate: f64,
    /// The requests per second.
    pub request_rate: f64,
}

pub struct Daemon {
    pub gw: Rc<Gateway>,
    outbox: mpsc::UnboundedReceiver<Addressed>,
    planner_state: PlannerState,
    address: SocketAddr,
    started: u64,
    next_report: u64,
    pub alive: bool,
    /// Whether it exchanges no datagrams with other daemons; it still reaches the store and the
    /// engines.
    pub isolated: bool,
}

/// An event at an engine and at the daemon that sends it an order.
enum Event {
    /// The order reaches its engine.
    Arrives(EngineStart, Service, Order),
    /// The daemon reads the state of the engine. If the flag is set, the engine is free for orders
    /// once it is idle.
    Checked(EngineStart, bool),
    /// The daemon reads the state of an engine that is not confirmed.
    Queried(EngineStart),
    /// The engine is free for orders.
    Free(EngineStart),
}

/// The demand for a model or adapter, and how it was served.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    pub first: u64,
    pub last: u64,
    pub attempts: usize,
    pub served: usize,
    /// The start of the current interval in which no engine serves it, if any.
    pub unserved_since: Option<u64>,
    /// The longest such interval.
    pub longest_wait: u64,
}

pub struct Cluster {
    size: Size,
    manual_clock: Rc<ManualClock>,
    clock: Clock,
    rng: SmallRng,
    pub daemons: Vec<Daemon>,
    pub engines: Engines,
    popularity: Popularity,
    pub records: Rc<Records>,
    in_flight: BTreeMap<(u64, u64), (SocketAddr, Datagram)>,
    entries: BTreeMap<(u64, u64), (usize, Vec<EntryRecord>)>,
    events: BTreeMap<(u64, u64), (usize, u64, Event)>,
    /// The retries of callers, each with the first refusal.
    retries: BTreeMap<(u64, u64), (Key, Refusal)>,
    /// The last order to each engine, with its fencing token.
    last_orders: BTreeMap<Upstream, (u64, u64)>,
    pub demand: BTreeMap<Key, Demand>,
    /// The requests and orders for each model and adapter, by time.
    pub history: BTreeMap<Key, Vec<String>>,
    /// Waits are counted from this time on.
    pub counted_from: u64,
    event_count: u64,
    due_requests: f64,
    pub orders: usize,
    pub outcomes: Outcomes,
    pub holders: Holders,
    /// The fraction of the packets between data centres that is lost.
    pub link_loss: f64,
}

fn service() -> Service {
    Service::from_text("llm").expect("a valid name")
}

impl Cluster {
    pub fn new(size: Size, seed: u64) -> Self {
        let manual_clock = Rc::new(ManualClock::default());
        let time: Rc<dyn TimeSource> = manual_clock.clone();
        let engines = Engines::new(size.engines, size.models, size.adapters, size.load_rate);
        let mut cluster = Self {
            size,
            clock: Clock::from_time(time),
            manual_clock,
            rng: SmallRng::seed_from_u64(seed),
            daemons: Vec::new(),
            popularity: Popularity::new(&engines.catalog),
            engines,
            records: Rc::default(),
            in_flight: BTreeMap::new(),
            entries: BTreeMap::new(),
            events: BTreeMap::new(),
            retries: BTreeMap::new(),
            last_orders: BTreeMap::new(),
            demand: BTreeMap::new(),
            history: BTreeMap::new(),
            counted_from: TRAFFIC_START_MS,
            event_count: 0,
            due_requests: 0.0,
            orders: 0,
            outcomes: Outcomes::default(),
            holders: Holders::default(),
            link_loss: 0.0,
        };
        for index in 0..size.daemons {
            cluster.start_daemon(index);
        }
        cluster.run(TRAFFIC_START_MS);
        cluster
    }

    pub fn now(&self) -> u64 {
        self.manual_clock.0.get()
    }

    fn draw(&mut self, (least, most): (u64, u64)) -> u64 {
        self.rng.random_range(least..=most)
    }

    fn next(&mut self) -> u64 {
        self.event_count += 1;
        self.event_count
    }

    fn is_strong(&self, index: usize) -> bool {
        index < self.size.centres * self.size.strong
    }

    fn settings(&self, index: usize, address: SocketAddr) -> GatewaySettings {
        let centre = DataCentre::from_text(&format!("dc{}", index % self.size.centres));
        let (link_mbps, cores) = match self.is_strong(index) {
            true => (200.0, 0.5),
            false => (20.0, 0.12),
        };
        GatewaySettings {
            centre: centre.expect("a valid name"),
            link_mbps,
            cores,
            first_start: self.now() == 0,
            ..settings(index, address)
        }
    }

    /// Starts a daemon that knows the strong daemons, which are the candidates for hubs.
    pub fn start_daemon(&mut self, index: usize) {
        let address = SocketAddr::from(([10, 0, (index / 200) as u8, 1 + (index % 200) as u8], 1));
        let (outbox, messages) = mpsc::unbounded_channel();
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let platform = Platform {
            codec: Box::new(StubCodec),
            store: Box::new(SharedStore::new(Rc::clone(&self.records))),
        };
        let settings = self.settings(index, address);
        let gw = Gateway::with_clock(settings, platform, outbox, self.clock.clone(), rng);
        let gw = gw.expect("a gateway");
        gw.set_table(self.table());
        let now = gw.now();
        let strong = self
            .daemons
            .iter()
            .take(self.size.centres * self.size.strong);
        for other in strong.filter(|d| d.alive) {
            gw.membership.borrow_mut().learn_member(&other.gw.me, now);
            other.gw.membership.borrow_mut().learn_member(&gw.me, now);
        }
        let started = self.now();
        let daemon = Daemon {
            gw,
            outbox: messages,
            planner_state: PlannerState::default(),
            address,
            started,
            next_report: started + (index as u64 * 7) % 300,
            alive: true,
            isolated: false,
        };
        match index < self.daemons.len() {
            true => self.daemons[index] = daemon,
            false => self.daemons.push(daemon),
        }
        if self.is_strong(index) {
            let entry_batch = self.entry_records();
            self.daemons[index].gw.apply_entries(entry_batch, now);
        }
    }

    fn table(&self) -> Table {
        let rule = ServiceRule {
            connections: 1_000,
            catalog: Some(self.engines.catalog.clone()),
        };
        Table {
            orgs: None,
            version: 1,
            rules: Vec::new(),
            services: BTreeMap::from([(service(), rule)]),
            limits: CallerLimits {
                head: 16_384,
                body: 1 << 20,
                arrival: Millis(1_000),
                idle: Millis(10_000),
            },
        }
    }

    /// The current entries of the engines.
    fn entry_records(&mut self) -> Vec<EntryRecord> {
        let offset = self.next();
        let entry =
            |(number, (name, e)): (usize, (&Upstream, &super::engines::Engine))| EntryRecord {
                name: name.clone(),
                position: Position::new(0, offset),
                entry: e.up.then(|| Entry {
                    service: service(),
                    address: SocketAddr::from((
                        [10, 1, (number / 200) as u8, (number % 200) as u8],
                        80,
                    )),
                    centre: DataCentre::from_text(&format!("dc{}", number % self.size.centres))
                        .expect("a valid name"),
                    slots: 64,
                    leaving: false,
                    held: Some(e.held.clone()),
                    incarnation: e.held.incarnation,
                    version: shaleline_types::SoftwareVersion::default(),
                    remaining: None,
                }),
            };
        self.engines.all.iter().enumerate().map(entry).collect()
    }

    /// The daemon that holds the planner lease, if any.
    pub fn planner(&self) -> Option<usize> {
        let is_planner =
            |d: &Daemon| d.alive && d.gw.planner_lease.borrow().fence(d.gw.now()).is_some();
        self.daemons.iter().position(is_planner)
    }

    /// Kills a daemon without a graceful stop.
    pub fn kill(&mut self, index: usize) {
        self.daemons[index].alive = false;
    }

    /// Stops a daemon gracefully and restarts it.
    pub fn replace(&mut self, index: usize) {
        let Daemon {
            gw, planner_state, ..
        } = &self.daemons[index];
        gw.stopping.set(true);
        gw.resign();
        release(gw, planner_state, "stopping")
            .now_or_never()
            .expect("the store answers at once");
        self.flush_outbox(index);
        self.start_daemon(index);
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.now() + millis;
        while self.now() < end {
            self.manual_clock.0.set(self.now() + STEP_MS);
            self.deliver();
            self.engines.complete_orders(self.now());
            self.publish();
            self.run_events();
            for index in 0..self.daemons.len() {
                if self.daemons[index].alive {
                    self.tick(index);
                }
            }
            self.record_holders();
            if self.now() > TRAFFIC_START_MS {
                let planner_gap = self.planner().is_none();
                self.outcomes.planner_gap += if planner_gap { STEP_MS } else { 0 };
                self.outcomes.record_planner(self.now(), !planner_gap);
                self.send_requests();
            }
            if self.now() % WAIT_CHECK_MS == 0 {
                self.update_waits();
            }
        }
    }

    fn record_holders(&mut self) {
        let alive = self.daemons.iter().filter(|d| d.alive);
        let fences = alive.filter_map(|d| d.gw.planner_lease.borrow().fence(d.gw.now()));
        let fences: Vec<u64> = fences.collect();
        let now = self.now();
        self.holders.record(&fences, now);
    }

    fn deliver(&mut self) {
        let now = self.now();
        while let Some(entry) = self.entries.first_entry().filter(|e| e.key().0 <= now) {
            let (daemon, entry_batch) = entry.remove();
            let gw = &self.daemons[daemon].gw;
            gw.apply_entries(entry_batch, gw.now());
        }
        while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= now) {
            let (to, datagram) = entry.remove();
            let receiver = self.daemons.iter().find(|d| d.address == to);
            if let Some(daemon) = receiver.filter(|d| d.alive && !d.isolated) {
                on_datagram(&daemon.gw, datagram);
            }
        }
    }

    /// Schedules the reads of the engines' entries by the strong daemons.
    fn publish(&mut self) {
        if self.now() % ENTRY_INTERVAL_MS != 0 {
            return;
        }
        let entry_batch = self.entry_records();
        for daemon in 0..self.size.centres * self.size.strong {
            let at = self.now() + self.draw(READ_DELAY_MS);
            let key = (at, self.next());
            self.entries.insert(key, (daemon, entry_batch.clone()));
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.now();
        let daemon = &mut self.daemons[index];
        let due = (now / STEP_MS + index as u64) % (DAEMON_TICK_MS / STEP_MS) == 0;
        if due {
            run_tick(&daemon.gw, DAEMON_TICK_MS);
            daemon.gw.hub_ready.set(now >= daemon.started + SETTLE_MS);
            if should_release(&daemon.gw) {
                release(&daemon.gw, &daemon.planner_state, "hears-too-few")
                    .now_or_never()
                    .expect("the store answers at once");
            }
            if let Some(action) = next_action(&daemon.gw) {
                perform(&daemon.gw, action, daemon.gw.now())
                    .now_or_never()
                    .expect("the store answers at once");
            }
        }
        let notified = daemon.gw.plan_now.notified().now_or_never().is_some();
        if due || notified {
            self.plan(index, notified);
        }
        let daemon = &mut self.daemons[index];
        if now >= daemon.next_report {
            daemon.next_report = now + daemon.gw.report_interval().0;
            let out = periodic_messages(&daemon.gw);
            self.send(index, out);
        }
        self.flush_outbox(index);
    }

    /// Lets a daemon plan if it holds the planner lease.
    fn plan(&mut self, index: usize, notified: bool) {
        let Daemon {
            gw, planner_state, ..
        } = &self.daemons[index];
        let Some(orders) = step(gw, planner_state, notified) else {
            return;
        };
        self.check_unconfirmed(index);
        for (service, order) in orders {
            self.send_order(index, service, order);
        }
    }

    /// Sends the messages in a daemon's outbox.
    fn flush_outbox(&mut self, index: usize) {
        while let Ok(out) = self.daemons[index].outbox.try_recv() {
            self.send(index, out);
        }
    }

    fn send(&mut self, index: usize, out: Addressed) {
        if self.daemons[index].isolated {
            return;
        }
        for (to, datagram) in out {
            let packets = 1 + rates_in(&datagram.message) * RATE_BYTES / PACKET_BYTES;
            let crosses_centres = index % self.size.centres != self.centre_of(to);
            let loss = if crosses_centres {
                PACKET_LOSS.max(self.link_loss)
            } else {
                PACKET_LOSS
            };
            let delivery_rate = (1.0 - loss).powi(packets as i32);
            if self.rng.random_bool(delivery_rate) {
                let at = self.now() + self.draw(TRANSIT_MS);
                let key = (at, self.next());
                self.in_flight.insert(key, (to, datagram));
            }
        }
    }

    fn centre_of(&self, address: SocketAddr) -> usize {
        let SocketAddr::V4(address) = address else {
            return 0;
        };
        let [_, _, high, low] = address.ip().octets();
        (usize::from(high) * 200 + usize::from(low) - 1) % self.size.centres
    }

    fn schedule(&mut self, index: usize, at: u64, event: Event) {
        let key = (at, self.next());
        let started = self.daemons[index].started;
        self.events.insert(key, (index, started, event));
    }

    fn send_order(&mut self, index: usize, service: Service, order: Order) {
        let Daemon {
            gw, planner_state, ..
        } = &self.daemons[index];
        let start = gw.start_of(&order.engine);
        if !planner_state.begin(&start) {
            return;
        }
        self.orders += 1;
        let delay = match announce_retiring(gw, &order) {
            true => 120,
            false => 0,
        };
        let at = self.now() + delay + self.draw(TRANSIT_MS);
        self.schedule(index, at, Event::Arrives(start, service, order));
    }

    /// Schedules checks of the engines whose state is unconfirmed.
    fn check_unconfirmed(&mut self, index: usize) {
        for name in unconfirmed(&self.daemons[index].gw) {
            let Daemon {
                gw, planner_state, ..
            } = &self.daemons[index];
            let start = gw.start_of(&name);
            if planner_state.begin(&start) {
                let at = self.now();
                self.schedule(index, at + STEP_MS, Event::Queried(start));
            }
        }
    }

    fn run_events(&mut self) {
        let now = self.now();
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= now) {
            let (index, started, event) = entry.remove();
            let daemon = &self.daemons[index];
            if !daemon.alive || daemon.started != started {
                continue;
            }
            match event {
                Event::Arrives(start, service, order) => {
                    self.deliver_order(index, start, &service, &order);
                }
                Event::Checked(start, frees_engine) => {
                    let Some(engine) = self.engines.all.get(&start.0).filter(|e| e.up) else {
                        self.daemons[index].planner_state.end(&start);
                        continue;
                    };
                    let busy = engine.held.busy;
                    record_report(&daemon.gw, &start.0, engine.held.clone(), daemon.gw.now());
                    if frees_engine && busy {
                        self.schedule(index, now + ORDER_CHECK_MS, Event::Checked(start, true));
                    } else if frees_engine {
                        daemon.planner_state.end(&start);
                        daemon.gw.plan_now.notify_one();
                    }
                }
                Event::Queried(start) => {
                    if let Some(engine) = self.engines.all.get(&start.0).filter(|e| e.up) {
                        let held = engine.held.clone();
                        record_report(&daemon.gw, &start.0, held, daemon.gw.now());
                    }
                    let pause = query_pause(&daemon.gw, &start.0).as_millis() as u64;
                    self.schedule(index, now + pause, Event::Free(start));
                }
                Event::Free(start) => daemon.planner_state.end(&start),
            }
        }
    }

    fn deliver_order(
        &mut self,
        index: usize,
        start: EngineStart,
        service: &Service,
        order: &Order,
    ) {
        let now = self.now();
        let Daemon {
            gw, planner_state, ..
        } = &self.daemons[index];
        let is_planner = gw.planner_lease.borrow().covers(order.fence, gw.now());
        if !is_planner {
            planner_state.end(&start);
            return;
        }
        record_sent_order(gw, planner_state, service, order);
        let (reply, done_at) = self.engines.accept_order(order, now);
        let key = (order.model.clone(), order.adapter.clone());
        let served = self.engines.serves(&key);
        self.outcomes.record_order(&key, order, reply, served, now);
        let last_order = (now, order.fence);
        self.last_orders.insert(order.engine.clone(), last_order);
        let history = self.history.entry(key).or_default();
        history.push(format!("{now} {order}: {reply:?}"));
        gw.with_fleet(&order.engine, |f| f.record_reply(order, reply, gw.now()));
        let unloaded = reply == OrderReply::Done && order.unloads_adapter();
        let accepted = reply == OrderReply::Accepted || unloaded;
        let engine_free = accepted && order.adapter.is_some();
        if engine_free {
            planner_state.end(&start);
            gw.plan_now.notify_one();
        }
        let wait = if unloaded {
            ADAPTER_CHECK_MS
        } else if accepted {
            done_at - now + STEP_MS
        } else {
            ORDER_CHECK_MS
        };
        self.schedule(
            index,
            now + wait.max(ADAPTER_CHECK_MS),
            Event::Checked(start, !engine_free),
        );
    }

    fn send_requests(&mut self) {
        let now = self.now();
        while let Some(entry) = self.retries.first_entry().filter(|e| e.key().0 <= now) {
            let (key, refusal) = entry.remove();
            self.request(key, Some(refusal));
        }
        self.due_requests += self.size.request_rate * STEP_MS as f64 / 1_000.0;
        while self.due_requests >= 1.0 {
            self.due_requests -= 1.0;
            let key = self.popularity.draw(&mut self.rng);
            self.request(key, None);
        }
    }

    fn request(&mut self, key: Key, refusal: Option<Refusal>) {
        let is_retry = refusal.is_some();
        let index = self.rng.random_range(0..self.daemons.len());
        if !self.daemons[index].alive {
            return;
        }
        let now = self.now();
        let gw = &self.daemons[index].gw;
        let head = Head {
            model: Some(key.0.clone()),
            adapter: key.1.clone(),
            prompt: 1_460,
            ..Head::default()
        };
        let request = Job {
            is_retry,
            ..job(head, service(), gw.now())
        };
        record_demand(gw, &request);
        let served = self.engines.serves(&key);
        if let Some(refusal) = refusal.filter(|_| !served) {
            let conditions = self.conditions(&key, refusal);
            self.outcomes.record_refused_again(&key, conditions);
        }
        let gw = &self.daemons[index].gw;
        self.outcomes.record_caller(&key, is_retry, served);
        let history = self.history.entry(key.clone()).or_default();
        history.push(format!("{now} requested retry={is_retry} served={served}"));
        let retry_after = match self.engines.serves(&(key.0.clone(), None)) {
            true => load_retry(gw, ADAPTER_RETRY),
            false => load_retry(gw, LOAD_RETRY),
        };
        match served {
            true => gw.record_served(&request),
            false => gw.record_unmet(&request, retry_after),
        }
        let demand = self.demand.entry(key.clone()).or_insert(Demand {
            first: now,
            ..Demand::default()
        });
        demand.last = now;
        demand.attempts += 1;
        demand.served += usize::from(served);
        if !served {
            demand.unserved_since.get_or_insert(now);
        }
        if !served && !is_retry {
            let key_at = (now + retry_after.0 + self.draw(RETRY_DELAY_MS), self.next());
            let refusal = Refusal {
                at: now,
                gap_known: retry_after > LOAD_RETRY,
            };
            self.retries.insert(key_at, (key, refusal));
        }
    }

    /// The conditions under which the retry of a refused caller is refused now.
    fn conditions(&self, key: &Key, refusal: Refusal) -> Conditions {
        let (model, adapter) = key;
        let serving = self.engines.all.iter().filter(|(_, e)| e.up);
        let mut serving = serving.filter(|(_, e)| e.held.models.contains_key(model));
        let model_away = serving.clone().next().is_none();
        let planner = self.planner().map(|index| &self.daemons[index].gw);
        let covers = |token: u64| {
            planner.is_some_and(|gw| gw.planner_lease.borrow().covers(token, gw.now()))
        };
        // An engine takes no orders of a new planner until the cooldown has passed.
        let cooling = serving.all(|(name, _)| {
            let last = self.last_orders.get(name);
            last.is_some_and(|(at, token)| !covers(*token) && self.now() - at < COOLDOWN_MS)
        });
        let wanted = planner.zip(adapter.as_ref()).is_some_and(|(gw, a)| {
            let wanted = gw.unmet_adapters.borrow();
            wanted.contains_key(&(model.clone(), a.clone()))
        });
        Conditions {
            first: refusal,
            now: self.now(),
            model_away,
            cooling,
            wanted,
        }
    }

    /// Updates the waits, and ends those for models and adapters that an engine serves now.
    fn update_waits(&mut self) {
        let (now, counted_from) = (self.now(), self.counted_from);
        let engines = &self.engines;
        for (key, demand) in &mut self.demand {
            let Some(unserved_since) = demand.unserved_since else {
                continue;
            };
            let waited = now.saturating_sub(unserved_since.max(counted_from));
            demand.longest_wait = demand.longest_wait.max(waited);
            if engines.serves(key) {
                demand.unserved_since = None;
            }
        }
    }
}

/// The number of rates in a datagram.
fn rates_in(message: &Message) -> usize {
    match message {
        Message::Load(load) => load.demand.rates.len(),
        Message::CentreLoad(load) | Message::ForwardedLoad(load) | Message::TotalLoad(load) => {
            load.load.demand.rates.len()
        }
        _ => 0,
    }
}

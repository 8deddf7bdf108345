//! Daemons before engines in simulated time: the daemons' own notes, claims and plans, without a
//! socket. Callers ask at any daemon; a request is served where some engine holds what it asks for.

use super::engines::{Engines, Key, Tail};
use super::outcomes::Outcomes;
use super::records::{Records, Shared};
use crate::gossip::{on_datagram, periodic_messages, Addressed};
use crate::job::Job;
use crate::message::{Datagram, Message};
use crate::orders::{announce_held, announce_retiring, record_sent_order};
use crate::planner::{step, unconfirmed, PlannerState};
use crate::planner_lease::{next_action, perform, release, should_release};
use crate::request::{load_retry, note_demand, ADAPTER_RETRY, LOAD_RETRY};
use crate::roster::EntryRecord;
use crate::start::run_tick;
use crate::state::{EngineStart, Gateway, Platform};
use crate::unit::crashes::border::NoCodec;
use crate::unit::crashes::world::{job, settings};
use crate::unit::hand::Hand;
use crate::{CallerLimits, Entry, GatewaySettings, Head, ServiceRule, Table};
use futures_util::FutureExt;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_edge::{Clock, TimeSource};
use shaleline_fleet::{Order, OrderReply};
use shaleline_types::{DataCentre, Millis, Service, Upstream};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Time goes on by so much at once.
const STEP: u64 = 10;

/// The daemons know their hubs and have used the time before the first callers, who come from then on.
pub const TRAFFIC: u64 = 14_000;

/// A daemon that starts knows who the others are after so long.
const SETTLES: u64 = 700;

/// How often a daemon looks at its claim and its requests.
const LOOK: u64 = 100;

/// An engine writes its entry so often, and daemons know of it so long after.
const ENTRY: u64 = 1_200;
const READ: (u64, u64) = (50, 900);

/// Datagrams and orders take so long.
const WAY: (u64, u64) = (1, 9);

/// One in a hundred packets is lost; a datagram of several is lost with any of them.
const LOST: f64 = 0.01;
const PACKET: usize = 1_400;

/// The bytes of one rate in a sum.
const RATE: usize = 13;

/// A caller whose request is refused comes back once: so much later than it is told to.
const BACK: (u64, u64) = (10, 200);

/// Where an engine's order is looked at again, and one whose state is not known.
const ORDER_LOOK: u64 = 150;
const LOOK_PAUSE: u64 = 700;

/// How often it is looked at who still waits: an adapter that was loaded stays longer.
const WAITS_LOOK: u64 = 500;

/// The size of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub daemons: usize,
    pub centres: usize,
    /// How many daemons of each data centre stand on strong instances.
    pub strong: usize,
    pub engines: usize,
    pub models: usize,
    pub adapters: usize,
    /// Loads a second that the weight store allows.
    pub loads: f64,
    /// Requests a second.
    pub asked: f64,
}

pub struct Daemon {
    pub gw: Rc<Gateway>,
    outbox: mpsc::UnboundedReceiver<Addressed>,
    working: PlannerState,
    address: SocketAddr,
    started: u64,
    round: u64,
    pub alive: bool,
    /// Whether its datagrams reach nobody and none reaches it; store and engines it reaches.
    pub cut: bool,
}

/// What happens to an engine and the daemon that orders it.
enum Event {
    /// The order reaches its engine.
    Arrives(EngineStart, Service, Order),
    /// The engine is looked at; then it may be ordered again.
    Looked(EngineStart, bool),
    Free(EngineStart),
}

/// What became of what is asked for.
#[derive(Debug, Clone, Copy, Default)]
pub struct Asked {
    pub first: u64,
    pub last: u64,
    pub tries: usize,
    pub served: usize,
    /// Since when callers wait for what no engine holds.
    pub since: Option<u64>,
    /// The longest such time.
    pub longest: u64,
}

pub struct World {
    size: Size,
    hand: Rc<Hand>,
    clock: Clock,
    rng: SmallRng,
    pub daemons: Vec<Daemon>,
    pub engines: Engines,
    tail: Tail,
    pub records: Rc<Records>,
    wire: BTreeMap<(u64, u64), (SocketAddr, Datagram)>,
    entries: BTreeMap<(u64, u64), (usize, Vec<EntryRecord>)>,
    events: BTreeMap<(u64, u64), (usize, u64, Event)>,
    /// Callers that come back.
    back: BTreeMap<(u64, u64), Key>,
    pub asked: BTreeMap<Key, Asked>,
    /// Who asked for each adapter and what was ordered of it, by time.
    pub history: BTreeMap<Key, Vec<String>>,
    /// Waits count from here on.
    pub counted: u64,
    count: u64,
    due: f64,
    pub orders: usize,
    pub outcomes: Outcomes,
    /// The part of the packets between data centres that is lost.
    pub lossy: f64,
}

fn service() -> Service {
    Service::from_text("llm").expect("a valid name")
}

impl World {
    pub fn new(size: Size, seed: u64) -> Self {
        let hand = Rc::new(Hand::default());
        let time: Rc<dyn TimeSource> = hand.clone();
        let engines = Engines::new(size.engines, size.models, size.adapters, size.loads);
        let mut world = Self {
            size,
            clock: Clock::from_time(time),
            hand,
            rng: SmallRng::seed_from_u64(seed),
            daemons: Vec::new(),
            tail: Tail::new(&engines.catalog),
            engines,
            records: Rc::default(),
            wire: BTreeMap::new(),
            entries: BTreeMap::new(),
            events: BTreeMap::new(),
            back: BTreeMap::new(),
            asked: BTreeMap::new(),
            history: BTreeMap::new(),
            counted: TRAFFIC,
            count: 0,
            due: 0.0,
            orders: 0,
            outcomes: Outcomes::default(),
            lossy: 0.0,
        };
        for index in 0..size.daemons {
            world.start_daemon(index);
        }
        world.run(TRAFFIC);
        world
    }

    pub fn now(&self) -> u64 {
        self.hand.0.get()
    }

    fn draw(&mut self, (least, most): (u64, u64)) -> u64 {
        self.rng.random_range(least..=most)
    }

    fn next(&mut self) -> u64 {
        self.count += 1;
        self.count
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

    /// Starts a daemon, which is told who may be a hub.
    pub fn start_daemon(&mut self, index: usize) {
        let address = SocketAddr::from(([10, 0, (index / 200) as u8, 1 + (index % 200) as u8], 1));
        let (outbox, messages) = mpsc::unbounded_channel();
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let border = Platform {
            codec: Box::new(NoCodec),
            store: Box::new(Shared(Rc::clone(&self.records))),
        };
        let settings = self.settings(index, address);
        let gw = Gateway::with_clock(settings, border, outbox, self.clock.clone(), rng);
        let gw = gw.expect("a gateway");
        gw.set_table(self.table());
        let now = gw.now();
        let strong = self
            .daemons
            .iter()
            .take(self.size.centres * self.size.strong);
        for other in strong.filter(|d| d.alive) {
            gw.mesh.borrow_mut().learn_member(&other.gw.me, now);
            other.gw.mesh.borrow_mut().learn_member(&gw.me, now);
        }
        let started = self.now();
        let daemon = Daemon {
            gw,
            outbox: messages,
            working: PlannerState::default(),
            address,
            started,
            round: started + (index as u64 * 7) % 300,
            alive: true,
            cut: false,
        };
        match index < self.daemons.len() {
            true => self.daemons[index] = daemon,
            false => self.daemons.push(daemon),
        }
        if self.is_strong(index) {
            let seen = self.seen();
            self.daemons[index].gw.apply_entries(seen, now);
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

    /// The engines' entries as they are now.
    fn seen(&mut self) -> Vec<EntryRecord> {
        let offset = self.next();
        let entry =
            |(number, (name, e)): (usize, (&Upstream, &super::engines::Engine))| EntryRecord {
                name: name.clone(),
                offset,
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
                }),
            };
        self.engines.all.iter().enumerate().map(entry).collect()
    }

    /// The daemon that may order now, if any.
    pub fn planner(&self) -> Option<usize> {
        let leads = |d: &Daemon| d.alive && d.gw.planner_lease.borrow().fence(d.gw.now()).is_some();
        self.daemons.iter().position(leads)
    }

    /// Kills a daemon.
    pub fn kill(&mut self, index: usize) {
        self.daemons[index].alive = false;
    }

    /// Stops a daemon as planned and starts it again.
    pub fn replace(&mut self, index: usize) {
        let Daemon { gw, working, .. } = &self.daemons[index];
        gw.stopping.set(true);
        gw.resign();
        release(gw, working, "stopping")
            .now_or_never()
            .expect("the store answers at once");
        self.post(index);
        self.start_daemon(index);
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.now() + millis;
        while self.now() < end {
            self.hand.0.set(self.now() + STEP);
            self.deliver();
            self.engines.work(self.now());
            self.publish();
            self.happen();
            for index in 0..self.daemons.len() {
                if self.daemons[index].alive {
                    self.tick(index);
                }
            }
            if self.now() > TRAFFIC {
                let vacant = self.planner().is_none();
                self.outcomes.vacant += if vacant { STEP } else { 0 };
                self.call();
            }
            if self.now() % WAITS_LOOK == 0 {
                self.look_at_waits();
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now();
        while let Some(entry) = self.entries.first_entry().filter(|e| e.key().0 <= now) {
            let (daemon, seen) = entry.remove();
            let gw = &self.daemons[daemon].gw;
            gw.apply_entries(seen, gw.now());
        }
        while let Some(entry) = self.wire.first_entry().filter(|e| e.key().0 <= now) {
            let (to, datagram) = entry.remove();
            let there = self.daemons.iter().find(|d| d.address == to);
            if let Some(daemon) = there.filter(|d| d.alive && !d.cut) {
                on_datagram(&daemon.gw, datagram);
            }
        }
    }

    /// The strong daemons learn of the engines' entries as the store tells them.
    fn publish(&mut self) {
        if self.now() % ENTRY != 0 {
            return;
        }
        let seen = self.seen();
        for daemon in 0..self.size.centres * self.size.strong {
            let at = self.now() + self.draw(READ);
            let key = (at, self.next());
            self.entries.insert(key, (daemon, seen.clone()));
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.now();
        let daemon = &mut self.daemons[index];
        let due = (now / STEP + index as u64) % (LOOK / STEP) == 0;
        if due {
            run_tick(&daemon.gw, LOOK);
            daemon.gw.hub_ready.set(now >= daemon.started + SETTLES);
            if should_release(&daemon.gw) {
                release(&daemon.gw, &daemon.working, "hears-too-few")
                    .now_or_never()
                    .expect("the store answers at once");
            }
            if let Some(action) = next_action(&daemon.gw) {
                perform(&daemon.gw, action, daemon.gw.now())
                    .now_or_never()
                    .expect("the store answers at once");
            }
        }
        let woken = daemon.gw.plan_now.notified().now_or_never().is_some();
        if due || woken {
            self.plan(index, woken);
        }
        let daemon = &mut self.daemons[index];
        if now >= daemon.round {
            daemon.round = now + daemon.gw.report_interval().0;
            let out = periodic_messages(&daemon.gw);
            self.send(index, out);
        }
        self.post(index);
    }

    /// Lets a daemon plan where it is its turn.
    fn plan(&mut self, index: usize, woken: bool) {
        let Daemon { gw, working, .. } = &self.daemons[index];
        let Some(orders) = step(gw, working, woken) else {
            return;
        };
        self.look_again(index);
        for (service, order) in orders {
            self.give(index, service, order);
        }
    }

    /// Sends what a daemon has put into its outbox.
    fn post(&mut self, index: usize) {
        while let Ok(out) = self.daemons[index].outbox.try_recv() {
            self.send(index, out);
        }
    }

    fn send(&mut self, index: usize, out: Addressed) {
        if self.daemons[index].cut {
            return;
        }
        for (to, datagram) in out {
            let packets = 1 + rates_in(&datagram.message) * RATE / PACKET;
            let far = index % self.size.centres != self.centre_of(to);
            let lost = if far { LOST.max(self.lossy) } else { LOST };
            let arrives = (1.0 - lost).powi(packets as i32);
            if self.rng.random_bool(arrives) {
                let at = self.now() + self.draw(WAY);
                let key = (at, self.next());
                self.wire.insert(key, (to, datagram));
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

    fn later(&mut self, index: usize, at: u64, event: Event) {
        let key = (at, self.next());
        let started = self.daemons[index].started;
        self.events.insert(key, (index, started, event));
    }

    fn give(&mut self, index: usize, service: Service, order: Order) {
        let Daemon { gw, working, .. } = &self.daemons[index];
        let start = gw.start_of(&order.engine);
        if !working.begin(&start) {
            return;
        }
        self.orders += 1;
        let lead = match announce_retiring(gw, &order) {
            true => 120,
            false => 0,
        };
        let at = self.now() + lead + self.draw(WAY);
        self.later(index, at, Event::Arrives(start, service, order));
    }

    /// Looks at engines of which it is not known for certain what they hold.
    fn look_again(&mut self, index: usize) {
        for name in unconfirmed(&self.daemons[index].gw) {
            let Daemon { gw, working, .. } = &self.daemons[index];
            let start = gw.start_of(&name);
            if working.begin(&start) {
                let at = self.now();
                self.later(index, at + STEP, Event::Looked(start.clone(), false));
                self.later(index, at + LOOK_PAUSE, Event::Free(start));
            }
        }
    }

    fn happen(&mut self) {
        let now = self.now();
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= now) {
            let (index, started, event) = entry.remove();
            let daemon = &self.daemons[index];
            if !daemon.alive || daemon.started != started {
                continue;
            }
            match event {
                Event::Arrives(start, service, order) => {
                    self.arrive(index, start, &service, &order);
                }
                Event::Looked(start, frees) => {
                    let Some(engine) = self.engines.all.get(&start.0).filter(|e| e.up) else {
                        self.daemons[index].working.end(&start);
                        continue;
                    };
                    let busy = engine.held.busy;
                    announce_held(&daemon.gw, &start.0, engine.held.clone());
                    if frees && busy {
                        self.later(index, now + ORDER_LOOK, Event::Looked(start, true));
                    } else if frees {
                        daemon.working.end(&start);
                        daemon.gw.plan_now.notify_one();
                    }
                }
                Event::Free(start) => daemon.working.end(&start),
            }
        }
    }

    fn arrive(&mut self, index: usize, start: EngineStart, service: &Service, order: &Order) {
        let now = self.now();
        let Daemon { gw, working, .. } = &self.daemons[index];
        let leads = gw.planner_lease.borrow().fence(gw.now()) == Some(order.fence);
        if !leads {
            working.end(&start);
            return;
        }
        record_sent_order(gw, working, service, order);
        let (reply, done) = self.engines.take(order, now);
        let key = (order.model.clone(), order.adapter.clone());
        let served = self.engines.serves(&key);
        self.outcomes.note_order(&key, order, reply, served);
        let history = self.history.entry(key).or_default();
        history.push(format!("{now} {order}: {reply:?}"));
        gw.with_fleet(&order.engine, |f| f.record_reply(order, reply, gw.now()));
        if reply == OrderReply::Done && order.drops_adapter() {
            working.end(&start);
            gw.plan_now.notify_one();
            return;
        }
        let accepted = reply == OrderReply::Accepted;
        let more = accepted && order.adapter.is_some();
        if more {
            working.end(&start);
            gw.plan_now.notify_one();
        }
        let wait = if accepted {
            done - now + STEP
        } else {
            ORDER_LOOK
        };
        self.later(index, now + wait.max(130), Event::Looked(start, !more));
    }

    fn call(&mut self) {
        let now = self.now();
        while let Some(entry) = self.back.first_entry().filter(|e| e.key().0 <= now) {
            let key = entry.remove();
            self.ask(key, true);
        }
        self.due += self.size.asked * STEP as f64 / 1_000.0;
        while self.due >= 1.0 {
            self.due -= 1.0;
            let key = self.tail.draw(&mut self.rng);
            self.ask(key, false);
        }
    }

    fn ask(&mut self, key: Key, came_back: bool) {
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
        let asked_for = Job {
            came_back,
            ..job(head, service(), gw.now())
        };
        note_demand(gw, &asked_for);
        let served = self.engines.serves(&key);
        self.outcomes.note_caller(&key, came_back, served);
        let history = self.history.entry(key.clone()).or_default();
        history.push(format!("{now} asked again={came_back} served={served}"));
        let told = match self.engines.serves(&(key.0.clone(), None)) {
            true => load_retry(gw, ADAPTER_RETRY),
            false => load_retry(gw, LOAD_RETRY),
        };
        match served {
            true => gw.note_served(&asked_for),
            false => gw.note_unmet(&asked_for, told),
        }
        let asked = self.asked.entry(key.clone()).or_insert(Asked {
            first: now,
            ..Asked::default()
        });
        asked.last = now;
        asked.tries += 1;
        asked.served += usize::from(served);
        if !served {
            asked.since.get_or_insert(now);
        }
        if !served && !came_back {
            let key_at = (now + told.0 + self.draw(BACK), self.next());
            self.back.insert(key_at, key);
        }
    }

    /// Ends the waits for what an engine holds by now: a caller who comes is served.
    fn look_at_waits(&mut self) {
        let (now, counted) = (self.now(), self.counted);
        let engines = &self.engines;
        for (key, asked) in &mut self.asked {
            let Some(since) = asked.since else {
                continue;
            };
            let waited = now.saturating_sub(since.max(counted));
            asked.longest = asked.longest.max(waited);
            if engines.serves(key) {
                asked.since = None;
            }
        }
    }
}

/// How many rates a datagram carries.
fn rates_in(message: &Message) -> usize {
    match message {
        Message::Load(note) => note.demand.rates.len(),
        Message::CentreLoad(note) | Message::ForwardedLoad(note) | Message::TotalLoad(note) => {
            note.load.demand.rates.len()
        }
        _ => 0,
    }
}

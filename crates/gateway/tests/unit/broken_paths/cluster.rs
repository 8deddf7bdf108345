//! Daemons that know each other by their own messages alone, and that open connections in simulated
//! time. Some of them lose all paths to the upstreams.

use crate::gossip::{on_datagram, periodic_messages, Addressed};
use crate::message::{Datagram, Message};
use crate::network::Network;
use crate::roster::EntryRecord;
use crate::selector::Selector;
use crate::start::run_tick;
use crate::state::{Gateway, Platform};
use crate::tunnels::GatewayTunnels;
use crate::unit::crashes::cluster::settings;
use crate::unit::crashes::null_platform::{StubCodec, UnavailableStore};
use crate::unit::lost_services::servers::{Server, TunnelledConnection};
use crate::Entry;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_edge::tunnel::TunnelError;
use shaleline_edge::{
    boxed, open_connection, BoxedConnection, Clock, LocalFuture, Target, TimeSource,
};
use shaleline_types::{DataCentre, Incarnation, Position, Service, SoftwareVersion, Upstream};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

const UPSTREAMS: usize = 30;

/// The interval of the periodic work of each daemon.
const TICK_MS: u64 = 20;

/// The time for which daemons that start say hello, the interval between two of those messages, and
/// the number of daemons that get them.
const HELLO_MS: u64 = 900;
const HELLO_INTERVAL_MS: u64 = 150;
const SEEDS: usize = 3;

/// The time after the start at which the daemons know their hubs.
const SETTLE_MS: u64 = 4_000;

/// The bounds of the time that a datagram takes in transit.
const TRANSIT_MS: (u64, u64) = (1, 4);

/// The time that a packet takes between two instances.
const HOP: Duration = Duration::from_millis(1);

/// The processor time that a relay needs to open a tunnel.
const SETUP: Duration = Duration::from_millis(3);

/// The time for which a tunnel stays open.
const TUNNEL_USE: Duration = Duration::from_millis(300);

/// The time that a request waits for a connection, and the upstreams that it is sent to.
const PATIENCE: Duration = Duration::from_millis(400);
const ATTEMPTS: usize = 2;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// How a daemon's paths to the upstreams are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    Whole,
    /// Nothing is answered.
    Silent,
    /// Connections are reset.
    Reset,
    /// What a daemon sends arrives, and nothing comes back.
    OneWay,
    /// New connections get no answer, while those that are open work.
    OldOnly,
}

struct TokioTime(Instant);

impl TimeSource for TokioTime {
    fn elapsed(&self) -> Duration {
        self.0.elapsed()
    }
}

struct Daemon {
    gw: Rc<Gateway>,
    address: SocketAddr,
    /// The paths to all upstreams but those in `lost`.
    path: Cell<Path>,
    /// The paths to single upstreams.
    lost: RefCell<BTreeMap<Upstream, Path>>,
    /// When its processor has opened all tunnels that it was asked for.
    idle_at: Cell<Instant>,
}

impl Daemon {
    fn path_to(&self, upstream: &Upstream) -> Path {
        let lost = self.lost.borrow();
        lost.get(upstream).copied().unwrap_or(self.path.get())
    }

    /// Whether its paths to all upstreams are whole.
    fn is_whole(&self) -> bool {
        self.path.get() == Path::Whole && self.lost.borrow().is_empty()
    }
}

/// What all daemons share.
#[derive(Default)]
struct World {
    daemons: RefCell<Vec<Rc<Daemon>>>,
    /// The upstreams that answer requests. Nothing is sent to the others.
    servers: RefCell<Servers>,
    /// Counts the changes of paths.
    changes: watch::Sender<u64>,
}

impl World {
    /// Opens a connection from a daemon to an upstream.
    fn connect(self: &Rc<Self>, index: usize, upstream: &Upstream) -> io::Result<BoxedConnection> {
        let Some(server) = self.servers.borrow().get(upstream).cloned() else {
            return connection();
        };
        let (world, name) = (Rc::clone(self), upstream.clone());
        let path = move || world.daemon(index).path_to(&name);
        Ok(server.connect(path, self.changes.subscribe()))
    }

    fn daemon(&self, index: usize) -> Rc<Daemon> {
        Rc::clone(&self.daemons.borrow()[index])
    }

    fn at(&self, address: SocketAddr) -> Option<Rc<Daemon>> {
        let daemons = self.daemons.borrow();
        daemons.iter().find(|d| d.address == address).cloned()
    }
}

/// The network as one daemon sees it.
struct SimulatedNetwork {
    world: Rc<World>,
    index: usize,
}

/// A connection on which nothing is sent.
fn connection() -> io::Result<BoxedConnection> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into()).map(boxed)
}

impl Network for SimulatedNetwork {
    fn direct<'a>(&'a self, target: &'a Target) -> LocalFuture<'a, io::Result<BoxedConnection>> {
        Box::pin(async {
            sleep(HOP).await;
            match self.world.daemon(self.index).path_to(&target.name) {
                Path::Whole => {
                    sleep(HOP).await;
                    self.world.connect(self.index, &target.name)
                }
                Path::Silent | Path::OneWay | Path::OldOnly => pending().await,
                Path::Reset => Err(io::Error::from(io::ErrorKind::ConnectionReset)),
            }
        })
    }

    fn tunnel<'a>(
        &'a self,
        relay: SocketAddr,
        target: &'a Target,
    ) -> LocalFuture<'a, Result<BoxedConnection, TunnelError>> {
        Box::pin(async move {
            sleep(HOP).await;
            let relay = self.world.at(relay).expect("a daemon");
            let done = relay.idle_at.get().max(Instant::now()) + SETUP;
            relay.idle_at.set(done);
            sleep_until(done).await;
            let connected = relay.gw.connect_for(&target.name).await;
            sleep(HOP).await;
            let (stream, guard) = connected.map_err(TunnelError::Refused)?;
            if !self.world.servers.borrow().is_empty() {
                return Ok(Box::new(TunnelledConnection::new(stream, guard)) as BoxedConnection);
            }
            actix_rt::spawn(async move {
                sleep(TUNNEL_USE).await;
                drop(guard);
            });
            Ok(stream)
        })
    }
}

/// The upstreams that answer requests.
pub type Servers = BTreeMap<Upstream, Rc<Server>>;

type Outbox = mpsc::UnboundedReceiver<Addressed>;

pub struct Cluster {
    world: Rc<World>,
    outboxes: Vec<Outbox>,
    start: Instant,
    rng: SmallRng,
    in_flight: BTreeMap<(u64, u64), (SocketAddr, Datagram)>,
    datagrams: u64,
    /// The interval between two requests at a daemon, in milliseconds.
    pub interval: u64,
}

fn upstream(number: usize) -> Upstream {
    Upstream::from_text(&format!("i-{number}")).expect("a valid name")
}

fn entries() -> Vec<EntryRecord> {
    let entry = |number: usize| Entry {
        service: Service::from_text("svc").expect("a valid name"),
        address: SocketAddr::from(([10, 1, 0, number as u8], 80)),
        centre: DataCentre::from_text(&format!("dc{}", number % 3)).expect("a valid name"),
        slots: 24,
        leaving: false,
        held: None,
        incarnation: Incarnation::from_millis(1),
        version: SoftwareVersion::default(),
        remaining: None,
    };
    let record = |number| EntryRecord {
        name: upstream(number),
        position: Position::new(0, 1),
        entry: Some(entry(number)),
    };
    (0..UPSTREAMS).map(record).collect()
}

/// Opens connections for a request until one opens. Returns whether one did in time.
async fn is_served(gw: &Gateway, targets: Vec<Target>) -> bool {
    let limit = Instant::now() + PATIENCE;
    let tunnels = GatewayTunnels::new(gw);
    for target in targets {
        let opened = open_connection(&target, CONNECT_TIMEOUT, &tunnels);
        if let Ok(Ok(_)) = timeout_at(limit, opened).await {
            return true;
        }
    }
    false
}

/// The requests that arrived at daemons in a time, and those of them that were served.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    pub sent: usize,
    pub served: usize,
}

/// The requests at daemons whose paths are broken, and at the others.
#[derive(Debug, Default, Clone, Copy)]
pub struct Served {
    pub cut: Counts,
    pub others: Counts,
}

impl Cluster {
    /// Starts daemons in three data centres, of which each knows only a few, and waits until they
    /// have found their hubs.
    pub async fn start(daemons: usize, seed: u64) -> Self {
        let set_up = |gw: &Gateway| gw.apply_entries(entries(), gw.now());
        Self::start_with(daemons, seed, (BTreeMap::new(), &set_up)).await
    }

    /// Starts daemons like [`Self::start`], before upstreams that answer requests. `set_up` prepares each
    /// daemon.
    pub async fn start_with(
        daemons: usize,
        seed: u64,
        (servers, set_up): (Servers, &dyn Fn(&Gateway)),
    ) -> Self {
        let mut cluster = Self {
            world: Rc::new(World {
                servers: RefCell::new(servers),
                ..World::default()
            }),
            outboxes: Vec::new(),
            start: Instant::now(),
            rng: SmallRng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            datagrams: 0,
            interval: u64::MAX,
        };
        (0..daemons).for_each(|index| cluster.add_daemon(index, set_up));
        cluster.run(SETTLE_MS, 0).await;
        cluster
    }

    fn add_daemon(&mut self, index: usize, set_up: &dyn Fn(&Gateway)) {
        let address = SocketAddr::from(([10, 0, (index / 200) as u8, 1 + (index % 200) as u8], 1));
        let (outbox, messages) = mpsc::unbounded_channel();
        let platform = Platform {
            codec: Box::new(StubCodec),
            store: Box::new(UnavailableStore),
        };
        let network = Box::new(SimulatedNetwork {
            world: Rc::clone(&self.world),
            index,
        });
        let clock = Clock::from_time(Rc::new(TokioTime(self.start)));
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let settings = settings(index, address);
        let gw = Gateway::with_network(settings, platform, outbox, (clock, network), rng);
        let gw = gw.expect("a gateway");
        set_up(&gw);
        self.world.daemons.borrow_mut().push(Rc::new(Daemon {
            gw,
            address,
            path: Cell::new(Path::Whole),
            lost: RefCell::default(),
            idle_at: Cell::new(self.start),
        }));
        self.outboxes.push(messages);
    }

    pub fn len(&self) -> usize {
        self.outboxes.len()
    }

    /// The daemons that act as hubs.
    pub fn hubs(&self) -> Vec<usize> {
        let is_hub = |index: &usize| {
            let gw = &self.world.daemon(*index).gw;
            let now = gw.now();
            let is_hub = gw.membership.borrow_mut().is_hub(now);
            is_hub
        };
        (0..self.len()).filter(is_hub).collect()
    }

    /// The daemons that are known to those that are no hubs.
    pub fn known_to_most(&self) -> Vec<usize> {
        let hubs = self.hubs();
        let other = (0..self.len()).rfind(|d| !hubs.contains(d) && *d >= SEEDS);
        let gw = Rc::clone(&self.world.daemon(other.expect("a daemon")).gw);
        let known = gw.membership.borrow().known_addresses();
        let is_known = |d: &usize| known.contains(&self.world.daemon(*d).address);
        (0..self.len()).filter(is_known).collect()
    }

    /// Sets the paths of some daemons to all upstreams.
    pub fn set_paths(&self, daemons: &[usize], path: Path) {
        for index in daemons {
            self.world.daemon(*index).path.set(path);
        }
        self.world.changes.send_modify(|c| *c += 1);
    }

    /// Sets the paths of some daemons to some upstreams.
    pub fn set_paths_to(&self, daemons: &[usize], upstreams: &[Upstream], path: Path) {
        for index in daemons {
            let daemon = self.world.daemon(*index);
            let paths = upstreams.iter().map(|u| (u.clone(), path));
            daemon.lost.borrow_mut().extend(paths);
        }
        self.world.changes.send_modify(|c| *c += 1);
    }

    /// Restores the paths of all daemons to all upstreams.
    pub fn heal(&self) {
        for daemon in self.world.daemons.borrow().iter() {
            daemon.path.set(Path::Whole);
            daemon.lost.borrow_mut().clear();
        }
        self.world.changes.send_modify(|c| *c += 1);
    }

    /// Advances the time by one millisecond; requests are up to the caller.
    pub async fn step(&mut self) {
        sleep(Duration::from_millis(1)).await;
        self.deliver();
        for index in 0..self.len() {
            self.tick(index);
        }
    }

    pub fn gateway(&self, index: usize) -> Rc<Gateway> {
        Rc::clone(&self.world.daemon(index).gw)
    }

    /// The daemon that selects for these upstreams' requests, by the key by which hubs share them.
    pub fn selector(&self, key: &str) -> usize {
        let gw = self.gateway(0);
        let now = gw.now();
        let selector = gw.membership.borrow_mut().selector(key, |_| true, now);
        match selector {
            Selector::Remote(address) => {
                let is_there = |d: &usize| self.world.daemon(*d).address == address;
                (0..self.len()).find(is_there).expect("a daemon")
            }
            Selector::Local | Selector::NoHub => 0,
        }
    }

    /// Advances the time and returns how the requests were served that arrived meanwhile, leaving
    /// out those of the first `skip` milliseconds.
    pub async fn run(&mut self, millis: u64, skip: u64) -> Served {
        let served = Rc::new(RefCell::new(Served::default()));
        let start = self.now();
        while self.now() < start + millis {
            sleep(Duration::from_millis(1)).await;
            self.deliver();
            let counted = self.now() >= start + skip;
            for index in 0..self.len() {
                self.tick(index);
                self.request(index, counted.then_some(&served));
            }
        }
        sleep(PATIENCE).await;
        let served = *served.borrow();
        served
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn deliver(&mut self) {
        let now = self.now();
        while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= now) {
            let (to, datagram) = entry.remove();
            if let Some(receiver) = self.world.at(to) {
                on_datagram(&receiver.gw, datagram);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.now();
        let gw = Rc::clone(&self.world.daemon(index).gw);
        let phase = now + 7 * index as u64;
        let mut out = Addressed::new();
        if phase % TICK_MS == 0 {
            run_tick(&gw, TICK_MS);
            gw.probe_paths();
        }
        if phase % gw.report_interval().0 == 0 {
            out.extend(periodic_messages(&gw));
        }
        if now < HELLO_MS && phase % HELLO_INTERVAL_MS == 0 {
            let seeds = self.world.daemons.borrow();
            let hello = seeds
                .iter()
                .take(SEEDS)
                .map(|d| (d.address, Message::Hello));
            gw.send(hello.filter(|(to, _)| *to != gw.me.address).collect());
        }
        while let Ok(messages) = self.outboxes[index].try_recv() {
            out.extend(messages);
        }
        for (to, datagram) in out {
            self.datagrams += 1;
            let at = now + self.rng.random_range(TRANSIT_MS.0..=TRANSIT_MS.1);
            let key = (at, self.datagrams);
            self.in_flight.insert(key, (to, datagram));
        }
    }

    /// Lets a request arrive at a daemon if one is due.
    fn request(&mut self, index: usize, served: Option<&Rc<RefCell<Served>>>) {
        if (self.now() + 11 * index as u64) % self.interval != 0 {
            return;
        }
        let daemon = self.world.daemon(index);
        let mut draw = || upstream(self.rng.random_range(0..UPSTREAMS));
        let targets = (0..ATTEMPTS).filter_map(|_| daemon.gw.target(&draw()));
        let targets: Vec<Target> = targets.collect();
        let served = served.cloned();
        actix_rt::spawn(async move {
            let is_cut = !daemon.is_whole();
            let is_served = is_served(&daemon.gw, targets).await;
            let Some(served) = served else {
                return;
            };
            let mut served = served.borrow_mut();
            let counts = match is_cut {
                true => &mut served.cut,
                false => &mut served.others,
            };
            counts.sent += 1;
            counts.served += usize::from(is_served);
        });
    }
}

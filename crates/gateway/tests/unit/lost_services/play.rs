//! Callers' requests at daemons of which some lose the paths to some upstreams. Whole requests are
//! served: their hub, queue, slots, breakers, idle connections and tunnels are those of the daemons.

use super::servers::Server;
use crate::job::Job;
use crate::request;
use crate::roster::EntryRecord;
use crate::state::Gateway;
use crate::unit::broken_paths::cluster::{Cluster, Path, Servers};
use crate::unit::catalogue::engines::catalog;
use crate::unit::crashes::cluster::{job, rule};
use crate::{CallerLimits, Entry, Head, Repeat, RouteRule, ServiceRule, Table};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, StatusCode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_fleet::Held;
use shaleline_types::{
    DataCentre, Identity, Incarnation, Millis, Model, Position, Service, SoftwareVersion, Upstream,
};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// A plain service, with some 60 ms of work a request.
const PLAIN: usize = 5;
const PLAIN_ROOM: (usize, usize) = (6, 24);
const PLAIN_WORK_MS: (u64, u64) = (30, 90);
const PLAIN_RATE: f64 = 200.0;

/// Engines, and the number of engines that hold each model.
const ENGINES: usize = 30;
const ENGINE_ROOM: (usize, usize) = (64, 134);
const ENGINE_WORK_MS: (u64, u64) = (150, 450);
const ENGINE_RATE: f64 = 150.0;
const REPLICAS: usize = 3;

/// One request in as many may be repeated.
const SAFE_INTERVAL: u32 = 3;

/// The time from the first request to the cut, from there to the end, and for the last requests.
const BEFORE_MS: u64 = 3_000;
pub const CUT_MS: u64 = 6_000;
const REST_MS: u64 = 2_500;

/// The upstreams that are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    Nothing,
    Plain,
    Engines,
    /// The engines that hold one model.
    OneModel,
    All,
}

/// The daemons that lose them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Share {
    Tenth,
    Third,
    TwoThirds,
}

/// A play: which of how many daemons lose which upstreams, and how.
#[derive(Debug, Clone, Copy)]
pub struct Play {
    pub daemons: usize,
    pub scope: Scope,
    pub share: Share,
    pub path: Path,
    /// Whether the daemon that selects for the plain service is among them.
    pub selector: bool,
    /// How long the paths are lost, and then whole, in turn.
    pub period: Option<u64>,
    pub seed: u64,
}

/// The first attempts that arrived in one second, and those of them that were served.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    pub sent: usize,
    pub served: usize,
}

/// The first attempts in each second after the cut, at the daemons that are cut off and at the
/// others, and the requests that may not be repeated and ran twice.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    pub cut: Vec<Counts>,
    pub others: Vec<Counts>,
    pub repeated: usize,
}

fn plain() -> Service {
    Service::from_text("plain").expect("a valid name")
}

fn llm() -> Service {
    Service::from_text("llm").expect("a valid name")
}

fn model(number: usize) -> Model {
    Model::from_text(&format!("m{number}")).expect("a valid name")
}

fn name(kind: &str, number: usize) -> Upstream {
    Upstream::from_text(&format!("{kind}-{number}")).expect("a valid name")
}

/// The number of models.
const MODELS: usize = ENGINES / REPLICAS;

fn names(scope: Scope) -> Vec<Upstream> {
    let plains = (0..PLAIN).map(|n| name("p", n));
    let engines = (0..ENGINES).map(|n| name("e", n));
    match scope {
        Scope::Nothing => Vec::new(),
        Scope::Plain => plains.collect(),
        Scope::Engines => engines.collect(),
        Scope::OneModel => (0..REPLICAS).map(|r| name("e", r * MODELS)).collect(),
        Scope::All => plains.chain(engines).collect(),
    }
}

fn records() -> Vec<EntryRecord> {
    let record = |kind: &str, number: usize, service: Service, room: (usize, usize)| {
        let held = (kind == "e").then(|| Held {
            models: BTreeMap::from([(model(number % MODELS), BTreeSet::new())]),
            incarnation: Incarnation::from_millis(1),
            ..Held::default()
        });
        let entry = Entry {
            service,
            address: SocketAddr::from(([10, 1, u8::from(kind == "e"), number as u8], 80)),
            centre: DataCentre::from_text(&format!("dc{}", number % 3)).expect("a valid name"),
            slots: room.0,
            leaving: false,
            held,
            incarnation: Incarnation::from_millis(1),
            version: SoftwareVersion::default(),
            remaining: None,
        };
        EntryRecord {
            name: name(kind, number),
            position: Position::new(0, 1),
            entry: Some(entry),
        }
    };
    let plains = (0..PLAIN).map(|n| record("p", n, plain(), PLAIN_ROOM));
    let engines = (0..ENGINES).map(|n| record("e", n, llm(), ENGINE_ROOM));
    plains.chain(engines).collect()
}

fn table() -> Table {
    let service = |catalog| ServiceRule {
        connections: 10_000,
        catalog,
    };
    Table {
        orgs: None,
        version: 1,
        rules: Vec::new(),
        services: BTreeMap::from([
            (plain(), service(None)),
            (llm(), service(Some(catalog(MODELS, 0, 1.0)))),
        ]),
        limits: CallerLimits {
            head: 16_384,
            body: 1 << 20,
            arrival: Millis(1_000),
            idle: Millis(10_000),
        },
    }
}

fn set_up(gw: &Gateway) {
    gw.set_table(table());
    gw.apply_entries(records(), gw.now());
}

fn servers(seed: u64) -> Servers {
    let plains = (0..PLAIN).map(|n| {
        let server = Server::new(PLAIN_ROOM, PLAIN_WORK_MS, seed + n as u64);
        (name("p", n), server)
    });
    let engines = (0..ENGINES).map(|n| {
        let server = Server::new(ENGINE_ROOM, ENGINE_WORK_MS, seed + 100 + n as u64);
        (name("e", n), server)
    });
    plains.chain(engines).collect()
}

/// A request: its number, its model if it is for an engine, and whether it may be repeated.
#[derive(Debug, Clone, Copy)]
struct Drawn {
    number: u64,
    model: Option<usize>,
    safe: bool,
}

fn to_job(drawn: Drawn, now: Millis) -> Job {
    let id = drawn.number.to_string();
    let head = Head {
        id: id.clone(),
        model: drawn.model.map(model),
        prompt: 200,
        output: 20,
        ..Head::default()
    };
    let service = drawn.model.map_or_else(plain, |_| llm());
    let mut job = job(head, service, now);
    let (target, timeout) = match drawn.model {
        Some(_) => (800, 4_000),
        None => (300, 2_000),
    };
    job.rule = RouteRule {
        target: Millis(target),
        timeout: Millis(timeout),
        attempts: if drawn.safe { 2 } else { 1 },
        ..rule(if drawn.safe {
            Repeat::Safe
        } else {
            Repeat::Unsafe
        })
    };
    job.deadline = now.plus(timeout - 15);
    job.method = if drawn.safe {
        Method::GET
    } else {
        Method::POST
    };
    job.identity = Identity::of("caller", &[id.as_bytes()]);
    let value = HeaderValue::from_str(&id).expect("a number");
    job.headers
        .insert(HeaderName::from_static("request-id"), value);
    job
}

/// Draws the requests of one millisecond.
struct Callers {
    rng: SmallRng,
    due: [f64; 2],
    number: u64,
}

impl Callers {
    fn arrive(&mut self) -> Vec<Drawn> {
        let mut drawn = Vec::new();
        for (index, rate) in [PLAIN_RATE, ENGINE_RATE].into_iter().enumerate() {
            self.due[index] += rate / 1_000.0;
            while self.due[index] >= 1.0 {
                self.due[index] -= 1.0;
                self.number += 1;
                drawn.push(Drawn {
                    number: self.number,
                    model: (index == 1).then(|| self.rng.random_range(0..MODELS)),
                    safe: self.rng.random_ratio(1, SAFE_INTERVAL),
                });
            }
        }
        drawn
    }
}

/// The daemons that are cut off.
fn cut_daemons(cluster: &Cluster, play: Play) -> BTreeSet<usize> {
    let selector = cluster.selector("plain");
    let is_cut = |d: &usize| match play.share {
        // Data centres take turns in the numbers of the daemons.
        Share::Tenth => d / 3 % 10 == 1,
        Share::Third => d / 3 % 3 == 1,
        Share::TwoThirds => d / 3 % 3 != 1,
    };
    let mut cut: BTreeSet<usize> = (0..cluster.len()).filter(is_cut).collect();
    match play.selector {
        true => cut.insert(selector),
        false => cut.remove(&selector),
    };
    cut
}

type Tally = Rc<RefCell<Outcome>>;

fn request(gw: Rc<Gateway>, drawn: Drawn, place: Option<(bool, usize)>, tally: &Tally) {
    let tally = Rc::clone(tally);
    actix_rt::spawn(async move {
        let job = to_job(drawn, gw.now());
        let reply = request::serve(&gw, job).await;
        let Some((is_cut, second)) = place else {
            return;
        };
        let mut tally = tally.borrow_mut();
        let counts = match is_cut {
            true => &mut tally.cut[second],
            false => &mut tally.others[second],
        };
        counts.sent += 1;
        counts.served += usize::from(reply.status() == StatusCode::OK);
    });
}

async fn play_out(play: Play) -> Outcome {
    let servers = servers(play.seed);
    let all = servers.clone();
    let mut cluster = Cluster::start_with(play.daemons, play.seed, (servers, &set_up)).await;
    let cut = cut_daemons(&cluster, play);
    let cut_list: Vec<usize> = cut.iter().copied().collect();
    let lost = names(play.scope);
    let seconds = (CUT_MS / 1_000) as usize;
    let tally = Rc::new(RefCell::new(Outcome {
        cut: vec![Counts::default(); seconds],
        others: vec![Counts::default(); seconds],
        repeated: 0,
    }));
    let mut callers = Callers {
        rng: SmallRng::seed_from_u64(play.seed),
        due: [0.0; 2],
        number: 0,
    };
    let start = cluster.now() + BEFORE_MS;
    let mut unsafe_requests = Vec::new();
    while cluster.now() < start + CUT_MS {
        cluster.step().await;
        let since = cluster.now().checked_sub(start);
        if since.is_some_and(|s| s % play.period.unwrap_or(u64::MAX) == 0) {
            let turn = since.unwrap_or(0) / play.period.unwrap_or(u64::MAX);
            match turn % 2 {
                0 => cluster.set_paths_to(&cut_list, &lost, play.path),
                _ => cluster.heal(),
            }
        }
        for drawn in callers.arrive() {
            let daemon = callers.rng.random_range(0..cluster.len());
            let second = since.map(|s| (s / 1_000) as usize);
            let place = second.filter(|s| *s < seconds);
            let place = place.map(|s| (cut.contains(&daemon), s));
            if !drawn.safe {
                unsafe_requests.push(drawn.number);
            }
            request(cluster.gateway(daemon), drawn, place, &tally);
        }
    }
    for _ in 0..REST_MS {
        cluster.step().await;
    }
    let runs = |number: &u64| -> usize {
        let id = number.to_string();
        all.values().map(|s| s.runs(&id)).sum()
    };
    let mut outcome = tally.borrow().clone();
    outcome.repeated = unsafe_requests.iter().filter(|n| runs(n) > 1).count();
    outcome
}

/// Plays a play in simulated time.
pub fn run(play: Play) -> Outcome {
    let runtime = || {
        let builder = &mut tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().start_paused(true).build();
        runtime.expect("a runtime")
    };
    actix_rt::System::with_tokio_rt(runtime).block_on(play_out(play))
}

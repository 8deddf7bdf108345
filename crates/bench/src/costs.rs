//! The measurements of `slopes`: each function returns the cost at a size.

use crate::rig::{setup_ops, unlimited_org};
use shaleline_border::{CacheEvents, UpstreamReport};
use shaleline_config::{Change, ConfigMachine, Op};
use shaleline_lease::LeaseBody;
use shaleline_log::{AppendBudget, AppendOutcome, Priority, Replica, StateMachine};
use shaleline_once::{KeptAnswer, OnceBody, OnceKey, OnceMachine};
use shaleline_place::{
    CellBody, CellMachine, Demand, DesiredItem, DesiredItems, EngineReport, EngineView, Item,
    PlanInput, Planner, Policy, Resident,
};
use shaleline_route::{
    AttemptEnd, Limits, Load, RequestPolicy, Route, RouteAction, RouteEvent, RouteRequest, Router,
    RouterSettings, ShareBook, UpstreamInfo,
};
use shaleline_types::{
    ChangeId, DataCentre, Instance, Megabytes, Millis, Model, Offset, Org, RequestId, Upstream,
    WriterId,
};
use std::collections::BTreeMap;
use std::time::Instant;

/// Returns the minimum time of several runs in microseconds, which is the least disturbed by
/// other processes.
fn min_time(runs: usize, mut work: impl FnMut()) -> f64 {
    let mut best = f64::MAX;
    for _ in 0..runs {
        let started = Instant::now();
        work();
        best = best.min(started.elapsed().as_secs_f64() * 1e6);
    }
    best
}

/// Appends records through a replica, as a daemon does, and returns their bytes.
fn append<M: StateMachine>(replica: &mut Replica<M>, bodies: Vec<M::Body>) -> usize {
    let mut budget = AppendBudget::new(1_000_000, Millis(0));
    let mut bytes = 0;
    let mut pending = bodies.into_iter().peekable();
    while pending.peek().is_some() {
        for body in pending.by_ref().take(64) {
            replica.submit(Priority::Config, body);
        }
        let now = Millis(1);
        if let Some(batch) = replica.next_append(now, now, &mut budget) {
            bytes += batch.iter().map(String::len).sum::<usize>();
            let at = replica.next();
            replica.on_append(now, AppendOutcome::At(at));
        }
    }
    replica.take_committed();
    bytes
}

fn change(number: usize, base: Option<Offset>, op: Op) -> Change {
    Change {
        id: ChangeId::from_text(&format!("change-{number}")).expect("the id is valid"),
        by: "operator".to_owned(),
        base,
        op,
    }
}

fn config_replica(orgs: usize) -> Replica<ConfigMachine> {
    let mut replica: Replica<ConfigMachine> = Replica::new(WriterId(1));
    let setup = setup_ops().expect("the setup changes are valid");
    let setup = setup
        .into_iter()
        .enumerate()
        .map(|(i, op)| change(i, None, op));
    append(&mut replica, setup.collect());
    let org = |i: usize| {
        let org = unlimited_org(&format!("org-{i}")).expect("the name is valid");
        change(10 + i, None, Op::PutOrganisation(org))
    };
    append(&mut replica, (0..orgs).map(org).collect());
    assert!(
        replica.machine().organisations().len() > orgs,
        "all changes were accepted"
    );
    replica
}

pub fn config_bytes(orgs: usize) -> f64 {
    config_replica(orgs).to_snapshot().bytes() as f64
}

pub fn config_cpu(orgs: usize) -> f64 {
    const CHANGES: usize = 20;
    let mut replica = config_replica(orgs);
    let mut number = 100_000;
    let work = || {
        let mut bodies = Vec::new();
        for i in 0..CHANGES {
            number += 1;
            let org = unlimited_org(&format!("org-{i}")).expect("the name is valid");
            let base = replica
                .machine()
                .current_version(&format!("organisation/{}", org.name));
            bodies.push(change(number, base, Op::PutOrganisation(org)));
        }
        append(&mut replica, bodies);
    };
    min_time(5, work) / CHANGES as f64
}

pub fn config_restore(orgs: usize) -> f64 {
    let snapshot = config_replica(orgs).to_snapshot();
    min_time(5, || {
        let mut restored: Replica<ConfigMachine> = Replica::new(WriterId(2));
        assert!(restored.restore(&snapshot), "the snapshot is valid");
        let view = shaleline_config::View::from_machine(restored.machine(), restored.next());
        assert!(
            view.tenants().count() > orgs,
            "all organisations are resolved"
        );
    })
}

/// Returns the resident memory of this process in kilobytes.
pub fn resident_kb() -> f64 {
    const PAGE_KB: f64 = 4.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_KB
}

/// Returns the memory of a state in kilobytes, as the mean of several copies, which reduces
/// the share of the memory allocator's own pages.
fn memory_of<M: StateMachine>(replica: &Replica<M>) -> f64 {
    const COPIES: usize = 4;
    let snapshot = replica.to_snapshot();
    let before = resident_kb();
    let copies: Vec<_> = (0..COPIES).map(|_| snapshot.to_state::<M>()).collect();
    let growth = (resident_kb() - before) / COPIES as f64;
    assert!(copies.iter().all(Option::is_some), "the snapshot is valid");
    growth
}

pub fn config_memory(orgs: usize) -> f64 {
    let full = config_replica(100);
    let mut machine = serde_json::to_value(full.machine()).unwrap_or_default();
    let one = machine["orgs"]["org-1"].clone();
    for i in 0..orgs {
        let name = format!("more-{i}");
        let mut org = one.clone();
        org["name"] = name.clone().into();
        machine["orgs"][&name] = org;
        machine["versions"][format!("organisation/{name}")] =
            machine["versions"]["organisation/org-1"].clone();
    }
    let text = machine.to_string();
    const COPIES: usize = 2;
    let before = resident_kb();
    let copies: Vec<ConfigMachine> = (0..COPIES)
        .filter_map(|_| serde_json::from_str(&text).ok())
        .collect();
    let growth = (resident_kb() - before) / COPIES as f64;
    assert!(copies.len() == COPIES, "the state parses");
    growth
}

fn once_records(keys: usize) -> Vec<OnceBody> {
    let org = Org::from_text("org").expect("the name is valid");
    let mut bodies = Vec::new();
    for i in 0..keys {
        let key = OnceKey::from_parts(&org, "services/alerts", &i.to_string());
        let attempt = RequestId(i as u64);
        bodies.push(OnceBody::Begun {
            key: key.clone(),
            attempt,
            request: "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef".to_owned(),
        });
        bodies.push(OnceBody::Finished {
            key,
            attempt,
            answer: KeptAnswer {
                status: 200,
                mime: "application/json".to_owned(),
                body: Some("{\"confirmed\":true,\"valve\":7,\"at\":\"04:10\"}".to_owned()),
            },
        });
    }
    bodies
}

fn once_replica(keys: usize) -> Replica<OnceMachine> {
    let mut replica = Replica::new(WriterId(1));
    append(&mut replica, once_records(keys));
    replica
}

pub fn once_log(keys: usize) -> f64 {
    let mut replica: Replica<OnceMachine> = Replica::new(WriterId(1));
    append(&mut replica, once_records(keys)) as f64
}

pub fn once_cpu(keys: usize) -> f64 {
    let records = once_records(keys);
    let mut best = f64::MAX;
    for _ in 0..3 {
        let bodies = records.clone();
        let mut replica: Replica<OnceMachine> = Replica::new(WriterId(1));
        let started = Instant::now();
        append(&mut replica, bodies);
        best = best.min(started.elapsed().as_secs_f64() * 1e6);
    }
    best
}

pub fn once_bytes(keys: usize) -> f64 {
    once_replica(keys).to_snapshot().bytes() as f64
}

pub fn once_memory(keys: usize) -> f64 {
    memory_of(&once_replica(keys))
}

fn engine_name(number: usize) -> Upstream {
    Upstream::from_text(&format!("engine-{number:05}")).expect("the name is valid")
}

fn model_item(number: usize) -> Item {
    let model = Model::from_text(&format!("model-{number:03}")).expect("the name is valid");
    Item::base(&model, 1)
}

/// Number of models at the reference size; each engine holds `MODELS_PER_ENGINE` of them.
const MODELS: usize = 220;
const MODELS_PER_ENGINE: usize = 4;

fn cell_replica(engines: usize) -> Replica<CellMachine> {
    let mut replica: Replica<CellMachine> = Replica::new(WriterId(1));
    let claim = CellBody::Lease(LeaseBody::Claim {
        instance: Instance::from_text("entry-1").expect("the name is valid"),
        after: None,
    });
    append(&mut replica, vec![claim]);
    let adopt = |i: usize| CellBody::Adopt {
        fence: Offset(0),
        engine: engine_name(i),
        incarnation: 1,
        memory: Megabytes(80_000),
        checks_fence: false,
        resident: (0..MODELS_PER_ENGINE)
            .map(|k| {
                (
                    model_item((i * MODELS_PER_ENGINE + k) % MODELS),
                    Megabytes(15_000),
                )
            })
            .collect(),
        loading: BTreeMap::new(),
    };
    append(&mut replica, (0..engines).map(adopt).collect());
    replica
}

pub fn cell_bytes(engines: usize) -> f64 {
    cell_replica(engines).to_snapshot().bytes() as f64
}

pub fn plan_cpu(engines: usize) -> f64 {
    let replica = cell_replica(engines);
    let centre =
        |i: usize| DataCentre::from_text(&format!("dc{}", i % 3)).expect("the name is valid");
    let view = |i: usize| EngineView {
        centre: centre(i),
        capacity: 2_000.0,
        alive: true,
    };
    let views = (0..engines).map(|i| (engine_name(i), view(i))).collect();
    let models = MODELS.min(engines * 2);
    let desired_item = |i: usize| DesiredItem {
        item: model_item(i),
        size: Megabytes(15_000),
    };
    let desired = DesiredItems::from_items((0..models).map(desired_item));
    let mut demand = Demand::default();
    for i in 0..models {
        let rate = engines as f64 * 1_000.0 / models as f64;
        demand.record(
            &model_item(i).model,
            rate * (1 + i % 3) as f64 * 10.0,
            Millis(1),
        );
    }
    let mut planner = Planner::default();
    min_time(5, || {
        let plan = PlanInput {
            ledgers: replica.machine().engines(),
            views: &views,
            desired: &desired,
            demand: &demand,
            load_limit: 4,
        };
        std::hint::black_box(planner.plan(plan, Millis(1)));
    })
}

pub fn route_cpu(upstreams: usize) -> f64 {
    const REQUESTS: u64 = 2_000;
    let centre = DataCentre::from_text("dc1").expect("the name is valid");
    let mut router = Router::new(RouterSettings::new(centre.clone()), ShareBook::alone("me"));
    let route = Route::Model {
        model: model_item(1).model,
        adapter: None,
    };
    let now = Millis(1_000);
    for i in 0..upstreams {
        let upstream = engine_name(i);
        let info = UpstreamInfo {
            centre: centre.clone(),
            routes: vec![route.clone()],
            version: shaleline_types::SoftwareVersion::default(),
        };
        router.step(
            RouteEvent::Serves {
                upstream: upstream.clone(),
                info,
            },
            now,
        );
        let load = Load {
            slots: 64,
            ..Load::default()
        };
        router.step(RouteEvent::Report { upstream, load }, now);
    }
    let mut next = 0;
    let work = || {
        for _ in 0..REQUESTS {
            next += 1;
            let request = request(next, &route, now);
            for action in router.step(RouteEvent::Arrive(Box::new(request)), now) {
                if let RouteAction::Send { id, attempt, .. } = action {
                    router.step(RouteEvent::FirstByte { id, attempt }, now);
                    let end = AttemptEnd::Whole;
                    router.step(RouteEvent::Ended { id, attempt, end }, now);
                }
            }
        }
    };
    min_time(5, work) / REQUESTS as f64
}

fn request(number: u64, route: &Route, now: Millis) -> RouteRequest {
    const UNLIMITED: u64 = 1 << 40;
    RouteRequest {
        daemon: 0,
        id: RequestId(number),
        org: Org::from_text("org").expect("the name is valid"),
        route: route.clone(),
        priority: 1,
        weight: 1,
        cost: 100,
        prefix: vec![1, 2, 3, 4],
        block_sizes: Vec::new(),
        due: now.plus(10_000),
        repeatable: true,
        target: None,
        limits: Limits {
            rate: UNLIMITED,
            concurrency: UNLIMITED,
            tokens: UNLIMITED,
        },
        policy: RequestPolicy::default(),
        identity: None,
        parts: Vec::new(),
        excluded: BTreeMap::new(),
        version: None,
    }
}

fn upstream_report(items: usize) -> UpstreamReport {
    let resident = |i| Resident {
        item: model_item(i),
        size: Megabytes(15_000),
    };
    UpstreamReport {
        running: 12,
        waiting: 3,
        slots: 32,
        leaving: false,
        used: 60_000,
        engine: Some(EngineReport {
            incarnation: 7,
            memory: Megabytes(80_000),
            checks_fence: true,
            leaving: false,
            resident: (0..items).map(resident).collect(),
            loading: Vec::new(),
            orders: BTreeMap::new(),
        }),
        cache: CacheEvents::default(),
    }
}

pub fn report_bytes(items: usize) -> f64 {
    serde_json::to_string(&upstream_report(items)).map_or(0.0, |t| t.len() as f64)
}

pub fn report_cpu(items: usize) -> f64 {
    const READS: usize = 500;
    let text = serde_json::to_string(&upstream_report(items)).unwrap_or_default();
    let work = || {
        for _ in 0..READS {
            std::hint::black_box(serde_json::from_str::<UpstreamReport>(&text).is_ok());
        }
    };
    min_time(5, work) / READS as f64
}

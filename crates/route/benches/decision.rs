//! The time of one decision at 120 upstreams, without a queue and with 1,000 queued requests.

use criterion::Criterion;
use shaleline_route::{
    AttemptEnd, Limits, Load, Measurement, RequestPolicy, Route, RouteAction, RouteEvent,
    RouteRequest, Router, RouterSettings, ShareBook, UpstreamInfo,
};
use shaleline_types::{DataCentre, Millis, Model, Org, RequestId, SoftwareVersion, Upstream};
use std::collections::{BTreeMap, VecDeque};

const UPSTREAMS: usize = 120;
const SLOTS: usize = 16;
const QUEUED: usize = 1_000;
const NOW: Millis = Millis(10_000);

fn route() -> Route {
    Route::Model {
        model: Model::from_text("m1").expect("a valid name"),
        adapter: None,
    }
}

fn request(id: u64) -> RouteRequest {
    RouteRequest {
        id: RequestId(id),
        daemon: id % 80,
        org: Org::from_text("o").expect("a valid name"),
        route: route(),
        priority: (id % 3) as u8,
        weight: 1,
        cost: 1_000,
        prefix: vec![id % 40, id + 1_000],
        block_sizes: vec![400, 315],
        due: NOW.plus(1_000_000),
        target: None,
        repeatable: true,
        limits: Limits {
            rate: u64::MAX / 4,
            concurrency: u64::MAX / 4,
            tokens: u64::MAX / 4,
        },
        policy: RequestPolicy {
            backlog_limit: Some(Millis(100)),
            max_expected: Some(Millis(1_000)),
            ..RequestPolicy::default()
        },
        identity: None,
        parts: Vec::new(),
        excluded: BTreeMap::new(),
        version: None,
    }
}

/// A router, and the requests in flight.
struct Cluster {
    router: Router,
    sent: VecDeque<(RequestId, u32)>,
    next: u64,
}

impl Cluster {
    fn new(requests: usize) -> Self {
        let centre = DataCentre::from_text("dc1").expect("a valid name");
        let settings = RouterSettings {
            token_ms: 0.03,
            ..RouterSettings::new(centre.clone())
        };
        let mut router = Router::new(settings, ShareBook::alone("me"));
        for number in 0..UPSTREAMS {
            let upstream = || Upstream::from_text(&format!("u-{number:03}")).expect("a valid name");
            let info = UpstreamInfo {
                centre: centre.clone(),
                routes: vec![route()],
                version: SoftwareVersion::default(),
            };
            let serves = RouteEvent::Serves {
                upstream: upstream(),
                info,
            };
            router.step(serves, NOW);
            let report = RouteEvent::Report {
                upstream: upstream(),
                load: Load {
                    slots: SLOTS,
                    concurrency: Some(SLOTS),
                    slowdown: Some(80 + number as u32),
                    ..Load::default()
                },
            };
            router.step(report, NOW);
        }
        let mut cluster = Self {
            router,
            sent: VecDeque::new(),
            next: 0,
        };
        (0..requests).for_each(|_| cluster.arrive());
        cluster
    }

    fn step(&mut self, event: RouteEvent) {
        for action in self.router.step(event, NOW) {
            let RouteAction::Send { id, attempt, .. } = action else {
                continue;
            };
            self.sent.push_back((id, attempt));
            let measurement = Measurement {
                intervals: 20,
                elapsed: Millis(900 + id.0 % 300),
                slowdown: None,
            };
            self.router.step(RouteEvent::FirstByte { id, attempt }, NOW);
            let measured = RouteEvent::Measured {
                id,
                attempt,
                measurement,
            };
            self.router.step(measured, NOW);
        }
    }

    fn arrive(&mut self) {
        self.next += 1;
        self.step(RouteEvent::Arrive(Box::new(request(self.next))));
    }

    /// Ends the request that was sent first.
    fn end(&mut self) {
        let (id, attempt) = self.sent.pop_front().expect("one is in flight");
        let end = AttemptEnd::Whole;
        self.step(RouteEvent::Ended { id, attempt, end });
    }
}

fn decisions(criterion: &mut Criterion) {
    let mut half = Cluster::new(UPSTREAMS * SLOTS / 2);
    criterion.bench_function("an arrival at 120 upstreams with free slots", |b| {
        b.iter(|| {
            half.arrive();
            half.end();
        });
    });
    let mut full = Cluster::new(UPSTREAMS * SLOTS + QUEUED);
    criterion.bench_function("a free slot at 120 upstreams with 1,000 queued", |b| {
        b.iter(|| {
            full.end();
            full.arrive();
        });
    });
    println!("queued at the end: {}", full.router.stats().waiting);
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    decisions(&mut criterion);
    criterion.final_summary();
}

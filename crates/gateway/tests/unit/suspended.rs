//! Tests of a daemon whose instance is suspended for some seconds.
//!
//! The monotonic clock stops during a suspension, other clocks go on. By the monotonic clock, the
//! daemon underestimated the age of its planner lease, its configuration, its requests and the
//! removal of an upstream, and acted on outdated data right after it resumed.

use crate::roster::EntryRecord;
use crate::start::run_tick;
use crate::state::{Gateway, Platform};
use crate::unit::crashes::{cluster, null_platform};
use crate::unit::manual_clock::ManualClock;
use crate::Entry;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use shaleline_edge::{Clock, TimeSource};
use shaleline_fleet::{PlannerLeaseAction, PlannerLeaseView};
use shaleline_route::{Limits, RequestPolicy, Route, RouteEvent, RouteRequest};
use shaleline_types::{DataCentre, Incarnation, Org, Position, RequestId, Service, Upstream};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// The duration of the suspension, longer than every bound on the age of a daemon's data.
const SUSPENDED_MS: u64 = 6_000;

pub(super) struct Daemon {
    manual_clock: Rc<ManualClock>,
    pub(super) gw: Rc<Gateway>,
}

impl Daemon {
    pub(super) fn start() -> Self {
        let manual_clock = Rc::new(ManualClock::default());
        let time: Rc<dyn TimeSource> = manual_clock.clone();
        let platform = Platform {
            codec: Box::new(null_platform::StubCodec),
            store: Box::new(null_platform::UnavailableStore),
        };
        let address = SocketAddr::from(([10, 0, 0, 1], 1));
        let settings = cluster::settings(0, address);
        let (outbox, _) = mpsc::unbounded_channel();
        let rng = SmallRng::seed_from_u64(1);
        let gw = Gateway::with_clock(settings, platform, outbox, Clock::from_time(time), rng);
        let gw = gw.expect("a gateway");
        Self { manual_clock, gw }
    }

    pub(super) fn run(&self, millis: u64) {
        const TICK_MS: u64 = 10;
        for _ in 0..millis / TICK_MS {
            self.manual_clock.0.set(self.manual_clock.0.get() + TICK_MS);
            run_tick(&self.gw, TICK_MS);
        }
    }

    pub(super) fn suspend(&self) {
        self.manual_clock
            .0
            .set(self.manual_clock.0.get() + SUSPENDED_MS);
    }

    pub(super) fn upstream(&self) -> Upstream {
        Upstream::from_text("i-1").expect("a valid name")
    }

    pub(super) fn list(&self, offset: u64, listed: bool) {
        let entry = Entry {
            service: Service::from_text("svc").expect("a valid name"),
            address: SocketAddr::from(([10, 1, 0, 1], 80)),
            centre: DataCentre::from_text("dc0").expect("a valid name"),
            slots: 1,
            leaving: false,
            held: None,
            incarnation: Incarnation::default(),
            version: shaleline_types::SoftwareVersion::default(),
            remaining: None,
        };
        let record = EntryRecord {
            name: self.upstream(),
            position: Position::new(0, offset),
            entry: listed.then_some(entry),
        };
        self.gw.apply_entries(vec![record], self.gw.now());
    }

    /// A request with a deadline in two seconds.
    pub(super) fn request(&self, id: u64) -> RouteRequest {
        RouteRequest {
            daemon: 0,
            id: RequestId(id),
            org: Org::from_text("o").expect("a valid name"),
            route: Route::Service(Service::from_text("svc").expect("a valid name")),
            priority: 1,
            weight: 1,
            cost: 1,
            prefix: Vec::new(),
            block_sizes: Vec::new(),
            due: self.gw.now().plus(2_000),
            repeatable: false,
            target: None,
            limits: Limits {
                rate: 1_000,
                concurrency: 1_000,
                tokens: 1_000_000,
            },
            policy: RequestPolicy::default(),
            identity: None,
            parts: Vec::new(),
            excluded: std::collections::BTreeMap::new(),
            version: None,
        }
    }

    /// Submits a request.
    fn submit(&self, id: u64) {
        let request = Box::new(self.request(id));
        self.gw.route(RouteEvent::Arrive(request));
    }

    pub(super) fn sent(&self) -> u64 {
        self.gw.router.borrow().stats().sent
    }
}

/// The planner lease before any daemon has taken it.
fn no_planner_lease() -> PlannerLeaseView {
    PlannerLeaseView {
        end: 0,
        holder: None,
        released: false,
        has_handover: false,
        is_current: true,
    }
}

#[test]
fn the_planner_lease_expires_during_a_suspension() {
    let daemon = Daemon::start();
    let mut lease = daemon.gw.planner_lease.borrow_mut();
    let fence = loop {
        daemon.manual_clock.0.set(daemon.manual_clock.0.get() + 100);
        let now = daemon.gw.now();
        match lease.tick(now) {
            Some(PlannerLeaseAction::Read) => lease.on_read(&no_planner_lease(), now),
            Some(PlannerLeaseAction::Append { end, .. }) => lease.on_appended(end, now),
            None => {}
        }
        if let Some(fence) = lease.fence(daemon.gw.now()) {
            break fence;
        }
    };
    assert_eq!(lease.fence(daemon.gw.now()), Some(fence));
    daemon.suspend();
    assert_eq!(lease.fence(daemon.gw.now()), None);
}

#[test]
fn the_configuration_is_outdated_after_a_suspension() {
    let daemon = Daemon::start();
    daemon.run(100);
    let now = daemon.gw.now();
    daemon
        .gw
        .reading
        .borrow_mut()
        .on_config(Position::new(0, 7), now);
    daemon.run(100);
    assert!(!daemon.gw.is_behind());
    daemon.suspend();
    // Checked before the first tick, as a request may arrive before it.
    assert!(daemon.gw.is_behind());
    daemon.run(100);
    assert!(daemon.gw.is_behind());
}

#[test]
fn a_request_past_its_deadline_is_not_sent() {
    let daemon = Daemon::start();
    daemon.list(1, true);
    daemon.submit(1);
    daemon.submit(2);
    assert_eq!(daemon.sent(), 1);
    daemon.suspend();
    // The slot is freed before the first tick.
    daemon.gw.route(RouteEvent::CallerGone(RequestId(1)));
    daemon.run(100);
    assert_eq!(daemon.sent(), 1);
}

#[test]
fn an_upstream_whose_removal_was_delayed_gets_no_requests() {
    let daemon = Daemon::start();
    daemon.list(1, true);
    daemon.submit(1);
    let now = daemon.gw.now();
    daemon.gw.roster.borrow_mut().on_store_unstable(now);
    daemon.list(2, false);
    assert!(!daemon.gw.roster.borrow().is_leaving(&daemon.upstream()));
    daemon.suspend();
    daemon.submit(2);
    daemon.run(10);
    assert!(daemon.gw.roster.borrow().is_leaving(&daemon.upstream()));
    daemon.gw.route(RouteEvent::CallerGone(RequestId(1)));
    daemon.run(100);
    assert_eq!(daemon.sent(), 1);
}

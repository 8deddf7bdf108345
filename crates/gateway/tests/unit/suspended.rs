//! A daemon whose instance is suspended for some seconds.
//!
//! The steady clock leaves that time out, the others go on. By that clock the daemon took its claim,
//! its configuration, the time of its requests and the removal of an upstream to be as much younger
//! than they were, and acted on them in the first moments after.

use crate::roster::EntryRecord;
use crate::start::run_tick;
use crate::state::{Gateway, Platform};
use crate::unit::crashes::{border, world};
use crate::unit::hand::Hand;
use crate::Entry;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use shaleline_edge::{Clock, TimeSource};
use shaleline_fleet::{PlannerLeaseAction, PlannerLeaseView};
use shaleline_route::{Limits, RequestPolicy, Route, RouteEvent, RouteRequest};
use shaleline_types::{DataCentre, Incarnation, Org, RequestId, Service, Upstream};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// How long it is suspended, in milliseconds: more than any bound on what is believed.
const SUSPENDED: u64 = 6_000;

struct Daemon {
    hand: Rc<Hand>,
    gw: Rc<Gateway>,
}

impl Daemon {
    fn start() -> Self {
        let hand = Rc::new(Hand::default());
        let time: Rc<dyn TimeSource> = hand.clone();
        let border = Platform {
            codec: Box::new(border::NoCodec),
            store: Box::new(border::NoStore),
        };
        let address = SocketAddr::from(([10, 0, 0, 1], 1));
        let settings = world::settings(0, address);
        let (outbox, _) = mpsc::unbounded_channel();
        let rng = SmallRng::seed_from_u64(1);
        let gw = Gateway::with_clock(settings, border, outbox, Clock::from_time(time), rng);
        let gw = gw.expect("a gateway");
        Self { hand, gw }
    }

    fn run(&self, millis: u64) {
        const TICK: u64 = 10;
        for _ in 0..millis / TICK {
            self.hand.0.set(self.hand.0.get() + TICK);
            run_tick(&self.gw, TICK);
        }
    }

    fn suspend(&self) {
        self.hand.0.set(self.hand.0.get() + SUSPENDED);
    }

    fn upstream(&self) -> Upstream {
        Upstream::from_text("i-1").expect("a valid name")
    }

    fn list(&self, offset: u64, listed: bool) {
        let entry = Entry {
            service: Service::from_text("svc").expect("a valid name"),
            address: SocketAddr::from(([10, 1, 0, 1], 80)),
            centre: DataCentre::from_text("dc0").expect("a valid name"),
            slots: 1,
            leaving: false,
            held: None,
            incarnation: Incarnation::default(),
        };
        let seen = EntryRecord {
            name: self.upstream(),
            offset,
            entry: listed.then_some(entry),
        };
        self.gw.apply_entries(vec![seen], self.gw.now());
    }

    /// A request whose caller waits two seconds.
    fn ask(&self, id: u64) {
        let ask = RouteRequest {
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
            limits: Limits {
                rate: 1_000,
                concurrency: 1_000,
                tokens: 1_000_000,
            },
            policy: RequestPolicy::default(),
            identity: None,
        };
        self.gw.route(RouteEvent::Arrive(Box::new(ask)));
    }

    fn sent(&self) -> u64 {
        self.gw.router.borrow().stats().sent
    }
}

/// Nobody has claimed anything yet.
fn nobody() -> PlannerLeaseView {
    PlannerLeaseView {
        end: 0,
        holder: None,
        released: false,
        has_handover: false,
    }
}

#[test]
fn its_claim_is_over() {
    let daemon = Daemon::start();
    let mut claim = daemon.gw.planner_lease.borrow_mut();
    let fence = loop {
        daemon.hand.0.set(daemon.hand.0.get() + 100);
        let now = daemon.gw.now();
        match claim.tick(now) {
            Some(PlannerLeaseAction::Read) => claim.on_read(&nobody(), now),
            Some(PlannerLeaseAction::Append { end, .. }) => claim.on_appended(end, now),
            None => {}
        }
        if let Some(fence) = claim.fence(daemon.gw.now()) {
            break fence;
        }
    };
    assert_eq!(claim.fence(daemon.gw.now()), Some(fence));
    daemon.suspend();
    assert_eq!(claim.fence(daemon.gw.now()), None);
}

#[test]
fn its_configuration_may_be_old() {
    let daemon = Daemon::start();
    daemon.run(100);
    let now = daemon.gw.now();
    daemon.gw.reading.borrow_mut().on_config(7, now);
    daemon.run(100);
    assert!(!daemon.gw.is_behind());
    daemon.suspend();
    // Before the first tick, as a request may come first.
    assert!(daemon.gw.is_behind());
    daemon.run(100);
    assert!(daemon.gw.is_behind());
}

#[test]
fn a_request_whose_time_is_over_is_not_sent() {
    let daemon = Daemon::start();
    daemon.list(1, true);
    daemon.ask(1);
    daemon.ask(2);
    assert_eq!(daemon.sent(), 1);
    daemon.suspend();
    // The place frees before the first tick.
    daemon.gw.route(RouteEvent::CallerGone(RequestId(1)));
    daemon.run(100);
    assert_eq!(daemon.sent(), 1);
}

#[test]
fn an_upstream_whose_removal_was_held_gets_nothing() {
    let daemon = Daemon::start();
    daemon.list(1, true);
    daemon.ask(1);
    let now = daemon.gw.now();
    daemon.gw.roster.borrow_mut().on_store_unstable(now);
    daemon.list(2, false);
    assert!(!daemon.gw.roster.borrow().is_leaving(&daemon.upstream()));
    daemon.suspend();
    daemon.ask(2);
    daemon.run(10);
    assert!(daemon.gw.roster.borrow().is_leaving(&daemon.upstream()));
    daemon.gw.route(RouteEvent::CallerGone(RequestId(1)));
    daemon.run(100);
    assert_eq!(daemon.sent(), 1);
}

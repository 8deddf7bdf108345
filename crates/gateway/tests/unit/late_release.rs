//! Tests that a daemon releases the planner lease only while it holds it.
//!
//! A planner that was frozen, or cut off from the store, appended the release of a lease that it
//! had lost. A third daemon took the lease from its holder at once, and two planners sent orders to
//! the same engines by turns.

use crate::gossip::{on_datagram, Addressed};
use crate::membership::Audience;
use crate::message::{Datagram, Message, PlannerInfo, PlannerUpdate};
use crate::planner::PlannerState;
use crate::planner_lease::{perform, release, release_at_stop};
use crate::state::{Gateway, Platform};
use crate::unit::crashes::{cluster, null_platform};
use crate::unit::manual_clock::ManualClock;
use crate::{Batch, Record, Store, StoreError, StoreResult, Topic};
use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use shaleline_edge::{Clock, TimeSource};
use shaleline_fleet::PlannerLeaseAction;
use shaleline_testkit::cases;
use shaleline_types::{Millis, Position};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// The duration of the freeze of the reported fault, longer than the lease.
const FROZEN_MS: u64 = 4_000;

/// The topic of the lease as the store keeps it.
#[derive(Default)]
struct Records {
    values: RefCell<Vec<Vec<u8>>>,
    /// Whether calls are carried out and their answers lost.
    silent: Cell<bool>,
    /// Whether calls are lost.
    cut: Cell<bool>,
    /// Whether only the newest record is retained.
    is_trimmed: Cell<bool>,
    /// The number of appends that were called.
    appends: Cell<usize>,
}

impl Records {
    fn end(&self) -> Position {
        Position::new(0, self.values.borrow().len() as u64)
    }

    fn newest(&self) -> StoreResult<Batch> {
        if self.cut.get() {
            return Err(StoreError::Lost);
        }
        let values = self.values.borrow();
        let newest = values.last().map(|value| Record {
            key: "planner".to_owned(),
            value: Some(value.clone()),
            position: Position::new(0, values.len() as u64 - 1),
        });
        Ok(Batch {
            records: newest.into_iter().collect(),
            next: self.end(),
        })
    }

    fn tail(&self, from: Position) -> StoreResult<Batch> {
        if self.cut.get() {
            return Err(StoreError::Lost);
        }
        if self.is_trimmed.get() {
            return Err(StoreError::Gap);
        }
        let values = self.values.borrow();
        let records = values.iter().enumerate().map(|(offset, value)| Record {
            key: "planner".to_owned(),
            value: Some(value.clone()),
            position: Position::new(0, offset as u64),
        });
        Ok(Batch {
            records: records.filter(|r| r.position >= from).collect(),
            next: self.end(),
        })
    }

    fn append(&self, value: &[u8], end: Option<Position>) -> StoreResult<Position> {
        self.appends.set(self.appends.get() + 1);
        if self.cut.get() {
            return Err(StoreError::Lost);
        }
        let position = self.end();
        if end.is_some_and(|e| e != position) {
            return Err(StoreError::Moved(position));
        }
        self.values.borrow_mut().push(value.to_vec());
        match self.silent.get() {
            true => Err(StoreError::Lost),
            false => Ok(position),
        }
    }

    /// Whether the newest record releases the lease.
    fn is_released(&self) -> bool {
        let newest = self.values.borrow().last().cloned();
        let value = newest.map(|v| serde_json::from_slice::<serde_json::Value>(&v));
        value.is_some_and(|v| v.expect("a record")["released"] == true)
    }
}

struct Client(Rc<Records>);

impl Store for Client {
    fn newest(&self, _: Topic) -> LocalBoxFuture<'_, StoreResult<Batch>> {
        std::future::ready(self.0.newest()).boxed_local()
    }

    fn tail(&self, _: Topic, from: Position, _: Millis) -> LocalBoxFuture<'_, StoreResult<Batch>> {
        std::future::ready(self.0.tail(from)).boxed_local()
    }

    fn append(
        &self,
        _: Topic,
        _: &str,
        value: &[u8],
        end: Option<Position>,
    ) -> LocalBoxFuture<'_, StoreResult<Position>> {
        std::future::ready(self.0.append(value, end)).boxed_local()
    }
}

/// Daemons that share a clock and the topic. Only the calls of the test make them act.
struct Daemons {
    manual_clock: Rc<ManualClock>,
    clock: Clock,
    records: Rc<Records>,
}

struct Daemon {
    gw: Rc<Gateway>,
    outbox: mpsc::UnboundedReceiver<Addressed>,
}

impl Daemons {
    fn new() -> Self {
        let manual_clock = Rc::new(ManualClock::default());
        let time: Rc<dyn TimeSource> = manual_clock.clone();
        Self {
            manual_clock,
            clock: Clock::from_time(time),
            records: Rc::default(),
        }
    }

    /// Starts a daemon that knows the ones given.
    fn start(&self, index: usize, others: &[&Daemon]) -> Daemon {
        let platform = Platform {
            codec: Box::new(null_platform::StubCodec),
            store: Box::new(Client(Rc::clone(&self.records))),
        };
        let address = SocketAddr::from(([10, 0, 0, index as u8 + 1], 1));
        let settings = cluster::settings(index, address);
        let (sender, outbox) = mpsc::unbounded_channel();
        let rng = SmallRng::seed_from_u64(index as u64);
        let gw = Gateway::with_clock(settings, platform, sender, self.clock.clone(), rng);
        let gw = gw.expect("a gateway");
        for other in others {
            let now = gw.now();
            gw.membership.borrow_mut().learn_member(&other.gw.me, now);
            other.gw.membership.borrow_mut().learn_member(&gw.me, now);
        }
        Daemon { gw, outbox }
    }

    fn pass(&self, millis: u64) {
        let clock = &self.manual_clock.0;
        clock.set(clock.get() + millis);
    }

    /// Performs what a daemon's lease asks for now.
    fn tick(&self, daemon: &Daemon) {
        let now = daemon.gw.now();
        let action = daemon.gw.planner_lease.borrow_mut().tick(now);
        if let Some(action) = action {
            perform(&daemon.gw, action, now)
                .now_or_never()
                .expect("the store answers at once");
        }
    }

    /// Lets a daemon acquire the lease; returns the time that it took.
    fn acquire(&self, daemon: &Daemon) -> u64 {
        const STEP_MS: u64 = 10;
        let mut waited = 0;
        while daemon.fence().is_none() {
            assert!(waited < 10_000, "the lease is not acquired");
            self.tick(daemon);
            self.pass(STEP_MS);
            waited += STEP_MS;
        }
        waited
    }
}

impl Daemon {
    fn fence(&self) -> Option<u64> {
        self.gw.planner_lease.borrow().fence(self.gw.now())
    }

    fn release(&self, reason: &str) {
        release(&self.gw, &PlannerState::default(), reason)
            .now_or_never()
            .expect("the store answers at once");
    }

    /// The messages that it has sent and that announce a release.
    fn announcements(&mut self) -> Vec<Datagram> {
        let mut all = Vec::new();
        while let Ok(messages) = self.outbox.try_recv() {
            all.extend(messages.into_iter().map(|(_, datagram)| datagram));
        }
        all.retain(|d| release_of(d).is_some());
        all
    }

    /// Learns of a lease that another daemon has just renewed.
    fn learn_lease(&self, fence: u64, end: u64) {
        self.gw
            .on_planner_update(&PlannerUpdate::Renewed(PlannerInfo {
                fence,
                address: SocketAddr::from(([10, 0, 0, 99], 1)),
                end,
                age: 0,
            }));
    }
}

/// The fencing token that a message releases, none where it names none; `None` for other messages.
fn release_of(datagram: &Datagram) -> Option<Option<u64>> {
    match datagram.message {
        Message::PlannerUpdate(PlannerUpdate::LeaseReleased { fence }) => Some(Some(fence)),
        Message::PlannerUpdate(PlannerUpdate::Released) => Some(None),
        _ => None,
    }
}

/// What happens between the last renewal of the planner and its release.
#[derive(Debug, Clone, Copy)]
struct Case {
    /// The time that passes, in milliseconds.
    passed: u64,
    /// Whether another daemon acquires the lease meanwhile.
    succeeded: bool,
    /// Why the planner releases the lease.
    reason: &'static str,
}

/// Returns whether the release is appended, and whether it is announced.
fn releases(case: Case) -> (bool, bool) {
    let daemons = Daemons::new();
    let mut planner = daemons.start(0, &[]);
    let successor = daemons.start(1, &[&planner]);
    daemons.acquire(&planner);
    daemons.pass(case.passed);
    if case.succeeded {
        let end = daemons.records.end();
        let value = br#"{"holder":"d1/1","released":false}"#;
        assert!(daemons.records.append(value, Some(end)).is_ok());
    }
    drop(successor);
    planner.release(case.reason);
    assert!(!planner.gw.planner_lease.borrow().is_holder());
    (
        daemons.records.is_released(),
        !planner.announcements().is_empty(),
    )
}

cases! { releases;
    a_planner_that_stops_releases_its_lease: Case { passed: 500, succeeded: false, reason: "stopping" } => (true, true),
    a_planner_that_hears_too_few_releases_its_lease: Case { passed: 500, succeeded: false, reason: "hears-too-few" } => (true, true),
    // A planner froze, was stopped by SIGTERM and resumed: the lease of its successor ended.
    a_planner_that_froze_does_not_release_the_lease_of_its_successor: Case { passed: FROZEN_MS, succeeded: true, reason: "stopping" } => (false, false),
    a_planner_whose_lease_lapsed_releases_nothing: Case { passed: FROZEN_MS, succeeded: false, reason: "stopping" } => (false, false),
    // A planner was cut off, and its link recovered just before it released the lease for want of
    // reports.
    a_planner_that_was_cut_off_does_not_release_the_lease_of_its_successor: Case { passed: 3_400, succeeded: true, reason: "hears-too-few" } => (false, false),
    // Whatever its clock says: the store has a record behind its own.
    a_valid_planner_does_not_release_the_lease_of_another: Case { passed: 500, succeeded: true, reason: "stopping" } => (false, false),
}

/// A renewal is in progress when the planner stops, or its answer was lost.
#[test]
fn a_planner_whose_renewal_is_not_answered_releases_its_lease() {
    let daemons = Daemons::new();
    let mut planner = daemons.start(0, &[]);
    let _other = daemons.start(1, &[&planner]);
    daemons.acquire(&planner);
    daemons.pass(500);
    daemons.records.silent.set(true);
    daemons.tick(&planner);
    daemons.records.silent.set(false);
    planner.release("stopping");
    assert!(daemons.records.is_released());
    assert_eq!(planner.announcements().len(), 1);
}

/// An append without an answer may still take effect, and a second one would come even later.
#[test]
fn a_release_without_an_answer_is_not_repeated() {
    let daemons = Daemons::new();
    let mut planner = daemons.start(0, &[]);
    let _other = daemons.start(1, &[&planner]);
    daemons.acquire(&planner);
    let before = daemons.records.appends.get();
    daemons.records.cut.set(true);
    planner.release("stopping");
    assert_eq!(daemons.records.appends.get(), before + 1);
    assert!(planner.announcements().is_empty());
}

/// A planner that stops names its token, and its successor acquires the lease without a wait.
#[test]
fn a_planned_stop_hands_over_at_once() {
    let daemons = Daemons::new();
    let mut planner = daemons.start(0, &[]);
    let successor = daemons.start(1, &[&planner]);
    daemons.acquire(&planner);
    let fence = planner.fence().expect("the planner holds the lease");
    successor.learn_lease(fence, daemons.records.end().to_u64());
    daemons.tick(&successor);
    planner.release("stopping");
    let messages = planner.announcements();
    let released: Vec<Option<Option<u64>>> = messages.iter().map(release_of).collect();
    assert_eq!(released, [Some(Some(fence))]);
    let message = messages.into_iter().next().expect("one was sent");
    on_datagram(&successor.gw, message);
    let waited = daemons.acquire(&successor);
    assert!(waited <= 50, "acquired after {waited} ms");
    assert!(successor.fence() > Some(fence));
}

/// Whether a daemon that knows the lease with token 7 reads the topic for a message, and whether it
/// still knows the planner.
fn after_message(update: &PlannerUpdate) -> (bool, bool) {
    let daemons = Daemons::new();
    let daemon = daemons.start(0, &[]);
    daemon.learn_lease(7, 12);
    let now = daemon.gw.now();
    assert_eq!(daemon.gw.planner_lease.borrow_mut().tick(now), None);
    daemon.gw.on_planner_update(update);
    let action = daemon.gw.planner_lease.borrow_mut().tick(now);
    let knows_planner = daemon.gw.membership.borrow().planner(now).is_some();
    (action == Some(PlannerLeaseAction::Read), knows_planner)
}

cases! { after_message;
    a_release_of_the_known_lease_is_looked_up: &PlannerUpdate::LeaseReleased { fence: 7 } => (true, false),
    a_release_of_a_later_lease_is_looked_up: &PlannerUpdate::LeaseReleased { fence: 9 } => (true, false),
    // The message of a planner that froze before it sent it, or that was long in transit.
    a_release_of_an_earlier_lease_is_ignored: &PlannerUpdate::LeaseReleased { fence: 6 } => (false, true),
    // Daemons of the earlier release run alongside during an upgrade.
    a_release_without_a_token_is_looked_up: &PlannerUpdate::Released => (true, false),
}

/// The release of an earlier lease must not make a holder's own peers look for a successor.
#[test]
fn a_holder_ignores_the_release_of_an_earlier_lease() {
    let daemons = Daemons::new();
    let daemon = daemons.start(0, &[]);
    daemons.records.values.borrow_mut().push(b"{}".to_vec());
    daemons.acquire(&daemon);
    let fence = daemon.fence().expect("it holds the lease");
    let update = PlannerUpdate::LeaseReleased { fence: fence - 1 };
    let audience = daemon.gw.on_planner_update(&update);
    assert_eq!(audience, Audience::Receiver);
    assert_eq!(daemon.fence(), Some(fence));
}

/// A daemon that stopped while it acquired the lease left it behind without a holder, until it lapsed.
#[test]
fn a_daemon_that_stops_while_it_acquires_the_lease_releases_it() {
    let daemons = Daemons::new();
    let stopping = daemons.start(0, &[]);
    let now = stopping.gw.now();
    let tick = || stopping.gw.planner_lease.borrow_mut().tick(now);
    assert_eq!(tick(), Some(PlannerLeaseAction::Read));
    let read = perform(&stopping.gw, PlannerLeaseAction::Read, now);
    read.now_or_never().expect("the store answers at once");
    let action = tick().expect("an acquisition");
    stopping.gw.stopping.set(true);
    let state = PlannerState::default();
    let mut stop = Box::pin(release_at_stop(&stopping.gw, &state));
    assert!(
        (&mut stop).now_or_never().is_none(),
        "it waits for the acquisition"
    );
    let acquisition = perform(&stopping.gw, action, now);
    acquisition
        .now_or_never()
        .expect("the store answers at once");
    stop.now_or_never().expect("the store answers at once");
    assert!(daemons.records.is_released());
}

/// The earlier release of the daemons appended the release of a lease without a condition, so that a
/// late one came behind the acquisition of another daemon.
mod earlier_releases {
    use super::*;

    const HELD_BY_A: &[u8] = br#"{"holder":"a/1","released":false}"#;
    const HELD_BY_B: &[u8] = br#"{"holder":"b/1","released":false}"#;
    const RELEASED_BY_A: &[u8] =
        br#"{"holder":"a/1","released":true,"last":{"orders":{},"loads":[],"blocked":0}}"#;
    const RELEASED_BY_C: &[u8] =
        br#"{"holder":"c/1","released":true,"last":{"orders":{},"loads":[],"blocked":0}}"#;
    const RELEASED_WITH_TOKEN: &[u8] =
        br#"{"holder":"a/1","released":true,"last":{"orders":{},"loads":[],"blocked":0},"fence":2}"#;

    /// A successor that acquires the lease of a failed holder waits for at least this long.
    const TAKEOVER_MS: u64 = 1_600;

    /// Whether a daemon that finds these records acquires the lease at once.
    fn is_free(records: &[&[u8]]) -> bool {
        waits_for(records, false) < 100
    }

    /// The same, if the store retains only the newest one.
    fn is_free_by_newest(records: &[&[u8]]) -> bool {
        waits_for(records, true) < 100
    }

    fn waits_for(records: &[&[u8]], is_trimmed: bool) -> u64 {
        let daemons = Daemons::new();
        let daemon = daemons.start(0, &[]);
        let values = records.iter().map(|r| r.to_vec());
        daemons.records.values.borrow_mut().extend(values);
        daemons.records.is_trimmed.set(is_trimmed);
        let waited = daemons.acquire(&daemon);
        assert!(
            !(100..TAKEOVER_MS).contains(&waited),
            "acquired after {waited} ms"
        );
        waited
    }

    // A frozen planner of the earlier release was stopped and resumed: its release came behind the
    // acquisition of its successor, and a third daemon acquired the lease.
    cases! { is_free;
        a_release_behind_the_record_of_another_daemon_releases_nothing: &[HELD_BY_A, HELD_BY_B, RELEASED_BY_A] => false,
        two_of_them_release_nothing: &[HELD_BY_A, HELD_BY_B, RELEASED_BY_A, RELEASED_BY_C] => false,
        a_release_behind_an_unreadable_record_releases_nothing: &[HELD_BY_A, b"?", RELEASED_BY_A] => false,
        a_release_without_a_record_before_it_releases_nothing: &[RELEASED_BY_A] => false,
        a_release_behind_its_writers_own_record_counts: &[HELD_BY_B, HELD_BY_A, RELEASED_BY_A] => true,
        a_lease_that_is_free_stays_free: &[HELD_BY_A, RELEASED_BY_A, RELEASED_BY_C] => true,
        a_release_with_a_token_counts: &[HELD_BY_B, HELD_BY_A, RELEASED_WITH_TOKEN] => true,
    }

    cases! { is_free_by_newest;
        a_lone_release_releases_nothing: &[HELD_BY_A, RELEASED_BY_A] => false,
        a_lone_release_with_a_token_counts: &[HELD_BY_A, RELEASED_WITH_TOKEN] => true,
    }

    /// Lets a daemon hold the lease and a late release of another one come behind its record.
    fn holder_and_late_release(daemons: &Daemons) -> (Daemon, u64) {
        let holder = daemons.start(0, &[]);
        daemons.acquire(&holder);
        let fence = holder.fence().expect("it holds the lease");
        let late = daemons.records.append(RELEASED_BY_A, None);
        assert!(late.is_ok());
        (holder, fence)
    }

    /// The release of another daemon must not end the lease of its holder.
    #[test]
    fn a_holder_keeps_its_lease_after_a_late_release() {
        let daemons = Daemons::new();
        let (holder, fence) = holder_and_late_release(&daemons);
        for _ in 0..200 {
            daemons.pass(10);
            daemons.tick(&holder);
        }
        assert_eq!(holder.fence(), Some(fence));
        assert!(!daemons.records.is_released());
    }

    /// A holder that stops finds a late release behind its own record.
    #[test]
    fn a_holder_releases_its_lease_after_a_late_release() {
        let daemons = Daemons::new();
        let (holder, _) = holder_and_late_release(&daemons);
        holder.release("stopping");
        let successor = daemons.start(1, &[]);
        assert!(daemons.acquire(&successor) < 100);
    }

    /// A daemon of the earlier release that hears of a late release acquires the lease within some
    /// milliseconds, so that the holder sends no orders until it has renewed its own.
    #[test]
    fn a_holder_that_hears_of_a_release_renews_before_it_sends_orders() {
        let daemons = Daemons::new();
        let (holder, fence) = holder_and_late_release(&daemons);
        let audience = holder.gw.on_planner_update(&PlannerUpdate::Released);
        assert_eq!(audience, Audience::Receiver);
        assert_eq!(holder.fence(), None);
        // The append finds another end, the topic is read, and the next append confirms the lease.
        for _ in 0..2 {
            daemons.tick(&holder);
            assert_eq!(holder.fence(), None);
        }
        daemons.tick(&holder);
        assert_eq!(holder.fence(), Some(fence));
    }

    /// The same, where the other daemon was faster.
    #[test]
    fn a_holder_that_hears_of_a_release_and_lost_its_lease_sends_no_orders() {
        let daemons = Daemons::new();
        let (holder, _) = holder_and_late_release(&daemons);
        holder.gw.on_planner_update(&PlannerUpdate::Released);
        assert!(daemons.records.append(HELD_BY_B, None).is_ok());
        for _ in 0..10 {
            daemons.tick(&holder);
            assert_eq!(holder.fence(), None);
        }
        assert!(!holder.gw.planner_lease.borrow().is_holder());
    }

    /// A daemon that plans with a higher token shows that the lease was lost.
    #[test]
    fn a_holder_that_hears_of_a_higher_token_sends_no_orders() {
        let daemons = Daemons::new();
        let holder = daemons.start(0, &[]);
        daemons.acquire(&holder);
        let fence = holder.fence().expect("it holds the lease");
        holder.learn_lease(fence + 1, daemons.records.end().to_u64());
        assert_eq!(holder.fence(), None);
    }
}

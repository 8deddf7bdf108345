//! Tests that the planner learns when refused callers will retry for an adapter.
//!
//! Symptom: callers were refused on their retry although the planner could have loaded the adapter.
//!
//! Cause: the planner learned of a refused caller by a single datagram. If that was lost, or if
//! another daemon became the planner, it learned of the caller by the load reports, which took
//! longer than the retry-after time.

use crate::gossip::{on_datagram, Addressed};
use crate::job::Job;
use crate::message::{Datagram, HubReport, LoadReport, Message, PlannerInfo, WantedReport};
use crate::request::Permit;
use crate::start::run_tick;
use crate::state::{Gateway, Platform};
use crate::unit::crashes::{cluster, null_platform};
use crate::unit::manual_clock::ManualClock;
use crate::wanted::WantedAdapters;
use crate::wanted_reports::WantedReports;
use crate::Head;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use shaleline_edge::{Clock, TimeSource};
use shaleline_fleet::{PlannerLeaseAction, PlannerLeaseView};
use shaleline_testkit::cases;
use shaleline_types::{Adapter, Millis, Model, Service};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// The interval of the daemons' ticks.
pub const TICK_MS: u64 = 50;

pub fn model() -> Model {
    Model::from_text("m").expect("a valid name")
}

pub fn adapter(number: usize) -> Adapter {
    Adapter::from_text(&format!("a{number}")).expect("a valid name")
}

/// The acknowledgements that arrive, each with its time and the fence of the planner.
type Acks = &'static [(u64, u64)];

/// Refuses a caller at 0 with a retry-after time, and returns the times at which it is reported.
/// The planner at each time is given by its fence, none where there is none.
fn report_times((retry, planner, acks): (u64, fn(u64) -> Option<u64>, Acks)) -> Vec<u64> {
    let mut reports = WantedReports::default();
    reports.record(&model(), &adapter(0), Millis(retry), Millis(0));
    let mut times = Vec::new();
    let mut numbers = BTreeSet::new();
    for now in (0..2_000).step_by(TICK_MS as usize) {
        for (_, fence) in acks.iter().filter(|(at, _)| *at == now) {
            let numbers: Vec<u32> = numbers.iter().copied().collect();
            reports.on_ack(*fence, &numbers);
        }
        let due = planner(now).map(|fence| reports.take_due(fence, Millis(now)));
        for report in due.into_iter().flatten() {
            numbers.insert(report.number);
            times.push(now);
        }
    }
    times
}

cases! {
    report_times;
    a_report_is_repeated_until_the_retry_is_over:
        (200, |_| Some(7), &[]) => vec![0, 100, 200, 300, 400],
    a_report_is_not_repeated_after_its_acknowledgement:
        (500, |_| Some(7), &[(150, 7)]) => vec![0, 100],
    a_new_planner_is_sent_what_its_predecessor_acknowledged:
        (800, |now| Some(if now < 300 { 7 } else { 8 }), &[(50, 7), (350, 8)]) => vec![0, 300],
    a_late_acknowledgement_of_the_predecessor_does_not_count:
        (500, |now| Some(if now < 200 { 7 } else { 8 }), &[(250, 7), (450, 8)])
        => vec![0, 100, 200, 300, 400],
    a_report_waits_for_a_planner:
        (1_500, |now| (now >= 1_000).then_some(7), &[(1_050, 7)]) => vec![1_000],
    a_retry_that_is_over_is_not_reported:
        (500, |now| (now >= 750).then_some(7), &[]) => Vec::<u64>::new(),
    an_earlier_planner_is_not_sent_what_its_successor_has:
        (800, |now| Some(if now < 300 { 8 } else { 7 }), &[(50, 8)]) => vec![0],
}

/// Refuses callers at the given times with a retry-after time of 1 s, and returns the ages and the
/// retry times that are reported at 500 ms.
fn reported(refused: &[u64]) -> Vec<(u32, u32)> {
    let mut reports = WantedReports::default();
    for at in refused {
        reports.record(&model(), &adapter(0), Millis(1_000), Millis(*at));
    }
    let due = reports.take_due(7, Millis(500));
    due.iter().map(|r| (r.waited, r.retry)).collect()
}

cases! {
    reported;
    times_count_from_the_report: &[100] => vec![(400, 600)],
    callers_that_retry_at_the_same_time_share_a_report: &[100, 150] => vec![(400, 600)],
    each_retry_is_reported: &[100, 300] => vec![(400, 600), (200, 800)],
}

#[test]
fn the_refusals_with_the_first_retries_are_dropped_if_there_are_too_many() {
    let mut reports = WantedReports::default();
    for number in 0..300 {
        let retry = Millis(500 + number as u64);
        reports.record(&model(), &adapter(number), retry, Millis(0));
    }
    let due = reports.take_due(7, Millis(0));
    let numbers: BTreeSet<u32> = due.iter().map(|r| r.number).collect();
    assert_eq!(numbers, (45..=300).collect());
}

/// What a planner receives about one adapter.
#[derive(Clone, Copy)]
enum Event {
    Request,
    /// The time since the refusal, and until the retry.
    Report(u32, u32),
}

/// The waited time, the age of the last refusal, and the first and the last retry.
type Seen = (u32, u32, u32, u32);

/// Returns what a plan is given after events at the given times, none where the adapter is no
/// longer wanted.
fn planned((events, now): (&[(u64, Event)], u64)) -> Option<Seen> {
    let mut wanted = WantedAdapters::default();
    for (at, event) in events {
        let at = Millis(*at);
        match *event {
            Request => wanted.on_request(&model(), &adapter(0), at),
            Report(waited, retry) => {
                let report = WantedReport {
                    number: 1,
                    model: model(),
                    adapter: adapter(0),
                    waited,
                    retry,
                };
                wanted.on_report(&report, at);
            }
        }
    }
    wanted.prune(Millis(now));
    let unmet = wanted.unmet(Millis(now)).next();
    unmet.map(|(_, u, _)| (u.waited, u.last_age, u.next_retry, u.last_retry))
}

const START: u64 = 10_000;
use Event::{Report, Request};

cases! {
    planned;
    a_request_without_a_report_has_the_usual_retry_time:
        (&[(START, Request)], START + 100) => Some((100, 100, 400, 400)),
    a_report_gives_the_retry_time:
        (&[(START, Request), (START + 20, Report(10, 3_000))], START + 100)
        => Some((90, 90, 2_920, 2_920)),
    the_first_and_the_last_retry_are_planned_for:
        (&[(START, Report(0, 900)), (START, Report(0, 500)), (START, Report(0, 700))], START + 100)
        => Some((100, 100, 400, 800)),
    a_repeated_report_is_the_same_retry:
        (&[(START, Report(0, 500)), (START + 100, Report(100, 405))], START + 200)
        => Some((200, 200, 300, 300)),
    a_new_planner_knows_how_long_callers_have_waited:
        (&[(START, Report(2_500, 400))], START + 100) => Some((2_600, 2_600, 300, 300)),
    a_retry_that_is_due_is_planned_for:
        (&[(START, Report(500, 0))], START + 50) => Some((550, 550, 50, 50)),
    an_adapter_is_wanted_for_some_time_after_the_retry:
        (&[(START, Report(0, 500))], START + 1_900) => Some((1_900, 1_900, 0, 0)),
    an_adapter_is_not_wanted_for_good: (&[(START, Report(0, 500))], START + 2_000) => None,
    an_adapter_is_wanted_until_its_last_retry_is_over:
        (&[(START, Report(0, 4_000))], START + 4_200) => Some((4_200, 4_200, 0, 0)),
    an_adapter_is_not_wanted_after_its_last_retry:
        (&[(START, Report(0, 4_000))], START + 4_250) => None,
}

#[test]
fn the_first_retries_and_the_last_are_kept() {
    let retries: Vec<(u64, Event)> = (1..=20).map(|n| (START, Report(0, n * 200))).collect();
    assert_eq!(planned((&retries, START)), Some((0, 0, 200, 4_000)));
}

struct Daemon {
    manual_clock: Rc<ManualClock>,
    gw: Rc<Gateway>,
    outbox: mpsc::UnboundedReceiver<Addressed>,
}

impl Daemon {
    fn start(index: u8) -> Self {
        let manual_clock = Rc::new(ManualClock::default());
        let time: Rc<dyn TimeSource> = manual_clock.clone();
        let platform = Platform {
            codec: Box::new(null_platform::StubCodec),
            store: Box::new(null_platform::UnavailableStore),
        };
        let address = SocketAddr::from(([10, 0, 0, index], 1));
        let settings = cluster::settings(usize::from(index), address);
        let (sender, outbox) = mpsc::unbounded_channel();
        let rng = SmallRng::seed_from_u64(u64::from(index));
        let gw = Gateway::with_clock(settings, platform, sender, Clock::from_time(time), rng);
        Self {
            manual_clock,
            gw: gw.expect("a gateway"),
            outbox,
        }
    }

    /// Starts a daemon that holds the planner lease with the given fence.
    fn start_planner(index: u8, fence: u64) -> Self {
        let daemon = Self::start(index);
        let now = daemon.gw.now();
        let view = PlannerLeaseView {
            end: fence - 1,
            holder: None,
            released: false,
            has_handover: false,
            is_current: true,
        };
        let mut lease = daemon.gw.planner_lease.borrow_mut();
        lease.tick(now);
        lease.on_read(&view, now);
        let action = lease.tick(now);
        assert!(matches!(action, Some(PlannerLeaseAction::Append { .. })));
        lease.on_appended(fence - 1, now);
        assert_eq!(lease.fence(now), Some(fence));
        drop(lease);
        daemon
    }

    /// Receives from the hub of its data centre who plans.
    fn learn_planner(&self, hub: &Self, planner: &Self) {
        let fence = planner.gw.planner_lease.borrow().fence(planner.gw.now());
        let fence = fence.expect("a planner");
        let load = LoadReport {
            daemons: 3,
            planner: Some(PlannerInfo {
                fence,
                address: planner.gw.me.address,
                end: fence,
                age: 0,
            }),
            ..LoadReport::default()
        };
        let total = HubReport {
            load,
            position: None,
            hubs: Vec::new(),
            crashes: 0,
            ack: None,
            centre_size: 2,
        };
        let datagram = Datagram {
            from: hub.gw.me.clone(),
            message: Message::TotalLoad(total),
        };
        on_datagram(&self.gw, datagram);
        let now = self.gw.now();
        let known = self.gw.membership.borrow().planner(now);
        assert_eq!(known.map(|p| p.fence), Some(fence));
    }

    /// Begins a request or a retry for the adapter.
    fn request(&self, is_retry: bool) -> Permit {
        let job = Job {
            is_retry,
            ..self.job()
        };
        Permit::ask(&self.gw, &job)
    }

    fn job(&self) -> Job {
        let head = Head {
            model: Some(model()),
            adapter: Some(adapter(0)),
            ..Head::default()
        };
        let service = Service::from_text("llm").expect("a valid name");
        cluster::job(head, service, self.gw.now())
    }

    /// Refuses a caller that is to retry after `retry` milliseconds.
    fn refuse_caller(&self, retry: u64) {
        self.gw.record_unmet(&self.job(), Millis(retry));
    }

    fn run(&self, millis: u64) {
        for _ in 0..millis / TICK_MS {
            self.manual_clock.0.set(self.manual_clock.0.get() + TICK_MS);
            run_tick(&self.gw, TICK_MS);
        }
    }

    /// Takes the messages that it has sent to another daemon.
    fn take_sent(&mut self, to: &Self) -> Vec<Datagram> {
        let mut all = Vec::new();
        while let Ok(messages) = self.outbox.try_recv() {
            let to = messages.into_iter().filter(|(t, _)| *t == to.gw.me.address);
            all.extend(to.map(|(_, datagram)| datagram));
        }
        all
    }

    /// Delivers the messages that it has sent to another daemon. Returns their number.
    fn deliver(&mut self, to: &Self) -> usize {
        let sent = self.take_sent(to);
        let count = sent.len();
        sent.into_iter().for_each(|d| on_datagram(&to.gw, d));
        count
    }

    /// Whether it knows, as the planner, that callers want the adapter.
    fn knows_wanted(&self) -> bool {
        let wanted = self.gw.unmet_adapters.borrow();
        wanted.contains_key(&(model(), adapter(0)))
    }
}

#[test]
fn a_lost_report_is_sent_again_until_the_planner_has_it() {
    let (hub, mut daemon) = (Daemon::start(3), Daemon::start(6));
    let mut planner = Daemon::start_planner(1, 5);
    daemon.learn_planner(&hub, &planner);
    daemon.refuse_caller(500);
    daemon.take_sent(&planner);
    assert!(!planner.knows_wanted());
    daemon.run(100);
    daemon.deliver(&planner);
    assert!(planner.knows_wanted());
    planner.deliver(&daemon);
    daemon.run(300);
    assert_eq!(daemon.deliver(&planner), 0);
}

#[test]
fn a_new_planner_is_sent_the_reports_of_its_predecessor() {
    let (hub, mut daemon) = (Daemon::start(3), Daemon::start(6));
    let mut planner = Daemon::start_planner(1, 5);
    daemon.learn_planner(&hub, &planner);
    daemon.refuse_caller(900);
    daemon.deliver(&planner);
    planner.deliver(&daemon);
    daemon.run(300);
    let successor = Daemon::start_planner(2, 6);
    daemon.learn_planner(&hub, &successor);
    daemon.run(TICK_MS);
    daemon.deliver(&successor);
    assert!(successor.knows_wanted());
}

#[test]
fn a_daemon_that_does_not_plan_acknowledges_nothing() {
    let (hub, mut daemon) = (Daemon::start(3), Daemon::start(6));
    let mut planner = Daemon::start_planner(1, 5);
    daemon.learn_planner(&hub, &planner);
    planner.gw.planner_lease.borrow_mut().step_down();
    daemon.refuse_caller(500);
    assert_eq!(daemon.deliver(&planner), 1);
    assert_eq!(planner.deliver(&daemon), 0);
}

#[test]
fn a_planner_knows_the_refusals_of_its_own_callers() {
    let planner = Daemon::start_planner(1, 5);
    planner.refuse_caller(500);
    assert!(planner.knows_wanted());
}

#[test]
fn the_planner_knows_of_a_retry_that_waits_for_an_adapter() {
    let planner = Daemon::start_planner(1, 5);
    let retry = planner.request(true);
    assert!(!planner.knows_wanted());
    planner.run(TICK_MS);
    assert!(planner.knows_wanted());
    drop(retry);
}

#[test]
fn a_retry_that_ends_at_once_is_not_reported() {
    let planner = Daemon::start_planner(1, 5);
    drop(planner.request(true));
    planner.run(300);
    assert!(!planner.knows_wanted());
}

#[test]
fn a_first_attempt_that_waits_is_not_reported_as_a_retry() {
    let planner = Daemon::start_planner(1, 5);
    let request = planner.request(false);
    planner.run(300);
    assert!(!planner.knows_wanted());
    drop(request);
}

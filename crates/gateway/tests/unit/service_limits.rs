//! Tests that what the upstreams of a service say of themselves is known for those that have not
//! said anything yet, as they have just started.

use super::crashes::{cluster, null_platform};
use super::manual_clock::ManualClock;
use crate::gossip::{on_datagram, Outbox};
use crate::message::{Datagram, LimitMessage, Message, Sender};
use crate::roster::EntryRecord;
use crate::state::{Gateway, Platform};
use crate::{AnswerHead, Entry};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use shaleline_edge::Clock;
use shaleline_testkit::cases;
use shaleline_types::{DataCentre, Incarnation, Instance, Position, Service, Upstream};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

use Step::{Answer, Gone, Rate, Restart, Wait};

/// A daemon with the upstreams `u0` and `u1` of one service and `u2` of another one.
struct Daemon {
    gw: Rc<Gateway>,
    outbox: Outbox,
    clock: Rc<ManualClock>,
}

/// What happens to the daemon.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// An upstream answers with this maximum of rejections, or with none.
    Answer(usize, Option<f64>),
    /// An upstream answers and names a rate.
    Rate(usize),
    /// An upstream starts again under its name.
    Restart(usize),
    /// An upstream is gone.
    Gone(usize),
    /// Time passes, in milliseconds.
    Wait(u64),
}

fn upstream(number: usize) -> Upstream {
    Upstream::from_text(&format!("u{number}")).expect("a valid name")
}

fn record(number: usize, position: u64, present: bool) -> EntryRecord {
    let service = if number < 2 { "first" } else { "second" };
    let entry = Entry {
        service: Service::from_text(service).expect("a valid name"),
        address: SocketAddr::from(([10, 1, 0, 1 + number as u8], 80)),
        centre: DataCentre::from_text("dc0").expect("a valid name"),
        slots: 8,
        leaving: false,
        held: None,
        incarnation: Incarnation::from_millis(position),
        version: shaleline_types::SoftwareVersion::default(),
        remaining: None,
    };
    EntryRecord {
        name: upstream(number),
        position: Position::new(0, position),
        entry: present.then_some(entry),
    }
}

impl Daemon {
    fn start() -> Self {
        let daemon = Self::start_unlisted();
        daemon.list_upstreams();
        daemon
    }

    /// Lists the three upstreams.
    fn list_upstreams(&self) {
        let records = (0..3).map(|number| record(number, 1, true));
        self.gw.apply_entries(records.collect(), self.gw.now());
    }

    fn maxima(&self) -> [Option<f64>; 3] {
        [0, 1, 2].map(|number| self.gw.max_rejections(&upstream(number)))
    }

    /// Starts a daemon that knows no upstream.
    fn start_unlisted() -> Self {
        let platform = Platform {
            codec: Box::new(null_platform::StubCodec),
            store: Box::new(null_platform::UnavailableStore),
        };
        let address = SocketAddr::from(([10, 0, 0, 1], 7_000));
        let (sender, outbox) = mpsc::unbounded_channel();
        let clock = Rc::new(ManualClock::default());
        let settings = cluster::settings(0, address);
        let rng = SmallRng::seed_from_u64(1);
        let time = Clock::from_time(clock.clone());
        let gw = Gateway::with_clock(settings, platform, sender, time, rng).expect("a gateway");
        Self { gw, outbox, clock }
    }

    fn apply(&self, step: Step) {
        let gw = &self.gw;
        let answer = |number, answer: AnswerHead| {
            let sent = gw.begin_send(1, &upstream(number));
            gw.record_answer(&sent, &answer);
        };
        let position = 2 + self.clock.0.get();
        match step {
            Answer(number, max_rejections) => answer(
                number,
                AnswerHead {
                    max_rejections,
                    ..AnswerHead::default()
                },
            ),
            Rate(number) => answer(
                number,
                AnswerHead {
                    rate_limit: Some(1.0),
                    max_rejections: Some(3.0),
                    ..AnswerHead::default()
                },
            ),
            Restart(number) => {
                gw.apply_entries(vec![record(number, position, true)], gw.now());
            }
            Gone(number) => {
                gw.apply_entries(vec![record(number, position, false)], gw.now());
            }
            Wait(millis) => {
                self.clock.0.set(self.clock.0.get() + millis);
                gw.repeat_limits();
            }
        }
    }

    /// The number of hubs to which rejections were reported since the last call.
    fn reported_rejections(&mut self) -> usize {
        let sent = std::iter::from_fn(|| self.outbox.try_recv().ok()).flatten();
        let is_rejection = |m: &Message| matches!(m, Message::Limits(LimitMessage::Rejected(_)));
        sent.filter(|(_, d)| is_rejection(&d.message)).count()
    }
}

/// The maxima of rejections that are known of the three upstreams after these steps.
fn maxima(steps: &[Step]) -> [Option<f64>; 3] {
    let daemon = Daemon::start();
    for step in steps {
        daemon.apply(*step);
        daemon.apply(Wait(1));
    }
    daemon.maxima()
}

cases! {
    maxima;
    a_service_that_names_no_maximum_has_none: &[Answer(0, None)] => [None; 3],
    an_upstream_that_has_not_answered_is_like_its_service:
        &[Answer(0, Some(3.0))] => [Some(3.0), Some(3.0), None],
    an_upstream_that_starts_again_keeps_the_maximum_of_its_service:
        &[Answer(0, Some(3.0)), Restart(0)] => [Some(3.0), Some(3.0), None],
    an_upstream_that_says_otherwise_is_believed:
        &[Answer(0, Some(3.0)), Answer(1, None)] => [Some(3.0), None, None],
    an_upstream_that_said_otherwise_long_ago_is_believed:
        &[Answer(0, Some(3.0)), Answer(1, None), Wait(60_000)] => [Some(3.0), None, None],
    the_smallest_maximum_of_a_service_counts:
        &[Answer(0, Some(5.0)), Answer(0, Some(3.0))] => [Some(3.0), Some(3.0), None],
    a_maximum_ends_with_an_answer_without_one:
        &[Answer(0, Some(3.0)), Restart(0), Answer(0, None)] => [None; 3],
    a_maximum_ends_with_the_last_upstream_that_named_it:
        &[Answer(0, Some(3.0)), Gone(0)] => [None, None, None],
}

#[test]
fn the_rate_of_an_upstream_that_starts_again_is_forgotten() {
    let daemon = Daemon::start();
    let rate = |number| {
        let limits = daemon.gw.upstream_limits.borrow();
        limits.of(&upstream(number)).rate
    };
    daemon.apply(Rate(0));
    assert_eq!([rate(0), rate(1)], [Some(1.0), None]);
    daemon.apply(Restart(0));
    assert_eq!(rate(0), None);
}

/// Another daemon of the same data centre.
fn other(daemon: &Daemon) -> Sender {
    Sender {
        instance: Instance::from_text("m1").expect("a valid name"),
        centre: daemon.gw.me.centre.clone(),
        incarnation: 1,
        address: SocketAddr::from(([10, 0, 0, 2], 7_000)),
        strength: u8::MAX,
    }
}

/// What a daemon knows of the maxima that has started and said hello to another one, which knows
/// a maximum. It reads the entries of the upstreams before it is told or afterwards.
fn maxima_after_hello(reads_first: bool) -> [Option<f64>; 3] {
    let mut told = Daemon::start();
    told.apply(Answer(0, Some(3.0)));
    while told.outbox.try_recv().is_ok() {}
    let hello = Datagram {
        from: other(&told),
        message: Message::Hello,
    };
    on_datagram(&told.gw, hello);
    let started = match reads_first {
        true => Daemon::start(),
        false => Daemon::start_unlisted(),
    };
    let sent = std::iter::from_fn(|| told.outbox.try_recv().ok()).flatten();
    let limits = sent.filter(|(_, d)| matches!(d.message, Message::Limits(_)));
    for (_, datagram) in limits {
        let from = other(&started);
        on_datagram(&started.gw, Datagram { from, ..datagram });
    }
    started.list_upstreams();
    started.maxima()
}

cases! {
    maxima_after_hello;
    a_daemon_that_starts_is_told_the_maxima_at_once: true => [Some(3.0), Some(3.0), None],
    a_daemon_that_is_told_the_maxima_before_it_reads_the_entries_knows_them:
        false => [Some(3.0), Some(3.0), None],
}

#[test]
fn a_rejection_by_an_upstream_that_has_not_answered_is_reported() {
    let mut daemon = Daemon::start();
    let hub = other(&daemon);
    let now = daemon.gw.now();
    daemon.gw.membership.borrow_mut().on_datagram(&hub, now);
    daemon.apply(Answer(0, Some(3.0)));
    daemon.reported_rejections();
    daemon.gw.report_rejection(&upstream(1));
    assert_eq!(daemon.reported_rejections(), 1);
}

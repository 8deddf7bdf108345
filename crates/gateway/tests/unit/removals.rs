//! Tests of when upstreams that are removed at short notice count as gone.
//!
//! Guards against answers that look complete as the time of a removal was kept too late: on a clock that
//! stops while the instance is suspended, from a report that was read late, or from a notice that was
//! written again unchanged.

use super::suspended::Daemon;
use crate::gossip::on_datagram;
use crate::message::{Datagram, LimitMessage, Message, Sender};
use crate::removals::{RemovalTime, Removals};
use shaleline_testkit::cases;
use shaleline_types::{Incarnation, Millis, Upstream};

const NOW: Millis = Millis(1_000_000);

fn upstream() -> Upstream {
    Upstream::from_text("i-1").expect("a valid name")
}

/// A report between two times after [`NOW`], or up to the second one, that names this time left.
type Report = (Option<u64>, u64, u64);

fn time((since, until, left): Report) -> RemovalTime {
    let since = since.map(|s| NOW.plus(s));
    RemovalTime::reported(Millis(left), since, NOW.plus(until))
}

/// The first millisecond after [`NOW`], in steps of 100, at which an upstream may be gone.
fn gone_at(reports: &[(u64, Report)]) -> Option<u64> {
    let mut removals = Removals::default();
    for (born, report) in reports {
        let incarnation = Incarnation::from_millis(*born);
        removals.record(&upstream(), incarnation, time(*report), true);
    }
    let gone = |at: &u64| {
        let now = NOW.plus(*at);
        removals.may_be_gone(&upstream(), Incarnation::from_millis(7), now)
    };
    (0..100).map(|n| n * 100).find(gone)
}

cases! {
    gone_at;
    an_upstream_without_a_notice_stays: &[] => None,
    an_upstream_is_gone_when_its_time_has_passed: &[(7, (Some(0), 0, 2_000))] => Some(1_700),
    a_report_counts_from_the_read_before: &[(7, (Some(0), 700, 2_000))] => Some(1_700),
    a_report_of_unknown_age_may_be_old: &[(7, (None, 4_000, 2_000))] => Some(2_100),
    a_later_report_narrows_the_time:
        &[(7, (Some(0), 700, 2_000)), (7, (Some(1_200), 1_300, 1_200))] => Some(2_100),
    a_notice_that_is_written_again_unchanged_does_not_postpone_it:
        &[(7, (Some(0), 100, 2_000)), (7, (Some(1_200), 1_300, 2_000))] => Some(1_700),
    a_removal_may_come_forward:
        &[(7, (Some(0), 100, 5_000)), (7, (Some(200), 300, 1_000))] => Some(900),
    a_removal_of_a_later_incarnation_counts: &[(8, (Some(0), 0, 2_000))] => Some(1_700),
    a_removal_of_an_earlier_incarnation_does_not: &[(6, (Some(0), 0, 2_000))] => None,
    a_late_notice_of_an_earlier_incarnation_is_ignored:
        &[(7, (Some(0), 0, 2_000)), (6, (Some(0), 0, 500))] => Some(1_700),
}

/// A daemon that knows of a removal in five seconds.
fn informed_daemon() -> Daemon {
    let daemon = Daemon::start();
    daemon.list(1, true);
    let now = daemon.gw.now();
    let time = RemovalTime::reported(Millis(5_000), Some(now), now);
    let upstream = daemon.upstream();
    daemon
        .gw
        .record_removal(&upstream, Incarnation::default(), time);
    daemon
}

fn may_be_gone(daemon: &Daemon) -> bool {
    let sent = daemon.gw.begin_send(1, &daemon.upstream());
    daemon.gw.may_be_removed(&sent)
}

#[test]
fn the_time_until_a_removal_runs_out_while_the_instance_is_suspended() {
    let daemon = informed_daemon();
    assert!(!may_be_gone(&daemon));
    daemon.suspend();
    assert!(may_be_gone(&daemon));
}

#[test]
fn the_time_until_a_removal_runs_out_while_the_entry_is_missing() {
    let daemon = informed_daemon();
    daemon.list(2, false);
    assert!(!may_be_gone(&daemon));
    daemon.suspend();
    assert!(may_be_gone(&daemon));
}

#[test]
fn another_daemon_is_told_the_time_that_is_left_when_it_is_told() {
    let daemon = informed_daemon();
    daemon.run(4_000);
    let other = Daemon::start();
    other.list(1, true);
    let note = {
        let removals = daemon.gw.removals.borrow();
        removals.note(&daemon.upstream(), daemon.gw.now())
    };
    let notes = vec![note.expect("a known removal")];
    let from = Sender {
        incarnation: 99,
        ..daemon.gw.me.clone()
    };
    let message = Message::Limits(LimitMessage::Removals(notes));
    on_datagram(&other.gw, Datagram { from, message });
    assert!(!may_be_gone(&other));
    other.run(800);
    assert!(may_be_gone(&other));
}

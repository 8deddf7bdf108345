//! Tests that a retry that waits for an adapter is reported while it waits.

use crate::unit::wanted::{adapter, model, TICK_MS};
use crate::wanted_reports::WantedReports;
use shaleline_testkit::cases;
use shaleline_types::{Millis, RequestId};

/// Lets a retry wait from 0 until `end`, and returns the times at which it is reported and the
/// retry times. Every report is acknowledged after `ack` milliseconds.
fn wait_reports((end, ack): (u64, u64)) -> Vec<(u64, u32)> {
    let id = RequestId(1);
    let mut reports = WantedReports::default();
    let mut sent = Vec::new();
    let mut acks = Vec::new();
    reports.begin_wait(id, &model(), &adapter(0), Millis(0));
    for now in (0..2_000).step_by(TICK_MS as usize) {
        if now == end {
            reports.end_wait(id);
        }
        acks.iter()
            .filter(|(at, _)| *at == now)
            .for_each(|(_, number)| reports.on_ack(7, &[*number]));
        for report in reports.take_due(7, Millis(now)) {
            acks.push((now + ack, report.number));
            sent.push((now, report.retry));
        }
    }
    sent
}

cases! {
    wait_reports;
    a_retry_that_is_answered_at_once_is_not_reported: (0, 50) => Vec::<(u64, u32)>::new(),
    a_retry_that_is_answered_before_the_next_tick_is_not_reported:
        (50, 50) => Vec::<(u64, u32)>::new(),
    a_retry_that_waits_is_reported_while_it_waits:
        (600, 50) => vec![(50, 0), (300, 0), (550, 0)],
    a_lost_report_of_a_retry_that_waits_is_repeated:
        (400, 5_000) => vec![(50, 0), (150, 0), (250, 0), (350, 0)],
}

#[test]
fn an_adapter_is_reported_until_its_last_waiting_retry_has_ended() {
    let mut reports = WantedReports::default();
    for id in [1, 2] {
        reports.begin_wait(RequestId(id), &model(), &adapter(0), Millis(0));
    }
    reports.end_wait(RequestId(1));
    assert_eq!(reports.take_due(7, Millis(100)).len(), 1);
    reports.end_wait(RequestId(2));
    assert_eq!(reports.take_due(7, Millis(1_000)).len(), 0);
}

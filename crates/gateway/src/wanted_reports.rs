//! Reports to the planner when refused callers will retry for adapters that no engine holds.
//!
//! A retry comes some hundred milliseconds after the refusal, which is too early for the load
//! reports. So each refusal is reported to the planner directly, and repeated until the planner
//! acknowledges it. A planner that takes over is sent the refusals that its predecessor had.

use crate::job::Job;
use crate::message::{Message, Sender, WantedAck, WantedReport};
use crate::state::Gateway;
use shaleline_types::{Adapter, Millis, Model, RequestId};
use std::collections::BTreeSet;

/// The interval at which a report without an acknowledgement is repeated.
const REPEAT_MS: u64 = 100;

/// A caller retries at most this much after its retry-after time.
pub(crate) const RETRY_LATE_MS: u64 = 250;

/// Two retry times of one adapter that differ by less than this are taken for the same retry.
pub(crate) const SAME_RETRY_MS: u64 = 100;

/// The maximum number of refusals that are kept, those with the latest retries.
const MAX_REFUSALS: usize = 256;

/// The maximum number of reports in a datagram; one has some fifty bytes.
const REPORTS_PER_DATAGRAM: usize = 16;

/// The interval at which the report of a waiting retry is repeated once it is acknowledged, so that
/// the planner does not take the retry for over.
const RENEW_MS: u64 = RETRY_LATE_MS;

/// A refusal of a caller that will retry, or retries that wait.
#[derive(Debug)]
struct Refusal {
    number: u32,
    model: Model,
    adapter: Adapter,
    refused_at: Millis,
    retry_at: Millis,
    /// The retries that wait; empty for a refusal.
    waiting: BTreeSet<RequestId>,
    /// The fence of the planner to which it was last sent, and when.
    sent: Option<(u64, Millis)>,
    /// The fence of the last planner that acknowledged it.
    acked: Option<u64>,
}

impl Refusal {
    fn is_due(&self, fence: u64, now: Millis) -> bool {
        // A retry that is answered at once does not wait.
        if self.is_waiting() && now <= self.refused_at {
            return false;
        }
        let interval = match (self.acked < Some(fence), self.is_waiting()) {
            (true, _) => REPEAT_MS,
            (false, true) => RENEW_MS,
            (false, false) => return false,
        };
        let sent = self.sent.filter(|(f, _)| *f == fence);
        sent.is_none_or(|(_, at)| now.since(at) >= interval)
    }

    fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    fn is_for(&self, model: &Model, adapter: &Adapter) -> bool {
        self.model == *model && self.adapter == *adapter
    }

    fn to_report(&self, now: Millis) -> WantedReport {
        let millis = |ms: u64| u32::try_from(ms).unwrap_or(u32::MAX);
        WantedReport {
            number: self.number,
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            waited: millis(now.since(self.refused_at)),
            retry: millis(self.retry_at.since(now)),
        }
    }
}

/// The refusals of this daemon's callers, until their retries are over.
#[derive(Debug, Default)]
pub(crate) struct WantedReports {
    refusals: Vec<Refusal>,
    last_number: u32,
}

impl WantedReports {
    /// Records that a caller was refused with the retry-after time `retry`.
    pub(crate) fn record(&mut self, model: &Model, adapter: &Adapter, retry: Millis, now: Millis) {
        let retry_at = now.plus(retry.0);
        let is_same = |r: &Refusal| {
            let apart = r.retry_at.since(retry_at).max(retry_at.since(r.retry_at));
            !r.is_waiting() && r.is_for(model, adapter) && apart < SAME_RETRY_MS
        };
        if self.refusals.iter().any(is_same) {
            return;
        }
        self.insert(model, adapter, retry_at, now);
    }

    /// Records that a retry waits for an adapter, until [`Self::end_wait`].
    pub(crate) fn begin_wait(
        &mut self,
        id: RequestId,
        model: &Model,
        adapter: &Adapter,
        now: Millis,
    ) {
        let mut waiting = self.refusals.iter_mut().filter(|r| r.is_waiting());
        if let Some(waiting) = waiting.find(|r| r.is_for(model, adapter)) {
            waiting.waiting.insert(id);
            return;
        }
        self.insert(model, adapter, now, now).waiting.insert(id);
    }

    /// Records that a retry no longer waits.
    pub(crate) fn end_wait(&mut self, id: RequestId) {
        let ended = |r: &mut Refusal| r.waiting.remove(&id) && r.waiting.is_empty();
        self.refusals.retain_mut(|r| !ended(r));
    }

    fn insert(
        &mut self,
        model: &Model,
        adapter: &Adapter,
        retry_at: Millis,
        now: Millis,
    ) -> &mut Refusal {
        if self.refusals.len() >= MAX_REFUSALS {
            // The load reports still carry what is dropped here.
            let ends = |i: &usize| (self.refusals[*i].is_waiting(), self.refusals[*i].retry_at);
            let ends_first = (0..self.refusals.len()).min_by_key(ends);
            ends_first.map(|i| self.refusals.swap_remove(i));
        }
        self.last_number = self.last_number.wrapping_add(1);
        self.refusals.push(Refusal {
            number: self.last_number,
            model: model.clone(),
            adapter: adapter.clone(),
            refused_at: now,
            retry_at,
            waiting: BTreeSet::new(),
            sent: None,
            acked: None,
        });
        self.refusals.last_mut().expect("one was added")
    }

    /// Returns the reports to send now to the planner with this fence.
    pub(crate) fn take_due(&mut self, fence: u64, now: Millis) -> Vec<WantedReport> {
        self.refusals
            .retain(|r| r.is_waiting() || now.since(r.retry_at) < RETRY_LATE_MS);
        let due = self.refusals.iter_mut().filter(|r| r.is_due(fence, now));
        due.map(|r| {
            r.sent = Some((fence, now));
            r.to_report(now)
        })
        .collect()
    }

    /// Records that the planner with this fence has the reports with these numbers.
    pub(crate) fn on_ack(&mut self, fence: u64, numbers: &[u32]) {
        let acked = self.refusals.iter_mut();
        for refusal in acked.filter(|r| numbers.contains(&r.number)) {
            refusal.acked = refusal.acked.max(Some(fence));
        }
    }
}

impl Gateway {
    /// Requests an adapter from the planner, which may be this daemon.
    pub(crate) fn request_adapter(&self, model: &Model, adapter: &Adapter) {
        let now = self.now();
        if self.planner_lease.borrow().fence(now).is_some() {
            self.on_adapter_wanted(model, adapter);
            return;
        }
        let planner = self.membership.borrow().planner(now);
        let message = Message::AdapterWanted {
            model: model.clone(),
            adapter: adapter.clone(),
        };
        self.send(planner.map(|p| (p.address, message)).into_iter().collect());
    }

    /// Records that a retry begins to wait, if it is for an adapter that no engine is known to
    /// serve. Its caller does not retry again, so nothing else reports it.
    pub(crate) fn begin_wait(&self, id: RequestId, job: &Job) {
        let (model, adapter) = (job.head.model.as_ref(), job.head.adapter.as_ref());
        let Some((model, adapter)) = model.zip(adapter).filter(|_| job.is_retry) else {
            return;
        };
        if !self.router.borrow().is_served(&job.route()) {
            let mut reports = self.wanted_reports.borrow_mut();
            reports.begin_wait(id, model, adapter, self.now());
        }
    }

    /// Records that a request is sent or has ended.
    pub(crate) fn end_wait(&self, id: RequestId) {
        self.wanted_reports.borrow_mut().end_wait(id);
    }

    /// Records as the planner that a request needs an adapter.
    pub(crate) fn on_adapter_wanted(&self, model: &Model, adapter: &Adapter) {
        let mut wanted = self.unmet_adapters.borrow_mut();
        wanted.on_request(model, adapter, self.now());
        self.plan_now.notify_one();
    }

    /// Sends the reports that are due to the planner, which may be this daemon.
    pub(crate) fn send_wanted_reports(&self) {
        let now = self.now();
        let fence = self.planner_lease.borrow().fence(now);
        if let Some(fence) = fence {
            let reports = self.wanted_reports.borrow_mut().take_due(fence, now);
            let numbers = self.record_wanted(&reports);
            self.wanted_reports.borrow_mut().on_ack(fence, &numbers);
            return;
        }
        let Some(planner) = self.membership.borrow().planner(now) else {
            return;
        };
        let due = self
            .wanted_reports
            .borrow_mut()
            .take_due(planner.fence, now);
        let messages = due.chunks(REPORTS_PER_DATAGRAM).map(|part| {
            let reports = part.to_vec();
            (planner.address, Message::AdaptersWanted { reports })
        });
        self.send(messages.collect());
    }

    /// Records reports as the planner, and returns their numbers.
    fn record_wanted(&self, reports: &[WantedReport]) -> Vec<u32> {
        if reports.is_empty() {
            return Vec::new();
        }
        let now = self.now();
        let mut wanted = self.unmet_adapters.borrow_mut();
        reports.iter().for_each(|r| wanted.on_report(r, now));
        self.plan_now.notify_one();
        reports.iter().map(|r| r.number).collect()
    }

    /// Handles the reports of another daemon. A daemon that does not plan leaves them without an
    /// acknowledgement, so that they are repeated to the planner.
    pub(crate) fn on_wanted_reports(&self, from: &Sender, reports: &[WantedReport]) {
        let Some(fence) = self.planner_lease.borrow().fence(self.now()) else {
            return;
        };
        let ack = WantedAck {
            incarnation: from.incarnation,
            fence,
            numbers: self.record_wanted(reports),
        };
        self.send(vec![(from.address, Message::AdaptersWantedAck(ack))]);
    }

    /// Handles the planner's acknowledgement of reports. One for an earlier process at this address
    /// does not count.
    pub(crate) fn on_wanted_ack(&self, ack: &WantedAck) {
        if ack.incarnation == self.me.incarnation {
            let mut reports = self.wanted_reports.borrow_mut();
            reports.on_ack(ack.fence, &ack.numbers);
        }
    }
}

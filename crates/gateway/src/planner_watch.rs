//! Detects within some tenths of a second that the planner has failed.
//!
//! The planner lease is renewed about twice a second, so a daemon notices missing renewals only
//! after more than a second. Callers that are refused in the meantime for want of a model or
//! adapter would retry while there is still no planner. Therefore the planner sends heartbeats to
//! the other hubs and to the daemons that would succeed it as the hub of its data centre, and each
//! of these notifies its data centre when heartbeats are missing. A false alarm only makes some
//! retry-after times longer. `docs/MEMBERSHIP.md` describes the messages.

use crate::journal::emit;
use crate::message::{Message, PlannerInfo, PlannerUpdate};
use crate::state::Gateway;
use shaleline_types::{LogEvent, Millis};

/// The interval between heartbeats, and between checks for them.
const INTERVAL_MS: u64 = 100;

/// The number of checks in a row without a heartbeat after which the planner counts as silent.
/// Checks are counted and not milliseconds, since a daemon that was stalled has not read the
/// heartbeats of that time yet.
const MAX_MISSED: u32 = 3;

/// What a daemon that watches the planner has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Reception {
    /// No heartbeats are expected.
    #[default]
    Unwatched,
    /// The number of checks since the last heartbeat.
    Missed(u32),
    /// The planner counts as silent.
    Silent,
}

/// The heartbeats that this daemon sends as the planner, or receives from it.
#[derive(Debug, Default)]
pub(crate) struct PlannerWatch {
    reception: Reception,
    /// The fencing token of the planner that sent the last heartbeat.
    fence: u64,
    /// When a heartbeat was last sent or checked for.
    last: Option<Millis>,
}

impl PlannerWatch {
    /// Whether to send a heartbeat now, where this daemon holds the planner lease.
    pub(crate) fn is_due(&mut self, now: Millis) -> bool {
        self.reception = Reception::Unwatched;
        self.start_interval(now)
    }

    /// Records a heartbeat of the planner with this fencing token. Returns whether the planner
    /// counted as silent.
    pub(crate) fn on_heartbeat(&mut self, fence: u64) -> bool {
        if fence < self.fence {
            return false;
        }
        self.fence = fence;
        std::mem::replace(&mut self.reception, Reception::Missed(0)) == Reception::Silent
    }

    /// Records that the planner stops: its successor sends the next heartbeat.
    pub(crate) fn on_released(&mut self) {
        self.reception = Reception::Unwatched;
    }

    /// Checks for heartbeats. Returns whether the planner counts as silent from now on. `current` is
    /// the fencing token of the known planner, which may have other watchers than the one before.
    pub(crate) fn check(&mut self, current: Option<u64>, now: Millis) -> bool {
        if current > Some(self.fence) {
            self.reception = Reception::Unwatched;
        }
        let Reception::Missed(missed) = self.reception else {
            return false;
        };
        if !self.start_interval(now) {
            return false;
        }
        let missed = missed + 1;
        self.reception = match missed >= MAX_MISSED {
            true => Reception::Silent,
            false => Reception::Missed(missed),
        };
        self.reception == Reception::Silent
    }

    /// Starts a new interval if the last one has ended.
    fn start_interval(&mut self, now: Millis) -> bool {
        let ended = self.last.is_none_or(|at| now.since(at) >= INTERVAL_MS);
        if ended {
            self.last = Some(now);
        }
        ended
    }
}

impl Gateway {
    /// Sends a heartbeat if this daemon is the planner, and checks for those of the planner
    /// otherwise.
    pub(crate) fn watch_planner(&self) {
        let now = self.now();
        let Some(planner) = self.holder_info(now) else {
            let known = self.membership.borrow().planner(now);
            let fence = known.map(|p| p.fence);
            if self.planner_watch.borrow_mut().check(fence, now) {
                self.report_planner(true);
            }
            return;
        };
        if self.planner_watch.borrow_mut().is_due(now) {
            let watchers = self.membership.borrow_mut().watchers(now).into_iter();
            let message = Message::PlannerUpdate(PlannerUpdate::Heartbeat(planner));
            self.send(watchers.map(|w| (w, message.clone())).collect());
        }
    }

    /// What a heartbeat tells of this daemon while it holds the planner lease. It is sent even if
    /// the lease is no longer valid: the planner has not failed then, but can't reach the store.
    pub(crate) fn holder_info(&self, now: Millis) -> Option<PlannerInfo> {
        let lease = self.planner_lease.borrow();
        let (fence, renewal) = (lease.token()?, lease.renewal()?);
        let info = PlannerInfo {
            fence,
            address: self.membership.borrow().address(),
            end: renewal.end,
            age: 0,
        };
        Some(info.aged(now.since(renewal.started)))
    }

    /// Handles a heartbeat of the planner.
    pub(crate) fn on_planner_heartbeat(&self, fence: u64) {
        if self.planner_watch.borrow_mut().on_heartbeat(fence) {
            self.report_planner(false);
        }
    }

    /// Notifies this daemon's data centre that heartbeats of the planner are missing, or that they
    /// are received again.
    fn report_planner(&self, silent: bool) {
        let now = self.now();
        let Some(renewal) = self.planner_lease.borrow().last_renewal() else {
            return;
        };
        let (end, age) = (renewal.end, now.since(renewal.started));
        emit(
            LogEvent::PlannerSilent,
            &format!("silent={silent} end={end} renewal_age_ms={age}"),
        );
        let age = u32::try_from(age).unwrap_or(u32::MAX);
        let update = match silent {
            true => PlannerUpdate::Silent { end, age },
            false => PlannerUpdate::Heard { end, age },
        };
        self.on_planner_update(&update);
        let targets = self.membership.borrow().neighbours().into_iter();
        let message = Message::PlannerUpdate(update);
        self.send(targets.map(|t| (t, message.clone())).collect());
    }
}

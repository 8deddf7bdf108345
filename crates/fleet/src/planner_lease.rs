//! The lease of the single planner, kept in the platform's log.
//!
//! The lease is acquired by a record appended on the condition that the topic still ends where this
//! daemon read its end. The offset of the record is the fencing token. The holder renews by
//! appending again on the same kind of condition, so an acquisition in between is noticed at once.
//! A holder sends orders only within [`PlannerLeaseSettings::validity`] of the start of its last
//! renewal; a successor waits until that time has passed without a new record at the end of the
//! topic, and then for the lease, unless engines reject orders with a lower fencing token than one
//! they have seen: the orders of a failed holder can't follow those of its successor there. A
//! holder that releases the lease appends its last orders; its successor then waits only for the
//! engines that had an order within the lease. Only monotonic clocks of single processes are
//! compared.
//!
//! The topic may lose its newest records, and with them an acquisition. A holder that is valid when
//! it learns of that acquires the lease anew at once, with a token of the new era; any other daemon
//! waits first, whatever the newest record left says.

use shaleline_types::Millis;

/// The timing of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerLeaseSettings {
    /// The interval of renewals.
    pub renew_interval: Millis,
    /// The time after the start of its last renewal during which the holder may send orders.
    pub validity: Millis,
    /// The time that must pass between the orders of two holders that both run.
    pub lease: Millis,
    /// The time that the successor waits beyond that, for orders in transit.
    pub slack: Millis,
    /// Whether engines reject orders with a lower fencing token than one they have seen.
    pub fencing: bool,
    /// The interval at which the topic is read while no holder is known.
    pub read_interval: Millis,
}

impl PlannerLeaseSettings {
    /// Returns the settings for a platform that requires `lease` between two holders. One renewal
    /// may fail, or the store take some hundred milliseconds, before the lease lapses.
    #[must_use]
    pub fn from_lease(lease: Millis) -> Self {
        Self {
            renew_interval: Millis(500),
            validity: Millis(1_200),
            lease,
            slack: Millis(400),
            fencing: false,
            read_interval: Millis(500),
        }
    }

    /// Sets whether engines reject orders with a lower fencing token than one they have seen.
    #[must_use]
    pub fn with_fencing(self, fencing: bool) -> Self {
        Self { fencing, ..self }
    }

    fn takeover_delay(&self) -> u64 {
        self.validity.0 + self.idle_time().0
    }

    /// The time from the last renewal of a holder to a successor that waits for the lease.
    fn longest_delay(&self) -> u64 {
        self.validity.0 + self.cooldown().0
    }

    /// The time without orders between a holder that failed and its successor, at least.
    fn idle_time(&self) -> Millis {
        match self.fencing {
            true => self.slack,
            false => self.cooldown(),
        }
    }

    /// The time during which an engine gets no orders between those of two holders that both run.
    #[must_use]
    pub fn cooldown(&self) -> Millis {
        self.lease.plus(self.slack.0)
    }
}

/// The end of the topic as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannerLeaseView {
    /// The end of the topic: a number that rises over all eras of the store.
    pub end: u64,
    /// The writer of the newest record that took effect, see [`crate::last_effective`]; none if the
    /// topic has no records.
    pub holder: Option<String>,
    /// Whether that record releases the lease.
    pub released: bool,
    /// Whether that record has the last orders of its writer, see [`crate::Handover`]: the
    /// successor then waits for each engine on its own, and not before it acquires the lease.
    pub has_handover: bool,
    /// Whether that record was written since the topic last lost records. If not, a later one may be
    /// lost.
    pub is_current: bool,
}

/// The next step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlannerLeaseAction {
    /// Read the newest record and the end of the topic.
    Read,
    /// Append an acquisition or a renewal on the condition that the topic ends there.
    Append {
        /// The expected end.
        end: u64,
        /// The fencing token of the lease to renew; none for an acquisition.
        fence: Option<u64>,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Another daemon holds the lease, or none does.
    Watching,
    /// The end of the topic has not moved since then.
    Waiting { end: u64, since: Millis, wait: u64 },
    /// An append is in progress.
    Acquiring { end: u64, started: Millis },
    /// This daemon holds the lease.
    Holding {
        fence: u64,
        end: u64,
        valid_from: Millis,
    },
}

/// Whether a holder may still send orders, as far as it depends on what it learns from others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Confirmation {
    /// Nothing suggests that another daemon holds the lease.
    Confirmed,
    /// Another daemon may hold the lease; it is renewed at once to find out.
    Doubtful,
    /// A renewal has begun since, or was tried.
    Renewing,
}

impl Confirmation {
    fn on_renewal_begun(self) -> Self {
        match self {
            Self::Doubtful => Self::Renewing,
            other => other,
        }
    }

    /// A renewal that began before the doubt arose does not remove it.
    fn on_renewed(self) -> Self {
        match self {
            Self::Renewing => Self::Confirmed,
            other => other,
        }
    }
}

/// One daemon's view of the planner lease.
#[derive(Debug)]
pub struct PlannerLease {
    settings: PlannerLeaseSettings,
    daemon: String,
    state: State,
    /// The last renewal that was received from other daemons rather than read from the topic: the
    /// end of the topic after it, and the time at which it began.
    last_renewal: Option<(u64, Millis)>,
    /// Whether heartbeats of the holder are missing since that renewal.
    silent: bool,
    /// The number of holders that failed in quick succession, and when the last of them was
    /// succeeded.
    failures: Option<(u64, Millis)>,
    /// The last renewal of the holder that this daemon succeeds, or a later time.
    succeeded: Millis,
    /// The first position of the era in which the topic last lost records, and when this daemon
    /// learned of that.
    loss: Option<(u64, Millis)>,
    /// Until when this daemon is known to be the only holder, though the topic has lost records.
    kept_until: Option<Millis>,
    last_action: Option<Millis>,
    /// The highest fencing token that is known.
    highest: u64,
    in_flight: bool,
    /// Whether the end of the topic must be read before the next append.
    must_read: bool,
    /// Whether this daemon still holds the lease, where it does by its own records.
    confirmation: Confirmation,
}

/// An interval without a planner, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerGap {
    /// The time since the last renewal.
    pub elapsed: Millis,
    /// The time until another daemon may hold the lease.
    pub remaining: Millis,
    /// The number of holders that failed in quick succession before this one.
    pub failures: u64,
    /// The additional time if as many more fail.
    pub extra: Millis,
    /// The time after `remaining` during which no load from the weight store begins, as the last
    /// ones of the failed holder are not known.
    pub load_delay: Millis,
}

/// A renewal of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerLeaseRenewal {
    /// The end of the topic after it.
    pub end: u64,
    /// The time at which it began, by this daemon's clock.
    pub started: Millis,
}

/// A release of the lease, see [`PlannerLease::release`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerLeaseRelease {
    /// The fencing token of the lease.
    pub fence: u64,
    /// The end of the topic after the last record of this daemon; the release counts only there.
    pub end: u64,
    /// The time at which the lease lapses, from which on nothing may be appended.
    pub lapses: Millis,
}

/// The topic is read if no renewal that began within this time was received.
const SILENCE_MS: u64 = 1_300;

/// Without heartbeats of the holder, callers are informed of a gap once the last received renewal
/// began this long ago. Two renewals have then been missed, as the age of each is sent with it.
const GAP_THRESHOLD_MS: u64 = 1_100;

/// A holder that fails within this time after it succeeded a failed one is assumed to fail for the
/// same reason.
const FAILURE_SERIES_MS: u64 = 10_000;

/// No more failures in a row are counted, as few callers wait longer.
const MAX_FAILURES: u64 = 2;

impl PlannerLease {
    /// Creates the lease state of a daemon; `daemon` is the name of this incarnation.
    #[must_use]
    pub fn new(settings: PlannerLeaseSettings, daemon: String) -> Self {
        Self {
            settings,
            daemon,
            state: State::Watching,
            last_renewal: None,
            silent: false,
            failures: None,
            succeeded: Millis(0),
            loss: None,
            kept_until: None,
            last_action: None,
            highest: 0,
            in_flight: false,
            must_read: false,
            confirmation: Confirmation::Confirmed,
        }
    }

    /// Returns the fencing token while this daemon may send orders.
    #[must_use]
    pub fn fence(&self, now: Millis) -> Option<u64> {
        let is_confirmed = self.confirmation == Confirmation::Confirmed;
        self.valid_token(now).filter(|_| is_confirmed)
    }

    /// Returns the fencing token of the orders that are planned now: the end of the topic behind this
    /// daemon's last record. It rises with each renewal and stays below those of a successor, so
    /// that an engine which has accepted an order rejects those of before the last renewal.
    #[must_use]
    pub fn order_token(&self, now: Millis) -> Option<u64> {
        self.fence(now)?;
        self.renewal().map(|renewal| renewal.end)
    }

    /// Whether an order with this token may be sent: it was planned under the lease that this daemon
    /// holds.
    #[must_use]
    pub fn covers(&self, token: u64, now: Millis) -> bool {
        let lease = self.fence(now).zip(self.order_token(now));
        lease.is_some_and(|(first, last)| (first..=last).contains(&token))
    }

    /// Records that an engine has rejected an order with this token, as it has seen a higher one: that
    /// of another holder, unless this daemon has a higher one itself.
    pub fn on_fenced(&mut self, token: u64, now: Millis) {
        if self.order_token(now).is_none_or(|latest| latest <= token) {
            self.step_down();
        }
    }

    /// The fencing token of this daemon until its lease lapses.
    fn valid_token(&self, now: Millis) -> Option<u64> {
        match self.state {
            State::Holding {
                fence, valid_from, ..
            } if now.since(valid_from) < self.settings.validity.0 => Some(fence),
            _ => None,
        }
    }

    /// The time that has passed since the last order of a failed holder that this daemon succeeds.
    #[must_use]
    pub fn idle_time(&self, now: Millis) -> Millis {
        Millis(now.since(self.succeeded.plus(self.settings.validity.0)))
    }

    /// The timing of the lease.
    #[must_use]
    pub fn settings(&self) -> &PlannerLeaseSettings {
        &self.settings
    }

    /// Whether this daemon holds the lease, even if it is no longer valid.
    #[must_use]
    pub fn is_holder(&self) -> bool {
        matches!(self.state, State::Holding { .. })
    }

    /// Whether an acquisition by this daemon is in progress.
    #[must_use]
    pub fn is_acquiring(&self) -> bool {
        self.in_flight && matches!(self.state, State::Acquiring { .. })
    }

    /// Learns that the topic has lost its newest records, and that new ones are at `start` or behind.
    pub fn on_loss(&mut self, start: u64, now: Millis) {
        self.kept_until = match self.state {
            State::Holding { valid_from, .. } if self.valid_token(now).is_some() => {
                Some(valid_from.plus(self.settings.validity.0))
            }
            _ => self.kept_until,
        };
        self.loss = Some((start, now));
        self.state = State::Watching;
        self.must_read = true;
    }

    /// Records a received renewal, after which the topic ended at `end`, and which began at
    /// `started` or before. A newer renewal makes reading the topic unnecessary; one that is known
    /// already proves nothing.
    pub fn on_renewal(&mut self, end: u64, started: Millis) {
        let is_lost = self.loss.is_some_and(|(start, _)| end < start);
        if is_lost || self.last_renewal.is_some_and(|(known, _)| end <= known) {
            return;
        }
        self.record_succession(started);
        self.last_renewal = Some((end, started));
        self.silent = false;
        if matches!(self.state, State::Waiting { .. }) {
            self.state = State::Watching;
        }
    }

    /// Records whether heartbeats of the holder are missing, after whose last known renewal the
    /// topic ended at `end`.
    pub fn on_silent(&mut self, end: u64, silent: bool) {
        if self.last_renewal.is_some_and(|(known, _)| known <= end) {
            self.silent = silent;
        }
    }

    /// The last renewal that was received from other daemons.
    #[must_use]
    pub fn last_renewal(&self) -> Option<PlannerLeaseRenewal> {
        self.last_renewal
            .map(|(end, started)| PlannerLeaseRenewal { end, started })
    }

    /// Records that a renewal is received now. After the takeover delay without one it is that of
    /// the successor of a failed holder, since a planned stop takes far less.
    fn record_succession(&mut self, now: Millis) {
        let Some((_, last)) = self.last_renewal else {
            return;
        };
        if now.since(last) >= self.settings.takeover_delay() {
            let failures = 1 + self.failures_before(last, now);
            self.failures = Some((failures, now));
        }
    }

    /// The number of holders that failed in quick succession before the one that is missing now,
    /// where `last` is the time of the last received renewal. A holder that failed before any
    /// renewal of it was received left a longer gap.
    fn failures_before(&self, last: Millis, now: Millis) -> u64 {
        let recent = self
            .failures
            .filter(|(_, at)| last.since(*at) < FAILURE_SERIES_MS);
        let unobserved = now.since(last).saturating_sub(SILENCE_MS) / self.expected_delay();
        (recent.map_or(0, |(failures, _)| failures) + unobserved).min(MAX_FAILURES)
    }

    /// The expected time from the last renewal to a successor. A holder that is heard but does not
    /// renew can't reach the store, which may take longer than a takeover.
    fn expected_delay(&self) -> u64 {
        match self.silent {
            true => self.settings.takeover_delay(),
            false => self.settings.longest_delay(),
        }
    }

    /// The fencing token of this daemon while it holds the lease, even if it is no longer valid.
    #[must_use]
    pub fn token(&self) -> Option<u64> {
        match self.state {
            State::Holding { fence, .. } => Some(fence),
            _ => None,
        }
    }

    /// This daemon's last renewal, to be sent to the others.
    #[must_use]
    pub fn renewal(&self) -> Option<PlannerLeaseRenewal> {
        match self.state {
            State::Holding {
                end, valid_from, ..
            } => Some(PlannerLeaseRenewal {
                end,
                started: valid_from,
            }),
            _ => None,
        }
    }

    /// Returns the current interval without a planner; none while a holder is known, or if no
    /// renewal was ever received.
    #[must_use]
    pub fn gap(&self, now: Millis) -> Option<PlannerGap> {
        let (_, at) = self.last_renewal.filter(|_| self.fence(now).is_none())?;
        let elapsed = now.since(at);
        // A successor reads the end of the topic at an interval.
        let delay = self.expected_delay();
        let remaining = delay.saturating_sub(elapsed);
        let failures = self.failures_before(at, now);
        (self.silent || elapsed >= GAP_THRESHOLD_MS).then_some(PlannerGap {
            elapsed: Millis(elapsed),
            remaining: Millis(remaining.max(self.settings.read_interval.0)),
            failures,
            extra: Millis(failures * delay),
            load_delay: Millis(self.settings.longest_delay() - delay),
        })
    }

    /// Records that a daemon holds the lease with this fencing token.
    pub fn on_token(&mut self, fence: u64) {
        self.highest = self.highest.max(fence);
        if self.token().is_some_and(|own| own < fence) {
            self.confirmation = Confirmation::Doubtful;
        }
    }

    /// Records that the holder with this fencing token announced the release of the lease: the
    /// topic is read at once. Daemons of earlier releases don't name the token. Returns false if
    /// that changes nothing: for the release of an earlier lease than the latest one known, and at
    /// the holder, which finds out by a renewal whether a daemon took the lease to be free.
    pub fn on_release(&mut self, fence: Option<u64>) -> bool {
        if fence.is_some_and(|f| f < self.highest) {
            return false;
        }
        match self.is_holder() {
            true => self.confirmation = Confirmation::Doubtful,
            false => self.must_read = true,
        }
        !self.is_holder()
    }

    /// Gives up the lease. Returns the release to append; none if this daemon does not hold the
    /// lease or it has lapsed, since the lease may be another daemon's then.
    #[must_use]
    pub fn release(&mut self, now: Millis) -> Option<PlannerLeaseRelease> {
        let release = match self.state {
            State::Holding {
                end, valid_from, ..
            } => self.valid_token(now).map(|fence| PlannerLeaseRelease {
                fence,
                end,
                lapses: valid_from.plus(self.settings.validity.0),
            }),
            _ => None,
        };
        self.step_down();
        release
    }

    /// Gives up the lease.
    pub fn step_down(&mut self) {
        self.state = State::Watching;
        self.last_renewal = None;
    }

    /// Whether the next action is to acquire the lease, or to confirm it.
    #[must_use]
    pub fn may_append(&self, now: Millis) -> bool {
        let is_due = match self.state {
            State::Waiting { since, wait, .. } => now.since(since) >= wait,
            State::Holding { .. } => self.confirmation == Confirmation::Doubtful,
            State::Watching | State::Acquiring { .. } => false,
        };
        is_due && !self.must_read && !self.in_flight
    }

    /// Returns the next action, if there is one. Each action is answered by one of the `on_` calls.
    pub fn tick(&mut self, now: Millis) -> Option<PlannerLeaseAction> {
        if self.in_flight {
            return None;
        }
        self.end_kept(now);
        let due =
            |interval: u64, last: Option<Millis>| last.is_none_or(|l| now.since(l) >= interval);
        let action = match self.state {
            _ if self.must_read => Some(PlannerLeaseAction::Read),
            State::Watching => {
                let silent = due(SILENCE_MS, self.last_renewal.map(|(_, at)| at));
                (silent && due(self.settings.read_interval.0, self.last_action))
                    .then_some(PlannerLeaseAction::Read)
            }
            State::Waiting { end, since, wait } if now.since(since) >= wait => {
                self.succeeded = since;
                self.state = State::Acquiring { end, started: now };
                Some(PlannerLeaseAction::Append { end, fence: None })
            }
            State::Waiting { .. } => due(self.settings.read_interval.0, self.last_action)
                .then_some(PlannerLeaseAction::Read),
            State::Acquiring { .. } => due(self.settings.read_interval.0, self.last_action)
                .then_some(PlannerLeaseAction::Read),
            State::Holding { end, fence, .. } => {
                let is_doubtful = self.confirmation == Confirmation::Doubtful;
                let is_due = due(self.settings.renew_interval.0, self.last_action);
                (is_due || is_doubtful).then_some(PlannerLeaseAction::Append {
                    end,
                    fence: Some(fence),
                })
            }
        };
        if let Some(PlannerLeaseAction::Append { .. }) = action {
            self.confirmation = self.confirmation.on_renewal_begun();
        }
        if action.is_some() {
            self.in_flight = true;
            self.last_action = Some(now);
        }
        action
    }

    /// Forgets that this daemon was the only holder, once another one may be.
    fn end_kept(&mut self, now: Millis) {
        if self.kept_until.is_none_or(|until| now < until) {
            return;
        }
        self.kept_until = None;
        if matches!(self.state, State::Waiting { wait: 0, .. }) {
            self.state = State::Watching;
            self.must_read = true;
        }
    }

    /// Handles a read of the topic.
    pub fn on_read(&mut self, view: &PlannerLeaseView, now: Millis) {
        self.in_flight = false;
        self.must_read = false;
        let mine = view.holder.as_deref() == Some(self.daemon.as_str()) && !view.released;
        match self.state {
            // An append without an answer was done after all.
            State::Acquiring { end, started } if mine && view.end == end + 1 => {
                // Other daemons count from the append, however late this one learns of it.
                self.hold(end, view.end, started);
            }
            State::Holding {
                fence, valid_from, ..
            } if mine => {
                self.state = State::Holding {
                    fence,
                    end: view.end,
                    valid_from,
                };
            }
            State::Waiting { end, .. } if end == view.end => {}
            _ => {
                // The newest renewal began before it was received, or else before the end of this
                // read.
                let last_renewal = self.last_renewal.filter(|(end, _)| *end == view.end);
                let since = last_renewal.map_or(now, |(_, at)| at);
                let wait = match (&view.holder, view.released) {
                    _ if !view.is_current => self.settings.takeover_delay(),
                    (None, _) => 0,
                    (_, true) if view.has_handover => 0,
                    (_, true) => self.settings.cooldown().0,
                    _ => self.settings.takeover_delay(),
                };
                let lost_at = self.loss.map(|(_, at)| at);
                let is_kept = self.kept_until.is_some_and(|until| now < until);
                self.state = match view.is_current {
                    false if is_kept => State::Waiting {
                        end: view.end,
                        since: now,
                        wait: 0,
                    },
                    false => State::Waiting {
                        end: view.end,
                        since: lost_at.unwrap_or(now),
                        wait,
                    },
                    true => State::Waiting {
                        end: view.end,
                        since: if view.released { now } else { since },
                        wait,
                    },
                };
            }
        }
    }

    /// Handles an append that was done; its record has this offset.
    pub fn on_appended(&mut self, offset: u64, started: Millis) {
        self.in_flight = false;
        match self.state {
            State::Acquiring { .. } => self.hold(offset, offset + 1, started),
            State::Holding { fence, .. } => {
                self.confirmation = self.confirmation.on_renewed();
                self.state = State::Holding {
                    fence,
                    end: offset + 1,
                    valid_from: started,
                };
            }
            State::Watching | State::Waiting { .. } => {}
        }
    }

    fn hold(&mut self, offset: u64, end: u64, started: Millis) {
        // A token of 0 could be taken for none.
        let fence = offset + 1;
        self.on_token(fence);
        self.confirmation = Confirmation::Confirmed;
        self.state = State::Holding {
            fence,
            end,
            valid_from: started,
        };
    }

    /// Handles an append that found a different end of the topic: another daemon has appended, or
    /// this one by a call without an answer. The topic is read before the next append.
    pub fn on_conflict(&mut self) {
        self.in_flight = false;
        self.must_read = true;
        match self.is_holder() {
            true => self.confirmation = Confirmation::Doubtful,
            false => self.state = State::Watching,
        }
    }

    /// Handles a failed call. An append may have been done all the same.
    pub fn on_failed(&mut self) {
        self.in_flight = false;
    }
}

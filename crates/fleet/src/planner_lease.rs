//! The lease of the one planner, kept in the platform's log.
//!
//! A claim is a record appended on condition that the topic ends where the claimant saw
//! it end. Its offset is the fencing token. The holder appends again to renew, on the same
//! kind of condition, so a claim in between is noticed at once. A holder orders only
//! within [`ClaimSettings::valid`] of the start of its last renewal; whoever wants to
//! succeed it waits until that time and the lease have passed with nothing new at the
//! topic's end. A holder that stops says so with what it ordered last; then there is
//! nothing to wait for but the engines it ordered within the lease. Only steady clocks of
//! single processes are compared.

use shaleline_types::Millis;

/// What decides when a claim lapses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerLeaseSettings {
    /// How often the holder renews.
    pub renew_interval: Millis,
    /// How long the holder orders after the start of its last renewal.
    pub validity: Millis,
    /// How long must pass between the orders of two holders.
    pub lease: Millis,
    /// What the successor waits beyond that, for orders on their way.
    pub slack: Millis,
    /// How often the topic is read while nobody seems to hold it.
    pub read_interval: Millis,
}

impl PlannerLeaseSettings {
    /// Figures for a platform that wants `lease` between two holders. A renewal may fail
    /// once, or the store take some hundred milliseconds, before the claim lapses.
    #[must_use]
    pub fn from_lease(lease: Millis) -> Self {
        Self {
            renew_interval: Millis(500),
            validity: Millis(1_200),
            lease,
            slack: Millis(400),
            read_interval: Millis(500),
        }
    }

    fn wait(&self) -> u64 {
        self.validity.0 + self.cooldown().0
    }

    /// How long an engine is left alone between the orders of two holders.
    #[must_use]
    pub fn cooldown(&self) -> Millis {
        self.lease.plus(self.slack.0)
    }
}

/// The end of the topic as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannerLeaseView {
    /// Where the topic ends.
    pub end: u64,
    /// Who wrote the newest record, where there is one.
    pub holder: Option<String>,
    /// Whether that record gives the claim up.
    pub released: bool,
    /// Whether it says what its writer ordered last, see [`crate::Handover`]: then the
    /// successor waits engine by engine and not before it claims.
    pub has_handover: bool,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlannerLeaseAction {
    /// Read the newest record and the end of the topic.
    Read,
    /// Append a claim or a renewal on condition that the topic ends there.
    Append {
        /// The expected end.
        end: u64,
        /// The fencing token of the claim that is renewed; none for a new claim.
        fence: Option<u64>,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Somebody else holds it, or nobody does.
    Watching,
    /// The end has not moved since then.
    Waiting { end: u64, since: Millis, wait: u64 },
    /// An append is under way.
    Claiming { end: u64, began: Millis },
    /// This daemon holds it.
    Holding {
        fence: u64,
        end: u64,
        valid_from: Millis,
    },
}

/// One daemon's part in the claim.
#[derive(Debug)]
pub struct PlannerLease {
    settings: PlannerLeaseSettings,
    me: String,
    state: State,
    /// The last renewal that was heard of by other means than the topic, by the end that the
    /// topic had after it, and when it had begun.
    heard: Option<(u64, Millis)>,
    /// How many holders died one soon after the other, and when the last of them was succeeded.
    deaths: Option<(u64, Millis)>,
    acted: Option<Millis>,
    busy: bool,
    /// Whether the end must be read before the next append.
    recheck: bool,
}

/// A time without a holder of the claim, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerGap {
    /// How long no renewal has been heard of.
    pub elapsed: Millis,
    /// How long it takes until another daemon may hold the claim.
    pub remaining: Millis,
    /// How many holders died one soon after the other before this one.
    pub failures: u64,
    /// How long it takes beyond that where as many more die.
    pub extra: Millis,
}

/// A renewal of the claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerLeaseRenewal {
    /// Where the topic ended after it.
    pub end: u64,
    /// When it began, by this daemon's clock.
    pub started: Millis,
}

/// The topic is read once no renewal that was heard of began within so many milliseconds.
const SILENT_MS: u64 = 1_300;

/// Callers are told that nobody plans once the last renewal that was heard of began so many milliseconds
/// ago: two were missed, as the age of each is told with it.
const MISSED_MS: u64 = 1_100;

/// What ended a holder is taken to end its successor too where that dies within so many milliseconds.
const SERIES_MS: u64 = 10_000;

/// No more deaths in a row are counted: few callers wait longer.
const MOST_DEATHS: u64 = 2;

impl PlannerLease {
    /// A claim of a daemon whose name in this life is `me`.
    #[must_use]
    pub fn new(settings: PlannerLeaseSettings, me: String) -> Self {
        Self {
            settings,
            me,
            state: State::Watching,
            heard: None,
            deaths: None,
            acted: None,
            busy: false,
            recheck: false,
        }
    }

    /// The fencing token, while this daemon may order.
    #[must_use]
    pub fn fence(&self, now: Millis) -> Option<u64> {
        match self.state {
            State::Holding {
                fence, valid_from, ..
            } if now.since(valid_from) < self.settings.validity.0 => Some(fence),
            _ => None,
        }
    }

    /// How long an engine is left alone between the orders of two holders.
    #[must_use]
    pub fn cooldown(&self) -> Millis {
        self.settings.cooldown()
    }

    /// Whether this daemon holds the claim, valid or not.
    #[must_use]
    pub fn is_holder(&self) -> bool {
        matches!(self.state, State::Holding { .. })
    }

    /// Notes that a renewal was heard of, after which the topic ended at `end`, and which began at `began`
    /// or before. A newer one spares reading the topic; one that was heard of before proves nothing.
    pub fn on_renewal(&mut self, end: u64, began: Millis) {
        if self.heard.is_some_and(|(known, _)| end <= known) {
            return;
        }
        self.note_succession(began);
        self.heard = Some((end, began));
        if matches!(self.state, State::Waiting { .. }) {
            self.state = State::Watching;
        }
    }

    /// Notes that a renewal is heard of now; after a lease of silence it is that of a dead holder's
    /// successor, as a planned stop takes far less.
    fn note_succession(&mut self, now: Millis) {
        let Some((_, last)) = self.heard else {
            return;
        };
        if now.since(last) >= self.settings.lease.0 {
            let deaths = 1 + self.deaths_before(last, now);
            self.deaths = Some((deaths, now));
        }
    }

    /// How many holders died one soon after the other before the one that is away now, where `last` is
    /// when a renewal was heard of last. One that died before anybody heard of it left a longer silence.
    fn deaths_before(&self, last: Millis, now: Millis) -> u64 {
        let recent = self.deaths.filter(|(_, at)| last.since(*at) < SERIES_MS);
        let unheard = now.since(last).saturating_sub(SILENT_MS) / self.settings.wait();
        (recent.map_or(0, |(deaths, _)| deaths) + unheard).min(MOST_DEATHS)
    }

    /// This daemon's last renewal, to be told to the others.
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

    /// The time without a holder, where none is heard of; none where one is, or where nothing was ever
    /// heard.
    #[must_use]
    pub fn gap(&self, now: Millis) -> Option<PlannerGap> {
        let (_, at) = self.heard.filter(|_| self.fence(now).is_none())?;
        let lasted = now.since(at);
        // A successor reads the topic's end now and then.
        let left = self.settings.wait().saturating_sub(lasted);
        let failures = self.deaths_before(at, now);
        (lasted >= MISSED_MS).then_some(PlannerGap {
            elapsed: Millis(lasted),
            remaining: Millis(left.max(self.settings.read_interval.0)),
            failures,
            extra: Millis(failures * self.settings.wait()),
        })
    }

    /// Notes that the holder said it gives the claim up: the topic is read at once.
    pub fn on_release(&mut self) {
        if !self.is_holder() {
            self.recheck = true;
        }
    }

    /// Gives the claim up.
    pub fn step_down(&mut self) {
        self.state = State::Watching;
        self.heard = None;
    }

    /// What to do now, if anything. Each action is answered by one of the `on_` calls.
    pub fn tick(&mut self, now: Millis) -> Option<PlannerLeaseAction> {
        if self.busy {
            return None;
        }
        let due = |every: u64, last: Option<Millis>| last.is_none_or(|l| now.since(l) >= every);
        let action = match self.state {
            _ if self.recheck => Some(PlannerLeaseAction::Read),
            State::Watching => {
                let silent = due(SILENT_MS, self.heard.map(|(_, at)| at));
                (silent && due(self.settings.read_interval.0, self.acted))
                    .then_some(PlannerLeaseAction::Read)
            }
            State::Waiting { end, since, wait } if now.since(since) >= wait => {
                self.state = State::Claiming { end, began: now };
                Some(PlannerLeaseAction::Append { end, fence: None })
            }
            State::Waiting { .. } => {
                due(self.settings.read_interval.0, self.acted).then_some(PlannerLeaseAction::Read)
            }
            State::Claiming { .. } => {
                due(self.settings.read_interval.0, self.acted).then_some(PlannerLeaseAction::Read)
            }
            State::Holding { end, fence, .. } => due(self.settings.renew_interval.0, self.acted)
                .then_some(PlannerLeaseAction::Append {
                    end,
                    fence: Some(fence),
                }),
        };
        if action.is_some() {
            self.busy = true;
            self.acted = Some(now);
        }
        action
    }

    /// The topic was read.
    pub fn on_read(&mut self, view: &PlannerLeaseView, now: Millis) {
        self.busy = false;
        self.recheck = false;
        let mine = view.holder.as_deref() == Some(self.me.as_str()) && !view.released;
        match self.state {
            // An append without an answer was done after all.
            State::Claiming { end, began } if mine && view.end == end + 1 => {
                // The others count from the append, however late it is found.
                self.hold(end, view.end, began);
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
                // The newest renewal began before it was heard of, or else before the end
                // of this read.
                let heard = self.heard.filter(|(end, _)| *end == view.end);
                let since = heard.map_or(now, |(_, at)| at);
                let wait = match (&view.holder, view.released) {
                    (None, _) => 0,
                    (_, true) if view.has_handover => 0,
                    (_, true) => self.settings.cooldown().0,
                    _ => self.settings.wait(),
                };
                self.state = State::Waiting {
                    end: view.end,
                    since: if view.released { now } else { since },
                    wait,
                };
            }
        }
    }

    /// An append was done; its record has this offset.
    pub fn on_appended(&mut self, offset: u64, started: Millis) {
        self.busy = false;
        match self.state {
            State::Claiming { .. } => self.hold(offset, offset + 1, started),
            State::Holding { fence, .. } => {
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
        self.state = State::Holding {
            // A token of 0 could be taken for none.
            fence: offset + 1,
            end,
            valid_from: started,
        };
    }

    /// An append found the topic's end elsewhere: somebody appended, maybe this daemon
    /// itself by a call that got no answer. The topic is read before anything else.
    pub fn on_conflict(&mut self) {
        self.busy = false;
        self.recheck = true;
        if !self.is_holder() {
            self.state = State::Watching;
        }
    }

    /// A call failed. An append may have been done all the same.
    pub fn on_failed(&mut self) {
        self.busy = false;
    }
}

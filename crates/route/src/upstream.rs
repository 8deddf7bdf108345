//! The router's state of one upstream.

use crate::breaker::{Breaker, BreakerState};
use crate::completion::Speed;
use crate::estimate::Slowness;
use crate::pace::{Pace, Present};
use crate::prefix::PrefixHints;
use crate::reach::Group;
use crate::returns::Returns;
use crate::{Load, PeerLoad, PeerVisibility, Route, RouteRequest, UpstreamInfo};
use rand::rngs::SmallRng;
use shaleline_types::{Millis, Org, RequestId};
use std::collections::{BTreeMap, BTreeSet};

/// The slots of an upstream that has not reported any.
const DEFAULT_SLOTS: usize = 8;

/// The time without sends after which an organisation no longer counts as sharing an upstream.
const NEIGHBOUR_TIMEOUT_MS: u64 = 30_000;

/// The part of an upstream's slots, one in so many, that is used to find out whether it works where
/// all of them are held by sends that are overdue.
const TRIAL_DIVISOR: usize = 2;

/// Whether a send holds a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Hold {
    /// It does, as far as is known.
    Expected,
    /// It does, but its answer should have begun.
    Overdue,
    /// Its answer should have begun, and later sends of other daemons were answered: most likely it
    /// never reached the upstream.
    Lost,
}

/// Whether an upstream has a slot for one more request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Slot {
    None,
    /// One that shows whether an upstream works whose breaker is open.
    Probe,
    /// One that shows whether the sends that hold all slots are lost.
    Trial,
    Free,
}

/// A request in flight.
#[derive(Debug, Clone)]
pub(crate) struct InFlight {
    pub(crate) org: Org,
    /// See [`RouteRequest::daemon`].
    pub(crate) daemon: u64,
    pub(crate) group: Group,
    pub(crate) sent: Millis,
    /// The time in milliseconds after which its answer should have begun.
    pub(crate) overdue_after: u64,
    pub(crate) hold: Hold,
    /// The time in milliseconds without a first byte after which it counts as hanging.
    pub(crate) stall_timeout: u64,
    pub(crate) answered: bool,
    pub(crate) urgent: bool,
    /// The time in milliseconds that the upstream needs to read its prompt.
    pub(crate) prompt_ms: f64,
    /// The time in milliseconds to its first byte that was expected when it was sent.
    pub(crate) expected: f64,
    /// The time in milliseconds to its first event, or to its whole answer, that was predicted when
    /// it was sent.
    pub(crate) predicted: f64,
}

/// The latest sends that were answered, of two daemons.
#[derive(Debug, Default, Clone, Copy)]
struct LatestAnswered {
    first: Option<(Millis, u64)>,
    second: Option<(Millis, u64)>,
}

impl LatestAnswered {
    fn record(&mut self, sent: Millis, daemon: u64) {
        let same = |known: Option<(Millis, u64)>| known.filter(|(_, d)| *d == daemon);
        let other = [self.first, self.second]
            .into_iter()
            .flatten()
            .find(|(_, d)| *d != daemon);
        let known = same(self.first).or(same(self.second));
        let own = known.map_or(sent, |(at, _)| at.max(sent));
        let latest = Some((own, daemon));
        (self.first, self.second) = match other {
            Some((at, _)) if at > own => (other, latest),
            _ => (latest, other),
        };
    }

    /// Whether a later send of another daemon was answered.
    fn overtakes(&self, sent: Millis, daemon: u64) -> bool {
        let mut others = [self.first, self.second].into_iter().flatten();
        others.any(|(at, d)| d != daemon && at > sent)
    }
}

/// The weight of one result in the moving average of failures.
const FAILURE_STEP: f64 = 0.2;

/// The half-life of the average of failures, in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 3_000.0;

/// The recent fraction of sends that failed.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Failures {
    share: f64,
    at: Millis,
}

impl Failures {
    pub(crate) fn get(&self, now: Millis) -> f64 {
        self.share * 0.5_f64.powf(now.since(self.at) as f64 / FAILURE_HALF_LIFE_MS)
    }

    pub(crate) fn record(&mut self, failed: f64, now: Millis) {
        let share = self.get(now);
        self.share = share + (failed - share) * FAILURE_STEP;
        self.at = now;
    }
}

#[derive(Debug, Clone, Copy)]
struct FairShare {
    virtual_finish: f64,
    last_used: Millis,
    in_flight: usize,
}

/// How long an upstream is skipped for a model that it refused. An engine that unloads a model
/// takes that long to report it, and an engine that is full has a queue of some hundred
/// milliseconds.
const MODEL_PAUSE_MS: u64 = 500;

/// The same for a plain service, whose slots become free every few milliseconds.
const SERVICE_PAUSE_MS: u64 = 30;

/// One upstream as this daemon sees it.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) info: UpstreamInfo,
    pub(crate) routes: BTreeSet<Route>,
    pub(crate) load: Load,
    /// The requests that other daemons had there when it reported.
    peer_requests: usize,
    pub(crate) in_flight: BTreeMap<RequestId, InFlight>,
    /// The numbers of sends that are overdue, and that are lost.
    overdue: usize,
    lost: usize,
    answered: LatestAnswered,
    pub(crate) breaker: Breaker,
    pub(crate) failures: Failures,
    pub(crate) slowness: Slowness,
    pub(crate) speed: Speed,
    /// The predicted and the measured completion of the latest request, in milliseconds.
    pub(crate) latest_completion: Option<(f64, f64)>,
    pub(crate) pace: Pace,
    pub(crate) returns: Returns,
    peers: PeerLoad,
    peers_at: Millis,
    pub(crate) hints: PrefixHints,
    /// Whether the member list, an operator or the upstream itself announced that it is leaving.
    pub(crate) leaving: bool,
    pub(crate) last_byte: Millis,
    /// The routes that it refused, and until when it is skipped for them.
    refused: BTreeMap<Route, Millis>,
    fair_shares: BTreeMap<Org, FairShare>,
    virtual_time: f64,
    /// The number of queued requests that were sent there.
    pub(crate) departures: u64,
}

impl UpstreamState {
    pub(crate) fn new(info: UpstreamInfo) -> Self {
        Self {
            routes: info.routes.iter().cloned().collect(),
            info,
            load: Load::default(),
            peer_requests: 0,
            in_flight: BTreeMap::new(),
            overdue: 0,
            lost: 0,
            answered: LatestAnswered::default(),
            breaker: Breaker::default(),
            failures: Failures::default(),
            slowness: Slowness::default(),
            speed: Speed::default(),
            latest_completion: None,
            pace: Pace::default(),
            returns: Returns::default(),
            peers: PeerLoad::default(),
            peers_at: Millis(0),
            hints: PrefixHints::default(),
            leaving: false,
            last_byte: Millis(0),
            refused: BTreeMap::new(),
            fair_shares: BTreeMap::new(),
            virtual_time: 0.0,
            departures: 0,
        }
    }

    /// Resets what was learned about the upstream. Requests in flight end on their own.
    pub(crate) fn reset_learned(&mut self) {
        let info = self.info.clone();
        let in_flight = std::mem::take(&mut self.in_flight);
        let fair_shares = std::mem::take(&mut self.fair_shares);
        let mut pace = std::mem::take(&mut self.pace);
        pace.restart();
        *self = Self {
            in_flight,
            overdue: self.overdue,
            lost: self.lost,
            fair_shares,
            pace,
            virtual_time: self.virtual_time,
            load: Load {
                slots: self.load.slots,
                concurrency: self.load.concurrency,
                ..Load::default()
            },
            ..Self::new(info)
        };
    }

    /// Records that it refused a request because it is full or about to unload the model, as it
    /// would refuse the next ones as well.
    pub(crate) fn record_refusal(&mut self, route: &Route, now: Millis) {
        let pause = match route {
            Route::Model { .. } => MODEL_PAUSE_MS,
            Route::Service(_) => SERVICE_PAUSE_MS,
        };
        self.refused.insert(route.to_base(), now.plus(pause));
        self.pace.on_rejection(self.busy(), now);
    }

    /// Returns whether it recently refused a request for this route.
    pub(crate) fn is_refusing(&self, route: &Route, now: Millis) -> bool {
        let until = self.refused.get(&route.to_base());
        until.is_some_and(|u| now < *u)
    }

    pub(crate) fn set_info(&mut self, info: UpstreamInfo) {
        self.routes = info.routes.iter().cloned().collect();
        self.info = info;
    }

    /// Records a report. Requests beyond this daemon's own are those of other daemons.
    pub(crate) fn on_report(&mut self, load: Load, now: Millis) {
        if let Some(percent) = load.slowdown {
            self.speed.report(percent, now);
        }
        let reported = load.running + load.waiting;
        self.peer_requests = reported.saturating_sub(self.held());
        self.load = load;
    }

    /// Records the load of the other daemons.
    pub(crate) fn on_peers(
        &mut self,
        load: PeerLoad,
        visibility: PeerVisibility,
        rng: &mut SmallRng,
        now: Millis,
    ) {
        self.peer_requests = load.running;
        self.peers = load;
        self.peers_at = now;
        self.pace.on_peers(self.present(), visibility, rng, now);
    }

    /// Returns the uncached tokens of a prompt.
    pub(crate) fn uncached_tokens(&self, request: &RouteRequest) -> f64 {
        let cached_blocks = self.hints.matched(&request.prefix);
        (cached_blocks..request.prefix.len())
            .map(|i| request.size(i))
            .sum()
    }

    /// Returns the time in milliseconds until the prompts ahead of a new request are read. The load
    /// that other daemons reported shrinks with its age, as the engine works it off.
    pub(crate) fn backlog(&self, urgent: bool, now: Millis) -> f64 {
        let load = self.own_load();
        let (own, peers) = if urgent {
            (load.urgent, self.peers.urgent)
        } else {
            (load.backlog, self.peers.backlog)
        };
        own + (peers - now.since(self.peers_at) as f64).max(0.0)
    }

    /// Returns this daemon's load there.
    pub(crate) fn own_load(&self) -> PeerLoad {
        let waits = |f: &&InFlight| !f.answered && f.hold != Hold::Lost;
        let open = self.in_flight.values().filter(waits);
        let mut load = PeerLoad {
            running: self.held(),
            ..PeerLoad::default()
        };
        for send in open {
            load.backlog += send.prompt_ms;
            load.urgent += if send.urgent { send.prompt_ms } else { 0.0 };
        }
        load
    }

    pub(crate) fn slots(&self) -> usize {
        if self.load.slots == 0 {
            DEFAULT_SLOTS
        } else {
            self.load.slots
        }
    }

    /// Returns the number of requests that it runs at once.
    pub(crate) fn concurrency(&self) -> usize {
        self.load
            .concurrency
            .unwrap_or(self.slots())
            .clamp(1, self.slots())
    }

    /// Returns the number of requests there, as far as is known.
    pub(crate) fn busy(&self) -> usize {
        self.held() + self.peer_requests
    }

    fn present(&self) -> Present {
        let unanswered = |f: &&InFlight| !f.answered && f.hold != Hold::Lost;
        Present {
            busy: self.busy(),
            own: self.held(),
            unanswered: match self.pace.is_fragile() {
                true => self.in_flight.values().filter(unanswered).count(),
                false => 0,
            },
        }
    }

    /// Returns the number of this router's sends that hold a slot.
    fn held(&self) -> usize {
        self.in_flight.len() - self.lost
    }

    /// Returns the number of sends that hold a slot though their answers should have begun.
    pub(crate) fn overdue(&self) -> usize {
        self.overdue
    }

    /// Returns the number of sends that hold no slot any more.
    pub(crate) fn lost(&self) -> usize {
        self.lost
    }

    /// Records that the answer to a send has begun.
    pub(crate) fn on_answer(&mut self, id: RequestId, now: Millis) {
        let Some(send) = self.in_flight.get_mut(&id) else {
            return;
        };
        if !send.answered {
            self.pace.on_answer(now);
        }
        let hold = std::mem::replace(&mut send.hold, Hold::Expected);
        self.answered.record(send.sent, send.daemon);
        self.uncount(hold);
    }

    fn uncount(&mut self, hold: Hold) {
        match hold {
            Hold::Expected => {}
            Hold::Overdue => self.overdue -= 1,
            Hold::Lost => self.lost -= 1,
        }
    }

    /// Updates which sends hold a slot; returns those that turned out to be lost, and whether the
    /// others that became overdue include one for which `can_tell` is false.
    pub(crate) fn update_holds(
        &mut self,
        now: Millis,
        can_tell: impl Fn(&InFlight) -> bool,
    ) -> (Vec<RequestId>, bool) {
        let (mut lost, mut inconclusive) = (Vec::new(), false);
        for (id, send) in &mut self.in_flight {
            let is_late = !send.answered && now.since(send.sent) >= send.overdue_after;
            if !is_late || send.hold == Hold::Lost {
                continue;
            }
            if self.answered.overtakes(send.sent, send.daemon) {
                self.overdue -= usize::from(send.hold == Hold::Overdue);
                self.lost += 1;
                send.hold = Hold::Lost;
                lost.push(*id);
            } else if send.hold == Hold::Expected {
                self.overdue += 1;
                send.hold = Hold::Overdue;
                inconclusive |= !can_tell(send);
            }
        }
        (lost, inconclusive)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving || self.load.leaving
    }

    /// Returns whether one more request may be sent.
    pub(crate) fn has_free_slot(&self, now: Millis) -> bool {
        self.slot(now) != Slot::None
    }

    /// Returns the slot that one more request would take.
    pub(crate) fn slot(&self, now: Millis) -> Slot {
        if self.is_leaving() && shaleline_types::Safeguard::LeavingStop.is_active() {
            return Slot::None;
        }
        if !self.pace.allows(self.present(), now) {
            return Slot::None;
        }
        let fresh = self.held() - self.overdue;
        match self.breaker.state(now) {
            BreakerState::Open => Slot::None,
            BreakerState::HalfOpen => Slot::Probe,
            BreakerState::Closed if self.busy() < self.slots() => Slot::Free,
            BreakerState::Closed
                if self.overdue > 0 && fresh < self.slots().div_ceil(TRIAL_DIVISOR) =>
            {
                Slot::Trial
            }
            BreakerState::Closed => Slot::None,
        }
    }

    /// Returns whether this organisation may take one more slot. While others use the upstream, a
    /// quarter of the slots stays free of any one organisation.
    pub(crate) fn has_free_slot_for(&self, org: &Org, now: Millis) -> bool {
        if !self.has_free_slot(now) {
            return false;
        }
        let is_shared = self
            .fair_shares
            .iter()
            .any(|(o, f)| o != org && now.since(f.last_used) < NEIGHBOUR_TIMEOUT_MS);
        if !is_shared {
            return true;
        }
        let own = self.fair_shares.get(org).map_or(0, |f| f.in_flight);
        let slots = self.slots();
        own < slots - slots.div_ceil(4).min(slots - 1)
    }

    /// Returns the virtual time at which the organisation's next request would start.
    pub(crate) fn virtual_start(&self, org: &Org) -> f64 {
        self.fair_shares.get(org).map_or(self.virtual_time, |f| {
            f.virtual_finish.max(self.virtual_time)
        })
    }

    pub(crate) fn on_send(&mut self, id: RequestId, send: InFlight, cost: f64) {
        let start = self.virtual_start(&send.org);
        self.virtual_time = self.virtual_time.max(start);
        let fair_share = self
            .fair_shares
            .entry(send.org.clone())
            .or_insert(FairShare {
                virtual_finish: start,
                last_used: send.sent,
                in_flight: 0,
            });
        fair_share.virtual_finish = start + cost;
        fair_share.last_used = send.sent;
        fair_share.in_flight += 1;
        self.breaker.on_send();
        self.pace.on_send(send.sent);
        self.in_flight.insert(id, send);
    }

    pub(crate) fn on_end(&mut self, id: RequestId) -> Option<InFlight> {
        let send = self.in_flight.remove(&id)?;
        self.uncount(send.hold);
        if let Some(fair_share) = self.fair_shares.get_mut(&send.org) {
            fair_share.in_flight = fair_share.in_flight.saturating_sub(1);
        }
        Some(send)
    }

    pub(crate) fn prune(&mut self, now: Millis) {
        self.refused.retain(|_, until| now < *until);
        self.fair_shares
            .retain(|_, f| f.in_flight > 0 || now.since(f.last_used) < 2 * NEIGHBOUR_TIMEOUT_MS);
    }
}

//! Decides which of the requests that wait gets a slot that has become free.
//!
//! The order is by class: requests that can still be in time go before those that can't, those of
//! organisations within their share ([`crate::FairShares`]) before the others, then by priority.
//! Within a class the earliest latest start comes first; if the class can't be served in time as a
//! whole, short work does. A request may overtake those of a better class while all of these stay
//! in time by the predicted rate of departures. One departure in [`LEAST_URGENT_INTERVAL`] goes to
//! the class that comes last.
//!
//! Everything here is a function of its arguments. `docs/design/scarce-capacity.md` compares the
//! alternatives.

use shaleline_types::{Millis, RequestId};

/// One in this many freed slots goes to the least urgent request that waits. On an upstream with
/// too many urgent requests, all others would otherwise wait until their deadline.
pub const LEAST_URGENT_INTERVAL: u64 = 16;

/// One in this many freed slots goes to a request that can't be in time any more, if there is one.
pub const LATE_INTERVAL: u64 = 2 * LEAST_URGENT_INTERVAL;

/// The factor by which the interval between departures may exceed its mean before a request that
/// was overtaken is late. Departures are random, and a request that misses its target costs more
/// than one that goes first a moment later.
const INTERVAL_MARGIN: f64 = 2.0;

/// The factor by which a predicted wait must exceed the time left for a request to be refused on
/// arrival. A smaller factor refuses requests that would have started in time; a larger one holds
/// more that are refused in the end.
const SHED_MARGIN: f64 = 2.0;

/// A request that may take a free slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The request.
    pub id: RequestId,
    /// The level of its priority, see [`level`]; 0 is the most urgent.
    pub level: u8,
    /// The latest start with which it is in time; absent where its target is not known.
    pub latest: Option<Millis>,
    /// The work: uncached prompt tokens and output tokens.
    pub work: f64,
    /// When it began to wait.
    pub arrived: Millis,
    /// Whether its organisation exceeds its share while others want more.
    pub over: bool,
    /// The virtual start time of its organisation; the lowest comes first among equals.
    pub turn: f64,
}

/// The class of a request; the lowest is served first. Without a target, priority goes before the
/// shares of organisations, as nothing shows whether the wait makes the request late.
type Class = (bool, bool, u8, bool);

fn class(latest: Option<Millis>, over: bool, level: u8, now: Millis) -> Class {
    let late = latest.is_some_and(|latest| latest < now);
    (late, over && latest.is_some(), level, over)
}

impl Candidate {
    fn is_late(&self, now: Millis) -> bool {
        self.latest.is_some_and(|latest| latest < now)
    }

    fn class(&self, now: Millis) -> Class {
        class(self.latest, self.over, self.level, now)
    }

    fn latest_or_end(&self) -> u64 {
        self.latest.map_or(u64::MAX, |l| l.0)
    }
}

/// A request that waits for the same upstreams, whether it may take the slot or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// See [`Candidate::level`].
    pub level: u8,
    /// See [`Candidate::latest`].
    pub latest: Option<Millis>,
    /// See [`Candidate::over`].
    pub over: bool,
}

/// A slot that has become free.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FreeSlot {
    /// The time.
    pub now: Millis,
    /// The mean time in milliseconds between two departures from the queues, if known.
    pub interval: Option<f64>,
    /// The number of queued requests that the upstream was sent before.
    pub departures: u64,
    /// The most urgent level of which a request within its organisation's share was recently
    /// refused for lack of capacity. Less urgent ones overtake nothing then, as there is no slack.
    pub scarce: Option<u8>,
}

/// A slot that goes to the least urgent requests.
#[derive(Debug, Clone, Copy)]
struct Turn {
    /// Whether those that can't be in time any more come first. They take every second turn, as an
    /// answer in time is worth more.
    late_first: bool,
}

impl FreeSlot {
    fn turn(&self) -> Option<Turn> {
        let departure = self.departures + 1;
        (departure % LEAST_URGENT_INTERVAL == 0).then_some(Turn {
            late_first: departure % LATE_INTERVAL == 0,
        })
    }
}

impl Turn {
    /// Returns the candidate that has waited longest among the least urgent ones, if some are less
    /// urgent than the first of the order. The share of an organisation delays its requests, but is
    /// no reason to starve a class.
    fn least_urgent<'a>(
        self,
        candidates: &'a [Candidate],
        first: &Candidate,
        now: Millis,
    ) -> Option<&'a Candidate> {
        let need = |c: &Candidate| (c.is_late(now), c.level);
        let later = || candidates.iter().filter(|c| need(c) > need(first));
        let any = later().any(|c| c.is_late(now) == self.late_first);
        let group = later().filter(|c| !any || c.is_late(now) == self.late_first);
        group.max_by(|a, b| {
            let oldest = (b.arrived, b.id).cmp(&(a.arrived, a.id));
            need(a).cmp(&need(b)).then(oldest)
        })
    }
}

/// Why a request was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It is the first of the best class.
    Urgency,
    /// Its class can't be served in time as a whole, and it is the shortest work.
    ShortWork,
    /// Those of a better class stay in time nonetheless.
    Slack,
    /// The slot goes to the class that comes last.
    Turn,
}

/// The request that takes the slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The request.
    pub id: RequestId,
    /// Why it was chosen.
    pub reason: Reason,
    /// The request of a better class that it overtakes.
    pub overtaken: Option<RequestId>,
}

/// Returns the request that takes a free slot. `waiting` returns all that wait; it is called only
/// where several candidates compete.
pub fn choose(
    candidates: &[Candidate],
    waiting: impl FnOnce() -> Vec<Waiting>,
    slot: &FreeSlot,
) -> Option<Choice> {
    let now = slot.now;
    let by_start = |a: &&Candidate, b: &&Candidate| {
        a.class(now)
            .cmp(&b.class(now))
            .then(a.latest_or_end().cmp(&b.latest_or_end()))
            .then(a.turn.total_cmp(&b.turn))
            .then(a.id.cmp(&b.id))
    };
    let first = candidates.iter().min_by(by_start)?;
    let best = first.class(now);
    let in_order = |c: &Candidate, reason| Choice {
        id: c.id,
        reason,
        overtaken: None,
    };
    if let Some(last) = slot
        .turn()
        .and_then(|turn| turn.least_urgent(candidates, first, now))
    {
        return Some(Choice {
            id: last.id,
            reason: Reason::Turn,
            overtaken: Some(first.id).filter(|id| *id != last.id),
        });
    }
    let Some(interval) = slot.interval else {
        return Some(in_order(first, Reason::Urgency));
    };
    let starts = Starts { now, interval };
    let pressing = candidates
        .iter()
        .filter(|c| c.class(now) > best && !c.is_late(now) && c.latest < first.latest)
        .filter(|c| c.latest.is_some() && slot.scarce.is_none_or(|p| c.level <= p))
        .min_by(by_start_only);
    let peers = || candidates.iter().filter(|c| c.class(now) == best);
    let differs = peers().any(|c| size_class(c.work) != size_class(first.work));
    if (pressing.is_none() && !differs) || first.is_late(now) {
        return Some(in_order(first, Reason::Urgency));
    }
    let waiting = waiting();
    if let Some(pressing) = pressing {
        let limit = pressing.class(now);
        let better = waiting.iter().filter(|w| w.class(now) < limit);
        if starts.all_in_time(better.map(|w| w.latest), 1) {
            return Some(Choice {
                id: pressing.id,
                reason: Reason::Slack,
                overtaken: Some(first.id),
            });
        }
    }
    let same = waiting.iter().filter(|w| w.class(now) <= best);
    if !differs || starts.all_in_time(same.map(|w| w.latest), 0) {
        return Some(in_order(first, Reason::Urgency));
    }
    let shortest = peers().min_by(|a, b| {
        size_class(a.work)
            .cmp(&size_class(b.work))
            .then(by_start(a, b))
    })?;
    Some(in_order(shortest, Reason::ShortWork))
}

fn by_start_only(a: &&Candidate, b: &&Candidate) -> std::cmp::Ordering {
    (a.latest_or_end(), a.id).cmp(&(b.latest_or_end(), b.id))
}

impl Waiting {
    fn class(&self, now: Millis) -> Class {
        class(self.latest, self.over, self.level, now)
    }
}

/// Returns the level of a priority in the order: within a priority, requests with long targets come
/// after the others, as they fill the troughs in demand.
#[must_use]
pub const fn level(priority: u8, urgent: bool) -> u8 {
    priority.saturating_mul(2).saturating_add(!urgent as u8)
}

/// Returns whether a request is refused on arrival, as its predicted wait exceeds the time that it
/// has left until its latest start. The prediction is the mean of a distribution with a long tail
/// of short waits, so that only a clear excess counts: a request that is held and then refused
/// costs its caller more than one that is refused at once, but one that would have been served
/// costs most.
#[must_use]
pub fn is_hopeless(wait: Millis, left: Millis) -> bool {
    wait.0 as f64 > left.0 as f64 * SHED_MARGIN
}

/// Returns the class of a request's work, a power of two: estimates are too rough for more.
#[must_use]
pub fn size_class(work: f64) -> u8 {
    work.max(1.0).log2() as u8
}

/// The predicted starts of requests that are served one after the other.
struct Starts {
    now: Millis,
    interval: f64,
}

impl Starts {
    /// Returns whether all of these start in time, the earliest latest start first, after `before`
    /// others. A request without a target may have one that is not known here.
    fn all_in_time(&self, latest: impl Iterator<Item = Option<Millis>>, before: usize) -> bool {
        let Some(mut left) = latest
            .map(|l| l.map(|l| l.since(self.now) as f64))
            .collect::<Option<Vec<f64>>>()
        else {
            return false;
        };
        let start = |i: usize| (i + before) as f64 * self.interval * INTERVAL_MARGIN;
        // Those that may start last of all need no place.
        let last = start(left.len());
        left.retain(|left| *left < last);
        left.sort_unstable_by(f64::total_cmp);
        let mut starts = left.iter().enumerate();
        starts.all(|(i, left)| start(i) <= *left)
    }
}

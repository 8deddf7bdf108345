//! The limits that upstreams name in their answers, as this daemon and the others received them.
//!
//! Every answer may name limits, and one that names none ends them. What was named later replaces
//! what was named earlier, whichever arrives first. A daemon reports a change to the hubs at once,
//! which forward it to all daemons; hubs repeat the current limits at intervals, for daemons that
//! started meanwhile or missed a datagram. `docs/design/upstream-limits.md` has the design.

use crate::journal::emit;
use crate::membership::Audience;
use crate::message::{LimitMessage, Message, Sender, Tag};
use crate::state::Gateway;
use crate::AnswerHead;
use serde::{Deserialize, Serialize};
use shaleline_types::{LogEvent, Millis, Service, Upstream};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The interval at which the current limits are sent again.
pub(crate) const REPEAT_MS: u64 = 1_000;

/// The time for which it is remembered that an upstream named no limits any more, so that an older
/// report of a limit is not taken for a newer one.
const ENDED_TTL_MS: u64 = 10_000;

/// The most notes in a datagram.
pub(crate) const NOTES_PER_DATAGRAM: usize = 12;

/// The limits that an upstream names.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct NamedLimits {
    /// The requests per second that it takes from all daemons together.
    pub(crate) rate: Option<f64>,
    /// The rejections per second for want of room above which it crashes.
    pub(crate) max_rejections: Option<f64>,
}

impl NamedLimits {
    const NONE: Self = Self {
        rate: None,
        max_rejections: None,
    };

    /// The limits that an answer names.
    pub(crate) fn of(answer: &AnswerHead) -> Self {
        Self {
            rate: answer.rate_limit,
            max_rejections: answer.max_rejections,
        }
    }
}

impl fmt::Display for NamedLimits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |value: Option<f64>| value.map_or("none".to_owned(), |v| v.to_string());
        let (rate, rejections) = (text(self.rate), text(self.max_rejections));
        write!(f, "rate={rate} max_rejections={rejections}")
    }
}

/// The limits of an upstream as one daemon reports them to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct LimitNote {
    upstream: Upstream,
    limits: NamedLimits,
    /// The time since the upstream named them, in milliseconds.
    age: u32,
}

#[derive(Debug, Clone)]
struct Known {
    /// The service of the upstream, if it was known.
    service: Option<Service>,
    limits: NamedLimits,
    /// When the upstream named them.
    named: Millis,
    /// Whether this daemon received the answer itself.
    own: bool,
}

/// The limits that upstreams named last.
#[derive(Debug, Default)]
pub(crate) struct UpstreamLimits {
    known: BTreeMap<Upstream, Known>,
    repeated: Millis,
}

impl UpstreamLimits {
    /// The limits that an upstream named itself.
    pub(crate) fn of(&self, upstream: &Upstream) -> NamedLimits {
        self.known
            .get(upstream)
            .map_or(NamedLimits::NONE, |k| k.limits)
    }

    /// The maximum of rejections of an upstream of this service. One that has named nothing yet is
    /// taken to be like the others of its service: it may have started a moment ago.
    fn max_rejections(&self, upstream: &Upstream, service: Option<&Service>) -> Option<f64> {
        match self.known.get(upstream) {
            Some(known) => known.limits.max_rejections,
            None => self.service_maximum(service?),
        }
    }

    /// The services of which upstreams name a maximum of rejections.
    pub(crate) fn fragile_services(&self) -> BTreeSet<Service> {
        let named = self.known.values();
        let named = named.filter(|k| k.limits.max_rejections.is_some());
        named.filter_map(|k| k.service.clone()).collect()
    }

    /// The smallest maximum of rejections that upstreams of a service name.
    fn service_maximum(&self, service: &Service) -> Option<f64> {
        let known = self.known.values();
        let same = known.filter(|k| k.service.as_ref() == Some(service));
        let named = same.filter_map(|k| k.limits.max_rejections);
        named.min_by(f64::total_cmp)
    }

    /// The time since an upstream named its limits, in milliseconds.
    pub(crate) fn age(&self, upstream: &Upstream, now: Millis) -> u64 {
        self.known.get(upstream).map_or(0, |k| now.since(k.named))
    }

    /// Records the limits that an upstream named. Returns the previous ones where they differ.
    fn record(&mut self, upstream: &Upstream, next: Known) -> Option<NamedLimits> {
        let before = self.known.get(upstream);
        if before.is_some_and(|k| k.named > next.named) {
            return None;
        }
        let service = next.service.as_ref();
        let previous = NamedLimits {
            rate: self.of(upstream).rate,
            max_rejections: self.max_rejections(upstream, service),
        };
        let limits = next.limits;
        // Most upstreams never name a limit and need no state.
        if before.is_some() || limits != NamedLimits::NONE || previous != limits {
            self.known.insert(upstream.clone(), next);
        }
        (previous != limits).then_some(previous)
    }

    /// Forgets an upstream that is gone. Returns whether it named limits.
    fn forget(&mut self, upstream: &Upstream) -> bool {
        let known = self.known.remove(upstream);
        known.is_some_and(|k| k.limits != NamedLimits::NONE)
    }

    /// Forgets the rate of an upstream that has started again, which was that of its earlier
    /// incarnation. The maximum of rejections is the service's and stays until an answer says
    /// otherwise. Returns whether it named a rate.
    fn forget_rate(&mut self, upstream: &Upstream) -> bool {
        let known = self.known.get_mut(upstream);
        known.is_some_and(|k| k.limits.rate.take().is_some())
    }

    /// Drops the ends of limits that are old. While others of its service name a maximum of
    /// rejections, it is kept that an upstream names none.
    fn prune(&mut self, now: Millis) {
        let fragile = self.fragile_services();
        self.known.retain(|_, k| {
            k.limits != NamedLimits::NONE
                || now.since(k.named) < ENDED_TTL_MS
                || k.service.as_ref().is_some_and(|s| fragile.contains(s))
        });
    }

    fn note(&self, upstream: &Upstream, now: Millis) -> Option<LimitNote> {
        let known = self.known.get(upstream)?;
        Some(LimitNote {
            upstream: upstream.clone(),
            limits: known.limits,
            age: u32::try_from(now.since(known.named)).unwrap_or(u32::MAX),
        })
    }

    /// A note for each service that has a maximum of rejections: that of the upstream with the
    /// smallest one, which counts for all that have not answered.
    fn maxima(&self, now: Millis) -> Vec<LimitNote> {
        let smallest = |service: &Service| {
            let same = |(_, k): &(&Upstream, &Known)| k.service.as_ref() == Some(service);
            let named = self.known.iter().filter(same);
            let named = named.filter_map(|(n, k)| Some((n, k.limits.max_rejections?)));
            named.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(n, _)| n)
        };
        let services = self.fragile_services();
        let names = services.iter().filter_map(smallest);
        names.filter_map(|n| self.note(n, now)).collect()
    }

    /// Records the service of an upstream of which another daemon told before its entry was known.
    /// Returns whether that gives the service a maximum of rejections.
    fn learn_service(&mut self, upstream: &Upstream, service: &Service) -> bool {
        let Some(known) = self.known.get_mut(upstream) else {
            return false;
        };
        let is_new = known.service.replace(service.clone()).is_none();
        is_new && known.limits.max_rejections.is_some()
    }

    /// The notes to repeat now: all of a hub, and those of another daemon that it recently received
    /// from the upstream itself.
    fn due(&mut self, is_hub: bool, now: Millis) -> Vec<LimitNote> {
        if self.known.is_empty() || now.since(self.repeated) < REPEAT_MS {
            return Vec::new();
        }
        self.repeated = now;
        self.prune(now);
        let recent = |k: &Known| k.own && now.since(k.named) < REPEAT_MS;
        let known = self.known.iter();
        let names = known.filter(|(_, k)| is_hub || recent(k)).map(|(n, _)| n);
        names.filter_map(|n| self.note(n, now)).collect()
    }
}

impl Gateway {
    /// Records the limits that an upstream names in an answer.
    pub(crate) fn record_limits(&self, upstream: &Upstream, answer: &AnswerHead) {
        let named = self.earliest_arrival();
        self.on_limits(None, upstream, NamedLimits::of(answer), named);
    }

    /// Handles the notes of another daemon.
    pub(crate) fn on_limit_notes(&self, from: &Sender, notes: Vec<LimitNote>) {
        let now = self.now();
        for note in notes {
            // An age counts from the arrival, which may be earlier than this.
            let named = Millis(now.0.saturating_sub(u64::from(note.age)));
            self.on_limits(Some(from), &note.upstream, note.limits, named);
        }
    }

    fn on_limits(
        &self,
        from: Option<&Sender>,
        upstream: &Upstream,
        limits: NamedLimits,
        named: Millis,
    ) {
        let service = self.service_of(upstream);
        let mut known = self.upstream_limits.borrow_mut();
        let maximum = |known: &UpstreamLimits| known.service_maximum(service.as_ref()?);
        let maximum_before = maximum(&known);
        let next = Known {
            service: service.clone(),
            limits,
            named,
            own: from.is_none(),
        };
        let before = known.record(upstream, next);
        let changed = maximum(&known) != maximum_before;
        drop(known);
        let Some(before) = before else {
            return;
        };
        self.log_limits(from, upstream, before, limits, named);
        self.apply_limits(upstream);
        if let (true, Some(service)) = (changed, service) {
            self.apply_service_limits(&service);
        }
        self.broadcast_limits(from, upstream);
    }

    /// Applies a changed maximum of rejections to the upstreams of a service.
    fn apply_service_limits(&self, service: &Service) {
        let roster = self.roster.borrow();
        let same = roster.iter().filter(|(_, e)| e.service == *service);
        let names: Vec<Upstream> = same.map(|(name, _)| name.clone()).collect();
        drop(roster);
        names.iter().for_each(|name| self.apply_limits(name));
    }

    /// The maximum of rejections of an upstream, which may be that of its service.
    pub(crate) fn max_rejections(&self, upstream: &Upstream) -> Option<f64> {
        let service = self.service_of(upstream);
        let limits = self.upstream_limits.borrow();
        limits.max_rejections(upstream, service.as_ref())
    }

    fn log_limits(
        &self,
        from: Option<&Sender>,
        upstream: &Upstream,
        before: NamedLimits,
        limits: NamedLimits,
        named: Millis,
    ) {
        self.metrics
            .record_rate_limit(upstream, limits.rate.unwrap_or(0.0));
        let detail = format!(
            "upstream={upstream} {limits} before=\"{before}\" from={} age_ms={}",
            from.map_or("answer", |s| s.instance.as_str()),
            self.now().since(named)
        );
        emit(LogEvent::UpstreamLimited, &detail);
    }

    /// The limits of an upstream, for another daemon.
    pub(crate) fn limit_note(&self, upstream: &Upstream) -> Option<LimitNote> {
        self.upstream_limits.borrow().note(upstream, self.now())
    }

    /// Sends the limits of an upstream to the daemons that don't know them yet.
    fn broadcast_limits(&self, from: Option<&Sender>, upstream: &Upstream) {
        let Some(note) = self.limit_note(upstream) else {
            return;
        };
        self.spread(from, LimitMessage::Named(vec![note]));
    }

    /// Sends what this daemon learned about upstreams, from an answer or from another daemon, to
    /// the daemons that don't know it yet.
    pub(crate) fn spread(&self, from: Option<&Sender>, message: LimitMessage) {
        let now = self.now();
        let mut membership = self.membership.borrow_mut();
        let targets = match from {
            Some(from) => membership.forward_targets(from, Audience::All, now),
            None => membership.hub_broadcast_targets(Audience::All, now),
        };
        drop(membership);
        let message = Message::Limits(message);
        self.send(targets.into_iter().map(|t| (t, message.clone())).collect());
    }

    /// Tells a daemon that has started which services have a maximum of rejections: it would send
    /// more than their upstreams bear until the limits are repeated.
    pub(crate) fn send_maxima(&self, to: &Sender) {
        let notes = self.upstream_limits.borrow().maxima(self.now());
        let parts = notes.chunks(NOTES_PER_DATAGRAM);
        let message = |part: &[LimitNote]| Message::Limits(LimitMessage::Named(part.to_vec()));
        self.send(parts.map(|part| (to.address, message(part))).collect());
    }

    /// Applies what is known of the limits of an upstream whose entry was read.
    pub(crate) fn apply_entry_limits(&self, upstream: &Upstream) {
        let service = self.service_of(upstream);
        let mut limits = self.upstream_limits.borrow_mut();
        let learned = service.filter(|s| limits.learn_service(upstream, s));
        drop(limits);
        self.apply_limits(upstream);
        if let Some(service) = learned {
            self.apply_service_limits(&service);
        }
    }

    /// Repeats the current limits where that is due.
    pub(crate) fn repeat_limits(&self) {
        let now = self.now();
        let is_hub = self.membership.borrow_mut().is_hub(now);
        let notes = self.upstream_limits.borrow_mut().due(is_hub, now);
        for part in notes.chunks(NOTES_PER_DATAGRAM) {
            self.spread(None, LimitMessage::Named(part.to_vec()));
        }
    }

    /// The upstreams that crash if they have to reject much.
    pub(crate) fn fragile_upstreams(&self) -> BTreeSet<Tag> {
        let limits = self.upstream_limits.borrow();
        let services = limits.fragile_services();
        let roster = self.roster.borrow();
        let of_services = roster.iter().filter(|(_, e)| services.contains(&e.service));
        let fragile = of_services.filter(|(n, e)| {
            let maximum = limits.max_rejections(n, Some(&e.service));
            maximum.is_some()
        });
        fragile.map(|(n, _)| Tag::of_upstream(n)).collect()
    }

    /// The service of an upstream that crashes if it has to reject much.
    pub(crate) fn fragile_service(&self, upstream: &Upstream) -> Option<Service> {
        self.max_rejections(upstream)?;
        self.service_of(upstream)
    }

    /// Forgets the limits of an upstream that has ended.
    pub(crate) fn forget_limits(&self, upstream: &Upstream) {
        let forgotten = self.upstream_limits.borrow_mut().forget(upstream);
        self.end_limits(upstream, forgotten, "ended");
    }

    /// Forgets those limits of an upstream that has started again which were its own.
    pub(crate) fn forget_rate(&self, upstream: &Upstream) {
        let forgotten = self.upstream_limits.borrow_mut().forget_rate(upstream);
        self.end_limits(upstream, forgotten, "restarted");
    }

    fn end_limits(&self, upstream: &Upstream, forgotten: bool, reason: &str) {
        if forgotten {
            self.metrics.record_rate_limit(upstream, 0.0);
            let left = self.upstream_limits.borrow().of(upstream);
            let detail = format!("upstream={upstream} {left} reason={reason}");
            emit(LogEvent::UpstreamLimited, &detail);
            self.apply_limits(upstream);
        }
    }
}

//! The limits that upstreams name in their answers, as this daemon and the others received them.
//!
//! Every answer may name limits, and one that names none ends them. What was named later replaces
//! what was named earlier, whichever arrives first. A daemon reports a change to the hubs at once,
//! which forward it to all daemons; hubs repeat the current limits at intervals, for daemons that
//! started meanwhile or missed a datagram. `docs/design/upstream-limits.md` has the design.

use crate::journal::emit;
use crate::membership::Audience;
use crate::message::{LimitMessage, Message, Sender};
use crate::state::Gateway;
use crate::AnswerHead;
use serde::{Deserialize, Serialize};
use shaleline_types::{LogEvent, Millis, Upstream};
use std::collections::BTreeMap;
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

#[derive(Debug, Clone, Copy)]
struct Known {
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
    /// The limits of an upstream.
    pub(crate) fn of(&self, upstream: &Upstream) -> NamedLimits {
        self.known
            .get(upstream)
            .map_or(NamedLimits::NONE, |k| k.limits)
    }

    /// The time since an upstream named its limits, in milliseconds.
    pub(crate) fn age(&self, upstream: &Upstream, now: Millis) -> u64 {
        self.known.get(upstream).map_or(0, |k| now.since(k.named))
    }

    /// Records the limits that an upstream named. Returns the previous ones where they differ.
    fn record(
        &mut self,
        upstream: &Upstream,
        limits: NamedLimits,
        named: Millis,
        own: bool,
    ) -> Option<NamedLimits> {
        let before = self.known.get(upstream).copied();
        if before.is_some_and(|k| k.named > named) {
            return None;
        }
        let previous = before.map_or(NamedLimits::NONE, |k| k.limits);
        // Most upstreams never name a limit and need no state.
        if before.is_some() || limits != NamedLimits::NONE {
            let known = Known { limits, named, own };
            self.known.insert(upstream.clone(), known);
        }
        (previous != limits).then_some(previous)
    }

    /// Forgets an upstream that has ended or started again.
    pub(crate) fn forget(&mut self, upstream: &Upstream) -> bool {
        let known = self.known.remove(upstream);
        known.is_some_and(|k| k.limits != NamedLimits::NONE)
    }

    /// Drops the ends of limits that are old.
    fn prune(&mut self, now: Millis) {
        self.known
            .retain(|_, k| k.limits != NamedLimits::NONE || now.since(k.named) < ENDED_TTL_MS);
    }

    fn note(&self, upstream: &Upstream, now: Millis) -> Option<LimitNote> {
        let known = self.known.get(upstream)?;
        Some(LimitNote {
            upstream: upstream.clone(),
            limits: known.limits,
            age: u32::try_from(now.since(known.named)).unwrap_or(u32::MAX),
        })
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
        let mut known = self.upstream_limits.borrow_mut();
        let before = known.record(upstream, limits, named, from.is_none());
        drop(known);
        let Some(before) = before else {
            return;
        };
        self.log_limits(from, upstream, before, limits, named);
        self.apply_limits(upstream);
        self.broadcast_limits(from, upstream);
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

    /// Repeats the current limits where that is due.
    pub(crate) fn repeat_limits(&self) {
        let now = self.now();
        let is_hub = self.membership.borrow_mut().is_hub(now);
        let notes = self.upstream_limits.borrow_mut().due(is_hub, now);
        for part in notes.chunks(NOTES_PER_DATAGRAM) {
            self.spread(None, LimitMessage::Named(part.to_vec()));
        }
    }

    /// Forgets the limits of an upstream that has ended or started again.
    pub(crate) fn forget_limits(&self, upstream: &Upstream) {
        if self.upstream_limits.borrow_mut().forget(upstream) {
            self.metrics.record_rate_limit(upstream, 0.0);
            let detail = format!("upstream={upstream} {} reason=ended", NamedLimits::NONE);
            emit(LogEvent::UpstreamLimited, &detail);
            self.apply_limits(upstream);
        }
    }
}

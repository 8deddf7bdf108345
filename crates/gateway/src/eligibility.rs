//! Decides whether this daemon may send to an upstream now, whoever selected it.
//!
//! Hubs select for other daemons, and some facts are first known to the daemon that sends: what an
//! upstream said in an answer. The question is therefore asked when a send is handed to its
//! request. A send that may not happen goes back to the router that selected it, without an attempt
//! or a part of the retry budget.
//!
//! An upstream that said once that it is leaving never takes that back, whatever its entries say;
//! only another incarnation under its name is not leaving. The fact spreads to all daemons as limits
//! do.
//!
//! An upstream that turns a request away may ask for rest. That concerns the daemon that it answered
//! alone, or the one in between if the request went through a tunnel.

use crate::crash_probe::SentAttempt;
use crate::journal::emit;
use crate::message::{LimitMessage, Message, Sender};
use crate::roster::Change;
use crate::state::Gateway;
use crate::upstream_limits::{NOTES_PER_DATAGRAM, REPEAT_MS};
use crate::{AnswerHead, RetryAfter};
use serde::{Deserialize, Serialize};
use shaleline_route::{AttemptEnd, AttemptNumber, RouteAction};
use shaleline_types::{Incarnation, LogEvent, Millis, RequestId, Upstream};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

/// The time for which it is remembered that an upstream said that it is leaving, while its entry is
/// missing. An entry also lapses while the store is unavailable.
const UNLISTED_TTL_MS: u64 = 3_600_000;

/// The longest time for which an upstream is believed that it takes nothing.
const MAX_REST: Duration = Duration::from_secs(3_600);

/// The time that an answer names, from now on.
fn rest_of(retry: RetryAfter) -> Millis {
    let rest = match retry {
        RetryAfter::Delay(delay) => delay,
        // A point in time that has passed asks for no rest.
        RetryAfter::At(at) => at.duration_since(SystemTime::now()).unwrap_or_default(),
    };
    Millis(rest.min(MAX_REST).as_millis() as u64)
}

/// Whether a daemon may send to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Eligibility {
    Allowed,
    /// Each request needs a permit.
    NeedsPermit,
    Leaving,
    /// It takes nothing from this daemon for this long.
    Resting(Millis),
    /// It has no entry.
    Unlisted,
}

/// An upstream that said in an answer that it is leaving, as one daemon tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeavingNote {
    upstream: Upstream,
    /// The incarnation that said so.
    incarnation: Incarnation,
}

#[derive(Debug, Clone)]
struct Leaving {
    incarnation: Incarnation,
    /// When this daemon last saw the upstream listed.
    listed: Millis,
    /// The daemon that reported it first, or none if this daemon received the answer itself.
    source: Option<String>,
    /// Whether another daemon has reported it.
    confirmed: bool,
}

/// A time in which an upstream takes nothing from this daemon.
#[derive(Debug, Clone, Copy)]
struct Rest {
    incarnation: Incarnation,
    until: Millis,
}

/// What upstreams said in their answers: that they are leaving, and until when they take nothing
/// from this daemon.
#[derive(Debug, Default)]
pub(crate) struct Announcements {
    resting: BTreeMap<Upstream, Rest>,
    leaving: BTreeMap<Upstream, Leaving>,
    repeated: Millis,
}

impl Announcements {
    /// Whether this incarnation of an upstream, or a later one, said that it is leaving. Without a
    /// start time all incarnations are taken for one.
    pub(crate) fn is_leaving(&self, upstream: &Upstream, incarnation: Incarnation) -> bool {
        let leaving = self.leaving.get(upstream);
        leaving.is_some_and(|l| incarnation.compare_to(l.incarnation) != Ordering::Greater)
    }

    /// Records that an upstream said that it is leaving. Returns whether that is new.
    fn record(&mut self, note: &LeavingNote, source: Option<&Sender>, now: Millis) -> bool {
        if let Some(known) = self.leaving.get_mut(&note.upstream) {
            let later = note.incarnation.compare_to(known.incarnation) == Ordering::Greater;
            if !later {
                known.confirmed |= source.is_some();
                return false;
            }
        }
        let leaving = Leaving {
            incarnation: note.incarnation,
            listed: now,
            source: source.map(|s| s.instance.as_str().to_owned()),
            confirmed: source.is_some(),
        };
        self.leaving.insert(note.upstream.clone(), leaving);
        true
    }

    /// For how long this incarnation of an upstream takes nothing from this daemon, if it does.
    fn rest(&self, upstream: &Upstream, incarnation: Incarnation, now: Millis) -> Option<Millis> {
        let rest = self.resting.get(upstream)?;
        let later = incarnation.compare_to(rest.incarnation) == Ordering::Greater;
        (!later && now < rest.until).then(|| Millis(rest.until.since(now)))
    }

    /// Records that an upstream takes nothing from this daemon until then. Of several times that
    /// one incarnation names the latest holds.
    fn record_rest(&mut self, upstream: &Upstream, rest: Rest, now: Millis) {
        self.resting.retain(|_, r| now < r.until);
        let known = self.resting.get(upstream);
        let known = known.filter(|k| {
            let order = rest.incarnation.compare_to(k.incarnation);
            order == Ordering::Less || (order == Ordering::Equal && k.until >= rest.until)
        });
        if known.is_none() {
            self.resting.insert(upstream.clone(), rest);
        }
    }

    /// Forgets an upstream that has ended or started again, if its incarnations can't be
    /// distinguished.
    pub(crate) fn on_ended(&mut self, upstream: &Upstream) {
        let unknown = |l: &Leaving| l.incarnation == Incarnation::default();
        if self.leaving.get(upstream).is_some_and(unknown) {
            self.leaving.remove(upstream);
        }
        let rest = self.resting.get(upstream);
        if rest.is_some_and(|r| r.incarnation == Incarnation::default()) {
            self.resting.remove(upstream);
        }
    }

    /// Where this daemon has it from that an upstream is leaving.
    fn source(&self, upstream: &Upstream) -> &str {
        let source = self.leaving.get(upstream).map(|l| l.source.as_deref());
        source.map_or("entry", |s| s.unwrap_or("answer"))
    }

    /// The notes to repeat now: those of all listed upstreams for a hub, and for another daemon
    /// those that no daemon has reported back.
    fn due(
        &mut self,
        is_hub: bool,
        is_listed: impl Fn(&Upstream) -> bool,
        now: Millis,
    ) -> Vec<LeavingNote> {
        if self.leaving.is_empty() || now.since(self.repeated) < REPEAT_MS {
            return Vec::new();
        }
        self.repeated = now;
        let mut due = Vec::new();
        for (name, leaving) in &mut self.leaving {
            if !is_listed(name) {
                continue;
            }
            leaving.listed = now;
            if is_hub || !leaving.confirmed {
                due.push(LeavingNote {
                    upstream: name.clone(),
                    incarnation: leaving.incarnation,
                });
            }
        }
        self.leaving
            .retain(|_, l| now.since(l.listed) < UNLISTED_TTL_MS);
        due
    }
}

impl Gateway {
    /// Whether an upstream is leaving, by its entry or by its answers, or has no entry.
    pub(crate) fn is_leaving(&self, upstream: &Upstream) -> bool {
        self.roster.borrow().is_leaving(upstream) || self.has_announced(upstream)
    }

    fn has_announced(&self, upstream: &Upstream) -> bool {
        let announcements = self.announcements.borrow();
        announcements.is_leaving(upstream, self.incarnation_of(upstream))
    }

    /// Whether this daemon may send to an upstream now.
    fn eligibility(&self, upstream: &Upstream) -> Eligibility {
        // A hub of an earlier release may select what this daemon does not use.
        let unusable = |e| self.unusable_reason(e).is_some();
        if self.roster.borrow().get(upstream).is_none_or(unusable) {
            return Eligibility::Unlisted;
        }
        if self.is_leaving(upstream) {
            return Eligibility::Leaving;
        }
        let incarnation = self.incarnation_of(upstream);
        let announcements = self.announcements.borrow();
        if let Some(rest) = announcements.rest(upstream, incarnation, self.now()) {
            return Eligibility::Resting(rest);
        }
        match self.upstream_limits.borrow().of(upstream).rate {
            Some(_) => Eligibility::NeedsPermit,
            None => Eligibility::Allowed,
        }
    }

    /// Whether this daemon may open a tunnel to an upstream, which takes this daemon for the
    /// sender.
    pub(crate) fn may_tunnel_to(&self, upstream: &Upstream) -> bool {
        let eligibility = self.eligibility(upstream);
        matches!(eligibility, Eligibility::Allowed | Eligibility::NeedsPermit)
    }

    /// Withholds an action that sends where nothing may be sent now. Returns whether it does.
    pub(crate) fn withhold(&self, id: RequestId, action: &RouteAction) -> bool {
        let RouteAction::Send {
            attempt, upstream, ..
        } = action
        else {
            self.held_sends.borrow_mut().cancel(id);
            return false;
        };
        if self.give_back(id, *attempt, upstream) {
            return true;
        }
        let needs_permit = self.eligibility(upstream) == Eligibility::NeedsPermit;
        if needs_permit {
            self.hold_for_permit(id, *attempt, upstream, action);
        }
        needs_permit
    }

    /// Gives a send back to the router if it may not happen, with or without a permit. Returns
    /// whether it does.
    pub(crate) fn give_back(
        &self,
        id: RequestId,
        attempt: AttemptNumber,
        upstream: &Upstream,
    ) -> bool {
        let end = match self.eligibility(upstream) {
            Eligibility::Allowed | Eligibility::NeedsPermit => return false,
            Eligibility::Leaving => AttemptEnd::Leaving,
            Eligibility::Resting(rest) => AttemptEnd::Resting(rest),
            // The daemon that selected it may be right: this one may not have read the entry yet.
            Eligibility::Unlisted => AttemptEnd::Refused,
        };
        if self.log_budget.take(self.now()) {
            let detail = format!(
                "request={} upstream={upstream} send={attempt} end={end:?}",
                id.0
            );
            emit(LogEvent::SendGivenBack, &detail);
        }
        self.on_end(id, attempt, end);
        true
    }

    /// Records what an upstream says in an answer, unless another one answered.
    pub(crate) fn record_answer(&self, sent: &SentAttempt, answer: &AnswerHead) {
        let other = answer.instance.as_deref();
        if other.is_some_and(|i| i != sent.upstream.as_str()) {
            return;
        }
        self.record_limits(&sent.upstream, answer);
        if answer.leaving {
            self.log_leaving_answer(sent);
            let note = LeavingNote {
                upstream: sent.upstream.clone(),
                incarnation: sent.incarnation,
            };
            self.on_leaving(None, note);
        }
    }

    /// Records for how long an upstream that turned a request away takes nothing from this daemon,
    /// or from the one through which the request went.
    pub(crate) fn record_rest(
        &self,
        sent: &SentAttempt,
        answer: &AnswerHead,
        relay: Option<SocketAddr>,
    ) {
        let other = answer.instance.as_deref();
        if other.is_some_and(|i| i != sent.upstream.as_str()) {
            return;
        }
        let Some(rest) = answer.retry_after.map(rest_of).filter(|r| r.0 > 0) else {
            return;
        };
        self.log_rest(sent, rest, relay);
        self.on_rest(&sent.upstream, sent.incarnation, rest);
        // The upstream takes the daemon in between for the sender.
        if let Some(relay) = relay {
            let message = LimitMessage::Resting {
                upstream: sent.upstream.clone(),
                incarnation: sent.incarnation,
                millis: u32::try_from(rest.0).unwrap_or(u32::MAX),
            };
            self.send(vec![(relay, Message::Limits(message))]);
        }
    }

    /// Records that an upstream takes nothing from this daemon for some time.
    pub(crate) fn on_rest(&self, upstream: &Upstream, incarnation: Incarnation, rest: Millis) {
        let now = self.now();
        let until = now.plus(rest.0.min(MAX_REST.as_millis() as u64));
        let rest = Rest { incarnation, until };
        let mut announcements = self.announcements.borrow_mut();
        announcements.record_rest(upstream, rest, now);
        self.exclude(upstream, until);
    }

    /// The upstreams that take nothing from this daemon, and until when.
    pub(crate) fn resting(&self) -> BTreeMap<Upstream, Millis> {
        let now = self.now();
        let announcements = self.announcements.borrow();
        let names = announcements.resting.keys();
        let until = names.filter_map(|name| {
            let rest = announcements.rest(name, self.incarnation_of(name), now)?;
            Some((name.clone(), now.plus(rest.0)))
        });
        until.collect()
    }

    fn log_rest(&self, sent: &SentAttempt, rest: Millis, relay: Option<SocketAddr>) {
        if !self.log_budget.take(self.now()) {
            return;
        }
        let (upstream, start) = (&sent.upstream, sent.start);
        let relay = relay.map_or("none".to_owned(), |r| r.to_string());
        let detail = format!(
            "upstream={upstream} start={start} rest_ms={} relay={relay}",
            rest.0
        );
        emit(LogEvent::RestAsked, &detail);
    }

    /// Handles the notes of another daemon.
    pub(crate) fn on_leaving_notes(&self, from: &Sender, notes: Vec<LeavingNote>) {
        for note in notes {
            // Without a start time, a late note could be about an earlier incarnation.
            let listed = self.roster.borrow().get(&note.upstream).is_some();
            if listed || note.incarnation != Incarnation::default() {
                self.on_leaving(Some(from), note);
            }
        }
    }

    fn on_leaving(&self, from: Option<&Sender>, note: LeavingNote) {
        let now = self.now();
        if !self.announcements.borrow_mut().record(&note, from, now) {
            return;
        }
        self.apply(Change::Present(note.upstream.clone()));
        self.spread(from, LimitMessage::Leaving(vec![note]));
    }

    /// Repeats which upstreams said that they are leaving, where that is due.
    pub(crate) fn repeat_leavings(&self) {
        let now = self.now();
        let is_hub = self.membership.borrow_mut().is_hub(now);
        let roster = self.roster.borrow();
        let is_listed = |name: &Upstream| roster.get(name).is_some();
        let notes = self.announcements.borrow_mut().due(is_hub, is_listed, now);
        drop(roster);
        for part in notes.chunks(NOTES_PER_DATAGRAM) {
            self.spread(None, LimitMessage::Leaving(part.to_vec()));
        }
    }

    /// Logs that an upstream is leaving, and where that was heard.
    pub(crate) fn log_leaving(&self, upstream: &Upstream) {
        let announcements = self.announcements.borrow();
        let source = match self.roster.borrow().is_leaving(upstream) {
            true => "entry",
            false => announcements.source(upstream),
        };
        let detail = format!("upstream={upstream} from={source}");
        emit(LogEvent::UpstreamLeaving, &detail);
    }

    fn log_leaving_answer(&self, sent: &SentAttempt) {
        if !self.log_budget.take(self.now()) {
            return;
        }
        let (upstream, start) = (&sent.upstream, sent.start);
        let known = self.is_leaving(upstream);
        let detail = format!("upstream={upstream} start={start} known={known}");
        emit(LogEvent::LeavingAnswer, &detail);
    }
}

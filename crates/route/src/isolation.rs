//! Restricts where requests with crashes may be sent.
//!
//! The case that matters: a request that crashes each upstream that runs it, sent in several copies
//! at once, beside harmless requests that were in flight when an upstream crashed. A part of prompts
//! may do the same; copies are then the requests whose prompts contain it. Three rules bound the
//! cost:
//!
//! * The upstreams that crashed during a request and those that run it now are at most
//!   [`MAX_CRASHES`] together. Further copies go to an upstream that runs one already, or are
//!   refused. A request thus crashes at most three upstreams, however many copies arrive before the
//!   first crash. Many sound requests share a part, so that this rule holds for parts from the first
//!   crash on.
//! * A request with two crashes goes only where no other such request runs. The next crash then has
//!   one suspect, and a bystander of both doesn't get a third.
//! * A request with three crashes is not sent any more.

use crate::crashes::{CrashNote, Crashes, MAX_CRASHES};
use crate::upstream::UpstreamState;
use crate::{RouteAction, RouteRequest, Router};
use shaleline_types::{
    ErrorKind, Fingerprint, Identity, IncarnationTag, Millis, RequestId, Upstream,
};
use std::collections::{BTreeMap, BTreeSet};

/// The number of crashes from which a request runs isolated from others like it.
const ISOLATION_CRASHES: usize = MAX_CRASHES - 1;

/// A request of which a copy succeeded within this time is harmless: many callers may send the same
/// request at once, such as a query of a service's state, and need all its upstreams.
const HARMLESS_MS: u64 = 60_000;

/// The most requests that are remembered as harmless.
const MAX_HARMLESS: usize = 1_024;

/// The open requests, by the fingerprints that copies have in common: their own and those of the
/// parts of their prompts.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    open: BTreeMap<Fingerprint, BTreeSet<RequestId>>,
    /// The requests of which one copy succeeded while others were open, with the time.
    harmless: BTreeMap<Fingerprint, Millis>,
}

impl Copies {
    pub(crate) fn insert(&mut self, request: &RouteRequest) {
        for cause in request.causes() {
            self.open.entry(*cause).or_default().insert(request.id);
        }
    }

    fn record_harmless(&mut self, fingerprint: Fingerprint, now: Millis) {
        let several = self.open.get(&fingerprint).is_some_and(|ids| ids.len() > 1);
        if several && self.harmless.len() < MAX_HARMLESS {
            self.harmless.insert(fingerprint, now);
        }
    }

    /// Returns whether no other copy of the request is open.
    fn is_single(&self, fingerprint: &Fingerprint) -> bool {
        self.open.get(fingerprint).is_none_or(|ids| ids.len() == 1)
    }

    fn is_harmless(&self, fingerprint: &Fingerprint) -> bool {
        self.harmless.contains_key(fingerprint)
    }

    fn prune(&mut self, now: Millis) {
        self.harmless
            .retain(|_, sent_to| now.since(*sent_to) < HARMLESS_MS);
    }

    pub(crate) fn remove(&mut self, request: &RouteRequest) {
        for cause in request.causes() {
            let Some(ids) = self.open.get_mut(cause) else {
                continue;
            };
            ids.remove(&request.id);
            if ids.is_empty() {
                self.open.remove(cause);
            }
        }
    }

    fn of(&self, fingerprint: &Fingerprint) -> impl Iterator<Item = &RequestId> {
        self.open.get(fingerprint).into_iter().flatten()
    }
}

impl Router {
    /// Returns the known crashes of requests.
    #[must_use]
    pub fn crashes(&self) -> &Crashes {
        &self.crashes
    }

    /// Returns the number of crashes of a request, or of the part of its prompt that has most.
    #[must_use]
    pub fn crash_count(&self, request: &RouteRequest) -> usize {
        let counts = request.causes().map(|c| self.count_of(c));
        counts.max().unwrap_or(0)
    }

    /// Returns the number of crashes that count here for a request or part: none for a part that
    /// was answered just now.
    fn count_of(&self, cause: &Fingerprint) -> usize {
        match cause.is_part() && self.sound_parts.is_recent(cause) {
            true => 0,
            false => self.crashes.crash_count(cause),
        }
    }

    /// Returns whether the request itself is blocked, whatever its prompt.
    #[must_use]
    pub fn is_request_blocked(&self, request: &RouteRequest) -> bool {
        let own = request.identity.map(|i| self.count_of(&i.request));
        own.is_some_and(|count| count >= MAX_CRASHES)
    }

    /// Takes the crash notes that were created since the last call.
    pub fn take_crash_notes(&mut self) -> Vec<CrashNote> {
        std::mem::take(&mut self.crash_notes)
    }

    /// Merges another daemon's crash notes. Returns those that contained anything new.
    pub fn merge_crashes(
        &mut self,
        notes: Vec<CrashNote>,
        now: Millis,
        out: &mut Vec<RouteAction>,
    ) -> Vec<CrashNote> {
        self.sound_parts.advance(now);
        let before = self.crashes.blocked().clone();
        let mut new_notes = Vec::new();
        for note in notes {
            if self.crashes.merge(&note, now) {
                new_notes.push(note);
            }
        }
        self.stop_blocked(&before, out);
        new_notes
    }

    /// Clears the crashes of a request that an operator declared harmless.
    pub fn clear_crashes(&mut self, fingerprint: &Fingerprint, now: Millis) {
        let note = self.crashes.clear(fingerprint, now);
        self.crash_notes.extend(note);
    }

    pub(crate) fn drop_old_crashes(&mut self, now: Millis) {
        self.crashes.tick(now);
        self.copies.prune(now);
        self.sound_parts.prune(now);
    }

    /// Returns what may have caused the crash of an upstream that ran a request: the request, and
    /// parts of its prompt if the upstream was about to begin its answer.
    pub fn suspects(
        &mut self,
        identity: Identity,
        parts: &[Fingerprint],
        start: IncarnationTag,
    ) -> Vec<Identity> {
        let parts = self.sound_parts.suspects(parts, start).into_iter();
        let parts = parts.map(|part| identity.with_part(part));
        std::iter::once(identity).chain(parts).collect()
    }

    /// Records a crash of an upstream during a request.
    pub(crate) fn record_crash(
        &mut self,
        id: RequestId,
        start: IncarnationTag,
        now: Millis,
        out: &mut Vec<RouteAction>,
    ) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let Some(identity) = open.request.identity else {
            return;
        };
        let parts = match open.first_byte {
            None => open.request.parts.clone(),
            Some(_) => Vec::new(),
        };
        let before = self.crashes.blocked().clone();
        for cause in self.suspects(identity, &parts, start) {
            let note = self.crashes.on_end(cause, start, now);
            self.crash_notes.extend(note);
        }
        self.stop_blocked(&before, out);
    }

    /// Records that a request whose upstream another daemon selected was answered.
    pub fn record_answered(&mut self, parts: &[Fingerprint], now: Millis) {
        self.sound_parts.record(parts, now);
        self.crashes.record_answer(parts);
    }

    /// Records that a request succeeded. A part of its prompt is cleared if the answer began after
    /// the part's last crash.
    pub(crate) fn record_success(&mut self, id: RequestId, now: Millis) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let (identity, begun) = (open.request.identity, open.first_byte);
        let parts = open.request.parts.clone();
        self.sound_parts.record(&parts, now);
        self.crashes.record_answer(&parts);
        for part in &parts {
            let last = self.crashes.last_crash(part);
            if last.is_some_and(|last| begun.is_some_and(|begun| begun > last)) {
                self.clear_crashes(part, now);
            }
        }
        if let Some(identity) = identity {
            self.copies.record_harmless(identity.request, now);
            self.clear_crashes(&identity.request, now);
        }
    }

    /// Returns whether the request may not be sent any more.
    pub(crate) fn is_blocked(&self, request: &RouteRequest) -> bool {
        self.crash_count(request) >= MAX_CRASHES
    }

    /// Fails all open copies of what was not blocked before: one may still be queued at an upstream,
    /// which it need not crash as well.
    fn stop_blocked(&mut self, before: &BTreeSet<Fingerprint>, out: &mut Vec<RouteAction>) {
        let new = self.crashes.blocked().difference(before);
        let new = new.filter(|cause| self.count_of(cause) >= MAX_CRASHES);
        let ids: BTreeSet<RequestId> = new
            .flat_map(|cause| self.copies.of(cause))
            .copied()
            .collect();
        for id in ids {
            let Some(open) = self.open.get(&id) else {
                continue;
            };
            let (request, sent_to, attempt) =
                (open.request.clone(), open.upstream.clone(), open.attempt);
            match sent_to {
                Some(upstream) => {
                    if let Some(state) = self.upstreams.get_mut(&upstream) {
                        state.on_end(id);
                        state.breaker.on_inconclusive();
                    }
                    out.push(RouteAction::Cancel {
                        id,
                        attempt,
                        upstream,
                    });
                }
                None => self.dequeue(&request),
            }
            self.fail(id, ErrorKind::EndsUpstreams, out);
        }
    }

    /// Returns the upstreams that run a copy of the request.
    fn upstreams_of(&self, fingerprint: &Fingerprint) -> BTreeSet<&Upstream> {
        let open = self
            .copies
            .of(fingerprint)
            .filter_map(|id| self.open.get(id));
        open.filter_map(|o| o.upstream.as_ref()).collect()
    }

    /// Returns whether a request may be sent to an upstream, given its crashes.
    pub(crate) fn may_send_to(
        &self,
        request: &RouteRequest,
        name: &Upstream,
        state: &UpstreamState,
    ) -> bool {
        let mut causes = request.causes();
        causes.all(|cause| self.may_send_copy_to(cause, name, state))
    }

    /// Returns whether a request with this fingerprint, or with this part, may be sent to an
    /// upstream.
    fn may_send_copy_to(
        &self,
        cause: &Fingerprint,
        name: &Upstream,
        state: &UpstreamState,
    ) -> bool {
        let crash_count = self.count_of(cause);
        if crash_count >= MAX_CRASHES {
            return false;
        }
        if crash_count == 0 && self.is_unrestricted(cause) {
            return true;
        }
        let upstreams = self.upstreams_of(cause);
        if upstreams.contains(name) {
            return true;
        }
        crash_count + upstreams.len() < MAX_CRASHES
            && (crash_count < ISOLATION_CRASHES || self.has_no_suspects(state))
    }

    /// Returns whether copies without a crash may run on any number of upstreams.
    fn is_unrestricted(&self, cause: &Fingerprint) -> bool {
        cause.is_part() || self.copies.is_single(cause) || self.copies.is_harmless(cause)
    }

    /// Returns whether the upstream runs no request that must be isolated.
    fn has_no_suspects(&self, state: &UpstreamState) -> bool {
        let open = state.in_flight.keys().filter_map(|id| self.open.get(id));
        let mut suspects = open.filter(|o| self.crash_count(&o.request) >= ISOLATION_CRASHES);
        suspects.next().is_none()
    }

    /// Returns whether the request must not be queued: it would block those behind it, and the time
    /// when it may be sent is unknown.
    pub(crate) fn must_not_queue(&self, request: &RouteRequest) -> bool {
        self.crash_count(request) >= ISOLATION_CRASHES
    }

    /// Refuses requests at the head of a queue that no upstream with free slots may run, as they
    /// block those behind them.
    pub(crate) fn refuse_unplaceable(&mut self, now: Millis, out: &mut Vec<RouteAction>) {
        let heads = self.queues.values().flat_map(|queue| queue.heads(now));
        let unplaceable = |id: &RequestId| {
            let request = self.open.get(id).map(|o| &o.request);
            request.is_some_and(|a| self.is_unplaceable(a, now))
        };
        let ids: Vec<RequestId> = heads.map(|h| h.id).filter(unplaceable).collect();
        for id in ids {
            let Some(request) = self.open.get(&id).map(|o| o.request.clone()) else {
                continue;
            };
            self.dequeue(&request);
            self.fail(id, ErrorKind::NoUpstream, out);
        }
    }

    fn is_unplaceable(&self, request: &RouteRequest, now: Millis) -> bool {
        let is_restricted = |cause: &Fingerprint| {
            let many = || self.copies.of(cause).nth(MAX_CRASHES).is_some();
            self.count_of(cause) > 0 || (!cause.is_part() && many())
        };
        if !request.causes().any(is_restricted) {
            return false;
        }
        let has_slot = |b: &UpstreamState| {
            b.routes.contains(&request.route) && self.has_room_for(b, request, now)
        };
        let mut with_free_slots = self
            .upstreams
            .iter()
            .filter(|(_, b)| has_slot(b))
            .peekable();
        with_free_slots.peek().is_some()
            && !with_free_slots.any(|(name, state)| self.may_send_to(request, name, state))
    }
}

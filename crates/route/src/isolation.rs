//! Restricts where requests with crashes may be sent.
//!
//! The case that matters: a request that crashes each upstream that runs it, sent in several copies
//! at once, beside harmless requests that were in flight when an upstream crashed. Three rules
//! bound the cost:
//!
//! * The upstreams that crashed during a request and those that run it now are at most
//!   [`MAX_CRASHES`] together. Further copies go to an upstream that runs one already, or are
//!   refused. A request thus crashes at most three upstreams, however many copies arrive before the
//!   first crash.
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

/// The open requests, by the fingerprint that copies have in common.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    open: BTreeMap<Fingerprint, BTreeSet<RequestId>>,
    /// The requests of which one copy succeeded while others were open, with the time.
    harmless: BTreeMap<Fingerprint, Millis>,
}

impl Copies {
    pub(crate) fn insert(&mut self, request: &RouteRequest) {
        if let Some(identity) = request.identity {
            let ids = self.open.entry(identity.request).or_default();
            ids.insert(request.id);
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
        let Some(identity) = request.identity else {
            return;
        };
        if let Some(ids) = self.open.get_mut(&identity.request) {
            ids.remove(&request.id);
            if ids.is_empty() {
                self.open.remove(&identity.request);
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

    /// Returns the number of crashes of a request.
    #[must_use]
    pub fn crash_count(&self, request: &RouteRequest) -> usize {
        request
            .identity
            .map_or(0, |i| self.crashes.crash_count(&i.request))
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
        let mut new_notes = Vec::new();
        for note in notes {
            if self.crashes.merge(&note, now) {
                self.stop_blocked(&note.identity.request, out);
                new_notes.push(note);
            }
        }
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
    }

    /// Records a crash of an upstream during a request.
    pub(crate) fn record_crash(
        &mut self,
        identity: Option<Identity>,
        start: IncarnationTag,
        now: Millis,
        out: &mut Vec<RouteAction>,
    ) {
        let Some(identity) = identity else {
            return;
        };
        let note = self.crashes.on_end(identity, start, now);
        self.crash_notes.extend(note);
        self.stop_blocked(&identity.request, out);
    }

    /// Records that a request succeeded.
    pub(crate) fn record_success(&mut self, id: RequestId, now: Millis) {
        let identity = self.open.get(&id).and_then(|o| o.request.identity);
        if let Some(identity) = identity {
            self.copies.record_harmless(identity.request, now);
            self.clear_crashes(&identity.request, now);
        }
    }

    /// Returns whether the request may not be sent any more.
    pub(crate) fn is_blocked(&self, request: &RouteRequest) -> bool {
        self.crash_count(request) >= MAX_CRASHES
    }

    /// Fails all open copies of a blocked request: one may still be queued at an upstream, which it
    /// need not crash as well.
    fn stop_blocked(&mut self, fingerprint: &Fingerprint, out: &mut Vec<RouteAction>) {
        if self.crashes.crash_count(fingerprint) < MAX_CRASHES {
            return;
        }
        let ids: Vec<RequestId> = self.copies.of(fingerprint).copied().collect();
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
        let Some(identity) = request.identity else {
            return true;
        };
        let crash_count = self.crashes.crash_count(&identity.request);
        if crash_count >= MAX_CRASHES {
            return false;
        }
        let unrestricted =
            self.copies.is_single(&identity.request) || self.copies.is_harmless(&identity.request);
        if crash_count == 0 && unrestricted {
            return true;
        }
        let upstreams = self.upstreams_of(&identity.request);
        if upstreams.contains(name) {
            return true;
        }
        crash_count + upstreams.len() < MAX_CRASHES
            && (crash_count < ISOLATION_CRASHES || self.has_no_suspects(state))
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
        let heads = self
            .queues
            .values()
            .flat_map(crate::queue::RouteQueue::heads);
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
        let Some(identity) = request.identity else {
            return false;
        };
        let crash_count = self.crashes.crash_count(&identity.request);
        if crash_count == 0 && self.copies.of(&identity.request).nth(MAX_CRASHES).is_none() {
            return false;
        }
        let has_slot = |b: &UpstreamState| {
            b.routes.contains(&request.route) && b.has_free_slot_for(&request.org, now)
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

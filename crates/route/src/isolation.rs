//! Where a request may go under which upstreams ended.
//!
//! The load that this answers: a request that ends each upstream which runs it, in several copies
//! at once, beside innocent ones that were under way when an upstream ended. Three rules bound what
//! it costs:
//!
//! * The upstreams that ended under a request and those at which it is now are at most
//!   [`MAX_CRASHES`] together. Further copies join one where it is already, or are refused: with that
//!   a request ends three upstreams however many copies come before the first one ends.
//! * A request under which two ended goes only where no other such request is. What ends then
//!   ended under one of them alone, and a bystander of both is not taken for the third.
//! * A request under which three ended is not sent any more.

use crate::crashes::{CrashNote, Crashes, MAX_CRASHES};
use crate::upstream::UpstreamState;
use crate::{RouteAction, RouteRequest, Router};
use shaleline_types::{ErrorKind, Fingerprint, Identity, Millis, RequestId, StartTag, Upstream};
use std::collections::{BTreeMap, BTreeSet};

/// A request under which so many upstreams ended runs apart from others of its kind.
const ISOLATION_CRASHES: usize = MAX_CRASHES - 1;

/// A request of which a copy has ended well so short a time ago is sound: many callers may ask for
/// the same thing at once, such as the state of a service, and need all its upstreams.
const HARMLESS_MS: u64 = 60_000;

/// The most requests that are remembered as sound.
const MAX_HARMLESS: usize = 1_024;

/// The requests that are open, by what they have in common with other attempts.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    open: BTreeMap<Fingerprint, BTreeSet<RequestId>>,
    /// Those of which one copy ended well while others were open, and when.
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

    /// Whether no other copy of a request is open.
    fn is_single(&self, fingerprint: &Fingerprint) -> bool {
        self.open.get(fingerprint).is_none_or(|ids| ids.len() == 1)
    }

    fn is_harmless(&self, fingerprint: &Fingerprint) -> bool {
        self.harmless.contains_key(fingerprint)
    }

    fn prune(&mut self, now: Millis) {
        self.harmless.retain(|_, at| now.since(*at) < HARMLESS_MS);
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
    /// What is known of requests under which upstreams ended.
    #[must_use]
    pub fn crashes(&self) -> &Crashes {
        &self.crashes
    }

    /// How many upstreams ended under a request.
    #[must_use]
    pub fn crash_count(&self, request: &RouteRequest) -> usize {
        request
            .identity
            .map_or(0, |i| self.crashes.crash_count(&i.request))
    }

    /// What this router found out about such requests since this was asked last.
    pub fn take_crash_notes(&mut self) -> Vec<CrashNote> {
        std::mem::take(&mut self.crash_notes)
    }

    /// Takes in what another daemon found out. Returns those notes that are news.
    pub fn merge_crashes(
        &mut self,
        notes: Vec<CrashNote>,
        now: Millis,
        out: &mut Vec<RouteAction>,
    ) -> Vec<CrashNote> {
        let mut news = Vec::new();
        for note in notes {
            if self.crashes.merge(&note, now) {
                self.stop_blocked(&note.identity.request, out);
                news.push(note);
            }
        }
        news
    }

    /// Forgets what ended under a request: an operator says that it is sound.
    pub fn clear_crashes(&mut self, fingerprint: &Fingerprint, now: Millis) {
        let note = self.crashes.clear(fingerprint, now);
        self.crash_notes.extend(note);
    }

    pub(crate) fn drop_old_crashes(&mut self, now: Millis) {
        self.crashes.tick(now);
        self.copies.prune(now);
    }

    /// Notes that an upstream ended under a request.
    pub(crate) fn record_crash(
        &mut self,
        identity: Option<Identity>,
        start: StartTag,
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

    /// Notes that a request ended well.
    pub(crate) fn record_success(&mut self, id: RequestId, now: Millis) {
        let identity = self.open.get(&id).and_then(|o| o.request.identity);
        if let Some(identity) = identity {
            self.copies.record_harmless(identity.request, now);
            self.clear_crashes(&identity.request, now);
        }
    }

    /// Whether a request may not be sent any more.
    pub(crate) fn is_blocked(&self, request: &RouteRequest) -> bool {
        self.crash_count(request) >= MAX_CRASHES
    }

    /// Gives up what is open of a request that may not be sent any more: it may still wait its turn
    /// at an upstream, which need not end as well.
    fn stop_blocked(&mut self, fingerprint: &Fingerprint, out: &mut Vec<RouteAction>) {
        if self.crashes.crash_count(fingerprint) < MAX_CRASHES {
            return;
        }
        let ids: Vec<RequestId> = self.copies.of(fingerprint).copied().collect();
        for id in ids {
            let Some(open) = self.open.get(&id) else {
                continue;
            };
            let (request, at, attempt) =
                (open.request.clone(), open.upstream.clone(), open.attempt);
            match at {
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

    /// The upstreams at which a request is now, in any copy.
    fn upstreams_of(&self, fingerprint: &Fingerprint) -> BTreeSet<&Upstream> {
        let open = self
            .copies
            .of(fingerprint)
            .filter_map(|id| self.open.get(id));
        open.filter_map(|o| o.upstream.as_ref()).collect()
    }

    /// Whether a request may go to an upstream, by what ended under it.
    pub(crate) fn may_send_to(
        &self,
        request: &RouteRequest,
        name: &Upstream,
        state: &UpstreamState,
    ) -> bool {
        let Some(identity) = request.identity else {
            return true;
        };
        let ends = self.crashes.crash_count(&identity.request);
        if ends >= MAX_CRASHES {
            return false;
        }
        let free =
            self.copies.is_single(&identity.request) || self.copies.is_harmless(&identity.request);
        if ends == 0 && free {
            return true;
        }
        let places = self.upstreams_of(&identity.request);
        if places.contains(name) {
            return true;
        }
        ends + places.len() < MAX_CRASHES
            && (ends < ISOLATION_CRASHES || self.has_no_suspects(state))
    }

    /// Whether no request is at an upstream that must run apart.
    fn has_no_suspects(&self, state: &UpstreamState) -> bool {
        let open = state.in_flight.keys().filter_map(|id| self.open.get(id));
        let mut suspects = open.filter(|o| self.crash_count(&o.request) >= ISOLATION_CRASHES);
        suspects.next().is_none()
    }

    /// Whether a request does not wait: it would keep those behind it from being sent, and nobody
    /// knows when it may go.
    pub(crate) fn never_waits(&self, request: &RouteRequest) -> bool {
        self.crash_count(request) >= ISOLATION_CRASHES
    }

    /// Refuses what waits first in line and may not go where there is room: others stand behind it.
    pub(crate) fn refuse_unplaceable(&mut self, now: Millis, out: &mut Vec<RouteAction>) {
        let heads = self
            .queues
            .values()
            .flat_map(crate::queue::RouteQueue::heads);
        let barred = |id: &RequestId| {
            let request = self.open.get(id).map(|o| &o.request);
            request.is_some_and(|a| self.is_unplaceable(a, now))
        };
        let ids: Vec<RequestId> = heads.map(|h| h.id).filter(barred).collect();
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
        let ends = self.crashes.crash_count(&identity.request);
        if ends == 0 && self.copies.of(&identity.request).nth(MAX_CRASHES).is_none() {
            return false;
        }
        let roomy = |b: &UpstreamState| {
            b.routes.contains(&request.route) && b.has_room_for(&request.org, now)
        };
        let mut with_room = self.upstreams.iter().filter(|(_, b)| roomy(b)).peekable();
        with_room.peek().is_some()
            && !with_room.any(|(name, state)| self.may_send_to(request, name, state))
    }
}

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
use crate::upstream::Back;
use crate::{RouteAction, RouteRequest, Router};
use shaleline_types::{
    ErrorKind, Fingerprint, Identity, IncarnationTag, Millis, RequestId, Upstream,
};
use std::collections::{BTreeMap, BTreeSet};

/// A request under which so many upstreams ended runs apart from others of its kind.
const APART_ENDS: usize = MAX_CRASHES - 1;

/// A request of which a copy has ended well so short a time ago is sound: many callers may ask for
/// the same thing at once, such as the state of a service, and need all its upstreams.
const SOUND_MS: u64 = 60_000;

/// The most requests that are remembered as sound.
const MOST_SOUND: usize = 1_024;

/// The requests that are open, by what they have in common with other attempts.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    open: BTreeMap<Fingerprint, BTreeSet<RequestId>>,
    /// Those of which one copy ended well while others were open, and when.
    sound: BTreeMap<Fingerprint, Millis>,
}

impl Copies {
    pub(crate) fn insert(&mut self, ask: &RouteRequest) {
        if let Some(identity) = ask.identity {
            let ids = self.open.entry(identity.request).or_default();
            ids.insert(ask.id);
        }
    }

    fn note_sound(&mut self, request: Fingerprint, now: Millis) {
        let several = self.open.get(&request).is_some_and(|ids| ids.len() > 1);
        if several && self.sound.len() < MOST_SOUND {
            self.sound.insert(request, now);
        }
    }

    /// Whether no other copy of a request is open.
    fn is_single(&self, request: &Fingerprint) -> bool {
        self.open.get(request).is_none_or(|ids| ids.len() == 1)
    }

    fn is_sound(&self, request: &Fingerprint) -> bool {
        self.sound.contains_key(request)
    }

    fn prune(&mut self, now: Millis) {
        self.sound.retain(|_, at| now.since(*at) < SOUND_MS);
    }

    pub(crate) fn remove(&mut self, ask: &RouteRequest) {
        let Some(identity) = ask.identity else {
            return;
        };
        if let Some(ids) = self.open.get_mut(&identity.request) {
            ids.remove(&ask.id);
            if ids.is_empty() {
                self.open.remove(&identity.request);
            }
        }
    }

    fn of(&self, request: &Fingerprint) -> impl Iterator<Item = &RequestId> {
        self.open.get(request).into_iter().flatten()
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
    pub fn crash_count(&self, ask: &RouteRequest) -> usize {
        ask.identity
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
    pub fn clear_crashes(&mut self, request: &Fingerprint, now: Millis) {
        let note = self.crashes.clear(request, now);
        self.crash_notes.extend(note);
    }

    pub(crate) fn drop_old_crashes(&mut self, now: Millis) {
        self.crashes.tick(now);
        self.copies.prune(now);
    }

    /// Notes that an upstream ended under a request.
    pub(crate) fn note_end(
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

    /// Notes that a request ended well.
    pub(crate) fn note_good_end(&mut self, id: RequestId, now: Millis) {
        let identity = self.open.get(&id).and_then(|o| o.ask.identity);
        if let Some(identity) = identity {
            self.copies.note_sound(identity.request, now);
            self.clear_crashes(&identity.request, now);
        }
    }

    /// Whether a request may not be sent any more.
    pub(crate) fn is_blocked(&self, ask: &RouteRequest) -> bool {
        self.crash_count(ask) >= MAX_CRASHES
    }

    /// Gives up what is open of a request that may not be sent any more: it may still wait its turn
    /// at an upstream, which need not end as well.
    fn stop_blocked(&mut self, request: &Fingerprint, out: &mut Vec<RouteAction>) {
        if self.crashes.crash_count(request) < MAX_CRASHES {
            return;
        }
        let ids: Vec<RequestId> = self.copies.of(request).copied().collect();
        for id in ids {
            let Some(open) = self.open.get(&id) else {
                continue;
            };
            let (ask, at, attempt) = (open.ask.clone(), open.at.clone(), open.attempt);
            match at {
                Some(upstream) => {
                    if let Some(back) = self.backs.get_mut(&upstream) {
                        back.on_end(id);
                        back.breaker.on_neutral();
                    }
                    out.push(RouteAction::Cancel {
                        id,
                        attempt,
                        upstream,
                    });
                }
                None => self.unqueue(&ask),
            }
            self.give_up(id, ErrorKind::EndsUpstreams, out);
        }
    }

    /// The upstreams at which a request is now, in any copy.
    fn places_of(&self, request: &Fingerprint) -> BTreeSet<&Upstream> {
        let open = self.copies.of(request).filter_map(|id| self.open.get(id));
        open.filter_map(|o| o.at.as_ref()).collect()
    }

    /// Whether a request may go to an upstream, by what ended under it.
    pub(crate) fn may_go(&self, ask: &RouteRequest, name: &Upstream, back: &Back) -> bool {
        let Some(identity) = ask.identity else {
            return true;
        };
        let ends = self.crashes.crash_count(&identity.request);
        if ends >= MAX_CRASHES {
            return false;
        }
        let free =
            self.copies.is_single(&identity.request) || self.copies.is_sound(&identity.request);
        if ends == 0 && free {
            return true;
        }
        let places = self.places_of(&identity.request);
        if places.contains(name) {
            return true;
        }
        ends + places.len() < MAX_CRASHES && (ends < APART_ENDS || self.is_free_of_suspects(back))
    }

    /// Whether no request is at an upstream that must run apart.
    fn is_free_of_suspects(&self, back: &Back) -> bool {
        let open = back.flights.keys().filter_map(|id| self.open.get(id));
        let mut suspects = open.filter(|o| self.crash_count(&o.ask) >= APART_ENDS);
        suspects.next().is_none()
    }

    /// Whether a request does not wait: it would keep those behind it from being sent, and nobody
    /// knows when it may go.
    pub(crate) fn never_waits(&self, ask: &RouteRequest) -> bool {
        self.crash_count(ask) >= APART_ENDS
    }

    /// Refuses what waits first in line and may not go where there is room: others stand behind it.
    pub(crate) fn refuse_barred(&mut self, now: Millis, out: &mut Vec<RouteAction>) {
        let heads = self
            .queues
            .values()
            .flat_map(crate::queue::RouteQueue::heads);
        let barred = |id: &RequestId| {
            let ask = self.open.get(id).map(|o| &o.ask);
            ask.is_some_and(|a| self.is_barred(a, now))
        };
        let ids: Vec<RequestId> = heads.map(|h| h.id).filter(barred).collect();
        for id in ids {
            let Some(ask) = self.open.get(&id).map(|o| o.ask.clone()) else {
                continue;
            };
            self.unqueue(&ask);
            self.give_up(id, ErrorKind::NoUpstream, out);
        }
    }

    fn is_barred(&self, ask: &RouteRequest, now: Millis) -> bool {
        let Some(identity) = ask.identity else {
            return false;
        };
        let ends = self.crashes.crash_count(&identity.request);
        if ends == 0 && self.copies.of(&identity.request).nth(MAX_CRASHES).is_none() {
            return false;
        }
        let roomy = |b: &Back| b.routes.contains(&ask.route) && b.has_room_for(&ask.org, now);
        let mut with_room = self.backs.iter().filter(|(_, b)| roomy(b)).peekable();
        with_room.peek().is_some() && !with_room.any(|(name, back)| self.may_go(ask, name, back))
    }
}

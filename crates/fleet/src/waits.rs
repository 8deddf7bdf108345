//! How long callers have waited for what no engine holds, as a planner sees it.

use crate::adapters::AdapterCopies;
use crate::draft::Draft;
use crate::{Order, PlanNote, PlanView, Unmet, WaitReason};
use shaleline_types::{Adapter, Millis, Model};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// A caller comes back so much later than it was told to at the most.
const LATE_MS: u64 = 250;

/// A caller's adapter may take the place of another so long before the caller comes back: to drop one
/// and to load one takes two orders, which wait for others.
const LEAD_MS: u64 = 600;

/// Two times to come back of one adapter that are closer than this are taken for one.
const SAME_MS: u64 = 100;

/// An adapter that was loaded for a wait stays for its next caller no longer than this: others wait too.
const MOST_KEPT_MS: u64 = 2_000;

/// Where nobody may plan when a caller comes back, an adapter is loaded for it no earlier than this.
const AHEAD_MS: u64 = 5_000;

/// The longest waits are told of so often, so many at a time.
const TELL_MS: u64 = 2_000;
const MOST_TOLD: usize = 8;

/// What nobody asked for in so long is forgotten.
const FORGET_MS: u64 = 30_000;

/// A model, and an adapter of it where one is asked for.
type Key = (Model, Option<Adapter>);

/// Callers that wait for what no engine holds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wait {
    /// The time since the first of them came in vain, in milliseconds.
    pub(crate) waited: u64,
    /// Whether any was refused; else it is only asked for as its rate tells.
    pub(crate) refused: bool,
    /// Whether one is about to come back.
    pub(crate) due: bool,
    /// Whether one comes back within some seconds, when nobody may plan.
    pub(crate) soon: bool,
}

/// The adapters that callers wait for, as one plan sees them.
#[derive(Debug, Default)]
pub(crate) struct Waiting<'a> {
    /// Those that are nowhere.
    pub(crate) nowhere: BTreeMap<&'a Key, Wait>,
    /// Those for which a caller is about to come back, wherever they are.
    pub(crate) due: BTreeSet<(&'a Model, &'a Adapter)>,
    /// Those that were loaded for a wait and whose next caller may still come.
    pub(crate) kept: BTreeSet<(&'a Model, &'a Adapter)>,
}

#[derive(Debug, Clone)]
struct Known {
    /// When the first caller came in vain, where any did since it was held last.
    first: Option<Millis>,
    asked: Millis,
    held: Millis,
    /// When callers that were refused come back.
    backs: Vec<Millis>,
    /// The mean time between two callers in vain, while it is nowhere.
    pause: u64,
    /// Until when it stays for its next caller, where it was loaded for a wait.
    keep: Millis,
}

/// What a planner remembers of the adapters that callers ask for.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    known: BTreeMap<Key, Known>,
    told: Millis,
}

impl Waits {
    /// Takes in what a plan sees.
    pub(crate) fn observe<'a>(
        &mut self,
        view: &PlanView<'a>,
        copies: &AdapterCopies<'a>,
        now: Millis,
    ) -> Waiting<'a> {
        let unrated = view.unmet.keys().filter(|k| !view.rates.contains_key(k));
        let mut waiting = Waiting::default();
        for key in view.rates.keys().chain(unrated) {
            let Some(adapter) = &key.1 else {
                continue;
            };
            let held = copies.contains_key(&(&key.0, adapter));
            let unmet = view.unmet.get(key);
            let rated = view.rates.contains_key(key);
            let known = self.known.entry(key.clone()).or_insert(Known {
                first: None,
                asked: now,
                held: Millis(0),
                backs: Vec::new(),
                pause: 0,
                keep: Millis(0),
            });
            known.note_backs(unmet.copied(), now);
            if held {
                known.note_held(now);
                if now < known.keep || (view.after_failure && known.is_soon(now)) {
                    waiting.kept.insert((&key.0, adapter));
                }
            }
            if rated || unmet.is_some_and(|u| known.concerns(*u, now)) {
                known.asked = now;
            }
            let due = known.is_due(now);
            if due {
                waiting.due.insert((&key.0, adapter));
            }
            if !held {
                let refused = unmet.is_some_and(|u| known.concerns(*u, now));
                let soon = view.after_failure && known.is_soon(now);
                let told = unmet.copied().filter(|_| refused || due || soon);
                let waited = known.waited(told, rated, now);
                let wait = |waited| Wait {
                    waited,
                    refused,
                    due,
                    soon,
                };
                waiting.nowhere.extend(waited.map(|w| (key, wait(w))));
            }
        }
        let is_asked = |known: &Known| now.since(known.asked) < FORGET_MS;
        self.known.retain(|_, known| is_asked(known));
        waiting
    }

    /// The longest waits that a plan leaves, and why, now and then.
    pub(crate) fn tell(&mut self, draft: &Draft<'_>) -> Vec<PlanNote> {
        let now = draft.snapshot.now;
        if now.since(self.told) < TELL_MS || draft.waiting.nowhere.is_empty() {
            return Vec::new();
        }
        self.told = now;
        let nowhere = draft.waiting.nowhere.iter();
        let mut waits: Vec<(&Key, Wait)> = nowhere.map(|(k, w)| (*k, *w)).collect();
        waits.sort_by_key(|(_, w)| Reverse(w.waited));
        let longest = waits.into_iter().take(MOST_TOLD);
        longest.filter_map(|(k, w)| note_of(draft, k, w)).collect()
    }
}

fn note_of(draft: &Draft<'_>, key: &Key, wait: Wait) -> Option<PlanNote> {
    let snapshot = draft.snapshot;
    let adapter = key.1.as_ref()?;
    let serving = &snapshot.served[snapshot.numbers.get(&key.0)?];
    let about = |o: &Order| o.model == key.0 && o.adapter.as_ref() == Some(adapter);
    let ready = |p: &usize| {
        let site = snapshot.places[*p];
        site.row.takes_orders && site.rest == Millis(0)
    };
    let why = if draft.orders.iter().any(about) {
        WaitReason::Ordered
    } else if serving.is_empty() {
        WaitReason::ModelAway
    } else if serving.iter().any(ready) {
        WaitReason::NoSlot
    } else {
        WaitReason::EnginesBusy
    };
    Some(PlanNote::AdapterAway {
        model: key.0.clone(),
        adapter: adapter.clone(),
        waited: Millis(wait.waited),
        asked: snapshot.view.rates.get(key).map_or(0.0, |r| r.count),
        serving: serving.len(),
        why,
    })
}

impl Known {
    /// Whether somebody asked in vain after it was held last.
    fn concerns(&self, unmet: Unmet, now: Millis) -> bool {
        unmet.attempts > 0 && now.since(self.held) > u64::from(unmet.last_age)
    }

    /// Notes when callers come back. What is told again of one differs by what datagrams take.
    fn note_backs(&mut self, unmet: Option<Unmet>, now: Millis) {
        self.backs.retain(|at| now.since(*at) < LATE_MS);
        let told = unmet.into_iter().flat_map(|u| [u.next_retry, u.last_retry]);
        for at in told.filter(|t| *t > 0).map(|t| now.plus(u64::from(t))) {
            let is_same = |known: &Millis| known.since(at).max(at.since(*known)) < SAME_MS;
            if !self.backs.iter().any(is_same) {
                self.backs.push(at);
            }
        }
    }

    /// Whether a caller that was refused is about to come back.
    fn is_due(&self, now: Millis) -> bool {
        let is_near = |at: Millis| now.since(at) < LATE_MS && at.since(now) < LEAD_MS;
        self.backs.iter().copied().any(is_near)
    }

    /// Whether one comes back within some seconds.
    fn is_soon(&self, now: Millis) -> bool {
        let is_soon = |at: &Millis| *at > now && at.since(now) < AHEAD_MS;
        self.backs.iter().any(is_soon)
    }

    /// Notes that an engine holds it. One that was waited for stays until its next caller can be expected.
    fn note_held(&mut self, now: Millis) {
        self.held = now;
        if self.first.take().is_some() {
            self.keep = now.plus(self.pause.min(MOST_KEPT_MS));
        }
    }

    /// How long callers have waited, in milliseconds; none where nobody did.
    fn waited(&mut self, unmet: Option<Unmet>, rated: bool, now: Millis) -> Option<u64> {
        let told = unmet.map(|u| Millis(now.0.saturating_sub(u64::from(u.waited))));
        let seen = rated.then_some(now);
        let first = [self.first, told, seen].into_iter().flatten().min()?;
        let first = first.max(self.held);
        self.first = Some(first);
        let waited = now.since(first);
        self.pause = unmet.map_or(0, |u| waited / u64::from(u.attempts.max(1)));
        Some(waited)
    }
}

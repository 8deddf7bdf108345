//! Causes of crashes: requests, and parts of prompts, during which upstreams crashed.
//!
//! A request may crash each upstream that runs it, and may be repeated at any daemon; or all
//! requests do whose prompts share a part. The upstream is not at fault then, and the next one that
//! gets such a request crashes as well. Each upstream that crashes while it runs a request is
//! therefore recorded as a crash of that request and of parts of its prompt, in every daemon; a
//! successful answer clears the record.
//!
//! A whole batch of requests may be in flight at an upstream that crashes, and at most one of them
//! caused it. The cause is the one that was present each time: a harmless request that is retried
//! succeeds sooner or later and is cleared, and so are parts that other requests share. A crash
//! that a blocked cause explains does not count for others. `docs/CRASHES.md` compares the
//! alternatives.
//!
//! Daemons need no agreement: the sets in a note only grow, so notes may be lost, duplicated or
//! late, and daemons that received the same notes have the same state.

use crate::part_history::PartHistory;
use serde::{Deserialize, Serialize};
use shaleline_types::{Fingerprint, Identity, IncarnationTag, Millis};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The number of crashes after which requests with the cause are not sent any more. Each crash costs the answers
/// of a batch, loaded weights and seconds of an engine. With a lower limit, more harmless requests
/// are never answered while an upstream keeps crashing; see `docs/CAPACITY.md`, "Values of
/// constants".
pub const MAX_CRASHES: usize = 3;

/// The number of crashes of a part that was ever answered which no other part may explain before it is
/// blocked. One may have another cause. With three, a part that has become the cause after an answer
/// could crash six upstreams, and five are allowed.
const MIN_UNEXPLAINED: usize = 2;

/// The time for which a crash counts; after it the request may be tried at one more upstream. A
/// request that is repeated for ever costs an engine every ten minutes instead of every few
/// seconds, and a repaired engine needs no operator.
const CRASH_LIFETIME_MS: u64 = 600_000;

/// Two crashes reported for the same start of an upstream this far apart are distinct: a restart
/// takes more than a second, and daemons receive the new entry only some seconds later.
const SAME_CRASH_MS: u64 = 1_000;

/// The time for which a cleared request is remembered, so that late notes don't restore what was
/// cleared. It is several times what a daemon needs to catch up after a partition.
const CLEARED_MS: u64 = 60_000;

/// The most requests that are kept, which take about 100 KB.
const MAX_REQUESTS: usize = 1_024;

/// The most requests of one caller that are kept. Beyond it, the caller's own oldest requests are
/// dropped.
const MAX_PER_CALLER: usize = 32;

/// The most parts of one caller's prompts that are kept. It holds the parts of two requests, so
/// that a part that both have in common is counted twice before it could be dropped.
const MAX_PARTS_PER_CALLER: usize = 64;

/// The crashes of one request or part, as daemons exchange them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNote {
    /// The request or part, and the caller.
    pub identity: Identity,
    /// The starts of upstreams that crashed during it.
    pub ended: BTreeSet<IncarnationTag>,
    /// The starts among `ended` that no longer count.
    pub cleared: BTreeSet<IncarnationTag>,
    /// The time since the last change, in milliseconds.
    pub age: u32,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct CrashState {
    caller: u64,
    ended: BTreeSet<IncarnationTag>,
    cleared: BTreeSet<IncarnationTag>,
    /// The time of the last crash or clearing.
    since: Millis,
}

impl CrashState {
    fn active(&self) -> impl Iterator<Item = &IncarnationTag> {
        self.ended.difference(&self.cleared)
    }

    fn crash_count(&self) -> usize {
        self.active().count()
    }
}

/// The crashes of one request or part, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// The fingerprint of the request or part.
    pub request: Fingerprint,
    /// The starts of upstreams that crashed during it and still count.
    pub ended: Vec<IncarnationTag>,
    /// The time since the last crash.
    pub age: Millis,
}

/// The causes of crashes, as known to this daemon.
#[derive(Debug, Default)]
pub struct Crashes {
    known: BTreeMap<Fingerprint, CrashState>,
    /// The causes that are blocked, derived from `known`.
    blocked: BTreeSet<Fingerprint>,
    /// The crashes that the blocked causes explain.
    explained: BTreeSet<IncarnationTag>,
    /// Which parts were seen and answered, by the requests of this daemon and those it selects for.
    history: PartHistory,
}

impl Crashes {
    /// Returns the number of crashes that count for a request or part: those that no other blocked
    /// cause explains. What is not blocked counts fewer than [`MAX_CRASHES`], also if it has more.
    #[must_use]
    pub fn crash_count(&self, cause: &Fingerprint) -> usize {
        let count = self.unexplained_count(cause);
        match self.blocked.contains(cause) {
            true => count,
            false => count.min(MAX_CRASHES - 1),
        }
    }

    fn unexplained_count(&self, cause: &Fingerprint) -> usize {
        let known = self.known.get(cause);
        known.map_or(0, |k| self.counted(cause, k).count())
    }

    fn counted<'a>(
        &'a self,
        cause: &Fingerprint,
        state: &'a CrashState,
    ) -> impl Iterator<Item = &'a IncarnationTag> {
        let blocked = self.blocked.contains(cause);
        let active = state.active();
        active.filter(move |start| blocked || !self.explained.contains(*start))
    }

    /// Derives the blocked causes: those with most crashes first, then the next ones with enough
    /// crashes that the first don't explain. Where a request and a part have equally many, the
    /// request goes first, as fewer requests are refused then; if it is the part, the next crash
    /// shows that. Of parts with equally many, the one that fewest requests had goes first.
    ///
    /// A part that was ever answered is blocked only if no other part explains its crashes. Which
    /// parts were answered is known to the daemons that select for them and that sent the requests, so
    /// that others may block another part of the same prompts until a hub decides.
    fn update_blocked(&mut self) {
        self.blocked.clear();
        self.explained.clear();
        // What unanswered parts explain still counts for answered ones, which weigh it themselves.
        let mut explained_otherwise = BTreeSet::new();
        for tied in self.ranked() {
            let is_cause = |cause: &Fingerprint| match self.history.is_answered(cause) {
                true => self.is_unexplained_part(cause, &explained_otherwise),
                false => self.unexplained_count(cause) >= MAX_CRASHES,
            };
            let causes: Vec<Fingerprint> = tied.into_iter().filter(is_cause).collect();
            for cause in causes {
                let ended = self.known.get(&cause).map(|k| &k.ended);
                let ended: Vec<IncarnationTag> = ended.into_iter().flatten().copied().collect();
                if !cause.is_part() || self.history.is_answered(&cause) {
                    explained_otherwise.extend(ended.iter().copied());
                }
                self.explained.extend(ended);
                self.blocked.insert(cause);
            }
        }
    }

    /// Returns the requests and parts with enough crashes, in the order in which they are considered.
    /// Requests with equally many are considered together, and do not explain each other's crashes.
    fn ranked(&self) -> Vec<Vec<Fingerprint>> {
        let mut requests: BTreeMap<Reverse<usize>, Vec<Fingerprint>> = BTreeMap::new();
        let mut parts = Vec::new();
        for (cause, known) in &self.known {
            let count = known.crash_count();
            if count < MAX_CRASHES {
                continue;
            }
            if cause.is_part() {
                let seen = (
                    self.history.is_answered(cause),
                    self.history.requests(cause),
                );
                parts.push(((Reverse(count), true, seen, *cause), vec![*cause]));
            } else {
                requests.entry(Reverse(count)).or_default().push(*cause);
            }
        }
        let requests = requests.into_iter().filter_map(|(count, causes)| {
            let first = *causes.first()?;
            Some(((count, false, (false, 0), first), causes))
        });
        parts.extend(requests);
        parts.sort_unstable();
        parts.into_iter().map(|(_, causes)| causes).collect()
    }

    /// Returns whether a part that was answered is the cause of its crashes: neither blocked requests
    /// nor blocked answered parts explain them, and no single part that was never answered does.
    fn is_unexplained_part(
        &self,
        part: &Fingerprint,
        explained_otherwise: &BTreeSet<IncarnationTag>,
    ) -> bool {
        let Some(known) = self.known.get(part) else {
            return false;
        };
        let counted = known.active().filter(|s| !explained_otherwise.contains(*s));
        let counted: BTreeSet<IncarnationTag> = counted.copied().collect();
        if counted.len() < MAX_CRASHES {
            return false;
        }
        let others = self
            .known
            .iter()
            .filter(|(cause, _)| cause.is_part() && !self.history.is_answered(cause));
        let explained = others.map(|(_, k)| k.active().filter(|s| counted.contains(*s)).count());
        counted.len() - explained.max().unwrap_or(0) >= MIN_UNEXPLAINED
    }

    /// Records that a request with these parts has arrived.
    pub fn record_arrival(&mut self, parts: &[Fingerprint]) {
        for part in parts {
            self.history.record_arrival(*part);
        }
    }

    /// Records that a request with these parts was answered.
    pub fn record_answer(&mut self, parts: &[Fingerprint]) {
        let mut is_new = false;
        for part in parts {
            is_new |= self.history.record_answer(*part) && self.known.contains_key(part);
        }
        if is_new {
            self.update_blocked();
        }
    }

    /// Returns the blocked requests and parts.
    pub(crate) const fn blocked(&self) -> &BTreeSet<Fingerprint> {
        &self.blocked
    }

    /// Records a crash during a request. Returns the note to send to other daemons if the crash is
    /// new.
    pub fn on_end(
        &mut self,
        identity: Identity,
        start: IncarnationTag,
        now: Millis,
    ) -> Option<CrashNote> {
        let start = self.distinct(&identity.request, start, now);
        let note = CrashNote {
            identity,
            ended: BTreeSet::from([start]),
            cleared: BTreeSet::new(),
            age: 0,
        };
        self.merge(&note, now)
            .then(|| self.note(&identity.request, now))?
    }

    /// Returns a distinct tag where a crash with the same tag was recorded before: the upstream has
    /// restarted, and the daemon that saw the crash had not received its new start.
    fn distinct(
        &self,
        request: &Fingerprint,
        start: IncarnationTag,
        now: Millis,
    ) -> IncarnationTag {
        let Some(known) = self.known.get(request) else {
            return start;
        };
        let mut distinct = start;
        while now.since(known.since) >= SAME_CRASH_MS && known.ended.contains(&distinct) {
            distinct = distinct.next();
        }
        distinct
    }

    /// Clears the crashes of a request that succeeded or that an operator cleared. Returns the note
    /// to send to other daemons if anything changed.
    pub fn clear(&mut self, request: &Fingerprint, now: Millis) -> Option<CrashNote> {
        let known = self.known.get_mut(request)?;
        if known.crash_count() == 0 {
            return None;
        }
        known.cleared.clone_from(&known.ended);
        known.since = now;
        self.update_blocked();
        self.note(request, now)
    }

    /// Returns when a request or part with crashes that are not cleared was last seen at one.
    pub(crate) fn last_crash(&self, cause: &Fingerprint) -> Option<Millis> {
        let known = self.known.get(cause)?;
        (known.crash_count() > 0).then_some(known.since)
    }

    /// Merges another daemon's note. Returns whether it contained anything new.
    pub fn merge(&mut self, note: &CrashNote, now: Millis) -> bool {
        let request = note.identity.request;
        let since = Millis(now.0.saturating_sub(u64::from(note.age)));
        let old = now.since(since) >= CRASH_LIFETIME_MS || note.ended.is_subset(&note.cleared);
        if !self.known.contains_key(&request) {
            if old && note.cleared.is_empty() {
                return false;
            }
            self.make_room(&note.identity, now);
        }
        let known = self.known.entry(request).or_insert_with(|| CrashState {
            caller: note.identity.caller,
            ended: BTreeSet::new(),
            cleared: BTreeSet::new(),
            since,
        });
        let before = known.ended.len() + known.cleared.len();
        known.ended.extend(note.ended.iter().copied());
        known.cleared.extend(note.cleared.iter().copied());
        let changed = known.ended.len() + known.cleared.len() > before;
        if changed {
            known.since = known.since.max(since);
            self.update_blocked();
        }
        changed
    }

    /// Returns the note about a request that is sent to other daemons.
    fn note(&self, request: &Fingerprint, now: Millis) -> Option<CrashNote> {
        let known = self.known.get(request)?;
        Some(CrashNote {
            identity: Identity {
                caller: known.caller,
                request: *request,
            },
            ended: known.ended.clone(),
            cleared: known.cleared.clone(),
            age: u32::try_from(now.since(known.since)).unwrap_or(u32::MAX),
        })
    }

    /// Returns the notes about all known requests.
    #[must_use]
    pub fn all(&self, now: Millis) -> Vec<CrashNote> {
        let known = self.known.keys();
        known.filter_map(|r| self.note(r, now)).collect()
    }

    /// Returns the notes that every daemon needs: those of causes with more than one crash. One
    /// with a single crash is mostly a bystander, and only daemons that select upstreams
    /// need to know it.
    #[must_use]
    pub fn repeated(&self, now: Millis) -> Vec<CrashNote> {
        let repeated = self.known.iter().filter(|(_, k)| k.ended.len() > 1);
        repeated.filter_map(|(r, _)| self.note(r, now)).collect()
    }

    /// Returns a hash that differs where two daemons differ in the notes that every daemon needs.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let repeated = self.known.iter().filter(|(_, k)| k.ended.len() > 1);
        repeated.fold(0, |sum: u64, (request, known)| {
            let words = [
                format!("{request:?}"),
                format!("{:?}", known.ended),
                format!("{:?}", known.cleared),
            ];
            let words = words.each_ref().map(String::as_str);
            sum.wrapping_add(shaleline_types::stable_hash(&words))
        })
    }

    /// Expires crashes that are too old, one per request at a time.
    pub fn tick(&mut self, now: Millis) {
        for known in self.known.values_mut() {
            if now.since(known.since) < CRASH_LIFETIME_MS {
                continue;
            }
            // Every daemon picks the same crash, independent of the time of its call.
            let first = known.active().next().copied();
            if let Some(first) = first {
                known.cleared.insert(first);
                known.since = now;
            }
        }
        let keep = |k: &CrashState| k.crash_count() > 0 || now.since(k.since) < CLEARED_MS;
        self.known.retain(|_, k| keep(k));
        self.update_blocked();
    }

    /// Makes room for one more request of a caller. A caller at its limit loses one of its own
    /// requests; at the overall limit, the caller with the most requests loses one.
    fn make_room(&mut self, identity: &Identity, now: Millis) {
        let caller = identity.caller;
        let limit = match identity.request.is_part() {
            true => MAX_PARTS_PER_CALLER,
            false => MAX_PER_CALLER,
        };
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        self.known
            .values()
            .for_each(|k| *counts.entry(k.caller).or_default() += 1);
        let own = counts.get(&caller).copied().unwrap_or(0);
        let victim = if own >= limit {
            Some(caller)
        } else if self.known.len() >= MAX_REQUESTS {
            counts.iter().max_by_key(|(_, n)| **n).map(|(c, _)| *c)
        } else {
            None
        };
        let Some(victim) = victim else {
            return;
        };
        let of_victim = self.known.iter().filter(|(_, k)| k.caller == victim);
        let evicted = of_victim.min_by_key(|(cause, known)| {
            let count = self.counted(cause, known).count();
            (count, u64::MAX - now.since(known.since))
        });
        if let Some(request) = evicted.map(|(r, _)| *r) {
            self.known.remove(&request);
        }
    }

    /// Returns the requests that are blocked or may soon be, for operators.
    #[must_use]
    pub fn records(&self, now: Millis) -> Vec<CrashRecord> {
        let record = |(request, known): (&Fingerprint, &CrashState)| CrashRecord {
            request: *request,
            ended: self.counted(request, known).copied().collect(),
            age: Millis(now.since(known.since)),
        };
        let records = self.known.iter().map(record);
        records.filter(|r| !r.ended.is_empty()).collect()
    }

    /// Returns the number of requests and parts with crashes, and the number of them that are
    /// blocked.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let known = self.known.keys();
        let active = known.filter(|cause| self.crash_count(cause) > 0).count();
        (active, self.blocked.len())
    }
}

//! The requests under which upstreams ended.
//!
//! A request may end each upstream that runs it, and come again at any daemon. What broke is no
//! fault of the upstream then, and the next one it is sent to ends as well. So each upstream that
//! ends under a request is noted against the request, in every daemon; a good end clears it.
//!
//! Up to a whole batch of requests is under way where an upstream ends, and at most one of them
//! ended it. What tells it apart is that it was there each time: an innocent one that is tried again
//! ends well sooner or later, and is cleared. `docs/CRASHES.md` has the ways weighed.
//!
//! Nothing is agreed between daemons: a note only ever gains members, so notes may be lost, come
//! twice or late, and all who have heard the same know the same.

use serde::{Deserialize, Serialize};
use shaleline_types::{Fingerprint, Identity, Millis, StartTag};
use std::collections::{BTreeMap, BTreeSet};

/// A request under which so many upstreams ended is not sent any more. Each costs the answers of
/// a batch, loaded weights and seconds of an engine. With two, 1,625 of 12,000 innocent requests
/// that were tried five times went without an answer while an upstream of twelve ended every
/// 300 ms; with three 557 did, and 315 without this rule (`crates/gateway/tests/unit/crashes`).
pub const MAX_CRASHES: usize = 3;

/// An end counts for so long; then the request may be tried at one upstream more. Long enough that
/// a request that comes for good costs an engine every ten minutes and not every few seconds, and
/// short enough that a mended engine needs no operator.
const CRASH_LIFETIME_MS: u64 = 600_000;

/// Two ends of one start that are told so far apart are two ends: an upstream that starts again
/// takes more than a second, and its entry is known to daemons only some seconds later.
const SAME_CRASH_MS: u64 = 1_000;

/// A cleared request is remembered for so long, so that notes that come late do not bring back what
/// was cleared: several times what a daemon that was cut off needs to catch up.
const CLEARED_MS: u64 = 60_000;

/// The most requests that are kept: some 100 KB.
const MAX_REQUESTS: usize = 1_024;

/// The most requests of one caller. A caller that has more loses its own oldest ones.
const MAX_PER_CALLER: usize = 32;

/// What is known of one request, as daemons tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNote {
    /// The request.
    pub identity: Identity,
    /// The starts of upstreams that ended under it.
    pub ended: BTreeSet<StartTag>,
    /// Those of them that no longer count.
    pub cleared: BTreeSet<StartTag>,
    /// How long ago the last of this happened, in milliseconds.
    pub age: u32,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Known {
    caller: u64,
    ended: BTreeSet<StartTag>,
    cleared: BTreeSet<StartTag>,
    /// When an end was last noted or cleared.
    since: Millis,
}

impl Known {
    fn active(&self) -> impl Iterator<Item = &StartTag> {
        self.ended.difference(&self.cleared)
    }

    fn crash_count(&self) -> usize {
        self.active().count()
    }
}

/// What an operator sees of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// The request.
    pub request: Fingerprint,
    /// The starts of upstreams that ended under it and count.
    pub ended: Vec<StartTag>,
    /// How long ago the last of them ended.
    pub age: Millis,
}

/// The requests under which upstreams ended, as far as this daemon knows.
#[derive(Debug, Default)]
pub struct Crashes {
    known: BTreeMap<Fingerprint, Known>,
}

impl Crashes {
    /// How many upstreams ended under a request.
    #[must_use]
    pub fn crash_count(&self, request: &Fingerprint) -> usize {
        self.known.get(request).map_or(0, Known::crash_count)
    }

    /// Notes that an upstream ended under a request. Returns what to tell the others, where that is
    /// news.
    pub fn on_end(
        &mut self,
        identity: Identity,
        start: StartTag,
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

    /// The start that ended now, where one of the same tag ended before: it has started again, and
    /// whoever saw it end had not heard of that.
    fn distinct(&self, request: &Fingerprint, start: StartTag, now: Millis) -> StartTag {
        let Some(known) = self.known.get(request) else {
            return start;
        };
        let mut distinct = start;
        while now.since(known.since) >= SAME_CRASH_MS && known.ended.contains(&distinct) {
            distinct = distinct.next();
        }
        distinct
    }

    /// Notes that a request ended well, or that an operator has cleared it: what ended under it was
    /// not its fault. Returns what to tell the others, where that is news.
    pub fn clear(&mut self, request: &Fingerprint, now: Millis) -> Option<CrashNote> {
        let known = self.known.get_mut(request)?;
        if known.crash_count() == 0 {
            return None;
        }
        known.cleared.clone_from(&known.ended);
        known.since = now;
        self.note(request, now)
    }

    /// Takes in what another daemon knows; whether it is news.
    pub fn merge(&mut self, note: &CrashNote, now: Millis) -> bool {
        let request = note.identity.request;
        let since = Millis(now.0.saturating_sub(u64::from(note.age)));
        let old = now.since(since) >= CRASH_LIFETIME_MS || note.ended.is_subset(&note.cleared);
        if !self.known.contains_key(&request) {
            if old && note.cleared.is_empty() {
                return false;
            }
            self.make_room(note.identity.caller, now);
        }
        let known = self.known.entry(request).or_insert_with(|| Known {
            caller: note.identity.caller,
            ended: BTreeSet::new(),
            cleared: BTreeSet::new(),
            since,
        });
        let before = known.ended.len() + known.cleared.len();
        known.ended.extend(note.ended.iter().copied());
        known.cleared.extend(note.cleared.iter().copied());
        let news = known.ended.len() + known.cleared.len() > before;
        if news {
            known.since = known.since.max(since);
        }
        news
    }

    /// What is known of a request, to be told.
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

    /// All that is known.
    #[must_use]
    pub fn all(&self, now: Millis) -> Vec<CrashNote> {
        let known = self.known.keys();
        known.filter_map(|r| self.note(r, now)).collect()
    }

    /// All that concerns every daemon: requests under which more than one upstream ended. What was
    /// there once is mostly a bystander, and only whoever chooses upstreams needs to know it.
    #[must_use]
    pub fn repeated(&self, now: Millis) -> Vec<CrashNote> {
        let repeated = self.known.iter().filter(|(_, k)| k.ended.len() > 1);
        repeated.filter_map(|(r, _)| self.note(r, now)).collect()
    }

    /// A number that differs where two daemons know differently of what concerns every daemon.
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

    /// Drops what is too old, one end of each request at a time.
    pub fn tick(&mut self, now: Millis) {
        for known in self.known.values_mut() {
            if now.since(known.since) < CRASH_LIFETIME_MS {
                continue;
            }
            // The same one in each daemon, whenever it looks.
            let first = known.active().next().copied();
            if let Some(first) = first {
                known.cleared.insert(first);
                known.since = now;
            }
        }
        let keep = |k: &Known| k.crash_count() > 0 || now.since(k.since) < CLEARED_MS;
        self.known.retain(|_, k| keep(k));
    }

    /// Makes room for one more request of a caller: at the cost of its own where it has many, and of
    /// whoever has most where there are too many in all.
    fn make_room(&mut self, caller: u64, now: Millis) {
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        self.known
            .values()
            .for_each(|k| *counts.entry(k.caller).or_default() += 1);
        let own = counts.get(&caller).copied().unwrap_or(0);
        let victim = if own >= MAX_PER_CALLER {
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
        let least = of_victim.min_by_key(|(_, k)| (k.crash_count(), u64::MAX - now.since(k.since)));
        if let Some(request) = least.map(|(r, _)| *r) {
            self.known.remove(&request);
        }
    }

    /// The requests that are not sent any more, or may soon not be, for operators.
    #[must_use]
    pub fn records(&self, now: Millis) -> Vec<CrashRecord> {
        let active = self.known.iter().filter(|(_, k)| k.crash_count() > 0);
        let record = |(request, known): (&Fingerprint, &Known)| CrashRecord {
            request: *request,
            ended: known.active().copied().collect(),
            age: Millis(now.since(known.since)),
        };
        active.map(record).collect()
    }

    /// How many requests are known, and how many of them are not sent any more.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let crash_count = self.known.values().map(Known::crash_count);
        let active: Vec<usize> = crash_count.filter(|e| *e > 0).collect();
        let blocked = active.iter().filter(|e| **e >= MAX_CRASHES).count();
        (active.len(), blocked)
    }
}

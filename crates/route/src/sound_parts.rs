//! Parts of prompts that were answered lately, which are hardly the cause of a crash.
//!
//! An upstream that crashes was about to answer some requests, and the first part of a prompt is
//! mostly shared by thousands. Blaming it would refuse them all once three upstreams crashed within
//! the time of an answer. A part that was answered lately is therefore not blamed for the next
//! crash, but for the one after that, unless an answer came between: it may have become the cause.

use shaleline_types::{Fingerprint, IncarnationTag, Millis};
use std::collections::BTreeMap;

/// Time for which a part counts as answered. Parts that are shared by many requests are answered
/// every few seconds, those of a conversation with each of its turns.
const SOUND_MS: u64 = 60_000;

/// Time after an answer for which a part's crashes don't count here. Where many upstreams crash at
/// once, a part that many requests share is present at several of them before it can be answered
/// again; and the answer that clears it needs an upstream. A part that has become the cause is
/// blocked when this time is over.
const RECENT_MS: u64 = 3_000;

/// The most parts that are kept, which take about 200 KB. Others may be blamed and are cleared by
/// their next answer.
const MAX_PARTS: usize = 4_096;

/// When a part was last answered, and the crash for which it was not blamed since.
#[derive(Debug, Clone, Copy)]
struct Answered {
    at: Millis,
    spared: Option<IncarnationTag>,
}

/// The parts of prompts that were answered lately.
#[derive(Debug, Default)]
pub(crate) struct SoundParts {
    parts: BTreeMap<Fingerprint, Answered>,
    /// The time of the router's latest event.
    now: Millis,
}

impl SoundParts {
    /// Sets the time to which [`Self::is_recent`] refers.
    pub(crate) fn advance(&mut self, now: Millis) {
        self.now = now;
    }

    /// Whether a request with this part was answered just now.
    pub(crate) fn is_recent(&self, part: &Fingerprint) -> bool {
        let answered = self.parts.get(part);
        answered.is_some_and(|a| self.now.since(a.at) < RECENT_MS)
    }

    /// Records that a request with these parts was answered.
    pub(crate) fn record(&mut self, parts: &[Fingerprint], now: Millis) {
        for part in parts {
            if self.parts.len() < MAX_PARTS || self.parts.contains_key(part) {
                let answered = Answered {
                    at: now,
                    spared: None,
                };
                self.parts.insert(*part, answered);
            }
        }
    }

    /// Returns the parts of a request that may be the cause of an upstream's crash.
    pub(crate) fn suspects(
        &mut self,
        parts: &[Fingerprint],
        start: IncarnationTag,
    ) -> Vec<Fingerprint> {
        let mut suspects = Vec::new();
        for part in parts {
            let answered = self.parts.get_mut(part);
            // Several requests with the part may break off at the same crash.
            let spared = answered.is_some_and(|a| *a.spared.get_or_insert(start) == start);
            if !spared {
                suspects.push(*part);
            }
        }
        suspects
    }

    pub(crate) fn prune(&mut self, now: Millis) {
        self.parts.retain(|_, a| now.since(a.at) < SOUND_MS);
    }
}

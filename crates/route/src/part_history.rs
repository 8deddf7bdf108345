//! How often parts of prompts were seen, and which of them were ever answered.
//!
//! Several parts of the same prompts tie when upstreams crash: one is the cause, and the others are
//! bystanders. The first part of a prompt is mostly shared by thousands, and may not have been seen for
//! minutes when traffic pauses. What distinguishes it from the cause is that requests with it were
//! answered at some time, and that more requests have it.

use shaleline_types::Fingerprint;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The most parts that are kept, which take some 200 KB. Beyond it, the half that was seen in fewest
/// requests is dropped: the parts that many requests share are the ones that matter.
const MAX_PARTS: usize = 4_096;

#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    requests: u64,
    answered: bool,
}

/// What is known of parts of prompts from the requests that had them.
#[derive(Debug, Default)]
pub(crate) struct PartHistory {
    parts: BTreeMap<Fingerprint, Seen>,
}

impl PartHistory {
    /// Records that a request with this part has arrived.
    pub(crate) fn record_arrival(&mut self, part: Fingerprint) {
        self.make_room(&part);
        let seen = self.parts.entry(part).or_default();
        seen.requests = seen.requests.saturating_add(1);
    }

    /// Records that a request with this part was answered. Returns whether that is new.
    pub(crate) fn record_answer(&mut self, part: Fingerprint) -> bool {
        self.make_room(&part);
        let seen = self.parts.entry(part).or_default();
        !std::mem::replace(&mut seen.answered, true)
    }

    /// Whether a request with this part was ever answered.
    pub(crate) fn is_answered(&self, part: &Fingerprint) -> bool {
        self.parts.get(part).is_some_and(|s| s.answered)
    }

    /// The number of requests that had this part.
    pub(crate) fn requests(&self, part: &Fingerprint) -> u64 {
        self.parts.get(part).map_or(0, |s| s.requests)
    }

    fn make_room(&mut self, part: &Fingerprint) {
        if self.parts.len() < MAX_PARTS || self.parts.contains_key(part) {
            return;
        }
        let mut ranked: Vec<(Reverse<(bool, u64)>, Fingerprint)> = self
            .parts
            .iter()
            .map(|(part, seen)| (Reverse((seen.answered, seen.requests)), *part))
            .collect();
        ranked.sort_unstable();
        for (_, part) in ranked.split_off(MAX_PARTS / 2) {
            self.parts.remove(&part);
        }
    }
}

//! Spreads the requests that come back to an upstream once it takes them again.
//!
//! An upstream that took nothing from a daemon for a while is still short of room. Requests that
//! waited for the end of that time, and refused callers that were told it, would otherwise all
//! reach it in the same moment.

use shaleline_types::Millis;
use std::collections::BTreeMap;

/// The time between two requests that come back.
pub(crate) const RETURN_INTERVAL_MS: u64 = 20;

/// The time over which refused callers are spread. If more come back, some get the same time.
const SPREAD_MS: u64 = 2_000;

/// When requests come back to an upstream.
#[derive(Debug, Default)]
pub(crate) struct Returns {
    /// The earliest time at which the next queued request may be sent.
    next: Millis,
    /// The times that refused callers were told, and how many.
    promised: BTreeMap<Millis, u32>,
}

impl Returns {
    /// Returns whether a queued request may be sent that had to wait for the upstream.
    pub(crate) fn is_due(&self, now: Millis) -> bool {
        self.next <= now
    }

    pub(crate) fn on_send(&mut self, now: Millis) {
        self.next = now.plus(RETURN_INTERVAL_MS);
    }

    /// Returns when a refused caller should come back, no earlier than the time given.
    pub(crate) fn reserve(&mut self, earliest: Millis, now: Millis) -> Millis {
        self.promised = self.promised.split_off(&now);
        let end = earliest.plus(SPREAD_MS);
        let at = self.first_free(earliest);
        if at < end {
            self.promised.insert(at, 1);
            return at;
        }
        // The last times first, as the upstream has least room at the beginning.
        let told = self.promised.range_mut(earliest..end).rev();
        let least = told.min_by_key(|(_, count)| **count);
        least.map_or(earliest, |(at, count)| {
            *count += 1;
            *at
        })
    }

    fn first_free(&self, earliest: Millis) -> Millis {
        let mut at = earliest;
        let before = Millis(earliest.0.saturating_sub(RETURN_INTERVAL_MS - 1));
        for told in self.promised.range(before..).map(|(told, _)| *told) {
            if told >= at.plus(RETURN_INTERVAL_MS) {
                break;
            }
            at = told.plus(RETURN_INTERVAL_MS);
        }
        at
    }
}

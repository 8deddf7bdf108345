//! Remembers records that can't be parsed, so that each is logged once.

use std::collections::BTreeMap;

/// The number of keys remembered. Beyond it all are forgotten, and each may be logged once more.
const MAX_KEYS: usize = 256;

/// The reasons why records were skipped, by key.
#[derive(Debug, Default)]
pub(crate) struct SkippedRecords {
    reasons: BTreeMap<String, String>,
}

impl SkippedRecords {
    /// Whether this reason has not been logged last for the key.
    pub(crate) fn is_new(&mut self, key: &str, reason: &str) -> bool {
        if self.reasons.get(key).is_some_and(|r| r == reason) {
            return false;
        }
        if self.reasons.len() >= MAX_KEYS {
            self.reasons.clear();
        }
        self.reasons.insert(key.to_owned(), reason.to_owned());
        true
    }
}

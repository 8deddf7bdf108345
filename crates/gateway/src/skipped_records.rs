//! Records that can't be understood: each is logged once.

use std::collections::BTreeMap;

/// So many keys are remembered. With more, all are told once again.
const MAX_KEYS: usize = 256;

/// Why records were passed over, by key.
#[derive(Debug, Default)]
pub(crate) struct SkippedRecords {
    reasons: BTreeMap<String, String>,
}

impl SkippedRecords {
    /// Whether this has not been said of the key yet, or something else since.
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

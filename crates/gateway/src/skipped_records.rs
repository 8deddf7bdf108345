//! Remembers records that can't be used, so that each is logged once.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

/// The number of keys remembered; the oldest is forgotten first. A store with many foreign records
/// is read again as a whole after each gap, so that all of its keys must fit. A key takes about 50
/// bytes.
const MAX_KEYS: usize = 16_384;

/// The reasons why records were skipped, by key, as hashes: keys and reasons may be long.
#[derive(Debug, Default)]
pub(crate) struct SkippedRecords {
    reasons: BTreeMap<u64, u64>,
    /// The keys in the order in which they were first skipped.
    order: VecDeque<u64>,
}

fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

impl SkippedRecords {
    /// Whether this reason has not been logged last for the key.
    pub(crate) fn is_new(&mut self, key: &str, reason: &str) -> bool {
        let (key, reason) = (hash(key), hash(reason));
        match self.reasons.insert(key, reason) {
            Some(known) => known != reason,
            None => {
                self.order.push_back(key);
                if self.order.len() > MAX_KEYS {
                    let oldest = self.order.pop_front();
                    oldest.map(|k| self.reasons.remove(&k));
                }
                true
            }
        }
    }
}

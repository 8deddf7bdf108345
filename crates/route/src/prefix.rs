//! The prefixes that an upstream may have cached, taken from its cache events and from what was
//! sent there. Events arrive late and with gaps, so these are only hints.

use shaleline_types::stable_hash;
use std::collections::{BTreeMap, BTreeSet};

/// The characters of a prompt that one block of the prefix cache covers.
pub const BLOCK_CHARS: usize = 64;

/// The tokens of such a block, at four characters per token.
pub const BLOCK_TOKENS: u32 = 16;

const MAX_BLOCKS: usize = 64;
/// More blocks than an engine's cache holds: about 130,000 tokens in prompt parts of 100 or more.
const MAX_HINTS: usize = 2_048;

/// Returns the hashes of a prompt's prefixes, one for each whole block. The salt separates
/// organisations, so that response times reveal nothing about another organisation's prompts.
#[must_use]
pub fn prefix_chain(salt: &str, prompt: &str) -> Vec<u64> {
    let mut chain = Vec::new();
    let mut last = stable_hash(&[salt]);
    let chars: Vec<char> = prompt.chars().take(BLOCK_CHARS * MAX_BLOCKS).collect();
    for block in chars.chunks_exact(BLOCK_CHARS) {
        let text: String = block.iter().collect();
        last = stable_hash(&[&last.to_string(), &text]);
        chain.push(last);
    }
    chain
}

/// A bounded set of block hashes; the oldest are dropped first.
#[derive(Debug, Default)]
pub(crate) struct PrefixHints {
    by_hash: BTreeMap<u64, u64>,
    by_age: BTreeSet<(u64, u64)>,
    clock: u64,
}

impl PrefixHints {
    pub(crate) fn record(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.clock += 1;
            if let Some(old) = self.by_hash.insert(*block, self.clock) {
                self.by_age.remove(&(old, *block));
            }
            self.by_age.insert((self.clock, *block));
        }
        while self.by_hash.len() > MAX_HINTS {
            if let Some((_, block)) = self.by_age.pop_first() {
                self.by_hash.remove(&block);
            }
        }
    }

    /// Returns how many leading blocks of the chain may be cached.
    pub(crate) fn matched(&self, chain: &[u64]) -> usize {
        chain
            .iter()
            .take_while(|b| self.by_hash.contains_key(b))
            .count()
    }
}

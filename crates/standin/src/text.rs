//! What engines answer: text that follows from model and prompt alone, so that a caller
//! can check that the answer is whole and its own.

use shaleline_place::Item;
use shaleline_types::stable_hash;

/// The token at `index` of the answer to `prompt`.
#[must_use]
pub fn token_text(item: &Item, prompt: &str, index: u32) -> String {
    let adapter = item.adapter.as_ref().map_or("", |a| a.as_str());
    let hash = stable_hash(&[item.model.as_str(), adapter, prompt, &index.to_string()]);
    format!("{:04x} ", hash & 0xffff)
}

/// The whole answer to `prompt`.
#[must_use]
pub fn answer_text(item: &Item, prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|i| token_text(item, prompt, i)).collect()
}

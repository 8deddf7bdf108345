//! The text that engines generate. It depends on the model and the prompt alone, so that a caller
//! can check that a response is complete and belongs to its request.

use shaleline_place::Item;
use shaleline_types::stable_hash;

/// Returns the token at `index` of the response to `prompt`.
#[must_use]
pub fn token_text(item: &Item, prompt: &str, index: u32) -> String {
    let adapter = item.adapter.as_ref().map_or("", |a| a.as_str());
    let hash = stable_hash(&[item.model.as_str(), adapter, prompt, &index.to_string()]);
    format!("{:04x} ", hash & 0xffff)
}

/// Returns the complete response to `prompt`.
#[must_use]
pub fn answer_text(item: &Item, prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|i| token_text(item, prompt, i)).collect()
}

//! Snapshots: chunked, checksummed and deterministic.

use crate::{State, StateMachine, StoredRecord};
use serde::{Deserialize, Serialize};
use shaleline_types::{Offset, Safeguard};
use std::collections::BTreeMap;

/// The maximum size of a chunk's text, well below the size limit of a log record.
pub const CHUNK_BYTES: usize = 48 * 1024;

/// A serialised state and the offset up to which it covers the stream. Two writers that applied
/// the same records produce the same bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    covers: Offset,
    crc: u32,
    text: String,
}

#[derive(Serialize, Deserialize)]
struct Chunk {
    covers: Offset,
    crc: u32,
    part: usize,
    parts: usize,
    text: String,
}

impl Snapshot {
    pub(crate) fn from_state<M: StateMachine>(state: &State<M>) -> Self {
        let text = serde_json::to_string(state).expect("states serialize");
        Self {
            covers: state.next(),
            crc: crc32fast::hash(text.as_bytes()),
            text,
        }
    }

    /// The offset of the first record that the snapshot does not cover.
    #[must_use]
    pub fn covers(&self) -> Offset {
        self.covers
    }

    /// The size of the serialised state in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.text.len()
    }

    /// Decodes the state; `None` if the text is corrupt or has another format.
    #[must_use]
    pub fn to_state<M: StateMachine>(&self) -> Option<State<M>> {
        if crc32fast::hash(self.text.as_bytes()) != self.crc {
            return None;
        }
        let state: State<M> = serde_json::from_str(&self.text).ok()?;
        (state.next() == self.covers).then_some(state)
    }

    /// Encodes the snapshot as records for the snapshot stream.
    #[must_use]
    pub fn to_chunks(&self) -> Vec<String> {
        let pieces = split(&self.text);
        let parts = pieces.len();
        let chunk = |(part, text): (usize, &str)| Chunk {
            covers: self.covers,
            crc: self.crc,
            part,
            parts,
            text: text.to_owned(),
        };
        let chunks = pieces.into_iter().enumerate().map(chunk);
        chunks
            .map(|c| serde_json::to_string(&c).expect("chunks serialize"))
            .collect()
    }
}

/// Splits a text at character boundaries into pieces of at most [`CHUNK_BYTES`].
fn split(text: &str) -> Vec<&str> {
    let mut pieces = Vec::new();
    let mut rest = text;
    while rest.len() > CHUNK_BYTES {
        let mut cut = CHUNK_BYTES;
        while !rest.is_char_boundary(cut) {
            cut -= 1;
        }
        let (head, tail) = rest.split_at(cut);
        pieces.push(head);
        rest = tail;
    }
    pieces.push(rest);
    pieces
}

/// Picks the complete, intact snapshot with the highest offset. This need not be the one written
/// last, because a lagging writer may append its snapshot after a newer one.
#[must_use]
pub fn pick_snapshot(records: &[StoredRecord]) -> Option<Snapshot> {
    let mut chunks_by_snapshot: BTreeMap<(Offset, u32), BTreeMap<usize, Chunk>> = BTreeMap::new();
    let mut last = None;
    for record in records {
        let Ok(chunk) = serde_json::from_str::<Chunk>(&record.text) else {
            continue;
        };
        let key = (chunk.covers, chunk.crc);
        last = Some(key);
        chunks_by_snapshot
            .entry(key)
            .or_default()
            .insert(chunk.part, chunk);
    }
    if !Safeguard::SnapshotChoice.is_active() {
        return chunks_by_snapshot.remove(&last?).and_then(assemble);
    }
    chunks_by_snapshot.into_values().rev().find_map(assemble)
}

fn assemble(chunks: BTreeMap<usize, Chunk>) -> Option<Snapshot> {
    let first = chunks.values().next()?;
    let (covers, crc, parts) = (first.covers, first.crc, first.parts);
    if chunks.len() != parts {
        return None;
    }
    let text: String = chunks.into_values().map(|c| c.text).collect();
    (crc32fast::hash(text.as_bytes()) == crc).then_some(Snapshot { covers, crc, text })
}

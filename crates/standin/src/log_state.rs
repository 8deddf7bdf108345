//! The log without its server.

use shaleline_log::{ReadBatch, StoredRecord};
use shaleline_types::{Millis, Offset, Stream};
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of records that one read returns.
const MAX_READ_RECORDS: usize = 2_000;

/// The reason that an append had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendError {
    /// The limit of appends in the current second is reached.
    RateLimited,
}

#[derive(Debug, Default)]
struct StreamRecords {
    oldest: u64,
    records: VecDeque<String>,
}

impl StreamRecords {
    fn tail(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }
}

/// Streams of records with offsets, a rate limit and retention.
#[derive(Debug)]
pub struct MemoryLog {
    streams: BTreeMap<Stream, StreamRecords>,
    rate: u64,
    second: u64,
    used: u64,
    appends: u64,
}

impl MemoryLog {
    /// Creates an empty log that accepts `rate` appends a second.
    #[must_use]
    pub fn new(rate: u64) -> Self {
        Self {
            streams: BTreeMap::new(),
            rate,
            second: 0,
            used: 0,
            appends: 0,
        }
    }

    /// Appends records at consecutive offsets and returns the offset of the first.
    ///
    /// # Errors
    /// Returns an [`AppendError`] if nothing was appended.
    pub fn append(
        &mut self,
        stream: &Stream,
        records: &[String],
        now: Millis,
    ) -> Result<Offset, AppendError> {
        let second = now.0 / 1_000;
        if second != self.second {
            self.second = second;
            self.used = 0;
        }
        if self.used >= self.rate {
            return Err(AppendError::RateLimited);
        }
        self.used += 1;
        self.appends += 1;
        let kept = self.streams.entry(stream.clone()).or_default();
        let first = Offset(kept.tail());
        kept.records.extend(records.iter().cloned());
        Ok(first)
    }

    /// Reads records, starting at an offset.
    #[must_use]
    pub fn read(&self, stream: &Stream, from: Offset) -> ReadBatch {
        let Some(kept) = self.streams.get(stream) else {
            return ReadBatch::default();
        };
        let first = from.0.max(kept.oldest);
        let skip = (first - kept.oldest) as usize;
        let record = |(i, text): (usize, &String)| StoredRecord {
            offset: Offset(first + i as u64),
            text: text.clone(),
        };
        let rest = kept.records.iter().skip(skip).take(MAX_READ_RECORDS);
        ReadBatch {
            oldest: Offset(kept.oldest),
            tail: Offset(kept.tail()),
            records: rest.enumerate().map(record).collect(),
        }
    }

    /// Drops the records before an offset, as retention does.
    pub fn trim(&mut self, stream: &Stream, before: Offset) {
        if let Some(kept) = self.streams.get_mut(stream) {
            while kept.oldest < before.0 && kept.records.pop_front().is_some() {
                kept.oldest += 1;
            }
        }
    }

    /// Returns the number of accepted appends.
    #[must_use]
    pub fn appends(&self) -> u64 {
        self.appends
    }

    /// Returns the offset of the next record of a stream.
    #[must_use]
    pub fn tail(&self, stream: &Stream) -> Offset {
        Offset(self.streams.get(stream).map_or(0, StreamRecords::tail))
    }
}

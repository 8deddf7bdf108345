//! Splits a stream's bytes at the ends of events. A stream that ends inside an event was broken off,
//! and it can only be resumed after a complete event.

use bytes::{Bytes, BytesMut};
use std::cell::Cell;
use std::rc::Rc;

/// Finds the ends of events. Lines end with LF, CR or CRLF, and an empty line ends an event (HTML
/// standard, section 9.2.6).
#[derive(Debug, Default)]
pub(crate) struct EventScanner {
    /// Whether the current line has bytes.
    in_line: bool,
    /// Whether there were bytes since the end of the last event.
    in_event: bool,
    /// Whether the last byte was a CR, so that an LF belongs to the same line ending.
    after_cr: bool,
}

impl EventScanner {
    /// Scans more bytes. Returns how many of them come before the end of the last complete event.
    pub(crate) fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (index, byte) in bytes.iter().enumerate() {
            let after_cr = std::mem::replace(&mut self.after_cr, *byte == b'\r');
            match byte {
                b'\n' if after_cr => {}
                b'\n' | b'\r' => self.in_event &= std::mem::take(&mut self.in_line),
                _ => {
                    self.in_line = true;
                    self.in_event = true;
                }
            }
            if !self.in_event {
                end = Some(index + 1);
            }
        }
        end
    }

    /// Returns whether an event has begun and not ended.
    pub(crate) fn is_in_event(&self) -> bool {
        self.in_event
    }
}

/// The field that holds an event's id.
const ID: &str = "id:";

/// The largest event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The size of a part of an event that is buffered however much all streams hold, in bytes: events of
/// a few tokens have some hundred.
const SMALL_EVENT_BYTES: usize = 16_384;

/// The part of an instance's memory that the parts of events of all streams may take: buffers grow by
/// doubling, and what else a daemon needs takes more.
const MEMORY_DIVISOR: usize = 16;

/// The memory of an instance that does not say how much it has, in bytes.
const DEFAULT_MEMORY: usize = 128 << 20;

/// Counts the buffered bytes of events that have not ended, over all streams of a daemon.
#[derive(Debug)]
pub(crate) struct PartialEvents {
    held: Cell<usize>,
    limit: usize,
}

impl PartialEvents {
    /// The count of an instance with this much memory in bytes, or 0 if that is not known.
    pub(crate) fn new(memory: usize) -> Self {
        let memory = if memory == 0 { DEFAULT_MEMORY } else { memory };
        Self {
            held: Cell::new(0),
            limit: memory / MEMORY_DIVISOR,
        }
    }

    /// The buffered bytes.
    pub(crate) fn held(&self) -> usize {
        self.held.get()
    }

    fn replace(&self, before: usize, after: usize) {
        self.held.set(self.held.get() - before + after);
    }

    /// Whether a part of an event of this size may stay buffered.
    fn admits(&self, size: usize) -> bool {
        size <= SMALL_EVENT_BYTES || (size <= MAX_EVENT_BYTES && self.held.get() <= self.limit)
    }
}

/// An event that is larger than what may be buffered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EventTooLarge;

/// Buffers bytes and returns them up to the end of the last complete event.
#[derive(Debug)]
pub(crate) struct EventSplitter {
    scanner: EventScanner,
    rest: BytesMut,
    last: Option<String>,
    all: Rc<PartialEvents>,
    /// The bytes that are counted in `all`.
    counted: usize,
}

impl EventSplitter {
    /// A splitter whose buffer is counted together with those of all other streams.
    pub(crate) fn new(all: &Rc<PartialEvents>) -> Self {
        Self {
            scanner: EventScanner::default(),
            rest: BytesMut::new(),
            last: None,
            all: Rc::clone(all),
            counted: 0,
        }
    }

    fn count(&mut self) {
        let before = std::mem::replace(&mut self.counted, self.rest.len());
        self.all.replace(before, self.counted);
    }

    /// Adds bytes and returns those that belong to complete events.
    ///
    /// # Errors
    /// If an event is too large.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLarge> {
        let buffered = self.rest.len();
        self.rest.extend_from_slice(bytes);
        let Some(end) = self.scanner.scan(bytes) else {
            self.count();
            return match self.all.admits(self.counted) {
                true => Ok(None),
                false => Err(EventTooLarge),
            };
        };
        let whole = self.rest.split_to(buffered + end).freeze();
        self.count();
        let text = String::from_utf8_lossy(&whole);
        let mut ids = text.split(['\r', '\n']).filter_map(|l| l.strip_prefix(ID));
        if let Some(id) = ids.next_back() {
            self.last = Some(id.trim().to_owned());
        }
        Ok(Some(whole))
    }

    /// The id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Whether part of an event is buffered.
    pub(crate) fn has_partial(&self) -> bool {
        self.scanner.is_in_event()
    }

    /// Drops the buffered part of an event: the next upstream sends the event again.
    pub(crate) fn drop_partial(&mut self) {
        self.rest = BytesMut::new();
        self.count();
        self.scanner = EventScanner::default();
    }
}

impl Drop for EventSplitter {
    fn drop(&mut self) {
        self.all.replace(self.counted, 0);
    }
}

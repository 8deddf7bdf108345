//! Splits a stream's bytes at the ends of events. A stream that ends inside an event was broken off,
//! and it can only be resumed after a complete event.

use bytes::{Bytes, BytesMut};

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

/// An event that is larger than what is buffered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EventTooLarge;

/// Buffers bytes and returns them up to the end of the last complete event.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    scanner: EventScanner,
    rest: BytesMut,
    last: Option<String>,
}

impl EventSplitter {
    /// Adds bytes and returns those that belong to complete events.
    ///
    /// # Errors
    /// If an event is too large.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLarge> {
        let buffered = self.rest.len();
        self.rest.extend_from_slice(bytes);
        let Some(end) = self.scanner.scan(bytes) else {
            return match self.rest.len() > MAX_EVENT_BYTES {
                true => Err(EventTooLarge),
                false => Ok(None),
            };
        };
        let whole = self.rest.split_to(buffered + end).freeze();
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
        self.rest.clear();
        self.scanner = EventScanner::default();
    }
}

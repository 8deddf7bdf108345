//! Splits a stream's bytes at the ends of events, because a stream can only be resumed after a
//! complete event.

use bytes::{Bytes, BytesMut};

/// The end of an event.
const END: &[u8] = b"\n\n";

/// The field that holds an event's id.
const ID: &str = "id:";

/// Buffers bytes and returns them up to the end of the last complete event.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    rest: BytesMut,
    last: Option<String>,
}

impl EventSplitter {
    /// Adds bytes and returns those that belong to complete events.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.rest.extend_from_slice(bytes);
        let end = self.rest.windows(END.len()).rposition(|w| w == END)? + END.len();
        let whole = self.rest.split_to(end).freeze();
        let text = String::from_utf8_lossy(&whole);
        let mut ids = text.lines().filter_map(|l| l.strip_prefix(ID));
        if let Some(id) = ids.next_back() {
            self.last = Some(id.trim().to_owned());
        }
        Some(whole)
    }

    /// The id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Whether part of an event is buffered.
    pub(crate) fn has_partial(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Drops the buffered part of an event: the next upstream sends the event again.
    pub(crate) fn drop_partial(&mut self) {
        self.rest.clear();
    }
}

//! Resuming a stream needs its events whole: splits bytes at their ends.

use bytes::{Bytes, BytesMut};

/// What ends an event.
const END: &[u8] = b"\n\n";

/// The field that holds an event's identity.
const ID: &str = "id:";

/// Gathers bytes and gives them out up to the end of the last whole event.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    rest: BytesMut,
    last: Option<String>,
}

impl EventSplitter {
    /// Adds bytes and returns those that belong to whole events.
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

    /// The identity of the last whole event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Whether part of an event is left over.
    pub(crate) fn is_torn(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Drops the part of an event that is left over: the next upstream sends it anew.
    pub(crate) fn drop_torn(&mut self) {
        self.rest.clear();
    }
}

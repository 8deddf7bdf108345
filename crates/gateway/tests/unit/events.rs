//! Tests of event streams that are cut at each byte.

use crate::events::EventSplitter;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[test]
fn a_stream_cut_at_any_byte_is_forwarded_in_whole_events() {
    for cut in 0..=STREAM.len() {
        let mut splitter = EventSplitter::default();
        let (before, after) = STREAM.split_at(cut);
        let mut out = splitter
            .push(before.as_bytes())
            .unwrap_or_default()
            .to_vec();
        assert!(out.is_empty() || out.ends_with(b"\n\n"), "cut at {cut}");
        let events = out.windows(2).filter(|w| w == b"\n\n").count();
        let last = splitter.last_id().map(str::to_owned);
        let expected = (events > 0).then(|| events.to_string());
        assert_eq!(last, expected, "cut at {cut}");
        // The next upstream sends the cut event again from its start.
        splitter.drop_partial();
        let resumed = &STREAM[out.len()..];
        out.extend(splitter.push(resumed.as_bytes()).unwrap_or_default());
        assert_eq!(out, STREAM.as_bytes(), "cut at {cut}, before {after:?}");
        assert!(!splitter.has_partial());
    }
}

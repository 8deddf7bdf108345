//! Tests of event streams that are cut at each byte.

use crate::events::{EventSplitter, EventTooLarge, PartialEvents};
use shaleline_testkit::cases;
use std::rc::Rc;

fn splitter() -> EventSplitter {
    EventSplitter::new(&Rc::new(PartialEvents::new(0)))
}

/// Cuts a stream whose lines end with `ending` at each byte. Returns the cuts at which it is not
/// forwarded in whole events, or not whole after it is resumed.
fn wrong_cuts(ending: &'static str) -> Vec<usize> {
    let stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n".replace('\n', ending);
    let is_wrong = |cut: &usize| !is_forwarded_whole(&stream, ending, *cut);
    (0..=stream.len()).filter(is_wrong).collect()
}

fn is_forwarded_whole(stream: &str, ending: &str, cut: usize) -> bool {
    let mut splitter = splitter();
    let before = &stream.as_bytes()[..cut];
    let mut out = splitter
        .push(before)
        .expect("small events")
        .unwrap_or_default()
        .to_vec();
    // The CR of a CRLF ends the event already.
    let ends = |out: &[u8], end: &str| out.is_empty() || out.ends_with(end.as_bytes());
    let (end, short) = (ending.repeat(2), format!("{ending}\r"));
    let whole = ends(&out, &end) || (ending == "\r\n" && ends(&out, &short));
    let text = String::from_utf8_lossy(&out).into_owned();
    let events = text.matches("data:").count();
    let expected = (events > 0).then(|| events.to_string());
    let known = splitter.last_id().map(str::to_owned) == expected;
    let inside = splitter.has_partial() == (cut > out.len());
    // The next upstream sends the cut event again from its start.
    splitter.drop_partial();
    let resumed = &stream.as_bytes()[out.len()..];
    let rest = splitter.push(resumed).expect("small events");
    out.extend(rest.unwrap_or_default());
    whole && known && inside && out == stream.as_bytes() && !splitter.has_partial()
}

cases! {
    wrong_cuts;
    a_stream_with_lf_is_forwarded_in_whole_events: "\n" => Vec::<usize>::new(),
    a_stream_with_cr_is_forwarded_in_whole_events: "\r" => Vec::<usize>::new(),
    a_stream_with_crlf_is_forwarded_in_whole_events: "\r\n" => Vec::<usize>::new(),
}

#[test]
fn a_stream_that_arrives_byte_by_byte_is_forwarded_whole() {
    for stream in ["id: 1\r\n\r\nid: 2\r\n\r\n", "id: 1\r\rid: 2\r\r"] {
        let mut splitter = splitter();
        let mut out = Vec::new();
        for byte in stream.as_bytes() {
            let whole = splitter.push(&[*byte]).expect("small events");
            out.extend(whole.unwrap_or_default());
        }
        assert_eq!(out, stream.as_bytes());
        assert_eq!(splitter.last_id(), Some("2"));
    }
}

#[test]
fn an_event_without_an_end_is_not_buffered_forever() {
    let mut splitter = splitter();
    let part = [b'x'; 1 << 16];
    let refused = (0..32).any(|_| splitter.push(&part) == Err(EventTooLarge));
    assert!(refused);
}

/// Guards against many events without end, each of which is small enough.
#[test]
fn events_without_end_are_not_buffered_beyond_the_share_of_all_streams() {
    const MEMORY: usize = 120 << 20;
    let all = Rc::new(PartialEvents::new(MEMORY));
    let mut splitters: Vec<EventSplitter> = (0..300).map(|_| EventSplitter::new(&all)).collect();
    let part = [b'x'; 4_096];
    for _ in 0..256 {
        // A stream that is refused ends.
        splitters.retain_mut(|s| s.push(&part).is_ok());
        assert!(all.held() < MEMORY / 8, "{}", all.held());
    }
    // Streams with small events go on beside them.
    let mut sound = EventSplitter::new(&all);
    for _ in 0..100 {
        assert_eq!(sound.push(b"id: 1\ndata: a"), Ok(None));
        assert!(matches!(sound.push(b"\n\n"), Ok(Some(_))));
    }
    drop((splitters, sound));
    assert_eq!(all.held(), 0);
}

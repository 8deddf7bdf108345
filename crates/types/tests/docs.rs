//! Checks that docs/ERRORS.md and docs/EVENTS.md match the code.

use shaleline_types::{ErrorKind, LogEvent};
use std::collections::BTreeSet;

fn read_page(name: &str) -> String {
    let path = format!("{}/../../docs/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("the page exists")
}

#[test]
fn errors_page_lists_every_kind_with_its_answer() {
    let page = read_page("ERRORS.md");
    for kind in ErrorKind::ALL {
        let a = kind.answer();
        let row = format!("| `{}` | {} | `{}` |", a.code, a.status, a.outcome.as_str());
        assert!(page.contains(&row), "docs/ERRORS.md lacks: {row}");
    }
    let rows = page.lines().filter(|l| l.starts_with("| `")).count();
    assert_eq!(rows, ErrorKind::ALL.len(), "a row without a kind");
}

#[test]
fn events_page_lists_every_event() {
    let page = read_page("EVENTS.md");
    for event in LogEvent::ALL {
        let row = format!("| {} | {:?} | {} |", event.number(), event, event.text());
        assert!(page.contains(&row), "docs/EVENTS.md lacks: {row}");
    }
    let numbers: BTreeSet<u16> = LogEvent::ALL.iter().map(|e| e.number()).collect();
    assert_eq!(numbers.len(), LogEvent::ALL.len(), "numbers are unique");
}

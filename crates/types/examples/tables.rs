//! Prints the tables of docs/ERRORS.md and docs/EVENTS.md, to be copied there after a change.

use shaleline_types::{ErrorKind, LogEvent};

fn main() {
    println!("| code | status | outcome | category | come back after | meaning |");
    println!("|---|---|---|---|---|---|");
    for kind in ErrorKind::ALL {
        let a = kind.answer();
        let retry_after = a.retry_after.map_or("no".to_owned(), |r| r.to_string());
        println!(
            "| `{}` | {} | `{}` | {:?} | {retry_after} | {} |",
            a.code,
            a.status,
            a.outcome.as_str(),
            kind.category(),
            kind.description()
        );
    }
    println!("\n| number | name | text | level |");
    println!("|---|---|---|---|");
    for event in LogEvent::ALL {
        println!(
            "| {} | {event:?} | {} | {:?} |",
            event.number(),
            event.text(),
            event.level()
        );
    }
}

//! Keeps in the platform's store the requests during which more than one upstream crashed.
//!
//! Daemons keep nothing on their instances, and all of them may be killed at once; a request that
//! was forgotten would then crash three more upstreams each time. The daemon that reads the store
//! for all therefore writes these requests, and each later reader loads them. This takes two calls
//! for each such request, and one for each daemon that begins to read. It is not enough to store
//! the blocked requests alone: when all daemons were killed twice, each time after two upstreams
//! had crashed, one request crashed seven (soak test, seed 9114). A store that has come back from an
//! older copy is read again, and gets what it lacks.

use crate::state::Gateway;
use crate::store::{Record, StoreResult, Topic};
use crate::store_health::StoreHealth;
use shaleline_route::{CrashNote, MAX_CRASHES};
use shaleline_types::{Fingerprint, LogEvent, Millis};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// The interval at which the reader checks for requests to write. It is a fraction of the seconds
/// within which all daemons that know a request may be gone. Most requests that are not the cause
/// have ended normally by then and are not written.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The number of upstreams that must have crashed during a request before it is written.
const STORED_CRASHES: usize = MAX_CRASHES - 1;

/// The requests written, with the number of upstreams that crashed during each.
type Written = BTreeMap<Fingerprint, usize>;

/// Writes such requests for as long as the process runs.
pub(crate) async fn run(gw: Rc<Gateway>) {
    let mut health = StoreHealth::new("blocked");
    let mut written = None;
    let mut era = gw.era.get();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = gw.now();
        let before = std::mem::replace(&mut era, gw.era.get());
        if before != era {
            written = None;
        }
        if !gw.membership.borrow_mut().is_reader(now) {
            written = None;
            continue;
        }
        while let Some(result) = step(&gw, &mut written).await {
            health.record(&gw, &result);
            if result.is_err() {
                health.back_off(&gw, true, || false).await;
                break;
            }
        }
    }
}

/// Makes the next call to the store; none where everything is written.
async fn step(gw: &Gateway, written: &mut Option<Written>) -> Option<StoreResult<()>> {
    let Some(written) = written else {
        let all = read(gw).await;
        return Some(all.map(|all| *written = Some(all)));
    };
    let (request, note) = next_write(gw, written)?;
    let value = note.as_ref().map_or_else(Vec::new, to_value);
    let key = request.to_hex();
    let appended = gw.store.append(Topic::Blocked, &key, &value, None).await;
    Some(appended.map(|_| match note {
        Some(note) => {
            written.insert(request, note.ended.len());
        }
        None => {
            written.remove(&request);
        }
    }))
}

/// Loads what another daemon wrote.
async fn read(gw: &Gateway) -> StoreResult<Written> {
    let batch = gw.store.newest(Topic::Blocked).await?;
    let notes: Vec<CrashNote> = batch.records.iter().filter_map(parse_note).collect();
    let written = notes.iter().map(|n| (n.identity.request, n.ended.len()));
    let written = written.collect();
    gw.on_crash_notes(None, notes);
    Ok(written)
}

fn parse_note(record: &Record) -> Option<CrashNote> {
    let value = record.value.as_deref().filter(|v| !v.is_empty())?;
    let note = serde_json::from_slice(value);
    let note = note.map_err(|e| {
        let detail = format!("blocked={:?} reason=\"{e}\"", record.key);
        crate::journal::emit(LogEvent::EntrySkipped, &detail);
    });
    // A note that can't be parsed is treated as absent.
    note.ok()
}

fn to_value(note: &CrashNote) -> Vec<u8> {
    serde_json::to_vec(note).expect("hashes and numbers serialize")
}

/// The next write: a request that is not stored with its current count, or one that no longer
/// counts, without a note.
fn next_write(gw: &Gateway, written: &Written) -> Option<(Fingerprint, Option<CrashNote>)> {
    let notes = notes_to_store(gw, gw.now());
    let counts: BTreeSet<Fingerprint> = notes.iter().map(|n| n.identity.request).collect();
    let is_new = |n: &CrashNote| {
        let known = written.get(&n.identity.request).copied().unwrap_or(0);
        // A blocked request needs no further write.
        known < n.ended.len().min(MAX_CRASHES)
    };
    let new = notes.into_iter().find(is_new);
    let new = new.map(|n| (n.identity.request, Some(n)));
    new.or_else(|| {
        let expired = written.keys().find(|r| !counts.contains(*r))?;
        Some((*expired, None))
    })
}

/// The requests to store. Their age is set to 0, as no two processes share a clock; it counts from
/// when they are read.
fn notes_to_store(gw: &Gateway, now: Millis) -> Vec<CrashNote> {
    let router = gw.router.borrow();
    let crashes = router.crashes();
    let repeated = crashes.repeated(now).into_iter();
    let notes = repeated.filter(|n| crashes.crash_count(&n.identity.request) >= STORED_CRASHES);
    notes.map(|n| CrashNote { age: 0, ..n }).collect()
}

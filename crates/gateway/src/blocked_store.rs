//! Keeps in the platform's store the requests under which more than one upstream ended.
//!
//! Daemons keep nothing on their instances, and all of them may be killed at once: such a request would
//! end three upstreams more each time. So the daemon that reads the store for all writes them down,
//! and whoever reads after it takes them over. That is two calls for each such request, and one for
//! each daemon that begins to read. With blocked ones alone a request ended seven upstreams while
//! all daemons were killed twice, each time after two (the soak, seed 9114).

use crate::state::Gateway;
use crate::store::{Record, StoreResult, Topic};
use crate::store_health::StoreHealth;
use shaleline_route::{CrashNote, MAX_CRASHES};
use shaleline_types::{Fingerprint, LogEvent, Millis};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// How often the reader looks whether all is written down: a part of the seconds after which all
/// daemons may be gone that know it. Most bystanders have ended well by then and are not written.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A request under which so many upstreams ended is written down.
const STORED_ENDS: usize = MAX_CRASHES - 1;

/// What is written down, with how many upstreams ended.
type Written = BTreeMap<Fingerprint, usize>;

/// Writes down such requests, for as long as the process lives.
pub(crate) async fn run(gw: Rc<Gateway>) {
    let mut health = StoreHealth::new("blocked");
    let mut written = None;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = gw.now();
        if !gw.mesh.borrow_mut().is_reader(now) {
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

/// Makes the next call to the store; none where all is written down.
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

/// Takes over what another daemon wrote down.
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
    // One that can't be read is as if it had not been written.
    note.ok()
}

fn to_value(note: &CrashNote) -> Vec<u8> {
    serde_json::to_vec(note).expect("hashes and numbers serialize")
}

/// What to write next: a request that counts now and was not written so, or one that no longer counts,
/// without a note.
fn next_write(gw: &Gateway, written: &Written) -> Option<(Fingerprint, Option<CrashNote>)> {
    let notes = notes_to_store(gw, gw.now());
    let counts: BTreeSet<Fingerprint> = notes.iter().map(|n| n.identity.request).collect();
    let is_new = |n: &CrashNote| {
        let known = written.get(&n.identity.request).copied().unwrap_or(0);
        // What is blocked need not be written again.
        known < n.ended.len().min(MAX_CRASHES)
    };
    let new = notes.into_iter().find(is_new);
    let new = new.map(|n| (n.identity.request, Some(n)));
    new.or_else(|| {
        let expired = written.keys().find(|r| !counts.contains(*r))?;
        Some((*expired, None))
    })
}

/// The requests that are to be written down. Each is as new as when it is read: no two
/// processes share a clock.
fn notes_to_store(gw: &Gateway, now: Millis) -> Vec<CrashNote> {
    let router = gw.router.borrow();
    let crashes = router.crashes();
    let grave = crashes.repeated(now).into_iter();
    let notes = grave.filter(|n| crashes.crash_count(&n.identity.request) >= STORED_ENDS);
    notes.map(|n| CrashNote { age: 0, ..n }).collect()
}

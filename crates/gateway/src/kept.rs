//! Keeps in the platform's store which requests are not sent any more.
//!
//! Daemons keep nothing on their instances, and all of them may be killed at once: such a request would
//! end three upstreams more each time. So the daemon that reads the store for all writes down which
//! are blocked, and whoever reads after it takes them over. That is one call for each blocked
//! request, and one for each daemon that begins to read.

use crate::link::Link;
use crate::state::Gateway;
use crate::store::{Record, StoreResult, Topic};
use shaleline_route::{CrashNote, MOST_ENDS};
use shaleline_types::{Fingerprint, LogEvent, Millis};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// How often the reader looks whether what is blocked is written down: a part of the seconds after
/// which all daemons may be gone that know it.
const LOOK: Duration = Duration::from_millis(500);

/// Writes down what is blocked, for as long as the process lives.
pub(crate) async fn run(gw: Rc<Gateway>) {
    let mut link = Link::new("blocked");
    let mut written = None;
    loop {
        tokio::time::sleep(LOOK).await;
        let now = gw.now();
        if !gw.mesh.borrow_mut().is_reader(now) {
            written = None;
            continue;
        }
        let result = match &mut written {
            None => read(&gw).await.map(|all| written = Some(all)),
            Some(written) => write(&gw, written).await,
        };
        let failed = result.is_err();
        // Nothing to write is no call.
        if failed {
            link.note(&gw, &result);
            link.pause(&gw, true, || false).await;
        }
    }
}

/// Takes over what another daemon wrote down.
async fn read(gw: &Gateway) -> StoreResult<BTreeSet<Fingerprint>> {
    let batch = gw.store.newest(Topic::Blocked).await?;
    let notes: Vec<CrashNote> = batch.records.iter().filter_map(note_of).collect();
    let requests = notes.iter().map(|n| n.identity.request).collect();
    gw.take_crash_notes(None, notes);
    Ok(requests)
}

fn note_of(record: &Record) -> Option<CrashNote> {
    let value = record.value.as_deref().filter(|v| !v.is_empty())?;
    let note = serde_json::from_slice(value);
    let note = note.map_err(|e| {
        let detail = format!("blocked={:?} reason=\"{e}\"", record.key);
        crate::journal::emit(LogEvent::EntrySkipped, &detail);
    });
    // One that can't be read is as if it had not been written.
    note.ok()
}

/// Writes what is blocked now and was not written, and drops what no longer is.
async fn write(gw: &Gateway, written: &mut BTreeSet<Fingerprint>) -> StoreResult<()> {
    let blocked = blocked(gw, gw.now());
    for note in &blocked {
        let request = note.identity.request;
        if !written.contains(&request) {
            let value = serde_json::to_vec(note).expect("hashes and numbers serialize");
            append(gw, &request, &value).await?;
            written.insert(request);
        }
    }
    let open: BTreeSet<Fingerprint> = blocked.iter().map(|n| n.identity.request).collect();
    let over: Vec<Fingerprint> = written.difference(&open).copied().collect();
    for request in over {
        append(gw, &request, &[]).await?;
        written.remove(&request);
    }
    Ok(())
}

async fn append(gw: &Gateway, request: &Fingerprint, value: &[u8]) -> StoreResult<u64> {
    let key = request.to_hex();
    let appended = gw.store.append(Topic::Blocked, &key, value, None).await;
    gw.metrics.count_store("blocked", appended.is_ok());
    appended
}

/// The requests that are not sent any more. Written down, each is as new as when it is read: no two
/// processes share a clock.
fn blocked(gw: &Gateway, now: Millis) -> Vec<CrashNote> {
    let router = gw.router.borrow();
    let crashes = router.crashes();
    let grave = crashes.grave(now).into_iter();
    let blocked = grave.filter(|n| crashes.ends(&n.identity.request) >= MOST_ENDS);
    blocked.map(|n| CrashNote { age: 0, ..n }).collect()
}

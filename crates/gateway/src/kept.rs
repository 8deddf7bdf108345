//! Keeps in the platform's store the requests under which more than one upstream ended.
//!
//! Daemons keep nothing on their instances, and all of them may be killed at once: such a request would
//! end three upstreams more each time. So the daemon that reads the store for all writes them down,
//! and whoever reads after it takes them over. That is two calls for each such request, and one for
//! each daemon that begins to read. With blocked ones alone a request ended seven upstreams while
//! all daemons were killed twice, each time after two (the soak, seed 9114).

use crate::link::Link;
use crate::state::Gateway;
use crate::store::{Record, StoreResult, Topic};
use shaleline_route::{CrashNote, MOST_ENDS};
use shaleline_types::{Fingerprint, LogEvent, Millis};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// How often the reader looks whether all is written down: a part of the seconds after which all
/// daemons may be gone that know it. Most bystanders have ended well by then and are not written.
const LOOK: Duration = Duration::from_millis(500);

/// A request under which so many upstreams ended is written down.
const KEPT_ENDS: usize = MOST_ENDS - 1;

/// Writes down such requests, for as long as the process lives.
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

/// What is written down, with how many upstreams ended.
type Written = BTreeMap<Fingerprint, usize>;

/// Takes over what another daemon wrote down.
async fn read(gw: &Gateway) -> StoreResult<Written> {
    let batch = gw.store.newest(Topic::Blocked).await?;
    let notes: Vec<CrashNote> = batch.records.iter().filter_map(note_of).collect();
    let written = notes.iter().map(|n| (n.identity.request, n.ended.len()));
    let written = written.collect();
    gw.take_crash_notes(None, notes);
    Ok(written)
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

/// Writes what counts now and was not written so, and drops what no longer counts.
async fn write(gw: &Gateway, written: &mut Written) -> StoreResult<()> {
    let kept = kept(gw, gw.now());
    for note in &kept {
        let request = note.identity.request;
        let ends = note.ended.len();
        // What is blocked need not be written again.
        let known = written.get(&request).copied().unwrap_or(0);
        if known < ends.min(MOST_ENDS) {
            let value = serde_json::to_vec(note).expect("hashes and numbers serialize");
            append(gw, &request, &value).await?;
            written.insert(request, ends);
        }
    }
    let open: BTreeSet<Fingerprint> = kept.iter().map(|n| n.identity.request).collect();
    let over = written.keys().filter(|r| !open.contains(*r)).copied();
    let over: Vec<Fingerprint> = over.collect();
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

/// The requests that are to be written down. Each is as new as when it is read: no two
/// processes share a clock.
fn kept(gw: &Gateway, now: Millis) -> Vec<CrashNote> {
    let router = gw.router.borrow();
    let crashes = router.crashes();
    let grave = crashes.grave(now).into_iter();
    let kept = grave.filter(|n| crashes.ends(&n.identity.request) >= KEPT_ENDS);
    kept.map(|n| CrashNote { age: 0, ..n }).collect()
}

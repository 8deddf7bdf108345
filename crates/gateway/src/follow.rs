//! Keeps up with the store: the configuration and the upstreams' entries.
//!
//! Hubs read the store; the others take copies from their hub, and a hub that the store
//! refuses takes them from another hub ([`crate::handover`]). Whoever has no fresh copy
//! reads the store.

use crate::handover::{self, ConfigCopy, EntriesCopy};
use crate::journal::emit;
use crate::link::Link;
use crate::members::settle;
use crate::roster::{Change, Seen};
use crate::state::Gateway;
use crate::store::{Batch, Record, StoreError, Topic};
use shaleline_types::{LogEvent, Millis, Upstream};
use std::rc::Rc;
use std::time::Duration;

/// The key of the configuration.
const CONFIG_KEY: &str = "config";

/// How often a follower looks whether its hub has fallen silent.
const LOOK: Duration = Duration::from_millis(200);

/// A follower that knows nothing yet gives its hub so long to have read the store.
const FIRST_COPY: Millis = Millis(1_500);

/// The pause between two questions meanwhile.
const FIRST_LOOK: Duration = Duration::from_millis(150);

/// Follows the configuration for as long as the process lives.
pub(crate) async fn config(gw: Rc<Gateway>) {
    let mut link = Link::new("config");
    let mut next = None;
    let mut direct = !settle_first(&gw).await;
    let patient = gw.now().plus(FIRST_COPY.0);
    loop {
        wait_for_change(&gw, next).await;
        if !std::mem::take(&mut direct) && !gw.is_hub() {
            if copy_config(&gw, &mut next).await {
                continue;
            }
            if next.is_none() && gw.now() < patient {
                tokio::time::sleep(FIRST_LOOK).await;
                continue;
            }
        }
        let asked = gw.now();
        let result = match next {
            None => gw.store.newest(Topic::Config).await,
            Some(from) => {
                let wait = gw.settings.config_wait(gw.bounds.borrow().apply);
                gw.store.tail(Topic::Config, from, wait).await
            }
        };
        link.note(&gw, &result);
        match result {
            Ok(batch) => {
                take_config(&gw, &batch);
                // Before the first configuration there is nothing to wait at.
                let empty = next.is_none() && batch.records.is_empty();
                next = Some(batch.next);
                let at = gw.came_at().max(asked);
                gw.reading.borrow_mut().on_config(batch.next, at);
                if empty {
                    link.pause(&gw, true, || false).await;
                }
            }
            Err(StoreError::Gap) => next = None,
            Err(_) => {
                let hub = gw.is_hub();
                if hub {
                    copy_config(&gw, &mut next).await;
                }
                let fresh = || gw.reading.borrow().hub_config(gw.freshness(), gw.now());
                link.pause(&gw, hub, || !hub && fresh().is_some()).await;
            }
        }
    }
}

/// Before the first traffic of all there is time to find out who reads the store for whom;
/// a daemon that starts later has callers waiting and reads at once. Returns whether the
/// daemon has waited.
async fn settle_first(gw: &Rc<Gateway>) -> bool {
    if gw.settings.first_start {
        settle(gw).await;
        return true;
    }
    let gw = Rc::clone(gw);
    actix_rt::spawn(async move { settle(&gw).await });
    false
}

/// Takes a copy of the configuration from another daemon. Returns whether it is at least as
/// new as what is known.
async fn copy_config(gw: &Gateway, next: &mut Option<u64>) -> bool {
    let Some((copy, at)) = handover::config(gw).await else {
        return false;
    };
    let ConfigCopy {
        next: end, record, ..
    } = copy;
    if next.is_some_and(|n| n > end) {
        return false;
    }
    if let Some(record) = record {
        take_config_record(gw, &record);
    }
    *next = Some(end);
    gw.reading.borrow_mut().on_config_copied(end, at);
    true
}

/// Waits while a hub says that the configuration was read up to `next` a moment ago.
async fn wait_for_change(gw: &Gateway, next: Option<u64>) {
    while let Some(next) = next {
        let read = gw.reading.borrow().hub_config(gw.freshness(), gw.now());
        if gw.is_hub() || read.is_none_or(|r| r > next) {
            return;
        }
        tokio::select! {
            () = gw.marked.notified() => {}
            () = tokio::time::sleep(LOOK) => {}
        }
    }
}

fn take_config(gw: &Gateway, batch: &Batch) {
    let newest = batch.records.iter().rev().find(|r| r.key == CONFIG_KEY);
    if let Some(value) = newest.and_then(|r| r.value.as_ref()) {
        take_config_record(gw, value);
    }
}

fn take_config_record(gw: &Gateway, value: &[u8]) {
    match gw.codec.table(value) {
        Ok(table) => {
            if gw.set_table(table) {
                *gw.config_record.borrow_mut() = Some(value.into());
            }
        }
        Err(e) => emit(LogEvent::TableRefused, &format!("reason={:?}", e.0)),
    }
}

/// Follows the upstreams' entries for as long as the process lives.
pub(crate) async fn upstreams(gw: Rc<Gateway>) {
    let mut link = Link::new("upstreams");
    let mut next = None;
    let mut direct = !settle_first(&gw).await;
    let patient = gw.now().plus(FIRST_COPY.0);
    loop {
        let every = gw.settings.policy.read_every.0;
        let hub = gw.is_hub() || std::mem::take(&mut direct);
        if !hub && (gw.follows() || copy_entries(&gw).await) {
            // What is changed meanwhile comes from the hub; the offset is not known.
            next = None;
            tokio::time::sleep(Duration::from_millis(every / 4)).await;
            continue;
        }
        if !hub && !gw.listed.get() && gw.now() < patient {
            tokio::time::sleep(FIRST_LOOK).await;
            continue;
        }
        let position = gw.reading.borrow().position();
        let asked = gw.now();
        let result = match next {
            None => gw.store.newest(Topic::Upstreams).await,
            Some(from) => gw.store.tail(Topic::Upstreams, from, Millis(0)).await,
        };
        link.note(&gw, &result);
        match result {
            Ok(batch) => {
                take_batch(&gw, &batch, next.is_none());
                next = Some(batch.next);
                gw.entries_next.set(batch.next);
                gw.listed.set(true);
                let at = gw.came_at().max(asked);
                gw.reading.borrow_mut().on_entries(position, at);
                let jitter = gw.draw() % (every / 8 + 1);
                tokio::time::sleep(Duration::from_millis(every - jitter)).await;
            }
            Err(StoreError::Gap) => next = None,
            Err(_) => {
                let copied = hub && copy_entries(&gw).await;
                link.pause(&gw, hub, || !hub && gw.follows()).await;
                if copied {
                    next = None;
                    tokio::time::sleep(Duration::from_millis(every / 2)).await;
                }
            }
        }
    }
}

/// Takes a copy of the upstreams' entries from another daemon.
async fn copy_entries(gw: &Gateway) -> bool {
    let Some((copy, at)) = handover::entries(gw).await else {
        return false;
    };
    let EntriesCopy {
        life,
        number,
        next,
        disturbed,
        entries,
        ..
    } = copy;
    let seen = entries.into_iter().map(|(name, offset, entry)| Seen {
        name,
        offset,
        entry: Some(entry),
    });
    let now = gw.now();
    let mut roster = gw.roster.borrow_mut();
    if !disturbed {
        roster.on_served(at);
    }
    let changes = roster.on_all(seen.collect(), next, now);
    drop(roster);
    gw.apply_all(changes);
    gw.entries_next.set(gw.entries_next.get().max(next));
    gw.listed.set(true);
    let mut reading = gw.reading.borrow_mut();
    if gw.is_hub() {
        reading.on_known(at);
    } else {
        reading.on_copied(life, number, at);
    }
    true
}

impl Gateway {
    /// Whether this daemon reads the store for its data centre.
    fn is_hub(&self) -> bool {
        self.mesh.borrow_mut().is_hub(self.now())
    }

    /// Whether the entries are known as of a moment ago through the hub.
    fn follows(&self) -> bool {
        let reading = self.reading.borrow();
        self.listed.get() && reading.follows_entries(self.freshness(), self.now())
    }
}

fn take_batch(gw: &Gateway, batch: &Batch, all: bool) {
    let now = gw.now();
    let seen = batch.records.iter().filter_map(|r| seen_of(gw, r));
    if !all {
        gw.take_entries(seen.collect(), now);
        return;
    }
    let listed = seen.filter(|s| s.entry.is_some()).collect();
    let changes = gw.roster.borrow_mut().on_all(listed, batch.next, now);
    gw.apply_all(changes);
}

impl Gateway {
    /// Takes in records, whichever way they came.
    pub(crate) fn take_entries(&self, records: Vec<Seen>, now: Millis) {
        let mut roster = self.roster.borrow_mut();
        let changes = records
            .into_iter()
            .filter_map(|r| roster.on_seen(r, now))
            .collect();
        drop(roster);
        self.apply_all(changes);
    }

    /// Applies changes, and tells those who follow this daemon's reading.
    pub(crate) fn apply_all(&self, changes: Vec<Change>) {
        let roster = self.roster.borrow();
        let told = changes.iter().map(|c| {
            let name = c.upstream();
            Seen {
                name: name.clone(),
                offset: roster.offset(name),
                entry: roster.get(name).cloned(),
            }
        });
        let told: Vec<Seen> = told.collect();
        drop(roster);
        for change in changes {
            self.apply(change);
        }
        self.tell_changes(&told);
    }
}

/// What a record says of an upstream. One that can't be understood names none to use: nothing
/// tells whether the upstream of its key is still as it was.
fn seen_of(gw: &Gateway, record: &Record) -> Option<Seen> {
    let skip = |reason: &str| {
        if gw.skipped.borrow_mut().is_news(&record.key, reason) {
            let detail = format!("key={:?} reason={reason:?}", record.key);
            emit(LogEvent::EntrySkipped, &detail);
        }
    };
    let name = Upstream::from_text(&record.key);
    let name = name.map_err(|e| skip(&e.to_string())).ok()?;
    let entry = record.value.as_ref().map(|v| gw.codec.entry(v));
    let entry = entry.transpose().unwrap_or_else(|e| {
        skip(&e.0);
        None
    });
    Some(Seen {
        name,
        offset: record.offset,
        entry,
    })
}

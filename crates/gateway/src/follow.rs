//! Keeps up with the store: the configuration, the upstreams' entries, the other daemons.

use crate::journal::emit;
use crate::message::Sender;
use crate::roster::{Change, Seen};
use crate::state::Gateway;
use crate::store::{Batch, Record, StoreError, StoreResult, Topic};
use serde::{Deserialize, Serialize};
use shaleline_types::{DataCentre, Instance, LogEvent, Millis, Upstream};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The pause after a failed call: at least so long, at most twice as long, so that daemons
/// that lost the store together do not come back together.
const PAUSE_MS: u64 = 150;

/// The key of the configuration.
const CONFIG_KEY: &str = "config";

/// How a daemon is listed for the others.
#[derive(Debug, Serialize, Deserialize)]
struct MemberRecord {
    centre: DataCentre,
    strength: u8,
    address: SocketAddr,
    life: u64,
}

/// Notes how a call to the store went, and logs when the store is lost or back.
struct Link {
    topic: &'static str,
    failing: Option<Millis>,
}

impl Link {
    const fn new(topic: &'static str) -> Self {
        Self {
            topic,
            failing: None,
        }
    }

    fn note<T>(&mut self, gw: &Gateway, result: &StoreResult<T>) {
        let now = gw.now();
        gw.metrics.count_store(self.topic, result.is_ok());
        match result {
            Err(StoreError::Gap) => emit(LogEvent::TopicGap, &format!("topic={}", self.topic)),
            Err(e) => {
                gw.roster.borrow_mut().on_disturbed(now);
                if self.failing.is_none() {
                    self.failing = Some(now);
                    let detail = format!("topic={} error={e:?}", self.topic);
                    emit(LogEvent::LogLost, &detail);
                }
            }
            Ok(_) => {
                if let Some(since) = self.failing.take() {
                    gw.roster.borrow_mut().on_disturbed(now);
                    let away = now.since(since);
                    emit(
                        LogEvent::LogBack,
                        &format!("topic={} away_ms={away}", self.topic),
                    );
                }
            }
        }
    }
}

async fn pause(gw: &Gateway) {
    let jitter = gw.draw() % PAUSE_MS;
    tokio::time::sleep(Duration::from_millis(PAUSE_MS + jitter)).await;
}

/// Follows the configuration for as long as the process lives.
pub(crate) async fn config(gw: Rc<Gateway>) {
    let mut link = Link::new("config");
    let mut next = None;
    loop {
        wait_for_change(&gw, next).await;
        let result = match next {
            None => gw.store.newest(Topic::Config).await,
            Some(from) => {
                let wait = gw.settings.policy.config_wait;
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
                gw.reading.borrow_mut().on_config(batch.next, gw.now());
                if empty {
                    pause(&gw).await;
                }
            }
            Err(StoreError::Gap) => next = None,
            Err(_) => pause(&gw).await,
        }
    }
}

/// Waits while a hub says that the configuration was read up to `next` a moment ago.
async fn wait_for_change(gw: &Gateway, next: Option<u64>) {
    /// How often a follower looks whether its hub has fallen silent.
    const LOOK: Duration = Duration::from_millis(200);
    while let Some(next) = next {
        let now = gw.now();
        let hub = gw.mesh.borrow_mut().is_hub(now);
        let read = gw.reading.borrow().hub_config(now);
        if hub || read.is_none_or(|r| r > next) {
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
    let Some(value) = newest.and_then(|r| r.value.as_ref()) else {
        return;
    };
    match gw.codec.table(value) {
        Ok(table) => gw.set_table(table),
        Err(e) => emit(LogEvent::TableRefused, &format!("reason={:?}", e.0)),
    }
}

/// Follows the upstreams' entries for as long as the process lives.
pub(crate) async fn upstreams(gw: Rc<Gateway>) {
    let mut link = Link::new("upstreams");
    let mut next = None;
    loop {
        let every = gw.settings.policy.read_every.0;
        let hub = gw.mesh.borrow_mut().is_hub(gw.now());
        if !hub && gw.listed.get() && gw.reading.borrow().follows_entries(gw.now()) {
            // What was changed meanwhile comes from the hub; the offset is not known.
            next = None;
            tokio::time::sleep(Duration::from_millis(every / 4)).await;
            continue;
        }
        let position = gw.reading.borrow().position();
        let result = match next {
            None => gw.store.newest(Topic::Upstreams).await,
            Some(from) => gw.store.tail(Topic::Upstreams, from, Millis(0)).await,
        };
        link.note(&gw, &result);
        match result {
            Ok(batch) => {
                take_batch(&gw, &batch, next.is_none());
                next = Some(batch.next);
                gw.listed.set(true);
                gw.reading.borrow_mut().on_entries(position, gw.now());
                let jitter = gw.draw() % (every / 8 + 1);
                tokio::time::sleep(Duration::from_millis(every - jitter)).await;
            }
            Err(StoreError::Gap) => next = None,
            Err(_) => pause(&gw).await,
        }
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
            let (Change::Present(name) | Change::Gone(name)) = c;
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

fn seen_of(gw: &Gateway, record: &Record) -> Option<Seen> {
    let name = match Upstream::from_text(&record.key) {
        Ok(name) => name,
        Err(e) => {
            emit(LogEvent::EntrySkipped, &format!("reason=\"{e}\""));
            return None;
        }
    };
    let value = record.value.as_ref();
    let entry = match value.map(|v| gw.codec.entry(v)).transpose() {
        Ok(entry) => entry,
        Err(e) => {
            let detail = format!("upstream={name} reason={:?}", e.0);
            emit(LogEvent::EntrySkipped, &detail);
            return None;
        }
    };
    Some(Seen {
        name,
        offset: record.offset,
        entry,
    })
}

/// Lists this daemon for the others and learns of those listed before.
pub(crate) async fn members(gw: Rc<Gateway>) {
    let mut link = Link::new("members");
    let record = MemberRecord {
        centre: gw.me.centre.clone(),
        strength: gw.me.strength,
        address: gw.settings.listen.peers,
        life: gw.me.life,
    };
    let value = serde_json::to_vec(&record).expect("an address and a number serialize");
    loop {
        let key = gw.me.instance.as_str();
        let listed = gw.store.append(Topic::Members, key, &value, None).await;
        link.note(&gw, &listed);
        if listed.is_ok() {
            break;
        }
        pause(&gw).await;
    }
    loop {
        let all = gw.store.newest(Topic::Members).await;
        link.note(&gw, &all);
        match all {
            Ok(batch) => {
                batch.records.iter().for_each(|r| learn(&gw, r));
                return;
            }
            Err(_) => pause(&gw).await,
        }
    }
}

fn learn(gw: &Gateway, record: &Record) {
    let Ok(instance) = Instance::from_text(&record.key) else {
        return;
    };
    let value = record.value.as_deref().unwrap_or_default();
    match serde_json::from_slice::<MemberRecord>(value) {
        Ok(member) if instance != gw.me.instance => {
            let from = Sender {
                instance,
                centre: member.centre,
                life: member.life,
                address: member.address,
                strength: member.strength,
            };
            let now = gw.now();
            gw.mesh.borrow_mut().learn(&from, now);
        }
        Ok(_) => {}
        Err(e) => emit(
            LogEvent::EntrySkipped,
            &format!("member={instance} reason=\"{e}\""),
        ),
    }
}

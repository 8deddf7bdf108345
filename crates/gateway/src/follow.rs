//! Follows the store: the configuration and the upstreams' entries.
//!
//! One hub reads the store; the others follow it, and daemons follow the hub of their data centre.
//! A daemon without fresh knowledge takes a copy from the daemon that it follows or from another
//! hub ([`crate::handover`]), and otherwise reads the store.

use crate::config_record::ConfigRecord;
use crate::handover::{self, ConfigCopy, EntriesCopy, Fetched};
use crate::journal::emit;
use crate::removals::RemovalTime;
use crate::roster::{Change, EntryRecord};
use crate::state::Gateway;
use crate::store::{Batch, Record, StoreError, StoreResult, Topic};
use crate::store_health::StoreHealth;
use shaleline_types::{LogEvent, Millis, Position, Upstream};
use std::rc::Rc;
use std::time::Duration;

/// The key of the configuration.
const CONFIG_KEY: &str = "config";

/// The interval at which a follower checks whether the daemon that it follows has fallen silent.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The time that the followed daemons get to read the store where all daemons start together.
/// Requests for a copy before that would fail.
const FIRST_START_WAIT: Duration = Duration::from_millis(1_500);

/// The same time where callers are already waiting, as after many daemons were killed at once.
const RESTART_WAIT: Duration = Duration::from_millis(600);

/// Follows the configuration for as long as the process runs.
pub(crate) async fn config(gw: Rc<Gateway>) {
    let mut health = StoreHealth::new("config");
    let mut next = None;
    wait_until_settled(&gw).await;
    if gw.settings.first_start || !copy_config(&gw, &mut next).await {
        wait_for_followed(&gw, || gw.followed_config().is_some()).await;
    }
    loop {
        wait_for_change(&gw, next).await;
        if !gw.is_reader() && copy_config(&gw, &mut next).await {
            continue;
        }
        let requested = gw.now();
        let result = read_config(&gw, next).await;
        health.record(&gw, &result);
        gw.check_era();
        match result {
            Ok(batch) => {
                // There is no position to wait at before the first configuration.
                let empty = next.is_none() && batch.records.is_empty();
                next = Some(batch.next);
                let at = gw.earliest_arrival().max(requested);
                record_read(&gw, batch.next, at, requested);
                apply_config(&gw, &batch);
                if empty {
                    health.back_off(&gw, true, || false).await;
                }
            }
            Err(StoreError::Gap) => next = None,
            Err(_) => {
                gw.reading.borrow_mut().on_config_failed();
                let reader = gw.is_reader();
                if reader {
                    copy_config(&gw, &mut next).await;
                }
                let fresh = || gw.followed_config().is_some();
                health.back_off(&gw, reader, || !reader && fresh()).await;
            }
        }
    }
}

/// Takes over newer configurations that other daemons report, for as long as the process runs.
pub(crate) async fn newer_configs(gw: Rc<Gateway>) {
    loop {
        let peer = gw.era.newer_config().await;
        match handover::config_of(&gw, peer).await {
            Ok(copy) => copy.record.iter().for_each(|r| apply_config_record(&gw, r)),
            Err(reason) => {
                let detail = format!("peer={peer} path=config reason={reason:?}");
                emit(LogEvent::CopyMissed, &detail);
            }
        }
    }
}

/// Records a read of the configuration: as of when it is, and when it was requested.
fn record_read(gw: &Gateway, next: Position, at: Millis, requested: Millis) {
    let mut reading = gw.reading.borrow_mut();
    reading.on_config(next, at);
    reading.on_confirmed(next, requested);
}

/// Reads the configuration from `next` on, or all of it. Only the daemon that reads for the others
/// waits for a change. A read without an answer within its waiting time is repeated without
/// waiting, as the store may have lost the first request.
async fn read_config(gw: &Gateway, next: Option<Position>) -> StoreResult<Batch> {
    let Some(from) = next else {
        return gw.store.newest(Topic::Config).await;
    };
    if gw.is_reader() {
        let wait = gw.settings.read_wait(&gw.bounds.borrow());
        let waited = gw.store.tail(Topic::Config, from, wait).await;
        if waited != Err(StoreError::Lost) {
            return waited;
        }
        gw.metrics.count_store("config", false);
    }
    gw.store.tail(Topic::Config, from, Millis(0)).await
}

/// Waits until a starting daemon has found the others.
async fn wait_until_settled(gw: &Rc<Gateway>) {
    let settled = || gw.hub_ready.get();
    while !settled() {
        tokio::time::sleep(SETTLE_POLL).await;
    }
}

/// Waits until the followed daemon knows the store: it may have started at the same time.
async fn wait_for_followed(gw: &Gateway, known: impl Fn() -> bool) {
    let limit = match gw.settings.first_start {
        true => FIRST_START_WAIT,
        false => RESTART_WAIT,
    };
    let limit = tokio::time::Instant::now() + limit;
    while !gw.is_reader() && !known() && tokio::time::Instant::now() < limit {
        tokio::time::sleep(SETTLE_POLL).await;
    }
}

/// The interval at which a starting daemon checks whether it knows the others.
const SETTLE_POLL: Duration = Duration::from_millis(20);

/// Takes a copy of the configuration from another daemon that is at least as new as what is known.
/// Returns whether there is one.
async fn copy_config(gw: &Gateway, next: &mut Option<Position>) -> bool {
    let Some(Fetched {
        copy,
        at,
        requested,
    }) = handover::config(gw, *next).await
    else {
        return false;
    };
    let ConfigCopy {
        next: end,
        record,
        confirmed,
        ..
    } = copy;
    gw.on_era(end.era());
    *next = Some(end);
    let mut reading = gw.reading.borrow_mut();
    reading.on_config_copied(end, at);
    if let Some(age) = confirmed {
        reading.on_confirmed(end, Millis(requested.0.saturating_sub(age)));
    }
    drop(reading);
    if let Some(record) = record {
        apply_config_record(gw, &record);
    }
    true
}

/// Waits while the followed daemon reports that it recently knew the configuration up to `next` and
/// no further.
async fn wait_for_change(gw: &Gateway, next: Option<Position>) {
    while let Some(next) = next {
        let is_old = next.era() < gw.era.get();
        if is_old || gw.is_reader() || gw.followed_config().is_none_or(|r| r > next) {
            return;
        }
        tokio::select! {
            () = gw.position_changed.notified() => {}
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
    }
}

fn apply_config(gw: &Gateway, batch: &Batch) {
    let newest = batch.records.iter().rev().find(|r| r.key == CONFIG_KEY);
    if let Some(value) = newest.and_then(|r| r.value.as_ref()) {
        apply_config_record(gw, value);
    }
}

fn apply_config_record(gw: &Gateway, value: &[u8]) {
    match gw.codec.table(value) {
        Ok(table) => {
            if gw.set_table(table) {
                *gw.config_record.borrow_mut() = Some(Rc::new(ConfigRecord::new(value)));
                gw.send_read_position();
                // Their positions are the same where the store lost the record.
                let offers = gw.config_offers(gw.now());
                gw.send(offers);
            }
        }
        Err(e) => emit(LogEvent::TableRefused, &format!("reason={:?}", e.0)),
    }
}

/// Follows the upstreams' entries for as long as the process runs.
pub(crate) async fn upstreams(gw: Rc<Gateway>) {
    let mut health = StoreHealth::new("upstreams");
    let mut next = None;
    let mut read = None;
    wait_until_settled(&gw).await;
    if gw.settings.first_start || !copy_entries(&gw).await {
        wait_for_followed(&gw, || gw.reading.borrow().has_position()).await;
    }
    loop {
        let every = gw.settings.policy.read_interval.0;
        let reader = gw.is_reader();
        let follows = gw.follows() && !gw.entries_check.borrow_mut().take_request();
        if !reader && (follows || copy_entries(&gw).await) {
            // Changes arrive as messages meanwhile; their position in the topic is not known.
            next = None;
            tokio::time::sleep(Duration::from_millis(every / 4)).await;
            continue;
        }
        let position = gw.reading.borrow().followed_position();
        let requested = gw.now();
        let result = match next {
            None => gw.store.newest(Topic::Upstreams).await,
            Some(from) => gw.store.tail(Topic::Upstreams, from, Millis(0)).await,
        };
        health.record(&gw, &result);
        gw.check_era();
        match result {
            Ok(batch) => {
                apply_batch(&gw, &batch, read.filter(|_| next.is_some()));
                next = Some(batch.next);
                read = Some(requested);
                gw.entries_end.set(batch.next);
                gw.upstreams_known.set(true);
                let at = gw.earliest_arrival().max(requested);
                gw.reading.borrow_mut().on_entries(position, at);
                let jitter = gw.random() % (every / 8 + 1);
                tokio::time::sleep(Duration::from_millis(every - jitter)).await;
            }
            Err(StoreError::Gap) => next = None,
            Err(_) => {
                gw.reading.borrow_mut().on_entries_failed();
                let copied = reader && copy_entries(&gw).await;
                health
                    .back_off(&gw, reader, || !reader && gw.follows())
                    .await;
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
    let Some(Fetched { copy, at, .. }) = handover::entries(gw).await else {
        return false;
    };
    apply_copy(gw, copy, at);
    true
}

/// Applies a copy of the upstreams' entries as they were known at a time.
pub(crate) fn apply_copy(gw: &Gateway, copy: EntriesCopy, at: Millis) {
    let EntriesCopy {
        incarnation,
        number,
        next,
        disturbed,
        entries,
        ..
    } = copy;
    let records = entries
        .into_iter()
        .map(|(name, position, entry)| EntryRecord {
            name,
            position,
            entry: Some(entry),
        });
    let now = gw.now();
    let mut roster = gw.roster.borrow_mut();
    if !disturbed {
        roster.on_peer_served(at);
    }
    let changes = roster.on_snapshot(records.collect(), next, now);
    drop(roster);
    gw.apply_all(changes);
    gw.entries_end.set(gw.entries_end.get().max(next));
    gw.upstreams_known.set(true);
    gw.reading
        .borrow_mut()
        .on_entries_copied(incarnation, number, at);
}

impl Gateway {
    /// Whether this daemon reads the store for the others.
    pub(crate) fn is_reader(&self) -> bool {
        self.membership.borrow_mut().is_reader(self.now())
    }

    /// Whether the entries are known recently enough through the followed daemon.
    pub(crate) fn follows(&self) -> bool {
        self.followed_entries_at().is_some()
    }

    /// As of when the entries are known through the followed daemon, if that is recent enough.
    pub(crate) fn followed_entries_at(&self) -> Option<Millis> {
        let known = self.upstreams_known.get();
        let (fresh, now) = (self.freshness(), self.now());
        let reading = self.reading.borrow();
        known
            .then(|| reading.followed_entries(fresh, now))
            .flatten()
    }

    /// How far the configuration is known through the followed daemon.
    fn followed_config(&self) -> Option<Position> {
        let reading = self.reading.borrow();
        reading.followed_config(self.freshness(), self.now())
    }
}

/// Applies a read. One that follows another begins where that one, requested at `since`, ended; without
/// it all entries were read.
fn apply_batch(gw: &Gateway, batch: &Batch, since: Option<Millis>) {
    let records = batch.records.iter();
    let records = records.filter_map(|r| parse_record(gw, r, since));
    apply_read(gw, records.collect(), batch.next, since.is_some());
}

/// Applies what this daemon itself has read up to a position: what has changed, or all entries.
pub(crate) fn apply_read(gw: &Gateway, records: Vec<EntryRecord>, end: Position, changed: bool) {
    let now = gw.now();
    let known = gw.entries_end.get();
    let mut roster = gw.roster.borrow_mut();
    let changes = if changed {
        let records = records.into_iter();
        let changes = records.filter_map(|r| roster.on_read_record(r, now));
        changes.collect()
    } else {
        if known != Position::default() && end.era() > known.era() {
            roster.on_loss(end, now);
        }
        let listed = records.into_iter().filter(|r| r.entry.is_some()).collect();
        roster.on_read_snapshot(listed, end, now)
    };
    drop(roster);
    gw.apply_all(changes);
}

impl Gateway {
    /// Applies records that another daemon reported.
    pub(crate) fn apply_entries(&self, records: Vec<EntryRecord>, now: Millis) {
        let mut roster = self.roster.borrow_mut();
        let changes = records
            .into_iter()
            .filter_map(|r| roster.on_record(r, now))
            .collect();
        drop(roster);
        self.apply_all(changes);
    }

    /// Applies changes, and sends them to this daemon's followers.
    pub(crate) fn apply_all(&self, changes: Vec<Change>) {
        let roster = self.roster.borrow();
        let announced = changes.iter().map(|c| {
            let name = c.upstream();
            EntryRecord {
                name: name.clone(),
                position: roster.position(name),
                entry: roster.get(name).cloned(),
            }
        });
        let announced: Vec<EntryRecord> = announced.collect();
        drop(roster);
        for change in changes {
            self.apply(change);
        }
        self.send_changes(&announced);
    }
}

/// Parses an upstream's record. One that can't be parsed names no upstream to use: whether the
/// upstream of its key is unchanged is then unknown.
///
/// The removal that an entry announces is kept apart from it: the time left differs in each entry, and
/// says nothing about where requests may go.
fn parse_record(gw: &Gateway, record: &Record, since: Option<Millis>) -> Option<EntryRecord> {
    let skip = |reason: &str| gw.log_skipped(&record.key, reason);
    let name = Upstream::from_text(&record.key);
    let name = name.map_err(|e| skip(&e.to_string())).ok()?;
    let entry = record.value.as_ref().map(|v| gw.codec.entry(v));
    let mut entry = entry.transpose().unwrap_or_else(|e| {
        skip(&e.0);
        None
    });
    if let Some(entry) = &mut entry {
        if let Some(left) = entry.remaining.take() {
            let time = RemovalTime::reported(left, since, gw.now());
            gw.record_removal(&name, entry.incarnation, time);
        }
    }
    Some(EntryRecord {
        name,
        position: record.position,
        entry,
    })
}

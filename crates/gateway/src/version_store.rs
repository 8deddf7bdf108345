//! Keeps in the platform's store which software versions services have, or recently had.
//!
//! Daemons keep nothing on their instances, and all of them may be killed at once. A daemon that then
//! starts sees only the versions that are left, and how long callers may still return is not known to
//! it. The daemon that reads the store for all therefore writes a record for each service with
//! resumable streams when its versions change, and each hub reads the records when it becomes one.
//! [`docs/design/stream-versions.md`](../../../docs/design/stream-versions.md) has the calls that this
//! takes.

use crate::journal::emit;
use crate::state::Gateway;
use crate::store::{Record, StoreResult, Topic};
use crate::store_health::StoreHealth;
use crate::table::Repeat;
use serde::{Deserialize, Serialize};
use shaleline_types::{LogEvent, Millis, Service, SoftwareVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// The interval at which a hub checks whether it has to read or write records: within it, all daemons
/// that have seen a new version may be gone.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The versions of a service, as the store keeps them while no daemon remembers them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VersionRecord {
    /// Versions that may have begun streams that can still be resumed.
    pub(crate) versions: BTreeSet<SoftwareVersion>,
    /// The time for which such a stream may be resumed.
    pub(crate) lifetime: Millis,
    /// Whether no other version may have begun one.
    pub(crate) complete: bool,
}

impl VersionRecord {
    /// Whether this record has to replace an earlier one. The lifetime matters only as long as streams
    /// of a version that is gone, or of one that is not known, may be resumed.
    pub(crate) fn replaces(&self, earlier: &Self) -> bool {
        let is_settled = self.complete && self.versions.len() == 1;
        let is_longer = self.lifetime > earlier.lifetime && !is_settled;
        is_longer || self.complete != earlier.complete || self.versions != earlier.versions
    }
}

/// The records by service.
pub(crate) type VersionRecords = BTreeMap<Service, VersionRecord>;

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum VersionCall {
    /// Reads all records.
    Read,
    /// Writes the record of a service.
    Write(Service, VersionRecord),
}

/// What this daemon knows of the records in the store.
#[derive(Debug, Default)]
pub(crate) struct StoredVersions {
    /// The records that it has read or written, in this era of the store.
    known: Option<VersionRecords>,
    era: u64,
    /// Whether this daemon reads the store for the others.
    reader: bool,
}

/// Reads and writes the records for as long as the process runs.
pub(crate) async fn run(gw: Rc<Gateway>) {
    let mut health = StoreHealth::new("versions");
    let mut stored = StoredVersions::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if !gw.hub_ready.get() {
            continue;
        }
        while let Some(call) = stored.next_call(&gw) {
            let result = carry_out(&gw, &mut stored, call).await;
            health.record(&gw, &result);
            gw.check_era();
            if result.is_err() {
                health.back_off(&gw, true, || false).await;
                break;
            }
        }
    }
}

async fn carry_out(
    gw: &Gateway,
    stored: &mut StoredVersions,
    call: VersionCall,
) -> StoreResult<()> {
    match call {
        VersionCall::Read => {
            let batch = gw.store.newest(Topic::Versions).await?;
            let records = batch.records.iter().filter_map(parse_record).collect();
            stored.on_read(gw, records);
        }
        VersionCall::Write(service, record) => {
            let value = serde_json::to_vec(&record).expect("names and numbers serialize");
            let key = service.as_str();
            gw.store.append(Topic::Versions, key, &value, None).await?;
            log_record("written", &service, &record);
            stored.on_written(service, record);
        }
    }
    Ok(())
}

/// Parses a record. One that can't be parsed is treated as absent: its service then counts as one whose
/// versions are not known.
fn parse_record(record: &Record) -> Option<(Service, VersionRecord)> {
    let skip = |reason: String| {
        let detail = format!("versions={:?} reason={reason:?}", record.key);
        emit(LogEvent::EntrySkipped, &detail);
    };
    let service = Service::from_text(&record.key);
    let service = service.map_err(|e| skip(e.to_string())).ok()?;
    let value = record.value.as_deref().unwrap_or_default();
    let versions = serde_json::from_slice(value);
    let versions = versions.map_err(|e| skip(e.to_string())).ok()?;
    Some((service, versions))
}

fn log_record(call: &str, service: &Service, record: &VersionRecord) {
    let versions: Vec<String> = record.versions.iter().map(ToString::to_string).collect();
    let detail = format!(
        "call={call} service={service} versions={} lifetime_ms={} complete={}",
        versions.join(","),
        record.lifetime,
        record.complete
    );
    emit(LogEvent::VersionsStored, &detail);
}

impl StoredVersions {
    /// The next call; none where this daemon has nothing to read or write. Daemons that are no hubs
    /// have nothing to do with the records, as they ask the hubs.
    pub(crate) fn next_call(&mut self, gw: &Gateway) -> Option<VersionCall> {
        let now = gw.now();
        let mut membership = gw.membership.borrow_mut();
        let (hub, reader) = (membership.is_hub(now), membership.is_reader(now));
        drop(membership);
        let services = resumable_services(gw);
        let began = reader && !std::mem::replace(&mut self.reader, reader);
        let before = std::mem::replace(&mut self.era, gw.era.get());
        let versions = gw.stream_versions.borrow();
        if began || before != self.era || !hub || !versions.has_records() {
            self.known = None;
        }
        if !hub || services.is_empty() {
            return None;
        }
        let Some(known) = &self.known else {
            return Some(VersionCall::Read);
        };
        if !reader {
            return None;
        }
        services.into_iter().find_map(|service| {
            let record = versions.to_record(&service, now)?;
            let is_new = known.get(&service).is_none_or(|k| record.replaces(k));
            is_new.then_some(VersionCall::Write(service, record))
        })
    }

    /// Takes over what was read.
    pub(crate) fn on_read(&mut self, gw: &Gateway, records: VersionRecords) {
        for (service, record) in &records {
            log_record("read", service, record);
        }
        let mut versions = gw.stream_versions.borrow_mut();
        versions.on_records(&records, gw.now());
        self.known = Some(records);
    }

    /// Records that a record was written.
    pub(crate) fn on_written(&mut self, service: Service, record: VersionRecord) {
        if let Some(known) = &mut self.known {
            known.insert(service, record);
        }
    }
}

/// The services whose streams may be resumed.
fn resumable_services(gw: &Gateway) -> BTreeSet<Service> {
    let table = gw.table();
    let rules = table.iter().flat_map(|t| &t.rules);
    let resumable = rules.filter(|r| r.repeat == Repeat::Stream { resumable: true });
    let services = resumable.flat_map(|r| &r.services);
    services.map(|(service, _)| service.clone()).collect()
}

//! Acquires, renews and releases the planner lease, which is kept in the store.

use crate::gossip::planner_info;
use crate::journal::emit;
use crate::message::PlannerUpdate;
use crate::planner::PlannerState;
use crate::state::Gateway;
use crate::store::{Batch, Record, StoreError, StoreResult, Topic};
use serde::{Deserialize, Serialize};
use shaleline_fleet::{
    last_effective, Handover, LeaseChange, LeaseEntry, PlannerLeaseAction, PlannerLeaseRelease,
    PlannerLeaseView,
};
use shaleline_types::{LogEvent, Millis, Position};

/// The key of the lease.
const KEY: &str = "planner";

/// The number of records before a release that are read to find out whose lease it is: a holder's last
/// renewal and the releases of three other daemons.
const HISTORY_LEN: u64 = 4;

/// The record of the lease in the store.
#[derive(Debug, Serialize, Deserialize)]
struct LeaseRecord {
    holder: String,
    released: bool,
    /// The era of the store in which it was written, as its writer knew it.
    #[serde(default)]
    era: u64,
    /// The holder's last orders, where it releases the lease.
    #[serde(default)]
    last: Option<Handover>,
    /// The fencing token of the lease that it releases. Daemons of earlier releases name none and
    /// append their releases without a condition.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    fence: Option<u64>,
}

impl LeaseRecord {
    /// Decodes a record. One that can't be parsed still means that some daemon holds the lease.
    fn decode(record: &Record) -> Option<Self> {
        let value = record.value.as_deref().filter(|_| record.key == KEY)?;
        let unknown = || Self {
            holder: "unknown".to_owned(),
            released: false,
            era: 0,
            last: None,
            fence: None,
        };
        Some(serde_json::from_slice(value).unwrap_or_else(|_| unknown()))
    }

    fn entry(&self) -> LeaseEntry<'_> {
        LeaseEntry {
            holder: &self.holder,
            change: match (self.released, self.fence) {
                (false, _) => LeaseChange::Held,
                (true, Some(_)) => LeaseChange::Released,
                (true, None) => LeaseChange::ReleasedUnconditionally,
            },
        }
    }
}

/// The next action on the lease, where this daemon is a candidate.
pub(crate) fn next_action(gw: &Gateway) -> Option<PlannerLeaseAction> {
    let now = gw.now();
    // Hubs know the demand, as far as they receive the reports of the others.
    let hub = gw.membership.borrow_mut().is_hub(now) && gw.isolation.borrow().may_acquire(now);
    let candidate = hub || gw.planner_lease.borrow().is_holder();
    if !gw.settings.policy.plans || !candidate || !gw.hub_ready.get() {
        return None;
    }
    gw.planner_lease.borrow_mut().tick(now)
}

/// Performs an action that was decided at `requested`.
pub(crate) async fn perform(gw: &Gateway, action: PlannerLeaseAction, requested: Millis) {
    match action {
        PlannerLeaseAction::Read => {
            read(gw).await;
            // A lease that was released is acquired, and one that must be confirmed is renewed,
            // without another check.
            let now = gw.now();
            let may_append = gw.planner_lease.borrow().may_append(now);
            let next = may_append.then(|| next_action(gw)).flatten();
            if let Some(PlannerLeaseAction::Append { end, .. }) = next {
                append(gw, end, now).await;
            }
        }
        PlannerLeaseAction::Append { end, .. } => append(gw, end, requested).await,
    }
}

async fn read(gw: &Gateway) {
    let lease_read = read_lease(gw).await;
    let mut lease = gw.planner_lease.borrow_mut();
    let now = gw.now();
    match lease_read {
        Ok((view, last)) => {
            lease.on_read(&view, now);
            let inherited = last.map(|last| Inherited {
                last,
                end: view.end,
                read: now,
            });
            *gw.inherited.borrow_mut() = inherited;
        }
        Err(_) => lease.on_failed(),
    }
}

/// Reads who holds the lease, and the last orders of a holder that has released it.
async fn read_lease(gw: &Gateway) -> StoreResult<(PlannerLeaseView, Option<Handover>)> {
    let newest = gw.store.newest(Topic::Planner).await;
    gw.metrics.count_store("planner", newest.is_ok());
    gw.check_era();
    let newest = newest?;
    let mut records: Vec<LeaseRecord> = newest
        .records
        .iter()
        .filter_map(LeaseRecord::decode)
        .collect();
    let unconditional = |r: &LeaseRecord| r.entry().change == LeaseChange::ReleasedUnconditionally;
    if let Some(release) = newest.records.iter().find(|r| r.key == KEY) {
        if records.iter().any(unconditional) {
            records = read_history(gw, release, records).await;
        }
    }
    let first = !gw.era.has_ended();
    let (view, last) = to_view(&newest, &records, first);
    if let Some(release) = records.last().filter(|r| r.released && !view.released) {
        let (writer, holder) = (&release.holder, view.holder.as_deref().unwrap_or("none"));
        let detail = format!("writer={writer} holder={holder} end={}", view.end);
        emit(LogEvent::LeaseReleaseIgnored, &detail);
    }
    Ok((view, last))
}

/// Reads the records before a release. If they are gone, returns what was read already: the release
/// then counts for nothing.
async fn read_history(
    gw: &Gateway,
    release: &Record,
    newest: Vec<LeaseRecord>,
) -> Vec<LeaseRecord> {
    let offset = release.position.offset().saturating_sub(HISTORY_LEN);
    let from = Position::new(release.position.era(), offset);
    let history = gw.store.tail(Topic::Planner, from, Millis(0)).await;
    gw.metrics.count_store("planner", history.is_ok());
    let Ok(history) = history else {
        return newest;
    };
    let until = |r: &&Record| r.position <= release.position;
    let records = history.records.iter().filter(until);
    records.filter_map(LeaseRecord::decode).collect()
}

/// The state left by a planner that released its lease.
#[derive(Debug, Clone)]
pub(crate) struct Inherited {
    pub(crate) last: Handover,
    /// The position at which the topic ended after its record, as a number.
    pub(crate) end: u64,
    /// When it was read.
    pub(crate) read: Millis,
}

/// The lease as a read shows it, given the consecutive records up to the newest one. `first` says
/// that no loss of records is known, so that a topic without any never had one.
fn to_view(
    batch: &Batch,
    records: &[LeaseRecord],
    first: bool,
) -> (PlannerLeaseView, Option<Handover>) {
    let entries: Vec<LeaseEntry<'_>> = records.iter().map(LeaseRecord::entry).collect();
    let effective = last_effective(&entries).map(|i| &records[i]);
    // Without it, the topic has a release that counts for nothing: some daemon holds the lease.
    let newest = effective.or(records.last());
    let is_current = newest.map_or(first, |r| r.era == batch.next.era());
    let released = effective.is_some_and(|r| r.released);
    let last = effective.and_then(|r| r.last.clone());
    let last = last.filter(|_| is_current && released);
    let view = PlannerLeaseView {
        end: batch.next.to_u64(),
        released,
        has_handover: last.is_some(),
        is_current,
        holder: newest.map(|r| r.holder.clone()),
    };
    (view, last)
}

fn record(gw: &Gateway, era: u64) -> LeaseRecord {
    LeaseRecord {
        holder: gw.holder(),
        released: false,
        era,
        last: None,
        fence: None,
    }
}

fn encode(record: &LeaseRecord) -> Vec<u8> {
    serde_json::to_vec(record).expect("names and numbers serialize")
}

async fn append(gw: &Gateway, end: u64, started: Millis) {
    let end = Position::from_u64(end);
    let value = encode(&record(gw, end.era()));
    let result = gw
        .store
        .append(Topic::Planner, KEY, &value, Some(end))
        .await;
    gw.metrics.count_store("planner", result.is_ok());
    gw.check_era();
    let has_moved = matches!(result, Err(StoreError::Moved(_)));
    let mut lease = gw.planner_lease.borrow_mut();
    match result {
        Ok(position) => lease.on_appended(position.to_u64(), started),
        Err(StoreError::Moved(_)) => lease.on_conflict(),
        Err(_) => lease.on_failed(),
    }
    drop(lease);
    if has_moved || gw.stopping.get() {
        gw.plan_now.notify_one();
    }
    let planner = planner_info(gw, gw.now()).filter(|_| result.is_ok());
    if let Some(planner) = planner {
        gw.broadcast(&PlannerUpdate::Renewed(planner));
    }
}

/// The state that a successor needs from this planner. Engines that reject the orders of an earlier
/// planner need no cooldown after those of one that stops, but they do after those of a planner
/// that released the lease to this one shortly before and still runs.
fn handover(gw: &Gateway, state: &PlannerState) -> Handover {
    let window = state.window.borrow();
    let orders = gw.last_orders.borrow();
    let last = orders.to_handover(window.as_ref(), gw.now());
    let fencing = gw.planner_lease.borrow().settings().fencing;
    match gw.stopping.get() && fencing && !state.has_cooldowns(gw.now()) {
        true => last.without_orders(),
        false => last,
    }
}

/// Whether this daemon releases the lease because it receives too few reports.
pub(crate) fn should_release(gw: &Gateway) -> bool {
    let now = gw.now();
    let receives = gw.membership.borrow_mut().receives_enough(now);
    let is_holder = gw.planner_lease.borrow().is_holder();
    let mut isolation = gw.isolation.borrow_mut();
    isolation.observe(receives, is_holder, now);
    is_holder && isolation.should_release(now)
}

/// Releases the lease of a daemon that stops, also if it is just acquiring it.
pub(crate) async fn release_at_stop(gw: &Gateway, state: &PlannerState) {
    while gw.planner_lease.borrow().is_acquiring() {
        gw.plan_now.notified().await;
    }
    release(gw, state, "stopping").await;
}

/// Releases the lease, so that a successor need not wait until it lapses. A lease that has lapsed is
/// only given up here: it may be another daemon's by now.
pub(crate) async fn release(gw: &Gateway, state: &PlannerState, reason: &str) {
    let Some(fence) = gw.planner_lease.borrow().token() else {
        return;
    };
    let release = gw.planner_lease.borrow_mut().release(gw.now());
    let released = match release {
        Some(release) => append_release(gw, state, release).await,
        None => false,
    };
    if released {
        gw.broadcast(&PlannerUpdate::LeaseReleased { fence });
    }
    emit(
        LogEvent::LeaseLost,
        &format!("fence={fence} reason={reason} released={released}"),
    );
}

/// Appends a release behind this daemon's own last record. Returns whether it was appended; if not,
/// the successor waits until the lease lapses.
async fn append_release(gw: &Gateway, state: &PlannerState, release: PlannerLeaseRelease) -> bool {
    // A renewal that is in progress, or whose answer was lost, may have moved the end. No other
    // record of this daemon can follow it, so the end is read again only once.
    const ATTEMPTS: usize = 2;
    let mut end = Position::from_u64(release.end);
    for _ in 0..ATTEMPTS {
        if gw.now() >= release.lapses {
            return false;
        }
        let value = encode(&LeaseRecord {
            released: true,
            last: Some(handover(gw, state)),
            fence: Some(release.fence),
            ..record(gw, end.era())
        });
        let result = gw
            .store
            .append(Topic::Planner, KEY, &value, Some(end))
            .await;
        gw.metrics.count_store("planner", result.is_ok());
        end = match result {
            Ok(_) => return true,
            Err(StoreError::Moved(_)) => match own_end(gw).await {
                Some(end) => end,
                None => return false,
            },
            // The append may still take effect. It is not repeated, as its condition would not hold
            // then.
            Err(_) => return false,
        };
    }
    false
}

/// The end of the topic, if its newest record is an acquisition or a renewal of this daemon.
async fn own_end(gw: &Gateway) -> Option<Position> {
    let (view, _) = read_lease(gw).await.ok()?;
    let is_own = view.holder == Some(gw.holder()) && !view.released && view.is_current;
    is_own.then(|| Position::from_u64(view.end))
}

impl Gateway {
    /// The name under which this daemon holds the lease.
    fn holder(&self) -> String {
        format!("{}/{:016x}", self.me.instance, self.me.incarnation)
    }
}

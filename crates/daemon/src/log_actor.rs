//! Follows one stream of the log: appends submitted records and reads the records of all daemons.

use crate::clock::Clock;
use crate::core::Core;
use crate::emit::emit;
use crate::journal::Journal;
use actix::prelude::*;
use shaleline_log::{pick_snapshot, AppendOutcome, Halt, LogService, StateMachine, StoredRecord};
use shaleline_types::{LogEvent, Millis, Offset};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// How long one read waits for a record. An idle stream costs one read per interval.
const READ_WAIT: Millis = Millis(5_000);
const RETRY_DELAY: Duration = Duration::from_millis(200);
const APPEND_POLL_INTERVAL: Duration = Duration::from_millis(5);
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Selects one journal of the core.
pub(crate) type Selector<M> = Rc<dyn Fn(&Core) -> &Journal<M>>;

/// The actor that appends to and reads one stream.
pub(crate) struct LogActor<M: StateMachine + 'static> {
    core: Arc<Core>,
    log: Rc<dyn LogService>,
    select: Selector<M>,
}

impl<M: StateMachine + Unpin + 'static> LogActor<M> {
    pub(crate) fn new(core: &Arc<Core>, log: &Rc<dyn LogService>, select: Selector<M>) -> Self {
        Self {
            core: Arc::clone(core),
            log: Rc::clone(log),
            select,
        }
    }
}

impl<M: StateMachine + Unpin + 'static> Actor for LogActor<M> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let append = append_loop(
            Arc::clone(&self.core),
            Rc::clone(&self.log),
            Rc::clone(&self.select),
        );
        let read = read_loop(
            Arc::clone(&self.core),
            Rc::clone(&self.log),
            Rc::clone(&self.select),
        );
        ctx.spawn(append.into_actor(self));
        ctx.spawn(read.into_actor(self));
    }
}

async fn append_loop<M: StateMachine>(
    core: Arc<Core>,
    log: Rc<dyn LogService>,
    select: Selector<M>,
) {
    loop {
        let journal = select(&core);
        let notified = journal.notified();
        match journal.next_append(core.now(), Clock::wall()) {
            Some(batch) => {
                core.metrics.appends.add(1, &[]);
                let result = log.append(journal.stream(), &batch).await;
                core.record_log_result(matches!(result, AppendOutcome::At(_)));
                journal.on_append(core.now(), result);
            }
            None => {
                let wait = if journal.pending() > 0 {
                    APPEND_POLL_INTERVAL
                } else {
                    IDLE_INTERVAL
                };
                let _ = tokio::time::timeout(wait, notified).await;
            }
        }
    }
}

async fn read_loop<M: StateMachine>(core: Arc<Core>, log: Rc<dyn LogService>, select: Selector<M>) {
    while !load_snapshot(&core, &log, &select).await {
        actix_rt::time::sleep(RETRY_DELAY).await;
        if select(&core).is_caught_up() {
            break;
        }
    }
    loop {
        let journal = select(&core);
        if !journal.is_needed() {
            let _ = tokio::time::timeout(RETRY_DELAY, journal.notified()).await;
            continue;
        }
        let following = journal.is_caught_up() && !core.is_log_failing();
        let wait = if following { READ_WAIT } else { Millis(0) };
        match log.read(journal.stream(), journal.next(), wait).await {
            Ok(batch) => {
                core.record_log_result(true);
                if let Err(halt) = journal.on_read(&batch) {
                    on_halt(&core, &log, &select, halt).await;
                }
            }
            Err(_) => {
                core.record_log_result(false);
                actix_rt::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Handles a halted replica. A gap is repaired if a snapshot covers it; any other halt persists
/// and is logged repeatedly.
async fn on_halt<M: StateMachine>(
    core: &Arc<Core>,
    log: &Rc<dyn LogService>,
    select: &Selector<M>,
    halt: Halt,
) {
    let journal = select(core);
    let event = match halt {
        Halt::Gap(_) => LogEvent::LogGap,
        Halt::Newer(_) | Halt::Malformed | Halt::Broken => LogEvent::LogHalted,
    };
    emit(event, &format!("stream {}: {halt}", journal.stream()));
    if matches!(halt, Halt::Gap(_)) {
        load_snapshot(core, log, select).await;
    }
    actix_rt::time::sleep(IDLE_INTERVAL).await;
}

/// Restores the snapshot with the highest offset. Returns whether the log could be read.
async fn load_snapshot<M: StateMachine>(
    core: &Arc<Core>,
    log: &Rc<dyn LogService>,
    select: &Selector<M>,
) -> bool {
    let journal = select(core);
    let mut records: Vec<StoredRecord> = Vec::new();
    let mut from = Offset(0);
    loop {
        let Ok(batch) = log.read(journal.snapshot_stream(), from, Millis(0)).await else {
            core.record_log_result(false);
            return false;
        };
        from = batch
            .records
            .last()
            .map_or(batch.tail, |r| r.offset.plus(1));
        records.extend(batch.records);
        if from >= batch.tail {
            break;
        }
    }
    if let Some(snapshot) = pick_snapshot(&records) {
        if journal.restore(&snapshot, false) {
            let detail = format!("stream {} to {}", journal.stream(), snapshot.covers());
            emit(LogEvent::SnapshotLoaded, &detail);
        }
    }
    true
}

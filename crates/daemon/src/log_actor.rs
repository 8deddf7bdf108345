//! Follows one stream of the log: appends what is submitted, reads what others wrote.

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

/// How long one read waits for a record. An idle stream costs one read in this time.
const READ_WAIT: Millis = Millis(5_000);
const RETRY: Duration = Duration::from_millis(200);
const APPEND_POLL: Duration = Duration::from_millis(5);
const IDLE: Duration = Duration::from_secs(1);

/// Picks one journal of the core.
pub(crate) type Pick<M> = Rc<dyn Fn(&Core) -> &Journal<M>>;

/// The actor of one stream.
pub(crate) struct LogActor<M: StateMachine + 'static> {
    core: Arc<Core>,
    log: Rc<dyn LogService>,
    pick: Pick<M>,
}

impl<M: StateMachine + Unpin + 'static> LogActor<M> {
    pub(crate) fn new(core: &Arc<Core>, log: &Rc<dyn LogService>, pick: Pick<M>) -> Self {
        Self {
            core: Arc::clone(core),
            log: Rc::clone(log),
            pick,
        }
    }
}

impl<M: StateMachine + Unpin + 'static> Actor for LogActor<M> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let append = append_loop(
            Arc::clone(&self.core),
            Rc::clone(&self.log),
            Rc::clone(&self.pick),
        );
        let read = read_loop(
            Arc::clone(&self.core),
            Rc::clone(&self.log),
            Rc::clone(&self.pick),
        );
        ctx.spawn(append.into_actor(self));
        ctx.spawn(read.into_actor(self));
    }
}

async fn append_loop<M: StateMachine>(core: Arc<Core>, log: Rc<dyn LogService>, pick: Pick<M>) {
    loop {
        let journal = pick(&core);
        let woken = journal.woken();
        match journal.next_append(core.now(), Clock::wall()) {
            Some(batch) => {
                core.metrics.appends.add(1, &[]);
                let result = log.append(journal.stream(), &batch).await;
                core.note_log(matches!(result, AppendOutcome::At(_)));
                journal.on_append(core.now(), result);
            }
            None => {
                let wait = if journal.pending() > 0 {
                    APPEND_POLL
                } else {
                    IDLE
                };
                let _ = tokio::time::timeout(wait, woken).await;
            }
        }
    }
}

async fn read_loop<M: StateMachine>(core: Arc<Core>, log: Rc<dyn LogService>, pick: Pick<M>) {
    while !load_snapshot(&core, &log, &pick).await {
        actix_rt::time::sleep(RETRY).await;
        if pick(&core).is_caught_up() {
            break;
        }
    }
    loop {
        let journal = pick(&core);
        if !journal.is_wanted() {
            let _ = tokio::time::timeout(RETRY, journal.woken()).await;
            continue;
        }
        let calm = journal.is_caught_up() && !core.is_log_failing();
        let wait = if calm { READ_WAIT } else { Millis(0) };
        match log.read(journal.stream(), journal.next(), wait).await {
            Ok(batch) => {
                core.note_log(true);
                if let Err(halt) = journal.on_read(&batch) {
                    on_halt(&core, &log, &pick, halt).await;
                }
            }
            Err(_) => {
                core.note_log(false);
                actix_rt::time::sleep(RETRY).await;
            }
        }
    }
}

/// A gap ends if a snapshot reaches beyond it; anything else stays halted, loudly.
async fn on_halt<M: StateMachine>(
    core: &Arc<Core>,
    log: &Rc<dyn LogService>,
    pick: &Pick<M>,
    halt: Halt,
) {
    let journal = pick(core);
    let event = match halt {
        Halt::Gap(_) => LogEvent::LogGap,
        Halt::Newer(_) | Halt::Malformed | Halt::Broken => LogEvent::LogHalted,
    };
    emit(event, &format!("stream {}: {halt}", journal.stream()));
    if matches!(halt, Halt::Gap(_)) {
        load_snapshot(core, log, pick).await;
    }
    actix_rt::time::sleep(IDLE).await;
}

/// Restores the snapshot that reaches furthest. Returns whether the log answered.
async fn load_snapshot<M: StateMachine>(
    core: &Arc<Core>,
    log: &Rc<dyn LogService>,
    pick: &Pick<M>,
) -> bool {
    let journal = pick(core);
    let mut records: Vec<StoredRecord> = Vec::new();
    let mut from = Offset(0);
    loop {
        let Ok(batch) = log.read(journal.snapshot_stream(), from, Millis(0)).await else {
            core.note_log(false);
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

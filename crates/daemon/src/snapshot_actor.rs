//! Writes snapshots before the log's retention expires. The owner of a stream writes them.

use crate::core::Core;
use crate::emit::emit;
use crate::journal::Journal;
use actix::prelude::*;
use shaleline_log::{AppendOutcome, LogService, StateMachine};
use shaleline_types::{LogEvent, Millis};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The number of chunks in one append.
const CHUNKS_PER_APPEND: usize = 8;

/// The actor that writes the snapshots of all streams.
pub(crate) struct SnapshotActor {
    pub(crate) core: Arc<Core>,
    pub(crate) log: Rc<dyn LogService>,
}

impl Actor for SnapshotActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let all = write_snapshots(Arc::clone(&self.core), Rc::clone(&self.log));
        ctx.spawn(all.into_actor(self));
    }
}

/// The time at which this daemon last wrote each stream's snapshot.
struct WriteTimes {
    config: Millis,
    cell: Millis,
    once: Vec<Millis>,
}

async fn write_snapshots(core: Arc<Core>, log: Rc<dyn LogService>) {
    let now = core.now();
    let mut written = WriteTimes {
        config: now,
        cell: now,
        once: vec![now; core.once.len()],
    };
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        write_if_due(&core, &log, &core.config, &mut written.config).await;
        write_if_due(&core, &log, &core.cell, &mut written.cell).await;
        for (journal, time) in core.once.iter().zip(&mut written.once) {
            write_if_due(&core, &log, journal, time).await;
        }
    }
}

async fn write_if_due<M: StateMachine>(
    core: &Arc<Core>,
    log: &Rc<dyn LogService>,
    journal: &Journal<M>,
    written: &mut Millis,
) {
    let new = journal.next().since(journal.snapshot_offset());
    let old = core.now().since(*written) >= core.settings.snapshot_age.0;
    let due = new >= core.settings.snapshot_records || (old && journal.next().0 > 0);
    let usable = journal.is_caught_up() && journal.halt().is_none();
    if !due || !usable || !core.is_owner_of(journal.stream().as_str()) {
        return;
    }
    let snapshot = journal.to_snapshot();
    let chunks = snapshot.to_chunks();
    for part in chunks.chunks(CHUNKS_PER_APPEND) {
        core.metrics.appends.add(1, &[]);
        let result = log.append(journal.snapshot_stream(), part).await;
        if !matches!(result, AppendOutcome::At(_)) {
            return;
        }
    }
    journal.record_snapshot(snapshot.covers());
    *written = core.now();
    let detail = format!(
        "stream {} to {}, {} bytes",
        journal.stream(),
        snapshot.covers(),
        snapshot.bytes()
    );
    emit(LogEvent::SnapshotWritten, &detail);
}

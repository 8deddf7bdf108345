//! Writes snapshots ahead of the log's retention, by whichever daemon a stream belongs to.

use crate::core::Core;
use crate::emit::emit;
use crate::journal::Journal;
use actix::prelude::*;
use shaleline_log::{AppendOutcome, LogService, StateMachine};
use shaleline_types::{LogEvent, Millis};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

const CHECK: Duration = Duration::from_secs(2);

/// Chunks that go into one append.
const CHUNKS_AT_ONCE: usize = 8;

/// Looks after the snapshots of all streams.
pub(crate) struct SnapshotActor {
    pub(crate) core: Arc<Core>,
    pub(crate) log: Rc<dyn LogService>,
}

impl Actor for SnapshotActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let all = look_after(Arc::clone(&self.core), Rc::clone(&self.log));
        ctx.spawn(all.into_actor(self));
    }
}

/// When each stream's last snapshot was written here.
struct Ages {
    config: Millis,
    cell: Millis,
    once: Vec<Millis>,
}

async fn look_after(core: Arc<Core>, log: Rc<dyn LogService>) {
    let now = core.now();
    let mut ages = Ages {
        config: now,
        cell: now,
        once: vec![now; core.once.len()],
    };
    loop {
        actix_rt::time::sleep(CHECK).await;
        write_if_due(&core, &log, &core.config, &mut ages.config).await;
        write_if_due(&core, &log, &core.cell, &mut ages.cell).await;
        for (journal, age) in core.once.iter().zip(&mut ages.once) {
            write_if_due(&core, &log, journal, age).await;
        }
    }
}

async fn write_if_due<M: StateMachine>(
    core: &Arc<Core>,
    log: &Rc<dyn LogService>,
    journal: &Journal<M>,
    written: &mut Millis,
) {
    let new = journal.next().since(journal.snapped());
    let old = core.now().since(*written) >= core.settings.snap_age.0;
    let due = new >= core.settings.snap_records || (old && journal.next().0 > 0);
    let sound = journal.is_caught_up() && journal.halt().is_none();
    if !due || !sound || !core.is_owner_of(journal.stream().as_str()) {
        return;
    }
    let snapshot = journal.to_snapshot();
    let chunks = snapshot.to_chunks();
    for part in chunks.chunks(CHUNKS_AT_ONCE) {
        core.metrics.appends.add(1, &[]);
        let result = log.append(journal.snapshot_stream(), part).await;
        if !matches!(result, AppendOutcome::At(_)) {
            return;
        }
    }
    journal.note_snapshot(snapshot.covers());
    *written = core.now();
    let detail = format!(
        "stream {} to {}, {} bytes",
        journal.stream(),
        snapshot.covers(),
        snapshot.bytes()
    );
    emit(LogEvent::SnapshotWritten, &detail);
}

//! How calls to the store go: counted, logged when the store is lost or back, and paused
//! after failures.

use crate::journal::emit;
use crate::state::Gateway;
use crate::store::{StoreError, StoreResult};
use shaleline_types::{LogEvent, Millis};
use std::time::Duration;

/// The pause after a failed call: at least so long, at most twice as long, so that daemons
/// that lost the store together do not come back together. It doubles with each further
/// failure.
const PAUSE_MS: u64 = 150;

/// So many doublings at the most: 1.2 to 2.4 s, within the time that the platform gives
/// its store to be well again.
const DOUBLINGS: u32 = 3;

/// How often a daemon in a pause looks whether it may end it.
const LOOK: Duration = Duration::from_millis(100);

/// Notes how a call to the store went, and logs when the store is lost or back.
pub(crate) struct StoreHealth {
    topic: &'static str,
    failing: Option<Millis>,
    /// Failed calls in a row.
    failures: u32,
}

impl StoreHealth {
    pub(crate) const fn new(topic: &'static str) -> Self {
        Self {
            topic,
            failing: None,
            failures: 0,
        }
    }

    pub(crate) fn note<T>(&mut self, gw: &Gateway, result: &StoreResult<T>) {
        let now = gw.now();
        gw.metrics.count_store(self.topic, result.is_ok());
        match result {
            Err(StoreError::Gap) => emit(LogEvent::TopicGap, &format!("topic={}", self.topic)),
            Err(e) => {
                gw.roster.borrow_mut().on_store_unstable(now);
                self.failures = self.failures.saturating_add(1);
                if self.failing.is_none() {
                    self.failing = Some(now);
                    let detail = format!("topic={} error={e:?}", self.topic);
                    emit(LogEvent::LogLost, &detail);
                }
            }
            Ok(_) => {
                self.failures = 0;
                if let Some(since) = self.failing.take() {
                    gw.roster.borrow_mut().on_store_unstable(now);
                    let away = now.since(since);
                    emit(
                        LogEvent::LogBack,
                        &format!("topic={} away_ms={away}", self.topic),
                    );
                }
            }
        }
    }

    /// Waits after a failed call. `hub` daemons read for others and wait the least; the
    /// others wait the longer, the more calls failed, until `enough` holds.
    pub(crate) async fn pause(&self, gw: &Gateway, hub: bool, enough: impl Fn() -> bool) {
        let doublings = self.failures.saturating_sub(1).min(DOUBLINGS);
        let least = if hub { PAUSE_MS } else { PAUSE_MS << doublings };
        let wait = Duration::from_millis(least + gw.draw() % least);
        let end = tokio::time::Instant::now() + wait;
        while tokio::time::Instant::now() < end && !enough() {
            tokio::time::sleep_until(end.min(tokio::time::Instant::now() + LOOK)).await;
        }
    }
}

//! Tracks the results of calls to the store: counts them, logs when the store is lost or back, and
//! backs off after failures.

use crate::journal::emit;
use crate::state::Gateway;
use crate::store::{StoreError, StoreResult};
use shaleline_types::{LogEvent, Millis};
use std::time::Duration;

/// The shortest backoff after a failed call; the longest is twice as long, so that daemons that
/// lost the store together do not retry together. It doubles with each further failure.
const BACKOFF_MS: u64 = 150;

/// The most doublings: the backoff then takes 1.2 to 2.4 s, within the time that the platform
/// gives its store to recover.
const MAX_DOUBLINGS: u32 = 3;

/// The interval at which a daemon that backs off checks whether it may stop waiting.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Tracks the calls to one topic of the store.
pub(crate) struct StoreHealth {
    topic: &'static str,
    failing_since: Option<Millis>,
    /// The number of consecutive failed calls.
    failures: u32,
}

impl StoreHealth {
    pub(crate) const fn new(topic: &'static str) -> Self {
        Self {
            topic,
            failing_since: None,
            failures: 0,
        }
    }

    pub(crate) fn record<T>(&mut self, gw: &Gateway, result: &StoreResult<T>) {
        let now = gw.now();
        gw.metrics.count_store(self.topic, result.is_ok());
        match result {
            Err(StoreError::Gap) => emit(LogEvent::TopicGap, &format!("topic={}", self.topic)),
            Err(e) => {
                gw.roster.borrow_mut().on_store_unstable(now);
                self.failures = self.failures.saturating_add(1);
                if self.failing_since.is_none() {
                    self.failing_since = Some(now);
                    let detail = format!("topic={} error={e:?}", self.topic);
                    emit(LogEvent::LogLost, &detail);
                }
            }
            Ok(_) => {
                self.failures = 0;
                if let Some(since) = self.failing_since.take() {
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

    /// Waits for the backoff after a failed call, or less if `done` holds before. Daemons with
    /// `hub` set read for others and wait the shortest time; for the others the wait grows with the
    /// number of failed calls.
    pub(crate) async fn back_off(&self, gw: &Gateway, hub: bool, done: impl Fn() -> bool) {
        let doublings = self.failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let min_wait = if hub {
            BACKOFF_MS
        } else {
            BACKOFF_MS << doublings
        };
        let wait = Duration::from_millis(min_wait + gw.random() % min_wait);
        let end = tokio::time::Instant::now() + wait;
        while tokio::time::Instant::now() < end && !done() {
            tokio::time::sleep_until(end.min(tokio::time::Instant::now() + CHECK_INTERVAL)).await;
        }
    }
}

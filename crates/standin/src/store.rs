//! The weight store, with a limit on load starts per second and on concurrent loads at full speed.

use std::sync::Mutex;

/// The limits of the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreSpec {
    /// The number of loads that may start per second.
    pub rate: f64,
    /// The number of concurrent loads above which each is slowed down.
    pub at_once: usize,
    /// The time to load a gigabyte at full speed, in milliseconds.
    pub gigabyte_ms: f64,
}

impl Default for StoreSpec {
    fn default() -> Self {
        Self {
            rate: 20.0,
            at_once: 15,
            gigabyte_ms: 5.0,
        }
    }
}

#[derive(Debug, Default)]
struct StoreState {
    running: usize,
    next_start: f64,
}

/// The weight store.
#[derive(Debug)]
pub struct WeightStore {
    spec: StoreSpec,
    now: Mutex<StoreState>,
}

impl WeightStore {
    /// Creates a store with these limits.
    #[must_use]
    pub fn new(spec: StoreSpec) -> Self {
        Self {
            spec,
            now: Mutex::new(StoreState::default()),
        }
    }

    /// Starts a load at `now` (milliseconds) and returns its duration in milliseconds, including
    /// the wait for its start.
    pub fn start(&self, megabytes: u64, now: f64) -> f64 {
        let mut state = self.now.lock().expect("no holder panics");
        let start = state.next_start.max(now);
        state.next_start = start + 1_000.0 / self.spec.rate;
        state.running += 1;
        let slowdown = (state.running as f64 / self.spec.at_once as f64).max(1.0);
        start - now + megabytes as f64 / 1_000.0 * self.spec.gigabyte_ms * slowdown
    }

    /// Ends a load.
    pub fn end(&self) {
        let mut state = self.now.lock().expect("no holder panics");
        state.running = state.running.saturating_sub(1);
    }
}

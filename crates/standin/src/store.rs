//! The weight store: so many loads a second, so many at once at full speed.

use std::sync::Mutex;

/// What the store allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreSpec {
    /// Loads that may start a second.
    pub rate: f64,
    /// Loads at once before each gets slower.
    pub at_once: usize,
    /// Milliseconds that a gigabyte takes at full speed.
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
struct Now {
    running: usize,
    next_start: f64,
}

/// The weight store.
#[derive(Debug)]
pub struct WeightStore {
    spec: StoreSpec,
    now: Mutex<Now>,
}

impl WeightStore {
    /// A store with these limits.
    #[must_use]
    pub fn new(spec: StoreSpec) -> Self {
        Self {
            spec,
            now: Mutex::new(Now::default()),
        }
    }

    /// Starts a load of so many megabytes at `now` (milliseconds) and returns how many
    /// milliseconds it takes, the wait for a start included.
    pub fn start(&self, megabytes: u64, now: f64) -> f64 {
        let mut state = self.now.lock().expect("no holder panics");
        let start = state.next_start.max(now);
        state.next_start = start + 1_000.0 / self.spec.rate;
        state.running += 1;
        let crowd = (state.running as f64 / self.spec.at_once as f64).max(1.0);
        start - now + megabytes as f64 / 1_000.0 * self.spec.gigabyte_ms * crowd
    }

    /// Ends a load.
    pub fn end(&self) {
        let mut state = self.now.lock().expect("no holder panics");
        state.running = state.running.saturating_sub(1);
    }
}

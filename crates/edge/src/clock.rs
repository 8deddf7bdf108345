//! The clock by which everything in a process grows old.

use shaleline_types::Millis;
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The first value is above any window that looks back, so that "long ago" has room.
const START: u64 = 1_000_000;

/// Where the time comes from; tests have their own.
pub trait Time {
    /// The time since an arbitrary moment. Never goes back.
    fn elapsed(&self) -> Duration;
}

/// The steady clock of the process.
#[derive(Debug)]
struct Steady(Instant);

impl Time for Steady {
    fn elapsed(&self) -> Duration {
        self.0.elapsed()
    }
}

/// Counts milliseconds from an arbitrary start, never backwards. Clones are the same clock.
#[derive(Clone)]
pub struct Clock {
    time: Rc<dyn Time>,
    jumped: Rc<Notify>,
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Clock").field(&self.now()).finish()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::from_time(Rc::new(Steady(Instant::now())))
    }
}

impl Clock {
    /// A clock that shows this time.
    #[must_use]
    pub fn from_time(time: Rc<dyn Time>) -> Self {
        Self {
            time,
            jumped: Rc::default(),
        }
    }

    /// What it shows now.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis(START + self.time.elapsed().as_millis() as u64)
    }

    /// Tells those who sleep that more time has gone by than their timers know.
    pub fn note_jump(&self) {
        self.jumped.notify_waiters();
    }

    /// Sleeps until a time of this clock.
    pub async fn sleep_until(&self, at: Millis) {
        loop {
            let mut jumped = std::pin::pin!(self.jumped.notified());
            jumped.as_mut().enable();
            let left = at.since(self.now());
            if left == 0 {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(Duration::from_millis(left)) => {}
                () = jumped => {}
            }
        }
    }

    /// What a future yields, if it does so before a time of this clock.
    pub async fn timeout_at<T>(&self, at: Millis, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            result = future => Some(result),
            () = self.sleep_until(at) => None,
        }
    }
}

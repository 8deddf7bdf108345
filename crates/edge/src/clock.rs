//! A clock that includes the time an instance was suspended.
//!
//! An instance may be suspended for seconds. The monotonic clock and all timers exclude that time,
//! so the age of everything that a daemon holds would be too low by the length of the suspension
//! while other daemons continue. This clock therefore uses the kernel's boot time, which includes
//! suspensions, and wakes sleeping tasks when a periodic check finds that the two clocks diverged.

use nix::time::{clock_gettime, ClockId};
use shaleline_types::Millis;
use std::cell::RefCell;
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The first value in milliseconds, larger than any look-back window so that subtracting one
/// cannot underflow.
const START: u64 = 1_000_000;

/// A source of time, which tests replace.
pub trait TimeSource {
    /// Returns the time since an arbitrary start. It never decreases.
    fn elapsed(&self) -> Duration;
}

/// The time since the machine booted, including suspensions.
#[derive(Debug)]
struct BootTime(Duration);

impl BootTime {
    fn read() -> Duration {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
        time.expect("every kernel that this runs on has it").into()
    }
}

impl TimeSource for BootTime {
    fn elapsed(&self) -> Duration {
        Self::read().saturating_sub(self.0)
    }
}

/// Smaller differences between the two clocks are due to their resolution.
const CLOCK_TOLERANCE_MS: u64 = 50;

/// Detects that the machine was suspended: the boot time advanced and the monotonic clock did not.
#[derive(Debug, Default)]
pub struct SuspensionDetector {
    /// The difference between the two clocks at the last observation, in milliseconds.
    difference: Option<u64>,
}

impl SuspensionDetector {
    /// Records both clocks' time since the process started and returns how long the machine was
    /// suspended since the last observation.
    pub fn observe(&mut self, boot: Duration, monotonic: Duration) -> Option<Millis> {
        let difference = boot.saturating_sub(monotonic).as_millis() as u64;
        let previous = self.difference.replace(difference).unwrap_or(difference);
        let increase = difference.saturating_sub(previous);
        (increase >= CLOCK_TOLERANCE_MS).then_some(Millis(increase))
    }
}

/// A clock in milliseconds from an arbitrary start, which never goes backwards. Clones share it.
#[derive(Clone)]
pub struct Clock {
    time: Rc<dyn TimeSource>,
    started: Instant,
    jumped: Rc<Notify>,
    suspensions: Rc<RefCell<SuspensionDetector>>,
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Clock").field(&self.now()).finish()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::from_time(Rc::new(BootTime(BootTime::read())))
    }
}

impl Clock {
    /// Creates a clock that reads the given source.
    #[must_use]
    pub fn from_time(time: Rc<dyn TimeSource>) -> Self {
        Self {
            time,
            started: Instant::now(),
            jumped: Rc::default(),
            suspensions: Rc::default(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis(START + self.time.elapsed().as_millis() as u64)
    }

    /// Returns how long the machine was suspended since the last call, if it was. Tasks that sleep
    /// on this clock are then woken, because their timers exclude the suspension.
    pub fn detect_suspension(&self) -> Option<Millis> {
        let (boot, monotonic) = (self.time.elapsed(), self.started.elapsed());
        let suspended = self.suspensions.borrow_mut().observe(boot, monotonic);
        if suspended.is_some() {
            self.jumped.notify_waiters();
        }
        suspended
    }

    /// Sleeps until this clock reaches a time.
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

    /// Returns the output of a future, or `None` if this clock reaches a time first.
    pub async fn timeout_at<T>(&self, at: Millis, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            result = future => Some(result),
            () = self.sleep_until(at) => None,
        }
    }
}

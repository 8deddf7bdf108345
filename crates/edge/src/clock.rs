//! The clock by which everything in a process grows old.
//!
//! An instance may be suspended for seconds. The steady clock and every timer leave that time out:
//! what a daemon believes, holds and waits for would seem younger than it is by as much, while the
//! others have gone on. So time is the kernel's boot time, which counts it, and whoever sleeps is
//! woken when a tick notices that the two have parted.

use nix::time::{clock_gettime, ClockId};
use shaleline_types::Millis;
use std::cell::RefCell;
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The first value is above any window that looks back, so that "long ago" has room.
const START: u64 = 1_000_000;

/// Where the time comes from; tests have their own.
pub trait TimeSource {
    /// The time since an arbitrary moment. Never goes back.
    fn elapsed(&self) -> Duration;
}

/// The time since the machine started, suspensions included.
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

/// Two clocks that part by less than this differ by the grain of timers alone.
const GRAIN_MS: u64 = 50;

/// Notices that the machine was suspended: the boot time has gone on and the steady clock has not.
#[derive(Debug, Default)]
pub struct SuspensionDetector {
    /// How far the two were apart when they were looked at last, in milliseconds.
    apart: Option<u64>,
}

impl SuspensionDetector {
    /// Takes in what both clocks show since the process started; how long the machine was suspended
    /// since the last look.
    pub fn observe(&mut self, boot: Duration, steady: Duration) -> Option<Millis> {
        let apart = boot.saturating_sub(steady).as_millis() as u64;
        let before = self.apart.replace(apart).unwrap_or(apart);
        let grown = apart.saturating_sub(before);
        (grown >= GRAIN_MS).then_some(Millis(grown))
    }
}

/// Counts milliseconds from an arbitrary start, never backwards. Clones are the same clock.
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
    /// A clock that shows this time.
    #[must_use]
    pub fn from_time(time: Rc<dyn TimeSource>) -> Self {
        Self {
            time,
            started: Instant::now(),
            jumped: Rc::default(),
            suspensions: Rc::default(),
        }
    }

    /// What it shows now.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis(START + self.time.elapsed().as_millis() as u64)
    }

    /// Looks whether the machine was suspended since the last look, for how long, and wakes those
    /// who sleep then: their timers do not know of it.
    pub fn detect_suspension(&self) -> Option<Millis> {
        let (boot, steady) = (self.time.elapsed(), self.started.elapsed());
        let suspended = self.suspensions.borrow_mut().observe(boot, steady);
        if suspended.is_some() {
            self.jumped.notify_waiters();
        }
        suspended
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

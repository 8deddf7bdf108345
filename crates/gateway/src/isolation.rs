//! Whether a daemon hears enough of the others to plan for all.
//!
//! The claim of the planner hangs on the store alone, and what the callers of the others ask for is
//! known from their notes alone. One that holds the claim and hears nobody would plan by its own
//! callers for as long as the store answers it, and take what all others ask for to be idle. So it
//! gives the claim up to one that hears, and claims again only where nobody else does.

use shaleline_types::Millis;

/// A planner that has not heard enough for so long gives its claim up: notes come three times a second,
/// and another hub speaks 1.2 s after one fell silent.
const RELEASE_AFTER_MS: u64 = 2_000;

/// Whoever does not hear enough claims only after so long: any that does has claimed before.
const ACQUIRE_AFTER_MS: u64 = 6_000;

/// One that claimed though it does not hear asks again after so long whether another one would.
const RELEASE_AGAIN_MS: u64 = 20_000;

/// How long a daemon has not heard enough.
#[derive(Debug, Default)]
pub(crate) struct Isolation {
    /// Since when, or when it last gave its claim up for that.
    since: Option<Millis>,
    /// When it claimed all the same.
    acquired: Option<Millis>,
}

impl Isolation {
    /// Takes in whether enough is heard now, and whether this daemon holds the claim.
    pub(crate) fn observe(&mut self, receives: bool, is_holder: bool, now: Millis) {
        if receives {
            *self = Self::default();
            return;
        }
        let since = *self.since.get_or_insert(now);
        if !is_holder {
            self.acquired = None;
        } else if now.since(since) >= ACQUIRE_AFTER_MS {
            self.acquired.get_or_insert(now);
        }
    }

    /// Whether this daemon may claim.
    pub(crate) fn may_acquire(&self, now: Millis) -> bool {
        self.since
            .is_none_or(|at| now.since(at) >= ACQUIRE_AFTER_MS)
    }

    /// Whether a planner gives its claim up now; it has done so where this says yes.
    pub(crate) fn should_release(&mut self, now: Millis) -> bool {
        let should_release = match (self.since, self.acquired) {
            (None, _) => false,
            (Some(_), Some(acquired)) => now.since(acquired) >= RELEASE_AGAIN_MS,
            (Some(since), None) => now.since(since) >= RELEASE_AFTER_MS,
        };
        if should_release {
            self.since = Some(now);
            self.acquired = None;
        }
        should_release
    }
}

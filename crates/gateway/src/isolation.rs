//! Decides whether a daemon receives reports from enough others to plan for all.
//!
//! The planner lease depends on the store alone, whereas the demand of other daemons' callers is
//! known from their reports alone. A holder of the lease that receives no reports would plan for
//! its own callers for as long as the store answers it, and treat all other demand as idle. It
//! therefore releases the lease to a daemon that receives reports, and acquires it again only if no
//! other daemon does.

use shaleline_types::Millis;

/// A planner that has not received enough reports for this long releases its lease. Reports arrive
/// three times a second, and another hub sends them 1.2 s after a hub falls silent.
const RELEASE_AFTER_MS: u64 = 2_000;

/// A daemon that does not receive enough reports acquires the lease only after this time: any
/// daemon that does has acquired it before.
const ACQUIRE_AFTER_MS: u64 = 6_000;

/// A daemon that acquired the lease without receiving enough reports releases it after this time,
/// so that another daemon can take it.
const RELEASE_AGAIN_MS: u64 = 20_000;

/// How long a daemon has not received enough reports.
#[derive(Debug, Default)]
pub(crate) struct Isolation {
    /// When the reports began to be too few, or when the daemon last released its lease for that
    /// reason.
    since: Option<Millis>,
    /// When the daemon acquired the lease nevertheless.
    acquired: Option<Millis>,
}

impl Isolation {
    /// Records whether enough reports are received now, and whether this daemon holds the lease.
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

    /// Whether this daemon may acquire the lease.
    pub(crate) fn may_acquire(&self, now: Millis) -> bool {
        self.since
            .is_none_or(|at| now.since(at) >= ACQUIRE_AFTER_MS)
    }

    /// Whether a planner releases its lease now. A result of true is recorded as the release.
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

//! Whether this daemon should take work.
//!
//! It should once it knows a configuration and the upstreams, and until it stops. One that
//! stalled may have missed a version meanwhile: it learns of it only after several rounds of
//! its tasks, and each of them may be as late. So it takes no work until it has heard again
//! that what it holds is the newest. One that did not stall and hears nothing is cut off from
//! the store, where nobody else can have a version accepted that it should know, or from all
//! other daemons as well; it goes on with what it has, which is better for its callers than
//! nothing.

use crate::admission::Age;
use crate::read_progress::{Freshness, ReadProgress};
use crate::stall::StallDetector;
use crate::state::Gateway;
use shaleline_types::Millis;

/// A version that was accepted so long ago should be in force: what the platform's bound
/// leaves for a request on its way to its upstream.
const ON_ITS_WAY_MS: u64 = 150;

/// Whether a version may be in force elsewhere that this daemon missed while it stalled.
pub(crate) fn is_behind(
    reading: &ReadProgress,
    pulse: &StallDetector,
    apply: Millis,
    now: Millis,
) -> bool {
    let Some(known) = reading.config_known_at() else {
        return false;
    };
    let allowed = apply.0.saturating_sub(ON_ITS_WAY_MS);
    now.since(known) >= allowed && pulse.stalled_since(known, now)
}

impl Gateway {
    /// Whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        let knows = self.table().is_some() && self.upstreams_known.get();
        knows && !self.stopping.get() && !self.is_behind() && self.knows_keys()
    }

    /// Whether the configuration may be out of date because this process stalled.
    pub(crate) fn is_behind(&self) -> bool {
        let apply = self.bounds.borrow().apply;
        let pulse = self.stall_detector.borrow();
        is_behind(&self.reading.borrow(), &pulse, apply, self.now())
    }

    /// How long ago the configuration in force was certainly the newest.
    pub(crate) fn config_age(&self) -> Age {
        let at = self.reading.borrow().confirmed_at()?;
        Some(Millis(self.now().since(at)))
    }

    /// Whether callers' keys can be relied on, or none are needed.
    pub(crate) fn knows_keys(&self) -> bool {
        let needed = self.table().is_some_and(|t| t.orgs.is_some());
        let revocation = self.bounds.borrow().revocation;
        !needed || revocation.holds(self.config_age())
    }

    /// The earliest time at which something may have come that is read now.
    pub(crate) fn earliest_arrival(&self) -> Millis {
        let now = self.now();
        let lag = self.stall_detector.borrow().lag(now);
        Millis(now.0.saturating_sub(lag))
    }

    /// How old what a hub has read may be.
    pub(crate) fn freshness(&self) -> Freshness {
        let bounds = self.bounds.borrow();
        let wait = self.settings.config_wait(bounds.apply);
        Freshness::from_bounds(bounds.drain, wait, self.report_interval())
    }
}

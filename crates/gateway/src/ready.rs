//! Decides whether this daemon should take work.
//!
//! It should once it knows a configuration and the upstreams, and until it stops. A daemon that
//! stalled may have missed a version in the meantime: it learns of it only after several rounds of
//! its tasks, each of which may be as late. It takes no work until its configuration is confirmed
//! as the newest again. A daemon that did not stall and receives nothing is cut off: either from
//! the store, where nobody else can then have a version accepted that it should know, or from all
//! other daemons as well. In both cases it continues with its configuration, which serves its
//! callers better than refusing them.

use crate::admission::ConfigAge;
use crate::read_progress::{Freshness, ReadProgress};
use crate::stall::StallDetector;
use crate::state::Gateway;
use shaleline_types::Millis;

/// Margin for a request on its way to its upstream, which is part of the platform's bound for
/// putting a version in force.
const IN_TRANSIT_MS: u64 = 150;

/// Whether a version may be in force elsewhere that this daemon missed while it stalled, or is known
/// to have been read elsewhere and has not arrived within the bound.
pub(crate) fn is_behind(
    reading: &ReadProgress,
    stall_detector: &StallDetector,
    apply: Millis,
    now: Millis,
) -> bool {
    let Some(known) = reading.config_known_at() else {
        return false;
    };
    let allowed = apply.0.saturating_sub(IN_TRANSIT_MS);
    let may_lack = reading.lacks_reported() || stall_detector.stalled_since(known, now);
    now.since(known) >= allowed && may_lack
}

impl Gateway {
    /// Whether the balancer should send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        let knows = self.table().is_some() && self.upstreams_known.get();
        knows && !self.stopping.get() && !self.is_behind() && self.knows_keys()
    }

    /// Whether the configuration may be out of date because this process stalled.
    pub(crate) fn is_behind(&self) -> bool {
        let apply = self.bounds.borrow().apply;
        let stall_detector = self.stall_detector.borrow();
        is_behind(&self.reading.borrow(), &stall_detector, apply, self.now())
    }

    /// The time since the configuration in force was confirmed as the newest.
    pub(crate) fn config_age(&self) -> ConfigAge {
        let at = self.reading.borrow().confirmed_at()?;
        Some(Millis(self.now().since(at)))
    }

    /// Whether callers' keys can be relied on, or no keys are needed.
    pub(crate) fn knows_keys(&self) -> bool {
        let needed = self.table().is_some_and(|t| t.orgs.is_some());
        let revocation = self.bounds.borrow().revocation;
        !needed || revocation.holds(self.config_age())
    }

    /// The earliest time at which data that is read now may have arrived.
    pub(crate) fn earliest_arrival(&self) -> Millis {
        let now = self.now();
        let lag = self.stall_detector.borrow().lag(now);
        Millis(now.0.saturating_sub(lag))
    }

    /// The limits on the age of a hub's read position.
    pub(crate) fn freshness(&self) -> Freshness {
        let bounds = self.bounds.borrow();
        let wait = self.settings.config_wait(bounds.apply);
        Freshness::from_bounds(bounds.drain, wait, self.report_interval())
    }
}

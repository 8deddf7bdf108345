//! What an organisation may use over all daemons together, and how that is divided.
//!
//! `docs/ALLOWANCES.md` argues why the sum never passes the bound.

use shaleline_types::Millis;

/// A daemon that moves from one granter to another counts for both for a moment: what the allowance
/// gives in so many milliseconds is left for that.
const HANDOVER_MS: f64 = 500.0;

/// A daemon holds at least so much in advance, or nothing: a smaller amount serves no request.
const MIN_CREDIT: f64 = 400.0;

/// An organisation's allowance, in tokens or requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// How much a second.
    pub rate: f64,
    /// How much at once on top.
    pub burst: f64,
}

/// By how much daemons that do not know of each other at once may pass an allowance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// The window in which use is counted.
    pub window: Millis,
    /// The part of what the allowance gives in a window.
    pub over: f64,
    /// What comes on top.
    pub slack: f64,
}

/// What an allowance's tolerance is used for, over all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ToleranceSplit {
    /// What granters hold beyond the burst.
    pub(crate) storage: f64,
    /// How far they go into debt for a request that is larger than what they hold.
    pub(crate) debt: f64,
    /// What one daemon holds in advance.
    pub(crate) credit: f64,
}

impl Tolerance {
    /// Divides the tolerance. A large organisation's is enough for each daemon to hold something
    /// in advance; a small one's goes to the granters, where a single request may be more than
    /// its burst.
    pub(crate) fn split(&self, allowance: &Allowance, daemons: usize) -> ToleranceSplit {
        let handover = allowance.rate * HANDOVER_MS / 1_000.0;
        let remainder = (self.bound(allowance) - self.window_total(allowance) - handover).max(0.0);
        let credit = remainder / daemons.max(1) as f64;
        if credit >= MIN_CREDIT {
            return ToleranceSplit {
                storage: 0.0,
                debt: 0.0,
                credit,
            };
        }
        ToleranceSplit {
            storage: remainder / 2.0,
            debt: remainder / 2.0,
            credit: 0.0,
        }
    }

    /// What an allowance gives in a window.
    fn window_total(&self, allowance: &Allowance) -> f64 {
        allowance.rate * self.window.0 as f64 / 1_000.0 + allowance.burst
    }

    /// The most that may run in a window, everything counted.
    #[must_use]
    pub fn bound(&self, allowance: &Allowance) -> f64 {
        self.window_total(allowance) * (1.0 + self.over) + self.slack
    }
}

//! An organisation's allowance over all daemons together, and how it is divided.
//!
//! `docs/ALLOWANCES.md` shows why the sum never exceeds the bound.

use shaleline_types::Millis;

/// A daemon that moves from one allocator to another is briefly counted by both. What the allowance
/// yields in this time is reserved for that.
const HANDOVER_MS: f64 = 500.0;

/// The least credit that a daemon holds in advance; a smaller amount serves no request, so it holds
/// none.
const MIN_CREDIT: f64 = 400.0;

/// An organisation's allowance, in tokens or requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// The amount per second.
    pub rate: f64,
    /// The amount on top of the rate that may be used at once.
    pub burst: f64,
}

/// By how much daemons that don't know of each other's use may exceed an allowance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// The window over which use is summed.
    pub window: Millis,
    /// The excess as a fraction of what the allowance yields in a window.
    pub over: f64,
    /// A fixed excess on top.
    pub slack: f64,
}

/// How an allowance's tolerance is divided, over all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ToleranceSplit {
    /// What allocators may hold beyond the burst.
    pub(crate) storage: f64,
    /// How far allocators may go into debt for a request that is larger than what they hold.
    pub(crate) debt: f64,
    /// The credit that one daemon may hold in advance.
    pub(crate) credit: f64,
}

impl Tolerance {
    /// Divides the tolerance. A large organisation's tolerance allows each daemon to hold credit in
    /// advance; a small organisation's goes to the allocators, as a single request may exceed its
    /// burst.
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

    /// What an allowance yields in a window.
    fn window_total(&self, allowance: &Allowance) -> f64 {
        allowance.rate * self.window.0 as f64 / 1_000.0 + allowance.burst
    }

    /// Returns the most that may be used in a window, with all tolerance included.
    #[must_use]
    pub fn bound(&self, allowance: &Allowance) -> f64 {
        self.window_total(allowance) * (1.0 + self.over) + self.slack
    }
}

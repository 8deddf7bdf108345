//! Stops sending to an upstream that fails or hangs.

use shaleline_types::Millis;

/// Failures in a row that open a breaker.
const FAILURES: u32 = 5;
const COOL_FIRST: u64 = 1_000;
const COOL_MOST: u64 = 30_000;

/// Counts failures in a row. Hanging requests are counted while they hang, not when they
/// time out: waiting for timeouts left a dead channel in the way for its whole timeout in
/// "Dead-channel isolation"; see `docs/ROUTING.md` for our own measurement.
#[derive(Debug, Default)]
pub(crate) struct Breaker {
    failures: u32,
    opened: Option<Millis>,
    cool: u64,
    probing: bool,
}

/// Whether and how much an upstream may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Gate {
    Open,
    Probe,
    Shut,
}

impl Breaker {
    pub(crate) fn gate(&self, now: Millis) -> Gate {
        match self.opened {
            None => Gate::Open,
            Some(at) if now.since(at) >= self.cool && !self.probing => Gate::Probe,
            Some(_) => Gate::Shut,
        }
    }

    pub(crate) fn on_send(&mut self) {
        if self.opened.is_some() {
            self.probing = true;
        }
    }

    /// Returns whether the breaker closed by this.
    pub(crate) fn on_success(&mut self) -> bool {
        let closed = self.opened.is_some();
        *self = Self::default();
        closed
    }

    /// Returns whether the breaker opened by this.
    pub(crate) fn on_failure(&mut self, now: Millis) -> bool {
        self.failures += 1;
        let was_open = self.opened.is_some();
        if self.failures < FAILURES && !was_open {
            return false;
        }
        if !was_open || self.probing {
            self.cool = (self.cool * 2).clamp(COOL_FIRST, COOL_MOST);
            self.opened = Some(now);
            self.probing = false;
        }
        !was_open
    }

    /// Opens it at once: requests hang there.
    pub(crate) fn trip(&mut self, now: Millis) -> bool {
        self.failures = FAILURES;
        self.on_failure(now)
    }

    /// A probe ended without saying anything of the upstream.
    pub(crate) fn on_neutral(&mut self) {
        self.probing = false;
    }
}

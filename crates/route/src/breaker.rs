//! A circuit breaker that stops sends to an upstream that fails or hangs.

use shaleline_types::Millis;

/// Consecutive failures that open a breaker.
const MAX_FAILURES: u32 = 5;
const MIN_COOLDOWN_MS: u64 = 1_000;
const MAX_COOLDOWN_MS: u64 = 30_000;

/// Counts consecutive failures. Hanging requests count while they hang, not when they time out:
/// waiting for timeouts would keep a dead upstream in use for its whole timeout, as the paper
/// "Dead-channel isolation" observed. `docs/ROUTING.md` has the measurement.
#[derive(Debug, Default)]
pub(crate) struct Breaker {
    failures: u32,
    opened: Option<Millis>,
    cooldown: u64,
    probing: bool,
}

/// Whether the breaker lets requests pass; a half-open breaker lets one probe pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BreakerState {
    Closed,
    HalfOpen,
    Open,
}

impl Breaker {
    pub(crate) fn state(&self, now: Millis) -> BreakerState {
        match self.opened {
            None => BreakerState::Closed,
            Some(at) if now.since(at) >= self.cooldown && !self.probing => BreakerState::HalfOpen,
            Some(_) => BreakerState::Open,
        }
    }

    pub(crate) fn on_send(&mut self) {
        if self.opened.is_some() {
            self.probing = true;
        }
    }

    /// Returns whether the success closed the breaker.
    pub(crate) fn on_success(&mut self) -> bool {
        let closed = self.opened.is_some();
        *self = Self::default();
        closed
    }

    /// Returns whether the failure opened the breaker.
    pub(crate) fn on_failure(&mut self, now: Millis) -> bool {
        self.failures += 1;
        let was_open = self.opened.is_some();
        if self.failures < MAX_FAILURES && !was_open {
            return false;
        }
        if !was_open || self.probing {
            self.cooldown = (self.cooldown * 2).clamp(MIN_COOLDOWN_MS, MAX_COOLDOWN_MS);
            self.opened = Some(now);
            self.probing = false;
        }
        !was_open
    }

    /// Opens the breaker at once because requests hang at the upstream.
    pub(crate) fn trip(&mut self, now: Millis) -> bool {
        self.failures = MAX_FAILURES;
        self.on_failure(now)
    }

    /// Ends a probe whose result doesn't show whether the upstream works.
    pub(crate) fn on_inconclusive(&mut self) {
        self.probing = false;
    }
}

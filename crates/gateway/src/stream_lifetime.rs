//! Decides for how long a stream may be resumed after it began.
//!
//! A caller may resume its stream until its own deadline, which may be later than the timeout of its
//! route, and a configuration that shortens the timeout does not shorten the time of streams that
//! began before it. [`docs/design/stream-versions.md`](../../../docs/design/stream-versions.md) has
//! the design.

use shaleline_types::Millis;
use std::collections::BTreeMap;

/// The longest lifetime. A caller with a later deadline would otherwise make all daemons remember
/// software versions that are long gone.
const MAX_LIFETIME_MS: u64 = 600_000;

/// Lifetimes are rounded up to a multiple of this, which limits how many are kept.
const STEP_MS: u64 = 5_000;

/// The time for which streams may be resumed.
#[derive(Debug, Default)]
pub(crate) struct StreamLifetime {
    /// What the configuration in force gives; none before there is one.
    configured: Option<Millis>,
    /// Longer lifetimes of streams that may still be resumed, with the time until which each counts.
    extended: BTreeMap<u64, Millis>,
}

impl StreamLifetime {
    /// Sets what the configuration in force gives.
    pub(crate) fn set(&mut self, lifetime: Millis, now: Millis) {
        let before = self.configured.replace(lifetime);
        if let Some(before) = before.filter(|b| *b > lifetime) {
            self.extend(before, now);
        }
    }

    /// Records that a stream which begins now may be resumed for that long.
    pub(crate) fn extend(&mut self, lifetime: Millis, now: Millis) {
        let configured = self.configured.is_some_and(|c| lifetime <= c);
        if configured {
            return;
        }
        let lifetime = lifetime.0.min(MAX_LIFETIME_MS);
        let lifetime = lifetime.next_multiple_of(STEP_MS);
        self.extended.retain(|_, until| *until > now);
        self.extended.insert(lifetime, now.plus(lifetime));
    }

    /// The longest lifetime of the streams that may still be resumed; without a limit before there is a
    /// configuration.
    pub(crate) fn get(&self, now: Millis) -> Millis {
        self.known(now).unwrap_or(Millis(u64::MAX))
    }

    /// The same, if there is a configuration.
    pub(crate) fn known(&self, now: Millis) -> Option<Millis> {
        let configured = self.configured?;
        Some(self.longest_extended(now).max(configured))
    }

    /// Whether that is longer than what the configuration in force gives.
    pub(crate) fn is_extended(&self, now: Millis) -> bool {
        self.configured
            .is_some_and(|configured| self.longest_extended(now) > configured)
    }

    fn longest_extended(&self, now: Millis) -> Millis {
        let counted = self.extended.iter().filter(|(_, until)| **until > now);
        Millis(counted.map(|(lifetime, _)| *lifetime).max().unwrap_or(0))
    }
}

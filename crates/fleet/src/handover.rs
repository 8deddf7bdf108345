//! The state that a stopping planner hands over to its successor, so that it need not wait.
//!
//! The orders of two planners that both run must be a lease apart at one engine, and loads from the weight store
//! must stay under its rate limit whichever planner begins them. A successor that knows when each
//! engine had its last order, and when loads began, waits for those engines only and may use the
//! rest of the window at once. Without a handover it would wait as after a failure.

use crate::LoadWindow;
use serde::{Deserialize, Serialize};
use shaleline_types::{Millis, Upstream};
use std::collections::BTreeMap;

/// The last actions of a planner, as ages at the time of writing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The age of the last order to each engine, in milliseconds.
    pub orders: BTreeMap<Upstream, u64>,
    /// The ages of the loads from the weight store, in milliseconds.
    pub loads: Vec<u64>,
    /// The time for which no load may begin yet, in milliseconds.
    pub blocked: u64,
}

impl Handover {
    /// Leaves out the orders, so that the successor orders all engines at once.
    #[must_use]
    pub fn without_orders(self) -> Self {
        Self {
            orders: BTreeMap::new(),
            ..self
        }
    }
}

/// The time of the last order to each engine, by any planner.
#[derive(Debug, Clone, Default)]
pub struct LastOrders {
    sent: BTreeMap<Upstream, Millis>,
}

/// An order this old delays no other: this is more than a lease and the time an order may be in
/// transit.
const EXPIRY_MS: u64 = 20_000;

impl LastOrders {
    /// Records that an order is sent.
    pub fn record(&mut self, engine: &Upstream, now: Millis) {
        self.sent.insert(engine.clone(), now);
        self.sent.retain(|_, at| now.since(*at) < EXPIRY_MS);
    }

    /// Returns the state that a successor needs.
    #[must_use]
    pub fn to_handover(&self, window: Option<&LoadWindow>, now: Millis) -> Handover {
        let ages = self.sent.iter().map(|(e, at)| (e.clone(), now.since(*at)));
        Handover {
            orders: ages.collect(),
            loads: window.map_or_else(Vec::new, |w| w.ages(now)),
            blocked: window.map_or(0, |w| w.blocked_for(now)),
        }
    }

    /// Takes over the last orders of a predecessor, as of `now` or a little before.
    pub fn inherit(&mut self, handover: &Handover, now: Millis) {
        for (engine, age) in &handover.orders {
            let at = Millis(now.0.saturating_sub(*age));
            let known = self.sent.entry(engine.clone()).or_insert(at);
            *known = at.max(*known);
        }
    }

    /// Returns the engines that had an order within `cooldown`, and the time until which a new
    /// planner must not order them.
    #[must_use]
    pub fn cooldowns(&self, cooldown: Millis, now: Millis) -> BTreeMap<Upstream, Millis> {
        let until = self.sent.iter().map(|(e, at)| (e, at.plus(cooldown.0)));
        let cooldowns = until.filter(|(_, until)| *until > now);
        cooldowns.map(|(e, until)| (e.clone(), until)).collect()
    }
}

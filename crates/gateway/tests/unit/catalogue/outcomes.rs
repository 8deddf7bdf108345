//! Counts the refused callers and the unused loads of a run.

use super::engines::Key;
use shaleline_fleet::{Order, OrderReply};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A load that follows a refused retry within this time came too late for it.
const LATE_MS: u64 = 1_000;

/// A retry within this time after a planner began to plan comes too early for its loads.
const TAKEOVER_MS: u64 = 700;

/// The first refusal of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Refusal {
    pub at: u64,
    /// Whether the retry-after time allowed for an interval without a planner.
    pub gap_known: bool,
}

/// The conditions at a refused retry.
#[derive(Debug, Clone, Copy)]
pub struct Conditions {
    pub first: Refusal,
    pub now: u64,
    /// Whether no engine serves the model.
    pub model_away: bool,
    /// Whether all engines that serve the model had their last order from another planner, within
    /// the cooldown.
    pub cooling: bool,
    /// Whether the planner knows that the adapter is wanted.
    pub wanted: bool,
}

/// Why a caller was refused again on its retry, the first that applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Reason {
    /// No engine serves the model.
    ModelAway,
    /// There was no planner, and the retry-after time did not allow for it.
    GapUnknown,
    /// There was no planner although the retry-after time allowed for one.
    GapKnown,
    /// A planner has only just begun.
    NewPlanner,
    /// All engines that serve the model are in their cooldown.
    Cooldown,
    /// It was held between the two attempts.
    Dropped,
    /// The planner does not know that the adapter is wanted.
    Unwanted,
    /// It was loaded within 100 ms after the retry.
    LateBy100,
    /// It was loaded within a second after the retry.
    LateBy1000,
    /// It was not loaded within a second.
    NeverOrdered,
}

/// The outcomes of callers and of the adapters that were loaded for them.
#[derive(Debug, Clone, Default)]
pub struct Outcomes {
    pub callers: usize,
    /// Callers that were refused once and served on their retry.
    pub retried: usize,
    /// Callers that were refused again on their retry.
    pub refused_again: usize,
    /// The number of adapter loads.
    pub loads: usize,
    /// Adapters whose only copy was unloaded before it served any caller.
    pub unused: usize,
    /// The time without a planner after the start of traffic, in milliseconds.
    pub planner_gap: u64,
    /// Adapters that were loaded and have served no caller yet.
    unclaimed: BTreeSet<Key>,
    /// The times of the loads and unloads of each adapter.
    loads_at: BTreeMap<Key, Vec<u64>>,
    unloads_at: BTreeMap<Key, Vec<u64>>,
    /// The starts and ends of the intervals with a planner.
    planner_changes: Vec<(u64, bool)>,
    refusals: Vec<(Key, Conditions)>,
}

impl Outcomes {
    /// Records an order, and whether any engine now serves the model or adapter that it is for.
    pub fn record_order(
        &mut self,
        key: &Key,
        order: &Order,
        reply: OrderReply,
        served: bool,
        now: u64,
    ) {
        if order.adapter.is_some() && reply == OrderReply::Accepted {
            self.loads += 1;
            self.loads_at.entry(key.clone()).or_default().push(now);
            if !served {
                self.unclaimed.insert(key.clone());
            }
        } else if order.unloads_adapter() && reply == OrderReply::Done && !served {
            self.unloads_at.entry(key.clone()).or_default().push(now);
            self.unused += usize::from(self.unclaimed.remove(key));
        }
    }

    /// Records whether there is a planner.
    pub fn record_planner(&mut self, now: u64, present: bool) {
        if self.planner_changes.last().is_none_or(|c| c.1 != present) {
            self.planner_changes.push((now, present));
        }
    }

    /// Records that the retry of a caller was refused.
    pub fn record_refused_again(&mut self, key: &Key, conditions: Conditions) {
        self.refusals.push((key.clone(), conditions));
    }

    /// Whether there was a planner at a time, and since when.
    fn planner_at(&self, time: u64) -> (bool, u64) {
        let after = self.planner_changes.partition_point(|(at, _)| *at <= time);
        match after {
            0 => (true, 0),
            after => {
                let (at, present) = self.planner_changes[after - 1];
                (present, at)
            }
        }
    }

    fn reason(&self, key: &Key, c: &Conditions) -> Reason {
        let at = |times: &BTreeMap<Key, Vec<u64>>, from: u64, to: u64| {
            let times = times.get(key).map(Vec::as_slice).unwrap_or_default();
            times.iter().any(|t| (from..to).contains(t))
        };
        let (planned, since) = self.planner_at(c.now);
        if c.model_away {
            Reason::ModelAway
        } else if !planned && c.first.gap_known {
            Reason::GapKnown
        } else if !planned {
            Reason::GapUnknown
        } else if since > 0 && c.now - since < TAKEOVER_MS {
            Reason::NewPlanner
        } else if c.cooling {
            Reason::Cooldown
        } else if at(&self.unloads_at, c.first.at, c.now) {
            Reason::Dropped
        } else if !c.wanted && c.now - c.first.at < LATE_MS {
            Reason::Unwanted
        } else if at(&self.loads_at, c.now, c.now + 100) {
            Reason::LateBy100
        } else if at(&self.loads_at, c.now, c.now + LATE_MS) {
            Reason::LateBy1000
        } else {
            Reason::NeverOrdered
        }
    }

    /// The numbers of callers that were refused again, by reason.
    fn reasons(&self) -> BTreeMap<Reason, usize> {
        let mut counts = BTreeMap::new();
        for (key, conditions) in &self.refusals {
            *counts.entry(self.reason(key, conditions)).or_default() += 1;
        }
        counts
    }

    /// Records a request of a caller.
    pub fn record_caller(&mut self, key: &Key, is_retry: bool, served: bool) {
        self.callers += usize::from(!is_retry);
        match (is_retry, served) {
            (true, true) => self.retried += 1,
            (true, false) => self.refused_again += 1,
            (false, _) => {}
        }
        if served {
            self.unclaimed.remove(key);
        }
    }
}

impl fmt::Display for Outcomes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            callers,
            retried,
            refused_again,
            loads,
            unused,
            planner_gap,
            ..
        } = self;
        write!(
            f,
            "{callers} callers, {retried} served on their retry, {refused_again} refused again; \
             {loads} loads, {unused} unloaded unused; {planner_gap} ms without a planner"
        )?;
        write!(f, "\nrefused again: {:?}", self.reasons())
    }
}

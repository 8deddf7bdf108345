//! Counts the refused callers and the unused loads of a run.

use super::engines::Key;
use shaleline_fleet::{Order, OrderReply};
use std::collections::BTreeSet;
use std::fmt;

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
}

impl Outcomes {
    /// Records an order, and whether any engine now serves the model or adapter that it is for.
    pub fn record_order(&mut self, key: &Key, order: &Order, reply: OrderReply, served: bool) {
        if order.adapter.is_some() && reply == OrderReply::Accepted {
            self.loads += 1;
            if !served {
                self.unclaimed.insert(key.clone());
            }
        } else if order.unloads_adapter() && reply == OrderReply::Done && !served {
            self.unused += usize::from(self.unclaimed.remove(key));
        }
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
        )
    }
}

//! What callers lose in a play, and what was loaded for nobody.

use super::engines::Key;
use shaleline_fleet::{Order, OrderReply};
use std::collections::BTreeSet;
use std::fmt;

/// What became of callers and of the adapters that were loaded for them.
#[derive(Debug, Clone, Default)]
pub struct Outcomes {
    pub callers: usize,
    /// Callers who were refused once and served when they came back.
    pub second: usize,
    /// Callers who were refused again when they came back.
    pub lost: usize,
    /// Loads of adapters.
    pub loads: usize,
    /// Adapters whose only copy was dropped before any caller found it.
    pub unused: usize,
    /// How long no daemon could order after traffic began, in milliseconds.
    pub vacant: u64,
    /// Adapters that were loaded and that no caller has found yet.
    fresh: BTreeSet<Key>,
}

impl Outcomes {
    /// Notes an order and whether any engine serves what it is about now.
    pub fn note_order(&mut self, key: &Key, order: &Order, reply: OrderReply, served: bool) {
        if order.adapter.is_some() && reply == OrderReply::Accepted {
            self.loads += 1;
            if !served {
                self.fresh.insert(key.clone());
            }
        } else if order.unloads_adapter() && reply == OrderReply::Done && !served {
            self.unused += usize::from(self.fresh.remove(key));
        }
    }

    pub fn note_caller(&mut self, key: &Key, is_retry: bool, served: bool) {
        self.callers += usize::from(!is_retry);
        match (is_retry, served) {
            (true, true) => self.second += 1,
            (true, false) => self.lost += 1,
            (false, _) => {}
        }
        if served {
            self.fresh.remove(key);
        }
    }
}

impl fmt::Display for Outcomes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            callers,
            second,
            lost,
            loads,
            unused,
            vacant,
            ..
        } = self;
        write!(
            f,
            "{callers} callers, {second} served when they came back, {lost} refused again; \
             {loads} loads, {unused} dropped unused; {vacant} ms without a planner"
        )
    }
}

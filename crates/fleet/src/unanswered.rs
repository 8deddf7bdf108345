//! Orders of which an attempt got no reply.
//!
//! An engine may carry out such an attempt seconds later. Its condition, a number of accepted
//! orders, holds again once the engine has started again and accepted as many, whatever became of
//! other attempts to send the same order. So attempts are remembered for as long as they may
//! arrive, across restarts of the engine and while it is not listed. `docs/PLACEMENT.md` has the
//! rule for the memory of engines.

use crate::engine::PENDING_TTL_MS;
use crate::{Order, OrderKind};
use shaleline_types::Millis;

/// An order of which an attempt got no reply.
#[derive(Debug, Clone)]
struct UnansweredOrder {
    order: Order,
    /// The time of the last attempt.
    sent: Millis,
    /// Whether it can't follow any order that is planned from now on.
    superseded: bool,
}

/// The orders for one engine of which an attempt got no reply.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnansweredOrders {
    orders: Vec<UnansweredOrder>,
}

impl UnansweredOrders {
    /// Records an attempt that got no reply.
    pub(crate) fn record(&mut self, order: Order, sent: Millis) {
        self.orders.retain(|known| known.order != order);
        self.orders.push(UnansweredOrder {
            order,
            sent,
            superseded: false,
        });
    }

    /// The orders that an engine may carry out beside those that are planned from now on, if it has
    /// accepted `seq` orders.
    pub(crate) fn open(&self, seq: u64) -> impl Iterator<Item = &Order> {
        let open = self.orders.iter().filter(|o| !o.superseded);
        open.map(|o| &o.order).filter(move |o| o.expect >= seq)
    }

    /// The loads that an engine which starts again may carry out beside an order that expects `next`,
    /// before any later order reaches it: each expects one more than the one before.
    pub(crate) fn loads_beside(&self, next: u64) -> impl Iterator<Item = &Order> {
        let expects =
            |seq: &u64| *seq == next || self.orders.iter().any(|o| o.order.expect == *seq);
        let end = (0..).find(|seq| !expects(seq)).unwrap_or(u64::MAX);
        let orders = self.orders.iter().map(|o| &o.order);
        let loads = orders.filter(|order| order.kind == OrderKind::Load);
        loads.filter(move |order| next < end && order.expect < end)
    }

    /// Marks the orders with a fencing token below this one: the engine rejects them once it has
    /// accepted an order with it, and one that arrives before voids the condition of that order.
    /// Returns whether any was marked.
    pub(crate) fn supersede(&mut self, token: u64) -> bool {
        let older = |o: &&mut UnansweredOrder| !o.superseded && o.order.fence < token;
        let older = self.orders.iter_mut().filter(older);
        older.map(|o| o.superseded = true).count() > 0
    }

    /// Drops the orders that can't arrive any more.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.orders.retain(|o| now.since(o.sent) < PENDING_TTL_MS);
    }

    /// Whether an attempt to send this order may still arrive.
    pub(crate) fn contains(&self, order: &Order) -> bool {
        self.orders.iter().any(|o| o.order == *order)
    }

    /// The number of orders.
    pub(crate) fn len(&self) -> usize {
        self.orders.len()
    }

    /// Whether there are none.
    pub(crate) fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }
}

//! Orders of which an attempt got no reply.
//!
//! An engine may carry out such an attempt seconds later. Its condition, a number of accepted
//! orders, holds again once the engine has started again and accepted as many, whatever became of
//! other attempts to send the same order. So attempts are remembered for as long as they may
//! arrive, across restarts of the engine and while it is not listed. `docs/PLACEMENT.md` has the
//! rule for the memory of engines.

use crate::engine::PENDING_TTL_MS;
use crate::Order;
use shaleline_types::Millis;

/// The orders for one engine of which an attempt got no reply.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnansweredOrders {
    /// Each with the time of its last attempt.
    orders: Vec<(Order, Millis)>,
}

impl UnansweredOrders {
    /// Records an attempt that got no reply.
    pub(crate) fn record(&mut self, order: Order, now: Millis) {
        self.orders.retain(|(known, _)| *known != order);
        self.orders.push((order, now));
    }

    /// The orders that an engine may still carry out if it has accepted `seq` orders.
    pub(crate) fn open(&self, seq: u64) -> impl Iterator<Item = &Order> {
        let orders = self.orders.iter().map(|(order, _)| order);
        orders.filter(move |order| order.expect >= seq)
    }

    /// Drops the orders that can't arrive any more.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.orders
            .retain(|(_, at)| now.since(*at) < PENDING_TTL_MS);
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

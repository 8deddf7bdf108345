//! The known state of all engines of one service.

use crate::unanswered::UnansweredOrders;
use crate::{Engine, Held, HeldSource, Order, OrderReply};
use shaleline_types::{Adapter, DataCentre, Millis, Model, Upstream};
use std::collections::BTreeMap;

/// The engines.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    pub(crate) engines: BTreeMap<Upstream, Engine>,
    /// The unanswered orders for engines that are not listed at present.
    absent: BTreeMap<Upstream, UnansweredOrders>,
}

impl Fleet {
    /// Updates the state of an engine, which is added if it is unknown.
    pub fn observe(
        &mut self,
        name: &Upstream,
        centre: &DataCentre,
        held: Held,
        from: HeldSource,
        now: Millis,
    ) {
        match self.engines.get_mut(name) {
            Some(engine) => {
                engine.bump_revision();
                engine.observe(held, from, now);
            }
            None => {
                let mut engine = Engine::new(centre.clone(), held.clone(), now);
                engine.unanswered = self.absent.remove(name).unwrap_or_default();
                engine.observe(held, from, now);
                self.engines.insert(name.clone(), engine);
            }
        }
    }

    /// Updates a known engine from its own report, which this daemon asked for at `asked`.
    pub fn report(&mut self, name: &Upstream, held: Held, asked: Millis, now: Millis) {
        if let Some(engine) = self.engine_mut(name) {
            engine.observe(held, HeldSource::Reported { asked }, now);
        }
    }

    /// Updates a known engine from a message of the planner.
    pub fn announce(&mut self, name: &Upstream, held: Held, now: Millis) {
        if let Some(engine) = self.engine_mut(name) {
            engine.observe(held, HeldSource::Announced, now);
        }
    }

    /// Removes from a report the adapters that an order of this daemon unloads.
    pub fn omit_unloading(&self, name: &Upstream, report: &mut Held) {
        if let Some(engine) = self.get(name) {
            engine.omit_unloading(report);
        }
    }

    /// Records that a model or adapter is not held by an engine, or will be unloaded soon.
    pub fn record_absent(
        &mut self,
        name: &Upstream,
        model: &Model,
        adapter: Option<&Adapter>,
        now: Millis,
    ) {
        let Some(engine) = self.engine_mut(name) else {
            return;
        };
        match adapter {
            None => {
                engine.retiring.insert(model.clone(), now);
            }
            Some(adapter) => engine.remove_adapter(model, adapter, now),
        }
    }

    /// Sets whether an engine is leaving.
    pub fn set_leaving(&mut self, name: &Upstream, leaving: bool) {
        if let Some(engine) = self.engine_mut(name) {
            engine.leaving = leaving;
        }
    }

    /// Records that an engine refused a connection.
    pub fn record_unreachable(&mut self, name: &Upstream, now: Millis) {
        if let Some(engine) = self.engine_mut(name) {
            engine.unreachable = Some(now);
            engine.down = true;
        }
    }

    /// Removes an engine. Orders that it may still carry out are kept, as it may be listed again.
    pub fn remove(&mut self, name: &Upstream) {
        let unanswered = self.engines.remove(name).map(|mut e| e.take_unanswered());
        if let Some(unanswered) = unanswered.filter(|u| !u.is_empty()) {
            self.absent.insert(name.clone(), unanswered);
        }
    }

    /// Records that an order is sent.
    pub fn record_sent(&mut self, order: &Order, now: Millis) {
        if let Some(engine) = self.target_mut(order) {
            engine.record_sent(order, now);
        }
    }

    /// Records the reply to an attempt to send an order.
    pub fn record_reply(&mut self, order: &Order, reply: OrderReply, now: Millis) {
        let Some(engine) = self.target_mut(order) else {
            return;
        };
        match reply {
            OrderReply::Accepted => engine.record_accepted(order, false, now),
            OrderReply::Done => {
                engine.record_accepted(order, true, now);
                engine.settle(now);
            }
            OrderReply::Lost => engine.record_unanswered(order, now),
            OrderReply::Conflict
            | OrderReply::Fenced
            | OrderReply::Elsewhere
            | OrderReply::Invalid => engine.record_refused(order),
        }
    }

    /// Learns that every order from now on has this fencing token or a higher one. Only for engines
    /// that check fencing tokens.
    pub fn supersede(&mut self, token: u64) {
        for engine in self.engines.values_mut() {
            if engine.unanswered.supersede(token) {
                engine.bump_revision();
            }
        }
        for unanswered in self.absent.values_mut() {
            unanswered.supersede(token);
        }
    }

    /// Returns an engine for a change of its state.
    fn engine_mut(&mut self, name: &Upstream) -> Option<&mut Engine> {
        let engine = self.engines.get_mut(name)?;
        engine.bump_revision();
        Some(engine)
    }

    /// Returns the engine that an order is for, unless it has restarted since.
    fn target_mut(&mut self, order: &Order) -> Option<&mut Engine> {
        self.engine_mut(&order.engine)
            .filter(|e| e.held.incarnation == order.incarnation)
    }

    /// Drops pending orders and other temporary state that has expired.
    pub fn prune(&mut self, now: Millis) {
        for engine in self.engines.values_mut() {
            engine.prune(now);
        }
        self.absent.retain(|_, unanswered| {
            unanswered.prune(now);
            !unanswered.is_empty()
        });
    }

    /// Returns one engine.
    #[must_use]
    pub fn get(&self, name: &Upstream) -> Option<&Engine> {
        self.engines.get(name)
    }

    /// Iterates over all engines.
    pub fn iter(&self) -> impl Iterator<Item = (&Upstream, &Engine)> {
        self.engines.iter()
    }

    /// The number of engines that serve the model or are loading it.
    #[must_use]
    pub fn replicas(&self, model: &Model) -> usize {
        let serves = |e: &&Engine| e.is_available() && e.will_serve(model);
        self.engines.values().filter(serves).count()
    }

    /// Engines that must report what they hold before they can take orders, or that should have
    /// carried out an order by now.
    pub fn unconfirmed(&self, now: Millis) -> impl Iterator<Item = &Upstream> {
        let engines = self.engines.iter();
        let unconfirmed = engines.filter(move |(_, e)| !e.leaving && e.needs_report(now));
        unconfirmed.map(|(n, _)| n)
    }

    /// Whether an engine serves the adapter now.
    #[must_use]
    pub fn serves_adapter(&self, model: &Model, adapter: &Adapter) -> bool {
        let serves = |e: &Engine| !e.leaving && e.serves_adapter(model, adapter);
        self.engines.values().any(serves)
    }
}

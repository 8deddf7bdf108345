//! All engines of one service, as far as is known.

use crate::{Engine, Held, HeldSource, Order, OrderReply};
use shaleline_types::{Adapter, DataCentre, Millis, Model, Upstream};
use std::collections::BTreeMap;

/// The engines.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    pub(crate) engines: BTreeMap<Upstream, Engine>,
}

impl Fleet {
    /// Takes in what an engine holds.
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
                engine.touch();
                engine.observe(held, from, now);
            }
            None => {
                let mut engine = Engine::new(centre.clone(), held.clone());
                engine.observe(held, from, now);
                self.engines.insert(name.clone(), engine);
            }
        }
    }

    /// Takes in a report of an engine that is known.
    pub fn report(&mut self, name: &Upstream, held: Held, now: Millis) {
        if let Some(engine) = self.change(name) {
            engine.observe(held, HeldSource::Reported, now);
        }
    }

    /// Notes that a model or adapter is not there, or soon won't be.
    pub fn record_absent(
        &mut self,
        name: &Upstream,
        model: &Model,
        adapter: Option<&Adapter>,
        now: Millis,
    ) {
        let Some(engine) = self.change(name) else {
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
        if let Some(engine) = self.change(name) {
            engine.leaving = leaving;
        }
    }

    /// Notes that an engine refused a connection.
    pub fn record_unreachable(&mut self, name: &Upstream, now: Millis) {
        if let Some(engine) = self.change(name) {
            engine.unreachable = Some(now);
            engine.down = true;
        }
    }

    /// Forgets an engine that is gone.
    pub fn remove(&mut self, name: &Upstream) {
        self.engines.remove(name);
    }

    /// Notes that an order leaves.
    pub fn record_sent(&mut self, order: &Order, now: Millis) {
        if let Some(engine) = self.change_meant(order) {
            engine.note_sent(order, now);
        }
    }

    /// Notes the answer to an order.
    pub fn record_reply(&mut self, order: &Order, reply: OrderReply, now: Millis) {
        let Some(engine) = self.change_meant(order) else {
            return;
        };
        match reply {
            OrderReply::Accepted => engine.note_accepted(order, false),
            // An adapter that nobody uses is dropped at once.
            OrderReply::Done if order.drops_adapter() => {
                engine.note_accepted(order, true);
                engine.settle(now);
            }
            OrderReply::Done | OrderReply::Lost => {}
            OrderReply::Conflict
            | OrderReply::Fenced
            | OrderReply::Elsewhere
            | OrderReply::Invalid => engine.note_refused(order),
        }
    }

    /// An engine about which something changes.
    fn change(&mut self, name: &Upstream) -> Option<&mut Engine> {
        let engine = self.engines.get_mut(name)?;
        engine.touch();
        Some(engine)
    }

    /// The engine that an order is meant for, unless it has started again since.
    fn change_meant(&mut self, order: &Order) -> Option<&mut Engine> {
        self.change(&order.engine)
            .filter(|e| e.held.incarnation == order.incarnation)
    }

    /// Drops doubts that have grown old.
    pub fn prune(&mut self, now: Millis) {
        for engine in self.engines.values_mut() {
            engine.prune(now);
        }
    }

    /// One engine.
    #[must_use]
    pub fn get(&self, name: &Upstream) -> Option<&Engine> {
        self.engines.get(name)
    }

    /// All engines.
    pub fn iter(&self) -> impl Iterator<Item = (&Upstream, &Engine)> {
        self.engines.iter()
    }

    /// How many engines serve the model, or will soon.
    #[must_use]
    pub fn replicas(&self, model: &Model) -> usize {
        let serves = |e: &&Engine| e.counts() && e.will_serve(model);
        self.engines.values().filter(serves).count()
    }

    /// Engines that must be asked what they hold before they can be ordered.
    pub fn unconfirmed(&self) -> impl Iterator<Item = &Upstream> {
        let unproven = |(_, e): &(&Upstream, &Engine)| !e.leaving && !e.is_proven();
        self.engines.iter().filter(unproven).map(|(n, _)| n)
    }

    /// Whether an engine serves the adapter now.
    #[must_use]
    pub fn serves_adapter(&self, model: &Model, adapter: &Adapter) -> bool {
        let serves = |e: &Engine| !e.leaving && e.serves_adapter(model, adapter);
        self.engines.values().any(serves)
    }
}

//! The callers of adapters that are lost if the replicas of a model have fewer slots than it has
//! adapters.

use crate::snapshot::Snapshot;

/// The callers a second of each model's adapters that have no slot, by the number of slots.
#[derive(Debug)]
pub(crate) struct Shortage {
    /// For each model, the callers a second of all adapters, of all but the most requested one, of
    /// all but two, and so on.
    unplaced: Vec<Vec<f64>>,
    /// The number of adapters that an engine holds.
    adapter_slots: usize,
}

impl Shortage {
    pub(crate) fn new(snapshot: &Snapshot<'_>) -> Self {
        let mut rates: Vec<Vec<f64>> = vec![Vec::new(); snapshot.models.len()];
        for ((model, adapter), rate) in snapshot.view.rates {
            let number = adapter
                .as_ref()
                .and_then(|_| snapshot.model_index.get(model));
            if let Some(number) = number {
                rates[number].push(f64::from(rate.count));
            }
        }
        Self {
            unplaced: rates.into_iter().map(unplaced).collect(),
            adapter_slots: snapshot.catalog.adapter_slots,
        }
    }

    /// The callers a second without a slot at this number of replicas.
    pub(crate) fn lost(&self, model: usize, replicas: usize) -> f64 {
        let held = replicas * self.adapter_slots;
        self.unplaced[model].get(held).copied().unwrap_or(0.0)
    }

    /// The callers a second that one more replica would serve.
    pub(crate) fn gained(&self, model: usize, replicas: usize) -> f64 {
        // The loss of a model without a replica is counted elsewhere.
        if replicas == 0 {
            return 0.0;
        }
        self.lost(model, replicas) - self.lost(model, replicas + 1)
    }
}

fn unplaced(mut rates: Vec<f64>) -> Vec<f64> {
    rates.sort_by(|a, b| b.total_cmp(a));
    let mut left: f64 = rates.iter().sum();
    let mut unplaced = Vec::with_capacity(rates.len() + 1);
    for rate in rates {
        unplaced.push(left);
        left = (left - rate).max(0.0);
    }
    unplaced
}

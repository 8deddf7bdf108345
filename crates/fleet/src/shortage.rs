//! What callers of adapters lose where a model's replicas have fewer places than it has adapters.

use crate::snapshot::Snapshot;

/// The callers a second of each model's adapters that find no place, by the number of places.
#[derive(Debug)]
pub(crate) struct Shortage {
    /// For each model, the callers of all but the most wanted adapter, all but two, and so on; the
    /// first figure is that of all.
    beyond: Vec<Vec<f64>>,
    /// How many adapters an engine holds.
    places: usize,
}

impl Shortage {
    pub(crate) fn new(snapshot: &Snapshot<'_>) -> Self {
        let mut rates: Vec<Vec<f64>> = vec![Vec::new(); snapshot.models.len()];
        for ((model, adapter), rate) in snapshot.view.rates {
            let number = adapter.as_ref().and_then(|_| snapshot.numbers.get(model));
            if let Some(number) = number {
                rates[number].push(f64::from(rate.count));
            }
        }
        Self {
            beyond: rates.into_iter().map(beyond).collect(),
            places: snapshot.catalog.adapter_slots,
        }
    }

    /// The callers a second that find no place at so many replicas.
    pub(crate) fn lost(&self, model: usize, replicas: usize) -> f64 {
        let held = replicas * self.places;
        self.beyond[model].get(held).copied().unwrap_or(0.0)
    }

    /// The callers a second that one more replica would serve.
    pub(crate) fn gained(&self, model: usize, replicas: usize) -> f64 {
        // What a model loses that is away is counted elsewhere.
        if replicas == 0 {
            return 0.0;
        }
        self.lost(model, replicas) - self.lost(model, replicas + 1)
    }
}

fn beyond(mut rates: Vec<f64>) -> Vec<f64> {
    rates.sort_by(|a, b| b.total_cmp(a));
    let mut left: f64 = rates.iter().sum();
    let mut beyond = Vec::with_capacity(rates.len() + 1);
    for rate in rates {
        beyond.push(left);
        left = (left - rate).max(0.0);
    }
    beyond
}

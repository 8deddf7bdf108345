//! The callers of adapters that are lost while the only engine that could load them carries out an
//! order about weights.

use crate::draft::Draft;
use crate::snapshot::Snapshot;

/// The callers a second that an engine loses if it takes no adapter for some time.
#[derive(Debug)]
pub(crate) struct Blocking {
    /// The callers a second of each model's adapters that no engine holds.
    waiting: Vec<f64>,
    /// The number of engines that serve each model and take orders.
    ready: Vec<usize>,
    /// Whether each engine takes orders, by engine number.
    is_ready: Vec<bool>,
}

impl Blocking {
    pub(crate) fn new(draft: &Draft<'_>) -> Self {
        let snapshot = draft.snapshot;
        let mut waiting = vec![0.0; snapshot.models.len()];
        for key in draft.waiting.unserved.keys() {
            if let Some(number) = snapshot.model_index.get(&key.0) {
                let rate = snapshot.view.rates.get(*key);
                waiting[number] += rate.map_or(0.0, |r| f64::from(r.count));
            }
        }
        let engines = 0..snapshot.engines.len();
        let is_ready: Vec<bool> = engines.map(|e| draft.is_free(e)).collect();
        let ready = |servers: &Vec<usize>| servers.iter().filter(|e| is_ready[**e]).count();
        Self {
            waiting,
            ready: snapshot.servers.iter().map(ready).collect(),
            is_ready,
        }
    }

    /// The callers a second who wait for an adapter that no other engine can load now. Those of the
    /// victim lose more than the time of the order, which is valued elsewhere.
    pub(crate) fn lost_rate(
        &self,
        snapshot: &Snapshot<'_>,
        engine: usize,
        victim: Option<usize>,
    ) -> f64 {
        let own = usize::from(self.is_ready[engine]);
        let serving = snapshot.engines[engine].summary.serving.iter();
        let kept = serving.filter(|m| Some(**m) != victim && self.ready[**m] <= own);
        kept.map(|m| self.waiting[*m]).sum()
    }

    /// Records that the engine has an order about weights.
    pub(crate) fn record_order(&mut self, snapshot: &Snapshot<'_>, engine: usize) {
        if std::mem::take(&mut self.is_ready[engine]) {
            for model in &snapshot.engines[engine].summary.serving {
                self.ready[*model] -= 1;
            }
        }
    }
}

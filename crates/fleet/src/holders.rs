//! The engines that hold each model once the orders in progress are done.

use crate::draft::Draft;
use shaleline_types::Millis;

/// A replica that serves within this time counts as serving.
const SOON: Millis = Millis(1_500);

/// The engines that hold each model once the orders in progress are done.
pub(crate) struct Holders {
    /// Those that serve it now or soon.
    pub(crate) soon: Vec<Vec<usize>>,
    /// Those that serve it in the end.
    pub(crate) later: Vec<Vec<usize>>,
    /// When the first replica of a model serves, for those that do not serve soon.
    pub(crate) due: Vec<Option<Millis>>,
}

impl Holders {
    pub(crate) fn new(draft: &Draft<'_>) -> Self {
        let snapshot = draft.snapshot;
        let mut holders = Self {
            soon: snapshot.servers.clone(),
            later: snapshot.servers.clone(),
            due: vec![None; snapshot.models.len()],
        };
        for (index, entry) in snapshot.engines.iter().enumerate() {
            let reservation = draft.reservation(index);
            for model in &entry.summary.loading {
                if reservation != Some(*model) {
                    let left = entry
                        .summary
                        .busy_until
                        .map(|u| Millis(u.since(snapshot.now)));
                    holders.add(index, *model, left);
                }
            }
            if let Some(model) = reservation.filter(|m| !entry.summary.serving.contains(m)) {
                holders.add(index, model, None);
            }
        }
        for held in holders.soon.iter_mut().chain(&mut holders.later) {
            held.sort_unstable();
        }
        holders
    }

    /// Adds an engine that serves the model after this time, if it is known.
    fn add(&mut self, index: usize, model: usize, left: Option<Millis>) {
        self.later[model].push(index);
        if left.is_some_and(|l| l <= SOON) {
            self.soon[model].push(index);
            return;
        }
        let left = left.unwrap_or(SOON);
        let first = self.due[model].map_or(left, |d| d.min(left));
        self.due[model] = Some(first);
    }
}

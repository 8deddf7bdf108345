//! Who holds each model as the orders under way end.

use crate::draft::Draft;
use shaleline_types::Millis;

/// A replica that serves within this time counts as serving.
const SOON: Millis = Millis(1_500);

/// Who holds each model as the orders under way end.
pub(crate) struct Holders {
    /// Those that serve it now or soon.
    pub(crate) soon: Vec<Vec<usize>>,
    /// Those that serve it in the end.
    pub(crate) later: Vec<Vec<usize>>,
    /// When the first replica of a model is there that is not there soon.
    pub(crate) due: Vec<Option<Millis>>,
}

impl Holders {
    pub(crate) fn new(draft: &Draft<'_>) -> Self {
        let snapshot = draft.snapshot;
        let mut holders = Self {
            soon: snapshot.served.clone(),
            later: snapshot.served.clone(),
            due: vec![None; snapshot.models.len()],
        };
        for (place, site) in snapshot.places.iter().enumerate() {
            let intent = draft.intent(place);
            for model in &site.row.loading {
                if intent != Some(*model) {
                    let left = site.row.busy_until.map(|u| Millis(u.since(snapshot.now)));
                    holders.add(place, *model, left);
                }
            }
            if let Some(model) = intent.filter(|m| !site.row.serving.contains(m)) {
                holders.add(place, model, None);
            }
        }
        for held in holders.soon.iter_mut().chain(&mut holders.later) {
            held.sort_unstable();
        }
        holders
    }

    /// An engine serves the model after this time, where it is known.
    fn add(&mut self, place: usize, model: usize, left: Option<Millis>) {
        self.later[model].push(place);
        if left.is_some_and(|l| l <= SOON) {
            self.soon[model].push(place);
            return;
        }
        let left = left.unwrap_or(SOON);
        let first = self.due[model].map_or(left, |d| d.min(left));
        self.due[model] = Some(first);
    }
}

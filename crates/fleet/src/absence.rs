//! Models that callers ask for while no engine serves them, and for how long.

use crate::planner::Draft;
use crate::PlanNote;
use shaleline_types::{Millis, Model};
use std::collections::BTreeMap;

/// How often a model that stays away is told of again.
const TELL_AGAIN_MS: u64 = 2_000;

/// An absence is forgotten when nobody has asked for the model for so long.
const FORGET_MS: u64 = 30_000;

/// Since when a model has been away.
#[derive(Debug, Clone, Copy)]
struct Absence {
    since: Millis,
    /// When somebody was last seen to ask for it.
    asked: Millis,
    told: Millis,
    /// When it was last looked at.
    seen: Millis,
    /// How many callers came in vain, as far as the rate tells.
    in_vain: f64,
}

/// The models that are away.
#[derive(Debug, Default)]
pub(crate) struct Absences {
    models: BTreeMap<Model, Absence>,
}

impl Absences {
    /// How many callers came in vain for each model since it went away.
    pub(crate) fn in_vain(&self) -> BTreeMap<Model, f64> {
        let models = self.models.iter();
        models.map(|(m, a)| (m.clone(), a.in_vain)).collect()
    }

    /// Takes in what a plan sees; returns what is worth telling.
    pub(crate) fn observe(&mut self, draft: &Draft<'_>) -> Vec<PlanNote> {
        let now = draft.now;
        let mut notes = Vec::new();
        for model in draft.view.catalog.models.keys() {
            if draft.view.fleet.is_served(model) {
                if let Some(absence) = self.models.remove(model) {
                    let away = Millis(now.since(absence.since));
                    let model = model.clone();
                    notes.push(PlanNote::Back { model, away });
                }
            } else if !draft.is_idle(model) {
                notes.extend(self.note_asked(draft, model));
            } else if let Some(absence) = self.models.get_mut(model) {
                absence.seen = now;
            }
        }
        self.models.retain(|_, a| now.since(a.asked) < FORGET_MS);
        notes
    }

    fn note_asked(&mut self, draft: &Draft<'_>, model: &Model) -> Option<PlanNote> {
        let now = draft.now;
        let first = Absence {
            since: now,
            asked: now,
            told: Millis(0),
            seen: now,
            in_vain: 0.0,
        };
        let absence = self.models.entry(model.clone()).or_insert(first);
        let rate = f64::from(draft.asked(model).count);
        absence.in_vain += rate * now.since(absence.seen) as f64 / 1_000.0;
        absence.asked = now;
        absence.seen = now;
        if now.since(absence.told) < TELL_AGAIN_MS {
            return None;
        }
        absence.told = now;
        Some(PlanNote::Away {
            model: model.clone(),
            away: Millis(now.since(absence.since)),
            asked: draft.asked(model).count,
            coming: draft.replicas(model),
            copies: draft.copies(model),
            free: draft.free_engines().count(),
            dropping: draft.view.fleet.dropping(),
            loads: draft.loads,
        })
    }
}

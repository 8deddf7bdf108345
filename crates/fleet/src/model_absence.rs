//! Models that callers ask for while no engine serves them, and for how long.

use crate::draft::Draft;
use crate::snapshot::Snapshot;
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
    /// How many callers came in vain for each model since it went away: as this planner saw, or as
    /// daemons say that told planners before.
    pub(crate) fn in_vain(&self, snapshot: &Snapshot<'_>) -> Vec<f64> {
        let models = 0..snapshot.models.len();
        let mut in_vain: Vec<f64> = models.map(|m| f64::from(snapshot.unmet(m))).collect();
        for (model, absence) in &self.models {
            if let Some(number) = snapshot.numbers.get(model) {
                in_vain[number] = absence.in_vain.max(in_vain[number]);
            }
        }
        in_vain
    }

    /// Takes in what a plan sees; returns what is worth telling.
    pub(crate) fn observe(&mut self, draft: &Draft<'_>) -> Vec<PlanNote> {
        let snapshot = draft.snapshot;
        let now = snapshot.now;
        let mut notes = Vec::new();
        for (number, (model, _)) in snapshot.models.iter().enumerate() {
            if !snapshot.served[number].is_empty() {
                if let Some(absence) = self.models.remove(*model) {
                    let away = Millis(now.since(absence.since));
                    let model = (*model).clone();
                    notes.push(PlanNote::ModelBack { model, away });
                }
            } else if !snapshot.is_idle(number) {
                notes.extend(self.note_asked(draft, number));
            } else if let Some(absence) = self.models.get_mut(*model) {
                absence.seen = now;
            }
        }
        self.models.retain(|_, a| now.since(a.asked) < FORGET_MS);
        notes
    }

    fn note_asked(&mut self, draft: &Draft<'_>, number: usize) -> Option<PlanNote> {
        let snapshot = draft.snapshot;
        let (now, model) = (snapshot.now, snapshot.models[number].0);
        let first = Absence {
            since: now,
            asked: now,
            told: Millis(0),
            seen: now,
            in_vain: 0.0,
        };
        let absence = self.models.entry(model.clone()).or_insert(first);
        let asked = snapshot.asked[number].count;
        absence.in_vain += f64::from(asked) * now.since(absence.seen) as f64 / 1_000.0;
        absence.asked = now;
        absence.seen = now;
        if now.since(absence.told) < TELL_AGAIN_MS {
            return None;
        }
        absence.told = now;
        Some(PlanNote::ModelAway {
            model: model.clone(),
            away: Millis(now.since(absence.since)),
            asked,
            coming: snapshot.replicas(number),
            copies: snapshot.copies(number),
            free: draft.free_places().count(),
            dropping: snapshot.dropping(),
            loads: draft.loads,
        })
    }
}

//! Tracks models that are requested while no engine serves them.

use crate::draft::Draft;
use crate::snapshot::Snapshot;
use crate::PlanNote;
use shaleline_types::{Millis, Model};
use std::collections::BTreeMap;

/// The interval at which the absence of a model is reported.
const REPORT_INTERVAL_MS: u64 = 2_000;

/// An absence is forgotten if the model was not requested for this time.
const EXPIRY_MS: u64 = 30_000;

/// The absence of a model.
#[derive(Debug, Clone, Copy)]
struct Absence {
    since: Millis,
    /// When the model was last seen to be requested.
    last_demand: Millis,
    last_report: Millis,
    /// When the absence was last updated.
    last_seen: Millis,
    /// The number of unserved callers, estimated from the request rate.
    unmet_callers: f64,
}

/// The models without a replica.
#[derive(Debug, Default)]
pub(crate) struct AbsenceTracker {
    models: BTreeMap<Model, Absence>,
}

impl AbsenceTracker {
    /// Returns the number of unserved callers of each model since its absence began, as seen by
    /// this planner or as reported by the daemons that also reported to earlier planners.
    pub(crate) fn unmet_callers(&self, snapshot: &Snapshot<'_>) -> Vec<f64> {
        let models = 0..snapshot.models.len();
        let mut unmet_callers: Vec<f64> = models.map(|m| f64::from(snapshot.unmet(m))).collect();
        for (model, absence) in &self.models {
            if let Some(number) = snapshot.model_index.get(model) {
                unmet_callers[number] = absence.unmet_callers.max(unmet_callers[number]);
            }
        }
        unmet_callers
    }

    /// Updates the absences from the input of a plan; returns what is to be logged.
    pub(crate) fn observe(&mut self, draft: &Draft<'_>) -> Vec<PlanNote> {
        let snapshot = draft.snapshot;
        let now = snapshot.now;
        let mut notes = Vec::new();
        for (number, (model, _)) in snapshot.models.iter().enumerate() {
            if !snapshot.servers[number].is_empty() {
                if let Some(absence) = self.models.remove(*model) {
                    let away = Millis(now.since(absence.since));
                    let model = (*model).clone();
                    notes.push(PlanNote::ModelBack { model, away });
                }
            } else if !snapshot.is_idle(number) {
                notes.extend(self.record_demand(draft, number));
            } else if let Some(absence) = self.models.get_mut(*model) {
                absence.last_seen = now;
            }
        }
        self.models
            .retain(|_, a| now.since(a.last_demand) < EXPIRY_MS);
        notes
    }

    fn record_demand(&mut self, draft: &Draft<'_>, number: usize) -> Option<PlanNote> {
        let snapshot = draft.snapshot;
        let (now, model) = (snapshot.now, snapshot.models[number].0);
        let first = Absence {
            since: now,
            last_demand: now,
            last_report: Millis(0),
            last_seen: now,
            unmet_callers: 0.0,
        };
        let absence = self.models.entry(model.clone()).or_insert(first);
        let asked = snapshot.rates[number].count;
        absence.unmet_callers += f64::from(asked) * now.since(absence.last_seen) as f64 / 1_000.0;
        absence.last_demand = now;
        absence.last_seen = now;
        if now.since(absence.last_report) < REPORT_INTERVAL_MS {
            return None;
        }
        absence.last_report = now;
        Some(PlanNote::ModelAway {
            model: model.clone(),
            away: Millis(now.since(absence.since)),
            asked,
            coming: snapshot.replicas(number),
            copies: snapshot.copies(number),
            free: draft.free_engines().count(),
            dropping: snapshot.unloading(),
            loads: draft.loads,
        })
    }
}

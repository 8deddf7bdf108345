//! What one plan looks at: engines and models by number, and who holds what.

use crate::engine_summary::{Row, Rows};
use crate::model_index::Numbers;
use crate::{Catalog, Engine, ModelProfile, PlanView, Rate};
use shaleline_types::{Millis, Model, Upstream};

/// A model with less work a second than this, in milliseconds, is idle.
const IDLE_WORK: f32 = 0.5;

/// An engine that counts, neither leaving nor down.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Place<'a> {
    pub(crate) name: &'a Upstream,
    pub(crate) engine: &'a Engine,
    pub(crate) row: &'a Row,
    /// How long it is left alone after another planner's order.
    pub(crate) rest: Millis,
}

/// The fleet as one plan sees it. Models have the numbers of [`Numbers`], engines their place
/// among those that count.
pub(crate) struct Snapshot<'a> {
    pub(crate) view: &'a PlanView<'a>,
    pub(crate) catalog: &'a Catalog,
    pub(crate) numbers: &'a Numbers,
    pub(crate) models: Vec<(&'a Model, &'a ModelProfile)>,
    pub(crate) places: Vec<Place<'a>>,
    /// What is asked for of each model, adapters together.
    pub(crate) asked: Vec<Rate>,
    /// How often each model was asked for in vain, adapters together.
    unmet: Vec<u32>,
    /// The places that serve each model.
    pub(crate) served: Vec<Vec<usize>>,
    /// How many places are getting each model.
    coming: Vec<usize>,
    /// How many places have a copy of each model, from which it is loaded within a few seconds.
    copies: Vec<usize>,
    pub(crate) now: Millis,
}

impl<'a> Snapshot<'a> {
    pub(crate) fn new(
        view: &'a PlanView<'a>,
        numbers: &'a Numbers,
        rows: &'a Rows,
        now: Millis,
    ) -> Self {
        let (catalog, fleet) = (view.catalog, view.fleet);
        let rest = |name: &Upstream| {
            let until = view.cooldowns.get(name);
            Millis(until.map_or(0, |u| u.since(now)))
        };
        let engines = fleet.iter().zip(rows.iter());
        let places = engines.filter(|((_, engine), _)| engine.counts());
        let places = places.map(|((name, engine), row)| Place {
            name,
            engine,
            row,
            rest: rest(name),
        });
        let models: Vec<_> = catalog.models.iter().collect();
        let count = models.len();
        let mut snapshot = Self {
            view,
            catalog,
            numbers,
            models,
            places: places.collect(),
            asked: vec![Rate::default(); count],
            unmet: vec![0; count],
            served: vec![Vec::new(); count],
            coming: vec![0; count],
            copies: vec![0; count],
            now,
        };
        snapshot.index();
        snapshot
    }

    /// Notes who holds what, and what is asked for.
    fn index(&mut self) {
        for (number, place) in self.places.iter().enumerate() {
            for model in &place.row.serving {
                self.served[*model].push(number);
            }
            for model in &place.row.loading {
                self.coming[*model] += 1;
            }
            for model in place.row.copied() {
                self.copies[model] += 1;
            }
        }
        for ((model, _), rate) in self.view.rates {
            if let Some(number) = self.numbers.get(model) {
                self.asked[number].add(*rate);
            }
        }
        for ((model, _), unmet) in self.view.unmet {
            if let Some(number) = self.numbers.get(model) {
                self.unmet[number] += unmet.attempts;
            }
        }
    }

    /// How many engines serve the model, or will soon.
    pub(crate) fn replicas(&self, model: usize) -> usize {
        self.served[model].len() + self.coming[model]
    }

    /// Whether an engine is getting the model.
    pub(crate) fn is_coming(&self, model: usize) -> bool {
        self.coming[model] > 0
    }

    /// How many engines have a copy from which the model is loaded within a few seconds.
    pub(crate) fn copies(&self, model: usize) -> usize {
        self.copies[model]
    }

    /// Whether nobody has asked for the model for some seconds, and nobody has in vain.
    pub(crate) fn is_idle(&self, model: usize) -> bool {
        self.asked[model].work <= IDLE_WORK && self.unmet(model) == 0
    }

    /// How often the model was asked for in vain, as daemons say; none where an engine serves it.
    pub(crate) fn unmet(&self, model: usize) -> u32 {
        match self.served[model].is_empty() {
            true => self.unmet[model],
            false => 0,
        }
    }

    /// How many engines are at work on dropping a model.
    pub(crate) fn dropping(&self) -> usize {
        self.places.iter().filter(|p| p.row.dropping).count()
    }
}

//! The input of one plan: engines and models by number, and which engine holds what.

use crate::engine_summary::{EngineSummaries, EngineSummary};
use crate::model_index::ModelIndex;
use crate::{Catalog, Engine, ModelProfile, PlanView, Rate};
use shaleline_types::{Millis, Model, Upstream};

/// A model with less work a second than this, in milliseconds, is idle.
const IDLE_WORK: f32 = 0.5;

/// An engine that is available: neither leaving nor down.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineView<'a> {
    pub(crate) name: &'a Upstream,
    pub(crate) engine: &'a Engine,
    pub(crate) summary: &'a EngineSummary,
    /// The time for which it gets no orders, after one of another planner.
    pub(crate) cooldown: Millis,
}

/// The fleet as seen by one plan. Models are numbered by [`ModelIndex`], engines by their position
/// among the available ones.
pub(crate) struct Snapshot<'a> {
    pub(crate) view: &'a PlanView<'a>,
    pub(crate) catalog: &'a Catalog,
    pub(crate) model_index: &'a ModelIndex,
    pub(crate) models: Vec<(&'a Model, &'a ModelProfile)>,
    pub(crate) engines: Vec<EngineView<'a>>,
    /// The request rate of each model, including its adapters.
    pub(crate) rates: Vec<Rate>,
    /// The number of unserved attempts for each model, including its adapters.
    unmet: Vec<u32>,
    /// The engines that serve each model.
    pub(crate) servers: Vec<Vec<usize>>,
    /// The number of engines that are loading each model.
    loading: Vec<usize>,
    /// The number of engines with a copy of each model, from which it loads within a few seconds.
    copies: Vec<usize>,
    pub(crate) now: Millis,
}

impl<'a> Snapshot<'a> {
    pub(crate) fn new(
        view: &'a PlanView<'a>,
        model_index: &'a ModelIndex,
        summaries: &'a EngineSummaries,
        now: Millis,
    ) -> Self {
        let (catalog, fleet) = (view.catalog, view.fleet);
        let cooldown = |name: &Upstream| {
            let until = view.cooldowns.get(name);
            Millis(until.map_or(0, |u| u.since(now)))
        };
        let engines = fleet.iter().zip(summaries.iter());
        let engines = engines.filter(|((_, engine), _)| engine.is_available());
        let engines = engines.map(|((name, engine), summary)| EngineView {
            name,
            engine,
            summary,
            cooldown: cooldown(name),
        });
        let models: Vec<_> = catalog.models.iter().collect();
        let count = models.len();
        let mut snapshot = Self {
            view,
            catalog,
            model_index,
            models,
            engines: engines.collect(),
            rates: vec![Rate::default(); count],
            unmet: vec![0; count],
            servers: vec![Vec::new(); count],
            loading: vec![0; count],
            copies: vec![0; count],
            now,
        };
        snapshot.index();
        snapshot
    }

    /// Builds the lists by model from the engines, the rates and the unmet demand.
    fn index(&mut self) {
        for (number, entry) in self.engines.iter().enumerate() {
            for model in &entry.summary.serving {
                self.servers[*model].push(number);
            }
            for model in &entry.summary.loading {
                self.loading[*model] += 1;
            }
            for model in entry.summary.copied() {
                self.copies[model] += 1;
            }
        }
        for ((model, _), rate) in self.view.rates {
            if let Some(number) = self.model_index.get(model) {
                self.rates[number].add(*rate);
            }
        }
        for ((model, _), unmet) in self.view.unmet {
            if let Some(number) = self.model_index.get(model) {
                self.unmet[number] += unmet.attempts;
            }
        }
    }

    /// The number of engines that serve the model, or will soon.
    pub(crate) fn replicas(&self, model: usize) -> usize {
        self.servers[model].len() + self.loading[model]
    }

    /// Whether an engine is loading the model.
    pub(crate) fn is_loading(&self, model: usize) -> bool {
        self.loading[model] > 0
    }

    /// The number of engines with a copy from which the model loads within a few seconds.
    pub(crate) fn copies(&self, model: usize) -> usize {
        self.copies[model]
    }

    /// Whether the model has had neither requests nor unmet demand for some seconds.
    pub(crate) fn is_idle(&self, model: usize) -> bool {
        self.rates[model].work <= IDLE_WORK && self.unmet(model) == 0
    }

    /// The number of unserved attempts for the model that daemons report; 0 if an engine serves it.
    pub(crate) fn unmet(&self, model: usize) -> u32 {
        match self.servers[model].is_empty() {
            true => self.unmet[model],
            false => 0,
        }
    }

    /// The number of engines that are unloading a model.
    pub(crate) fn unloading(&self) -> usize {
        self.engines.iter().filter(|p| p.summary.unloading).count()
    }
}

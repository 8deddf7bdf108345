//! How work spreads over the replicas of models, and what that does to callers.
//!
//! Routing sends each request to the replica that is least busy, so the work of a model
//! fills the engines that hold it like water: the least loaded first, until all are level.
//! What is lost on an engine grows steeply with its load, which is why one engine at its
//! limit beside idle ones is the worst that a placement can do. Engines and models are
//! numbers here, as one plan compares thousands of changes.

use crate::Rate;

/// The work that an engine does in a second, in milliseconds.
pub(crate) const CAPACITY: f64 = 1_000.0;

/// The share of requests that are late or refused at an engine at its limit. With 0.4, 624 of
/// 1,000 chats on crowded days are in time, with 0.6 616, by 30 days played.
const AT_LIMIT: f64 = 0.4;

/// A model that nobody asks for counts as this much work, so that it has a place.
const LEAST_WORK: f64 = 0.1;

/// Rounds in which models make way for each other; further rounds hardly change levels.
const ROUNDS: usize = 3;

/// The share of requests that are late or refused on an engine with this load. It is taken
/// to rise with the square of the load; beyond its limit an engine still serves as many as
/// at the limit, so a model on a full engine is better off than one that is nowhere.
pub(crate) fn lost_share(load: f64) -> f64 {
    let used = (load / CAPACITY).max(0.0);
    if used <= 1.0 {
        AT_LIMIT * used * used
    } else {
        1.0 - (1.0 - AT_LIMIT) / used
    }
}

/// What an engine has to do.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Load {
    work: f64,
    /// Requests a second.
    count: f64,
}

impl Load {
    /// The requests that are late or refused there each second.
    fn harm(self) -> f64 {
        lost_share(self.work) * self.count.max(0.0)
    }
}

/// The level up to which `work` fills engines that have this to do besides. `sorted` is room
/// to work in.
fn level(besides: impl Iterator<Item = f64>, work: f64, sorted: &mut Vec<f64>) -> f64 {
    sorted.clear();
    sorted.extend(besides);
    sorted.sort_unstable_by(f64::total_cmp);
    let mut below = work;
    let mut level = f64::INFINITY;
    for (count, own) in sorted.iter().enumerate() {
        if level <= *own {
            break;
        }
        below += own;
        level = below / (count as f64 + 1.0);
    }
    level
}

/// What a change of one model's engines does.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Swap {
    /// By how much the harm falls through the replica that is added.
    pub(crate) gain: f64,
    /// By how much it rises through the one that makes room.
    pub(crate) loss: f64,
}

/// A replica of a model.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Part {
    engine: usize,
    work: f64,
    count: f64,
}

impl Part {
    fn at(engine: usize) -> Self {
        Self {
            engine,
            work: 0.0,
            count: 0.0,
        }
    }
}

/// What is put back after a change was weighed.
#[derive(Debug, Clone, Default)]
struct Saved {
    model: Vec<Part>,
    victim: Vec<Part>,
    loads: Vec<(usize, Load)>,
}

/// The work on each engine, by the model that brings it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Flow {
    loads: Vec<Load>,
    parts: Vec<Vec<Part>>,
    asked: Vec<Rate>,
    /// What is lost while a model is nowhere.
    missing: Vec<f64>,
    sorted: Vec<f64>,
    saved: Saved,
}

impl Flow {
    /// Spreads the work of models over `held`, the engines that hold each. `missing` says
    /// what is lost, in requests a second, while a model is nowhere.
    pub(crate) fn new(
        engines: usize,
        held: &[Vec<usize>],
        asked: &[Rate],
        missing: &[f64],
    ) -> Self {
        let part = |e: &usize| Part::at(*e);
        let mut flow = Self {
            loads: vec![Load::default(); engines],
            parts: held.iter().map(|h| h.iter().map(part).collect()).collect(),
            asked: asked.to_vec(),
            missing: missing.to_vec(),
            ..Self::default()
        };
        for _ in 0..ROUNDS {
            for model in 0..flow.parts.len() {
                flow.take(model);
                flow.give(model);
            }
        }
        flow
    }

    /// What an engine has to do.
    pub(crate) fn load(&self, engine: usize) -> f64 {
        self.loads[engine].work
    }

    /// The requests a second that reach an engine.
    pub(crate) fn count(&self, engine: usize) -> f64 {
        self.loads[engine].count
    }

    /// What a model brings to an engine.
    pub(crate) fn share(&self, model: usize, engine: usize) -> f64 {
        let here = self.parts[model].iter().find(|p| p.engine == engine);
        here.map_or(0.0, |p| p.work)
    }

    /// Whether the engine holds the model.
    pub(crate) fn holds(&self, engine: usize, model: usize) -> bool {
        self.parts[model].iter().any(|p| p.engine == engine)
    }

    /// The engines that hold the model.
    pub(crate) fn engines_of(&self, model: usize) -> impl Iterator<Item = usize> + '_ {
        self.parts[model].iter().map(|p| p.engine)
    }

    /// How many engines hold the model.
    pub(crate) fn replicas(&self, model: usize) -> usize {
        self.parts[model].len()
    }

    /// Whether no engine holds the model.
    pub(crate) fn is_missing(&self, model: usize) -> bool {
        self.parts[model].is_empty()
    }

    /// What is lost, in requests a second, while the model is nowhere.
    pub(crate) fn missing(&self, model: usize) -> f64 {
        self.missing[model]
    }

    /// The part of the harm that this model's work has, itself or its engines being short.
    pub(crate) fn harm_of(&self, model: usize) -> f64 {
        if self.parts[model].is_empty() {
            return self.missing[model];
        }
        let part = |p: &Part| lost_share(self.loads[p.engine].work) * p.count;
        self.parts[model].iter().map(part).sum()
    }

    /// All the harm on the engines that hold the model: more than that no move of it mends.
    pub(crate) fn harm_around(&self, model: usize) -> f64 {
        let parts = self.parts[model].iter();
        let harm: f64 = parts.map(|p| self.loads[p.engine].harm()).sum();
        harm + if self.is_missing(model) {
            self.missing[model]
        } else {
            0.0
        }
    }

    /// Takes a model's work off its engines.
    fn take(&mut self, model: usize) {
        for part in &self.parts[model] {
            let load = &mut self.loads[part.engine];
            load.work -= part.work;
            load.count -= part.count;
        }
    }

    /// Spreads a model's work, which is on no engine, over those that hold it.
    fn give(&mut self, model: usize) {
        let loads = &mut self.loads;
        let parts = &mut self.parts[model];
        let besides = parts.iter().map(|p| loads[p.engine].work);
        let work = f64::from(self.asked[model].work).max(LEAST_WORK);
        let level = level(besides, work, &mut self.sorted);
        let each = f64::from(self.asked[model].count) / work;
        for part in parts {
            let load = &mut loads[part.engine];
            part.work = (level - load.work).max(0.0);
            part.count = part.work * each;
            load.work += part.work;
            load.count += part.count;
        }
    }

    /// The harm on the engines of a model and on `engine`, and of the model if it is nowhere.
    fn harm_at(&self, model: usize, engine: usize) -> f64 {
        let parts = &self.parts[model];
        let known = parts.iter().any(|p| p.engine == engine);
        let extra = (!known).then(|| self.loads[engine].harm());
        let lost = parts.is_empty().then(|| self.missing[model]);
        let parts = parts.iter().map(|p| self.loads[p.engine].harm());
        parts.sum::<f64>() + extra.unwrap_or(0.0) + lost.unwrap_or(0.0)
    }

    /// Gives a model one more engine; returns by how much the harm falls.
    pub(crate) fn add(&mut self, model: usize, engine: usize) -> f64 {
        let before = self.harm_at(model, engine);
        self.take(model);
        self.parts[model].push(Part::at(engine));
        self.give(model);
        before - self.harm_at(model, engine)
    }

    /// Takes a model off an engine; returns by how much the harm rises.
    pub(crate) fn remove(&mut self, model: usize, engine: usize) -> f64 {
        let before = self.harm_at(model, engine);
        self.take(model);
        self.parts[model].retain(|p| p.engine != engine);
        self.give(model);
        self.harm_at(model, engine) - before
    }

    /// What it would do to load `model` at `engine`, in place of `victim` where given.
    pub(crate) fn weigh(&mut self, model: usize, engine: usize, victim: Option<usize>) -> Swap {
        self.save(model, engine, victim);
        let loss = victim.map_or(0.0, |v| self.remove(v, engine));
        let gain = self.add(model, engine);
        self.restore(model, victim);
        Swap { gain, loss }
    }

    /// Keeps what a change touches, without an allocation once there was a change as large.
    fn save(&mut self, model: usize, engine: usize, victim: Option<usize>) {
        let saved = &mut self.saved;
        saved.model.clone_from(&self.parts[model]);
        saved.victim.clear();
        if let Some(victim) = victim {
            saved.victim.clone_from(&self.parts[victim]);
        }
        saved.loads.clear();
        let parts = saved.model.iter().chain(&saved.victim);
        let engines = parts.map(|p| p.engine).chain([engine]);
        saved.loads.extend(engines.map(|e| (e, self.loads[e])));
    }

    fn restore(&mut self, model: usize, victim: Option<usize>) {
        let saved = &self.saved;
        self.parts[model].clone_from(&saved.model);
        if let Some(victim) = victim {
            self.parts[victim].clone_from(&saved.victim);
        }
        for (engine, load) in &saved.loads {
            self.loads[*engine] = *load;
        }
    }
}

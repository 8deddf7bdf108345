//! Models how work spreads over the replicas of models, and how many requests are lost by it.
//!
//! Routing sends each request to the least busy replica, so the work of a model is distributed by
//! water-filling: to the least loaded of its engines first, until all have the same load. The
//! requests lost on an engine grow steeply with its load, so one engine at its limit beside idle
//! ones is the worst placement. Engines and models are numbers here, as one plan compares thousands
//! of changes.

use crate::Rate;

/// The work that an engine does in a second, in milliseconds.
pub(crate) const CAPACITY: f64 = 1_000.0;

/// The share of requests that are late or refused at an engine at its limit. With a larger share,
/// fewer chats are in time on overloaded days.
const LOST_AT_LIMIT: f64 = 0.4;

/// A model without requests counts as this much work, so that it is placed at all.
const MIN_WORK: f64 = 0.1;

/// Rounds in which the work of each model is distributed again given that of the others; further
/// rounds hardly change the loads.
const ROUNDS: usize = 3;

/// The share of requests that are late or refused on an engine with this load. It grows with the
/// square of the load. Beyond its limit an engine still serves as many requests as at the limit, so
/// a model on a full engine is better off than one without a replica.
pub(crate) fn lost_share(load: f64) -> f64 {
    let used = (load / CAPACITY).max(0.0);
    if used <= 1.0 {
        LOST_AT_LIMIT * used * used
    } else {
        1.0 - (1.0 - LOST_AT_LIMIT) / used
    }
}

/// The load of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Load {
    work: f64,
    /// Requests a second.
    count: f64,
}

impl Load {
    /// The requests that are late or refused there each second.
    fn lost_rate(self) -> f64 {
        lost_share(self.work) * self.count.max(0.0)
    }
}

/// The level to which `work` fills engines that already have `other_work`. `scratch` is a reused
/// buffer.
fn level(other_work: impl Iterator<Item = f64>, work: f64, scratch: &mut Vec<f64>) -> f64 {
    scratch.clear();
    scratch.extend(other_work);
    scratch.sort_unstable_by(f64::total_cmp);
    let mut below = work;
    let mut level = f64::INFINITY;
    for (count, own) in scratch.iter().enumerate() {
        if level <= *own {
            break;
        }
        below += own;
        level = below / (count as f64 + 1.0);
    }
    level
}

/// The effect of a change of the replicas of one model.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct LossChange {
    /// The decrease of the lost requests a second by the added replica.
    pub(crate) gain: f64,
    /// The increase of the lost requests a second by the evicted replica.
    pub(crate) loss: f64,
}

/// A replica of a model.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ReplicaLoad {
    engine: usize,
    work: f64,
    count: f64,
}

impl ReplicaLoad {
    fn at(engine: usize) -> Self {
        Self {
            engine,
            work: 0.0,
            count: 0.0,
        }
    }
}

/// The state that is restored after a change was evaluated.
#[derive(Debug, Clone, Default)]
struct SavedState {
    model: Vec<ReplicaLoad>,
    victim: Vec<ReplicaLoad>,
    loads: Vec<(usize, Load)>,
}

/// The work on each engine, by model.
#[derive(Debug, Clone, Default)]
pub(crate) struct Distribution {
    loads: Vec<Load>,
    replicas: Vec<Vec<ReplicaLoad>>,
    rates: Vec<Rate>,
    /// The requests a second that are lost while a model has no replica.
    absent_loss: Vec<f64>,
    scratch: Vec<f64>,
    saved: SavedState,
}

impl Distribution {
    /// Distributes the work of models over `held`, the engines that hold each. `absent_loss` is the
    /// requests a second that are lost while a model has no replica.
    pub(crate) fn new(
        engines: usize,
        held: &[Vec<usize>],
        rates: &[Rate],
        absent_loss: &[f64],
    ) -> Self {
        let replica = |e: &usize| ReplicaLoad::at(*e);
        let mut distribution = Self {
            loads: vec![Load::default(); engines],
            replicas: held
                .iter()
                .map(|h| h.iter().map(replica).collect())
                .collect(),
            rates: rates.to_vec(),
            absent_loss: absent_loss.to_vec(),
            ..Self::default()
        };
        for _ in 0..ROUNDS {
            for model in 0..distribution.replicas.len() {
                distribution.clear_work(model);
                distribution.distribute(model);
            }
        }
        distribution
    }

    /// The work on an engine.
    pub(crate) fn load(&self, engine: usize) -> f64 {
        self.loads[engine].work
    }

    /// The requests a second that reach an engine.
    pub(crate) fn count(&self, engine: usize) -> f64 {
        self.loads[engine].count
    }

    /// The work of a model on an engine.
    pub(crate) fn share(&self, model: usize, engine: usize) -> f64 {
        let here = self.replicas[model].iter().find(|p| p.engine == engine);
        here.map_or(0.0, |p| p.work)
    }

    /// Whether the engine holds the model.
    pub(crate) fn holds(&self, engine: usize, model: usize) -> bool {
        self.replicas[model].iter().any(|p| p.engine == engine)
    }

    /// The engines that hold the model.
    pub(crate) fn engines_of(&self, model: usize) -> impl Iterator<Item = usize> + '_ {
        self.replicas[model].iter().map(|p| p.engine)
    }

    /// The number of engines that hold the model.
    pub(crate) fn replicas(&self, model: usize) -> usize {
        self.replicas[model].len()
    }

    /// Whether no engine holds the model.
    pub(crate) fn is_missing(&self, model: usize) -> bool {
        self.replicas[model].is_empty()
    }

    /// The requests a second that are lost while the model has no replica.
    pub(crate) fn absent_loss(&self, model: usize) -> f64 {
        self.absent_loss[model]
    }

    /// The requests a second of this model that are lost, on its engines or for lack of a replica.
    pub(crate) fn lost_rate_of(&self, model: usize) -> f64 {
        if self.replicas[model].is_empty() {
            return self.absent_loss[model];
        }
        let replica = |p: &ReplicaLoad| lost_share(self.loads[p.engine].work) * p.count;
        self.replicas[model].iter().map(replica).sum()
    }

    /// All requests a second that are lost on the engines that hold the model: an upper limit of
    /// what a move of it can save.
    pub(crate) fn lost_rate_around(&self, model: usize) -> f64 {
        let replicas = self.replicas[model].iter();
        let lost_rate: f64 = replicas.map(|p| self.loads[p.engine].lost_rate()).sum();
        lost_rate
            + if self.is_missing(model) {
                self.absent_loss[model]
            } else {
                0.0
            }
    }

    /// Removes the work of a model from its engines.
    fn clear_work(&mut self, model: usize) {
        for replica in &self.replicas[model] {
            let load = &mut self.loads[replica.engine];
            load.work -= replica.work;
            load.count -= replica.count;
        }
    }

    /// Distributes the work of a model, which must be on no engine, over its replicas.
    fn distribute(&mut self, model: usize) {
        let loads = &mut self.loads;
        let replicas = &mut self.replicas[model];
        let other_work = replicas.iter().map(|p| loads[p.engine].work);
        let work = f64::from(self.rates[model].work).max(MIN_WORK);
        let level = level(other_work, work, &mut self.scratch);
        let rate_per_work = f64::from(self.rates[model].count) / work;
        for replica in replicas {
            let load = &mut loads[replica.engine];
            replica.work = (level - load.work).max(0.0);
            replica.count = replica.work * rate_per_work;
            load.work += replica.work;
            load.count += replica.count;
        }
    }

    /// The requests a second that are lost on the engines of a model and on `engine`, and those of
    /// the model itself if it has no replica.
    fn lost_rate_at(&self, model: usize, engine: usize) -> f64 {
        let replicas = &self.replicas[model];
        let known = replicas.iter().any(|p| p.engine == engine);
        let extra = (!known).then(|| self.loads[engine].lost_rate());
        let lost = replicas.is_empty().then(|| self.absent_loss[model]);
        let replicas = replicas.iter().map(|p| self.loads[p.engine].lost_rate());
        replicas.sum::<f64>() + extra.unwrap_or(0.0) + lost.unwrap_or(0.0)
    }

    /// Adds a replica of a model; returns the decrease of the lost requests a second.
    pub(crate) fn add(&mut self, model: usize, engine: usize) -> f64 {
        let before = self.lost_rate_at(model, engine);
        self.clear_work(model);
        self.replicas[model].push(ReplicaLoad::at(engine));
        self.distribute(model);
        before - self.lost_rate_at(model, engine)
    }

    /// Removes a replica of a model; returns the increase of the lost requests a second.
    pub(crate) fn remove(&mut self, model: usize, engine: usize) -> f64 {
        let before = self.lost_rate_at(model, engine);
        self.clear_work(model);
        self.replicas[model].retain(|p| p.engine != engine);
        self.distribute(model);
        self.lost_rate_at(model, engine) - before
    }

    /// Evaluates loading `model` at `engine`, in place of `victim` if given, and restores the
    /// state.
    pub(crate) fn evaluate(
        &mut self,
        model: usize,
        engine: usize,
        victim: Option<usize>,
    ) -> LossChange {
        self.save(model, engine, victim);
        let loss = victim.map_or(0.0, |v| self.remove(v, engine));
        let gain = self.add(model, engine);
        self.restore(model, victim);
        LossChange { gain, loss }
    }

    /// Saves the state that a change modifies. The buffers are reused, so that nothing is allocated
    /// once they are large enough.
    fn save(&mut self, model: usize, engine: usize, victim: Option<usize>) {
        let saved = &mut self.saved;
        saved.model.clone_from(&self.replicas[model]);
        saved.victim.clear();
        if let Some(victim) = victim {
            saved.victim.clone_from(&self.replicas[victim]);
        }
        saved.loads.clear();
        let replicas = saved.model.iter().chain(&saved.victim);
        let engines = replicas.map(|p| p.engine).chain([engine]);
        saved.loads.extend(engines.map(|e| (e, self.loads[e])));
    }

    fn restore(&mut self, model: usize, victim: Option<usize>) {
        let saved = &self.saved;
        self.replicas[model].clone_from(&saved.model);
        if let Some(victim) = victim {
            self.replicas[victim].clone_from(&saved.victim);
        }
        for (engine, load) in &saved.loads {
            self.loads[*engine] = *load;
        }
    }
}

//! The decisions of a plan and their reasons, for the log.

use shaleline_types::{Adapter, Millis, Model, Upstream};
use std::fmt;

/// One decision, with the figures behind it.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanNote {
    /// A model is loaded at an engine, or room is made for it there.
    Move {
        /// The model.
        model: Model,
        /// The engine.
        engine: Upstream,
        /// The evicted model.
        victim: Option<Model>,
        /// The value of the move, in requests over the horizon.
        value: f64,
        /// The request rates of the model and of the evicted one, in requests a second.
        asked: (f32, f32),
        /// Whether the model is loaded from the weight store.
        from_store: bool,
        /// The loads from the weight store that could begin before this one.
        loads: usize,
    },
    /// A requested model has no replica.
    ModelAway {
        /// The model.
        model: Model,
        /// The duration of its absence.
        away: Millis,
        /// Its request rate, in requests a second.
        asked: f32,
        /// The number of engines that are loading it.
        coming: usize,
        /// The number of engines with a copy.
        copies: usize,
        /// The number of engines that could be ordered now.
        free: usize,
        /// The number of engines that are unloading a model.
        dropping: usize,
        /// The number of loads from the weight store that may begin.
        loads: usize,
    },
    /// Callers wait for an adapter that no engine holds.
    AdapterAway {
        /// The model.
        model: Model,
        /// The adapter.
        adapter: Adapter,
        /// The duration of the wait.
        waited: Millis,
        /// Its request rate, in requests a second.
        asked: f32,
        /// The number of engines that serve the model.
        serving: usize,
        /// The reason why it is not being loaded.
        why: WaitReason,
    },
    /// A model with unmet demand is served again.
    ModelBack {
        /// The model.
        model: Model,
        /// The duration of its absence.
        away: Millis,
    },
}

/// The reason why no engine holds an adapter that callers wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// No engine serves its model.
    ModelAway,
    /// Every engine that serves its model has an order in progress, or gets no orders for some
    /// time.
    EnginesBusy,
    /// All slots hold adapters that were loaded just now, or that are requested and not to be
    /// evicted.
    NoSlot,
    /// It is ordered now.
    Ordered,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ModelAway => "model-away",
            Self::EnginesBusy => "engines-busy",
            Self::NoSlot => "no-place",
            Self::Ordered => "ordered",
        })
    }
}

impl PlanNote {
    /// The engine that is to be ordered.
    #[must_use]
    pub fn engine(&self) -> Option<&Upstream> {
        match self {
            Self::Move { engine, .. } => Some(engine),
            Self::ModelAway { .. } | Self::AdapterAway { .. } | Self::ModelBack { .. } => None,
        }
    }
}

impl fmt::Display for PlanNote {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Move {
                model,
                engine,
                victim,
                value,
                asked: (model_asked, victim_asked),
                from_store,
                loads,
            } => {
                write!(f, "model={model} upstream={engine} value={value:.1}")?;
                write!(f, " asked={model_asked:.2} far={from_store} loads={loads}")?;
                match victim {
                    Some(victim) => write!(f, " victim={victim} victim_asked={victim_asked:.2}"),
                    None => Ok(()),
                }
            }
            Self::ModelAway {
                model,
                away,
                asked,
                coming,
                copies,
                free,
                dropping,
                loads,
            } => {
                write!(f, "model={model} away_ms={} asked={asked:.2}", away.0)?;
                write!(f, " coming={coming} copies={copies} free={free}")?;
                write!(f, " dropping={dropping} loads={loads}")
            }
            Self::AdapterAway {
                model,
                adapter,
                waited,
                asked,
                serving,
                why,
            } => {
                write!(f, "model={model}+{adapter} waited_ms={}", waited.0)?;
                write!(f, " asked={asked:.2} serving={serving} why={why}")
            }
            Self::ModelBack { model, away } => write!(f, "model={model} away_ms={}", away.0),
        }
    }
}

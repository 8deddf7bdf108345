//! What a plan decided and why, for the log.

use shaleline_types::{Adapter, Millis, Model, Upstream};
use std::fmt;

/// One decision, with what decided it.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanNote {
    /// A model is loaded at an engine, or room is made for it there.
    Move {
        /// The model.
        model: Model,
        /// Where.
        engine: Upstream,
        /// The model that makes room.
        victim: Option<Model>,
        /// What the move is worth, in requests over the horizon.
        value: f64,
        /// What is asked for of the model and of the one that makes room, in requests a second.
        asked: (f32, f32),
        /// Whether it comes from the weight store, and how many loads from there may begin.
        from_store: bool,
        /// The loads from the weight store that might begin before this one.
        loads: usize,
    },
    /// Callers ask for a model that no engine serves.
    ModelAway {
        /// The model.
        model: Model,
        /// For how long.
        away: Millis,
        /// What is asked for, in requests a second.
        asked: f32,
        /// How many engines are getting it.
        coming: usize,
        /// How many engines have a copy.
        copies: usize,
        /// How many engines could be ordered now.
        free: usize,
        /// How many engines are at work on dropping a model.
        dropping: usize,
        /// How many loads from the weight store may begin.
        loads: usize,
    },
    /// Callers wait for an adapter that no engine has.
    AdapterAway {
        /// The model.
        model: Model,
        /// The adapter.
        adapter: Adapter,
        /// For how long.
        waited: Millis,
        /// What is asked for of it, in requests a second.
        asked: f32,
        /// How many engines serve the model.
        serving: usize,
        /// Why none of them is getting it.
        why: WaitReason,
    },
    /// A model that callers asked for in vain is served again.
    ModelBack {
        /// The model.
        model: Model,
        /// For how long it was away.
        away: Millis,
    },
}

/// Why an adapter that callers wait for is at no engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// No engine serves its model.
    ModelAway,
    /// Each engine that serves its model is at work on an order, or is left alone for a while.
    EnginesBusy,
    /// Their places are taken by what came a moment ago, or is asked for and not to make room.
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

//! Sequential specifications for the linearizability checker (WGL) of `todc-utils`.
//!
//! The log or the service decides the outcome of an operation whose caller got no answer:
//! if it took effect, it did so at some time after its call; otherwise it is left out.

use todc_utils::linearizability::history::{Action, History};
use todc_utils::linearizability::WGLChecker;
use todc_utils::specifications::Specification;

/// A change of one object, from a base version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigEvent {
    /// The change was accepted: `base` was the current version and `version` replaced it.
    Accepted {
        /// The version that the change is based on; 0 for none.
        base: u64,
        /// The version that the change created.
        version: u64,
    },
    /// The change was refused because `base` was not current.
    Refused {
        /// The version that the change is based on; 0 for none.
        base: u64,
    },
}

/// A versioned object that is changed by compare-and-swap.
#[derive(Debug)]
pub struct ConfigSpec;

impl Specification for ConfigSpec {
    type State = u64;
    type Operation = ConfigEvent;

    fn init() -> u64 {
        0
    }

    fn apply(event: &ConfigEvent, state: &u64) -> (bool, u64) {
        match event {
            ConfigEvent::Accepted { base, version } => (base == state && version > state, *version),
            ConfigEvent::Refused { base } => (base != state, *state),
        }
    }
}

/// The outcome of a claim of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The lease was acquired with this fencing token.
    Taken(u64),
    /// The claim had no effect.
    NoEffect,
}

/// A lease whose fencing tokens strictly increase.
#[derive(Debug)]
pub struct LeaseSpec;

impl Specification for LeaseSpec {
    type State = u64;
    type Operation = LeaseEvent;

    fn init() -> u64 {
        0
    }

    fn apply(event: &LeaseEvent, state: &u64) -> (bool, u64) {
        match event {
            LeaseEvent::Taken(fence) => (fence > state, *fence),
            LeaseEvent::NoEffect => (true, *state),
        }
    }
}

/// The answer that the caller of a keyed request received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnceEvent {
    /// This attempt was executed.
    Ran(u64),
    /// The stored answer of this earlier attempt was returned.
    Kept(u64),
    /// The request was not executed, whether or not its caller knows.
    NotRun,
}

/// A key that is executed at most once and whose answer never changes.
#[derive(Debug)]
pub struct OnceSpec;

impl Specification for OnceSpec {
    type State = Option<u64>;
    type Operation = OnceEvent;

    fn init() -> Option<u64> {
        None
    }

    fn apply(event: &OnceEvent, state: &Option<u64>) -> (bool, Option<u64>) {
        match event {
            OnceEvent::Ran(attempt) => (state.is_none(), Some(*attempt)),
            OnceEvent::Kept(attempt) => (*state == Some(*attempt), *state),
            OnceEvent::NotRun => (true, *state),
        }
    }
}

/// One operation of a history: the steps of its call and answer, and its outcome.
pub(crate) struct Operation<E> {
    pub(crate) called: u64,
    pub(crate) answered: u64,
    pub(crate) event: E,
}

/// Whether a history is linearizable; an empty history is.
pub(crate) fn is_linearizable<S: Specification>(operations: &[Operation<S::Operation>]) -> bool
where
    S::Operation: Copy,
{
    let mut actions = Vec::new();
    for (process, operation) in operations.iter().enumerate() {
        actions.push((
            operation.called,
            false,
            process,
            Action::Call(operation.event),
        ));
        actions.push((
            operation.answered,
            true,
            process,
            Action::Response(operation.event),
        ));
    }
    actions.sort_by_key(|(step, answer, process, _)| (*step, *answer, *process));
    if actions.is_empty() {
        return true;
    }
    let actions = actions
        .into_iter()
        .map(|(_, _, process, action)| (process, action));
    WGLChecker::<S>::is_linearizable(History::from_actions(actions.collect()))
}

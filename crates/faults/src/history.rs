//! What concurrent histories are checked against, by the WGL checker of `todc-utils`.
//!
//! An operation whose caller got no answer is resolved from the log or the service: if it
//! took effect, it did so at some time after its call; if not, it is no operation.

use todc_utils::linearizability::history::{Action, History};
use todc_utils::linearizability::WGLChecker;
use todc_utils::specifications::Specification;

/// A change of one object, from a base version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigEvent {
    /// The change was accepted: `base` was current, `version` is now.
    Accepted {
        /// The version it was made from; 0 for none.
        base: u64,
        /// The version it made.
        version: u64,
    },
    /// The change was refused because `base` was not current.
    Refused {
        /// The version it was made from; 0 for none.
        base: u64,
    },
}

/// An object with a version, changed by compare-and-swap.
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

/// A claim of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEvent {
    /// It was taken under a fencing number.
    Taken(u64),
    /// The claim had no effect.
    Void,
}

/// A lease whose fencing numbers only grow.
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
            LeaseEvent::Void => (true, *state),
        }
    }
}

/// A keyed request, as its caller was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnceEvent {
    /// This attempt ran.
    Ran(u64),
    /// The answer of an earlier attempt was given.
    Kept(u64),
    /// Nothing ran, or it is not known and nothing did.
    Nothing,
}

/// A key that runs at most once and whose answer never changes.
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
            OnceEvent::Nothing => (true, *state),
        }
    }
}

/// One operation of a history: when it was called and answered, and how it went.
pub(crate) struct Operation<E> {
    pub(crate) called: u64,
    pub(crate) answered: u64,
    pub(crate) event: E,
}

/// Whether a history is linearizable. An empty one is.
pub(crate) fn is_linearizable<S: Specification>(operations: &[Operation<S::Operation>]) -> bool
where
    S::Operation: Copy,
{
    let mut actions = Vec::new();
    for (process, o) in operations.iter().enumerate() {
        actions.push((o.called, false, process, Action::Call(o.event)));
        actions.push((o.answered, true, process, Action::Response(o.event)));
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

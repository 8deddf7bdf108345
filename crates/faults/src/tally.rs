//! Counts of steps, faults, checks and violations.

use serde::Serialize;
use std::collections::BTreeMap;

macro_rules! invariants {
    ($($name:ident $text:literal;)+) => {
        /// A property that must hold throughout a run.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Invariant {
            $(#[doc = $text] $name,)+
        }

        impl Invariant {
            /// Every invariant.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// A description of the invariant.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)+ }
            }
        }
    };
}

invariants! {
    Memory "no memory is promised beyond an accelerator's";
    Reachable "a model that is reachable stays so";
    OwnAnswer "an answer counts only for its own request and attempt";
    NotRun "what was told as not run did not run";
    Once "a request that must not be repeated runs at most once";
    Leaving "a leaving upstream gets no new work";
    PlannedStop "a planned stop cuts off nothing";
    Config "an accepted configuration is in force everywhere and never reverts";
    Log "a record takes effect once, in the same order everywhere";
    Limits "an organisation's limits and an upstream's places hold";
    Settled "every request is answered exactly once";
}

/// A violation and the seed that reproduces it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// The seed of the run.
    pub seed: u64,
    /// The step at which the check failed.
    pub step: u64,
    /// A description of the violation.
    pub text: String,
}

/// Counts of one or more runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// Steps run.
    pub steps: u64,
    /// Faults injected.
    pub faults: u64,
    /// Checks made.
    pub checks: u64,
    /// Checks that failed.
    pub violations: u64,
}

/// Counts per invariant.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    seed: u64,
    step: u64,
    faults: u64,
    counts: BTreeMap<Invariant, Outcome>,
    violations: Vec<Violation>,
}

impl Tally {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    pub(crate) fn next_step(&mut self) {
        self.step += 1;
    }

    /// Whether no check of this run has failed. A run stops at its first violation, because
    /// the linearizability checker may not terminate in practice on an invalid history.
    pub(crate) fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    pub(crate) fn count_fault(&mut self) {
        self.faults += 1;
    }

    /// Checks an invariant; `text` is called only if it does not hold.
    pub(crate) fn check(
        &mut self,
        invariant: Invariant,
        holds: bool,
        text: impl FnOnce() -> String,
    ) {
        let count = self.counts.entry(invariant).or_default();
        count.checks += 1;
        if !holds {
            count.violations += 1;
            self.violations.push(Violation {
                invariant,
                seed: self.seed,
                step: self.step,
                text: text(),
            });
        }
    }

    /// Sets the run's steps and faults on every invariant that it checked.
    pub(crate) fn finish(mut self) -> Self {
        for count in self.counts.values_mut() {
            count.steps = self.step;
            count.faults = self.faults;
        }
        self
    }

    /// Adds another run's counts.
    pub fn add(&mut self, other: Self) {
        for (invariant, added) in other.counts {
            let count = self.counts.entry(invariant).or_default();
            count.steps += added.steps;
            count.faults += added.faults;
            count.checks += added.checks;
            count.violations += added.violations;
        }
        self.violations.extend(other.violations);
    }

    /// Returns the counts of an invariant.
    #[must_use]
    pub fn outcome(&self, invariant: Invariant) -> Outcome {
        self.counts.get(&invariant).cloned().unwrap_or_default()
    }

    /// All violations.
    #[must_use]
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }
}

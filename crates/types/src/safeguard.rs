//! Test-only switches that suspend one safeguard, so that the randomised runs can show
//! that they would notice its absence. No daemon ever suspends one.

use std::sync::atomic::{AtomicU32, Ordering};

static SUSPENDED: AtomicU32 = AtomicU32::new(0);

macro_rules! safeguards {
    ($($name:ident $code:literal $doc:literal;)+) => {
        /// A check that the invariants rest on.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Safeguard {
            $(#[doc = $doc] $name,)+
        }

        impl Safeguard {
            /// Every safeguard.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// The word that stands on the command line.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $code,)+ }
            }

            /// What the safeguard does.
            #[must_use]
            pub const fn description(self) -> &'static str {
                match self { $(Self::$name => $doc,)+ }
            }
        }
    };
}

safeguards! {
    RecordIdentity "record-identity" "Replay drops a record whose identity it has seen.";
    VersionCheck "version-check" "A change is accepted only if made from the version in force.";
    SnapshotChoice "snapshot-choice" "A reader takes the snapshot that reaches furthest.";
    GapCheck "gap-check" "A reader refuses a gap between snapshot and oldest record.";
    BegunReplay "begun-replay" "A keyed request is sent only once its own `begun` was replayed as valid.";
    DeadAttempt "dead-attempt" "An attempt that was given up is never sent, even when its `begun` lands later.";
    IntentFirst "intent-first" "An order is sent only once its intent was replayed as valid.";
    WorstCase "worst-case" "The ledger counts loads and unloads in doubt as memory used.";
    LastReplica "last-replica" "The last reachable replica of a model is not unloaded.";
    LeavingStop "leaving-stop" "An upstream that is leaving gets no new work.";
    AttemptMatch "attempt-match" "An answer counts only for the attempt it was made for.";
    DrainStop "drain-stop" "A stopping daemon waits for what is in flight.";
}

impl Safeguard {
    /// Whether the check is in force, which it is but in the runs that test the checker.
    #[must_use]
    pub fn is_active(self) -> bool {
        SUSPENDED.load(Ordering::Relaxed) & (1 << self as u32) == 0
    }

    /// Suspends this check for the rest of the process's life.
    #[doc(hidden)]
    pub fn suspend(self) {
        SUSPENDED.fetch_or(1 << self as u32, Ordering::Relaxed);
    }
}

//! Test-only switches that disable one safeguard, so that the randomised tests can verify that
//! they detect its absence. A daemon never disables a safeguard.

use std::sync::atomic::{AtomicU32, Ordering};

static DISABLED: AtomicU32 = AtomicU32::new(0);

macro_rules! safeguards {
    ($($name:ident $code:literal $doc:literal;)+) => {
        /// A check that the invariants depend on.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Safeguard {
            $(#[doc = $doc] $name,)+
        }

        impl Safeguard {
            /// Every safeguard.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// The name of the safeguard on the command line.
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
    RecordIdentity "record-identity" "Replay drops a record whose identity it has already applied.";
    VersionCheck "version-check" "A change is accepted only if it is based on the version in force.";
    SnapshotChoice "snapshot-choice" "A reader takes the snapshot that reaches furthest.";
    GapCheck "gap-check" "A reader refuses a gap between snapshot and oldest record.";
    BegunReplay "begun-replay" "A keyed request is sent only after its own `begun` record was replayed as valid.";
    DeadAttempt "dead-attempt" "An abandoned attempt is never sent, even if its `begun` record is appended later.";
    IntentFirst "intent-first" "An order is sent only after its intent was replayed as valid.";
    WorstCase "worst-case" "The ledger counts loads and unloads in doubt as memory used.";
    LastReplica "last-replica" "The last reachable replica of a model is not unloaded.";
    LeavingStop "leaving-stop" "An upstream that is leaving gets no new work.";
    AttemptMatch "attempt-match" "An answer counts only for the attempt that it belongs to.";
    DrainStop "drain-stop" "A stopping daemon waits for the requests in flight.";
}

impl Safeguard {
    /// Whether the check is in force. It always is, except in runs that test the checker.
    #[must_use]
    pub fn is_active(self) -> bool {
        DISABLED.load(Ordering::Relaxed) & (1 << self as u32) == 0
    }

    /// Disables this check until the process exits.
    #[doc(hidden)]
    pub fn disable(self) {
        DISABLED.fetch_or(1 << self as u32, Ordering::Relaxed);
    }
}

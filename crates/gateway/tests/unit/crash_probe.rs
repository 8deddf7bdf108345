//! Tests of which attempts share the probe that shows whether their upstream crashed.

use crate::crash_probe::CrashProbes;
use shaleline_edge::ProbeOutcome;
use shaleline_testkit::cases;
use shaleline_types::{Incarnation, IncarnationTag, Millis, Upstream};
use std::rc::Rc;

/// Whether an attempt that breaks off this much later shares a probe with this result.
fn shares((result, after): (Option<ProbeOutcome>, u64)) -> bool {
    let upstream = Upstream::from_text("i-1").expect("a valid name");
    let start = IncarnationTag::of(&upstream, Incarnation::from_millis(1));
    let mut probes = CrashProbes::default();
    let first = probes.probe(start, Millis(1_000));
    if let Some(result) = result {
        first.set(result).expect("set once");
    }
    Rc::ptr_eq(&first, &probes.probe(start, Millis(1_000 + after)))
}

cases! {
    shares;
    an_upstream_that_crashes_after_it_accepted_a_probe_is_probed_again:
        (Some(ProbeOutcome::Accepted), 1) => false,
    attempts_that_break_off_together_share_a_probe: (None, 1) => true,
    attempts_that_a_crash_breaks_off_share_its_probe: (Some(ProbeOutcome::Refused), 1) => true,
    an_old_probe_is_not_shared: (Some(ProbeOutcome::Refused), 300) => false,
}

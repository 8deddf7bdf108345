//! Reports that confirm what an engine holds, shared by several tests of plans.

use shaleline_fleet::{Fleet, Held};
use shaleline_types::{Millis, Upstream};

/// The time after which a report shows the effect of what an earlier one counts.
const REPORT_LAG_MS: u64 = 500;

/// The time from the first report of an engine until it is confirmed what it holds: one report
/// counts its orders, a later one shows that none is in progress, and a still later one what they
/// resulted in.
pub const CONFIRM_MS: u64 = 2 * REPORT_LAG_MS;

/// Reports what an engine holds until it is confirmed at `now`.
pub fn confirm(fleet: &mut Fleet, name: &Upstream, held: &Held, now: Millis) {
    for age in [CONFIRM_MS, REPORT_LAG_MS, 0] {
        let at = Millis(now.0 - age);
        fleet.report(name, held.clone(), at, at);
    }
}

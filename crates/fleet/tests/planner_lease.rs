//! The planner lease: never held by two daemons at once, and never without a holder for long.

use quickcheck::{Gen, QuickCheck, TestResult};
use shaleline_fleet::{
    last_effective, LeaseChange, LeaseEntry, PlannerGap, PlannerLease, PlannerLeaseAction,
    PlannerLeaseSettings, PlannerLeaseView,
};
use shaleline_testkit::cases;
use shaleline_types::{Millis, Position};
use std::collections::VecDeque;

const LEASE: Millis = Millis(3_000);
const START: u64 = 1_000_000;

/// A record in the topic.
struct Entry {
    writer: String,
    /// The era that the writer knew.
    era: u64,
    change: LeaseChange,
}

impl Entry {
    fn to_lease_entry(&self) -> LeaseEntry<'_> {
        LeaseEntry {
            holder: &self.writer,
            change: self.change,
        }
    }
}

/// The number of records that a daemon reads.
const HISTORY_LEN: usize = 5;

/// The topic as the store keeps it. The store may come back from an older copy, with which an era
/// begins.
#[derive(Default)]
struct Topic {
    records: Vec<Entry>,
    era: u64,
    /// The time until which calls to the store get no answer.
    away_until: u64,
}

impl Topic {
    fn end(&self) -> u64 {
        Position::new(self.era, self.records.len() as u64).to_u64()
    }

    fn view(&self) -> PlannerLeaseView {
        let history = &self.records[self.records.len().saturating_sub(HISTORY_LEN)..];
        let entries: Vec<LeaseEntry<'_>> = history.iter().map(Entry::to_lease_entry).collect();
        let effective = last_effective(&entries).map(|i| &history[i]);
        let newest = effective.or(history.last());
        let released = effective.is_some_and(|r| r.change != LeaseChange::Held);
        PlannerLeaseView {
            end: self.end(),
            holder: newest.map(|r| r.writer.clone()),
            released,
            has_handover: released,
            is_current: newest.map_or(self.era == 0, |r| r.era == self.era),
        }
    }

    /// Appends if the offset is the end, which it may be by chance in a later era.
    fn append(&mut self, daemon: &str, end: u64, change: LeaseChange) -> bool {
        let end = Position::from_u64(end);
        let is_end = end.offset() == self.records.len() as u64;
        if is_end || change == LeaseChange::ReleasedUnconditionally {
            self.records.push(Entry {
                writer: daemon.to_owned(),
                era: end.era(),
                change,
            });
        }
        is_end
    }

    fn go_back(&mut self, lost: usize, away_until: u64) {
        let left = self.records.len().saturating_sub(lost);
        self.records.truncate(left);
        self.era += 1;
        self.away_until = away_until;
    }
}

/// One daemon, whose clock and calls may be delayed.
struct Daemon {
    name: String,
    lease: PlannerLease,
    paused_until: u64,
    era: u64,
    /// Calls in progress: when they are carried out, the action, when they began, and whether their
    /// answer is lost.
    calls: VecDeque<(u64, PlannerLeaseAction, Millis, bool)>,
    /// Releases in progress: when they are carried out, and the end that they expect.
    releases: Vec<(u64, u64)>,
    /// Whether it releases the lease like a daemon of the earlier release: without a condition, and
    /// also after the lease has lapsed.
    is_earlier: bool,
    /// The delay of the release that is due once it runs again.
    release_delay: Option<u64>,
}

/// A possible fault in one step of 50 ms: the daemon concerned, and the kind of fault.
type Step = (u8, u8);

/// What may happen besides pauses and slow or lost calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Faults {
    None,
    /// The store comes back from older copies.
    Rollbacks,
    /// Daemons release the lease, some of them right after a pause, or by a slow call.
    Releases,
    /// The same, with two of the three daemons of the earlier release.
    EarlierReleases,
}

impl Faults {
    fn has_releases(self) -> bool {
        matches!(self, Self::Releases | Self::EarlierReleases)
    }

    /// The number of which a fault is drawn. With few, all three daemons are paused at most times, and
    /// a late release finds no holder.
    fn kinds(self) -> u8 {
        match self {
            Self::EarlierReleases => 128,
            Self::None | Self::Rollbacks | Self::Releases => 16,
        }
    }
}

/// Simulates the steps and returns the times at which each daemon could send orders, with the
/// token.
fn simulate(
    steps: &[Step],
    settings: PlannerLeaseSettings,
    faults: Faults,
) -> Vec<(u64, usize, u64)> {
    let mut topic = Topic::default();
    let mut daemons: Vec<Daemon> = (0..3)
        .map(|i| Daemon {
            name: format!("d{i}"),
            lease: PlannerLease::new(settings, format!("d{i}")),
            paused_until: 0,
            era: 0,
            calls: VecDeque::new(),
            releases: Vec::new(),
            is_earlier: faults == Faults::EarlierReleases && i > 0,
            release_delay: None,
        })
        .collect();
    let mut orders = Vec::new();
    for (i, (daemon, fault)) in steps.iter().enumerate() {
        let now = START + i as u64 * 50;
        let index = usize::from(*daemon) % daemons.len();
        let mut lost = false;
        let mut delay = 5;
        match fault % faults.kinds() {
            0 => daemons[index].paused_until = now + 4_000,
            1 => lost = true,
            2 => delay = 2_500,
            4 | 5 if faults.has_releases() => {
                daemons[index].paused_until = now + 4_000;
                daemons[index].release_delay = Some(5);
            }
            6 if faults.has_releases() => daemons[index].release_delay = Some(5),
            7 if faults.has_releases() => daemons[index].release_delay = Some(2_500),
            3 if faults == Faults::Rollbacks && i > 40 && topic.away_until + 4_000 < now => {
                let away = 700 * u64::from(daemon % 4);
                topic.go_back(usize::from(daemon % 8), now + away);
            }
            _ => {}
        }
        for (d, daemon) in daemons.iter_mut().enumerate() {
            deliver(daemon, &mut topic, now);
            if daemon.paused_until > now {
                continue;
            }
            if let Some(delay) = daemon.release_delay.take() {
                let holds = daemon.lease.is_holder();
                let release = daemon.lease.release(Millis(now)).map(|r| r.end);
                let release = release.or((holds && daemon.is_earlier).then_some(0));
                let call = release.map(|end| (now + delay, end));
                daemon.releases.extend(call);
            }
            // The planner of a daemon does nothing else until its release is answered.
            if daemon.is_earlier && !daemon.releases.is_empty() {
                continue;
            }
            if let Some(action) = daemon.lease.tick(Millis(now)) {
                let (lost, delay) = if d == index {
                    (lost, delay)
                } else {
                    (false, 5)
                };
                let call = (now + delay, action, Millis(now), lost);
                daemon.calls.push_back(call);
            }
            let fence = daemon.lease.fence(Millis(now));
            let token = daemon.lease.order_token(Millis(now));
            assert_eq!(fence.is_some(), token.is_some());
            orders.extend(token.map(|token| (now, d, token)));
        }
    }
    orders
}

fn deliver(daemon: &mut Daemon, topic: &mut Topic, now: u64) {
    let name = &daemon.name;
    let release = match daemon.is_earlier {
        true => LeaseChange::ReleasedUnconditionally,
        false => LeaseChange::Released,
    };
    daemon.releases.retain(|(at, end)| {
        let is_due = *at <= now;
        if is_due {
            topic.append(name, *end, release);
        }
        !is_due
    });
    let due = daemon.calls.iter().filter(|c| c.0 <= now).count();
    for (_, action, started, lost) in daemon.calls.drain(..due).collect::<Vec<_>>() {
        let is_away = now < topic.away_until;
        let appended = match action {
            PlannerLeaseAction::Append { end, .. } if !is_away => {
                topic.append(&daemon.name, end, LeaseChange::Held)
            }
            _ => false,
        };
        if lost || is_away {
            daemon.lease.on_failed();
            continue;
        }
        if topic.era > daemon.era {
            daemon.era = topic.era;
            let start = Position::new(topic.era, 0).to_u64();
            daemon.lease.on_loss(start, Millis(now));
        }
        match action {
            PlannerLeaseAction::Read => daemon.lease.on_read(&topic.view(), Millis(now)),
            PlannerLeaseAction::Append { end, .. }
                if appended && Position::from_u64(end).era() == topic.era =>
            {
                daemon.lease.on_appended(end, started);
            }
            PlannerLeaseAction::Append { .. } => daemon.lease.on_conflict(),
        }
    }
}

/// Checks that the orders of two holders are at least this long apart, and that the later one has
/// the higher token.
fn are_apart(
    steps: Vec<Step>,
    settings: PlannerLeaseSettings,
    apart: Millis,
    faults: Faults,
) -> TestResult {
    let repeated: Vec<Step> = steps.into_iter().cycle().take(900).collect();
    let orders = simulate(&repeated, settings, faults);
    for pair in orders.windows(2) {
        let ((before, a, fence), (after, b, next)) = (pair[0], pair[1]);
        if next < fence || a != b && (after - before < apart.0 || next <= fence) {
            return TestResult::error(format!("{pair:?}"));
        }
    }
    TestResult::passed()
}

fn is_lease_apart(steps: Vec<Step>) -> TestResult {
    are_apart(
        steps,
        PlannerLeaseSettings::from_lease(LEASE),
        LEASE,
        Faults::None,
    )
}

fn is_lease_apart_after_losses(steps: Vec<Step>) -> TestResult {
    are_apart(
        steps,
        PlannerLeaseSettings::from_lease(LEASE),
        LEASE,
        Faults::Rollbacks,
    )
}

/// With fencing, the orders of two holders need not be a lease apart, but never overlap.
fn is_slack_apart(steps: Vec<Step>) -> TestResult {
    let settings = PlannerLeaseSettings::from_lease(LEASE).with_fencing(true);
    are_apart(steps, settings, settings.slack, Faults::None)
}

fn is_slack_apart_after_losses(steps: Vec<Step>) -> TestResult {
    let settings = PlannerLeaseSettings::from_lease(LEASE).with_fencing(true);
    are_apart(steps, settings, settings.slack, Faults::Rollbacks)
}

/// A late release ended the lease of another holder, which went on sending orders beside the next.
/// After a release the successor need not wait, as it knows the orders of its predecessor.
fn is_never_shared_after_releases(steps: Vec<Step>) -> TestResult {
    let settings = PlannerLeaseSettings::from_lease(LEASE).with_fencing(true);
    are_apart(steps, settings, Millis(0), Faults::Releases)
}

/// A release of the earlier release came behind another holder's record, and ended its lease for the
/// daemons that read it.
fn is_never_shared_after_earlier_releases(steps: Vec<Step>) -> TestResult {
    let settings = PlannerLeaseSettings::from_lease(LEASE).with_fencing(true);
    are_apart(steps, settings, Millis(0), Faults::EarlierReleases)
}

fn holds(property: fn(Vec<Step>) -> TestResult) -> bool {
    const SEED: u64 = 20_261_202;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(1_000)
        .quickcheck(property);
    true
}

cases! { holds;
    orders_of_two_holders_are_a_lease_apart: is_lease_apart => true,
    orders_of_two_holders_never_overlap_with_fencing: is_slack_apart => true,
    orders_of_two_holders_are_a_lease_apart_after_the_topic_lost_records: is_lease_apart_after_losses => true,
    orders_of_two_holders_never_overlap_after_the_topic_lost_records: is_slack_apart_after_losses => true,
    orders_of_two_holders_never_overlap_after_late_releases: is_never_shared_after_releases => true,
    orders_of_two_holders_never_overlap_beside_the_earlier_release: is_never_shared_after_earlier_releases => true,
}

/// The topic as it ends after an acquisition or a renewal.
fn view(end: u64, holder: Option<&str>) -> PlannerLeaseView {
    PlannerLeaseView {
        end,
        holder: holder.map(str::to_owned),
        released: false,
        has_handover: false,
        is_current: true,
    }
}

/// The release of a holder that last renewed at `START` and gives up its lease this much later: its
/// token, the end that it expects, and the time until it lapses.
fn release_after(ms: u64) -> Option<(u64, u64, u64)> {
    let settings = PlannerLeaseSettings::from_lease(LEASE);
    let mut lease = PlannerLease::new(settings, "me".to_owned());
    lease.tick(Millis(START));
    lease.on_read(&view(0, None), Millis(START));
    lease.tick(Millis(START));
    lease.on_appended(0, Millis(START - 500));
    lease.tick(Millis(START));
    lease.on_appended(1, Millis(START));
    let release = lease.release(Millis(START + ms));
    assert!(!lease.is_holder());
    assert_eq!(lease.release(Millis(START + ms)), None);
    release.map(|r| (r.fence, r.end, r.lapses.since(Millis(START))))
}

cases! { release_after;
    a_holder_releases_its_lease_at_its_last_record: 500 => Some((1, 2, 1_200)),
    a_holder_releases_its_lease_until_it_lapses: 1_199 => Some((1, 2, 1_200)),
    // A planner that had been frozen released the lease of its successor.
    a_holder_whose_lease_lapsed_releases_nothing: 1_200 => None,
    a_holder_that_was_cut_off_releases_nothing: 3_400 => None,
}

/// An acquisition whose answer was lost, and which was found by a read, counted from the read,
/// while the other daemons counted from the append.
#[test]
fn an_acquisition_found_late_counts_from_its_append() {
    let mut lease = PlannerLease::new(PlannerLeaseSettings::from_lease(LEASE), "me".to_owned());
    lease.tick(Millis(START));
    lease.on_read(&view(0, None), Millis(START));
    let append = PlannerLeaseAction::Append {
        end: 0,
        fence: None,
    };
    assert_eq!(lease.tick(Millis(START)), Some(append));
    lease.on_failed();
    lease.tick(Millis(START + 2_000));
    lease.on_read(&view(1, Some("me")), Millis(START + 2_000));
    assert!(lease.is_holder());
    assert_eq!(lease.fence(Millis(START + 2_000)), None);
}

/// A holder whose last renewal began at `START`.
fn holder() -> PlannerLease {
    let settings = PlannerLeaseSettings::from_lease(LEASE).with_fencing(true);
    let mut lease = PlannerLease::new(settings, "me".to_owned());
    lease.tick(Millis(START));
    lease.on_read(&view(0, None), Millis(START));
    lease.tick(Millis(START));
    lease.on_appended(0, Millis(START));
    lease
}

/// Returns whether a holder may send orders after a renewal that begins 500 ms after the last one and
/// is answered this much later, as the process was suspended or the call slow.
fn holds_after_renewal(answered_after: u64) -> bool {
    let mut lease = holder();
    let started = Millis(START + 500);
    let action = lease.tick(started);
    assert!(matches!(
        action,
        Some(PlannerLeaseAction::Append { end: 1, .. })
    ));
    lease.on_appended(1, started);
    lease.fence(started.plus(answered_after)).is_some()
}

cases! { holds_after_renewal;
    a_renewal_that_is_answered_soon_is_valid: 5 => true,
    // The successor counts from the record, which was appended before the suspension.
    a_renewal_that_is_answered_after_a_suspension_counts_from_its_start: 4_000 => false,
    a_renewal_counts_until_its_validity_ends: 1_199 => true,
    a_renewal_ends_with_its_validity: 1_200 => false,
}

/// An order of before a renewal may still be sent, but an engine that has accepted one of after it
/// rejects it.
#[test]
fn the_token_of_orders_rises_with_each_renewal() {
    let mut lease = holder();
    let at = |ms: u64| Millis(START + ms);
    assert_eq!(lease.order_token(at(10)), Some(1));
    assert!(lease.tick(at(500)).is_some());
    lease.on_appended(1, at(500));
    assert_eq!(lease.order_token(at(510)), Some(2));
    let covered = [0, 1, 2, 3].map(|token| lease.covers(token, at(510)));
    assert_eq!(covered, [false, true, true, false]);
    assert_eq!(lease.order_token(at(1_700)), None);
    assert!(!lease.covers(2, at(1_700)));
}

/// An engine rejects an order of before a renewal if it has accepted one of after it.
#[test]
fn a_rejection_of_an_order_of_before_a_renewal_does_not_end_the_lease() {
    let mut lease = holder();
    let at = |ms: u64| Millis(START + ms);
    assert!(lease.tick(at(500)).is_some());
    lease.on_appended(1, at(500));
    lease.on_fenced(1, at(510));
    assert!(lease.is_holder());
    lease.on_fenced(2, at(520));
    assert!(!lease.is_holder());
}

/// Another daemon's higher token arrives while a renewal is in progress, which may have been carried
/// out before the other one acquired the lease.
#[test]
fn a_renewal_that_began_before_a_doubt_does_not_remove_it() {
    let mut lease = holder();
    let at = |ms: u64| Millis(START + ms);
    assert!(lease.tick(at(500)).is_some());
    lease.on_token(9);
    lease.on_appended(1, at(500));
    assert_eq!(lease.fence(at(510)), None);
    // The next one begins at once.
    assert!(lease.tick(at(510)).is_some());
    lease.on_appended(2, at(510));
    assert_eq!(lease.fence(at(520)), Some(1));
}

/// While the store is away, a holder in doubt tries as often as any other.
#[test]
fn a_doubt_does_not_repeat_failed_renewals_faster() {
    let mut lease = holder();
    let at = |ms: u64| Millis(START + ms);
    lease.on_token(9);
    assert!(lease.tick(at(100)).is_some());
    lease.on_failed();
    assert_eq!(lease.tick(at(200)), None);
    assert!(lease.tick(at(600)).is_some());
}

#[test]
fn a_daemon_holds_it_at_once_and_again_after_a_pause() {
    let faultless: Vec<Step> = vec![(0, 9); 40];
    let settings = PlannerLeaseSettings::from_lease(LEASE);
    let orders = simulate(&faultless, settings, Faults::None);
    assert!(orders.iter().any(|(at, ..)| *at < START + 500));
    let holder = orders[0].1 as u8;
    let mut paused_until = faultless;
    paused_until.push((holder, 0));
    paused_until.extend(vec![(0, 9); 200]);
    let after = simulate(&paused_until, settings, Faults::None);
    let last = after.last().expect("a daemon can send orders");
    assert!(
        last.0 >= START + 230 * 50,
        "no daemon can send orders at the end"
    );
}

#[test]
fn an_acquisition_without_an_answer_is_found_by_reading() {
    let mut lease = PlannerLease::new(PlannerLeaseSettings::from_lease(LEASE), "me".to_owned());
    assert_eq!(lease.tick(Millis(START)), Some(PlannerLeaseAction::Read));
    lease.on_read(&view(0, None), Millis(START + 5));
    let append = PlannerLeaseAction::Append {
        end: 0,
        fence: None,
    };
    assert_eq!(lease.tick(Millis(START + 10)), Some(append));
    lease.on_failed();
    assert_eq!(
        lease.tick(Millis(START + 600)),
        Some(PlannerLeaseAction::Read)
    );
    lease.on_read(&view(1, Some("me")), Millis(START + 605));
    assert_eq!(lease.fence(Millis(START + 610)), Some(1));
}

/// Checks when a successor acquires the lease of a holder that has fallen silent.
fn acquires_after_silence(settings: PlannerLeaseSettings, due: u64) {
    let mut lease = PlannerLease::new(settings, "me".to_owned());
    let view = PlannerLeaseView {
        end: 9,
        holder: Some("other".to_owned()),
        released: false,
        has_handover: false,
        is_current: true,
    };
    lease.on_renewal(9, Millis(START));
    // The same renewal, received again with an older age.
    lease.on_renewal(9, Millis(START + 1_200));
    let silent = START + 1_300;
    assert_eq!(lease.tick(Millis(START + 1_200)), None);
    assert_eq!(lease.tick(Millis(silent)), Some(PlannerLeaseAction::Read));
    lease.on_read(&view, Millis(silent + 5));
    assert_ne!(
        lease.tick(Millis(START + due - 1)),
        Some(PlannerLeaseAction::Append {
            end: 9,
            fence: None
        })
    );
    lease.on_read(&view, Millis(START + due - 1));
    assert_eq!(
        lease.tick(Millis(START + due)),
        Some(PlannerLeaseAction::Append {
            end: 9,
            fence: None
        })
    );
}

#[test]
fn a_successor_counts_from_the_last_received_renewal() {
    let settings = PlannerLeaseSettings::from_lease(LEASE);
    let due = settings.validity.0 + settings.lease.0 + settings.slack.0;
    acquires_after_silence(settings, due);
}

/// Engines got no orders for the lease after a planner had failed, although they reject its late
/// orders.
#[test]
fn with_fencing_a_successor_waits_for_the_validity_only() {
    let settings = PlannerLeaseSettings::from_lease(LEASE).with_fencing(true);
    acquires_after_silence(settings, settings.validity.0 + settings.slack.0);
}

/// The time after which a successor that reads a release at `START` acquires the lease.
fn acquires_after(has_handover: bool) -> u64 {
    let mut lease = PlannerLease::new(PlannerLeaseSettings::from_lease(LEASE), "me".to_owned());
    lease.tick(Millis(START));
    let view = PlannerLeaseView {
        end: 9,
        holder: Some("other".to_owned()),
        released: true,
        has_handover,
        is_current: true,
    };
    lease.on_read(&view, Millis(START));
    let append = PlannerLeaseAction::Append {
        end: 9,
        fence: None,
    };
    let mut now = START;
    while !lease.may_append(Millis(now)) {
        assert_ne!(lease.tick(Millis(now)), Some(append));
        lease.on_read(&view, Millis(now));
        now += 50;
    }
    while lease.tick(Millis(now)) != Some(append) {
        lease.on_read(&view, Millis(now));
        now += 50;
    }
    now - START
}

cases! { acquires_after;
    // Each planned stop of a planner left the engines without one for 3.5 s.
    a_release_with_a_handover_is_followed_at_once: true => 0,
    a_release_without_a_handover_is_waited_out: false => 3_400,
}

/// What a daemon that received a renewal this long ago knows of the interval without a planner: its
/// duration so far, and the time until another daemon may send orders.
fn gap_after(ms: u64) -> Option<(u64, u64)> {
    known_gap(PlannerLeaseSettings::from_lease(LEASE), ms)
}

fn gap_with_fencing_after(ms: u64) -> Option<(u64, u64)> {
    known_gap(
        PlannerLeaseSettings::from_lease(LEASE).with_fencing(true),
        ms,
    )
}

fn known_gap(settings: PlannerLeaseSettings, ms: u64) -> Option<(u64, u64)> {
    let mut lease = PlannerLease::new(settings, "d0".to_owned());
    lease.on_renewal(7, Millis(START));
    let gap = lease.gap(Millis(START + ms));
    gap.map(
        |PlannerGap {
             elapsed, remaining, ..
         }| (elapsed.0, remaining.0),
    )
}

cases! { gap_after;
    a_holder_with_a_recent_renewal_leaves_no_gap: 1_000 => None,
    a_holder_without_renewals_is_followed_after_its_lease: 2_000 => Some((2_000, 2_600)),
    a_successor_that_is_due_needs_another_read: 6_000 => Some((6_000, 500)),
}

cases! { gap_with_fencing_after;
    // While the store was unavailable, callers got the retry-after time for a dead planner and were
    // refused again.
    a_holder_that_can_not_renew_is_not_followed_soon: 2_000 => Some((2_000, 2_600)),
    a_holder_with_a_recent_renewal_leaves_no_gap_with_fencing: 1_000 => None,
}

/// The time without orders that a successor counts which acquires the lease this long after the
/// last renewal, and finds the store available only then.
fn idle_time_after(ms: u64) -> u64 {
    let settings = PlannerLeaseSettings::from_lease(LEASE).with_fencing(true);
    let mut lease = PlannerLease::new(settings, "me".to_owned());
    lease.on_renewal(9, Millis(START));
    let now = Millis(START + ms);
    lease.tick(now);
    lease.on_read(&view(9, Some("other")), now);
    assert!(lease.may_append(now));
    lease.tick(now);
    lease.on_appended(9, now);
    lease.idle_time(now).0
}

cases! { idle_time_after;
    a_successor_that_is_in_time_counts_the_slack: 1_600 => 400,
    // Loads from the weight store were blocked for 5 s after an outage of the store of 7 s.
    a_successor_after_an_outage_counts_all_of_it: 7_000 => 5_800,
}

#[test]
fn loads_from_the_store_begin_a_lease_after_a_takeover_with_fencing() {
    let delay = |fencing| {
        let settings = PlannerLeaseSettings::from_lease(LEASE).with_fencing(fencing);
        let mut lease = PlannerLease::new(settings, "d0".to_owned());
        lease.on_renewal(7, Millis(START));
        lease.on_silent(7, true);
        lease.gap(Millis(START + 1_200)).expect("a gap").load_delay
    };
    assert_eq!((delay(false), delay(true)), (Millis(0), LEASE));
}

/// The duration of the gap that a daemon knows of 400 ms after a renewal, if it receives these
/// notices that the holder is silent or not, each with the end of the topic.
fn gap_after_notices(notices: &[(u64, bool)]) -> Option<u64> {
    let settings = PlannerLeaseSettings::from_lease(LEASE).with_fencing(true);
    let mut lease = PlannerLease::new(settings, "d0".to_owned());
    lease.on_renewal(7, Millis(START));
    for (end, silent) in notices {
        lease.on_silent(*end, *silent);
    }
    let gap = lease.gap(Millis(START + 400));
    gap.map(|g| g.remaining.0)
}

cases! { gap_after_notices;
    // Callers that were refused within a second of a failure retried while there was no planner.
    a_silent_holder_leaves_a_gap: &[(7, true)] => Some(1_200),
    a_notice_about_an_earlier_renewal_is_outdated: &[(6, true)] => None,
    a_holder_that_is_heard_again_leaves_none: &[(7, true), (7, false)] => None,
}

#[test]
fn a_renewal_ends_the_silence() {
    let mut lease = PlannerLease::new(PlannerLeaseSettings::from_lease(LEASE), "d0".to_owned());
    lease.on_renewal(7, Millis(START));
    lease.on_silent(7, true);
    lease.on_renewal(8, Millis(START + 400));
    assert_eq!(lease.gap(Millis(START + 500)), None);
}

#[test]
fn without_any_received_renewal_no_gap_is_known() {
    let lease = PlannerLease::new(PlannerLeaseSettings::from_lease(LEASE), "d0".to_owned());
    assert_eq!(lease.gap(Millis(START)), None);
}

/// The additional wait that a daemon announces to callers one second into the silence of a holder,
/// if earlier holders failed after renewing for these times, and others took over after
/// `SUCCEEDED`.
fn extra_after(lifetimes: &[u64]) -> u64 {
    const SUCCEEDED: u64 = 5_000;
    const ELAPSED: u64 = 2_000;
    let mut lease = PlannerLease::new(PlannerLeaseSettings::from_lease(LEASE), "d0".to_owned());
    let (mut now, mut end) = (START, 7);
    for lifetime in lifetimes {
        for _ in 0..=lifetime / 500 {
            lease.on_renewal(end, Millis(now));
            (now, end) = (now + 500, end + 1);
        }
        now += SUCCEEDED - 500;
    }
    let silent = now - SUCCEEDED + ELAPSED;
    let gap = lease.gap(Millis(silent)).expect("no renewal is received");
    gap.extra.0
}

cases! { extra_after;
    // Callers that were refused after the failure of one planner retried after the failure of its
    // successor.
    one_failure_adds_nothing: &[20_000] => 0,
    a_second_failure_soon_after_is_a_series: &[20_000, 500] => 4_600,
    a_third_failure_adds_to_the_series: &[20_000, 500, 1_500] => 9_200,
    no_more_than_two_failures_are_counted: &[20_000, 500, 500, 500] => 9_200,
    a_failure_long_after_starts_a_new_series: &[20_000, 20_000] => 0,
}

/// The additional wait after one long silence, as left by a successor that fails before any renewal
/// of it is received.
fn extra_within(silent: u64) -> u64 {
    let mut lease = PlannerLease::new(PlannerLeaseSettings::from_lease(LEASE), "d0".to_owned());
    lease.on_renewal(7, Millis(START));
    let gap = lease.gap(Millis(START + silent));
    gap.expect("no renewal is received").extra.0
}

cases! { extra_within;
    a_late_successor_has_not_failed: 5_500 => 0,
    a_successor_without_a_received_renewal_has_failed: 9_900 => 4_600,
}

/// The time without orders after the topic lost its newest records, where nothing else fails; the
/// store gives no answers for that long before.
fn gap_after_loss((away, settings): (u64, PlannerLeaseSettings)) -> u64 {
    let mut steps: Vec<Step> = vec![(0, 9); 60];
    // The daemon's number gives the records lost and the time away.
    steps.push(((away / 700) as u8 + 4, 3));
    steps.extend(vec![(0, 9); 200]);
    let orders = simulate(&steps, settings, Faults::Rollbacks);
    let back = START + 60 * 50 + away;
    let next = orders.iter().find(|(at, ..)| *at > back);
    let (next, ..) = next.expect("a daemon can send orders again");
    next - back
}

fn fenced() -> PlannerLeaseSettings {
    PlannerLeaseSettings::from_lease(LEASE).with_fencing(true)
}

fn is_within_a_lease(case: (u64, PlannerLeaseSettings)) -> bool {
    gap_after_loss(case) <= LEASE.0
}

cases! {
    is_within_a_lease;
    a_holder_keeps_the_lease_if_the_topic_loses_records: (0, PlannerLeaseSettings::from_lease(LEASE)) => true,
    a_holder_keeps_the_fenced_lease_if_the_topic_loses_records: (0, fenced()) => true,
    a_lease_is_acquired_soon_after_the_store_was_away: (2_100, fenced()) => true,
}

/// Whether a daemon that knows the holders of tokens up to 7 reads the topic at once after the
/// release of a lease was announced.
fn reads_after_release(fence: Option<u64>) -> bool {
    let mut lease = PlannerLease::new(PlannerLeaseSettings::from_lease(LEASE), "me".to_owned());
    lease.on_renewal(9, Millis(START));
    lease.on_token(7);
    lease.on_token(5);
    let counts = lease.on_release(fence);
    let reads = lease.tick(Millis(START)) == Some(PlannerLeaseAction::Read);
    assert_eq!(counts, reads);
    reads
}

cases! { reads_after_release;
    the_release_of_the_latest_lease_is_looked_up: Some(7) => true,
    the_release_of_an_unknown_lease_is_looked_up: Some(8) => true,
    // A message that was sent late made daemons forget the planner that they knew.
    the_release_of_an_earlier_lease_is_ignored: Some(6) => false,
    a_release_by_a_daemon_of_an_earlier_release_is_looked_up: None => true,
}

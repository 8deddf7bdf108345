//! Tests that the daemons find out the software version that began a stream, or know that they
//! don't.

mod cluster;

use crate::stream_lifetime::StreamLifetime;
use crate::stream_versions::{
    Found, Hubs, Knowledge, LookUp, LookUpStep, Origin, StreamKey, StreamVersions,
};
use crate::version_store::{VersionRecord, VersionRecords};
use cluster::{service, version, Cluster, CENTRES};
use shaleline_testkit::cases;
use shaleline_types::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const LIFETIME: Millis = Millis(10_000);

fn origin(number: usize) -> Origin {
    Origin {
        service: service(),
        version: version(number),
    }
}

/// A hub that has read these records from the store at a time.
fn hub_with_records(records: &VersionRecords, at: u64) -> StreamVersions {
    let mut versions = StreamVersions::default();
    versions.set_lifetime(LIFETIME, Millis(0));
    versions.on_records(records, Millis(at));
    versions
}

/// What is known of a stream after these versions were listed, each at a time, and at a time.
fn knowledge((listed, now): (&[(usize, u64)], u64)) -> Knowledge {
    let mut versions = hub_with_records(&BTreeMap::new(), 1_000);
    for at in (1_000..=now).step_by(500) {
        for (number, _) in listed.iter().filter(|(_, until)| at <= *until) {
            versions.on_listed(&service(), &version(*number), Millis(at));
        }
        versions.on_current_list(Millis(at));
    }
    versions.knowledge(StreamKey::of("r"), &service(), true, Millis(now))
}

const ALWAYS: u64 = u64::MAX;

cases! { knowledge;
    the_only_version_for_long_enough_is_the_answer:
        (&[(1, ALWAYS)], 11_000) => Knowledge::Only(version(1)),
    a_version_is_not_the_answer_before_its_history_is_known:
        (&[(1, ALWAYS)], 10_500) => Knowledge::Nothing,
    of_two_versions_none_is_the_answer:
        (&[(1, ALWAYS), (2, ALWAYS)], 30_000) => Knowledge::Several,
    a_version_counts_while_its_streams_may_be_resumed:
        (&[(1, ALWAYS), (2, 20_000)], 29_500) => Knowledge::Several,
    a_version_does_not_count_longer:
        (&[(1, ALWAYS), (2, 20_000)], 30_500) => Knowledge::Only(version(1)),
    without_any_version_nothing_is_known: (&[], 30_000) => Knowledge::Nothing,
}

#[test]
fn a_gap_in_the_list_ends_what_is_known_of_its_history() {
    let mut versions = hub_with_records(&BTreeMap::new(), 1_000);
    for at in [1_000, 2_000, 10_000, 13_000, 16_000, 19_000] {
        if at == 13_000 {
            assert!(!versions.has_records());
            versions.on_records(&BTreeMap::new(), Millis(at));
        }
        versions.on_listed(&service(), &version(1), Millis(at));
        versions.on_current_list(Millis(at));
    }
    let at = |now| versions.knowledge(StreamKey::of("r"), &service(), true, Millis(now));
    assert_eq!(at(19_500), Knowledge::Nothing);
    assert_eq!(at(20_000), Knowledge::Only(version(1)));
}

#[test]
fn a_stream_is_remembered_for_as_long_as_it_may_be_resumed() {
    let mut versions = StreamVersions::default();
    versions.set_lifetime(LIFETIME, Millis(0));
    let key = StreamKey::of("r");
    versions.record(key, origin(1), false, Millis(0));
    let at = |now| versions.knowledge(key, &service(), true, Millis(now));
    assert_eq!(at(9_999), Knowledge::Began(origin(1)));
    assert_eq!(at(10_000), Knowledge::Nothing);
}

#[test]
fn the_number_of_remembered_streams_is_limited() {
    let mut versions = StreamVersions::default();
    versions.set_lifetime(LIFETIME, Millis(0));
    let key = |number: u64| StreamKey::of(&number.to_string());
    for number in 0..30_000 {
        versions.record(key(number), origin(1), false, Millis(number / 10));
    }
    let at = |number| versions.knowledge(key(number), &service(), true, Millis(3_000));
    assert_eq!(at(0), Knowledge::Nothing);
    assert_eq!(at(29_999), Knowledge::Began(origin(1)));
}

fn hub(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 1))
}

/// The hubs of this many data centres; a daemon that knows no other is the hub of its own.
fn known_hubs(others: usize) -> Hubs {
    Hubs {
        centres: others.max(1),
        own: others == 0,
    }
}

/// The version that a daemon finds where it knows this itself and the hubs answer this, or nothing
/// at all.
fn found((own, answers): (Knowledge, &[Option<Knowledge>])) -> Option<Found> {
    let hubs: Vec<SocketAddr> = (0..answers.len()).map(|n| hub(n as u8)).collect();
    let mut look_up = LookUp::new(own, &hubs, known_hubs(answers.len()), Millis(0));
    for (hub, answer) in hubs.iter().zip(answers) {
        if let Some(answer) = answer {
            look_up.on_answer(*hub, answer.clone());
        }
    }
    for now in 0..1_000 {
        if let LookUpStep::Done(found) = look_up.step(Millis(now)) {
            return found;
        }
    }
    panic!("no end");
}

fn began() -> Option<Knowledge> {
    Some(Knowledge::Began(origin(1)))
}

fn only(number: usize) -> Option<Knowledge> {
    Some(Knowledge::Only(version(number)))
}

fn known(with_service: bool) -> Option<Found> {
    Some(Found {
        service: with_service.then(service),
        version: version(1),
    })
}

cases! { found;
    a_stream_that_began_here_is_known:
        (Knowledge::Began(origin(1)), &[None, None]) => known(true),
    a_stream_that_one_hub_knows_is_known:
        (Knowledge::Several, &[Some(Knowledge::Several), began(), None]) => known(true),
    a_stream_that_no_hub_knows_is_unknown:
        (Knowledge::Several, &[Some(Knowledge::Several), Some(Knowledge::Several)]) => None,
    the_only_version_is_the_answer: (Knowledge::Only(version(1)), &[only(1), only(1)]) => known(false),
    a_daemon_that_just_started_relies_on_the_hubs: (Knowledge::Nothing, &[only(1)]) => known(false),
    a_hub_that_just_started_says_nothing:
        (Knowledge::Only(version(1)), &[Some(Knowledge::Nothing)]) => known(false),
    daemons_that_list_different_versions_know_none: (Knowledge::Only(version(1)), &[only(2)]) => None,
    a_hub_that_lists_two_versions_is_believed:
        (Knowledge::Only(version(1)), &[only(1), Some(Knowledge::Several)]) => None,
    a_daemon_that_no_hub_answers_knows_nothing: (Knowledge::Only(version(1)), &[None, None]) => None,
    a_minority_of_silent_hubs_is_not_waited_for:
        (Knowledge::Only(version(1)), &[only(1), only(1), None]) => known(false),
    half_of_the_hubs_may_lack_a_version: (Knowledge::Only(version(1)), &[only(1), None]) => None,
    a_daemon_alone_knows_itself: (Knowledge::Only(version(1)), &[]) => known(false),
    a_daemon_alone_that_just_started_knows_nothing: (Knowledge::Nothing, &[]) => None,
}

#[test]
fn hubs_that_do_not_answer_are_asked_again() {
    let mut look_up = LookUp::new(
        Knowledge::Several,
        &[hub(0), hub(1)],
        known_hubs(2),
        Millis(0),
    );
    assert_eq!(look_up.step(Millis(0)), LookUpStep::Wait);
    look_up.on_answer(hub(0), Knowledge::Several);
    let asked: Vec<LookUpStep> = (1..130).map(|now| look_up.step(Millis(now))).collect();
    let again = asked.iter().filter(|s| **s != LookUpStep::Wait);
    let again: Vec<&LookUpStep> = again.collect();
    assert_eq!(again, vec![&LookUpStep::Ask(vec![hub(1)]); 3]);
    assert_eq!(look_up.step(Millis(130)), LookUpStep::Done(None));
}

/// What fails while two versions serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// One datagram in a hundred is lost.
    Nothing,
    /// One datagram in ten is lost.
    Losses,
    /// Daemons are killed and start again, among them the hubs.
    Kills,
    /// Daemons exchange no datagrams with others and don't read the list of upstreams.
    Cuts,
    All,
}

const SEEDS: u64 = 12;

/// Begins with one version; a second one appears, and the first one is removed. Returns the numbers
/// of streams of two versions, and of runs in which under half of the streams go on once there are
/// two versions.
fn play(trouble: Trouble) -> (usize, usize) {
    let is = |kind| trouble == kind || trouble == Trouble::All;
    let (mut mixed, mut lost) = (0, 0);
    for seed in 0..SEEDS {
        let mut cluster = Cluster::new(seed, if is(Trouble::Losses) { 10 } else { 100 });
        cluster.list(1, true);
        for step in 0..60 {
            match step {
                24 => {
                    cluster.list(2, true);
                    // Before, every stream is of the only version.
                    (cluster.resumed, cluster.went_on) = (0, 0);
                }
                44 => cluster.list(1, false),
                _ => {}
            }
            if is(Trouble::Kills) && step % 4 == 0 {
                let daemon = cluster.draw_daemon();
                cluster.restart(daemon);
            }
            if is(Trouble::Cuts) && step % 8 == 2 {
                let (daemon, millis) = (cluster.draw_daemon(), cluster.draw((500, 4_000)));
                cluster.cut(daemon, millis);
            }
            cluster.run(500);
        }
        let Cluster {
            resumed, went_on, ..
        } = cluster;
        println!(
            "seed {seed}: {went_on} of {resumed}, {} mixed",
            cluster.mixed
        );
        assert!(resumed > 100, "seed {seed}: {resumed}");
        mixed += cluster.mixed;
        lost += usize::from(went_on * 2 < resumed);
    }
    (mixed, lost)
}

cases! { play;
    streams_go_on_at_their_version: Trouble::Nothing => (0, 0),
    streams_go_on_at_their_version_while_datagrams_are_lost: Trouble::Losses => (0, 0),
    streams_go_on_at_their_version_while_daemons_are_killed: Trouble::Kills => (0, 0),
    streams_go_on_at_their_version_while_daemons_are_cut_off: Trouble::Cuts => (0, 0),
    streams_go_on_at_their_version_in_all_troubles: Trouble::All => (0, 0),
}

/// Daemons that are out of step while upstreams of a second version are listed.
#[derive(Debug, Clone, Copy)]
enum OutOfStep {
    /// One daemon stands still.
    Paused,
    /// One daemon is cut off from all others and from the list.
    CutOff,
    /// The daemons of one data centre are cut off from the others and from the list.
    CentreCutOff,
}

/// The time for which the only version is known before, and the time that is played after.
const HISTORY_MS: u64 = 15_000;
const AFTER_MS: u64 = 7_000;

/// The numbers of streams of two versions where daemons are out of step for this time, in
/// milliseconds.
fn mixed_while(out_of_step: OutOfStep) -> Vec<(u64, usize)> {
    let lengths = [500, 1_000, 1_500, 2_500, 5_000];
    let mixed = lengths.map(|length| {
        let play = |seed| {
            let mut cluster = Cluster::new(seed, 100);
            cluster.list(1, true);
            cluster.run(HISTORY_MS);
            let daemon = cluster.draw_daemon();
            match out_of_step {
                OutOfStep::Paused => cluster.pause(daemon, length),
                OutOfStep::CutOff => cluster.cut(daemon, length),
                OutOfStep::CentreCutOff => cluster.cut_centre(daemon % CENTRES, length),
            }
            let lead = cluster.draw((0, length / 2));
            cluster.run(lead);
            cluster.list(2, true);
            cluster.run(AFTER_MS);
            cluster.mixed
        };
        (length, (0..SEEDS).map(play).sum())
    });
    mixed.into_iter().filter(|(_, mixed)| *mixed > 0).collect()
}

cases! { mixed_while;
    streams_go_on_at_their_version_at_a_daemon_that_was_paused: OutOfStep::Paused => vec![],
    streams_go_on_at_their_version_at_a_daemon_that_is_cut_off: OutOfStep::CutOff => vec![],
    streams_go_on_at_their_version_in_a_data_centre_that_is_cut_off: OutOfStep::CentreCutOff => vec![],
}

/// What makes the hubs forget when streams may still be resumed.
#[derive(Debug, Clone, Copy)]
enum Shortened {
    /// A configuration shortens the timeout of the route.
    Timeout,
    /// The timeout of callers is longer than the timeout of the route.
    Patience,
}

/// The number of streams of two versions where a release replaces the only version, and callers resume
/// their streams after the timeout of the route and the time for which callers may return.
fn mixed_when(shortened: Shortened) -> usize {
    const SHORT: Millis = Millis(1_000);
    let play = |seed| {
        let mut cluster = Cluster::new(seed, 100);
        match shortened {
            Shortened::Timeout => cluster.set_timeout(Millis(20_000)),
            Shortened::Patience => {
                cluster.patience = Some(Millis(20_000));
                cluster.set_timeout(SHORT);
            }
        }
        cluster.list(1, true);
        cluster.run(HISTORY_MS);
        cluster.return_ms = (8_000, 12_000);
        cluster.run(1_000);
        cluster.set_timeout(SHORT);
        cluster.list(2, true);
        cluster.run(1_000);
        cluster.list(1, false);
        cluster.run(15_000);
        cluster.mixed
    };
    (0..SEEDS).map(play).sum()
}

// Guards against streams of two versions after a release beside a shorter timeout.
cases! { mixed_when;
    a_shorter_timeout_does_not_shorten_what_is_known_of_streams: Shortened::Timeout => 0,
    streams_are_known_for_as_long_as_their_callers_may_return: Shortened::Patience => 0,
}

/// The lifetime of streams at a time after these were recorded: what the configuration gives, or what
/// a caller may use, each with its time.
fn lifetime((recorded, now): (&[(bool, u64, u64)], u64)) -> u64 {
    let mut lifetime = StreamLifetime::default();
    for (configured, length, at) in recorded {
        match configured {
            true => lifetime.set(Millis(*length), Millis(*at)),
            false => lifetime.extend(Millis(*length), Millis(*at)),
        }
    }
    lifetime.get(Millis(now)).0
}

cases! { lifetime;
    without_a_configuration_streams_are_kept: (&[(false, 5_000, 0)], 60_000) => u64::MAX,
    a_longer_lifetime_counts_at_once: (&[(true, 6_000, 0), (true, 25_000, 10)], 10) => 25_000,
    a_shorter_one_counts_once_no_stream_of_before_is_left:
        (&[(true, 25_000, 0), (true, 6_000, 10)], 25_009) => 25_000,
    and_not_later: (&[(true, 25_000, 0), (true, 6_000, 10)], 25_010) => 6_000,
    a_caller_with_more_time_extends_it: (&[(true, 6_000, 0), (false, 21_000, 10)], 25_009) => 25_000,
    a_caller_with_less_time_does_not: (&[(true, 6_000, 0), (false, 5_000, 10)], 10) => 6_000,
    a_shorter_extension_outlasts_a_longer_one_of_before:
        (&[(true, 6_000, 0), (false, 25_000, 0), (false, 20_000, 20_000)], 30_000) => 20_000,
    the_timeout_of_a_caller_counts_up_to_a_maximum:
        (&[(true, 6_000, 0), (false, u64::MAX, 0)], 10) => 600_000,
}

fn record(versions: &[usize], complete: bool) -> VersionRecords {
    let record = VersionRecord {
        versions: versions.iter().map(|v| version(*v)).collect(),
        lifetime: Millis(30_000),
        complete,
    };
    VersionRecords::from([(service(), record)])
}

/// What a hub knows at a time of a stream if it has read this record at its start, and the second
/// version is the only one that has been listed since.
fn knowledge_after_restart((recorded, now): (Option<VersionRecords>, u64)) -> Knowledge {
    let mut versions = StreamVersions::default();
    versions.set_lifetime(LIFETIME, Millis(0));
    if let Some(recorded) = recorded {
        versions.on_records(&recorded, Millis(900));
    }
    for at in (1_000..=now).step_by(500) {
        versions.on_listed(&service(), &version(2), Millis(at));
        versions.on_current_list(Millis(at));
    }
    versions.knowledge(StreamKey::of("r"), &service(), true, Millis(now))
}

cases! { knowledge_after_restart;
    a_daemon_without_the_records_does_not_know_the_past: (None, 60_000) => Knowledge::Nothing,
    a_complete_record_of_the_only_version_is_enough:
        (Some(record(&[2], true)), 1_000) => Knowledge::Only(version(2)),
    an_incomplete_one_is_not: (Some(record(&[2], false)), 30_500) => Knowledge::Nothing,
    an_incomplete_one_is_once_no_stream_of_before_is_left:
        (Some(record(&[2], false)), 31_500) => Knowledge::Only(version(2)),
    a_recorded_version_counts_while_its_streams_may_be_resumed:
        (Some(record(&[1], true)), 30_500) => Knowledge::Several,
    a_recorded_version_does_not_count_longer:
        (Some(record(&[1], true)), 31_500) => Knowledge::Only(version(2)),
}

/// When all daemons are killed together.
#[derive(Debug, Clone, Copy)]
enum AllKilled {
    /// After the second version has replaced the first one.
    AfterRelease,
    /// As soon as the second version is listed, and the first one goes.
    DuringRelease,
    /// Twice, the second time before the records are read again.
    Twice,
    /// While the store is away since then.
    StoreAway,
}

/// The number of streams of two versions where all daemons are killed beside a release, and callers
/// return after the time for which the timeout of the route lets them.
fn mixed_after(killed: AllKilled) -> usize {
    let play = |seed| {
        let mut cluster = Cluster::new(seed, 100);
        cluster.patience = Some(Millis(25_000));
        cluster.list(1, true);
        cluster.run(HISTORY_MS);
        cluster.return_ms = (3_000, 20_000);
        cluster.run(1_000);
        cluster.list(2, true);
        match killed {
            AllKilled::DuringRelease => cluster.run(10),
            _ => cluster.run(1_500),
        }
        cluster.list(1, false);
        if !matches!(killed, AllKilled::DuringRelease) {
            cluster.run(1_500);
        }
        cluster.is_store_up = !matches!(killed, AllKilled::StoreAway);
        // The daemons learn no deadline from new callers.
        cluster.patience = None;
        cluster.restart_all();
        if matches!(killed, AllKilled::Twice) {
            cluster.run(100);
            cluster.restart_all();
        }
        cluster.run(25_000);
        cluster.mixed
    };
    (0..SEEDS).map(play).sum()
}

// Guards against streams of two versions after all daemons were killed beside a release.
cases! { mixed_after;
    streams_are_not_joined_after_all_daemons_were_killed_after_a_release: AllKilled::AfterRelease => 0,
    streams_are_not_joined_after_all_daemons_were_killed_in_a_release: AllKilled::DuringRelease => 0,
    streams_are_not_joined_after_all_daemons_were_killed_twice: AllKilled::Twice => 0,
    streams_are_not_joined_after_all_daemons_were_killed_and_the_store_is_away:
        AllKilled::StoreAway => 0,
}

/// A service that has only ever had one version loses no stream when all daemons were killed, once the
/// daemons know each other again. Few calls are made for that.
#[test]
fn streams_of_the_only_version_go_on_after_all_daemons_were_killed() {
    let mut cluster = Cluster::new(1, 100);
    cluster.list(1, true);
    cluster.run(HISTORY_MS);
    assert_eq!(cluster.writes, 2);
    cluster.restart_all();
    cluster.run(2_000);
    (cluster.resumed, cluster.went_on) = (0, 0);
    let reads = cluster.reads;
    cluster.run(3_000);
    assert!(cluster.resumed > 50, "{}", cluster.resumed);
    assert_eq!(cluster.went_on + cluster.unanswered(), cluster.resumed);
    assert_eq!((cluster.reads, cluster.writes), (reads, 2));
}

//! Telling a broken path from an upstream that is down.

use crate::paths::{PathChange, Paths};
use shaleline_testkit::cases;
use shaleline_types::{Millis, Upstream};

const NOW: Millis = Millis(10_000);

fn up(number: usize) -> Upstream {
    Upstream::from_text(&format!("i-{number}")).expect("a valid name")
}

/// An attempt to connect to the first upstream: its time, whether it was direct, and whether it
/// succeeded.
type Attempt = (u64, bool, bool);

fn is_broken_after(attempts: &[Attempt]) -> bool {
    let mut paths = Paths::default();
    for (at, direct, opened) in attempts {
        let now = NOW.plus(*at);
        match direct {
            true => paths.on_direct(&up(1), *opened, now),
            false => paths.on_tunnel(&up(1), (*opened, true), now),
        };
    }
    paths.is_broken(&up(1))
}

cases! {
    is_broken_after;
    a_path_that_was_not_tried_is_whole: &[] => false,
    one_failed_connection_breaks_no_path: &[(0, true, false)] => false,
    an_upstream_that_nobody_reaches_has_no_broken_path:
        &[(0, true, false), (5, false, false)] => false,
    a_path_is_broken_if_only_the_tunnel_works: &[(0, true, false), (5, false, true)] => true,
    a_path_is_broken_whichever_attempt_ends_first: &[(0, false, true), (500, true, false)] => true,
    attempts_far_apart_say_nothing: &[(0, true, false), (5_000, false, true)] => false,
    a_direct_connection_restores_the_path:
        &[(0, true, false), (5, false, true), (600, true, true)] => false,
}

fn break_path(paths: &mut Paths, number: usize, now: Millis) {
    paths.on_direct(&up(number), false, now);
    let change = paths.on_tunnel(&up(number), (true, true), now);
    assert_eq!(change, Some(PathChange::Broken));
}

#[test]
fn a_daemon_with_two_broken_paths_and_none_that_works_is_cut_off() {
    let mut paths = Paths::default();
    paths.on_direct(&up(3), true, NOW);
    break_path(&mut paths, 1, NOW.plus(100));
    assert!(!paths.is_broken(&up(9)));
    break_path(&mut paths, 2, NOW.plus(200));
    assert!(paths.is_cut_off() && paths.is_broken(&up(9)));
    paths.on_direct(&up(3), true, NOW.plus(300));
    assert!(!paths.is_cut_off() && !paths.is_broken(&up(9)));
    assert!(paths.is_broken(&up(1)), "its own path has not worked since");
}

#[test]
fn a_broken_path_is_probed_until_it_works() {
    let mut paths = Paths::default();
    break_path(&mut paths, 1, NOW);
    let probes = |p: &mut Paths, from: u64, to: u64| -> usize {
        (from..to).map(|t| p.due_probes(NOW.plus(t)).len()).sum()
    };
    assert_eq!(probes(&mut paths, 0, 2_100), 4);
    let change = paths.on_direct(&up(1), true, NOW.plus(2_100));
    assert_eq!(change, Some(PathChange::Restored(Millis(2_100))));
    assert_eq!(probes(&mut paths, 2_100, 5_000), 0);
}

#[test]
fn a_silent_upstream_is_probed_and_not_taken_for_unreachable() {
    let mut paths = Paths::default();
    paths.on_send(&up(1), NOW);
    assert_eq!(paths.due_probes(NOW.plus(100)), []);
    assert_eq!(paths.due_probes(NOW.plus(500)), [up(1)]);
    assert!(!paths.is_broken(&up(1)));
    assert_eq!(paths.due_probes(NOW.plus(600)), [], "not again at once");
    paths.on_bytes(&up(1));
    assert_eq!(paths.due_probes(NOW.plus(3_000)), []);
}

#[test]
fn a_path_that_works_is_not_probed_for_ever() {
    let mut paths = Paths::default();
    paths.on_send(&up(1), NOW);
    assert_eq!(paths.due_probes(NOW.plus(500)), [up(1)]);
    paths.on_direct(&up(1), true, NOW.plus(505));
    assert_eq!(paths.due_probes(NOW.plus(5_000)), []);
}

/// Whether a daemon that failed to connect to this many upstreams can't help others, and one of
/// whose upstreams answered in between if `answered` is set.
fn is_unable_after((failures, answered): (usize, bool)) -> bool {
    let mut paths = Paths::default();
    for number in 0..failures {
        paths.on_direct(&up(number), false, NOW.plus(number as u64));
        if answered {
            paths.on_answer();
        }
    }
    paths.is_unable()
}

cases! {
    is_unable_after;
    one_upstream_without_a_connection_says_nothing_of_the_others: (1, false) => false,
    a_daemon_that_reaches_none_of_several_upstreams_cannot_help: (2, false) => true,
    a_daemon_whose_other_upstreams_answer_can_help: (35, true) => false,
}

#[test]
fn a_daemon_that_reaches_nothing_helps_nobody_until_a_connection_opens() {
    let mut paths = Paths::default();
    paths.on_direct(&up(1), false, NOW);
    paths.on_direct(&up(2), false, NOW);
    assert!(!paths.may_relay(&up(3), NOW.plus(400)));
    assert!(paths.may_relay(&up(3), NOW.plus(500)), "it has to find out");
    paths.on_direct(&up(3), true, NOW.plus(510));
    assert!(paths.may_relay(&up(4), NOW.plus(520)));
}

#[test]
fn a_search_that_nobody_could_judge_says_nothing_of_the_upstream() {
    let mut paths = Paths::default();
    paths.on_tunnel(&up(1), (false, false), NOW);
    assert!(paths.may_tunnel(&up(1), NOW));
    paths.on_tunnel(&up(1), (false, true), NOW);
    assert!(!paths.may_tunnel(&up(1), NOW));
}

#[test]
fn paths_are_doubtful_until_they_work_again_where_others_are_broken() {
    let mut paths = Paths::default();
    paths.on_direct(&up(3), true, NOW);
    break_path(&mut paths, 1, NOW.plus(100));
    assert!(!paths.is_doubtful(&up(3)));
    break_path(&mut paths, 2, NOW.plus(200));
    assert!(paths.is_doubtful(&up(3)) && paths.is_doubtful(&up(4)));
    paths.on_direct(&up(3), true, NOW.plus(300));
    assert!(!paths.is_doubtful(&up(3)) && paths.is_doubtful(&up(4)));
}

/// Whether the path to an upstream that opened before is doubtful, after other daemons lost theirs at
/// these times.
fn is_doubtful_after(reported: &[u64]) -> bool {
    let mut paths = Paths::default();
    paths.on_direct(&up(1), true, NOW);
    for at in reported {
        paths.on_doubt(NOW.plus(*at));
    }
    paths.prune(NOW.plus(3_000));
    paths.is_doubtful(&up(1))
}

cases! {
    is_doubtful_after;
    a_path_that_has_worked_is_not_doubtful: &[] => false,
    a_path_is_doubtful_while_other_daemons_lose_theirs: &[1_500] => true,
    a_path_is_not_doubtful_long_after_others_lost_theirs: &[500] => false,
    reports_that_go_on_keep_a_path_doubtful: &[500, 1_500, 2_500] => true,
}

#[test]
fn a_path_that_works_again_is_not_doubted_anew_by_the_same_loss() {
    let mut paths = Paths::default();
    paths.on_doubt(NOW);
    paths.on_direct(&up(1), true, NOW.plus(100));
    paths.on_doubt(NOW.plus(600));
    assert!(!paths.is_doubtful(&up(1)) && paths.is_doubtful(&up(2)));
}

/// Whether a request that was sent directly is lost after this time; its path broke meanwhile, and
/// bytes of its upstream arrived if `answered` is set.
fn is_lost_after((wait, broken, answered): (u64, bool, bool)) -> bool {
    let mut paths = Paths::default();
    paths.on_head(Millis(60));
    paths.on_send(&up(1), NOW);
    if broken {
        break_path(&mut paths, 1, NOW.plus(50));
    }
    if answered {
        paths.on_bytes(&up(1));
    }
    paths.is_lost(&up(1), NOW, NOW.plus(wait))
}

cases! {
    is_lost_after;
    a_request_on_a_broken_path_is_lost_once_it_is_overdue: (200, true, false) => true,
    a_request_is_not_lost_before_it_is_overdue: (100, true, false) => false,
    a_request_is_not_lost_while_its_path_works: (1_000, false, false) => false,
    a_request_is_not_lost_while_its_upstream_still_sends: (200, true, true) => false,
}

#[test]
fn the_paths_that_were_used_last_are_checked_once_another_is_broken() {
    let mut paths = Paths::default();
    for number in 0..6 {
        paths.on_direct(&up(number), true, NOW.plus(number as u64));
    }
    break_path(&mut paths, 5, NOW.plus(100));
    let checked = [up(4), up(3), up(2), up(1)];
    assert_eq!(paths.due_probes(NOW.plus(110)), checked);
    assert_eq!(paths.due_probes(NOW.plus(120)), [], "they are checked once");
}

//! Tests of membership: joins, failures, refuted suspicions and restarts.

use shaleline_peer::{Member, MemberEvent, MemberId, MemberSettings, Membership};
use shaleline_types::{DataCentre, Instance, Millis, Offset, WriterId};

fn member(name: &str, incarnation: u64) -> Member {
    Member {
        id: MemberId {
            instance: Instance::from_text(name).expect("a valid name"),
            incarnation,
        },
        writer: WriterId(incarnation),
        centre: DataCentre::from_text("dc1").expect("a valid name"),
        peer: format!("{name}:1"),
        caller: format!("{name}:2"),
        round: 0,
        config: Offset(0),
        leaving: false,
        refutations: 0,
    }
}

fn members(name: &str, incarnation: u64) -> Membership {
    Membership::new(MemberSettings::default(), member(name, incarnation))
}

fn exchange(to: &mut Membership, from: &mut Membership, now: u64) {
    let message = from.begin_round();
    let response = to.on_heartbeat(&message, Millis(now));
    from.on_response(&response, Millis(now));
}

fn alive(m: &Membership) -> Vec<String> {
    m.alive().map(|m| m.id.instance.to_string()).collect()
}

#[test]
fn daemons_that_exchange_heartbeats_learn_of_third_ones() {
    let (mut a, mut b, mut c) = (members("a", 1), members("b", 2), members("c", 3));
    exchange(&mut a, &mut b, 0);
    exchange(&mut b, &mut c, 1);
    exchange(&mut a, &mut b, 2);
    exchange(&mut b, &mut a, 3);
    assert_eq!(
        alive(&a),
        ["a", "b", "c"],
        "a requested c's description from b"
    );
}

#[test]
fn an_unreachable_daemon_is_gone_and_outdated_status_does_not_revive_it() {
    let (mut a, mut b) = (members("a", 1), members("b", 2));
    exchange(&mut a, &mut b, 0);
    let old = b.begin_round();
    a.on_call_failure("b:1", Millis(1_000));
    a.tick(Millis(2_000));
    assert_eq!(alive(&a), ["a", "b"], "b may still refute the suspicion");
    a.tick(Millis(2_500));
    assert_eq!(alive(&a), ["a"]);
    a.on_heartbeat(&old, Millis(2_600));
    assert_eq!(alive(&a), ["a"]);
}

#[test]
fn a_paused_daemon_refutes_its_suspicion() {
    let (mut a, mut b) = (members("a", 1), members("b", 2));
    exchange(&mut a, &mut b, 0);
    a.on_call_failure("b:1", Millis(1_000));
    a.tick(Millis(2_500));
    exchange(&mut a, &mut b, 3_000);
    exchange(&mut a, &mut b, 4_000);
    assert_eq!(alive(&a), ["a", "b"]);
}

#[test]
fn a_suspicion_and_its_refutation_spread() {
    let (mut a, mut b, mut c) = (members("a", 1), members("b", 2), members("c", 3));
    exchange(&mut a, &mut b, 0);
    exchange(&mut c, &mut a, 0);
    exchange(&mut b, &mut c, 0);
    a.on_call_failure("b:1", Millis(1_000));
    exchange(&mut c, &mut a, 1_100);
    exchange(&mut b, &mut c, 1_200);
    exchange(&mut c, &mut b, 1_300);
    exchange(&mut a, &mut c, 1_400);
    a.tick(Millis(9_000));
    c.tick(Millis(9_000));
    assert_eq!(alive(&a), ["a", "b", "c"], "b has refuted the suspicion");
}

#[test]
fn a_new_incarnation_replaces_the_old_one() {
    let (mut a, mut old, mut new) = (members("a", 1), members("b", 2), members("b", 3));
    exchange(&mut a, &mut old, 0);
    a.take_events();
    exchange(&mut a, &mut new, 1);
    let left = MemberEvent::Left(member("b", 2).id);
    let joined = MemberEvent::Joined(member("b", 3).id);
    assert_eq!(a.take_events(), [left, joined]);
    exchange(&mut a, &mut old, 2);
    assert!(a.is_alive(WriterId(3)) && !a.is_alive(WriterId(2)));
}

#[test]
fn a_leaving_daemon_is_removed_at_once() {
    let (mut a, mut b) = (members("a", 1), members("b", 2));
    exchange(&mut a, &mut b, 0);
    b.set_leaving();
    exchange(&mut a, &mut b, 1);
    assert_eq!(alive(&a), ["a"]);
}

#[test]
fn a_daemon_cut_off_in_one_direction_stays_alive_through_others() {
    let (mut a, mut b, mut c) = (members("a", 1), members("b", 2), members("c", 3));
    for now in (0..10_000).step_by(1_000) {
        exchange(&mut c, &mut b, now);
        exchange(&mut a, &mut c, now);
        exchange(&mut c, &mut a, now);
        a.tick(Millis(now));
    }
    assert_eq!(alive(&a), ["a", "b", "c"]);
}

#[test]
fn daemons_behind_a_change_are_listed() {
    let (mut a, mut b) = (members("a", 1), members("b", 2));
    a.set_config(Offset(5));
    b.set_config(Offset(4));
    exchange(&mut a, &mut b, 0);
    let behind: Vec<&str> = a
        .behind(Offset(4))
        .iter()
        .map(|m| m.id.instance.as_str())
        .collect();
    assert_eq!(behind, ["b"]);
    assert_eq!(a.latest_config(), Offset(5));
}

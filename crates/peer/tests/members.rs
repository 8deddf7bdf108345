//! Who is alive.

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

fn hear(to: &mut Membership, from: &mut Membership, now: u64) {
    let message = from.begin_round();
    let answer = to.on_heartbeat(&message, Millis(now));
    from.on_response(&answer, Millis(now));
}

fn alive(m: &Membership) -> Vec<String> {
    m.alive().map(|m| m.id.instance.to_string()).collect()
}

#[test]
fn two_that_meet_know_each_other_and_news_is_passed_on() {
    let (mut a, mut b, mut c) = (members("a", 1), members("b", 2), members("c", 3));
    hear(&mut a, &mut b, 0);
    hear(&mut b, &mut c, 1);
    hear(&mut a, &mut b, 2);
    hear(&mut b, &mut a, 3);
    assert_eq!(alive(&a), ["a", "b", "c"], "it asked b about c");
}

#[test]
fn one_that_does_not_answer_counts_as_gone_and_late_news_does_not_revive_it() {
    let (mut a, mut b) = (members("a", 1), members("b", 2));
    hear(&mut a, &mut b, 0);
    let old = b.begin_round();
    a.on_call_failure("b:1", Millis(1_000));
    a.tick(Millis(2_000));
    assert_eq!(alive(&a), ["a", "b"], "it may still deny");
    a.tick(Millis(2_500));
    assert_eq!(alive(&a), ["a"]);
    a.on_heartbeat(&old, Millis(2_600));
    assert_eq!(alive(&a), ["a"]);
}

#[test]
fn one_that_was_paused_denies_to_be_gone() {
    let (mut a, mut b) = (members("a", 1), members("b", 2));
    hear(&mut a, &mut b, 0);
    a.on_call_failure("b:1", Millis(1_000));
    a.tick(Millis(2_500));
    hear(&mut a, &mut b, 3_000);
    hear(&mut a, &mut b, 4_000);
    assert_eq!(alive(&a), ["a", "b"]);
}

#[test]
fn a_suspicion_is_passed_on_and_so_is_its_denial() {
    let (mut a, mut b, mut c) = (members("a", 1), members("b", 2), members("c", 3));
    hear(&mut a, &mut b, 0);
    hear(&mut c, &mut a, 0);
    hear(&mut b, &mut c, 0);
    a.on_call_failure("b:1", Millis(1_000));
    hear(&mut c, &mut a, 1_100);
    hear(&mut b, &mut c, 1_200);
    hear(&mut c, &mut b, 1_300);
    hear(&mut a, &mut c, 1_400);
    a.tick(Millis(9_000));
    c.tick(Millis(9_000));
    assert_eq!(alive(&a), ["a", "b", "c"], "b has denied");
}

#[test]
fn one_replaced_at_the_same_address_is_another() {
    let (mut a, mut old, mut new) = (members("a", 1), members("b", 2), members("b", 3));
    hear(&mut a, &mut old, 0);
    a.take_events();
    hear(&mut a, &mut new, 1);
    let left = MemberEvent::Left(member("b", 2).id);
    let joined = MemberEvent::Joined(member("b", 3).id);
    assert_eq!(a.take_events(), [left, joined]);
    hear(&mut a, &mut old, 2);
    assert!(a.is_alive(WriterId(3)) && !a.is_alive(WriterId(2)));
}

#[test]
fn one_that_is_leaving_is_told_at_once() {
    let (mut a, mut b) = (members("a", 1), members("b", 2));
    hear(&mut a, &mut b, 0);
    b.set_leaving();
    hear(&mut a, &mut b, 1);
    assert_eq!(alive(&a), ["a"]);
}

#[test]
fn one_cut_off_in_one_direction_is_kept_alive_by_others() {
    let (mut a, mut b, mut c) = (members("a", 1), members("b", 2), members("c", 3));
    for now in (0..10_000).step_by(1_000) {
        hear(&mut c, &mut b, now);
        hear(&mut a, &mut c, now);
        hear(&mut c, &mut a, now);
        a.tick(Millis(now));
    }
    assert_eq!(alive(&a), ["a", "b", "c"]);
}

#[test]
fn who_has_not_applied_a_change_is_named() {
    let (mut a, mut b) = (members("a", 1), members("b", 2));
    a.set_config(Offset(5));
    b.set_config(Offset(4));
    hear(&mut a, &mut b, 0);
    let behind: Vec<&str> = a
        .behind(Offset(4))
        .iter()
        .map(|m| m.id.instance.as_str())
        .collect();
    assert_eq!(behind, ["b"]);
    assert_eq!(a.latest_config(), Offset(5));
}

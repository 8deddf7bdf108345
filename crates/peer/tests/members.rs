//! Who is alive.

use shaleline_peer::{Member, MemberEvent, MemberId, MemberSettings, Members};
use shaleline_types::{DataCentre, Instance, Millis, Offset, WriterId};

fn member(name: &str, born: u64) -> Member {
    Member {
        id: MemberId {
            instance: Instance::from_text(name).expect("a valid name"),
            born,
        },
        writer: WriterId(born),
        centre: DataCentre::from_text("dc1").expect("a valid name"),
        peer: format!("{name}:1"),
        caller: format!("{name}:2"),
        beat: 0,
        config: Offset(0),
        leaving: false,
    }
}

fn members(name: &str, born: u64) -> Members {
    Members::new(MemberSettings::default(), member(name, born))
}

fn hear(to: &mut Members, from: &mut Members, now: u64) {
    let message = from.beat();
    let answer = to.on_heartbeat(&message, Millis(now));
    from.on_answer(&answer, Millis(now));
}

fn alive(m: &Members) -> Vec<String> {
    m.alive().map(|m| m.id.instance.to_string()).collect()
}

#[test]
fn two_that_meet_know_each_other_and_news_is_passed_on() {
    let (mut a, mut b, mut c) = (members("a", 1), members("b", 2), members("c", 3));
    hear(&mut a, &mut b, 0);
    hear(&mut b, &mut c, 1);
    hear(&mut a, &mut b, 2);
    assert_eq!(alive(&a), ["a", "b", "c"]);
}

#[test]
fn one_that_is_silent_counts_as_gone_and_late_news_does_not_revive_it() {
    let (mut a, mut b) = (members("a", 1), members("b", 2));
    let old = b.beat();
    hear(&mut a, &mut b, 0);
    a.tick(Millis(4_000));
    assert_eq!(alive(&a), ["a"]);
    a.on_heartbeat(&old, Millis(4_001));
    assert_eq!(alive(&a), ["a"]);
    hear(&mut a, &mut b, 4_002);
    assert_eq!(alive(&a), ["a", "b"]);
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
    assert_eq!(a.furthest(), Offset(5));
}
